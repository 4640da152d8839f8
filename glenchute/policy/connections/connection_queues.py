"""The attempts that are queued on each pipelined connection, by server. Times are in milliseconds."""

from __future__ import annotations

import math
from collections import deque

from .depth_limit import DepthLimit
from .pipeline_types import PlacementRequest

INITIAL_CONNECT_MS = 5.0  # the estimate until a connection came up
CONNECT_SMOOTHING = 0.2


class QueuedAttempt:
    """An attempt on a connection.

    `sent_at_ms`: when it was sent; while the connection is coming up, when it is expected to be.
    `hold_bound_ms`: it is the head or its connection is closed by then; inf for one placed as the head.
    """

    __slots__ = ("attempt_id", "hold_bound_ms", "is_hedged", "request", "sent_at_ms", "was_queued")

    def __init__(
        self,
        attempt_id: int,
        request: PlacementRequest,
        sent_at_ms: float,
        hold_bound_ms: float,
        was_queued: bool,
    ) -> None:
        self.attempt_id = attempt_id
        self.request = request
        self.sent_at_ms = sent_at_ms
        self.hold_bound_ms = hold_bound_ms
        self.was_queued = was_queued
        self.is_hedged = False


class ConnectionQueue:
    """One connection and the attempts on it, the head first."""

    __slots__ = (
        "attempts",
        "check_at_ms",
        "connect_started_ms",
        "connection_id",
        "idle_since_ms",
        "is_connecting",
        "is_marked_stalled",
        "last_reply_ms",
        "server",
    )

    def __init__(self, connection_id: int, server: ServerQueues, now_ms: float) -> None:
        self.connection_id = connection_id
        self.server = server
        self.attempts: deque[QueuedAttempt] = deque()
        self.is_connecting = True
        self.connect_started_ms = now_ms
        self.idle_since_ms = now_ms
        self.last_reply_ms = -math.inf
        self.is_marked_stalled = False  # nothing joins until the head has been answered
        self.check_at_ms = math.inf  # when it is to be checked for a stall

    def abort_by_ms(self) -> float:
        """When the connection has to be aborted for the queued attempts if the head is still there; inf for
        none.

        A head that times out by then needs no abort; any other must be aborted while it may still be retried.
        """
        bound_ms = min((attempt.hold_bound_ms for attempt in list(self.attempts)[1:]), default=math.inf)
        head = self.attempts[0].request if self.attempts else None
        if head is None or head.expires_at_ms <= bound_ms or head.retry_by_ms == -math.inf:
            return bound_ms
        return min(bound_ms, head.retry_by_ms)


class ServerQueues:
    """The pipelined connections to one server."""

    __slots__ = ("connect_ms", "connections", "depth_limit", "is_draining", "name")

    def __init__(self, name: str, max_depth: int) -> None:
        self.name = name
        self.connections: dict[int, ConnectionQueue] = {}
        self.depth_limit = DepthLimit(max_depth)
        self.connect_ms = INITIAL_CONNECT_MS  # smoothed
        self.is_draining = False  # nothing new is placed here

    def queued_count(self) -> int:
        """Attempts that are queued behind another."""
        return sum(len(c.attempts) - 1 for c in self.connections.values() if len(c.attempts) > 1)

    def record_connect(self, connect_ms: float) -> None:
        """A connection came up after so long."""
        self.connect_ms += CONNECT_SMOOTHING * (connect_ms - self.connect_ms)
