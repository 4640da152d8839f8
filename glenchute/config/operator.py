"""The operator's file: TOML, checked whole at load against its own shape and the platform's rules.

`read` never raises on what a file holds: it returns what is wrong, all of it, in the order of the lines.
"""

from __future__ import annotations

import os
import re
import stat
import tomllib
from collections.abc import Callable, Iterable
from itertools import pairwise
from typing import Any, NamedTuple

from glenchute.policy.events import Outcome
from glenchute.policy.retries.route_limits import Backoff, BudgetRule, Route

from . import fleet, pipeline
from .facts import Facts
from .findings import Finding, fatal, ordered
from .fleet import FLEET
from .fronts import FRONTS
from .matching import Clash, Cover, Matched, clashes, parts
from .pipeline import MOST_DEPTH, PIPELINE
from .rules import violations
from .schema import MISSING, Number, Path, Rows, Switch, Table, Word, Words, label

MOST_BYTES = 1024 * 1024
MOST_ROUTES = 5_000
LONGEST_MS = 600_000.0
CAUSES = {
    e.value: e for e in (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT)
}
COMMANDS = ("GET", "POST")
HEAD = r"^\[\[route\]\]"

BOUNDS: dict[str, Any] = {
    "attempt_timeout_ms": Number(0, LONGEST_MS, above=True),
    "attempts": Number(1, 100, whole=True),
    "backoff": Table(
        {
            "first_ms": Number(0, LONGEST_MS, above=True),
            "factor": Number(1, 100),
            "most_ms": Number(0, LONGEST_MS, above=True),
            "jitter": Number(0, 1),
        },
        ("first_ms",),
    ),
    "retry_on": Words(tuple(CAUSES), alone=False, code="unknown-cause"),
    "second_copy_after_ms": Number(0, LONGEST_MS, above=True),
    "retry_budget": Table({"share": Number(0, 1), "least_per_s": Number(0, 1e6)}, ("share",)),
    "pipeline_depth": Number(1, MOST_DEPTH, whole=True),
}
MATCH = Table({"class": Words(), "plan": Words(), "command": Words(COMMANDS, code="unknown-command")})
NAME = Word("[A-Za-z0-9_.-]{1,64}", "1 to 64 letters, digits, '_', '.' or '-'")
CAPTURE = Table(
    {
        "folder": Word("[^\\x00-\\x1f]{1,200}", "the path of a folder"),
        "mode": Word("ring|disk", "ring or disk"),
        "segment_s": Number(0.1, 3600),
        "segment_mb": Number(0.01, 64),
        "segments": Number(1, 10_000, whole=True),
        "refusal_share": Number(0, 1, above=True),
        "account_key_file": Word("[^\\x00-\\x1f]{1,400}", "the path of a file"),
    },
    ("folder",),
)
DISCOVERY = Table(
    {
        "calls_per_s": Number(0.1, 100_000),  # that the service bears of all gateways together
        "list_age_s": Number(2.5, 3600),  # what it has to tell counts as told after this
        "doubt": Switch(),  # odd lists wait for a second word
    }
)
SUBSET = Table(
    {
        "servers": Number(1, 5_000, whole=True),  # in use by each gateway, at least
        "busy": Number(0.1, 100),  # attempts out at a server, on average, from which on more are used
        "calm": Number(0, 100),  # and below which fewer are
    },
    ("servers",),
)
SHAPE = Table(
    {
        "defaults": Table(BOUNDS),
        "capture": CAPTURE,
        "discovery": DISCOVERY,
        "fleet": FLEET,
        "fronts": FRONTS,
        "pipeline": PIPELINE,
        "subset": SUBSET,
        "route": Rows(Table({"name": NAME, "match": MATCH, **BOUNDS}, ("name", "match")), MOST_ROUTES),
    }
)


class Operator(NamedTuple):
    """A file that may be loaded: what binds each class and plan."""

    table: dict[tuple[str, str], Route]
    routes: tuple[Matched, ...] = ()
    capture: dict[str, Any] | None = None
    fronts: dict[str, Any] | None = None
    pipeline: dict[str, Any] | None = None
    fleet: dict[str, Any] | None = None
    discovery: dict[str, Any] | None = None
    subset: dict[str, Any] | None = None


