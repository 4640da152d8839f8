"""The table `[pipeline]` of the operator's file: its structure, its checks, and its mapping to
`PipelineRules`.

The structure is needed for every operator's file; `PipelineRules` is imported only for a file with the table.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from glenchute.policy.settings import Idempotency

from .facts import PlatformFacts
from .schema import MISSING, Boolean, Number, Path, Report, Strings, Table

if TYPE_CHECKING:
    from glenchute.policy.connections.pipeline_types import PipelineRules

LOCATION: Path = ("pipeline",)
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

# Keys of the table, mapped to fields of `PipelineRules`.
RULE_FIELDS = {
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


def rules_from_table(raw: Mapping[str, Any]) -> PipelineRules:
    """Returns the rules of a validated table, with defaults for those that it leaves out. Rules that depend
    on the platform's file are not set."""
    # Imported only for a file with the table.
    from glenchute.policy.connections.pipeline_types import PipelineRules

    return PipelineRules(**{field: raw[key] for key, field in RULE_FIELDS.items() if key in raw})


def check(
    raw: dict[str, Any],
    rows: list[Any],
    defaults: dict[str, Any],
    facts: PlatformFacts | None,
    report: Report,
) -> None:
    """Reports violations by a table whose structure is valid, and by the depths of routes.

    `rows` and `defaults` are the validated tables of the routes. If `facts` is None, the platform is unknown
    and only the table itself is checked.
    """
    rules = rules_from_table(raw)
    if rules.max_depth == 1:
        report("depth-of-one", (*LOCATION, "depth"), "lets no attempts share a connection; write 2 or more, "
               "or remove [pipeline]")  # fmt: skip
    if facts is None:
        return
    check_platform_limits(raw, rules, facts, report)
    for index, name in enumerate(raw.get("classes", ())):
        check_class(name, (*LOCATION, "classes", index), rules, facts, report)
    check_routes(raw, rules.max_wait_ms, rows, defaults, facts, report)


def check_platform_limits(
    raw: dict[str, Any], rules: PipelineRules, facts: PlatformFacts, report: Report
) -> None:
    """Reports rules that contradict the platform's limits."""
    depth = rules.max_depth
    if facts.max_streams and depth > facts.max_streams:
        path = (*LOCATION, "depth") if "depth" in raw else LOCATION
        report("depth-over-settings", path, f"is {depth}; servers run {facts.max_streams} commands "
               "of a connection concurrently, and the rest would only wait; write that or less")  # fmt: skip
    if facts.max_attempts < 2:
        report("no-second-attempt", LOCATION, "the platform allows one attempt per request, so none may "
               "share a connection that may be reset; remove [pipeline]")  # fmt: skip
    if rules.settle_ms >= facts.idle_timeout_ms:
        report("settle-over-idle", (*LOCATION, "settle_ms"), f"connections are closed after "
               f"{facts.idle_timeout_ms:g} ms without use, so none would be used again; "
               "write less")  # fmt: skip


def check_class(name: str, path: Path, rules: PipelineRules, facts: PlatformFacts, report: Report) -> None:
    """Reports a class that can't share connections."""
    cls = facts.classes.get(name)
    if cls is None:
        known = ", ".join(facts.classes)
        report("unknown-class", path, f"{name[:40]!r} is no class of the platform; write one of {known}")
    elif cls.idempotency is Idempotency.NON_IDEMPOTENT:
        report("unsafe-shares", path, f"{name} must never run twice, and a reset of a shared connection "
               "leaves unknown whether it ran; remove it")  # fmt: skip
    elif cls.idempotency is Idempotency.WITH_KEY and not cls.is_scope_known:
        report("keyed-scope", path, "the platform's file does not say which servers drop repeats of "
               f"{name}; remove it")  # fmt: skip
    elif cls.idempotency is Idempotency.WITH_KEY and cls.idempotency_window_ms <= rules.min_stall_ms:
        report("keyed-beyond-memory", path, f"repeats of {name} are dropped for "
               f"{cls.idempotency_window_ms:g} ms, in which no stall is detected; remove it, or lower "
               "least_stall_ms")  # fmt: skip


def check_routes(
    raw: dict[str, Any],
    max_wait_ms: float,
    rows: list[Any],
    defaults: dict[str, Any],
    facts: PlatformFacts,
    report: Report,
) -> None:
    """Reports routes whose depth can't apply, and a maximum wait that leaves an attempt no time."""
    shared = [name for name in raw.get("classes", ()) if name in facts.classes]
    timeouts_ms: list[float] = []
    for path, row in table_rows(rows, defaults):
        check_route_depth(path, row, shared, facts, report)
        if "attempt_timeout_ms" in row:
            timeouts_ms.append(row["attempt_timeout_ms"])
    timeouts_ms += [facts.classes[name].deadline_ms for name in shared]
    shortest_ms = min(timeouts_ms, default=0.0)
    if timeouts_ms and max_wait_ms >= shortest_ms:
        path = (*LOCATION, "wait_ms") if "wait_ms" in raw else LOCATION
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
               f"is {depth}; servers run {facts.max_streams} commands of a connection concurrently; "
               "write that or less")  # fmt: skip
    named = row.get("match", {}).get("class", ())
    if depth > 1 and named and not set(named) & set(shared):
        report("depth-unused", (*path, "pipeline_depth"), f"{', '.join(named)} is not in "
               "pipeline.classes; name it there, or remove this")  # fmt: skip


def table_rows(rows: list[Any], defaults: dict[str, Any]) -> list[tuple[Path, dict[str, Any]]]:
    """Returns the tables in which a depth or a timeout may be set, with their paths."""
    found: list[tuple[Path, dict[str, Any]]] = [(("defaults",), defaults)] if defaults else []
    return found + [(("route", index), row) for index, row in enumerate(rows) if row is not MISSING]


def report_unused_depths(rows: list[Any], defaults: dict[str, Any], report: Report) -> None:
    """Reports depths in a file without the table `[pipeline]`."""
    for path, row in table_rows(rows, defaults):
        if "pipeline_depth" in row:
            report("depth-unused", (*path, "pipeline_depth"), "needs [pipeline]; add it, or remove this")
