"""The connection slots of the operations address, and which connection is closed when all are taken.

Requests to this address are short, so the oldest unfinished connection is closed for a new one: clients that
connect and send nothing cannot keep others out. There are never more than `max_connections`, and every
connection times out. Sans I/O; times are in seconds of one monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

Connection = TypeVar("Connection", bound=Hashable)


class OperatorSlots(Generic[Connection]):
    """The open connections of one address, oldest first."""

    def __init__(self, max_connections: int, timeout_s: float) -> None:
        """`timeout_s`: how long a connection may stay open. Raises `ValueError` unless both are positive."""
        if max_connections < 1 or timeout_s <= 0:
            raise ValueError("operator slots need a positive number of connections and a positive timeout")
        self.max_connections, self.timeout_s = max_connections, timeout_s
        self.opened_at: OrderedDict[Connection, float] = OrderedDict()

    def add(self, now: float, connection: Connection) -> list[Connection]:
        """Adds a connection; removes and returns those to be closed for it."""
        self.opened_at[connection] = now
        excess = len(self.opened_at) - self.max_connections
        return [self.opened_at.popitem(last=False)[0] for _ in range(excess)] if excess > 0 else []

    def remove(self, connection: Connection) -> None:
        """Removes a connection that was closed."""
        self.opened_at.pop(connection, None)

    def remove_expired(self, now: float) -> list[Connection]:
        """Removes and returns the connections that have timed out."""
        expired = []
        while self.opened_at and now - next(iter(self.opened_at.values())) >= self.timeout_s:
            expired.append(self.opened_at.popitem(last=False)[0])
        return expired
