"""Measures the time from a process start to its first PONG when ten of thirty gateways restart at once.

``python -m benchmarks.readiness [ROUNDS]``

The ten share two cores, so each has a fifth of one; the other twenty serve on the rest of the machine. Four
cases take turns: discovery and counter answer; discovery accepts calls but does not answer, nor does the
counter; the same with an empty saved list; and connections to discovery are neither accepted nor refused.
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
from lab.nodes import Node, ServiceProfile
from lab.peers import Client, DiscoveryPeer, RespPeer, reply_with
from lab.site import SETTINGS, GatewayProcess, LabSite, free_port

GATEWAYS, KILLED, CORES = 30, 10, 2
PATIENCE_S = 30.0
PAUSE_S = 0.05  # pause of a client between two requests
SHORT_FIELDS = b"c=report-read,t=korporativni,d=2000,units=0.001"


async def run_client(gateway: GatewayProcess, number: int, counts: list[int]) -> None:
    """Sends short requests from one client until cancelled."""
    serial = 0
    while True:
        with contextlib.suppress(ConnectionError):
            client = await Client.connect(gateway.port)
            while True:
                serial += 1
                name = b"%016x" % (number * 1_000_000 + serial)
                answer = await client.ask(b"CALL.GET", b"%016x" % (2000 + number), name, SHORT_FIELDS)
                if answer is None:
                    break
                counts[isinstance(answer, bytes)] += 1
                await asyncio.sleep(PAUSE_S)
            client.writer.close()


async def start_gateway(gateway: GatewayProcess, cores: set[int]) -> float:
    """Starts a gateway on these cores; returns the seconds to its first PONG."""
    began = time.monotonic()
    gateway.start()
    assert gateway.process is not None
    os.sched_setaffinity(gateway.process.pid, cores)
    await gateway.ready(PATIENCE_S)
    return time.monotonic() - began


def kill_all(gateways: list[GatewayProcess]) -> None:
    """Kills all of the gateways and waits for their ends."""
    for gateway in gateways:
        gateway.send_signal(signal.SIGKILL)
    for gateway in gateways:
        if gateway.process is not None:
            gateway.process.wait()


async def main(rounds: int) -> None:
    """Prints a row for each state of the peers."""
    silent, mute = DiscoveryPeer(), RespPeer(reply_with(None))
    for peer in (silent, mute):
        await peer.start()
    nodes = [Node(f"n{i}", ServiceProfile({"report-read": 10.0}, slots=64)) for i in range(4)]
    cores = sorted(os.sched_getaffinity(0))
    shared_cores, other_cores = set(cores[:CORES]), set(cores[CORES:])
    ways = ("answering", "silent", "silent, empty saved list", "no connection")
    took: dict[str, list[float]] = {way: [] for way in ways}
    counts = [0, 0]  # requests at the other gateways: not served, served
    gateways: list[GatewayProcess] = []
    full_listener = socket.create_server(("127.0.0.1", free_port()), backlog=0)
    waiting = [socket.socket() for _ in range(4)]  # fill the accept queue, so that further connects hang
    for one in waiting:
        one.setblocking(False)
        one.connect_ex(full_listener.getsockname())
    async with LabSite(nodes) as site:
        with tempfile.TemporaryDirectory() as folder:
            for number in range(GATEWAYS):
                own = Path(folder) / f"g{number}"
                own.mkdir()
                settings: dict[str, Any] = {**SETTINGS, "balancers": GATEWAYS, "me": number}
                gateways.append(GatewayProcess(own, site.platform(settings) | {"name": f"g{number}"}))
            try:
                for gateway in gateways:
                    await start_gateway(gateway, other_cores)
                others = gateways[KILLED:]
                clients = [asyncio.create_task(run_client(one, n, counts)) for n, one in enumerate(others)]
                for _ in range(rounds):
                    for way, found in took.items():
                        kill_all(gateways[:KILLED])
                        for gateway in gateways[:KILLED]:
                            raw = dict(gateway.platform)
                            if way != "answering":
                                port = silent.port if way != ways[-1] else full_listener.getsockname()[1]
                                raw["discovery"] = f"127.0.0.1:{port}"
                                raw["counter"] = f"127.0.0.1:{mute.port}"
                            if way.endswith("list"):
                                raw["known"] = {"version": 1, "full": True, "servers": []}
                            gateway.config_file.write_text(json.dumps(raw))
                        found += await asyncio.gather(
                            *(start_gateway(one, shared_cores) for one in gateways[:KILLED])
                        )
                for client in clients:
                    client.cancel()
            finally:
                kill_all(gateways)
    for peer in (silent, mute):
        await peer.stop()
    for held in (full_listener, *waiting):
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
