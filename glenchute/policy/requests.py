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
    cls: RequestClass
    customer: Tenant | None
    came: float
    deadline: float
    attempts: int = 0
    out: int = 0
    counted: bool = False  # its call has told the counter of it
    booked: bool = False  # its units are taken from the stores
    reached: bool = False  # an attempt came to a server, or may have
    tried: list[str] = field(default_factory=list)
    may_run_at: float | None = None  # when the first attempt was sent that may have run
    home: Endpoint | None = None  # where that one went


@record(slots=True)
class Attempt:
    """An attempt under way; it may outlive its request."""

    opened: PendingRequest
    server: Endpoint
    sent: float
    work: float  # mean time of such a request by then
    began: float = math.inf  # when a long answer's first bytes came; from then on it is not late
