"""Breaks down the latency that one gateway adds to a request at its share of the peak. Timestamps in client,
gateway and server come from the machine's monotonic clock.

``python -m benchmarks.added [LISTED ...]``. The gateway is unchanged but for a probe that records when
a request has been read (`accepted`), its attempt is written (`written`), the server's answer is complete
(`answered`) and the response to the client has been written (`responded`). Prints for each part p50, p99 and
the mean over the 2% of requests with the most added latency. Clients and servers run in this process. Before
and after, the same load goes through a bare relay, a process that only forwards bytes to one of the servers:
the latency added there is the machine's.
"""

from __future__ import annotations

import asyncio
import atexit
import contextlib
import itertools
import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import uvloop

from benchmarks.choosing import (
    GATEWAYS,
    RATE,
    READS,
    SERVERS,
    FullListDiscovery,
    core_wait_s,
    list_rows,
)
from benchmarks.machine import cpu_s, machine
from lab.load import Account, Answer, Load, percentile
from lab.nodes import Node, ServiceProfile
from lab.site import SETTINGS, GatewayProcess, LabSite

SECONDS = 20.0
# Parts of the added latency: name, and the timestamps at which the part begins and ends.
PARTS = (
    ("client late to send", "due", "sent"), ("to the gateway, read", "sent", "accepted"),
    ("decided, connected, written", "accepted", "written"), ("to the server", "written", "started"),
    ("back to the gateway, read", "finished", "answered"), ("told", "answered", "responded"),
    ("to the client", "responded", "received"),
)  # fmt: skip
Timestamps = dict[str, dict[str, float]]  # seconds of the monotonic clock, by request id and name


def probe() -> None:
    """Patches the gateway's classes before it starts, to record timestamps and write them at exit."""
    from glenchute.core.executor import RequestExecutor
    from glenchute.upstreams.connection import Connection
    from glenchute.upstreams.exclusive_attempt import ExclusiveAttempt

    timestamps: Timestamps = {}
    accept, respond = RequestExecutor.accept, RequestExecutor.respond
    write, complete_response = ExclusiveAttempt.write, Connection.complete_response

    def record(call: Any, name: str) -> None:
        timestamps.setdefault(call.request_id.decode(), {})[name] = time.monotonic()

    def timed_accept(self: Any, call: Any, *args: Any) -> Any:
        record(call, "accepted")
        return accept(self, call, *args)

    def timed_write(self: Any, conn: Any) -> None:
        write(self, conn)
        record(self.payload.__self__, "written")

    def timed_complete_response(self: Any, attempt: Any, *args: Any) -> None:
        record(attempt.payload.__self__, "answered")
        complete_response(self, attempt, *args)

    def timed_respond(self: Any, request_id: str, reply: Any) -> None:
        request = self.active_requests.get(request_id)
        respond(self, request_id, reply)
        if request is not None:
            record(request.call, "responded")

    core: Any = RequestExecutor
    attempt: Any = ExclusiveAttempt
    connection: Any = Connection
    core.accept, core.respond = timed_accept, timed_respond
    attempt.write, connection.complete_response = timed_write, timed_complete_response
    atexit.register(lambda: Path(os.environ["ADDED_PROBE"]).write_text(json.dumps(timestamps)))


async def relay(ports: list[int]) -> None:
    """Forwards bytes, each connection to the next server; prints its port and serves until stdin ends."""
    next_port = itertools.cycle(ports)

    async def copy_bytes(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            writer.write(data)
        writer.close()

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        upstream = await asyncio.open_connection("127.0.0.1", next(next_port))
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):  # one side has closed
            await asyncio.gather(copy_bytes(reader, upstream[1]), copy_bytes(upstream[0], writer))

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


