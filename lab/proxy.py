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
# Points of the exchange in the order in which a request passes them.
POINTS = (
    "asked",  # the processor is about to be asked about a request
    "decided",  # it has answered
    "attempt-asked",  # it is about to be asked about an attempt
    "attempt-allowed",  # it has allowed the attempt
    "bytes-left",  # the request was written to the server
    "answered",  # the server's response or the end of its connection was read
    "told",  # the processor is about to be told of the final response
    "shown",  # it has answered this
)
UPSTREAM_ERRORS = (OSError, EOFError, h11.ProtocolError, TimeoutError)
# uvloop raises RuntimeError when grpclib writes to a connection that has just closed.
GRPC_ERRORS = (
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
    override_every: int = 0  # sends every n-th attempt to a server that the proxy chooses
    reset_every: int = 0  # resets the stream of every n-th request after the processor's first answer
    pause_every: int = 0  # pauses every n-th request for a second after the processor's first answer
    reports_local_replies: bool = True  # tells the processor how an attempt without a response ended
    retries_unasked: bool = False  # retries every failed attempt, even if the processor does not ask for it
    kill_at: tuple[str, int] | None = None  # (point, n): kills the process at the n-th passing of the point
    on_point: Callable[[str, str], None] | None = None  # called at each point with the request's id


@dataclass
class LogEntry:
    """A request: the servers that received its attempts, and the client's response."""

    request_id: str
    attempted_addresses: list[str] = field(default_factory=list)
    status: int = 0
    reason: str = ""


def processing_request(kind: str, headers: Headers, attributes: dict[str, str] | None = None) -> Any:
    """Returns a ProcessingRequest of a kind with headers and attributes."""
    request = pb.ProcessingRequest()
    headers_part = getattr(request, kind)
    for name, value in headers:
        headers_part.headers.headers.add(key=name, raw_value=value)
    headers_part.end_of_stream = True
    if attributes:
        fields = request.attributes["envoy.filters.http.ext_proc"].fields
        for name, text in attributes.items():
            fields[name].string_value = text
    return request


class ProcessorStream:
    """A stream to the processor with grpclib's client."""

    def __init__(self, proxy: Proxy, upstream: bool) -> None:
        self.proxy = proxy
        metadata = {"x-glenchute-role": "upstream"} if upstream else {}
        method = grpclib.client.StreamStreamMethod(
            proxy.channel, METHOD, pb.ProcessingRequest, pb.ProcessingResponse
        )
        self.context = method.open(metadata=metadata)
        self.stream: Any = None
        self.is_open = False

    async def open(self) -> None:
        self.stream = await self.context.__aenter__()
        self.is_open = True

    async def call(self, request: Any) -> Any:
        """Sends a message and returns the processor's response; None if the stream is over."""
        if not self.is_open:
            return None
        async with asyncio.timeout(self.proxy.settings.message_timeout_s):
            await self.stream.send_message(request)
            return await self.stream.recv_message()

    async def close(self, clean: bool = True) -> None:
        """Half-closes the stream, or resets it if not `clean`."""
        if not self.is_open:
            return
        self.is_open = False
        with contextlib.suppress(*GRPC_ERRORS):
            if clean:
                await self.stream.end()
                async with asyncio.timeout(1.0):
                    await self.stream.recv_message()
            else:
                await self.stream.cancel()
        with contextlib.suppress(*GRPC_ERRORS):
            await self.context.__aexit__(None, None, None)


class GrpcioStream(ProcessorStream):
    """A stream to the processor with grpcio's client."""

    def __init__(self, proxy: Proxy, upstream: bool) -> None:
        self.proxy = proxy
        assert proxy.grpcio_channel is not None
        method = proxy.grpcio_channel.stream_stream(
            METHOD,
            request_serializer=pb.ProcessingRequest.SerializeToString,
            response_deserializer=pb.ProcessingResponse.FromString,
        )
        self.grpc_call = method(metadata=(("x-glenchute-role", "upstream"),) if upstream else ())
        self.is_open = False

    async def open(self) -> None:
        self.is_open = True

    async def call(self, request: Any) -> Any:
        if not self.is_open:
            return None
        async with asyncio.timeout(self.proxy.settings.message_timeout_s):
            await self.grpc_call.write(request)
            response = await self.grpc_call.read()
            return None if response is grpc.aio.EOF else response

    async def close(self, clean: bool = True) -> None:
        self.is_open = False
        with contextlib.suppress(*GRPC_ERRORS):
            if clean:
                await self.grpc_call.done_writing()
                async with asyncio.timeout(1.0):
                    await self.grpc_call.read()
        self.grpc_call.cancel()


def apply_mutation(headers: Headers, mutation: Any) -> Headers:
    """Applies a HeaderMutation to headers."""
    removed = {name.lower() for name in mutation.remove_headers}
    replaced = {option.header.key.lower(): option.header.raw_value for option in mutation.set_headers}
    kept = [(name, value) for name, value in headers if name not in removed and name not in replaced]
    return kept + list(replaced.items())


def header_value(headers: Headers, name: str) -> str:
    """Returns a header's value, or an empty string without one."""
    return next((value.decode("latin-1") for key, value in headers if key == name), "")


def h11_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Converts headers for h11, without HTTP/2 pseudo-headers."""
    return [(name.encode(), value) for name, value in headers if not name.startswith(":")]


class Proxy(Peer):
    """The proxy. `log` has a row for each request, in order of arrival."""

    def __init__(
        self,
        processor: str,
        settings: ProxySettings | None = None,
        addresses: list[str] | None = None,
        uses_grpcio: bool = False,
    ) -> None:
        """Connects to `processor`, a host:port or unix:/path, with grpcio's client if `uses_grpcio`."""
        super().__init__()
        self.settings = settings or ProxySettings()
        self.addresses = addresses or []  # of servers that it may choose by itself
        self.log: list[LogEntry] = []
        self.point_counts: dict[str, int] = {}
        self.request_count = self.attempt_count = 0
        self.grpcio_channel = grpc.aio.insecure_channel(processor) if uses_grpcio else None
        if processor.startswith("unix:"):
            self.channel = grpclib.client.Channel(path=processor[5:])
        else:
            host, _, port = processor.rpartition(":")
            self.channel = grpclib.client.Channel(host, int(port))

    async def stop(self) -> None:
        await super().stop()
        self.channel.close()
        if self.grpcio_channel is not None:
            await self.grpcio_channel.close()

    def new_stream(self, upstream: bool) -> ProcessorStream:
        """Creates a stream to the processor."""
        if self.grpcio_channel is None:
            return ProcessorStream(self, upstream)
        return GrpcioStream(self, upstream)

    def pass_point(self, name: str, request: str) -> None:
        """Records that a request passes a point; kills the process if this is its `kill_at`."""
        self.point_counts[name] = self.point_counts.get(name, 0) + 1
        if self.settings.kill_at == (name, self.point_counts[name]):
            os.kill(os.getpid(), signal.SIGKILL)
        if self.settings.on_point is not None:
            self.settings.on_point(name, request)

    # --- client connections ------------------------------------------------------------------------------

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conn = h11.Connection(h11.SERVER)
        while True:
            try:
                message = await read_message(conn, reader)
                if message is None:
                    return
                head, body = message
                headers = [(":method", head.method), (":path", head.target)]
                headers += [(name.decode(), value) for name, value in head.headers]
                entry = LogEntry(header_value(headers, "x-request-id"))
                self.log.append(entry)
                status, response_headers, response_body = await self.request(headers, body, entry)
                entry.status, entry.reason = status, header_value(response_headers, "x-glenchute-reason")
                fields = h11_headers([*response_headers, ("content-length", b"%d" % len(response_body))])
                parts = [
                    conn.send(h11.Response(status_code=status, headers=fields, reason=b"")),
                    conn.send(h11.Data(data=response_body)),
                    conn.send(h11.EndOfMessage()),
                ]
                writer.write(b"".join(part for part in parts if part))
                await writer.drain()
                if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                    return
                conn.start_next_cycle()
            except (h11.ProtocolError, ConnectionError):
                return

    async def request(self, headers: Headers, body: bytes, entry: LogEntry) -> tuple[int, Headers, bytes]:
        """Asks the processor, forwards the request, and asks again with the response if wanted."""
        self.request_count += 1
        stream = self.new_stream(upstream=False)
        number = self.request_count
        try:
            await stream.open()
            self.pass_point("asked", entry.request_id)
            decision = await stream.call(processing_request("request_headers", headers))
            if decision is None:
                return 500, [("x-glenchute-reason", b"no-processor")], b""
            self.pass_point("decided", entry.request_id)
            if decision.HasField("immediate_response"):
                return self.immediate_reply(decision.immediate_response)
            if self.settings.reset_every and number % self.settings.reset_every == 0:
                await stream.close(clean=False)
                return 499, [], b""
            if self.settings.pause_every and number % self.settings.pause_every == 0:
                await asyncio.sleep(1.0)
            headers = apply_mutation(headers, decision.request_headers.response.header_mutation)
            wants_response = (
                decision.mode_override.response_header_mode == processing_mode_pb2.ProcessingMode.SEND
            )
            status, response_headers, response_body, details = await self.forward(headers, body, entry)
            if not wants_response:
                return status, response_headers, response_body
            self.pass_point("told", entry.request_id)
            message = processing_request(
                "response_headers",
                [(":status", b"%d" % status), *response_headers],
                {"response.code_details": details},
            )
            decision = await stream.call(message)
            self.pass_point("shown", entry.request_id)
            if decision is None:
                return status, response_headers, response_body
            if decision.HasField("immediate_response"):
                return self.immediate_reply(decision.immediate_response)
            mutation = decision.response_headers.response.header_mutation
            return status, apply_mutation(response_headers, mutation), response_body
        except GRPC_ERRORS:
            return 500, [("x-glenchute-reason", b"no-processor")], b""  # as with failure_mode_allow off
        finally:
            await stream.close()

    def immediate_reply(self, decision: Any) -> tuple[int, Headers, bytes]:
        """Returns status, headers and body of an immediate response."""
        return int(decision.status.code), apply_mutation([], decision.headers), decision.body

    # --- attempts ----------------------------------------------------------------------------------------

    async def forward(
        self, headers: Headers, body: bytes, entry: LogEntry
    ) -> tuple[int, Headers, bytes, str]:
        """Makes the attempts that the processor allows; returns status, headers, body and code details."""
        max_retries = int(header_value(headers, "x-envoy-max-retries") or 0)
        has_token = bool(header_value(headers, "x-glenchute-token"))
        address = header_value(headers, "x-gateway-destination-endpoint")
        request_timeout_ms = int(header_value(headers, "x-envoy-upstream-rq-timeout-ms"))
        deadline = asyncio.get_running_loop().time() + request_timeout_ms / 1000.0
        attempt_number = 0
        while True:
            attempt_number += 1
            self.attempt_count += 1
            target = address
            override_every = self.settings.override_every
            if override_every and self.attempt_count % override_every == 0 and self.addresses:
                target = self.addresses[self.attempt_count % len(self.addresses)]
            if has_token:
                attempt = self.attempt(headers, body, entry, target, attempt_number, deadline)
            else:
                timeout_ms = header_value(headers, ATTEMPT_TIMEOUT_HEADER)
                attempt = self.send_to_server(headers, body, entry, target, timeout_ms)
            status, response_headers, response_body, details, wants_retry = await attempt
            address = header_value(response_headers, "x-gateway-destination-endpoint") or address
            if attempt_number > max_retries or asyncio.get_running_loop().time() >= deadline:
                return status, response_headers, response_body, details
            if not wants_retry and not (self.settings.retries_unasked and status >= 500):
                return status, response_headers, response_body, details

    async def attempt(
        self, headers: Headers, body: bytes, entry: LogEntry, address: str, number: int, deadline: float
    ) -> tuple[int, Headers, bytes, str, bool]:
        """Makes an attempt with its own stream; the last result is whether to retry."""
        stream = self.new_stream(upstream=True)
        loop = asyncio.get_running_loop()
        ends_cleanly = True
        try:
            await stream.open()
            numbered = [*headers, ("x-envoy-attempt-count", b"%d" % number)]
            self.pass_point("attempt-asked", entry.request_id)
            async with asyncio.timeout(max(0.001, deadline - loop.time())):
                decision = await stream.call(
                    processing_request("request_headers", numbered, {"upstream.address": address})
                )
            if decision is None:
                return 500, [], b"", "ext_proc_error", False
            if decision.HasField("immediate_response"):
                status, response_headers, response_body = self.immediate_reply(decision.immediate_response)
                wants_retry = bool(header_value(response_headers, RETRY_HEADER))
                return status, response_headers, response_body, "ext_proc", wants_retry
            self.pass_point("attempt-allowed", entry.request_id)
            sent = apply_mutation(headers, decision.request_headers.response.header_mutation)
            timeout_ms = header_value(sent, ATTEMPT_TIMEOUT_HEADER)
            status, response_headers, response_body, details, _ = await self.send_to_server(
                sent, body, entry, address, timeout_ms
            )
            if details != "via_upstream" and not self.settings.reports_local_replies:
                ends_cleanly = False
                may_retry = "reset" in header_value(headers, "x-envoy-retry-on")
                return status, response_headers, response_body, details, may_retry
            message = processing_request(
                "response_headers",
                [(":status", b"%d" % status), *response_headers],
                {"response.code_details": details},
            )
            decision = await stream.call(message)
            if decision is None:
                return status, response_headers, response_body, details, False
            mutation = decision.response_headers.response.header_mutation
            response_headers = apply_mutation(response_headers, mutation)
            wants_retry = bool(header_value(response_headers, RETRY_HEADER))
            return status, response_headers, response_body, details, wants_retry
        except TimeoutError:
            ends_cleanly = False
            return 504, [], b"", "response_timeout", False
        except GRPC_ERRORS:
            ends_cleanly = False
            return 500, [], b"", "ext_proc_error", self.settings.retries_unasked
        finally:
            await stream.close(ends_cleanly)

    async def send_to_server(
        self, headers: Headers, body: bytes, entry: LogEntry, address: str, timeout_ms: str
    ) -> tuple[int, Headers, bytes, str, bool]:
        """Sends the request to a server; the last result is False, as for no retry."""
        host, _, port = address.rpartition(":")
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(int(timeout_ms) / 1000.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                conn = h11.Connection(h11.CLIENT)
                sent = [(name, value) for name, value in headers if name not in ("content-length", "host")]
                sent += [("host", address.encode()), ("content-length", b"%d" % len(body))]
                fields = h11_headers(sent)
                target, method = header_value(headers, ":path"), header_value(headers, ":method")
                parts = [
                    conn.send(h11.Request(method=method, target=target, headers=fields)),
                    conn.send(h11.Data(data=body)),
                    conn.send(h11.EndOfMessage()),
                ]
                entry.attempted_addresses.append(address)
                writer.write(b"".join(part for part in parts if part))
                self.pass_point("bytes-left", entry.request_id)
                message = await read_message(conn, reader)
            self.pass_point("answered", entry.request_id)
            if message is None:
                return 503, [], b"", "upstream_reset_before_response_started{connection_termination}", False
            head, response_body = message
            response_headers = [
                (name.decode(), value) for name, value in head.headers if name != b"content-length"
            ]
            return head.status_code, response_headers, response_body, "via_upstream", False
        except TimeoutError:
            return 504, [], b"", "upstream_per_try_timeout", False
        except UPSTREAM_ERRORS:
            cause = "connection_termination" if writer is not None else "remote_connection_failure"
            return 503, [], b"", f"upstream_reset_before_response_started{{{cause}}}", False
        finally:
            if writer is not None:
                writer.transport.abort()


async def serve_until_stdin_ends(processor: str, settings: ProxySettings) -> None:
    """Serves until stdin ends, so that the proxy does not outlive its parent process."""
    proxy = Proxy(processor, settings)
    await proxy.start()
    print(proxy.port, flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description="a stand-in proxy")
    parser.add_argument("--processor", required=True, help="host:port or unix:/path")
    parser.add_argument(
        "--die",
        default="",
        help=f"POINT:N, kills the process at the N-th passing of one of the points {', '.join(POINTS)}",
    )
    args = parser.parse_args()
    point, _, number = args.die.partition(":")
    if point and point not in POINTS:
        parser.error(f"argument --die: unknown point {point!r}")
    settings = ProxySettings(kill_at=(point, int(number or 1)) if point else None)
    asyncio.run(serve_until_stdin_ends(args.processor, settings))


if __name__ == "__main__":
    main()
