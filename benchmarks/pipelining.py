"""Measures latency with pipelined and exclusive connections under stalls, and the gateway's CPU by depth.

``python -m benchmarks.pipelining [SECONDS] [--svg FILE]``. Each cell is a gateway process and a second
process with its nodes and an open load of read bursts; the two modes of a cell run side by side on separate
cores. Latencies count from the moment at which a burst was due. Needs glenchute[bench].
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import multiprocessing
import os
import random
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import uvloop
from hdrh.histogram import HdrHistogram

from benchmarks.machine import cpu_s, machine
from lab.bursts import BurstLoad
from lab.faults import Fault, FaultKind, FaultScript
from lab.nodes import Node, ServiceProfile
from lab.site import SETTINGS, GatewayProcess, LabSite

NODES = 4
OFFERED = 300.0  # reads a second at a load of 1
LOADS = (0.5, 1.0, 2.0)
SERVICE_MS = 20.0
ROOM = {"per_second": 1e5, "most_at_once": 1e6, "ceiling_rate": 0.0}
PLANS = [{**plan, **ROOM} for plan in SETTINGS["packages"]]
STALL_S = 0.5
SCARCE, PLENTY = 80, 1024  # descriptors of the gateway, which allow 24 and 307 connections to nodes
SHARED = '[pipeline]\nclasses = ["report-read"]\ndepth = {depth}\nat_risk = {risk}\nsettle_ms = 0\n'


class Cell(NamedTuple):
    """Parameters of one run."""

    stall: str
    load: float
    shared: bool
    sockets: int
    seconds: float


class Row(NamedTuple):
    """Figures of one run."""

    cell: Cell
    p50: float
    p99: float
    p999: float
    served: int
    refused: int
    failed: int
    lost: int
    held: int  # connections to nodes at the end of the load
    most_held: int
    cpu_us: float
    curve: list[tuple[float, float]]  # percentile, milliseconds


def faults(stall: str) -> list[tuple[Fault, ...]]:
    """Returns the faults of each node for a kind of stall."""
    if stall in ("1 in 1,000", "1 in 100"):
        share = 0.001 if stall == "1 in 1,000" else 0.01
        return [(Fault(FaultKind.DELAY, 0.0, 1e6, share, STALL_S),)] * NODES
    if stall == "a node for 2 s":
        return [(Fault(FaultKind.FREEZE, 4.0, 6.0),), *[()] * (NODES - 1)]
    return [()] * NODES


def platform(site: LabSite, sockets: int) -> dict[str, Any]:
    """Returns the platform's file, with `sockets` descriptors and quotas that never refuse."""
    limits = {**SETTINGS["limits"], "max_streams": 32}
    made = site.platform({**SETTINGS, "packages": PLANS, "limits": limits})
    return {**made, "limits": {**made["limits"], "sockets": sockets}}


async def play(cell: Cell) -> Row:
    """Plays one cell."""
    histogram = HdrHistogram(1, 60_000_000, 3)  # microseconds
    profile = ServiceProfile({"report-read": SERVICE_MS}, slots=64, queue=1000)
    nodes = [Node(f"n{i}", profile, FaultScript(rows, i)) for i, rows in enumerate(faults(cell.stall))]
    most = 0
    async with LabSite(nodes) as site:
        with tempfile.TemporaryDirectory() as folder:
            operator = SHARED.format(depth=8, risk=64) if cell.shared else None
            gateway = GatewayProcess(Path(folder), platform(site, cell.sockets), operator)
            gateway.start()
            try:
                await gateway.ready()
                assert gateway.process is not None
                warm = BurstLoad(gateway.port, OFFERED, lambda ms: None, seed=9)
                await warm.run(2.0)
                for node in nodes:
                    node.started_at = asyncio.get_running_loop().time()
                load = BurstLoad(gateway.port, cell.load * OFFERED,
                              lambda ms: histogram.record_value(max(1, int(1000 * ms))))  # fmt: skip
                before = cpu_s(gateway.process.pid)
                running = asyncio.create_task(load.run(cell.seconds))
                while not running.done():
                    most = max(most, sum(node.open_connections for node in nodes))
                    await asyncio.sleep(0.05)
                await running
                held = sum(node.open_connections for node in nodes)
                used = cpu_s(gateway.process.pid) - before
            finally:
                await gateway.stop()
    shares = [50.0, 90.0, 95.0, 99.0, 99.5, 99.9, 99.95, 99.99]
    curve = [(share, histogram.get_value_at_percentile(share) / 1000.0) for share in shares]
    by = dict(curve)
    asked = max(1, sum(load.answers.values()))
    answers = load.answers
    return Row(cell, by[50.0], by[99.0], by[99.9], answers["served"], answers["refused"],
               answers["failed"], answers["lost"], held, most, 1e6 * used / asked, curve)  # fmt: skip


def run_cell(cell: Cell) -> Row:
    """Plays a cell; called in a worker process."""
    return uvloop.run(play(cell))


class Depth(NamedTuple):
    """Figures at one depth."""

    depth: int
    alone: bool
    cpu_us: float
    rate: float
    writes: float  # mean commands per segment that a node received
    held: int


