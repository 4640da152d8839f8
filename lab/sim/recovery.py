"""Whether service comes back: random faults and silences, then a calm tail in which each gateway has to serve
what one that has just started would serve.

The property: from any state that faults can reach, once they have ended and the load is what the servers
bear, the share served by gateway, class and plan is at least `SHARE` of the control's from `SETTLE_MS`
on (`COUNTER_MS` where the counter was in trouble). The control is the same site with the same requests in the
tail, and gateways that start at its beginning. The books are the site's: how each request was answered.

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

SHARE = 0.95
SETTLE_MS = 5_000.0
COUNTER_MS = 10_000.0
TAIL_MS = 10_000.0
SLACK = 3.0  # requests of one gateway, class and plan: what one that starts cold loses by chance, too
SIGMAS = 3.0
SILENCES = (
    "drained", "no traffic", "trickle", "stopped", "all slow", "all hung", "burst", "counter gone",
    "list empty", "slow in the quiet",
)  # fmt: skip
FAULTS = (
    "half die", "rolling", "hang", "errors", "resets", "slow nodes", "gone", "counter split", "counter slow",
)  # fmt: skip
OF_COUNTER = ("counter gone", "counter split", "counter slow")


class Shape(NamedTuple):
    """A site: how many gateways and nodes, and requests a second."""

    gateways: int
    nodes: int
    rate: float


class Site(World):
    """The site with silences, a tail whose requests are drawn beforehand, and the book of their answers."""

    def __init__(
        self, seed: int, shape: Shape, make: Callable[[Settings, int], Any] = DecisionEngine
    ) -> None:
        self.shape = shape
        self.counting = False  # the calm time has begun, and service should be back
        self.tail: dict[str, tuple[int, str, str]] = {}
        self.asked_in_tail: Counter[tuple[int, str, str]] = Counter()
        self.served_in_tail: Counter[tuple[int, str, str]] = Counter()
        super().__init__(seed, shape.gateways, shape.nodes, make)

    def record_answer(self, asked: SimulatedRequest, how: str) -> None:
        if (row := self.tail.pop(asked.ref, None)) is not None and how == "Served":
            self.served_in_tail[row] += 1
        super().record_answer(asked, how)

    def on_request_accepted(self, asked: SimulatedRequest) -> None:
        row = (asked.number, asked.cls.name, asked.plan)
        if self.counting:
            self.asked_in_tail[row] += 1
            self.tail[asked.ref] = row

    def start_fault(self, kind: str, node: Node, size: float, span_ms: float) -> None:
        """Faults and silences that this site has beside the swarm's."""
        which = self.rng.randrange(len(self.modules))
        if kind == "drained":
            self.unrouted_gateways.add(which)
            self.at(4000.0, self.unrouted_gateways.discard, which)
        elif kind in ("no traffic", "trickle", "slow in the quiet"):
            self.unrouted_gateways.update(range(len(self.modules)))
            span = 60_000.0 if kind == "no traffic" else 10_000.0
            self.at(span, self.unrouted_gateways.clear)
            if kind != "no traffic":
                for number in range(len(self.modules)):
                    self.at(span / 2.0, self.trickle, number)
            if kind == "slow in the quiet":
                self.all(span * 0.8, "slow", 60.0, 1.0)
        elif kind == "stopped":
            self.stop(which, 3000.0)
        elif kind == "all slow":
            self.all(2000.0, "slow", 40.0, 1.0)
        elif kind == "all hung":
            self.all(span_ms, "hung", True, False)
        elif kind == "counter gone":
            self.parts.kill()
            self.at(span_ms, self.parts.replace)
        elif kind == "list empty":
            for number in range(len(self.modules)):
                back = (number, self.incarnation[number], EndpointListKind.FULL)
                self.deliver_endpoints(*back, [])
                self.at(span_ms, self.told_all, *back)
        else:
            super().start_fault(kind, node, size, span_ms)

    def told_all(self, number: int, incarnation: int, kind: EndpointListKind) -> None:
        """The whole list again."""
        self.deliver_endpoints(number, incarnation, kind, list(self.nodes.values()))

    def trickle(self, number: int) -> None:
        """One request in a silence."""
        self.unrouted_gateways.discard(number)
        self.ask("read", "wide", "wide0", at=number)
        self.unrouted_gateways.add(number)

    def all(self, span_ms: float, what: str, value: Any, after: Any) -> None:
        """All nodes are so for a while."""
        for node in self.nodes.values():
            setattr(node, what, value)
            self.at(span_ms, setattr, node, what, after)

    def heal(self) -> None:
        """All faults are over."""
        self.unrouted_gateways.clear()
        self.parts.heal()
        self.parts.revive()
        self.parts.slow(0.0)
        for node in self.nodes.values():
            node.slow, node.hung, node.errors, node.resets, node.alive = 1.0, False, 0.0, 0.0, True
            node.state, node.started_ms = EndpointState.ACTIVE, 0.0
        for number in range(len(self.modules)):
            self.told_all(number, self.incarnation[number], EndpointListKind.FULL)


