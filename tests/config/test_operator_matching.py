"""The matching of routes: the same findings as a comparison of all pairs, at a cost that grows linearly with
the number of routes."""

from __future__ import annotations

import json
import sys
import tomllib
from collections.abc import Callable, Iterator
from dataclasses import replace
from types import FrameType
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.config.facts import ClassFacts, PlatformFacts
from glenchute.config.findings import Finding
from glenchute.config.locate import line_numbers
from glenchute.config.matching import MatchedRoute
from glenchute.config.operator import ReadResult, parse
from glenchute.config.operator_text import FindingCollector, load_by_route
from glenchute.config.rules import violations
from glenchute.config.schema import Strings
from glenchute.policy.retries.route_limits import RouteLimits
from glenchute.policy.settings import Idempotency
from tests.platform_facts import FACTS

TWO_READS = replace(FACTS, classes={"a-read": ClassFacts(Idempotency.IDEMPOTENT, 2000.0), **FACTS.classes})
READS = {"report-read": ClassFacts(Idempotency.IDEMPOTENT, 3000.0)}
NO_POST = replace(FACTS, classes=READS, plans=("standard", "osnovni"))


def combinations(facts: PlatformFacts) -> Iterator[tuple[str, str, str]]:
    for name, cls in facts.classes.items():
        for plan in facts.plans:
            yield name, plan, cls.command


def match_names(route: MatchedRoute) -> tuple[tuple[str, ...], ...]:
    return route.classes, route.plans, route.commands


def rank(route: MatchedRoute) -> int:
    return sum(1 for names in match_names(route) if names)


def covers(route: MatchedRoute, combination: tuple[str, str, str]) -> bool:
    return all(
        not names or name in names for names, name in zip(match_names(route), combination, strict=True)
    )


def overlaps(names: tuple[str, ...], other_names: tuple[str, ...]) -> bool:
    return not names or not other_names or bool(set(names) & set(other_names))


def compare_all_pairs(
    routes: tuple[MatchedRoute, ...], base: RouteLimits | None, facts: PlatformFacts | None, text: str
) -> tuple[list[Finding], dict[tuple[str, str], RouteLimits]]:
    """Returns the findings on conflicting routes and on the platform's rules, and the bindings, by comparing
    all pairs of routes."""
    report, table = FindingCollector(), {}
    conflicts: dict[int, tuple[MatchedRoute, str]] = {}
    for position, route in enumerate(routes if facts is None else ()):
        for earlier in routes[:position]:
            pairs = zip(match_names(route), match_names(earlier), strict=True)
            if rank(route) == rank(earlier) and rank(route) and all(overlaps(a, b) for a, b in pairs):
                conflicts.setdefault(route.position, (earlier, "a request"))
    has_only_known_names = True
    for route in routes if facts is not None else ():
        assert facts is not None
        for key, names, platform_names in (
            ("class", route.classes, facts.classes),
            ("plan", route.plans, facts.plans),
        ):
            for listed_name in names:
                if listed_name not in platform_names:
                    has_only_known_names = False
                    listed = ", ".join(platform_names)
                    report(f"unknown-{key}", ("route", route.position, "match", key),
                           f"{listed_name[:40]!r} is no {key} of the platform; "
                           f"write one of {listed}")  # fmt: skip
    for name, plan, command in combinations(facts) if facts is not None and has_only_known_names else ():
        first: dict[int, MatchedRoute] = {}
        for route in routes:
            if rank(route) and covers(route, (name, plan, command)):
                earlier = first.setdefault(rank(route), route)
                if earlier is not route:
                    conflicts.setdefault(route.position, (earlier, f"{command} of class {name}, plan {plan}"))
    for position, (earlier, subject) in conflicts.items():
        report("equal-rank", ("route", position, "match"),
               f"{subject} matches route[{earlier.position}] ({earlier.route.name}) too, "
               "and neither names more; name more in one of them, or take the common part out")  # fmt: skip
    if facts is None:
        return report.findings(text), {}
    classes_by_route: dict[int, set[str]] = {}
    classes_by_defaults: set[str] = set()
    for name, plan, command in combinations(facts):
        matching = [route for route in routes if rank(route) and covers(route, (name, plan, command))]
        best = max(matching, key=rank, default=None)
        if best is not None:
            table[name, plan] = best.route
            classes_by_route.setdefault(best.position, set()).add(name)
        elif base is not None:
            table[name, plan] = base
            classes_by_defaults.add(name)

    def report_violations(route: RouteLimits, name: str, path: tuple[str | int, ...]) -> None:
        for code, key, sentence, warning in violations(route, name, facts):
            report(code, (*path, key), sentence, warning)

    for route in routes:
        matched = [combo for combo in combinations(facts) if covers(route, combo)]
        has_known_names = all(n in facts.classes for n in route.classes) and all(
            p in facts.plans for p in route.plans
        )
        if rank(route) and route.position not in classes_by_route and has_known_names:
            higher_routes = [o for o in routes if rank(o) > rank(route)]
            higher_route_names = {
                o.route.name for combo in matched for o in higher_routes if covers(o, combo)
            }
            if higher_route_names:
                report("never-matches", ("route", route.position),
                       f"is shadowed by {', '.join(sorted(higher_route_names))}; "
                       "remove it, or name less there")  # fmt: skip
            elif not matched:
                report(
                    "never-matches",
                    ("route", route.position),
                    "matches no class of the platform: idempotent classes "
                    "arrive by GET, the others by POST; correct match",
                )
        for name in classes_by_route.get(route.position, ()):
            report_violations(route.route, name, ("route", route.position))
    for name in classes_by_defaults:
        assert base is not None
        report_violations(base, name, ("defaults",))
    return report.findings(text), table


