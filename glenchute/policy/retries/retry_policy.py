"""The retry policy: when another attempt of a request is allowed and of use, and how long an attempt may
take.

Allowed means that nothing is executed twice: a request that is not idempotent is never sent again once it may
have run; one with an idempotency key only as long as servers remember the key.
"""

from __future__ import annotations

import math

from ..balancing.latency import LatencyEstimates
from ..events import AttemptEnded, Outcome
from ..requests import PendingRequest
from ..settings import Idempotency, Settings

EXPIRY_MARGIN_MS = 5.0  # before servers may forget an idempotency key
LEAST_RESPONSE_FRACTION = 0.5  # of a mean response time that has to be left for a retry
LEAST_TIMEOUT_FRACTION = 0.5  # of the latency objective
MOST_TIMEOUT_FRACTION = 0.75  # a longer timeout leaves a retry no time
TIMEOUT_FACTOR = 5.0  # times the mean response time under the present load
MOST_TIMEOUTS = 2  # attempts of a request that have a timeout


class RetryPolicy:
    """What the attempts of one request may do."""

    def __init__(self, settings: Settings, latency: LatencyEstimates) -> None:
        self.settings = settings
        self.latency = latency

    def may_retry(self, now_ms: float, pending: PendingRequest, event: AttemptEnded | None) -> bool:
        """Whether another attempt may start at `now_ms`. `event`: the end of the last one, if it is known."""
        if pending.attempt_count >= self.settings.max_attempts:
            return False
        if event and event.outcome is Outcome.NOT_SENT:
            return False  # it had no time left, or its client has gone: another would fare the same
        request_class = pending.request_class
        mean_ms = self.latency.expected_ms(request_class, pending.request.units)
        if now_ms + LEAST_RESPONSE_FRACTION * mean_ms > useful_until_ms(pending):
            return False
        if pending.may_have_run_ms is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        has_key = request_class.idempotency is Idempotency.WITH_KEY
        return has_key and now_ms < self.idempotency_expiry_ms(pending)

    def idempotency_expiry_ms(self, pending: PendingRequest) -> float:
        """When the servers may have forgotten the idempotency key of a request that may have run; 0: no such
        time."""
        if pending.request_class.idempotency is not Idempotency.WITH_KEY or pending.may_have_run_ms is None:
            return 0.0
        return pending.may_have_run_ms + pending.request_class.idempotency_window_ms - EXPIRY_MARGIN_MS

    def attempt_timeout_ms(self, now_ms: float, pending: PendingRequest, mean_ms: float) -> float:
        """How long the next attempt may take before it is given up for a retry; 0: as long as the client
        waits, where a retry would come too late or is not allowed: overloaded servers finish their work.

        `mean_ms`: mean response time of such a request.
        """
        request_class, request = pending.request_class, pending.request
        objective_ms = request_class.latency_objective_ms
        timeout_ms = max(
            LEAST_TIMEOUT_FRACTION * objective_ms,
            TIMEOUT_FACTOR * mean_ms * max(1.0, self.latency.load_factor),
        )
        leaves_no_time = (
            timeout_ms > MOST_TIMEOUT_FRACTION * objective_ms
            or pending.deadline_ms - now_ms - timeout_ms < mean_ms
        )
        if (
            leaves_no_time
            or request_class.idempotency is Idempotency.NON_IDEMPOTENT
            or pending.attempt_count >= min(MOST_TIMEOUTS, self.settings.max_attempts - 1)
        ):
            timeout_ms = 0.0
        if request.attempt_timeout_ms > 0:
            timeout_ms = min(timeout_ms or math.inf, request.attempt_timeout_ms)
        return timeout_ms


def useful_until_ms(pending: PendingRequest) -> float:
    """Until when a response earns anything."""
    if pending.request_class.late_weight_fraction > 0:
        return pending.deadline_ms
    return min(pending.deadline_ms, pending.arrived_ms + pending.request_class.latency_objective_ms)
