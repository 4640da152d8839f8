"""Scenarios of the captures in this folder; each function plays one with its own simulated clock and seed."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from glenchute.policy.actions import Action, IncrementCounter, SetTimer, StartAttempt
from glenchute.policy.admission.windows import window_start_ms
from glenchute.policy.events import (
    AttemptAssigned,
    AttemptEnded,
    AttemptStalled,
    AvoidEndpoint,
    ClientDisconnected,
    CounterReply,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Event,
    OtherProcessEnded,
    Outcome,
    QuotaSnapshot,
    Request,
    ResponseStarted,
    StateReceived,
    SuccessorStarted,
    TimerFired,
    UsageUpdate,
)
from glenchute.policy.settings import Idempotency, IdempotencyScope, Plan, RequestClass, Settings

from ..rig import SETTINGS

HandleEvent = Callable[[float, Event], list[Action]]
START_MS = 1_700_000_000_000.0
MIXED_OUTCOMES = (Outcome.OK,) * 12 + (Outcome.ERROR, Outcome.REJECTED, Outcome.TIMEOUT, Outcome.RESET)
REQUEST_KINDS = (("read", "wide"), ("read", "rate"), ("order", "hard"), ("bid", "wide"), ("charge", "rate"),
         ("read", "open"), ("charge", "hard"))  # fmt: skip


@dataclass
class BasicEnvironment:
    """The simulated surroundings of one gateway: timers, attempts and a counter, with draws from a seed."""

    handle: HandleEvent  # passes an event to the engine and returns its actions
    seed: int
    counter_outcome: Outcome = Outcome.OK
    outcomes: tuple[Outcome, ...] = (Outcome.OK,)  # one is drawn for each attempt
    attempt_ms: float = 25.0  # attempts take between half and twice this time
    others_units: float = 0.0  # units that other gateways add with each call
    now: float = START_MS
    request_number: int = 0  # number of the last request
    queue: list[tuple[float, int, Event]] = field(default_factory=list)  # heap: time, sequence number, event
    totals: dict[int, float] = field(default_factory=dict)  # the counter's totals by key
    attempts: dict[str, int] = field(default_factory=dict)  # number of the last attempt by request id

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.sequence = itertools.count()

    def schedule(self, when_ms: float, event: Event) -> None:
        heapq.heappush(self.queue, (when_ms, next(self.sequence), event))

    def feed(self, event: Event) -> None:
        """Passes an event to the engine, and schedules the events that its actions lead to."""
        for action in self.handle(self.now, event):
            if isinstance(action, SetTimer):
                self.schedule(max(self.now, action.at_ms), TimerFired(action.token))
            elif isinstance(action, IncrementCounter):
                self.increment_counter(action)
            elif isinstance(action, StartAttempt):
                self.start_attempt(action)

    def increment_counter(self, call: IncrementCounter) -> None:
        if self.counter_outcome is Outcome.OK:
            self.totals[call.key] = self.totals.get(call.key, 0.0) + call.amount + self.others_units
        total = self.totals.get(call.key, 0.0) if self.counter_outcome is Outcome.OK else 0.0
        duration_ms = 2.0 if self.counter_outcome is Outcome.OK else 50.0
        self.schedule(
            self.now + duration_ms, CounterReply(call.key, total, self.counter_outcome, duration_ms)
        )

    def start_attempt(self, action: StartAttempt) -> None:
        number = self.attempts.get(action.request_id, -1) + 1
        self.attempts[action.request_id] = number
        outcome = self.rng.choice(self.outcomes)
        duration_ms = self.attempt_ms * self.rng.uniform(0.5, 2.0)
        if outcome is Outcome.TIMEOUT:
            duration_ms = action.timeout_ms or 1200.0
        queued_requests = round(self.rng.uniform(0.0, 6.0), 2)
        ok = outcome is Outcome.OK
        self.schedule(self.now + duration_ms, AttemptEnded(
            action.request_id, number, action.address, outcome, duration_ms,
            ok, queued_requests))  # fmt: skip

    def run(self, ms: float) -> None:
        """Advances the clock by `ms`, passing on the events that fall due."""
        end = self.now + ms
        while self.queue and self.queue[0][0] <= end:
            when, _, event = heapq.heappop(self.queue)
            self.now = max(self.now, when)
            self.feed(event)
        self.now = end

    def feed_request(
        self, class_name: str, plan: str, tenant: str, units: float = 1.0, time_left_ms: float = 3000.0
    ) -> None:
        self.request_number += 1
        self.feed(Request(f"r{self.request_number}", class_name, plan, tenant, time_left_ms, units, 2))

    def load(self, ms: float, gap_ms: float, tenants: int = 8) -> None:
        """Sends requests of random kinds and tenants for `ms`, with random gaps of `gap_ms` on average."""
        end = self.now + ms
        while self.now < end:
            class_name, plan = self.rng.choice(REQUEST_KINDS)
            self.feed_request(
                class_name, plan, f"c{self.rng.randrange(tenants)}{plan}", self.rng.choice((1.0, 1.0, 2.0))
            )
            self.run(self.rng.expovariate(1.0 / gap_ms))

    def flood(self, ms: float, gap_ms: float, plan: str) -> None:
        """Sends requests of one tenant for `ms`, one every `gap_ms`."""
        end = self.now + ms
        while self.now < end:
            self.feed_request("read", plan, f"flood-{plan}")
            self.run(gap_ms)

    def feed_endpoints(self, kind: EndpointListKind, *rows: tuple[str, str, float, EndpointState]) -> None:
        endpoints = tuple(
            Endpoint(address, zone, i % 2, 1.0, started_ms, state)
            for i, (address, zone, started_ms, state) in enumerate(rows)
        )
        self.feed(EndpointList(kind, endpoints))

    def announce_servers(self, server_count: int = 4) -> None:
        active = EndpointState.ACTIVE
        self.feed_endpoints(
            EndpointListKind.CACHED, *[(f"s{i}", "ab"[i % 2], 0.0, active) for i in range(server_count)]
        )


@dataclass
class Environment(BasicEnvironment):
    """Further simulated surroundings: counter calls with late replies, servers with a queue, load reports,
    usage updates of members, and assignments of attempts."""

    timeout_fraction: float = 0.0  # fraction of the counter calls that time out
    late_outcomes: tuple[Outcome, ...] = (Outcome.OK,)  # outcomes of the late replies to calls that timed out
    late_after_ms: tuple[float, float] = (5.0, 400.0)  # range of the time from the timeout to the late reply
    last_late_reply_ms: dict[int, float] = field(default_factory=dict)  # time of the last late reply by key
    # Mean time in which a server handles a request, one at a time; 0: attempts don't wait for each other.
    service_ms: float = 0.0
    reply_ms: float = 2.0  # duration of a counter call
    # When each server has handled its queue, by address.
    free_at_ms: dict[str, float] = field(default_factory=dict)
    server_outcomes: dict[str, Outcome] = field(default_factory=dict)  # outcome of all attempts, by address
    request_kinds: tuple[tuple[str, str], ...] = REQUEST_KINDS
    sends_assignments: bool = False  # each attempt is followed by an AttemptAssigned
    reports_active: bool = False  # load reports include active requests

    def increment_counter(self, call: IncrementCounter) -> None:
        """Schedules the reply to a counter call; replies for a key, late ones too, keep the calls' order."""
        last_reply_ms = self.last_late_reply_ms.get(call.key, 0.0)
        if last_reply_ms <= self.now + 2.0 and self.rng.random() >= self.timeout_fraction:
            if self.counter_outcome is not Outcome.OK or self.reply_ms == 2.0:
                super().increment_counter(call)
                return
            total = self.totals[call.key] = self.totals.get(call.key, 0.0) + call.amount + self.others_units
            reply = CounterReply(call.key, total, Outcome.OK, self.reply_ms)
            self.schedule(self.now + self.reply_ms, reply)
            return
        outcome = self.rng.choice(self.late_outcomes)
        if outcome is Outcome.OK:
            self.totals[call.key] = self.totals.get(call.key, 0.0) + call.amount + self.others_units
        total = self.totals.get(call.key, 0.0) if outcome is Outcome.OK else 0.0
        self.schedule(self.now + 50.0, CounterReply(call.key, 0.0, Outcome.TIMEOUT, 50.0))
        late_reply_ms = max(last_reply_ms, self.now + 50.0 + self.rng.uniform(*self.late_after_ms))
        self.last_late_reply_ms[call.key] = late_reply_ms
        self.schedule(late_reply_ms, CounterReply(call.key, total, outcome, late_reply_ms - self.now, True))

    def start_attempt(self, action: StartAttempt) -> None:
        """Schedules the events of an attempt, with its assignment and the server's load report."""
        number = self.attempts.get(action.request_id, -1) + 1
        if self.sends_assignments:
            self.schedule(self.now, AttemptAssigned(action.request_id, number, "idle"))
        if self.service_ms:
            self.serve(action, number)
        else:
            outcomes = self.outcomes
            if action.address in self.server_outcomes:
                self.outcomes = (self.server_outcomes[action.address],)
            super().start_attempt(action)
            self.outcomes = outcomes
        if self.reports_active:
            row = next(
                row for row in reversed(self.pending_ends(action.request_id)) if row[2].attempt == number
            )
            index = self.queue.index(row)
            self.queue[index] = (
                row[0],
                row[1],
                replace(row[2], active_requests=float(self.rng.randrange(9))),
            )

    def serve(self, action: StartAttempt, number: int) -> None:
        """Adds an attempt to its server's queue; it ends when those ahead are done, or with a timeout."""
        self.attempts[action.request_id] = number
        free_ms = max(self.now, self.free_at_ms.get(action.address, 0.0))
        queued_requests = round((free_ms - self.now) / self.service_ms, 2)
        done_ms = free_ms + self.service_ms * self.rng.uniform(0.6, 1.4)
        duration_ms, outcome = done_ms - self.now, self.rng.choice(self.outcomes)
        if 0.0 < action.timeout_ms < duration_ms:
            duration_ms, outcome = action.timeout_ms, Outcome.TIMEOUT
        else:
            self.free_at_ms[action.address] = done_ms
        ok = outcome is Outcome.OK
        self.schedule(self.now + duration_ms, AttemptEnded(
            action.request_id, number, action.address, outcome, duration_ms,
            ok, queued_requests))  # fmt: skip

    def mixed_load(self, ms: float, gap_ms: float, tenants: int = 4, **request_fields: Any) -> None:
        """Sends requests of `request_kinds` for `ms`, with random gaps of `gap_ms` on average."""
        end = self.now + ms
        while self.now < end:
            class_name, plan = self.rng.choice(self.request_kinds)
            tenant = f"m{self.rng.randrange(tenants)}{plan}"
            self.feed(
                self.request(
                    class_name, plan, tenant, units=self.rng.choice((1.0, 1.0, 2.0)), **request_fields
                )
            )
            self.run(self.rng.expovariate(1.0 / gap_ms))

    def pending_ends(self, request_id: str) -> list[tuple[float, int, AttemptEnded]]:
        """Returns the queued ends of a request's attempts."""
        return [
            (when, order, event)
            for when, order, event in self.queue
            if isinstance(event, AttemptEnded) and event.request_id == request_id
        ]

    def request(self, class_name: str, plan: str, tenant: str, **optional: Any) -> Request:
        """Creates a request without passing it to the engine."""
        self.request_number += 1
        fields = {"time_left_ms": 3000.0, "gateway_spread": 2, **optional}
        return Request(f"r{self.request_number}", class_name, plan, tenant, **fields)

    def feed_request_with_usage(
        self,
        request: Request,
        units: float,
        previous_units: float,
        reporting_fraction: float,
        settings: Settings,
    ) -> None:
        """Passes on a request, with the usage update of the members that precedes it."""
        plan = next(plan for plan in settings.plans if plan.name == request.plan)
        start_ms = window_start_ms(self.now, request.tenant, plan)
        self.feed(UsageUpdate(request, start_ms, units, previous_units, reporting_fraction))
        self.feed(request)

    def stall(self, ms: float) -> None:
        """Simulates a stall of this process: events that fall due meanwhile come together afterwards."""
        self.now += ms


