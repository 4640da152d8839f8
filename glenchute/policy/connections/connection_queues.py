"""The attempts on each pipelined connection, by server. Times are in milliseconds."""

from __future__ import annotations

import math
from collections import deque

from .depth_limit import DepthLimit
from .pipeline_types import PlacementRequest

INITIAL_CONNECT_MS = 5.0  # estimated connect time before the first connection is established
CONNECT_SMOOTHING = 0.2  # weight of the newest connect time in the moving average


class QueuedAttempt:
    """An attempt on a connection.

    `sent_at_ms`: when it was sent, or the expected time while the connection is being established.
    `hold_bound_ms`: the time by which it becomes the head or its connection is closed; inf for an attempt
    that was placed as the head. `was_queued`: whether it was placed behind others.
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
    """One connection and its attempts, the head first."""

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
        self.is_marked_stalled = False  # no attempt joins until the head has its reply
        self.check_at_ms = math.inf  # time of the next check for a stalled head or an expired hold bound

    def abort_by_ms(self) -> float:
        """Returns when to abort the connection for its queued attempts if the head is still unfinished.

        inf if nothing is queued. A head that times out before the bound needs no abort; any other must be
        aborted while it may still be retried.
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
        self.connect_ms = INITIAL_CONNECT_MS  # exponential moving average
        self.is_draining = False  # while set, no new attempt is placed here

    def queued_count(self) -> int:
        """Returns the number of attempts that are queued behind another."""
        return sum(len(c.attempts) - 1 for c in self.connections.values() if len(c.attempts) > 1)

    def record_connect(self, connect_ms: float) -> None:
        """Updates the average connect time with that of a new connection."""
        self.connect_ms += CONNECT_SMOOTHING * (connect_ms - self.connect_ms)
