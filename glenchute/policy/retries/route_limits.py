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

REQUEST_TOKEN_DECAY_S = 10.0  # what requests put into a retry budget fades with this time constant
MIN_TOKEN_BUFFER_S = 1.0  # the steady part of a budget holds what comes in this long, one attempt at least

NO_RETRY_MS = math.inf


class Backoff(NamedTuple):
    """Pauses before further attempts: `first_ms`, then `factor` times the one before, `most_ms` at most, each
    up to `jitter` (a share, 0 to 1) longer or shorter."""

    initial_ms: float
    factor: float = 2.0
    max_ms: float = 1000.0
    jitter_fraction: float = 0.0

    def nominal_delay_ms(self, number: int) -> float:
        """The pause before attempt `number` (1 is the first repeat), without jitter."""
        # The power is bounded: a large factor would overflow long after `most_ms` binds.
        return float(min(self.max_ms, self.initial_ms * self.factor ** min(number - 1, 64)))

    def min_delay_ms(self, number: int) -> float:
        """The shortest it can be."""
        return self.nominal_delay_ms(number) * (1.0 - self.jitter_fraction)

    def max_delay_ms(self, number: int) -> float:
        """The longest it can be."""
        return self.nominal_delay_ms(number) * (1.0 + self.jitter_fraction)

    def draw_delay_ms(self, number: int, rng: random.Random) -> float:
        """One pause."""
        return self.nominal_delay_ms(number) * (1.0 + self.jitter_fraction * rng.uniform(-1.0, 1.0))


class RetryBudgetSettings(NamedTuple):
    """Further attempts allowed: `share` for each request, and `least_per_s` whatever comes."""

    retries_per_request: float
    min_retries_per_s: float = 0.0


class RouteLimits(NamedTuple):
    """What binds one kind of request. 0 or None: no bound besides the module's own."""

    name: str
    attempt_timeout_ms: float = 0.0
    max_attempts: int = 0
    backoff: Backoff | None = None
    retryable_outcomes: frozenset[Outcome] | None = None
    hedge_after_ms: float = 0.0
    retry_budget: RetryBudgetSettings | None = None
    max_pipeline_depth: int = (
        0  # attempts on one connection to a node, where connections are shared; 1: alone
    )


class RetryBudget:
    """The token store of one route. Bounded: n requests in any time t bring no more than
    ``share * n + least_per_s * (t + LEAST_STORE_S) + 1`` further attempts beyond what stood in it before."""

    __slots__ = ("denied_count", "granted_count", "request_tokens", "settings", "steady_tokens", "updated_ms")

    def __init__(self, rule: RetryBudgetSettings, now: float) -> None:
        self.settings = rule
        self.request_tokens = (
            0.0  # from requests; fades, so that a quiet hour saves nothing up for a bad minute
        )
        self.steady_tokens = self.max_steady_tokens()
        self.updated_ms = now
        self.granted_count = self.denied_count = 0

    def max_steady_tokens(self) -> float:
        """The most that the steady part holds."""
        return (
            max(1.0, self.settings.min_retries_per_s * MIN_TOKEN_BUFFER_S)
            if self.settings.min_retries_per_s > 0
            else 0.0
        )

    def advance(self, now: float) -> None:
        """Brings both parts up to the present."""
        passed = max(0.0, now - self.updated_ms) / 1000.0
        self.request_tokens *= math.exp(-passed / REQUEST_TOKEN_DECAY_S)
        self.steady_tokens = min(
            self.max_steady_tokens(), self.steady_tokens + self.settings.min_retries_per_s * passed
        )
        self.updated_ms = max(self.updated_ms, now)

    def deposit(self, now: float) -> None:
        """A request came."""
        self.advance(now)
        self.request_tokens += self.settings.retries_per_request

    def try_withdraw(self, now: float) -> bool:
        """Takes one further attempt, if it is there. Both parts pay together."""
        self.advance(now)
        if self.request_tokens + self.steady_tokens < 1.0 - 1e-9:
            self.denied_count += 1
            return False
        from_shared = min(1.0, self.request_tokens)
        self.request_tokens -= from_shared
        self.steady_tokens = max(0.0, self.steady_tokens - (1.0 - from_shared))
        self.granted_count += 1
        return True

    def refund(self) -> None:
        """One that was taken and not used."""
        self.request_tokens += 1.0
        self.granted_count -= 1


