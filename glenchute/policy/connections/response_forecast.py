"""The expected response time of an attempt that is sent behind others on a pipelined connection."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from .connection_queues import QueuedAttempt
from .pipeline_types import PlacementRequest
from .service_times import RemainingTime, ServiceTimes

GRID_POINTS = 8  # points of the numerical integration, geometrically spaced up to the timeout
FIRST_POINT_MEAN_FRACTION = 0.25  # the first point is at most this fraction of the mean service time
FIRST_POINT_TIMEOUT_FRACTION = 0.5  # the first point is at most this fraction of the remaining timeout
# Lower bounds that keep the spacing of the grid finite.
MIN_HORIZON_MS = 1.0
MIN_MEAN_MS = 0.05


class ExpectedResponse(NamedTuple):
    """The expected time to the response, and the part of it after the latency objective."""

    total_ms: float
    late_ms: float


class AheadTime(NamedTuple):
    """The remaining time of each of `attempts` attempts ahead."""

    remaining: RemainingTime
    attempts: int


def expected_response(
    times: ServiceTimes,
    now_ms: float,
    server: str,
    request: PlacementRequest,
    ahead: Sequence[QueuedAttempt],
    delay_ms: float,
) -> ExpectedResponse:
    """Returns the expected time to the response of an attempt sent `delay_ms` from now behind `ahead`.

    The response comes when the attempt and all those ahead are finished. Its expected time is the integral of
    the probability that they are not, computed by the trapezoidal rule. The head counts by its own age and
    all others ahead by the age of the youngest, which overestimates their remaining times.
    """
    horizon_ms = max(MIN_HORIZON_MS, request.expires_at_ms - now_ms)
    objective_ms = max(0.0, request.objective_at_ms - now_ms)
    mean_ms = max(times.mean(request.class_name, server), MIN_MEAN_MS)
    first_ms = min(FIRST_POINT_MEAN_FRACTION * mean_ms, FIRST_POINT_TIMEOUT_FRACTION * horizon_ms)
    ratio = (horizon_ms / first_ms) ** (1.0 / (GRID_POINTS - 1))
    own = times.remaining(request.class_name, server, -delay_ms)  # a negative age: not sent yet
    ahead_times = _ahead_times(times, now_ms, server, ahead)
    total_ms = late_ms = previous_ms = 0.0
    previous_pending = 1.0
    point_ms = first_ms
    for _ in range(GRID_POINTS):
        pending = 1.0 - _probability_within(own, ahead_times, point_ms)
        total_ms += (point_ms - previous_ms) * 0.5 * (previous_pending + pending)
        if point_ms > objective_ms:
            late_ms += (point_ms - max(previous_ms, objective_ms)) * 0.5 * (previous_pending + pending)
        previous_ms, previous_pending = point_ms, pending
        point_ms *= ratio
    return ExpectedResponse(total_ms, late_ms)


def _ahead_times(
    times: ServiceTimes, now_ms: float, server: str, ahead: Sequence[QueuedAttempt]
) -> list[AheadTime]:
    """Returns the remaining times of the attempts ahead, the head separate from the others."""
    found: list[AheadTime] = []
    if ahead:
        found.append(AheadTime(_remaining(times, now_ms, server, ahead[0]), 1))
    if len(ahead) > 1:
        found.append(AheadTime(_remaining(times, now_ms, server, ahead[-1]), len(ahead) - 1))
    return found


def _remaining(times: ServiceTimes, now_ms: float, server: str, attempt: QueuedAttempt) -> RemainingTime:
    """Returns the remaining time of one attempt."""
    return times.remaining(attempt.request.class_name, server, now_ms - attempt.sent_at_ms)


def _probability_within(own: RemainingTime, ahead_times: list[AheadTime], time_ms: float) -> float:
    """Returns the probability that the attempt and all those ahead are finished `time_ms` from now."""
    probability = own.probability_within(time_ms)
    if probability > 0.0:
        for remaining, attempts in ahead_times:
            each = remaining.probability_within(time_ms)
            probability *= each if attempts == 1 else each**attempts
    return probability
