"""The check of routes against each other: the same findings as a plain walk of all pairs, at a cost that
grows with the routes and no faster."""

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
from tests.sites import FACTS

TWO_READS = replace(FACTS, classes={"a-read": ClassFacts(Idempotency.IDEMPOTENT, 2000.0), **FACTS.classes})
READS = {"report-read": ClassFacts(Idempotency.IDEMPOTENT, 3000.0)}
NO_POST = replace(FACTS, classes=READS, plans=("standard", "osnovni"))


def combinations(facts: PlatformFacts) -> Iterator[tuple[str, str, str]]:
    for name, cls in facts.classes.items():
        for plan in facts.plans:
            yield name, plan, cls.command


def named(one: MatchedRoute) -> tuple[tuple[str, ...], ...]:
    return one.classes, one.plans, one.commands


def rank(one: MatchedRoute) -> int:
    return sum(1 for names in named(one) if names)


def covers(one: MatchedRoute, combination: tuple[str, str, str]) -> bool:
    return all(not names or name in names for names, name in zip(named(one), combination, strict=True))


def overlaps(one: tuple[str, ...], other: tuple[str, ...]) -> bool:
    return not one or not other or bool(set(one) & set(other))


def plain(
    routes: tuple[MatchedRoute, ...], base: RouteLimits | None, facts: PlatformFacts | None, text: str
) -> tuple[list[Finding], dict[tuple[str, str], RouteLimits]]:
    """The findings about routes against each other and the platform, and the table, by walking all pairs."""
    faults, table = FindingCollector(), {}
    clashes: dict[int, tuple[MatchedRoute, str]] = {}
    for at, one in enumerate(routes if facts is None else ()):
        for other in routes[:at]:
            pairs = zip(named(one), named(other), strict=True)
            if rank(one) == rank(other) and rank(one) and all(overlaps(a, b) for a, b in pairs):
                clashes.setdefault(one.position, (other, "a request"))
    known = True
    for one in routes if facts is not None else ():
        assert facts is not None
        for key, names, there in (("class", one.classes, facts.classes), ("plan", one.plans, facts.plans)):
            for word in names:
                if word not in there:
                    known = False
                    listed = ", ".join(there)
                    faults(f"unknown-{key}", ("route", one.position, "match", key),
                           f"{word[:40]!r} is no {key} of the platform; write one of {listed}")  # fmt: skip
    for name, plan, command in combinations(facts) if facts is not None and known else ():
        first: dict[int, MatchedRoute] = {}
        for one in routes:
            if rank(one) and covers(one, (name, plan, command)):
                other = first.setdefault(rank(one), one)
                if other is not one:
                    clashes.setdefault(one.position, (other, f"{command} of class {name}, plan {plan}"))
    for at, (other, what) in clashes.items():
        faults("equal-rank", ("route", at, "match"),
               f"{what} matches route[{other.position}] ({other.route.name}) too, and neither names more; "
               "name more in one of them, or take the common part out")  # fmt: skip
    if facts is None:
        return faults.findings(text), {}
    used: dict[int, set[str]] = {}
    bare: set[str] = set()
    for name, plan, command in combinations(facts):
        matching = [one for one in routes if rank(one) and covers(one, (name, plan, command))]
        best = max(matching, key=rank, default=None)
        if best is not None:
            table[name, plan] = best.route
            used.setdefault(best.position, set()).add(name)
        elif base is not None:
            table[name, plan] = base
            bare.add(name)

    def broken(route: RouteLimits, name: str, path: tuple[str | int, ...]) -> None:
        for code, key, sentence, warning in violations(route, name, facts):
            faults(code, (*path, key), sentence, warning)

    for one in routes:
        mine = [combo for combo in combinations(facts) if covers(one, combo)]
        sure = all(n in facts.classes for n in one.classes) and all(p in facts.plans for p in one.plans)
        if rank(one) and one.position not in used and sure:
            above = [o for o in routes if rank(o) > rank(one)]
            over = {o.route.name for combo in mine for o in above if covers(o, combo)}
            if over:
                faults("never-matches", ("route", one.position),
                       f"is shadowed by {', '.join(sorted(over))}; drop it or name less there")  # fmt: skip
            elif not mine:
                faults(
                    "never-matches",
                    ("route", one.position),
                    "matches no class of the platform: safe classes "
                    "come by GET, the others by POST; mend match",
                )
        for name in used.get(one.position, ()):
            broken(one.route, name, ("route", one.position))
    for name in bare:
        assert base is not None
        broken(base, name, ("defaults",))
    return faults.findings(text), table


