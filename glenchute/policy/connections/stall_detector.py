"""When the head of a pipelined connection counts as stalled. Times are in milliseconds."""

from __future__ import annotations

import math
from typing import NamedTuple

from .connection_queues import ConnectionQueue, QueuedAttempt
from .pipeline_types import TIMER_RESOLUTION_MS, PipelineRules
from .service_times import ServiceTimes

THRESHOLD_TTL_MS = 50.0


class StallThreshold(NamedTuple):
    """A stall threshold and when it was computed."""

    computed_at_ms: float
    stall_after_ms: float


class StallDetector:
    """Stall thresholds by class and server, from the quantiles of their service times."""

    def __init__(self, rules: PipelineRules, times: ServiceTimes) -> None:
        self.rules = rules
        self.times = times
        self.thresholds: dict[tuple[str, str], StallThreshold] = {}  # by class and server

    def forget_server(self, server: str) -> None:
        """The server left the endpoint list."""
        self.thresholds = {key: found for key, found in self.thresholds.items() if key[1] != server}

    def stall_after_ms(self, now_ms: float, class_name: str, server: str) -> float:
        """How long an attempt of this class may take before it counts as stalled; inf without samples."""
        cached = self.thresholds.get((class_name, server))
        if cached is not None and now_ms - cached.computed_at_ms < THRESHOLD_TTL_MS:
            return cached.stall_after_ms
        rules, stall_after_ms = self.rules, math.inf
        if class_name in self.times.histograms:
            quantile_ms = self.times.quantile(class_name, server, rules.stall_quantile)
            if quantile_ms > 0:
                stall_after_ms = max(rules.min_stall_ms, rules.stall_factor * quantile_ms)
        self.thresholds[class_name, server] = StallThreshold(now_ms, stall_after_ms)
        return stall_after_ms

    def stalls_at_ms(self, now_ms: float, connection: ConnectionQueue, attempt: QueuedAttempt) -> float:
        """When this attempt counts as stalled, if it is the head then.

        Its reply may have been delayed by the one ahead, so it is given a moment after that one's reply.
        """
        stall_after_ms = self.stall_after_ms(now_ms, attempt.request.class_name, connection.server.name)
        return max(attempt.sent_at_ms + stall_after_ms, connection.last_reply_ms + TIMER_RESOLUTION_MS)

    def is_stalled(self, now_ms: float, connection: ConnectionQueue) -> bool:
        """Whether no attempt may join this connection."""
        if connection.is_marked_stalled:
            return True
        if not connection.attempts:
            return False
        return now_ms >= self.stalls_at_ms(now_ms, connection, connection.attempts[0])
