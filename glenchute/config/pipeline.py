"""`[pipeline]` of the operator's file: its shape, its mapping to `PipelineRules`, and its checks.

The shape is needed for every operator's file; what the table maps to is imported only for those that have it.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from glenchute.policy.settings import Idempotency

from .facts import PlatformFacts
from .schema import MISSING, Boolean, Number, Path, Report, Strings, Table

if TYPE_CHECKING:
    from glenchute.policy.connections.pipeline_types import PipelineRules

HERE: Path = ("pipeline",)
MAX_DEPTH = 1000

PIPELINE = Table(
    {
        "classes": Strings(),
        "behind_unsafe": Boolean(),
        "depth": Number(1, MAX_DEPTH, is_integer=True),
        "adaptive": Boolean(),
        "release": Boolean(),
        "at_risk": Number(1, 10_000, is_integer=True),
        "wait_ms": Number(0, 10_000),
        "settle_ms": Number(0, 10_000),
        "gather": Number(1, 1024, is_integer=True),
        "gather_bytes": Number(256, 256 * 1024, is_integer=True),
        "stall_quantile": Number(0.5, 0.999),
        "stall_factor": Number(1, 100),
        "least_stall_ms": Number(1, 60_000),
        "open_price_ms": Number(0, 1000),
    },
    ("classes",),
)

# The file's keys -> fields of `PipelineRules`.
RULE_OF_KEY = {
    "depth": "max_depth",
    "at_risk": "max_queued_per_server",
    "wait_ms": "max_wait_ms",
    "settle_ms": "settle_ms",
    "stall_quantile": "stall_quantile",
    "stall_factor": "stall_factor",
    "least_stall_ms": "min_stall_ms",
    "open_price_ms": "open_cost_ms",
    "adaptive": "is_adaptive",
}


def rules_of(raw: Mapping[str, Any]) -> PipelineRules:
    """The rules that a checked table states; those it leaves out have their defaults. What the platform's
    file contributes is not among them."""
    # Imported only for a file with the table.
    from glenchute.policy.connections.pipeline_types import PipelineRules

    return PipelineRules(**{field: raw[key] for key, field in RULE_OF_KEY.items() if key in raw})


def check(
    raw: dict[str, Any],
    rows: list[Any],
    defaults: dict[str, Any],
    facts: PlatformFacts | None,
    report: Report,
) -> None:
    """Reports violations of a table whose shape is right, and of the routes' depths.

    `rows`, `defaults`: the routes' checked tables. `facts`: None where the platform is unknown, so that only
    the table itself can be checked.
    """
    rules = rules_of(raw)
    if rules.max_depth == 1:
        report("depth-of-one", (*HERE, "depth"), "lets nothing share a connection; write 2 or more, or take "
               "[pipeline] out")  # fmt: skip
    if facts is None:
        return
    check_platform_limits(raw, rules, facts, report)
    for index, name in enumerate(raw.get("classes", ())):
        check_class(name, (*HERE, "classes", index), rules, facts, report)
    check_routes(raw, rules.max_wait_ms, rows, defaults, facts, report)


def check_platform_limits(
    raw: dict[str, Any], rules: PipelineRules, facts: PlatformFacts, report: Report
) -> None:
    """Reports rules that the platform's limits contradict."""
    depth = rules.max_depth
    if facts.max_streams and depth > facts.max_streams:
        path = (*HERE, "depth") if "depth" in raw else HERE
        report("depth-over-settings", path, f"is {depth}; the platform begins {facts.max_streams} commands "
               "of a connection at once, and the rest would only wait; write that or less")  # fmt: skip
    if facts.max_attempts < 2:
        report("no-second-attempt", HERE, "the platform allows one attempt a request, so nothing may be put "
               "where it can be cut; take [pipeline] out")  # fmt: skip
    if rules.settle_ms >= facts.idle_timeout_ms:
        report("settle-over-idle", (*HERE, "settle_ms"), f"connections are closed after "
               f"{facts.idle_timeout_ms:g} ms without use, so none would be used again; "
               "write less")  # fmt: skip


