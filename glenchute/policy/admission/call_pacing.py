"""Pacing of the calls to the shared counter, and detection of an unavailable counter.

When the counter rejects calls, or gives most of its replies late, only a fraction of the wanted calls is
made. When it has not replied to `UNAVAILABLE_AFTER` calls in a row, it counts as unavailable: each gateway
then keeps to its local share of each quota, and probes the counter periodically.
"""

from __future__ import annotations

from ..settings import Settings
from ..timing import TICK_MS
from .counter_health import UNAVAILABLE_AFTER, CounterMonitor
from .windows import FILL_WINDOW_S, TENANT_IDLE_MS

MIN_CALL_FRACTION = 0.1
CALL_GAP_MS = 100.0  # shortest time between two calls for the same tenant
PROBE_INTERVAL_MS = 500.0  # shortest time between this gateway's probes of an unavailable counter
PROBE_SPACING_MS = 5.0  # shortest mean time between probes by all gateways together
LATE_THRESHOLD_FRACTION = 0.5  # a reply is late after this fraction of the counter's timeout
LATE_STEP = 0.1  # weight of one reply in the mean fraction of late replies
# Fraction of late replies above which the counter is overloaded; below it, a path to the counter is slow.
OVERLOAD_LATE_FRACTION = 0.5
REPLY_IN_TIME_FACTOR = 1.02  # factor of the call fraction per reply in time, or per second without calls
LATE_REPLY_FACTOR = 0.92  # factor of the call fraction per late reply of an overloaded counter
FAILED_CALL_FACTOR = 0.8  # factor of the call fraction per failed call to an overloaded counter


class CallPacing:
    """Adjusts the fraction of wanted calls that are made, by the results of the calls."""

    def __init__(self, settings: Settings) -> None:
        longest_fill_s = max(
            [plan.burst_units / plan.rate_per_s for plan in settings.plans if plan.rate_per_s], default=1.0
        )
        longest_window_ms = min(TENANT_IDLE_MS, 1000.0 * max(FILL_WINDOW_S, longest_fill_s))
        self.settings = settings
        self.monitor = CounterMonitor(longest_window_ms, UNAVAILABLE_AFTER)
        self.consecutive_failures = 0
        self.late_fraction = 0.0  # mean fraction of recent calls that had a late reply or timed out
        self.call_fraction = 1.0
        self.next_probe_ms = 0.0  # time of the next probe of an unavailable counter

    @property
    def is_unavailable(self) -> bool:
        """Whether there is no counter or it does not reply; this gateway then keeps to its local shares."""
        return not self.settings.has_counter or self.consecutive_failures >= UNAVAILABLE_AFTER

    def record_call(self, now_ms: float) -> None:
        """Records a call that is made. If the counter is unavailable, the call is a probe, and this sets the
        time of the next one."""
        if self.consecutive_failures >= UNAVAILABLE_AFTER:
            spacing_ms = self.settings.gateway_count * PROBE_SPACING_MS
            self.next_probe_ms = now_ms + max(PROBE_INTERVAL_MS, spacing_ms)

    def record_timing(self, duration_ms: float, is_timeout: bool) -> bool:
        """Records the duration of a call that has ended; returns whether it ended late."""
        is_late = is_timeout or duration_ms >= LATE_THRESHOLD_FRACTION * self.settings.counter_timeout_ms
        self.late_fraction += LATE_STEP * (is_late - self.late_fraction)
        return is_late

    def record_failure(self, now_ms: float, is_rejected: bool) -> None:
        """Records a call that had no reply or was rejected; slows calls if that shows an overload."""
        self.monitor.record_failure(now_ms)
        is_overloaded = is_rejected or self.late_fraction > OVERLOAD_LATE_FRACTION
        if is_overloaded and self.consecutive_failures < UNAVAILABLE_AFTER:
            self.call_fraction = max(MIN_CALL_FRACTION, FAILED_CALL_FACTOR * self.call_fraction)
        self.consecutive_failures += 1

    def record_reply(self, is_late: bool) -> None:
        """Records a reply. Mostly late replies show an overload before any call is rejected, and slow the
        calls. If only some are late, the path to the counter is slow, and fewer calls would not help."""
        self.consecutive_failures = 0
        late_factor = LATE_REPLY_FACTOR if self.late_fraction > OVERLOAD_LATE_FRACTION else 1.0
        factor = late_factor if is_late else REPLY_IN_TIME_FACTOR
        self.call_fraction = min(1.0, max(MIN_CALL_FRACTION, factor * self.call_fraction))

    def record_idle_tick(self) -> None:
        """Records a tick without a call in flight. A second of such ticks counts as one reply in time:
        without calls there is no other evidence that an overload of the counter is over."""
        self.call_fraction = min(1.0, self.call_fraction * REPLY_IN_TIME_FACTOR ** (TICK_MS / 1000.0))
        self.monitor.call_fraction = self.call_fraction
