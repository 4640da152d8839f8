"""Loads the operator's file: TOML, validated completely against its own structure and the platform's rules.

`read` never raises on account of a file's content: it returns all findings, in the order of the lines.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from glenchute.policy.retries.route_limits import Backoff, RetryBudgetSettings, RouteLimits

from . import fleet, pipeline
from .facts import PlatformFacts
from .findings import Finding, has_errors
from .matching import MatchedRoute, Overlap, RouteCoverage, equal_rank_overlaps, match_fields
from .operator_shape import RETRY_CAUSES, SHAPE
from .operator_text import FindingCollector, free_entries, parse_toml, read_text
from .rules import violations
from .schema import MISSING, Path

RestartTables = tuple[dict[str, Any] | None, ...]
DEFAULT_MAX_BACKOFF_MS = 1000.0
DEFAULT_BACKOFF_FACTOR = 2.0
# Mean attempts in flight per server, as in `SubsetSettings`.
DEFAULT_SUBSET_CALM = 0.5
DEFAULT_SUBSET_BUSY = 2.0


class OperatorConfig(NamedTuple):
    """A valid file: the route that binds each class and plan, and the optional tables."""

    bindings: dict[tuple[str, str], RouteLimits]
    routes: tuple[MatchedRoute, ...] = ()
    capture: dict[str, Any] | None = None
    fronts: dict[str, Any] | None = None
    pipeline: dict[str, Any] | None = None
    fleet: dict[str, Any] | None = None
    discovery: dict[str, Any] | None = None
    subset: dict[str, Any] | None = None

    def restart_tables(self) -> RestartTables:
        """Returns the tables whose changes wait for a restart."""
        return (self.capture, self.fronts, self.pipeline, self.fleet, self.discovery, self.subset)


class ReadResult(NamedTuple):
    """The result of reading a file. `config` is None if the file is invalid."""

    file: str
    config: OperatorConfig | None
    findings: tuple[Finding, ...]


def read(
    path: str, facts: PlatformFacts | None, yield_processor: Callable[[], None] | None = None
) -> ReadResult:
    """Reads and checks a file; without `facts` only its own structure is checked. `yield_processor` is called
    between parts of the work, so that other threads can run."""
    text = read_text(path)
    if isinstance(text, Finding):
        return ReadResult(path, None, (text,))
    return parse(text, facts, path, yield_processor)


def parse(
    text: str,
    facts: PlatformFacts | None,
    file: str = "operator.toml",
    yield_processor: Callable[[], None] | None = None,
) -> ReadResult:
    """Checks the text of a file, as `read` does."""
    raw = parse_toml(text, yield_processor)
    if isinstance(raw, Finding):
        return ReadResult(file, None, (raw,))
    report = FindingCollector(yield_processor)
    values = SHAPE.check(raw, (), report)
    config = build(values, facts, report)
    findings = tuple(report.findings(text))
    may_load = not has_errors(findings)
    unused_routes = [] if may_load else list(config.routes)
    result = ReadResult(file, config if may_load else None, findings)
    del config  # the parts of a rejected file are freed below, in small steps
    for rows in (raw.get("route"), values.get("route"), report.rows, unused_routes):
        free_entries(rows)
    return result


def build(values: dict[str, Any], facts: PlatformFacts | None, report: FindingCollector) -> OperatorConfig:
    """Builds the configuration from the validated values, and reports the rules that they break."""
    check_optional_tables(values, facts, report)
    base = route_from_table("defaults", values["defaults"]) if "defaults" in values else None
    if base is not None:
        report_inconsistencies(values["defaults"], ("defaults",), report)
    routes = build_routes(values.get("route", []), base, report)
    subset = values.get("subset", {})
    if subset.get("calm", DEFAULT_SUBSET_CALM) >= subset.get("busy", DEFAULT_SUBSET_BUSY):
        message = "calm is not below busy, so servers would be added and removed in turn; lower it"
        report("subset-order", ("subset",), message)
    bindings = {} if facts is None else bind(routes, base, facts, report)
    if facts is None:
        overlaps = ((route, other, "a request") for route, other in equal_rank_overlaps(routes))
        report_equal_ranks(overlaps, report)
    return OperatorConfig(
        bindings,
        tuple(routes),
        capture=values.get("capture"),
        fronts=values.get("fronts", {}),
        pipeline=values.get("pipeline"),
        fleet=values.get("fleet"),
        discovery=values.get("discovery"),
        subset=values.get("subset"),
    )


def check_optional_tables(
    values: dict[str, Any], facts: PlatformFacts | None, report: FindingCollector
) -> None:
    """Checks the tables that enable a subsystem."""
    listeners = values.get("fronts", {})
    if "extproc" in listeners:
        from .extproc import check  # imported only for a file with this listener

        check(listeners["extproc"], facts, report)
    if "fleet" in values:
        fleet.check(values["fleet"], facts, report)
    routes, defaults = values.get("route", []), values.get("defaults", {})
    if values.get("pipeline") is not None:
        pipeline.check(values["pipeline"], routes, defaults, facts, report)
    else:
        pipeline.report_unused_depths(routes, defaults, report)


def build_routes(rows: list[Any], base: RouteLimits | None, report: FindingCollector) -> list[MatchedRoute]:
    """Builds the routes from the validated rows, without rows that are invalid as a whole."""
    routes: list[MatchedRoute] = []
    first_with_name: dict[str, int] = {}
    shared_values: dict[Any, Any] = {}
    for position, row in enumerate(rows):
        if row is MISSING:
            continue
        report.yield_processor()
        path: Path = ("route", position)
        report_inconsistencies(row, path, report)
        name = row.get("name", "")
        report_duplicate_name(name, first_with_name, path, report)
        first_with_name.setdefault(name, position)
        match = row.get("match", {})
        if "match" in row and not match:
            report("empty-match", (*path, "match"), "matches everything; use [defaults] for that")
        fields = tuple(match.get(key, ()) for key in ("class", "plan", "command"))
        routes.append(MatchedRoute(position, route_from_table(name, row, base, shared_values), *fields))
    return routes


def route_from_table(
    name: str, raw: dict[str, Any], base: RouteLimits | None = None, shared: dict[Any, Any] | None = None
) -> RouteLimits:
    """Builds a route from a table; keys that it leaves out are taken from `base`. Routes built with the same
    `shared` share equal values, which saves memory."""
    intern = (shared if shared is not None else {}).setdefault
    route = base._replace(name=name) if base is not None else RouteLimits(name)
    if "attempt_timeout_ms" in raw:
        timeout = raw["attempt_timeout_ms"]
        route = route._replace(attempt_timeout_ms=intern(timeout, timeout))
    if "attempts" in raw:
        route = route._replace(max_attempts=raw["attempts"])
    if "second_copy_after_ms" in raw:
        route = route._replace(hedge_after_ms=raw["second_copy_after_ms"])
    if "pipeline_depth" in raw:
        route = route._replace(max_pipeline_depth=raw["pipeline_depth"])
    if "retry_on" in raw:
        causes = frozenset(RETRY_CAUSES[word] for word in raw["retry_on"])
        route = route._replace(retryable_outcomes=intern(causes, causes))
    if "first_ms" in raw.get("backoff", {}):
        backoff = backoff_from_table(raw["backoff"])
        route = route._replace(backoff=intern(backoff, backoff))
    budget = raw.get("retry_budget", {})
    if "share" in budget:
        rule = RetryBudgetSettings(budget["share"], budget.get("least_per_s", 0.0))
        route = route._replace(retry_budget=intern(rule, rule))
    return route


def backoff_from_table(raw: dict[str, Any]) -> Backoff:
    """Builds the backoff from a route's `backoff` table."""
    first_ms = raw["first_ms"]
    longest_ms = raw.get("most_ms", max(first_ms, DEFAULT_MAX_BACKOFF_MS))
    return Backoff(first_ms, raw.get("factor", DEFAULT_BACKOFF_FACTOR), longest_ms, raw.get("jitter", 0.0))


