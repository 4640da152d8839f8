"""What the captures of this folder play: each function is one evening, by a clock and a seed of its own."""

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

Tell = Callable[[float, Event], list[Action]]
START = 1_700_000_000_000.0
MIXED_OUTCOMES = (Outcome.OK,) * 12 + (Outcome.ERROR, Outcome.REJECTED, Outcome.TIMEOUT, Outcome.RESET)
KINDS = (("read", "wide"), ("read", "rate"), ("order", "hard"), ("bid", "wide"), ("charge", "rate"),
         ("read", "open"), ("charge", "hard"))  # fmt: skip


@dataclass
class Evening:
    """A gateway's surroundings: timers, attempts, a counter, drawn from a seed."""

    tell: Tell
    seed: int
    counter: Outcome = Outcome.OK
    outcomes: tuple[Outcome, ...] = (Outcome.OK,)
    took_ms: float = 25.0
    others_units: float = 0.0  # units that other gateways add with each call
    now: float = START
    serial: int = 0
    queue: list[tuple[float, int, Event]] = field(default_factory=list)
    totals: dict[int, float] = field(default_factory=dict)
    attempts: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.order = itertools.count()

    def at(self, when: float, event: Event) -> None:
        heapq.heappush(self.queue, (when, next(self.order), event))

    def feed(self, event: Event) -> None:
        """One event, and what its actions bring about later."""
        for action in self.tell(self.now, event):
            if isinstance(action, SetTimer):
                self.at(max(self.now, action.at_ms), TimerFired(action.token))
            elif isinstance(action, IncrementCounter):
                self.count(action)
            elif isinstance(action, StartAttempt):
                self.send(action)

    def count(self, call: IncrementCounter) -> None:
        if self.counter is Outcome.OK:
            self.totals[call.key] = self.totals.get(call.key, 0.0) + call.amount + self.others_units
        total = self.totals.get(call.key, 0.0) if self.counter is Outcome.OK else 0.0
        took = 2.0 if self.counter is Outcome.OK else 50.0
        self.at(self.now + took, CounterReply(call.key, total, self.counter, took))

    def send(self, action: StartAttempt) -> None:
        number = self.attempts.get(action.request_id, -1) + 1
        self.attempts[action.request_id] = number
        ending = self.rng.choice(self.outcomes)
        took = self.took_ms * self.rng.uniform(0.5, 2.0)
        if ending is Outcome.TIMEOUT:
            took = action.timeout_ms or 1200.0
        queue = round(self.rng.uniform(0.0, 6.0), 2)
        ok = ending is Outcome.OK
        self.at(self.now + took, AttemptEnded(
            action.request_id, number, action.address, ending, took, ok, queue))  # fmt: skip

    def run(self, ms: float) -> None:
        """Lets time pass."""
        end = self.now + ms
        while self.queue and self.queue[0][0] <= end:
            when, _, event = heapq.heappop(self.queue)
            self.now = max(self.now, when)
            self.feed(event)
        self.now = end

    def ask(self, cls: str, plan: str, customer: str, units: float = 1.0, left: float = 3000.0) -> None:
        self.serial += 1
        self.feed(Request(f"r{self.serial}", cls, plan, customer, left, units, 2))

    def load(self, ms: float, gap_ms: float, customers: int = 8) -> None:
        """A mixed load."""
        end = self.now + ms
        while self.now < end:
            cls, plan = self.rng.choice(KINDS)
            self.ask(cls, plan, f"c{self.rng.randrange(customers)}{plan}", self.rng.choice((1.0, 1.0, 2.0)))
            self.run(self.rng.expovariate(1.0 / gap_ms))

    def flood(self, ms: float, gap_ms: float, plan: str) -> None:
        """One customer asks without end."""
        end = self.now + ms
        while self.now < end:
            self.ask("read", plan, f"flood-{plan}")
            self.run(gap_ms)

    def servers(self, kind: EndpointListKind, *rows: tuple[str, str, float, EndpointState]) -> None:
        entries = tuple(Endpoint(n, zone, i % 2, 1.0, t, s) for i, (n, zone, t, s) in enumerate(rows))
        self.feed(EndpointList(kind, entries))

    def announce_servers(self, count: int = 4) -> None:
        active = EndpointState.ACTIVE
        self.servers(EndpointListKind.CACHED, *[(f"s{i}", "ab"[i % 2], 0.0, active) for i in range(count)])


