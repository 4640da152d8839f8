"""Compares what all gateways send to a cold server with what the settings allow: n + 2 * sqrt(n) + 2.

    python -m benchmarks.cold_fleet [--days N] [--large N] [--turns N]

`days` runs decision engines in front of servers that start and restart under a burst (`lab/sim/cold.py`),
with that number of seeds for each site's settings with 20 and 30 gateways and `large` seeds with 200.
`turns` lets every gateway spend each slow start token of a cold server at once, which no demand does. Each
row has the fullest window by work and by requests, among those with over two thirds of the work from gateways
that knew of the server's start; then the overloaded servers, and those whose overload breaks the rule.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterable

from lab.sim.cold import (
    INFORMED_FRACTION,
    LENGTH_MS,
    SITES,
    SIZES,
    Case,
    ColdStartWorld,
    WindowLoad,
    draw_case,
    run_saturated,
)


def print_row(
    kind: str, site: str, gateways: int, starts: int, windows: Iterable[WindowLoad],
    overloads: list[WindowLoad],
) -> None:  # fmt: skip
    """Prints a row, unless there were no cold starts."""
    if not starts:
        return
    windows = list(windows)
    work = max((window.ratio for window in windows), default=0.0)
    requests = max((window.requests / window.allowed for window in windows), default=0.0)
    broken = sum(overload.informed_fraction > INFORMED_FRACTION for overload in overloads)
    print(f"| {kind} | {site} | {gateways} | {starts} | {work:.2f} | {requests:.2f} | "
          f"{len(overloads)} | {broken} |", flush=True)  # fmt: skip


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", type=int, default=10)
    parser.add_argument("--large", type=int, default=1)
    parser.add_argument("--turns", type=int, default=20)
    args = parser.parse_args()
    print("| | figures of | gateways | cold starts | most work | most requests | overloads | broken |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for site, slow_start in SITES.items():
        for gateways, _ in SIZES:
            rows = [run_saturated(seed, Case(gateways, 1, slow_start)) for seed in range(args.turns)]
            firsts = [next(r for r in found if r.ratio > 1.0) for found in rows if max(found).ratio > 1.0]
            print_row("turns", site, gateways, len(rows), (r for found in rows for r in found), firsts)
    for gateways, nodes in SIZES:
        for site, slow_start in SITES.items():
            starts = 0
            windows: list[WindowLoad] = []
            overloads: list[WindowLoad] = []
            for seed in range(args.large if gateways > 100 else args.days):
                world = ColdStartWorld(seed, draw_case(seed, gateways, nodes, slow_start))
                world.run(LENGTH_MS)
                more_windows, more_overloads = world.windows_and_overloads()
                starts += len(world.arrivals)
                windows += more_windows
                overloads += more_overloads
            print_row("days", site, gateways, starts, windows, overloads)


if __name__ == "__main__":
    main()
