"""Upper bounds on how far a tenant can overshoot its quotas, computed from the settings alone.

Ceiling: the guards of all gateways share one half of the ceiling's bucket evenly; the other half is granted
by the counter. With the ceiling's rate R and burst B, windows of length W, and L the lesser of B and R W,
over any time T:

- The guards admit at most B/2 + 3/4 R T, as each holds at most B/2 and fills at 3/4 R, both divided by the
  gateway spread.
- Each window's key grants L/4 times the fraction of gateways that have marked it. A gateway marks a window
  only once, whatever happens to the counter, so all partitions and replacements of a window's key together
  grant at most L/4.
- T, extended by the difference d of the clocks, touches at most (T + d)/W + 2 windows, which grant at most
  1/4 R (T + d) + B/2.

The sum is B + R T + R d/4, so the overshoot is R d/4. A restart of one of k gateways adds at most a new guard
of (B - b)/2 plus the slack, divided by k, where b is the quota's burst. A part of the counter that is
restored to an older state has lost the units and markers added since then, so that each such event may grant
L/4 again in each of two windows. The slack has to cover all these terms; `OvershootBound.is_within_slack`
checks the first.

Quota: a gateway admits from a bucket that holds at most b and fills at the rate r, whatever totals it gets.
Without totals k gateways may each admit that much, so the overshoot is at most (k - 1) (b + r T) over the
time T without totals. While the counter is known to be unavailable, each gateway keeps to its local share of
the bucket, which is at least `MIN_LOCAL_REQUESTS` of the largest requests. After a start this applies only
once `UNAVAILABLE_AFTER` calls have had no reply (`start_overshoot_units`).
"""

from __future__ import annotations

from typing import NamedTuple

from ..settings import Plan, Settings
from .ceiling import COUNTED_FRACTION
from .counter_health import UNAVAILABLE_AFTER
from .local_share import MIN_LOCAL_REQUESTS
from .windows import window_length_ms


class OvershootBound(NamedTuple):
    """Bounds for one plan, in units beyond its limits."""

    plan: str
    window_s: float
    ceiling_clock_units: float  # beyond the ceiling, by the difference of the clocks alone
    ceiling_restart_units: float  # beyond the ceiling, in addition, for each gateway that restarts
    # Beyond the ceiling, in addition, for each part of the counter that is restored to an older state.
    ceiling_restore_units: float
    slack_units: float  # overshoot of the ceiling that the platform allows
    unavailable_units: float  # beyond the quota in a burst while the counter is known to be unavailable
    replaced_units: float  # beyond the quota in a burst for each replacement of the counter
    # Beyond the quota, per second, for each part of a split counter after the first.
    split_units_per_s: float

    @property
    def is_within_slack(self) -> bool:
        """Whether the ceiling's overshoot by clocks alone is within the slack that the platform allows."""
        return self.ceiling_clock_units <= self.slack_units


def window_s(plan: Plan) -> float:
    """Returns the length of the plan's windows in seconds."""
    return window_length_ms(plan) / 1000.0


def overshoot_bound(
    plan: Plan, gateway_spread: int, clock_difference_ms: float, largest_request_units: float
) -> OvershootBound:
    """Returns the bounds for a tenant of this plan that uses `gateway_spread` gateways, whose clocks differ
    by at most `clock_difference_ms`, with requests of at most `largest_request_units`."""
    length_s = window_s(plan)
    window_units = min(plan.ceiling_burst_units, plan.ceiling_rate_per_s * length_s)
    initial_guard_units = (
        max(0.0, plan.ceiling_burst_units - plan.burst_units) / 2.0 + plan.ceiling_slack_units
        if plan.ceiling_rate_per_s
        else 0.0
    )
    local_shares_units = max(plan.burst_units, MIN_LOCAL_REQUESTS * largest_request_units * gateway_spread)
    return OvershootBound(
        plan=plan.name,
        window_s=length_s,
        ceiling_clock_units=COUNTED_FRACTION / 2.0 * plan.ceiling_rate_per_s * clock_difference_ms / 1000.0,
        ceiling_restart_units=min(initial_guard_units, plan.ceiling_burst_units * (1.0 - COUNTED_FRACTION))
        / gateway_spread,
        ceiling_restore_units=2.0 * COUNTED_FRACTION / 2.0 * window_units,
        slack_units=plan.ceiling_slack_units,
        unavailable_units=local_shares_units - plan.burst_units,
        replaced_units=(gateway_spread - 1) * plan.burst_units,
        split_units_per_s=plan.rate_per_s,
    )


def overshoot_bounds(
    settings: Settings, gateway_spread: int, clock_difference_ms: float, largest_request_units: float
) -> list[OvershootBound]:
    """Returns the bounds of each plan that has a rate."""
    return [
        overshoot_bound(plan, gateway_spread, clock_difference_ms, largest_request_units)
        for plan in settings.plans
        if plan.rate_per_s
    ]


START_MARGIN_S = 0.1  # beyond the timeouts of calls: for requests in transit and calls that are paced


def start_overshoot_units(
    plan: Plan, bound: OvershootBound, demand_per_s: float, gateway_count: int, timeout_s: float
) -> float:
    """Returns the units by which a tenant can overshoot its quota when all gateways start at once, whatever
    the counter does.

    Each gateway starts with a full bucket that it may spend until its first calls to the counter have had
    replies or have failed, but not more than the demand in that time, `demand_per_s` over all gateways.
    After that each gateway keeps to its local share.
    """
    unknown_s = UNAVAILABLE_AFTER * timeout_s + START_MARGIN_S
    return bound.unavailable_units + min((gateway_count - 1) * plan.burst_units, demand_per_s * unknown_s)


GOSSIP_DELAY_S = 0.4  # longest time until a message reaches all members, unless too many messages are lost
FAILURE_DETECTION_S = 2.5  # longest time until each member has detected a partition


def members_overshoot_units(
    demand_per_s: float, gateway_count: int, largest_request_units: float, split: bool
) -> float:
    """Returns the units by which a tenant can overshoot its quota while the counter is unavailable and
    members gossip its use.

    This is the demand while a message is in transit plus one request at each gateway at the same time; if the
    members are partitioned (`split`), also the demand until the partition is detected. Rows that are dropped
    because a table is full are not covered.
    """
    return (
        GOSSIP_DELAY_S + (FAILURE_DETECTION_S if split else 0.0)
    ) * demand_per_s + gateway_count * largest_request_units


def ceiling_overshoot_units(bound: OvershootBound, restarts: int = 0, restores: int = 0) -> float:
    """Returns the bound in units beyond the ceiling, with this many restarts and restores."""
    return (
        bound.ceiling_clock_units
        + restarts * bound.ceiling_restart_units
        + restores * bound.ceiling_restore_units
    )