def shape_of(seed: int) -> Shape:
    """A seed's site: 1 to 200 gateways, 0.1 to 1,000 requests a second, and nodes that bear them twice."""
    rng = random.Random(seed * 40_503 + 7)
    gateways = rng.choice((1, 1, 2, 3, 3, 5, 8, 20, 60, 200))
    rate = 10.0 ** rng.uniform(-1.0, 3.0)
    least = max(1, round(2.0 * rate / (6 / SERVICE_MS * 1000.0)))
    return Shape(gateways, max(least, rng.choice((1, 3, 5, gateways // 4 + 1))), rate)


def drawn(seed: int) -> Script:
    """A seed's script of faults and silences."""
    rng = random.Random(seed * 2_654_435_761 % (1 << 32) + 1)
    kinds = rng.sample(SILENCES + FAULTS, rng.randint(1, 5))
    faults = [
        Fault(round(rng.uniform(1000.0, 9000.0)), rng.choice(kinds), rng.random(), rng.randrange(1000))
        for _ in range(rng.randint(1, 4))
    ]
    return Script(seed, tuple(sorted(faults)))


def tail(site: Site, seed: int, settle_ms: float) -> None:
    """The load of the calm time, the same on both sites: at each gateway its part of the rate."""
    rng = random.Random(seed + 1)
    at, end = 0.0, settle_ms + TAIL_MS
    while (at := at + rng.expovariate(site.shape.rate / 1000.0)) < end:
        cls = rng.choice(("read", "read", "read", "order", "charge"))
        plan = rng.choice(("wide", "wide", "small", "hard"))
        one = "c-hard" if plan == "hard" else f"{plan}{rng.randrange(max(1, round(site.shape.rate)))}"
        number = rng.randrange(site.shape.gateways)
        site.at(at, site.ask, cls, plan, one, 1.0, number)
    site.at(settle_ms, setattr, site, "counting", True)
    site.run(end + 4000.0)


def played(script: Script, make: Callable[[Settings, int], Any], faults: bool) -> Site:
    """One site: with its faults, or the control, which only has the tail."""
    shape = shape_of(script.seed)
    site = Site(script.seed, shape, make)
    settle = COUNTER_MS if any(f.kind in OF_COUNTER for f in script.faults) else SETTLE_MS
    if faults:
        site.load(9000.0, min(shape.rate, 400.0), ("wide", "wide", "small"))
        for fault in script.faults:
            if fault.kind == "burst":
                site.at(fault.at_ms, site.load, 1500.0, min(20.0 * shape.rate, 2000.0), ("wide",))
            else:
                site.at(fault.at_ms, swarm.strike, site, fault)
        lasts = {"no traffic": 60_000.0}
        site.run(max([9000.0] + [f.at_ms + lasts.get(f.kind, 10_000.0) for f in script.faults]) + 200.0)
        site.heal()
    else:
        site.run(1000.0)
    tail(site, script.seed, settle)
    return site


def tried(script: Script, make: Callable[[Settings, int], Any] = DecisionEngine) -> Failure | None:
    """What broke, if anything: a rule, or the property for the worst gateway, class and plan."""
    try:
        after, control = played(script, make, True), played(script, make, False)
    except BrokenRule as broken:
        return Failure(script, broken.rule, str(broken))
    worst, detail = 0.0, ""
    groups: dict[tuple[Any, ...], list[tuple[int, str, str]]] = {}
    for row in control.asked_in_tail:  # each row alone, each gateway, and each class and plan over all
        for key in (row, (row[0],), (row[1],), (row[2],)):
            groups.setdefault(key, []).append(row)
    for key, rows in groups.items():
        want = sum(control.served_in_tail[row] for row in rows)
        got = sum(after.served_in_tail[row] for row in rows)
        short = SHARE * want - got - SLACK - SIGMAS * want**0.5
        if short > worst:
            asked = sum(control.asked_in_tail[row] for row in rows)
            worst, detail = short, f"{key}: {got} served of {asked}, a fresh gateway {want}"
    return Failure(script, "recovery", f"{shape_of(script.seed)} {detail}") if worst > 0.0 else None


def main() -> int:
    """Plays seeds; prints each that broke, shrunk; 1 if one did."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds", type=int, nargs="?", default=40)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--processes", type=int, default=1)
    args = parser.parse_args()
    began, bad = time.monotonic(), 0
    seeds = range(args.first, args.first + args.seeds)
    with ProcessPoolExecutor(args.processes) as pool:
        for failure in pool.map(_seed, seeds, chunksize=1):
            if failure is not None:
                bad += 1
                print(f"seed {failure.script.seed}: {failure.detail}", *failure.script.faults, sep="\n  ")
    print(f"{args.seeds} seeds, {bad} broke the property, {time.monotonic() - began:.0f} s")
    return 1 if bad else 0


def _seed(seed: int) -> Failure | None:
    failure = tried(drawn(seed))
    return swarm.shrunk(failure, tried) if failure is not None else None


if __name__ == "__main__":
    sys.exit(main())
