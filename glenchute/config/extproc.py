"""Checks the values of `[fronts.extproc]` in the operator's file, and maps them to `MappingRules`."""

from __future__ import annotations

from typing import Any

from glenchute.policy.services.request_mapping import SOURCE_PATTERN, MappingRules, Operation, PathTemplate
from glenchute.policy.settings import Idempotency

from .facts import PlatformFacts
from .schema import MISSING, Path, Report

SAFE_METHODS = ("GET", "HEAD", "OPTIONS", "TRACE")  # RFC 9110, 9.2.1
LOCATION: Path = ("fronts", "extproc")


def check(raw: dict[str, Any], facts: PlatformFacts | None, report: Report) -> None:
    """Reports all findings in a table whose structure is valid."""
    operations = check_operations(raw, facts, report)
    check_map(raw.get("map", {}), (*LOCATION, "map"), operations, False, report)
    mapping = raw.get("map", {})
    if "class" not in mapping and not raw.get("operation") and "map" in raw:
        report(
            "no-class", (*LOCATION, "map"), "has no source of the request class; add class or [[operation]]"
        )
    ratelimit = raw.get("ratelimit", {})
    if "map" in ratelimit:
        check_map(ratelimit["map"], (*LOCATION, "ratelimit", "map"), [], True, report)
        if "class" not in ratelimit["map"]:
            report("no-class", (*LOCATION, "ratelimit", "map"), "has no class; add one, as value:NAME")
    if facts is None:
        return
    keyed = [name for name, cls in facts.classes.items() if cls.idempotency is Idempotency.WITH_KEY]
    reached = {row["class"] for row in raw.get("operation", []) if row is not MISSING and "class" in row}
    if "key" not in mapping and any(name in reached or "class" in mapping for name in keyed):
        report("no-key", (*LOCATION, "map"), f"has no key, which {', '.join(keyed)} needs; add it")
    for name in raw.get("restart_open", ()):
        if name not in facts.classes:
            names = ", ".join(facts.classes)
            report(
                "unknown-class", (*LOCATION, "restart_open"), f"{name[:40]!r} is none of {names}; write one"
            )
        elif facts.classes[name].idempotency is Idempotency.NON_IDEMPOTENT:
            report("unsafe-open", (*LOCATION, "restart_open"),
                   f"{name!r} must never run twice, which a new process can't ensure; remove it")  # fmt: skip


def check_operations(raw: dict[str, Any], facts: PlatformFacts | None, report: Report) -> list[Operation]:
    """Returns the valid operations, and reports the others."""
    valid: list[Operation] = []
    seen: dict[Any, int] = {}
    for at, row in enumerate(raw.get("operation", [])):
        if row is MISSING or "path" not in row or "class" not in row:
            continue
        path: Path = (*LOCATION, "operation", at)
        name, method = row["class"], row.get("method", "")
        try:
            template = PathTemplate.parse(row["path"])
        except ValueError as error:
            report("bad-template", (*path, "path"), f"{error}, as /v1/checks/{{account}}; correct it")
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
                       f"anyone may repeat {method} (RFC 9110, 9.2.1), and {name} must not be repeated; "
                       "write POST")  # fmt: skip
            elif not method:
                report("unsafe-by-any-method", path,
                       f"{name} must not be repeated, and GET would match it; name its method")  # fmt: skip
        valid.append(Operation(name, method, template))
    return valid


def check_map(
    mapping: dict[str, Any], path: Path, operations: list[Operation], descriptors: bool, report: Report
) -> None:
    """Reports sources that are malformed or can never have a value."""
    for key, source in mapping.items():
        kind, _, where = source.partition(":")
        if SOURCE_PATTERN.fullmatch(source) is None:
            report("bad-source", (*path, key),
                   f"{source[:60]!r} is not a source; write header:, query:, path:, metadata:, json:/, "
                   "value: or, for rate limit calls, descriptor: with a name")  # fmt: skip
        elif descriptors != (kind == "descriptor") and kind != "value":
            reason = "a rate limit call has only descriptors" if descriptors else "a request has none"
            report("bad-source", (*path, key), f"{source[:60]!r}: {reason}; write another source")
        elif kind == "path" and not any(where in one.template.variable_names for one in operations):
            report("unknown-variable", (*path, key), f"no operation's path has {{{where}}}; add it there")


def rules(
    raw: dict[str, Any], facts: PlatformFacts, gateways: int, most_units: float
) -> tuple[MappingRules, MappingRules | None]:
    """Returns the rules of a validated table for requests, and those for rate limit calls if these are
    enabled."""
    classes = {name: cls.idempotency is Idempotency.WITH_KEY for name, cls in facts.classes.items()}
    operations = tuple(
        Operation(row["class"], row.get("method", ""), PathTemplate.parse(row["path"]))
        for row in raw.get("operation", [])
    )
    request_rules = MappingRules(raw["map"], operations, classes, facts.plans, gateways, most_units)
    ratelimit = raw.get("ratelimit")
    if ratelimit is None:
        return request_rules, None
    # Rate limit calls run no request, so they need no idempotency key.
    unkeyed = dict.fromkeys(classes, False)
    return request_rules, MappingRules(ratelimit["map"], (), unkeyed, facts.plans, gateways, most_units)
