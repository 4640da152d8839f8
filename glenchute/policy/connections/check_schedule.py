"""When each pipelined connection is to be checked for a stalled head or a reached hold bound."""

from __future__ import annotations

import heapq
import math
from collections.abc import Mapping

from .connection_queues import ConnectionQueue

COMPACT_ABOVE = 64  # heap entries, and ...
COMPACT_PER_CONNECTION = 4  # ... so many more for each connection


class CheckSchedule:
    """A heap of check times. An entry counts while it is its connection's `check_at_ms`; others are stale.

    Bounded: the heap is rebuilt when stale entries prevail.
    """

    def __init__(self, connections: Mapping[int, ConnectionQueue]) -> None:
        self.connections = connections
        self.heap: list[tuple[float, int]] = []  # time, connection id

    def schedule(self, connection: ConnectionQueue, at_ms: float) -> None:
        """Replaces the connection's check time; inf: no check."""
        if at_ms == connection.check_at_ms:
            return
        connection.check_at_ms = at_ms
        if at_ms < math.inf:
            heapq.heappush(self.heap, (at_ms, connection.connection_id))
            if len(self.heap) > COMPACT_ABOVE + COMPACT_PER_CONNECTION * len(self.connections):
                self._compact()

    def next_check_ms(self) -> float:
        """The earliest check time; inf where there is none."""
        while self.heap:
            at_ms, connection_id = self.heap[0]
            connection = self.connections.get(connection_id)
            if connection is not None and connection.check_at_ms == at_ms:
                return at_ms
            heapq.heappop(self.heap)
        return math.inf

    def pop(self) -> ConnectionQueue:
        """Removes the entry whose time `next_check_ms` has just returned; its connection."""
        connection = self.connections[heapq.heappop(self.heap)[1]]
        connection.check_at_ms = math.inf
        return connection

    def _compact(self) -> None:
        """Drops stale entries."""
        self.heap = [
            (c.check_at_ms, c.connection_id) for c in self.connections.values() if c.check_at_ms < math.inf
        ]
        heapq.heapify(self.heap)
