"""Bounds on how far a tenant can overshoot its quotas, stated in advance from the settings alone. Pure.

The ceiling. A gateway's guard is its share of a half of the ceiling's bucket; the other half is counted. With
the ceiling's rate R and burst B, windows of length W, and L the lesser of B and R W, over any time T:

- the guards admit B/2 + 3/4 R T at most, as each holds B/2 over the spread and fills at 3/4 R over it;
- each window's key grants L/4 times the fraction of gateways that have marked it, and a gateway marks a
  window once whatever became of the counter, so all halves and replacements of a window grant L/4 together;
- T and the clocks' difference d touch (T + d)/W + 2 windows at most: 1/4 R (T + d) + B/2.

The sum is B + R T + R d/4: the overshoot is R d/4. A gateway that restarts, one of k, brings at most a new
guard of (B - b)/2 and the slack, over k (b: the quota's burst). A part of the counter that comes back with an
older state forgets what was granted since, with the markers that were added since: each such event may grant
L/4 again in each of two windows. The slack has to cover these terms; `OvershootBound.is_within_slack` tells
whether it covers the first.

The quota. A gateway admits from a bucket that holds b at most and fills at r, whatever it learns. Without any
totals, k gateways admit k times what one may: the overshoot is (k - 1) (b + r T) at worst, over the time T
for which totals fail. With no counter each keeps to its local share of the bucket, `LEAST_REQUESTS` of the
largest requests at least; from a start on only once `UNAVAILABLE_AFTER` calls have had no reply
(`start_overshoot_units`).
"""

from __future__ import annotations

from typing import NamedTuple

from ..settings import Plan, Settings
from .ceiling import COUNTED_FRACTION
from .counter_health import UNAVAILABLE_AFTER
from .local_share import LEAST_REQUESTS
from .windows import window_length_ms


class OvershootBound(NamedTuple):
    """Bounds for one plan, in units beyond its limits."""

    plan: str
    window_s: float
    ceiling_clock_units: float  # whatever the counter does, by the clocks' difference alone
    ceiling_restart_units: float  # more for each gateway that restarts in a burst
    ceiling_restore_units: float  # more for each part of the counter that goes back to an older state
    slack_units: float  # that the platform allows
    unavailable_units: float  # of the quota: the counter known to be unavailable, in a burst
    replaced_units: float  # of the quota, for each replacement of the counter, in a burst
    split_units_per_s: float  # of the quota, for each half of a split counter past the first

    @property
    def is_within_slack(self) -> bool:
        """Whether the ceiling's bound is within the slack that the platform allows."""
        return self.ceiling_clock_units <= self.slack_units


def window_s(plan: Plan) -> float:
    """The length of the plan's windows."""
    return window_length_ms(plan) / 1000.0


def overshoot_bound(
    plan: Plan, gateway_spread: int, clock_difference_ms: float, largest_request_units: float
) -> OvershootBound:
    """The bounds for a tenant of this plan that comes through `gateway_spread` gateways, whose clocks differ
    by `clock_difference_ms` at most, with requests of `largest_request_units` at most."""
    length_s = window_s(plan)
    least = min(plan.ceiling_burst_units, plan.ceiling_rate_per_s * length_s)
    initial_guard_units = (
        max(0.0, plan.ceiling_burst_units - plan.burst_units) / 2.0 + plan.ceiling_slack_units
        if plan.ceiling_rate_per_s
        else 0.0
    )
    local_shares_units = max(plan.burst_units, LEAST_REQUESTS * largest_request_units * gateway_spread)
    return OvershootBound(
        plan=plan.name,
        window_s=length_s,
        ceiling_clock_units=COUNTED_FRACTION / 2.0 * plan.ceiling_rate_per_s * clock_difference_ms / 1000.0,
        ceiling_restart_units=min(initial_guard_units, plan.ceiling_burst_units * (1.0 - COUNTED_FRACTION))
        / gateway_spread,
        ceiling_restore_units=2.0 * COUNTED_FRACTION / 2.0 * least,
        slack_units=plan.ceiling_slack_units,
        unavailable_units=local_shares_units - plan.burst_units,
        replaced_units=(gateway_spread - 1) * plan.burst_units,
        split_units_per_s=plan.rate_per_s,
    )


def overshoot_bounds(
    settings: Settings, gateway_spread: int, clock_difference_ms: float, largest_request_units: float
) -> list[OvershootBound]:
    """The bounds of each plan that has a quota."""
    return [
        overshoot_bound(plan, gateway_spread, clock_difference_ms, largest_request_units)
        for plan in settings.plans
        if plan.rate_per_s
    ]


START_MARGIN_S = 0.1  # beside the calls' time-outs: requests on their way, and calls that wait for a gap


def start_overshoot_units(
    plan: Plan, found: OvershootBound, demand_per_s: float, gateway_count: int, timeout_s: float
) -> float:
    """Units by which a tenant can overshoot its quota when all gateways start at once, whatever the counter
    does.

    Each begins with a full bucket that it may spend until the first calls to the counter have had their reply
    or have failed, and with `demand_per_s` over all gateways no more can be spent in that time; then each
    keeps to its local share.
    """
    blind_s = UNAVAILABLE_AFTER * timeout_s + START_MARGIN_S
    return found.unavailable_units + min((gateway_count - 1) * plan.burst_units, demand_per_s * blind_s)


GOSSIP_DELAY_S = 0.4  # a message reaches all members within this, unless links lose more than gossip bears
FAILURE_DETECTION_S = 2.5  # each member knows of a partition after this


def members_overshoot_units(
    demand_per_s: float, gateway_count: int, largest_request_units: float, split: bool
) -> float:
    """Units by which a tenant can overshoot its quota while the counter is unavailable and members gossip its
    use.

    That is what is asked for while a message is on its way, and one request at each gateway at once; where
    the members are partitioned (`split`), also what is asked for until the partition is detected. Not
    covered: rows that were dropped as a table was full.
    """
    return (
        GOSSIP_DELAY_S + (FAILURE_DETECTION_S if split else 0.0)
    ) * demand_per_s + gateway_count * largest_request_units


def ceiling_overshoot_units(found: OvershootBound, restarts: int = 0, restores: int = 0) -> float:
    """Units beyond the ceiling that are not exceeded with so many restarts and restores."""
    return (
        found.ceiling_clock_units
        + restarts * found.ceiling_restart_units
        + restores * found.ceiling_restore_units
    )
