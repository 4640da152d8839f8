"""Pending requests and their attempts."""

from __future__ import annotations

import math
from dataclasses import field

from .admission.tenant import Tenant
from .events import Endpoint, Request
from .record import record
from .settings import RequestClass


@record(slots=True)
class PendingRequest:
    """A request that awaits its final response."""

    request: Request
    request_class: RequestClass
    tenant: Tenant | None  # None: no quota
    arrived_ms: float
    deadline_ms: float
    attempt_count: int = 0
    in_flight: int = 0  # attempts of it
    is_counted: bool = False  # not to be reported: its own call added its units, or may have, or stood for it
    is_charged: bool = False  # its units are taken from the tenant's buckets
    has_reached_server: bool = False  # an attempt has, or may have
    attempted_addresses: list[str] = field(default_factory=list)
    may_have_run_ms: float | None = None  # when the first attempt was sent that may have run
    pinned_endpoint: Endpoint | None = None  # where that one went


@record(slots=True)
class Attempt:
    """An attempt in flight; it may outlive its request."""

    pending: PendingRequest
    endpoint: Endpoint
    sent_ms: float
    expected_latency_ms: float  # mean of such requests when it was sent
    response_started_ms: float = math.inf  # a streamed response has begun: it is not late from then on


@record(frozen=True, slots=True)
class ScheduledAttempt:
    """A further attempt that a timer starts."""

    pending: PendingRequest
    is_hedge: bool
