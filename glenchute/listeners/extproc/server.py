"""The gRPC side, on grpcio's asyncio server in the gateway's own loop (why: docs/design/extproc.md)."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import Any

import grpc

from . import events as ev
from . import messages
from .calls import Calls, Downstream, Upstream
from .ratelimit import Limiter, RateLimitRequest, RateLimitResponse

log = logging.getLogger("glenchute")

PROCESSOR = "envoy.service.ext_proc.v3.ExternalProcessor"
LIMITS = "envoy.service.ratelimit.v3.RateLimitService"
ROLE = "x-glenchute-role"  # initial metadata of the filter's gRPC service: "upstream" at the nodes' side
MOST_MESSAGE = 1024 * 1024
WRITE_S = 5.0  # a proxy that does not read what it asked for is cut off after this
LAST_S = 30.0  # a stream ends this long after the longest deadline at the latest
SWEEP_S = 1.0
REPORT_S = 10.0


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


class Cut:
    """Cuts a stream off, from without its task; `clean` where it ended in order before that. The
    server's sweep does it past `until`, the loop's time: a timer for each wait would cost more."""

    __slots__ = ("clean", "cut", "loop", "task", "until")

    def __init__(self, loop: asyncio.AbstractEventLoop, until: float) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.loop, self.task, self.until = loop, task, until
        self.cut = self.clean = False

    def soon(self) -> None:
        """Not from within what the table is doing."""
        self.loop.call_soon(self.now)

    def now(self) -> None:
        """Its end goes to the other side as ABORTED."""
        if not self.task.done():
            self.cut = True
            self.task.cancel()


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
        self.cuts: set[Cut] = set()  # of all streams
        self.sweeper: asyncio.TimerHandle | None = None
        self.said = "", self.loop.time()  # the last line for the operators, and when
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
        self.sweep()

    def sweep(self) -> None:
        """Cuts off the streams whose time is up."""
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)
        now = self.loop.time()
        if now - self.said[1] >= REPORT_S:
            self.report(now)
        for cut in [cut for cut in self.cuts if cut.until < now]:
            cut.now()

    def report(self, now: float) -> None:
        """A line for the operators, while anything happens."""
        counts = " ".join(f"{name}={n}" for name, n in sorted(self.calls.counts.items()))
        if counts != self.said[0]:
            log.info("proxies: open=%d streams=%d %s", len(self.calls.by_ref), self.streams, counts)
        self.said = counts, now

    async def process(self, requests: Any, context: Any) -> None:
        """One stream. Whatever ends it, the table hears of that once."""
        given = dict(context.invocation_metadata() or ())
        stream = self.calls.stream(given.get(ROLE) == "upstream")
        cut = Cut(self.loop, self.loop.time() + self.last_s)
        stream.abort = cut.soon
        self.cuts.add(cut)
        self.streams += 1
        try:
            try:
                if not await self.exchange(stream, context, cut):
                    return
            finally:
                self.streams -= 1
                self.close(stream, cut)
            # The other end closes. Ending first would reset the stream, and some clients then lose what they
            # have not read yet (RFC 9113, section 8.1, forbids that, and it happens).
            cut.until = self.loop.time() + WRITE_S
            while await context.read() is not grpc.aio.EOF:
                pass
        except asyncio.CancelledError:
            if not cut.cut:
                raise  # the other end has gone
            # Without a status of its own a cancelled handler would leave the other end waiting for ever.
            cut.task.uncancel()
            await context.abort(grpc.StatusCode.ABORTED, "cut off")
        finally:
            self.cuts.discard(cut)

    async def exchange(self, stream: Downstream | Upstream, context: Any, cut: Cut) -> bool:
        """Messages and answers, one by one; True after an immediate response, which ends the exchange, and
        False where the other end has no more to say."""
        while True:
            message = await context.read()
            if message is grpc.aio.EOF:
                cut.clean = True
                return False
            box = Box(self.loop)
            try:
                stream.receive(messages.read(message, self.calls.wanted), box.put)
            except Exception:
                log.exception("a message of a proxy failed")
                box.put(ev.Reply(500, {"x-glenchute-effect": "unknown"}, "", "glenchute_fault"))
            told = await box.get()
            if told is None:
                continue
            last, cut.until = cut.until, self.loop.time() + WRITE_S
            await context.write(messages.write(told))
            cut.until = last
            if isinstance(told, ev.Reply):
                cut.clean = True
                return True

    def close(self, stream: Downstream | Upstream, cut: Cut) -> None:
        """Tells the table; a fault there must not keep the stream."""
        try:
            stream.close(cut.clean)
        except Exception:
            log.exception("the end of a stream failed")

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
        self.report(self.loop.time())
        if self.sweeper is not None:
            self.sweeper.cancel()
