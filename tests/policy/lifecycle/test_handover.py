"""Handover between processes of a gateway: the message, and the quotas in the decision engine."""

from __future__ import annotations

import json
import math
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.capture import format_1
from glenchute.capture.recorder import CaptureRule, Recorder
from glenchute.capture.replay import find_runs
from glenchute.capture.replay import replay as replay_files
from glenchute.policy.actions import IncrementCounter, SendLimitShares, SendState, StartAttempt
from glenchute.policy.admission.local_share import local_fraction
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import (
    AdmissionEnded,
    CounterReply,
    Event,
    LimitShare,
    LimitSharesReceived,
    OtherProcessEnded,
    Outcome,
    QuotaSnapshot,
    Request,
    StateReceived,
    SuccessorStarted,
)
from glenchute.policy.lifecycle.handover import (
    FIELDS,
    MAX_ENDPOINTS,
    MAX_QUOTAS,
    MAX_SHARES,
    MIN_LIMIT_SHARE,
    ActiveEndpoints,
    HandoverError,
    HandoverState,
    decode_handover,
    decode_shares,
    encode_handover,
    encode_shares,
    retained_limit_share,
)
from tests.rig import SETTINGS, EngineHarness, actions_of_type

QUOTA = QuotaSnapshot("c", "rate", 2, 3.0, 0.0, 1.0, 0.5, 2.0, 4.0, 1000.0, 7.0)
figures = st.floats(-1e12, 1e12)


