"""Which route of an operator's file binds which kind of request, and which routes contradict each other.

The most specific route that matches a class and plan binds it: the one that names most of class, plan and
command. Two routes of equal rank that match the same request are an error.

Cost, in steps: without the platform's file a route takes one for each name in its match. With it, one for
each of its classes times the plans that it names, and one for each class where it names no plan; besides,
three for each class and plan there are, however many routes. No step walks the other routes: sets of routes
are the bits of an int, so that an operation on a set takes N / 8 bytes.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from glenchute.policy.retries.route_limits import RouteLimits

from .facts import PlatformFacts

RANKS = (3, 2, 1)


class MatchedRoute(NamedTuple):
    """A route of the file with what it matches; an empty tuple matches all."""

    position: int
    route: RouteLimits
    classes: tuple[str, ...]
    plans: tuple[str, ...]
    commands: tuple[str, ...]

    @property
    def rank(self) -> int:
        """How specific it is: how many of class, plan and command it names."""
        return bool(self.classes) + bool(self.plans) + bool(self.commands)

    def covers(self, class_name: str, plan: str, command: str) -> bool:
        """Whether it matches such a request."""
        pairs = zip(match_fields(self), (class_name, plan, command), strict=True)
        return all(not names or name in names for names, name in pairs)


def match_fields(route: MatchedRoute) -> tuple[tuple[str, ...], ...]:
    """The names that it matches: classes, plans, commands."""
    return route.classes, route.plans, route.commands


class NameIndex:
    """The routes by what they name of one kind (class, plan or command), as bits by index."""

    def __init__(self) -> None:
        self.unrestricted = 0  # routes that name nothing of this kind
        self.all_routes = 0
        self.by_name: dict[str, int] = {}

    def add(self, names: tuple[str, ...], bit: int) -> None:
        """Adds a route, given as its bit."""
        self.all_routes |= bit
        if not names:
            self.unrestricted |= bit
        for name in names:
            self.by_name[name] = self.by_name.get(name, 0) | bit

    def overlapping(self, names: tuple[str, ...]) -> int:
        """The routes that match one of these names; no names stand for all."""
        if not names:
            return self.all_routes
        found = self.unrestricted
        for name in names:
            found |= self.by_name.get(name, 0)
        return found


def equal_rank_overlaps(routes: Sequence[MatchedRoute]) -> Iterator[tuple[MatchedRoute, MatchedRoute]]:
    """Each route with the first one before it that has its rank and overlaps it in each kind: what can be
    said without the platform's file."""
    kinds = NameIndex(), NameIndex(), NameIndex()
    ranked: dict[int, int] = {}
    for index, one in enumerate(routes):
        rank = one.rank
        if not rank:
            continue
        found, bit = ranked.get(rank, 0), 1 << index
        for kind, names in zip(kinds, match_fields(one), strict=True):
            found &= kind.overlapping(names)
            kind.add(names, bit)
        ranked[rank] = ranked.get(rank, 0) | bit
        if found:
            yield one, routes[lowest_bit(found)]


def lowest_bit(bits: int) -> int:
    """The index of the lowest bit; `bits` is not 0."""
    return (bits & -bits).bit_length() - 1


# Plain tuples: thousands are made, and named ones cost twice as much. Of a route: the indices of its classes
# and of its plans, each ascending; it matches each of those with each of these.
Span = tuple[Sequence[int], Sequence[int]]
# A route, the first one of its rank that matches the same request, and the first such request: the indices of
# its class and plan.
Overlap = tuple[MatchedRoute, MatchedRoute, int, int]


class RankClaims:
    """Of the routes of one rank, the first that matches each class and plan."""

    def __init__(self, classes: int, plans: int) -> None:
        self.rows: list[list[MatchedRoute | None]] = [[None] * plans for _ in range(classes)]
        self.unclaimed = [plans] * classes  # entries of each row without a route

    def claim(self, one: MatchedRoute, span: Span) -> Overlap | None:
        """Claims what is unclaimed of a route's span; returns the first overlap. A row in which nothing is
        unclaimed is not walked, so that each is walked completely at most once."""
        clash = None
        classes, plans = span
        if not plans:
            return None
        for at in classes:
            row = self.rows[at]
            if not self.unclaimed[at]:
                first = row[plans[0]]
                if clash is None and first is not None:
                    clash = one, first, at, plans[0]
                continue
            for plan in plans:
                other = row[plan]
                if other is None:
                    row[plan] = one
                    self.unclaimed[at] -= 1
                elif clash is None:
                    clash = one, other, at, plan
        return clash


