"""The gRPC server: grpcio's asyncio server, in the gateway's event loop (reasons: docs/design/extproc.md)."""

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
# Key in the initial metadata of the filter's gRPC service; the upstream filter's value is "upstream".
ROLE_METADATA = "x-glenchute-role"
MAX_MESSAGE_BYTES = 1024 * 1024
MAX_METADATA_BYTES = 64 * 1024
WRITE_TIMEOUT_S = 5.0  # a stream whose proxy does not read a response for so long is aborted
STREAM_GRACE_S = 30.0  # a stream is aborted when it is open for this long plus the longest deadline
SWEEP_INTERVAL_S = 1.0
REPORT_INTERVAL_S = 10.0


@dataclass(frozen=True, slots=True)
class TlsCredentials:
    """PEM texts. With `client_ca`, a proxy must present a certificate that this authority has signed."""

    certificate: bytes
    key: bytes
    client_ca: bytes | None = None


class ResponseFuture:
    """The response to one message. A future is created only if the response does not come at once."""

    __slots__ = ("future", "is_set", "loop", "response")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.response: Any = None
        self.is_set = False
        self.future: asyncio.Future[None] | None = None

    def put(self, response: Any) -> None:
        """Sets the response; only the first call has an effect."""
        if self.is_set:
            return
        self.response, self.is_set = response, True
        if self.future is not None and not self.future.done():
            self.future.set_result(None)

    async def get(self) -> Any:
        """Waits for the response and returns it."""
        if not self.is_set:
            self.future = self.loop.create_future()
            await self.future
        return self.response


class StreamGuard:
    """Aborts a stream from outside its task. The server's sweep does so after `deadline`, in seconds of the
    loop's clock; this costs less than a timer for each wait."""

    __slots__ = ("deadline", "has_ended_cleanly", "is_aborted", "is_writing", "loop", "task")

    def __init__(self, loop: asyncio.AbstractEventLoop, deadline: float) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.loop, self.task, self.deadline = loop, task, deadline
        self.is_aborted = self.has_ended_cleanly = self.is_writing = False

    def abort_soon(self) -> None:
        """Aborts in the loop's next iteration, so that the request table is not called back from its own
        call."""
        self.loop.call_soon(self.abort)

    def overdue_reason(self) -> str:
        """Returns what the stream waited for when its deadline passed."""
        if self.is_writing:
            return "its proxy did not read a response"
        if self.has_ended_cleanly:
            return "its proxy did not close it after the final response"
        return "it was open for too long"

    def abort(self) -> None:
        """Cancels the stream's task; the proxy gets the status ABORTED."""
        if not self.task.done():
            self.is_aborted = True
            self.task.cancel()