@dataclass
class Environment(Evening):
    """Further surroundings: counter calls that time out and are answered late, load reports, usage updates of
    members, placements, and all units in a window as the gateway's peers report them."""

    timeout_fraction: float = 0.0  # of the counter calls
    late_outcomes: tuple[Outcome, ...] = (Outcome.OK,)  # what became of a call that timed out
    late_after_ms: tuple[float, float] = (5.0, 400.0)  # beyond the timeout
    settled: dict[int, float] = field(default_factory=dict)  # by name: replies before have come by then
    service_ms: float = 0.0  # servers take one request at a time, each so long; 0: as an Evening's
    reply_ms: float = 2.0  # of the counter
    free_at: dict[str, float] = field(default_factory=dict)  # by server
    by_server: dict[str, Outcome] = field(default_factory=dict)  # servers whose attempts all end so
    kinds: tuple[tuple[str, str], ...] = KINDS
    placements: bool = False  # each attempt is followed by an AttemptAssigned
    active: bool = False  # load reports tell of active requests, too

    def count(self, call: IncrementCounter) -> None:
        """Replies for one name come in the order of the calls, late ones included."""
        pending = self.settled.get(call.key, 0.0)
        if pending <= self.now + 2.0 and self.rng.random() >= self.timeout_fraction:
            if self.counter is not Outcome.OK or self.reply_ms == 2.0:
                super().count(call)
                return
            total = self.totals[call.key] = self.totals.get(call.key, 0.0) + call.amount + self.others_units
            reply = CounterReply(call.key, total, Outcome.OK, self.reply_ms)
            self.at(self.now + self.reply_ms, reply)
            return
        ending = self.rng.choice(self.late_outcomes)
        if ending is Outcome.OK:
            self.totals[call.key] = self.totals.get(call.key, 0.0) + call.amount + self.others_units
        total = self.totals.get(call.key, 0.0) if ending is Outcome.OK else 0.0
        self.at(self.now + 50.0, CounterReply(call.key, 0.0, Outcome.TIMEOUT, 50.0))
        late = max(pending, self.now + 50.0 + self.rng.uniform(*self.late_after_ms))
        self.settled[call.key] = late
        self.at(late, CounterReply(call.key, total, ending, late - self.now, True))

    def send(self, action: StartAttempt) -> None:
        """An attempt, with its placement and the server's load report."""
        number = self.attempts.get(action.request_id, -1) + 1
        if self.placements:
            self.at(self.now, AttemptAssigned(action.request_id, number, "idle"))
        if self.service_ms:
            self.serve(action, number)
        else:
            outcomes = self.outcomes
            if action.address in self.by_server:
                self.outcomes = (self.by_server[action.address],)
            super().send(action)
            self.outcomes = outcomes
        if self.active:
            row = next(row for row in reversed(self.queue_of(action.request_id)) if row[2].attempt == number)
            at = self.queue.index(row)
            self.queue[at] = (row[0], row[1], replace(row[2], active_requests=float(self.rng.randrange(9))))

    def serve(self, action: StartAttempt, number: int) -> None:
        """A server's queue: an answer when those before are done, or a timeout."""
        self.attempts[action.request_id] = number
        free = max(self.now, self.free_at.get(action.address, 0.0))
        waiting = round((free - self.now) / self.service_ms, 2)
        done = free + self.service_ms * self.rng.uniform(0.6, 1.4)
        took, ending = done - self.now, self.rng.choice(self.outcomes)
        if 0.0 < action.timeout_ms < took:
            took, ending = action.timeout_ms, Outcome.TIMEOUT
        else:
            self.free_at[action.address] = done
        ok = ending is Outcome.OK
        self.at(self.now + took, AttemptEnded(
            action.request_id, number, action.address, ending, took, ok, waiting))  # fmt: skip

    def mix(self, ms: float, gap_ms: float, customers: int = 4, **more: Any) -> None:
        """A load of the kinds of this environment."""
        end = self.now + ms
        while self.now < end:
            cls, plan = self.rng.choice(self.kinds)
            customer = f"m{self.rng.randrange(customers)}{plan}"
            self.feed(self.request(cls, plan, customer, units=self.rng.choice((1.0, 1.0, 2.0)), **more))
            self.run(self.rng.expovariate(1.0 / gap_ms))

    def queue_of(self, request_id: str) -> list[tuple[float, int, AttemptEnded]]:
        """The attempts of a request that are out."""
        return [
            (when, order, event)
            for when, order, event in self.queue
            if isinstance(event, AttemptEnded) and event.request_id == request_id
        ]

    def request(self, cls: str, plan: str, customer: str, **more: Any) -> Request:
        """A request, not yet fed."""
        self.serial += 1
        given = {"time_left_ms": 3000.0, "gateway_spread": 2, **more}
        return Request(f"r{self.serial}", cls, plan, customer, **given)

    def ask_with_use(
        self, request: Request, units: float, before: float, share: float, settings: Settings
    ) -> None:
        """A usage update of members, and the request that it goes with."""
        plan = next(plan for plan in settings.plans if plan.name == request.plan)
        start = window_start_ms(self.now, request.tenant, plan)
        self.feed(UsageUpdate(request, start, units, before, share))
        self.feed(request)

    def stand_still(self, ms: float) -> None:
        """This process does not run: what was due meanwhile comes at once afterwards."""
        self.now += ms


def half_of_the_gateways_die(tell: Tell) -> None:
    """The others' use ends at once, and their customers come here."""
    evening = Evening(tell, 1, others_units=2.0)
    evening.announce_servers()
    evening.load(3000.0, 25.0)
    evening.others_units = 0.0
    evening.load(3000.0, 12.0)


def flood_with_the_counter_mute(tell: Tell) -> None:
    """No word for two seconds in a flood on a plan with a ceiling and one without, then words again."""
    evening = Evening(tell, 2)
    evening.announce_servers()
    evening.load(2000.0, 30.0)
    evening.counter = Outcome.TIMEOUT
    for plan in ("hard", "rate"):
        evening.flood(2000.0, 25.0, plan)
    evening.counter = Outcome.OK
    evening.flood(3000.0, 40.0, "hard")


def counter_replaced(tell: Tell) -> None:
    """A fresh counter under open connections, twice, while a customer floods."""
    evening = Evening(tell, 3, others_units=0.5)
    evening.announce_servers()
    for _ in range(3):
        evening.flood(1500.0, 40.0, "hard")
        evening.flood(1500.0, 40.0, "rate")
        evening.totals.clear()


def spoilt_answers(tell: Tell) -> None:
    """Errors, time-outs, resets and full servers among good answers, of all classes."""
    evening = Evening(tell, 4, outcomes=MIXED_OUTCOMES)
    evening.announce_servers()
    evening.load(8000.0, 25.0)


def keyed_retry_at_the_memorys_border(tell: Tell) -> None:
    """Attempts that end just before and just after servers forget a key."""
    evening = Evening(tell, 5, outcomes=(Outcome.ERROR,))
    evening.announce_servers()
    for took in (950.0, 990.0, 1000.0, 1010.0, 1200.0):
        evening.took_ms = took
        evening.ask("order", "wide", "keyed", left=5000.0)
        evening.ask("bid", "wide", "keyed", left=5000.0)
        evening.run(6000.0)


def drain_in_the_middle_of_an_attempt(tell: Tell) -> None:
    """Servers drain, go and come while attempts are out to them."""
    evening = Evening(tell, 6, outcomes=MIXED_OUTCOMES, took_ms=200.0)
    evening.announce_servers()
    active, draining, gone = EndpointState.ACTIVE, EndpointState.DRAINING, EndpointState.REMOVED
    for turn in range(6):
        evening.load(700.0, 20.0)
        name = f"s{turn % 4}"
        for state in (draining, gone):
            evening.servers(EndpointListKind.CHANGES, (name, "a", 0.0, state))
            evening.load(300.0, 20.0)
        evening.servers(EndpointListKind.CHANGES, (f"t{turn}", "b", evening.now, active))
    evening.servers(EndpointListKind.FULL)
    evening.load(1500.0, 40.0)
    evening.announce_servers()
    evening.load(1000.0, 40.0)


def a_cold_server(tell: Tell) -> None:
    """All servers start at once, and one again under load."""
    evening = Evening(tell, 7, took_ms=60.0)
    active = EndpointState.ACTIVE
    evening.servers(EndpointListKind.CACHED, *[(f"s{i}", "a", evening.now, active) for i in range(3)])
    evening.load(5000.0, 20.0)
    evening.servers(EndpointListKind.CHANGES, ("s1", "a", evening.now, active))
    evening.load(4000.0, 12.0)