class RouteCoverage:
    """The routes of a file over the classes and plans of the platform. A name that the platform doesn't have
    covers nothing."""

    def __init__(self, routes: Sequence[MatchedRoute], facts: PlatformFacts) -> None:
        self.routes = routes
        self.classes, self.plans = tuple(facts.classes), tuple(dict.fromkeys(facts.plans))
        self.commands = [cls.command for cls in facts.classes.values()]
        self.class_index = {name: at for at, name in enumerate(self.classes)}
        self.plan_index = {name: at for at, name in enumerate(self.plans)}
        self.spans = [self.span(one) for one in routes]
        self.claims = {rank: RankClaims(len(self.classes), len(self.plans)) for rank in RANKS}
        found = (self.claims[one.rank].claim(one, span)
                 for one, span in zip(routes, self.spans, strict=True) if one.rank)  # fmt: skip
        self.overlaps = [clash for clash in found if clash is not None]
        self.route_sets: tuple[list[int], list[int], int, dict[int, int]] | None = None

    def span(self, one: MatchedRoute) -> Span:
        """The classes and plans that a route matches."""
        classes: Sequence[int] = range(len(self.classes))
        plans: Sequence[int] = range(len(self.plans))
        if one.classes:
            classes = sorted({self.class_index[name] for name in one.classes if name in self.class_index})
        if one.commands:
            classes = [at for at in classes if self.commands[at] in one.commands]
        if one.plans:
            plans = sorted({self.plan_index[name] for name in one.plans if name in self.plan_index})
        return classes, plans

    def has_known_names(self, one: MatchedRoute) -> bool:
        """Whether the platform has each class and plan that a route names."""
        return all(name in self.class_index for name in one.classes) and all(
            name in self.plan_index for name in one.plans
        )

    def bindings(self) -> Iterator[tuple[str, str, MatchedRoute | None]]:
        """Each class and plan with the matching route of the highest rank; the first of several."""
        by_rank = [self.claims[rank].rows for rank in RANKS]
        for at, name in enumerate(self.classes):
            most, middle, least = (rows[at] for rows in by_rank)
            for plan, one, two, three in zip(self.plans, most, middle, least, strict=True):
                yield name, plan, one or two or three

    def shadowing(self, index: int) -> set[str]:
        """The names of the routes of higher rank that match a request which the route at `index` matches."""
        by_class, by_plan, any_plan, higher = self.route_sets = self.route_sets or self.build_route_sets()
        one, (class_ats, plan_ats) = self.routes[index], self.spans[index]
        classes, plans = 0, 0 if one.plans else any_plan
        for at in class_ats:
            classes |= by_class[at]
        for at in plan_ats if one.plans else ():
            plans |= by_plan[at]
        found, names = classes & plans & higher[one.rank], set()
        while found:
            names.add(self.routes[lowest_bit(found)].route.name)
            found &= found - 1
        return names

    def build_route_sets(self) -> tuple[list[int], list[int], int, dict[int, int]]:
        """The routes by class, by plan, with any plan, and those above each rank, as bits by index."""
        by_class, by_plan = [0] * len(self.classes), [0] * len(self.plans)
        open_ = any_plan = 0  # that match each plan, that match one at least
        ranked = dict.fromkeys((0, *RANKS), 0)
        for index, (one, (classes, plans)) in enumerate(zip(self.routes, self.spans, strict=True)):
            bit = 1 << index
            for at in classes:
                by_class[at] |= bit
            any_plan |= bit if plans else 0
            if not one.plans:
                open_ |= bit
            else:
                for at in plans:
                    by_plan[at] |= bit
            for rank in range(one.rank):
                ranked[rank] |= bit
        return by_class, [bits | open_ for bits in by_plan], any_plan, ranked
