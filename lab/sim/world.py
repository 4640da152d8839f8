"""The simulated site: gateways with real module instances, nodes, counter, discovery, clients and network.

One scheduler owns time and every draw, and orders what is due at the same moment by a draw too, so that a
seed is a run. The site keeps its own books (what ran, who was told what, who was answered); `BrokenRule` is
raised at the step at which a rule breaks, by those books alone.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from glenchute.policy.actions import Action, Fail, IncrementCounter, Reject, SetTimer, StartAttempt
from glenchute.policy.engine import DecisionEngine
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
    TimerFired,
)
from glenchute.policy.settings import Idempotency, IdempotencyScope, Plan, RequestClass, Settings, SlowStart
from lab.counter import Parts

MAY_HAVE_RUN = (Outcome.OK, Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED)
GRACE_MS = 250.0
MARGIN_MS = 10.0  # attempts end this long before the client's time does
NET_MS = 1.0
SERVICE_MS = 25.0  # the mean, by a warm node
COUNT_TIMEOUT_MS = 50.0

SETTINGS = Settings(
    zone="a",
    gateway_count=3,
    classes=(
        RequestClass("read", 800.0, 1.0, Idempotency.IDEMPOTENT),
        RequestClass("order", 1200.0, 2.0, Idempotency.WITH_KEY, IdempotencyScope.ALL, 2500.0),
        RequestClass("bid", 1200.0, 2.0, Idempotency.WITH_KEY, IdempotencyScope.ZONE, 600.0),
        RequestClass("charge", 1500.0, 2.0, Idempotency.NON_IDEMPOTENT),
    ),
    plans=(
        Plan("small", rate_per_s=4.0, burst_units=10.0),
        Plan(
            "hard",
            rate_per_s=15.0,
            burst_units=30.0,
            ceiling_rate_per_s=20.0,
            ceiling_burst_units=50.0,
            ceiling_slack_units=5.0,
        ),
        Plan("open", max_concurrent=4),
        Plan("wide", rate_per_s=1e4, burst_units=1e4),
    ),
    slow_start=SlowStart(
        initial_fraction=0.25, warm_up_ms=8000.0, overload_factor=2.0, overload_window_ms=1500.0
    ),
    max_attempts=4,
    max_retry_after_ms=1000.0,
    has_counter=True,
    counter_timeout_ms=COUNT_TIMEOUT_MS,
)
DEADLINES = {"read": 2000.0, "order": 3000.0, "bid": 3000.0, "charge": 3000.0}


class BrokenRule(AssertionError):  # noqa: N818
    """A rule was broken; `rule` names it."""

    def __init__(self, rule: str, detail: str) -> None:
        super().__init__(f"{rule}: {detail}")
        self.rule = rule


@dataclass
class Node:
    """A check node of a few slots and a short queue."""

    name: str
    zone: str
    started_ms: float = 0.0
    state: EndpointState = EndpointState.ACTIVE
    alive: bool = True
    hung: bool = False
    errors: float = 0.0  # share of commands that fail after they ran
    resets: float = 0.0
    slow: float = 1.0
    slots: int = 6
    limit: int = 30
    busy: int = 0
    queue: list[Callable[[], None]] = field(default_factory=list)
    came: deque[float] = field(default_factory=deque)  # commands of the last moments, while cold


@dataclass
class Asked:
    """A request, in the site's books."""

    ref: str
    number: int  # of the gateway
    incarnation: int
    cls: RequestClass
    plan: str
    deadline: float
    key: str
    answers: int = 0
    attempts: int = 0
    out: set[int] = field(default_factory=set)
    until: dict[int, float] = field(default_factory=dict)  # by attempt: how long the gateway waits
    sent_zone: str | None = None  # where the first attempt went that may have run
    first_left: float | None = None  # when its bytes left
    ran: int = 0
    may_have_run: bool = False
    units: float = 1.0
    came: float = 0.0
    work: float = 1.0  # for sites that draw it


