"""A pipelined connection to a server: several attempts may be queued on it, and are answered in order.

Commands that are queued in one iteration of the event loop are written together at its end, so that no timer
delays them. Bytes are handed to the transport only while its buffer is empty, so that at most one batch may
have been sent in part when the connection ends. When the operating system reports the end, the number of
bytes sent is unknown: everything written may have been sent. When the gateway itself closes the connection,
the size of the transport's buffer tells how many bytes have not been sent.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from typing import NamedTuple, Protocol

from glenchute.core.types import Address, AttemptResult
from glenchute.policy.connections.pipelined_connection import (
    NETWORK_DELAY_MS,
    CommandPipeline,
    PipelinedCommand,
)
from glenchute.policy.events import Outcome
from glenchute.protocol import resp2
from glenchute.protocol.incomplete_reply import whole_value

from .connection import Connection, ConnectionOwner
from .pipeline_runtime import ABORT_COUNT, COMMAND_COUNT, WRITE_COUNT, PipelineRuntime
from .responses import RESPONSE_STALL_S, result_of

log = logging.getLogger("glenchute")


class PipelinedItem(Protocol):
    """The part of an attempt that a pipelined connection uses."""

    is_written: bool

    @property
    def attempt_id(self) -> int:
        """The attempt's id, unique within this upstream."""

    @property
    def payload(self) -> Callable[[int], bytes]:
        """Encodes the command, given the remaining time in milliseconds."""

    @property
    def is_wanted(self) -> Callable[[], bool] | None:
        """Returns whether its client still waits, and ends the attempt if not; None: it is not known."""

    @property
    def is_finished(self) -> bool:
        """Whether its result has been reported."""

    @property
    def expires_at(self) -> float:
        """The loop time of its timeout, in seconds."""

    @property
    def write_by(self) -> float:
        """The loop time after which no byte may be written, in seconds; inf: no limit."""

    def stop_unless_written(self) -> None:
        """Ends the attempt if none of its bytes has been written."""

    def finish(self, result: AttemptResult) -> None:
        """Reports the result; further results are ignored."""


class PipelinedOwner(ConnectionOwner, Protocol):
    """The part of a connection pool that its pipelined connections use."""

    @property
    def runtime(self) -> PipelineRuntime:
        """The scheduler and its timer, shared by the pools of all servers."""

    @property
    def address(self) -> Address:
        """The server's address."""

    @property
    def stop_at(self) -> float | None:
        """The loop time after which nothing is written to the server, in seconds; None: it is active."""

    def mark_busy(self, conn: PipelinedConnection) -> None:
        """Removes the connection from the idle ones, as an attempt joins it."""

    def retire(self, connection_id: int) -> None:
        """Makes the connection unavailable for further attempts."""

    def place_next_waiting(self) -> None:
        """Places the next waiting attempt again, as a connection may have become available."""


class FinishedAttempt(NamedTuple):
    """An attempt with its result, which is still to be reported."""

    attempt: PipelinedItem
    result: AttemptResult


