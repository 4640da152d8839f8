"""Compares what all gateways send to a cold server with what the settings allow: N + 2 x root of N + 2.

    python -m benchmarks.cold_fleet [--days N] [--large N] [--turns N]

`days` runs complete decision modules in front of servers that join and return under a burst
(`lab/sim/cold.py`), with that number of seeds for each deployment's figures with twenty and thirty gateways
and `large` seeds with 200. `turns` lets every gateway use each slow start token of a cold server at once,
which no demand does. Each row has the greatest ratio of a window's work and of its requests to what is
allowed, among windows with over two thirds from gateways that knew of the server's start; then the servers
that failed, and those whose failure breaks the rule.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterable

from lab.sim.cold import LENGTH_MS, SITES, SIZES, TOLD_SHARE, Case, Cold, Most, drawn, pressed


def print_row(
    kind: str, site: str, gateways: int, starts: int, windows: Iterable[Most], failures: list[Most]
) -> None:
    """Prints a row, unless there were no cold starts."""
    if not starts:
        return
    windows = list(windows)
    work = max((window.ratio for window in windows), default=0.0)
    requests = max((window.requests / window.allowed for window in windows), default=0.0)
    broken = sum(failure.told > TOLD_SHARE for failure in failures)
    print(f"| {kind} | {site} | {gateways} | {starts} | {work:.2f} | {requests:.2f} | "
          f"{len(failures)} | {broken} |", flush=True)  # fmt: skip


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", type=int, default=10)
    parser.add_argument("--large", type=int, default=1)
    parser.add_argument("--turns", type=int, default=20)
    args = parser.parse_args()
    print("| | figures of | gateways | cold starts | most work | most requests | falls | broken |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for site, safety in SITES.items():
        for gateways, _ in SIZES:
            runs = [pressed(seed, Case(gateways, 1, safety)) for seed in range(args.turns)]
            failures = [
                next(w for w in windows if w.ratio > 1.0) for windows in runs if max(windows).ratio > 1.0
            ]
            all_windows = (window for windows in runs for window in windows)
            print_row("turns", site, gateways, len(runs), all_windows, failures)
    for gateways, nodes in SIZES:
        for site, safety in SITES.items():
            starts = 0
            windows: list[Most] = []
            failures = []
            for seed in range(args.large if gateways > 100 else args.days):
                simulation = Cold(seed, drawn(seed, gateways, nodes, safety))
                simulation.run(LENGTH_MS)
                day_windows, day_failures = simulation.judged()
                starts += len(simulation.came)
                windows += day_windows
                failures += day_failures
            print_row("days", site, gateways, starts, windows, failures)


if __name__ == "__main__":
    main()
