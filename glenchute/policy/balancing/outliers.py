"""Outlier detection: finds servers that fail far more often than most.

Failures that occur on every server (a faulty request class, an overloaded pool) say nothing about one server,
so a failure rate counts only as far as it exceeds the median of all servers.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from ..events import Outcome
from .server import Server

FAILURE_DECAY_MS = 5_000.0  # time constant of the decay of a failure rate
OUTLIER_MARGIN = 0.5  # a server is an outlier if its failure rate exceeds the median by more
SUCCESS_FACTOR = 0.7  # multiplies the failure rate at each success
FAILURE_SMOOTHING = 0.3  # weight of one failure in the failure rate
TIMEOUT_SMOOTHING = 0.5  # weight of one timeout or failed connect in the failure rate


class OutlierDetector:
    """Tracks the failure rates of the servers and their median."""

    def __init__(self) -> None:
        self.median_failure_rate = 0.0

    def record(self, server: Server, now_ms: float, outcome: Outcome) -> None:
        """Records the end of an attempt whose outcome says something about the server."""
        rate = failure_rate(server, now_ms)
        if outcome is Outcome.OK:
            server.failure_rate = rate * SUCCESS_FACTOR
        else:
            is_unanswered = outcome in (Outcome.TIMEOUT, Outcome.UNREACHABLE)
            smoothing = TIMEOUT_SMOOTHING if is_unanswered else FAILURE_SMOOTHING
            server.failure_rate = rate + smoothing * (1.0 - rate)
        server.failure_rate_ms = now_ms

    def detect(self, servers: Mapping[str, Server], now_ms: float) -> list[str]:
        """Updates the median failure rate; returns the addresses of the outliers."""
        rates = {address: failure_rate(server, now_ms) for address, server in servers.items()}
        self.median_failure_rate = sorted(rates.values())[len(rates) // 2] if rates else 0.0
        return [
            address for address, rate in rates.items() if rate - self.median_failure_rate > OUTLIER_MARGIN
        ]


def failure_rate(server: Server, now_ms: float) -> float:
    """Returns a server's recent fraction of failures, decayed to the present."""
    return server.failure_rate * math.exp((server.failure_rate_ms - now_ms) / FAILURE_DECAY_MS)
