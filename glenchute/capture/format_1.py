"""Captures of format 1, which hold field and class names of older programs. They are read, never written.

The field names of settings, events and actions are mapped to the present ones when a segment is read;
`format_1_snapshot` loads the snapshots.
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

# Indexes in `codec.EVENTS` and `codec.ACTIONS` of the kinds that hold objects, stored with field names.
ENDPOINT_LIST_EVENT = 0
STATE_RECEIVED_EVENT = 10
USAGE_UPDATE_EVENT = 12
SEND_STATE_ACTION = 8

State = dict[str, Any]


def rename_fields(row: Mapping[str, Any], names: Mapping[str, str]) -> State:
    """Returns the row with its keys mapped by `names`; other keys stay."""
    return {names.get(name, name): value for name, value in row.items()}


def convert_settings(raw: Mapping[str, Any]) -> State:
    """Returns the settings of a segment header under the present names."""
    converted = rename_fields(raw, SETTINGS)
    converted["classes"] = [rename_fields(row, REQUEST_CLASS) for row in converted["classes"]]
    converted["plans"] = [rename_fields(row, PLAN) for row in converted["plans"]]
    converted["slow_start"] = rename_fields(converted["slow_start"], SLOW_START)
    return converted


def convert_record(raw: list[Any]) -> list[Any]:
    """Returns a record ``[now_ms, kind, fields, actions]`` under the present names."""
    now_ms, kind, values, actions = raw
    if kind == ENDPOINT_LIST_EVENT:
        values = [values[0], [rename_fields(row, ENDPOINT) for row in values[1]], *values[2:]]
    elif kind == STATE_RECEIVED_EVENT:
        values = [[rename_fields(row, QUOTA_SNAPSHOT) for row in values[0]]]
    elif kind == USAGE_UPDATE_EVENT:
        values = [rename_fields(values[0], REQUEST), *values[1:]]
    if actions is not None:
        actions = [convert_action(action_kind, fields) for action_kind, fields in actions]
    return [now_ms, kind, values, actions]


def convert_action(kind: int, values: list[Any]) -> list[Any]:
    """Returns an action of a record under the present names."""
    if kind == SEND_STATE_ACTION:
        values = [[rename_fields(row, QUOTA_SNAPSHOT) for row in values[0]]]
    return [kind, values]
