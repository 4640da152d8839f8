"""What the captures of this folder play: each function is one evening, by a clock and a seed of its own."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from heathglade import interface as api
from heathglade.windows import window_start

from ..rig import SETTINGS

Tell = Callable[[float, api.Event], list[api.Action]]
START = 1_700_000_000_000.0
MANY = (api.Ending.OK,) * 12 + (api.Ending.ERROR, api.Ending.FULL, api.Ending.TIMEOUT, api.Ending.RESET)
KINDS = (("read", "wide"), ("read", "rate"), ("order", "hard"), ("bid", "wide"), ("charge", "rate"),
         ("read", "open"), ("charge", "hard"))  # fmt: skip


@dataclass
class Evening:
    """A gateway's surroundings: timers, attempts, a counter, drawn from a seed."""

    tell: Tell
    seed: int
    counter: api.Ending = api.Ending.OK
    endings: tuple[api.Ending, ...] = (api.Ending.OK,)
    took_ms: float = 25.0
    others: float = 0.0  # units that other gateways add with each call
    now: float = START
    serial: int = 0
    queue: list[tuple[float, int, api.Event]] = field(default_factory=list)
    totals: dict[int, float] = field(default_factory=dict)
    attempts: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.order = itertools.count()

    def at(self, when: float, event: api.Event) -> None:
        heapq.heappush(self.queue, (when, next(self.order), event))

    def feed(self, event: api.Event) -> None:
        """One event, and what its actions bring about later."""
        for action in self.tell(self.now, event):
            if isinstance(action, api.SetTimer):
                self.at(max(self.now, action.at_ms), api.TimerFired(action.token))
            elif isinstance(action, api.Count):
                self.count(action)
            elif isinstance(action, api.Send):
                self.send(action)

    def count(self, call: api.Count) -> None:
        if self.counter is api.Ending.OK:
            self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount + self.others
        total = self.totals.get(call.name, 0.0) if self.counter is api.Ending.OK else 0.0
        took = 2.0 if self.counter is api.Ending.OK else 50.0
        self.at(self.now + took, api.CountReply(call.name, total, self.counter, took))

    def send(self, action: api.Send) -> None:
        number = self.attempts.get(action.request_id, -1) + 1
        self.attempts[action.request_id] = number
        ending = self.rng.choice(self.endings)
        took = self.took_ms * self.rng.uniform(0.5, 2.0)
        if ending is api.Ending.TIMEOUT:
            took = action.timeout_ms or 1200.0
        queue = round(self.rng.uniform(0.0, 6.0), 2)
        ok = ending is api.Ending.OK
        self.at(self.now + took, api.AttemptEnded(
            action.request_id, number, action.server, ending, took, ok, queue))  # fmt: skip

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
        self.feed(api.Request(f"r{self.serial}", cls, plan, customer, left, units, 2))

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

    def servers(self, kind: api.ListKind, *rows: tuple[str, str, float, api.ServerState]) -> None:
        entries = tuple(api.ServerEntry(n, zone, i % 2, 1.0, t, s) for i, (n, zone, t, s) in enumerate(rows))
        self.feed(api.ServerList(kind, entries))

    def fleet(self, count: int = 4) -> None:
        active = api.ServerState.ACTIVE
        self.servers(api.ListKind.SAVED, *[(f"s{i}", "ab"[i % 2], 0.0, active) for i in range(count)])


