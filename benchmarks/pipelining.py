"""Measures latency with pipelined and exclusive connections under stalls, and the gateway's CPU by depth.

``python -m benchmarks.pipelining [SECONDS] [--svg FILE]``. Each cell is a gateway process and a second
process with its nodes and an open-loop load of read bursts. Up to three cells run concurrently, one for
every two cores of the machine. Latencies count from the moment at which a burst was due. Needs
glenchute[bench].
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
BASE_RATE = 300.0  # reads per second at a load of 1
LOADS = (0.5, 1.0, 2.0)
SERVICE_MS = 20.0
UNLIMITED = {"per_second": 1e5, "most_at_once": 1e6, "ceiling_rate": 0.0}  # a quota that is never used up
PLANS = [{**plan, **UNLIMITED} for plan in SETTINGS["packages"]]
STALL_S = 0.5
# Descriptors of the gateway, which allow 24 and 307 connections to nodes.
FEW_DESCRIPTORS, MANY_DESCRIPTORS = 80, 1024
PIPELINING = '[pipeline]\nclasses = ["report-read"]\ndepth = {depth}\nat_risk = {risk}\nsettle_ms = 0\n'


class Cell(NamedTuple):
    """Parameters of one run."""

    stall: str  # key of `faults`
    load: float  # as a multiple of `BASE_RATE`
    is_shared: bool  # pipelined connections; otherwise one request at a time on each
    descriptors: int
    seconds: float


class Row(NamedTuple):
    """Figures of one run; latencies in milliseconds."""

    cell: Cell
    p50: float
    p99: float
    p999: float
    served: int
    refused: int
    failed: int
    lost: int
    connections: int  # to nodes, at the end of the load
    peak_connections: int
    cpu_us: float  # of the gateway, per request
    curve: list[tuple[float, float]]  # percentile, milliseconds


def faults(stall: str) -> list[tuple[Fault, ...]]:
    """Returns the faults of each node for a kind of stall."""
    if stall in ("1 in 1,000", "1 in 100"):
        share = 0.001 if stall == "1 in 1,000" else 0.01
        return [(Fault(FaultKind.DELAY, 0.0, 1e6, share, STALL_S),)] * NODES
    if stall == "a node for 2 s":
        return [(Fault(FaultKind.FREEZE, 4.0, 6.0),), *[()] * (NODES - 1)]
    return [()] * NODES


def platform(site: LabSite, descriptors: int) -> dict[str, Any]:
    """Returns the platform's file, with a limit of descriptors and quotas that never refuse."""
    limits = {**SETTINGS["limits"], "max_streams": 32}
    config = site.platform({**SETTINGS, "packages": PLANS, "limits": limits})
    return {**config, "limits": {**config["limits"], "sockets": descriptors}}


async def measure_cell(cell: Cell) -> Row:
    """Runs the load of one cell."""
    histogram = HdrHistogram(1, 60_000_000, 3)  # microseconds
    profile = ServiceProfile({"report-read": SERVICE_MS}, slots=64, queue=1000)
    nodes = [Node(f"n{i}", profile, FaultScript(script, i)) for i, script in enumerate(faults(cell.stall))]
    peak_connections = 0
    async with LabSite(nodes) as site:
        with tempfile.TemporaryDirectory() as folder:
            operator = PIPELINING.format(depth=8, risk=64) if cell.is_shared else None
            gateway = GatewayProcess(Path(folder), platform(site, cell.descriptors), operator)
            gateway.start()
            try:
                await gateway.ready()
                assert gateway.process is not None
                warm_up = BurstLoad(gateway.port, BASE_RATE, lambda ms: None, seed=9)
                await warm_up.run(2.0)
                for node in nodes:
                    # The times of its faults count from `started_at`.
                    node.started_at = asyncio.get_running_loop().time()
                load = BurstLoad(gateway.port, cell.load * BASE_RATE,
                              lambda ms: histogram.record_value(max(1, int(1000 * ms))))  # fmt: skip
                before = cpu_s(gateway.process.pid)
                running = asyncio.create_task(load.run(cell.seconds))
                while not running.done():
                    peak_connections = max(peak_connections, sum(node.open_connections for node in nodes))
                    await asyncio.sleep(0.05)
                await running
                connections = sum(node.open_connections for node in nodes)
                used_s = cpu_s(gateway.process.pid) - before
            finally:
                await gateway.stop()
    percents = [50.0, 90.0, 95.0, 99.0, 99.5, 99.9, 99.95, 99.99]
    curve = [(percent, histogram.get_value_at_percentile(percent) / 1000.0) for percent in percents]
    percentiles = dict(curve)
    answers = load.answers
    requests = max(1, sum(answers.values()))
    return Row(cell, percentiles[50.0], percentiles[99.0], percentiles[99.9],
               answers["served"], answers["refused"], answers["failed"], answers["lost"],
               connections, peak_connections, 1e6 * used_s / requests, curve)  # fmt: skip


def run_cell(cell: Cell) -> Row:
    """Measures one cell; called in a worker process."""
    return uvloop.run(measure_cell(cell))


class DepthRow(NamedTuple):
    """Figures at one depth."""

    depth: int
    is_exclusive: bool
    cpu_us: float  # of the gateway, per request
    rate: float  # requests per second
    commands_per_segment: float  # mean number of commands per read of a node's connection
    connections: int


