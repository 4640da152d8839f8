"""The gRPC side, on grpcio's asyncio server in the gateway's own loop (why: docs/design/extproc.md)."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import Any

import grpc

from . import events as ev
from . import messages
from .calls import Calls
from .ratelimit import Limiter, RateLimitRequest, RateLimitResponse

log = logging.getLogger("glenchute")

PROCESSOR = "envoy.service.ext_proc.v3.ExternalProcessor"
LIMITS = "envoy.service.ratelimit.v3.RateLimitService"
ROLE = "x-glenchute-role"  # initial metadata of the filter's gRPC service: "upstream" at the nodes' side
MOST_MESSAGE = 1024 * 1024
WRITE_S = 5.0  # a proxy that does not read what it asked for is cut off after this
LAST_S = 30.0  # a stream ends this long after the longest deadline at the latest
GOING_S = 0.3  # a stream that came before the GOAWAY was seen is still served


@dataclass(frozen=True, slots=True)
class Tls:
    """PEM texts; with `client_ca` a proxy must show a certificate that it signed."""

    certificate: bytes
    key: bytes
    client_ca: bytes | None = None


class Box:
    """Where a stream's answer is put; a future only if it does not come at once."""

    __slots__ = ("future", "loop", "said", "told")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.told: Any = None
        self.said = False
        self.future: asyncio.Future[None] | None = None

    def put(self, told: Any) -> None:
        if self.said:
            return
        self.told, self.said = told, True
        if self.future is not None and not self.future.done():
            self.future.set_result(None)

    async def get(self) -> Any:
        if not self.said:
            self.future = self.loop.create_future()
            await self.future
        return self.told


class Server:
    """The two services on one listener."""

    def __init__(
        self, calls: Calls, limiter: Limiter | None, listen: str, most_streams: int, tls: Tls | None,
        longest_s: float,
    ) -> None:  # fmt: skip
        self.calls, self.limiter, self.listen, self.tls = calls, limiter, listen, tls
        self.loop = calls.loop
        self.last_s = longest_s + LAST_S
        self.port = 0
        self.streams = 0
        self.server = grpc.aio.server(
            options=(
                ("grpc.so_reuseport", 0),
                ("grpc.max_receive_message_length", MOST_MESSAGE),
                ("grpc.max_metadata_size", 64 * 1024),
                ("grpc.max_concurrent_streams", most_streams),
            ),
            maximum_concurrent_rpcs=most_streams,
        )
        handlers = [
            grpc.method_handlers_generic_handler(
                PROCESSOR,
                {
                    "Process": grpc.stream_stream_rpc_method_handler(
                        self.process,
                        messages.ProcessingRequest.FromString,
                        messages.ProcessingResponse.SerializeToString,
                    )
                },
            )
        ]
        if limiter is not None:
            method = grpc.unary_unary_rpc_method_handler(
                self.limit, RateLimitRequest.FromString, RateLimitResponse.SerializeToString
            )
            handlers.append(grpc.method_handlers_generic_handler(LIMITS, {"ShouldRateLimit": method}))
        self.server.add_generic_rpc_handlers(tuple(handlers))

    async def start(self) -> None:
        """Listens; OSError where it can't."""
        try:
            if self.tls is None:
                self.port = self.server.add_insecure_port(self.listen)
            else:
                pair = [(self.tls.key, self.tls.certificate)]
                asked = self.tls.client_ca is not None
                made = grpc.ssl_server_credentials(pair, self.tls.client_ca, require_client_auth=asked)
                self.port = self.server.add_secure_port(self.listen, made)
        except RuntimeError as error:
            raise OSError(f"{self.listen}: {error}") from None
        await self.server.start()

    async def process(self, requests: Any, context: Any) -> None:
        """One stream. Whatever ends it, the table hears of that once."""
        given = dict(context.invocation_metadata() or ())
        stream = self.calls.stream(given.get(ROLE) == "upstream")
        task = asyncio.current_task()
        assert task is not None

        def abort() -> None:
            self.loop.call_soon(task.cancel)  # not from within what the table is doing

        stream.abort = abort
        last = self.loop.call_later(self.last_s, task.cancel)
        clean = over = False
        self.streams += 1
        try:
            while not over:
                message = await context.read()
                if message is grpc.aio.EOF:
                    clean = True
                    return
                box = Box(self.loop)
                try:
                    stream.receive(messages.read(message), box.put)
                except Exception:
                    log.exception("a message of a proxy failed")
                    box.put(ev.Reply(500, {"x-glenchute-effect": "unknown"}, "", "glenchute_fault"))
                told = await box.get()
                if told is None:
                    continue
                stuck = self.loop.call_later(WRITE_S, task.cancel)
                try:
                    await context.write(messages.write(told))
                finally:
                    stuck.cancel()
                clean = over = isinstance(told, ev.Reply)  # which ends the exchange
        finally:
            last.cancel()
            self.streams -= 1
            try:
                stream.close(clean)
            except Exception:
                log.exception("the end of a stream failed")
        # The other end closes. Ending first would reset the stream, and some clients then lose what they have
        # not read yet (RFC 9113, section 8.1, forbids that, and it happens).
        last = self.loop.call_later(WRITE_S, task.cancel)
        try:
            while await context.read() is not grpc.aio.EOF:
                pass
        finally:
            last.cancel()

    async def limit(self, request: Any, context: Any) -> Any:
        """One rate limit call."""
        assert self.limiter is not None
        box = Box(self.loop)
        leave = self.limiter.ask(request, box.put)
        try:
            return await box.get()
        except asyncio.CancelledError:
            leave()
            raise

    async def stop(self, grace_s: float) -> None:
        """GOAWAY at once; streams that are open are served until they end, or the time is up."""
        await self.server.stop(grace_s)
