"""What the captures of this folder play: each function is one evening, by a clock and a seed of its own."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from glenchute.policy.actions import Action, IncrementCounter, SetTimer, StartAttempt
from glenchute.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReply,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Event,
    Outcome,
    Request,
    ResponseStarted,
    TimerFired,
)
from tests.rig import SETTINGS

Tell = Callable[[float, Event], list[Action]]
START = 1_700_000_000_000.0
MANY = (Outcome.OK,) * 12 + (Outcome.ERROR, Outcome.REJECTED, Outcome.TIMEOUT, Outcome.RESET)
KINDS = (("read", "wide"), ("read", "rate"), ("order", "hard"), ("bid", "wide"), ("charge", "rate"),
         ("read", "open"), ("charge", "hard"))  # fmt: skip


@dataclass
class Evening:
    """A gateway's surroundings: timers, attempts, a counter, drawn from a seed."""

    tell: Tell
    seed: int
    counter: Outcome = Outcome.OK
    endings: tuple[Outcome, ...] = (Outcome.OK,)
    took_ms: float = 25.0
    others: float = 0.0  # units that other gateways add with each call
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
            self.totals[call.key] = self.totals.get(call.key, 0.0) + call.amount + self.others
        total = self.totals.get(call.key, 0.0) if self.counter is Outcome.OK else 0.0
        took = 2.0 if self.counter is Outcome.OK else 50.0
        self.at(self.now + took, CounterReply(call.key, total, self.counter, took))

    def send(self, action: StartAttempt) -> None:
        number = self.attempts.get(action.request_id, -1) + 1
        self.attempts[action.request_id] = number
        ending = self.rng.choice(self.endings)
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

    def fleet(self, count: int = 4) -> None:
        active = EndpointState.ACTIVE
        self.servers(EndpointListKind.CACHED, *[(f"s{i}", "ab"[i % 2], 0.0, active) for i in range(count)])


def half_of_the_gateways_die(tell: Tell) -> None:
    """The others' use ends at once, and their customers come here."""
    evening = Evening(tell, 1, others=2.0)
    evening.fleet()
    evening.load(3000.0, 25.0)
    evening.others = 0.0
    evening.load(3000.0, 12.0)


def flood_with_the_counter_mute(tell: Tell) -> None:
    """No word for two seconds in a flood on a plan with a ceiling and one without, then words again."""
    evening = Evening(tell, 2)
    evening.fleet()
    evening.load(2000.0, 30.0)
    evening.counter = Outcome.TIMEOUT
    for plan in ("hard", "rate"):
        evening.flood(2000.0, 25.0, plan)
    evening.counter = Outcome.OK
    evening.flood(3000.0, 40.0, "hard")


def counter_replaced(tell: Tell) -> None:
    """A fresh counter under open connections, twice, while a customer floods."""
    evening = Evening(tell, 3, others=0.5)
    evening.fleet()
    for _ in range(3):
        evening.flood(1500.0, 40.0, "hard")
        evening.flood(1500.0, 40.0, "rate")
        evening.totals.clear()


def spoilt_answers(tell: Tell) -> None:
    """Errors, time-outs, resets and full servers among good answers, of all classes."""
    evening = Evening(tell, 4, endings=MANY)
    evening.fleet()
    evening.load(8000.0, 25.0)


def keyed_retry_at_the_memorys_border(tell: Tell) -> None:
    """Attempts that end just before and just after servers forget a key."""
    evening = Evening(tell, 5, endings=(Outcome.ERROR,))
    evening.fleet()
    for took in (950.0, 990.0, 1000.0, 1010.0, 1200.0):
        evening.took_ms = took
        evening.ask("order", "wide", "keyed", left=5000.0)
        evening.ask("bid", "wide", "keyed", left=5000.0)
        evening.run(6000.0)


def drain_in_the_middle_of_an_attempt(tell: Tell) -> None:
    """Servers drain, go and come while attempts are out to them."""
    evening = Evening(tell, 6, endings=MANY, took_ms=200.0)
    evening.fleet()
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
    evening.fleet()
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
    evening.fleet(2)
    for took in (100.0, 500.0, 900.0, 1500.0, 300.0, 50.0):
        evening.took_ms = took
        evening.load(1500.0, 15.0)


def clients_leave(tell: Tell) -> None:
    """Requests that are gone before their attempt ends, ids that come twice, no time left."""
    evening = Evening(tell, 9, endings=MANY, took_ms=120.0)
    evening.fleet()
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
    evening = Evening(tell, 10, endings=(Outcome.REJECTED,))
    evening.fleet()
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
    evening = Evening(tell, 11, others=0.3)
    evening.fleet()
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
    evening = Evening(tell, 12, endings=MANY, others=1.0)
    evening.fleet(3)
    for pause in (500.0, 3000.0, 20_000.0, 70_000.0):
        evening.load(900.0, 22.0, 4)
        evening.run(pause)


def second_copies(tell: Tell) -> None:
    """Slow first attempts beside which a copy may go out, of each class."""
    evening = Evening(tell, 13, took_ms=400.0)
    evening.fleet()
    for cls in ("read", "order", "bid", "charge") * 4:
        evening.serial += 1
        evening.feed(Request(f"r{evening.serial}", cls, "wide", "copied", 2500.0, 1.0, 2, 0.0, 60.0))
        evening.run(250.0)


def one_server_fails(tell: Tell) -> None:
    """One of five answers errors, another nothing: they are avoided, and come back."""
    evening = Evening(tell, 14)
    evening.fleet(5)
    send = evening.send

    def by_server(action: StartAttempt) -> None:
        bad = {"s1": Outcome.ERROR, "s3": Outcome.TIMEOUT}
        evening.endings = (bad.get(action.address, Outcome.OK) if evening.now < turn else Outcome.OK,)
        send(action)

    evening.send = by_server  # type: ignore[method-assign]
    turn = evening.now + 4000.0
    evening.load(7000.0, 30.0)


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
)
EVENING_SETTINGS = replace(
    SETTINGS, cross_zone_price=0.02, allows_hedging=True, must_subscribe=True, max_requests=60
)
