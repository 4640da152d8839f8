"""Tests of the decision engine's quotas, capacity estimate and choice of servers, by scripted events."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from glenchute.policy.actions import IncrementCounter, LogMessage, Reject, StartAttempt
from glenchute.policy.events import (
    AttemptEnded,
    Endpoint,
    EndpointList,
    EndpointListKind,
    Outcome,
    ResponseStarted,
)
from tests.rig import (
    SETTINGS,
    EngineHarness,
    actions_of_type,
    final_responses,
    make_endpoints,
    replace_settings,
)

ROOT = Path(__file__).resolve().parents[2]


def served_requests(
    rig: EngineHarness, count: int, gap_ms: float, plan: str = "rate", units: float = 1.0
) -> int:
    """Sends requests of one tenant and ends each attempt at once; returns how many were admitted."""
    served = 0
    for _ in range(count):
        name, actions = rig.ask(plan=plan, units=units)
        if actions_of_type(actions, StartAttempt):
            served += 1
            rig.end_attempt(name, 0, Outcome.OK, 1.0)
        rig.answer_calls()
        rig.advance(gap_ms)
    return served


# --- quotas --------------------------------------------------------------------------------------------


def test_burst_then_rate() -> None:
    rig = EngineHarness(make_endpoints(4))
    assert 5 <= served_requests(rig, 100, 1.0) <= 7
    rig.advance(500.0)
    assert 15 <= served_requests(rig, 400, 25.0) <= 26


def test_use_by_other_gateways_drains_the_bucket() -> None:
    without_others, with_others = EngineHarness(make_endpoints(4)), EngineHarness(make_endpoints(4))
    for rig, others_units in ((without_others, 0.0), (with_others, 1.0)):
        rig.others_units = others_units
        for _ in range(200):
            name, actions = rig.ask(plan="rate")
            if actions_of_type(actions, StartAttempt):
                rig.end_attempt(name, 0, Outcome.OK, 1.0)
            rig.answer_calls()
            rig.advance(100.0)
    sent = [len({r for r in rig.sent_addresses}) for rig in (without_others, with_others)]
    assert sent[1] < 0.8 * sent[0]


def test_a_trickle_is_admitted_by_credit() -> None:
    rig = EngineHarness(make_endpoints(4))
    assert served_requests(rig, 20, 1500.0) == 20


def test_an_unavailable_counter_leaves_the_local_share() -> None:
    rig = EngineHarness(make_endpoints(4), replace_settings(SETTINGS, has_counter=True))
    rig.counter_outcome, served = Outcome.UNREACHABLE, 0
    for _ in range(600):
        name, actions = rig.ask(plan="rate")
        if actions_of_type(actions, StartAttempt):
            served += 1
            rig.end_attempt(name, 0, Outcome.OK, 1.0)
        rig.answer_calls()
        rig.advance(25.0)
    # The local share of one of two gateways: half of the burst, and of the rate over 15 s; plus 5 requests.
    assert 10 <= served <= 6 / 2 + 2.0 / 2 * 15 + 5


def test_an_unavailable_counter_is_probed_rarely_and_recovers() -> None:
    rig = EngineHarness(make_endpoints(4))
    rig.counter_outcome = Outcome.TIMEOUT
    for _ in range(100):
        rig.ask(plan="rate")
        rig.answer_calls()
        rig.advance(25.0)
    assert rig.gateway.quota.counter.pacing.is_unavailable
    before = len(rig.action_log)
    for _ in range(100):
        rig.ask(plan="rate")
        rig.answer_calls()
        rig.advance(25.0)
    assert len([a for _, a in rig.action_log[before:] if isinstance(a, IncrementCounter)]) <= 6
    rig.counter_outcome = Outcome.OK
    rig.advance(600.0)
    rig.ask(plan="rate")
    rig.answer_calls()
    assert not rig.gateway.quota.counter.pacing.is_unavailable


def test_a_window_change_is_no_fall_in_demand() -> None:
    rig = EngineHarness(make_endpoints(4))
    rig.others_units = 0.5
    for _ in range(70):
        name, actions = rig.ask(plan="rate")
        if actions_of_type(actions, StartAttempt):
            rig.end_attempt(name, 0, Outcome.OK, 1.0)
        rig.answer_calls()
        rig.advance(50.0)
    tenant = rig.gateway.quota.tenants.by_id["c"]
    demand_before, window = tenant.others_demand_per_s, tenant.window_start_ms
    rig._totals.clear()
    rig.others_units = -1.0
    answered = rig._answered
    while rig._answered == answered:
        rig.ask(plan="rate")
        rig.advance(20.0)
        rig.answer_calls()
    assert (
        tenant.window_start_ms == window
        and demand_before > 0
        and tenant.others_demand_per_s >= 0.5 * demand_before
    )


def test_a_rejecting_gateway_learns_that_the_others_stopped() -> None:
    # Guards against a gateway that rejects everything, so has nothing to report and gets no total, and keeps
    # draining the bucket by an outdated rate of the others' use.
    rig = EngineHarness(make_endpoints(4))
    rig.others_units = 3.0
    for _ in range(40):
        name, actions = rig.ask(plan="rate")
        if actions_of_type(actions, StartAttempt):
            rig.end_attempt(name, 0, Outcome.OK, 1.0)
        rig.answer_calls()
        rig.advance(100.0)
    rig.others_units = 0.0
    assert served_requests(rig, 60, 100.0) >= 6


def test_calls_are_reduced_while_they_are_rejected() -> None:
    def count_calls(ending: Outcome) -> int:
        rig = EngineHarness(make_endpoints(4))
        for i in range(400):
            rig.counter_outcome = ending if i % 3 else Outcome.OK
            rig.ask(plan="rate", customer=f"c{i % 20}")
            rig.answer_calls()
            rig.advance(20.0)
        return len([a for _, a in rig.action_log if isinstance(a, IncrementCounter)])

    assert count_calls(Outcome.REJECTED) < 0.5 * count_calls(Outcome.OK)


def test_concurrency_limit_counts_attempts_in_flight() -> None:
    rig = EngineHarness(make_endpoints(4))
    is_started = [bool(actions_of_type(rig.ask(plan="open")[1], StartAttempt)) for _ in range(6)]
    assert is_started == [True, True, False, False, False, False]
    rig.end_attempt("r1", 0, Outcome.OK)
    assert actions_of_type(rig.ask(plan="open")[1], StartAttempt)


def test_rejected_with_a_retry_after_within_the_limit() -> None:
    rig = EngineHarness(make_endpoints(4))
    rejections = [a for _ in range(30) for a in actions_of_type(rig.ask(plan="rate")[1], Reject)]
    assert rejections and all(1.0 <= a.retry_after_ms <= SETTINGS.max_retry_after_ms for a in rejections)


def test_an_evicted_tenant_returns_to_a_filled_guard() -> None:
    rig = EngineHarness(make_endpoints(4))
    rig.advance(30_000.0)
    assert actions_of_type(rig.ask(plan="hard", customer="new", units=2.0)[1], StartAttempt)


# --- capacity ------------------------------------------------------------------------------------------


def overload(rig: EngineHarness, seconds: float, duration_ms: float) -> int:
    """Sends more requests than are completed; returns the largest number in flight at once."""
    in_flight: list[str] = []
    max_in_flight = 0
    for step in range(int(seconds * 100)):
        name, actions = rig.ask(customer=f"c{step % 7}", left=4000.0)
        if actions_of_type(actions, StartAttempt):
            in_flight.append(name)
        max_in_flight = max(max_in_flight, len(in_flight))
        rig.now += 10.0
        if in_flight and step % 4 == 0:
            rig.end_attempt(in_flight.pop(0), 0, Outcome.OK, duration_ms)
        rig.advance(0.0)
        rig.answer_calls()
    return max_in_flight


def test_backlog_is_bounded_before_responses_are_late() -> None:
    rig = EngineHarness(make_endpoints(4))
    rig.warm_up()
    assert overload(rig, 3.0, 100.0) <= 40


def test_streamed_responses_that_have_begun_are_no_backlog() -> None:
    """Guards against shedding requests because clients take their time to read long values."""
    rig = EngineHarness(make_endpoints(4))
    rig.warm_up()
    for step in range(100):
        name, actions = rig.ask(customer=f"c{step}", left=4000.0)
        assert actions_of_type(actions, StartAttempt)
        rig.advance(5.0)
        rig.handle_event(ResponseStarted(name, 0))
        rig.advance(5.0)
        rig.answer_calls()
    assert rig.gateway.shedder.backlog.in_flight_ms == 0.0
    rig.end_attempt(name, 0, Outcome.OK, took=5.0)  # its work is not counted twice
    assert rig.gateway.shedder.backlog.in_flight_ms == 0.0
    assert actions_of_type(rig.ask(left=4000.0)[1], StartAttempt)


def test_first_requests_of_a_gateway_are_not_taken_for_a_backlog() -> None:
    rig = EngineHarness(make_endpoints(10))
    served = served_requests(rig, 10, 20.0, plan="wide")
    assert served == 10


def test_capacity_recovers_after_a_bad_second() -> None:
    rig = EngineHarness(make_endpoints(4))
    rig.warm_up()
    for _ in range(40):
        name, actions = rig.ask(customer="w")
        if actions_of_type(actions, StartAttempt):
            rig.end_attempt(name, 0, Outcome.OK, 2500.0)
        rig.advance(50.0)
    rig.advance(8000.0)
    assert served_requests(rig, 100, 50.0, plan="wide") >= 90


def test_timeouts_lengthen_the_next_ones() -> None:
    rig = EngineHarness(make_endpoints(4))
    rig.warm_up()
    first = actions_of_type(rig.ask()[1], StartAttempt)[0].timeout_ms
    for _ in range(60):
        name, actions = rig.ask()
        while actions_of_type(actions, StartAttempt) and not final_responses(actions):
            rig.now += 20.0
            actions = rig.end_attempt(name, len(rig.sent_addresses[name]) - 1, Outcome.TIMEOUT, 500.0)
        rig.advance(20.0)
    rig.advance(9000.0)
    sent = [a for _ in range(3) for a in actions_of_type(rig.ask()[1], StartAttempt)]
    assert first > 0 and sent and all(a.timeout_ms == 0 or a.timeout_ms > first for a in sent)


# --- servers -------------------------------------------------------------------------------------------


def share_of(
    rig: EngineHarness, server: str, count: int, outcome: Outcome, duration_ms: float, classes: str = "read"
) -> float:
    """Returns the fraction of first attempts that a server gets while its attempts end differently from those
    at other servers."""
    hits = total = 0
    for _ in range(count):
        name, actions = rig.ask(classes)
        if actions_of_type(actions, StartAttempt):
            total += 1
            first_server = rig.sent_addresses[name][0]
            hits += first_server == server
            rig.end_attempt(
                name,
                0,
                outcome if first_server == server else Outcome.OK,
                duration_ms if first_server == server else 20.0,
            )
        rig.advance(20.0)
    return hits / total


@pytest.mark.parametrize(
    ("ending", "took"), [(Outcome.ERROR, 1.0), (Outcome.REJECTED, 1.0), (Outcome.UNREACHABLE, 250.0)]
)
def test_quickly_failing_server_does_not_attract_requests(ending: Outcome, took: float) -> None:
    rig = EngineHarness(make_endpoints(5))
    rig.warm_up()
    assert share_of(rig, "s0", 200, ending, took) < 0.1


def test_slow_server_gets_less() -> None:
    rig = EngineHarness(make_endpoints(5))
    rig.warm_up()
    assert share_of(rig, "s0", 300, Outcome.OK, 200.0) < 0.12


def test_an_unresponsive_server_gets_nothing_more_before_any_timeout() -> None:
    rig = EngineHarness(make_endpoints(5))
    rig.warm_up()
    unanswered_attempts = 0
    for _ in range(200):
        name, actions = rig.ask("charge")
        if rig.sent_addresses[name][0] == "s0":
            unanswered_attempts += 1
        elif actions_of_type(actions, StartAttempt):
            rig.end_attempt(name, 0, Outcome.OK)
        rig.advance(5.0)
    assert unanswered_attempts <= 6


def test_failures_everywhere_do_not_hide_the_queues() -> None:
    # Guards against a choice that ignores the servers' queues when a class of requests fails on all servers.
    rig = EngineHarness(make_endpoints(4))
    rig.warm_up()
    for i in range(80):
        name, _ = rig.ask("charge")
        rig.end_attempt(name, 0, Outcome.ERROR if i % 2 else Outcome.OK, 20.0)
        rig.advance(20.0)
    rig.advance(300.0)
    for server in rig.gateway.pool.servers.values():
        server.peer_requests, server.load_report_ms = (
            (0.0 if server.endpoint.address == "s1" else 30.0),
            rig.now,
        )
    names = [rig.ask("charge")[0] for _ in range(3)]
    assert [rig.sent_addresses[name][0] for name in names].count("s1") >= 2


def test_a_shortage_of_this_process_says_nothing_of_the_server() -> None:
    """Guards against a backoff of the server, or use of the retry budget, when this process had no free
    connection."""
    rig = EngineHarness(make_endpoints(3))
    rig.warm_up()
    name, _ = rig.ask()
    first = rig.sent_addresses[name][0]
    server = rig.gateway.pool.servers[first]
    before = server.failure_rate, server.connect_failures, rig.gateway.execution.retry_budget.tokens
    actions = rig.end_attempt(name, 0, Outcome.NO_CONNECTION)
    assert [action.address == first for action in actions_of_type(actions, StartAttempt)] == [False]
    assert (server.failure_rate, server.connect_failures, rig.gateway.execution.retry_budget.tokens) == before
    assert server.backed_off_until_ms == 0.0 and server.in_flight == 0
    for number in range(1, 4):
        actions = rig.end_attempt(name, number, Outcome.NO_CONNECTION)
    assert [type(action) for action in final_responses(actions)] == [Reject]


@pytest.mark.parametrize("seed", range(12))
def test_among_backed_off_servers_the_least_loaded_is_chosen(seed: int) -> None:
    """Guards against a random choice, regardless of load, while all servers are backed off."""
    rig = EngineHarness(make_endpoints(4), seed=seed)
    rig.warm_up()
    for server in rig.gateway.pool.servers.values():
        server.backed_off_until_ms = rig.now + 60_000.0
        server.in_flight = 0 if server.endpoint.address == "s3" else 6
    name, _ = rig.ask()
    assert rig.sent_addresses[name] == ["s3"]


def test_a_restarted_server_is_a_new_server() -> None:
    rig = EngineHarness(make_endpoints(3))
    rig.warm_up()
    share_of(rig, "s0", 100, Outcome.ERROR, 1.0)
    rig.handle_event(EndpointList(EndpointListKind.CHANGES, (Endpoint("s0", "a", started_ms=rig.now),)))
    assert rig.gateway.pool.servers["s0"].failure_rate == 0.0


def test_load_reports_move_the_choice() -> None:
    rig = EngineHarness(make_endpoints(2))
    rig.warm_up()
    name, _ = rig.ask()
    loaded_server = rig.sent_addresses[name][0]
    rig.handle_event(AttemptEnded(name, 0, loaded_server, Outcome.OK, 20.0, True, queued_requests=40.0))
    names = [rig.ask()[0] for _ in range(3)]
    assert all(rig.sent_addresses[n][0] != loaded_server for n in names)


def test_retries_are_kept_to_a_budget() -> None:
    rig = EngineHarness(make_endpoints(6))
    attempts = 0
    for _ in range(100):
        name, actions = rig.ask("read")
        while actions_of_type(actions, StartAttempt) and not final_responses(actions):
            actions = rig.end_attempt(name, len(rig.sent_addresses[name]) - 1, Outcome.REJECTED, 1.0)
        attempts += len(rig.sent_addresses.get(name, []))
        rig.advance(10.0)
    assert attempts <= 100 * 1.3 + 10


def test_states_are_logged_once_when_they_begin_and_end() -> None:
    rig = EngineHarness(make_endpoints(1))
    rig.handle_event(EndpointList(EndpointListKind.FULL))
    rig.advance(20_000.0)
    rig.handle_event(EndpointList(EndpointListKind.FULL, make_endpoints(1)))
    rig.advance(20_000.0)
    lines = [a.message for _, a in rig.action_log if isinstance(a, LogMessage)]
    assert lines == ["no server to send to: begins", "no server to send to: ends"]


# --- whole engine --------------------------------------------------------------------------------------

SCRIPT = """
from tests.rig import EngineHarness, make_endpoints
from glenchute.policy.events import Outcome
rig = EngineHarness(make_endpoints(7, "abc"), seed=5)
rig.warm_up(2.0)
for i in range(200):
    cls, plan = ("read", "order", "bid", "charge")[i % 4], ("rate", "hard", "open")[i % 3]
    name, _ = rig.ask(cls, plan, f"c{i % 9}")
    if name in rig.sent_addresses:
        rig.end_attempt(name, 0, (Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT, Outcome.ERROR)[i % 4])
    rig.answer_calls()
    rig.advance(15.0)
