"""Schedules checks of pipelined connections for a stalled head or an expired hold bound."""

from __future__ import annotations

import heapq
import math
from collections.abc import Mapping

from .connection_queues import ConnectionQueue

# The heap is rebuilt once it exceeds `COMPACT_MIN_ENTRIES` plus `COMPACT_ENTRIES_PER_CONNECTION` for each
# connection.
COMPACT_MIN_ENTRIES = 64
COMPACT_ENTRIES_PER_CONNECTION = 4


class CheckSchedule:
    """A heap of check times with lazy deletion, in milliseconds.

    An entry is valid while its time equals its connection's `check_at_ms`. Stale entries are skipped when
    they reach the top, and the heap is rebuilt when they prevail, so its size is bounded.
    """

    def __init__(self, connections: Mapping[int, ConnectionQueue]) -> None:
        self.connections = connections
        self.heap: list[tuple[float, int]] = []  # time, connection id

    def schedule(self, connection: ConnectionQueue, at_ms: float) -> None:
        """Replaces the connection's check time; inf cancels the check."""
        if at_ms == connection.check_at_ms:
            return
        connection.check_at_ms = at_ms
        if at_ms < math.inf:
            heapq.heappush(self.heap, (at_ms, connection.connection_id))
            if len(self.heap) > COMPACT_MIN_ENTRIES + COMPACT_ENTRIES_PER_CONNECTION * len(self.connections):
                self._compact()

    def next_check_ms(self) -> float:
        """Returns the earliest check time, or inf if no check is scheduled."""
        while self.heap:
            at_ms, connection_id = self.heap[0]
            connection = self.connections.get(connection_id)
            if connection is not None and connection.check_at_ms == at_ms:
                return at_ms
            heapq.heappop(self.heap)
        return math.inf

    def pop(self) -> ConnectionQueue:
        """Removes the entry whose time `next_check_ms` has just returned, and returns its connection."""
        connection = self.connections[heapq.heappop(self.heap)[1]]
        connection.check_at_ms = math.inf
        return connection

    def _compact(self) -> None:
        """Rebuilds the heap without its stale entries."""
        self.heap = [
            (c.check_at_ms, c.connection_id) for c in self.connections.values() if c.check_at_ms < math.inf
        ]
        heapq.heapify(self.heap)
