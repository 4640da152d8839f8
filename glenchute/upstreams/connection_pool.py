"""The connection pool of one server, which reuses the most recently used idle connection first (LIFO).

The additional connections of a burst thus stay idle, and are closed before the server would close them while
a request is being sent.
"""

from __future__ import annotations

import time

from glenchute.core.types import Address
from glenchute.policy.connections.hedged_connects import HedgeBudget

from .connection import Connection
from .connection_tracker import ConnectionTracker

# A write this close to the end of a drain's grace period may be sent only after it.
GRACE_MARGIN_S = 0.05
REUSE_DELAY_S = 0.03  # after a response, surplus bytes or the server's close may still follow it


class ConnectionPool:
    """The open connections to one server. Times are loop times, in seconds."""

    __slots__ = ("address", "hedge_budget", "idle", "open", "stop_at", "tracker")

    def __init__(self, tracker: ConnectionTracker, address: Address) -> None:
        self.tracker = tracker
        self.address = address
        self.idle: list[Connection] = []  # by their last use, the longest idle first
        self.open: set[Connection] = set()
        self.hedge_budget = HedgeBudget()
        # Set when the server drains or was removed: nothing is written after this time.
        self.stop_at: float | None = None

    def acquire(self) -> Connection | None:
        """Removes and returns the most recently used idle connection that is safe to reuse, if any.

        The server may be closing one that has been idle for too long, and one that became idle just now may
        still receive surplus bytes of its last response: a command written there would be reset or be given
        the wrong response. The same holds if the kernel has received either and the loop has not read it yet.
        """
        now = self.tracker.loop.time()
        for index in range(len(self.idle) - 1, -1, -1):
            conn = self.idle[index]
            if now - conn.idle_since < REUSE_DELAY_S:
                continue
            del self.idle[index]
            if conn.transport is None or conn.transport.is_closing():
                continue
            if now - conn.idle_since < self.tracker.limits.max_idle_s and not conn.has_unread_input():
                return conn
            conn.abort()
        return None

    def release(self, conn: Connection) -> None:
        """Keeps a connection as idle after its response, unless the server drains or was removed."""
        if self.stop_at is not None or conn.transport is None or conn.transport.is_closing():
            conn.abort()
            return
        # The loop's own time is that at which its present iteration began, perhaps long before the response.
        conn.idle_since = time.monotonic()
        self.idle.append(conn)

    def on_connected(self, conn: Connection) -> None:
        """Registers an established connection."""
        self.tracker.connecting.discard(conn)
        self.open.add(conn)
        self.tracker.active_pools.add(self)

    def remove_connection(self, conn: Connection) -> None:
        """Removes a closed connection."""
        self.open.discard(conn)
        if not self.open:
            self.tracker.active_pools.discard(self)
        if conn in self.idle:
            self.idle.remove(conn)

    def close_longest_idle(self) -> None:
        """Closes the connection that has been idle for longest, for another one; there must be an idle one.

        It does not count as open any more: its socket is closed before that of a connect that starts now is
        created.
        """
        conn = self.idle.pop(0)
        conn.abort()
        self.remove_connection(conn)

    def close_idle(self, before: float | None = None) -> None:
        """Closes idle connections: all, or those not used since `before` (loop time)."""
        kept = [] if before is None else [conn for conn in self.idle if conn.idle_since > before]
        closing = [conn for conn in self.idle if conn not in kept]
        self.idle = kept
        for conn in closing:
            conn.abort()

    def stop(self) -> None:
        """Stops new work, as the server drains or was removed.

        The grace period begins at the first call; later calls do not extend it.
        """
        if self.stop_at is None:
            grace_s = self.tracker.limits.drain_grace_s
            self.stop_at = self.tracker.loop.time() + grace_s - GRACE_MARGIN_S
        self.close_idle()
