"""Stand-in HTTP/1.1 proxy that calls an external processor for each request and each attempt.

It follows the published API of envoy.service.ext_proc.v3 and the documentation of its filter. Its gRPC client
(grpclib) shares no code with the processor's server. grpcio's client can replace it, since h2, which grpclib
uses, cannot continue open streams after a GOAWAY. The proxy retries only if the processor asks for it or,
after a broken attempt, if `x-envoy-retry-on` contains "reset". `ProxySettings` makes it misbehave. As a
process it can kill itself at any point of the exchange:

    python -m lab.proxy --processor 127.0.0.1:9300 --die attempt-allowed:3
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import grpc
import grpclib.client
import grpclib.const
import h2.exceptions
import h11
from envoy.extensions.filters.http.ext_proc.v3 import processing_mode_pb2
from envoy.service.ext_proc.v3 import external_processor_pb2 as pb
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from lab.http_nodes import read_message
from lab.peers import Peer

METHOD = "/envoy.service.ext_proc.v3.ExternalProcessor/Process"
ATTEMPT_TIMEOUT_HEADER = "x-envoy-upstream-rq-per-try-timeout-ms"
RETRY_HEADER = "x-glenchute-retry"
POINTS = (
    "asked", "decided", "attempt-asked", "attempt-allowed", "bytes-left", "answered", "told", "shown",
)  # fmt: skip
UPSTREAM_ERRORS = (OSError, EOFError, h11.ProtocolError, TimeoutError)
# uvloop raises RuntimeError when grpclib writes to a connection that has just closed.
GRPC_BROKEN = (
    GRPCError, StreamTerminatedError, ProtocolError, OSError, TimeoutError, RuntimeError,
    h2.exceptions.ProtocolError, grpc.RpcError, asyncio.InvalidStateError,
)  # fmt: skip
Headers = list[tuple[str, bytes]]


@dataclass
class ProxySettings:
    """Settings of a proxy, most of which make it misbehave.

    `n` in the comments is the value of the field; 0 disables the misbehavior.
    """

    message_timeout_s: float = 5.0  # time limit on the processor's answer to a message
    other_node: int = 0  # sends every n-th attempt to a server of its own choice
    half: int = 0  # resets the stream of every n-th request after the processor's first answer
    stall: int = 0  # pauses every n-th request for a second after the processor's first answer
    tells: bool = True  # reports local replies for broken attempts on the attempt's stream
    retries_alone: bool = False  # retries every failed attempt, also without the processor's request
    dies: tuple[str, int] | None = None  # (point, n): kills its process at the n-th passing of the point
    at: Callable[[str, str], None] | None = None  # called at each point with the request's id


@dataclass
class Row:
    """Log entry of a request: the servers that received attempts, and the client's response."""

    request: str
    nodes: list[str] = field(default_factory=list)
    status: int = 0
    reason: str = ""


def message(kind: str, headers: Headers, attributes: dict[str, str] | None = None) -> Any:
    """Returns a ProcessingRequest of a kind with headers and attributes."""
    request = pb.ProcessingRequest()
    part = getattr(request, kind)
    for name, value in headers:
        part.headers.headers.add(key=name, raw_value=value)
    part.end_of_stream = True
    if attributes:
        fields = request.attributes["envoy.filters.http.ext_proc"].fields
        for name, text in attributes.items():
            fields[name].string_value = text
    return request


class Exchange:
    """A stream to the processor with grpclib's client."""

    def __init__(self, proxy: Proxy, upstream: bool) -> None:
        self.proxy = proxy
        metadata = {"x-glenchute-role": "upstream"} if upstream else {}
        method = grpclib.client.StreamStreamMethod(
            proxy.channel, METHOD, pb.ProcessingRequest, pb.ProcessingResponse
        )
        self.context = method.open(metadata=metadata)
        self.stream: Any = None
        self.live = False

    async def open(self) -> None:
        self.stream = await self.context.__aenter__()
        self.live = True

    async def ask(self, request: Any) -> Any:
        """Sends a message and returns its answer; None if the stream is over."""
        if not self.live:
            return None
        async with asyncio.timeout(self.proxy.habits.message_timeout_s):
            await self.stream.send_message(request)
            return await self.stream.recv_message()

    async def close(self, clean: bool = True) -> None:
        """Half-closes the stream, or resets it if not `clean`."""
        if not self.live:
            return
        self.live = False
        with contextlib.suppress(*GRPC_BROKEN):
            if clean:
                await self.stream.end()
                async with asyncio.timeout(1.0):
                    await self.stream.recv_message()
            else:
                await self.stream.cancel()
        with contextlib.suppress(*GRPC_BROKEN):
            await self.context.__aexit__(None, None, None)


