"""Latency estimates: how long responses take by class and size, and each server relative to that mean."""

from __future__ import annotations

import math

from ..settings import RequestClass
from .server import Server

RELATIVE_LATENCY_FADE_MS = 60_000.0  # else a server that was slow once would never be tried again
MEAN_STEP = 0.03  # weight of one response in a mean
FAST_STEP = 0.12  # the same in what has to follow quickly
FIRST_GUESS = 0.15  # of the latency objective, before the first response


class LatencyEstimates:
    """Mean response times over all servers."""

    def __init__(self) -> None:
        self.mean_ms: dict[tuple[str, int], float] = {}  # by class and units
        self.load_factor = 1.0  # duration of the last responses over their means, which follow slowly

    def expected_ms(self, request_class: RequestClass, units: float) -> float:
        """Mean duration of such a response."""
        guess_ms = request_class.latency_objective_ms * FIRST_GUESS
        return self.mean_ms.get((request_class.name, round(units)), guess_ms)

    def record(
        self, server: Server, now_ms: float, duration_ms: float, request_class: RequestClass, units: float
    ) -> None:
        """A response, or a time-out, which counts as the least that the response would have taken. Leaving
        time-outs out would make a busy server look fast by the responses that got through."""
        mean_ms = self.expected_ms(request_class, units)
        self.mean_ms[request_class.name, round(units)] = mean_ms + MEAN_STEP * (duration_ms - mean_ms)
        self.load_factor += FAST_STEP * (duration_ms / mean_ms - self.load_factor)
        relative = relative_latency(server, now_ms)
        server.relative_latency = relative + FAST_STEP * (duration_ms / mean_ms - relative)
        server.relative_latency_ms = now_ms


def relative_latency(server: Server, now_ms: float) -> float:
    """Duration of a server's responses over the mean of all servers, faded towards 1."""
    fade = math.exp((server.relative_latency_ms - now_ms) / RELATIVE_LATENCY_FADE_MS)
    return 1.0 + (server.relative_latency - 1.0) * fade
