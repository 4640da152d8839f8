"""Route limits: how the operator's file limits the attempts of a request.

The decision engine chooses the server and decides on each retry. A route only adds limits: on the duration of
an attempt, the number of attempts, the outcomes after which a retry is allowed, the delay between attempts,
and the retries of all requests of the route together. Times are milliseconds unless a name says otherwise.

One `RequestRetries` tracks each request: `RouteTable.start_request` creates it, `try_start_attempt` is called
for each attempt, `reserve_retry` for each outcome that leaves the request open, and `release` at the final
response. A retry that `reserve_retry` grants is reserved from the route's budget until the next attempt
starts.

The settings are named tuples, as defining dataclasses would take longer than reading the file.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from typing import NamedTuple

from ..events import Outcome

REQUEST_TOKEN_DECAY_S = 10.0  # time constant by which the tokens of past requests decay
STEADY_BUFFER_S = 1.0  # steady tokens accumulate for at most this time, or up to one token if that is more

TOKEN_TOLERANCE = 1e-9  # tolerance for rounding errors in sums of tokens

NO_RETRY_MS = math.inf  # stands for a retry delay where no retry is allowed


class Backoff(NamedTuple):
    """Delays before retries: `initial_ms` before the first, then `factor` times the delay before, at most
    `max_ms`. Each delay is randomly longer or shorter by up to `jitter_fraction` (0 to 1) of it."""

    initial_ms: float
    factor: float = 2.0
    max_ms: float = 1000.0
    jitter_fraction: float = 0.0

    def nominal_delay_ms(self, number: int) -> float:
        """Returns the delay before retry `number` (from 1) without jitter."""
        # The exponent is limited because a large factor would overflow, long after `max_ms` applies.
        return float(min(self.max_ms, self.initial_ms * self.factor ** min(number - 1, 64)))

    def min_delay_ms(self, number: int) -> float:
        """Returns the shortest delay before retry `number`."""
        return self.nominal_delay_ms(number) * (1.0 - self.jitter_fraction)

    def max_delay_ms(self, number: int) -> float:
        """Returns the longest delay before retry `number`."""
        return self.nominal_delay_ms(number) * (1.0 + self.jitter_fraction)

    def draw_delay_ms(self, number: int, rng: random.Random) -> float:
        """Returns a random delay before retry `number`, with one draw from `rng`."""
        return self.nominal_delay_ms(number) * (1.0 + self.jitter_fraction * rng.uniform(-1.0, 1.0))


class RetryBudgetSettings(NamedTuple):
    """Retries that a route allows: `retries_per_request` plus `min_retries_per_s`, whatever the load."""

    retries_per_request: float
    min_retries_per_s: float = 0.0


class RouteLimits(NamedTuple):
    """The limits of one route. 0 or None: no limit besides the engine's own."""

    name: str
    attempt_timeout_ms: float = 0.0
    max_attempts: int = 0
    backoff: Backoff | None = None
    retryable_outcomes: frozenset[Outcome] | None = None
    hedge_after_ms: float = 0.0
    retry_budget: RetryBudgetSettings | None = None
    # Attempts in flight on one pipelined connection to a server; 1: no pipelining.
    max_pipeline_depth: int = 0

    def is_retryable(self, outcome: Outcome) -> bool:
        """Returns whether a retry may follow this outcome. NO_CONNECTION is treated as UNREACHABLE, the
        outcome that operators can list for attempts without a connection."""
        listed = Outcome.UNREACHABLE if outcome is Outcome.NO_CONNECTION else outcome
        return self.retryable_outcomes is None or listed in self.retryable_outcomes


class RouteRetryBudget:
    """The retry tokens of one route: each request adds request tokens, and steady tokens are added at a
    constant rate. With n requests in any t seconds, it grants at most
    ``retries_per_request * n + min_retries_per_s * (t + STEADY_BUFFER_S) + 1`` retries in addition to the
    tokens that it held before."""

    __slots__ = ("denied_count", "granted_count", "request_tokens", "settings", "steady_tokens", "updated_ms")

    def __init__(self, retry_settings: RetryBudgetSettings, now_ms: float) -> None:
        self.settings = retry_settings
        # These tokens decay, so that a long time without failures saves up nothing for a retry storm.
        self.request_tokens = 0.0
        self.steady_tokens = self.max_steady_tokens()
        self.updated_ms = now_ms
        self.granted_count = self.denied_count = 0

    def max_steady_tokens(self) -> float:
        """Returns the capacity for steady tokens."""
        return (
            max(1.0, self.settings.min_retries_per_s * STEADY_BUFFER_S)
            if self.settings.min_retries_per_s > 0
            else 0.0
        )

    def advance(self, now_ms: float) -> None:
        """Applies the decay of request tokens and the inflow of steady tokens since the last call."""
        elapsed_s = max(0.0, now_ms - self.updated_ms) / 1000.0
        self.request_tokens *= math.exp(-elapsed_s / REQUEST_TOKEN_DECAY_S)
        self.steady_tokens = min(
            self.max_steady_tokens(), self.steady_tokens + self.settings.min_retries_per_s * elapsed_s
        )
        self.updated_ms = max(self.updated_ms, now_ms)

    def deposit(self, now_ms: float) -> None:
        """Adds the tokens for a new request."""
        self.advance(now_ms)
        self.request_tokens += self.settings.retries_per_request

    def try_withdraw(self, now_ms: float) -> bool:
        """Takes one token for a retry, from request tokens first, then from steady tokens. Returns False if
        both together hold less than one."""
        self.advance(now_ms)
        if self.request_tokens + self.steady_tokens < 1.0 - TOKEN_TOLERANCE:
            self.denied_count += 1
            return False
        from_requests = min(1.0, self.request_tokens)
        self.request_tokens -= from_requests
        self.steady_tokens = max(0.0, self.steady_tokens - (1.0 - from_requests))
        self.granted_count += 1
        return True

    def refund(self) -> None:
        """Puts back a token that was taken and not used."""
        self.request_tokens += 1.0
        self.granted_count -= 1


