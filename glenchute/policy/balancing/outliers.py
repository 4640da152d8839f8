"""Outlier detection: servers that fail far more often than most.

What fails on every server (a bad class of requests, an overloaded pool) says nothing of one server, so a
failure rate counts only beyond the median of all servers.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from ..events import Outcome
from .server import Server

FAILURE_FADE_MS = 5_000.0
OUTLIER_MARGIN = 0.5  # failure rate beyond the median from which on a server is an outlier
SUCCESS_FACTOR = 0.7  # what one success leaves of a failure rate
FAILURE_STEP = 0.3  # weight of one failure
TIMEOUT_STEP = 0.5  # of a time-out or a failed connect


class OutlierDetector:
    """Failure rates of the servers and their median."""

    def __init__(self) -> None:
        self.median_failure_rate = 0.0

    def record(self, server: Server, now_ms: float, outcome: Outcome) -> None:
        """An attempt has ended, with any outcome that tells something of the server."""
        rate = failure_rate(server, now_ms)
        if outcome is Outcome.OK:
            server.failure_rate = rate * SUCCESS_FACTOR
        else:
            timed_out = outcome in (Outcome.TIMEOUT, Outcome.UNREACHABLE)
            step = TIMEOUT_STEP if timed_out else FAILURE_STEP
            server.failure_rate = rate + step * (1.0 - rate)
        server.failure_rate_ms = now_ms

    def detect(self, servers: Mapping[str, Server], now_ms: float) -> list[str]:
        """Updates the median; the addresses of the outliers."""
        rates = {address: failure_rate(server, now_ms) for address, server in servers.items()}
        self.median_failure_rate = sorted(rates.values())[len(rates) // 2] if rates else 0.0
        return [
            address for address, rate in rates.items() if rate - self.median_failure_rate > OUTLIER_MARGIN
        ]


def failure_rate(server: Server, now_ms: float) -> float:
    """A server's recent fraction of failures, faded to the present."""
    return server.failure_rate * math.exp((server.failure_rate_ms - now_ms) / FAILURE_FADE_MS)
