"""Plays seeds of the soak and reports them.

``python -m lab.soak [--seeds N] [--first SEED] [--minutes M] [--mutant NAME]``.
Exit status 1 where a rule was broken. A single seed is played again by ``--first SEED --seeds 1``.
"""

from __future__ import annotations

import argparse
import sys
import time

import uvloop

from lab.soak.mutants import MUTANTS
from lab.soak.play import play
from lab.soak.schedule import draw

MOST_SHOWN = 5  # violations of one run


def main() -> int:
    """Plays the seeds in turn."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=60.0)
    parser.add_argument("--mutant", choices=sorted(MUTANTS), default="", help="a fault put in on purpose")
    args = parser.parse_args()
    began, failed, played = time.monotonic(), [], 0
    for seed in range(args.first, args.first + args.seeds):
        if time.monotonic() - began > 60.0 * args.minutes:
            break
        schedule = draw(seed)
        books = uvloop.run(play(schedule, args.mutant))
        violations, played = books.violations(), played + 1
        print(
            f"seed {seed}: {'FAILED' if violations else 'ok'}; {schedule.describe()}; {books.summary()}",
            flush=True,
        )
        for violation in violations[:MOST_SHOWN]:
            print(f"    {violation}", flush=True)
        if violations:
            failed.append(seed)
            if args.mutant:
                break
    print(f"{played} seeds from {args.first}: {len(failed)} failed{f' {failed}' if failed else ''}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
