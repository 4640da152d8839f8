"""Determines which route of an operator's file binds each kind of request, and which routes conflict.

The most specific route that matches a class and plan binds it: the one that names most of class, plan and
command. Two routes of equal rank that match the same request are an error.

Cost, in steps: without the platform's file, a route takes one step for each name in its match. With it, a
route takes one step for each pair of a class and a plan that it names, and one for each class if it names no
plan; in addition, each class and plan of the platform takes three steps, whatever the number of routes. No
step iterates over the other routes: sets of routes are the bits of an int, so that an operation on a set of
N routes takes N / 8 bytes.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from glenchute.policy.retries.route_limits import RouteLimits

from .facts import PlatformFacts

RANKS = (3, 2, 1)


class MatchedRoute(NamedTuple):
    """A route of the file with the names that it matches; an empty tuple matches all."""

    position: int
    route: RouteLimits
    classes: tuple[str, ...]
    plans: tuple[str, ...]
    commands: tuple[str, ...]

    @property
    def rank(self) -> int:
        """Returns how specific the route is: how many of class, plan and command it names."""
        return bool(self.classes) + bool(self.plans) + bool(self.commands)

    def covers(self, class_name: str, plan: str, command: str) -> bool:
        """Returns whether the route matches such a request."""
        pairs = zip(match_fields(self), (class_name, plan, command), strict=True)
        return all(not names or name in names for names, name in pairs)


def match_fields(route: MatchedRoute) -> tuple[tuple[str, ...], ...]:
    """Returns the classes, plans and commands that a route names."""
    return route.classes, route.plans, route.commands


class NameIndex:
    """An index of routes by the names of one kind (class, plan or command), as bits at the routes'
    indices."""

    def __init__(self) -> None:
        self.unrestricted = 0  # routes that match all names of this kind
        self.all_routes = 0
        self.by_name: dict[str, int] = {}

    def add(self, names: tuple[str, ...], bit: int) -> None:
        """Adds a route, which `bit` identifies."""
        self.all_routes |= bit
        if not names:
            self.unrestricted |= bit
        for name in names:
            self.by_name[name] = self.by_name.get(name, 0) | bit

    def overlapping(self, names: tuple[str, ...]) -> int:
        """Returns the routes that match at least one of these names; an empty tuple means all names."""
        if not names:
            return self.all_routes
        found = self.unrestricted
        for name in names:
            found |= self.by_name.get(name, 0)
        return found


def equal_rank_overlaps(routes: Sequence[MatchedRoute]) -> Iterator[tuple[MatchedRoute, MatchedRoute]]:
    """Yields each route together with the first previous route of the same rank that overlaps it in each
    kind. This needs no platform's file."""
    kinds = NameIndex(), NameIndex(), NameIndex()
    ranked: dict[int, int] = {}
    for index, route in enumerate(routes):
        rank = route.rank
        if not rank:
            continue
        found, bit = ranked.get(rank, 0), 1 << index
        for kind, names in zip(kinds, match_fields(route), strict=True):
            found &= kind.overlapping(names)
            kind.add(names, bit)
        ranked[rank] = ranked.get(rank, 0) | bit
        if found:
            yield route, routes[lowest_bit(found)]


def lowest_bit(bits: int) -> int:
    """Returns the index of the lowest set bit; `bits` must not be 0."""
    return (bits & -bits).bit_length() - 1


# Overlap and Span are plain tuples, since thousands are created and named tuples cost twice as much.

# The indices of a route's classes and plans, each ascending. The route matches every pair of them.
Span = tuple[Sequence[int], Sequence[int]]
# A route, the first route of its rank that matches the same request, and the indices of the class and plan of
# the first such request.
Overlap = tuple[MatchedRoute, MatchedRoute, int, int]


class RankClaims:
    """The first route of one rank that matches each class and plan."""

    def __init__(self, classes: int, plans: int) -> None:
        self.rows: list[list[MatchedRoute | None]] = [[None] * plans for _ in range(classes)]
        self.unclaimed = [plans] * classes  # number of entries without a route in each row

    def claim(self, route: MatchedRoute, span: Span) -> Overlap | None:
        """Assigns a route to the unclaimed entries of its span, and returns the first overlap. Rows without
        unclaimed entries are skipped, so that each row is iterated completely at most once."""
        overlap = None
        classes, plans = span
        if not plans:
            return None
        for at in classes:
            row = self.rows[at]
            if not self.unclaimed[at]:
                first = row[plans[0]]
                if overlap is None and first is not None:
                    overlap = route, first, at, plans[0]
                continue
            for plan in plans:
                other = row[plan]
                if other is None:
                    row[plan] = route
                    self.unclaimed[at] -= 1
                elif overlap is None:
                    overlap = route, other, at, plan
        return overlap


