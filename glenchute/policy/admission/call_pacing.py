"""How often the shared counter may be called, and whether it is available.

A counter that rejects calls, or gives most of its replies late, is called for a fraction of the wanted calls
only. One that has
not replied to `UNAVAILABLE_AFTER` calls in a row counts as unavailable: each gateway then keeps to its local
share of each quota, and probes the counter now and then.
"""

from __future__ import annotations

from ..settings import Settings
from ..timing import TICK_MS
from .counter_health import UNAVAILABLE_AFTER, CounterMonitor
from .windows import FILL_WINDOW_S, TENANT_IDLE_MS

LEAST_CALL_FRACTION = 0.1
CALL_GAP_MS = 100.0  # least time between two calls for one tenant
PROBE_INTERVAL_MS = 500.0  # between probes of an unavailable counter by this gateway ...
PROBE_SPACING_MS = 5.0  # ... and between those of all gateways
LATE_FRACTION = 0.5  # of the counter's timeout: a reply after it is late
LATE_STEP = 0.1  # weight of one reply in the fraction of late ones
MOST_LATE = 0.5  # fraction of late replies beyond which the counter, not one path to it, is overloaded
GROWTH = 1.02  # of the call fraction, with each reply in time, or second without calls
LATE_FACTOR = 0.92  # with each late reply of an overloaded counter
FAILURE_FACTOR = 0.8  # with each failed call to one


class CallPacing:
    """The fraction of wanted calls that are made, from how calls ended."""

    def __init__(self, settings: Settings) -> None:
        longest_s = max(
            [plan.burst_units / plan.rate_per_s for plan in settings.plans if plan.rate_per_s], default=1.0
        )
        recover_ms = min(TENANT_IDLE_MS, 1000.0 * max(FILL_WINDOW_S, longest_s))
        self.settings = settings
        self.monitor = CounterMonitor(recover_ms, UNAVAILABLE_AFTER)
        self.consecutive_failures = 0
        self.late_fraction = 0.0  # of the last calls: replies late, or not in time
        self.call_fraction = 1.0
        self.next_probe_ms = 0.0  # an unavailable counter may be called from then on

    @property
    def is_unavailable(self) -> bool:
        """No replies: each gateway keeps to its local share of each quota."""
        return not self.settings.has_counter or self.consecutive_failures >= UNAVAILABLE_AFTER

    def record_call(self, now_ms: float) -> None:
        """A call is made; to an unavailable counter it is a probe."""
        if self.consecutive_failures >= UNAVAILABLE_AFTER:
            spacing_ms = self.settings.gateway_count * PROBE_SPACING_MS
            self.next_probe_ms = now_ms + max(PROBE_INTERVAL_MS, spacing_ms)

    def record_timing(self, duration_ms: float, is_timeout: bool) -> bool:
        """A call has ended; whether that was late."""
        is_late = is_timeout or duration_ms >= LATE_FRACTION * self.settings.counter_timeout_ms
        self.late_fraction += LATE_STEP * (is_late - self.late_fraction)
        return is_late

    def record_failure(self, now_ms: float, is_rejected: bool) -> None:
        """A call had no reply, or was rejected."""
        self.monitor.record_failure(now_ms)
        is_overloaded = is_rejected or self.late_fraction > MOST_LATE
        if is_overloaded and self.consecutive_failures < UNAVAILABLE_AFTER:
            self.call_fraction = max(LEAST_CALL_FRACTION, FAILURE_FACTOR * self.call_fraction)
        self.consecutive_failures += 1

    def record_reply(self, is_late: bool) -> None:
        """A call had a reply. Late ones show an overload before any call is rejected; where only some are
        late, the path to the counter is slow, and fewer calls would not help."""
        self.consecutive_failures = 0
        slowed = LATE_FACTOR if self.late_fraction > MOST_LATE else 1.0
        factor = slowed if is_late else GROWTH
        self.call_fraction = min(1.0, max(LEAST_CALL_FRACTION, factor * self.call_fraction))

    def record_idle_tick(self) -> None:
        """No call is in flight. A second of that counts as a reply in time: of a counter that is not called,
        nothing else would show that its overload is over."""
        self.call_fraction = min(1.0, self.call_fraction * GROWTH ** (TICK_MS / 1000.0))
        self.monitor.call_fraction = self.call_fraction
