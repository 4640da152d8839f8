"""Slow start: limits the requests to a server that warms up.

All gateways together send such a server no more than the response rate of a warm server times the fraction of
its full capacity that it has by then. Each gateway keeps a token bucket for each server that warms up; a
request takes one token.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from ..settings import Settings
from .server import Server

RESPONSE_RATE_WINDOW_S = 3.0  # time constant of the moving averages of response rates
# Fraction of the overload factor that the steady rate and a burst use together.
OVERLOAD_SAFETY_FRACTION = 0.8
MIN_BURST_FACTOR = 0.2  # least burst, as a fraction of the tokens of one overload window
UNKNOWN_RATE_INTERVAL_S = 3.0  # time between requests of all gateways to a server while no rate is known


class SlowStartLimiter:
    """Computes weights and refills token buckets of the servers that warm up."""

    def __init__(self, settings: Settings) -> None:
        self.rules = settings.slow_start
        self.gateway_count = settings.gateway_count
        self.warm_response_rate_per_s = 0.0  # mean rate of responses of one warm server to this gateway

    def weight(self, server: Server, now_ms: float) -> float:
        """Returns the least fraction of its full capacity that a server has by now; 1 if it is warm."""
        rules = self.rules
        progress = max(0.0, now_ms - server.endpoint.started_ms) / max(1.0, rules.warm_up_ms)
        warms_up = server.endpoint.started_ms > 0
        initial = rules.initial_fraction
        return min(1.0, initial + (1.0 - initial) * progress) if warms_up else 1.0

    def refill_and_check(self, server: Server, now_ms: float, weight: float) -> bool:
        """Refills a server's bucket; returns whether the server may be sent a request now. `weight`: its
        `weight()`.

        The bucket is small: if all gateways spent many saved tokens at once, as when the warm servers are
        full, they would overload the server.
        """
        rules = self.rules
        rate_per_ms = (
            max(
                self.warm_response_rate_per_s * weight,
                1.0 / UNKNOWN_RATE_INTERVAL_S / self.gateway_count,
            )
            / 1000.0
        )
        burst_tokens = (
            rate_per_ms
            * rules.overload_window_ms
            * max(MIN_BURST_FACTOR, OVERLOAD_SAFETY_FRACTION * rules.overload_factor - 1.0)
        )
        server.slow_start_tokens += rate_per_ms * max(0.0, now_ms - server.slow_start_tokens_ms)
        server.slow_start_tokens_ms = now_ms
        if server.slow_start_tokens > 1.0 + burst_tokens:
            # Keeps the fraction of a token, so that gateways do not synchronize.
            server.slow_start_tokens = burst_tokens if burst_tokens >= 1.0 else server.slow_start_tokens % 1.0
        return server.slow_start_tokens >= 1.0

    def record_response(self, server: Server, now_ms: float) -> None:
        """Records a response of a warm server."""
        server.response_rate_per_s = response_rate_per_s(server, now_ms) + 1.0 / RESPONSE_RATE_WINDOW_S
        server.response_rate_ms = now_ms

    def update_warm_rate(self, servers: Iterable[Server], now_ms: float) -> None:
        """Updates the mean response rate of warm servers. Without warm servers the last mean is kept: if
        servers that warm up were counted, the rate would raise itself and overload all of them."""
        rates = [response_rate_per_s(s, now_ms) for s in servers if self.weight(s, now_ms) >= 1.0]
        self.warm_response_rate_per_s = sum(rates) / len(rates) if rates else self.warm_response_rate_per_s


def response_rate_per_s(server: Server, now_ms: float) -> float:
    """Returns the rate of a server's responses to this gateway, decayed to the present."""
    age_ms = server.response_rate_ms - now_ms
    return server.response_rate_per_s * math.exp(age_ms / 1000.0 / RESPONSE_RATE_WINDOW_S)
