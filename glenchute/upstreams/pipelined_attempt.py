"""An attempt on a pipelined connection, which it may share with other attempts."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from glenchute.core.types import AttemptContext, AttemptResult
from glenchute.policy.connections.pipeline_types import (
    UNLIMITED_DEPTH,
    AbortReason,
    Placement,
    PlacementKind,
    PlacementRequest,
    placement_request,
)
from glenchute.policy.connections.pipelined_connection import PipelinedCommand
from glenchute.policy.events import Outcome

from .attempt import BaseAttempt
from .pipelined_connection import PipelinedConnection, PipelinedItem
from .pipelined_pool import PipelinedPool

MAX_WAITING = 1024  # attempts that may wait for a connection, per server
WAIT_MARGIN_S = 0.001  # a timer may fire a little early
ABORT_TEXTS = {
    AbortReason.STALL: "the attempt at its head is stalled",
    AbortReason.HOLD_BOUND: "a queued attempt has reached its hold bound",
}


class PipelinedAttempt(BaseAttempt):
    """One request, placed on a connection by the scheduler; without a `context` it shares no connection."""

    __slots__ = ("attempt_id", "command", "conn", "context", "pool", "wait_timer", "wait_until")

    def __init__(
        self,
        pool: PipelinedPool,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
        context: AttemptContext | None,
    ) -> None:
        super().__init__(pool.tracker.loop, payload, timeout_s, done, write_by)
        self.attempt_id = pool.runtime.new_attempt_id()
        self.pool, self.context = pool, context
        self.conn: PipelinedConnection | None = None
        self.command: PipelinedCommand[PipelinedItem] | None = None
        self.wait_timer: asyncio.TimerHandle | None = None
        # Loop time of the end of its wait for a connection; further placements do not extend it.
        self.wait_until = math.inf

    def start(self) -> None:
        """Starts the timeout and places the attempt on a connection."""
        self.timer = self.pool.tracker.loop.call_at(self.expires_at, self.stop, Outcome.TIMEOUT)
        self._place()

    # --- placement ---------------------------------------------------------------------------------------

    def place_again(self) -> None:
        """Asks for a placement again, as a connection may have become available."""
        if self.wait_timer is not None:
            self.wait_timer.cancel()
        self._place()

    def _place(self) -> None:
        """Places the attempt, repeatedly while the chosen connection turns out to be closing."""
        self.wait_timer = None
        if self.is_finished:
            return
        self.pool.waiting.pop(self.attempt_id, None)
        while not self._try_place():
            pass

    def _try_place(self) -> bool:
        """Asks the scheduler once and executes its placement; False if the chosen connection is closing."""
        pool, scheduler = self.pool, self.pool.runtime.scheduler
        now = pool.tracker.loop.time()
        if now > self.write_by:
            self.finish(AttemptResult(Outcome.NOT_SENT))
            return True
        if pool.stop_at is not None and now > pool.stop_at:
            self.finish(AttemptResult(Outcome.UNREACHABLE))
            return True
        placement = self._ask_scheduler(now)
        if placement.kind is PlacementKind.NONE:
            is_stopping = pool.stop_at is not None
            self.finish(AttemptResult(Outcome.UNREACHABLE if is_stopping else Outcome.NO_CONNECTION))
            return True
        if placement.kind is PlacementKind.WAIT:
            self._wait(now, placement)
            return True
        connection_id = placement.connection_id
        if placement.kind is PlacementKind.OPEN:
            conn = pool.open_connection(connection_id)
            if conn is None:
                scheduler.on_closed(connection_id)
                self.finish(AttemptResult(Outcome.NO_CONNECTION))
                return True
        else:
            conn = pool.by_id.get(connection_id)
            if conn is not None:
                conn.close_if_unread()
            if conn is None or not conn.is_usable():
                scheduler.on_closed(connection_id)
                return False
        self.conn = conn
        if self.context is not None and self.context.on_assigned is not None:
            self.context.on_assigned(f"{pool.server}: {placement.describe(pool.runtime.now_ms())}")
        self.command = conn.join(self)
        return True

    def _ask_scheduler(self, now: float) -> Placement:
        """Asks the scheduler for a placement."""
        pool, runtime = self.pool, self.pool.runtime
        now_ms = 1000.0 * now
        request = self._placement_request(now_ms)
        has_waited = now >= self.wait_until
        placement = runtime.scheduler.place(
            now_ms, pool.server, self.attempt_id, request, pool.tracker.may_open, has_waited
        )
        if placement.kind is PlacementKind.JOIN:
            runtime.schedule_check()
        return placement

    def _placement_request(self, now_ms: float) -> PlacementRequest:
        """Returns the request to the scheduler. An attempt without a known class shares no connection."""
        runtime, context = self.pool.runtime, self.context
        request_class = runtime.classes.get(context.class_name) if context is not None else None
        expires_at_ms = 1000.0 * self.expires_at
        if context is None or request_class is None:
            return PlacementRequest("", expires_at_ms, math.inf, -math.inf, max_depth=1)
        return placement_request(
            request_class,
            mean_ms=runtime.scheduler.times.mean(request_class.name, self.pool.server),
            started_at_ms=now_ms,
            expires_at_ms=expires_at_ms,
            received_at_ms=1000.0 * context.received_at,
            deadline_ms=1000.0 * context.deadline,
            write_by_ms=1000.0 * self.write_by,
            may_retry=context.may_retry,
            max_depth=context.max_depth or UNLIMITED_DEPTH,
        )

    def _wait(self, now: float, placement: Placement) -> None:
        """Waits for a connection, unless `MAX_WAITING` attempts already do."""
        pool = self.pool
        if len(pool.waiting) >= MAX_WAITING:
            self.finish(AttemptResult(Outcome.NO_CONNECTION))
            return
        pool.waiting[self.attempt_id] = self
        if self.wait_until == math.inf:
            self.wait_until = now + pool.runtime.scheduler.rules.max_wait_ms / 1000.0
        until = min(self.wait_until, placement.until_ms / 1000.0)
        wait_s = max(0.0, until - now) + WAIT_MARGIN_S
        self.wait_timer = pool.tracker.loop.call_later(wait_s, self._place)

    # --- actions of the scheduler ------------------------------------------------------------------------

    def on_blocked(self) -> None:
        """Reports to the core that the attempt is behind a stalled head, so that it may be hedged."""
        if self.context is not None:
            self.context.on_stalled()

    def abort_connection(self, connection_id: int, reason: AbortReason) -> None:
        """Aborts the connection for the attempts behind this one, unless this one has left it."""
        if self.conn is not None and self.conn.connection_id == connection_id:
            self.conn.close_with(self.command, Outcome.RESET, ABORT_TEXTS[reason])

    # --- outcome ------------------------------------------------------------------------------------------

    def stop_unless_written(self) -> None:
        """Ends the attempt, as its server drains, unless it has been written meanwhile."""
        if not self.is_finished and not self.is_written:
            self.stop(Outcome.CANCELLED)

    def stop(self, outcome: Outcome) -> None:
        """Ends the attempt at a timeout or a cancellation.

        Where something was written, the result is reported once the connection is closed. If it is cancelled
        while other attempts are on the connection, that stays open: the attempt remains in flight until its
        response has come, which is discarded, and its request gets no other attempt before that.
        """
        if self.is_finished:
            return
        conn, command = self.conn, self.command
        if conn is None or command is None or conn.withdraw(command):
            if conn is not None:
                conn.release_if_idle()
            # Nothing was written, so the request did not run.
            self.finish(
                AttemptResult(Outcome.NOT_SENT if outcome is Outcome.NOT_SENT else Outcome.UNREACHABLE)
            )
        elif outcome is Outcome.CANCELLED and len(conn.pipeline) > 1:
            command.is_cancelled = True
        else:
            if outcome is Outcome.TIMEOUT:
                # The server's host may have failed; see `ExclusiveAttempt.stop`.
                self.pool.close_idle(self.started_at)
            reason = "an attempt timed out" if outcome is Outcome.TIMEOUT else "an attempt was cancelled"
            conn.close_with(command, outcome, reason)

    def release(self) -> None:
        """Cancels the timers, and removes the attempt from the pool's and the runtime's tables."""
        super().release()
        if self.wait_timer is not None:
            self.wait_timer.cancel()
            self.wait_timer = None
        self.pool.waiting.pop(self.attempt_id, None)
        self.pool.runtime.attempts.pop(self.attempt_id, None)
        self.conn = self.command = None
