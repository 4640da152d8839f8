"""Breaks down the latency that one gateway adds to a request at its share of the peak. Timestamps in client,
gateway and server come from the machine's monotonic clock.

``python -m benchmarks.added [LISTED ...]``. The gateway is unchanged but for a probe that records when
a request has been read (`taken`), its attempt is written (`written`), the server's answer is complete
(`answered`) and the client's has been written (`told`). Prints for each part p50, p99 and the mean over the
2% of requests with the most added latency. Clients and servers run in this process. Before and after, the
same load goes through a bare relay, a process that only forwards bytes to one of the servers: the latency
added there is the machine's.
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

from benchmarks.choosing import GATEWAYS, RATE, READS, SERVERS, Lists, rows, waited_s
from benchmarks.machine import cpu_s, machine
from lab.load import Account, Load, percentile
from lab.nodes import Node, ServiceProfile
from lab.site import SETTINGS, GatewayProcess, LabSite

SECONDS = 20.0
PARTS = (
    ("client late to send", "asked", "sent"), ("to the gateway, read", "sent", "taken"),
    ("decided, connected, written", "taken", "written"), ("to the server", "written", "began"),
    ("back to the gateway, read", "ended", "answered"), ("told", "answered", "told"),
    ("to the client", "told", "got"),
)  # fmt: skip
Moments = dict[str, dict[str, float]]  # timestamps in seconds, by request id and name


def probe() -> None:
    """Patches the gateway's classes before it starts, to record timestamps and write them at exit."""
    from glenchute.core.executor import RequestExecutor
    from glenchute.upstreams.connection import Connection
    from glenchute.upstreams.exclusive_attempt import ExclusiveAttempt

    moments: Moments = {}
    accept, respond = RequestExecutor.accept, RequestExecutor.respond
    write, original_complete = ExclusiveAttempt.write, Connection.complete_response

    def note(call: Any, name: str) -> None:
        moments.setdefault(call.request_id.decode(), {})[name] = time.monotonic()

    def timed_accept(self: Any, call: Any, *more: Any) -> Any:
        note(call, "taken")
        return accept(self, call, *more)

    def timed_write(self: Any, conn: Any) -> None:
        write(self, conn)
        note(self.payload.__self__, "written")

    def timed_complete_response(self: Any, attempt: Any, *more: Any) -> None:
        note(attempt.payload.__self__, "answered")
        original_complete(self, attempt, *more)

    def timed_respond(self: Any, ref: str, reply: Any) -> None:
        live = self.active_requests.get(ref)
        respond(self, ref, reply)
        if live is not None:
            note(live.call, "told")

    core: Any = RequestExecutor
    attempt: Any = ExclusiveAttempt
    connection: Any = Connection
    core.accept, core.respond = timed_accept, timed_respond
    attempt.write, connection.complete_response = timed_write, timed_complete_response
    atexit.register(lambda: Path(os.environ["ADDED_PROBE"]).write_text(json.dumps(moments)))


