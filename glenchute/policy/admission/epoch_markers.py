"""Epoch markers: how far a shared counter's totals of one window can be trusted.

A counter that only adds can lose its memory, be split in two, or be replaced by one that starts at zero, and
its totals then look like unused quota. So each gateway adds a marker to each window's key, once: a large
round number beside the units. A total so tells how many gateways the key has heard of since it began, at the
very call whose units it counts. Three things follow:

- A gateway that finds fewer markers than it has seen, or units below its own confirmed ones, knows that
  memory was lost, and trusts that key no further in its window.
- What a key may grant is scaled by the fraction of the tenant's gateways that it has markers of. A gateway
  marks a window once, so over all halves and replacements of a counter these fractions sum to one at most,
  and so do the grants.
- A gateway's own confirmed units can be added again exactly once for each loss that it has seen. What timed
  out may have been added, to either memory, and is never added again. Nor is the marker: the sum above rests
  on that.

A window that began before the gateway did may hold its marker of before the restart; it is not marked, and
grants nothing.
"""

from __future__ import annotations

import math

from ..record import record

MARKER_FACTOR = 8.0  # times what a window can hold, so that units never pass for markers
MARKER_BLUR = 0.02  # of a marker: units may fall by so much without memory being lost
TOTAL_PRECISION = 1e-6  # of a total: seven digits are exact


def marker_value(burst_units: float, rate_per_s: float, window_s: float, ceiling_burst_units: float) -> float:
    """The marker for a plan's windows: a power of ten, the same at every gateway."""
    most = max(1.0, burst_units + rate_per_s * window_s, ceiling_burst_units)
    return float(10.0 ** math.ceil(math.log10(MARKER_FACTOR * most)))


@record(slots=True)
class WindowCounter:
    """What this gateway knows of the counter's key for one window."""

    marker: float
    may_add_marker: bool  # the window began after this gateway did
    is_marked: bool = False  # its marker was added, or may have been
    is_marker_confirmed: bool = False  # a reply to the call with the marker has come
    marker_count: int = 0  # by the last reply
    units: float = 0.0  # by the last reply
    confirmed_units: float = 0.0  # own units that replies have confirmed and that were not lost since
    has_lost_memory: bool = False  # in this window

    def take_marker(self) -> float:
        """What the next call adds besides its units: the marker, once, or 0."""
        if self.is_marked or not self.may_add_marker:
            return 0.0
        self.is_marked = True
        return self.marker

    def marker_not_added(self, marker: float) -> None:
        """A call was rejected, and nothing of it was added."""
        if marker:
            self.is_marked = False

    def apply_total(self, total: float, units: float, marker: float) -> float | None:
        """A reply to a call that added `units` and `marker`. The own units to be added again where memory was
        lost, else None."""
        marker_count = round(total / self.marker)
        total_units = total - marker_count * self.marker
        # Refunds may go to the key of a later window than their units did, so totals may fall a little.
        blur = max(0.5 + TOTAL_PRECISION * abs(total), MARKER_BLUR * self.marker)
        least_count = max(self.marker_count, 1 if marker else 0)
        has_fallen = marker_count < least_count or total_units < self.confirmed_units + units - blur
        self.marker_count, self.units = marker_count, total_units
        self.is_marker_confirmed = self.is_marker_confirmed or bool(marker)
        if not has_fallen:
            self.confirmed_units += units
            return None
        lost_units, self.confirmed_units = self.confirmed_units, units
        self.has_lost_memory = True
        return max(0.0, lost_units)

    def granted_fraction(self, gateway_spread: int) -> float:
        """The fraction of the counted part of a ceiling that this key may grant, 0 to 1."""
        if self.has_lost_memory or not self.is_marker_confirmed or self.units < -0.5:
            return 0.0
        return min(1.0, self.marker_count / gateway_spread)
