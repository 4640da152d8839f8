"""The health of the shared counter, as reported to operators. It depends on replies and time only."""

from __future__ import annotations

import math
from enum import Enum

from ..record import record

UNAVAILABLE_AFTER = 3  # after this many consecutive calls without a reply, the counter counts as unavailable
# A split is suspected when the fast mean of marker fractions is below this fraction of the slow mean.
SPLIT_RATIO = 0.75
MIN_KNOWN_FRACTION = 0.5  # a slow mean of marker fractions at or below this does not indicate a split
SLOW_STEP, FAST_STEP = 0.01, 0.1  # weight of one window in the slow and in the fast mean


class CounterHealth(Enum):
    """The estimated state of the counter."""

    SOUND = "sound"
    SLOW = "slow"  # it replies late or rejects calls
    UNAVAILABLE = "mute"  # consecutive calls had no reply
    SPLIT = "split suspected"  # keys hold markers of fewer gateways than they did earlier
    REPLACED = "replaced"  # it has lost units or markers that it had confirmed
    RECOVERING = "recovering"  # it replies again, but windows from before are still current


@record(slots=True)
class CounterMonitor:
    """Derives the health of the counter from its replies."""

    recover_ms: float  # the longest window: this long after a fault, no key from before it is in use
    unavailable_after: int = UNAVAILABLE_AFTER
    consecutive_failures: int = 0
    call_fraction: float = 1.0  # fraction of the wanted calls that are made
    memory_lost_ms: float = -math.inf
    unavailable_ms: float = -math.inf
    # Mean, over windows, of the fraction of a tenant's gateways whose markers the key holds.
    slow_marker_fraction: float = 0.0
    fast_marker_fraction: float = 0.0  # the same mean over fewer windows

    def record_failure(self, now_ms: float) -> None:
        """Records a call that had no reply or was rejected."""
        self.consecutive_failures += 1
        if self.consecutive_failures >= self.unavailable_after:
            self.unavailable_ms = now_ms

    def record_reply(self, now_ms: float, has_lost_memory: bool) -> None:
        """Records a reply. `has_lost_memory`: it shows that the counter has lost what it held."""
        self.consecutive_failures = 0
        if has_lost_memory:
            self.memory_lost_ms = now_ms

    def record_window(self, marker_fraction: float) -> None:
        """Records the end of a busy tenant's window. `marker_fraction`: the fraction of the tenant's gateways
        whose markers its key held."""
        is_first = self.slow_marker_fraction == 0.0
        slow_step = 1.0 if is_first else SLOW_STEP
        fast_step = 1.0 if is_first else FAST_STEP
        self.slow_marker_fraction += slow_step * (marker_fraction - self.slow_marker_fraction)
        self.fast_marker_fraction += fast_step * (marker_fraction - self.fast_marker_fraction)

    def state(self, now_ms: float) -> CounterHealth:
        """Returns the most severe state that applies."""
        if self.consecutive_failures >= self.unavailable_after:
            return CounterHealth.UNAVAILABLE
        if now_ms - self.memory_lost_ms < self.recover_ms:
            return CounterHealth.REPLACED
        is_known = self.slow_marker_fraction > MIN_KNOWN_FRACTION
        if is_known and self.fast_marker_fraction < SPLIT_RATIO * self.slow_marker_fraction:
            return CounterHealth.SPLIT
        if now_ms - self.unavailable_ms < self.recover_ms:
            return CounterHealth.RECOVERING
        return CounterHealth.SLOW if self.call_fraction < 0.5 else CounterHealth.SOUND
