"""Measures the cost of a decision inline, by ext_proc and by a rate limit call, against bare echo servers.

    python -m benchmarks.extproc [--requests N] [--streams N]

Each server is a process of its own pinned to one core and measured by its CPU time from the kernel; this
process plays the proxy. CPU and rate come from 16 concurrent closed loops, latencies from one request at a
time.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

import grpc
from envoy.service.ext_proc.v3 import external_processor_pb2 as pb
from envoy.service.ratelimit.v3 import rls_pb2

from benchmarks.machine import cpu_s, machine
from lab.peers import Client, RespPeer, reply_with, server_row
from lab.proxy import METHOD, processing_request
from lab.services import CounterService, DiscoveryService
from lab.site import SETTINGS, GatewayProcess, free_port

CORE = 1  # that the servers are pinned to
CONCURRENCY = 16
WARM_UP_REQUESTS = 200
BATCH_REQUESTS = 480
ACCOUNT = b"00000000000003e8"
SERVED_REPLY = b"*3\r\n$5\r\nvalue\r\n*-1\r\n$20\r\ninflight=7,queue=2.5\r\n"
OPERATOR = """\
[fronts.extproc]
listen = "127.0.0.1:{port}"
attempt_streams = {streams}
most_calls = 20000
[fronts.extproc.map]
class = "header:x-class"
account = "header:x-account"
plan = "header:x-plan"
id = "header:x-request-id"
key = "header:idempotency-key"
[fronts.extproc.ratelimit]
domain = "glenchute"
[fronts.extproc.ratelimit.map]
account = "descriptor:account"
plan = "descriptor:plan"
class = "value:report-read"
"""
HEADERS = [
    (":method", b"GET"), (":path", b"/v1/reports/1000?month=2026-11"), (":authority", b"api.example.org"),
    (":scheme", b"https"), ("x-class", b"report-read"), ("x-account", ACCOUNT), ("x-plan", b"wide"),
    ("user-agent", b"portal/7.1 (landlords; autumn release)"), ("accept", b"application/json"),
    ("x-forwarded-for", b"127.0.0.1"), ("x-forwarded-proto", b"https"),
]  # fmt: skip
OK = processing_request("response_headers", [(":status", b"200"), ("content-type", b"application/json")])


def rss_kib(pid: int) -> int:
    """Returns the resident memory of a process in KiB."""
    line = next(line for line in Path(f"/proc/{pid}/status").read_text().splitlines() if "VmRSS" in line)
    return int(line.split()[1])


class ProxySide:
    """Plays the proxy: each call is a request, with the client's stream and, if configured, the attempt's."""

    def __init__(self, channel: Any, has_attempt_stream: bool) -> None:
        self.method = channel.stream_stream(
            METHOD,
            request_serializer=pb.ProcessingRequest.SerializeToString,
            response_deserializer=pb.ProcessingResponse.FromString,
        )
        self.has_attempt_stream = has_attempt_stream
        self.serial = 0
        self.refused = 0  # requests that the gateway rejected

    async def __call__(self) -> None:
        self.serial += 1
        client_stream = self.method()
        headers = [*HEADERS, ("x-request-id", b"%d" % self.serial)]
        await client_stream.write(processing_request("request_headers", headers))
        decision = await client_stream.read()
        if decision.HasField("immediate_response"):
            self.refused += 1
        elif self.has_attempt_stream:
            attempt_stream = self.method(metadata=(("x-glenchute-role", "upstream"),))
            set_headers = decision.request_headers.response.header_mutation.set_headers
            headers += [(option.header.key, option.header.raw_value) for option in set_headers]
            await attempt_stream.write(processing_request("request_headers", headers))
            await attempt_stream.read()
            await attempt_stream.write(OK)
            await attempt_stream.read()
            await attempt_stream.done_writing()
            await attempt_stream.read()
        await client_stream.write(OK)
        await client_stream.read()
        await client_stream.done_writing()
        await client_stream.read()


SendRequest = Callable[[], Awaitable[None]]  # sends a request and waits for its end


class Measurement(NamedTuple):
    """Figures of one way to decide requests."""

    cpu_us: float  # of the server, per request
    rate: float  # requests per second
    latency_ms: list[float]  # sorted


async def measure_requests(pid: int, send_request: SendRequest, request_count: int) -> Measurement:
    """Measures the CPU of a process and the rate with concurrent requests, then the latencies of half as many
    requests, one at a time."""
    remaining = request_count

    async def worker() -> None:
        nonlocal remaining
        while remaining > 0:
            remaining -= 1
            await send_request()

    for _ in range(WARM_UP_REQUESTS):
        await send_request()
    cpu_before_s, started = cpu_s(pid), time.perf_counter()
    await asyncio.gather(*(worker() for _ in range(CONCURRENCY)))
    duration_s = time.perf_counter() - started
    used_s = cpu_s(pid) - cpu_before_s
    latency_ms = []
    for _ in range(request_count // 2):
        started = time.perf_counter()
        await send_request()
        latency_ms.append(1000.0 * (time.perf_counter() - started))
    return Measurement(1e6 * used_s / request_count, request_count / duration_s, sorted(latency_ms))


def print_row(name: str, measured: Measurement) -> None:
    """Prints a row of the table."""
    cpu_us, rate, latency_ms = measured
    p50, p99, p999 = (latency_ms[int(share * (len(latency_ms) - 1))] for share in (0.5, 0.99, 0.999))
    print(f"{name:<34} {cpu_us:7.0f} {rate:8.0f} {p50:8.2f} {p99:8.2f} {p999:8.2f}", flush=True)


@asynccontextmanager
async def echo(library: str, has_attempt_stream: bool) -> AsyncIterator[tuple[int, ProxySide]]:
    """Starts a bare echo server, the lower bound of the cost; yields its pid and the proxy's side."""
    command = [sys.executable, "-m", "benchmarks.extproc_echo", library]
    process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    assert process.stdout is not None and process.stdin is not None
    try:
        port = int(process.stdout.readline())
        os.sched_setaffinity(process.pid, {CORE})
        async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
            yield process.pid, ProxySide(channel, has_attempt_stream)
    finally:
        process.stdin.close()
        process.wait()