class ExtProcServer:
    """The external processor and, if enabled, the rate limit service, on one address."""

    def __init__(
        self,
        table: RequestTable,
        limiter: RateLimiter | None,
        listen: str,
        max_streams: int,
        tls: TlsCredentials | None,
        max_deadline_s: float,
    ) -> None:
        self.table, self.limiter, self.listen, self.tls = table, limiter, listen, tls
        self.loop = table.loop
        self.max_stream_s = max_deadline_s + STREAM_GRACE_S
        self.port = 0
        self.open_stream_count = 0
        self.stream_guards: set[StreamGuard] = set()  # one for each stream
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.next_sweep_at = self.loop.time()
        self.last_report = "", self.loop.time()  # the counters that were last logged, and when
        self.server = grpc.aio.server(
            options=(
                ("grpc.so_reuseport", 0),
                ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
                ("grpc.max_metadata_size", MAX_METADATA_BYTES),
                ("grpc.max_concurrent_streams", max_streams),
            ),
            maximum_concurrent_rpcs=max_streams,
        )
        self.server.add_generic_rpc_handlers(self.handlers())

    def handlers(self) -> tuple[Any, ...]:
        """Returns the gRPC handlers of the enabled services."""
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
        """Starts listening. Raises OSError if the address can't be used."""
        try:
            if self.tls is None:
                self.port = self.server.add_insecure_port(self.listen)
            else:
                key_pairs = [(self.tls.key, self.tls.certificate)]
                requires_client_certificate = self.tls.client_ca is not None
                credentials = grpc.ssl_server_credentials(
                    key_pairs, self.tls.client_ca, require_client_auth=requires_client_certificate
                )
                self.port = self.server.add_secure_port(self.listen, credentials)
        except RuntimeError as error:
            raise OSError(f"{self.listen}: {error}") from None
        await self.server.start()
        self.sweep()

    def sweep(self) -> None:
        """Aborts the streams that are past their deadline; logs the counters every `REPORT_INTERVAL_S`."""
        now = self.loop.time()
        self.excuse_stall(now - self.next_sweep_at)
        self.next_sweep_at = now + SWEEP_INTERVAL_S
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        if now - self.last_report[1] >= REPORT_INTERVAL_S:
            self.log_report(now)
        for guard in [guard for guard in self.stream_guards if guard.deadline < now]:
            if not guard.is_aborted:
                log.info("aborting a proxy's stream: %s", guard.overdue_reason())
            guard.abort()

    def excuse_stall(self, late_s: float) -> None:
        """Puts off all deadlines by a stall of this process, which shows in a sweep that is `late_s` late:
        meanwhile nothing that proxies read or closed could be noticed."""
        if late_s <= SWEEP_INTERVAL_S:
            return
        for guard in self.stream_guards:
            guard.deadline += late_s

    def log_report(self, now: float) -> None:
        """Logs the counters if they have changed since the last report."""
        counts = " ".join(f"{name}={count}" for name, count in sorted(self.table.counts.items()))
        if counts != self.last_report[0]:
            log.info(
                "proxies: open=%d streams=%d %s",
                len(self.table.requests_by_number),
                self.open_stream_count,
                counts,
            )
        self.last_report = counts, now

    async def process(self, requests: Any, context: Any) -> None:
        """Serves one stream. However the stream ends, its end is reported to the table once."""
        metadata = dict(context.invocation_metadata() or ())
        stream = self.table.open_stream(metadata.get(ROLE_METADATA) == "upstream")
        guard = StreamGuard(self.loop, self.loop.time() + self.max_stream_s)
        stream.abort = guard.abort_soon
        self.stream_guards.add(guard)
        self.open_stream_count += 1
        try:
            try:
                if not await self.exchange(stream, context, guard):
                    return
            finally:
                self.open_stream_count -= 1
                self.close_stream(stream, guard)
            # Waits for the proxy to close the stream. If this side ended it first, the stream would be reset,
            # and some clients then discard what they have not read yet, although RFC 9113, section 8.1,
            # forbids that.
            guard.deadline = self.loop.time() + WRITE_TIMEOUT_S
            while await context.read() is not grpc.aio.EOF:
                pass
        except asyncio.CancelledError:
            if not guard.is_aborted:
                raise  # the proxy has disconnected
            # If a cancelled handler sends no status, the proxy waits for ever.
            guard.task.uncancel()
            await context.abort(grpc.StatusCode.ABORTED, "cut off")
        finally:
            self.stream_guards.discard(guard)

    async def exchange(
        self, stream: DownstreamStream | UpstreamStream, context: Any, guard: StreamGuard
    ) -> bool:
        """Answers messages one by one. Returns True after an immediate response, which ends the exchange, and
        False if the proxy has ended it."""
        while True:
            message = await context.read()
            if message is grpc.aio.EOF:
                guard.has_ended_cleanly = True
                return False
            pending_response = ResponseFuture(self.loop)
            try:
                stream.receive(
                    messages.decode_request(message, self.table.used_headers), pending_response.put
                )
            except Exception:
                log.exception("handling a proxy's ext_proc message failed; responding with 500")
                pending_response.put(
                    ev.ImmediateResponse(500, {"x-glenchute-effect": "unknown"}, "", "glenchute_fault")
                )
            response = await pending_response.get()
            if response is None:
                continue
            stream_deadline, guard.deadline = guard.deadline, self.loop.time() + WRITE_TIMEOUT_S
            guard.is_writing = True
            await context.write(messages.encode_response(response))
            guard.is_writing, guard.deadline = False, stream_deadline
            if isinstance(response, ev.ImmediateResponse):
                guard.has_ended_cleanly = True
                return True

    def close_stream(self, stream: DownstreamStream | UpstreamStream, guard: StreamGuard) -> None:
        """Reports the stream's end to the table. An exception is logged, so that the stream still ends."""
        try:
            stream.close(guard.has_ended_cleanly)
        except Exception:
            log.exception("closing a proxy's ext_proc stream failed")

    async def check_rate_limit(self, request: Any, context: Any) -> Any:
        """Serves one rate limit call."""
        assert self.limiter is not None
        pending_response = ResponseFuture(self.loop)
        cancel_check = self.limiter.check(request, pending_response.put)
        try:
            return await pending_response.get()
        except asyncio.CancelledError:
            cancel_check()
            raise

    async def stop(self, grace_s: float) -> None:
        """Sends GOAWAY at once. Open streams are served until they end, for at most `grace_s`."""
        await self.server.stop(grace_s)
        self.log_report(self.loop.time())
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
