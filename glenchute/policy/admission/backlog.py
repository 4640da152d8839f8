"""The backlog of this gateway: the work in flight, compared with the rate at which servers complete work.

The work of a request is the mean latency in milliseconds that `LatencyEstimates` has for its class and units.
"""

from __future__ import annotations

import math

RATE_WINDOW_S = 2.0  # time constant of the mean rate of completed work
PEAK_DECAY_S = 8.0  # time constant by which the peak rate decays
MIN_RATE_AGE_MS = 200.0  # added to the measuring time, so that the first responses don't give a huge rate
MAX_RESPONSE_GAP_S = 4.0  # after this long without a response, the measurement of the rate restarts


class Backlog:
    """Tracks the work in flight and the rate of completed work."""

    def __init__(self) -> None:
        self.in_flight_ms = 0.0
        self.completed_ms_per_s = 0.0
        self.peak_ms_per_s = 0.0  # recent peak of the rate of completed work
        self.completed_at_ms = 0.0
        self.measured_since_ms = math.inf

    def add(self, work_ms: float) -> None:
        """Adds the work of an attempt that is sent."""
        self.in_flight_ms += work_ms

    def remove(self, work_ms: float) -> None:
        """Removes the work of an attempt that has ended."""
        self.in_flight_ms = max(0.0, self.in_flight_ms - work_ms)

    def record_completed(self, now_ms: float, work_ms: float) -> None:
        """Updates the rate by an attempt that has ended with a response."""
        elapsed_s = (now_ms - self.completed_at_ms) / 1000.0
        if elapsed_s > MAX_RESPONSE_GAP_S:
            self.completed_ms_per_s, self.measured_since_ms = 0.0, now_ms
        decay = math.exp(-elapsed_s / RATE_WINDOW_S)
        self.completed_ms_per_s = self.completed_ms_per_s * decay + work_ms / RATE_WINDOW_S
        self.measured_since_ms = min(self.measured_since_ms, now_ms)
        age_ms = now_ms - self.measured_since_ms + MIN_RATE_AGE_MS
        # The mean starts at 0: dividing by this corrects the bias of a measurement that began recently.
        bias_correction = 1.0 - math.exp(-age_ms / (1000.0 * RATE_WINDOW_S))
        self.peak_ms_per_s = max(
            self.completed_ms_per_s / bias_correction,
            self.peak_ms_per_s * math.exp(-elapsed_s / PEAK_DECAY_S),
        )
        self.completed_at_ms = now_ms

    def wait_ms(self, servers_per_gateway: float) -> float:
        """Returns the milliseconds that the work in flight takes at the peak rate, which must not be 0, or at
        the rate of this gateway's share of the servers with one request at a time at each of them, if that is
        higher: with little traffic the peak shows the demand only."""
        floor_ms_per_s = 1000.0 * servers_per_gateway
        return self.in_flight_ms / max(self.peak_ms_per_s, floor_ms_per_s) * 1000.0

    def reset_after_stall(self, now_ms: float) -> None:
        """Restarts the measurement of the rate after a stall of this process, which makes it outdated."""
        self.completed_ms_per_s, self.measured_since_ms = 0.0, now_ms
