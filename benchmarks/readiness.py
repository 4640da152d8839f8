"""Measures the time from a process start to its first PONG when ten of thirty gateways restart at once.

``python -m benchmarks.readiness [ROUNDS]``

The ten share two cores, so each has a fifth of a core; the other twenty serve on the other cores. Four cases
take turns: discovery and counter answer; discovery accepts calls but does not answer, nor does the
counter; the same with an empty saved list; and connections to discovery are neither accepted nor refused.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

from benchmarks.machine import machine
from lab.load import percentile
from lab.nodes import Node, ServiceProfile
from lab.peers import Client, DiscoveryPeer, RespPeer, reply_with
from lab.site import SETTINGS, GatewayProcess, LabSite, free_port

GATEWAYS, KILLED, CORES = 30, 10, 2
READY_TIMEOUT_S = 30.0
PAUSE_S = 0.05  # of a client between two requests
SHORT_FIELDS = b"c=report-read,t=korporativni,d=2000,units=0.001"


async def run_client(gateway: GatewayProcess, number: int, counts: list[int]) -> None:
    """Sends short requests from one client until cancelled; counts those not served and those served."""
    serial = 0
    while True:
        with contextlib.suppress(ConnectionError):
            client = await Client.connect(gateway.port)
            while True:
                serial += 1
                request_id = b"%016x" % (number * 1_000_000 + serial)
                answer = await client.ask(b"CALL.GET", b"%016x" % (2000 + number), request_id, SHORT_FIELDS)
                if answer is None:
                    break
                counts[isinstance(answer, bytes)] += 1
                await asyncio.sleep(PAUSE_S)
            client.writer.close()


async def start_gateway(gateway: GatewayProcess, cores: set[int]) -> float:
    """Starts a gateway on these cores; returns the seconds to its first PONG."""
    started = time.monotonic()
    gateway.start()
    assert gateway.process is not None
    os.sched_setaffinity(gateway.process.pid, cores)
    await gateway.ready(READY_TIMEOUT_S)
    return time.monotonic() - started


def kill_all(gateways: list[GatewayProcess]) -> None:
    """Kills gateways and waits until they have ended."""
    for gateway in gateways:
        gateway.send_signal(signal.SIGKILL)
    for gateway in gateways:
        if gateway.process is not None:
            gateway.process.wait()


async def main(rounds: int) -> None:
    """Prints a row for each case."""
    silent_discovery, silent_counter = DiscoveryPeer(), RespPeer(reply_with(None))
    for peer in (silent_discovery, silent_counter):
        await peer.start()
    nodes = [Node(f"n{i}", ServiceProfile({"report-read": 10.0}, slots=64)) for i in range(4)]
    cores = sorted(os.sched_getaffinity(0))
    shared_cores, other_cores = set(cores[:CORES]), set(cores[CORES:])
    cases = ("answering", "silent", "silent, empty saved list", "no connection")
    start_s: dict[str, list[float]] = {case: [] for case in cases}
    counts = [0, 0]  # requests at the other gateways: not served, served
    gateways: list[GatewayProcess] = []
    full_listener = socket.create_server(("127.0.0.1", free_port()), backlog=0)
    queued = [socket.socket() for _ in range(4)]  # fill the accept queue, so that further connects hang
    for connection in queued:
        connection.setblocking(False)
        connection.connect_ex(full_listener.getsockname())
    async with LabSite(nodes) as site:
        with tempfile.TemporaryDirectory() as folder:
            for number in range(GATEWAYS):
                gateway_folder = Path(folder) / f"g{number}"
                gateway_folder.mkdir()
                settings: dict[str, Any] = {**SETTINGS, "balancers": GATEWAYS, "me": number}
                platform = site.platform(settings) | {"name": f"g{number}"}
                gateways.append(GatewayProcess(gateway_folder, platform))
            try:
                for gateway in gateways:
                    await start_gateway(gateway, other_cores)
                others = gateways[KILLED:]
                clients = [
                    asyncio.create_task(run_client(gateway, number, counts))
                    for number, gateway in enumerate(others)
                ]
                for _ in range(rounds):
                    for case, times in start_s.items():
                        kill_all(gateways[:KILLED])
                        for gateway in gateways[:KILLED]:
                            platform = dict(gateway.platform)
                            if case != "answering":
                                hung_port = full_listener.getsockname()[1]
                                port = hung_port if case == "no connection" else silent_discovery.port
                                platform["discovery"] = f"127.0.0.1:{port}"
                                platform["counter"] = f"127.0.0.1:{silent_counter.port}"
                            if case.endswith("list"):
                                platform["known"] = {"version": 1, "full": True, "servers": []}
                            gateway.config_file.write_text(json.dumps(platform))
                        times += await asyncio.gather(
                            *(start_gateway(gateway, shared_cores) for gateway in gateways[:KILLED])
                        )
                for client in clients:
                    client.cancel()
            finally:
                kill_all(gateways)
    for peer in (silent_discovery, silent_counter):
        await peer.stop()
    for open_socket in (full_listener, *queued):
        open_socket.close()
    print(machine())
    print(f"{rounds} times {KILLED} of {GATEWAYS} on {CORES} cores; seconds to the first PONG")
    print(f"the others served {counts[True]} requests meanwhile, and did not serve {counts[False]}")
    for case, times in start_s.items():
        p50, p90 = percentile(times, 50), percentile(times, 90)
        print(f"{case:26} n={len(times)} p50={p50:.2f} p90={p90:.2f} max={max(times):.2f}")


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 3))
