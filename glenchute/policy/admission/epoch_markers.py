"""What the totals of a shared counter can be trusted to say. No input or output; used by `policy.py`.

A counter that only adds can lose its memory, be split in two, or be replaced by one that starts at zero, and
its totals then look like unused quota. So each gateway puts a mark into each window's name, once: a large
round number beside the units. A total so tells how many gateways it has heard since the name began, at the
very call whose units it counts. Three things follow:

- A gateway that finds fewer marks than it has seen, or units below its own confirmed ones, knows that memory
  was lost, and trusts that name no further in its window.
- What a name may grant is scaled by the share of the customer's gateways that it has heard. A gateway marks a
  window once, so over all halves and replacements of a counter these shares sum to one at most, and so do the
  grants.
- A gateway's own confirmed units can be put in again exactly once for each loss that it has seen. What timed
  out may have been added, to either memory, and is never put in again. The mark is not put in again either:
  the sum above rests on that.

A window that began before the gateway did may hold its mark of before the restart; it is not marked, and
grants nothing.
"""

from __future__ import annotations

import math
from enum import Enum

from ..record import record

ROOM = 8.0  # a mark is worth so many times what a window can hold, so that units never pass for marks
BLUR = 0.02  # share of a mark that units may fall without telling of a loss
DIGITS = 1e-6  # of a total, seven digits are exact


def marker_value(burst: float, rate: float, span_s: float, most: float) -> float:
    """The mark for a plan's windows: a power of ten, the same at every gateway."""
    return float(10.0 ** math.ceil(math.log10(ROOM * max(1.0, burst + rate * span_s, most))))


@record(slots=True)
class WindowCounter:
    """What this gateway knows of one window's name."""

    marker: float
    may_add_marker: bool  # the window began after the gateway did
    is_marked: bool = False  # its mark was put in, or may have been
    is_marker_confirmed: bool = False  # ... and an answer has shown it
    marker_count: int = 0  # of the last answer
    units: float = 0.0  # likewise
    confirmed_units: float = 0.0  # own units that were confirmed and not lost since
    has_lost_memory: bool = False  # memory was lost in this window

    def take_marker(self) -> float:
        """What the next call adds besides its units."""
        if self.is_marked or not self.may_add_marker:
            return 0.0
        self.is_marked = True
        return self.marker

    def marker_not_added(self, toll: float) -> None:
        """That call was turned away, and nothing of it was added."""
        if toll:
            self.is_marked = False

    def apply_total(self, total: float, units: float, toll: float) -> float | None:
        """An answer to a call that added `units` and `toll`. The own units to be put in again where memory
        was lost, else None."""
        marks = round(total / self.marker)
        rest = total - marks * self.marker
        # What was asked for in one window and refused in the next is taken off there.
        blur = max(0.5 + DIGITS * abs(total), BLUR * self.marker)
        least = max(self.marker_count, 1 if toll else 0)
        fell = marks < least or rest < self.confirmed_units + units - blur
        self.marker_count, self.units = marks, rest
        self.is_marker_confirmed = self.is_marker_confirmed or bool(toll)
        if not fell:
            self.confirmed_units += units
            return None
        again, self.confirmed_units = self.confirmed_units, units
        self.has_lost_memory = True
        return max(0.0, again)

    def granted_fraction(self, spread: int) -> float:
        """The share of the counted part that this name may grant, 0 to 1."""
        if self.has_lost_memory or not self.is_marker_confirmed or self.units < -0.5:
            return 0.0
        return min(1.0, self.marker_count / spread)


class CounterHealth(Enum):
    """What a counter is thought to be."""

    SOUND = "sound"
    SLOW = "slow"  # answers late or turns away
    UNAVAILABLE = "mute"  # no answers in a row
    SPLIT = "split suspected"  # names hear fewer gateways than a while ago, by half or more
    REPLACED = "replaced"  # memory was lost
    RECOVERING = "recovering"  # answers again; windows that began before are still open


@record(slots=True)
class CounterMonitor:
    """The state of the counter as a whole, for the operators. Driven by replies and time only."""

    recover_ms: float  # the longest window: after it no name of before the trouble is in use
    unavailable_after: int = 3
    consecutive_failures: int = 0
    call_fraction: float = 1.0  # of the wished calls that are made
    memory_lost_ms: float = -math.inf
    unavailable_ms: float = -math.inf
    slow_marker_fraction: float = 0.0  # mean share of their gateways that names hear, slowly
    fast_marker_fraction: float = 0.0  # the same, quickly

    def record_failure(self, now: float) -> None:
        """A call had no answer, or was turned away."""
        self.consecutive_failures += 1
        if self.consecutive_failures >= self.unavailable_after:
            self.unavailable_ms = now

    def record_reply(self, now: float, lost: bool) -> None:
        """A call was answered."""
        self.consecutive_failures = 0
        if lost:
            self.memory_lost_ms = now

    def record_window(self, heard: float) -> None:
        """A window of a busy customer is over; the share of its gateways that its name had heard."""
        first = self.slow_marker_fraction == 0.0
        self.slow_marker_fraction += (1.0 if first else 0.01) * (heard - self.slow_marker_fraction)
        self.fast_marker_fraction += (1.0 if first else 0.1) * (heard - self.fast_marker_fraction)

    def state(self, now: float) -> CounterHealth:
        """The one that matters most."""
        if self.consecutive_failures >= self.unavailable_after:
            return CounterHealth.UNAVAILABLE
        if now - self.memory_lost_ms < self.recover_ms:
            return CounterHealth.REPLACED
        if self.slow_marker_fraction > 0.5 and self.fast_marker_fraction < 0.75 * self.slow_marker_fraction:
            return CounterHealth.SPLIT
        if now - self.unavailable_ms < self.recover_ms:
            return CounterHealth.RECOVERING
        return CounterHealth.SLOW if self.call_fraction < 0.5 else CounterHealth.SOUND