@dataclass
class Environment(Evening):
    """Further surroundings: counter calls that time out and are answered late, load reports, usage updates of
    members, placements, and all units in a window as the gateway's peers report them."""

    timeout_share: float = 0.0  # of the counter calls
    late_endings: tuple[api.Ending, ...] = (api.Ending.OK,)  # what became of a call that timed out
    late_after_ms: tuple[float, float] = (5.0, 400.0)  # beyond the timeout
    settled: dict[int, float] = field(default_factory=dict)  # by name: replies before have come by then
    placements: bool = False  # each attempt is followed by an AttemptPlaced
    active: bool = False  # load reports tell of active requests, too

    def count(self, call: api.Count) -> None:
        """Replies for one name come in the order of the calls, late ones included."""
        pending = self.settled.get(call.name, 0.0)
        if pending <= self.now + 2.0 and self.rng.random() >= self.timeout_share:
            super().count(call)
            return
        ending = self.rng.choice(self.late_endings)
        if ending is api.Ending.OK:
            self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount + self.others
        total = self.totals.get(call.name, 0.0) if ending is api.Ending.OK else 0.0
        self.at(self.now + 50.0, api.CountReply(call.name, 0.0, api.Ending.TIMEOUT, 50.0))
        late = max(pending, self.now + 50.0 + self.rng.uniform(*self.late_after_ms))
        self.settled[call.name] = late
        self.at(late, api.CountReply(call.name, total, ending, late - self.now, True))

    def send(self, action: api.Send) -> None:
        """An attempt, with its placement and the server's load report."""
        number = self.attempts.get(action.request_id, -1) + 1
        if self.placements:
            self.at(self.now, api.AttemptPlaced(action.request_id, number, "idle"))
        super().send(action)
        if self.active:
            row = next(row for row in reversed(self.queue_of(action.request_id)) if row[2].attempt == number)
            at = self.queue.index(row)
            self.queue[at] = (row[0], row[1], replace(row[2], active=float(self.rng.randrange(9))))

    def queue_of(self, request_id: str) -> list[tuple[float, int, api.AttemptEnded]]:
        """The attempts of a request that are out."""
        return [
            (when, order, event)
            for when, order, event in self.queue
            if isinstance(event, api.AttemptEnded) and event.request_id == request_id
        ]

    def request(self, cls: str, plan: str, customer: str, **more: Any) -> api.Request:
        """A request, not yet fed."""
        self.serial += 1
        given = {"time_left_ms": 3000.0, "spread": 2, **more}
        return api.Request(f"r{self.serial}", cls, plan, customer, **given)

    def ask_with_use(
        self, request: api.Request, units: float, before: float, share: float, settings: api.Settings
    ) -> None:
        """A usage update of members, and the request that it goes with."""
        plan = next(plan for plan in settings.plans if plan.name == request.plan)
        start = window_start(self.now, request.customer, plan)
        self.feed(api.Used(request, start, units, before, share))
        self.feed(request)

    def stand_still(self, ms: float) -> None:
        """This process does not run: what was due meanwhile comes at once afterwards."""
        self.now += ms


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
    evening.counter = api.Ending.TIMEOUT
    for plan in ("hard", "rate"):
        evening.flood(2000.0, 25.0, plan)
    evening.counter = api.Ending.OK
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
    evening = Evening(tell, 5, endings=(api.Ending.ERROR,))
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
    active, draining, gone = api.ServerState.ACTIVE, api.ServerState.DRAINING, api.ServerState.GONE
    for turn in range(6):
        evening.load(700.0, 20.0)
        name = f"s{turn % 4}"
        for state in (draining, gone):
            evening.servers(api.ListKind.CHANGES, (name, "a", 0.0, state))
            evening.load(300.0, 20.0)
        evening.servers(api.ListKind.CHANGES, (f"t{turn}", "b", evening.now, active))
    evening.servers(api.ListKind.FULL)
    evening.load(1500.0, 40.0)
    evening.fleet()
    evening.load(1000.0, 40.0)


def a_cold_server(tell: Tell) -> None:
    """All servers start at once, and one again under load."""
    evening = Evening(tell, 7, took_ms=60.0)
    active = api.ServerState.ACTIVE
    evening.servers(api.ListKind.SAVED, *[(f"s{i}", "a", evening.now, active) for i in range(3)])
    evening.load(5000.0, 20.0)
    evening.servers(api.ListKind.CHANGES, ("s1", "a", evening.now, active))
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
            evening.feed(api.RequestGone(f"r{evening.serial}"))
        if turn % 7 == 0:
            evening.feed(api.AnswerBegan(f"r{evening.serial}", 0))
        evening.run(30.0)


def operators_routes(tell: Tell) -> None:
    """Bounds on time-outs and pauses between attempts."""
    evening = Evening(tell, 10, endings=(api.Ending.FULL,))
    evening.fleet()
    for bound in (0.0, 40.0, 300.0):
        for wait in (0.0, 30.0, 400.0, float("inf")):
            evening.serial += 1
            ref = f"r{evening.serial}"
            evening.feed(api.Request(ref, "read", "wide", "routed", 2500.0, 1.0, 2, bound, 100.0))
            for number in range(3):
                ended = api.AttemptEnded(ref, number, "s0", api.Ending.FULL, 5.0, False, next_after_ms=wait)
                evening.feed(ended)
                evening.run(450.0)
            evening.queue = [row for row in evening.queue if not isinstance(row[2], api.AttemptEnded)]
            heapq.heapify(evening.queue)


def counter_crowded(tell: Tell) -> None:
    """Calls turned away, late, and answered in time again; then no word for long, on plans of all kinds."""
    evening = Evening(tell, 11, others=0.3)
    evening.fleet()
    for ending in (api.Ending.OK, api.Ending.FULL, api.Ending.OK, api.Ending.TIMEOUT, api.Ending.UNREACHABLE):
        evening.counter = ending
        evening.load(1800.0, 18.0, 3)
        evening.flood(700.0, 35.0, "open")
        evening.flood(700.0, 35.0, "hard")
    for _ in range(24):  # some get through, so that it is not mute, but most customers' words grow old
        for ending in (api.Ending.FULL, api.Ending.OK):
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
        evening.feed(api.Request(f"r{evening.serial}", cls, "wide", "copied", 2500.0, 1.0, 2, 0.0, 60.0))
        evening.run(250.0)


def one_server_fails(tell: Tell) -> None:
    """One of five answers errors, another nothing: they are avoided, and come back."""
    evening = Evening(tell, 14)
    evening.fleet(5)
    send = evening.send

    def by_server(action: api.Send) -> None:
        bad = {"s1": api.Ending.ERROR, "s3": api.Ending.TIMEOUT}
        evening.endings = (bad.get(action.server, api.Ending.OK) if evening.now < turn else api.Ending.OK,)
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
EVENING_SETTINGS = replace(SETTINGS, cross_zone_price=0.02, overlap=True, subscribe=True, max_requests=60)