def half_of_the_gateways_die(handle: HandleEvent) -> None:
    """The other gateways' use stops at once, and their tenants' requests come to this gateway."""
    env = BasicEnvironment(handle, 1, others_units=2.0)
    env.announce_servers()
    env.load(3000.0, 25.0)
    env.others_units = 0.0
    env.load(3000.0, 12.0)


def flood_with_the_counter_mute(handle: HandleEvent) -> None:
    """The counter does not reply while plans with and without a ceiling are flooded, and then does."""
    env = BasicEnvironment(handle, 2)
    env.announce_servers()
    env.load(2000.0, 30.0)
    env.counter_outcome = Outcome.TIMEOUT
    for plan in ("hard", "rate"):
        env.flood(2000.0, 25.0, plan)
    env.counter_outcome = Outcome.OK
    env.flood(3000.0, 40.0, "hard")


def counter_replaced(handle: HandleEvent) -> None:
    """The counter loses its totals on open connections, while a tenant floods each of two plans."""
    env = BasicEnvironment(handle, 3, others_units=0.5)
    env.announce_servers()
    for _ in range(3):
        env.flood(1500.0, 40.0, "hard")
        env.flood(1500.0, 40.0, "rate")
        env.totals.clear()


def spoilt_answers(handle: HandleEvent) -> None:
    """Errors, timeouts, resets and rejections occur among successful attempts of all classes."""
    env = BasicEnvironment(handle, 4, outcomes=MIXED_OUTCOMES)
    env.announce_servers()
    env.load(8000.0, 25.0)


def keyed_retry_at_the_memorys_border(handle: HandleEvent) -> None:
    """Attempts end just before and just after the servers forget an idempotency key."""
    env = BasicEnvironment(handle, 5, outcomes=(Outcome.ERROR,))
    env.announce_servers()
    for duration_ms in (950.0, 990.0, 1000.0, 1010.0, 1200.0):
        env.attempt_ms = duration_ms
        env.feed_request("order", "wide", "keyed", time_left_ms=5000.0)
        env.feed_request("bid", "wide", "keyed", time_left_ms=5000.0)
        env.run(6000.0)


def drain_in_the_middle_of_an_attempt(handle: HandleEvent) -> None:
    """Servers drain, are removed and are added while they have attempts in flight."""
    env = BasicEnvironment(handle, 6, outcomes=MIXED_OUTCOMES, attempt_ms=200.0)
    env.announce_servers()
    active, draining, removed = EndpointState.ACTIVE, EndpointState.DRAINING, EndpointState.REMOVED
    for step in range(6):
        env.load(700.0, 20.0)
        name = f"s{step % 4}"
        for state in (draining, removed):
            env.feed_endpoints(EndpointListKind.CHANGES, (name, "a", 0.0, state))
            env.load(300.0, 20.0)
        env.feed_endpoints(EndpointListKind.CHANGES, (f"t{step}", "b", env.now, active))
    env.feed_endpoints(EndpointListKind.FULL)
    env.load(1500.0, 40.0)
    env.announce_servers()
    env.load(1000.0, 40.0)


