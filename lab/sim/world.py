"""Simulates a site: gateways with real decision engines, servers, counter, discovery, clients and network.

One scheduler owns the time and the random numbers, and orders events of the same time at random, so that a
seed determines a run. The site records which commands ran, which endpoint lists each gateway got and which
requests were answered. It raises `BrokenRule` at the step at which a rule is broken, by these records alone.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

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
DRAIN_GRACE_MS = 250.0  # time after a drain is announced in which attempts may still be sent to the node
DEADLINE_MARGIN_MS = 10.0  # attempts end this long before the client's deadline
NET_MS = 1.0  # one-way network delay
SERVICE_MS = 25.0  # mean service time of a warm node
COUNTER_TIMEOUT_MS = 50.0

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
    counter_timeout_ms=COUNTER_TIMEOUT_MS,
)
DEADLINES_MS = {"read": 2000.0, "order": 3000.0, "bid": 3000.0, "charge": 3000.0}


class BrokenRule(AssertionError):  # noqa: N818
    """Raised when a rule is broken; `rule` is its name."""

    def __init__(self, rule: str, detail: str) -> None:
        super().__init__(f"{rule}: {detail}")
        self.rule = rule


@dataclass
class Node:
    """A server that runs a few commands concurrently and has a bounded queue."""

    name: str
    zone: str
    started_ms: float = 0.0
    state: EndpointState = EndpointState.ACTIVE
    alive: bool = True
    hung: bool = False
    errors: float = 0.0  # fraction of commands that fail after they ran
    resets: float = 0.0  # fraction of commands whose connection is reset after they ran
    slow: float = 1.0  # factor of the service time
    slots: int = 6  # commands that can run concurrently
    limit: int = 30  # running and queued commands at most
    busy: int = 0  # running commands
    queue: list[Callable[[], None]] = field(default_factory=list)
    # Arrival times of recent commands while the node is cold.
    arrivals: deque[float] = field(default_factory=deque)


@dataclass
class SimulatedRequest:
    """A request as the site records it."""

    request_id: str
    gateway: int
    incarnation: int
    cls: RequestClass
    plan: str
    deadline: float
    key: str
    answer_count: int = 0
    attempt_count: int = 0
    in_flight: set[int] = field(default_factory=set)  # numbers of the attempts in flight
    times_out_at: dict[int, float] = field(default_factory=dict)  # time of the timeout, by attempt
    sent_zone: str | None = None  # zone of the first attempt that may have run
    first_sent_ms: float | None = None  # when the bytes of that attempt were sent
    run_count: int = 0
    may_have_run: bool = False
    units: float = 1.0
    accepted_ms: float = 0.0
    work: float = 1.0  # relative cost, for sites that draw it


class AttemptContext(NamedTuple):
    """An attempt in flight, as `World.on_attempt_ended` gets it."""

    gateway: int
    incarnation: int
    request: SimulatedRequest
    attempt: int
    server: str
    began: float


class World:
    """One run of a site.

    `make` builds the decision engine of a gateway; `watch` is called with each event and its actions.
    """

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
        self.began = self.now  # start of the run
        self.order = itertools.count()
        self.event_queue: list[tuple[float, float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.nodes = {f"s{i}": Node(f"s{i}", "ab"[i % 2]) for i in range(nodes)}
        self.node_serial = itertools.count(nodes)
        self.counter_partitions = CounterPartitions(2)
        # By gateway: how far its clock is ahead of the simulation's, in ms.
        self.skew = [self.rng.uniform(0.0, 50.0) for _ in range(gateways)]
        self.incarnation = [0] * gateways
        self.alive = [True] * gateways
        self.engines: list[Any] = [None] * gateways
        # By gateway and drained server: time after which nothing may be sent to it.
        self.endpoint_stop_times: list[dict[str, float]] = [{} for _ in range(gateways)]
        self.unrouted_gateways: set[int] = set()  # gateways that get no requests
        # Events of paused gateways; True marks a gateway's own timers.
        self.deferred_events: dict[int, list[tuple[bool, Callable[..., None], tuple[Any, ...]]]] = {}
        self.open_requests: dict[str, SimulatedRequest] = {}
        self.zone_by_node: dict[str, str] = {}  # of all nodes, also removed ones
        self.serial = itertools.count(1)
        # Time, customer, plan and units of each first attempt.
        self.sent: list[tuple[float, str, str, float]] = []
        # When a command last ran, by the group of servers that share an idempotency key, and key.
        self.last_run_by_key: dict[tuple[str, str], float] = {}
        self.unreachable_attempts: list[tuple[float, str]] = []  # time and server
        self.steps = self.checks = self.restarts = 0
        for number in range(gateways):
            self.start_gateway(number)

    # --- scheduler -----------------------------------------------------------------------------------

    def schedule(self, delay_ms: float, call: Callable[..., None], *args: Any) -> None:
        """Schedules a call after a delay; calls of the same time run in random order."""
        row = (self.now + max(0.0, delay_ms), self.rng.random(), next(self.order), call, args)
        heapq.heappush(self.event_queue, row)

    def run(self, ms: float) -> None:
        """Runs the simulation for `ms`, and checks the records every 64 steps and at the end."""
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
        """Starts a gateway without state, with the current endpoint list as its cached one."""
        self.incarnation[number] += 1
        self.alive[number] = True
        self.endpoint_stop_times[number] = {}
        self.engines[number] = self.make(self.settings, self.rng.randrange(1 << 30))
        self.deliver_endpoints(
            number, self.incarnation[number], EndpointListKind.CACHED, list(self.nodes.values())
        )

    def kill_gateway(self, number: int, down_ms: float) -> None:
        """Kills a gateway, which loses its state, and restarts it after `down_ms`."""
        if not self.alive[number]:
            return
        self.alive[number] = False
        self.deferred_events.pop(number, None)
        self.restarts += 1
        lost = [key for key, request in self.open_requests.items() if request.gateway == number]
        for request_id in lost:
            del self.open_requests[request_id]  # the rules do not require an answer to them
        self.schedule(down_ms, self.start_gateway, number)

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
                self.endpoint_stop_times[number].setdefault(node.name, self.now + DRAIN_GRACE_MS)
        self.feed(number, incarnation, EndpointList(kind, tuple(entries)))

    def pause_gateway(self, number: int, ms: float) -> None:
        """Pauses a gateway's process for a time.

        Its events wait. On resumption its own timers run first, as in an event loop. The deadlines of its
        requests are extended by the pause, as the gateway counts them from when it reads a request.
        """
        if self.alive[number] and number not in self.deferred_events:
            self.deferred_events[number] = []
            self.schedule(ms, self.resume_gateway, number, ms)

    def resume_gateway(self, number: int, ms: float) -> None:
        """Resumes a paused process, unless it has been killed."""
        deferred = self.deferred_events.pop(number, [])
        for request in self.open_requests.values():
            if request.gateway == number:
                request.deadline += ms
        for _, call, args in sorted(deferred, key=lambda row: not row[0]):
            call(*args)

    def defer_if_paused(self, number: int, own: bool, call: Callable[..., None], *args: Any) -> bool:
        """Defers a call if the gateway is paused; returns whether it did. `own` marks its own timers."""
        if (deferred := self.deferred_events.get(number)) is None:
            return False
        deferred.append((own, call, args))
        return True

    def is_current(self, number: int, incarnation: int) -> bool:
        """Returns whether this incarnation of the gateway is still running."""
        return self.alive[number] and incarnation == self.incarnation[number]

    def feed(self, number: int, incarnation: int, event: Event) -> None:
        """Passes an event to a gateway's engine and performs the resulting actions."""
        own = isinstance(event, TimerFired)
        if not self.is_current(number, incarnation):
            return
        if self.defer_if_paused(number, own, self.feed, number, incarnation, event):
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
        result = self.counter_partitions.call(self.now, f"g{number}", str(call.key), call.amount, call.ttl_ms)
        if result is None or result[1] + 2 * NET_MS > COUNTER_TIMEOUT_MS:
            reply = CounterReply(call.key, 0.0, Outcome.TIMEOUT, COUNTER_TIMEOUT_MS)
            self.schedule(began + COUNTER_TIMEOUT_MS - self.now, self.feed, number, incarnation, reply)
        else:
            total, delay_ms = result
            reply = CounterReply(call.key, float(f"{total:.7g}"), Outcome.OK, delay_ms + 2 * NET_MS)
            self.schedule(delay_ms + NET_MS, self.feed, number, incarnation, reply)

    def record_answer(self, request: SimulatedRequest, kind: str) -> None:
        """Records the final answer to a request: "Served", "Reject" or "Fail"."""
        request.answer_count += 1
        if request.answer_count > 1:
            raise BrokenRule("one answer", f"{request.request_id} has {request.answer_count} answers")
        if self.now > request.deadline + 1.0:
            raise BrokenRule(
                "one answer", f"{request.request_id} was answered {self.now - request.deadline:.0f} ms late"
            )
        del self.open_requests[request.request_id]

    # --- attempts ----------------------------------------------------------------------------------------

    def send(self, number: int, incarnation: int, action: StartAttempt) -> None:
        """Starts an attempt after checking that the rules allow it."""
        request = self.open_requests.get(action.request_id)
        if request is None:
            raise BrokenRule("one answer", f"{action} for a finished request")
        attempt = request.attempt_count
        request.attempt_count += 1
        if request.in_flight:
            raise BrokenRule(
                "no overlap",
                f"attempt {attempt} of {request.request_id} overlaps {sorted(request.in_flight)}",
            )
        if attempt >= self.settings.max_attempts:
            raise BrokenRule("attempts", f"attempt {attempt} of {request.request_id} exceeds the limit")
        stop = self.endpoint_stop_times[number].get(action.address)
        if stop is not None and self.now > stop:
            raise BrokenRule(
                "drains", f"{request.request_id} was sent to {action.address} {self.now - stop:.0f} ms late"
            )
        if request.may_have_run and request.cls.idempotency is Idempotency.NON_IDEMPOTENT:
            raise BrokenRule(
                "nothing twice", f"non-idempotent {request.request_id} was sent again after it may have run"
            )
        node = self.nodes.get(action.address)
        if request.may_have_run and request.cls.idempotency is Idempotency.WITH_KEY:
            if (
                request.first_sent_ms is not None
                and self.now - request.first_sent_ms > request.cls.idempotency_window_ms
            ):
                raise BrokenRule(
                    "nothing twice", f"{request.request_id} was sent again after its key had expired"
                )
            if (
                request.cls.idempotency_scope is IdempotencyScope.ZONE
                and node is not None
                and node.zone != request.sent_zone
            ):
                raise BrokenRule("nothing twice", f"{request.request_id} was sent again in another zone")
        if attempt == 0:
            self.sent.append((self.now, f"c-{request.plan}", request.plan, request.units))
        request.in_flight.add(attempt)
        left = request.deadline - DEADLINE_MARGIN_MS - self.now
        timeout = min(action.timeout_ms or left, left)
        request.times_out_at[attempt] = self.now + max(0.0, timeout)
        context = AttemptContext(number, incarnation, request, attempt, action.address, self.now)
        self.dispatch(node, context, max(0.0, timeout), action)

    def dispatch(
        self, node: Node | None, context: AttemptContext, timeout: float, action: StartAttempt
    ) -> None:
        """Sends an attempt on a connection of its own."""
        if node is None or not node.alive:
            self.unreachable_attempts.append((self.now, action.address))
            self.schedule(NET_MS, self.on_attempt_ended, *context, Outcome.UNREACHABLE)
            return
        self.schedule(timeout, self.on_attempt_ended, *context, Outcome.TIMEOUT)
        self.schedule(NET_MS, self.arrive, node, context)

    def arrive(self, node: Node, context: AttemptContext) -> None:
        """Handles a command that arrives at a node."""
        request, attempt = context.request, context.attempt
        if not node.alive:
            self.schedule(NET_MS, self.on_attempt_ended, *context, Outcome.UNREACHABLE)
            return
        self.check_cold(node)
        if node.busy + len(node.queue) >= node.limit:
            # The command did not run, so retries may go to other zones.
            self.schedule(NET_MS, self.on_attempt_ended, *context, Outcome.REJECTED)
            return
        if attempt in request.in_flight and request.first_sent_ms is None:
            request.first_sent_ms, request.sent_zone = context.began, node.zone
        arrived_at = self.now
        node.queue.append(lambda: self.serve(node, context, arrived_at))
        self.start_queued(node)

    def check_cold(self, node: Node) -> None:
        """Raises BrokenRule if a cold node gets more than `overload_factor` times its capacity.

        Both are counted over the last `overload_window_ms`.
        """
        slow_start = self.settings.slow_start
        if node.started_ms <= 0 or self.warmth(node) >= 1.0:
            node.arrivals.clear()
            return
        node.arrivals.append(self.now)
        while node.arrivals[0] < self.now - slow_start.overload_window_ms:
            node.arrivals.popleft()
        age = self.now - node.started_ms
        mean_warmth = 0.5 * (self.warmth(node) + self.warmth(node, slow_start.overload_window_ms))
        capacity = node.slots / SERVICE_MS * mean_warmth * slow_start.overload_window_ms
        if (
            age >= slow_start.overload_window_ms
            and len(node.arrivals) > slow_start.overload_factor * capacity
        ):
            raise BrokenRule(
                "cold servers", f"{len(node.arrivals)} commands sent to {node.name}, {age:.0f} ms old"
            )

    def warmth(self, node: Node, before_ms: float = 0.0) -> float:
        """Returns the fraction of its capacity that a node has, or had `before_ms` ago."""
        slow_start = self.settings.slow_start
        age = max(0.0, self.now - before_ms - node.started_ms) / slow_start.warm_up_ms
        return min(1.0, slow_start.initial_fraction + (1.0 - slow_start.initial_fraction) * age)

    def start_queued(self, node: Node) -> None:
        """Starts queued commands in free slots."""
        while node.alive and node.queue and node.busy < node.slots:
            node.busy += 1
            node.queue.pop(0)()

    def serve(self, node: Node, context: AttemptContext, arrived_at: float) -> None:
        """Runs a command.

        Whether its idempotency key has expired depends on when it arrived: the rule is about when a retry is
        sent, however long it waits in the queue.
        """
        request = context.request
        if self.now > request.times_out_at.get(context.attempt, request.deadline):
            # The deadline in the command has passed, so the node does not run it.
            node.busy -= 1
            self.schedule(NET_MS, self.on_attempt_ended, *context, Outcome.REJECTED)
            return
        group = "all" if request.cls.idempotency_scope is IdempotencyScope.ALL else node.zone
        if request.cls.idempotency is not Idempotency.WITH_KEY:
            request.run_count += 1
        elif (
            arrived_at - self.last_run_by_key.get((group, request.key), -1e12)
            > request.cls.idempotency_window_ms
        ):
            self.last_run_by_key[group, request.key] = self.now
            request.run_count += 1
        if request.cls.idempotency is not Idempotency.IDEMPOTENT and request.run_count > 1:
            raise BrokenRule(
                "nothing twice",
                f"{request.request_id} of class {request.cls.name} ran {request.run_count} times",
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

    def finish_command(self, node: Node, context: AttemptContext, fault_draw: float) -> None:
        """Ends a command and schedules its outcome at the gateway; `fault_draw` is random in [0, 1)."""
        node.busy -= 1
        if node.alive and not node.hung:
            outcome = Outcome.OK
            if fault_draw < node.errors:
                outcome = Outcome.ERROR
            elif fault_draw < node.errors + node.resets:
                outcome = Outcome.RESET
            self.schedule(NET_MS, self.on_attempt_ended, *context, outcome)
        self.start_queued(node)

    def on_attempt_ended(
        self, number: int, incarnation: int, request: SimulatedRequest, attempt: int, server: str,
        began: float, outcome: Outcome,
    ) -> None:  # fmt: skip
        """Passes the end of an attempt to the gateway; later ends of the same attempt are ignored."""
        own = outcome is Outcome.TIMEOUT
        context = (number, incarnation, request, attempt, server, began, outcome)
        if self.defer_if_paused(number, own, self.on_attempt_ended, *context):
            return
        if attempt not in request.in_flight or not self.is_current(number, incarnation):
            return
        request.in_flight.discard(attempt)
        if outcome in MAY_HAVE_RUN:
            request.may_have_run = True
            if request.first_sent_ms is None:
                request.first_sent_ms, request.sent_zone = began, self.zone_by_node.get(server)
        is_served = outcome is Outcome.OK and request.request_id in self.open_requests
        if is_served:
            self.record_answer(request, "Served")
        is_answered = request.request_id not in self.open_requests
        node = self.nodes.get(server)
        has_reply = outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED)
        active_requests = float(node.busy + len(node.queue)) if node is not None and has_reply else None
        event = AttemptEnded(
            request.request_id, attempt, server, outcome, self.now - began, is_answered,
            active_requests=active_requests,
        )  # fmt: skip
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
        request_id = str(next(self.serial))
        deadline = self.now + DEADLINES_MS[cls] * self.rng.choice((0.1, 0.5, 1.0, 1.0))
        request = SimulatedRequest(
            request_id, number, self.incarnation[number], kind, plan, deadline, request_id, 0, 0, units=units
        )
        request.accepted_ms = self.now
        self.open_requests[request_id] = request
        self.on_request_accepted(request)
        left = deadline - self.now
        event = Request(request_id, cls, plan, customer, left, units, self.settings.gateway_count)
        self.feed(number, self.incarnation[number], event)
        if request_id in self.open_requests and self.rng.random() < 0.02:
            self.schedule(self.rng.uniform(1.0, 300.0), self.disconnect_client, request)

    def on_request_accepted(self, request: SimulatedRequest) -> None:
        """Called for each accepted request; subclasses keep further records."""

    def disconnect_client(self, request: SimulatedRequest) -> None:
        """Disconnects the client, which then expects no answer."""
        if (
            request.gateway not in self.deferred_events
            and self.open_requests.pop(request.request_id, None) is not None
        ):
            self.feed(request.gateway, request.incarnation, ClientDisconnected(request.request_id))

    def load(self, ms: float, rate: float, plans: tuple[str, ...] = ("small", "small", "open")) -> None:
        """Schedules a mixed load of customers, with `rate` requests per second for `ms`."""
        at = 0.0
        while (at := at + self.rng.expovariate(rate / 1000.0)) < ms:
            cls = self.rng.choice(("read", "read", "read", "order", "bid", "charge"))
            plan = self.rng.choice(plans)
            self.schedule(at, self.send_client_request, cls, plan, f"{plan}{self.rng.randrange(30)}")

    def flood(self, ms: float, rate: float, plan: str = "hard") -> None:
        """Schedules the load of one account at `rate` requests per second for `ms`."""
        at = 0.0
        while (at := at + self.rng.expovariate(rate / 1000.0)) < ms:
            self.schedule(at, self.send_client_request, "read", plan, f"c-{plan}")

    def start_fault(self, kind: str, node: Node, size: float, span_ms: float) -> None:
        """Starts a fault that only some kinds of site have; subclasses override this."""
        raise ValueError(f"unknown fault {kind!r} for this site")

    # --- checks ---------------------------------------------------------------------------------------

    def check(self) -> None:
        """Checks the rules that must hold at every step."""
        self.checks += 1
        for request in self.open_requests.values():
            is_running = (
                self.is_current(request.gateway, request.incarnation)
                and request.gateway not in self.deferred_events
            )
            if is_running and self.now > request.deadline + 300.0:
                late = self.now - request.deadline
                raise BrokenRule(
                    "one answer", f"{request.request_id} has no answer {late:.0f} ms after its deadline"
                )
        for number, engine in enumerate(self.engines):
            if not self.alive[number]:
                continue
            in_flight: Counter[str] = Counter()
            for attempt in engine.execution.attempts.values():
                if attempt.pending.tenant is not None:
                    in_flight[attempt.pending.tenant.tenant_id] += 1
            for key, tenant in engine.quota.tenants.by_id.items():
                if tenant.attempts_in_flight != in_flight[key]:
                    raise BrokenRule(
                        "attempts in flight",
                        f"{key}: {tenant.attempts_in_flight} counted, {in_flight[key]} in flight",
                    )
                if tenant.bucket_units > tenant.plan.burst_units + 1e-6 or tenant.local_units < -1e-6:
                    raise BrokenRule(
                        "token buckets",
                        f"{key}: bucket {tenant.bucket_units}, local share {tenant.local_units}",
                    )
        self.check_ceiling()

    def check_ceiling(self) -> None:
        """Checks the ceiling of plan "hard", whose only account `flood` loads, by its first attempts.

        Each restart of a gateway, which loses its state, adds to the units that may be over the ceiling.
        """
        plan = self.settings.plans[1]
        level, last = plan.ceiling_burst_units, None
        max_over = plan.ceiling_slack_units + plan.ceiling_rate_per_s * 0.15
        units_per_start = (plan.ceiling_burst_units - plan.burst_units) / 2.0 + plan.ceiling_slack_units
        max_over += self.restarts * units_per_start / self.settings.gateway_count
        for at, _, name, units in self.sent:
            if name == plan.name:
                filled = 0.0 if last is None else plan.ceiling_rate_per_s * (at - last) / 1000.0
                level, last = min(plan.ceiling_burst_units, level + filled) - units, at
                if level < -max_over:
                    raise BrokenRule(
                        "ceilings", f"{-level:.1f} units over the ceiling, {max_over:.1f} allowed"
                    )