def an_overloaded_fleet(tell: Tell) -> None:
    """Answers come later and later; V binds, and the cheap give way."""
    evening = Evening(tell, 8, took_ms=100.0)
    evening.announce_servers(2)
    for took in (100.0, 500.0, 900.0, 1500.0, 300.0, 50.0):
        evening.took_ms = took
        evening.load(1500.0, 15.0)


def clients_leave(tell: Tell) -> None:
    """Requests that are gone before their attempt ends, ids that come twice, no time left."""
    evening = Evening(tell, 9, outcomes=MIXED_OUTCOMES, took_ms=120.0)
    evening.announce_servers()
    for turn in range(120):
        cls, plan = evening.rng.choice(KINDS)
        evening.ask(cls, plan, "leaver", left=evening.rng.choice((0.0, 60.0, 400.0, 3000.0)))
        if turn % 3 == 0:
            evening.feed(ClientDisconnected(f"r{evening.serial}"))
        if turn % 7 == 0:
            evening.feed(ResponseStarted(f"r{evening.serial}", 0))
        evening.run(30.0)


def operators_routes(tell: Tell) -> None:
    """Bounds on time-outs and pauses between attempts."""
    evening = Evening(tell, 10, outcomes=(Outcome.REJECTED,))
    evening.announce_servers()
    for bound in (0.0, 40.0, 300.0):
        for wait in (0.0, 30.0, 400.0, float("inf")):
            evening.serial += 1
            ref = f"r{evening.serial}"
            evening.feed(Request(ref, "read", "wide", "routed", 2500.0, 1.0, 2, bound, 100.0))
            for number in range(3):
                ended = AttemptEnded(ref, number, "s0", Outcome.REJECTED, 5.0, False, retry_delay_ms=wait)
                evening.feed(ended)
                evening.run(450.0)
            evening.queue = [row for row in evening.queue if not isinstance(row[2], AttemptEnded)]
            heapq.heapify(evening.queue)


def counter_crowded(tell: Tell) -> None:
    """Calls turned away, late, and answered in time again; then no word for long, on plans of all kinds."""
    evening = Evening(tell, 11, others_units=0.3)
    evening.announce_servers()
    for ending in (Outcome.OK, Outcome.REJECTED, Outcome.OK, Outcome.TIMEOUT, Outcome.UNREACHABLE):
        evening.counter = ending
        evening.load(1800.0, 18.0, 3)
        evening.flood(700.0, 35.0, "open")
        evening.flood(700.0, 35.0, "hard")
    for _ in range(24):  # some get through, so that it is not mute, but most customers' words grow old
        for ending in (Outcome.REJECTED, Outcome.OK):
            evening.counter = ending
            evening.load(180.0, 18.0, 9)


def customers_come_back(tell: Tell) -> None:
    """Idle for longer than they are remembered, and with windows, rates and fails that have faded."""
    evening = Evening(tell, 12, outcomes=MIXED_OUTCOMES, others_units=1.0)
    evening.announce_servers(3)
    for pause in (500.0, 3000.0, 20_000.0, 70_000.0):
        evening.load(900.0, 22.0, 4)
        evening.run(pause)


def second_copies(tell: Tell) -> None:
    """Slow first attempts beside which a copy may go out, of each class."""
    evening = Evening(tell, 13, took_ms=400.0)
    evening.announce_servers()
    for cls in ("read", "order", "bid", "charge") * 4:
        evening.serial += 1
        evening.feed(Request(f"r{evening.serial}", cls, "wide", "copied", 2500.0, 1.0, 2, 0.0, 60.0))
        evening.run(250.0)


def one_server_fails(tell: Tell) -> None:
    """One of five answers errors, another nothing: they are avoided, and come back."""
    evening = Evening(tell, 14)
    evening.announce_servers(5)
    send = evening.send

    def by_server(action: StartAttempt) -> None:
        bad = {"s1": Outcome.ERROR, "s3": Outcome.TIMEOUT}
        evening.outcomes = (bad.get(action.address, Outcome.OK) if evening.now < turn else Outcome.OK,)
        send(action)

    evening.send = by_server  # type: ignore[method-assign]
    turn = evening.now + 4000.0
    evening.load(7000.0, 30.0)


# --- scenarios that reach every branch; some have settings of their own ------------------------------------


def retry_budget_exhausted(tell: Tell) -> None:
    """All attempts fail at once until no retry is left; then the budget fills by a fifth for each request."""
    made = Environment(tell, 21, outcomes=(Outcome.ERROR,), took_ms=4.0)
    made.announce_servers(6)
    for _ in range(12):  # the start's budget is spent within the first requests
        made.feed(made.request("read", "wide", "first"))
        made.run(60.0)
    for good in (10, 24, 40, 70):
        made.outcomes = (Outcome.OK,)
        for _ in range(good):
            made.feed(made.request("read", "wide", "well"))
            made.run(12.0)
        for ending in (Outcome.ERROR, Outcome.UNREACHABLE, Outcome.REJECTED):
            made.outcomes = (ending,)
            for _ in range(8):
                made.feed(made.request("read", "wide", "failing"))
                made.run(25.0)
    made.outcomes = (Outcome.TIMEOUT, Outcome.RESET, Outcome.NOT_SENT, Outcome.CANCELLED)
    made.mix(2500.0, 30.0)


def capacity_estimate_binds(tell: Tell) -> None:
    """More is offered than two servers can do: V falls, binds, and the cheaper requests give way."""
    made = Environment(tell, 22, service_ms=24.0)
    made.kinds = (("read", "wide"), ("read", "dear"), ("order", "wide"), ("read", "cheap"), ("order", "dear"))
    made.announce_servers(2)
    for ms, gap, service in (
        (2500.0, 30.0, 24.0), (4500.0, 9.0, 24.0), (2000.0, 25.0, 24.0), (2500.0, 9.0, 60.0),
        (3000.0, 30.0, 12.0), (2500.0, 25.0, 150.0), (3000.0, 40.0, 10.0),
    ):  # fmt: skip
        made.service_ms = service
        made.mix(ms, gap)
    made.service_ms = 60.0
    made.mix(2500.0, 12.0)
    for kinds in ((("read", "cheap"),), (("none", "wide"), ("order", "free"), ("read", "wide"))):
        made.kinds = kinds  # one kind stops, others are new
        made.mix(2200.0, 14.0)


