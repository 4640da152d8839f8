"""The capacity estimate: how many units a second the servers complete in time for this gateway.

It is infinite until responses come late, then what was asked for in the window that was late, and it shrinks
and grows with the median latency of each further window.
"""

from __future__ import annotations

import math

from .windows import FILL_WINDOW_S

ENOUGH_RESPONSES = 8  # a window of fewer says less, and lasts longer
MOST_WINDOW_S = 4.0
TARGET_RATIO = 0.5  # median latency over its objective that the estimate settles at under overload
LATENCY_STEP = 0.25  # weight of one response in the mean latency
SIZE_STEP = 0.05  # weight of one request in the mean size
MIN_WINDOW_FACTOR = 0.7  # one window lowers the estimate to this fraction of it at least
MAX_WINDOW_FACTOR = 1.2  # one raises it by this at most, to the power of the good windows in a row
NO_LIMIT_FACTOR = 3.0  # an estimate beyond so many times the demand is no limit


class CapacityEstimate:
    """Units a second that the servers complete for this gateway, from the latency of their responses."""

    def __init__(self) -> None:
        self.capacity_per_s = math.inf
        self.window_start_ms: float | None = None
        self.latency_ratios: list[float] = []  # of the window's responses: latency over its objective
        self.window_units: dict[float, float] = {}  # asked for in this window, by value of a unit
        self.demand_per_s: dict[float, float] = {}  # the same of the windows before
        self.servers_per_gateway = 1.0
        self.mean_latency_s = 0.2  # of the last responses; fades fast, as what was slow may be well again
        self.mean_request_units = 1.0
        self.good_windows = 0  # in a row

    @property
    def floor_per_s(self) -> float:
        """What the servers surely bear of this gateway: one request at a time at each server, over all
        gateways. It rises with each fast response, without a window's end, so that the estimate always
        recovers."""
        return self.servers_per_gateway / self.mean_latency_s * self.mean_request_units

    def record_demand(self, value: float, units: float) -> None:
        """A request asks to be admitted. `value`: what one unit of it earns."""
        self.window_units[value] = self.window_units.get(value, 0.0) + units
        self.mean_request_units += SIZE_STEP * (units - self.mean_request_units)

    def record_latency(self, duration_ms: float, objective_ms: float) -> None:
        """A response, or an attempt that had none in time."""
        self.latency_ratios.append(duration_ms / objective_ms)
        step = LATENCY_STEP * (duration_ms / 1000.0 - self.mean_latency_s)
        self.mean_latency_s = max(0.001, self.mean_latency_s + step)

    def end_window(self, now_ms: float, in_flight_ratios: list[float]) -> None:
        """Adjusts the estimate if a window is over, by the median latency: a few bad servers don't count.

        `in_flight_ratios`: the age of each attempt in flight over its objective; without them hung servers
        would look idle.
        """
        if self.window_start_ms is None:
            self.window_start_ms = now_ms
        length_s = (now_ms - self.window_start_ms) / 1000.0
        is_thin = len(self.latency_ratios) < ENOUGH_RESPONSES and length_s < MOST_WINDOW_S
        if length_s < FILL_WINDOW_S or is_thin:
            return
        ratios = sorted(self.latency_ratios + in_flight_ratios)
        median = ratios[len(ratios) // 2] if ratios else 0.0
        confidence = min(1.0, len(ratios) / ENOUGH_RESPONSES)
        if median > TARGET_RATIO:
            # Few responses are weak evidence, and little demand shows little: neither lowers the estimate
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
        """Counts good windows in a row; returns the factor for the estimate, below 1 where it shrinks. It
        changes smoothly with the median, which differs between gateways by chance."""
        factor = max(MIN_WINDOW_FACTOR, 1.0 + TARGET_RATIO - median)
        self.good_windows = self.good_windows + 1 if median < 0.5 * TARGET_RATIO else 0
        if factor < 1.0:
            return 1.0 + confidence * (factor - 1.0)
        return float(min(MAX_WINDOW_FACTOR, factor) ** max(1, self.good_windows))

    def update_demand(self, length_s: float) -> None:
        """Moves the demand towards that of the window, by as much as it was seen."""
        step = min(1.0, len(self.latency_ratios) / (2.0 * ENOUGH_RESPONSES))
        for value in dict.fromkeys([*self.demand_per_s, *self.window_units]):
            latest = self.window_units.pop(value, 0.0) / length_s
            self.demand_per_s[value] = self.demand_per_s.get(value, latest) * (1.0 - step) + latest * step

    def reset_after_stall(self, now_ms: float) -> None:
        """This process stood still: the window holds nothing to judge by."""
        self.latency_ratios, self.window_units, self.window_start_ms = [], {}, now_ms