class CoreExchange(Exchange):
    """A stream to the processor with grpcio's client."""

    def __init__(self, proxy: Proxy, upstream: bool) -> None:
        self.proxy = proxy
        assert proxy.core is not None
        method = proxy.core.stream_stream(
            METHOD,
            request_serializer=pb.ProcessingRequest.SerializeToString,
            response_deserializer=pb.ProcessingResponse.FromString,
        )
        self.call = method(metadata=(("x-glenchute-role", "upstream"),) if upstream else ())
        self.live = False

    async def open(self) -> None:
        self.live = True

    async def ask(self, request: Any) -> Any:
        if not self.live:
            return None
        async with asyncio.timeout(self.proxy.habits.message_timeout_s):
            await self.call.write(request)
            answer = await self.call.read()
            return None if answer is grpc.aio.EOF else answer

    async def close(self, clean: bool = True) -> None:
        self.live = False
        with contextlib.suppress(*GRPC_BROKEN):
            if clean:
                await self.call.done_writing()
                async with asyncio.timeout(1.0):
                    await self.call.read()
        self.call.cancel()


def changed(headers: Headers, mutation: Any) -> Headers:
    """Applies a HeaderMutation to headers."""
    removed = {name.lower() for name in mutation.remove_headers}
    replaced = {option.header.key.lower(): option.header.raw_value for option in mutation.set_headers}
    kept = [(name, value) for name, value in headers if name not in removed and name not in replaced]
    return kept + list(replaced.items())


def value(headers: Headers, name: str) -> str:
    """Returns a header's value, or an empty string without one."""
    return next((found.decode("latin-1") for key, found in headers if key == name), "")


