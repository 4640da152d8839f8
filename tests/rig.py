"""A harness for the decision engine: tests pass it events and read its actions.

No server and no network is simulated; time passes only when a test advances it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import TypeVar

from glenchute.policy.actions import Action, Fail, IncrementCounter, Reject, SetTimer, StartAttempt
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import (
    AttemptEnded,
    CounterReply,
    Endpoint,
    EndpointList,
    EndpointListKind,
    Event,
    Outcome,
    Request,
    TimerFired,
)
from glenchute.policy.settings import Idempotency, IdempotencyScope, Plan, RequestClass, Settings, SlowStart

A = TypeVar("A")

SETTINGS = Settings(
    zone="a",
    gateway_count=2,
    classes=(
        RequestClass("read", 1000.0, 1.0, Idempotency.IDEMPOTENT),
        RequestClass("order", 1000.0, 2.0, Idempotency.WITH_KEY, IdempotencyScope.ALL, 2000.0),
        RequestClass("bid", 1000.0, 2.0, Idempotency.WITH_KEY, IdempotencyScope.ZONE, 2000.0),
        RequestClass("charge", 1000.0, 2.0, Idempotency.NON_IDEMPOTENT),
    ),
    plans=(
        Plan("rate", rate_per_s=2.0, burst_units=6.0, over_quota_cost_fraction=0.5),
        Plan(
            "hard",
            rate_per_s=2.0,
            burst_units=6.0,
            ceiling_rate_per_s=4.0,
            ceiling_burst_units=12.0,
            ceiling_slack_units=2.0,
        ),
        Plan("open", max_concurrent=2),
        Plan("wide", rate_per_s=1000.0, burst_units=4000.0),
    ),
    slow_start=SlowStart(
        initial_fraction=0.25, warm_up_ms=10_000.0, overload_factor=2.0, overload_window_ms=1000.0
    ),
    max_attempts=4,
    max_retry_after_ms=500.0,
    has_counter=True,
)


def make_endpoints(count: int, zones: str = "a", started_ms: float = 0.0) -> tuple[Endpoint, ...]:
    """Returns endpoints s0, s1, ..., distributed over the zones in turn."""
    return tuple(Endpoint(f"s{i}", zones[i % len(zones)], started_ms=started_ms) for i in range(count))


class EngineHarness:
    """The decision engine of one gateway, with a scripted counter and scripted time."""

    def __init__(
        self, servers: Sequence[Endpoint] = (), settings: Settings = SETTINGS, seed: int = 1
    ) -> None:
        self.gateway = DecisionEngine(settings, seed)
        self.now = 1000.0
        self.action_log: list[tuple[float, Action]] = []
        self.serial = 0
        self.timers: list[tuple[float, int]] = []
        self.sent_addresses: dict[str, list[str]] = {}
        self.counter_outcome: Outcome = Outcome.OK  # outcome of calls to the counter
        self.others_units = 0.0  # units that other gateways add to a key between two calls
        self._answered = 0
        self._totals: dict[int, float] = {}
        if servers:
            self.handle_event(EndpointList(EndpointListKind.CACHED, tuple(servers)))

    def handle_event(self, event: Event) -> list[Action]:
        """Passes one event to the engine, and records and returns its actions."""
        actions = self.gateway.handle(self.now, event)
        for action in actions:
            self.action_log.append((self.now, action))
            if isinstance(action, SetTimer):
                self.timers.append((action.at_ms, action.token))
            if isinstance(action, StartAttempt):
                self.sent_addresses.setdefault(action.request_id, []).append(action.address)
        return actions

    def advance(self, ms: float) -> list[Action]:
        """Advances the time by `ms`, and fires due timers in order. Returns the resulting actions."""
        end, actions = self.now + ms, []
        while self.timers and min(self.timers)[0] <= end:
            at, token = min(self.timers)
            self.timers.remove((at, token))
            self.now = max(self.now, at)
            actions += self.handle_event(TimerFired(token))
        self.now = end
        return actions

    def ask(
        self,
        cls: str = "read",
        plan: str = "wide",
        customer: str = "c",
        units: float = 1.0,
        left: float = 3000.0,
        spread: int = 2,
        name: str = "",
    ) -> tuple[str, list[Action]]:
        """Sends a client's request. If it waits for the counter, answers that call too. Returns the request's
        id and the actions."""
        self.serial += 1
        name = name or f"r{self.serial}"
        actions = self.handle_event(Request(name, cls, plan, customer, left, units, spread))
        if (
            actions_of_type(actions, IncrementCounter)
            and not actions_of_type(actions, StartAttempt)
            and not final_responses(actions)
        ):
            actions = actions + self.answer_calls()
        return name, actions

    def end_attempt(
        self, name: str, attempt: int, ending: Outcome, took: float = 20.0, final: bool | None = None
    ) -> list[Action]:
        """Ends an attempt with an outcome, after `took` milliseconds."""
        server = self.sent_addresses[name][attempt]
        done = ending is Outcome.OK if final is None else final
        return self.handle_event(AttemptEnded(name, attempt, server, ending, took, done))

    def answer_calls(self) -> list[Action]:
        """Answers all pending calls to the counter. Returns the resulting actions."""
        calls = [action for _, action in self.action_log if isinstance(action, IncrementCounter)]
        unanswered, self._answered = calls[self._answered :], len(calls)
        actions: list[Action] = []
        for call in unanswered:
            if self.counter_outcome is Outcome.OK:
                self._totals[call.key] = self._totals.get(call.key, 0.0) + call.amount + self.others_units
            total = self._totals.get(call.key, 0.0)
            actions += self.handle_event(CounterReply(call.key, total, self.counter_outcome))
        return actions

    def warm_up(self, seconds: float = 4.0) -> None:
        """Sends and serves ordinary traffic, so that the engine knows mean latencies and rates."""
        for _ in range(int(seconds * 20)):
            name, actions = self.ask(customer="warm-up")
            self.now += 20.0
            if actions_of_type(actions, StartAttempt):
                self.end_attempt(name, 0, Outcome.OK)
            self.advance(30.0)
            self.answer_calls()


def actions_of_type(actions: Sequence[Action], kind: type[A]) -> list[A]:
    """Returns the actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]


def final_responses(actions: Sequence[Action]) -> list[Reject | Fail]:
    """Returns the final responses among the actions."""
    return [action for action in actions if isinstance(action, Reject | Fail)]


def replace_settings(settings: Settings, **changes: object) -> Settings:
    """Returns a copy of the settings with these changes."""
    return replace(settings, **changes)  # type: ignore[arg-type]
