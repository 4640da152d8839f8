"""Service comes back from wherever faults have left a gateway: V, what a stop leaves, over seeds."""

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
from lab.peers import play
from lab.sim.recovery import drawn, shape_of, tried
from lab.sim.swarm import Fault, Script
from tests.rig import Rig, entries, only

FOUND = {  # scripts by which service did not come back; each tells the part of the engine that mends it
    "few requests out in a silence": Script(18, (Fault(6536, "slow in the quiet", 0.09, 953),)),
    "the only node hangs": Script(48, (Fault(4576, "hang", 0.91, 625),)),
    "slow, then silent": Script(53, (Fault(6248, "all slow", 0.69, 79), Fault(7127, "trickle", 0.47, 195))),
    "a process dies beside it": Script(
        228, (Fault(8604, "all slow", 0.56, 810), Fault(8788, "half die", 0.07, 319))
    ),
}


@pytest.mark.parametrize("name", FOUND)
def test_scripts_that_once_ended_service(name: str) -> None:
    assert tried(FOUND[name]) is None


def test_service_comes_back_over_seeds() -> None:
    shapes = {seed: shape_of(seed) for seed in range(200, 260)}  # the dear ones: python -m lab.sim.recovery
    seeds = [seed for seed, shape in shapes.items() if shape.rate < 30.0 and shape.gateways <= 20]
    assert len(seeds) >= 20 and not [failure for seed in seeds if (failure := tried(drawn(seed))) is not None]