def capacity_estimate_follows_slow_answers(tell: Tell) -> None:
    """Answers take from a third of their aim to more than all of it, step by step, at an even load."""
    made = Environment(tell, 23)
    made.kinds = (("read", "wide"), ("read", "cheap"), ("read", "dear"))
    entries = tuple(Endpoint(f"s{n}", "ab"[n % 2]) for n in range(12))
    made.feed(EndpointList(EndpointListKind.CACHED, entries, 20))
    for took in (80.0, 200.0, 300.0, 380.0, 420.0, 460.0, 520.0, 600.0, 900.0, 400.0, 150.0, 40.0):
        made.took_ms = took
        made.mix(2200.0, 35.0)
    for took in (700.0, 60.0):
        made.took_ms = took
        made.mix(3000.0, 170.0)


def usage_updates_of_members(tell: Tell) -> None:
    """Members tell of their use, beside a counter that answers, is mute, and answers again."""
    made = Environment(tell, 24, others_units=0.4, took_ms=40.0)
    made.announce_servers()
    plans = ("rate", "hard", "rate", "soft")
    for ending in (Outcome.OK, Outcome.TIMEOUT, Outcome.OK, Outcome.UNREACHABLE):
        made.counter = ending
        for turn in range(135):
            plan = plans[turn % 4]
            request = made.request(
                "read",
                plan,
                f"u{made.rng.randrange(3)}{plan}",
                units=made.rng.choice((1.0, 1.0, 2.5)),
                gateway_spread=4,
            )
            draw = made.rng.random()
            if draw < 0.6:
                share = made.rng.choice((0.0, 0.25, 0.5, 0.75, 1.0, 1.5, -0.5))
                units, before = made.rng.uniform(0.0, 6.0), made.rng.choice((0.0, 1.0, 4.0, 9.0))
                made.ask_with_use(request, units, before, share, MEMBERS_SETTINGS)
            elif draw < 0.65:  # of a window that is over
                made.feed(UsageUpdate(request, made.now - 9000.0, 3.0, 1.0, 1.0))
                made.feed(request)
            elif draw < 0.68:  # of a plan that is not known here
                made.feed(UsageUpdate(replace(request, plan="none"), made.now, 3.0, 1.0, 1.0))
                made.feed(replace(request, plan="none"))
            else:
                made.feed(request)
            made.run(made.rng.expovariate(1.0 / 35.0))
        made.run(made.rng.choice((1400.0, 1600.0, 4000.0)))