class RequestRetries:
    """One request's way under its route."""

    __slots__ = ("budget", "has_reserved_retry", "limits", "rng", "started_attempts")

    def __init__(self, route: RouteLimits, budget: RetryBudget | None, rng: random.Random) -> None:
        self.limits = route
        self.budget = budget
        self.rng = rng
        self.started_attempts = 0
        self.has_reserved_retry = False

    def retry_delay_ms(self, now: float, ending: Outcome) -> float:
        """Milliseconds to wait before a further attempt after this ending; `NEVER` for none. Each call
        replaces what the last one granted."""
        self.release()
        route = self.limits
        if route.max_attempts and self.started_attempts >= route.max_attempts:
            return NO_RETRY_MS
        if route.retryable_outcomes is not None and ending not in route.retryable_outcomes:
            return NO_RETRY_MS
        if self.budget is not None and not self.budget.try_withdraw(now):
            return NO_RETRY_MS
        self.has_reserved_retry = True
        return (
            route.backoff.draw_delay_ms(max(1, self.started_attempts), self.rng)
            if route.backoff is not None
            else 0.0
        )

    def may_retry_after(self, ending: Outcome) -> bool:
        """Whether the route's number and causes leave a further attempt after this ending. Its budget may
        still refuse that one: what it grants is for endings, not for prospects."""
        route = self.limits
        if route.max_attempts and self.started_attempts >= route.max_attempts:
            return False
        return route.retryable_outcomes is None or ending in route.retryable_outcomes

    def try_start_attempt(self, now: float, overlapping: bool) -> bool:
        """An attempt is to start, beside one that is out where `overlapping`. False: it must not."""
        route = self.limits
        if self.started_attempts:
            if route.max_attempts and self.started_attempts >= route.max_attempts:
                return False
            if overlapping:
                if not route.hedge_after_ms or (
                    self.budget is not None and not self.budget.try_withdraw(now)
                ):
                    return False
            elif not self.has_reserved_retry:
                return False
            else:
                self.has_reserved_retry = False
        self.started_attempts += 1
        return True

    def release(self) -> None:
        """Nothing more will start on what was granted."""
        if self.has_reserved_retry:
            self.has_reserved_retry = False
            if self.budget is not None:
                self.budget.refund()


class RouteTable:
    """The routes in force. `table` names the one for each class and plan; its size is fixed at load."""

    def __init__(self, table: Mapping[tuple[str, str], RouteLimits], seed: int) -> None:
        self.limits_by_binding = dict(table)
        self.rng = random.Random(seed)
        self.budgets: dict[str, RetryBudget] = {}
        self.budget_settings = {
            route.name: route.retry_budget
            for route in self.limits_by_binding.values()
            if route.retry_budget is not None
        }

    def start_request(self, now: float, class_name: str, plan: str) -> RequestRetries | None:
        """A request has come; None where no route binds it."""
        route = self.limits_by_binding.get((class_name, plan))
        if route is None:
            return None
        budget = None
        if route.retry_budget is not None:
            budget = self.budgets.get(route.name)
            if budget is None:
                budget = self.budgets[route.name] = RetryBudget(route.retry_budget, now)
            budget.deposit(now)
        return RequestRetries(route, budget, self.rng)

    def inherit_budgets(self, old: RouteTable) -> RouteTable:
        """These, in place of `old`. Budgets of routes that keep their name and rule go on: a reload must not
        hand out fresh ones. Costs a step for each budget in use, whatever the table's size."""
        self.rng = old.rng
        self.budgets = {k: b for k, b in old.budgets.items() if self.budget_settings.get(k) == b.settings}
        return self