class Reading(NamedTuple):
    """What came of reading a file; `operator` is None where it must not be loaded."""

    file: str
    operator: Operator | None
    findings: tuple[Finding, ...]


class Faults:
    """Collects findings by path; lines are looked up at the end, and only where there are any."""

    def __init__(self, rest: Callable[[], None] | None = None) -> None:
        self.rows: list[tuple[str, Path, str, bool]] = []
        self.rest = rest or nothing  # called once a route, where others wait for the processor

    def __call__(self, code: str, path: Path, message: str, warning: bool = False) -> None:
        self.rows.append((code, path, message, warning))

    def findings(self, text: str) -> list[Finding]:
        if not self.rows:
            return []
        from .locate import line_of, positions  # only where something is wrong

        found = positions(text)
        made: list[Finding] = []
        for code, path, message, warning in self.rows:
            made.append(Finding(code, line_of(path, found), label(path), message, warning))
            self.rest()
        made = ordered(made)
        while found:  # see `drain`
            found.popitem()
        return made


def nothing() -> None:
    """No rest."""


def contents(path: str) -> str | Finding:
    """The text of the file, or why there is none. The size is bounded before anything is read, and a pipe or
    a device is not opened, as that might wait for ever."""
    try:
        about = os.stat(path)
        if stat.S_ISDIR(about.st_mode):
            return Finding("is-directory", 0, "", "is a directory; name a file")
        if not stat.S_ISREG(about.st_mode):
            return Finding("not-a-file", 0, "", "is no regular file; name one")
        with open(path, "rb") as file:
            raw = file.read(MOST_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return Finding("unreadable", 0, "", f"can't be read ({reason}); check path and permissions")
    if len(raw) > MOST_BYTES:
        return Finding("too-large", 0, "", f"has more than {MOST_BYTES} bytes; split or shorten it")
    try:
        return raw.decode("utf-8")
    except UnicodeDecodeError as error:
        line = raw.count(b"\n", 0, error.start) + 1
        return Finding("not-utf8", line, "", "holds bytes that are not UTF-8; save it as UTF-8")


def read(path: str, facts: Facts | None, rest: Callable[[], None] | None = None) -> Reading:
    """Reads and checks a file. Without `facts` only its own shape is checked. `rest` is called between parts
    of the reading, where others wait for the processor."""
    text = contents(path)
    if isinstance(text, Finding):
        return Reading(path, None, (text,))
    return parse(text, facts, path, rest)


def parse(
    text: str, facts: Facts | None, file: str = "operator.toml", rest: Callable[[], None] | None = None
) -> Reading:
    """The same for a text."""
    try:
        raw = (in_parts(text, rest) if rest is not None else None) or tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        place = re.search(r"at line (\d+)", str(error))
        line = int(place[1]) if place else text.count("\n") + 1
        return Reading(file, None, (Finding("not-toml", line, "", f"is not TOML: {error}"),))
    faults = Faults(rest)
    good = SHAPE.check(raw, (), faults)
    operator = build(good, facts, faults)
    findings = tuple(faults.findings(text))
    sound = not fatal(findings)
    routes = [] if sound else list(operator.routes)
    reading = Reading(file, operator if sound else None, findings)
    del operator  # of a wrong file its parts are left, to be freed as the rest
    for rows in (raw.get("route"), good.get("route"), faults.rows, routes):
        drain(rows)
    return reading


def in_parts(text: str, rest: Callable[[], None]) -> dict[str, Any] | None:
    """What tomllib makes of a text, read route by route; None where it has to be read whole.

    A part is read by itself, so that a line that looks like a route's head but stands in a string leaves a
    part that is no TOML, and that or a table in two parts makes for a reading of the whole, which tells what
    is wrong with its line."""
    starts = [found.start() for found in re.finditer(HEAD, text, re.MULTILINE)]
    rows: list[Any] = []
    try:
        whole = tomllib.loads(text[: starts[0]] if starts else text)
        for begin, end in pairwise([*starts, len(text)]):
            if "route" in whole:
                return None
            part = tomllib.loads(text[begin:end])
            rows += part.pop("route")
            if part.keys() & whole.keys():
                return None
            whole.update(part)
            rest()
    except (tomllib.TOMLDecodeError, RecursionError):
        return None
    return {**whole, "route": rows} if rows else whole


def drain(rows: object) -> None:
    """Frees a list entry by entry. Thousands of tables freed at once take milliseconds in which no other
    thread runs, and a gateway that reads its file again serves meanwhile."""
    while isinstance(rows, list) and rows:
        rows.pop()


def bounds_of(
    name: str, raw: dict[str, Any], base: Route | None = None, shared: dict[Any, Any] | None = None
) -> Route:
    """The route that a table's keys make; keys that it leaves out are those of `base`. Routes made with the
    same `shared` hold equal values once."""
    same = (shared if shared is not None else {}).setdefault
    made = base._replace(name=name) if base is not None else Route(name)
    if "attempt_timeout_ms" in raw:
        timeout = raw["attempt_timeout_ms"]
        made = made._replace(attempt_timeout_ms=same(timeout, timeout))
    if "attempts" in raw:
        made = made._replace(attempts=raw["attempts"])
    if "second_copy_after_ms" in raw:
        made = made._replace(copy_after_ms=raw["second_copy_after_ms"])
    if "pipeline_depth" in raw:
        made = made._replace(depth=raw["pipeline_depth"])
    if "retry_on" in raw:
        causes = frozenset(CAUSES[word] for word in raw["retry_on"])
        made = made._replace(causes=same(causes, causes))
    backoff, budget = raw.get("backoff", {}), raw.get("retry_budget", {})
    if "first_ms" in backoff:
        first = backoff["first_ms"]
        most = backoff.get("most_ms", max(first, 1000.0))
        factor, jitter = backoff.get("factor", 2.0), backoff.get("jitter", 0.0)
        pauses = Backoff(first, factor, most, jitter)
        made = made._replace(backoff=same(pauses, pauses))
    if "share" in budget:
        rule = BudgetRule(budget["share"], budget.get("least_per_s", 0.0))
        made = made._replace(budget=same(rule, rule))
    return made


def build(good: dict[str, Any], facts: Facts | None, faults: Faults) -> Operator:
    """Routes from the checked values, and the rules between and about them."""
    fronts = good.get("fronts", {})
    if "extproc" in fronts:
        from .extproc import check  # only for a file that names this front

        check(fronts["extproc"], facts, faults)
    if "fleet" in good:
        fleet.check(good["fleet"], facts, faults)
    shared = good.get("pipeline")
    if shared is not None:
        pipeline.check(shared, good.get("route", []), good.get("defaults", {}), facts, faults)
    else:
        pipeline.unused(good.get("route", []), good.get("defaults", {}), faults)
    base = bounds_of("defaults", good["defaults"]) if "defaults" in good else None
    if base is not None:
        own_sense(good["defaults"], ("defaults",), faults)
    routes: list[Matched] = []
    names: dict[str, int] = {}
    values: dict[Any, Any] = {}
    for at, row in enumerate(good.get("route", [])):
        if row is MISSING:
            continue
        faults.rest()
        path: Path = ("route", at)
        own_sense(row, path, faults)
        name = row.get("name", "")
        if name in names:
            faults("duplicate-name", (*path, "name"), f"{name!r} is route[{names[name]}]'s; choose another")
        elif name == "defaults":
            faults("duplicate-name", (*path, "name"), "is the name of the defaults; choose another")
        names.setdefault(name, at)
        match = row.get("match", {})
        if "match" in row and not match:
            faults("empty-match", (*path, "match"), "matches everything; use [defaults] for that")
        found = tuple(match.get(key, ()) for key in ("class", "plan", "command"))
        routes.append(Matched(at, bounds_of(name, row, base, values), *found))
    narrow = good.get("subset", {})
    if narrow.get("calm", 0.5) >= narrow.get("busy", 2.0):
        faults("subset-order", ("subset",), "calm is not under busy, so servers would come and go; lower it")
    kept = good.get("fleet"), good.get("discovery"), good.get("subset")
    if facts is None:
        equal_ranks(((one, other, "a request") for one, other in clashes(routes)), faults)
        return Operator({}, tuple(routes), good.get("capture"), fronts, shared, *kept)
    cover = Cover(routes, facts)
    if not unknown_names(cover, facts, faults):
        equal_ranks(((clash[0], clash[1], request(cover, clash)) for clash in cover.clashes), faults)
    table = resolved(cover, base, facts, faults)
    return Operator(table, tuple(routes), good.get("capture"), fronts, shared, *kept)


def unknown_names(cover: Cover, facts: Facts, faults: Faults) -> int:
    """Tells of the classes and plans that the platform doesn't have; how many names these are."""
    count = 0
    for key, there, names, pick in (("class", cover.class_at, facts.classes, 0),
                                    ("plan", cover.plan_at, facts.plans, 1)):  # fmt: skip
        known = ", ".join(names)
        for one in cover.routes:
            for word in parts(one)[pick]:
                if word not in there:
                    count += 1
                    faults(f"unknown-{key}", ("route", one.at, "match", key),
                           f"{word[:40]!r} is no {key} of the platform; write one of {known}")  # fmt: skip
    return count


def own_sense(raw: dict[str, Any], path: Path, faults: Faults) -> None:
    """What a table's values must be to each other, whatever the platform."""
    backoff, budget = raw.get("backoff", {}), raw.get("retry_budget", {})
    if "most_ms" in backoff and backoff.get("first_ms", 0.0) > backoff["most_ms"]:
        faults("backoff-order", (*path, "backoff"), "first_ms is over most_ms; swap or raise most_ms")
    if "backoff" in raw and raw.get("attempts") == 1:
        faults("backoff-unused", (*path, "backoff"), "attempts = 1 leaves no pause; drop one of them", True)
    if budget.get("share") == 0.0 and not budget.get("least_per_s", 0.0):
        faults("budget-of-nothing", (*path, "retry_budget"), "allows no further attempt; write attempts = 1")


def equal_ranks(found: Iterable[tuple[Matched, Matched, str]], faults: Faults) -> None:
    """Two routes that name equally many things and can match the same request: none of them is the more
    specific, and the order in the file must not decide."""
    for one, other, what in found:
        faults("equal-rank", ("route", one.at, "match"),
               f"{what} matches route[{other.at}] ({other.route.name}) too, and neither names more; "
               "name more in one of them, or take the common part out")  # fmt: skip


def request(cover: Cover, clash: Clash) -> str:
    """What both routes match, in words."""
    _, _, at, plan = clash
    return f"{cover.commands[at]} of class {cover.classes[at]}, plan {cover.plans[plan]}"


def resolved(cover: Cover, base: Route | None, facts: Facts, faults: Faults) -> dict[tuple[str, str], Route]:
    """Which route binds each class and plan; tells of routes that bind nothing, and of what each breaks."""
    table: dict[tuple[str, str], Route] = {}
    used: dict[int, set[str]] = {}
    bare: set[str] = set()
    for name, plan, best in cover.binding():
        if best is not None:
            table[name, plan] = best.route
            used.setdefault(best.at, set()).add(name)
        elif base is not None:
            table[name, plan] = base
            bare.add(name)
    for place, one in enumerate(cover.routes):
        faults.rest()
        path: Path = ("route", one.at)
        if one.rank and one.at not in used and cover.known(one):
            over = cover.shadowing(place)
            classes, plans = cover.spans[place]
            if over:
                names = ", ".join(sorted(over))
                faults("never-matches", path, f"is shadowed by {names}; drop it or name less there")
            elif not classes or not plans:
                faults("never-matches", path, "matches no class of the platform: safe classes come by GET, "
                       "the others by POST; mend match")  # fmt: skip
        for name in sorted(used.get(one.at, ())):
            broken(one.route, name, path, facts, faults)
    for name in sorted(bare):
        if base is not None:
            broken(base, name, ("defaults",), facts, faults)
    return table


def broken(route: Route, name: str, path: Path, facts: Facts, faults: Faults) -> None:
    """Reports what a route breaks for a class."""
    for code, key, sentence, warning in violations(route, name, facts):
        faults(code, (*path, key), sentence, warning)


def json_schema() -> dict[str, Any]:
    """The file's shape for editors. The platform's rules are not in it: `glenchute check` knows them."""
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "glenchute operator's file",
        **SHAPE.schema(),
    }
