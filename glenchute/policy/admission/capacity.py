"""The capacity estimate: how many units per second the servers complete in time for this gateway.

It is infinite until the responses of a window come late. It then starts at the demand of that window, and
shrinks or grows with the median latency of each further window.
"""

from __future__ import annotations

import math

from .windows import FILL_WINDOW_S

ENOUGH_RESPONSES = 8  # a window with fewer responses is extended, and counts less if it still has fewer
MAX_WINDOW_S = 4.0
TARGET_RATIO = 0.5  # ratio of median latency to objective at which the estimate settles under overload
LATENCY_STEP = 0.25  # weight of one response in the mean latency
SIZE_STEP = 0.05  # weight of one request in the mean request size
MIN_WINDOW_FACTOR = 0.7  # smallest factor by which one window lowers the estimate
# Largest factor by which one window raises the estimate; its exponent is the number of good windows in a row.
MAX_WINDOW_FACTOR = 1.2
NO_LIMIT_FACTOR = 3.0  # an estimate above this many times the demand is replaced by no limit


class CapacityEstimate:
    """Estimates the units per second that the servers complete for this gateway, from response latencies."""

    def __init__(self) -> None:
        self.capacity_per_s = math.inf
        self.window_start_ms: float | None = None
        self.latency_ratios: list[float] = []  # latency over objective of each response in this window
        self.window_units: dict[float, float] = {}  # units requested in this window, by value of a unit
        self.demand_per_s: dict[float, float] = {}  # mean demand of earlier windows, by value of a unit
        self.servers_per_gateway = 1.0
        # Follows the latest responses quickly, as servers that were slow may have recovered.
        self.mean_latency_s = 0.2
        self.mean_request_units = 1.0
        self.good_windows = 0  # consecutive windows with a median latency well below the target

    @property
    def floor_per_s(self) -> float:
        """Lower bound of the estimate in units per second: this gateway's share of the servers, with one
        request at a time at each of them. It rises with each fast response, also within a window, so that the
        estimate recovers from any value."""
        return self.servers_per_gateway / self.mean_latency_s * self.mean_request_units

    def record_demand(self, value: float, units: float) -> None:
        """Records the units of a request before its admission is decided. `value`: the value of one unit."""
        self.window_units[value] = self.window_units.get(value, 0.0) + units
        self.mean_request_units += SIZE_STEP * (units - self.mean_request_units)

    def record_latency(self, duration_ms: float, objective_ms: float) -> None:
        """Records the duration of an attempt that ended with a response or timed out."""
        self.latency_ratios.append(duration_ms / objective_ms)
        step = LATENCY_STEP * (duration_ms / 1000.0 - self.mean_latency_s)
        self.mean_latency_s = max(0.001, self.mean_latency_s + step)

    def end_window(self, now_ms: float, in_flight_ratios: list[float]) -> None:
        """Ends the window if it is long enough, and adjusts the estimate by its median latency, which a few
        slow servers don't change.

        `in_flight_ratios`: for each attempt in flight its age over its latency objective. Without these, hung
        servers would look idle.
        """
        if self.window_start_ms is None:
            self.window_start_ms = now_ms
        length_s = (now_ms - self.window_start_ms) / 1000.0
        has_few_responses = len(self.latency_ratios) < ENOUGH_RESPONSES and length_s < MAX_WINDOW_S
        if length_s < FILL_WINDOW_S or has_few_responses:
            return
        ratios = sorted(self.latency_ratios + in_flight_ratios)
        median = ratios[len(ratios) // 2] if ratios else 0.0
        confidence = min(1.0, len(ratios) / ENOUGH_RESPONSES)
        if median > TARGET_RATIO:
            # Few responses, or a window with little demand, are weak evidence: neither lowers the estimate
            # much.
            offered = max(sum(self.window_units.values()) / length_s, sum(self.demand_per_s.values()))
            self.capacity_per_s = min(self.capacity_per_s, offered / confidence)
        self.capacity_per_s = self.end_window_factor(median, confidence) * max(
            self.capacity_per_s, self.floor_per_s
        )
        self.update_demand(length_s)
        if self.capacity_per_s > NO_LIMIT_FACTOR * sum(self.demand_per_s.values()):
            self.capacity_per_s = math.inf
        self.latency_ratios, self.window_start_ms = [], now_ms

    def end_window_factor(self, median: float, confidence: float) -> float:
        """Counts consecutive good windows, and returns the factor for the estimate. The factor depends on the
        median without steps, as the median differs randomly between gateways."""
        factor = max(MIN_WINDOW_FACTOR, 1.0 + TARGET_RATIO - median)
        self.good_windows = self.good_windows + 1 if median < 0.5 * TARGET_RATIO else 0
        if factor < 1.0:
            return 1.0 + confidence * (factor - 1.0)
        return float(min(MAX_WINDOW_FACTOR, factor) ** max(1, self.good_windows))

    def update_demand(self, length_s: float) -> None:
        """Updates the mean demand by the window's demand, with a weight that grows with its responses."""
        step = min(1.0, len(self.latency_ratios) / (2.0 * ENOUGH_RESPONSES))
        for value in dict.fromkeys([*self.demand_per_s, *self.window_units]):
            latest = self.window_units.pop(value, 0.0) / length_s
            self.demand_per_s[value] = self.demand_per_s.get(value, latest) * (1.0 - step) + latest * step

    def reset_after_stall(self, now_ms: float) -> None:
        """Starts a new window after a stall of this process, which makes the current one meaningless."""
        self.latency_ratios, self.window_units, self.window_start_ms = [], {}, now_ms