print(rig.action_log)
"""


def test_same_events_and_seed_give_the_same_actions_in_any_process() -> None:
    logs = [
        subprocess.run(
            [sys.executable, "-c", SCRIPT], cwd=ROOT, env={"PYTHONHASHSEED": seed, "PYTHONPATH": str(ROOT)},
            capture_output=True, text=True, check=True,
        ).stdout
        for seed in ("0", "1", "12345")
    ]  # fmt: skip
    assert len(logs[0]) > 1000 and logs[0] == logs[1] == logs[2]


def test_the_modules_of_the_engine_keep_their_limits() -> None:
    """Checks that each module that the engine imports is listed and does not exceed the size limits."""
    listed = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    for name in listed:
        lines = (ROOT / name).read_text().splitlines()
        assert sum(1 for line in lines if line.strip()) <= 500, name
        assert max(len(line) for line in lines) <= 110, name
    script = (
        "import sys, glenchute.policy.engine; "
        "from glenchute.policy.admission import state_transfer, usage_updates; "  # imported on their events
        "print(*sorted(m for m in sys.modules if 'policy.' in m))"
    )
    command = [sys.executable, "-c", script]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    loaded = {f"{module.replace('.', '/')}.py" for module in result.stdout.split()}
    folders = {
        "glenchute/policy/admission.py",
        "glenchute/policy/balancing.py",
        "glenchute/policy/retries.py",
    }
    types = {f"glenchute/policy/{name}.py" for name in ("actions", "events", "record", "settings", "timing")}
    assert set(listed) == loaded - folders - types


@pytest.mark.parametrize(("others_units", "min_admitted", "max_admitted"), [(0.0, 26, 40), (6.0, 0, 14)])
def test_without_a_total_a_gateway_keeps_to_its_local_share(
    others_units: float, min_admitted: int, max_admitted: int
) -> None:
    # Guards against even shares, by which this gateway rejects a tenant's requests while shares are unused at
    # gateways that the tenant's requests no longer come through.
    rig = EngineHarness(make_endpoints(4))
    rig.others_units = others_units

    def run_second() -> int:
        admitted = 0
        for _ in range(2):
            name, _actions = rig.ask(plan="rate", spread=2)
            is_sent = bool(rig.sent_addresses.get(name))
            admitted += is_sent
            if is_sent:
                rig.end_attempt(name, 0, Outcome.OK, 1.0)
            rig.advance(500.0)
            rig.answer_calls()
        return admitted

    for _ in range(20):
        run_second()
    rig.counter_outcome = Outcome.TIMEOUT
    for _ in range(5):
        run_second()
    assert rig.gateway.quota.counter.pacing.is_unavailable
    # With even shares, 18 to 21 would be admitted.
    assert min_admitted <= sum(run_second() for _ in range(18)) <= max_admitted