class PipelinedConnection(Connection):
    """One connection with a queue of attempts, some written and some pending."""

    __slots__ = (
        "connect_task",
        "connect_timer",
        "connection_id",
        "final_results",
        "is_buffer_full",
        "is_flush_scheduled",
        "is_up",
        "pipeline",
        "send_deadline_timer",
    )

    pool: PipelinedOwner

    def __init__(self, pool: PipelinedOwner, connection_id: int) -> None:
        super().__init__(pool)
        self.connection_id = connection_id
        settle_ms = pool.runtime.scheduler.rules.settle_ms
        self.pipeline: CommandPipeline[PipelinedItem] = CommandPipeline(NETWORK_DELAY_MS, settle_ms)
        # Set when the connection is closing; reported once it has closed.
        self.final_results: list[FinishedAttempt] | None = None
        self.is_up = False
        self.is_buffer_full = False  # the transport still buffers written bytes
        self.is_flush_scheduled = False
        self.connect_task: asyncio.Task[None] | None = None
        self.connect_timer: asyncio.TimerHandle | None = None
        self.send_deadline_timer: asyncio.TimerHandle | None = None

    @property
    def runtime(self) -> PipelineRuntime:
        """The scheduler and its timer, shared by all connections."""
        return self.pool.runtime

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop of the connection tracker."""
        return self.pool.tracker.loop

    def is_usable(self) -> bool:
        """Returns whether further attempts may join the connection."""
        if self.final_results is not None:
            return False
        return not self.is_up or (self.transport is not None and not self.transport.is_closing())

    def close_if_unread(self) -> None:
        """Closes an idle connection if the kernel holds bytes or its end: the next command would be given the
        wrong reply, or be reset."""
        if self.is_up and not self.pipeline and self.has_unread_input():
            self.close_with(None, Outcome.RESET, "bytes were received without a command in flight")

    # --- connecting --------------------------------------------------------------------------------------

    async def connect(self) -> None:
        """Opens the connection and writes the queued commands; none of them was sent if it fails."""
        host, port = self.pool.address
        try:
            await self.loop.create_connection(lambda: self, host, port)
        except OSError:
            self.on_connect_failed()
            return
        except asyncio.CancelledError:
            # `connection_lost` is not called if this is cancelled just as the connect completes.
            self.pool.remove_connection(self)
            raise
        finally:
            self.pool.tracker.connecting.discard(self)
        self.connect_task = None
        if self.connect_timer is not None:
            self.connect_timer.cancel()
        if self.final_results is not None:
            self.abort()  # its attempts have ended already
            return
        self.is_up = True
        self.runtime.scheduler.on_connected(self.runtime.now_ms(), self.connection_id)
        self.release_if_idle()
        self._flush()
        self.runtime.schedule_check()

    def on_connect_failed(self) -> None:
        """Ends all queued attempts, as the connection could not be opened, or not in time."""
        if self.is_up or self.final_results is not None:
            return
        if self.connect_task is not None and self.connect_task is not asyncio.current_task(self.loop):
            self.connect_task.cancel()
        self.connect_task = None
        outcomes = self.pipeline.close()
        self.final_results = []
        self._retire(has_failed=False)
        for attempt, outcome in outcomes:
            attempt.finish(AttemptResult(outcome))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the established connection, and has the transport buffer as little as possible."""
        super().connection_made(transport)
        assert self.transport is not None
        # `pause_writing` is then called as soon as any byte is buffered.
        self.transport.set_write_buffer_limits(high=0)

    # --- writing -----------------------------------------------------------------------------------------

    def join(self, attempt: PipelinedItem) -> PipelinedCommand[PipelinedItem]:
        """Queues an attempt; its command is written at the end of the event loop's iteration."""
        self.pool.mark_busy(self)
        command = self.pipeline.append(attempt, b"")
        self._schedule_flush()
        return command

    def _schedule_flush(self) -> None:
        """Schedules a write of the pending commands at the end of this iteration of the event loop."""
        if self.is_up and not self.is_flush_scheduled and not self.is_buffer_full:
            self.is_flush_scheduled = True
            self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        """Writes the next batch if the transport's buffer is empty."""
        self.is_flush_scheduled = False
        transport = self.transport
        if not self.is_up or self.is_buffer_full or self.final_results is not None:
            return
        if transport is None or transport.is_closing():
            return
        for command in list(self.pipeline.pending):
            if command.item.is_wanted is not None and not command.item.is_finished:
                command.item.is_wanted()  # withdraws the command if its client has disconnected
        now = self.loop.time()
        expired = self._encode_pending(now)
        limits = self.runtime.write_limits
        batch, data = self.pipeline.next_batch(1000.0 * now, limits.max_commands, limits.max_bytes)
        if batch:
            for command in batch:
                command.item.is_written = True
            self.runtime.counts[WRITE_COUNT] += 1
            self.runtime.counts[COMMAND_COUNT] += len(batch)
            transport.write(data)
            self._update_sent()
            if self.pipeline.pending:
                self._schedule_flush()
        for attempt in expired:
            attempt.finish(AttemptResult(Outcome.NOT_SENT))
        if expired:
            self.release_if_idle()

    def _encode_pending(self, now: float) -> list[PipelinedItem]:
        """Encodes the pending commands; withdraws and returns those that are too late to be written."""
        stop_at = self.pool.stop_at
        expired: list[PipelinedItem] = []
        for command in list(self.pipeline.pending):
            attempt = command.item
            left_ms = int(1000.0 * (attempt.expires_at - now))
            is_late = now > attempt.write_by or (stop_at is not None and now > stop_at)
            if left_ms < 1 or is_late:
                self.withdraw(command)
                expired.append(attempt)
            elif not command.data:
                command.data = attempt.payload(left_ms)
        return expired

    def withdraw(self, command: PipelinedCommand[PipelinedItem]) -> bool:
        """Removes a command that has not been written; False if it has been."""
        if not self.pipeline.withdraw(command):
            return False
        now_ms, attempt_id = self.runtime.now_ms(), command.item.attempt_id
        self.runtime.scheduler.on_withdrawn(now_ms, self.connection_id, attempt_id)
        return True

    def release_if_idle(self) -> None:
        """Returns the connection to the pool's idle ones if no attempt is on it."""
        if self.is_up and not self.pipeline and self.final_results is None:
            self.pool.release(self)

    def _update_sent(self) -> None:
        """Updates how many of the written bytes may have been sent."""
        if self.transport is not None:
            self.pipeline.update_sent(self.transport.get_write_buffer_size())

    def pause_writing(self) -> None:
        """Stops writing while the transport buffers bytes, and sets the deadline for sending them.

        No byte may be sent after the server's grace period, nor one of a command with an idempotency key
        after its idempotency window: the connection is closed before that.
        """
        self.is_buffer_full = True
        limits = [command.item.write_by for command in self.pipeline.in_flight]
        if self.pool.stop_at is not None:
            limits.append(self.pool.stop_at)
        send_by = min(limits, default=math.inf)
        if send_by < math.inf:
            self.set_send_deadline(send_by)

    def set_send_deadline(self, send_by: float) -> None:
        """Closes the connection at this loop time if its buffer is still not empty then.

        The first call since the buffer was last empty counts; further ones are ignored.
        """
        if self.send_deadline_timer is None:
            self.send_deadline_timer = self.loop.call_at(send_by, self._on_send_deadline)

    def resume_writing(self) -> None:
        """Resumes writing, as the transport's buffer is empty."""
        self.is_buffer_full = False
        if self.send_deadline_timer is not None:
            self.send_deadline_timer.cancel()
            self.send_deadline_timer = None
        self._update_sent()
        if self.pipeline.pending:
            self._schedule_flush()

    def _on_send_deadline(self) -> None:
        """Closes the connection, as the buffered bytes must not be sent any more."""
        self.send_deadline_timer = None
        if self.is_buffer_full and self.final_results is None:
            self.close_with(None, Outcome.RESET, "buffered bytes could not be sent in time")

    # --- reading -----------------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and reports the results of the attempts they answer."""
        if self.final_results is not None:
            return
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
        self._update_sent()
        results: list[FinishedAttempt] = []
        fault = self._read_replies(self.runtime.now_ms(), data, results)
        if fault:
            self.close_with(None, Outcome.RESET, fault)
            # A failed attempt may be retried, which must also wait until the connection is closed.
            assert self.final_results is not None
            self.final_results[:0] = [one for one in results if one.result.outcome is not Outcome.OK]
            results = [one for one in results if one.result.outcome is Outcome.OK]
        elif results:
            self.release_if_idle()
        for attempt, result in results:
            attempt.finish(result)
        if not fault and results:
            self.pool.place_next_waiting()
        self.runtime.schedule_check()

    def _read_replies(self, now_ms: float, data: bytes, results: list[FinishedAttempt]) -> str:
        """Parses replies and appends their results; returns why the connection must close, or ''."""
        fault = ""
        try:
            self.parser.feed(data)
            while not fault and (reply := self.parser.next_message()) is not False:
                fault = self._on_reply(now_ms, reply, results)
        except resp2.ProtocolError:
            fault = "a reply is not valid RESP or exceeds a limit"
            if self.pipeline.in_flight:
                self._fail_head(now_ms, results)
        if not fault and self.parser.has_unparsed():
            if not self.pipeline.in_flight:
                return "bytes were received without a command in flight"
            # With a wrong length prefix the reply never completes while the connection stays open.
            self.stall_timer = self.loop.call_later(RESPONSE_STALL_S, self.fail_response)
        return fault

    def _on_reply(self, now_ms: float, reply: object, results: list[FinishedAttempt]) -> str:
        """Handles one complete reply; returns why the connection must close after it, or ''."""
        matched = self.pipeline.match_reply(now_ms)
        if matched is None:
            return "a reply was received without a command in flight"
        result = result_of(reply)
        if not matched.is_trusted:
            result = AttemptResult(Outcome.ERROR)
        is_ok = result.outcome is Outcome.OK
        self.runtime.scheduler.on_reply(now_ms, self.connection_id, is_ok)
        if matched.command.is_cancelled:
            result = AttemptResult(Outcome.CANCELLED, is_connection_reusable=result.is_connection_reusable)
        results.append(FinishedAttempt(matched.command.item, result))
        if not matched.is_trusted:
            return "a reply may belong to another command"
        return "" if result.is_connection_reusable else "a reply has an unknown form"

    def _fail_head(self, now_ms: float, results: list[FinishedAttempt]) -> None:
        """Ends the head as an error, as its reply is invalid, if it may have been sent and may have run."""
        command = self.pipeline.in_flight[0]
        if self.pipeline.may_be_sent(command):
            self.pipeline.in_flight.popleft()
            self.runtime.scheduler.on_reply(now_ms, self.connection_id, is_ok=False)
            outcome = Outcome.CANCELLED if command.is_cancelled else Outcome.ERROR
            results.append(FinishedAttempt(command.item, AttemptResult(outcome)))

    def _serve_whole_value(self, results: list[FinishedAttempt]) -> bool:
        """Ends the head with the value that is whole in its incomplete reply; False if there is none."""
        value = whole_value(self.parser.unparsed())
        if value is None or not self.pipeline.in_flight:
            return False
        self._on_reply(self.runtime.now_ms(), [value, None, None], results)
        return True

    def fail_response(self) -> None:
        """Closes the connection, as an incomplete reply has stalled; the head ends as an error, unless its
        value is whole."""
        self.stall_timer = None
        if self.final_results is None:
            results: list[FinishedAttempt] = []
            self._update_sent()
            if not self._serve_whole_value(results) and self.pipeline.in_flight:
                self._fail_head(self.runtime.now_ms(), results)
            self.close_with(None, Outcome.RESET, "a reply stalled before it was complete")
            assert self.final_results is not None
            self.final_results[:0] = results

    # --- closing -----------------------------------------------------------------------------------------

    def close_with(
        self, cause: PipelinedCommand[PipelinedItem] | None, outcome: Outcome, reason: str
    ) -> None:
        """Closes the connection, for `cause` if given, which then ends with `outcome`.

        The results of all attempts are determined now and reported once the connection is closed.
        """
        if self.final_results is not None:
            return
        self._update_sent()
        outcomes = self.pipeline.close(cause, outcome)
        self.final_results = [FinishedAttempt(item, AttemptResult(found)) for item, found in outcomes]
        if len(outcomes) > 1:
            log.info(
                "aborting connection %d to %s with %d attempts: %s",
                self.connection_id,
                self.pool.address,
                len(outcomes),
                reason,
            )
        self.runtime.counts[ABORT_COUNT] += 1
        self._retire(has_failed=bool(outcomes))
        if self.is_up:
            self.abort()
        else:
            if self.connect_task is not None:
                self.connect_task.cancel()
                self.connect_task = None
            self._report_results()

    def connection_lost(self, exc: Exception | None) -> None:
        """Determines the results of all attempts, and reports them once the socket is closed."""
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        if self.send_deadline_timer is not None:
            self.send_deadline_timer.cancel()
        self.pool.remove_connection(self)
        if self.final_results is None:
            # The operating system does not tell how much it had sent: everything written may have been.
            self.pipeline.update_sent(0)
            results: list[FinishedAttempt] = []
            self._serve_whole_value(results)
            outcomes = self.pipeline.close()
            results += [FinishedAttempt(item, AttemptResult(found)) for item, found in outcomes]
            self.final_results = results
            self._retire(has_failed=bool(outcomes))
        # uvloop closes the socket only after this call; see `Connection.connection_lost`.
        self.loop.call_soon(self._report_results)

    def _report_results(self) -> None:
        """Reports the results of all attempts, now that the connection is closed."""
        results, self.final_results = self.final_results or [], []
        for attempt, result in results:
            attempt.finish(result)
        self.pool.place_next_waiting()

    def _retire(self, has_failed: bool) -> None:
        """Makes the connection unavailable; `has_failed`: attempts were on it when it closed."""
        if self.connect_timer is not None:
            self.connect_timer.cancel()
        self.pool.retire(self.connection_id)
        self.runtime.scheduler.on_closed(self.connection_id, has_failed)
