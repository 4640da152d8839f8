"""A stand-in proxy: HTTP/1.1 in and out, with an external processor that it asks at each request and attempt.

Written from the published API of envoy.service.ext_proc.v3 and the documentation of its filter, with a gRPC
client (grpclib) that shares nothing with the processor's server; for what h2, below that, can't do (go on
with open streams after a GOAWAY), grpcio's client can be put in its place. It does what it is told and no
more: retries only where the processor says so or, after a broken attempt, where `x-envoy-retry-on` has
"reset". It can be made to misbehave: see `Habits`. A process of its own can be killed by itself at any point
of the exchange:

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

from lab.http_nodes import whole
from lab.peers import Peer

METHOD = "/envoy.service.ext_proc.v3.ExternalProcessor/Process"
TRY_TIMEOUT = "x-envoy-upstream-rq-per-try-timeout-ms"
RETRY = "x-glenchute-retry"
POINTS = (
    "asked", "decided", "attempt-asked", "attempt-allowed", "bytes-left", "answered", "told", "shown",
)  # fmt: skip
BROKEN = (OSError, EOFError, h11.ProtocolError, TimeoutError)
# RuntimeError: what uvloop raises where grpclib writes to a connection that has just closed.
GRPC_BROKEN = (
    GRPCError, StreamTerminatedError, ProtocolError, OSError, TimeoutError, RuntimeError,
    h2.exceptions.ProtocolError, grpc.RpcError, asyncio.InvalidStateError,
)  # fmt: skip
Headers = list[tuple[str, bytes]]


@dataclass
class Habits:
    """What it does that a good proxy would not. Shares are of requests, by the order of their coming."""

    message_timeout_s: float = 5.0  # it gives up a stream that does not answer for so long
    other_node: int = 0  # each so many-th attempt goes to a node of its own choice; 0: none
    half: int = 0  # each so many-th request leaves its stream after half of it
    stall: int = 0  # each so many-th request stops reading its stream for a second
    tells: bool = True  # it shows local replies for broken attempts to the attempt's stream
    retries_alone: bool = False  # it tries again whenever an attempt fails, told or not
    dies: tuple[str, int] | None = None  # kills its process at the n-th passing of a point
    at: Callable[[str, str], None] | None = None  # told of each point passed, with the request's id


@dataclass
class Row:
    """One request in its log: nodes that an attempt's bytes went to, and the status that the client got."""

    request: str
    nodes: list[str] = field(default_factory=list)
    status: int = 0
    reason: str = ""


def message(kind: str, headers: Headers, attributes: dict[str, str] | None = None) -> Any:
    """A ProcessingRequest with headers."""
    made = pb.ProcessingRequest()
    part = getattr(made, kind)
    for name, value in headers:
        part.headers.headers.add(key=name, raw_value=value)
    part.end_of_stream = True
    if attributes:
        fields = made.attributes["envoy.filters.http.ext_proc"].fields
        for name, text in attributes.items():
            fields[name].string_value = text
    return made


class Exchange:
    """One stream to the processor, by grpclib."""

    def __init__(self, proxy: Proxy, upstream: bool) -> None:
        self.proxy = proxy
        given = {"x-glenchute-role": "upstream"} if upstream else {}
        method = grpclib.client.StreamStreamMethod(
            proxy.channel, METHOD, pb.ProcessingRequest, pb.ProcessingResponse
        )
        self.context = method.open(metadata=given)
        self.stream: Any = None
        self.live = False

    async def open(self) -> None:
        self.stream = await self.context.__aenter__()
        self.live = True

    async def ask(self, said: Any) -> Any:
        """One message and its answer; None where the stream is over."""
        if not self.live:
            return None
        async with asyncio.timeout(self.proxy.habits.message_timeout_s):
            await self.stream.send_message(said)
            return await self.stream.recv_message()

    async def close(self, clean: bool = True) -> None:
        """Ends it: half-closed in order, or reset."""
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
    """The same by grpcio."""

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

    async def ask(self, said: Any) -> Any:
        if not self.live:
            return None
        async with asyncio.timeout(self.proxy.habits.message_timeout_s):
            await self.call.write(said)
            told = await self.call.read()
            return None if told is grpc.aio.EOF else told

    async def close(self, clean: bool = True) -> None:
        self.live = False
        with contextlib.suppress(*GRPC_BROKEN):
            if clean:
                await self.call.done_writing()
                async with asyncio.timeout(1.0):
                    await self.call.read()
        self.call.cancel()