async def relay(ports: list[int]) -> None:
    """Forwards bytes, each connection to the next server; prints its port, serves until stdin ends."""
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

    moments: Moments

    async def answer(self, words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        own = self.moments.setdefault(words[2].decode(), {}) if len(words) > 2 else {}
        own["began"] = time.monotonic()
        reply = await super().answer(words, writer)
        own["ended"] = time.monotonic()
        return reply


class TimedLoad(Load):
    """Load that records when each request was sent and when its answer arrived."""

    moments: Moments

    async def exchange(self, words: list[bytes]) -> tuple[str, int | None]:
        own = self.moments.setdefault(words[2].decode(), {})
        own["sent"] = time.monotonic()
        found = await super().exchange(words)
        own["got"] = time.monotonic()
        return found


async def measure_relay(nodes: Sequence[Node], accounts: Sequence[Account], seed: int) -> str:
    """Returns a line with the latency that a bare relay adds under the same load."""
    ports = [str(node.port) for node in nodes]
    process = subprocess.Popen([sys.executable, "-m", "benchmarks.added", "relay", *ports],
                               stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)  # fmt: skip
    assert process.stdout is not None
    port = int(process.stdout.readline())
    await TimedLoad(lambda: port, READS, accounts, RATE, seed).run(1.0)
    load = TimedLoad(lambda: port, READS, accounts, RATE, seed + 1)
    waits = waited_s(process.pid)
    await load.run(SECONDS / 2.0)
    waits = 1000.0 * (waited_s(process.pid) - waits) / len(load.outcomes)
    process.communicate()
    added = []
    for outcome in load.outcomes:
        one = TimedLoad.moments[outcome.request_id.decode()]
        added.append(1000.0 * (one["got"] - outcome.scheduled_at - one["ended"] + one["began"]))
    return (f"  through a bare relay: added p50, p99 {percentile(added, 50):.1f}, "
            f"{percentile(added, 99):.1f} ms; waits {waits:.2f} ms for a core")  # fmt: skip


async def measure(listed: int, folder: Path) -> None:
    """Measures one gateway with `listed` servers in its list; prints its table."""
    moments: Moments = {}
    TimedNode.moments = TimedLoad.moments = moments
    (folder / "sitecustomize.py").write_text("from benchmarks.added import probe\nprobe()\n")
    os.environ["ADDED_PROBE"] = str(folder / "moments.json")
    nodes = [TimedNode(f"n{i}", ServiceProfile({"report-read": 5.0}, slots=64)) for i in range(SERVERS)]
    async with LabSite(nodes) as site:
        lists = Lists(rows(site, listed))
        await lists.start()
        platform = site.platform({**SETTINGS, "balancers": GATEWAYS, "me": 3})
        platform |= {"discovery": f"127.0.0.1:{lists.port}"}
        del platform["known"]
        gateway = GatewayProcess(folder, platform)
        os.environ["PYTHONPATH"] = os.pathsep.join((str(folder), str(Path(__file__).resolve().parent.parent)))
        try:
            gateway.start()
        finally:
            del os.environ["PYTHONPATH"]
        try:
            await gateway.ready()
            await lists.until(lambda: lists.watched == lists.version)
            assert gateway.process is not None
            pid = gateway.process.pid
            accounts = [Account(b"%016x" % (1000 + i), "korporativni") for i in range(400)]
            relay_lines = [await measure_relay(nodes, accounts, 10)]
            await TimedLoad(lambda: gateway.port, READS, accounts, RATE, 1).run(2.0)
            load = TimedLoad(lambda: gateway.port, READS, accounts, RATE, 2)
            before, waits = cpu_s(pid), waited_s(pid)
            await load.run(SECONDS)
            used = 1000.0 * (cpu_s(pid) - before) / len(load.outcomes)
            waits = 1000.0 * (waited_s(pid) - waits) / len(load.outcomes)
            relay_lines.append(await measure_relay(nodes, accounts, 20))
        finally:
            await gateway.stop()
            await lists.stop()
    for ref, inside in json.loads((folder / "moments.json").read_text()).items():
        moments.setdefault(ref, {}).update(inside)
    found = []
    for outcome in load.outcomes:
        one = {"asked": outcome.scheduled_at, **moments[outcome.request_id.decode()]}
        if outcome.answer == "served" and all(name in one for part in PARTS for name in part[1:]):
            parts = [1000.0 * (one[end] - one[begin]) for _, begin, end in PARTS]
            found.append((sum(parts), parts))
    found.sort()
    added, slow = [total for total, _ in found], found[-max(1, len(found) // 50) :]
    print(f"{listed} listed: {len(found)} of {len(load.outcomes)} served; added p50, p99 "
          f"{percentile(added, 50):.1f}, {percentile(added, 99):.1f} ms; a request has {used:.2f} ms of CPU, "
          f"and waits {waits:.2f} ms for a core")  # fmt: skip
    print("\n".join(relay_lines))
    for at, (name, _, _) in enumerate(PARTS):
        own = [parts[at] for _, parts in found]
        mean = sum(parts[at] for _, parts in slow) / len(slow)
        print(f"  {name:28} {percentile(own, 50):6.2f}  {percentile(own, 99):6.2f}  slowest {mean:6.2f} ms")
    inside = [parts[2] + parts[5] for _, parts in found]
    print(f"  {'in the gateway (both)':28} {percentile(inside, 50):6.2f}  {percentile(inside, 99):6.2f} ms",
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