class RouteCoverage:
    """The classes and plans of the platform that the routes of a file match. A name that the platform doesn't
    have matches nothing."""

    def __init__(self, routes: Sequence[MatchedRoute], facts: PlatformFacts) -> None:
        self.routes = routes
        self.classes, self.plans = tuple(facts.classes), tuple(dict.fromkeys(facts.plans))
        self.commands = [cls.command for cls in facts.classes.values()]
        self.class_index = {name: at for at, name in enumerate(self.classes)}
        self.plan_index = {name: at for at, name in enumerate(self.plans)}
        self.spans = [self.span(route) for route in routes]
        self.claims = {rank: RankClaims(len(self.classes), len(self.plans)) for rank in RANKS}
        found = (self.claims[route.rank].claim(route, span)
                 for route, span in zip(routes, self.spans, strict=True) if route.rank)  # fmt: skip
        self.overlaps = [overlap for overlap in found if overlap is not None]
        self.route_sets: tuple[list[int], list[int], int, dict[int, int]] | None = None

    def span(self, route: MatchedRoute) -> Span:
        """Returns the indices of the classes and plans that a route matches."""
        classes: Sequence[int] = range(len(self.classes))
        plans: Sequence[int] = range(len(self.plans))
        if route.classes:
            classes = sorted({self.class_index[name] for name in route.classes if name in self.class_index})
        if route.commands:
            classes = [at for at in classes if self.commands[at] in route.commands]
        if route.plans:
            plans = sorted({self.plan_index[name] for name in route.plans if name in self.plan_index})
        return classes, plans

    def has_known_names(self, route: MatchedRoute) -> bool:
        """Returns whether the platform has each class and plan that a route names."""
        return all(name in self.class_index for name in route.classes) and all(
            name in self.plan_index for name in route.plans
        )

    def bindings(self) -> Iterator[tuple[str, str, MatchedRoute | None]]:
        """Yields each class and plan with the matching route of the highest rank, and the first of equal
        ones."""
        by_rank = [self.claims[rank].rows for rank in RANKS]
        for at, name in enumerate(self.classes):
            three, two, one = (rows[at] for rows in by_rank)
            for plan, names_three, names_two, names_one in zip(self.plans, three, two, one, strict=True):
                yield name, plan, names_three or names_two or names_one

    def shadowing(self, index: int) -> set[str]:
        """Returns the names of the routes of higher rank that match a request which the route at `index`
        matches."""
        by_class, by_plan, any_plan, higher = self.route_sets = self.route_sets or self.build_route_sets()
        route, (class_ats, plan_ats) = self.routes[index], self.spans[index]
        classes, plans = 0, 0 if route.plans else any_plan
        for at in class_ats:
            classes |= by_class[at]
        for at in plan_ats if route.plans else ():
            plans |= by_plan[at]
        found, names = classes & plans & higher[route.rank], set()
        while found:
            names.add(self.routes[lowest_bit(found)].route.name)
            found &= found - 1
        return names

    def build_route_sets(self) -> tuple[list[int], list[int], int, dict[int, int]]:
        """Returns the routes by class, by plan, with at least one plan, and above each rank, as bits by
        index."""
        by_class, by_plan = [0] * len(self.classes), [0] * len(self.plans)
        all_plans = any_plan = 0  # routes that match all plans, and routes that match at least one
        ranked = dict.fromkeys((0, *RANKS), 0)
        for index, (route, (classes, plans)) in enumerate(zip(self.routes, self.spans, strict=True)):
            bit = 1 << index
            for at in classes:
                by_class[at] |= bit
            any_plan |= bit if plans else 0
            if not route.plans:
                all_plans |= bit
            else:
                for at in plans:
                    by_plan[at] |= bit
            for rank in range(route.rank):
                ranked[rank] |= bit
        return by_class, [bits | all_plans for bits in by_plan], any_plan, ranked
