"""Measures what floods and slow peers cost a gateway and its other clients: memory, descriptors, latency.

``python -m benchmarks.floods [SECONDS] [--rate N]``. Each scene has a gateway process of its own, four nodes
and an open-loop load of well-behaved clients (`lab/load.py`) in this process, and the flood in a third
process. Memory and descriptors are the gateway's, read from /proc; latencies are the well-behaved clients',
from the moment at which a request was due. The load starts before the flood; requests due in the flood's
first `ARRIVAL_S` are reported apart, as a flood costs most while its clients connect. A quiet run comes first
and last, to show the machine's own noise. ``--only`` selects scenes by their indexes in `SCENES`, from 0.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import multiprocessing
import os
import random
import tempfile
import time
from collections.abc import Awaitable, Callable
from multiprocessing.synchronize import Event
from pathlib import Path
from typing import NamedTuple

import uvloop

from benchmarks.machine import cpu_s, machine
from glenchute.protocol import resp2 as resp
from lab.load import Load, percentile
from lab.nodes import Node, ServiceProfile
from lab.peers import Client
from lab.site import KINDS, SETTINGS, GatewayProcess, LabSite, accounts

NODES = 4
SERVICE_MS = 10.0
BEFORE_S = 1.0  # duration of the load before the flood begins
ARRIVAL_S = 2.0  # first part of the flood, whose requests are reported apart
UNLIMITED = {"per_second": 1e5, "most_at_once": 1e6, "ceiling_rate": 0.0}  # a quota that is never used up
LARGE_COMMAND = resp.encode_command(b"PING", b"x" * 60_000)
SMALL_COMMAND = resp.encode_command(b"CALL.GET", b"%016x" % 7, b"slow", b"c=report-read,t=standard,d=2000")


class Scene(NamedTuple):
    """Clients of a flood, or nodes that answer slowly."""

    name: str
    clients: int = 0
    client_round: Callable[[int, int], Awaitable[None]] | None = None  # repeated by each client
    slow_nodes: int = 0  # nodes that send a byte a second
    spread_s: float = 1.0  # time over which the clients start; 0: all at once


class Row(NamedTuple):
    """Figures of a scene; latencies in milliseconds. Those of `arrival` are of requests due in the flood's
    first `ARRIVAL_S`."""

    name: str
    rss_mb: float  # greatest during the flood
    peak_mb: float  # greatest since the start of the gateway
    descriptors: int
    p50: float
    p99: float
    served: int
    requests: int
    arrival_p50: float
    arrival_p99: float
    arrival_served: int
    arrival_requests: int
    cpu_s: float  # CPU of the gateway from the start of the flood to the end of the load


# --- the floods: one round of a client, given the gateway's port and the client's number ------------------


async def send_and_reset(port: int, number: int) -> None:
    """Sends 6 MB of whole commands without reading a reply, then resets the connection."""
    client = await Client.connect(port)
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    try:
        async with asyncio.timeout(0.5):
            for _ in range(100):
                client.writer.write(LARGE_COMMAND)
                await client.writer.drain()
    finally:
        client.writer.transport.abort()


async def stay_idle(port: int, number: int) -> None:
    """Connects and sends nothing until the gateway closes the connection."""
    client = await Client.connect(port)
    try:
        await client.ended()
    finally:
        client.writer.close()


async def write_slowly(port: int, number: int) -> None:
    """Sends a command at a byte a second until the gateway closes the connection."""
    client = await Client.connect(port)
    try:
        for byte in SMALL_COMMAND:
            client.writer.write(bytes((byte,)))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(client.ended(), 1.0)
                return
    finally:
        client.writer.transport.abort()


async def read_slowly(port: int, number: int) -> None:
    """Requests megabytes of replies, and reads a byte a second."""
    client = await Client.connect(port)
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    sock = client.writer.get_extra_info("socket")
    try:
        for _ in range(100):
            client.writer.write(LARGE_COMMAND)
        while True:
            await asyncio.sleep(1.0)
            with contextlib.suppress(BlockingIOError):
                if not os.read(sock.fileno(), 1):
                    return
    finally:
        client.writer.transport.abort()


class SlowNode(Node):
    """Node that sends its answers at a byte a second."""

    async def write_in_order(
        self, replies: asyncio.Queue[asyncio.Task[bytes | None]], writer: asyncio.StreamWriter
    ) -> None:
        while (reply := await (await replies.get())) is not None:
            for byte in reply:
                writer.write(bytes((byte,)))
                await asyncio.sleep(1.0)


SCENES = (
    Scene("quiet"),
    Scene("6 MB sent and gone, 8 at once", 8, send_and_reset),
    Scene("700 that never ask", 700, stay_idle),
    Scene("300 write a byte a second", 300, write_slowly),
    Scene("200 read a byte a second", 200, read_slowly),
    Scene("the same, all in one moment", 200, read_slowly, spread_s=0.0),
    Scene("one node of four trickles", slow_nodes=1),
    Scene("quiet again"),
    Scene("450 read a byte a second", 450, read_slowly),
    Scene("800 read a byte a second, all in one moment", 800, read_slowly, spread_s=0.0),
)


def run_flood(scene_index: int, port: int, is_ready: Event, may_start: Event) -> None:
    """Runs the flood of a scene in a process of its own, until that is killed. Sets `is_ready`, and begins
    when `may_start` is set."""
    scene = SCENES[scene_index]
    is_ready.set()
    may_start.wait()

    async def repeat_client(client: int) -> None:
        assert scene.client_round is not None
        await asyncio.sleep(scene.spread_s * random.Random(client).random())
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                await scene.client_round(port, client)
            await asyncio.sleep(0.05)

    async def run_clients() -> None:
        await asyncio.gather(*(repeat_client(client) for client in range(scene.clients)))

    uvloop.run(run_clients())


def status_mb(pid: int, name: str) -> float:
    """Returns the MB of a field of /proc/PID/status that is in kB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith(name + ":")) / 1024.0


