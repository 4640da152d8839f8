"""Cold servers before many gateways: what all of them together send one, against what the settings allow it.

A burst comes while servers join and others return cold. Each gateway is told of that at a moment of its own,
some are restarted meanwhile, and some get several times the mean of the traffic. The work of each command is
drawn when it comes in; `Cold.judged` adds it up by server, in every window of the settings' length.
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
from lab.sim.world import SERVICE_MS, SETTINGS, Node, SimulatedRequest, World

TOLD_MS = 6000.0  # a change counts as told by then
TOLD_SHARE = 2.0 / 3.0  # a fall breaks the rule if more of the work came from gateways that knew
LENGTH_MS = 26_000.0
BURST_MS = (5000.0, 17_000.0)
PLAN = Plan("wide")  # no quota: the servers alone bound what is sent


@dataclass(frozen=True)
class Case:
    """A site and its day. `bears` is what a warm server of mean speed does, in requests of mean work a
    second; `spread` the deviation of speeds, against the mean; `load` and `burst` the demand, against what
    all servers bear when warm."""

    gateways: int
    nodes: int
    safety: SlowStart
    bears: float = 15.0
    spread: float = 0.15
    load: float = 0.55
    burst: tuple[float, float] = (1.5, 2.0)  # times the load
    uneven: float = 4.0  # the traffic of one gateway in five, against the others'
    joins: float = 0.25  # of the nodes, so many come new
    returns: float = 0.25  # and so many go and come back
    restarts: float = 0.3  # of the gateways


# The figures that sites name (the engine's defaults last), and the sizes that the fleet is measured at.
SITES = {
    "zagreb, depot": SlowStart(0.27, 18_000.0, 2.0, 3000.0),
    "harbour": SlowStart(0.27, 18_000.0, 3.0, 3000.0),
    "turku": SlowStart(0.22, 13_000.0, 3.0, 3000.0),
    "defaults": SlowStart(),
}
SIZES = ((20, 11), (30, 11), (200, 60))  # gateways, servers


def drawn(seed: int, gateways: int, nodes: int, safety: SlowStart) -> Case:
    """A seed's day, from an even and mild one to one that is neither."""
    rng = random.Random(seed)
    return Case(
        gateways, nodes, safety, spread=rng.uniform(0.0, 0.25), load=rng.uniform(0.4, 0.7),
        uneven=rng.choice((1.0, 4.0, 10.0)), joins=rng.uniform(0.1, 0.4), returns=rng.uniform(0.1, 0.5),
        restarts=rng.uniform(0.1, 0.9),
    )  # fmt: skip


class Most(NamedTuple):
    """The fullest window of a cold server."""

    ratio: float  # work in it against what is allowed
    told: float  # share of the work that came from gateways told of the start
    work: float  # in requests of mean work
    requests: int
    allowed: float  # N + 2 x root of N + 2
    age_ms: float  # of the server


Arrival = tuple[float, float, bool]  # when, its work in those of a mean request, whether its gateway knew


def windows(rows: list[Arrival], started: float, bears: float, safety: SlowStart) -> list[Most]:
    """The window that ends with each command that came to a server while it was cold. What the settings
    allow is taken as an even rise from `cold_share` to all in `warm_ms`, of what this server bears."""
    found, first = [], 0
    total = told = 0.0
    for last, (now, work, knew) in enumerate(rows):
        age = now - started
        if age > safety.warm_up_ms:
            break
        total, told = total + work, told + work * knew
        while rows[first][0] <= now - safety.overload_window_ms:
            total, told = total - rows[first][1], told - rows[first][1] * rows[first][2]
            first += 1
        since = max(0.0, age - safety.overload_window_ms)
        share = (
            safety.initial_fraction
            + (1.0 - safety.initial_fraction) * 0.5 * (since + age) / safety.warm_up_ms
        )
        n = safety.overload_factor * bears * share * safety.overload_window_ms / 1000.0
        allowed = n + 2.0 * math.sqrt(n) + 2.0
        share_told = told / max(total, 1e-9)
        found.append(Most(total / allowed, share_told, total, last - first + 1, allowed, age))
    return found


def pressed(seed: int, case: Case) -> list[Most]:
    """One cold server whose turns alone bound what it gets: every gateway takes each turn, and after a lull
    all take at once what they kept. Each is told at its own moment; some start anew, and know at once
    what a warm server answers, one that is full."""
    rng, safety = random.Random(seed), case.safety
    shares = [case.uneven if rng.random() < 0.2 else 1.0 for _ in range(case.gateways)]
    news = EndpointList(EndpointListKind.FULL, (Endpoint("s", "a", started_ms=1.0),))
    settings = replace(SETTINGS, gateway_count=case.gateways, slow_start=safety)
    events = [(rng.uniform(0.0, TOLD_MS), number) for number in range(case.gateways)]
    again = rng.sample(range(case.gateways), round(case.restarts * case.gateways))
    events += [(rng.uniform(TOLD_MS, safety.warm_up_ms), number) for number in again]
    events.sort(reverse=True)
    fleets: dict[int, ServerPool] = {}
    rows: list[Arrival] = []
    busy, until = True, 0.0
    for now in range(1, round(safety.warm_up_ms), 20):
        if now > until:
            busy, until = (
                not busy,
                now + rng.uniform(0.2, 1.5 if not busy else 4.0) * safety.overload_window_ms,
            )
        while events and events[-1][0] <= now:
            number = events.pop()[1]
            fleet = fleets[number] = ServerPool(settings, random.Random(rng.random()))
            fleet.update(news, now)
            fleet.slow_start.warm_response_rate_per_s = case.bears * shares[number] / sum(shares)
        for fleet in fleets.values():
            server = fleet.servers["s"]
            if fleet.slow_start.refill_and_check(server, now, fleet.slow_start.weight(server, now)) and busy:
                fleet.record_start(now, server)
                rows.append((now, rng.expovariate(1.0), True))
    return windows(rows, 1.0, case.bears, safety)


