"""Captures of format 1, which hold the names of programs before the present layout: read, never written.

Field names of settings, events and actions are mapped when a segment is read; `format_1_snapshot` loads its
snapshots.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

FORMAT = 1

SETTINGS = {
    "gateways": "gateway_count",
    "safety": "slow_start",
    "counter": "has_counter",
    "subscribe": "must_subscribe",
    "sizes_known": "weights_known",
    "overlap": "allows_hedging",
}
REQUEST_CLASS = {
    "aim_ms": "latency_objective_ms",
    "worth": "priority_weight",
    "repeat": "idempotency",
    "scope": "idempotency_scope",
    "memory_ms": "idempotency_window_ms",
    "late_worth": "late_weight_fraction",
}
PLAN = {
    "rate": "rate_per_s",
    "burst": "burst_units",
    "max_open": "max_concurrent",
    "ceiling_rate": "ceiling_rate_per_s",
    "ceiling_burst": "ceiling_burst_units",
    "ceiling_slack": "ceiling_slack_units",
    "beyond_worth": "over_quota_weight_fraction",
    "beyond_cost": "over_quota_cost_fraction",
}
SLOW_START = {
    "cold_share": "initial_fraction",
    "warm_ms": "warm_up_ms",
    "overload_ms": "overload_window_ms",
}
ENDPOINT = {"server": "address", "size": "weight"}
REQUEST = {"customer": "tenant", "spread": "gateway_spread", "copy_after_ms": "hedge_after_ms"}
QUOTA_SNAPSHOT = {
    "customer": "tenant",
    "spread": "gateway_spread",
    "store": "bucket_units",
    "guard": "ceiling_guard_units",
    "own": "own_demand_per_s",
    "others": "others_demand_per_s",
    "told_own": "reported_own_units",
    "told_all": "reported_units",
    "window_ms": "window_start_ms",
    "total": "window_total_units",
}

# By the number of a kind in `codec.EVENTS` and `codec.ACTIONS`: where rows of fields by name stand.
ENDPOINT_LIST_EVENT = 0
STATE_RECEIVED_EVENT = 10
USAGE_UPDATE_EVENT = 12
SEND_STATE_ACTION = 8

State = dict[str, Any]


def renamed(row: Mapping[str, Any], names: Mapping[str, str]) -> State:
    """The row under the names of today."""
    return {names.get(name, name): value for name, value in row.items()}


def settings(raw: Mapping[str, Any]) -> State:
    """A head's settings under the names of today."""
    made = renamed(raw, SETTINGS)
    made["classes"] = [renamed(row, REQUEST_CLASS) for row in made["classes"]]
    made["plans"] = [renamed(row, PLAN) for row in made["plans"]]
    made["slow_start"] = renamed(made["slow_start"], SLOW_START)
    return made


def record(raw: list[Any]) -> list[Any]:
    """A record ``[now_ms, kind, fields, actions]`` under the names of today."""
    now_ms, kind, values, actions = raw
    if kind == ENDPOINT_LIST_EVENT:
        values = [values[0], [renamed(row, ENDPOINT) for row in values[1]], *values[2:]]
    elif kind == STATE_RECEIVED_EVENT:
        values = [[renamed(row, QUOTA_SNAPSHOT) for row in values[0]]]
    elif kind == USAGE_UPDATE_EVENT:
        values = [renamed(values[0], REQUEST), *values[1:]]
    if actions is not None:
        actions = [action(number, fields) for number, fields in actions]
    return [now_ms, kind, values, actions]


def action(number: int, values: list[Any]) -> list[Any]:
    """One action of a record under the names of today."""
    if number == SEND_STATE_ACTION:
        values = [[renamed(row, QUOTA_SNAPSHOT) for row in values[0]]]
    return [number, values]
