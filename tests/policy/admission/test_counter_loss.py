"""Tests that overshoot stays within its bounds when the shared counter fails or loses its memory.

The overshoot is computed from a log of all admitted units, which no gateway has.
"""

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
from glenchute.policy.admission import epoch_markers
from glenchute.policy.admission.counter_health import CounterHealth, CounterMonitor
from glenchute.policy.admission.counter_sync import CounterSync
from glenchute.policy.admission.epoch_markers import WindowCounter, marker_value
from glenchute.policy.admission.quota_bounds import ceiling_overshoot_units, overshoot_bound
from glenchute.policy.admission.tenant import Tenant
from tests.fleet import PLANS, Fleet

SOFT, HARD, BARE = PLANS
ROOT = Path(__file__).resolve().parents[3]
Fault = Callable[[Fleet, random.Random], None]


def first_half(fleet: Fleet) -> list[str]:
    return [f"g{i}" for i in range(fleet.gateway_count // 2)]


def replaced(fleet: Fleet, rng: random.Random) -> None:
    """The counter is replaced by an empty one, up to 12 times, while connections stay open."""
    for _ in range(rng.randint(1, 12)):
        fleet.schedule(fleet.now + rng.uniform(0.0, 6000.0), fleet.counter.replace)


def part_lost(fleet: Fleet, rng: random.Random) -> None:
    """One part of the counter dies and comes back empty; the other parts keep running."""
    part = rng.randrange(fleet.partition_count)
    fleet.schedule(fleet.now + 1500.0, fleet.counter.kill, part)
    fleet.schedule(fleet.now + 1500.0 + rng.uniform(50.0, 3000.0), fleet.counter.replace, part)


def split(fleet: Fleet, rng: random.Random) -> None:
    """The counter is split in two halves, one of which may be empty; it may heal after both have counted."""
    empty = rng.random() < 0.5
    fleet.schedule(fleet.now + rng.uniform(0.0, 2000.0), fleet.counter.split, first_half(fleet), empty)
    if rng.random() < 0.7:
        fleet.schedule(fleet.now + rng.uniform(2500.0, 5000.0), fleet.counter.heal)


def mute(fleet: Fleet, rng: random.Random) -> None:
    """The counter becomes unavailable, at the start of the flood or up to 2.5 s later; it may recover."""
    fleet.schedule(fleet.now + rng.choice([0.0, 1000.0, 2500.0]), fleet.counter.kill)
    if rng.random() < 0.5:
        fleet.schedule(fleet.now + 4000.0, rng.choice([fleet.counter.revive, fleet.counter.replace]))


def late(fleet: Fleet, rng: random.Random) -> None:
    """The counter adds the calls, but replies after their timeout or never."""
    fleet.schedule(fleet.now + rng.uniform(0.0, 2000.0), fleet.counter.slow, rng.uniform(30.0, 400.0))
    fleet.schedule(fleet.now + 3000.0, fleet.counter.drop_replies, True)
    fleet.schedule(fleet.now + 4000.0, fleet.counter.drop_replies, False)


def flapping(fleet: Fleet, rng: random.Random) -> None:
    """Three of the other faults in random order."""
    for fault in rng.sample([replaced, part_lost, split, mute, late], 3):
        fault(fleet, rng)


FAULTS: tuple[Fault, ...] = (replaced, part_lost, split, mute, late, flapping)


def run_with_fault(fault: Fault, seed: int, gateways: int, skew_ms: float = 0.0, **kind: object) -> Fleet:
    """Runs a flood of seven seconds on each plan under a fault."""
    fleet = Fleet(gateways, seed, skew_ms=skew_ms, **kind)  # type: ignore[arg-type]
    rng = random.Random(seed * 7919 + 1)
    weights = [rng.choice([0.05, 1.0, 4.0]) for _ in range(gateways)]
    fleet.run(fleet.now + rng.uniform(3000.0, 6000.0))  # windows that began before the start have ended
    fault(fleet, rng)
    for plan, rate in (("hard", 60.0), ("bare", 90.0), ("soft", 40.0)):
        fleet.schedule_requests(plan, rate, 7.0, weights)
    fleet.run(fleet.now + 8000.0)
    return fleet


def ceiling_bound(fleet: Fleet, plan: int) -> float:
    """Returns the ceiling's bound with the fleet's clock difference and restarts, with a tolerance for
    rounding."""
    bound = overshoot_bound(PLANS[plan], fleet.gateway_count, fleet.skew_ms, 1.0)
    return ceiling_overshoot_units(bound, fleet.restart_count) + 1e-6


def fault_cases() -> Iterator[tuple[Fault, int, int, float]]:
    for number, fault in enumerate(FAULTS):
        for seed in range(8):
            yield fault, seed, (3, 3, 4, 6, 10, 4, 3, 12)[seed], (0.0, 100.0)[(seed + number) % 2]


@pytest.mark.parametrize(("fault", "seed", "gateways", "skew_ms"), list(fault_cases()))
def test_a_ceiling_holds_whatever_the_counter_does(
    fault: Fault, seed: int, gateways: int, skew_ms: float
) -> None:
    fleet = run_with_fault(fault, seed, gateways, skew_ms)
    for number, plan in ((1, HARD), (2, BARE)):
        over = fleet.overshoot(plan.name, plan.ceiling_rate_per_s, plan.ceiling_burst_units)
        assert over <= ceiling_bound(fleet, number), (plan.name, over)
        assert ceiling_bound(fleet, number) <= plan.ceiling_slack_units
    soft = fleet.overshoot("soft", SOFT.rate_per_s, SOFT.burst_units)
    assert soft <= (gateways - 1) * (SOFT.burst_units + 7.0 * SOFT.rate_per_s)


def test_forty_gateways_under_a_split() -> None:
    fleet = Fleet(40, 5, skew_ms=100.0)
    fleet.run(fleet.now + 5000.0)
    fleet.schedule(fleet.now + 1000.0, fleet.counter.split, first_half(fleet), True)
    fleet.schedule_requests("bare", 300.0, 5.0, [1.0] * 40, 0.2)
    fleet.run(fleet.now + 6000.0)
    over = fleet.overshoot("bare", BARE.ceiling_rate_per_s, BARE.ceiling_burst_units)
    assert over <= ceiling_bound(fleet, 2) and fleet.first_attempt_units("bare") > 50.0


def test_the_bounds_are_nearly_reached() -> None:
    """Guards against bounds that are too loose: a flood gets most of its ceiling, with and without the
    counter, and a split counter lets it come near the quota's bound for a split."""
    for is_unavailable in (False, True):
        fleet = Fleet(3, 1)
        fleet.run(fleet.now + 5000.0)
        if is_unavailable:
            fleet.counter.kill()
        fleet.schedule_requests("bare", 90.0, 20.0, [1.0, 1.0, 1.0])
        fleet.run(fleet.now + 21_000.0)
        allowed = BARE.ceiling_burst_units + 20.0 * BARE.ceiling_rate_per_s
        assert 0.7 * allowed <= fleet.first_attempt_units("bare") <= allowed
    worst = 0.0
    for seed in range(3):
        pair = Fleet(2, seed)
        pair.run(pair.now + 6000.0)
        pair.counter.split(first_half(pair), True)
        pair.schedule_requests("soft", 80.0, 7.0, [1.0, 1.0])
        pair.run(pair.now + 8000.0)
        worst = max(worst, pair.overshoot("soft", SOFT.rate_per_s, SOFT.burst_units))
    bound = overshoot_bound(SOFT, 2, 0.0, 1.0)
    limit = bound.replaced_units + 7.0 * bound.split_units_per_s
    assert 0.7 * limit <= worst <= limit


@pytest.mark.parametrize("fault", [replaced, mute, split])
def test_gateways_that_restart_in_the_outage_do_not_spend_their_share_twice(fault: Fault) -> None:
    """Two gateways restart at once and one later; each adds at most the bound for a restart."""
    for seed in range(3):
        fleet = Fleet(4, seed, skew_ms=100.0)
        rng = random.Random(seed)
        fleet.run(fleet.now + 5000.0)
        fault(fleet, rng)
        fleet.schedule(fleet.now + 2000.0, fleet.restart, 0)
        fleet.schedule(fleet.now + 2000.0, fleet.restart, 1)
        fleet.schedule(fleet.now + 4500.0, fleet.restart, 2)
        fleet.schedule_requests("bare", 120.0, 7.0, [1.0, 1.0, 1.0, 1.0])
        fleet.run(fleet.now + 8000.0)
        over = fleet.overshoot("bare", BARE.ceiling_rate_per_s, BARE.ceiling_burst_units)
        assert over <= ceiling_bound(fleet, 2)


def test_traffic_that_moves_to_other_gateways_brings_no_second_ceiling() -> None:
    fleet = Fleet(4, 3)
    fleet.run(fleet.now + 5000.0)
    for step in range(8):
        fleet.counter.replace()
        fleet.schedule_requests("bare", 120.0, 1.0, [1.0 if i == step % 4 else 0.01 for i in range(4)])
        fleet.run(fleet.now + 1000.0)
    assert fleet.overshoot("bare", BARE.ceiling_rate_per_s, BARE.ceiling_burst_units) <= ceiling_bound(
        fleet, 2
    )


def test_a_restored_counter_costs_what_is_stated_for_it() -> None:
    fleet = Fleet(3, 11)
    fleet.run(fleet.now + 5000.0)
    fleet.schedule(fleet.now + 1000.0, fleet.counter.save)
    fleet.schedule(fleet.now + 1400.0, fleet.counter.restore)
    fleet.schedule_requests("bare", 120.0, 5.0, [1.0, 1.0, 1.0])
    fleet.run(fleet.now + 6000.0)
    over = fleet.overshoot("bare", BARE.ceiling_rate_per_s, BARE.ceiling_burst_units)
    assert over <= ceiling_overshoot_units(overshoot_bound(BARE, 3, 0.0, 1.0), restores=1)


def worst_overshoot(monkeypatch: pytest.MonkeyPatch, **changes: object) -> float:
    """Returns the worst overshoot with these changes to `WindowCounter`, while the counter is replaced every
    50 ms."""
    for name, value in changes.items():
        monkeypatch.setattr(WindowCounter, name, value)
    worst = 0.0
    for seed in range(4):
        fleet = Fleet(12, seed)
        fleet.run(fleet.now + 5000.0)
        for step in range(120):
            fleet.schedule(fleet.now + 50.0 * step, fleet.counter.replace)
        fleet.schedule_requests("bare", 60.0, 6.0, [1.0] * 12, 2.0)
        fleet.run(fleet.now + 7000.0)
        worst = max(worst, fleet.overshoot("bare", BARE.ceiling_rate_per_s, BARE.ceiling_burst_units))
    return worst


def test_an_engine_without_markers_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    assert worst_overshoot(monkeypatch) <= 1e-6
    assert worst_overshoot(monkeypatch, granted_fraction=lambda self, spread: 1.0) > BARE.ceiling_slack_units


def test_an_engine_that_takes_units_off_a_total_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against subtracting the units of rejected requests under a ceiling: a replaced counter never
    held them, and would grant that much more."""
    original = CounterSync.make_call

    def make_call_less_rejected_units(
        self: CounterSync, now_ms: float, tenant: Tenant, reserved: float = 0.0, request_id: str | None = None
    ) -> IncrementCounter:
        units = round(tenant.unreported_units + reserved, 3)
        action = original(self, now_ms, tenant, reserved, request_id)
        queue = self.calls.in_flight[tenant.counter_key]
        queue[-1] = replace(queue[-1], units=units, is_complete=True, reserved_units=reserved)
        tenant.unreported_units = 0.0
        return replace(action, amount=round(units + queue[-1].marker, 3))

    monkeypatch.setattr(CounterSync, "make_call", make_call_less_rejected_units)
    assert worst_overshoot(monkeypatch) > BARE.ceiling_slack_units


def test_an_engine_that_adds_lost_units_twice_is_found() -> None:
    """After a loss the counter holds each gateway's confirmed units once."""

    def counted_units(twice: bool) -> float:
        window, total, units = WindowCounter(1000.0, True), 0.0, 3.0
        for step in range(6):
            if step == 2:
                total = 0.0
            marker = window.take_marker()
            total += units + marker
            lost_units = window.apply_total(total, units, marker)
            units = 1.0 + (lost_units or 0.0)
            if twice and lost_units is not None:
                window.confirmed_units += lost_units
                window.marker_count = 1
        return total % 1000.0

    assert counted_units(False) == 3.0 + 5 * 1.0
    assert counted_units(True) > 3.0 + 5 * 1.0


def test_an_engine_that_marks_again_after_a_loss_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a gateway that marks the key again after a loss: the counter and its replacement then
    together grant more than the whole."""

    def granted_sum() -> float:
        windows, granted = [WindowCounter(1000.0, True), WindowCounter(1000.0, True)], 0.0
        for _ in range(2):
            total = largest = 0.0
            for window in (*windows, *windows):
                marker = window.take_marker()
                total += 1.0 + marker
                window.apply_total(total, 1.0, marker)
                largest = max(largest, window.granted_fraction(2))
            granted += largest
        return granted

    assert granted_sum() == 1.0
    original = WindowCounter.apply_total

    def mark_again(self: WindowCounter, total: float, units: float, marker: float) -> float | None:
        lost_units = original(self, total, units, marker)
        if lost_units is not None:
            self.has_lost_memory = self.is_marked = self.is_marker_confirmed = False
            self.marker_count = 0
        return lost_units

    monkeypatch.setattr(WindowCounter, "apply_total", mark_again)
    assert granted_sum() > 1.0


# --- epoch markers ----------------------------------------------------------------------------------------


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
    """Six gateways call any instance of the counter, for one key: all instances together grant at most the
    whole."""
    marker_units = marker_value(20.0, 8.0, 2.5, 50.0)
    windows = [WindowCounter(marker_units, True) for _ in range(6)]
    totals = [0.0]  # by instance of the counter
    reached = [0] * 6  # by gateway: the instance that its calls reach
    granted: dict[int, float] = {0: 0.0}  # by instance
    for gateway, step in steps:
        window = windows[gateway]
        if step == "lose":
            totals.append(0.0)
            reached = [len(totals) - 1] * 6
        elif step == "split":
            totals.append(0.0)
            reached = [len(totals) - 1 if i % 2 else r for i, r in enumerate(reached)]
        else:
            marker = window.take_marker()
            if step == "full":
                window.marker_not_added(marker)
            elif step != "timeout lost":
                totals[reached[gateway]] += marker + 1.0
                if step == "add":
                    window.apply_total(totals[reached[gateway]], 1.0, marker)
                    instance = reached[gateway]
                    granted[instance] = max(granted.get(instance, 0.0), window.granted_fraction(6))
        assert sum(granted.values()) <= 1.0 + 1e-9
        assert sum(round(total / marker_units) for total in totals) <= 6


def test_own_units_are_added_again_once_for_each_loss() -> None:
    window = WindowCounter(1000.0, True)
    assert window.take_marker() == 1000.0 and window.take_marker() == 0.0
    assert window.apply_total(1003.0, 3.0, 1000.0) is None and window.confirmed_units == 3.0
    assert window.apply_total(1008.0, 2.0, 0.0) is None  # includes three units of another gateway
    assert (
        window.apply_total(1.0, 1.0, 0.0) == 5.0
        and window.has_lost_memory
        and window.granted_fraction(1) == 0.0
    )
    assert window.apply_total(7.0, 5.0, 0.0) is None and window.confirmed_units == 6.0
    assert window.apply_total(0.5, 0.5, 0.0) is None or window.confirmed_units <= 6.5


def test_a_window_of_before_the_start_is_not_marked_and_grants_nothing() -> None:
    window = WindowCounter(1000.0, False)
    assert window.take_marker() == 0.0
    window.apply_total(3002.0, 2.0, 0.0)
    assert window.granted_fraction(3) == 0.0


@pytest.mark.parametrize(
    ("burst", "rate", "window_s"), [(20.0, 8.0, 2.5), (4000.0, 1000.0, 4.0), (0.0, 0.0, 1.0)]
)
def test_a_marker_is_larger_than_what_a_window_holds(burst: float, rate: float, window_s: float) -> None:
    marker = marker_value(burst, rate, window_s, 0.0)
    assert (
        marker >= epoch_markers.MARKER_FACTOR * (burst + rate * window_s) and math.log10(marker) % 1.0 == 0.0
    )


def test_the_counters_health_follows_its_replies() -> None:
    monitor = CounterMonitor(2500.0)
    assert monitor.state(0.0) is CounterHealth.SOUND
    monitor.call_fraction = 0.3
    assert monitor.state(0.0) is CounterHealth.SLOW
    for _ in range(3):
        monitor.record_failure(100.0)
    assert monitor.state(100.0) is CounterHealth.UNAVAILABLE
    monitor.call_fraction = 1.0
    monitor.record_reply(200.0, False)
    assert monitor.state(200.0) is CounterHealth.RECOVERING and monitor.state(2700.0) is CounterHealth.SOUND
    monitor.record_reply(3000.0, True)
    assert monitor.state(3100.0) is CounterHealth.REPLACED and monitor.state(5600.0) is CounterHealth.SOUND
    for _ in range(50):
        monitor.record_window(1.0)
    for _ in range(10):
        monitor.record_window(0.5)
    assert monitor.state(9000.0) is CounterHealth.SPLIT


def test_a_replaced_counter_is_reported_and_grants_nothing_new() -> None:
    """A tenant that has used up its quota gets no new quota when the counter is replaced by an empty one."""
    fleet = Fleet(3, 2)
    fleet.run(fleet.now + 4000.0)
    fleet.schedule_requests("soft", 60.0, 6.0, [1.0, 1.0, 1.0])
    fleet.run(fleet.now + 5000.0)
    before = fleet.first_attempt_units("soft")
    fleet.counter.replace()
    fleet.run(fleet.now + 1000.0)
    assert fleet.first_attempt_units("soft") - before <= 2.5 * SOFT.rate_per_s
    assert any(module.quota.counter.pacing.monitor.memory_lost_ms > 0 for module in fleet.engines)


def test_quota_bound_prints_a_line_for_each_plan(tmp_path: Path) -> None:
    import json

    from lab.site import SETTINGS
    from tests.loopback import raw_config

    path = tmp_path / "config.json"
    path.write_text(json.dumps({**raw_config(1, 1, []), "settings": {**SETTINGS, "balancers": 3}}))
    command = [sys.executable, "-m", "glenchute", "quota", "bound", "--platform", str(path)]
    result = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
    assert result.returncode == 0
    rows = {line.split()[0]: line.split()[1:] for line in result.stdout.splitlines() if line.split()}
    # A quarter of the ceiling's 40 units per second, for clocks that differ by 100 ms.
    assert float(rows["korporativni"][1]) == 1.0
    assert float(rows["osnovni"][1]) == 0.0
    result = subprocess.run([*command, "--spread", "9"], capture_output=True, text=True, cwd=ROOT)
    assert result.returncode == 2
