"""The gRPC server: grpcio's asyncio server in the gateway's own loop (why: docs/design/extproc.md)."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import Any

import grpc

from . import events as ev
from . import messages
from .ratelimit import RateLimiter, RateLimitRequest, RateLimitResponse
from .streams import DownstreamStream, UpstreamStream
from .table import RequestTable

log = logging.getLogger("glenchute")

PROCESSOR_SERVICE = "envoy.service.ext_proc.v3.ExternalProcessor"
RATE_LIMIT_SERVICE = "envoy.service.ratelimit.v3.RateLimitService"
# Initial metadata of the filter's gRPC service: "upstream" on the servers' side.
ROLE_METADATA = "x-glenchute-role"
MAX_MESSAGE_BYTES = 1024 * 1024
MAX_METADATA_BYTES = 64 * 1024
WRITE_TIMEOUT_S = 5.0  # after which a proxy that does not read a response is aborted
STREAM_GRACE_S = 30.0  # a stream ends this long after the longest deadline
SWEEP_INTERVAL_S = 1.0
REPORT_INTERVAL_S = 10.0


@dataclass(frozen=True, slots=True)
class TlsCredentials:
    """PEM texts. With `client_ca` a proxy must present a certificate that it signed."""

    certificate: bytes
    key: bytes
    client_ca: bytes | None = None


class ResponseFuture:
    """Takes the response to one message; a future is made only if it does not come at once."""

    __slots__ = ("future", "is_set", "loop", "response")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.response: Any = None
        self.is_set = False
        self.future: asyncio.Future[None] | None = None

    def put(self, response: Any) -> None:
        """Sets the response, once."""
        if self.is_set:
            return
        self.response, self.is_set = response, True
        if self.future is not None and not self.future.done():
            self.future.set_result(None)

    async def get(self) -> Any:
        """Waits for the response."""
        if not self.is_set:
            self.future = self.loop.create_future()
            await self.future
        return self.response


class StreamGuard:
    """Aborts a stream from outside its task. The server's sweep does so after `deadline` (loop time), which
    costs less than a timer for each wait."""

    __slots__ = ("deadline", "has_ended_cleanly", "is_aborted", "loop", "task")

    def __init__(self, loop: asyncio.AbstractEventLoop, until: float) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.loop, self.task, self.deadline = loop, task, until
        self.is_aborted = self.has_ended_cleanly = False

    def abort_soon(self) -> None:
        """Aborts in the loop's next iteration, not from within a call of the table."""
        self.loop.call_soon(self.abort)

    def abort(self) -> None:
        """Cancels the task; the other side gets ABORTED."""
        if not self.task.done():
            self.is_aborted = True
            self.task.cancel()


