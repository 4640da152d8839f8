"""Swarm runs: each seed draws which faults there are at all, then when. A failure is shrunk and told by its
seed.

``python -m lab.sim.swarm [SEEDS] [--first N] [--capture FOLDER]``
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from glenchute.policy.actions import Action
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import EndpointList, EndpointListKind, EndpointState, Event
from glenchute.policy.settings import Settings
from lab.sim.world import BrokenRule, Node, World

LENGTH_MS = 9000.0
KINDS = (
    "half die", "rolling", "hang", "errors", "resets", "slow nodes", "drain", "gone", "restart node", "flood",
    "counter killed", "counter replaced", "counter split", "counter slow", "burst", "clock step",
    "cold in a rush",
)  # fmt: skip


class Fault(NamedTuple):
    """One entry of a script: at so many ms, so strong (0 to 1), on so many."""

    at_ms: float
    kind: str
    size: float
    which: int


class Script(NamedTuple):
    """A run: its seed, and what goes wrong."""

    seed: int
    faults: tuple[Fault, ...]


class Failure(NamedTuple):
    """A rule that broke, with the script that shows it."""

    script: Script
    rule: str
    detail: str


def drawn(seed: int, of: Sequence[str] = KINDS) -> Script:
    """A seed's script. Half of the kinds are left out of each run, so that rare ones meet undisturbed."""
    rng = random.Random(seed * 2_654_435_761 % (1 << 32))
    kinds = rng.sample(of, rng.randint(1, len(of) // 2))
    faults = [
        Fault(round(rng.uniform(0.0, 0.8 * LENGTH_MS)), rng.choice(kinds), rng.random(), rng.randrange(1000))
        for _ in range(rng.randint(1, 10))
    ]
    return Script(seed, tuple(sorted(faults)))


def told(world: World, changed: list[Node], rng_ms: float = 60.0) -> None:
    """Discovery tells each gateway of changes, at moments of its own."""
    for number in range(len(world.modules)):
        delay = world.rng.uniform(0.0, rng_ms)
        copies = [Node(n.name, n.zone, n.started_ms, n.state) for n in changed]
        world.at(
            delay,
            world.deliver_endpoints,
            number,
            world.incarnation[number],
            EndpointListKind.CHANGES,
            copies,
        )


def strike(world: World, fault: Fault) -> None:
    """A fault begins; most end by themselves."""
    names = sorted(world.nodes)
    node = world.nodes[names[fault.which % len(names)]]
    span = 200.0 + 3000.0 * fault.size
    count = len(world.modules)

    def later(name: str, value: Any) -> None:
        world.at(span, setattr, node, name, value)

    match fault.kind:
        case "half die":
            for number in range((count + 1) // 2):
                world.die((fault.which + number) % count, span)
        case "rolling":
            for number in range(count):
                world.at(600.0 * number, world.die, number, 200.0)
        case "hang":
            node.hung = True
            later("hung", False)
        case "errors":
            node.errors = fault.size
            later("errors", 0.0)
        case "resets":
            node.resets = fault.size
            later("resets", 0.0)
        case "slow nodes":
            for each in world.nodes.values():
                each.slow = 1.0 + 8.0 * fault.size
                world.at(span, setattr, each, "slow", 1.0)
        case "drain":
            node.state = EndpointState.DRAINING
            told(world, [node])
            world.at(span, back, world, node)
        case "gone":
            gone(world, node)
        case "restart node":
            node.alive = False
            node.queue.clear()
            world.at(300.0, risen, world, node)
        case "flood":
            world.flood(span, 60.0 + 120.0 * fault.size)
        case "burst":
            world.load(span / 2.0, 250.0)
        case "counter killed":
            world.parts.kill(fault.which % 2)
            world.at(span, world.parts.replace, fault.which % 2)
        case "counter replaced":
            for step in range(1 + fault.which % 20):
                world.at(step * span / 20.0, world.parts.replace)
        case "counter split":
            world.parts.split([f"g{i}" for i in range(count // 2)], fault.which % 2 == 0)
            world.at(span, world.parts.heal)
        case "counter slow":
            world.parts.slow(20.0 + 200.0 * fault.size)
            world.at(span, world.parts.slow, 0.0)
        case "cold in a rush":  # new processes while so much comes that an even share would push them over
            warm = 240.0 * len(world.nodes)
            world.load(2500.0, (0.6 + 0.2 * fault.size) * warm, ("wide",))
            for at, name in enumerate(names[: 1 + fault.which % 2]):
                world.at(300.0 + 10.0 * at, restarted, world, world.nodes[name])
        case "clock step":
            world.skew[fault.which % count] += 100.0 * fault.size  # forward only: clocks never go back
        case kind:
            world.start_fault(kind, node, fault.size, span)


def restarted(world: World, node: Node) -> None:
    """A node's process is replaced within a moment."""
    node.alive = False
    node.queue.clear()
    world.at(100.0, risen, world, node)


def back(world: World, node: Node) -> None:
    """A node that drained is there again, under a new start."""
    if node.name in world.nodes and node.state is EndpointState.DRAINING:
        node.state, node.started_ms = EndpointState.ACTIVE, world.now
        told(world, [node])


def gone(world: World, node: Node) -> None:
    """A node goes for good, and one with a new name comes."""
    if len(world.nodes) < 2 or node.name not in world.nodes:
        return
    del world.nodes[node.name]
    node.state, node.alive = EndpointState.REMOVED, False
    node.queue.clear()
    fresh = Node(f"s{next(world.node_serial)}", node.zone, world.now)
    world.nodes[fresh.name] = fresh
    told(world, [node])
    told(world, [fresh])


def risen(world: World, node: Node) -> None:
    """A node's process is up again, cold."""
    if node.name in world.nodes:
        node.alive, node.busy, node.hung, node.started_ms = True, 0, False, world.now
        told(world, [node])


def play(
    script: Script,
    make: Callable[[Settings, int], Any] = DecisionEngine,
    watch: Callable[[int, float, Event, list[Action]], None] | None = None,
    site: Callable[..., World] = World,
) -> World:
    """One run on a site of this kind; raises BrokenRule, or what a module raises."""
    world = site(script.seed, 2 + script.seed % 4, 3 + script.seed % 5, make, watch)
    world.load(LENGTH_MS, 90.0)
    for fault in script.faults:
        world.at(fault.at_ms, strike, world, fault)
    world.run(LENGTH_MS + 4000.0)
    return world


def tried(
    script: Script, make: Callable[[Settings, int], Any] = DecisionEngine, site: Callable[..., World] = World
) -> Failure | None:
    """What broke, if anything did."""
    try:
        play(script, make, site=site)
    except BrokenRule as broken:
        return Failure(script, broken.rule, str(broken))
    except Exception as error:  # a module that raises has failed its requests
        return Failure(script, "module fault", repr(error))
    return None


def shrunk(failure: Failure, again: Callable[[Script], Failure | None]) -> Failure:
    """The same rule broken by as few faults as will do; `again` plays a script once more."""
    best, at, kept = failure, 0, 0
    while best.script.faults and kept < len(best.script.faults):  # until each has been tried in vain
        at %= len(best.script.faults)
        fewer = best.script.faults[:at] + best.script.faults[at + 1 :]
        found = again(best.script._replace(faults=fewer))
        if found is not None and found.rule == best.rule:
            best, kept = found, 0
        else:
            at, kept = at + 1, kept + 1
    return best


def search(
    seeds: Sequence[int], make: Callable[[Settings, int], Any] = DecisionEngine,
    site: Callable[..., World] = World, of: Sequence[str] = KINDS,
) -> Failure | None:  # fmt: skip
    """The first failure among the seeds, shrunk."""
    for seed in seeds:
        failure = tried(drawn(seed, of), make, site)
        if failure is not None:
            return shrunk(failure, lambda script: tried(script, make, site))
    return None


def captured(script: Script, folder: Path) -> list[Path]:
    """A run as capture files, one for each life of a gateway, for ``glenchute replay``."""
    from glenchute.capture.codec import SegmentHeader, encode_batch, encode_record, engine_digest

    lives: list[tuple[Settings, int, list[Any]]] = []
    current: dict[int, int] = {}
    modules: list[Any] = []

    def make(settings: Settings, seed: int) -> Any:
        lives.append((settings, seed, []))
        modules.append(DecisionEngine(settings, seed))
        return modules[-1]

    def watch(number: int, now: float, event: Event, actions: list[Action]) -> None:
        if isinstance(event, EndpointList) and event.kind is EndpointListKind.CACHED:
            current[number] = len(lives) - 1
        lives[current[number]][2].append(encode_record(now, event, actions))

    try:
        play(script, make, watch)
    except BrokenRule as broken:
        print(broken, file=sys.stderr)
    files = []
    for life, (settings, seed, notes) in enumerate(lives):
        run = f"seed{script.seed}-life{life}"
        head = SegmentHeader(run, 0, 0, notes[0][0] if notes else 0.0, engine_digest(), settings, seed, None)
        files.append(folder / f"{run}-000000.glcap")
        files[-1].write_bytes(head.encode() + (encode_batch(notes) if notes else b""))
    return files


def main() -> int:
    """Prints what was played; 1 where a rule broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds", type=int, nargs="?", default=50)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--capture", type=Path, help="write a failing run, or the first, as captures here")
    args = parser.parse_args()
    began, gateways_s, steps, checks = time.process_time(), 0.0, 0, 0
    for seed in range(args.first, args.first + args.seeds):
        script = drawn(seed)
        try:
            world = play(script)
        except Exception:  # a rule that broke, or a module that raised: `tried` tells which
            failure = tried(script, DecisionEngine)
            assert failure is not None, "a seed is a run: it must break again"
            failure = shrunk(failure, tried)
            print(f"seed {seed}: {failure.detail}")
            for fault in failure.script.faults:
                print(f"  {fault}")
            if args.capture:
                print(*captured(failure.script, args.capture), sep="\n")
            return 1
        gateways_s += len(world.modules) * (world.now - world.began) / 1000.0
        steps, checks = steps + world.steps, checks + world.checks
    took = time.process_time() - began
    rates = f"{gateways_s / took:.0f} gateway-seconds, {steps / took:.0f} steps, {checks / took:.0f} checks"
    print(f"{args.seeds} seeds, all rules kept; a second of processor: {rates}")
    if args.capture:
        print(*captured(drawn(args.first), args.capture), sep="\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