class Cold(World):
    """One day of a case. Servers that pass their budget are booked, and go on."""

    def __init__(self, seed: int, case: Case, make: Callable[[Settings, int], Any] = DecisionEngine) -> None:
        self.case = case
        self.came: dict[tuple[str, float], list[Arrival]] = {}  # by server and start
        self.told_at: dict[tuple[int, int, str, float], float] = {}  # gateway, its life, server, its start
        settings = replace(SETTINGS, plans=(PLAN,), slow_start=case.safety, has_counter=False)
        super().__init__(seed, case.gateways, case.nodes, make, settings=settings)
        self.means = {"read": 0.8, "order": 0.9, "charge": 1.5}  # of the requests asked for, 1
        for node in self.nodes.values():
            self.equip(node)
        self.shares = [case.uneven if self.rng.random() < 0.2 else 1.0 for _ in range(case.gateways)]
        self.script()

    def equip(self, node: Node) -> None:
        """A server's own speed; it does four requests at once."""
        node.slots, node.limit = 4, 40
        speed = max(0.5, self.rng.gauss(1.0, self.case.spread))
        node.slow = 4.0 / (SERVICE_MS * self.case.bears * speed) * 1000.0

    def bears(self, node: Node) -> float:
        """Requests of mean work a second, once warm."""
        return 1000.0 * node.slots / (SERVICE_MS * node.slow)

    def script(self) -> None:
        """Draws the day."""
        case, rng = self.case, self.rng
        all_bear = case.bears * case.nodes
        factor, at = rng.uniform(*case.burst), 0.0
        while at < LENGTH_MS:
            busy = BURST_MS[0] <= at < BURST_MS[1]
            at += rng.expovariate(case.load * all_bear / 1000.0 * (factor if busy else 1.0))
            self.at(at, self.demand)
        for node in rng.sample(list(self.nodes.values()), round(case.returns * case.nodes)):
            down = rng.uniform(3000.0, 8000.0)
            self.at(down, setattr, node, "alive", False)
            self.at(down + rng.uniform(500.0, 3000.0), self.comes, node)
        for number in range(round(case.joins * case.nodes)):
            node = Node(f"n{number}", "ab"[number % 2])
            self.equip(node)
            self.at(rng.uniform(3500.0, 8500.0), self.comes, node)
        for number in rng.sample(range(case.gateways), round(case.restarts * case.gateways)):
            self.at(rng.uniform(4000.0, 14_000.0), self.die, number, rng.uniform(300.0, 2000.0))

    def demand(self) -> None:
        """A client's request, at a gateway by its share of the traffic."""
        number = self.rng.choices(range(self.case.gateways), self.shares)[0]
        cls = self.rng.choice(("read", "read", "order", "charge"))
        self.ask(cls, PLAN.name, f"c{self.rng.randrange(400)}", at=number)

    def comes(self, node: Node) -> None:
        """A server starts, cold, and each gateway is told of it at its own moment."""
        node = Node(node.name, node.zone, self.now, slow=node.slow, slots=node.slots, limit=node.limit)
        self.nodes[node.name] = node  # what ran at the one before ends there
        self.came[node.name, node.started_ms] = []
        for number in range(self.case.gateways):
            delay = self.rng.uniform(0.0, TOLD_MS)
            self.at(
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
            self.told_at.setdefault((number, incarnation, node.name, node.started_ms), self.now)
        super().deliver_endpoints(number, incarnation, kind, nodes)

    def arrive(self, node: Node, back: tuple[Any, ...]) -> None:
        number, incarnation, asked, _, _, began = back
        asked.work = self.rng.expovariate(1.0 / self.means[asked.cls.name])
        if node.alive and node.started_ms > 0:
            told = self.told_at.get((number, incarnation, node.name, node.started_ms), math.inf) <= began
            self.came[node.name, node.started_ms].append((self.now, asked.work, told))
        super().arrive(node, back)

    def draw_service_ms(self, asked: SimulatedRequest) -> float:
        return SERVICE_MS * asked.work

    def check_cold(self, node: Node) -> None:
        """Booked in `arrive`."""

    def check(self) -> None:
        """The site's other books are `World`'s to check, in runs of its own."""

    def judged(self) -> tuple[list[Most], list[Most]]:
        """The windows, up to its fall, of which over two thirds came from gateways that knew; and each
        server's first window over what is allowed: its fall."""
        every = [
            windows(rows, started, self.bears(self.nodes[name]), self.case.safety)
            for (name, started), rows in self.came.items()
        ]
        lasts = [next((i for i, row in enumerate(rows) if row.ratio > 1.0), None) for rows in every]
        falls = [rows[last] for rows, last in zip(every, lasts, strict=True) if last is not None]
        stood = [rows if last is None else rows[: last + 1] for rows, last in zip(every, lasts, strict=True)]
        return [row for rows in stood for row in rows if row.told > TOLD_SHARE], falls
