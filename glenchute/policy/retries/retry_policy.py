"""The retry policy: when another attempt of a request is allowed and useful, and how long it may take.

An attempt is allowed if nothing can be executed twice: a non-idempotent request is never sent again once it
may have run, and one with an idempotency key only as long as servers remember the key.
"""

from __future__ import annotations

import math

from ..balancing.latency import LatencyEstimates
from ..events import AttemptEnded, Outcome
from ..requests import PendingRequest
from ..settings import Idempotency, Settings

EXPIRY_MARGIN_MS = 5.0  # nothing is sent within this time before servers may forget an idempotency key
MIN_RESPONSE_FRACTION = 0.5  # fraction of a mean latency that must be left for a retry
MIN_TIMEOUT_FRACTION = 0.5  # shortest timeout of an attempt, as a fraction of the latency objective
# Longest timeout of an attempt, as a fraction of the latency objective; a longer one leaves no time to retry.
MAX_TIMEOUT_FRACTION = 0.75
TIMEOUT_FACTOR = 5.0  # timeout of an attempt in multiples of the mean latency under the current load
MAX_TIMED_ATTEMPTS = 2  # number of attempts of a request that have a timeout


class RetryPolicy:
    """Decides whether a request may be retried, and on the timeouts of its attempts."""

    def __init__(self, settings: Settings, latency: LatencyEstimates) -> None:
        self.settings = settings
        self.latency = latency

    def may_retry(self, now_ms: float, pending: PendingRequest, event: AttemptEnded | None) -> bool:
        """Returns whether another attempt may start at `now_ms`. `event`: the end of the last attempt, if
        known."""
        if pending.attempt_count >= self.settings.max_attempts:
            return False
        if event and event.outcome is Outcome.NOT_SENT:
            return False  # no time was left, or the client has disconnected; a retry would not be sent either
        request_class = pending.request_class
        mean_ms = self.latency.expected_ms(request_class, pending.request.units)
        if now_ms + MIN_RESPONSE_FRACTION * mean_ms > useful_until_ms(pending):
            return False
        if pending.may_have_run_ms is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        has_key = request_class.idempotency is Idempotency.WITH_KEY
        return has_key and now_ms < self.idempotency_expiry_ms(pending)

    def idempotency_expiry_ms(self, pending: PendingRequest) -> float:
        """Returns the time after which nothing of a request that may have run is sent, as servers may have
        forgotten its idempotency key; 0 if there is no such time."""
        if pending.request_class.idempotency is not Idempotency.WITH_KEY or pending.may_have_run_ms is None:
            return 0.0
        return pending.may_have_run_ms + pending.request_class.idempotency_window_ms - EXPIRY_MARGIN_MS

    def attempt_timeout_ms(self, now_ms: float, pending: PendingRequest, mean_ms: float) -> float:
        """Returns the timeout of the next attempt, after which it may be retried. It is 0 (no timeout) if a
        retry would be too late or is not allowed, so that overloaded servers can finish their work.

        `mean_ms`: mean latency of such a request.
        """
        request_class, request = pending.request_class, pending.request
        objective_ms = request_class.latency_objective_ms
        timeout_ms = max(
            MIN_TIMEOUT_FRACTION * objective_ms,
            TIMEOUT_FACTOR * mean_ms * max(1.0, self.latency.load_factor),
        )
        leaves_no_time = (
            timeout_ms > MAX_TIMEOUT_FRACTION * objective_ms
            or pending.deadline_ms - now_ms - timeout_ms < mean_ms
        )
        if (
            leaves_no_time
            or request_class.idempotency is Idempotency.NON_IDEMPOTENT
            or pending.attempt_count >= min(MAX_TIMED_ATTEMPTS, self.settings.max_attempts - 1)
        ):
            timeout_ms = 0.0
        if request.attempt_timeout_ms > 0:
            timeout_ms = min(timeout_ms or math.inf, request.attempt_timeout_ms)
        return timeout_ms


def useful_until_ms(pending: PendingRequest) -> float:
    """Returns the time until which a response still has a value."""
    if pending.request_class.late_weight_fraction > 0:
        return pending.deadline_ms
    return min(pending.deadline_ms, pending.arrived_ms + pending.request_class.latency_objective_ms)
