"""What the decision engine is told once, when it is made: request classes, plans, slow start, and limits.

Times are milliseconds. A *unit* is what a request takes from its tenant's quota (`Request.units`).
"""

from __future__ import annotations

from enum import Enum

from .record import record


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"  # servers drop repeats that carry the same idempotency key, for a time
    NON_IDEMPOTENT = "unsafe"


class IdempotencyScope(Enum):
    """Which servers drop repeats of one request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@record(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    latency_objective_ms: float  # a response within this time earns the full priority weight
    priority_weight: float
    idempotency: Idempotency
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL  # with a key only
    idempotency_window_ms: float = 0.0  # with a key only: how long servers remember a key
    late_weight_fraction: float = 0.0  # fraction of the weight that a later response earns


@record(frozen=True, slots=True)
class Plan:
    """One plan; its quotas hold for each tenant over all gateways together. 0: there is no such limit."""

    name: str
    price: float = 1.0
    rate_per_s: float = 0.0  # units
    burst_units: float = 0.0  # units that the tenant's token bucket holds at most
    max_concurrent: int = 0  # attempts in flight at once
    ceiling_rate_per_s: float = 0.0  # units
    ceiling_burst_units: float = 0.0
    ceiling_slack_units: float = 0.0
    over_quota_weight_fraction: float = (
        0.0  # of its weight, that a request beyond the quota earns; not used yet
    )
    over_quota_cost_fraction: float = 0.0  # of its weight, that such a request costs; not used yet


@record(frozen=True, slots=True)
class SlowStart:
    """How a server warms up after its start, and what overloads it meanwhile."""

    initial_fraction: float = 0.2  # least fraction of its capacity that a server starts with
    warm_up_ms: float = 20000.0  # it has its full capacity after this time at most
    overload_factor: float = 2.0  # sent more than this many times its capacity ...
    overload_window_ms: float = 1000.0  # ... for this long, a server that warms up fails


@record(frozen=True, slots=True)
class Settings:
    """What a gateway knows at start."""

    zone: str
    gateway_count: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    slow_start: SlowStart
    max_attempts: int = 3  # of one request
    max_requests: int = 20000  # pending requests of this gateway
    max_retry_after_ms: float = 1000.0
    has_counter: bool = False  # a shared counter may be called
    counter_timeout_ms: float = 50.0
    must_subscribe: bool = False  # endpoint changes come only after `SubscribeToEndpoints`
    weights_known: bool = False  # `Endpoint.weight` says how large a server is; not used yet
    cross_zone_price: float = 0.0  # of a request to another zone; each 0.1 adds one time the expected delay
    allows_hedging: bool = False  # two attempts of one request may be in flight at once