def bind(
    routes: list[MatchedRoute], base: RouteLimits | None, facts: PlatformFacts, report: FindingCollector
) -> dict[tuple[str, str], RouteLimits]:
    """Returns the route that binds each class and plan of the platform, and reports findings on the
    routes."""
    coverage = RouteCoverage(routes, facts)
    if not report_unknown_names(coverage, facts, report):
        overlaps = ((found[0], found[1], describe_request(coverage, found)) for found in coverage.overlaps)
        report_equal_ranks(overlaps, report)
    return resolve_bindings(coverage, base, facts, report)


def resolve_bindings(
    coverage: RouteCoverage, base: RouteLimits | None, facts: PlatformFacts, report: FindingCollector
) -> dict[tuple[str, str], RouteLimits]:
    """Returns the route that binds each class and plan. Reports routes that bind nothing and broken rules."""
    bindings: dict[tuple[str, str], RouteLimits] = {}
    classes_by_route: dict[int, set[str]] = {}
    classes_by_defaults: set[str] = set()
    for name, plan, best in coverage.bindings():
        if best is not None:
            bindings[name, plan] = best.route
            classes_by_route.setdefault(best.position, set()).add(name)
        elif base is not None:
            bindings[name, plan] = base
            classes_by_defaults.add(name)
    for index, route in enumerate(coverage.routes):
        report.yield_processor()
        path: Path = ("route", route.position)
        if route.rank and route.position not in classes_by_route and coverage.has_known_names(route):
            report_unused(coverage, index, path, report)
        for name in sorted(classes_by_route.get(route.position, ())):
            report_violations(route.route, name, path, facts, report)
    for name in sorted(classes_by_defaults):
        if base is not None:
            report_violations(base, name, ("defaults",), facts, report)
    return bindings