class ExtProcServer:
    """Both services on one address."""

    def __init__(
        self,
        calls: RequestTable,
        limiter: RateLimiter | None,
        listen: str,
        most_streams: int,
        tls: TlsCredentials | None,
        longest_s: float,
    ) -> None:
        self.calls, self.limiter, self.listen, self.tls = calls, limiter, listen, tls
        self.loop = calls.loop
        self.max_stream_s = longest_s + STREAM_GRACE_S
        self.port = 0
        self.open_stream_count = 0
        self.stream_guards: set[StreamGuard] = set()  # of all streams
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.last_report = "", self.loop.time()  # the counters last logged, and when
        self.server = grpc.aio.server(
            options=(
                ("grpc.so_reuseport", 0),
                ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
                ("grpc.max_metadata_size", MAX_METADATA_BYTES),
                ("grpc.max_concurrent_streams", most_streams),
            ),
            maximum_concurrent_rpcs=most_streams,
        )
        self.server.add_generic_rpc_handlers(self.handlers())

    def handlers(self) -> tuple[Any, ...]:
        """The gRPC handlers of the enabled services."""
        process = grpc.stream_stream_rpc_method_handler(
            self.process,
            messages.ProcessingRequest.FromString,
            messages.ProcessingResponse.SerializeToString,
        )
        processor = grpc.method_handlers_generic_handler(PROCESSOR_SERVICE, {"Process": process})
        if self.limiter is None:
            return (processor,)
        check = grpc.unary_unary_rpc_method_handler(
            self.check_rate_limit, RateLimitRequest.FromString, RateLimitResponse.SerializeToString
        )
        limiter = grpc.method_handlers_generic_handler(RATE_LIMIT_SERVICE, {"ShouldRateLimit": check})
        return processor, limiter

    async def start(self) -> None:
        """Listens; raises OSError where it can't."""
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
        """Aborts the streams whose time is up."""
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        now = self.loop.time()
        if now - self.last_report[1] >= REPORT_INTERVAL_S:
            self.log_report(now)
        for cut in [cut for cut in self.stream_guards if cut.deadline < now]:
            cut.abort()

    def log_report(self, now: float) -> None:
        """Logs the counters, unless nothing has changed."""
        counts = " ".join(f"{name}={n}" for name, n in sorted(self.calls.counts.items()))
        if counts != self.last_report[0]:
            log.info(
                "proxies: open=%d streams=%d %s",
                len(self.calls.requests_by_number),
                self.open_stream_count,
                counts,
            )
        self.last_report = counts, now

    async def process(self, requests: Any, context: Any) -> None:
        """One stream. However it ends, the table hears of that once."""
        given = dict(context.invocation_metadata() or ())
        stream = self.calls.open_stream(given.get(ROLE_METADATA) == "upstream")
        cut = StreamGuard(self.loop, self.loop.time() + self.max_stream_s)
        stream.abort = cut.abort_soon
        self.stream_guards.add(cut)
        self.open_stream_count += 1
        try:
            try:
                if not await self.exchange(stream, context, cut):
                    return
            finally:
                self.open_stream_count -= 1
                self.close_stream(stream, cut)
            # The other side closes. Ending first would reset the stream, and some clients then lose what they
            # have not read yet (RFC 9113, section 8.1, forbids that, and it happens).
            cut.deadline = self.loop.time() + WRITE_TIMEOUT_S
            while await context.read() is not grpc.aio.EOF:
                pass
        except asyncio.CancelledError:
            if not cut.is_aborted:
                raise  # the other side has disconnected
            # Without a status a cancelled handler would leave the other side waiting for ever.
            cut.task.uncancel()
            await context.abort(grpc.StatusCode.ABORTED, "cut off")
        finally:
            self.stream_guards.discard(cut)

    async def exchange(
        self, stream: DownstreamStream | UpstreamStream, context: Any, cut: StreamGuard
    ) -> bool:
        """Messages and responses, one by one. True after an immediate response, which ends the exchange;
        False where the other side has ended it."""
        while True:
            message = await context.read()
            if message is grpc.aio.EOF:
                cut.has_ended_cleanly = True
                return False
            box = ResponseFuture(self.loop)
            try:
                stream.receive(messages.decode_request(message, self.calls.used_headers), box.put)
            except Exception:
                log.exception("a message of a proxy failed")
                box.put(ev.ImmediateResponse(500, {"x-glenchute-effect": "unknown"}, "", "glenchute_fault"))
            response = await box.get()
            if response is None:
                continue
            last, cut.deadline = cut.deadline, self.loop.time() + WRITE_TIMEOUT_S
            await context.write(messages.encode_response(response))
            cut.deadline = last
            if isinstance(response, ev.ImmediateResponse):
                cut.has_ended_cleanly = True
                return True

    def close_stream(self, stream: DownstreamStream | UpstreamStream, cut: StreamGuard) -> None:
        """Reports the stream's end to the table; a fault there must not keep the stream."""
        try:
            stream.close(cut.has_ended_cleanly)
        except Exception:
            log.exception("the end of a stream failed")

    async def check_rate_limit(self, request: Any, context: Any) -> Any:
        """One rate limit call."""
        assert self.limiter is not None
        box = ResponseFuture(self.loop)
        leave = self.limiter.check(request, box.put)
        try:
            return await box.get()
        except asyncio.CancelledError:
            leave()
            raise

    async def stop(self, grace_s: float) -> None:
        """Sends GOAWAY at once; open streams are served until they end or `grace_s` is over."""
        await self.server.stop(grace_s)
        self.log_report(self.loop.time())
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
