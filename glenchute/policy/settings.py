"""The settings of a decision engine, fixed at its creation: request classes, plans, slow start and limits.

Times are milliseconds. A *unit* is the unit of a tenant's quota; `Request.units` is the cost of a request.
"""

from __future__ import annotations

from enum import Enum

from .record import record


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"  # servers ignore repeats with the same idempotency key for a limited time
    NON_IDEMPOTENT = "unsafe"


class IdempotencyScope(Enum):
    """The servers that recognise repeats of a request by its idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


UNKNOWN_CLASS_NAME = ""
# Latency objective of requests of unknown classes if the settings have no class at all.
DEFAULT_LATENCY_OBJECTIVE_MS = 1000.0


@record(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    latency_objective_ms: float  # a response within this time has the full priority weight
    priority_weight: float
    idempotency: Idempotency
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL  # for WITH_KEY only
    idempotency_window_ms: float = 0.0  # for WITH_KEY only: how long servers remember a key
    late_weight_fraction: float = 0.0  # fraction of the weight that a later response has

    @property
    def is_configured(self) -> bool:
        """Whether the settings have this class; only such classes have estimates."""
        return self.name != UNKNOWN_CLASS_NAME


def unknown_class(classes: tuple[RequestClass, ...]) -> RequestClass:
    """Returns the class of requests whose class the settings don't have. It is not idempotent, and a response
    has its full weight until the deadline. The latency objective is the longest of the settings: one that a
    request states would let that request alone decide how slow the servers appear."""
    objectives_ms = [request_class.latency_objective_ms for request_class in classes]
    return RequestClass(
        UNKNOWN_CLASS_NAME,
        latency_objective_ms=max(objectives_ms, default=DEFAULT_LATENCY_OBJECTIVE_MS),
        priority_weight=1.0,
        idempotency=Idempotency.NON_IDEMPOTENT,
        late_weight_fraction=1.0,
    )


@record(frozen=True, slots=True)
class Plan:
    """One plan. Its limits apply to each tenant, over all gateways together; 0 means no such limit."""

    name: str
    price: float = 1.0
    rate_per_s: float = 0.0  # units per second
    burst_units: float = 0.0  # capacity of the tenant's token bucket
    max_concurrent: int = 0  # attempts in flight at once
    ceiling_rate_per_s: float = 0.0  # units per second
    ceiling_burst_units: float = 0.0
    ceiling_slack_units: float = 0.0  # overshoot beyond the ceiling that the platform allows
    # Fraction of its weight that a request beyond the quota earns; not used yet.
    over_quota_weight_fraction: float = 0.0
    # Fraction of its weight that a request beyond the quota costs; not used yet.
    over_quota_cost_fraction: float = 0.0


@record(frozen=True, slots=True)
class SlowStart:
    """How a server warms up after its start, and which load makes it fail meanwhile: more than
    `overload_factor` times its present capacity for `overload_window_ms`."""

    initial_fraction: float = 0.2  # least fraction of its capacity that a server has at its start
    warm_up_ms: float = 20000.0  # longest time until a server has its full capacity
    overload_factor: float = 2.0
    overload_window_ms: float = 1000.0


@record(frozen=True, slots=True)
class Settings:
    """The configuration of one gateway's decision engine."""

    zone: str
    gateway_count: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    slow_start: SlowStart
    max_attempts: int = 3  # per request
    max_requests: int = 20000  # pending requests at this gateway
    max_retry_after_ms: float = 1000.0  # longest time after which a rejected client is told to retry
    has_counter: bool = False  # the shared counter can be called
    counter_timeout_ms: float = 50.0
    must_subscribe: bool = False  # endpoint changes are sent only after `SubscribeToEndpoints`
    weights_known: bool = False  # `Endpoint.weight` is the server's relative capacity; not used yet
    # Price of a request to another zone. In the endpoint choice, each 0.1 raises the cost of a server there
    # by its cost without this price.
    cross_zone_price: float = 0.0
    allows_hedging: bool = False  # two attempts of one request may be in flight at once
