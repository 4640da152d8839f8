"""Adaptive pipelining depth: limits how many attempts may share a connection to one server.

The gradient algorithm of Netflix's concurrency-limits (`Gradient2Limit`, after TCP Vegas): the limit is
multiplied by the ratio of expected to observed response time of queued attempts, plus some headroom to grow;
failures halve it. It limits sharing only: the decision engine decides how many attempts a server gets.
"""

from __future__ import annotations

import math

TOLERATED_SLOWDOWN = 1.5  # ratio of observed to expected response time
MAX_SLOWDOWN_SAMPLE = 8.0  # a higher ratio counts as this
LIMIT_SMOOTHING = 0.2  # share of the way to its target that the limit moves in one update
SLOWDOWN_SMOOTHING = 0.25  # weight of one reply in the moving average
SAMPLES_PER_UPDATE = 8  # replies
MIN_GRADIENT = 0.5  # a lower gradient counts as this
REDUCED_HEADROOM = 0.5  # applies while the gradient is below 1; the full one would undo a small reduction
RECOVERY_STEP = 0.25  # attempts by which `SAMPLES_PER_UPDATE` healthy replies raise a low limit
MIN_SHARED_LIMIT = 2.0  # below this limit no attempt is queued behind another


class DepthLimit:
    """The limit for one server, between 1 and `max_depth`. `initial` defaults to half of `max_depth`."""

    __slots__ = ("healthy_replies", "limit", "max_depth", "queued_replies", "slowdown")

    def __init__(self, max_depth: int, initial: float | None = None) -> None:
        self.max_depth = max(1, max_depth)
        start = initial if initial is not None else self.max_depth / 2.0
        self.limit = min(float(self.max_depth), max(1.0, start))
        self.slowdown = 1.0  # moving average over queued attempts
        self.queued_replies = 0  # replies to queued attempts since the last update
        self.healthy_replies = 0  # consecutive replies without slowdown to attempts that were not queued

    def attempts(self) -> int:
        """Returns the limit rounded down to whole attempts."""
        return int(self.limit)

    def on_reply(self, slowdown: float, was_queued: bool) -> None:
        """Updates the limit on a reply.

        `slowdown`: ratio of observed to expected response time. `was_queued`: the attempt was placed behind
        another one.
        """
        if was_queued:
            sample = min(slowdown, MAX_SLOWDOWN_SAMPLE)
            self.slowdown += SLOWDOWN_SMOOTHING * (sample - self.slowdown)
            self.queued_replies += 1
            if self.queued_replies >= SAMPLES_PER_UPDATE:
                self._update()
        else:
            self._recover(slowdown)

    def on_failure(self) -> None:
        """Halves the limit after a connection stalled, timed out or broke."""
        self.limit = max(1.0, self.limit / 2.0)
        self.queued_replies = self.healthy_replies = 0

    def _recover(self, slowdown: float) -> None:
        """Raises a limit below `MIN_SHARED_LIMIT`, where no attempts are queued, on healthy replies alone."""
        self.healthy_replies = self.healthy_replies + 1 if slowdown < TOLERATED_SLOWDOWN else 0
        if self.healthy_replies >= SAMPLES_PER_UPDATE and self.limit < MIN_SHARED_LIMIT:
            self.limit = min(float(self.max_depth), self.limit + RECOVERY_STEP)
            self.slowdown, self.healthy_replies = 1.0, 0

    def _update(self) -> None:
        """Applies one step of the gradient algorithm."""
        self.queued_replies = 0
        gradient = max(MIN_GRADIENT, min(1.0, TOLERATED_SLOWDOWN / max(self.slowdown, 1e-6)))
        target = self.limit * gradient + math.sqrt(self.limit)
        if gradient < 1.0:
            target = min(target, self.limit * gradient + REDUCED_HEADROOM)
        self.limit = max(
            1.0, min(float(self.max_depth), self.limit + LIMIT_SMOOTHING * (target - self.limit))
        )
