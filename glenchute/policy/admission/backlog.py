"""The backlog of this gateway: work in flight against the rate at which servers complete it.

Work is counted in milliseconds of mean response time, by class and units as `LatencyEstimates` has it.
"""

from __future__ import annotations

import math

RATE_WINDOW_S = 2.0  # the rate of completed work is a mean over this long
PEAK_FADE_S = 8.0
MIN_RATE_AGE_MS = 200.0  # added to the measuring time, so that the first responses show no huge rate
MOST_GAP_S = 4.0  # without a response, after which the rate is measured anew


class Backlog:
    """Work in flight and the rate of completed work."""

    def __init__(self) -> None:
        self.in_flight_ms = 0.0
        self.completed_ms_per_s = 0.0
        self.peak_ms_per_s = 0.0  # most of that lately
        self.completed_at_ms = 0.0
        self.measured_since_ms = math.inf

    def add(self, work_ms: float) -> None:
        """An attempt is sent."""
        self.in_flight_ms += work_ms

    def remove(self, work_ms: float) -> None:
        """An attempt has ended."""
        self.in_flight_ms = max(0.0, self.in_flight_ms - work_ms)

    def record_completed(self, now_ms: float, work_ms: float) -> None:
        """An attempt has ended with a response."""
        elapsed_s = (now_ms - self.completed_at_ms) / 1000.0
        if elapsed_s > MOST_GAP_S:
            self.completed_ms_per_s, self.measured_since_ms = 0.0, now_ms
        fade = math.exp(-elapsed_s / RATE_WINDOW_S)
        self.completed_ms_per_s = self.completed_ms_per_s * fade + work_ms / RATE_WINDOW_S
        self.measured_since_ms = min(self.measured_since_ms, now_ms)
        age_ms = now_ms - self.measured_since_ms + MIN_RATE_AGE_MS
        grown = 1.0 - math.exp(-age_ms / (1000.0 * RATE_WINDOW_S))
        self.peak_ms_per_s = max(
            self.completed_ms_per_s / grown, self.peak_ms_per_s * math.exp(-elapsed_s / PEAK_FADE_S)
        )
        self.completed_at_ms = now_ms

    @property
    def wait_ms(self) -> float:
        """How long the work in flight takes at the peak rate; only where a rate is known."""
        return self.in_flight_ms / self.peak_ms_per_s * 1000.0

    def reset_after_stall(self, now_ms: float) -> None:
        """This process stood still: the rate is of long ago."""
        self.completed_ms_per_s, self.measured_since_ms = 0.0, now_ms
