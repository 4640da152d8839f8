"""Simulates a site: gateways with real decision engines, nodes, counter, discovery, clients and network.

One scheduler owns the time and the random numbers, and orders events of the same time at random, so that a
seed determines a run. The site records what ran, which endpoint lists each gateway got and which requests
were answered. It raises `BrokenRule` at the step at which a rule is broken, from these records alone.
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
from lab.counter import CounterPartitions

MAY_HAVE_RUN = (Outcome.OK, Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED)
GRACE_MS = 250.0
MARGIN_MS = 10.0  # attempts end this long before the client's deadline
NET_MS = 1.0
SERVICE_MS = 25.0  # mean service time of a warm node
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
    """Raised when a rule is broken; `rule` is its name."""

    def __init__(self, rule: str, detail: str) -> None:
        super().__init__(f"{rule}: {detail}")
        self.rule = rule


@dataclass
class Node:
    """A node with a few slots and a bounded queue."""

    name: str
    zone: str
    started_ms: float = 0.0
    state: EndpointState = EndpointState.ACTIVE
    alive: bool = True
    hung: bool = False
    errors: float = 0.0  # fraction of commands that fail after they ran
    resets: float = 0.0  # fraction of commands whose connection is reset after they ran
    slow: float = 1.0  # factor of the service time
    slots: int = 6
    limit: int = 30
    busy: int = 0
    queue: list[Callable[[], None]] = field(default_factory=list)
    arrivals: deque[float] = field(
        default_factory=deque
    )  # arrival times of recent commands while the node is cold


@dataclass
class SimulatedRequest:
    """A request as the site records it."""

    ref: str
    number: int  # number of the gateway
    incarnation: int
    cls: RequestClass
    plan: str
    deadline: float
    key: str
    answers: int = 0
    attempts: int = 0
    in_flight: set[int] = field(default_factory=set)
    wait_until: dict[int, float] = field(default_factory=dict)  # end of the gateway's wait, by attempt
    sent_zone: str | None = None  # zone of the first attempt that may have run
    first_sent_ms: float | None = None  # when the bytes of that attempt were sent
    ran: int = 0
    may_have_run: bool = False
    units: float = 1.0
    accepted_ms: float = 0.0
    work: float = 1.0  # relative cost, for sites that draw it


class World:
    """One run. `make` builds a decision engine; `watch` is called with each event and its actions."""

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
        self.event_queue: list[tuple[float, float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.nodes = {f"s{i}": Node(f"s{i}", "ab"[i % 2]) for i in range(nodes)}
        self.node_serial = itertools.count(nodes)
        self.counter_partitions = CounterPartitions(2)
        self.skew = [self.rng.uniform(0.0, 50.0) for _ in range(gateways)]
        self.incarnation = [0] * gateways
        self.alive = [True] * gateways
        self.engines: list[Any] = [None] * gateways
        self.endpoint_stop_times: list[dict[str, float]] = [
            {} for _ in range(gateways)
        ]  # by server: when sending stops
        self.unrouted_gateways: set[int] = set()  # gateways that get no requests
        self.deferred_events: dict[int, list[tuple[bool, Callable[..., None], tuple[Any, ...]]]] = {}
        self.open_requests: dict[str, SimulatedRequest] = {}
        self.zone_by_node: dict[str, str] = {}  # of all nodes, also removed ones
        self.serial = itertools.count(1)
        self.sent: list[
            tuple[float, str, str, float]
        ] = []  # time, customer, plan and units of each first attempt
        self.last_run_by_key: dict[tuple[str, str], float] = {}  # by group and key
        self.unreachable_attempts: list[tuple[float, str]] = []  # time and server of each
        self.steps = self.checks = self.restarts = 0
        for number in range(gateways):
            self.start_gateway(number)

    # --- scheduler -----------------------------------------------------------------------------------

    def schedule(self, delay_ms: float, call: Callable[..., None], *args: Any) -> None:
        """Schedules a call; calls of the same time are run in random order."""
        row = (self.now + max(0.0, delay_ms), self.rng.random(), next(self.order), call, args)
        heapq.heappush(self.event_queue, row)

    def run(self, ms: float) -> None:
        """Runs the simulation for a time, and checks the records at regular steps and at the end."""
        end = self.now + ms
        while self.event_queue and self.event_queue[0][0] <= end:
            when, _, _, call, args = heapq.heappop(self.event_queue)
            self.now = max(self.now, when)
            call(*args)
            self.steps += 1
            if self.steps % 64 == 0:
                self.check()
        self.now = end
        self.check()

    # --- gateways ----------------------------------------------------------------------------------------

    def start_gateway(self, number: int) -> None:
        """Starts a gateway without state, with the current endpoint list."""
        self.incarnation[number] += 1
        self.alive[number] = True
        self.endpoint_stop_times[number] = {}
        self.engines[number] = self.make(self.settings, self.rng.randrange(1 << 30))
        self.deliver_endpoints(
            number, self.incarnation[number], EndpointListKind.CACHED, list(self.nodes.values())
        )

    def kill_gateway(self, number: int, back_ms: float) -> None:
        """Kills a gateway, which loses its state, and restarts it after `back_ms`."""
        if not self.alive[number]:
            return
        self.alive[number] = False
        self.deferred_events.pop(number, None)
        self.restarts += 1
        for ref in [r for r, request in self.open_requests.items() if request.number == number]:
            del self.open_requests[ref]  # no answer is checked: the clients retry on their own
        self.schedule(back_ms, self.start_gateway, number)

    def deliver_endpoints(
        self, number: int, incarnation: int, kind: EndpointListKind, nodes: list[Node]
    ) -> None:
        """Delivers an endpoint list from discovery to a gateway."""
        if not self.is_current(number, incarnation):
            return
        entries = []
        for node in nodes:
            self.zone_by_node[node.name] = node.zone
            entries.append(Endpoint(node.name, node.zone, 0, 1.0, node.started_ms, node.state))
            if node.state is EndpointState.ACTIVE:
                self.endpoint_stop_times[number].pop(node.name, None)
            else:
                self.endpoint_stop_times[number].setdefault(node.name, self.now + GRACE_MS)
        self.feed(number, incarnation, EndpointList(kind, tuple(entries)))

    def pause_gateway(self, number: int, ms: float) -> None:
        """Stops a gateway's process for a time.

        Its events wait. On resumption its own timers are first, as in an event loop, and the deadlines of its
        requests count from when it reads them.
        """
        if self.alive[number] and number not in self.deferred_events:
            self.deferred_events[number] = []
            self.schedule(ms, self.resume_gateway, number, ms)

    def resume_gateway(self, number: int, ms: float) -> None:
        """Resumes a stopped process, unless it has died."""
        waited = self.deferred_events.pop(number, [])
        for request in self.open_requests.values():
            if request.number == number:
                request.deadline += ms
        for _, call, args in sorted(waited, key=lambda row: not row[0]):
            call(*args)

    def defer_if_stopped(self, number: int, own: bool, call: Callable[..., None], *args: Any) -> bool:
        """Defers a call if the process is stopped; returns whether it did. `own` marks its timers."""
        if (waiting := self.deferred_events.get(number)) is None:
            return False
        waiting.append((own, call, args))
        return True

    def is_current(self, number: int, incarnation: int) -> bool:
        """Returns whether this incarnation of the gateway is still running."""
        return self.alive[number] and incarnation == self.incarnation[number]

    def feed(self, number: int, incarnation: int, event: Event) -> None:
        """Passes an event to a gateway's engine and performs the resulting actions."""
        own = isinstance(event, TimerFired)
        if not self.is_current(number, incarnation):
            return
        if self.defer_if_stopped(number, own, self.feed, number, incarnation, event):
            return
        now = self.now + self.skew[number]
        actions = self.engines[number].handle(now, event)
        if self.watch is not None:
            self.watch(number, now, event, actions)
        for action in actions:
            self.perform(number, incarnation, action)

    def perform(self, number: int, incarnation: int, action: Action) -> None:
        """Performs an action of the engine."""
        if isinstance(action, StartAttempt):
            self.send(number, incarnation, action)
        elif isinstance(action, Reject | Fail):
            request = self.open_requests.get(action.request_id)
            if request is None:
                raise BrokenRule("one answer", f"{action} for a finished request")
            if isinstance(action, Reject) and (request.may_have_run or request.in_flight):
                raise BrokenRule("nothing twice", f"{action} after an attempt that may have run")
            self.record_answer(request, type(action).__name__)
        elif isinstance(action, SetTimer):
            delay = action.at_ms - self.skew[number] - self.now
            self.schedule(delay, self.feed, number, incarnation, TimerFired(action.token))
        elif isinstance(action, IncrementCounter):
            self.schedule(NET_MS, self.call_counter, number, incarnation, action, self.now)

    def call_counter(self, number: int, incarnation: int, call: IncrementCounter, began: float) -> None:
        """Applies a call at the counter and schedules its reply."""
        told = self.counter_partitions.call(self.now, f"g{number}", str(call.key), call.amount, call.ttl_ms)
        if told is None or told[1] + 2 * NET_MS > COUNT_TIMEOUT_MS:
            reply = CounterReply(call.key, 0.0, Outcome.TIMEOUT, COUNT_TIMEOUT_MS)
            self.schedule(began + COUNT_TIMEOUT_MS - self.now, self.feed, number, incarnation, reply)
        else:
            took = told[1] + 2 * NET_MS
            reply = CounterReply(call.key, float(f"{told[0]:.7g}"), Outcome.OK, took)
            self.schedule(told[1] + NET_MS, self.feed, number, incarnation, reply)

    def record_answer(self, request: SimulatedRequest, how: str) -> None:
        """Records the final answer of a request; `how` is the kind of the answer."""
        request.answers += 1
        if request.answers > 1:
            raise BrokenRule("one answer", f"{request.ref} has {request.answers} answers")
        if self.now > request.deadline + 1.0:
            raise BrokenRule("one answer", f"{request.ref}: {self.now - request.deadline:.0f} ms late")
        del self.open_requests[request.ref]

    # --- attempts ----------------------------------------------------------------------------------------

    def send(self, number: int, incarnation: int, action: StartAttempt) -> None:
        """Starts an attempt after checking that the rules allow it."""
        request = self.open_requests.get(action.request_id)
        if request is None:
            raise BrokenRule("one answer", f"{action} for a finished request")
        attempt = request.attempts
        request.attempts += 1
        if request.in_flight:
            raise BrokenRule(
                "no overlap", f"attempt {attempt} of {request.ref} beside {sorted(request.in_flight)}"
            )
        if attempt >= self.settings.max_attempts:
            raise BrokenRule("attempts", f"attempt {attempt} of {request.ref}")
        stop = self.endpoint_stop_times[number].get(action.address)
        if stop is not None and self.now > stop:
            raise BrokenRule("drains", f"{request.ref} to {action.address}, {self.now - stop:.0f} ms late")
        if request.may_have_run and request.cls.idempotency is Idempotency.NON_IDEMPOTENT:
            raise BrokenRule(
                "nothing twice", f"non-idempotent {request.ref} was sent again after it may have run"
            )
        node = self.nodes.get(action.address)
        if request.may_have_run and request.cls.idempotency is Idempotency.WITH_KEY:
            if (
                request.first_sent_ms is not None
                and self.now - request.first_sent_ms > request.cls.idempotency_window_ms
            ):
                raise BrokenRule("nothing twice", f"{request.ref} was sent again after its key had expired")
            if (
                request.cls.idempotency_scope is IdempotencyScope.ZONE
                and node is not None
                and node.zone != request.sent_zone
            ):
                raise BrokenRule("nothing twice", f"{request.ref} was sent again in another zone")
        if attempt == 0:
            self.sent.append((self.now, f"c-{request.plan}", request.plan, request.units))
        request.in_flight.add(attempt)
        left = request.deadline - MARGIN_MS - self.now
        timeout = min(action.timeout_ms or left, left)
        request.wait_until[attempt] = self.now + max(0.0, timeout)
        context = (number, incarnation, request, attempt, action.address, self.now)
        self.dispatch(node, context, max(0.0, timeout), action)

    def dispatch(
        self, node: Node | None, context: tuple[Any, ...], timeout: float, action: StartAttempt
    ) -> None:
        """Sends an attempt on a connection of its own."""
        if node is None or not node.alive:
            self.unreachable_attempts.append((self.now, action.address))
            self.schedule(NET_MS, self.on_attempt_ended, *context, Outcome.UNREACHABLE)
            return
        self.schedule(timeout, self.on_attempt_ended, *context, Outcome.TIMEOUT)
        self.schedule(NET_MS, self.arrive, node, context)

    def arrive(self, node: Node, context: tuple[Any, ...]) -> None:
        """Handles a command that arrives at a node."""
        request, attempt = context[2], context[3]
        if not node.alive:
            self.schedule(NET_MS, self.on_attempt_ended, *context, Outcome.UNREACHABLE)
            return
        self.check_cold(node)
        if node.busy + len(node.queue) >= node.limit:
            self.schedule(
                NET_MS, self.on_attempt_ended, *context, Outcome.REJECTED
            )  # it did not run, so retries are not bound to its zone
            return
        if attempt in request.in_flight and request.first_sent_ms is None:
            request.first_sent_ms, request.sent_zone = context[5], node.zone
        came = self.now
        node.queue.append(lambda: self.serve(node, context, came))
        self.start_queued(node)

    def check_cold(self, node: Node) -> None:
        """Raises BrokenRule if a cold node gets more than `overload_factor` times its capacity over
        `overload_window_ms`."""
        safety = self.settings.slow_start
        if node.started_ms <= 0 or self.warmth(node) >= 1.0:
            node.arrivals.clear()
            return
        node.arrivals.append(self.now)
        while node.arrivals[0] < self.now - safety.overload_window_ms:
            node.arrivals.popleft()
        age = self.now - node.started_ms
        mean = 0.5 * (self.warmth(node) + self.warmth(node, safety.overload_window_ms))
        able = node.slots / SERVICE_MS * mean * safety.overload_window_ms
        if age >= safety.overload_window_ms and len(node.arrivals) > safety.overload_factor * able:
            raise BrokenRule(
                "cold servers", f"{len(node.arrivals)} commands sent to {node.name}, {age:.0f} ms old"
            )

    def warmth(self, node: Node, before_ms: float = 0.0) -> float:
        """Returns the fraction of its capacity that a node has, or had `before_ms` ago."""
        safety = self.settings.slow_start
        age = max(0.0, self.now - before_ms - node.started_ms) / safety.warm_up_ms
        return min(1.0, safety.initial_fraction + (1.0 - safety.initial_fraction) * age)

    def start_queued(self, node: Node) -> None:
        """Starts queued commands in free slots."""
        while node.alive and node.queue and node.busy < node.slots:
            node.busy += 1
            node.queue.pop(0)()

    def serve(self, node: Node, context: tuple[Any, ...], came: float) -> None:
        """Runs a command.

        Whether its idempotency key has expired depends on `came`, when it arrived: the rule is about when a
        retry is sent, however long it waits in the queue.
        """
        request = context[2]
        if self.now > request.wait_until.get(
            context[3], request.deadline
        ):  # its deadline `d` has passed: it is not run
            node.busy -= 1
            self.schedule(NET_MS, self.on_attempt_ended, *context, Outcome.REJECTED)
            return
        group = "all" if request.cls.idempotency_scope is IdempotencyScope.ALL else node.zone
        if request.cls.idempotency is not Idempotency.WITH_KEY:
            request.ran += 1
        elif came - self.last_run_by_key.get((group, request.key), -1e12) > request.cls.idempotency_window_ms:
            self.last_run_by_key[group, request.key] = self.now
            request.ran += 1
        if request.cls.idempotency is not Idempotency.IDEMPOTENT and request.ran > 1:
            raise BrokenRule(
                "nothing twice", f"{request.ref} of class {request.cls.name} ran {request.ran} times"
            )
        self.schedule(
            self.draw_service_ms(request) * node.slow / self.warmth(node),
            self.finish_command,
            node,
            context,
            self.rng.random(),
        )

    def draw_service_ms(self, request: SimulatedRequest) -> float:
        """Draws the time that a command takes in a slot of a warm node, in ms."""
        return self.rng.expovariate(1.0 / SERVICE_MS)

    def finish_command(self, node: Node, context: tuple[Any, ...], luck: float) -> None:
        """Ends a command and schedules its outcome at the gateway."""
        node.busy -= 1
        if node.alive and not node.hung:
            ending = Outcome.OK
            if luck < node.errors:
                ending = Outcome.ERROR
            elif luck < node.errors + node.resets:
                ending = Outcome.RESET
            self.schedule(NET_MS, self.on_attempt_ended, *context, ending)
        self.start_queued(node)

    def on_attempt_ended(
        self, number: int, incarnation: int, request: SimulatedRequest, attempt: int, server: str,
        began: float, ending: Outcome,
    ) -> None:  # fmt: skip
        """Passes the end of an attempt to the gateway; later ends of the same attempt are ignored."""
        own = ending is Outcome.TIMEOUT
        context = (number, incarnation, request, attempt, server, began, ending)
        if self.defer_if_stopped(number, own, self.on_attempt_ended, *context):
            return
        if attempt not in request.in_flight or not self.is_current(number, incarnation):
            return
        request.in_flight.discard(attempt)
        if ending in MAY_HAVE_RUN:
            request.may_have_run = True
            if request.first_sent_ms is None:
                request.first_sent_ms, request.sent_zone = began, self.zone_by_node.get(server)
        final = ending is Outcome.OK and request.ref in self.open_requests
        if final:
            self.record_answer(request, "Served")
        done = request.ref not in self.open_requests
        node = self.nodes.get(server)
        told = node is not None and ending in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED)
        held = float(node.busy + len(node.queue)) if node is not None and told else None
        event = AttemptEnded(
            request.ref, attempt, server, ending, self.now - began, done, active_requests=held
        )
        self.feed(number, incarnation, event)

    # --- clients -----------------------------------------------------------------------------------------

    def send_client_request(
        self, cls: str, plan: str, customer: str, units: float = 1.0, gateway: int | None = None
    ) -> None:
        """Sends a client's request to a gateway, by default to a random running one that gets requests."""
        available = [
            number
            for number, alive in enumerate(self.alive)
            if alive and number not in self.unrouted_gateways
        ]
        if not (available if gateway is None else gateway in available):
            return
        number = self.rng.choice(available) if gateway is None else gateway
        kind = next(c for c in self.settings.classes if c.name == cls)
        ref = str(next(self.serial))
        deadline = self.now + DEADLINES[cls] * self.rng.choice((0.1, 0.5, 1.0, 1.0))
        request = SimulatedRequest(
            ref, number, self.incarnation[number], kind, plan, deadline, ref, 0, 0, units=units
        )
        request.accepted_ms = self.now
        self.open_requests[ref] = request
        self.on_request_accepted(request)
        left = deadline - self.now
        event = Request(ref, cls, plan, customer, left, units, self.settings.gateway_count)
        self.feed(number, self.incarnation[number], event)
        if ref in self.open_requests and self.rng.random() < 0.02:
            self.schedule(self.rng.uniform(1.0, 300.0), self.disconnect_client, request)

    def on_request_accepted(self, request: SimulatedRequest) -> None:
        """Called for each accepted request; subclasses keep further records."""

    def disconnect_client(self, request: SimulatedRequest) -> None:
        """Disconnects the client, so that no answer is expected."""
        if (
            request.number not in self.deferred_events
            and self.open_requests.pop(request.ref, None) is not None
        ):
            self.feed(request.number, request.incarnation, ClientDisconnected(request.ref))

    def load(self, ms: float, rate: float, plans: tuple[str, ...] = ("small", "small", "open")) -> None:
        """Schedules a mixed load of customers, with `rate` requests per second for `ms`."""
        at = 0.0
        while (at := at + self.rng.expovariate(rate / 1000.0)) < ms:
            cls = self.rng.choice(("read", "read", "read", "order", "bid", "charge"))
            plan = self.rng.choice(plans)
            self.schedule(at, self.send_client_request, cls, plan, f"{plan}{self.rng.randrange(30)}")

    def flood(self, ms: float, rate: float, plan: str = "hard") -> None:
        """Schedules the load of one account, far above its quota."""
        at = 0.0
        while (at := at + self.rng.expovariate(rate / 1000.0)) < ms:
            self.schedule(at, self.send_client_request, "read", plan, f"c-{plan}")

    def start_fault(self, kind: str, node: Node, size: float, span_ms: float) -> None:
        """Starts a fault of a specific kind of site; subclasses handle theirs."""
        raise ValueError(f"unknown fault {kind!r} for this site")

    # --- checks ---------------------------------------------------------------------------------------

    def check(self) -> None:
        """Checks the rules that hold at every step."""
        self.checks += 1
        for request in self.open_requests.values():
            runs = (
                self.is_current(request.number, request.incarnation)
                and request.number not in self.deferred_events
            )
            if runs and self.now > request.deadline + 300.0:
                late = self.now - request.deadline
                raise BrokenRule("one answer", f"{request.ref} has no answer, {late:.0f} ms late")
        for number, module in enumerate(self.engines):
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
                        "open counts",
                        f"{key}: {tenant.attempts_in_flight} counted, {out.get(key, 0)} in flight",
                    )
                if tenant.bucket_units > tenant.plan.burst_units + 1e-6 or tenant.local_units < -1e-6:
                    raise BrokenRule(
                        "stores", f"{key}: bucket {tenant.bucket_units}, local share {tenant.local_units}"
                    )
        self.check_ceiling()

    def check_ceiling(self) -> None:
        """Checks the ceiling of the flooded account against the first attempts of its requests."""
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
                    raise BrokenRule("ceilings", f"{-level:.1f} units over the ceiling, {most:.1f} allowed")
