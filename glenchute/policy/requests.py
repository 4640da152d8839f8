"""The state of pending requests and their attempts."""

from __future__ import annotations

import math
from dataclasses import field

from .admission.tenant import Tenant
from .events import Endpoint, Request
from .record import record
from .settings import RequestClass


@record(slots=True)
class PendingRequest:
    """A request without a final response."""

    request: Request
    request_class: RequestClass
    tenant: Tenant | None  # None: the request has no quota
    arrived_ms: float
    deadline_ms: float
    attempt_count: int = 0
    in_flight: int = 0  # attempts of this request in flight
    # Its units must not be reported to the counter: a call made for it added them, or may have, or units
    # that other calls reserve cover them.
    is_counted: bool = False
    is_charged: bool = False  # its units have been taken from the tenant's buckets
    has_reached_server: bool = False  # an attempt reached a server, or may have
    attempted_addresses: list[str] = field(default_factory=list)
    may_have_run_ms: float | None = None  # send time of the first attempt that may have run
    pinned_endpoint: Endpoint | None = None  # the server of the first attempt that may have run

    def record_possible_run(self, sent_ms: float, endpoint: Endpoint) -> None:
        """Records that an attempt has ended that may have run. Of concurrent attempts the one sent first
        counts, as servers remember the idempotency key from then on."""
        if self.may_have_run_ms is None or sent_ms < self.may_have_run_ms:
            self.may_have_run_ms, self.pinned_endpoint = sent_ms, endpoint


@record(slots=True)
class Attempt:
    """An attempt in flight; it may outlive its request."""

    pending: PendingRequest
    endpoint: Endpoint
    sent_ms: float
    expected_latency_ms: float  # mean latency of such requests at the time of sending
    # When a streamed response began. The attempt's age for the capacity estimate ends here.
    response_started_ms: float = math.inf
    is_in_backlog: bool = True  # whether its work counts as backlog


@record(frozen=True, slots=True)
class ScheduledAttempt:
    """A retry or a hedged attempt that starts when its timer fires."""

    pending: PendingRequest
    is_hedge: bool
