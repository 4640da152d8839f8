"""Limit on how long a request may wait for its service's turn before it is rejected. No I/O; times are
milliseconds."""

from __future__ import annotations

import math

STANDING_LIMIT_MS = 5.0  # longest wait in a standing queue
BURST_LIMIT_MS = 100.0  # longest wait in a queue that holds a burst


class QueueDelayLimit:
    """Controlled delay as in Maurer, "Fail at Scale" (ACM Queue, 2015).

    A queue that was empty within the last `burst_ms` holds a burst, whose requests may wait `burst_ms`. Any
    other is a standing queue: a request that has waited `standing_ms` in it is rejected at once, as its
    response would be too late for the client anyway."""

    __slots__ = ("burst_ms", "empty_at_ms", "standing_ms")

    def __init__(self, standing_ms: float = STANDING_LIMIT_MS, burst_ms: float = BURST_LIMIT_MS) -> None:
        self.standing_ms, self.burst_ms = standing_ms, burst_ms
        self.empty_at_ms = -math.inf

    def note_empty(self, now_ms: float) -> None:
        """Records that the queue is empty at `now_ms`."""
        self.empty_at_ms = now_ms

    def must_reject(self, now_ms: float, waited_ms: float) -> bool:
        """Returns whether a request that has waited for `waited_ms` is rejected instead of served."""
        is_standing = now_ms - self.empty_at_ms > self.burst_ms
        return waited_ms > (self.standing_ms if is_standing else self.burst_ms)
