"""``glenchute quota bound``: what an account may overshoot by, whatever becomes of the counter."""

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

from .files import platform

COLUMNS = ("window s", "ceiling", "+restart", "+restore", "slack", "silent", "replaced", "split /s")
LEGEND = """\
ceiling: past it, whatever the counter does; +restart: more for each gateway that restarts within a burst;
+restore: for each part that comes back with an older state. silent: past the quota, once, the counter known
to be mute; replaced: once for each replacement; split /s: a second, for each half after the first.
!: more than the platform's slack. Tighter: a smaller spread (all but ceiling), closer clocks (ceiling),
neither of which costs calls; every word that fails is a call that was made anyway."""


def command(args: argparse.Namespace) -> int:
    """0 with the table; 2 where the platform's file can't be used."""
    try:
        config = platform(args.platform)
        most = config.settings.gateway_count
        spread = args.spread or most
        if not 1 <= spread <= most or not 0.0 <= args.clocks_ms <= 60_000.0:
            raise ConfigError(f"a spread from 1 to {most} and clocks from 0 to 60000 ms, please")
    except ConfigError as error:
        print(f"glenchute: {error}", file=sys.stderr)
        return 2
    largest = config.request_bounds.max_units
    print(f"units past what the plan allows, for an account that comes through {spread} gateways whose")
    print(f"clocks differ by {args.clocks_ms:g} ms; requests of {largest:g} units at most")
    print(f"{'plan':16}" + "".join(f"{column:>10}" for column in COLUMNS))
    for row in overshoot_bounds(config.settings, spread, args.clocks_ms, largest):
        figures = "".join(f"{value:10.2f}" for value in row[1:])
        print(f"{row.plan:16}{figures}" + ("" if row.is_within_slack else "  !"))
    print(LEGEND)
    if args.asked > 0.0:
        timeout_s = config.settings.counter_timeout_ms / 1000.0
        for plan in (plan for plan in config.settings.plans if plan.rate_per_s):
            found = overshoot_bound(plan, spread, args.clocks_ms, largest)
            most_units = start_overshoot_units(plan, found, args.asked, spread, timeout_s)
            print(f"{plan.name}: all started at once, asked {args.asked:g} units a second: {most_units:.1f}")
        whole, parted = (
            members_overshoot_units(args.asked, spread, largest, split) for split in (False, True)
        )
        print(f"with [fleet] and a mute counter, asked for {args.asked:g} units a second: past the quota by "
              f"{whole:.1f}, where the fleet is split by {parted:.1f}")  # fmt: skip
    return 0