def name_lists(*words: str) -> st.SearchStrategy[list[str]]:
    """Draws lists of names of one kind; empty ones and lists of one name are frequent."""
    lists = st.lists(st.sampled_from(words), max_size=len(words), unique=True)
    return st.one_of(st.just([]), lists, st.sampled_from(words).map(lambda word: [word]))


MATCHES = st.fixed_dictionaries({
    "class": name_lists("a-read", "report-read", "check-order", "check-charge", "no-class"),
    "plan": name_lists("osnovni", "standard", "agencija", "korporativni", "no-plan"),
    "command": name_lists("GET", "POST"),
})  # fmt: skip
KEYS = st.sampled_from(["", "", "attempts = 6\n", 'retry_on = ["error"]\n', "attempt_timeout_ms = 2500\n"])
KNOWN = st.sampled_from([True, True, False])


Rows = list[tuple[dict[str, list[str]], str]]  # each route's match, and its other keys


def render_routes(matches: Rows, known: bool) -> str:
    """Returns the text of a file with routes r0, r1, ...; `known` leaves out names that no platform has."""
    text = ""
    for number, (match, keys) in enumerate(matches):
        names_by_kind = {kind: [name for name in names if not (known and name.startswith("no-"))]
                for kind, names in match.items()}  # fmt: skip
        rows = ", ".join(f"{kind} = {json.dumps(names)}" for kind, names in names_by_kind.items() if names)
        text += f'[[route]]\nname = "r{number}"\nmatch = {{ {rows} }}\n{keys}'
    return text


@settings(max_examples=1500, derandomize=True, deadline=None)
@given(st.lists(st.tuples(MATCHES, KEYS), max_size=12), st.booleans(), KNOWN,
       st.sampled_from([None, FACTS, TWO_READS, NO_POST]))  # fmt: skip