def old_line(patch: pytest.MonkeyPatch) -> None:
    """V is what was asked for in a window, however little was seen; nothing lies under it."""
    sound = CapacityEstimate.end_window

    def window(self: CapacityEstimate, now: float, ages: list[float]) -> None:
        late = sorted(self.latency_ratios + ages)
        before, at, asked = self.capacity_per_s, self.window_start_ms, sum(self.window_units.values())
        sound(self, now, ages)
        if self.window_start_ms == now and at is not None and late and late[len(late) // 2] > 0.5:
            self.capacity_per_s = min(before, 0.7 * asked / ((now - at) / 1000.0))

    patch.setattr(CapacityEstimate, "end_window", window)
    patch.setattr(CapacityEstimate, "floor_per_s", 0.0)


def no_floor(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(CapacityEstimate, "floor_per_s", 0.0)


def no_growth(patch: pytest.MonkeyPatch) -> None:
    """What was seen once holds for ever."""
    sound = CapacityEstimate.end_window

    def window(self: CapacityEstimate, now: float, ages: list[float]) -> None:
        before = self.capacity_per_s
        sound(self, now, ages)
        self.capacity_per_s = min(before, self.capacity_per_s)

    patch.setattr(CapacityEstimate, "end_window", window)


@pytest.mark.parametrize(
    ("bug", "script"),
    [
        (old_line, "the only node hangs"),
        (no_floor, "a process dies beside it"),
        (no_growth, "the only node hangs"),
    ],
)
def test_an_injected_fault_is_found(
    bug: Callable[[pytest.MonkeyPatch], None], script: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    bug(monkeypatch)
    failure = tried(FOUND[script])
    assert failure is not None and failure.rule == "recovery"


def judged(pressure: CapacityEstimate, windows: int, answers: int, lateness: float, demand: float) -> float:
    """So many windows of a second, each with these answers; V after them."""
    now = pressure.window_start_ms or 0.0
    pressure.end_window(now, [])
    for _ in range(windows):
        now += 1000.0
        for _ in range(answers):
            pressure.record_latency(lateness * 1000.0, 1000.0)
        pressure.window_units = {1.0: demand} if demand else {}
        pressure.end_window(now, [])
    return pressure.capacity_per_s


def test_one_old_request_without_others_is_no_bound() -> None:
    pressure = CapacityEstimate()
    judged(pressure, 3, 20, 0.05, 20.0)
    pressure.end_window((pressure.window_start_ms or 0.0) + 4000.0, [0.7])
    assert pressure.capacity_per_s > 20.0


def test_hung_servers_are_detected_though_none_responds() -> None:
    pressure = CapacityEstimate()
    judged(pressure, 3, 20, 0.05, 20.0)
    pressure.window_units = {1.0: 80.0}
    pressure.end_window((pressure.window_start_ms or 0.0) + 4000.0, [2.0] * 60)
    assert pressure.capacity_per_s <= 0.7 * 20.0


def test_the_capacity_estimate_recovers_from_any_value() -> None:
    pressure = CapacityEstimate()
    judged(pressure, 40, 20, 2.0, 20.0)
    fell = pressure.capacity_per_s
    assert 0.0 < fell < 2.0
    judged(pressure, 6, 20, 0.05, 20.0)
    assert pressure.capacity_per_s > 20.0


def test_the_floor_is_one_request_at_a_time_at_each_server_per_gateway() -> None:
    pressure = CapacityEstimate()
    pressure.servers_per_gateway = 0.5
    for _ in range(60):
        pressure.record_latency(250.0, 1000.0)
    assert pressure.floor_per_s == pytest.approx(2.0, rel=0.01)


def test_attempts_in_flight_during_a_stall_say_nothing_of_servers() -> None:
    rig = Rig(entries(3))
    rig.warm_up()
    out = [
        name for name, actions in (rig.ask(customer=f"c{i}") for i in range(6)) if only(actions, StartAttempt)
    ]
    means = dict(rig.gateway.pool.latency.mean_ms)
    paces = {name: server.relative_latency for name, server in rig.gateway.pool.servers.items()}
    rig.now += 3500.0  # no tick in all this time
    for name in out:
        rig.end(name, 0, Outcome.TIMEOUT, 3500.0)
    rig.advance(2000.0)
    assert out and rig.gateway.pool.latency.mean_ms == means
    assert {name: server.relative_latency for name, server in rig.gateway.pool.servers.items()} == paces
    assert rig.gateway.shedder.capacity.capacity_per_s == math.inf
    assert all(not s.in_flight and s.unanswered_since_ms is None for s in rig.gateway.pool.servers.values())


def test_few_slow_responses_do_not_end_service(tmp_path: Path) -> None:
    """Guards against a gateway that refuses beside servers that are well, after a quiet time."""

    async def scenario() -> None:
        for row in await measure("quiet", tmp_path, 2.0):
            assert row.refused == 0 and row.served == row.asked > 20

    play(scenario())


def mute(rig: Rig) -> None:
    """The counter answers nothing, with units to tell it of."""
    rig.ending = Outcome.TIMEOUT
    for _ in range(4):
        rig.ask(plan="rate", customer="c")
        rig.advance(1500.0)
        rig.answer_calls()


def heard_again(rig: Rig) -> bool:
    """The counter answers; one request, by the lot, gives something to tell it of."""
    rig.ending = Outcome.OK
    rig.ask(plan="rate", customer="other")
    for _ in range(8):
        rig.advance(250.0)
        rig.answer_calls()
    return not rig.gateway.quota.counter.pacing.is_unavailable


def crowd(rig: Rig) -> None:
    rig.gateway.quota.counter.pacing.call_fraction, rig.gateway.quota.counter.pacing.late_fraction = (
        MIN_CALL_FRACTION,
        1.0,
    )


def overloaded(rig: Rig) -> None:
    """V is at its floor, and the credit of what asks is spent."""
    rig.gateway.shedder.capacity.capacity_per_s, rig.gateway.shedder.capacity.mean_latency_s = 0.01, 3.0
    while only((one := rig.ask())[1], StartAttempt):
        rig.end(one[0], 0, Outcome.OK, 900.0)


def filled(rig: Rig) -> None:
    """So much is out that a new request would come late; then all of it runs out of time."""
    names = []
    while only((one := rig.ask(left=500.0))[1], StartAttempt):
        names.append(one[0])
    rig.now += 500.0
    for name in names:
        rig.end(name, 0, Outcome.TIMEOUT, 500.0, final=True)


def moved(rig: Rig) -> None:
    """By the counter's words all of a customer's use came another way; then it is silent, the part spent."""
    rig.others = 60.0
    for _ in range(4):
        rig.ask(plan="rate", customer="c")
        rig.advance(3000.0)
        rig.answer_calls()
    rig.others = 0.0
    mute(rig)
    rig.gateway.quota.tenants.by_id["c"].local_units = 0.0


def gone(rig: Rig, refusals: int = 10) -> None:
    """A server that could not be reached ten times in a row is paused, and judged by it."""
    request = RequestClass("read", 1000.0, 1.0, Idempotency.IDEMPOTENT)
    end = AttemptEnded("x", 0, "s0", Outcome.UNREACHABLE, 1.0, False)
    for _ in range(refusals):
        rig.gateway.pool.record_end(rig.now, end, request, 1.0)


def cold(rig: Rig) -> None:
    """All servers have just started, and their turns are spent."""
    rig.feed(EndpointList(EndpointListKind.FULL, entries(3, started=rig.now)))
    for server in rig.gateway.pool.servers.values():
        server.slow_start_tokens, server.slow_start_tokens_ms = 0.0, rig.now


def forgot(rig: Rig) -> None:
    """The counter lost what it knew of a window; its name grants nothing more."""
    rig.ask(plan="hard", customer="c")
    rig.advance(1500.0)
    rig.answer_calls()
    word = rig.gateway.quota.tenants.by_id["c"].window_counter
    assert word is not None
    word.has_lost_memory = True


def spent(rig: Rig) -> None:
    rig.gateway.execution.retry_budget.tokens = 0.0


def slow(rig: Rig) -> None:
    """One server answered sixty times as late as the others, so that they would rather refuse than ask it."""
    server = rig.gateway.pool.servers["s0"]
    server.relative_latency, server.relative_latency_ms = 60.0, rig.now


def serves(rig: Rig, plan: str = "wide", customer: str = "c") -> bool:
    return bool(only(rig.ask(plan=plan, customer=customer)[1], StartAttempt))


def reaches(rig: Rig, server: str = "s0") -> bool:
    """Whether a burst goes to this server too."""
    return any(server in rig.sent.get(rig.ask(customer=f"b{n}")[0], ()) for n in range(24))


def granting(rig: Rig) -> bool:
    rig.ask(plan="hard", customer="c")
    rig.advance(1500.0)
    rig.answer_calls()
    word = rig.gateway.quota.tenants.by_id["c"].window_counter
    return word is not None and word.granted_fraction(2) > 0.0


def repeats(rig: Rig) -> bool:
    """A try that failed is made again, after the five requests that one repeat costs."""
    for _ in range(5):
        name, _ = rig.ask()
        rig.end(name, 0, Outcome.OK)
    return bool(only(rig.end(rig.ask()[0], 0, Outcome.RESET), StartAttempt))


def asks(rig: Rig) -> bool:
    return rig.gateway.quota.counter.pacing.call_fraction == 1.0


SELF_SUSTAINING: dict[str, tuple[Callable[[Rig], None], Callable[[Rig], bool], float]] = {
    # what a fault leaves; whether it is over; the silence after which it must be, in seconds
    "V and credit": (overloaded, serves, 24.0),
    "peak and backlog": (filled, serves, 0.0),
    "a lot of next to nothing, the counter mute": (moved, lambda rig: serves(rig, "rate"), 61.0),
    "a mute counter": (mute, heard_again, 0.0),
    "slowed calls": (crowd, asks, 120.0),
    "a pause of a server": (gone, reaches, 12.5),
    "a judgement of a server": (gone, lambda rig: rig.gateway.pool.update_health(rig.now) == [], 5.0),
    "turns at cold servers": (cold, serves, 10.0),
    "a window's lost memory": (forgot, granting, 3.0),
    "the budget of repeats": (spent, repeats, 0.0),
    "the pace of a slow server": (slow, reaches, 180.0),
}


@pytest.mark.parametrize("state", SELF_SUSTAINING)
def test_each_self_sustaining_state_ends_without_requests(state: str) -> None:
    strike, over, silence = SELF_SUSTAINING[state]
    rig = Rig(entries(3))
    rig.warm_up()
    strike(rig)
    if silence:
        assert not over(rig), "the fault left no such state"
    rig = Rig(entries(3))
    rig.warm_up()
    strike(rig)
    for _ in range(int(silence * 4.0)):
        rig.advance(250.0)
        rig.answer_calls()
    assert over(rig)
