"""Measures overshoot against its bound, refusals with quota left and calls per request, by counter fault.

``python -m benchmarks.counter_loss [RUNS]`` makes RUNS seeded runs of each fault, with real module instances
in simulated time, in one process per core. Writes the plot that docs/design/counter-loss.md shows.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

from benchmarks.machine import machine
from glenchute.policy.admission.quota_bounds import ceiling_overshoot_units, overshoot_bound
from tests.fleet import PLANS, Fleet
from tests.policy.admission.test_counter_loss import FAULTS, run_with_fault

PLOT = Path(__file__).resolve().parent.parent / "docs" / "design" / "counter-loss.svg"
FLEET_SIZES = (3, 3, 4, 6, 10, 4, 3, 12)  # gateways, by seed
SECONDS = 7.0  # duration of a run


class Row(NamedTuple):
    """Figures of one run."""

    ceiling: float  # units admitted beyond the ceiling
    ceiling_bound: float
    quota: float  # units admitted beyond the quota
    quota_bound: float
    with_room: float  # share of requests refused with quota left
    calls: float  # calls to the counter per request


def sound(fleet: Fleet, rng: object) -> None:
    """Injects no fault."""


FAULTS_BY_NAME: dict[str, Callable[..., None]] = {
    "sound": sound,
    **{fault.__name__: fault for fault in FAULTS},
}


def run(kind: str, seed: int) -> Row:
    """Simulates a fleet with a fault."""
    gateways = FLEET_SIZES[seed % len(FLEET_SIZES)]
    fleet = run_with_fault(FAULTS_BY_NAME[kind], seed, gateways, 100.0 * (seed % 2))
    soft, _, bare = PLANS
    bound = overshoot_bound(bare, gateways, fleet.skew_ms, 1.0)
    return Row(
        fleet.overshoot("bare", bare.ceiling_rate_per_s, bare.ceiling_burst_units),
        ceiling_overshoot_units(bound, fleet.restart_count),
        fleet.overshoot("soft", soft.rate_per_s, soft.burst_units),
        (gateways - 1) * (soft.burst_units + SECONDS * soft.rate_per_s),
        fleet.unjustified_rejection_fraction("soft", soft.rate_per_s, soft.burst_units),
        fleet.counter.calls / fleet.request_count,
    )


def plot(rows: dict[str, list[Row]]) -> str:
    """Returns an SVG of each run's quota overshoot as a share of its bound: a column of dots for each fault,
    and a line for the bound."""
    width, height, left = 110 * len(rows) + 60, 320, 50
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
        'font-family="sans-serif" font-size="12">',
        f'<rect width="{width}" height="{height}" fill="white"/>',
        f'<line x1="{left}" x2="{width}" y1="40" y2="40" stroke="firebrick"/>',
        f'<text x="{left}" y="30">promised bound of the quota\'s overshoot; one dot a run</text>',
    ]
    for share in (0.0, 0.5):
        y = 280 - 240 * share
        parts.append(f'<line x1="{left}" x2="{width}" y1="{y}" y2="{y}" stroke="lightgray"/>')
        parts.append(f'<text x="10" y="{y + 4}">{share:.0%}</text>')
    for column, (kind, fault_rows) in enumerate(rows.items()):
        x = left + 55 + 110 * column
        parts.append(f'<text x="{x}" y="305" text-anchor="middle">{kind}</text>')
        for index, row in enumerate(fault_rows[:200]):
            y = 280 - 240 * max(0.0, row.quota) / row.quota_bound
            parts.append(
                f'<circle cx="{x - 30 + index * 60 / 200:.1f}" cy="{y:.1f}" r="2" fill="steelblue"/>'
            )
    return "\n".join([*parts, "</svg>", ""])


def main(runs: int) -> None:
    """Prints the table and writes the plot."""
    print(machine())
    print(f"{runs} runs of each, 3 to 12 gateways, half with clocks 100 ms apart; units past, the worst run")
    heads = ("ceiling", "bound", "quota", "bound", "with room", "calls")
    print(f"{'counter':12}" + "".join(f"{head:>11}" for head in heads))
    rows: dict[str, list[Row]] = {}
    with ProcessPoolExecutor() as pool:
        for kind in FAULTS_BY_NAME:
            rows[kind] = list(pool.map(run, [kind] * runs, range(runs), chunksize=4))
            worst = max(rows[kind], key=lambda row: row.quota / row.quota_bound)
            excess = max(row.ceiling - row.ceiling_bound for row in rows[kind])
            assert excess <= 1e-6, f"{kind}: the ceiling was exceeded by {excess} units more than the bound"
            mean = [sum(column) / runs for column in zip(*rows[kind], strict=True)]
            figures = [max(r.ceiling for r in rows[kind]), max(r.ceiling_bound for r in rows[kind]),
                       worst.quota, worst.quota_bound]  # fmt: skip
            print(f"{kind:12}" + "".join(f"{max(0.0, figure):11.1f}" for figure in figures)
                  + f"{mean[4]:10.1%} {mean[5]:10.2f}")  # fmt: skip
    PLOT.write_text(plot(rows))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 200)
