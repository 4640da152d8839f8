"""The operator's settings of the external processor."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from glenchute.policy.record import record
from glenchute.policy.services.request_mapping import MappingRules
from glenchute.policy.settings import Idempotency


class ClassLimits(NamedTuple):
    """The platform's limits of one request class."""

    idempotency: Idempotency
    idempotency_window_ms: float
    max_deadline_ms: float


@record(frozen=True, slots=True)
class ExtProcSettings:
    """The settings of the listener. Times are seconds unless a name or comment says otherwise."""

    mapping_rules: MappingRules
    class_limits: Mapping[str, ClassLimits]
    max_requests: int = 10_000
    reconnect_grace_s: float = 0.25
    has_attempt_streams: bool = True  # the proxy also has an upstream filter, which asks for each attempt
    endpoint_header: str = "x-gateway-destination-endpoint"
    load_header: str = "x-glenchute-load"
    rejected_status: int = 429
    # Classes whose requests may be sent on the decision of an earlier process.
    resumable_classes: frozenset[str] = frozenset()
    max_attempts: int = 3
