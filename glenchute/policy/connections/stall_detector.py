"""Detects stalled heads of pipelined connections. Times are in milliseconds."""

from __future__ import annotations

import math
from typing import NamedTuple

from .connection_queues import ConnectionQueue, QueuedAttempt
from .pipeline_types import TIMER_RESOLUTION_MS, PipelineRules
from .service_times import ServiceTimes

THRESHOLD_TTL_MS = 50.0  # how long a computed stall threshold is cached


class StallThreshold(NamedTuple):
    """A cached stall threshold and the time at which it was computed."""

    computed_at_ms: float
    stall_after_ms: float


class StallDetector:
    """Stall thresholds by class and server, derived from quantiles of their service times."""

    def __init__(self, rules: PipelineRules, times: ServiceTimes) -> None:
        self.rules = rules
        self.times = times
        self.thresholds: dict[tuple[str, str], StallThreshold] = {}  # by class and server

    def forget_server(self, server: str) -> None:
        """Drops the cached thresholds of a server that left the endpoint list."""
        self.thresholds = {key: found for key, found in self.thresholds.items() if key[1] != server}

    def stall_after_ms(self, now_ms: float, class_name: str, server: str) -> float:
        """Returns the service time above which an attempt counts as stalled; inf without samples."""
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
        """Returns when this attempt counts as stalled, if it is the head by then.

        Its reply may have been delayed by the attempt ahead, so it gets at least `TIMER_RESOLUTION_MS` after
        the reply to that one.
        """
        stall_after_ms = self.stall_after_ms(now_ms, attempt.request.class_name, connection.server.name)
        return max(attempt.sent_at_ms + stall_after_ms, connection.last_reply_ms + TIMER_RESOLUTION_MS)

    def is_stalled(self, now_ms: float, connection: ConnectionQueue) -> bool:
        """Returns whether the head is stalled, so that no attempt may join this connection."""
        if connection.is_marked_stalled:
            return True
        if not connection.attempts:
            return False
        return now_ms >= self.stalls_at_ms(now_ms, connection, connection.attempts[0])
