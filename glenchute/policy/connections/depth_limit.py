"""Adaptive pipelining depth: how many attempts may share a connection to one server.

The gradient algorithm of Netflix's concurrency-limits (`Gradient2Limit`, after TCP Vegas): the limit is
multiplied by the expected over the observed response time of queued attempts, and given some headroom to
grow; failures halve it (AIMD). It limits sharing only; how many attempts a server gets is decided elsewhere.
"""

from __future__ import annotations

import math

TOLERATED_SLOWDOWN = 1.5  # observed over expected response time
MAX_SLOWDOWN_SAMPLE = 8.0
LIMIT_SMOOTHING = 0.2
SLOWDOWN_SMOOTHING = 0.25
SAMPLES_PER_UPDATE = 8
MIN_GRADIENT = 0.5
REDUCED_HEADROOM = 0.5  # while the gradient is below 1: the usual headroom would undo a small reduction
RECOVERY_STEP = 0.25
MIN_SHARED_LIMIT = 2.0  # below this no attempt is queued behind another


class DepthLimit:
    """The limit for one server, always from 1 to `max_depth`. `initial`: half of `max_depth` unless given."""

    __slots__ = ("healthy_replies", "limit", "max_depth", "queued_replies", "slowdown")

    def __init__(self, max_depth: int, initial: float | None = None) -> None:
        self.max_depth = max(1, max_depth)
        start = initial if initial is not None else self.max_depth / 2.0
        self.limit = min(float(self.max_depth), max(1.0, start))
        self.slowdown = 1.0  # of queued attempts, smoothed
        self.queued_replies = 0  # since the last update
        self.healthy_replies = 0  # to attempts that were not queued, in a row

    def attempts(self) -> int:
        """The limit as a number of attempts."""
        return int(self.limit)

    def on_reply(self, slowdown: float, was_queued: bool) -> None:
        """A reply. `slowdown`: observed over expected response time; `was_queued`: it was sent behind another
        attempt."""
        if was_queued:
            sample = min(slowdown, MAX_SLOWDOWN_SAMPLE)
            self.slowdown += SLOWDOWN_SMOOTHING * (sample - self.slowdown)
            self.queued_replies += 1
            if self.queued_replies >= SAMPLES_PER_UPDATE:
                self._update()
        else:
            self._recover(slowdown)

    def on_failure(self) -> None:
        """A connection stalled, timed out or broke: halves the limit."""
        self.limit = max(1.0, self.limit / 2.0)
        self.queued_replies = self.healthy_replies = 0

    def _recover(self, slowdown: float) -> None:
        """Raises a limit below 2, at which nothing is queued, on healthy replies alone."""
        self.healthy_replies = self.healthy_replies + 1 if slowdown < TOLERATED_SLOWDOWN else 0
        if self.healthy_replies >= SAMPLES_PER_UPDATE and self.limit < MIN_SHARED_LIMIT:
            self.limit = min(float(self.max_depth), self.limit + RECOVERY_STEP)
            self.slowdown, self.healthy_replies = 1.0, 0

    def _update(self) -> None:
        """One step of the gradient algorithm."""
        self.queued_replies = 0
        gradient = max(MIN_GRADIENT, min(1.0, TOLERATED_SLOWDOWN / max(self.slowdown, 1e-6)))
        target = self.limit * gradient + math.sqrt(self.limit)
        if gradient < 1.0:
            target = min(target, self.limit * gradient + REDUCED_HEADROOM)
        self.limit = max(
            1.0, min(float(self.max_depth), self.limit + LIMIT_SMOOTHING * (target - self.limit))
        )
