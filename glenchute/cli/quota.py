"""``glenchute quota bound``: prints by how much an account may exceed its quota, whatever the counter
does."""

from __future__ import annotations

import argparse
import sys

from glenchute.config.platform import ConfigError
from glenchute.policy.admission.quota_bounds import (
    members_overshoot_units,
    overshoot_bound,
    overshoot_bounds,
    start_overshoot_units,
)

from .files import load_platform

COLUMNS = ("window s", "ceiling", "+restart", "+restore", "slack", "silent", "replaced", "split /s")
LEGEND = """\
ceiling: past it, whatever the counter does; +restart: more for each gateway that restarts within a burst;
+restore: for each part that comes back with an older state. silent: past the quota, once, the counter known
to be mute; replaced: once for each replacement; split /s: a second, for each half after the first.
!: more than the platform's slack. Tighter: a smaller spread (all but ceiling), closer clocks (ceiling),
neither of which costs calls: epoch markers travel in calls that are made anyway."""


def command(args: argparse.Namespace) -> int:
    """Prints the table. Returns 0, or 2 if the platform's file or an argument is invalid."""
    try:
        config = load_platform(args.platform)
        gateway_count = config.settings.gateway_count
        spread = args.spread or gateway_count
        if not 1 <= spread <= gateway_count or not 0.0 <= args.clocks_ms <= 60_000.0:
            raise ConfigError(
                f"the spread must be from 1 to {gateway_count}, the clocks' difference from 0 to 60000 ms"
            )
    except ConfigError as error:
        print(f"glenchute: {error}", file=sys.stderr)
        return 2
    largest_units = config.request_bounds.max_units
    print(f"units past what the plan allows, for an account that comes through {spread} gateways whose")
    print(f"clocks differ by {args.clocks_ms:g} ms; requests of {largest_units:g} units at most")
    print(f"{'plan':16}" + "".join(f"{column:>10}" for column in COLUMNS))
    for row in overshoot_bounds(config.settings, spread, args.clocks_ms, largest_units):
        figures = "".join(f"{value:10.2f}" for value in row[1:])
        print(f"{row.plan:16}{figures}" + ("" if row.is_within_slack else "  !"))
    print(LEGEND)
    if args.asked > 0.0:
        timeout_s = config.settings.counter_timeout_ms / 1000.0
        for plan in (plan for plan in config.settings.plans if plan.rate_per_s):
            bound = overshoot_bound(plan, spread, args.clocks_ms, largest_units)
            most_units = start_overshoot_units(plan, bound, args.asked, spread, timeout_s)
            print(f"{plan.name}: all started at once, asked {args.asked:g} units a second: {most_units:.1f}")
        whole, parted = (
            members_overshoot_units(args.asked, spread, largest_units, split) for split in (False, True)
        )
        print(f"with [fleet] and a mute counter, asked for {args.asked:g} units a second: past the quota by "
              f"{whole:.1f}, where the fleet is split by {parted:.1f}")  # fmt: skip
    return 0