def check_class(name: str, path: Path, rules: PipelineRules, facts: PlatformFacts, report: Report) -> None:
    """Reports a class that can't share connections."""
    cls = facts.classes.get(name)
    if cls is None:
        known = ", ".join(facts.classes)
        report("unknown-class", path, f"{name[:40]!r} is no class of the platform; write one of {known}")
    elif cls.idempotency is Idempotency.NON_IDEMPOTENT:
        report("unsafe-shares", path, f"{name} must never run twice, and a line that is cut would leave "
               "it unknown; take it out")  # fmt: skip
    elif cls.idempotency is Idempotency.WITH_KEY and not cls.is_scope_known:
        report("keyed-scope", path, "the platform's file does not say which servers drop repeats of "
               f"{name}; take it out")  # fmt: skip
    elif cls.idempotency is Idempotency.WITH_KEY and cls.idempotency_window_ms <= rules.min_stall_ms:
        report("keyed-beyond-memory", path, f"repeats of {name} are dropped for "
               f"{cls.idempotency_window_ms:g} ms, in which no stall is found; take it out, or lower "
               "least_stall_ms")  # fmt: skip


def check_routes(
    raw: dict[str, Any],
    max_wait_ms: float,
    rows: list[Any],
    defaults: dict[str, Any],
    facts: PlatformFacts,
    report: Report,
) -> None:
    """Reports routes whose depth can't apply, and a wait that leaves an attempt no time."""
    shared = [name for name in raw.get("classes", ()) if name in facts.classes]
    timeouts_ms: list[float] = []
    for path, row in table_rows(rows, defaults):
        check_route_depth(path, row, shared, facts, report)
        if "attempt_timeout_ms" in row:
            timeouts_ms.append(row["attempt_timeout_ms"])
    timeouts_ms += [facts.classes[name].deadline_ms for name in shared]
    shortest_ms = min(timeouts_ms, default=0.0)
    if timeouts_ms and max_wait_ms >= shortest_ms:
        path = (*HERE, "wait_ms") if "wait_ms" in raw else HERE
        report("wait-over-timeout", path, f"lets an attempt wait {max_wait_ms:g} ms for a connection; one is "
               f"given up after {shortest_ms:g} ms; write less")  # fmt: skip


def check_route_depth(
    path: Path, row: dict[str, Any], shared: list[str], facts: PlatformFacts, report: Report
) -> None:
    """Reports a route's depth that exceeds the platform's limit or matches no shared class."""
    depth = row.get("pipeline_depth")
    if depth is None:
        return
    if facts.max_streams and depth > facts.max_streams:
        report("depth-over-settings", (*path, "pipeline_depth"),
               f"is {depth}; the platform begins {facts.max_streams} commands of a connection at once; "
               "write that or less")  # fmt: skip
    named = row.get("match", {}).get("class", ())
    if depth > 1 and named and not set(named) & set(shared):
        report("depth-unused", (*path, "pipeline_depth"), f"{', '.join(named)} is not in "
               "pipeline.classes; name it there, or take this out")  # fmt: skip


def table_rows(rows: list[Any], defaults: dict[str, Any]) -> list[tuple[Path, dict[str, Any]]]:
    """The tables in which a depth or a timeout may be set, with their paths."""
    found: list[tuple[Path, dict[str, Any]]] = [(("defaults",), defaults)] if defaults else []
    return found + [(("route", index), row) for index, row in enumerate(rows) if row is not MISSING]


def unused(rows: list[Any], defaults: dict[str, Any], report: Report) -> None:
    """Reports depths in a file without the table that they are for."""
    for path, row in table_rows(rows, defaults):
        if "pipeline_depth" in row:
            report("depth-unused", (*path, "pipeline_depth"), "needs [pipeline]; add it, or take this out")
