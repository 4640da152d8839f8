"""An attempt on an exclusive connection, with a hedged connect if a new connection is slow to open."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from glenchute.core.types import AttemptResult
from glenchute.policy.events import Outcome

from .attempt import BaseAttempt
from .connection import Connection
from .connection_pool import ConnectionPool


class ExclusiveAttempt(BaseAttempt):
    """One request on a connection that carries no other attempt meanwhile."""

    __slots__ = ("conn", "connect_timer", "connects", "hedge_timer", "pool", "result")

    def __init__(
        self,
        pool: ConnectionPool,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
    ) -> None:
        super().__init__(pool.tracker.loop, payload, timeout_s, done, write_by)
        self.pool = pool
        self.result: AttemptResult | None = None  # set when the gateway itself closes the connection
        self.conn: Connection | None = None
        self.connects: set[asyncio.Task[None]] = set()  # pending connects: one, or two if it was hedged
        self.connect_timer: asyncio.TimerHandle | None = None
        self.hedge_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Writes the command to an idle connection if there is one, otherwise opens a connection."""
        tracker = self.pool.tracker
        self.timer = tracker.loop.call_at(self.expires_at, self.stop, Outcome.TIMEOUT)
        conn = self.pool.acquire()
        if conn is not None:
            self.write(conn)
        elif not tracker.make_room():
            self.finish(AttemptResult(Outcome.NO_CONNECTION))
        else:
            self._open()
            connect_timeout_s = tracker.limits.connect_timeout_s
            self.connect_timer = tracker.loop.call_later(connect_timeout_s, self._on_connect_failed)
            available_s = min(connect_timeout_s, self.expires_at - self.started_at)
            hedge_delay_s = tracker.connect_times.hedge_delay_s(available_s)
            if hedge_delay_s is not None:
                self.hedge_timer = tracker.loop.call_later(hedge_delay_s, self._on_connect_late)

    def _open(self) -> None:
        """Starts to open a connection."""
        conn = Connection(self.pool)
        self.connects.add(self.pool.tracker.start_connect(conn, self._connect(conn)))

    def _on_connect_late(self) -> None:
        """Hedges a connect that takes long: uses a connection that has become idle, or opens a second one.

        No second one is opened to a server that drains, and no idle connection is closed to make room for it.
        """
        pool, tracker = self.pool, self.pool.tracker
        self.hedge_timer = None
        if pool.stop_at is not None:
            return
        conn = pool.acquire()
        if conn is not None:
            self.write(conn)
        elif tracker.connection_count() < tracker.max_connections() and pool.hedge_budget.try_withdraw():
            tracker.hedged_connects += 1
            self._open()

    async def _connect(self, conn: Connection) -> None:
        """Opens a connection. The first one that is established carries the request."""
        pool, tracker = self.pool, self.pool.tracker
        host, port = pool.address
        task, began = asyncio.current_task(), tracker.loop.time()
        assert task is not None
        try:
            await tracker.loop.create_connection(lambda: conn, host, port)
        except OSError:
            self.connects.discard(task)
            if not self.connects and not self.is_written:
                self._on_connect_failed()
            return
        except asyncio.CancelledError:
            # `connection_lost` is not called if this is cancelled just as the connect completes.
            pool.remove_connection(conn)
            tracker.connect_times.record_abandoned(tracker.loop.time() - began)
            raise
        self.connects.discard(task)
        tracker.connect_times.record_connected(tracker.loop.time() - began)
        pool.hedge_budget.deposit()
        if pool.stop_at is not None and tracker.loop.time() > pool.stop_at:
            conn.abort()  # the grace period ended while this connection was being opened
            self.finish(AttemptResult(Outcome.UNREACHABLE))
        else:
            self.write(conn)

    def write(self, conn: Connection) -> None:
        """Writes the command; from then on the request may have run."""
        self._cancel_connects()
        if self.is_wanted is not None and not self.is_wanted():
            conn.abort()
            return
        now = self.pool.tracker.loop.time()
        left_ms = int(1000.0 * (self.expires_at - now))
        is_late = left_ms < 1 or now > self.write_by
        if is_late or conn.transport is None or conn.transport.is_closing():
            conn.abort()
            self.finish(AttemptResult(Outcome.NOT_SENT if is_late else Outcome.UNREACHABLE))
            return
        self.conn, self.is_written = conn, True
        conn.attempt = self
        conn.transport.write(self.payload(left_ms))

    def _on_connect_failed(self) -> None:
        """Ends the attempt: no connection could be opened, or none in time."""
        self.finish(AttemptResult(Outcome.UNREACHABLE))

    def _cancel_connects(self) -> None:
        """Cancels all pending connects."""
        for timer in (self.connect_timer, self.hedge_timer):
            if timer is not None:
                timer.cancel()
        self.connect_timer = self.hedge_timer = None
        connects, self.connects = self.connects, set()
        for task in connects:
            task.cancel()

    def stop(self, outcome: Outcome) -> None:
        """Ends the attempt at a timeout or a cancellation.

        Where something was written, the result is reported once the connection is closed.
        """
        if self.is_finished or self.result is not None:
            return
        if self.conn is None:
            # Nothing was written, so the request did not run. Unlike a timeout, a cancellation is no evidence
            # against the server.
            self.finish(
                AttemptResult(Outcome.UNREACHABLE if outcome is Outcome.TIMEOUT else Outcome.NOT_SENT)
            )
        else:
            self.result = AttemptResult(outcome)
            if outcome is Outcome.TIMEOUT and (served := self.conn.whole_value_result()) is not None:
                self.result = served
            elif outcome is Outcome.TIMEOUT:
                # The server's host may have failed, and may reset its old connections once it has restarted.
                # Requests on other idle connections to it would then end as RESET though they never ran.
                self.pool.close_idle(self.started_at)
            self.conn.abort()

    def release(self) -> None:
        """Cancels the timers and pending connects, and drops the connection."""
        super().release()
        self._cancel_connects()
        self.conn = None
