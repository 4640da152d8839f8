"""Epoch markers: how far the shared counter's totals for one window can be trusted.

The counter offers additions only. It can lose its memory, be split in two (a network partition), or be
replaced by one that starts at zero; its totals then look like unused quota. To detect that, each gateway adds
a marker to each window's key once: a large round number in addition to the units. A total therefore tells how
many gateways have added to the key since it was created, as of the call whose units it includes. This has
three uses:

- A gateway that finds fewer markers than before, or fewer units than its own confirmed ones, knows that
  memory was lost, and does not trust that key any more in its window.
- What a key may grant is scaled by the fraction of the tenant's gateways whose markers it holds. A gateway
  marks a window only once, so over all partitions and replacements of a counter these fractions sum to at
  most one, and so do the grants.
- After each loss that a gateway detects, it adds its own confirmed units again, exactly once. Units of calls
  that timed out may have been added, before or after the loss, and are never added again. The marker is not
  added again either, as the sum of the fractions would exceed one.

A window that began before this process did may already hold a marker that this gateway added before its
restart. It is not marked, and grants nothing to this process.
"""

from __future__ import annotations

import math

from ..record import record

MARKER_FACTOR = 8.0  # smallest ratio of a marker to a window's units, so that units never look like markers
MARKER_TOLERANCE = 0.02  # fraction of a marker by which units may fall without counting as lost memory
TOTAL_PRECISION = 1e-6  # relative error allowed in a total, of which seven digits are exact
TOTAL_ROUNDING_UNITS = 0.5  # the error of a total below 1e7: its seven digits then reach to whole units


def marker_value(burst_units: float, rate_per_s: float, window_s: float, ceiling_burst_units: float) -> float:
    """Returns the marker for a plan's windows: a power of ten, the same at every gateway."""
    max_units = max(1.0, burst_units + rate_per_s * window_s, ceiling_burst_units)
    return float(10.0 ** math.ceil(math.log10(MARKER_FACTOR * max_units)))


@record(slots=True)
class WindowCounter:
    """What this gateway knows of the counter's key for one window."""

    marker: float
    may_add_marker: bool  # the window began since this process became responsible for this gateway's markers
    is_marked: bool = False  # this gateway's marker was added, or may have been
    is_marker_confirmed: bool = False  # the call with the marker has had its reply
    marker_count: int = 0  # number of markers in the last total
    units: float = 0.0  # units in the last total, without markers
    confirmed_units: float = 0.0  # own units that replies have confirmed and that were not lost since
    has_lost_memory: bool = False  # the counter lost memory in this window

    def take_marker(self) -> float:
        """Returns the marker for the next call to add to its units; 0 if it must not or need not be added."""
        if self.is_marked or not self.may_add_marker:
            return 0.0
        self.is_marked = True
        return self.marker

    def marker_not_added(self, marker: float) -> None:
        """Records that the counter did not add a call with this marker (0: none); the next call adds it."""
        if marker:
            self.is_marked = False

    def apply_total(self, total: float, units: float, marker: float) -> float | None:
        """Applies the total in the reply to a call that added `units` and `marker`. Returns the own units to
        add again if it shows that memory was lost, else None."""
        marker_count = round(total / self.marker)
        total_units = total - marker_count * self.marker
        # A refund may go to a later window's key than the units it refunds, so totals may fall a little.
        tolerance_units = max(
            TOTAL_ROUNDING_UNITS + TOTAL_PRECISION * abs(total), MARKER_TOLERANCE * self.marker
        )
        min_count = max(self.marker_count, 1 if marker else 0)
        has_fallen = marker_count < min_count or total_units < self.confirmed_units + units - tolerance_units
        self.marker_count, self.units = marker_count, total_units
        self.is_marker_confirmed = self.is_marker_confirmed or bool(marker)
        if not has_fallen:
            self.confirmed_units += units
            return None
        lost_units, self.confirmed_units = self.confirmed_units, units
        self.has_lost_memory = True
        return max(0.0, lost_units)

    def granted_fraction(self, gateway_spread: int) -> float:
        """Returns the fraction, 0 to 1, of the counted part of a ceiling that this key may grant."""
        if self.has_lost_memory or not self.is_marker_confirmed or self.units < -TOTAL_ROUNDING_UNITS:
            return 0.0
        return min(1.0, self.marker_count / gateway_spread)
