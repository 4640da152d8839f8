"""Losing the counter: the overshoot stays under what is promised, by a log that no gateway keeps."""

from __future__ import annotations

import math
import random
import subprocess
import sys
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.policy.actions import IncrementCounter
from glenchute.policy.admission import epoch_markers as marks_module
from glenchute.policy.admission.counter_health import CounterHealth, CounterMonitor
from glenchute.policy.admission.counter_sync import CounterSync
from glenchute.policy.admission.epoch_markers import WindowCounter, marker_value
from glenchute.policy.admission.quota_bounds import ceiling_overshoot_units, overshoot_bound
from glenchute.policy.admission.tenant import Tenant
from tests.fleet import PLANS, Fleet

SOFT, HARD, BARE = PLANS
ROOT = Path(__file__).resolve().parents[3]
Fault = Callable[[Fleet, random.Random], None]


def half(fleet: Fleet) -> list[str]:
    return [f"g{i}" for i in range(fleet.gateways // 2)]


def replaced(fleet: Fleet, rng: random.Random) -> None:
    """Again and again a fresh counter, under open connections."""
    for _ in range(rng.randint(1, 12)):
        fleet.at(fleet.now + rng.uniform(0.0, 6000.0), fleet.counter.replace)


def part_lost(fleet: Fleet, rng: random.Random) -> None:
    """One part dies and comes back empty, while the others stand."""
    which = rng.randrange(fleet.parts)
    fleet.at(fleet.now + 1500.0, fleet.counter.kill, which)
    fleet.at(fleet.now + 1500.0 + rng.uniform(50.0, 3000.0), fleet.counter.replace, which)


def split(fleet: Fleet, rng: random.Random) -> None:
    """Two halves, one of them empty or not, that heal with both having counted."""
    empty = rng.random() < 0.5
    fleet.at(fleet.now + rng.uniform(0.0, 2000.0), fleet.counter.split, half(fleet), empty)
    if rng.random() < 0.7:
        fleet.at(fleet.now + rng.uniform(2500.0, 5000.0), fleet.counter.heal)


def mute(fleet: Fleet, rng: random.Random) -> None:
    """No word, from the start or later, and perhaps for good."""
    fleet.at(fleet.now + rng.choice([0.0, 1000.0, 2500.0]), fleet.counter.kill)
    if rng.random() < 0.5:
        fleet.at(fleet.now + 4000.0, rng.choice([fleet.counter.revive, fleet.counter.replace]))


def late(fleet: Fleet, rng: random.Random) -> None:
    """Calls are added and answered after the time-out, or never."""
    fleet.at(fleet.now + rng.uniform(0.0, 2000.0), fleet.counter.slow, rng.uniform(30.0, 400.0))
    fleet.at(fleet.now + 3000.0, fleet.counter.deafen, True)
    fleet.at(fleet.now + 4000.0, fleet.counter.deafen, False)


def flapping(fleet: Fleet, rng: random.Random) -> None:
    """All of it, in any order."""
    for fault in rng.sample([replaced, part_lost, split, mute, late], 3):
        fault(fleet, rng)


FAULTS: tuple[Fault, ...] = (replaced, part_lost, split, mute, late, flapping)


def played(fault: Fault, seed: int, gateways: int, skew_ms: float = 0.0, **kind: object) -> Fleet:
    """Seven seconds of a flood on each plan under a fault."""
    fleet = Fleet(gateways, seed, skew_ms=skew_ms, **kind)  # type: ignore[arg-type]
    rng = random.Random(seed * 7919 + 1)
    weights = [rng.choice([0.05, 1.0, 4.0]) for _ in range(gateways)]
    fleet.run(fleet.now + rng.uniform(3000.0, 6000.0))  # windows of before the start are over
    fault(fleet, rng)
    for plan, rate in (("hard", 60.0), ("bare", 90.0), ("soft", 40.0)):
        fleet.flood(plan, rate, 7.0, weights)
    fleet.run(fleet.now + 8000.0)
    return fleet


def promised(fleet: Fleet, plan: int) -> float:
    """The ceiling's bound: the clocks, the restarts, one request of rounding in the true log's order."""
    found = overshoot_bound(PLANS[plan], fleet.gateways, fleet.skew_ms, 1.0)
    return ceiling_overshoot_units(found, fleet.restarts) + 1e-6


def seeds() -> Iterator[tuple[Fault, int, int, float]]:
    for number, fault in enumerate(FAULTS):
        for seed in range(8):
            yield fault, seed, (3, 3, 4, 6, 10, 4, 3, 12)[seed], (0.0, 100.0)[(seed + number) % 2]


@pytest.mark.parametrize(("fault", "seed", "gateways", "skew_ms"), list(seeds()))
def test_a_ceiling_holds_whatever_the_counter_does(
    fault: Fault, seed: int, gateways: int, skew_ms: float
) -> None:
    fleet = played(fault, seed, gateways, skew_ms)
    for number, plan in ((1, HARD), (2, BARE)):
        over = fleet.overshoot(plan.name, plan.ceiling_rate_per_s, plan.ceiling_burst_units)
        assert over <= promised(fleet, number), (plan.name, over)
        assert promised(fleet, number) <= plan.ceiling_slack_units
    soft = fleet.overshoot("soft", SOFT.rate_per_s, SOFT.burst_units)
    assert soft <= (gateways - 1) * (SOFT.burst_units + 7.0 * SOFT.rate_per_s)


def test_forty_gateways_under_a_split() -> None:
    fleet = Fleet(40, 5, skew_ms=100.0)
    fleet.run(fleet.now + 5000.0)
    fleet.at(fleet.now + 1000.0, fleet.counter.split, half(fleet), True)
    fleet.flood("bare", 300.0, 5.0, [1.0] * 40, 0.2)
    fleet.run(fleet.now + 6000.0)
    over = fleet.overshoot("bare", BARE.ceiling_rate_per_s, BARE.ceiling_burst_units)
    assert over <= promised(fleet, 2) and fleet.units("bare") > 50.0


def test_the_bounds_are_nearly_reached() -> None:
    """A flood gets most of its ceiling, also without a word of the counter; halves that hear nothing of each
    other come near to the quota's bound for a split."""
    for silent in (False, True):
        fleet = Fleet(3, 1)
        fleet.run(fleet.now + 5000.0)
        if silent:
            fleet.counter.kill()
        fleet.flood("bare", 90.0, 20.0, [1.0, 1.0, 1.0])
        fleet.run(fleet.now + 21_000.0)
        allowed = BARE.ceiling_burst_units + 20.0 * BARE.ceiling_rate_per_s
        assert 0.7 * allowed <= fleet.units("bare") <= allowed
    worst = 0.0
    for seed in range(3):
        pair = Fleet(2, seed)
        pair.run(pair.now + 6000.0)
        pair.counter.split(half(pair), True)
        pair.flood("soft", 80.0, 7.0, [1.0, 1.0])
        pair.run(pair.now + 8000.0)
        worst = max(worst, pair.overshoot("soft", SOFT.rate_per_s, SOFT.burst_units))
    found = overshoot_bound(SOFT, 2, 0.0, 1.0)
    limit = found.replaced_units + 7.0 * found.split_units_per_s
    assert 0.7 * limit <= worst <= limit


@pytest.mark.parametrize("fault", [replaced, mute, split])
def test_gateways_that_restart_in_the_outage_do_not_spend_their_share_twice(fault: Fault) -> None:
    """One by one and half at once; each brings at most what is stated for a restart."""
    for seed in range(3):
        fleet = Fleet(4, seed, skew_ms=100.0)
        rng = random.Random(seed)
        fleet.run(fleet.now + 5000.0)
        fault(fleet, rng)
        fleet.at(fleet.now + 2000.0, fleet.restart, 0)
        fleet.at(fleet.now + 2000.0, fleet.restart, 1)
        fleet.at(fleet.now + 4500.0, fleet.restart, 2)
        fleet.flood("bare", 120.0, 7.0, [1.0, 1.0, 1.0, 1.0])
        fleet.run(fleet.now + 8000.0)
        over = fleet.overshoot("bare", BARE.ceiling_rate_per_s, BARE.ceiling_burst_units)
        assert over <= promised(fleet, 2)


def test_traffic_that_moves_to_other_gateways_brings_no_second_ceiling() -> None:
    fleet = Fleet(4, 3)
    fleet.run(fleet.now + 5000.0)
    for turn in range(8):
        fleet.counter.replace()
        fleet.flood("bare", 120.0, 1.0, [1.0 if i == turn % 4 else 0.01 for i in range(4)])
        fleet.run(fleet.now + 1000.0)
    assert fleet.overshoot("bare", BARE.ceiling_rate_per_s, BARE.ceiling_burst_units) <= promised(fleet, 2)


def test_a_restored_counter_costs_what_is_stated_for_it() -> None:
    fleet = Fleet(3, 11)
    fleet.run(fleet.now + 5000.0)
    fleet.at(fleet.now + 1000.0, fleet.counter.keep)
    fleet.at(fleet.now + 1400.0, fleet.counter.restore)
    fleet.flood("bare", 120.0, 5.0, [1.0, 1.0, 1.0])
    fleet.run(fleet.now + 6000.0)
    over = fleet.overshoot("bare", BARE.ceiling_rate_per_s, BARE.ceiling_burst_units)
    assert over <= ceiling_overshoot_units(overshoot_bound(BARE, 3, 0.0, 1.0), restores=1)


def broken(monkeypatch: pytest.MonkeyPatch, **changes: object) -> float:
    """The worst overshoot of a build with something wrong in it, under replacements without end."""
    for name, value in changes.items():
        monkeypatch.setattr(WindowCounter, name, value)
    worst = 0.0
    for seed in range(4):
        fleet = Fleet(12, seed)
        fleet.run(fleet.now + 5000.0)
        for step in range(120):
            fleet.at(fleet.now + 50.0 * step, fleet.counter.replace)
        fleet.flood("bare", 60.0, 6.0, [1.0] * 12, 2.0)
        fleet.run(fleet.now + 7000.0)
        worst = max(worst, fleet.overshoot("bare", BARE.ceiling_rate_per_s, BARE.ceiling_burst_units))
    return worst


def test_an_engine_without_markers_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    assert broken(monkeypatch) <= 1e-6
    assert broken(monkeypatch, granted_fraction=lambda self, spread: 1.0) > BARE.ceiling_slack_units


def test_an_engine_that_takes_units_off_a_total_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """The first form of this module: what was refused was taken off a memory that had never held it, and a
    fresh one granted that much more."""
    taken_off = CounterSync.make_call

    def call(
        self: CounterSync, now_ms: float, tenant: Tenant, extra: float = 0.0, waits: str | None = None
    ) -> IncrementCounter:
        due = round(tenant.unreported_units + extra, 3)
        made = taken_off(self, now_ms, tenant, extra, waits)
        queue = self.calls.in_flight[tenant.counter_key]
        queue[-1] = replace(queue[-1], units=due, is_complete=True, reserved_units=extra)
        tenant.unreported_units = 0.0
        return replace(made, amount=round(due + queue[-1].marker, 3))

    monkeypatch.setattr(CounterSync, "make_call", call)
    assert broken(monkeypatch) > BARE.ceiling_slack_units


def test_an_engine_that_adds_lost_units_twice_is_found() -> None:
    """After a loss the memory holds what the gateways had confirmed, once."""

    def put_in(twice: bool) -> float:
        name, memory, fresh = WindowCounter(1000.0, True), 0.0, 3.0
        for step in range(6):
            if step == 2:
                memory = 0.0
            toll = name.take_marker()
            memory += fresh + toll
            again = name.apply_total(memory, fresh, toll)
            fresh = 1.0 + (again or 0.0)
            if twice and again is not None:
                name.confirmed_units += again
                name.marker_count = 1
        return memory % 1000.0

    assert put_in(False) == 3.0 + 5 * 1.0
    assert put_in(True) > 3.0 + 5 * 1.0


def test_an_engine_that_marks_again_after_a_loss_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Both gateways in the first memory, one of them again in the second: more than one whole is granted."""

    def shares() -> float:
        names, granted = [WindowCounter(1000.0, True), WindowCounter(1000.0, True)], 0.0
        for _ in range(2):
            memory = best = 0.0
            for name in (*names, *names):
                toll = name.take_marker()
                memory += 1.0 + toll
                name.apply_total(memory, 1.0, toll)
                best = max(best, name.granted_fraction(2))
            granted += best
        return granted

    assert shares() == 1.0
    heard = WindowCounter.apply_total

    def again(self: WindowCounter, total: float, units: float, toll: float) -> float | None:
        lost = heard(self, total, units, toll)
        if lost is not None:
            self.has_lost_memory = self.is_marked = self.is_marker_confirmed = False
            self.marker_count = 0
        return lost

    monkeypatch.setattr(WindowCounter, "apply_total", again)
    assert shares() > 1.0


# --- marks ------------------------------------------------------------------------------------------------


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    steps=st.lists(
        st.tuples(
            st.integers(0, 5),
            st.sampled_from(["add", "add", "add", "timeout added", "timeout lost", "full", "lose", "split"]),
        ),
        max_size=60,
    )
)
def test_granted_fractions_of_all_memories_sum_to_one_at_most(steps: list[tuple[int, str]]) -> None:
    """Six gateways, one name, any memory that they may reach: all memories together grant one whole."""
    mark = marker_value(20.0, 8.0, 2.5, 50.0)
    names = [WindowCounter(mark, True) for _ in range(6)]
    memories = [0.0]
    reach = [0] * 6
    granting: dict[int, float] = {0: 0.0}
    for gateway, what in steps:
        name = names[gateway]
        if what == "lose":
            memories.append(0.0)
            reach = [len(memories) - 1] * 6
        elif what == "split":
            memories.append(0.0)
            reach = [len(memories) - 1 if i % 2 else r for i, r in enumerate(reach)]
        else:
            toll = name.take_marker()
            if what == "full":
                name.marker_not_added(toll)
            elif what != "timeout lost":
                memories[reach[gateway]] += toll + 1.0
                if what == "add":
                    name.apply_total(memories[reach[gateway]], 1.0, toll)
                    at = reach[gateway]
                    granting[at] = max(granting.get(at, 0.0), name.granted_fraction(6))
        assert sum(granting.values()) <= 1.0 + 1e-9
        assert sum(round(total / mark) for total in memories) <= 6


def test_own_units_are_added_again_once_for_each_loss() -> None:
    name = WindowCounter(1000.0, True)
    assert name.take_marker() == 1000.0 and name.take_marker() == 0.0
    assert name.apply_total(1003.0, 3.0, 1000.0) is None and name.confirmed_units == 3.0
    assert name.apply_total(1008.0, 2.0, 0.0) is None  # another's three units
    assert name.apply_total(1.0, 1.0, 0.0) == 5.0 and name.has_lost_memory and name.granted_fraction(1) == 0.0
    assert name.apply_total(7.0, 5.0, 0.0) is None and name.confirmed_units == 6.0
    assert name.apply_total(0.5, 0.5, 0.0) is None or name.confirmed_units <= 6.5


def test_a_window_of_before_the_start_is_not_marked_and_grants_nothing() -> None:
    name = WindowCounter(1000.0, False)
    assert name.take_marker() == 0.0
    name.apply_total(3002.0, 2.0, 0.0)
    assert name.granted_fraction(3) == 0.0


@pytest.mark.parametrize(
    ("burst", "rate", "span"), [(20.0, 8.0, 2.5), (4000.0, 1000.0, 4.0), (0.0, 0.0, 1.0)]
)
def test_a_marker_is_larger_than_what_a_window_holds(burst: float, rate: float, span: float) -> None:
    mark = marker_value(burst, rate, span, 0.0)
    assert mark >= marks_module.MARKER_FACTOR * (burst + rate * span) and math.log10(mark) % 1.0 == 0.0


def test_the_counters_health_follows_its_replies() -> None:
    watch = CounterMonitor(2500.0)
    assert watch.state(0.0) is CounterHealth.SOUND
    watch.call_fraction = 0.3
    assert watch.state(0.0) is CounterHealth.SLOW
    for _ in range(3):
        watch.record_failure(100.0)
    assert watch.state(100.0) is CounterHealth.UNAVAILABLE
    watch.call_fraction = 1.0
    watch.record_reply(200.0, False)
    assert watch.state(200.0) is CounterHealth.RECOVERING and watch.state(2700.0) is CounterHealth.SOUND
    watch.record_reply(3000.0, True)
    assert watch.state(3100.0) is CounterHealth.REPLACED and watch.state(5600.0) is CounterHealth.SOUND
    for _ in range(50):
        watch.record_window(1.0)
    for _ in range(10):
        watch.record_window(0.5)
    assert watch.state(9000.0) is CounterHealth.SPLIT


def test_a_replaced_counter_is_reported_and_grants_nothing_new() -> None:
    """A single account that has spent its quota gets none by a fresh counter."""
    fleet = Fleet(3, 2)
    fleet.run(fleet.now + 4000.0)
    fleet.flood("soft", 60.0, 6.0, [1.0, 1.0, 1.0])
    fleet.run(fleet.now + 5000.0)
    before = fleet.units("soft")
    fleet.counter.replace()
    fleet.run(fleet.now + 1000.0)
    assert fleet.units("soft") - before <= 2.5 * SOFT.rate_per_s
    assert any(module.quota.counter.pacing.monitor.memory_lost_ms > 0 for module in fleet.modules)


def test_quota_bound_prints_a_line_for_each_plan(tmp_path: Path) -> None:
    import json

    from lab.site import SETTINGS
    from tests.loopback import raw_config

    path = tmp_path / "config.json"
    path.write_text(json.dumps({**raw_config(1, 1, []), "settings": {**SETTINGS, "balancers": 3}}))
    command = [sys.executable, "-m", "glenchute", "quota", "bound", "--platform", str(path)]
    done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
    assert done.returncode == 0
    rows = {line.split()[0]: line.split()[1:] for line in done.stdout.splitlines() if line.split()}
    assert float(rows["korporativni"][1]) == 1.0  # a quarter of 40 a second in 100 ms
    assert float(rows["osnovni"][1]) == 0.0
    done = subprocess.run([*command, "--spread", "9"], capture_output=True, text=True, cwd=ROOT)
    assert done.returncode == 2
