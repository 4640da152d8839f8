"""Checks that service recovers: after random faults, each gateway must serve as a new one does.

The property: from any state that faults can reach, once they have ended and the servers can handle the load,
the requests served by gateway, class and plan are at least `MIN_SERVED_RATIO` of those in the control run.
This holds from `SETTLE_MS` on (`COUNTER_SETTLE_MS` after faults of the counter). The control run is the same
site with the same requests in this final phase, the tail; its gateways start shortly before the tail. The
site records how each request was answered.

``python -m lab.sim.recovery [SEEDS] [--first N] [--processes N]``
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple

from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import EndpointListKind, EndpointState
from glenchute.policy.settings import Settings
from lab.sim.swarm import Failure, Fault, Script
from lab.sim.world import SERVICE_MS, BrokenRule, Node, SimulatedRequest, World

from . import swarm

MIN_SERVED_RATIO = 0.95
SETTLE_MS = 5_000.0
COUNTER_SETTLE_MS = 10_000.0
TAIL_MS = 10_000.0
# Differences that chance explains: a few requests, and some standard deviations of the control run's count.
SLACK_REQUESTS = 3.0
SLACK_SIGMAS = 3.0
# Faults that leave gateways without requests, responses, counter or endpoints, and bursts of requests.
SILENCES = (
    "drained", "no traffic", "trickle", "stopped", "all slow", "all hung", "burst", "counter gone",
    "list empty", "slow in the quiet",
)  # fmt: skip
# Faults of the swarm's sites, which `swarm.start_fault` starts.
FAULTS = (
    "half die", "rolling", "hang", "errors", "resets", "slow nodes", "gone", "counter split", "counter slow",
)  # fmt: skip
COUNTER_FAULTS = ("counter gone", "counter split", "counter slow")


class Shape(NamedTuple):
    """A site's numbers of gateways and nodes, and its requests per second."""

    gateways: int
    nodes: int
    rate: float