async def median_cpu_ratio(
    gateway_side: tuple[int, ProxySide], echo_side: tuple[int, ProxySide], request_count: int
) -> float:
    """Returns the CPU of the gateway divided by that of the echo server, as the median over small batches.
    The batches alternate, as the speed of the machine may change from one second to the next."""
    ratios = []
    for _ in range(max(5, request_count // BATCH_REQUESTS)):
        used_s = []
        for pid, send_request in (gateway_side, echo_side):
            before = cpu_s(pid)
            for _ in range(BATCH_REQUESTS // CONCURRENCY):
                await asyncio.gather(*(send_request() for _ in range(CONCURRENCY)))
            used_s.append(cpu_s(pid) - before)
        ratios.append(used_s[0] / max(0.001, used_s[1]))
    return statistics.median(ratios)


class Site:
    """Gateway process with a node that answers at once, a counter and a plan that refuses nothing."""

    def __init__(self, folder: Path, has_attempt_streams: bool) -> None:
        self.folder, self.has_attempt_streams = folder, has_attempt_streams
        self.node, self.counter = RespPeer(reply_with(SERVED_REPLY)), CounterService()
        self.port = free_port()

    async def __aenter__(self) -> Site:
        for peer in (self.node, self.counter):
            await peer.start()
        rows = [server_row("s0", self.node.port)]
        self.discovery = DiscoveryService(rows)
        await self.discovery.start()
        plan = {"name": "wide", "per_second": 1e6, "most_at_once": 1e6, "price": 1.0}
        settings = {**SETTINGS, "packages": [plan]}
        listen = free_port()
        self.process = GatewayProcess(
            self.folder,
            {
                "name": "g0", "listen": f"127.0.0.1:{listen}", "seed": "5eed", "settings": settings,
                "discovery": f"127.0.0.1:{self.discovery.port}", "counter": f"127.0.0.1:{self.counter.port}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": {"version": 1, "full": True, "servers": rows},
            },
            OPERATOR.format(port=self.port, streams=str(self.has_attempt_streams).lower()),
        )  # fmt: skip
        self.process.start("run")
        await self.process.ready()
        assert self.process.process is not None
        self.pid = self.process.process.pid
        os.sched_setaffinity(self.pid, {CORE})
        self.listen = listen
        return self

    async def __aexit__(self, *failure: object) -> None:
        await self.process.stop()
        for peer in (self.node, self.counter, self.discovery):
            await peer.stop()


async def inline_requests(request_count: int) -> Measurement:
    """Measures RESP2 requests, forwarded and answered, at a new gateway."""
    with tempfile.TemporaryDirectory() as folder:
        async with Site(Path(folder), False) as site:
            return await inline_requests_at(site, request_count)


async def inline_requests_at(site: Site, request_count: int) -> Measurement:
    """Measures RESP2 requests, forwarded and answered, at the gateway of `site`."""
    clients: asyncio.Queue[Client] = asyncio.Queue()
    for _ in range(CONCURRENCY):
        clients.put_nowait(await Client.connect(site.listen))
    serial = 0

    async def send_request() -> None:
        nonlocal serial
        serial += 1
        client = await clients.get()
        reply = await client.ask(b"CALL.GET", ACCOUNT, b"%d" % serial, b"c=report-read,t=wide,d=2000")
        assert reply == b"value", reply
        clients.put_nowait(client)

    return await measure_requests(site.pid, send_request, request_count)


async def rate_limit_calls(site: Site, request_count: int) -> Measurement:
    """Measures rate limit calls."""
    async with grpc.aio.insecure_channel(f"127.0.0.1:{site.port}") as channel:
        call = channel.unary_unary(
            "/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit",
            request_serializer=rls_pb2.RateLimitRequest.SerializeToString,
            response_deserializer=rls_pb2.RateLimitResponse.FromString,
        )
        request = rls_pb2.RateLimitRequest(domain="glenchute")
        entries = request.descriptors.add().entries
        entries.add(key="account", value=ACCOUNT.decode())
        entries.add(key="plan", value="wide")

        async def send_request() -> None:
            response = await call(request)
            assert response.overall_code == rls_pb2.RateLimitResponse.OK

        return await measure_requests(site.pid, send_request, request_count)


async def open_streams(site: Site, stream_count: int) -> tuple[float, float]:
    """Returns the KiB per open stream after its decision, all on one connection, and the seconds until all
    were decided."""
    before_kib = rss_kib(site.pid)
    channel = grpc.aio.insecure_channel(f"127.0.0.1:{site.port}")
    calls = []
    started = time.perf_counter()

    async def open_stream(number: int) -> None:
        call = channel.stream_stream(
            METHOD,
            request_serializer=pb.ProcessingRequest.SerializeToString,
            response_deserializer=pb.ProcessingResponse.FromString,
        )()
        calls.append(call)
        await call.write(processing_request("request_headers", [*HEADERS, ("x-request-id", b"%d" % number)]))
        await call.read()

    for start in range(0, stream_count, 200):
        await asyncio.gather(
            *(open_stream(number) for number in range(start, min(stream_count, start + 200)))
        )
    duration_s = time.perf_counter() - started
    used_kib = rss_kib(site.pid) - before_kib
    for call in calls:
        call.cancel()
    await channel.close()
    return used_kib / stream_count, duration_s


async def main(request_count: int, streams: int) -> None:
    """Prints the table."""
    os.sched_setaffinity(0, set(range(2, os.cpu_count() or 3)) or {0})
    print(f"{machine()}; {request_count} requests a row")
    print(f"{'':<34} {'CPU us':>7} {'per s':>8} {'p50 ms':>8} {'p99':>8} {'p99.9':>8}")
    for library in ("grpclib", "h2", "grpcio"):
        async with echo(library, False) as (pid, send_request):
            measured = await measure_requests(pid, send_request, request_count)
            print_row(f"echo, {library}, 1 stream", measured)
    for has_attempt_stream in (False, True):
        label = "2 streams" if has_attempt_stream else "1 stream"
        with tempfile.TemporaryDirectory() as folder:
            async with (
                Site(Path(folder), has_attempt_stream) as site,
                grpc.aio.insecure_channel(f"127.0.0.1:{site.port}") as channel,
                echo("grpcio", has_attempt_stream) as echo_side,
            ):
                gateway_side = ProxySide(channel, has_attempt_stream)
                if has_attempt_stream:
                    print_row(f"echo, grpcio, {label}", await measure_requests(*echo_side, request_count))
                print_row(f"ext_proc, {label}", await measure_requests(site.pid, gateway_side, request_count))
                ratio = await median_cpu_ratio((site.pid, gateway_side), echo_side, request_count)
                assert not gateway_side.refused
                print(f"{'':<6}{ratio:.2f} times the CPU of the echo, in turn with it (aim: under 2)")
                if not has_attempt_stream:
                    print_row("rate limit call", await rate_limit_calls(site, request_count))
                    print_row("inline (RESP2, with its forwarding)", await inline_requests(request_count))
    with tempfile.TemporaryDirectory() as folder:
        async with Site(Path(folder), False) as site:
            kib, duration_s = await open_streams(site, streams)
            print(f"{streams} open streams on one connection: {kib:.1f} KiB each, "
                  f"decided in {duration_s:.1f} s")  # fmt: skip


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--streams", type=int, default=10_000)
    args = parser.parse_args()
    asyncio.run(main(args.requests, args.streams))
