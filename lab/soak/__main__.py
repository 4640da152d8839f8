"""Runs seeds of the soak test and reports their results.

``python -m lab.soak [--seeds N] [--first SEED] [--minutes M] [--mutant NAME]``.
The exit status is 1 if a rule was broken. ``--first SEED --seeds 1`` repeats a single seed.
"""

from __future__ import annotations

import argparse
import sys
import time

import uvloop

from lab.soak.mutants import MUTANTS
from lab.soak.run import run_schedule
from lab.soak.schedule import draw

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
    args = parser.parse_args()
    started, failed, run_count = time.monotonic(), [], 0
    for seed in range(args.first, args.first + args.seeds):
        if time.monotonic() - started > 60.0 * args.minutes:
            break
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