async def measure_scene(scene_index: int, seconds: float, rate: float) -> Row:
    """Runs the load of one scene."""
    scene = SCENES[scene_index]
    profile = ServiceProfile({kind.class_name: SERVICE_MS for kind in KINDS}, slots=100)
    nodes = [(SlowNode if i < scene.slow_nodes else Node)(f"n{i}", profile) for i in range(NODES)]
    rss_mb, descriptors = 0.0, 0
    plans = [plan | UNLIMITED for plan in SETTINGS["packages"]]
    async with LabSite(nodes) as site:
        with tempfile.TemporaryDirectory() as folder:
            gateway = GatewayProcess(Path(folder), site.platform(SETTINGS | {"packages": plans}))
            gateway.start()
            flood = None
            try:
                await gateway.ready()
                assert gateway.process is not None
                pid = gateway.process.pid
                await Load(lambda: gateway.port, KINDS, accounts(), rate, seed=9).run(2.0)
                if scene.client_round is not None:
                    context = multiprocessing.get_context("spawn")
                    is_ready, may_start = context.Event(), context.Event()
                    arguments = (scene_index, gateway.port, is_ready, may_start)
                    flood = context.Process(target=run_flood, args=arguments, daemon=True)
                    flood.start()
                    await asyncio.to_thread(is_ready.wait)
                load = Load(lambda: gateway.port, KINDS, accounts(), rate, seed=1)
                running = asyncio.create_task(load.run(BEFORE_S + seconds))
                await asyncio.sleep(BEFORE_S)
                flood_start, cpu_before_s = time.monotonic(), cpu_s(pid)
                if flood is not None:
                    may_start.set()
                while not running.done():
                    rss_mb = max(rss_mb, status_mb(pid, "VmRSS"))
                    descriptors = max(descriptors, len(os.listdir(f"/proc/{pid}/fd")))
                    await asyncio.sleep(0.05)
                await running
                used_s = cpu_s(pid) - cpu_before_s
                peak_mb = status_mb(pid, "VmHWM")
            finally:
                if flood is not None:
                    flood.kill()
                    flood.join()
                await gateway.stop()
    during_flood = [outcome for outcome in load.outcomes if outcome.scheduled_at >= flood_start]
    during_arrival = [outcome for outcome in during_flood if outcome.scheduled_at < flood_start + ARRIVAL_S]
    served_ms, arrival_ms = (
        [outcome.duration_ms for outcome in outcomes if outcome.answer == "served"]
        for outcomes in (during_flood, during_arrival)
    )
    return Row(
        scene.name, rss_mb, peak_mb, descriptors,
        percentile(served_ms, 50), percentile(served_ms, 99), len(served_ms), len(during_flood),
        percentile(arrival_ms, 50), percentile(arrival_ms, 99), len(arrival_ms), len(during_arrival), used_s,
    )  # fmt: skip


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seconds", type=float, nargs="?", default=10.0)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--only", type=int, nargs="+", default=range(len(SCENES)))
    args = parser.parse_args()
    print(machine())
    print(f"{NODES} nodes of {SERVICE_MS:g} ms, {args.rate:g} requests/s of other clients for"
          f" {args.seconds:g} s a scene, 1024 descriptors, 192 MB;"
          f" load average {os.getloadavg()[0]:.0f}")  # fmt: skip
    print("| scene | memory, most (MB) | peak since start (MB) | descriptors | p50 ms | p99 ms | served |"
          f" p50, p99 of the first {ARRIVAL_S:g} s | served of these | CPU s |")  # fmt: skip
    print("| --- |" + " ---: |" * 9)
    for scene_index in args.only:
        row = uvloop.run(measure_scene(scene_index, args.seconds, args.rate))
        served_text, arrival_text = (
            f"{served} of {requests} ({100.0 * served / max(1, requests):.1f} %)"
            for served, requests in ((row.served, row.requests), (row.arrival_served, row.arrival_requests))
        )
        print(f"| {row.name} | {row.rss_mb:.0f} | {row.peak_mb:.0f} | {row.descriptors} | {row.p50:.1f} |"
              f" {row.p99:.1f} | {served_text} | {row.arrival_p50:.1f}, {row.arrival_p99:.1f} |"
              f" {arrival_text} | {row.cpu_s:.2f} |", flush=True)  # fmt: skip


if __name__ == "__main__":
    main()
