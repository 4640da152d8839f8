"""Runs seeds of the soak test and reports their results.

``python -m lab.soak [--long-values] [--seeds N] [--first SEED] [--minutes M] [--mutant NAME]``. Without
``--long-values`` it plays planned restarts, with it long values, slow peers and many commands at once.
The exit status is 1 if a rule was broken. ``--first SEED --seeds 1`` repeats a single seed.
"""

from __future__ import annotations

import argparse
import sys
import time

import uvloop

from lab.soak.long_value_records import LongValueRecords
from lab.soak.long_value_schedule import LongValueSchedule, draw_long_values
from lab.soak.long_values import run_long_values
from lab.soak.mutants import MUTANTS
from lab.soak.records import RunRecords
from lab.soak.run import run_schedule
from lab.soak.schedule import Schedule, draw

MAX_VIOLATIONS_SHOWN = 5  # of one run


def main() -> int:
    """Runs the seeds in turn and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=60.0)
    parser.add_argument(
        "--mutant", choices=sorted(MUTANTS), default="", help="runs the gateway with this deliberate fault"
    )
    parser.add_argument("--long-values", action="store_true", help="plays long values and slow peers")
    args = parser.parse_args()
    if args.mutant and args.long_values:
        parser.error("the deliberate faults are for planned restarts")
    started, failed, run_count = time.monotonic(), [], 0
    for seed in range(args.first, args.first + args.seeds):
        if time.monotonic() - started > 60.0 * args.minutes:
            break
        schedule: Schedule | LongValueSchedule
        records: RunRecords | LongValueRecords
        if args.long_values:
            schedule = draw_long_values(seed)
            records = uvloop.run(run_long_values(schedule))
        else:
            schedule = draw(seed)
            records = uvloop.run(run_schedule(schedule, args.mutant))
        violations, run_count = records.violations(), run_count + 1
        print(
            f"seed {seed}: {'FAILED' if violations else 'ok'}; {schedule.describe()}; {records.summary()}",
            flush=True,
        )
        for violation in violations[:MAX_VIOLATIONS_SHOWN]:
            print(f"    {violation}", flush=True)
        if violations:
            failed.append(seed)
            if args.mutant:
                break
    print(f"{run_count} seeds from {args.first}: {len(failed)} failed{f' {failed}' if failed else ''}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
