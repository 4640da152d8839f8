"""Declares the structure of the operator's file: its tables, their keys, and the values of each key."""

from __future__ import annotations

from typing import Any

from glenchute.policy.events import Outcome

from .extproc_shape import LISTENERS
from .fleet import FLEET
from .pipeline import MAX_DEPTH, PIPELINE
from .schema import Boolean, Number, String, Strings, Table, TableArray

MAX_ROUTES = 5_000
MAX_DURATION_MS = 600_000.0
RETRY_CAUSES = {
    outcome.value: outcome
    for outcome in (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT)
}
COMMANDS = ("GET", "POST")

ROUTE_LIMITS: dict[str, Any] = {
    "attempt_timeout_ms": Number(0, MAX_DURATION_MS, excludes_minimum=True),
    "attempts": Number(1, 100, is_integer=True),
    "backoff": Table(
        {
            "first_ms": Number(0, MAX_DURATION_MS, excludes_minimum=True),
            "factor": Number(1, 100),
            "most_ms": Number(0, MAX_DURATION_MS, excludes_minimum=True),
            "jitter": Number(0, 1),
        },
        ("first_ms",),
    ),
    "retry_on": Strings(tuple(RETRY_CAUSES), allows_single=False, code="unknown-cause"),
    "second_copy_after_ms": Number(0, MAX_DURATION_MS, excludes_minimum=True),
    "retry_budget": Table({"share": Number(0, 1), "least_per_s": Number(0, 1e6)}, ("share",)),
    "pipeline_depth": Number(1, MAX_DEPTH, is_integer=True),
}
MATCH = Table({"class": Strings(), "plan": Strings(), "command": Strings(COMMANDS, code="unknown-command")})
NAME = String("[A-Za-z0-9_.-]{1,64}", "1 to 64 letters, digits, '_', '.' or '-'")
CAPTURE = Table(
    {
        "folder": String("[^\\x00-\\x1f]{1,200}", "the path of a folder"),
        "mode": String("ring|disk", "ring or disk"),
        "segment_s": Number(0.1, 3600),
        "segment_mb": Number(0.01, 64),
        "segments": Number(1, 10_000, is_integer=True),
        "refusal_share": Number(0, 1, excludes_minimum=True),
        "account_key_file": String("[^\\x00-\\x1f]{1,400}", "the path of a file"),
    },
    ("folder",),
)
DISCOVERY = Table(
    {
        "calls_per_s": Number(0.1, 100_000),  # the service's limit for all gateways together
        "list_age_s": Number(2.5, 3600),  # age by which a change counts as notified
        "doubt": Boolean(),  # whether an implausible endpoint list needs confirmation by a second one
    }
)
SUBSET = Table(
    {
        "servers": Number(1, 5_000, is_integer=True),  # minimum that each gateway uses
        "busy": Number(0.1, 100),  # mean attempts in flight per server above which more servers are used
        "calm": Number(0, 100),  # mean attempts in flight per server below which fewer servers are used
    },
    ("servers",),
)
SHAPE = Table(
    {
        "defaults": Table(ROUTE_LIMITS),
        "capture": CAPTURE,
        "discovery": DISCOVERY,
        "fleet": FLEET,
        "fronts": LISTENERS,
        "pipeline": PIPELINE,
        "subset": SUBSET,
        "route": TableArray(
            Table({"name": NAME, "match": MATCH, **ROUTE_LIMITS}, ("name", "match")), MAX_ROUTES
        ),
    }
)


def json_schema() -> dict[str, Any]:
    """Returns the JSON Schema of the file, for editors. The platform's rules are checked by `glenchute check`
    only."""
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "glenchute operator's file",
        **SHAPE.schema(),
    }
