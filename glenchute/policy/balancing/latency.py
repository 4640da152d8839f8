"""Latency estimates: mean response times by class and size, and each server's latency relative to them."""

from __future__ import annotations

import math

from ..settings import RequestClass
from .server import Server

RELATIVE_LATENCY_DECAY_MS = 60_000.0  # without decay a server that was slow once would get no more requests
MEAN_SMOOTHING = 0.03  # weight of one response in a moving average
FAST_SMOOTHING = 0.12  # weight of one response in a moving average that has to follow changes quickly
INITIAL_LATENCY_FRACTION = 0.15  # fraction of the latency objective assumed before the first response


class LatencyEstimates:
    """Mean response times over all servers."""

    def __init__(self) -> None:
        self.mean_ms: dict[tuple[str, int], float] = {}  # by class and units
        # Duration of recent responses relative to `mean_ms`, which follows changes more slowly.
        self.load_factor = 1.0

    def expected_ms(self, request_class: RequestClass, units: float) -> float:
        """Returns the mean duration of a response of this class and size."""
        initial_ms = request_class.latency_objective_ms * INITIAL_LATENCY_FRACTION
        return self.mean_ms.get((request_class.name, round(units)), initial_ms)

    def record(
        self, server: Server, now_ms: float, duration_ms: float, request_class: RequestClass, units: float
    ) -> None:
        """Records a response, or a timeout, whose duration is a lower bound of the response's. Without
        timeouts a busy server would appear fast by the responses that did get through."""
        mean_ms = self.expected_ms(request_class, units)
        self.mean_ms[request_class.name, round(units)] = mean_ms + MEAN_SMOOTHING * (duration_ms - mean_ms)
        self.load_factor += FAST_SMOOTHING * (duration_ms / mean_ms - self.load_factor)
        relative = relative_latency(server, now_ms)
        server.relative_latency = relative + FAST_SMOOTHING * (duration_ms / mean_ms - relative)
        server.relative_latency_ms = now_ms


def relative_latency(server: Server, now_ms: float) -> float:
    """Returns the duration of a server's responses relative to the mean of all servers, decayed towards 1."""
    decay = math.exp((server.relative_latency_ms - now_ms) / RELATIVE_LATENCY_DECAY_MS)
    return 1.0 + (server.relative_latency - 1.0) * decay