def plain(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Converts headers for h11, without HTTP/2 pseudo-headers."""
    return [(name.encode(), given) for name, given in headers if not name.startswith(":")]


class Proxy(Peer):
    """The proxy. `log` has a row for each request, in order of arrival."""

    def __init__(
        self,
        processor: str,
        habits: ProxySettings | None = None,
        nodes: list[str] | None = None,
        core: bool = False,
    ) -> None:
        """Connects to `processor`, a host:port or unix:/path, with grpcio's client if `core`."""
        super().__init__()
        self.habits = habits or ProxySettings()
        self.nodes = nodes or []  # servers that it may choose by itself
        self.log: list[Row] = []
        self.passed: dict[str, int] = {}
        self.serial = self.attempts = 0
        self.core = grpc.aio.insecure_channel(processor) if core else None
        if processor.startswith("unix:"):
            self.channel = grpclib.client.Channel(path=processor[5:])
        else:
            host, _, port = processor.rpartition(":")
            self.channel = grpclib.client.Channel(host, int(port))

    async def stop(self) -> None:
        await super().stop()
        self.channel.close()
        if self.core is not None:
            await self.core.close()

    def exchange(self, upstream: bool) -> Exchange:
        """Creates a stream to the processor."""
        return CoreExchange(self, upstream) if self.core is not None else Exchange(self, upstream)

    def point(self, name: str, request: str) -> None:
        """Records that a request passes a point of the exchange; kills the process if it `dies` there."""
        self.passed[name] = self.passed.get(name, 0) + 1
        if self.habits.dies == (name, self.passed[name]):
            os.kill(os.getpid(), signal.SIGKILL)
        if self.habits.at is not None:
            self.habits.at(name, request)

    # --- client connections ------------------------------------------------------------------------------

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conn = h11.Connection(h11.SERVER)
        while True:
            try:
                found = await read_message(conn, reader)
                if found is None:
                    return
                head, body = found
                headers = [(":method", head.method), (":path", head.target)]
                headers += [(name.decode(), given) for name, given in head.headers]
                row = Row(value(headers, "x-request-id"))
                self.log.append(row)
                status, extra, answer = await self.request(headers, body, row)
                row.status, row.reason = status, value(extra, "x-glenchute-reason")
                fields = plain([*extra, ("content-length", b"%d" % len(answer))])
                parts = [
                    conn.send(h11.Response(status_code=status, headers=fields, reason=b"")),
                    conn.send(h11.Data(data=answer)),
                    conn.send(h11.EndOfMessage()),
                ]
                writer.write(b"".join(part for part in parts if part))
                await writer.drain()
                if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                    return
                conn.start_next_cycle()
            except (h11.ProtocolError, ConnectionError):
                return

    async def request(self, headers: Headers, body: bytes, row: Row) -> tuple[int, Headers, bytes]:
        """Asks the processor, forwards the request, and asks again with the response if wanted."""
        self.serial += 1
        stream = self.exchange(upstream=False)
        number = self.serial
        try:
            await stream.open()
            self.point("asked", row.request)
            told = await stream.ask(message("request_headers", headers))
            if told is None:
                return 500, [("x-glenchute-reason", b"no-processor")], b""
            self.point("decided", row.request)
            if told.HasField("immediate_response"):
                return self.immediate(told.immediate_response)
            if self.habits.half and number % self.habits.half == 0:
                await stream.close(clean=False)
                return 499, [], b""
            if self.habits.stall and number % self.habits.stall == 0:
                await asyncio.sleep(1.0)
            headers = changed(headers, told.request_headers.response.header_mutation)
            wants_response = (
                told.mode_override.response_header_mode == processing_mode_pb2.ProcessingMode.SEND
            )
            status, given, answer, details = await self.forward(headers, body, row)
            if not wants_response:
                return status, given, answer
            self.point("told", row.request)
            said = message(
                "response_headers", [(":status", b"%d" % status), *given], {"response.code_details": details}
            )
            told = await stream.ask(said)
            self.point("shown", row.request)
            if told is None:
                return status, given, answer
            if told.HasField("immediate_response"):
                return self.immediate(told.immediate_response)
            return status, changed(given, told.response_headers.response.header_mutation), answer
        except GRPC_BROKEN:
            return 500, [("x-glenchute-reason", b"no-processor")], b""  # as with failure_mode_allow off
        finally:
            await stream.close()

    def immediate(self, told: Any) -> tuple[int, Headers, bytes]:
        """Returns status, headers and body of an immediate response."""
        return int(told.status.code), changed([], told.headers), told.body

    # --- attempts ----------------------------------------------------------------------------------------

    async def forward(self, headers: Headers, body: bytes, row: Row) -> tuple[int, Headers, bytes, str]:
        """Makes the attempts that the processor allows; returns status, headers, body and code details."""
        max_retries = int(value(headers, "x-envoy-max-retries") or 0)
        has_token = bool(value(headers, "x-glenchute-token"))
        node = value(headers, "x-gateway-destination-endpoint")
        left_ms = int(value(headers, "x-envoy-upstream-rq-timeout-ms"))
        end = asyncio.get_running_loop().time() + left_ms / 1000.0
        number = 0
        while True:
            number += 1
            self.attempts += 1
            target = node
            if self.habits.other_node and self.attempts % self.habits.other_node == 0 and self.nodes:
                target = self.nodes[self.attempts % len(self.nodes)]
            if has_token:
                attempt = self.attempt(headers, body, row, target, number, end)
            else:
                attempt = self.direct(headers, body, row, target, value(headers, ATTEMPT_TIMEOUT_HEADER))
            status, given, answer, details, wants_retry = await attempt
            node = value(given, "x-gateway-destination-endpoint") or node
            if number > max_retries or asyncio.get_running_loop().time() >= end:
                return status, given, answer, details
            if not wants_retry and not (self.habits.retries_alone and status >= 500):
                return status, given, answer, details

    async def attempt(
        self, headers: Headers, body: bytes, row: Row, node: str, number: int, end: float
    ) -> tuple[int, Headers, bytes, str, bool]:
        """Makes an attempt with its own stream; the last result is whether to retry."""
        stream = self.exchange(upstream=True)
        loop = asyncio.get_running_loop()
        clean = True
        try:
            await stream.open()
            numbered = [*headers, ("x-envoy-attempt-count", b"%d" % number)]
            self.point("attempt-asked", row.request)
            async with asyncio.timeout(max(0.001, end - loop.time())):
                told = await stream.ask(message("request_headers", numbered, {"upstream.address": node}))
            if told is None:
                return 500, [], b"", "ext_proc_error", False
            if told.HasField("immediate_response"):
                status, given, answer = self.immediate(told.immediate_response)
                return status, given, answer, "ext_proc", bool(value(given, RETRY_HEADER))
            self.point("attempt-allowed", row.request)
            sent = changed(headers, told.request_headers.response.header_mutation)
            left_ms = value(sent, ATTEMPT_TIMEOUT_HEADER)
            status, given, answer, details, _ = await self.direct(sent, body, row, node, left_ms)
            if details != "via_upstream" and not self.habits.tells:
                clean = False
                return status, given, answer, details, "reset" in value(headers, "x-envoy-retry-on")
            said = message(
                "response_headers", [(":status", b"%d" % status), *given], {"response.code_details": details}
            )
            told = await stream.ask(said)
            if told is None:
                return status, given, answer, details, False
            given = changed(given, told.response_headers.response.header_mutation)
            return status, given, answer, details, bool(value(given, RETRY_HEADER))
        except TimeoutError:
            clean = False
            return 504, [], b"", "response_timeout", False
        except GRPC_BROKEN:
            clean = False
            return 500, [], b"", "ext_proc_error", self.habits.retries_alone
        finally:
            await stream.close(clean)

    async def direct(
        self, headers: Headers, body: bytes, row: Row, node: str, left_ms: str
    ) -> tuple[int, Headers, bytes, str, bool]:
        """Sends the request to a server; the last result is False, as for no retry."""
        host, _, port = node.rpartition(":")
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(int(left_ms) / 1000.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                conn = h11.Connection(h11.CLIENT)
                sent = [(name, given) for name, given in headers if name not in ("content-length", "host")]
                fields = plain([*sent, ("host", node.encode()), ("content-length", b"%d" % len(body))])
                target, method = value(headers, ":path"), value(headers, ":method")
                parts = [
                    conn.send(h11.Request(method=method, target=target, headers=fields)),
                    conn.send(h11.Data(data=body)),
                    conn.send(h11.EndOfMessage()),
                ]
                row.nodes.append(node)
                writer.write(b"".join(part for part in parts if part))
                self.point("bytes-left", row.request)
                found = await read_message(conn, reader)
            self.point("answered", row.request)
            if found is None:
                return 503, [], b"", "upstream_reset_before_response_started{connection_termination}", False
            head, answer = found
            given = [(name.decode(), text) for name, text in head.headers if name != b"content-length"]
            return head.status_code, given, answer, "via_upstream", False
        except TimeoutError:
            return 504, [], b"", "upstream_per_try_timeout", False
        except UPSTREAM_ERRORS:
            cause = "connection_termination" if writer is not None else "remote_connection_failure"
            return 503, [], b"", f"upstream_reset_before_response_started{{{cause}}}", False
        finally:
            if writer is not None:
                writer.transport.abort()


async def serve_until_stdin_ends(processor: str, habits: ProxySettings) -> None:
    """Serves until stdin ends, so that the proxy does not outlive its parent process."""
    proxy = Proxy(processor, habits)
    await proxy.start()
    print(proxy.port, flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description="a stand-in proxy")
    parser.add_argument("--processor", required=True, help="host:port or unix:/path")
    parser.add_argument("--die", default="", help=f"POINT:N, a point of {', '.join(POINTS)}")
    args = parser.parse_args()
    point, _, number = args.die.partition(":")
    if point and point not in POINTS:
        parser.error(f"no such point: {point}")
    habits = ProxySettings(dies=(point, int(number or 1)) if point else None)
    asyncio.run(serve_until_stdin_ends(args.processor, habits))


if __name__ == "__main__":
    main()
