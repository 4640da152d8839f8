"""An attempt on a connection of its own, with a hedged connect if that is slow to come up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from glenchute.core.types import AttemptResult
from glenchute.policy.events import Outcome

from .attempt import BaseAttempt
from .connection import Connection
from .connection_pool import ConnectionPool


class ExclusiveAttempt(BaseAttempt):
    """One request on a connection without other attempts."""

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
        self.result: AttemptResult | None = None  # set while the connection closes for a reason of ours
        self.conn: Connection | None = None
        self.connects: set[asyncio.Task[None]] = set()  # one, or two if it was hedged
        self.connect_timer: asyncio.TimerHandle | None = None
        self.hedge_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Writes on an idle connection if there is one, otherwise opens one."""
        tracker = self.pool.tracker
        self.timer = tracker.loop.call_at(self.expires_at, self.stop, Outcome.TIMEOUT)
        conn = self.pool.take()
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
        """Begins to open a connection."""
        conn = Connection(self.pool)
        self.connects.add(self.pool.tracker.start_connect(conn, self._connect(conn)))

    def _on_connect_late(self) -> None:
        """The connection has not come up: uses one that has become idle, or opens a second one.

        No second one is opened to a server that drains, and no idle connection is closed for it.
        """
        pool, tracker = self.pool, self.pool.tracker
        self.hedge_timer = None
        if pool.stop_at is not None:
            return
        conn = pool.take()
        if conn is not None:
            self.write(conn)
        elif tracker.connection_count() < tracker.max_connections() and pool.hedge_budget.try_withdraw():
            tracker.hedged_connects += 1
            self._open()

    async def _connect(self, conn: Connection) -> None:
        """Opens a connection. The first that comes up carries the request."""
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
            pool.forget(conn)  # when cancelled as it came up, `connection_lost` is not called
            tracker.connect_times.record_abandoned(tracker.loop.time() - began)
            raise
        self.connects.discard(task)
        tracker.connect_times.record_connected(tracker.loop.time() - began)
        pool.hedge_budget.deposit()
        if pool.stop_at is not None and tracker.loop.time() > pool.stop_at:
            conn.abort()  # the grace period ended while this connection came up
            self.finish(AttemptResult(Outcome.UNREACHABLE))
        else:
            self.write(conn)

    def write(self, conn: Connection) -> None:
        """Writes the command; from here on the request may have run."""
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
        """No connection came up, or none in time."""
        self.finish(AttemptResult(Outcome.UNREACHABLE))

    def _cancel_connects(self) -> None:
        """Cancels all connects that have not come up."""
        for timer in (self.connect_timer, self.hedge_timer):
            if timer is not None:
                timer.cancel()
        self.connect_timer = self.hedge_timer = None
        connects, self.connects = self.connects, set()
        for task in connects:
            task.cancel()

    def stop(self, ending: Outcome) -> None:
        """A timeout or a cancellation. The result is reported once the connection is closed."""
        if self.is_finished or self.result is not None:
            return
        if self.conn is None:
            # Nothing was written, so it did not run. A cancellation says nothing of the server either.
            self.finish(AttemptResult(Outcome.UNREACHABLE if ending is Outcome.TIMEOUT else Outcome.NOT_SENT))
        else:
            if ending is Outcome.TIMEOUT:
                # The server's machine may have vanished, and reset what it finds open once it is back.
                # Requests on its other idle connections would then end as reset though they never ran.
                self.pool.close_idle(self.started_at)
            self.result = AttemptResult(ending)
            self.conn.abort()

    def release(self) -> None:
        """Gives back what the attempt holds."""
        super().release()
        self._cancel_connects()
        self.conn = None
