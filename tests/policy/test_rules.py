"""Tests of the engine's five rules by scripted events: responses, effects, drains, slow start, ceilings."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from glenchute.policy.actions import Action, Fail, IncrementCounter, Reject, StartAttempt
from glenchute.policy.events import (
    AttemptEnded,
    AttemptStalled,
    ClientDisconnected,
    CounterReply,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Outcome,
    Request,
    ResponseStarted,
    TimerFired,
)
from glenchute.policy.retries.retry_policy import EXPIRY_MARGIN_MS
from glenchute.policy.settings import Idempotency, IdempotencyScope, RequestClass
from tests.rig import (
    SETTINGS,
    EngineHarness,
    actions_of_type,
    final_responses,
    make_endpoints,
    replace_settings,
)

NOT_RUN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NO_CONNECTION)
MAY_HAVE_RUN = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


def endpoint_change(server: str, state: EndpointState = EndpointState.DRAINING) -> EndpointList:
    return EndpointList(EndpointListKind.CHANGES, (Endpoint(server, "a", state=state),))


# --- rule 1: exactly one final response, in time -------------------------------------------------------


@pytest.mark.parametrize("left", [0.0, -5.0])
def test_no_time_left_is_rejected_at_once(left: float) -> None:
    rig = EngineHarness(make_endpoints(3))
    _, actions = rig.ask(left=left)
    assert len(final_responses(actions)) == 1 and not actions_of_type(actions, StartAttempt)


def test_without_a_server_a_request_waits_briefly_then_is_rejected_in_time() -> None:
    rig = EngineHarness(make_endpoints(1))
    rig.handle_event(endpoint_change("s0"))
    name, actions = rig.ask(left=900.0)
    assert not final_responses(actions)
    later_actions = rig.advance(900.0)
    assert [a.request_id for a in final_responses(later_actions)] == [name]


def test_a_waiting_request_goes_to_a_server_that_comes_up() -> None:
    rig = EngineHarness(make_endpoints(1))
    rig.handle_event(endpoint_change("s0"))
    name, _ = rig.ask()
    actions = rig.handle_event(EndpointList(EndpointListKind.CHANGES, (Endpoint("s9", "a"),)))
    assert [(s.request_id, s.address) for s in actions_of_type(actions, StartAttempt)] == [(name, "s9")]


def test_timeout_at_the_deadline_is_answered_at_once() -> None:
    rig = EngineHarness(make_endpoints(3))
    name, _ = rig.ask("charge", left=800.0)
    rig.now += 800.0
    assert [type(a) for a in final_responses(rig.end_attempt(name, 0, Outcome.TIMEOUT, 800.0))] == [Fail]


@pytest.mark.parametrize("cls", ["read", "order", "bid", "charge", "unknown"])
@pytest.mark.parametrize("ending", [*NOT_RUN, *MAY_HAVE_RUN, Outcome.NOT_SENT])
def test_one_final_answer_however_attempts_end(cls: str, ending: Outcome) -> None:
    rig = EngineHarness(make_endpoints(6))
    name, actions = rig.ask(cls)
    attempt, answers = 0, final_responses(actions)
    while not answers and attempt < 20:
        rig.now += 10.0
        actions = rig.end_attempt(name, attempt, ending, 10.0)
        answers += final_responses(actions)
        attempt += 1
    assert len(answers) == 1 and attempt <= SETTINGS.max_attempts
    assert not final_responses(rig.advance(5000.0))


def test_a_hedge_that_does_not_start_marks_nothing_as_run() -> None:
    """Guards against marking a request with an idempotency key as one that may have run when its hedged
    attempt finds no server: it then fails, though it can be rejected."""
    rig = EngineHarness(make_endpoints(1), replace(SETTINGS, allows_hedging=True))
    name, _ = rig.ask("order")
    assert not actions_of_type(rig.handle_event(AttemptStalled(name, 0)), StartAttempt)
    answers: list[Action] = []
    for attempt in range(SETTINGS.max_attempts):
        answers += (
            final_responses(rig.end_attempt(name, attempt, Outcome.REJECTED, 5.0)) if not answers else []
        )
    assert [type(answer) for answer in answers] == [Reject]


def hedged_order(name: str) -> EngineHarness:
    """Returns an engine with a request with an idempotency key, 10 ms old, and its two attempts."""
    rig = EngineHarness(make_endpoints(4), replace(SETTINGS, allows_hedging=True, max_attempts=3))
    rig.ask("order", name=name)
    rig.advance(10.0)
    assert actions_of_type(rig.handle_event(AttemptStalled(name, 0)), StartAttempt)
    return rig


@pytest.mark.parametrize("order", [(0, 1), (1, 0)])
def test_a_hedged_request_whose_attempts_were_all_rejected_is_rejected(order: tuple[int, int]) -> None:
    """Guards against failing a request with an idempotency key of which no attempt ran."""
    rig = hedged_order("r")
    for attempt in order:
        actions = rig.end_attempt("r", attempt, Outcome.REJECTED, 5.0)
    assert [attempt.write_by_ms for attempt in actions_of_type(actions, StartAttempt)] == [0.0]
    assert [type(action) for action in final_responses(rig.end_attempt("r", 2, Outcome.REJECTED, 5.0))] == [
        Reject
    ]


@pytest.mark.parametrize(
    ("outcomes", "write_by_ms"),
    [
        ({0: Outcome.ERROR, 1: Outcome.REJECTED}, 1000.0),
        ({1: Outcome.ERROR, 0: Outcome.REJECTED}, 1010.0),
        ({0: Outcome.ERROR, 1: Outcome.ERROR}, 1000.0),
        ({1: Outcome.ERROR, 0: Outcome.ERROR}, 1000.0),
    ],
)
def test_the_idempotency_window_of_a_hedged_request_begins_with_the_first_attempt_that_may_have_run(
    outcomes: dict[int, Outcome], write_by_ms: float
) -> None:
    """Guards against a retry after servers have forgotten the key of the earlier of two attempts."""
    rig = hedged_order("r")
    for attempt, outcome in outcomes.items():
        actions = rig.end_attempt("r", attempt, outcome, 5.0)
    (retry,) = actions_of_type(actions, StartAttempt)
    assert retry.write_by_ms == write_by_ms + 2000.0 - EXPIRY_MARGIN_MS


def test_late_duplicate_and_unasked_events_are_ignored() -> None:
    rig = EngineHarness(make_endpoints(3))
    name, _ = rig.ask()
    rig.end_attempt(name, 0, Outcome.OK)
    assert not final_responses(rig.end_attempt(name, 0, Outcome.ERROR))
    rig.handle_event(ClientDisconnected(name))
    rig.handle_event(ClientDisconnected("never-seen"))
    rig.handle_event(AttemptEnded("never-seen", 3, "nowhere", Outcome.OK, 1.0, True))
    rig.handle_event(CounterReply(12345, 7.0, Outcome.OK))
    rig.handle_event(TimerFired(999))
    rig.handle_event(ResponseStarted("never-seen", 0))
    assert not final_responses([action for _, action in rig.action_log])


def test_a_disconnected_client_gets_no_retry() -> None:
    rig = EngineHarness(make_endpoints(3))
    name, _ = rig.ask()
    rig.handle_event(ClientDisconnected(name))
    assert not actions_of_type(rig.end_attempt(name, 0, Outcome.REJECTED, final=False), StartAttempt)


def test_unknown_plan_and_class_are_served_as_non_idempotent_without_quota() -> None:
    rig = EngineHarness(make_endpoints(3))
    actions = rig.handle_event(Request("x", "no-such-class", "no-such-plan", "c", 1000.0))
    assert actions_of_type(actions, StartAttempt)
    assert [type(a) for a in final_responses(rig.end_attempt("x", 0, Outcome.TIMEOUT))] == [Fail]


def test_more_pending_requests_than_allowed_are_rejected() -> None:
    rig = EngineHarness(make_endpoints(3), replace_settings(SETTINGS, max_requests=4))
    answers = [final_responses(rig.ask()[1]) for _ in range(6)]
    assert [len(a) for a in answers] == [0, 0, 0, 1, 1, 1]


# --- rule 2: no effect is caused twice -----------------------------------------------------------------


@pytest.mark.parametrize("ending", MAY_HAVE_RUN)
def test_a_non_idempotent_request_that_may_have_run_fails(ending: Outcome) -> None:
    rig = EngineHarness(make_endpoints(4))
    name, _ = rig.ask("charge")
    actions = rig.end_attempt(name, 0, ending)
    assert [type(a) for a in final_responses(actions)] == [Fail] and not actions_of_type(
        actions, StartAttempt
    )


@pytest.mark.parametrize("ending", NOT_RUN)
def test_a_non_idempotent_request_that_did_not_run_is_retried_elsewhere(ending: Outcome) -> None:
    rig = EngineHarness(make_endpoints(4))
    name, _ = rig.ask("charge")
    sends = actions_of_type(rig.end_attempt(name, 0, ending, 5.0), StartAttempt)
    assert len(sends) == 1 and sends[0].address != rig.sent_addresses[name][0]


def test_a_non_idempotent_request_is_rejected_only_if_no_attempt_ran() -> None:
    rig = EngineHarness(make_endpoints(4))
    name, _ = rig.ask("charge")
    rig.end_attempt(name, 0, Outcome.REJECTED, 5.0)
    assert [type(a) for a in final_responses(rig.end_attempt(name, 1, Outcome.RESET, 5.0))] == [Fail]


def test_a_zone_scoped_key_pins_a_request_once_it_may_have_run() -> None:
    for seed in range(20):
        rig = EngineHarness(make_endpoints(6, "abc"), seed=seed)
        name, _ = rig.ask("bid")
        first = rig.sent_addresses[name][0]
        rig.now += 100.0
        rig.end_attempt(name, 0, Outcome.TIMEOUT, 100.0)
        zones = {int(server[1:]) % 3 for server in rig.sent_addresses[name]}
        assert zones == {int(first[1:]) % 3} and len(rig.sent_addresses[name]) == 2


def test_a_pinned_request_without_a_server_in_its_zone_fails() -> None:
    rig = EngineHarness((Endpoint("s0", "a"),))
    name, _ = rig.ask("bid")
    rig.handle_event(EndpointList(EndpointListKind.FULL, (Endpoint("s1", "b"),)))
    actions = rig.end_attempt(name, 0, Outcome.TIMEOUT, 100.0) + rig.advance(4000.0)
    assert not actions_of_type(actions, StartAttempt)
    assert [type(a) for a in final_responses(actions)] == [Fail]


def test_a_request_with_a_key_is_not_retried_after_its_expiry() -> None:
    rig = EngineHarness(make_endpoints(4))
    name, _ = rig.ask("order", left=6000.0)
    rig.now += 2100.0
    actions = rig.end_attempt(name, 0, Outcome.RESET, 2100.0)
    assert not actions_of_type(actions, StartAttempt) and [type(a) for a in final_responses(actions)] == [
        Fail
    ]


def test_a_waiting_request_with_a_key_is_not_sent_after_its_expiry() -> None:
    order = RequestClass("order", 5000.0, 2.0, Idempotency.WITH_KEY, IdempotencyScope.ALL, 1200.0)
    classes = (order,)
    rig = EngineHarness(make_endpoints(1), replace_settings(SETTINGS, classes=classes))
    name, _ = rig.ask("order", left=6000.0)
    rig.now += 1000.0
    rig.handle_event(endpoint_change("s0"))
    rig.end_attempt(name, 0, Outcome.RESET, 1000.0)
    rig.now += 400.0
    actions = rig.handle_event(EndpointList(EndpointListKind.CHANGES, (Endpoint("s9", "a"),))) + rig.advance(
        6000.0
    )
    assert not actions_of_type(actions, StartAttempt) and [type(a) for a in final_responses(actions)] == [
        Fail
    ]


# --- rule 3: nothing new to draining or removed servers ------------------------------------------------


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_nothing_new_to_a_draining_or_removed_server(state: EndpointState) -> None:
    rig = EngineHarness(make_endpoints(3))
    rig.handle_event(endpoint_change("s1", state))
    for _ in range(60):
        rig.ask()
    assert {s for sent in rig.sent_addresses.values() for s in sent} == {"s0", "s2"}


def test_absent_from_a_full_list_is_removed() -> None:
    rig = EngineHarness(make_endpoints(3))
    rig.handle_event(EndpointList(EndpointListKind.FULL, make_endpoints(2)))
    for _ in range(60):
        rig.ask()
    assert "s2" not in {s for sent in rig.sent_addresses.values() for s in sent}


def test_failed_list_keeps_the_old_one() -> None:
    rig = EngineHarness(make_endpoints(2))
    rig.handle_event(EndpointList(EndpointListKind.FAILED))
    assert actions_of_type(rig.ask()[1], StartAttempt)


def test_a_waiting_request_is_not_sent_to_a_draining_server() -> None:
    rig = EngineHarness(make_endpoints(1))
    name, _ = rig.ask()
    rig.handle_event(endpoint_change("s0"))
    actions = rig.end_attempt(name, 0, Outcome.REJECTED, 5.0) + rig.advance(3000.0)
    assert not actions_of_type(actions, StartAttempt) and len(final_responses(actions)) == 1


# --- rule 4: slow start --------------------------------------------------------------------------------


def test_a_server_that_warms_up_gets_less_than_its_fraction_of_warm_traffic() -> None:
    rig = EngineHarness(make_endpoints(4))
    rig.warm_up()
    rig.handle_event(EndpointList(EndpointListKind.CHANGES, (Endpoint("cold", "a", started_ms=rig.now),)))
    start = rig.now
    sent: dict[str, int] = {}
    for _ in range(100):
        name, _ = rig.ask()
        server = rig.sent_addresses[name][0]
        sent[server] = sent.get(server, 0) + 1
        rig.now += 5.0
        rig.end_attempt(name, 0, Outcome.OK)
        rig.now += 5.0
    warm = sum(n for s, n in sent.items() if s != "cold") / 4
    assert rig.now - start <= 1000.0 and sent.get("cold", 0) <= max(1.0, 0.5 * warm)


def test_three_gateways_together_stay_under_the_slow_start_fraction() -> None:
    total = {"cold": 0, "warm": 0}
    for seed in range(3):
        rig = EngineHarness(make_endpoints(4), replace_settings(SETTINGS, gateway_count=3), seed=seed)
        rig.warm_up()
        rig.handle_event(EndpointList(EndpointListKind.CHANGES, (Endpoint("cold", "a", started_ms=rig.now),)))
        for _ in range(100):
            name, actions = rig.ask()
            if actions_of_type(actions, StartAttempt):
                total["cold" if rig.sent_addresses[name][0] == "cold" else "warm"] += 1
                rig.now += 5.0
                rig.end_attempt(name, 0, Outcome.OK)
            rig.now += 5.0
    # The server starts at a quarter of its capacity, and twice that overloads it: it may get at most half of
    # what a warm server gets.
    assert total["warm"] > 200 and total["cold"] <= 0.5 * total["warm"] / 4


def test_a_new_gateway_sends_little_to_servers_that_all_warm_up() -> None:
    rig = EngineHarness(make_endpoints(3, started_ms=1000.0))
    sends = sum(len(actions_of_type(rig.ask()[1], StartAttempt)) for _ in range(200))
    assert sends <= 6


def test_attempts_at_servers_that_warm_up_do_not_raise_their_rate() -> None:
    # Guards against counting attempts at warming servers as warm traffic: with all servers warming up, the
    # rate of attempts would keep rising.
    rig = EngineHarness(make_endpoints(6, started_ms=1000.0))
    sends = 0
    for _ in range(400):
        name, actions = rig.ask()
        if actions_of_type(actions, StartAttempt):
            sends += 1
            rig.end_attempt(name, 0, Outcome.OK, 10.0)
        rig.advance(10.0)
    assert sends <= 6


# --- rule 5: ceilings ----------------------------------------------------------------------------------


def send_through(rigs: list[EngineHarness], ms: float, gap_ms: float, units: float) -> float:
    """Sends one tenant's requests to all gateways at a high rate; returns the units that were admitted."""
    total, elapsed = 0.0, 0.0
    while elapsed < ms:
        for rig in rigs:
            name, actions = rig.ask(plan="hard", units=units)
            if actions_of_type(actions, StartAttempt):
                total += units
                rig.now += 1.0
                rig.end_attempt(name, 0, Outcome.OK, 1.0)
            rig.advance(gap_ms)
        elapsed += gap_ms
    return total