def test_the_findings_and_the_table_are_those_of_a_walk_of_all_pairs(
    matches: Rows, defaults: bool, known: bool, facts: PlatformFacts | None
) -> None:
    """Compares code, line, location, message and order, with and without the platform's file, and the
    bindings in order."""
    text = ("[defaults]\nattempts = 2\n" if defaults else "") + render_routes(matches, known)
    result = parse(text, facts)
    without_platform = parse(text, None)  # has the routes also if the platform's rules reject the file
    config = result.config or without_platform.config
    routes = config.routes if config is not None else parse_each(matches, defaults, known)
    base = RouteLimits("defaults", max_attempts=2) if defaults else None
    findings, table = compare_all_pairs(routes, base, facts, text)
    assert [f for f in result.findings if f.code != "empty-match"] == findings
    if result.config is not None:
        assert list(result.config.bindings.items()) == list(table.items())


def parse_each(matches: Rows, defaults: bool, known: bool) -> tuple[MatchedRoute, ...]:
    """Returns the routes of an invalid file. Each is parsed as a file of its own, so that routes which
    conflict are returned too."""
    routes = []
    for number, row in enumerate(matches):
        text = ("[defaults]\nattempts = 2\n" if defaults else "") + render_routes([row], known)
        result = parse(text, None)
        if result.config is None:  # the match is empty: `empty-match`
            routes.append(MatchedRoute(number, RouteLimits(f"r{number}"), (), (), ()))
        else:
            (route,) = result.config.routes
            routes.append(route._replace(position=number, route=route.route._replace(name=f"r{number}")))
    return tuple(routes)


# --- cost of matching


def plans_of(count: int) -> PlatformFacts:
    """Returns ten classes, half of them idempotent, and `count` plans."""
    kinds = (Idempotency.IDEMPOTENT, Idempotency.NON_IDEMPOTENT)
    classes = {f"class-{n}": ClassFacts(kinds[n % 2], 4e3) for n in range(10)}
    return PlatformFacts(classes, tuple(f"plan-{n:05}" for n in range(count)), 5, False, 250.0)


def each_its_own(count: int) -> str:
    """Returns a route for each class and plan."""
    return routes_of(count, lambda n: f'class = "class-{n % 10}", plan = "plan-{n // 10:05}"')


def all_one_class(count: int) -> str:
    """Returns conflicting routes that all match one class and any plan."""
    return routes_of(count, lambda n: 'class = "class-3"')


def all_everything(count: int) -> str:
    """Returns conflicting routes that all match every request."""
    return routes_of(count, lambda n: 'command = ["GET", "POST"]')


def all_lists(count: int) -> str:
    """Returns conflicting routes that all list the same classes and plans."""
    return routes_of(count, lambda n: 'class = ["class-1", "class-2"], plan = ["plan-00001", "plan-00000"]')


def unknown(count: int) -> str:
    """Returns routes with names that the platform doesn't have."""
    return routes_of(count, lambda n: f'class = "class-{n % 10}", plan = "plan-x{n:05}"')


