"""Tests that a gateway recovers from any state that faults leave: a low capacity estimate, stalls, and states
that could persist by themselves once requests stop."""

from __future__ import annotations

import math
from collections.abc import Callable
from pathlib import Path

import pytest

from benchmarks.recovery import measure
from glenchute.policy.actions import StartAttempt
from glenchute.policy.admission.call_pacing import MIN_CALL_FRACTION
from glenchute.policy.admission.capacity import CapacityEstimate
from glenchute.policy.events import AttemptEnded, EndpointList, EndpointListKind, Outcome
from glenchute.policy.settings import Idempotency, RequestClass
from lab.peers import run_scenario
from lab.sim.recovery import draw_script, draw_shape, find_failure
from lab.sim.swarm import Fault, Script
from tests.rig import EngineHarness, actions_of_type, make_endpoints

# Fault scripts after which the gateway did not recover in earlier versions, each by what happens in it.
RECOVERY_SCRIPTS = {
    "few slow requests while traffic is low": Script(18, (Fault(6536, "slow in the quiet", 0.09, 953),)),
    "only server hangs": Script(48, (Fault(4576, "hang", 0.91, 625),)),
    "slow, then little traffic": Script(
        53, (Fault(6248, "all slow", 0.69, 79), Fault(7127, "trickle", 0.47, 195))
    ),
    "half of the servers die": Script(
        228, (Fault(8604, "all slow", 0.56, 810), Fault(8788, "half die", 0.07, 319))
    ),
}


@pytest.mark.parametrize("name", RECOVERY_SCRIPTS)
def test_scripts_that_once_ended_service(name: str) -> None:
    assert find_failure(RECOVERY_SCRIPTS[name]) is None


def test_service_comes_back_over_seeds() -> None:
    # Only cheap seeds run here; `python -m lab.sim.recovery` runs the expensive ones.
    shapes = {seed: draw_shape(seed) for seed in range(200, 260)}
    seeds = [seed for seed, shape in shapes.items() if shape.rate < 30.0 and shape.gateways <= 20]
    assert len(seeds) >= 20 and not [
        failure for seed in seeds if (failure := find_failure(draw_script(seed))) is not None
    ]