class TimedNode(Node):
    """Server that records when a command arrived and when its answer was ready."""

    timestamps: Timestamps

    async def answer(self, words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        times = self.timestamps.setdefault(words[2].decode(), {}) if len(words) > 2 else {}
        times["started"] = time.monotonic()
        reply = await super().answer(words, writer)
        times["finished"] = time.monotonic()
        return reply


class TimedLoad(Load):
    """Load that records when each request was sent and when its answer arrived."""

    timestamps: Timestamps

    async def exchange(self, words: list[bytes]) -> Answer:
        times = self.timestamps.setdefault(words[2].decode(), {})
        times["sent"] = time.monotonic()
        outcome = await super().exchange(words)
        times["received"] = time.monotonic()
        return outcome


async def measure_relay(nodes: Sequence[Node], accounts: Sequence[Account], seed: int) -> str:
    """Returns a line with the latency that a bare relay adds under the same load."""
    ports = [str(node.port) for node in nodes]
    process = subprocess.Popen([sys.executable, "-m", "benchmarks.added", "relay", *ports],
                               stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)  # fmt: skip
    assert process.stdout is not None
    port = int(process.stdout.readline())
    await TimedLoad(lambda: port, READS, accounts, RATE, seed).run(1.0)
    load = TimedLoad(lambda: port, READS, accounts, RATE, seed + 1)
    wait_before_s = core_wait_s(process.pid)
    await load.run(SECONDS / 2.0)
    core_wait_ms = 1000.0 * (core_wait_s(process.pid) - wait_before_s) / len(load.outcomes)
    process.communicate()
    added_ms = []
    for outcome in load.outcomes:
        times = TimedLoad.timestamps[outcome.request_id.decode()]
        service_s = times["finished"] - times["started"]
        added_ms.append(1000.0 * (times["received"] - outcome.scheduled_at - service_s))
    return (f"  through a bare relay: added p50, p99 {percentile(added_ms, 50):.1f}, "
            f"{percentile(added_ms, 99):.1f} ms; waits {core_wait_ms:.2f} ms for a core")  # fmt: skip


async def measure(listed: int, folder: Path) -> None:
    """Measures one gateway with `listed` servers in its list; prints its table."""
    timestamps: Timestamps = {}
    TimedNode.timestamps = TimedLoad.timestamps = timestamps
    (folder / "sitecustomize.py").write_text("from benchmarks.added import probe\nprobe()\n")
    os.environ["ADDED_PROBE"] = str(folder / "timestamps.json")
    nodes = [TimedNode(f"n{i}", ServiceProfile({"report-read": 5.0}, slots=64)) for i in range(SERVERS)]
    async with LabSite(nodes) as site:
        discovery = FullListDiscovery(list_rows(site, listed))
        await discovery.start()
        platform = site.platform({**SETTINGS, "balancers": GATEWAYS, "me": 3})
        platform |= {"discovery": f"127.0.0.1:{discovery.port}"}
        del platform["known"]
        gateway = GatewayProcess(folder, platform)
        os.environ["PYTHONPATH"] = os.pathsep.join((str(folder), str(Path(__file__).resolve().parent.parent)))
        try:
            gateway.start()
        finally:
            del os.environ["PYTHONPATH"]
        try:
            await gateway.ready()
            await discovery.until(lambda: discovery.polled_version == discovery.version)
            assert gateway.process is not None
            pid = gateway.process.pid
            accounts = [Account(b"%016x" % (1000 + i), "korporativni") for i in range(400)]
            relay_lines = [await measure_relay(nodes, accounts, 10)]
            await TimedLoad(lambda: gateway.port, READS, accounts, RATE, 1).run(2.0)
            load = TimedLoad(lambda: gateway.port, READS, accounts, RATE, 2)
            cpu_before_s, wait_before_s = cpu_s(pid), core_wait_s(pid)
            await load.run(SECONDS)
            cpu_ms = 1000.0 * (cpu_s(pid) - cpu_before_s) / len(load.outcomes)
            core_wait_ms = 1000.0 * (core_wait_s(pid) - wait_before_s) / len(load.outcomes)
            relay_lines.append(await measure_relay(nodes, accounts, 20))
        finally:
            await gateway.stop()
            await discovery.stop()
    for request_id, gateway_times in json.loads((folder / "timestamps.json").read_text()).items():
        timestamps.setdefault(request_id, {}).update(gateway_times)
    requests = []  # added latency of each served request, and its parts, in ms
    for outcome in load.outcomes:
        times = {"due": outcome.scheduled_at, **timestamps[outcome.request_id.decode()]}
        if outcome.answer == "served" and all(name in times for part in PARTS for name in part[1:]):
            parts = [1000.0 * (times[end] - times[begin]) for _, begin, end in PARTS]
            requests.append((sum(parts), parts))
    requests.sort()
    added_ms, slowest = [total for total, _ in requests], requests[-max(1, len(requests) // 50) :]
    print(f"{listed} listed: {len(requests)} of {len(load.outcomes)} served; added p50, p99 "
          f"{percentile(added_ms, 50):.1f}, {percentile(added_ms, 99):.1f} ms; a request has {cpu_ms:.2f} ms "
          f"of CPU, and waits {core_wait_ms:.2f} ms for a core")  # fmt: skip
    print("\n".join(relay_lines))
    for index, (name, _, _) in enumerate(PARTS):
        part_ms = [parts[index] for _, parts in requests]
        p50, p99 = percentile(part_ms, 50), percentile(part_ms, 99)
        slowest_mean = sum(parts[index] for _, parts in slowest) / len(slowest)
        print(f"  {name:28} {p50:6.2f}  {p99:6.2f}  slowest {slowest_mean:6.2f} ms")
    gateway_ms = [parts[2] + parts[5] for _, parts in requests]
    p50, p99 = percentile(gateway_ms, 50), percentile(gateway_ms, 99)
    print(f"  {'in the gateway (both)':28} {p50:6.2f}  {p99:6.2f} ms",
          flush=True)  # fmt: skip


def main() -> int:
    """Prints a table for each size of the list."""
    if sys.argv[1:2] == ["relay"]:
        uvloop.run(relay([int(port) for port in sys.argv[2:]]))
        return 0
    print(machine())
    for listed in map(int, sys.argv[1:] or ("20", "5700")):
        with tempfile.TemporaryDirectory() as folder:
            uvloop.run(measure(listed, Path(folder)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