class Site(World):
    """A site with the faults of `SILENCES`, which counts the requests of the tail and their answers."""

    def __init__(
        self, seed: int, shape: Shape, make: Callable[[Settings, int], Any] = DecisionEngine
    ) -> None:
        self.shape = shape
        self.is_counting = False  # whether the tail has settled, so that its requests count
        # Unanswered requests of the tail, by request id: gateway, class and plan.
        self.tail_requests: dict[str, tuple[int, str, str]] = {}
        self.requests_in_tail: Counter[tuple[int, str, str]] = Counter()
        self.served_in_tail: Counter[tuple[int, str, str]] = Counter()
        super().__init__(seed, shape.gateways, shape.nodes, make)

    def record_answer(self, request: SimulatedRequest, kind: str) -> None:
        if (row := self.tail_requests.pop(request.request_id, None)) is not None and kind == "Served":
            self.served_in_tail[row] += 1
        super().record_answer(request, kind)

    def on_request_accepted(self, request: SimulatedRequest) -> None:
        row = (request.gateway, request.cls.name, request.plan)
        if self.is_counting:
            self.requests_in_tail[row] += 1
            self.tail_requests[request.request_id] = row

    def start_fault(self, kind: str, node: Node, size: float, span_ms: float) -> None:
        """Starts a fault that the swarm's sites do not have."""
        gateway = self.rng.randrange(len(self.engines))
        if kind == "drained":
            self.unrouted_gateways.add(gateway)
            self.schedule(4000.0, self.unrouted_gateways.discard, gateway)
        elif kind in ("no traffic", "trickle", "slow in the quiet"):
            self.unrouted_gateways.update(range(len(self.engines)))
            span = 60_000.0 if kind == "no traffic" else 10_000.0
            self.schedule(span, self.unrouted_gateways.clear)
            if kind != "no traffic":
                for number in range(len(self.engines)):
                    self.schedule(span / 2.0, self.trickle, number)
            if kind == "slow in the quiet":
                self.set_all_nodes(span * 0.8, "slow", 60.0, 1.0)
        elif kind == "stopped":
            self.pause_gateway(gateway, 3000.0)
        elif kind == "all slow":
            self.set_all_nodes(2000.0, "slow", 40.0, 1.0)
        elif kind == "all hung":
            self.set_all_nodes(span_ms, "hung", True, False)
        elif kind == "counter gone":
            self.counter_partitions.kill()
            self.schedule(span_ms, self.counter_partitions.replace)
        elif kind == "list empty":
            for number in range(len(self.engines)):
                delivery = (number, self.incarnation[number], EndpointListKind.FULL)
                self.deliver_endpoints(*delivery, [])
                self.schedule(span_ms, self.deliver_all_endpoints, *delivery)
        else:
            super().start_fault(kind, node, size, span_ms)

    def deliver_all_endpoints(self, number: int, incarnation: int, kind: EndpointListKind) -> None:
        """Delivers the full endpoint list to a gateway."""
        self.deliver_endpoints(number, incarnation, kind, list(self.nodes.values()))

    def trickle(self, number: int) -> None:
        """Sends one request to a gateway that gets no others."""
        self.unrouted_gateways.discard(number)
        self.send_client_request("read", "wide", "wide0", gateway=number)
        self.unrouted_gateways.add(number)

    def set_all_nodes(self, span_ms: float, name: str, value: Any, after: Any) -> None:
        """Sets an attribute of all nodes for a time."""
        for node in self.nodes.values():
            setattr(node, name, value)
            self.schedule(span_ms, setattr, node, name, after)

    def heal(self) -> None:
        """Ends all faults."""
        self.unrouted_gateways.clear()
        self.counter_partitions.heal()
        self.counter_partitions.revive()
        self.counter_partitions.slow(0.0)
        for node in self.nodes.values():
            node.slow, node.hung, node.errors, node.resets, node.alive = 1.0, False, 0.0, 0.0, True
            node.state, node.started_ms = EndpointState.ACTIVE, 0.0
        for number in range(len(self.engines)):
            self.deliver_all_endpoints(number, self.incarnation[number], EndpointListKind.FULL)