# --- the message -------------------------------------------------------------------------------------------


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.builds(
            QuotaSnapshot, st.text(min_size=1, max_size=64), st.text(max_size=20), st.integers(1, 500),
            *[figures] * 6, st.floats(-1e15, 1e15), st.one_of(figures, st.just(math.inf)),
        ),
        max_size=5,
    ),
    st.floats(MIN_LIMIT_SHARE, 1.0 - MIN_LIMIT_SHARE),
)  # fmt: skip
def test_an_encoded_message_is_decoded(quotas: list[QuotaSnapshot], share: float) -> None:
    raw = encode_handover("g", share, quotas)
    assert decode_handover("g", raw) == HandoverState(share, tuple(quotas))
    for cut in (1, len(raw) // 2, len(raw) - 1):
        with pytest.raises(HandoverError):
            decode_handover("g", raw[:cut])


ENDPOINTS = ActiveEndpoints("127.0.0.1:8500", 43, frozenset({"s0", "s1"}))
ENCODED_ENDPOINTS = {"discovery": "127.0.0.1:8500", "version": 43, "ready": ["s0", "s1"]}


def test_the_active_endpoints_are_handed_over_all_or_none() -> None:
    raw = encode_handover("g", 0.5, [], ENDPOINTS)
    assert json.loads(raw)["endpoints"] == ENCODED_ENDPOINTS
    assert decode_handover("g", raw).endpoints == ENDPOINTS
    unsettled = ENDPOINTS._replace(is_settled=False)
    assert decode_handover("g", encode_handover("g", 0.5, [], unsettled)).endpoints == unsettled
    names = frozenset(str(number) for number in range(MAX_ENDPOINTS + 1))
    assert (
        decode_handover("g", encode_handover("g", 0.5, [], ENDPOINTS._replace(names=names))).endpoints is None
    )


def test_a_message_of_a_version_without_endpoints_is_decoded() -> None:
    assert decode_handover("g", message_with(stocks=[])) == HandoverState(0.5, (), None)


def message_with(**changes: Any) -> bytes:
    """Encodes a message with some of its members replaced."""
    message = json.loads(encode_handover("g", 0.5, [QUOTA]))
    message.update(changes)
    return json.dumps(message).encode() + b"\n"


def message_with_value(index: int, value: Any) -> bytes:
    """Encodes a message in which one value of the tenant row is replaced."""
    row = json.loads(encode_handover("g", 0.5, [QUOTA]))["stocks"][0]
    row[index] = value
    return message_with(stocks=[row])


@pytest.mark.parametrize(
    ("raw", "reason"),
    [
        (b"\n", "not valid JSON"),
        (b"[" * 100_000 + b"\n", "not valid JSON"),
        (b"\xff\xfe\n", "not valid JSON"),
        (b"[]\n", "format"),
        (message_with(format=2), "format"),
        (message_with(gateway="h"), "another gateway"),
        (message_with(fields=["customer"]), "fields"),
        (message_with(stocks={}), "list of tenants"),
        (message_with(stocks=[[]] * (MAX_QUOTAS + 1)), "list of tenants"),
        (message_with(stocks=[[1]]), "one value per field"),
        (message_with(endpoints=[]), "endpoints are not an object"),
        (message_with(endpoints=ENCODED_ENDPOINTS | {"version": True}), "no address or no version"),
        (message_with(endpoints=ENCODED_ENDPOINTS | {"discovery": None}), "no address or no version"),
        (message_with(endpoints=ENCODED_ENDPOINTS | {"ready": {}}), "list of endpoints"),
        (message_with(endpoints=ENCODED_ENDPOINTS | {"ready": ["s"] * (MAX_ENDPOINTS + 1)}), "too long"),
        (message_with(endpoints=ENCODED_ENDPOINTS | {"ready": ["s0", 1]}), "not a string"),
        (message_with(endpoints=ENCODED_ENDPOINTS | {"settled": 0}), "settled"),
        (message_with(share=0.9), "range"),
        (message_with(share=True), "range"),
        (message_with_value(0, ""), "name"),
        (message_with_value(0, "x" * 65), "name"),
        (message_with_value(1, 5), "name"),
        (message_with_value(2, 0), "spread"),
        (message_with_value(2, True), "spread"),
        (message_with_value(3, "1"), "range"),
        (message_with_value(3, 1e300), "range"),
        (message_with_value(9, None), "range"),
        (message_with(stocks=[[*range(11)]]), "name"),
        (encode_handover("g", 0.5, [QUOTA]).replace(b"3.0", b"NaN"), "not valid JSON"),
        (encode_handover("g", 0.5, [QUOTA]).replace(b"3.0", b"Infinity"), "not valid JSON"),
    ],
)
def test_an_invalid_message_is_rejected_as_a_whole(raw: bytes, reason: str) -> None:
    with pytest.raises(HandoverError, match=reason):
        decode_handover("g", raw)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_rejected(raw: bytes) -> None:
    with pytest.raises(HandoverError):
        decode_handover("g", raw + b"\n")


def test_the_shares_of_a_process_that_ends_are_decoded() -> None:
    shares = tuple(LimitShare(f"t{number}", 0.5 * number, 1.0) for number in range(MAX_SHARES + 1))
    assert decode_shares("g", encode_shares("g", shares)) == shares[:MAX_SHARES]


@pytest.mark.parametrize(
    ("shares", "reason"),
    [
        (None, "list of shares"),
        ([["c", 1.0, 1.0]] * (MAX_SHARES + 1), "list of shares"),
        ([["c", 1.0]], "tenant and two numbers"),
        ([[1, 1.0, 1.0]], "tenant and two numbers"),
        ([["c", -1.0, 1.0]], "range"),
        ([["c", 1.0, True]], "range"),
        ([["c", 1.0, 1e300]], "range"),
    ],
)
def test_invalid_shares_are_rejected_as_a_whole(shares: Any, reason: str) -> None:
    message = {"format": 1, "gateway": "g", "shares": shares}
    with pytest.raises(HandoverError, match=reason):
        decode_shares("g", json.dumps(message).encode() + b"\n")


@given(st.integers(0, 5000), st.integers(64, 4096))
def test_both_shares_are_at_least_a_quarter_and_no_connection_in_use_is_closed(
    in_use: int, limit: int
) -> None:
    share = retained_limit_share(in_use, limit)
    assert MIN_LIMIT_SHARE <= 1.0 - share <= 0.5
    assert share * limit >= min(in_use, 0.75 * limit)


# --- quotas in the decision engine ------------------------------------------------------------------------


def gateway_after_requests(tenant: str, plan: str, requests: int) -> EngineHarness:
    """Returns a gateway at which a tenant has sent some requests."""
    rig = EngineHarness()
    rig.handle_event(saved_list())
    for _ in range(requests):
        rig.ask("read", plan, tenant, spread=1)
        rig.answer_calls()
    return rig


def saved_list() -> Any:
    from glenchute.policy.events import EndpointList, EndpointListKind
    from tests.rig import make_endpoints

    return EndpointList(EndpointListKind.CACHED, make_endpoints(3))


def replace_process(old: EngineHarness) -> EngineHarness:
    """Hands the state over to a new process, and returns the new one."""
    [sent] = actions_of_type(old.handle_event(SuccessorStarted()), SendState)
    new = EngineHarness()
    new.now = old.now
    new.handle_event(StateReceived(sent.quotas))
    new.handle_event(saved_list())
    return new


def count_admitted(rig: EngineHarness, plan: str, tenant: str, requests: int = 60) -> int:
    """Sends requests at one time and counts the admitted ones. Calls to the counter get no answer."""
    return sum(
        bool(actions_of_type(rig.ask("read", plan, tenant, spread=1)[1], StartAttempt))
        for _ in range(requests)
    )


def test_a_spent_quota_stays_spent_in_the_successor() -> None:
    old = gateway_after_requests("c", "rate", 20)  # more than the burst of 6
    fresh = EngineHarness()
    fresh.handle_event(saved_list())
    assert count_admitted(fresh, "rate", "c") >= 5
    assert count_admitted(replace_process(old), "rate", "c") <= 1


@pytest.mark.parametrize("spent", [0, 4, 30])
def test_two_processes_admit_no_more_than_one_under_a_ceiling(spent: int) -> None:
    single = gateway_after_requests("c", "hard", spent)
    single.counter_outcome = Outcome.TIMEOUT
    max_admitted = count_admitted(single, "hard", "c")
    old = gateway_after_requests("c", "hard", spent)
    new = replace_process(old)
    admitted = count_admitted(old, "hard", "c") + count_admitted(new, "hard", "c")
    # One more may be admitted by rounding, as a request is not split.
    assert admitted <= max_admitted + 1, (admitted, max_admitted)


def end_predecessor(old: EngineHarness, new: EngineHarness) -> tuple[LimitShare, ...]:
    """Ends the predecessor in order, and returns what it has given up to its successor."""
    [sent] = actions_of_type(old.handle_event(AdmissionEnded()), SendLimitShares)
    new.handle_event(LimitSharesReceived(sent.shares))
    new.handle_event(OtherProcessEnded())
    return sent.shares


@pytest.mark.parametrize("spent", [1, 4, 30])
def test_a_successor_that_is_left_alone_admits_what_one_process_would(spent: int) -> None:
    """Guards against a tenant within its limits that is rejected after a replacement, as the predecessor's
    half of the ceiling guard ended with it."""
    single = gateway_after_requests("c", "hard", spent)
    single.counter_outcome = Outcome.TIMEOUT
    max_admitted = count_admitted(single, "hard", "c")
    old = gateway_after_requests("c", "hard", spent)
    new = replace_process(old)
    end_predecessor(old, new)
    assert count_admitted(old, "hard", "c") == 0
    assert count_admitted(new, "hard", "c") == max_admitted


def test_shares_that_arrive_twice_do_not_exceed_the_limit_of_the_gateway() -> None:
    old = gateway_after_requests("c", "hard", 1)
    new = replace_process(old)
    shares = end_predecessor(old, new)
    for _ in range(3):
        new.handle_event(LimitSharesReceived((*shares, LimitShare("unknown", 5.0, 5.0))))
    tenants = new.gateway.quota.tenants.by_id
    assert list(tenants) == ["c"] and tenants["c"].ceiling_guard_units == 6.0  # half of the ceiling's burst
    assert tenants["c"].reported_own_units <= tenants["c"].reported_units


def test_the_use_of_both_processes_counts_in_the_successors_local_share() -> None:
    """Guards against half of a gateway's local share being lost with its predecessor."""
    old = gateway_after_requests("c", "rate", 4)
    old_share = local_fraction(old.gateway.quota.tenants.by_id["c"])
    new = replace_process(old)
    end_predecessor(old, new)
    assert local_fraction(new.gateway.quota.tenants.by_id["c"]) == pytest.approx(old_share)


def test_only_the_successor_marks_epochs_until_the_predecessor_is_single_again() -> None:
    old = gateway_after_requests("c", "hard", 2)
    new = replace_process(old)

    def may_mark(rig: EngineHarness) -> bool:
        """Returns whether a window that begins from now on is marked."""
        rig.advance(20_000.0)
        rig.ask("read", "hard", "c", spread=1)
        window_counter = rig.gateway.quota.tenants.by_id["c"].window_counter
        assert window_counter is not None
        return window_counter.may_add_marker

    assert not may_mark(old)
    assert may_mark(new)
    old.handle_event(OtherProcessEnded())
    assert may_mark(old)


def test_local_shares_are_halved_during_the_overlap_and_restored_after_it() -> None:
    old = gateway_after_requests("c", "hard", 2)
    quota = old.gateway.quota
    before = quota.tenants.by_id["c"].gateway_spread
    old.handle_event(SuccessorStarted())
    assert quota.tenants.by_id["c"].gateway_spread == 2 * before
    old.ask("read", "hard", "c", spread=1)
    assert quota.tenants.by_id["c"].gateway_spread == 2
    old.handle_event(OtherProcessEnded())
    assert quota.tenants.by_id["c"].gateway_spread == before == 1


def test_use_of_the_predecessor_is_not_deducted_twice() -> None:
    old = EngineHarness()
    old.handle_event(saved_list())
    for _ in range(3):
        old.ask("read", "rate", "c", spread=1)
        old.answer_calls()
    old.advance(300.0)
    old.answer_calls()
    new = replace_process(old)
    units_before = new.gateway.quota.tenants.by_id["c"].bucket_units
    new._totals = dict(old._totals)
    counter_key = new.gateway.quota.tenants.by_id["c"].counter_key
    new.ask("read", "rate", "c", spread=1)
    calls = [
        action
        for _, action in new.action_log
        if isinstance(action, IncrementCounter) and action.key == counter_key
    ]
    if not calls:
        new.advance(1200.0)
        calls = [
            action
            for _, action in new.action_log
            if isinstance(action, IncrementCounter) and action.key == counter_key
        ]
    assert calls
    total = old._totals.get(counter_key, 0.0) + calls[0].amount
    new.handle_event(CounterReply(counter_key, total, Outcome.OK))
    units_after = new.gateway.quota.tenants.by_id["c"].bucket_units
    assert units_after >= units_before - 1.0 - 0.5, (units_before, units_after)


def test_every_field_of_a_quota_is_handed_over() -> None:
    assert len(QuotaSnapshot.__match_args__) == len(FIELDS)
    assert dict(zip(FIELDS, QuotaSnapshot.__match_args__, strict=True)) == {
        **format_1.QUOTA_SNAPSHOT,
        "plan": "plan",
    }


def test_a_replacement_is_recorded_and_replayed_bit_equal(tmp_path: Path) -> None:
    clock = [0.0]
    recorder = Recorder(
        DecisionEngine(SETTINGS, 1), SETTINGS, 1, CaptureRule(str(tmp_path)), lambda: clock[0]
    )
    recorder.handle(1000.0, saved_list())
    events: list[Event] = [
        StateReceived((QUOTA, replace(QUOTA, tenant="d", window_total_units=math.inf))),
        OtherProcessEnded(),
    ]
    for n in range(20):
        events.append(Request(f"r{n}", "read", "rate", "c", 900.0, 1.0, 2))
    events += [SuccessorStarted(), Request("last", "read", "rate", "c", 900.0, 1.0, 2), OtherProcessEnded()]
    events += [LimitSharesReceived((LimitShare("c", 1.0, 1.0),)), SuccessorStarted(), AdmissionEnded()]
    for offset_ms, event in enumerate(events):
        recorder.handle(1001.0 + offset_ms, event)
    recorder.trigger("asked for")
    recorder.writer.close(10.0)
    (files,) = find_runs(tmp_path).values()
    report = replay_files(files)
    assert not report.differences and not report.fault_count and report.records == len(events) + 1