def usage_updates_without_a_counter(tell: Tell) -> None:
    """There is no counter: what members tell is all that is known."""
    made = Environment(tell, 25, took_ms=40.0)
    made.announce_servers()
    used = 0.0
    for turn in range(420):
        plan = ("rate", "hard", "soft", "rate")[turn % 4]
        request = made.request(
            "read", plan, f"u{turn % 3}{plan}", units=made.rng.choice((1.0, 2.0)), gateway_spread=4
        )
        used = 0.0 if turn % 60 == 0 else used + made.rng.uniform(0.0, 0.3)
        if turn % 50 < 38:
            share = (0.25, 0.5, 0.75, 1.0)[turn // 50 % 4]
            made.ask_with_use(request, used, made.rng.choice((0.0, 2.0, 5.0)), share, MEMBERS_SETTINGS)
        else:
            made.feed(request)
        made.run(made.rng.expovariate(1.0 / 60.0))
    made.run(1.0 - made.now % 1.0)
    for wait in (1100.0, 1300.0, 1450.0, 1499.0, 1500.0, 1550.0, 1700.0, 2000.0):  # until words are too old
        customer = f"w{wait}"
        for units in (2.0, 2.0, 1.0):
            request = made.request("read", "rate", customer, units=units, gateway_spread=4)
            made.ask_with_use(request, 0.5, 0.0, 0.75, MEMBERS_SETTINGS)
        made.run(wait)
        for _ in range(5):
            made.feed(made.request("read", "rate", customer, gateway_spread=4))
        made.run(100.0)


def late_counter_replies(tell: Tell) -> None:
    """Calls time out and are answered later, or turned away, or never known, in their window or after it."""
    made = Environment(tell, 26, others_units=0.3, took_ms=40.0)
    made.announce_servers()
    made.late_outcomes = (Outcome.OK, Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT)
    made.kinds = (("read", "rate"), ("read", "hard"), ("read", "soft"), ("order", "open"))
    for share, after in (
        (0.3, (5.0, 200.0)),
        (0.7, (20.0, 900.0)),
        (0.4, (1500.0, 4000.0)),
        (0.0, (1.0, 2.0)),
    ):
        made.timeout_fraction, made.late_after_ms = share, after
        made.mix(3500.0, 30.0, 2)
    made.feed(CounterReply(12345, 3.0, Outcome.OK, 60.0, True))  # of a name that nobody knows
    made.feed(CounterReply(12345, 3.0, Outcome.OK, 2.0))


def handover_between_processes(tell: Tell) -> None:
    """The next process comes up beside this one, goes, comes again; names are marked by one of them only."""
    made = Environment(tell, 27, others_units=0.4, took_ms=60.0, timeout_fraction=0.05)
    made.announce_servers()
    made.mix(2500.0, 25.0)
    for _ in range(2):
        made.feed(SuccessorStarted())
        made.mix(2500.0, 25.0)
        made.feed(OtherProcessEnded())
        made.mix(2500.0, 25.0)
    made.timeout_fraction = 0.4
    for _ in range(6):  # own units may be added that no answer has told of
        made.feed(SuccessorStarted())
        made.mix(250.0, 25.0)
        made.feed(OtherProcessEnded())
        made.mix(150.0, 25.0)
    made.counter = Outcome.TIMEOUT
    made.feed(SuccessorStarted())
    made.mix(1500.0, 25.0)


def handover_taken_from_another_process(tell: Tell) -> None:
    """This process begins with what the one before knew, serves beside it, and is then alone."""
    made = Environment(tell, 28, others_units=0.4, took_ms=60.0)
    # A customer that is known here already: what was told of it is not taken.
    made.feed(Request("r0", "read", "rate", "m0rate", 2000.0, 1.0, 4))
    stocks = []
    for number, plan in enumerate(MEMBERS_SETTINGS.plans * 2):
        customer = f"m{number % 4}{plan.name}"
        start = window_start_ms(made.now, customer, plan) - (0.0 if number % 3 else 5.0)
        total = float("inf") if number % 5 == 1 or number == 6 else 1.0 + 0.5 * number
        store, guard = (plan.burst_units + 2.0, 9.0) if number % 2 else (0.4 * plan.burst_units, 0.5)
        stocks.append(QuotaSnapshot(
            customer, plan.name, (1, 3, 9)[number % 3], store, guard, 0.5 * number, 0.3 * number,
            4.0 + number, (3.0, 30.0)[number % 2], start, total))  # fmt: skip
    stocks.append(QuotaSnapshot("x", "none", 1, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0))
    made.feed(StateReceived(tuple(stocks)))
    made.announce_servers()
    made.kinds = (("read", "rate"), ("read", "hard"), ("order", "soft"), ("read", "open"), ("read", "wide"))
    made.mix(3500.0, 18.0, gateway_spread=4)
    made.feed(OtherProcessEnded())
    made.mix(3500.0, 22.0, gateway_spread=4)
    made.counter = Outcome.TIMEOUT
    made.feed(StateReceived(tuple(stocks)))
    made.mix(2500.0, 25.0, gateway_spread=4)


def stalled_process(tell: Tell) -> None:
    """The process stands still for less and for more than the limit while attempts are out."""
    made = Environment(tell, 29, took_ms=150.0)
    made.announce_servers()
    made.kinds = (("read", "wide"), ("order", "wide"), ("read", "rate"))
    for ms in (900.0, 1100.0, 1260.0, 1500.0, 4000.0, 20_000.0):
        made.mix(1000.0, 24.0)
        made.stand_still(ms)
        made.mix(1000.0, 24.0)
    made.took_ms = 900.0
    made.mix(2500.0, 18.0)
    made.stand_still(3000.0)
    made.took_ms = 60.0
    made.mix(3000.0, 25.0)


def hedged_requests(tell: Tell) -> None:
    """Second attempts beside first ones, of each class, by time and as an attempt is held up."""
    made = Environment(
        tell, 30, took_ms=250.0, outcomes=(*MIXED_OUTCOMES, Outcome.UNREACHABLE), placements=True
    )
    made.announce_servers(5)
    for turn in range(212):
        cls = ("read", "order", "bid", "charge", "cell")[turn % 5]
        copy = made.rng.choice((0.0, 30.0, 120.0, 400.0))
        request = made.request(
            cls, "wide", "hedged", hedge_after_ms=copy, time_left_ms=made.rng.choice((800.0, 2500.0))
        )
        made.feed(request)
        made.run(made.rng.uniform(5.0, 50.0))
        if turn % 3 == 0:
            made.feed(AttemptStalled(request.request_id, 0))
        if turn % 11 == 0:
            made.feed(AttemptStalled("unknown", 0))
        if turn % 17 == 0:
            made.feed(ClientDisconnected(request.request_id))
        if turn % 13 == 0:
            made.feed(ResponseStarted(request.request_id, 0))
    for copy in (0.5, 1.0, 1.5):
        for bound in (0.5, 1.0, 900.0):
            for cls in ("read", "charge"):
                bounds = {"attempt_timeout_ms": bound, "hedge_after_ms": copy}
                made.feed(made.request(cls, "wide", "hedged", **bounds))
                made.run(60.0)
    made.announce_servers(1)  # nowhere to hedge to
    for cls in ("read", "order", "bid", "cell"):
        made.feed(made.request(cls, "wide", "hedged", hedge_after_ms=30.0))
        made.run(400.0)


def servers_avoided(tell: Tell) -> None:
    """Servers that can't be reached, here or by the words of other gateways, and that can again."""
    made = Environment(tell, 31, took_ms=30.0)
    made.announce_servers(6)
    made.kinds = (("read", "wide"), ("order", "wide"), ("bid", "wide"))
    for turn in range(5):
        name = f"s{turn % 6}"
        made.by_server = {name: (Outcome.UNREACHABLE, Outcome.TIMEOUT, Outcome.RESET)[turn % 3]}
        made.mix(900.0, 18.0)
        made.feed(AvoidEndpoint(f"s{(turn + 1) % 6}", 1500.0))
        made.feed(AvoidEndpoint("unknown", 1500.0))
        made.mix(500.0, 15.0)
        made.feed(AvoidEndpoint(f"s{(turn + 1) % 6}", 0.0))
        made.feed(AvoidEndpoint(name, 0.0))
        made.mix(400.0, 15.0)
    made.by_server = {f"s{n}": Outcome.UNREACHABLE for n in range(6)}
    made.mix(5000.0, 50.0)
    made.by_server = {"s0": Outcome.UNREACHABLE}
    made.mix(20_000.0, 130.0)
    made.by_server = {}
    made.mix(12_000.0, 130.0)


def servers_of_many_sizes(tell: Tell) -> None:
    """A part of a large list, with sizes, cells and cold servers, and load reports of two kinds."""
    made = Environment(tell, 32, service_ms=30.0, active=True)
    made.kinds = (("read", "wide"), ("cell", "wide"), ("bid", "wide"), ("order", "dear"))
    active, inf = EndpointState.ACTIVE, float("inf")
    sizes = (1.0, 4.0, 0.5, inf, 0.0, -1.0, 2.0)
    for turn, of in enumerate((0, 21, 14, 0)):
        started = (made.now, 0.0, made.now - 30_000.0, 0.0)
        rows = tuple(
            Endpoint(f"s{n}", "ab"[n % 2], n % 3, size, started[(n + turn) % 4], active)
            for n, size in enumerate(sizes)
        )
        made.feed(EndpointList(EndpointListKind.FULL if turn else EndpointListKind.CACHED, rows, of))
        made.outcomes = MIXED_OUTCOMES if turn % 2 else (Outcome.OK,)
        made.mix(2300.0, 18.0)
    made.feed(EndpointList(EndpointListKind.FAILED))
    made.servers(EndpointListKind.FULL)
    made.mix(1500.0, 60.0)


def cold_fleet_under_load(tell: Tell) -> None:
    """Servers start one after the other under a load near what warm ones can do; then all at once."""
    made = Environment(tell, 33, service_ms=15.0)
    made.kinds = (("read", "wide"), ("order", "wide"))
    made.announce_servers(4)
    made.mix(2000.0, 9.0)
    for n in range(2):
        made.servers(EndpointListKind.CHANGES, (f"s{n}", "a", made.now, EndpointState.ACTIVE))
        made.mix(2000.0, 9.0)
    made.servers(EndpointListKind.FULL, *[(f"s{n}", "a", made.now, EndpointState.ACTIVE) for n in range(4)])
    for turn in range(260):  # some are held until a server has a turn
        left = made.rng.choice((250.0, 450.0, 500.0, 600.0, 900.0, 1200.0, 1600.0, 3000.0))
        request = made.request(made.rng.choice(("read", "order")), "wide", "held", time_left_ms=left)
        made.feed(request)
        if turn % 9 == 0:
            made.feed(ClientDisconnected(request.request_id))
        made.run(made.rng.expovariate(1.0 / 15.0))


def many_gateways(tell: Tell) -> None:
    """One of 120 gateways: customers are seen seldom, and a request's spread varies."""
    made = Environment(tell, 34, others_units=3.0, took_ms=30.0, timeout_fraction=0.03)
    made.announce_servers()
    for ending in (Outcome.OK, Outcome.TIMEOUT, Outcome.OK, Outcome.REJECTED, Outcome.OK):
        made.counter = ending
        for _ in range(115):
            cls, plan = made.rng.choice(
                (("read", "rate"), ("read", "hard"), ("order", "soft"), ("read", "open"))
            )
            spread = made.rng.choice((1, 8, 60, 200, 0))
            if ending is Outcome.REJECTED:  # some get through
                made.counter, spread = made.rng.choice((Outcome.REJECTED, Outcome.OK)), 8
            made.feed(made.request(cls, plan, f"g{made.rng.randrange(5)}{plan}", gateway_spread=spread))
            made.run(made.rng.expovariate(1.0 / 30.0))
    made.kinds = (("read", "soft"), ("order", "soft"))
    for down, ms in ((6, 2500.0), (2, 2500.0), (6, 2500.0), (2, 14_000.0)):  # servers out of reach, of six
        made.announce_servers(6)
        made.by_server = {f"s{n}": Outcome.UNREACHABLE for n in range(down)}
        made.mix(ms, ms / 75.0)


def few_attempts_out(tell: Tell) -> None:
    """One slow server: refusals for a backlog begin with the fifth attempt out."""
    made = Environment(tell, 44, service_ms=200.0)
    made.kinds = (("read", "wide"), ("read", "dear"))
    made.announce_servers(1)
    for gap in (300.0, 150.0, 90.0, 220.0):
        made.mix(4000.0, gap)


def counter_split_in_two(tell: Tell) -> None:
    """A busy customer's windows hear of all gateways' epoch markers, then of half of them, then of all."""
    made = Environment(tell, 35, took_ms=20.0)
    made.announce_servers()
    marked: set[int] = set()
    heard = [3.0]
    count = made.count

    def counted(call: IncrementCounter) -> None:
        if call.key not in marked and call.amount >= 1000.0:  # the marker of the plan
            marked.add(call.key)
            made.totals[call.key] = made.totals.get(call.key, 0.0) + heard[0] * 1000.0
        count(call)

    made.count = counted  # type: ignore[method-assign]
    for others, ms in (
        (3.0, 9000.0),
        (1.0, 9000.0),
        (0.0, 6000.0),
        (3.0, 9000.0),
        (-1.0, 6000.0),
        (9.0, 3000.0),
    ):
        heard[0] = max(0.0, others)
        made.timeout_fraction = 1.0 if others < 0.0 else 0.0  # windows in which no word comes
        end = made.now + ms
        while made.now < end:
            made.feed(made.request("read", "brisk", f"b{made.rng.randrange(2)}", gateway_spread=4))
            made.run(made.rng.expovariate(1.0 / 36.0))
        if others == 1.0:
            made.totals.clear()


def odd_requests(tell: Tell) -> None:
    """Unknown classes and plans, many units, no time, more requests than are held, and no server."""
    made = Environment(tell, 36, took_ms=700.0)
    for turn in range(40):
        made.feed(made.request(("read", "none")[turn % 2], ("rate", "none", "free")[turn % 3], "early"))
        made.run(15.0)
    made.run(2000.0)
    made.announce_servers(2)
    for turn in range(160):
        cls = ("read", "none", "charge", "bid")[turn % 4]
        plan = ("none", "free", "rate", "hard", "open")[turn % 5]
        left = made.rng.choice((-5.0, 0.0, 1.0, 340.0, 350.0, 360.0, 2000.0))
        units = made.rng.choice((0.25, 1.0, 7.0, 40.0))
        made.feed(made.request(cls, plan, f"o{turn % 3}{plan}", time_left_ms=left, units=units))
        made.run(10.0)
    made.feed(AttemptEnded("unknown", 0, "s0", Outcome.OK, 5.0, True))
    made.feed(TimerFired(999))
    made.run(3000.0)


def counter_totals_of_all_kinds(tell: Tell) -> None:
    """Totals that hold more epoch markers than gateways, or fewer than before, and units below 0."""
    made = Environment(tell, 37, took_ms=15.0)
    made.announce_servers()
    markers = {"hard": 100.0, "even": 1000.0, "brisk": 1000.0, "rate": 100.0}

    heard: dict[int, int] = {}  # markers of others, by name

    def counted(call: IncrementCounter) -> None:
        marker = markers[made.kinds[0][1]]
        if call.key not in heard:
            heard[call.key] = made.rng.choice((0, 1, 2, 5))
            made.totals[call.key] = made.rng.choice((0.0, 0.0, 2.0, 4.0, -1.5, -2.0, -2.75))
        made.totals[call.key] += call.amount + made.rng.choice((0.0, 0.0, 0.125, 1.0))
        lost = made.rng.choice((0,) * 14 + (1, 2)) * marker
        total = made.totals[call.key] + heard[call.key] * marker - lost
        made.at(made.now + 2.0, CounterReply(call.key, total, Outcome.OK, 2.0))

    made.count = counted  # type: ignore[method-assign]
    for plan in ("hard", "even", "brisk", "rate", "hard", "brisk"):
        made.kinds = (("read", plan),)
        for spread, gap in ((2, 60.0), (4, 150.0), (1, 40.0)):
            made.mix(3000.0, gap, 2, gateway_spread=spread)


def slow_counter(tell: Tell) -> None:
    """The counter answers late but in time, some calls are turned away, and units are parts of one."""
    made = Environment(tell, 38, others_units=0.2, took_ms=25.0)
    made.announce_servers()
    plans = ("rate", "soft", "open", "single", "even", "hard")
    for reply_ms, ending in (
        (2.0, Outcome.OK), (30.0, Outcome.OK), (25.0, Outcome.OK), (2.0, Outcome.REJECTED),
        (24.0, Outcome.OK), (45.0, Outcome.OK), (2.0, Outcome.OK),
    ):  # fmt: skip
        made.reply_ms, made.counter = reply_ms, ending
        for turn in range(78):
            if ending is Outcome.REJECTED:
                made.counter = (Outcome.REJECTED, Outcome.OK)[turn % 2]
            plan = plans[made.rng.randrange(len(plans))]
            units = made.rng.choice((0.25, 0.5, 0.75, 1.0, 1.0005))
            made.feed(made.request("read", plan, f"s{made.rng.randrange(2)}{plan}", units=units))
            made.run(made.rng.expovariate(1.0 / 25.0))


def usage_updates_after_pauses(tell: Tell) -> None:
    """Customers come back after one window, two, or five, with what members used before."""
    made = Environment(tell, 39, took_ms=15.0, others_units=0.1)
    made.announce_servers()
    plans = {plan.name: plan for plan in WIDE_SETTINGS.plans if plan.rate_per_s and plan.burst_units < 100.0}
    for turn in range(212):
        plan = plans[made.rng.choice(("rate", "soft", "even", "brisk"))]
        customer = f"{'new' if turn % 4 == 0 else 'p'}{turn if turn % 4 == 0 else turn % 3}{plan.name}"
        request = made.request(
            "read", plan.name, customer, units=made.rng.choice((1.0, 2.0)), gateway_spread=4
        )
        before = made.rng.choice((0.0, made.rng.uniform(0.5, 2.4) * plan.burst_units))
        units = made.rng.choice((0.0, made.rng.uniform(0.0, 1.0) * plan.burst_units))
        made.counter = Outcome.TIMEOUT if turn % 110 > 80 else Outcome.OK
        made.ask_with_use(request, units, before, made.rng.choice((0.5, 1.0)), WIDE_SETTINGS)
        if turn % 3 == 0:
            made.run(made.rng.uniform(5.0, 60.0))
            made.feed(replace(request, request_id=f"{request.request_id}b"))
        made.run(made.rng.choice((20.0, 100.0, 700.0, 1300.0, 2600.0, 3900.0)))


def pauses_between_attempts(tell: Tell) -> None:
    """Attempts end with a pause before the next; the retry budget is filled up in between."""
    made = Environment(tell, 40, took_ms=5.0)
    made.announce_servers()
    for wait in (0.5, 1.0, 1.5, 40.0, 300.0, 1200.0, 2900.0, float("inf")):
        for cls in ("read", "order", "bid", "charge", "cell"):
            for ending in (Outcome.REJECTED, Outcome.ERROR):
                request = made.request(cls, "wide", "paused")
                made.feed(request)
                made.queue = [row for row in made.queue if not isinstance(row[2], AttemptEnded)]
                heapq.heapify(made.queue)
                made.feed(AttemptEnded(
                    request.request_id, 0, "s0", ending, 5.0, False, retry_delay_ms=wait))  # fmt: skip
                made.run(20.0)
                for _ in range(5):
                    made.feed(made.request("read", "wide", "well"))
                made.run(20.0)
        made.run(1500.0)


def cold_server_for_retries(tell: Tell) -> None:
    """A cold server is the dearest one: only retries come to it, when it has a turn."""
    made = Environment(tell, 41, took_ms=12.0, outcomes=(Outcome.OK, Outcome.ERROR))
    made.kinds = (("read", "wide"),)
    made.servers(EndpointListKind.CACHED, *[(f"s{i}", "a", 0.0, EndpointState.ACTIVE) for i in range(2)])
    made.mix(3000.0, 25.0)
    for gap in (30.0, 300.0, 90.0):
        made.servers(EndpointListKind.CHANGES, ("s2", "a", made.now, EndpointState.ACTIVE))
        made.mix(4000.0, gap)


def counter_replaced_with_open_plans_only(tell: Tell) -> None:
    """No plan has a rate; the counter's memory is lost, and lost again a few seconds later."""
    made = Environment(tell, 42, took_ms=30.0)
    made.announce_servers()
    for losses in ((8, 12, 54), (9, 50), (7, 51, 53)):  # in tenths of a second
        for tenth in range(100):
            if tenth in losses:
                made.totals = {name: 0.0 for name in made.totals}
            if tenth % 3 == 0:
                made.feed(made.request("read", "open", "lost", gateway_spread=2))
            made.run(100.0)


def exact_moments(tell: Tell) -> None:
    """Figures that meet a limit to the bit: ages of words, store and units, an attempt's end and a tick."""
    made = Environment(tell, 43, took_ms=8.0)
    made.announce_servers(5)
    for number, units in enumerate((6.0, 5.0, 3.0, 2.0)):
        customer = f"e{number}"
        made.feed(made.request("read", "rate", customer, units=units))
        made.run(2.0)  # the reply comes
        for wait in (1002.0, 100.0, 1002.0, 998.0, 1000.0, 1002.0, 4000.0, 1002.0, 0.0):
            made.feed(made.request("read", "rate", customer, units=units))
            made.run(wait)
    for number in range(6):  # a word of much use by others, then a full store
        made.others_units = 45.0
        customer = f"f{number}"
        made.feed(made.request("read", "rate", customer, units=1.0))
        made.run(50.0)
        made.feed(made.request("read", "rate", customer, units=1.0))
        made.run(15_000.0 + number)
        for units in (6.0, 6.0, 5.0):
            made.feed(made.request("read", "rate", customer, units=units, time_left_ms=340.0))
        made.run(1000.0)
    made.run(6000.0)
    made.others_units = 0.0
    for _ in range(3):  # a tick that comes late by the limit
        made.mix(400.0, 20.0)
        tick = min(when for when, _, event in made.queue if event == TimerFired(0))
        made.now = tick + 1000.0
        made.feed(made.request("read", "wide", "stalled"))
        made.run(500.0)
    for turn in range(4):
        tick = min(when for when, _, event in made.queue if event == TimerFired(0))
        made.run(tick - made.now - 5.0)
        request = made.request("charge", "wide", "judged")
        made.feed(request)
        made.queue = [row for row in made.queue if not isinstance(row[2], AttemptEnded)]
        server = f"s{turn}"
        ended = AttemptEnded(request.request_id, 0, server, Outcome.TIMEOUT, 5.0, True)
        made.queue.append((tick, -1, ended))
        heapq.heapify(made.queue)
        made.run(7000.0)
    for for_ms in (0.5, 1.0, 0.0):  # words of others on a server that was found out of reach here
        made.by_server = {f"s{n}": Outcome.UNREACHABLE for n in range(5)}
        made.kinds = (("read", "wide"),)
        made.mix(700.0, 25.0)
        made.feed(AvoidEndpoint("s0", for_ms))
        made.run(2.0)
        made.by_server = {}
        made.mix(900.0, 25.0)


def ceilings_that_bind(tell: Tell) -> None:
    """The ceiling's guard is empty before the quota's store is; totals tell of few, all, or more gateways."""
    made = Environment(tell, 45, took_ms=10.0)
    made.announce_servers()
    heard: dict[int, int] = {}

    def counted(call: IncrementCounter) -> None:
        if call.key not in heard:
            heard[call.key] = made.rng.choice((0, 2, 3, 8, 11))
            made.totals[call.key] = made.rng.choice((0.0, 0.0, 1.0, 3.0, 6.0))
        made.totals[call.key] += call.amount
        if made.rng.random() < 0.05:
            made.totals[call.key] = call.amount  # memory was lost
        total = made.totals[call.key] + heard[call.key] * 1000.0
        made.at(made.now + 2.0, CounterReply(call.key, total, Outcome.OK, 2.0))

    made.count = counted  # type: ignore[method-assign]
    for plan, gap in (("tight", 40.0), ("close", 60.0), ("ceiling", 60.0), ("tight", 90.0)):
        made.kinds = (("read", plan),)
        made.mix(4500.0, gap, 2, gateway_spread=4)


def counter_mute_from_the_start(tell: Tell) -> None:
    """No word comes from the first call on; requests come in pairs, and some reach no server."""
    made = Environment(tell, 46, took_ms=60.0, counter=Outcome.TIMEOUT)
    made.announce_servers()
    for turn in range(150):
        plan = ("rate", "open", "soft", "hard", "trickle")[turn % 5]
        down = turn % 30 >= 18
        made.by_server = {f"s{n}": Outcome.UNREACHABLE for n in range(4)} if down else {}
        for _ in range(2):
            units = 0.25 if plan == "trickle" else 1.0
            made.feed(made.request("read", plan, f"m{turn % 2}{plan}", units=units))
        made.run(made.rng.choice((10.0, 60.0, 200.0)))


def shares_of_large_requests(tell: Tell) -> None:
    """Requests of many units and of small parts of one, with and without time to ask the counter."""
    made = Environment(tell, 47, took_ms=10.0, reply_ms=45.0)
    made.announce_servers()
    for turn in range(420):
        plan = ("rate", "soft", "even", "trickle", "even")[turn % 5]
        made.others_units = made.rng.choice((0.0, 0.5, 2.0)) if plan != "trickle" else 0.0
        units = made.rng.choice((0.125, 0.25) if plan == "trickle" else (0.5, 1.0, 2.0, 4.0, 6.0))
        request = made.request(
            "read", plan, f"l{made.rng.randrange(2)}{plan}", units=units,
            gateway_spread=made.rng.choice((1, 2)),
            time_left_ms=made.rng.choice((340.0, 2000.0)),
        )  # fmt: skip
        made.counter = Outcome.REJECTED if turn % 120 > 100 else Outcome.OK
        made.feed(request)
        if turn % 6 == 0:  # the client leaves before the counter's word comes
            made.feed(ClientDisconnected(request.request_id))
        made.run(made.rng.expovariate(1.0 / 45.0))


def handover_without_a_counter(tell: Tell) -> None:
    """What was handed over counts by this gateway's part alone, as there is no counter."""
    made = Environment(tell, 48, took_ms=20.0)
    made.announce_servers()
    stocks = []
    for number, plan in enumerate(("rate", "soft", "hard", "open", "rate", "soft")):
        told_own, told_all = ((0.0, 0.0), (2.0, 30.0))[number % 2]
        stocks.append(QuotaSnapshot(
            f"t{number}{plan}", plan, number % 3 + 1, 6.0, 3.0, 0.0, 0.0, told_own, told_all, 0.0, 1.0
        ))  # fmt: skip
    made.feed(StateReceived(tuple(stocks)))
    for number, stock in enumerate(stocks * 12):
        made.feed(made.request("read", stock.plan, stock.tenant, gateway_spread=stock.gateway_spread))
        made.run(7.0 if number % 6 else 150.0)
    made.feed(OtherProcessEnded())
    for stock in stocks * 5:
        made.feed(made.request("read", stock.plan, stock.tenant, gateway_spread=stock.gateway_spread))
        made.run(20.0)


def capacity_estimate_from_the_start(tell: Tell) -> None:
    """The first answers of all are late, and V binds before anything was learned."""
    made = Environment(tell, 49, took_ms=650.0)
    made.kinds = (("read", "wide"), ("read", "cheap"), ("order", "dear"))
    made.announce_servers(1)
    made.mix(1300.0, 140.0)
    made.mix(4000.0, 25.0)


def two_attempts_at_most(tell: Tell) -> None:
    """Settings that allow one further attempt."""
    made = Environment(tell, 50, took_ms=300.0, outcomes=(Outcome.OK, Outcome.TIMEOUT, Outcome.ERROR))
    made.kinds = (("read", "wide"), ("order", "wide"), ("bid", "wide"), ("charge", "wide"))
    made.announce_servers()
    made.mix(5000.0, 50.0)


SCENARIOS: tuple[Callable[[Tell], None], ...] = (
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
SOFT = Plan("soft", price=2.0, rate_per_s=8.0, burst_units=10.0)
CELL = RequestClass(
    "cell", 900.0, 1.5, Idempotency.WITH_KEY, IdempotencyScope.CELL, 1500.0, late_weight_fraction=0.3
)
MEMBERS_SETTINGS = replace(DEFAULT_SETTINGS, gateway_count=4, plans=(*SETTINGS.plans, SOFT), max_requests=400)
WIDE_SETTINGS = replace(
    DEFAULT_SETTINGS,
    classes=(*SETTINGS.classes, CELL),
    plans=(
        *SETTINGS.plans,
        SOFT,
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
SETTINGS_OF: dict[str, Settings] = {  # those that are not here have DEFAULT_SETTINGS
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