def a_cold_server(handle: HandleEvent) -> None:
    """All servers start at once, and one of them restarts under load."""
    env = BasicEnvironment(handle, 7, attempt_ms=60.0)
    active = EndpointState.ACTIVE
    env.feed_endpoints(EndpointListKind.CACHED, *[(f"s{i}", "a", env.now, active) for i in range(3)])
    env.load(5000.0, 20.0)
    env.feed_endpoints(EndpointListKind.CHANGES, ("s1", "a", env.now, active))
    env.load(4000.0, 12.0)


def an_overloaded_fleet(handle: HandleEvent) -> None:
    """Attempts take longer and longer; the capacity estimate binds, and requests of low value are shed."""
    env = BasicEnvironment(handle, 8, attempt_ms=100.0)
    env.announce_servers(2)
    for duration_ms in (100.0, 500.0, 900.0, 1500.0, 300.0, 50.0):
        env.attempt_ms = duration_ms
        env.load(1500.0, 15.0)


def clients_leave(handle: HandleEvent) -> None:
    """Clients disconnect while attempts are in flight; responses begin; some requests have no time left."""
    env = BasicEnvironment(handle, 9, outcomes=MIXED_OUTCOMES, attempt_ms=120.0)
    env.announce_servers()
    for step in range(120):
        class_name, plan = env.rng.choice(REQUEST_KINDS)
        env.feed_request(class_name, plan, "leaver", time_left_ms=env.rng.choice((0.0, 60.0, 400.0, 3000.0)))
        if step % 3 == 0:
            env.feed(ClientDisconnected(f"r{env.request_number}"))
        if step % 7 == 0:
            env.feed(ResponseStarted(f"r{env.request_number}", 0))
        env.run(30.0)


def operators_routes(handle: HandleEvent) -> None:
    """A route bounds the timeouts of attempts and the delays between them."""
    env = BasicEnvironment(handle, 10, outcomes=(Outcome.REJECTED,))
    env.announce_servers()
    for timeout_ms in (0.0, 40.0, 300.0):
        for delay_ms in (0.0, 30.0, 400.0, float("inf")):
            env.request_number += 1
            request_id = f"r{env.request_number}"
            env.feed(Request(request_id, "read", "wide", "routed", 2500.0, 1.0, 2, timeout_ms, 100.0))
            for number in range(3):
                ended = AttemptEnded(
                    request_id, number, "s0", Outcome.REJECTED, 5.0, False, retry_delay_ms=delay_ms
                )
                env.feed(ended)
                env.run(450.0)
            env.queue = [row for row in env.queue if not isinstance(row[2], AttemptEnded)]
            heapq.heapify(env.queue)


def counter_crowded(handle: HandleEvent) -> None:
    """Counter calls succeed, are rejected, succeed again and get no reply for long, on various plans."""
    env = BasicEnvironment(handle, 11, others_units=0.3)
    env.announce_servers()
    for outcome in (Outcome.OK, Outcome.REJECTED, Outcome.OK, Outcome.TIMEOUT, Outcome.UNREACHABLE):
        env.counter_outcome = outcome
        env.load(1800.0, 18.0, 3)
        env.flood(700.0, 35.0, "open")
        env.flood(700.0, 35.0, "hard")
    for _ in range(24):  # some calls succeed, so the counter stays available, but most totals are outdated
        for outcome in (Outcome.REJECTED, Outcome.OK):
            env.counter_outcome = outcome
            env.load(180.0, 18.0, 9)


def customers_come_back(handle: HandleEvent) -> None:
    """Tenants return after pauses in which windows and rates decay; a last pause outlasts their eviction."""
    env = BasicEnvironment(handle, 12, outcomes=MIXED_OUTCOMES, others_units=1.0)
    env.announce_servers(3)
    for pause in (500.0, 3000.0, 20_000.0, 70_000.0):
        env.load(900.0, 22.0, 4)
        env.run(pause)


def second_copies(handle: HandleEvent) -> None:
    """First attempts are slow, so that hedged requests start where the class allows them."""
    env = BasicEnvironment(handle, 13, attempt_ms=400.0)
    env.announce_servers()
    for class_name in ("read", "order", "bid", "charge") * 4:
        env.request_number += 1
        env.feed(Request(f"r{env.request_number}", class_name, "wide", "copied", 2500.0, 1.0, 2, 0.0, 60.0))
        env.run(250.0)


def one_server_fails(handle: HandleEvent) -> None:
    """Of five servers one returns errors and one does not reply: both are avoided, and then used again."""
    env = BasicEnvironment(handle, 14)
    env.announce_servers(5)
    start_attempt = env.start_attempt

    def start_by_server(action: StartAttempt) -> None:
        failing = {"s1": Outcome.ERROR, "s3": Outcome.TIMEOUT}
        env.outcomes = (failing.get(action.address, Outcome.OK) if env.now < recovery_ms else Outcome.OK,)
        start_attempt(action)

    env.start_attempt = start_by_server  # type: ignore[method-assign]
    recovery_ms = env.now + 4000.0
    env.load(7000.0, 30.0)


# --- scenarios that reach further branches of the engine ---------------------------------------------------


def retry_budget_exhausted(handle: HandleEvent) -> None:
    """All attempts fail until no retry is left; then each request adds a fifth of a retry to the budget."""
    env = Environment(handle, 21, outcomes=(Outcome.ERROR,), attempt_ms=4.0)
    env.announce_servers(6)
    for _ in range(12):  # the first requests use up the initial budget
        env.feed(env.request("read", "wide", "first"))
        env.run(60.0)
    for good in (10, 24, 40, 70):
        env.outcomes = (Outcome.OK,)
        for _ in range(good):
            env.feed(env.request("read", "wide", "well"))
            env.run(12.0)
        for outcome in (Outcome.ERROR, Outcome.UNREACHABLE, Outcome.REJECTED):
            env.outcomes = (outcome,)
            for _ in range(8):
                env.feed(env.request("read", "wide", "failing"))
                env.run(25.0)
    env.outcomes = (Outcome.TIMEOUT, Outcome.RESET, Outcome.NOT_SENT, Outcome.CANCELLED)
    env.mixed_load(2500.0, 30.0)


def capacity_estimate_binds(handle: HandleEvent) -> None:
    """The load exceeds the capacity of two servers: the estimate falls and binds, and low values are shed."""
    env = Environment(handle, 22, service_ms=24.0)
    env.request_kinds = (
        ("read", "wide"),
        ("read", "dear"),
        ("order", "wide"),
        ("read", "cheap"),
        ("order", "dear"),
    )
    env.announce_servers(2)
    for ms, gap, service in (
        (2500.0, 30.0, 24.0), (4500.0, 9.0, 24.0), (2000.0, 25.0, 24.0), (2500.0, 9.0, 60.0),
        (3000.0, 30.0, 12.0), (2500.0, 25.0, 150.0), (3000.0, 40.0, 10.0),
    ):  # fmt: skip
        env.service_ms = service
        env.mixed_load(ms, gap)
    env.service_ms = 60.0
    env.mixed_load(2500.0, 12.0)
    for kinds in ((("read", "cheap"),), (("none", "wide"), ("order", "free"), ("read", "wide"))):
        env.request_kinds = kinds  # the kinds of requests change
        env.mixed_load(2200.0, 14.0)


