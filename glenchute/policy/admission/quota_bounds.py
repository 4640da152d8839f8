"""What the quotas of an account may be overshot by, stated in advance from the settings alone. Pure.

The ceiling. A gateway's guard is its part of a half of the ceiling's store; the other half is counted. With
the ceiling's rate R and burst B, windows of length W, and L the lesser of B and R W, over any time T:

- the guards let in B/2 + 3/4 R T at most, as each holds B/2 over the spread and fills at 3/4 R over it;
- each window's name grants L/4 times the share of gateways that have marked it, and a gateway marks a window
  once whatever became of the counter, so all halves and replacements of a window grant L/4 together;
- T and the clocks' difference d touch (T + d)/W + 2 windows at most: 1/4 R (T + d) + B/2.

The sum is B + R T + R d/4: the overshoot is R d/4. A gateway that restarts, one of k, brings at most a new
guard of (B - b)/2 and the slack, over k (b: the quota's burst). A part that comes back with an older state
forgets what was granted since, with the marks that were put in since: each such event may grant L/4 again in
each of two windows. The slack has to bear these terms; `Bound.holds` tells whether it bears the first.

The quota. A gateway admits from a store that holds b at most and fills at r, whatever it is told. Heard by
nobody, k gateways let in k times what one may: the overshoot is (k - 1) (b + r T) at worst, over the time T
for which the words fail. With no counter each keeps to its part of the store, `LEAST_REQUESTS` of the largest
requests at least; from a start on only once `UNAVAILABLE_AFTER` calls have had no answer (`start_bound`).
"""

from __future__ import annotations

from typing import NamedTuple

from ..settings import Plan, Settings
from .ceiling import COUNTED_FRACTION
from .counter_health import UNAVAILABLE_AFTER
from .local_share import LEAST_REQUESTS
from .windows import window_length_ms


class Bound(NamedTuple):
    """Promises for one plan, in units."""

    plan: str
    window_s: float
    ceiling_clocks: float  # past the ceiling whatever the counter does, by the clocks' difference alone
    ceiling_restart: float  # more for each gateway that restarts in a burst
    ceiling_restore: float  # more for each part that goes back to an older state
    slack: float  # that the platform allows
    quota_silent: float  # past the quota: the counter known to be mute, in a burst
    quota_replaced: float  # past the quota for each replacement, in a burst
    quota_split_rate: float  # past the quota in units a second, for each half past the first

    @property
    def holds(self) -> bool:
        """The ceiling's promise is inside the slack that the platform allows."""
        return self.ceiling_clocks <= self.slack


def window_s(plan: Plan) -> float:
    """The length of the plan's windows, as the module has it."""
    return window_length_ms(plan) / 1000.0


def bound(plan: Plan, spread: int, clocks_ms: float, largest: float) -> Bound:
    """The promises for an account of this plan that comes through `spread` gateways, whose clocks differ by
    `clocks_ms` at most, with requests of `largest` units at most."""
    span = window_s(plan)
    least = min(plan.ceiling_burst_units, plan.ceiling_rate_per_s * span)
    fresh = (
        max(0.0, plan.ceiling_burst_units - plan.burst_units) / 2.0 + plan.ceiling_slack_units
        if plan.ceiling_rate_per_s
        else 0.0
    )
    parts = max(plan.burst_units, LEAST_REQUESTS * largest * spread)
    return Bound(
        plan=plan.name,
        window_s=span,
        ceiling_clocks=COUNTED_FRACTION / 2.0 * plan.ceiling_rate_per_s * clocks_ms / 1000.0,
        ceiling_restart=min(fresh, plan.ceiling_burst_units * (1.0 - COUNTED_FRACTION)) / spread,
        ceiling_restore=2.0 * COUNTED_FRACTION / 2.0 * least,
        slack=plan.ceiling_slack_units,
        quota_silent=parts - plan.burst_units,
        quota_replaced=(spread - 1) * plan.burst_units,
        quota_split_rate=plan.rate_per_s,
    )


def bounds(settings: Settings, spread: int, clocks_ms: float, largest: float) -> list[Bound]:
    """For each plan that has a quota."""
    return [bound(plan, spread, clocks_ms, largest) for plan in settings.plans if plan.rate_per_s]


START_S = 0.1  # beside the calls' time-outs: requests on their way, and calls that wait for a gap


def start_bound(plan: Plan, found: Bound, asked: float, gateways: int, timeout_s: float) -> float:
    """Units by which an account can pass its quota when all gateways start at once, whatever the counter
    does: each begins with a full store that it may spend until it has heard, or has missed, its first words
    of the counter, and with `asked` units a second over all gateways no more can be spent in that time; then
    each keeps to its part."""
    blind_s = UNAVAILABLE_AFTER * timeout_s + START_S
    return found.quota_silent + min((gateways - 1) * plan.burst_units, asked * blind_s)


HEARD_S = 0.4  # a member's word reaches all within this, or the links lose more than the rumours bear
MISSED_S = 2.5  # a cut is known of to each member after this


def members_bound(asked: float, gateways: int, largest: float, split: bool) -> float:
    """Units by which an account can pass its quota while the counter is mute and members tell each other of
    use, with `asked` units a second asked for over all gateways: what is asked for while a word is on its
    way, and one request at each gateway at once; where the fleet is split, also what is asked for until the
    cut is known of. Not covered: rows that were dropped for want of room."""
    return (HEARD_S + (MISSED_S if split else 0.0)) * asked + gateways * largest


def ceiling_overshoot(found: Bound, restarts: int = 0, restores: int = 0) -> float:
    """Units past the ceiling that are promised not to be passed."""
    return found.ceiling_clocks + restarts * found.ceiling_restart + restores * found.ceiling_restore