def some(*words: str) -> st.SearchStrategy[list[str]]:
    """Names of one kind; often none."""
    lists = st.lists(st.sampled_from(words), max_size=len(words), unique=True)
    return st.one_of(st.just([]), lists, st.sampled_from(words).map(lambda word: [word]))


MATCHES = st.fixed_dictionaries({
    "class": some("a-read", "report-read", "check-order", "check-charge", "no-class"),
    "plan": some("osnovni", "standard", "agencija", "korporativni", "no-plan"),
    "command": some("GET", "POST"),
})  # fmt: skip
KEYS = st.sampled_from(["", "", "attempts = 6\n", 'retry_on = ["error"]\n', "attempt_timeout_ms = 2500\n"])
KNOWN = st.sampled_from([True, True, False])


Rows = list[tuple[dict[str, list[str]], str]]  # of each route: what it matches, and its other keys


def written(matches: Rows, known: bool) -> str:
    """A file of routes r0, r1, ...; `known`: without the names that no platform has."""
    text = ""
    for at, (match, keys) in enumerate(matches):
        kept = {kind: [name for name in names if not (known and name.startswith("no-"))]
                for kind, names in match.items()}  # fmt: skip
        rows = ", ".join(f"{kind} = {json.dumps(names)}" for kind, names in kept.items() if names)
        text += f'[[route]]\nname = "r{at}"\nmatch = {{ {rows} }}\n{keys}'
    return text


@settings(max_examples=1500, derandomize=True, deadline=None)
@given(st.lists(st.tuples(MATCHES, KEYS), max_size=12), st.booleans(), KNOWN,
       st.sampled_from([None, FACTS, TWO_READS, NO_POST]))  # fmt: skip
def test_the_findings_and_the_table_are_those_of_a_walk_of_all_pairs(
    matches: Rows, defaults: bool, known: bool, facts: PlatformFacts | None
) -> None:
    """Code, line, place, sentence and order, with the platform's file and without; the table in its order."""
    text = ("[defaults]\nattempts = 2\n" if defaults else "") + written(matches, known)
    reading = parse(text, facts)
    sound = parse(text, None)  # its routes, also of a file that must not load
    made = reading.config or sound.config
    routes = made.routes if made is not None else taken(matches, defaults, known)
    base = RouteLimits("defaults", max_attempts=2) if defaults else None
    findings, table = plain(routes, base, facts, text)
    assert [f for f in reading.findings if f.code != "empty-match"] == findings
    if reading.config is not None:
        assert list(reading.config.bindings.items()) == list(table.items())


def taken(matches: Rows, defaults: bool, known: bool) -> tuple[MatchedRoute, ...]:
    """The routes of a file that is wrong, each read by itself: alone it stands against no other."""
    found = []
    for at, row in enumerate(matches):
        text = ("[defaults]\nattempts = 2\n" if defaults else "") + written([row], known)
        reading = parse(text, None)
        if reading.config is None:  # it names nothing at all: `empty-match`
            found.append(MatchedRoute(at, RouteLimits(f"r{at}"), (), (), ()))
        else:
            (one,) = reading.config.routes
            found.append(one._replace(position=at, route=one.route._replace(name=f"r{at}")))
    return tuple(found)


# What it costs.


def plans_of(count: int) -> PlatformFacts:
    """Ten classes, half of them safe, and so many plans."""
    kinds = (Idempotency.IDEMPOTENT, Idempotency.NON_IDEMPOTENT)
    classes = {f"class-{n}": ClassFacts(kinds[n % 2], 4e3) for n in range(10)}
    return PlatformFacts(classes, tuple(f"plan-{n:05}" for n in range(count)), 5, False, 250.0)


def each_its_own(count: int) -> str:
    """A route for each class and plan."""
    return routes_of(count, lambda n: f'class = "class-{n % 10}", plan = "plan-{n // 10:05}"')


def all_one_class(count: int) -> str:
    """Wrong: all match one class, with any plan."""
    return routes_of(count, lambda n: 'class = "class-3"')


def all_everything(count: int) -> str:
    """Wrong: all match each request."""
    return routes_of(count, lambda n: 'command = ["GET", "POST"]')


def all_lists(count: int) -> str:
    """Wrong: all name the same classes and plans, by lists."""
    return routes_of(count, lambda n: 'class = ["class-1", "class-2"], plan = ["plan-00001", "plan-00000"]')


