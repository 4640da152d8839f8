"""Time from the start of a process to its first PONG: ten of thirty killed at once and started again.

``python -m benchmarks.readiness [ROUNDS]``

The ten share two cores, so that each has a fifth of one; the other twenty serve on the rest of the machine.
In turn: discovery and counter answer; discovery takes calls and stays silent, the counter is mute; the same
with an empty saved list; and no connection to discovery comes up, nor is refused.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

from benchmarks.machine import machine
from lab.nodes import Node, Trade
from lab.peers import Client, DiscoveryPeer, RespPeer, always
from lab.site import SETTINGS, GatewayProcess, LabSite, free_port

GATEWAYS, KILLED, CORES = 30, 10, 2
PATIENCE_S = 30.0
PAUSE_S = 0.05  # of a client between two requests
SHORT = b"c=report-read,t=korporativni,d=2000,units=0.001"


async def load(gateway: GatewayProcess, number: int, counts: list[int]) -> None:
    """One client of short requests, for good."""
    serial = 0
    while True:
        with contextlib.suppress(ConnectionError):
            client = await Client.connect(gateway.port)
            while True:
                serial += 1
                name = b"%016x" % (number * 1_000_000 + serial)
                answer = await client.ask(b"CALL.GET", b"%016x" % (2000 + number), name, SHORT)
                if answer is None:
                    break
                counts[isinstance(answer, bytes)] += 1
                await asyncio.sleep(PAUSE_S)
            client.writer.close()


async def again(gateway: GatewayProcess, cores: set[int]) -> float:
    """Starts one on these cores; seconds to its first PONG."""
    began = time.monotonic()
    gateway.start()
    assert gateway.process is not None
    os.sched_setaffinity(gateway.process.pid, cores)
    await gateway.ready(PATIENCE_S)
    return time.monotonic() - began


def kill(gateways: list[GatewayProcess]) -> None:
    """Ends them at once."""
    for gateway in gateways:
        gateway.signal(signal.SIGKILL)
    for gateway in gateways:
        if gateway.process is not None:
            gateway.process.wait()


async def main(rounds: int) -> None:
    """Prints a row for each way in which the peers are."""
    silent, mute = DiscoveryPeer(), RespPeer(always(None))
    for peer in (silent, mute):
        await peer.start()
    nodes = [Node(f"n{i}", Trade({"report-read": 10.0}, slots=64)) for i in range(4)]
    cores = sorted(os.sched_getaffinity(0))
    few, rest = set(cores[:CORES]), set(cores[CORES:])
    ways = ("answering", "silent", "silent, empty saved list", "no connection")
    took: dict[str, list[float]] = {way: [] for way in ways}
    counts = [0, 0]  # requests not served, served, at the others
    gateways: list[GatewayProcess] = []
    full = socket.create_server(("127.0.0.1", free_port()), backlog=0)
    waiting = [socket.socket() for _ in range(4)]  # to be accepted: no more come up
    for one in waiting:
        one.setblocking(False)
        one.connect_ex(full.getsockname())
    async with LabSite(nodes) as site:
        with tempfile.TemporaryDirectory() as folder:
            for number in range(GATEWAYS):
                own = Path(folder) / f"g{number}"
                own.mkdir()
                settings: dict[str, Any] = {**SETTINGS, "balancers": GATEWAYS, "me": number}
                gateways.append(GatewayProcess(own, site.platform(settings) | {"name": f"g{number}"}))
            try:
                for gateway in gateways:
                    await again(gateway, rest)
                others = gateways[KILLED:]
                clients = [asyncio.create_task(load(one, n, counts)) for n, one in enumerate(others)]
                for _ in range(rounds):
                    for way, found in took.items():
                        kill(gateways[:KILLED])
                        for gateway in gateways[:KILLED]:
                            raw = dict(gateway.platform)
                            if way != "answering":
                                port = silent.port if way != ways[-1] else full.getsockname()[1]
                                raw["discovery"] = f"127.0.0.1:{port}"
                                raw["counter"] = f"127.0.0.1:{mute.port}"
                            if way.endswith("list"):
                                raw["known"] = {"version": 1, "full": True, "servers": []}
                            gateway.config.write_text(json.dumps(raw))
                        found += await asyncio.gather(*(again(one, few) for one in gateways[:KILLED]))
                for client in clients:
                    client.cancel()
            finally:
                kill(gateways)
    for peer in (silent, mute):
        await peer.stop()
    for held in (full, *waiting):
        held.close()
    print(machine())
    print(f"{rounds} times {KILLED} of {GATEWAYS} on {CORES} cores; seconds to the first PONG")
    print(f"the others served {counts[True]} requests meanwhile, and did not serve {counts[False]}")
    for way, found in took.items():
        found.sort()
        p90 = found[int(0.9 * len(found)) - 1]
        print(f"{way:26} n={len(found)} p50={statistics.median(found):.2f} p90={p90:.2f} max={found[-1]:.2f}")


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 3))
