"""Compares what all gateways send to a cold server with what the settings allow: N + 2 x root of N + 2.

    python -m benchmarks.cold_fleet [--days N] [--large N] [--turns N]

`days` runs whole modules in front of servers that join and return under a burst (`lab/sim/cold.py`), with
that number of seeds for each deployment's figures with twenty and thirty gateways and `large` seeds with 200.
`turns` lets every gateway use each slow start token of a cold server at once, which no demand does. Each row
has the fullest window, among those with over two thirds from gateways that knew of the server's start, by
work and by requests; then the servers that failed, and those whose failure breaks the rule.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterable

from lab.sim.cold import LENGTH_MS, SITES, SIZES, TOLD_SHARE, Case, Cold, Most, drawn, pressed


def row(what: str, site: str, gateways: int, starts: int, told: Iterable[Most], falls: list[Most]) -> None:
    """Prints a row, unless there were no cold starts."""
    if not starts:
        return
    told = list(told)
    work = max((found.ratio for found in told), default=0.0)
    requests = max((found.requests / found.allowed for found in told), default=0.0)
    broken = sum(fall.told > TOLD_SHARE for fall in falls)
    print(f"| {what} | {site} | {gateways} | {starts} | {work:.2f} | {requests:.2f} | "
          f"{len(falls)} | {broken} |", flush=True)  # fmt: skip


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", type=int, default=10)
    parser.add_argument("--large", type=int, default=1)
    parser.add_argument("--turns", type=int, default=20)
    asked = parser.parse_args()
    print("| | figures of | gateways | cold starts | most work | most requests | falls | broken |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for site, safety in SITES.items():
        for gateways, _ in SIZES:
            rows = [pressed(seed, Case(gateways, 1, safety)) for seed in range(asked.turns)]
            firsts = [next(r for r in found if r.ratio > 1.0) for found in rows if max(found).ratio > 1.0]
            row("turns", site, gateways, len(rows), (r for found in rows for r in found), firsts)
    for gateways, nodes in SIZES:
        for site, safety in SITES.items():
            starts = 0
            told: list[Most] = []
            falls: list[Most] = []
            for seed in range(asked.large if gateways > 100 else asked.days):
                world = Cold(seed, drawn(seed, gateways, nodes, safety))
                world.run(LENGTH_MS)
                found, fell = world.judged()
                starts, told, falls = starts + len(world.came), [*told, *found], [*falls, *fell]
            row("days", site, gateways, starts, told, falls)


if __name__ == "__main__":
    main()
