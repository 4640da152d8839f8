"""Service comes back from wherever faults have left a gateway: V, what a stop leaves, over seeds."""

from __future__ import annotations

import math
from collections.abc import Callable
from pathlib import Path

import pytest

from benchmarks.recovery import measure
from heathglade.interface import Ending, Send
from heathglade.policy import Pressure
from lab.peers import play
from lab.sim.recovery import drawn, shape_of, tried
from lab.sim.swarm import Fault, Script

from .rig import Rig, entries, only

FOUND = {  # scripts by which service did not come back; each tells the part of the module that mends it
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
    sound = Pressure.window

    def window(self: Pressure, now: float, ages: list[float]) -> None:
        late = sorted(self.times + ages)
        before, at, asked = self.capacity, self.at, sum(self.demand.values())
        sound(self, now, ages)
        if self.at == now and at is not None and late and late[len(late) // 2] > 0.5:
            self.capacity = min(before, 0.7 * asked / ((now - at) / 1000.0))

    patch.setattr(Pressure, "window", window)
    patch.setattr(Pressure, "floor", 0.0)


def no_floor(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Pressure, "floor", 0.0)


def no_growth(patch: pytest.MonkeyPatch) -> None:
    """What was seen once holds for ever."""
    sound = Pressure.window

    def window(self: Pressure, now: float, ages: list[float]) -> None:
        before = self.capacity
        sound(self, now, ages)
        self.capacity = min(before, self.capacity)

    patch.setattr(Pressure, "window", window)


@pytest.mark.parametrize(
    ("bug", "script"),
    [
        (old_line, "the only node hangs"),
        (no_floor, "a process dies beside it"),
        (no_growth, "the only node hangs"),
    ],
)
def test_a_bug_that_was_put_in_is_found(
    bug: Callable[[pytest.MonkeyPatch], None], script: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    bug(monkeypatch)
    failure = tried(FOUND[script])
    assert failure is not None and failure.rule == "recovery"


def judged(pressure: Pressure, windows: int, answers: int, lateness: float, demand: float) -> float:
    """So many windows of a second, each with these answers; V after them."""
    now = pressure.at or 0.0
    pressure.window(now, [])
    for _ in range(windows):
        now += 1000.0
        for _ in range(answers):
            pressure.heard(lateness * 1000.0, 1000.0)
        pressure.demand = {1.0: demand} if demand else {}
        pressure.window(now, [])
    return pressure.capacity


def test_one_old_request_in_a_silence_is_no_bound() -> None:
    pressure = Pressure()
    judged(pressure, 3, 20, 0.05, 20.0)
    pressure.window((pressure.at or 0.0) + 4000.0, [0.7])
    assert pressure.capacity > 20.0


def test_a_hung_fleet_is_seen_though_it_answers_nothing() -> None:
    pressure = Pressure()
    judged(pressure, 3, 20, 0.05, 20.0)
    pressure.demand = {1.0: 80.0}
    pressure.window((pressure.at or 0.0) + 4000.0, [2.0] * 60)
    assert pressure.capacity <= 0.7 * 20.0


def test_v_is_measured_up_from_wherever_it_fell_to() -> None:
    pressure = Pressure()
    judged(pressure, 40, 20, 2.0, 20.0)
    fell = pressure.capacity
    assert 0.0 < fell < 2.0
    judged(pressure, 6, 20, 0.05, 20.0)
    assert pressure.capacity > 20.0


def test_the_floor_is_one_request_at_a_time_at_each_server_of_ones_part() -> None:
    pressure = Pressure()
    pressure.part = 0.5
    for _ in range(60):
        pressure.heard(250.0, 1000.0)
    assert pressure.floor == pytest.approx(2.0, rel=0.01)


def test_what_was_out_while_the_process_stood_tells_nothing_of_servers() -> None:
    rig = Rig(entries(3))
    rig.warm_up()
    out = [name for name, actions in (rig.ask(customer=f"c{i}") for i in range(6)) if only(actions, Send)]
    means = dict(rig.gateway.fleet.means)
    paces = {name: server.pace for name, server in rig.gateway.fleet.servers.items()}
    rig.now += 3500.0  # no tick in all this time
    for name in out:
        rig.end(name, 0, Ending.TIMEOUT, 3500.0)
    rig.advance(2000.0)
    assert out and rig.gateway.fleet.means == means
    assert {name: server.pace for name, server in rig.gateway.fleet.servers.items()} == paces
    assert rig.gateway.pressure.capacity == math.inf
    assert all(not s.out and s.silent_since is None for s in rig.gateway.fleet.servers.values())


def test_a_quiet_night_with_slow_answers_does_not_end_service(tmp_path: Path) -> None:
    async def scenario() -> None:
        for row in await measure("quiet", tmp_path, 2.0):
            assert row.refused == 0 and row.served == row.asked > 20

    play(scenario())