@pytest.mark.parametrize("counter", [True, False])
@pytest.mark.parametrize("units", [1.0, 2.0])
def test_ceiling_holds_with_an_unavailable_or_empty_counter(counter: bool, units: float) -> None:
    rigs = [
        EngineHarness(make_endpoints(4), replace_settings(SETTINGS, has_counter=counter), seed=i)
        for i in range(2)
    ]
    seconds = 8.0
    sent = send_through(rigs, seconds * 1000.0, 50.0, units)
    assert sent <= 12.0 + 4.0 * (rigs[0].now - 1000.0) / 1000.0 + 2.0


def test_restarted_gateways_do_not_spend_the_ceiling_again() -> None:
    rigs = [EngineHarness(make_endpoints(4), seed=i) for i in range(2)]
    for rig in rigs:
        rig.advance(10_000.0)
    sent = send_through(rigs, 500.0, 20.0, 1.0)
    sent += send_through([EngineHarness(make_endpoints(4), seed=i) for i in range(2)], 500.0, 20.0, 1.0)
    assert sent <= 12.0 + 4.0 * 1.1 + 2.0


def test_rejections_of_any_kind_carry_a_retry_after() -> None:
    rig = EngineHarness(make_endpoints(4))
    rejections = [a for _ in range(60) for a in actions_of_type(rig.ask(plan="rate")[1], Reject)]
    assert rejections and all(0 < a.retry_after_ms <= 500.0 for a in rejections)