class World:
    """One run. `make` builds a module; `watch` sees each event and its actions."""

    def __init__(
        self,
        seed: int,
        gateways: int = 3,
        nodes: int = 5,
        make: Callable[[Settings, int], Any] = DecisionEngine,
        watch: Callable[[int, float, Event, list[Action]], None] | None = None,
        settings: Settings = SETTINGS,
    ) -> None:
        self.rng = random.Random(seed)
        self.make, self.watch = make, watch
        self.settings = replace(settings, gateway_count=gateways)
        self.now = 1_700_000_000_000.0
        self.began = self.now
        self.order = itertools.count()
        self.due: list[tuple[float, float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.nodes = {f"s{i}": Node(f"s{i}", "ab"[i % 2]) for i in range(nodes)}
        self.names = itertools.count(nodes)
        self.parts = Parts(2)
        self.skew = [self.rng.uniform(0.0, 50.0) for _ in range(gateways)]
        self.incarnation = [0] * gateways
        self.alive = [True] * gateways
        self.modules: list[Any] = [None] * gateways
        self.told: list[dict[str, float]] = [{} for _ in range(gateways)]  # server: from when nothing may go
        self.away: set[int] = set()  # gateways to which the front sends nothing
        self.stopped: dict[int, list[tuple[bool, Callable[..., None], tuple[Any, ...]]]] = {}
        self.asked: dict[str, Asked] = {}
        self.zones: dict[str, str] = {}  # of all nodes that there ever were
        self.serial = itertools.count(1)
        self.sent: list[tuple[float, str, str, float]] = []  # time, customer, plan, units
        self.keys: dict[tuple[str, str], float] = {}  # (group, key): when it last ran as new
        self.unreached: list[tuple[float, str]] = []  # when an attempt found no server, and which
        self.steps = self.checks = self.restarts = 0
        for number in range(gateways):
            self.start(number)

    # --- the scheduler -----------------------------------------------------------------------------------

    def at(self, delay_ms: float, call: Callable[..., None], *args: Any) -> None:
        """Later; what is due at one moment goes in a drawn order."""
        row = (self.now + max(0.0, delay_ms), self.rng.random(), next(self.order), call, args)
        heapq.heappush(self.due, row)

    def run(self, ms: float) -> None:
        """Lets time pass, with a check of the books now and then."""
        end = self.now + ms
        while self.due and self.due[0][0] <= end:
            when, _, _, call, args = heapq.heappop(self.due)
            self.now = max(self.now, when)
            call(*args)
            self.steps += 1
            if self.steps % 64 == 0:
                self.check()
        self.now = end
        self.check()

    # --- gateways ----------------------------------------------------------------------------------------

    def start(self, number: int) -> None:
        """A gateway starts from nothing, with the list of the moment."""
        self.incarnation[number] += 1
        self.alive[number] = True
        self.told[number] = {}
        self.modules[number] = self.make(self.settings, self.rng.randrange(1 << 30))
        self.tell(number, self.incarnation[number], EndpointListKind.CACHED, list(self.nodes.values()))

    def die(self, number: int, back_ms: float) -> None:
        """It dies with all that it held, and comes back."""
        if not self.alive[number]:
            return
        self.alive[number] = False
        self.stopped.pop(number, None)
        self.restarts += 1
        for ref in [r for r, asked in self.asked.items() if asked.number == number]:
            del self.asked[ref]  # its clients try again by themselves
        self.at(back_ms, self.start, number)

    def tell(self, number: int, incarnation: int, kind: EndpointListKind, nodes: list[Node]) -> None:
        """Discovery's word reaches a gateway."""
        if not self.lives(number, incarnation):
            return
        entries = []
        for node in nodes:
            self.zones[node.name] = node.zone
            entries.append(Endpoint(node.name, node.zone, 0, 1.0, node.started_ms, node.state))
            if node.state is EndpointState.ACTIVE:
                self.told[number].pop(node.name, None)
            else:
                self.told[number].setdefault(node.name, self.now + GRACE_MS)
        self.feed(number, incarnation, EndpointList(kind, tuple(entries)))

    def stop(self, number: int, ms: float) -> None:
        """A gateway's process stands still. What comes for it waits; its own timers are first when it goes
        on, as in an event loop, and clients' time counts from when it reads what they sent."""
        if self.alive[number] and number not in self.stopped:
            self.stopped[number] = []
            self.at(ms, self.go_on, number, ms)

    def go_on(self, number: int, ms: float) -> None:
        """It goes on, if it has not died."""
        waited = self.stopped.pop(number, [])
        for asked in self.asked.values():
            if asked.number == number:
                asked.deadline += ms
        for _, call, args in sorted(waited, key=lambda row: not row[0]):
            call(*args)

    def waits(self, number: int, own: bool, call: Callable[..., None], *args: Any) -> bool:
        """Whether this process stands still, so that the call has to wait; `own`: a timer of its own."""
        if (waiting := self.stopped.get(number)) is None:
            return False
        waiting.append((own, call, args))
        return True

    def lives(self, number: int, incarnation: int) -> bool:
        """Whether this life of the gateway goes on."""
        return self.alive[number] and incarnation == self.incarnation[number]

    def feed(self, number: int, incarnation: int, event: Event) -> None:
        """One event for a module, and its actions."""
        own = isinstance(event, TimerFired)
        if not self.lives(number, incarnation):
            return
        if self.waits(number, own, self.feed, number, incarnation, event):
            return
        now = self.now + self.skew[number]
        actions = self.modules[number].handle(now, event)
        if self.watch is not None:
            self.watch(number, now, event, actions)
        for action in actions:
            self.perform(number, incarnation, action)

    def perform(self, number: int, incarnation: int, action: Action) -> None:
        """Carries out an action, as the core does."""
        if isinstance(action, StartAttempt):
            self.send(number, incarnation, action)
        elif isinstance(action, Reject | Fail):
            asked = self.asked.get(action.request_id)
            if asked is None:
                raise BrokenRule("one answer", f"{action} for a request that is over")
            if isinstance(action, Reject) and (asked.may_have_run or asked.out):
                raise BrokenRule("nothing twice", f"{action} after a try that may have run")
            self.answered(asked, type(action).__name__)
        elif isinstance(action, SetTimer):
            delay = action.at_ms - self.skew[number] - self.now
            self.at(delay, self.feed, number, incarnation, TimerFired(action.token))
        elif isinstance(action, IncrementCounter):
            self.at(NET_MS, self.count, number, incarnation, action, self.now)

    def count(self, number: int, incarnation: int, call: IncrementCounter, began: float) -> None:
        """A call reaches the counter."""
        told = self.parts.call(self.now, f"g{number}", str(call.key), call.amount, call.ttl_ms)
        if told is None or told[1] + 2 * NET_MS > COUNT_TIMEOUT_MS:
            reply = CounterReply(call.key, 0.0, Outcome.TIMEOUT, COUNT_TIMEOUT_MS)
            self.at(began + COUNT_TIMEOUT_MS - self.now, self.feed, number, incarnation, reply)
        else:
            took = told[1] + 2 * NET_MS
            reply = CounterReply(call.key, float(f"{told[0]:.7g}"), Outcome.OK, took)
            self.at(told[1] + NET_MS, self.feed, number, incarnation, reply)

    def answered(self, asked: Asked, how: str) -> None:
        """The one final answer, by the name of what gave it."""
        asked.answers += 1
        if asked.answers > 1:
            raise BrokenRule("one answer", f"{asked.ref} has {asked.answers}")
        if self.now > asked.deadline + 1.0:
            raise BrokenRule("one answer", f"{asked.ref}: {self.now - asked.deadline:.0f} ms late")
        del self.asked[asked.ref]

    # --- attempts ----------------------------------------------------------------------------------------

    def send(self, number: int, incarnation: int, action: StartAttempt) -> None:
        """An attempt starts, and the books say whether it may."""
        asked = self.asked.get(action.request_id)
        if asked is None:
            raise BrokenRule("one answer", f"{action} for a request that is over")
        attempt = asked.attempts
        asked.attempts += 1
        if asked.out:
            raise BrokenRule("no overlap", f"attempt {attempt} of {asked.ref} beside {sorted(asked.out)}")
        if attempt >= self.settings.max_attempts:
            raise BrokenRule("attempts", f"attempt {attempt} of {asked.ref}")
        stop = self.told[number].get(action.address)
        if stop is not None and self.now > stop:
            raise BrokenRule("drains", f"{asked.ref} to {action.address}, {self.now - stop:.0f} ms late")
        if asked.may_have_run and asked.cls.idempotency is Idempotency.NON_IDEMPOTENT:
            raise BrokenRule("nothing twice", f"unsafe {asked.ref} went out again after it may have run")
        node = self.nodes.get(action.address)
        if asked.may_have_run and asked.cls.idempotency is Idempotency.WITH_KEY:
            if asked.first_left is not None and self.now - asked.first_left > asked.cls.idempotency_window_ms:
                raise BrokenRule("nothing twice", f"{asked.ref} went out again when its key was forgotten")
            if (
                asked.cls.idempotency_scope is IdempotencyScope.ZONE
                and node is not None
                and node.zone != asked.sent_zone
            ):
                raise BrokenRule("nothing twice", f"{asked.ref} went out again in another zone")
        if attempt == 0:
            self.sent.append((self.now, f"c-{asked.plan}", asked.plan, asked.units))
        asked.out.add(attempt)
        left = asked.deadline - MARGIN_MS - self.now
        timeout = min(action.timeout_ms or left, left)
        asked.until[attempt] = self.now + max(0.0, timeout)
        back = (number, incarnation, asked, attempt, action.address, self.now)
        self.dispatch(node, back, max(0.0, timeout), action)

    def dispatch(
        self, node: Node | None, back: tuple[Any, ...], timeout: float, action: StartAttempt
    ) -> None:
        """An attempt that may start goes out, on a connection of its own."""
        if node is None or not node.alive:
            self.unreached.append((self.now, action.address))
            self.at(NET_MS, self.ended, *back, Outcome.UNREACHABLE)
            return
        self.at(timeout, self.ended, *back, Outcome.TIMEOUT)
        self.at(NET_MS, self.arrive, node, back)

    def arrive(self, node: Node, back: tuple[Any, ...]) -> None:
        """A command comes to a node."""
        asked, attempt = back[2], back[3]
        if not node.alive:
            self.at(NET_MS, self.ended, *back, Outcome.UNREACHABLE)
            return
        self.check_cold(node)
        if node.busy + len(node.queue) >= node.limit:
            self.at(NET_MS, self.ended, *back, Outcome.REJECTED)  # did not run: its zone binds nothing
            return
        if attempt in asked.out and asked.first_left is None:
            asked.first_left, asked.sent_zone = back[5], node.zone
        came = self.now
        node.queue.append(lambda: self.serve(node, back, came))
        self.turn(node)

    def check_cold(self, node: Node) -> None:
        """A cold node that is sent more than `overload_factor` times what it can do for `overload_ms` falls
        over."""
        safety = self.settings.slow_start
        if node.started_ms <= 0 or self.warmth(node) >= 1.0:
            node.came.clear()
            return
        node.came.append(self.now)
        while node.came[0] < self.now - safety.overload_window_ms:
            node.came.popleft()
        age = self.now - node.started_ms
        mean = 0.5 * (self.warmth(node) + self.warmth(node, safety.overload_window_ms))
        able = node.slots / SERVICE_MS * mean * safety.overload_window_ms
        if age >= safety.overload_window_ms and len(node.came) > safety.overload_factor * able:
            raise BrokenRule("cold servers", f"{len(node.came)} commands to {node.name}, {age:.0f} ms old")

    def warmth(self, node: Node, before_ms: float = 0.0) -> float:
        """The share of its capacity that a node has, or had a while before."""
        safety = self.settings.slow_start
        age = max(0.0, self.now - before_ms - node.started_ms) / safety.warm_up_ms
        return min(1.0, safety.initial_fraction + (1.0 - safety.initial_fraction) * age)

    def turn(self, node: Node) -> None:
        """Free slots take what waits."""
        while node.alive and node.queue and node.busy < node.slots:
            node.busy += 1
            node.queue.pop(0)()

    def serve(self, node: Node, back: tuple[Any, ...], came: float) -> None:
        """A command runs. Whether its key is remembered was looked at when it came: the rule is about when a
        repeat is sent, however long it then waits here."""
        asked = back[2]
        if self.now > asked.until.get(back[3], asked.deadline):  # its `d` is over: nothing is begun then
            node.busy -= 1
            self.at(NET_MS, self.ended, *back, Outcome.REJECTED)
            return
        group = "all" if asked.cls.idempotency_scope is IdempotencyScope.ALL else node.zone
        if asked.cls.idempotency is not Idempotency.WITH_KEY:
            asked.ran += 1
        elif came - self.keys.get((group, asked.key), -1e12) > asked.cls.idempotency_window_ms:
            self.keys[group, asked.key] = self.now
            asked.ran += 1
        if asked.cls.idempotency is not Idempotency.IDEMPOTENT and asked.ran > 1:
            raise BrokenRule("nothing twice", f"{asked.ref} of class {asked.cls.name} ran {asked.ran} times")
        self.at(self.work(asked) * node.slow / self.warmth(node), self.served, node, back, self.rng.random())

    def work(self, asked: Asked) -> float:
        """What a command takes of a warm node's slot, in ms."""
        return self.rng.expovariate(1.0 / SERVICE_MS)

    def served(self, node: Node, back: tuple[Any, ...], luck: float) -> None:
        """It is done; what the gateway hears of it."""
        node.busy -= 1
        if node.alive and not node.hung:
            ending = Outcome.OK
            if luck < node.errors:
                ending = Outcome.ERROR
            elif luck < node.errors + node.resets:
                ending = Outcome.RESET
            self.at(NET_MS, self.ended, *back, ending)
        self.turn(node)

    def ended(
        self, number: int, incarnation: int, asked: Asked, attempt: int, server: str, began: float,
        ending: Outcome,
    ) -> None:  # fmt: skip
        """An attempt's one ending, at the gateway."""
        own = ending is Outcome.TIMEOUT
        back = (number, incarnation, asked, attempt, server, began, ending)
        if self.waits(number, own, self.ended, *back):
            return
        if attempt not in asked.out or not self.lives(number, incarnation):
            return
        asked.out.discard(attempt)
        if ending in MAY_HAVE_RUN:
            asked.may_have_run = True
            if asked.first_left is None:
                asked.first_left, asked.sent_zone = began, self.zones.get(server)
        final = ending is Outcome.OK and asked.ref in self.asked
        if final:
            self.answered(asked, "Served")
        done = asked.ref not in self.asked
        node = self.nodes.get(server)
        told = node is not None and ending in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED)
        held = float(node.busy + len(node.queue)) if node is not None and told else None
        event = AttemptEnded(asked.ref, attempt, server, ending, self.now - began, done, active_requests=held)
        self.feed(number, incarnation, event)

    # --- clients -----------------------------------------------------------------------------------------

    def ask(self, cls: str, plan: str, customer: str, units: float = 1.0, at: int | None = None) -> None:
        """A client's request, at this gateway, or at one that lives and is sent any."""
        living = [number for number, alive in enumerate(self.alive) if alive and number not in self.away]
        if not (living if at is None else self.alive[at] and at not in self.away):
            return
        number = self.rng.choice(living) if at is None else at
        kind = next(c for c in self.settings.classes if c.name == cls)
        ref = str(next(self.serial))
        deadline = self.now + DEADLINES[cls] * self.rng.choice((0.1, 0.5, 1.0, 1.0))
        asked = Asked(ref, number, self.incarnation[number], kind, plan, deadline, ref, 0, 0, units=units)
        asked.came = self.now
        self.asked[ref] = asked
        self.booked(asked)
        left = deadline - self.now
        event = Request(ref, cls, plan, customer, left, units, self.settings.gateway_count)
        self.feed(number, self.incarnation[number], event)
        if ref in self.asked and self.rng.random() < 0.02:
            self.at(self.rng.uniform(1.0, 300.0), self.leave, asked)

    def booked(self, asked: Asked) -> None:
        """A request has been taken; for sites that keep further books."""

    def leave(self, asked: Asked) -> None:
        """The client has gone; no answer is owed."""
        if asked.number not in self.stopped and self.asked.pop(asked.ref, None) is not None:
            self.feed(asked.number, asked.incarnation, ClientDisconnected(asked.ref))

    def load(self, ms: float, rate: float, plans: tuple[str, ...] = ("small", "small", "open")) -> None:
        """A mixed load of ordinary customers."""
        at = 0.0
        while (at := at + self.rng.expovariate(rate / 1000.0)) < ms:
            cls = self.rng.choice(("read", "read", "read", "order", "bid", "charge"))
            plan = self.rng.choice(plans)
            self.at(at, self.ask, cls, plan, f"{plan}{self.rng.randrange(30)}")

    def flood(self, ms: float, rate: float, plan: str = "hard") -> None:
        """One account asks far past its quota."""
        at = 0.0
        while (at := at + self.rng.expovariate(rate / 1000.0)) < ms:
            self.at(at, self.ask, "read", plan, f"c-{plan}")

    def strike(self, kind: str, node: Node, size: float, span_ms: float) -> None:
        """A fault that only some kind of site has; each knows its own."""
        raise ValueError(f"no fault {kind!r} on this site")

    # --- the books ---------------------------------------------------------------------------------------

    def check(self) -> None:
        """What must hold at every step."""
        self.checks += 1
        for asked in self.asked.values():
            runs = self.lives(asked.number, asked.incarnation) and asked.number not in self.stopped
            if runs and self.now > asked.deadline + 300.0:
                late = self.now - asked.deadline
                raise BrokenRule("one answer", f"{asked.ref} has none, {late:.0f} ms late")
        for number, module in enumerate(self.modules):
            if not self.alive[number]:
                continue
            out: dict[str, int] = {}
            for attempt in module.execution.attempts.values():
                if attempt.pending.tenant is not None:
                    key = attempt.pending.tenant.tenant_id
                    out[key] = out.get(key, 0) + 1
            for key, tenant in module.quota.tenants.by_id.items():
                if tenant.attempts_in_flight != out.get(key, 0):
                    raise BrokenRule(
                        "open counts", f"{key}: {tenant.attempts_in_flight} booked, {out.get(key, 0)} out"
                    )
                if tenant.bucket_units > tenant.plan.burst_units + 1e-6 or tenant.local_units < -1e-6:
                    raise BrokenRule(
                        "stores", f"{key}: store {tenant.bucket_units}, part {tenant.local_units}"
                    )
        self.check_ceiling()

    def check_ceiling(self) -> None:
        """The ceiling of the flooded account, by what was sent on first."""
        plan = self.settings.plans[1]
        level, last = plan.ceiling_burst_units, None
        most = plan.ceiling_slack_units + plan.ceiling_rate_per_s * 0.15
        fresh = (plan.ceiling_burst_units - plan.burst_units) / 2.0 + plan.ceiling_slack_units
        most += self.restarts * fresh / self.settings.gateway_count
        for at, _, name, units in self.sent:
            if name == plan.name:
                filled = 0.0 if last is None else plan.ceiling_rate_per_s * (at - last) / 1000.0
                level, last = min(plan.ceiling_burst_units, level + filled) - units, at
                if level < -most:
                    raise BrokenRule("ceilings", f"{-level:.1f} units past, {most:.1f} allowed")