async def run_closed_load(depth: int, seconds: float) -> Depth:
    """Runs a closed load that keeps `depth` requests in flight on each of the gateway's 19 connections to two
    fast nodes. Depth 0 is the mode with exclusive connections, one request in flight on each."""
    profile = ServiceProfile({"report-read": 2.0}, slots=1000, queue=10_000)
    nodes = [Node(f"n{i}", profile) for i in range(2)]
    in_flight = 19 * max(1, depth)
    answered = 0
    async with LabSite(nodes) as site:
        with tempfile.TemporaryDirectory() as folder:
            text = SHARED.format(depth=max(2, depth), risk=1000) + "adaptive = false\nopen_price_ms = 0\n"
            gateway = GatewayProcess(Path(folder), platform(site, 64), text if depth else None)
            gateway.start()
            try:
                await gateway.ready()
                assert gateway.process is not None
                loop = asyncio.get_running_loop()
                end = loop.time() + 1.0 + seconds
                clients = min(10, in_flight)

                async def ask_in_loop(number: int) -> None:
                    nonlocal answered
                    load = BurstLoad(gateway.port, 1.0, lambda ms: None, seed=number + 1)
                    burst_size = in_flight // clients + (number < in_flight % clients)
                    serial = itertools.count()
                    rng = random.Random(number)
                    while loop.time() < end:
                        await load.send_burst(
                            loop.time(), [load.command_words(rng, next(serial)) for _ in range(burst_size)]
                        )
                        answered += burst_size

                tasks = [asyncio.create_task(ask_in_loop(number)) for number in range(clients)]
                await asyncio.sleep(1.0)
                before, first = cpu_s(gateway.process.pid), answered
                await asyncio.sleep(seconds)
                used, count = cpu_s(gateway.process.pid) - before, answered - first
                held = sum(node.open_connections for node in nodes)
                await asyncio.gather(*tasks)
                segments = sum(node.read_count for node in nodes)
                commands = sum(node.received_count for node in nodes)
            finally:
                await gateway.stop()
    return Depth(depth, not depth, 1e6 * used / max(1, count), count / seconds,
                 commands / max(1, segments), held)  # fmt: skip


def run_depth(job: tuple[int, float]) -> Depth:
    """Measures one depth; called in a worker process."""
    return uvloop.run(run_closed_load(*job))


def plot(rows: list[Row], path: Path) -> None:
    """Draws percentiles at twice the load, a line for each stall and mode."""
    import pygal

    chart = pygal.Line(
        title=f"Reads at {2 * OFFERED:.0f}/s in bursts, {SCARCE * 3 // 10} connections to nodes",
        x_title="percentile", y_title="milliseconds (logarithmic)", logarithmic=True, width=1000, height=600,
        legend_at_bottom=True, legend_at_bottom_columns=2, js=[], disable_xml_declaration=True,
    )  # fmt: skip
    first = [row for row in rows if row.cell.load == 2.0 and row.cell.sockets == SCARCE]
    chart.x_labels = [f"{share:g}" for share, _ in first[0].curve]
    for row in first:
        name = f"{'shared' if row.cell.shared else 'one each'}, stalls: {row.cell.stall}"
        style = {"width": 2} if row.cell.shared else {"width": 2, "dasharray": "6, 4"}
        chart.add(name, [ms for _, ms in row.curve], stroke_style=style)
    path.write_text(chart.render(is_unicode=True) + "\n", encoding="utf-8")


def main() -> None:
    """Prints the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seconds", type=float, nargs="?", default=10.0)
    parser.add_argument("--svg", type=Path)
    args = parser.parse_args()
    print(machine())
    print(f"{NODES} nodes, {SERVICE_MS:g} ms a read (half fixed, half exponential), bursts of 1 to 8; "
          f"1x = {OFFERED:g} reads/s; {args.seconds:g} s a cell; times from a burst's due time")  # fmt: skip
    stalls = ("none", "1 in 1,000", "1 in 100", "a node for 2 s")
    cells = [Cell(stall, load, shared, sockets, args.seconds) for sockets in (PLENTY, SCARCE)
             for stall in stalls for load in LOADS for shared in (False, True)]  # fmt: skip
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(max(1, min(3, (os.cpu_count() or 2) // 2)), context) as pool:
        rows = list(pool.map(run_cell, cells))
    print(f"{'descr.':>6} {'stalls':>14} {'load':>5} {'way':>8} {'p50':>7} {'p99':>8} {'p99.9':>8} "
          f"{'served':>7} {'refused':>7} {'failed':>6} {'lost':>5} {'held':>5} {'most':>5} "
          f"{'CPU us':>7}")  # fmt: skip
    for row in rows:
        cell = row.cell
        way = "shared" if cell.shared else "one each"
        print(f"{cell.sockets:>6} {cell.stall:>14} {cell.load:>5g} {way:>8} {row.p50:>7.1f} {row.p99:>8.1f} "
              f"{row.p999:>8.1f} {row.served:>7} {row.refused:>7} {row.failed:>6} {row.lost:>5} "
              f"{row.held:>5} {row.most_held:>5} {row.cpu_us:>7.0f}")  # fmt: skip
    with ProcessPoolExecutor(1, context) as pool:
        depths = list(pool.map(run_depth, [(depth, 4.0) for depth in (0, 1, 2, 4, 8, 16)]))
    print("closed load, 19 connections, two quick nodes")
    print(f"{'depth':>8} {'CPU us':>7} {'reads/s':>8} {'a segment':>10} {'held':>5}")
    for one in depths:
        name = "one each" if one.alone else str(one.depth)
        print(f"{name:>8} {one.cpu_us:>7.0f} {one.rate:>8.0f} {one.writes:>10.2f} {one.held:>5}")
    if args.svg is not None:
        plot(rows, args.svg)


if __name__ == "__main__":
    main()
