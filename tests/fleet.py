"""Real decision engines of several gateways that share one failing counter, in simulated time.

An account sends more than its quota. The first attempt of each request is recorded by the true clock, and the
overshoot is computed from these records alone, not from the gateways' state.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from glenchute.policy.actions import Action, IncrementCounter, SetTimer, StartAttempt
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
from glenchute.policy.settings import Idempotency, Plan, RequestClass, Settings, SlowStart
from lab.counter import CounterPartitions

TIMEOUT_MS = 50.0
NET_MS = 1.0
SERVERS = tuple(Endpoint(f"s{i}", "a") for i in range(6))
PLANS = (
    Plan("soft", rate_per_s=8.0, burst_units=20.0),
    Plan(
        "hard",
        rate_per_s=8.0,
        burst_units=20.0,
        ceiling_rate_per_s=20.0,
        ceiling_burst_units=50.0,
        ceiling_slack_units=5.0,
    ),
    # The quota's rate equals the ceiling's, so that the ceiling has to hold by itself.
    Plan(
        "bare",
        rate_per_s=20.0,
        burst_units=30.0,
        ceiling_rate_per_s=20.0,
        ceiling_burst_units=50.0,
        ceiling_slack_units=5.0,
    ),
)


def settings(gateways: int) -> Settings:
    """Returns settings with one request class and three plans."""
    return Settings(
        zone="a",
        gateway_count=gateways,
        classes=(RequestClass("read", 2000.0, 1.0, Idempotency.IDEMPOTENT),),
        plans=PLANS,
        slow_start=SlowStart(),
        max_retry_after_ms=1000.0,
        has_counter=True,
        counter_timeout_ms=TIMEOUT_MS,
    )


@dataclass
class Fleet:
    """A number of gateways. `skew_ms`: the largest offset of a gateway's clock."""

    gateways: int
    seed: int
    partition_count: int = 2
    skew_ms: float = 0.0
    make: Callable[[Settings, int], Any] = DecisionEngine
    reset_share: float = 0.0  # share of counter calls that are added but answered with a reset or an error
    sent: list[tuple[float, str, float]] = field(default_factory=list)  # true time, plan, units
    refusals: list[tuple[float, str]] = field(default_factory=list)  # true time, plan
    asked: int = 0
    restarts: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.counter = CounterPartitions(self.partition_count)
        self.now = 1_000_000.0
        self.order = itertools.count()
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.skews = [self.rng.uniform(0.0, self.skew_ms) for _ in range(self.gateways)]
        self.incarnation = [0] * self.gateways
        self.modules: list[Any] = [None] * self.gateways
        self.first: dict[tuple[int, str], Request] = {}
        for number in range(self.gateways):
            self.start(number)

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.queue, (when, next(self.order), call, args))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            when, _, call, args = heapq.heappop(self.queue)
            self.now = max(self.now, when)
            call(*args)
        self.now = until

    def start(self, number: int) -> None:
        """Starts a gateway without any state."""
        self.incarnation[number] += 1
        self.modules[number] = self.make(settings(self.gateways), self.rng.randrange(1 << 30))
        self.feed(number, self.incarnation[number], EndpointList(EndpointListKind.CACHED, SERVERS))

    def restart(self, number: int) -> None:
        """Restarts a gateway without any state; events for the old process are dropped."""
        self.restarts += 1
        self.start(number)

    def feed(self, number: int, incarnation: int, event: Event) -> None:
        """Passes an event to a gateway, unless that process has ended since."""
        if incarnation != self.incarnation[number]:
            return
        for action in self.modules[number].handle(self.now + self.skews[number], event):
            self.perform(number, incarnation, action)

    def perform(self, number: int, incarnation: int, action: Action) -> None:
        back = (number, incarnation)
        if isinstance(action, StartAttempt):
            request = self.first.pop((number, action.request_id), None)
            if request is not None:
                self.sent.append((self.now, request.plan, request.units))
            ended = AttemptEnded(action.request_id, 0, action.address, Outcome.OK, 20.0, True)
            self.at(self.now + 20.0, self.feed, *back, ended)
        elif isinstance(action, SetTimer):
            self.at(action.at_ms - self.skews[number], self.feed, *back, TimerFired(action.token))
        elif isinstance(action, IncrementCounter):
            self.at(self.now + NET_MS, self.count, *back, action, self.now)
        else:
            request = self.first.pop((number, getattr(action, "request_id", "")), None)
            if request is not None:
                self.refusals.append((self.now, request.plan))

    def count(self, number: int, incarnation: int, call: IncrementCounter, began: float) -> None:
        """Handles a call at the counter, even if its gateway has restarted since."""
        told = self.counter.call(self.now, f"g{number}", str(call.key), call.amount, call.ttl_ms)
        late = told is None or told[1] + 2 * NET_MS > TIMEOUT_MS
        if told is None or late:
            reply = CounterReply(call.key, 0.0, Outcome.TIMEOUT, TIMEOUT_MS)
            self.at(began + TIMEOUT_MS, self.feed, number, incarnation, reply)
        elif self.reset_share and self.rng.random() < self.reset_share:
            outcome = self.rng.choice([Outcome.RESET, Outcome.ERROR])
            reply = CounterReply(call.key, 0.0, outcome, told[1] + 2 * NET_MS)
            self.at(self.now + told[1] + NET_MS, self.feed, number, incarnation, reply)
        else:
            total = float(f"{told[0]:.7g}")  # the counter replies with seven significant digits
            reply = CounterReply(call.key, total, Outcome.OK, told[1] + 2 * NET_MS)
            self.at(self.now + told[1] + NET_MS, self.feed, number, incarnation, reply)

    def flood(
        self, plan: str, rate: float, seconds: float, weights: Sequence[float], units: float = 1.0
    ) -> None:
        """Schedules an account's requests: `rate` per second, distributed over the gateways by `weights`."""
        at, end, serial = self.now, self.now + 1000.0 * seconds, 0
        while True:
            at += self.rng.expovariate(rate / 1000.0)
            if at >= end:
                return
            serial += 1
            number = self.rng.choices(range(self.gateways), weights)[0]
            request = Request(f"{plan}{serial}", "read", plan, f"c-{plan}", 1500.0, units, self.gateways)
            self.at(at, self.ask, number, request)

    def ask(self, number: int, request: Request) -> None:
        self.asked += 1
        self.first[number, request.request_id] = request
        self.feed(number, self.incarnation[number], request)

    def overshoot(self, plan: str, rate: float, burst: float) -> float:
        """Returns the units by which the recorded attempts overdrew a token bucket of this rate and burst."""
        level, last, lowest = burst, None, 0.0
        for at, name, units in self.sent:
            if name == plan:
                level = min(burst, level + (0.0 if last is None else rate * (at - last) / 1000.0)) - units
                lowest, last = min(lowest, level), at
        return -lowest

    def refused_with_room(self, plan: str, rate: float, burst: float) -> float:
        """Returns the share of requests rejected while the true token bucket was at least half full."""
        level, last, asked, blamed = burst, None, 0, 0
        tries = [(at, units) for at, name, units in self.sent if name == plan]
        tries += [(at, 0.0) for at, name in self.refusals if name == plan]
        for at, units in sorted(tries):
            level = min(burst, level + (0.0 if last is None else rate * (at - last) / 1000.0))
            last, asked = at, asked + 1
            blamed += not units and level >= 0.5 * burst
            level = max(0.0, level - units)
        return blamed / max(1, asked)

    def units(self, plan: str) -> float:
        """Returns the units of all first attempts of a plan."""
        return sum(units for _, name, units in self.sent if name == plan)
