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

TIMEOUT_MS = 50.0  # of a call to the counter, measured at the gateway
NET_MS = 1.0  # one way between a gateway and the counter
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
    """Gateways with a shared counter. `skew_ms`: the largest offset of a gateway's clock."""

    gateway_count: int
    seed: int
    partition_count: int = 2
    skew_ms: float = 0.0
    make_engine: Callable[[Settings, int], Any] = DecisionEngine
    reset_fraction: float = 0.0  # of the counter calls in time: added, but ended by a reset or an error
    first_attempts: list[tuple[float, str, float]] = field(default_factory=list)  # time, plan, units
    rejections: list[tuple[float, str]] = field(default_factory=list)  # time, plan
    request_count: int = 0
    restart_count: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.counter = CounterPartitions(self.partition_count)
        self.now = 1_000_000.0  # true time in ms
        self.event_order = itertools.count()
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.clock_skews = [self.rng.uniform(0.0, self.skew_ms) for _ in range(self.gateway_count)]
        self.incarnations = [0] * self.gateway_count
        self.engines: list[Any] = [None] * self.gateway_count
        self.unsent: dict[tuple[int, str], Request] = {}  # requests without an attempt, by gateway and id
        for number in range(self.gateway_count):
            self.start(number)

    def schedule(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Schedules a call at a true time in ms."""
        heapq.heappush(self.queue, (when, next(self.event_order), call, args))

    def run(self, until: float) -> None:
        """Runs the simulation until a true time in ms."""
        while self.queue and self.queue[0][0] <= until:
            when, _, call, args = heapq.heappop(self.queue)
            self.now = max(self.now, when)
            call(*args)
        self.now = until

    def start(self, number: int) -> None:
        """Starts a gateway without any state."""
        self.incarnations[number] += 1
        self.engines[number] = self.make_engine(settings(self.gateway_count), self.rng.randrange(1 << 30))
        self.handle_event(number, self.incarnations[number], EndpointList(EndpointListKind.CACHED, SERVERS))

    def restart(self, number: int) -> None:
        """Restarts a gateway without any state; events for the old process are dropped."""
        self.restart_count += 1
        self.start(number)

    def handle_event(self, number: int, incarnation: int, event: Event) -> None:
        """Passes an event to a gateway unless it has restarted since, and performs the resulting actions."""
        if incarnation != self.incarnations[number]:
            return
        for action in self.engines[number].handle(self.now + self.clock_skews[number], event):
            self.perform(number, incarnation, action)

    def perform(self, number: int, incarnation: int, action: Action) -> None:
        """Performs an action of a gateway: each attempt succeeds after 20 ms."""
        gateway = (number, incarnation)
        if isinstance(action, StartAttempt):
            request = self.unsent.pop((number, action.request_id), None)
            if request is not None:
                self.first_attempts.append((self.now, request.plan, request.units))
            attempt_ended = AttemptEnded(action.request_id, 0, action.address, Outcome.OK, 20.0, True)
            self.schedule(self.now + 20.0, self.handle_event, *gateway, attempt_ended)
        elif isinstance(action, SetTimer):
            self.schedule(
                action.at_ms - self.clock_skews[number], self.handle_event, *gateway, TimerFired(action.token)
            )
        elif isinstance(action, IncrementCounter):
            self.schedule(self.now + NET_MS, self.call_counter, *gateway, action, self.now)
        else:
            request = self.unsent.pop((number, getattr(action, "request_id", "")), None)
            if request is not None:
                self.rejections.append((self.now, request.plan))

    def call_counter(self, number: int, incarnation: int, call: IncrementCounter, called_at: float) -> None:
        """Handles a call at the counter, even if its gateway has restarted since, and schedules the reply."""
        result = self.counter.call(self.now, f"g{number}", str(call.key), call.amount, call.ttl_ms)
        is_late = result is None or result[1] + 2 * NET_MS > TIMEOUT_MS
        if result is None or is_late:
            reply = CounterReply(call.key, 0.0, Outcome.TIMEOUT, TIMEOUT_MS)
            self.schedule(called_at + TIMEOUT_MS, self.handle_event, number, incarnation, reply)
        elif self.reset_fraction and self.rng.random() < self.reset_fraction:
            outcome = self.rng.choice([Outcome.RESET, Outcome.ERROR])
            reply = CounterReply(call.key, 0.0, outcome, result[1] + 2 * NET_MS)
            self.schedule(self.now + result[1] + NET_MS, self.handle_event, number, incarnation, reply)
        else:
            total = float(f"{result[0]:.7g}")  # the counter replies with seven significant digits
            reply = CounterReply(call.key, total, Outcome.OK, result[1] + 2 * NET_MS)
            self.schedule(self.now + result[1] + NET_MS, self.handle_event, number, incarnation, reply)

    def schedule_requests(
        self, plan: str, rate: float, seconds: float, weights: Sequence[float], units: float = 1.0
    ) -> None:
        """Schedules an account's requests: `rate` per second, distributed over the gateways by `weights`."""
        at, end, serial = self.now, self.now + 1000.0 * seconds, 0
        while True:
            at += self.rng.expovariate(rate / 1000.0)
            if at >= end:
                return
            serial += 1
            number = self.rng.choices(range(self.gateway_count), weights)[0]
            request = Request(f"{plan}{serial}", "read", plan, f"c-{plan}", 1500.0, units, self.gateway_count)
            self.schedule(at, self.send_request, number, request)

    def send_request(self, number: int, request: Request) -> None:
        """Passes a client's request to a gateway."""
        self.request_count += 1
        self.unsent[number, request.request_id] = request
        self.handle_event(number, self.incarnations[number], request)

    def overshoot(self, plan: str, rate: float, burst: float) -> float:
        """Returns the units by which the recorded attempts overdrew a token bucket of this rate and burst."""
        level, last, lowest = burst, None, 0.0
        for at, name, units in self.first_attempts:
            if name == plan:
                level = min(burst, level + (0.0 if last is None else rate * (at - last) / 1000.0)) - units
                lowest, last = min(lowest, level), at
        return -lowest

    def unjustified_rejection_fraction(self, plan: str, rate: float, burst: float) -> float:
        """Returns the fraction of requests rejected while the true token bucket was at least half full."""
        level, last, request_count, unjustified_count = burst, None, 0, 0
        requests = [(at, units) for at, name, units in self.first_attempts if name == plan]
        requests += [(at, 0.0) for at, name in self.rejections if name == plan]
        for at, units in sorted(requests):
            level = min(burst, level + (0.0 if last is None else rate * (at - last) / 1000.0))
            last, request_count = at, request_count + 1
            unjustified_count += not units and level >= 0.5 * burst
            level = max(0.0, level - units)
        return unjustified_count / max(1, request_count)

    def first_attempt_units(self, plan: str) -> float:
        """Returns the units of all first attempts of a plan."""
        return sum(units for _, name, units in self.first_attempts if name == plan)