def draw_shape(seed: int) -> Shape:
    """Draws a site: 1 to 200 gateways, 0.1 to 1,000 requests per second, nodes for twice that load."""
    rng = random.Random(seed * 40_503 + 7)
    gateways = rng.choice((1, 1, 2, 3, 3, 5, 8, 20, 60, 200))
    rate = 10.0 ** rng.uniform(-1.0, 3.0)
    min_nodes = max(1, round(2.0 * rate / (6 / SERVICE_MS * 1000.0)))  # a node has 6 slots
    return Shape(gateways, max(min_nodes, rng.choice((1, 3, 5, gateways // 4 + 1))), rate)


def draw_script(seed: int) -> Script:
    """Draws the script of a seed, with faults of `SILENCES` and `FAULTS`."""
    rng = random.Random(seed * 2_654_435_761 % (1 << 32) + 1)
    kinds = rng.sample(SILENCES + FAULTS, rng.randint(1, 5))
    faults = [
        Fault(round(rng.uniform(1000.0, 9000.0)), rng.choice(kinds), rng.random(), rng.randrange(1000))
        for _ in range(rng.randint(1, 4))
    ]
    return Script(seed, tuple(sorted(faults)))


def run_tail(site: Site, seed: int, settle_ms: float) -> None:
    """Runs the load of the tail, which is the same in both runs and spread evenly over the gateways."""
    rng = random.Random(seed + 1)
    at, end = 0.0, settle_ms + TAIL_MS
    while (at := at + rng.expovariate(site.shape.rate / 1000.0)) < end:
        cls = rng.choice(("read", "read", "read", "order", "charge"))
        plan = rng.choice(("wide", "wide", "small", "hard"))
        customer = "c-hard" if plan == "hard" else f"{plan}{rng.randrange(max(1, round(site.shape.rate)))}"
        number = rng.randrange(site.shape.gateways)
        site.schedule(at, site.send_client_request, cls, plan, customer, 1.0, number)
    site.schedule(settle_ms, setattr, site, "is_counting", True)
    site.run(end + 4000.0)


def run_site(script: Script, make: Callable[[Settings, int], Any], faults: bool) -> Site:
    """Runs a site with its faults, or the control run, which only has the tail."""
    shape = draw_shape(script.seed)
    site = Site(script.seed, shape, make)
    has_counter_fault = any(fault.kind in COUNTER_FAULTS for fault in script.faults)
    settle_ms = COUNTER_SETTLE_MS if has_counter_fault else SETTLE_MS
    if faults:
        site.load(9000.0, min(shape.rate, 400.0), ("wide", "wide", "small"))
        for fault in script.faults:
            if fault.kind == "burst":
                site.schedule(fault.at_ms, site.load, 1500.0, min(20.0 * shape.rate, 2000.0), ("wide",))
            else:
                site.schedule(fault.at_ms, swarm.start_fault, site, fault)
        max_length_ms = {"no traffic": 60_000.0}
        ends = [fault.at_ms + max_length_ms.get(fault.kind, 10_000.0) for fault in script.faults]
        site.run(max([9000.0, *ends]) + 200.0)
        site.heal()
    else:
        site.run(1000.0)
    run_tail(site, script.seed, settle_ms)
    return site


def find_failure(script: Script, make: Callable[[Settings, int], Any] = DecisionEngine) -> Failure | None:
    """Returns the broken rule, or the property's worst violation by gateway, class and plan, or None."""
    try:
        after, control = run_site(script, make, True), run_site(script, make, False)
    except BrokenRule as broken:
        return Failure(script, broken.rule, str(broken))
    max_shortfall, detail = 0.0, ""
    groups: dict[tuple[Any, ...], list[tuple[int, str, str]]] = {}
    for row in control.requests_in_tail:  # by gateway, class and plan, together and each alone
        for key in (row, (row[0],), (row[1],), (row[2],)):
            groups.setdefault(key, []).append(row)
    for key, rows in groups.items():
        expected = sum(control.served_in_tail[row] for row in rows)
        served = sum(after.served_in_tail[row] for row in rows)
        shortfall = MIN_SERVED_RATIO * expected - served - SLACK_REQUESTS - SLACK_SIGMAS * expected**0.5
        if shortfall > max_shortfall:
            sent = sum(control.requests_in_tail[row] for row in rows)
            max_shortfall = shortfall
            detail = f"{key}: {served} of {sent} requests served, {expected} in the control run"
    return Failure(script, "recovery", f"{draw_shape(script.seed)} {detail}") if max_shortfall > 0.0 else None


def main() -> int:
    """Runs seeds and prints each failure with its shrunk script; returns 1 if there was one."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds", type=int, nargs="?", default=40)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--processes", type=int, default=1)
    args = parser.parse_args()
    began, failure_count = time.monotonic(), 0
    seeds = range(args.first, args.first + args.seeds)
    with ProcessPoolExecutor(args.processes) as pool:
        for failure in pool.map(find_shrunk_failure, seeds, chunksize=1):
            if failure is not None:
                failure_count += 1
                print(f"seed {failure.script.seed}: {failure.detail}", *failure.script.faults, sep="\n  ")
    print(f"{args.seeds} seeds, {failure_count} failures, {time.monotonic() - began:.0f} s")
    return 1 if failure_count else 0


def find_shrunk_failure(seed: int) -> Failure | None:
    """Runs the script of a seed; returns its failure with a shrunk script, or None."""
    failure = find_failure(draw_script(seed))
    return swarm.shrink(failure, find_failure) if failure is not None else None


if __name__ == "__main__":
    sys.exit(main())
