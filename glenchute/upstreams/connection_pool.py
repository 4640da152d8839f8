"""The connections to one server, with the most recently used idle one taken first.

So the extra connections of a burst become idle, and are closed before the server would close them under a
request.
"""

from __future__ import annotations

from glenchute.core.types import Address
from glenchute.policy.connections.hedged_connects import HedgeBudget

from .connection import Connection
from .connection_tracker import ConnectionTracker

GRACE_MARGIN_S = 0.05  # a write this close to the end of a drain's grace period might be sent after it
REUSE_DELAY_S = 0.03  # surplus bytes or the server's close may follow a response within this time


class ConnectionPool:
    """The open connections to one server. Times are the loop's, in seconds."""

    __slots__ = ("address", "hedge_budget", "idle", "open", "stop_at", "tracker")

    def __init__(self, tracker: ConnectionTracker, address: Address) -> None:
        self.tracker = tracker
        self.address = address
        self.idle: list[Connection] = []  # in order of their last use
        self.open: set[Connection] = set()
        self.hedge_budget = HedgeBudget()
        self.stop_at: float | None = None  # nothing is written after this: the server drains or was removed

    def take(self) -> Connection | None:
        """Removes and returns the most recently used idle connection that can be trusted, if any.

        One that is too old may be about to be closed by the server, one that is too new may still receive
        surplus bytes of its last response; a command written there would be reset or get the wrong response.
        """
        now = self.tracker.loop.time()
        for index in range(len(self.idle) - 1, -1, -1):
            conn = self.idle[index]
            if now - conn.idle_since < REUSE_DELAY_S:
                continue
            del self.idle[index]
            if conn.transport is None or conn.transport.is_closing():
                continue
            if now - conn.idle_since < self.tracker.limits.max_idle_s:
                return conn
            conn.abort()
        return None

    def give_back(self, conn: Connection) -> None:
        """Keeps a connection whose response is complete, unless the server is stopping."""
        if self.stop_at is not None or conn.transport is None or conn.transport.is_closing():
            conn.abort()
            return
        conn.idle_since = self.tracker.loop.time()
        self.idle.append(conn)

    def on_connected(self, conn: Connection) -> None:
        """A connection is up."""
        self.tracker.connecting.discard(conn)
        self.open.add(conn)
        self.tracker.active_pools.add(self)

    def forget(self, conn: Connection) -> None:
        """A connection is closed."""
        self.open.discard(conn)
        if not self.open:
            self.tracker.active_pools.discard(self)
        if conn in self.idle:
            self.idle.remove(conn)

    def close_longest_idle(self) -> None:
        """Closes the idle connection that was used the longest ago; there must be one."""
        self.idle.pop(0).abort()

    def close_idle(self, before: float | None = None) -> None:
        """Closes idle connections: all, or those not used since `before`."""
        kept = [] if before is None else [conn for conn in self.idle if conn.idle_since > before]
        closing = [conn for conn in self.idle if conn not in kept]
        self.idle = kept
        for conn in closing:
            conn.abort()

    def stop(self) -> None:
        """The server drains or was removed: the grace period runs from the first report of it."""
        if self.stop_at is None:
            grace_s = self.tracker.limits.drain_grace_s
            self.stop_at = self.tracker.loop.time() + grace_s - GRACE_MARGIN_S
        self.close_idle()
