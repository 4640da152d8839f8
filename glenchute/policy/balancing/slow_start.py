"""Slow start: how many requests a server that warms up may be sent.

All gateways together send such a server no more than its present capacity as a fraction of what a warm server
responds to. Each gateway keeps a token bucket for each server that warms up; a request takes one token.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from ..settings import Settings
from .server import Server

RESPONSE_RATE_WINDOW_S = 3.0
SAFE_FRACTION = 0.8  # of the overload factor, that a burst of saved tokens may use
MIN_BURST_FACTOR = 0.2
UNKNOWN_RATE_INTERVAL_S = 3.0  # between requests of all gateways to a server while no rate is known


class SlowStartLimiter:
    """Weights and token buckets of the servers that warm up."""

    def __init__(self, settings: Settings) -> None:
        self.rules = settings.slow_start
        self.gateway_count = settings.gateway_count
        self.warm_response_rate_per_s = 0.0  # responses of one warm server to this gateway, mean

    def weight(self, server: Server, now_ms: float) -> float:
        """The least fraction of its full capacity that a server has by now; 1 for a warm one."""
        rules = self.rules
        age = max(0.0, now_ms - server.endpoint.started_ms) / max(1.0, rules.warm_up_ms)
        warms_up = server.endpoint.started_ms > 0
        return min(1.0, rules.initial_fraction + (1.0 - rules.initial_fraction) * age) if warms_up else 1.0

    def refill_and_check(self, server: Server, now_ms: float, weight: float) -> bool:
        """Refills the server's bucket; whether it may be sent a request now. `weight`: its `weight()`.

        The bucket is small: saved tokens, spent by all gateways at once when the warm servers are full, would
        overload the server.
        """
        rules = self.rules
        rate_per_ms = (
            max(
                self.warm_response_rate_per_s * weight,
                1.0 / UNKNOWN_RATE_INTERVAL_S / self.gateway_count,
            )
            / 1000.0
        )
        burst = (
            rate_per_ms
            * rules.overload_window_ms
            * max(MIN_BURST_FACTOR, SAFE_FRACTION * rules.overload_factor - 1.0)
        )
        server.slow_start_tokens += rate_per_ms * max(0.0, now_ms - server.slow_start_tokens_ms)
        server.slow_start_tokens_ms = now_ms
        if server.slow_start_tokens > 1.0 + burst:  # the fraction stays, so that gateways stay out of step
            server.slow_start_tokens = burst if burst >= 1.0 else server.slow_start_tokens % 1.0
        return server.slow_start_tokens >= 1.0

    def record_response(self, server: Server, now_ms: float) -> None:
        """A warm server has responded."""
        server.response_rate_per_s = response_rate_per_s(server, now_ms) + 1.0 / RESPONSE_RATE_WINDOW_S
        server.response_rate_ms = now_ms

    def update_warm_rate(self, servers: Iterable[Server], now_ms: float) -> None:
        """Takes the mean response rate of the servers that are warm now. With none warm the last mean stands:
        counting servers that warm up would raise the rate by itself and overload all of them."""
        rates = [response_rate_per_s(s, now_ms) for s in servers if self.weight(s, now_ms) >= 1.0]
        self.warm_response_rate_per_s = sum(rates) / len(rates) if rates else self.warm_response_rate_per_s


def response_rate_per_s(server: Server, now_ms: float) -> float:
    """Responses of a server to this gateway, faded to the present."""
    age_ms = server.response_rate_ms - now_ms
    return server.response_rate_per_s * math.exp(age_ms / 1000.0 / RESPONSE_RATE_WINDOW_S)