def shadowed(count: int) -> str:
    """Returns a route for each plan, shadowed by those for each class with that plan."""
    return each_its_own(count) + "".join(
        f'[[route]]\nname = "s{n:05}"\nmatch = {{ plan = "plan-{n:05}" }}\n' for n in range(count // 10)
    )


def routes_of(count: int, match: Callable[[int], str]) -> str:
    return "".join(f'[[route]]\nname = "r{n:05}"\nmatch = {{ {match(n)} }}\n' for n in range(count))


def executed_lines(work: Callable[[], Any]) -> int:
    """Returns the number of lines of `glenchute/config` that `work` executes."""
    count = 0

    def line(frame: FrameType, event: str, _: Any) -> Any:
        nonlocal count
        count += event == "line"
        return line

    def call(frame: FrameType, event: str, _: Any) -> Any:
        return line if "glenchute/config/" in frame.f_code.co_filename else None

    previous_trace = sys.gettrace()
    sys.settrace(call)
    try:
        work()
    finally:
        sys.settrace(previous_trace)
    return count


@pytest.mark.parametrize("with_facts", [True, False], ids=["platform", "alone"])
@pytest.mark.parametrize("file", [each_its_own, all_one_class, all_everything, all_lists, unknown, shadowed])
def test_the_cost_of_a_load_is_linear_in_the_routes(file: Callable[[int], str], with_facts: bool) -> None:
    """Twice the routes with twice the plans take twice the steps; a quadratic check would take four times as
    many."""

    def load(count: int) -> tuple[int, ReadResult]:
        results: list[ReadResult] = []
        text, facts = file(count), plans_of(count // 10) if with_facts else None
        return executed_lines(lambda: results.append(parse(text, facts))), results[0]

    (line_count, small), (double_line_count, large) = load(200), load(400)
    assert line_count > 200 and double_line_count / line_count < 2.1
    assert len(large.findings) <= 2 * len(small.findings) + 1


class ScannedText(str):
    """A string that counts the characters which `count` scans."""

    characters = 0

    def count(self, *arguments: Any) -> int:
        ScannedText.characters += arguments[2] - arguments[1]
        return super().count(*arguments)


def test_lines_of_a_long_file_are_counted_once() -> None:
    text = ScannedText(each_its_own(300))
    assert line_numbers(text) == line_numbers(str(text))
    assert ScannedText.characters <= len(text)


class ComparedText(str):
    """A string that counts how often it is compared."""

    __hash__ = str.__hash__
    comparisons = 0

    def __eq__(self, other: object) -> bool:
        ComparedText.comparisons += 1
        return super().__eq__(other)


def test_a_long_list_is_not_walked_for_each_of_its_names() -> None:
    names, report = [ComparedText(f"plan-{n}") for n in range(500)], FindingCollector()
    assert Strings().check([*names, ComparedText("plan-7")], ("plan",), report) == tuple(names)
    assert [(code, path) for code, path, _, _ in report.rows] == [("named-twice", ("plan", 500))]
    assert ComparedText.comparisons <= 3 * len(names)


# --- parsing a file route by route

LINES = st.sampled_from([
    "[[route]]", "[[route]]", "[[route]]", "name = 'a'", "match = { class = 'report-read' }", "[route.match]",
    "class = ['x',", "'y']", "attempts = 2", "[defaults]", "[fleet]", "[[fleet.members]]", "[route]",
    "route = []", "[[ route ]]", '[["route"]]', " [[route]]", "[[route]] # one", "[[route]]x",
    'text = """', '"""', "q = '''", "'''", "[[route.backoff]]", "backoff.first_ms = 3", "[route.backoff]",
    "# [[route]]", "", "a.b = 1", "a.c = 2", "[a]", "x = [", "]",
])  # fmt: skip


@settings(max_examples=3000, derandomize=True, deadline=None)
@given(st.lists(LINES, max_size=14), st.sampled_from(["\n", "\r\n"]))
def test_a_file_read_in_parts_is_the_file(lines: list[str], end: str) -> None:
    """The parts give the same tables as the whole file, or None. An invalid file always gives None."""
    text = end.join(lines)
    parts = load_by_route(text, lambda: None)
    try:
        whole = tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        assert parts is None
        return
    assert parts is None or parts == whole
    result = parse(text, FACTS)
    assert parse(text, FACTS, yield_processor=lambda: None) == result


@pytest.mark.parametrize("head", ["", "[defaults]\nattempts = 2\n", "# none\r\n"])
def test_a_plain_file_is_read_in_parts(head: str) -> None:
    """The processor is yielded after each route. A file with a route's header inside a string is not parsed
    in parts."""
    yields: list[None] = []
    text = head + each_its_own(50)
    assert load_by_route(text, lambda: yields.append(None)) == tomllib.loads(text)
    assert len(yields) == 50
    yields.clear()
    assert parse(text, plans_of(5), yield_processor=lambda: yields.append(None)).config is not None
    assert len(yields) == 3 * 50  # for each route: parsed, built, and checked against the others
    assert load_by_route(text + 'more = """\n[[route]]\n"""\n', lambda: None) is None
    assert (
        load_by_route("[defaults]\n", lambda: None) == {"defaults": {}}
        and load_by_route("", lambda: None) == {}
    )
