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
    """A request that awaits its final answer."""

    request: Request
    request_class: RequestClass
    tenant: Tenant | None
    arrived_ms: float
    deadline_ms: float
    attempt_count: int = 0
    in_flight: int = 0
    is_counted: bool = False  # its call has told the counter of it
    is_charged: bool = False  # its units are taken from the stores
    has_reached_server: bool = False  # an attempt came to a server, or may have
    attempted_addresses: list[str] = field(default_factory=list)
    may_have_run_ms: float | None = None  # when the first attempt was sent that may have run
    pinned_endpoint: Endpoint | None = None  # where that one went


@record(slots=True)
class Attempt:
    """An attempt under way; it may outlive its request."""

    pending: PendingRequest
    endpoint: Endpoint
    sent_ms: float
    expected_latency_ms: float  # mean time of such a request by then
    response_started_ms: float = (
        math.inf
    )  # when a long answer's first bytes came; from then on it is not late