def capacity_estimate_follows_slow_answers(handle: HandleEvent) -> None:
    """Latency rises in steps beyond the objective and falls again, at a constant load."""
    env = Environment(handle, 23)
    env.request_kinds = (("read", "wide"), ("read", "cheap"), ("read", "dear"))
    endpoints = tuple(Endpoint(f"s{n}", "ab"[n % 2]) for n in range(12))
    env.feed(EndpointList(EndpointListKind.CACHED, endpoints, 20))
    for duration_ms in (80.0, 200.0, 300.0, 380.0, 420.0, 460.0, 520.0, 600.0, 900.0, 400.0, 150.0, 40.0):
        env.attempt_ms = duration_ms
        env.mixed_load(2200.0, 35.0)
    for duration_ms in (700.0, 60.0):
        env.attempt_ms = duration_ms
        env.mixed_load(3000.0, 170.0)


def usage_updates_of_members(handle: HandleEvent) -> None:
    """Members send usage updates while the counter replies, times out, replies, and is unreachable."""
    env = Environment(handle, 24, others_units=0.4, attempt_ms=40.0)
    env.announce_servers()
    plans = ("rate", "hard", "rate", "soft")
    for outcome in (Outcome.OK, Outcome.TIMEOUT, Outcome.OK, Outcome.UNREACHABLE):
        env.counter_outcome = outcome
        for step in range(135):
            plan = plans[step % 4]
            request = env.request(
                "read",
                plan,
                f"u{env.rng.randrange(3)}{plan}",
                units=env.rng.choice((1.0, 1.0, 2.5)),
                gateway_spread=4,
            )
            draw = env.rng.random()
            if draw < 0.6:
                reporting_fraction = env.rng.choice((0.0, 0.25, 0.5, 0.75, 1.0, 1.5, -0.5))
                units, previous_units = env.rng.uniform(0.0, 6.0), env.rng.choice((0.0, 1.0, 4.0, 9.0))
                env.feed_request_with_usage(
                    request, units, previous_units, reporting_fraction, MEMBERS_SETTINGS
                )
            elif draw < 0.65:  # usage in a window that has ended
                env.feed(UsageUpdate(request, env.now - 9000.0, 3.0, 1.0, 1.0))
                env.feed(request)
            elif draw < 0.68:  # usage under a plan that is not known
                env.feed(UsageUpdate(replace(request, plan="none"), env.now, 3.0, 1.0, 1.0))
                env.feed(replace(request, plan="none"))
            else:
                env.feed(request)
            env.run(env.rng.expovariate(1.0 / 35.0))
        env.run(env.rng.choice((1400.0, 1600.0, 4000.0)))