def counted_units(rig: EngineHarness) -> float:
    """Returns the units that were reported to the counter for a tenant, with those yet to be reported."""
    rig.answer_calls()
    amounts = [action.amount for _, action in rig.action_log if isinstance(action, IncrementCounter)]
    return round(sum(amounts, rig.gateway.quota.tenants.by_id["c"].unreported_units), 3)


def leaves_while_waiting_for_server(rig: EngineHarness, plan: str) -> None:
    """The client disconnects while its request waits for a server to come up."""
    name, actions = rig.ask(plan=plan)
    assert not final_responses(actions)
    rig.handle_event(ClientDisconnected(name))
    rig.handle_event(EndpointList(EndpointListKind.CHANGES, make_endpoints(1)))


def leaves_while_waiting_for_counter(rig: EngineHarness, plan: str) -> None:
    """The counter's reply arrives after the client has disconnected."""
    rig.gateway.quota.counter.needs_total = lambda now_ms, tenant, units: True  # type: ignore[method-assign]
    rig.handle_event(Request("gone", "read", plan, "c", 3000.0, 1.0, 2))
    rig.handle_event(ClientDisconnected("gone"))
    assert not actions_of_type(rig.answer_calls(), StartAttempt)


def leaves_while_connecting(rig: EngineHarness, plan: str) -> None:
    rig.handle_event(EndpointList(EndpointListKind.CHANGES, make_endpoints(1)))
    name, _ = rig.ask(plan=plan)
    rig.handle_event(ClientDisconnected(name))
    rig.end_attempt(name, 0, Outcome.NOT_SENT, final=True)