class RequestRetries:
    """Tracks the attempts of one request against the limits of its route."""

    __slots__ = ("budget", "has_reserved_retry", "limits", "rng", "started_attempts")

    def __init__(self, route: RouteLimits, budget: RouteRetryBudget | None, rng: random.Random) -> None:
        self.limits = route
        self.budget = budget
        self.rng = rng
        self.started_attempts = 0
        self.has_reserved_retry = False

    def reserve_retry(self, now_ms: float, outcome: Outcome) -> float:
        """Returns the delay before a retry after this outcome, or `NO_RETRY_MS`. A retry that is granted
        reserves a token; each call releases the reservation before it."""
        self.release()
        route = self.limits
        if route.max_attempts and self.started_attempts >= route.max_attempts:
            return NO_RETRY_MS
        if not route.is_retryable(outcome):
            return NO_RETRY_MS
        if self.budget is not None and not self.budget.try_withdraw(now_ms):
            return NO_RETRY_MS
        self.has_reserved_retry = True
        return (
            route.backoff.draw_delay_ms(max(1, self.started_attempts), self.rng)
            if route.backoff is not None
            else 0.0
        )

    def may_retry_after(self, outcome: Outcome) -> bool:
        """Returns whether the number of attempts and the retryable outcomes allow a retry after this outcome.
        The budget may still deny it, as tokens are taken only when an attempt has ended."""
        route = self.limits
        if route.max_attempts and self.started_attempts >= route.max_attempts:
            return False
        return route.is_retryable(outcome)

    def try_start_attempt(self, now_ms: float, is_hedged: bool) -> bool:
        """Counts an attempt that is about to start. Returns False if it must not start."""
        route = self.limits
        if self.started_attempts:
            if route.max_attempts and self.started_attempts >= route.max_attempts:
                return False
            if is_hedged:
                if not route.hedge_after_ms or (
                    self.budget is not None and not self.budget.try_withdraw(now_ms)
                ):
                    return False
            elif not self.has_reserved_retry:
                return False
            else:
                self.has_reserved_retry = False
        self.started_attempts += 1
        return True

    def release(self) -> None:
        """Refunds the token of a granted retry that has not started."""
        if self.has_reserved_retry:
            self.has_reserved_retry = False
            if self.budget is not None:
                self.budget.refund()


class RouteTable:
    """The current routes by request class and plan. Its size is fixed when the operator's file is loaded."""

    def __init__(self, table: Mapping[tuple[str, str], RouteLimits], seed: int) -> None:
        self.limits_by_binding = dict(table)  # by request class and plan
        self.rng = random.Random(seed)
        self.budgets: dict[str, RouteRetryBudget] = {}
        self.budget_settings = {
            route.name: route.retry_budget
            for route in self.limits_by_binding.values()
            if route.retry_budget is not None
        }

    def start_request(self, now_ms: float, class_name: str, plan: str) -> RequestRetries | None:
        """Deposits the tokens for a new request and returns its retry state; None if no route matches it."""
        route = self.limits_by_binding.get((class_name, plan))
        if route is None:
            return None
        budget = None
        if route.retry_budget is not None:
            budget = self.budgets.get(route.name)
            if budget is None:
                budget = self.budgets[route.name] = RouteRetryBudget(route.retry_budget, now_ms)
            budget.deposit(now_ms)
        return RequestRetries(route, budget, self.rng)

    def inherit_budgets(self, old: RouteTable) -> RouteTable:
        """Takes over the budgets of the routes whose name and budget settings a reload does not change, as a
        reload must not provide fresh tokens. Takes time in proportion to the budgets in use. Returns self."""
        self.rng = old.rng
        self.budgets = {
            name: budget
            for name, budget in old.budgets.items()
            if self.budget_settings.get(name) == budget.settings
        }
        return self
