"""Measures the load that many gateways together send to a cold server, relative to what the settings allow.

A burst of requests arrives while new servers start and others restart cold. Each gateway learns of that at a
different time, some gateways are restarted meanwhile, and some get several times the traffic of the others.
The work of each command is drawn on arrival; `ColdStartWorld.windows_and_overloads` sums it by server, over
each window of the settings' length.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

from glenchute.policy.balancing.pool import ServerPool
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import Endpoint, EndpointList, EndpointListKind
from glenchute.policy.settings import Plan, Settings, SlowStart
from lab.sim.world import SERVICE_MS, SETTINGS, AttemptContext, Node, SimulatedRequest, World

MAX_DISCOVERY_DELAY_MS = 6000.0  # longest time until a gateway learns of a change
INFORMED_FRACTION = 2.0 / 3.0  # an overload breaks the rule if more of the work came from informed gateways
LENGTH_MS = 26_000.0
BURST_MS = (5000.0, 17_000.0)  # start and end of the burst of requests
PLAN = Plan("wide")  # without a quota, so that only the servers limit the load


@dataclass(frozen=True)
class Case:
    """A site and its load.

    `capacity_per_s` is the capacity of a warm server of mean speed, in requests of mean work per second.
    `spread` is the standard deviation of the speeds, relative to the mean. `load` is the demand relative to
    the capacity of all warm servers, and `burst` the range of its factor during the burst.
    """

    gateways: int
    nodes: int
    slow_start: SlowStart
    capacity_per_s: float = 15.0
    spread: float = 0.15
    load: float = 0.55
    burst: tuple[float, float] = (1.5, 2.0)
    peak_factor: float = (
        4.0  # traffic of a gateway that is drawn with probability 0.2, relative to the others
    )
    new_servers: float = 0.25  # new servers, as a fraction of the nodes
    restarted_servers: float = 0.25  # restarted servers, as a fraction of the nodes
    gateway_restarts: float = 0.3  # restarted gateways, as a fraction


# Slow start settings by site, with the engine's defaults last.
SITES = {
    "zagreb, depot": SlowStart(0.27, 18_000.0, 2.0, 3000.0),
    "harbour": SlowStart(0.27, 18_000.0, 3.0, 3000.0),
    "turku": SlowStart(0.22, 13_000.0, 3.0, 3000.0),
    "defaults": SlowStart(),
}
SIZES = ((20, 11), (30, 11), (200, 60))  # numbers of gateways and servers


def draw_case(seed: int, gateways: int, nodes: int, slow_start: SlowStart) -> Case:
    """Draws a case, from an even and mild one to an uneven and severe one."""
    rng = random.Random(seed)
    return Case(
        gateways, nodes, slow_start, spread=rng.uniform(0.0, 0.25), load=rng.uniform(0.4, 0.7),
        peak_factor=rng.choice((1.0, 4.0, 10.0)), new_servers=rng.uniform(0.1, 0.4),
        restarted_servers=rng.uniform(0.1, 0.5), gateway_restarts=rng.uniform(0.1, 0.9),
    )  # fmt: skip


class WindowLoad(NamedTuple):
    """The load of a cold server in one window."""

    ratio: float  # work relative to the allowed work
    informed_fraction: float  # fraction of the work from gateways that knew of the start
    work: float  # in requests of mean work
    requests: int
    allowed: float  # n + 2 * sqrt(n) + 2, where n is `overload_factor` times the expected load
    age_ms: float  # age of the server at the end of the window


Arrival = tuple[float, float, bool]  # time, work in mean requests, whether the gateway knew


def windows(
    rows: list[Arrival], started: float, capacity_per_s: float, slow_start: SlowStart
) -> list[WindowLoad]:
    """Returns for each command that arrived at a server while it was cold the window that ends with it.

    The expected load rises linearly from `initial_fraction` to all of the server's capacity in `warm_up_ms`.
    """
    loads, first = [], 0
    total = informed = 0.0
    for last, (now, work, is_informed) in enumerate(rows):
        age = now - started
        if age > slow_start.warm_up_ms:
            break
        total, informed = total + work, informed + work * is_informed
        while rows[first][0] <= now - slow_start.overload_window_ms:
            total, informed = total - rows[first][1], informed - rows[first][1] * rows[first][2]
            first += 1
        age_at_start = max(0.0, age - slow_start.overload_window_ms)
        mean_warmth = (
            slow_start.initial_fraction
            + (1.0 - slow_start.initial_fraction) * 0.5 * (age_at_start + age) / slow_start.warm_up_ms
        )
        n = slow_start.overload_factor * capacity_per_s * mean_warmth * slow_start.overload_window_ms / 1000.0
        allowed = n + 2.0 * math.sqrt(n) + 2.0
        informed_fraction = informed / max(total, 1e-9)
        loads.append(WindowLoad(total / allowed, informed_fraction, total, last - first + 1, allowed, age))
    return loads


def run_saturated(seed: int, case: Case) -> list[WindowLoad]:
    """Simulates one cold server whose load only the slow start limits.

    Every gateway sends whenever the slow start limiter allows it; after a pause all spend their saved tokens
    at once. Each gateway learns of the server at a different time. Some are restarted and know at once the
    response rate of a warm server at full load.
    """
    rng, slow_start = random.Random(seed), case.slow_start
    shares = [case.peak_factor if rng.random() < 0.2 else 1.0 for _ in range(case.gateways)]
    endpoints = EndpointList(EndpointListKind.FULL, (Endpoint("s", "a", started_ms=1.0),))
    settings = replace(SETTINGS, gateway_count=case.gateways, slow_start=slow_start)
    events = [(rng.uniform(0.0, MAX_DISCOVERY_DELAY_MS), number) for number in range(case.gateways)]
    restarted = rng.sample(range(case.gateways), round(case.gateway_restarts * case.gateways))
    events += [(rng.uniform(MAX_DISCOVERY_DELAY_MS, slow_start.warm_up_ms), number) for number in restarted]
    events.sort(reverse=True)
    pools: dict[int, ServerPool] = {}
    rows: list[Arrival] = []
    is_sending, until = True, 0.0
    for now in range(1, round(slow_start.warm_up_ms), 20):
        if now > until:
            max_windows = 4.0 if is_sending else 1.5
            until = now + rng.uniform(0.2, max_windows) * slow_start.overload_window_ms
            is_sending = not is_sending
        while events and events[-1][0] <= now:
            number = events.pop()[1]
            pool = pools[number] = ServerPool(settings, random.Random(rng.random()))
            pool.update(endpoints, now)
            pool.slow_start.warm_response_rate_per_s = case.capacity_per_s * shares[number] / sum(shares)
        for pool in pools.values():
            server = pool.servers["s"]
            if (
                pool.slow_start.refill_and_check(server, now, pool.slow_start.weight(server, now))
                and is_sending
            ):
                pool.record_start(now, server)
                rows.append((now, rng.expovariate(1.0), True))
    return windows(rows, 1.0, case.capacity_per_s, slow_start)


class ColdStartWorld(World):
    """One run of a case. A server whose load exceeds the allowance stays up."""

    def __init__(self, seed: int, case: Case, make: Callable[[Settings, int], Any] = DecisionEngine) -> None:
        self.case = case
        self.arrivals: dict[tuple[str, float], list[Arrival]] = {}  # by server and start
        # When gateways learned of server starts, by gateway, incarnation, server and start.
        self.informed_at: dict[tuple[int, int, str, float], float] = {}
        settings = replace(SETTINGS, plans=(PLAN,), slow_start=case.slow_start, has_counter=False)
        super().__init__(seed, case.gateways, case.nodes, make, settings=settings)
        # Mean work of a command; the mean over the requests of `send_random_request` is 1.
        self.mean_work_by_class = {"read": 0.8, "order": 0.9, "charge": 1.5}
        for node in self.nodes.values():
            self.draw_speed(node)
        self.shares = [case.peak_factor if self.rng.random() < 0.2 else 1.0 for _ in range(case.gateways)]
        self.schedule_run()

    def draw_speed(self, node: Node) -> None:
        """Draws the speed of a server, which runs four requests concurrently."""
        node.slots, node.limit = 4, 40
        speed = max(0.5, self.rng.gauss(1.0, self.case.spread))
        node.slow = 4.0 / (SERVICE_MS * self.case.capacity_per_s * speed) * 1000.0

    def capacity_per_s(self, node: Node) -> float:
        """Returns a warm server's capacity in requests of mean work per second."""
        return 1000.0 * node.slots / (SERVICE_MS * node.slow)

    def schedule_run(self) -> None:
        """Draws and schedules the load, the server starts and the gateway restarts."""
        case, rng = self.case, self.rng
        total_capacity_per_s = case.capacity_per_s * case.nodes
        factor, at = rng.uniform(*case.burst), 0.0
        while at < LENGTH_MS:
            is_burst = BURST_MS[0] <= at < BURST_MS[1]
            at += rng.expovariate(case.load * total_capacity_per_s / 1000.0 * (factor if is_burst else 1.0))
            self.schedule(at, self.send_random_request)
        for node in rng.sample(list(self.nodes.values()), round(case.restarted_servers * case.nodes)):
            stop_ms = rng.uniform(3000.0, 8000.0)
            self.schedule(stop_ms, setattr, node, "alive", False)
            self.schedule(stop_ms + rng.uniform(500.0, 3000.0), self.start_node, node)
        for number in range(round(case.new_servers * case.nodes)):
            node = Node(f"n{number}", "ab"[number % 2])
            self.draw_speed(node)
            self.schedule(rng.uniform(3500.0, 8500.0), self.start_node, node)
        for number in rng.sample(range(case.gateways), round(case.gateway_restarts * case.gateways)):
            self.schedule(
                rng.uniform(4000.0, 14_000.0), self.kill_gateway, number, rng.uniform(300.0, 2000.0)
            )

    def send_random_request(self) -> None:
        """Sends a client's request to a gateway drawn by its share of the traffic."""
        number = self.rng.choices(range(self.case.gateways), self.shares)[0]
        cls = self.rng.choice(("read", "read", "order", "charge"))
        self.send_client_request(cls, PLAN.name, f"c{self.rng.randrange(400)}", gateway=number)

    def start_node(self, node: Node) -> None:
        """Starts a server cold, and informs each gateway after a random delay."""
        node = Node(node.name, node.zone, self.now, slow=node.slow, slots=node.slots, limit=node.limit)
        self.nodes[node.name] = node  # commands of the previous process are abandoned
        self.arrivals[node.name, node.started_ms] = []
        for number in range(self.case.gateways):
            delay = self.rng.uniform(0.0, MAX_DISCOVERY_DELAY_MS)
            self.schedule(
                delay,
                self.deliver_endpoints,
                number,
                self.incarnation[number],
                EndpointListKind.CHANGES,
                [node],
            )

    def deliver_endpoints(
        self, number: int, incarnation: int, kind: EndpointListKind, nodes: list[Node]
    ) -> None:
        for node in nodes:
            self.informed_at.setdefault((number, incarnation, node.name, node.started_ms), self.now)
        super().deliver_endpoints(number, incarnation, kind, nodes)

    def arrive(self, node: Node, context: AttemptContext) -> None:
        number, incarnation, request, _, _, began = context
        request.work = self.rng.expovariate(1.0 / self.mean_work_by_class[request.cls.name])
        if node.alive and node.started_ms > 0:
            start = (number, incarnation, node.name, node.started_ms)
            is_informed = self.informed_at.get(start, math.inf) <= began
            self.arrivals[node.name, node.started_ms].append((self.now, request.work, is_informed))
        super().arrive(node, context)

    def draw_service_ms(self, request: SimulatedRequest) -> float:
        return SERVICE_MS * request.work

    def check_cold(self, node: Node) -> None:
        """Checks nothing: `arrive` records the load of cold nodes."""

    def check(self) -> None:
        """Checks nothing: the other rules are checked in runs of `World`."""

    def windows_and_overloads(self) -> tuple[list[WindowLoad], list[WindowLoad]]:
        """Returns the windows and the overloads of all cold servers.

        An overload is a server's first window above its allowance. The windows are those up to a server's
        overload in which more than `INFORMED_FRACTION` of the work came from informed gateways.
        """
        windows_by_start = [
            windows(rows, started, self.capacity_per_s(self.nodes[name]), self.case.slow_start)
            for (name, started), rows in self.arrivals.items()
        ]
        relevant, overloads = [], []
        for rows in windows_by_start:
            last = next((index for index, row in enumerate(rows) if row.ratio > 1.0), None)
            if last is not None:
                overloads.append(rows[last])
            until_overload = rows if last is None else rows[: last + 1]
            relevant += [row for row in until_overload if row.informed_fraction > INFORMED_FRACTION]
        return relevant, overloads
