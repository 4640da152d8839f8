"""Measures the wait for `_ready` under load, and short requests beside long streamed values, on loopback.

``python -m benchmarks.operations [STREAMS]``

One gateway in a process of its own serves a closed-loop load of short requests alone, then the same beside
STREAMS long values of 4 MiB, each sent at 1 MiB/s. Prints the latency of short requests, the wait for
`_ready`, polled every 20 ms, and the peak memory of the process.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import statistics
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from benchmarks.machine import machine
from lab.nodes import Node, ServiceProfile
from lab.peers import Client
from lab.site import GatewayProcess, LabSite, free_port

LONG_VALUE_BYTES = 4 * 1024 * 1024
CHUNK_BYTES = 64 * 1024
SECONDS = 5.0
CLIENTS = 16
NOT_READY_S = 9.0  # recorded for a `_ready` answered with a status other than 200
SHORT_FIELDS = b"c=report-read,t=korporativni,d=2000,units=0.001"


class LongNode(Node):
    """Node that answers requests whose id begins with L with a long value, at 1 MiB/s."""

    async def answer(self, words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        if len(words) < 4 or not words[2].startswith(b"L"):
            return await super().answer(words, writer)
        writer.write(b"*3\r\n$%d\r\n" % LONG_VALUE_BYTES)
        for _ in range(LONG_VALUE_BYTES // CHUNK_BYTES):
            writer.write(b"x" * CHUNK_BYTES)
            await writer.drain()
            await asyncio.sleep(CHUNK_BYTES / 2**20)
        return b"\r\n*-1\r\n$-1\r\n"


async def send_short_requests(port: int, number: int, until: float, latencies_s: list[float]) -> None:
    """Sends short requests from one client in a closed loop, and records their latency."""
    client = await Client.connect(port)
    serial = 0
    while time.monotonic() < until:
        serial += 1
        started = time.monotonic()
        request_id = b"s%d-%d" % (number, serial)
        reply = await client.ask(b"CALL.GET", b"%016x" % (2000 + number), request_id, SHORT_FIELDS)
        if isinstance(reply, bytes):
            latencies_s.append(time.monotonic() - started)
        await asyncio.sleep(0.005)
    client.writer.close()


async def request_long_value(port: int, number: int, counts: list[int]) -> None:
    """Requests one long value, and counts whether it arrived completely."""
    client = await Client.connect(port)
    reply = await client.ask(b"CALL.GET", b"%016x" % (9000 + number), b"L%d" % number, SHORT_FIELDS)
    counts[isinstance(reply, bytes) and len(reply) == LONG_VALUE_BYTES] += 1
    client.writer.close()


async def poll_readiness(port: int, until: float, waits_s: list[float]) -> None:
    """Polls `_ready`; records the wait for each answer, or `NOT_READY_S`."""
    while time.monotonic() < until:
        started = time.monotonic()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
        answer = await reader.read()
        is_ready = answer.startswith(b"HTTP/1.1 200")
        waits_s.append(time.monotonic() - started if is_ready else NOT_READY_S)
        writer.close()
        await asyncio.sleep(0.02)


def latency_summary(latencies_s: list[float]) -> str:
    """Returns count, median, 99th percentile and maximum in milliseconds, as text."""
    ordered_ms = sorted(1000.0 * latency_s for latency_s in latencies_s)
    p50, p99 = statistics.median(ordered_ms), ordered_ms[int(0.99 * len(ordered_ms))]
    return f"n={len(ordered_ms)} p50={p50:.1f} p99={p99:.1f} most={ordered_ms[-1]:.1f} ms"


async def main(streams: int) -> None:
    """Runs both phases and prints their figures."""
    async with LabSite(
        [LongNode(f"n{i}", ServiceProfile({"report-read": 10.0}, slots=64)) for i in range(4)]
    ) as site:
        with tempfile.TemporaryDirectory() as folder:
            platform = site.platform()
            operations_port = free_port()
            platform["operator"] = f"127.0.0.1:{operations_port}"
            gateway = GatewayProcess(Path(folder), platform)
            gateway.start()
            await gateway.ready()
            assert gateway.process is not None
            print(machine())
            for count in (0, streams):
                latencies_s: list[float] = []
                waits_s: list[float] = []
                counts = [0, 0]  # long values: incomplete, complete
                end = time.monotonic() + SECONDS
                long_values = [
                    asyncio.create_task(request_long_value(gateway.port, n, counts)) for n in range(count)
                ]
                await asyncio.gather(
                    poll_readiness(operations_port, end, waits_s),
                    *[send_short_requests(gateway.port, n, end, latencies_s) for n in range(CLIENTS)],
                )
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(asyncio.gather(*long_values), 60.0)
                status = Path(f"/proc/{gateway.process.pid}/status").read_text()
                peak = re.search(r"VmHWM:\s+(\d+)", status)
                print(f"{count} long values ({counts[True]} whole): short {latency_summary(latencies_s)}")
                print(f"  _ready {latency_summary(waits_s)}; "
                      f"peak memory {int(peak[1]) // 1024 if peak else 0} MiB")  # fmt: skip
            await gateway.stop()


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 100))
