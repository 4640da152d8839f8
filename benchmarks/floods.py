"""Measures what floods and slow peers cost a gateway and its other clients: memory, descriptors, latency.

``python -m benchmarks.floods [SECONDS] [--rate N]``. Each scene has a gateway process of its own, four nodes
and an open load of well-behaved clients (`lab/load.py`) in this process, and the flood in a third. Memory and
descriptors are the gateway's, read from /proc; latencies are the well-behaved clients', from the moment at
which a request was due. The load starts before the flood; requests due in the flood's first `ARRIVAL_S` are
reported apart, as a flood costs most while its clients connect. A quiet run comes first and last, to show the
machine's own noise. ``--only`` selects scenes by their numbers, from 0.
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
ROOM = {"per_second": 1e5, "most_at_once": 1e6, "ceiling_rate": 0.0}
PING_ARGUMENT = b"x" * 60_000
LARGE = resp.encode_command(b"PING", PING_ARGUMENT)
PLAIN = resp.encode_command(b"CALL.GET", b"%016x" % 7, b"slow", b"c=report-read,t=standard,d=2000")


class Scene(NamedTuple):
    """Flood: concurrent clients and what each repeats; or nodes that answer a byte a second."""

    name: str
    clients: int = 0
    each: Callable[[int, int], Awaitable[None]] | None = None
    trickling: int = 0
    spread_s: float = 1.0  # time over which the clients start; 0: all at once


class Row(NamedTuple):
    """Figures of a scene."""

    name: str
    rss_mb: float
    peak_mb: float
    descriptors: int
    p50: float
    p99: float
    served: int
    asked: int
    arrival_p50: float
    arrival_p99: float
    arrival_served: int
    arrival_asked: int
    cpu_s: float  # CPU of the gateway from the start of the flood to the end of the load


# --- the floods: one round of a client, given the gateway's port and the client's number ------------------


async def send_and_reset(port: int, number: int) -> None:
    """Sends 6 MB of whole commands without reading a reply, then resets the connection."""
    client = await Client.connect(port)
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    try:
        async with asyncio.timeout(0.5):
            for _ in range(100):
                client.writer.write(LARGE)
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
        for byte in PLAIN:
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
            client.writer.write(LARGE)
        while True:
            await asyncio.sleep(1.0)
            with contextlib.suppress(BlockingIOError):
                if not os.read(sock.fileno(), 1):
                    return
    finally:
        client.writer.transport.abort()


class Trickling(Node):
    """Node that sends its answers at a byte a second."""

    async def write_in_order(
        self, line: asyncio.Queue[asyncio.Task[bytes | None]], writer: asyncio.StreamWriter
    ) -> None:
        while (reply := await (await line.get())) is not None:
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
    Scene("one node of four trickles", trickling=1),
    Scene("quiet again"),
    Scene("450 read a byte a second", 450, read_slowly),
    Scene("800 read a byte a second, all in one moment", 800, read_slowly, spread_s=0.0),
)


def flood(number: int, port: int, up: Event, go: Event) -> None:
    """Runs the flood of a scene in a process of its own, until that is killed. Sets `up` when it is ready,
    and begins when `go` is set."""
    scene = SCENES[number]
    up.set()
    go.wait()

    async def repeat_client(client: int) -> None:
        assert scene.each is not None
        await asyncio.sleep(scene.spread_s * random.Random(client).random())
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                await scene.each(port, client)
            await asyncio.sleep(0.05)

    async def run_clients() -> None:
        await asyncio.gather(*(repeat_client(client) for client in range(scene.clients)))

    uvloop.run(run_clients())


def status_mb(pid: int, name: str) -> float:
    """Returns the MB of a field of /proc/PID/status that is in kB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith(name + ":")) / 1024.0


async def play(number: int, seconds: float, rate: float) -> Row:
    """Plays one scene."""
    scene = SCENES[number]
    profile = ServiceProfile({kind.class_name: SERVICE_MS for kind in KINDS}, slots=100)
    nodes = [(Trickling if i < scene.trickling else Node)(f"n{i}", profile) for i in range(NODES)]
    rss, descriptors = 0.0, 0
    plans = [plan | ROOM for plan in SETTINGS["packages"]]
    async with LabSite(nodes) as site:
        with tempfile.TemporaryDirectory() as folder:
            gateway = GatewayProcess(Path(folder), site.platform(SETTINGS | {"packages": plans}))
            gateway.start()
            flooding = None
            try:
                await gateway.ready()
                assert gateway.process is not None
                pid = gateway.process.pid
                await Load(lambda: gateway.port, KINDS, accounts(), rate, seed=9).run(2.0)
                if scene.each is not None:
                    context = multiprocessing.get_context("spawn")
                    up, go = context.Event(), context.Event()
                    flooding = context.Process(target=flood, args=(number, gateway.port, up, go), daemon=True)
                    flooding.start()
                    await asyncio.to_thread(up.wait)
                load = Load(lambda: gateway.port, KINDS, accounts(), rate, seed=1)
                running = asyncio.create_task(load.run(BEFORE_S + seconds))
                await asyncio.sleep(BEFORE_S)
                began, cpu = time.monotonic(), cpu_s(pid)
                if flooding is not None:
                    go.set()
                while not running.done():
                    rss = max(rss, status_mb(pid, "VmRSS"))
                    descriptors = max(descriptors, len(os.listdir(f"/proc/{pid}/fd")))
                    await asyncio.sleep(0.05)
                await running
                cpu = cpu_s(pid) - cpu
                peak = status_mb(pid, "VmHWM")
            finally:
                if flooding is not None:
                    flooding.kill()
                    flooding.join()
                await gateway.stop()
    since = [one for one in load.outcomes if one.asked >= began]
    during_arrival = [one for one in since if one.asked < began + ARRIVAL_S]
    took, arrival = (
        [one.took_ms for one in some if one.answer == "served"] for some in (since, during_arrival)
    )
    return Row(
        scene.name, rss, peak, descriptors, percentile(took, 50), percentile(took, 99), len(took), len(since),
        percentile(arrival, 50), percentile(arrival, 99), len(arrival), len(during_arrival), cpu,
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
    for number in args.only:
        row = uvloop.run(play(number, args.seconds, args.rate))
        share, during_arrival = (
            f"{served} of {asked} ({100.0 * served / max(1, asked):.1f} %)"
            for served, asked in ((row.served, row.asked), (row.arrival_served, row.arrival_asked))
        )
        print(f"| {row.name} | {row.rss_mb:.0f} | {row.peak_mb:.0f} | {row.descriptors} | {row.p50:.1f} |"
              f" {row.p99:.1f} | {share} | {row.arrival_p50:.1f}, {row.arrival_p99:.1f} | {during_arrival} |"
              f" {row.cpu_s:.2f} |", flush=True)  # fmt: skip


if __name__ == "__main__":
    main()
