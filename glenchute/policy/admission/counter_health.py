"""The health of the shared counter as a whole, for the operators. Driven by replies and time only."""

from __future__ import annotations

import math
from enum import Enum

from ..record import record

UNAVAILABLE_AFTER = 3  # calls in a row without a reply after which the counter counts as unavailable
SPLIT_RATIO = 0.75  # of the slow mean of marker fractions: below it, a split is suspected
LEAST_KNOWN_FRACTION = 0.5  # a slow mean below says nothing
SLOW_STEP, FAST_STEP = 0.01, 0.1  # weight of one window in the means


class CounterHealth(Enum):
    """What a counter is thought to be."""

    SOUND = "sound"
    SLOW = "slow"  # replies late, or rejects calls
    UNAVAILABLE = "mute"  # no replies in a row
    SPLIT = "split suspected"  # keys hold markers of fewer gateways than a while ago
    REPLACED = "replaced"  # memory was lost
    RECOVERING = "recovering"  # replies again; windows that began before are still in force


@record(slots=True)
class CounterMonitor:
    """What replies have told of the counter."""

    recover_ms: float  # the longest window: after it no key of before a fault is in use
    unavailable_after: int = UNAVAILABLE_AFTER
    consecutive_failures: int = 0
    call_fraction: float = 1.0  # of the wanted calls that are made
    memory_lost_ms: float = -math.inf
    unavailable_ms: float = -math.inf
    slow_marker_fraction: float = 0.0  # mean fraction of their gateways that keys hold markers of
    fast_marker_fraction: float = 0.0  # the same, over fewer windows

    def record_failure(self, now_ms: float) -> None:
        """A call had no reply, or was rejected."""
        self.consecutive_failures += 1
        if self.consecutive_failures >= self.unavailable_after:
            self.unavailable_ms = now_ms

    def record_reply(self, now_ms: float, has_lost_memory: bool) -> None:
        """A call had a reply."""
        self.consecutive_failures = 0
        if has_lost_memory:
            self.memory_lost_ms = now_ms

    def record_window(self, marker_fraction: float) -> None:
        """A busy tenant's window is over. `marker_fraction`: of its gateways that its key held markers of."""
        is_first = self.slow_marker_fraction == 0.0
        slow_step = 1.0 if is_first else SLOW_STEP
        fast_step = 1.0 if is_first else FAST_STEP
        self.slow_marker_fraction += slow_step * (marker_fraction - self.slow_marker_fraction)
        self.fast_marker_fraction += fast_step * (marker_fraction - self.fast_marker_fraction)

    def state(self, now_ms: float) -> CounterHealth:
        """The state that matters most."""
        if self.consecutive_failures >= self.unavailable_after:
            return CounterHealth.UNAVAILABLE
        if now_ms - self.memory_lost_ms < self.recover_ms:
            return CounterHealth.REPLACED
        is_known = self.slow_marker_fraction > LEAST_KNOWN_FRACTION
        if is_known and self.fast_marker_fraction < SPLIT_RATIO * self.slow_marker_fraction:
            return CounterHealth.SPLIT
        if now_ms - self.unavailable_ms < self.recover_ms:
            return CounterHealth.RECOVERING
        return CounterHealth.SLOW if self.call_fraction < 0.5 else CounterHealth.SOUND