def usage_updates_without_a_counter(handle: HandleEvent) -> None:
    """There is no counter: the members' usage updates are the only information on the other gateways."""
    env = Environment(handle, 25, attempt_ms=40.0)
    env.announce_servers()
    used_units = 0.0
    for step in range(420):
        plan = ("rate", "hard", "soft", "rate")[step % 4]
        request = env.request(
            "read", plan, f"u{step % 3}{plan}", units=env.rng.choice((1.0, 2.0)), gateway_spread=4
        )
        used_units = 0.0 if step % 60 == 0 else used_units + env.rng.uniform(0.0, 0.3)
        if step % 50 < 38:
            reporting_fraction = (0.25, 0.5, 0.75, 1.0)[step // 50 % 4]
            env.feed_request_with_usage(
                request, used_units, env.rng.choice((0.0, 2.0, 5.0)), reporting_fraction, MEMBERS_SETTINGS
            )
        else:
            env.feed(request)
        env.run(env.rng.expovariate(1.0 / 60.0))
    env.run(1.0 - env.now % 1.0)
    # How long a usage update is valid (1,500 ms), and times around it.
    for wait in (1100.0, 1300.0, 1450.0, 1499.0, 1500.0, 1550.0, 1700.0, 2000.0):
        tenant = f"w{wait}"
        for units in (2.0, 2.0, 1.0):
            request = env.request("read", "rate", tenant, units=units, gateway_spread=4)
            env.feed_request_with_usage(request, 0.5, 0.0, 0.75, MEMBERS_SETTINGS)
        env.run(wait)
        for _ in range(5):
            env.feed(env.request("read", "rate", tenant, gateway_spread=4))
        env.run(100.0)


def late_counter_replies(handle: HandleEvent) -> None:
    """Calls time out and are later answered, rejected or given up, in the window of the call or after it."""
    env = Environment(handle, 26, others_units=0.3, attempt_ms=40.0)
    env.announce_servers()
    env.late_outcomes = (Outcome.OK, Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT)
    env.request_kinds = (("read", "rate"), ("read", "hard"), ("read", "soft"), ("order", "open"))
    for fraction, late_reply_ms in (
        (0.3, (5.0, 200.0)),
        (0.7, (20.0, 900.0)),
        (0.4, (1500.0, 4000.0)),
        (0.0, (1.0, 2.0)),
    ):
        env.timeout_fraction, env.late_after_ms = fraction, late_reply_ms
        env.mixed_load(3500.0, 30.0, 2)
    env.feed(CounterReply(12345, 3.0, Outcome.OK, 60.0, True))  # a reply for an unknown key
    env.feed(CounterReply(12345, 3.0, Outcome.OK, 2.0))


def handover_between_processes(handle: HandleEvent) -> None:
    """A successor starts beside this process, ends, and starts again; only one of them adds epoch markers."""
    env = Environment(handle, 27, others_units=0.4, attempt_ms=60.0, timeout_fraction=0.05)
    env.announce_servers()
    env.mixed_load(2500.0, 25.0)
    for _ in range(2):
        env.feed(SuccessorStarted())
        env.mixed_load(2500.0, 25.0)
        env.feed(OtherProcessEnded())
        env.mixed_load(2500.0, 25.0)
    env.timeout_fraction = 0.4
    for _ in range(6):  # calls may have added own units that no reply has included
        env.feed(SuccessorStarted())
        env.mixed_load(250.0, 25.0)
        env.feed(OtherProcessEnded())
        env.mixed_load(150.0, 25.0)
    env.counter_outcome = Outcome.TIMEOUT
    env.feed(SuccessorStarted())
    env.mixed_load(1500.0, 25.0)


def handover_taken_from_another_process(handle: HandleEvent) -> None:
    """This process receives its predecessor's state, serves beside it, and is then alone."""
    env = Environment(handle, 28, others_units=0.4, attempt_ms=60.0)
    # This tenant is already known, so the state that is received for it is not used.
    env.feed(Request("r0", "read", "rate", "m0rate", 2000.0, 1.0, 4))
    snapshots = []
    for number, plan in enumerate(MEMBERS_SETTINGS.plans * 2):
        tenant = f"m{number % 4}{plan.name}"
        start = window_start_ms(env.now, tenant, plan) - (0.0 if number % 3 else 5.0)
        total = float("inf") if number % 5 == 1 or number == 6 else 1.0 + 0.5 * number
        bucket, guard = (plan.burst_units + 2.0, 9.0) if number % 2 else (0.4 * plan.burst_units, 0.5)
        snapshots.append(QuotaSnapshot(
            tenant, plan.name, (1, 3, 9)[number % 3], bucket, guard, 0.5 * number, 0.3 * number,
            4.0 + number, (3.0, 30.0)[number % 2], start, total))  # fmt: skip
    snapshots.append(QuotaSnapshot("x", "none", 1, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0))
    env.feed(StateReceived(tuple(snapshots)))
    env.announce_servers()
    env.request_kinds = (
        ("read", "rate"),
        ("read", "hard"),
        ("order", "soft"),
        ("read", "open"),
        ("read", "wide"),
    )
    env.mixed_load(3500.0, 18.0, gateway_spread=4)
    env.feed(OtherProcessEnded())
    env.mixed_load(3500.0, 22.0, gateway_spread=4)
    env.counter_outcome = Outcome.TIMEOUT
    env.feed(StateReceived(tuple(snapshots)))
    env.mixed_load(2500.0, 25.0, gateway_spread=4)


def stalled_process(handle: HandleEvent) -> None:
    """The process stalls with attempts in flight, for less and for more than the limit."""
    env = Environment(handle, 29, attempt_ms=150.0)
    env.announce_servers()
    env.request_kinds = (("read", "wide"), ("order", "wide"), ("read", "rate"))
    for ms in (900.0, 1100.0, 1260.0, 1500.0, 4000.0, 20_000.0):
        env.mixed_load(1000.0, 24.0)
        env.stall(ms)
        env.mixed_load(1000.0, 24.0)
    env.attempt_ms = 900.0
    env.mixed_load(2500.0, 18.0)
    env.stall(3000.0)
    env.attempt_ms = 60.0
    env.mixed_load(3000.0, 25.0)


def hedged_requests(handle: HandleEvent) -> None:
    """Hedged requests of each class, started by a timer and by a stalled attempt."""
    env = Environment(
        handle, 30, attempt_ms=250.0, outcomes=(*MIXED_OUTCOMES, Outcome.UNREACHABLE), sends_assignments=True
    )
    env.announce_servers(5)
    for step in range(212):
        class_name = ("read", "order", "bid", "charge", "cell")[step % 5]
        hedge_after_ms = env.rng.choice((0.0, 30.0, 120.0, 400.0))
        request = env.request(
            class_name,
            "wide",
            "hedged",
            hedge_after_ms=hedge_after_ms,
            time_left_ms=env.rng.choice((800.0, 2500.0)),
        )
        env.feed(request)
        env.run(env.rng.uniform(5.0, 50.0))
        if step % 3 == 0:
            env.feed(AttemptStalled(request.request_id, 0))
        if step % 11 == 0:
            env.feed(AttemptStalled("unknown", 0))
        if step % 17 == 0:
            env.feed(ClientDisconnected(request.request_id))
        if step % 13 == 0:
            env.feed(ResponseStarted(request.request_id, 0))
    for hedge_after_ms in (0.5, 1.0, 1.5):
        for timeout_ms in (0.5, 1.0, 900.0):
            for class_name in ("read", "charge"):
                limits = {"attempt_timeout_ms": timeout_ms, "hedge_after_ms": hedge_after_ms}
                env.feed(env.request(class_name, "wide", "hedged", **limits))
                env.run(60.0)
    env.announce_servers(1)  # no second server for hedged requests
    for class_name in ("read", "order", "bid", "cell"):
        env.feed(env.request(class_name, "wide", "hedged", hedge_after_ms=30.0))
        env.run(400.0)


def servers_avoided(handle: HandleEvent) -> None:
    """Servers become unreachable and reachable, by this gateway's attempts or other gateways' reports."""
    env = Environment(handle, 31, attempt_ms=30.0)
    env.announce_servers(6)
    env.request_kinds = (("read", "wide"), ("order", "wide"), ("bid", "wide"))
    for step in range(5):
        name = f"s{step % 6}"
        env.server_outcomes = {name: (Outcome.UNREACHABLE, Outcome.TIMEOUT, Outcome.RESET)[step % 3]}
        env.mixed_load(900.0, 18.0)
        env.feed(AvoidEndpoint(f"s{(step + 1) % 6}", 1500.0))
        env.feed(AvoidEndpoint("unknown", 1500.0))
        env.mixed_load(500.0, 15.0)
        env.feed(AvoidEndpoint(f"s{(step + 1) % 6}", 0.0))
        env.feed(AvoidEndpoint(name, 0.0))
        env.mixed_load(400.0, 15.0)
    env.server_outcomes = {f"s{n}": Outcome.UNREACHABLE for n in range(6)}
    env.mixed_load(5000.0, 50.0)
    env.server_outcomes = {"s0": Outcome.UNREACHABLE}
    env.mixed_load(20_000.0, 130.0)
    env.server_outcomes = {}
    env.mixed_load(12_000.0, 130.0)


def servers_of_many_sizes(handle: HandleEvent) -> None:
    """Partial endpoint lists, with weights, cells and servers that warm up; both kinds of load reports."""
    env = Environment(handle, 32, service_ms=30.0, reports_active=True)
    env.request_kinds = (("read", "wide"), ("cell", "wide"), ("bid", "wide"), ("order", "dear"))
    active, inf = EndpointState.ACTIVE, float("inf")
    weights = (1.0, 4.0, 0.5, inf, 0.0, -1.0, 2.0)
    for step, total_endpoints in enumerate((0, 21, 14, 0)):
        started = (env.now, 0.0, env.now - 30_000.0, 0.0)
        rows = tuple(
            Endpoint(f"s{n}", "ab"[n % 2], n % 3, weight, started[(n + step) % 4], active)
            for n, weight in enumerate(weights)
        )
        env.feed(
            EndpointList(EndpointListKind.FULL if step else EndpointListKind.CACHED, rows, total_endpoints)
        )
        env.outcomes = MIXED_OUTCOMES if step % 2 else (Outcome.OK,)
        env.mixed_load(2300.0, 18.0)
    env.feed(EndpointList(EndpointListKind.FAILED))
    env.feed_endpoints(EndpointListKind.FULL)
    env.mixed_load(1500.0, 60.0)


def cold_fleet_under_load(handle: HandleEvent) -> None:
    """Servers restart one after the other under a load near the capacity of warm ones; then all at once."""
    env = Environment(handle, 33, service_ms=15.0)
    env.request_kinds = (("read", "wide"), ("order", "wide"))
    env.announce_servers(4)
    env.mixed_load(2000.0, 9.0)
    for n in range(2):
        env.feed_endpoints(EndpointListKind.CHANGES, (f"s{n}", "a", env.now, EndpointState.ACTIVE))
        env.mixed_load(2000.0, 9.0)
    env.feed_endpoints(
        EndpointListKind.FULL, *[(f"s{n}", "a", env.now, EndpointState.ACTIVE) for n in range(4)]
    )
    for step in range(260):  # some requests wait until slow start admits them to a server
        time_left_ms = env.rng.choice((250.0, 450.0, 500.0, 600.0, 900.0, 1200.0, 1600.0, 3000.0))
        request = env.request(env.rng.choice(("read", "order")), "wide", "held", time_left_ms=time_left_ms)
        env.feed(request)
        if step % 9 == 0:
            env.feed(ClientDisconnected(request.request_id))
        env.run(env.rng.expovariate(1.0 / 15.0))


def many_gateways(handle: HandleEvent) -> None:
    """This is one of 120 gateways: it sees each tenant rarely, and the gateway spread of requests varies."""
    env = Environment(handle, 34, others_units=3.0, attempt_ms=30.0, timeout_fraction=0.03)
    env.announce_servers()
    for outcome in (Outcome.OK, Outcome.TIMEOUT, Outcome.OK, Outcome.REJECTED, Outcome.OK):
        env.counter_outcome = outcome
        for _ in range(115):
            class_name, plan = env.rng.choice(
                (("read", "rate"), ("read", "hard"), ("order", "soft"), ("read", "open"))
            )
            spread = env.rng.choice((1, 8, 60, 200, 0))
            if outcome is Outcome.REJECTED:  # some calls succeed
                env.counter_outcome, spread = env.rng.choice((Outcome.REJECTED, Outcome.OK)), 8
            env.feed(env.request(class_name, plan, f"g{env.rng.randrange(5)}{plan}", gateway_spread=spread))
            env.run(env.rng.expovariate(1.0 / 30.0))
    env.request_kinds = (("read", "soft"), ("order", "soft"))
    for down, ms in ((6, 2500.0), (2, 2500.0), (6, 2500.0), (2, 14_000.0)):  # down: unreachable servers
        env.announce_servers(6)
        env.server_outcomes = {f"s{n}": Outcome.UNREACHABLE for n in range(down)}
        env.mixed_load(ms, ms / 75.0)


def few_attempts_out(handle: HandleEvent) -> None:
    """One slow server: requests are shed for the backlog from the fifth attempt in flight on."""
    env = Environment(handle, 44, service_ms=200.0)
    env.request_kinds = (("read", "wide"), ("read", "dear"))
    env.announce_servers(1)
    for gap in (300.0, 150.0, 90.0, 220.0):
        env.mixed_load(4000.0, gap)


def counter_split_in_two(handle: HandleEvent) -> None:
    """Totals of busy tenants hold the epoch markers of all gateways, then of half or fewer, then of all."""
    env = Environment(handle, 35, attempt_ms=20.0)
    env.announce_servers()
    marked: set[int] = set()  # keys to which the other gateways' markers were added
    other_markers = [3.0]
    increment_counter = env.increment_counter

    def increment_with_markers(call: IncrementCounter) -> None:
        if call.key not in marked and call.amount >= 1000.0:  # the call adds an epoch marker
            marked.add(call.key)
            env.totals[call.key] = env.totals.get(call.key, 0.0) + other_markers[0] * 1000.0
        increment_counter(call)

    env.increment_counter = increment_with_markers  # type: ignore[method-assign]
    for marker_count, ms in (
        (3.0, 9000.0),
        (1.0, 9000.0),
        (0.0, 6000.0),
        (3.0, 9000.0),
        (-1.0, 6000.0),
        (9.0, 3000.0),
    ):
        other_markers[0] = max(0.0, marker_count)
        env.timeout_fraction = (
            1.0 if marker_count < 0.0 else 0.0
        )  # in these windows no call is answered in time
        end = env.now + ms
        while env.now < end:
            env.feed(env.request("read", "brisk", f"b{env.rng.randrange(2)}", gateway_spread=4))
            env.run(env.rng.expovariate(1.0 / 36.0))
        if marker_count == 1.0:
            env.totals.clear()


def odd_requests(handle: HandleEvent) -> None:
    """Unknown classes and plans, many units, no time left, more requests than the limit, and no server."""
    env = Environment(handle, 36, attempt_ms=700.0)
    for step in range(40):
        env.feed(env.request(("read", "none")[step % 2], ("rate", "none", "free")[step % 3], "early"))
        env.run(15.0)
    env.run(2000.0)
    env.announce_servers(2)
    for step in range(160):
        class_name = ("read", "none", "charge", "bid")[step % 4]
        plan = ("none", "free", "rate", "hard", "open")[step % 5]
        time_left_ms = env.rng.choice((-5.0, 0.0, 1.0, 340.0, 350.0, 360.0, 2000.0))
        units = env.rng.choice((0.25, 1.0, 7.0, 40.0))
        env.feed(env.request(class_name, plan, f"o{step % 3}{plan}", time_left_ms=time_left_ms, units=units))
        env.run(10.0)
    env.feed(AttemptEnded("unknown", 0, "s0", Outcome.OK, 5.0, True))
    env.feed(TimerFired(999))
    env.run(3000.0)


def counter_totals_of_all_kinds(handle: HandleEvent) -> None:
    """Totals hold more epoch markers than gateways, or fewer than an earlier total, or negative units."""
    env = Environment(handle, 37, attempt_ms=15.0)
    env.announce_servers()
    markers = {"hard": 100.0, "even": 1000.0, "brisk": 1000.0, "rate": 100.0}

    other_markers: dict[int, int] = {}  # number of other gateways' markers by key

    def increment_with_markers(call: IncrementCounter) -> None:
        marker = markers[env.request_kinds[0][1]]
        if call.key not in other_markers:
            other_markers[call.key] = env.rng.choice((0, 1, 2, 5))
            env.totals[call.key] = env.rng.choice((0.0, 0.0, 2.0, 4.0, -1.5, -2.0, -2.75))
        env.totals[call.key] += call.amount + env.rng.choice((0.0, 0.0, 0.125, 1.0))
        lost = env.rng.choice((0,) * 14 + (1, 2)) * marker
        total = env.totals[call.key] + other_markers[call.key] * marker - lost
        env.schedule(env.now + 2.0, CounterReply(call.key, total, Outcome.OK, 2.0))

    env.increment_counter = increment_with_markers  # type: ignore[method-assign]
    for plan in ("hard", "even", "brisk", "rate", "hard", "brisk"):
        env.request_kinds = (("read", plan),)
        for spread, gap in ((2, 60.0), (4, 150.0), (1, 40.0)):
            env.mixed_load(3000.0, gap, 2, gateway_spread=spread)


def slow_counter(handle: HandleEvent) -> None:
    """The counter replies slowly but before the timeout, some calls are rejected, and units are fractions."""
    env = Environment(handle, 38, others_units=0.2, attempt_ms=25.0)
    env.announce_servers()
    plans = ("rate", "soft", "open", "single", "even", "hard")
    for reply_ms, outcome in (
        (2.0, Outcome.OK), (30.0, Outcome.OK), (25.0, Outcome.OK), (2.0, Outcome.REJECTED),
        (24.0, Outcome.OK), (45.0, Outcome.OK), (2.0, Outcome.OK),
    ):  # fmt: skip
        env.reply_ms, env.counter_outcome = reply_ms, outcome
        for step in range(78):
            if outcome is Outcome.REJECTED:
                env.counter_outcome = (Outcome.REJECTED, Outcome.OK)[step % 2]
            plan = plans[env.rng.randrange(len(plans))]
            units = env.rng.choice((0.25, 0.5, 0.75, 1.0, 1.0005))
            env.feed(env.request("read", plan, f"s{env.rng.randrange(2)}{plan}", units=units))
            env.run(env.rng.expovariate(1.0 / 25.0))


def usage_updates_after_pauses(handle: HandleEvent) -> None:
    """Tenants return after one window, two or five, with usage updates for the window before."""
    env = Environment(handle, 39, attempt_ms=15.0, others_units=0.1)
    env.announce_servers()
    plans = {plan.name: plan for plan in WIDE_SETTINGS.plans if plan.rate_per_s and plan.burst_units < 100.0}
    for step in range(212):
        plan = plans[env.rng.choice(("rate", "soft", "even", "brisk"))]
        tenant = f"{'new' if step % 4 == 0 else 'p'}{step if step % 4 == 0 else step % 3}{plan.name}"
        request = env.request("read", plan.name, tenant, units=env.rng.choice((1.0, 2.0)), gateway_spread=4)
        previous_units = env.rng.choice((0.0, env.rng.uniform(0.5, 2.4) * plan.burst_units))
        units = env.rng.choice((0.0, env.rng.uniform(0.0, 1.0) * plan.burst_units))
        env.counter_outcome = Outcome.TIMEOUT if step % 110 > 80 else Outcome.OK
        env.feed_request_with_usage(request, units, previous_units, env.rng.choice((0.5, 1.0)), WIDE_SETTINGS)
        if step % 3 == 0:
            env.run(env.rng.uniform(5.0, 60.0))
            env.feed(replace(request, request_id=f"{request.request_id}b"))
        env.run(env.rng.choice((20.0, 100.0, 700.0, 1300.0, 2600.0, 3900.0)))


def pauses_between_attempts(handle: HandleEvent) -> None:
    """Failed attempts delay the next one; successful requests refill the retry budget in between."""
    env = Environment(handle, 40, attempt_ms=5.0)
    env.announce_servers()
    for delay_ms in (0.5, 1.0, 1.5, 40.0, 300.0, 1200.0, 2900.0, float("inf")):
        for class_name in ("read", "order", "bid", "charge", "cell"):
            for outcome in (Outcome.REJECTED, Outcome.ERROR):
                request = env.request(class_name, "wide", "paused")
                env.feed(request)
                env.queue = [row for row in env.queue if not isinstance(row[2], AttemptEnded)]
                heapq.heapify(env.queue)
                env.feed(AttemptEnded(
                    request.request_id, 0, "s0", outcome, 5.0, False, retry_delay_ms=delay_ms))  # fmt: skip
                env.run(20.0)
                for _ in range(5):
                    env.feed(env.request("read", "wide", "well"))
                env.run(20.0)
        env.run(1500.0)


def cold_server_for_retries(handle: HandleEvent) -> None:
    """A server that warms up is the least preferred: it gets only retries, when slow start admits them."""
    env = Environment(handle, 41, attempt_ms=12.0, outcomes=(Outcome.OK, Outcome.ERROR))
    env.request_kinds = (("read", "wide"),)
    env.feed_endpoints(
        EndpointListKind.CACHED, *[(f"s{i}", "a", 0.0, EndpointState.ACTIVE) for i in range(2)]
    )
    env.mixed_load(3000.0, 25.0)
    for gap in (30.0, 300.0, 90.0):
        env.feed_endpoints(EndpointListKind.CHANGES, ("s2", "a", env.now, EndpointState.ACTIVE))
        env.mixed_load(4000.0, gap)


def counter_replaced_with_open_plans_only(handle: HandleEvent) -> None:
    """No plan has a rate; the counter loses its totals, and loses them again a few seconds later."""
    env = Environment(handle, 42, attempt_ms=30.0)
    env.announce_servers()
    for losses in ((8, 12, 54), (9, 50), (7, 51, 53)):  # in tenths of a second
        for tenth in range(100):
            if tenth in losses:
                env.totals = {key: 0.0 for key in env.totals}
            if tenth % 3 == 0:
                env.feed(env.request("read", "open", "lost", gateway_spread=2))
            env.run(100.0)


def exact_moments(handle: HandleEvent) -> None:
    """Values equal a limit exactly: ages of totals, bucket and units, the end of an attempt and a tick."""
    env = Environment(handle, 43, attempt_ms=8.0)
    env.announce_servers(5)
    for number, units in enumerate((6.0, 5.0, 3.0, 2.0)):
        tenant = f"e{number}"
        env.feed(env.request("read", "rate", tenant, units=units))
        env.run(2.0)  # the counter replies
        for wait in (1002.0, 100.0, 1002.0, 998.0, 1000.0, 1002.0, 4000.0, 1002.0, 0.0):
            env.feed(env.request("read", "rate", tenant, units=units))
            env.run(wait)
    for number in range(6):  # a total with much use by others, then a full bucket
        env.others_units = 45.0
        tenant = f"f{number}"
        env.feed(env.request("read", "rate", tenant, units=1.0))
        env.run(50.0)
        env.feed(env.request("read", "rate", tenant, units=1.0))
        env.run(15_000.0 + number)
        for units in (6.0, 6.0, 5.0):
            env.feed(env.request("read", "rate", tenant, units=units, time_left_ms=340.0))
        env.run(1000.0)
    env.run(6000.0)
    env.others_units = 0.0
    for _ in range(3):  # a tick is late by exactly the limit
        env.mixed_load(400.0, 20.0)
        tick = min(when for when, _, event in env.queue if event == TimerFired(0))
        env.now = tick + 1000.0
        env.feed(env.request("read", "wide", "stalled"))
        env.run(500.0)
    for step in range(4):
        tick = min(when for when, _, event in env.queue if event == TimerFired(0))
        env.run(tick - env.now - 5.0)
        request = env.request("charge", "wide", "judged")
        env.feed(request)
        env.queue = [row for row in env.queue if not isinstance(row[2], AttemptEnded)]
        server = f"s{step}"
        ended = AttemptEnded(request.request_id, 0, server, Outcome.TIMEOUT, 5.0, True)
        env.queue.append((tick, -1, ended))
        heapq.heapify(env.queue)
        env.run(7000.0)
    for for_ms in (0.5, 1.0, 0.0):  # reports of other gateways on a server that this one found unreachable
        env.server_outcomes = {f"s{n}": Outcome.UNREACHABLE for n in range(5)}
        env.request_kinds = (("read", "wide"),)
        env.mixed_load(700.0, 25.0)
        env.feed(AvoidEndpoint("s0", for_ms))
        env.run(2.0)
        env.server_outcomes = {}
        env.mixed_load(900.0, 25.0)


def ceilings_that_bind(handle: HandleEvent) -> None:
    """The ceiling guard is empty before the quota's bucket; totals hold too few, all or too many markers."""
    env = Environment(handle, 45, attempt_ms=10.0)
    env.announce_servers()
    other_markers: dict[int, int] = {}

    def increment_with_markers(call: IncrementCounter) -> None:
        if call.key not in other_markers:
            other_markers[call.key] = env.rng.choice((0, 2, 3, 8, 11))
            env.totals[call.key] = env.rng.choice((0.0, 0.0, 1.0, 3.0, 6.0))
        env.totals[call.key] += call.amount
        if env.rng.random() < 0.05:
            env.totals[call.key] = call.amount  # the counter has lost the key's total
        total = env.totals[call.key] + other_markers[call.key] * 1000.0
        env.schedule(env.now + 2.0, CounterReply(call.key, total, Outcome.OK, 2.0))

    env.increment_counter = increment_with_markers  # type: ignore[method-assign]
    for plan, gap in (("tight", 40.0), ("close", 60.0), ("ceiling", 60.0), ("tight", 90.0)):
        env.request_kinds = (("read", plan),)
        env.mixed_load(4500.0, gap, 2, gateway_spread=4)


def counter_mute_from_the_start(handle: HandleEvent) -> None:
    """The counter never replies; requests come in pairs, and some reach no server."""
    env = Environment(handle, 46, attempt_ms=60.0, counter_outcome=Outcome.TIMEOUT)
    env.announce_servers()
    for step in range(150):
        plan = ("rate", "open", "soft", "hard", "trickle")[step % 5]
        down = step % 30 >= 18
        env.server_outcomes = {f"s{n}": Outcome.UNREACHABLE for n in range(4)} if down else {}
        for _ in range(2):
            units = 0.25 if plan == "trickle" else 1.0
            env.feed(env.request("read", plan, f"m{step % 2}{plan}", units=units))
        env.run(env.rng.choice((10.0, 60.0, 200.0)))


def shares_of_large_requests(handle: HandleEvent) -> None:
    """Requests of many units and of fractions of a unit, with and without time for a call to the counter."""
    env = Environment(handle, 47, attempt_ms=10.0, reply_ms=45.0)
    env.announce_servers()
    for step in range(420):
        plan = ("rate", "soft", "even", "trickle", "even")[step % 5]
        env.others_units = env.rng.choice((0.0, 0.5, 2.0)) if plan != "trickle" else 0.0
        units = env.rng.choice((0.125, 0.25) if plan == "trickle" else (0.5, 1.0, 2.0, 4.0, 6.0))
        request = env.request(
            "read", plan, f"l{env.rng.randrange(2)}{plan}", units=units,
            gateway_spread=env.rng.choice((1, 2)),
            time_left_ms=env.rng.choice((340.0, 2000.0)),
        )  # fmt: skip
        env.counter_outcome = Outcome.REJECTED if step % 120 > 100 else Outcome.OK
        env.feed(request)
        if step % 6 == 0:  # the client disconnects before the counter's reply
            env.feed(ClientDisconnected(request.request_id))
        env.run(env.rng.expovariate(1.0 / 45.0))


def handover_without_a_counter(handle: HandleEvent) -> None:
    """Without a counter, only this gateway's local share of the handed-over state counts."""
    env = Environment(handle, 48, attempt_ms=20.0)
    env.announce_servers()
    snapshots = []
    for number, plan in enumerate(("rate", "soft", "hard", "open", "rate", "soft")):
        own_units, all_units = ((0.0, 0.0), (2.0, 30.0))[number % 2]
        snapshots.append(QuotaSnapshot(
            f"t{number}{plan}", plan, number % 3 + 1, 6.0, 3.0, 0.0, 0.0, own_units, all_units, 0.0, 1.0
        ))  # fmt: skip
    env.feed(StateReceived(tuple(snapshots)))
    for number, snapshot in enumerate(snapshots * 12):
        env.feed(env.request("read", snapshot.plan, snapshot.tenant, gateway_spread=snapshot.gateway_spread))
        env.run(7.0 if number % 6 else 150.0)
    env.feed(OtherProcessEnded())
    for snapshot in snapshots * 5:
        env.feed(env.request("read", snapshot.plan, snapshot.tenant, gateway_spread=snapshot.gateway_spread))
        env.run(20.0)


def capacity_estimate_from_the_start(handle: HandleEvent) -> None:
    """The first responses are late: the capacity estimate falls in the first windows, and binds."""
    env = Environment(handle, 49, attempt_ms=650.0)
    env.request_kinds = (("read", "wide"), ("read", "cheap"), ("order", "dear"))
    env.announce_servers(1)
    env.mixed_load(1300.0, 140.0)
    env.mixed_load(4000.0, 25.0)


def two_attempts_at_most(handle: HandleEvent) -> None:
    """The settings allow one retry."""
    env = Environment(handle, 50, attempt_ms=300.0, outcomes=(Outcome.OK, Outcome.TIMEOUT, Outcome.ERROR))
    env.request_kinds = (("read", "wide"), ("order", "wide"), ("bid", "wide"), ("charge", "wide"))
    env.announce_servers()
    env.mixed_load(5000.0, 50.0)


SCENARIOS: tuple[Callable[[HandleEvent], None], ...] = (
    half_of_the_gateways_die,
    flood_with_the_counter_mute,
    counter_replaced,
    spoilt_answers,
    keyed_retry_at_the_memorys_border,
    drain_in_the_middle_of_an_attempt,
    a_cold_server,
    an_overloaded_fleet,
    clients_leave,
    operators_routes,
    counter_crowded,
    customers_come_back,
    second_copies,
    one_server_fails,
    retry_budget_exhausted,
    capacity_estimate_binds,
    capacity_estimate_follows_slow_answers,
    usage_updates_of_members,
    usage_updates_without_a_counter,
    late_counter_replies,
    handover_between_processes,
    handover_taken_from_another_process,
    stalled_process,
    hedged_requests,
    servers_avoided,
    servers_of_many_sizes,
    cold_fleet_under_load,
    many_gateways,
    counter_split_in_two,
    odd_requests,
    counter_totals_of_all_kinds,
    slow_counter,
    usage_updates_after_pauses,
    pauses_between_attempts,
    cold_server_for_retries,
    counter_replaced_with_open_plans_only,
    exact_moments,
    few_attempts_out,
    ceilings_that_bind,
    counter_mute_from_the_start,
    shares_of_large_requests,
    handover_without_a_counter,
    capacity_estimate_from_the_start,
    two_attempts_at_most,
)
DEFAULT_SETTINGS = replace(
    SETTINGS, cross_zone_price=0.02, allows_hedging=True, must_subscribe=True, max_requests=60
)
SOFT_PLAN = Plan("soft", price=2.0, rate_per_s=8.0, burst_units=10.0)
CELL_CLASS = RequestClass(
    "cell", 900.0, 1.5, Idempotency.WITH_KEY, IdempotencyScope.CELL, 1500.0, late_weight_fraction=0.3
)
MEMBERS_SETTINGS = replace(
    DEFAULT_SETTINGS, gateway_count=4, plans=(*SETTINGS.plans, SOFT_PLAN), max_requests=400
)
WIDE_SETTINGS = replace(
    DEFAULT_SETTINGS,
    classes=(*SETTINGS.classes, CELL_CLASS),
    plans=(
        *SETTINGS.plans,
        SOFT_PLAN,
        Plan("dear", price=5.0, rate_per_s=1000.0, burst_units=4000.0),
        Plan("cheap", price=0.3, rate_per_s=1000.0, burst_units=4000.0),
        Plan("free"),
        Plan("single", max_concurrent=1),
        Plan("even", rate_per_s=8.0, burst_units=8.0),
        Plan("trickle", rate_per_s=0.2, burst_units=1.0),
        Plan("tight", rate_per_s=30.0, burst_units=30.0, ceiling_rate_per_s=24.0, ceiling_burst_units=48.0),
        Plan("close", rate_per_s=30.0, burst_units=30.0, ceiling_rate_per_s=30.0, ceiling_burst_units=30.0),
        Plan("ceiling", ceiling_rate_per_s=20.0, ceiling_burst_units=30.0),
        Plan(
            "brisk",
            rate_per_s=20.0,
            burst_units=20.0,
            ceiling_rate_per_s=30.0,
            ceiling_burst_units=30.0,
            ceiling_slack_units=4.0,
        ),
    ),
    max_requests=2000,
)
# Settings by scenario; the others use DEFAULT_SETTINGS.
SETTINGS_BY_SCENARIO: dict[str, Settings] = {
    "retry_budget_exhausted": WIDE_SETTINGS,
    "capacity_estimate_binds": WIDE_SETTINGS,
    "capacity_estimate_follows_slow_answers": WIDE_SETTINGS,
    "usage_updates_of_members": MEMBERS_SETTINGS,
    "usage_updates_without_a_counter": replace(MEMBERS_SETTINGS, has_counter=False),
    "late_counter_replies": MEMBERS_SETTINGS,
    "handover_taken_from_another_process": MEMBERS_SETTINGS,
    "hedged_requests": WIDE_SETTINGS,
    "servers_avoided": replace(WIDE_SETTINGS, gateway_count=3, cross_zone_price=0.0),
    "servers_of_many_sizes": replace(WIDE_SETTINGS, weights_known=True),
    "cold_fleet_under_load": WIDE_SETTINGS,
    "many_gateways": replace(MEMBERS_SETTINGS, gateway_count=120),
    "counter_split_in_two": replace(WIDE_SETTINGS, gateway_count=4),
    "odd_requests": replace(WIDE_SETTINGS, max_requests=25, allows_hedging=False, must_subscribe=False),
    "stalled_process": WIDE_SETTINGS,
    "counter_totals_of_all_kinds": WIDE_SETTINGS,
    "slow_counter": WIDE_SETTINGS,
    "usage_updates_after_pauses": WIDE_SETTINGS,
    "pauses_between_attempts": WIDE_SETTINGS,
    "cold_server_for_retries": WIDE_SETTINGS,
    "counter_replaced_with_open_plans_only": replace(
        DEFAULT_SETTINGS, plans=(Plan("open", max_concurrent=2), Plan("single", max_concurrent=1))
    ),
    "exact_moments": WIDE_SETTINGS,
    "few_attempts_out": WIDE_SETTINGS,
    "ceilings_that_bind": replace(WIDE_SETTINGS, gateway_count=4),
    "counter_mute_from_the_start": WIDE_SETTINGS,
    "shares_of_large_requests": WIDE_SETTINGS,
    "handover_without_a_counter": replace(MEMBERS_SETTINGS, has_counter=False),
    "capacity_estimate_from_the_start": WIDE_SETTINGS,
    "two_attempts_at_most": replace(WIDE_SETTINGS, max_attempts=2),
}