def finds_no_server(rig: EngineHarness, plan: str) -> None:
    _, actions = rig.ask(plan=plan)
    assert actions_of_type(actions + rig.advance(500.0), Reject)


def reaches_no_server(rig: EngineHarness, plan: str) -> None:
    rig.handle_event(EndpointList(EndpointListKind.CHANGES, make_endpoints(1)))
    name, _ = rig.ask(plan=plan)
    for attempt in range(4):
        if len(rig.sent_addresses.get(name, ())) > attempt:
            rig.end_attempt(name, attempt, Outcome.UNREACHABLE)
        rig.advance(300.0)


def leaves_while_running(rig: EngineHarness, plan: str) -> None:
    rig.handle_event(EndpointList(EndpointListKind.CHANGES, make_endpoints(1)))
    name, _ = rig.ask(plan=plan)
    rig.handle_event(ClientDisconnected(name))
    rig.end_attempt(name, 0, Outcome.CANCELLED, final=True)


def is_rejected_by_server(rig: EngineHarness, plan: str) -> None:
    """The request has reached a server, so its units are not refunded."""
    rig.handle_event(EndpointList(EndpointListKind.CHANGES, make_endpoints(1)))
    name, _ = rig.ask(plan=plan)
    rig.handle_event(ClientDisconnected(name))
    rig.end_attempt(name, 0, Outcome.REJECTED, final=True)


