"""Routes: how the operator's file bounds the attempts of a request. Pure; time and randomness are handed in.

The decision module chooses the server and decides on each further attempt. A route only bounds it: how long
an attempt may take, how many there may be, after which endings, how far apart, and how many further attempts
all requests of the route may cost together. Times are milliseconds unless a name says otherwise.

Named tuples, not dataclasses: making six of those takes longer than reading the file.

One `Course` follows each request. Its life: `Routes.course`, then for each attempt `begin`, for each ending
that leaves the request open `after`, and `close` at the one answer. What `after` grants is reserved from the
route's budget and used by the next `begin`, or given back by `close`.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from typing import NamedTuple

from ..events import Outcome

CREDIT_S = 10.0  # what requests put into a retry budget fades with this time constant
LEAST_STORE_S = 1.0  # the steady part of a budget holds what comes in this long, one attempt at least

NEVER = math.inf


class Backoff(NamedTuple):
    """Pauses before further attempts: `first_ms`, then `factor` times the one before, `most_ms` at most, each
    up to `jitter` (a share, 0 to 1) longer or shorter."""

    first_ms: float
    factor: float = 2.0
    most_ms: float = 1000.0
    jitter: float = 0.0

    def mean(self, number: int) -> float:
        """The pause before attempt `number` (1 is the first repeat), without jitter."""
        # The power is bounded: a large factor would overflow long after `most_ms` binds.
        return float(min(self.most_ms, self.first_ms * self.factor ** min(number - 1, 64)))

    def least(self, number: int) -> float:
        """The shortest it can be."""
        return self.mean(number) * (1.0 - self.jitter)

    def most(self, number: int) -> float:
        """The longest it can be."""
        return self.mean(number) * (1.0 + self.jitter)

    def draw(self, number: int, rng: random.Random) -> float:
        """One pause."""
        return self.mean(number) * (1.0 + self.jitter * rng.uniform(-1.0, 1.0))


class BudgetRule(NamedTuple):
    """Further attempts allowed: `share` for each request, and `least_per_s` whatever comes."""

    share: float
    least_per_s: float = 0.0


class Route(NamedTuple):
    """What binds one kind of request. 0 or None: no bound besides the module's own."""

    name: str
    attempt_timeout_ms: float = 0.0
    attempts: int = 0
    backoff: Backoff | None = None
    causes: frozenset[Outcome] | None = None
    copy_after_ms: float = 0.0
    budget: BudgetRule | None = None
    depth: int = 0  # attempts on one connection to a node, where connections are shared; 1: alone


class Budget:
    """The token store of one route. Bounded: n requests in any time t bring no more than
    ``share * n + least_per_s * (t + LEAST_STORE_S) + 1`` further attempts beyond what stood in it before."""

    __slots__ = ("at", "refused", "rule", "shared", "spent", "steady")

    def __init__(self, rule: BudgetRule, now: float) -> None:
        self.rule = rule
        self.shared = 0.0  # from requests; fades, so that a quiet hour saves nothing up for a bad minute
        self.steady = self.most_steady()
        self.at = now
        self.spent = self.refused = 0

    def most_steady(self) -> float:
        """The most that the steady part holds."""
        return max(1.0, self.rule.least_per_s * LEAST_STORE_S) if self.rule.least_per_s > 0 else 0.0

    def advance(self, now: float) -> None:
        """Brings both parts up to the present."""
        passed = max(0.0, now - self.at) / 1000.0
        self.shared *= math.exp(-passed / CREDIT_S)
        self.steady = min(self.most_steady(), self.steady + self.rule.least_per_s * passed)
        self.at = max(self.at, now)

    def deposit(self, now: float) -> None:
        """A request came."""
        self.advance(now)
        self.shared += self.rule.share

    def withdraw(self, now: float) -> bool:
        """Takes one further attempt, if it is there. Both parts pay together."""
        self.advance(now)
        if self.shared + self.steady < 1.0 - 1e-9:
            self.refused += 1
            return False
        from_shared = min(1.0, self.shared)
        self.shared -= from_shared
        self.steady = max(0.0, self.steady - (1.0 - from_shared))
        self.spent += 1
        return True

    def give_back(self) -> None:
        """One that was taken and not used."""
        self.shared += 1.0
        self.spent -= 1


class Course:
    """One request's way under its route."""

    __slots__ = ("budget", "reserved", "rng", "route", "started")

    def __init__(self, route: Route, budget: Budget | None, rng: random.Random) -> None:
        self.route = route
        self.budget = budget
        self.rng = rng
        self.started = 0
        self.reserved = False

    def after(self, now: float, ending: Outcome) -> float:
        """Milliseconds to wait before a further attempt after this ending; `NEVER` for none. Each call
        replaces what the last one granted."""
        self.close()
        route = self.route
        if route.attempts and self.started >= route.attempts:
            return NEVER
        if route.causes is not None and ending not in route.causes:
            return NEVER
        if self.budget is not None and not self.budget.withdraw(now):
            return NEVER
        self.reserved = True
        return route.backoff.draw(max(1, self.started), self.rng) if route.backoff is not None else 0.0

    def again(self, ending: Outcome) -> bool:
        """Whether the route's number and causes leave a further attempt after this ending. Its budget may
        still refuse that one: what it grants is for endings, not for prospects."""
        route = self.route
        if route.attempts and self.started >= route.attempts:
            return False
        return route.causes is None or ending in route.causes

    def begin(self, now: float, overlapping: bool) -> bool:
        """An attempt is to start, beside one that is out where `overlapping`. False: it must not."""
        route = self.route
        if self.started:
            if route.attempts and self.started >= route.attempts:
                return False
            if overlapping:
                if not route.copy_after_ms or (self.budget is not None and not self.budget.withdraw(now)):
                    return False
            elif not self.reserved:
                return False
            else:
                self.reserved = False
        self.started += 1
        return True

    def close(self) -> None:
        """Nothing more will start on what was granted."""
        if self.reserved:
            self.reserved = False
            if self.budget is not None:
                self.budget.give_back()


class Routes:
    """The routes in force. `table` names the one for each class and plan; its size is fixed at load."""

    def __init__(self, table: Mapping[tuple[str, str], Route], seed: int) -> None:
        self.table = dict(table)
        self.rng = random.Random(seed)
        self.budgets: dict[str, Budget] = {}
        self.rules = {route.name: route.budget for route in self.table.values() if route.budget is not None}

    def course(self, now: float, class_name: str, plan: str) -> Course | None:
        """A request has come; None where no route binds it."""
        route = self.table.get((class_name, plan))
        if route is None:
            return None
        budget = None
        if route.budget is not None:
            budget = self.budgets.get(route.name)
            if budget is None:
                budget = self.budgets[route.name] = Budget(route.budget, now)
            budget.deposit(now)
        return Course(route, budget, self.rng)

    def after(self, old: Routes) -> Routes:
        """These, in place of `old`. Budgets of routes that keep their name and rule go on: a reload must not
        hand out fresh ones. Costs a step for each budget in use, whatever the table's size."""
        self.rng = old.rng
        self.budgets = {k: b for k, b in old.budgets.items() if self.rules.get(k) == b.rule}
        return self
