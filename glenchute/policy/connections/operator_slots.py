"""The few connection slots of the operations address, and which connection is closed when they are all taken.

A request there is short, so a connection that has not finished one gives way to a newcomer, the oldest first:
clients that connect and send nothing cannot keep out one that does. No I/O; times are seconds of one
monotonic clock. Property tests hold that there are at most `max_connections` and that every connection times
out.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

Connection = TypeVar("Connection", bound=Hashable)


class OperatorSlots(Generic[Connection]):
    """The open connections of one address, oldest first."""

    def __init__(self, max_connections: int, timeout_s: float) -> None:
        """`timeout_s`: how long a connection may stay. ValueError unless both are positive."""
        if max_connections < 1 or timeout_s <= 0:
            raise ValueError("operator slots need a positive number of connections and a positive timeout")
        self.max_connections, self.timeout_s = max_connections, timeout_s
        self.opened_at: OrderedDict[Connection, float] = OrderedDict()

    def add(self, now: float, connection: Connection) -> list[Connection]:
        """Adds a connection; returns those that are to be closed for it, already removed."""
        self.opened_at[connection] = now
        excess = len(self.opened_at) - self.max_connections
        return [self.opened_at.popitem(last=False)[0] for _ in range(excess)] if excess > 0 else []

    def remove(self, connection: Connection) -> None:
        """A connection has been closed."""
        self.opened_at.pop(connection, None)

    def remove_expired(self, now: float) -> list[Connection]:
        """Removes and returns the connections whose time is up."""
        expired = []
        while self.opened_at and now - next(iter(self.opened_at.values())) >= self.timeout_s:
            expired.append(self.opened_at.popitem(last=False)[0])
        return expired
