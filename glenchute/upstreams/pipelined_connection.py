"""A connection to a server on which several attempts may be queued, answered in order.

Commands that are queued in one iteration of the event loop are written together at its end, so that no timer
delays any. Bytes are handed to the transport only while its buffer is empty, so that after a break only one
batch may have been sent in part. A break that the operating system reports says nothing of how much had been
sent: all that was written may have been. Where the gateway itself closes, the transport's buffer is asked
first.
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

from .connection import Connection, ConnectionOwner
from .pipeline_runtime import ABORT_COUNT, COMMAND_COUNT, WRITE_COUNT, PipelineRuntime
from .responses import RESPONSE_STALL_S, result_of

log = logging.getLogger("glenchute")


class PipelinedItem(Protocol):
    """An attempt, as its connection needs it."""

    is_written: bool

    @property
    def attempt_id(self) -> int:
        """The attempt's number on this connection."""

    @property
    def payload(self) -> Callable[[int], bytes]:
        """The command's bytes for the time left, in milliseconds."""

    @property
    def is_wanted(self) -> Callable[[], bool] | None:
        """Whether its client still waits, where that can be asked."""

    @property
    def is_finished(self) -> bool:
        """Whether its result is known."""

    @property
    def expires_at(self) -> float:
        """Loop time, in seconds, of its timeout."""

    @property
    def write_by(self) -> float:
        """Loop time, in seconds, after which not a byte may be written; 0.0: none."""

    def stop_unless_written(self) -> None:
        """Ends the attempt if nothing of it has been written."""

    def finish(self, result: AttemptResult) -> None:
        """Ends it, once."""


class PipelinedOwner(ConnectionOwner, Protocol):
    """The pool of a pipelined connection, as far as the connection needs it."""

    @property
    def runtime(self) -> PipelineRuntime:
        """What the pools of all servers share."""

    @property
    def address(self) -> Address:
        """The server's address."""

    @property
    def stop_at(self) -> float | None:
        """Loop time, in seconds, from which nothing is written to the server; None: it takes work."""

    def mark_busy(self, conn: PipelinedConnection) -> None:
        """The connection has a command in flight."""

    def retire(self, connection_id: int) -> None:
        """The connection takes no more commands."""

    def place_next_waiting(self) -> None:
        """Places the attempt that has waited longest."""


class FinishedAttempt(NamedTuple):
    """The result of one attempt, to be reported."""

    attempt: PipelinedItem
    result: AttemptResult