async def run_closed_load(depth: int, seconds: float) -> DepthRow:
    """Runs a closed-loop load that keeps `depth` requests in flight on each of the gateway's 19 connections
    to two fast nodes. Depth 0 is the mode with exclusive connections, one request in flight on each."""
    profile = ServiceProfile({"report-read": 2.0}, slots=1000, queue=10_000)
    nodes = [Node(f"n{i}", profile) for i in range(2)]
    in_flight = 19 * max(1, depth)
    answered = 0
    async with LabSite(nodes) as site:
        with tempfile.TemporaryDirectory() as folder:
            operator = PIPELINING.format(depth=max(2, depth), risk=1000)
            operator += "adaptive = false\nopen_price_ms = 0\n"
            gateway = GatewayProcess(Path(folder), platform(site, 64), operator if depth else None)
            gateway.start()
            try:
                await gateway.ready()
                assert gateway.process is not None
                loop = asyncio.get_running_loop()
                end = loop.time() + 1.0 + seconds
                clients = min(10, in_flight)

                async def send_bursts(number: int) -> None:
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

                tasks = [asyncio.create_task(send_bursts(number)) for number in range(clients)]
                await asyncio.sleep(1.0)
                cpu_before, answered_before = cpu_s(gateway.process.pid), answered
                await asyncio.sleep(seconds)
                used_s = cpu_s(gateway.process.pid) - cpu_before
                requests = answered - answered_before
                connections = sum(node.open_connections for node in nodes)
                await asyncio.gather(*tasks)
                segments = sum(node.read_count for node in nodes)
                commands = sum(node.received_count for node in nodes)
            finally:
                await gateway.stop()
    return DepthRow(depth, not depth, 1e6 * used_s / max(1, requests), requests / seconds,
                    commands / max(1, segments), connections)  # fmt: skip


def run_depth(job: tuple[int, float]) -> DepthRow:
    """Measures one depth; called in a worker process."""
    return uvloop.run(run_closed_load(*job))


def plot(rows: list[Row], path: Path) -> None:
    """Draws percentiles at twice the load, a line for each stall and mode."""
    import pygal

    chart = pygal.Line(
        title=f"Reads at {2 * BASE_RATE:.0f}/s in bursts, {FEW_DESCRIPTORS * 3 // 10} connections to nodes",
        x_title="percentile", y_title="milliseconds (logarithmic)", logarithmic=True, width=1000, height=600,
        legend_at_bottom=True, legend_at_bottom_columns=2, js=[], disable_xml_declaration=True,
    )  # fmt: skip
    plotted = [row for row in rows if row.cell.load == 2.0 and row.cell.descriptors == FEW_DESCRIPTORS]
    chart.x_labels = [f"{percent:g}" for percent, _ in plotted[0].curve]
    for row in plotted:
        name = f"{'shared' if row.cell.is_shared else 'one each'}, stalls: {row.cell.stall}"
        style = {"width": 2} if row.cell.is_shared else {"width": 2, "dasharray": "6, 4"}
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
          f"1x = {BASE_RATE:g} reads/s; {args.seconds:g} s a cell; "
          "times from a burst's due time")  # fmt: skip
    stalls = ("none", "1 in 1,000", "1 in 100", "a node for 2 s")
    cells = [Cell(stall, load, is_shared, descriptors, args.seconds)
             for descriptors in (MANY_DESCRIPTORS, FEW_DESCRIPTORS)
             for stall in stalls for load in LOADS for is_shared in (False, True)]  # fmt: skip
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(max(1, min(3, (os.cpu_count() or 2) // 2)), context) as pool:
        rows = list(pool.map(run_cell, cells))
    print(f"{'descr.':>6} {'stalls':>14} {'load':>5} {'way':>8} {'p50':>7} {'p99':>8} {'p99.9':>8} "
          f"{'served':>7} {'refused':>7} {'failed':>6} {'lost':>5} {'held':>5} {'most':>5} "
          f"{'CPU us':>7}")  # fmt: skip
    for row in rows:
        cell = row.cell
        mode = "shared" if cell.is_shared else "one each"
        print(f"{cell.descriptors:>6} {cell.stall:>14} {cell.load:>5g} {mode:>8} "
              f"{row.p50:>7.1f} {row.p99:>8.1f} {row.p999:>8.1f} {row.served:>7} {row.refused:>7} "
              f"{row.failed:>6} {row.lost:>5} "
              f"{row.connections:>5} {row.peak_connections:>5} {row.cpu_us:>7.0f}")  # fmt: skip
    with ProcessPoolExecutor(1, context) as pool:
        depth_rows = list(pool.map(run_depth, [(depth, 4.0) for depth in (0, 1, 2, 4, 8, 16)]))
    print("closed load, 19 connections, two quick nodes")
    print(f"{'depth':>8} {'CPU us':>7} {'reads/s':>8} {'a segment':>10} {'held':>5}")
    for at_depth in depth_rows:
        name = "one each" if at_depth.is_exclusive else str(at_depth.depth)
        print(f"{name:>8} {at_depth.cpu_us:>7.0f} {at_depth.rate:>8.0f} "
              f"{at_depth.commands_per_segment:>10.2f} {at_depth.connections:>5}")  # fmt: skip
    if args.svg is not None:
        plot(rows, args.svg)


if __name__ == "__main__":
    main()