def report_unused(coverage: RouteCoverage, index: int, path: Path, report: FindingCollector) -> None:
    """Reports the reason for which the route at `index` binds no class and plan."""
    shadowing = coverage.shadowing(index)
    classes, plans = coverage.spans[index]
    if shadowing:
        names = ", ".join(sorted(shadowing))
        report("never-matches", path, f"is shadowed by {names}; remove it, or name less there")
    elif not classes or not plans:
        message = (
            "matches no class of the platform: idempotent classes arrive by GET, the others by POST; "
            "correct match"
        )
        report("never-matches", path, message)


def report_duplicate_name(
    name: str, first_with_name: dict[str, int], path: Path, report: FindingCollector
) -> None:
    """Reports a route's name that is already the name of another route or of the defaults."""
    if name in first_with_name:
        message = f"{name!r} is route[{first_with_name[name]}]'s; choose another"
        report("duplicate-name", (*path, "name"), message)
    elif name == "defaults":
        report("duplicate-name", (*path, "name"), "is the name of the defaults; choose another")


def report_unknown_names(coverage: RouteCoverage, facts: PlatformFacts, report: FindingCollector) -> int:
    """Reports classes and plans that the platform doesn't have, and returns their number."""
    count = 0
    kinds = (
        ("class", coverage.class_index, facts.classes, 0),
        ("plan", coverage.plan_index, facts.plans, 1),
    )
    for key, index, names, field in kinds:
        known = ", ".join(names)
        for route in coverage.routes:
            for word in match_fields(route)[field]:
                if word not in index:
                    count += 1
                    message = f"{word[:40]!r} is no {key} of the platform; write one of {known}"
                    report(f"unknown-{key}", ("route", route.position, "match", key), message)
    return count


def report_inconsistencies(raw: dict[str, Any], path: Path, report: FindingCollector) -> None:
    """Reports values of one table that contradict each other on any platform."""
    backoff, budget = raw.get("backoff", {}), raw.get("retry_budget", {})
    if "most_ms" in backoff and backoff.get("first_ms", 0.0) > backoff["most_ms"]:
        report("backoff-order", (*path, "backoff"), "first_ms is above most_ms; swap them or raise most_ms")
    if "backoff" in raw and raw.get("attempts") == 1:
        report(
            "backoff-unused",
            (*path, "backoff"),
            "attempts = 1 leaves no retry to delay; drop one of them",
            True,
        )
    if budget.get("share") == 0.0 and not budget.get("least_per_s", 0.0):
        report("budget-of-nothing", (*path, "retry_budget"), "allows no retries; write attempts = 1 instead")


def report_equal_ranks(
    overlaps: Iterable[tuple[MatchedRoute, MatchedRoute, str]], report: FindingCollector
) -> None:
    """Reports two routes of equal rank that can match the same request: neither is more specific, and the
    order in the file must not decide."""
    for route, other, request in overlaps:
        message = (
            f"{request} matches route[{other.position}] ({other.route.name}) too, and neither names more; "
            "name more in one of them, or take the common part out"
        )
        report("equal-rank", ("route", route.position, "match"), message)


def report_violations(
    route: RouteLimits, name: str, path: Path, facts: PlatformFacts, report: FindingCollector
) -> None:
    """Reports the rules that a route breaks for a class."""
    for found in violations(route, name, facts):
        report(found.code, (*path, found.key), found.message, found.is_warning)


def describe_request(coverage: RouteCoverage, overlap: Overlap) -> str:
    """Describes a request that both routes match."""
    _, _, class_index, plan_index = overlap
    command, name = coverage.commands[class_index], coverage.classes[class_index]
    return f"{command} of class {name}, plan {coverage.plans[plan_index]}"