class PipelinedConnection(Connection):
    """One connection with a pipeline of attempts."""

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
        # Set when the gateway closes the connection; reported when it is closed.
        self.final_results: list[FinishedAttempt] | None = None
        self.is_up = False
        self.is_buffer_full = False  # some written bytes have not been sent
        self.is_flush_scheduled = False
        self.connect_task: asyncio.Task[None] | None = None
        self.connect_timer: asyncio.TimerHandle | None = None
        self.send_deadline_timer: asyncio.TimerHandle | None = None

    @property
    def runtime(self) -> PipelineRuntime:
        """The scheduler and its timer."""
        return self.pool.runtime

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop."""
        return self.pool.tracker.loop

    def is_usable(self) -> bool:
        """Whether an attempt may still join."""
        if self.final_results is not None:
            return False
        return not self.is_up or (self.transport is not None and not self.transport.is_closing())

    # --- connecting --------------------------------------------------------------------------------------

    async def connect(self) -> None:
        """Opens the connection and writes what has been queued; if it fails, nothing of that was sent."""
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
            self.abort()  # came up too late
            return
        self.is_up = True
        self.runtime.scheduler.on_connected(self.runtime.now_ms(), self.connection_id)
        self.give_back_if_idle()
        self._flush()
        self.runtime.schedule_check()

    def on_connect_failed(self) -> None:
        """The connection was refused or did not come up in time."""
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
        """The connection is up."""
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=0)  # `pause_writing` as soon as anything is buffered

    # --- writing -----------------------------------------------------------------------------------------

    def join(self, attempt: PipelinedItem) -> PipelinedCommand[PipelinedItem]:
        """Queues an attempt; its command is written at the end of the loop's iteration."""
        self.pool.mark_busy(self)
        command = self.pipeline.append(attempt, b"")
        self._schedule_flush()
        return command

    def _schedule_flush(self) -> None:
        """Commands wait to be written."""
        if self.is_up and not self.is_flush_scheduled and not self.is_buffer_full:
            self.is_flush_scheduled = True
            self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        """Writes the next batch, while the transport's buffer is empty."""
        self.is_flush_scheduled = False
        transport = self.transport
        if not self.is_up or self.is_buffer_full or self.final_results is not None:
            return
        if transport is None or transport.is_closing():
            return
        for command in list(self.pipeline.pending):
            if command.item.is_wanted is not None and not command.item.is_finished:
                command.item.is_wanted()  # withdraws it where it is not
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
            self.give_back_if_idle()

    def _encode_pending(self, now: float) -> list[PipelinedItem]:
        """Makes the commands that are to be written; withdraws and returns those that are too late."""
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
        """Removes an attempt of which nothing was written; False where something was."""
        if not self.pipeline.withdraw(command):
            return False
        now_ms, attempt_id = self.runtime.now_ms(), command.item.attempt_id
        self.runtime.scheduler.on_withdrawn(now_ms, self.connection_id, attempt_id)
        return True

    def give_back_if_idle(self) -> None:
        """Returns the connection to the pool's idle ones if no attempt is left."""
        if self.is_up and not self.pipeline and self.final_results is None:
            self.pool.give_back(self)

    def _update_sent(self) -> None:
        """Learns how much of what was written may have been sent."""
        if self.transport is not None:
            self.pipeline.update_sent(self.transport.get_write_buffer_size())

    def pause_writing(self) -> None:
        """Some bytes are buffered. None may be sent after the server's grace period, nor a keyed command's
        after its idempotency window: the connection is closed before that."""
        self.is_buffer_full = True
        limits = [command.item.write_by for command in self.pipeline.in_flight]
        if self.pool.stop_at is not None:
            limits.append(self.pool.stop_at)
        send_by = min(limits, default=math.inf)
        if send_by < math.inf:
            self.set_send_deadline(send_by)

    def set_send_deadline(self, send_by: float) -> None:
        """Closes the connection at this time if its buffer is still not empty; an earlier call takes
        effect."""
        if self.send_deadline_timer is None:
            self.send_deadline_timer = self.loop.call_at(send_by, self._on_send_deadline)

    def resume_writing(self) -> None:
        """The transport takes bytes again."""
        self.is_buffer_full = False
        if self.send_deadline_timer is not None:
            self.send_deadline_timer.cancel()
            self.send_deadline_timer = None
        self._update_sent()
        if self.pipeline.pending:
            self._schedule_flush()

    def _on_send_deadline(self) -> None:
        """What is buffered may not be sent any more."""
        self.send_deadline_timer = None
        if self.is_buffer_full and self.final_results is None:
            self.close_with(None, Outcome.RESET, "its bytes could no longer leave in time")

    # --- reading -----------------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Bytes have arrived."""
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
            # An attempt that failed may be retried: that too must wait until the connection is closed.
            assert self.final_results is not None
            self.final_results[:0] = [one for one in results if one.result.outcome is not Outcome.OK]
            results = [one for one in results if one.result.outcome is Outcome.OK]
        elif results:
            self.give_back_if_idle()
        for attempt, result in results:
            attempt.finish(result)
        if not fault and results:
            self.pool.place_next_waiting()
        self.runtime.schedule_check()

    def _read_replies(self, now_ms: float, data: bytes, results: list[FinishedAttempt]) -> str:
        """Parses replies and appends their results; why the connection can't go on, or an empty text."""
        fault = ""
        try:
            self.parser.feed(data)
            while not fault and (reply := self.parser.next_message()) is not False:
                fault = self._on_reply(now_ms, reply, results)
        except resp2.ProtocolError:
            fault = "a reply that can't be read"
            if self.pipeline.in_flight:
                self._fail_head(now_ms, results)
        if not fault and self.parser.has_unparsed():
            if not self.pipeline.in_flight:
                return "more than was asked for"
            # A wrong length leaves a reply without an end, on a connection that stays open.
            self.stall_timer = self.loop.call_later(RESPONSE_STALL_S, self.fail_response)
        return fault

    def _on_reply(self, now_ms: float, reply: object, results: list[FinishedAttempt]) -> str:
        """A complete reply; why the connection can't go on after it, or an empty text."""
        matched = self.pipeline.match_reply(now_ms)
        if matched is None:
            return "a reply too many"
        result = result_of(reply)
        if not matched.is_trusted:
            result = AttemptResult(Outcome.ERROR)
        is_ok = result.outcome is Outcome.OK
        self.runtime.scheduler.on_reply(now_ms, self.connection_id, is_ok)
        if matched.command.is_cancelled:
            result = AttemptResult(Outcome.CANCELLED, is_connection_reusable=result.is_connection_reusable)
        results.append(FinishedAttempt(matched.command.item, result))
        if not matched.is_trusted:
            return "a reply that may be another's"
        return "" if result.is_connection_reusable else "a reply of no known form"

    def _fail_head(self, now_ms: float, results: list[FinishedAttempt]) -> None:
        """The reply to the head is invalid, but the request may have run."""
        command = self.pipeline.in_flight[0]
        if self.pipeline.may_be_sent(command):
            self.pipeline.in_flight.popleft()
            self.runtime.scheduler.on_reply(now_ms, self.connection_id, is_ok=False)
            outcome = Outcome.CANCELLED if command.is_cancelled else Outcome.ERROR
            results.append(FinishedAttempt(command.item, AttemptResult(outcome)))

    def fail_response(self) -> None:
        """A reply has begun and does not go on."""
        self.stall_timer = None
        if self.final_results is None:
            results: list[FinishedAttempt] = []
            self._update_sent()
            if self.pipeline.in_flight:
                self._fail_head(self.runtime.now_ms(), results)
            self.close_with(None, Outcome.RESET, "an answer that stopped midway")
            assert self.final_results is not None
            self.final_results[:0] = results

    # --- closing -----------------------------------------------------------------------------------------

    def close_with(
        self, cause: PipelinedCommand[PipelinedItem] | None, outcome: Outcome, reason: str
    ) -> None:
        """The gateway closes the connection, for `cause` with its `outcome` if there is one.

        The results of all attempts are determined now and reported once the connection is closed.
        """
        if self.final_results is not None:
            return
        self._update_sent()
        outcomes = self.pipeline.close(cause, outcome)
        self.final_results = [FinishedAttempt(item, AttemptResult(found)) for item, found in outcomes]
        if len(outcomes) > 1:
            log.info(
                "line %d to %s with %d attempts is cut: %s",
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
        """The connection has ended."""
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        if self.send_deadline_timer is not None:
            self.send_deadline_timer.cancel()
        self.pool.remove_connection(self)
        if self.final_results is None:
            # The operating system does not say how much it had sent: all that was written may have been.
            self.pipeline.update_sent(0)
            outcomes = self.pipeline.close()
            self.final_results = [FinishedAttempt(item, AttemptResult(found)) for item, found in outcomes]
            self._retire(has_failed=bool(outcomes))
        # uvloop closes the socket only after this call; see `Connection.connection_lost`.
        self.loop.call_soon(self._report_results)

    def _report_results(self) -> None:
        """The connection is closed."""
        results, self.final_results = self.final_results or [], []
        for attempt, result in results:
            attempt.finish(result)
        self.pool.place_next_waiting()

    def _retire(self, has_failed: bool) -> None:
        """Nothing is placed here any more."""
        if self.connect_timer is not None:
            self.connect_timer.cancel()
        self.pool.retire(self.connection_id)
        self.runtime.scheduler.on_closed(self.connection_id, has_failed)