@pytest.mark.parametrize("run_request", [leaves_while_waiting_for_server, leaves_while_waiting_for_counter,
                                 leaves_while_connecting, finds_no_server, reaches_no_server])  # fmt: skip
def test_a_request_that_reached_no_server_is_refunded(
    run_request: Callable[[EngineHarness, str], None],
) -> None:
    rig = EngineHarness(())
    rig.handle_event(EndpointList(EndpointListKind.CACHED, ()))
    run_request(rig, "rate")
    assert counted_units(rig) == 0.0
    tenant = rig.gateway.quota.tenants.by_id["c"]
    assert tenant.bucket_units == 6.0 and not rig.gateway.execution.requests


@pytest.mark.parametrize("run_request", [leaves_while_running, is_rejected_by_server])
def test_a_request_that_reached_a_server_is_not_refunded(
    run_request: Callable[[EngineHarness, str], None],
) -> None:
    rig = EngineHarness(())
    rig.handle_event(EndpointList(EndpointListKind.CACHED, ()))
    run_request(rig, "rate")
    assert counted_units(rig) == 1.0


def test_under_a_ceiling_nothing_is_taken_off_a_total() -> None:
    """Guards against refunds under a ceiling: a counter that has lost its memory would grant refunded units
    again, so the guard and the counter keep them."""
    rig = EngineHarness(())
    rig.handle_event(EndpointList(EndpointListKind.CACHED, ()))
    name, actions = rig.ask(plan="hard")
    assert not final_responses(actions)
    guard = rig.gateway.quota.tenants.by_id["c"].ceiling_guard_units
    rig.handle_event(ClientDisconnected(name))
    assert rig.gateway.quota.tenants.by_id["c"].ceiling_guard_units == guard
    rig.advance(3000.0)
    rig.answer_calls()
    assert all(action.amount >= 0.0 for _, action in rig.action_log if isinstance(action, IncrementCounter))