def changed(headers: Headers, mutation: Any) -> Headers:
    """Headers after a HeaderMutation."""
    gone = {name.lower() for name in mutation.remove_headers}
    set_ = {option.header.key.lower(): option.header.raw_value for option in mutation.set_headers}
    kept = [(name, value) for name, value in headers if name not in gone and name not in set_]
    return kept + list(set_.items())


def value(headers: Headers, name: str) -> str:
    """A header's value, "" without one."""
    return next((found.decode("latin-1") for key, found in headers if key == name), "")


def plain(headers: Headers) -> list[tuple[bytes, bytes]]:
    """As h11 has them, without what HTTP/2 alone has."""
    return [(name.encode(), given) for name, given in headers if not name.startswith(":")]


class Proxy(Peer):
    """The proxy. `log` has a row for each request that came, in the order of their coming."""

    def __init__(
        self, processor: str, habits: Habits | None = None, nodes: list[str] | None = None, core: bool = False
    ) -> None:
        """`processor`: host:port or unix:/path. `core`: by grpcio's client."""
        super().__init__()
        self.habits = habits or Habits()
        self.nodes = nodes or []  # that it may choose by itself
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
        """A stream to the processor."""
        return CoreExchange(self, upstream) if self.core is not None else Exchange(self, upstream)

    def point(self, name: str, request: str) -> None:
        """A point of the exchange is passed."""
        self.passed[name] = self.passed.get(name, 0) + 1
        if self.habits.dies == (name, self.passed[name]):
            os.kill(os.getpid(), signal.SIGKILL)
        if self.habits.at is not None:
            self.habits.at(name, request)

    # --- a client's connection ---------------------------------------------------------------------------

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conn = h11.Connection(h11.SERVER)
        while True:
            try:
                found = await whole(conn, reader)
                if found is None:
                    return
                head, body = found
                headers = [(":method", head.method), (":path", head.target)]
                headers += [(name.decode(), given) for name, given in head.headers]
                row = Row(value(headers, "x-request-id"))
                self.log.append(row)
                status, extra, answer = await self.request(headers, body, row)
                row.status, row.reason = status, value(extra, "x-glenchute-reason")
                shown = plain([*extra, ("content-length", b"%d" % len(answer))])
                parts = [
                    conn.send(h11.Response(status_code=status, headers=shown, reason=b"")),
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
        """Asks, forwards, and asks again with the response."""
        self.serial += 1
        down = self.exchange(upstream=False)
        number = self.serial
        try:
            await down.open()
            self.point("asked", row.request)
            told = await down.ask(message("request_headers", headers))
            if told is None:
                return 500, [("x-glenchute-reason", b"no-processor")], b""
            self.point("decided", row.request)
            if told.HasField("immediate_response"):
                return self.immediate(told.immediate_response)
            if self.habits.half and number % self.habits.half == 0:
                await down.close(clean=False)
                return 499, [], b""
            if self.habits.stall and number % self.habits.stall == 0:
                await asyncio.sleep(1.0)
            headers = changed(headers, told.request_headers.response.header_mutation)
            wants = told.mode_override.response_header_mode == processing_mode_pb2.ProcessingMode.SEND
            status, given, answer, details = await self.forward(headers, body, row)
            if not wants:
                return status, given, answer
            self.point("told", row.request)
            said = message(
                "response_headers", [(":status", b"%d" % status), *given], {"response.code_details": details}
            )
            told = await down.ask(said)
            self.point("shown", row.request)
            if told is None:
                return status, given, answer
            if told.HasField("immediate_response"):
                return self.immediate(told.immediate_response)
            return status, changed(given, told.response_headers.response.header_mutation), answer
        except GRPC_BROKEN:
            return 500, [("x-glenchute-reason", b"no-processor")], b""  # failure_mode_allow is off
        finally:
            await down.close()

    def immediate(self, told: Any) -> tuple[int, Headers, bytes]:
        """An immediate response."""
        return int(told.status.code), changed([], told.headers), told.body

    # --- attempts ----------------------------------------------------------------------------------------

    async def forward(self, headers: Headers, body: bytes, row: Row) -> tuple[int, Headers, bytes, str]:
        """Attempts as the processor and its headers have them; status, headers, body and code details."""
        most = int(value(headers, "x-envoy-max-retries") or 0)
        gated = bool(value(headers, "x-glenchute-token"))
        node = value(headers, "x-gateway-destination-endpoint")
        left_ms = int(value(headers, "x-envoy-upstream-rq-timeout-ms"))
        end = asyncio.get_running_loop().time() + left_ms / 1000.0
        number = 0
        while True:
            number += 1
            self.attempts += 1
            going_to = node
            if self.habits.other_node and self.attempts % self.habits.other_node == 0 and self.nodes:
                going_to = self.nodes[self.attempts % len(self.nodes)]
            if gated:
                tried = self.attempt(headers, body, row, going_to, number, end)
            else:
                tried = self.direct(headers, body, row, going_to, value(headers, TRY_TIMEOUT))
            status, given, answer, details, again = await tried
            node = value(given, "x-gateway-destination-endpoint") or node
            if number > most or asyncio.get_running_loop().time() >= end:
                return status, given, answer, details
            if not again and not (self.habits.retries_alone and status >= 500):
                return status, given, answer, details

    async def attempt(
        self, headers: Headers, body: bytes, row: Row, node: str, number: int, end: float
    ) -> tuple[int, Headers, bytes, str, bool]:
        """One attempt, with its own stream. The last is whether to try again."""
        up = self.exchange(upstream=True)
        loop = asyncio.get_running_loop()
        clean = True
        try:
            await up.open()
            counted = [*headers, ("x-envoy-attempt-count", b"%d" % number)]
            self.point("attempt-asked", row.request)
            async with asyncio.timeout(max(0.001, end - loop.time())):
                told = await up.ask(message("request_headers", counted, {"upstream.address": node}))
            if told is None:
                return 500, [], b"", "ext_proc_error", False
            if told.HasField("immediate_response"):
                status, given, answer = self.immediate(told.immediate_response)
                return status, given, answer, "ext_proc", bool(value(given, RETRY))
            self.point("attempt-allowed", row.request)
            sent = changed(headers, told.request_headers.response.header_mutation)
            left = value(sent, TRY_TIMEOUT)
            status, given, answer, details, _ = await self.direct(sent, body, row, node, left)
            if details != "via_upstream" and not self.habits.tells:
                clean = False
                return status, given, answer, details, "reset" in value(headers, "x-envoy-retry-on")
            said = message(
                "response_headers", [(":status", b"%d" % status), *given], {"response.code_details": details}
            )
            told = await up.ask(said)
            if told is None:
                return status, given, answer, details, False
            given = changed(given, told.response_headers.response.header_mutation)
            return status, given, answer, details, bool(value(given, RETRY))
        except TimeoutError:
            clean = False
            return 504, [], b"", "response_timeout", False
        except GRPC_BROKEN:
            clean = False
            return 500, [], b"", "ext_proc_error", self.habits.retries_alone
        finally:
            await up.close(clean)

    async def direct(
        self, headers: Headers, body: bytes, row: Row, node: str, left_ms: str
    ) -> tuple[int, Headers, bytes, str, bool]:
        """Sends the request to a node."""
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
                found = await whole(conn, reader)
            self.point("answered", row.request)
            if found is None:
                return 503, [], b"", "upstream_reset_before_response_started{connection_termination}", False
            head, answer = found
            given = [(name.decode(), text) for name, text in head.headers if name != b"content-length"]
            return head.status_code, given, answer, "via_upstream", False
        except TimeoutError:
            return 504, [], b"", "upstream_per_try_timeout", False
        except BROKEN:
            why = "connection_termination" if writer is not None else "remote_connection_failure"
            return 503, [], b"", f"upstream_reset_before_response_started{{{why}}}", False
        finally:
            if writer is not None:
                writer.transport.abort()


async def served(processor: str, habits: Habits) -> None:
    """Serves until stdin ends, so that it never outlives whoever started it."""
    proxy = Proxy(processor, habits)
    await proxy.start()
    print(proxy.port, flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


def main() -> None:
    """The command."""
    parser = argparse.ArgumentParser(description="a stand-in proxy")
    parser.add_argument("--processor", required=True, help="host:port or unix:/path")
    parser.add_argument("--die", default="", help=f"POINT:N, a point of {', '.join(POINTS)}")
    given = parser.parse_args()
    point, _, number = given.die.partition(":")
    if point and point not in POINTS:
        parser.error(f"no such point: {point}")
    habits = Habits(dies=(point, int(number or 1)) if point else None)
    asyncio.run(served(given.processor, habits))


if __name__ == "__main__":
    main()