def unknown(count: int) -> str:
    """Wrong: names that the platform doesn't have."""
    return routes_of(count, lambda n: f'class = "class-{n % 10}", plan = "plan-x{n:05}"')


def shadowed(count: int) -> str:
    """Wrong: a route for each plan, behind those for each of its classes."""
    return each_its_own(count) + "".join(
        f'[[route]]\nname = "s{n:05}"\nmatch = {{ plan = "plan-{n:05}" }}\n' for n in range(count // 10)
    )


def routes_of(count: int, match: Callable[[int], str]) -> str:
    return "".join(f'[[route]]\nname = "r{n:05}"\nmatch = {{ {match(n)} }}\n' for n in range(count))


def steps(work: Callable[[], Any]) -> int:
    """Lines of the configuration's own code that it runs."""
    count = 0

    def line(frame: FrameType, event: str, _: Any) -> Any:
        nonlocal count
        count += event == "line"
        return line

    def call(frame: FrameType, event: str, _: Any) -> Any:
        return line if "glenchute/config/" in frame.f_code.co_filename else None

    before = sys.gettrace()
    sys.settrace(call)
    try:
        work()
    finally:
        sys.settrace(before)
    return count


@pytest.mark.parametrize("with_facts", [True, False], ids=["platform", "alone"])
@pytest.mark.parametrize("file", [each_its_own, all_one_class, all_everything, all_lists, unknown, shadowed])
def test_a_load_costs_by_routes_and_not_by_their_square(file: Callable[[int], str], with_facts: bool) -> None:
    """Twice the routes, with twice the plans, take twice the steps. The square would take four times."""

    def load(count: int) -> tuple[int, ReadResult]:
        readings: list[ReadResult] = []
        text, facts = file(count), plans_of(count // 10) if with_facts else None
        return steps(lambda: readings.append(parse(text, facts))), readings[0]

    (once, small), (twice, large) = load(200), load(400)
    assert once > 200 and twice / once < 2.1
    assert len(large.findings) <= 2 * len(small.findings) + 1


class Looked(str):
    """A text that counts the characters in which line breaks are counted."""

    characters = 0

    def count(self, *arguments: Any) -> int:
        Looked.characters += arguments[2] - arguments[1]
        return super().count(*arguments)


def test_lines_of_a_long_file_are_counted_once() -> None:
    text = Looked(each_its_own(300))
    assert line_numbers(text) == line_numbers(str(text))
    assert Looked.characters <= len(text)


class Compared(str):
    """A word that counts how often it is held against another."""

    __hash__ = str.__hash__
    times = 0

    def __eq__(self, other: object) -> bool:
        Compared.times += 1
        return super().__eq__(other)


def test_a_long_list_is_not_walked_for_each_of_its_names() -> None:
    words, told = [Compared(f"plan-{n}") for n in range(500)], FindingCollector()
    assert Strings().check([*words, Compared("plan-7")], ("plan",), told) == tuple(words)
    assert [(code, path) for code, path, _, _ in told.rows] == [("named-twice", ("plan", 500))]
    assert Compared.times <= 3 * len(words)


# Read in parts.

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
    """Whatever tomllib makes of the whole is made of the parts, or they are given up; what it refuses is."""
    text = end.join(lines)
    parts = load_by_route(text, lambda: None)
    try:
        whole = tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        assert parts is None
        return
    assert parts is None or parts == whole
    reading = parse(text, FACTS)
    assert parse(text, FACTS, yield_processor=lambda: None) == reading


@pytest.mark.parametrize("head", ["", "[defaults]\nattempts = 2\n", "# none\r\n"])
def test_a_plain_file_is_read_in_parts(head: str) -> None:
    """With a rest after each route; a head of a route that stands in a string makes it whole."""
    rests: list[None] = []
    text = head + each_its_own(50)
    assert load_by_route(text, lambda: rests.append(None)) == tomllib.loads(text)
    assert len(rests) == 50
    rests.clear()
    assert parse(text, plans_of(5), yield_processor=lambda: rests.append(None)).config is not None
    assert len(rests) == 3 * 50  # read, made, and looked at beside the others
    assert load_by_route(text + 'more = """\n[[route]]\n"""\n', lambda: None) is None
    assert (
        load_by_route("[defaults]\n", lambda: None) == {"defaults": {}}
        and load_by_route("", lambda: None) == {}
    )