def window_demand_only(patch: pytest.MonkeyPatch) -> None:
    """The estimate falls to the demand of a late window, however few responses it had, and has no floor."""
    original = CapacityEstimate.end_window

    def end_window(self: CapacityEstimate, now: float, ages: list[float]) -> None:
        ratios = sorted(self.latency_ratios + ages)
        before, start, units = self.capacity_per_s, self.window_start_ms, sum(self.window_units.values())
        original(self, now, ages)
        if self.window_start_ms == now and start is not None and ratios and ratios[len(ratios) // 2] > 0.5:
            self.capacity_per_s = min(before, 0.7 * units / ((now - start) / 1000.0))

    patch.setattr(CapacityEstimate, "end_window", end_window)
    patch.setattr(CapacityEstimate, "floor_per_s", 0.0)


def no_floor(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(CapacityEstimate, "floor_per_s", 0.0)


def no_growth(patch: pytest.MonkeyPatch) -> None:
    """The estimate never rises again."""
    original = CapacityEstimate.end_window

    def end_window(self: CapacityEstimate, now: float, ages: list[float]) -> None:
        before = self.capacity_per_s
        original(self, now, ages)
        self.capacity_per_s = min(before, self.capacity_per_s)

    patch.setattr(CapacityEstimate, "end_window", end_window)


@pytest.mark.parametrize(
    ("bug", "script"),
    [
        (window_demand_only, "only server hangs"),
        (no_floor, "half of the servers die"),
        (no_growth, "only server hangs"),
    ],
)
def test_an_injected_fault_is_found(
    bug: Callable[[pytest.MonkeyPatch], None], script: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    bug(monkeypatch)
    failure = find_failure(RECOVERY_SCRIPTS[script])
    assert failure is not None and failure.rule == "recovery"


def run_windows(
    estimate: CapacityEstimate, windows: int, responses: int, latency_ratio: float, demand: float
) -> float:
    """Feeds windows of one second, each with this demand and this number of responses, all of one latency
    ratio; returns the estimate after them."""
    now = estimate.window_start_ms or 0.0
    estimate.end_window(now, [])
    for _ in range(windows):
        now += 1000.0
        for _ in range(responses):
            estimate.record_latency(latency_ratio * 1000.0, 1000.0)
        estimate.window_units = {1.0: demand} if demand else {}
        estimate.end_window(now, [])
    return estimate.capacity_per_s


def test_one_old_request_without_others_is_no_bound() -> None:
    estimate = CapacityEstimate()
    run_windows(estimate, 3, 20, 0.05, 20.0)
    estimate.end_window((estimate.window_start_ms or 0.0) + 4000.0, [0.7])
    assert estimate.capacity_per_s > 20.0


def test_hung_servers_are_detected_though_none_responds() -> None:
    estimate = CapacityEstimate()
    run_windows(estimate, 3, 20, 0.05, 20.0)
    estimate.window_units = {1.0: 80.0}
    estimate.end_window((estimate.window_start_ms or 0.0) + 4000.0, [2.0] * 60)
    assert estimate.capacity_per_s <= 0.7 * 20.0


def test_the_capacity_estimate_recovers_from_any_value() -> None:
    estimate = CapacityEstimate()
    run_windows(estimate, 40, 20, 2.0, 20.0)
    low_estimate = estimate.capacity_per_s
    assert 0.0 < low_estimate < 2.0
    run_windows(estimate, 6, 20, 0.05, 20.0)
    assert estimate.capacity_per_s > 20.0


def test_the_floor_is_one_request_at_a_time_at_each_server_per_gateway() -> None:
    estimate = CapacityEstimate()
    estimate.servers_per_gateway = 0.5
    for _ in range(60):
        estimate.record_latency(250.0, 1000.0)
    assert estimate.floor_per_s == pytest.approx(2.0, rel=0.01)


def test_attempts_in_flight_during_a_stall_say_nothing_of_servers() -> None:
    rig = EngineHarness(make_endpoints(3))
    rig.warm_up()
    in_flight_names = [
        name
        for name, actions in (rig.ask(customer=f"c{i}") for i in range(6))
        if actions_of_type(actions, StartAttempt)
    ]
    means = dict(rig.gateway.pool.latency.mean_ms)
    relative_latencies = {name: server.relative_latency for name, server in rig.gateway.pool.servers.items()}
    rig.now += 3500.0  # without a tick of the engine
    for name in in_flight_names:
        rig.end_attempt(name, 0, Outcome.TIMEOUT, 3500.0)
    rig.advance(2000.0)
    assert in_flight_names and rig.gateway.pool.latency.mean_ms == means
    assert {
        name: server.relative_latency for name, server in rig.gateway.pool.servers.items()
    } == relative_latencies
    assert rig.gateway.shedder.capacity.capacity_per_s == math.inf
    assert all(not s.in_flight and s.unanswered_since_ms is None for s in rig.gateway.pool.servers.values())


def test_few_slow_responses_do_not_end_service(tmp_path: Path) -> None:
    """Guards against rejections while the servers are healthy, after a time with little traffic."""

    async def scenario() -> None:
        for row in await measure("quiet", tmp_path, 2.0):
            assert row.rejected == 0 and row.served == row.requests > 20

    run_scenario(scenario())


def lose_counter(rig: EngineHarness) -> None:
    """The counter replies to no call, while there are units to report."""
    rig.counter_outcome = Outcome.TIMEOUT
    for _ in range(4):
        rig.ask(plan="rate", customer="c")
        rig.advance(1500.0)
        rig.answer_calls()


def counter_available_again(rig: EngineHarness) -> bool:
    """Lets the counter reply again, and sends a request, which the local share admits, so that there are
    units to report. Returns whether the counter counts as available."""
    rig.counter_outcome = Outcome.OK
    rig.ask(plan="rate", customer="other")
    for _ in range(8):
        rig.advance(250.0)
        rig.answer_calls()
    return not rig.gateway.quota.counter.pacing.is_unavailable


def slow_calls(rig: EngineHarness) -> None:
    rig.gateway.quota.counter.pacing.call_fraction, rig.gateway.quota.counter.pacing.late_fraction = (
        MIN_CALL_FRACTION,
        1.0,
    )


def lower_capacity(rig: EngineHarness) -> None:
    """The capacity estimate is at its floor, and the credit of requests of this value is spent."""
    rig.gateway.shedder.capacity.capacity_per_s, rig.gateway.shedder.capacity.mean_latency_s = 0.01, 3.0
    while actions_of_type((request := rig.ask())[1], StartAttempt):
        rig.end_attempt(request[0], 0, Outcome.OK, 900.0)


def fill_backlog(rig: EngineHarness) -> None:
    """As much work is in flight as is admitted, so that a new request would be late; then all of it times
    out."""
    names = []
    while actions_of_type((request := rig.ask(left=500.0))[1], StartAttempt):
        names.append(request[0])
    rig.now += 500.0
    for name in names:
        rig.end_attempt(name, 0, Outcome.TIMEOUT, 500.0, final=True)


def move_use_elsewhere(rig: EngineHarness) -> None:
    """By the counter's totals all of a tenant's use came through other gateways; then the counter becomes
    unavailable with this gateway's local share spent."""
    rig.others_units = 60.0
    for _ in range(4):
        rig.ask(plan="rate", customer="c")
        rig.advance(3000.0)
        rig.answer_calls()
    rig.others_units = 0.0
    lose_counter(rig)
    rig.gateway.quota.tenants.by_id["c"].local_units = 0.0


def fail_connects(rig: EngineHarness, failures: int = 10) -> None:
    """A server that could not be reached ten times in a row is backed off, and its failure rate is high."""
    request = RequestClass("read", 1000.0, 1.0, Idempotency.IDEMPOTENT)
    end = AttemptEnded("x", 0, "s0", Outcome.UNREACHABLE, 1.0, False)
    for _ in range(failures):
        rig.gateway.pool.record_end(rig.now, end, request, 1.0)


def restart_servers(rig: EngineHarness) -> None:
    """All servers have just started, and their slow-start tokens are spent."""
    rig.handle_event(EndpointList(EndpointListKind.FULL, make_endpoints(3, started_ms=rig.now)))
    for server in rig.gateway.pool.servers.values():
        server.slow_start_tokens, server.slow_start_tokens_ms = 0.0, rig.now


def lose_counter_memory(rig: EngineHarness) -> None:
    """The counter lost its memory of a window, so the window's key grants nothing more."""
    rig.ask(plan="hard", customer="c")
    rig.advance(1500.0)
    rig.answer_calls()
    window_counter = rig.gateway.quota.tenants.by_id["c"].window_counter
    assert window_counter is not None
    window_counter.has_lost_memory = True


def spend_retry_budget(rig: EngineHarness) -> None:
    rig.gateway.execution.retry_budget.tokens = 0.0


def slow_server(rig: EngineHarness) -> None:
    """One server has 60 times the relative latency of the others, so that requests avoid it."""
    server = rig.gateway.pool.servers["s0"]
    server.relative_latency, server.relative_latency_ms = 60.0, rig.now


def is_served(rig: EngineHarness, plan: str = "wide", customer: str = "c") -> bool:
    return bool(actions_of_type(rig.ask(plan=plan, customer=customer)[1], StartAttempt))


def is_server_used(rig: EngineHarness, server: str = "s0") -> bool:
    """Returns whether any request of a burst goes to this server."""
    return any(server in rig.sent_addresses.get(rig.ask(customer=f"b{n}")[0], ()) for n in range(24))


def is_granting(rig: EngineHarness) -> bool:
    rig.ask(plan="hard", customer="c")
    rig.advance(1500.0)
    rig.answer_calls()
    window_counter = rig.gateway.quota.tenants.by_id["c"].window_counter
    return window_counter is not None and window_counter.granted_fraction(2) > 0.0


def is_retried(rig: EngineHarness) -> bool:
    """Returns whether a failed attempt is retried, after the five requests that pay for one retry."""
    for _ in range(5):
        name, _ = rig.ask()
        rig.end_attempt(name, 0, Outcome.OK)
    return bool(actions_of_type(rig.end_attempt(rig.ask()[0], 0, Outcome.RESET), StartAttempt))


def makes_all_calls(rig: EngineHarness) -> bool:
    return rig.gateway.quota.counter.pacing.call_fraction == 1.0


# By state: a function that causes it, one that returns whether it has ended, and the seconds without requests
# within which it must end.
SELF_SUSTAINING: dict[str, tuple[Callable[[EngineHarness], None], Callable[[EngineHarness], bool], float]] = {
    "capacity estimate and credit": (lower_capacity, is_served, 24.0),
    "peak rate and backlog": (fill_backlog, is_served, 0.0),
    "spent local share": (move_use_elsewhere, lambda rig: is_served(rig, "rate"), 61.0),
    "unavailable counter": (lose_counter, counter_available_again, 0.0),
    "call fraction": (slow_calls, makes_all_calls, 120.0),
    "connect backoff": (fail_connects, is_server_used, 12.5),
    "failure rate": (fail_connects, lambda rig: rig.gateway.pool.update_health(rig.now) == [], 5.0),
    "slow-start tokens": (restart_servers, is_served, 10.0),
    "lost memory of a window": (lose_counter_memory, is_granting, 3.0),
    "retry budget": (spend_retry_budget, is_retried, 0.0),
    "relative latency": (slow_server, is_server_used, 180.0),
}


@pytest.mark.parametrize("state", SELF_SUSTAINING)
def test_each_self_sustaining_state_ends_without_requests(state: str) -> None:
    set_state, is_over, idle_s = SELF_SUSTAINING[state]
    rig = EngineHarness(make_endpoints(3))
    rig.warm_up()
    set_state(rig)
    if idle_s:
        assert not is_over(rig), "the fault did not cause this state"
    rig = EngineHarness(make_endpoints(3))
    rig.warm_up()
    set_state(rig)
    for _ in range(int(idle_s * 4.0)):
        rig.advance(250.0)
        rig.answer_calls()
    assert is_over(rig)


def rig_after_a_quiet_time() -> EngineHarness:
    """Returns an engine that knows its three servers, has had no request for 20 s, and then one response."""
    rig = EngineHarness(make_endpoints(3))
    rig.warm_up()
    rig.advance(20_000.0)
    name, _ = rig.ask()
    rig.now += 20.0
    rig.end_attempt(name, 0, Outcome.OK)
    return rig


def test_a_server_that_pauses_after_a_quiet_time_causes_no_rejections() -> None:
    """Guards against requests rejected as overload though the servers have room: after a time with little
    traffic the rate of completed work shows the demand, and not what the servers can do."""
    rig = rig_after_a_quiet_time()
    admitted = 0
    for number in range(12):  # 0.6 s in which no response comes
        _, actions = rig.ask(customer=f"c{number}")
        admitted += bool(actions_of_type(actions, StartAttempt))
        rig.advance(50.0)
    assert admitted == 12


def test_servers_that_do_not_respond_after_a_quiet_time_still_cause_rejections() -> None:
    rig = rig_after_a_quiet_time()
    # One request at a time at each of 1.5 servers for half of the latency objective of 1 s.
    most_admitted = (
        0.5 * 1000.0 * 1.5 / rig.gateway.pool.latency.expected_ms(rig.gateway.classes["read"], 1.0)
    )
    admitted = sum(
        bool(actions_of_type(rig.ask(customer=f"c{number}")[1], StartAttempt)) for number in range(100)
    )
    assert admitted <= most_admitted + 1.0
