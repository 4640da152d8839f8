"""What `[fronts.extproc]` of the operator's file means, checked against itself and the platform's classes."""

from __future__ import annotations

from typing import Any

from glenchute.policy.services.request_mapping import SOURCE_PATTERN, MappingRules, Operation, PathTemplate
from glenchute.policy.settings import Idempotency

from .facts import PlatformFacts
from .schema import MISSING, Path, Report

SAFE_METHODS = ("GET", "HEAD", "OPTIONS", "TRACE")  # RFC 9110, 9.2.1
HERE: Path = ("fronts", "extproc")


def check(raw: dict[str, Any], facts: PlatformFacts | None, report: Report) -> None:
    """Reports all that is wrong with a table whose shape is right."""
    operations = check_operations(raw, facts, report)
    check_map(raw.get("map", {}), (*HERE, "map"), operations, False, report)
    mapped = raw.get("map", {})
    if "class" not in mapped and not raw.get("operation") and "map" in raw:
        report("no-class", (*HERE, "map"), "names no class of a request; add class or [[operation]]")
    limit = raw.get("ratelimit", {})
    if "map" in limit:
        check_map(limit["map"], (*HERE, "ratelimit", "map"), [], True, report)
        if "class" not in limit["map"]:
            report("no-class", (*HERE, "ratelimit", "map"), "has no class; add one, as value:NAME")
    if facts is None:
        return
    keyed = [name for name, cls in facts.classes.items() if cls.idempotency is Idempotency.WITH_KEY]
    reached = {row["class"] for row in raw.get("operation", []) if row is not MISSING and "class" in row}
    if "key" not in mapped and any(name in reached or "class" in mapped for name in keyed):
        report("no-key", (*HERE, "map"), f"has no key, which {', '.join(keyed)} needs; add it")
    for name in raw.get("restart_open", ()):
        if name not in facts.classes:
            names = ", ".join(facts.classes)
            report("unknown-class", (*HERE, "restart_open"), f"{name[:40]!r} is none of {names}; write one")
        elif facts.classes[name].idempotency is Idempotency.NON_IDEMPOTENT:
            report("unsafe-open", (*HERE, "restart_open"),
                   f"{name!r} must never run twice, and a fresh process can't know; take it out")  # fmt: skip


def check_operations(raw: dict[str, Any], facts: PlatformFacts | None, report: Report) -> list[Operation]:
    """The operations that are in order, reporting the others."""
    made: list[Operation] = []
    seen: dict[Any, int] = {}
    for at, row in enumerate(raw.get("operation", [])):
        if row is MISSING or "path" not in row or "class" not in row:
            continue
        path: Path = (*HERE, "operation", at)
        name, method = row["class"], row.get("method", "")
        try:
            template = PathTemplate.parse(row["path"])
        except ValueError as error:
            report("bad-template", (*path, "path"), f"{error}, as /v1/checks/{{account}}; mend it")
            continue
        same = seen.setdefault((method, template.normalized_parts), at)
        if same != at:
            report("duplicate-operation", path, f"matches what operation[{same}] does; drop one of them")
        if facts is not None and name not in facts.classes:
            names = ", ".join(facts.classes)
            report("unknown-class", (*path, "class"), f"{name[:40]!r} is none of {names}; write one")
        elif facts is not None and facts.classes[name].idempotency is not Idempotency.IDEMPOTENT:
            if method in SAFE_METHODS:
                report("unsafe-by-safe-method", (*path, "method"),
                       f"{method} is repeated by whoever likes (RFC 9110, 9.2.1), and {name} must not be; "
                       "write POST")  # fmt: skip
            elif not method:
                report("unsafe-by-any-method", path,
                       f"{name} must not be repeated, and GET would reach it; name its method")  # fmt: skip
        made.append(Operation(name, method, template))
    return made


def check_map(
    mapped: dict[str, Any], path: Path, operations: list[Operation], descriptors: bool, report: Report
) -> None:
    """Each source must be of a form that is known, and able to yield something."""
    for key, source in mapped.items():
        kind, _, where = source.partition(":")
        if SOURCE_PATTERN.fullmatch(source) is None:
            report("bad-source", (*path, key),
                   f"{source[:60]!r} is no source; write header:, query:, path:, metadata:, json:/, value: "
                   "or, for rate limit calls, descriptor: with a name")  # fmt: skip
        elif descriptors != (kind == "descriptor") and kind != "value":
            where = "a rate limit call has only descriptors" if descriptors else "a request has none"
            report("bad-source", (*path, key), f"{source[:60]!r}: {where}; write another source")
        elif kind == "path" and not any(where in one.template.variable_names for one in operations):
            report("unknown-variable", (*path, key), f"no operation's path has {{{where}}}; add it there")


def rules(
    raw: dict[str, Any], facts: PlatformFacts, gateways: int, most_units: float
) -> tuple[MappingRules, MappingRules | None]:
    """The rules of a checked table: for requests, and for rate limit calls where these are on."""
    classes = {name: cls.idempotency is Idempotency.WITH_KEY for name, cls in facts.classes.items()}
    operations = tuple(
        Operation(row["class"], row.get("method", ""), PathTemplate.parse(row["path"]))
        for row in raw.get("operation", [])
    )
    made = MappingRules(raw["map"], operations, classes, facts.plans, gateways, most_units)
    limit = raw.get("ratelimit")
    if limit is None:
        return made, None
    unkeyed = dict.fromkeys(classes, False)  # a question repeats nothing
    return made, MappingRules(limit["map"], (), unkeyed, facts.plans, gateways, most_units)
