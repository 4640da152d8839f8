"""Builds the decision engine's settings from the object `settings` of the platform's file.

Unknown keys are ignored, and missing ones get the safest value.
"""

from __future__ import annotations

import math
from typing import Any

from glenchute.policy.settings import (
    DEFAULT_LATENCY_OBJECTIVE_MS,
    Idempotency,
    IdempotencyScope,
    Plan,
    RequestClass,
    Settings,
    SlowStart,
)

IDEMPOTENCIES = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.WITH_KEY,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
IDEMPOTENCY_SCOPES = {
    "all": IdempotencyScope.ALL,
    "zone": IdempotencyScope.ZONE,
    "cell": IdempotencyScope.CELL,
}

MIN_LATENCY_OBJECTIVE_MS = 1.0


def number(value: Any, default: float = 0.0) -> float:
    """Returns a value as a number, or the default if the platform states none."""
    return default if value is None or isinstance(value, bool) else float(value)


def table(raw: dict[str, Any], key: str) -> dict[str, Any]:
    """Returns a nested object, or an empty one if there is none."""
    found = raw.get(key)
    return found if isinstance(found, dict) else {}


def rows(raw: dict[str, Any], key: str) -> list[dict[str, Any]]:
    """Returns a list of objects, without values of other types."""
    found = raw.get(key)
    return [row for row in found if isinstance(row, dict)] if isinstance(found, list) else []


def policy_settings(raw: dict[str, Any]) -> Settings:
    """Builds the settings of one gateway. Raises ValueError or TypeError if a value is not a number."""
    limits, counter = table(raw, "limits"), table(raw, "domain")
    return Settings(
        zone=str(raw.get("my_zone")),
        gateway_count=max(1, int(number(raw.get("balancers"), 1))),
        classes=tuple(request_class(row) for row in rows(raw, "profiles")),
        plans=tuple(plan(row) for row in rows(raw, "packages")),
        slow_start=slow_start(table(raw, "safety")),
        max_attempts=int(number(limits.get("attempts_cap"), 1)),
        max_requests=int(number(limits.get("max_open"), 20000)),
        max_retry_after_ms=number(limits.get("max_retry_after_ms")) if limits.get("retry_after") else 0.0,
        has_counter=bool(counter.get("counter")),
        counter_timeout_ms=number(counter.get("counter_timeout_ms"), 50.0),
        must_subscribe=raw.get("membership_mode") == "subscribe",
        weights_known=raw.get("weight_kind") in ("nominal", "rough"),
        cross_zone_price=number(table(raw, "prices").get("cross_zone")),
        allows_hedging=limits.get("second_copies") is True,
    )


def request_class(row: dict[str, Any]) -> RequestClass:
    """Builds a request class from a row of `profiles`. Raises ValueError if its latency objective can't be
    used."""
    return RequestClass(
        name=str(row.get("name")),
        latency_objective_ms=latency_objective_ms(row),
        priority_weight=number(row.get("importance"), 1.0),
        idempotency=IDEMPOTENCIES.get(str(row.get("repeat")), Idempotency.NON_IDEMPOTENT),
        idempotency_scope=IDEMPOTENCY_SCOPES.get(str(row.get("group")), IdempotencyScope.CELL),
        idempotency_window_ms=number(row.get("memory_span_ms")),
        late_weight_fraction=number(row.get("late_worth")),
    )


def latency_objective_ms(row: dict[str, Any]) -> float:
    """Returns the latency objective of a class: its `aim_ms`, or without one its `hard_limit_ms`. Raises
    ValueError if it is not finite or below `MIN_LATENCY_OBJECTIVE_MS`: latencies are divided by it."""
    key = "hard_limit_ms" if row.get("aim_ms") is None else "aim_ms"
    objective_ms = number(row.get(key), DEFAULT_LATENCY_OBJECTIVE_MS)
    if not MIN_LATENCY_OBJECTIVE_MS <= objective_ms < math.inf:
        raise ValueError(
            f"settings.profiles: {key} of class {row.get('name')} is {objective_ms:g}; "
            f"a finite number from {MIN_LATENCY_OBJECTIVE_MS:g} on is needed"
        )
    return objective_ms


def plan(row: dict[str, Any]) -> Plan:
    """Builds a plan from a row of `packages`."""
    return Plan(
        name=str(row.get("name")),
        price=number(row.get("price"), 1.0),
        rate_per_s=number(row.get("per_second")),
        burst_units=number(row.get("most_at_once")),
        max_concurrent=int(number(row.get("max_out"))),
        ceiling_rate_per_s=number(row.get("ceiling_rate")),
        ceiling_burst_units=number(row.get("hard_burst")),
        ceiling_slack_units=number(row.get("ceiling_slack")),
        over_quota_weight_fraction=number(row.get("excess_worth")),
        over_quota_cost_fraction=number(row.get("beyond_costs")),
    )


def slow_start(safety: dict[str, Any]) -> SlowStart:
    """Builds the slow start settings from the table `safety`."""
    defaults = SlowStart()
    return SlowStart(
        initial_fraction=number(safety.get("cold_from"), defaults.initial_fraction),
        warm_up_ms=number(safety.get("warm_after_ms"), defaults.warm_up_ms),
        overload_factor=number(safety.get("overload_factor"), defaults.overload_factor),
        overload_window_ms=number(safety.get("fall_ms"), defaults.overload_window_ms),
    )
