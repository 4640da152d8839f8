"""Swarm testing: each seed draws the kinds of faults of a run, then their times.

A failing script is shrunk and reported with its seed.

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
    """A fault of a script: its time, kind, strength (0 to 1), and a number that selects its target."""

    at_ms: float
    kind: str
    size: float
    which: int


class Script(NamedTuple):
    """A run: its seed and its faults."""

    seed: int
    faults: tuple[Fault, ...]


class Failure(NamedTuple):
    """A broken rule, with the script that reproduces it."""

    script: Script
    rule: str
    detail: str


def drawn(seed: int, of: Sequence[str] = KINDS) -> Script:
    """Draws the script of a seed. It omits half of the kinds or more, so that rare ones are not masked."""
    rng = random.Random(seed * 2_654_435_761 % (1 << 32))
    kinds = rng.sample(of, rng.randint(1, len(of) // 2))
    faults = [
        Fault(round(rng.uniform(0.0, 0.8 * LENGTH_MS)), rng.choice(kinds), rng.random(), rng.randrange(1000))
        for _ in range(rng.randint(1, 10))
    ]
    return Script(seed, tuple(sorted(faults)))


def announce(world: World, changed: list[Node], max_delay_ms: float = 60.0) -> None:
    """Announces changed nodes to the gateways, with a random delay for each."""
    for number in range(len(world.engines)):
        delay = world.rng.uniform(0.0, max_delay_ms)
        copies = [Node(n.name, n.zone, n.started_ms, n.state) for n in changed]
        world.schedule(
            delay,
            world.deliver_endpoints,
            number,
            world.incarnation[number],
            EndpointListKind.CHANGES,
            copies,
        )


def start_fault(world: World, fault: Fault) -> None:
    """Starts a fault; most end on their own."""
    names = sorted(world.nodes)
    node = world.nodes[names[fault.which % len(names)]]
    span = 200.0 + 3000.0 * fault.size
    count = len(world.engines)

    def later(name: str, value: Any) -> None:
        world.schedule(span, setattr, node, name, value)

    match fault.kind:
        case "half die":
            for number in range((count + 1) // 2):
                world.kill_gateway((fault.which + number) % count, span)
        case "rolling":
            for number in range(count):
                world.schedule(600.0 * number, world.kill_gateway, number, 200.0)
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
                world.schedule(span, setattr, each, "slow", 1.0)
        case "drain":
            node.state = EndpointState.DRAINING
            announce(world, [node])
            world.schedule(span, return_to_service, world, node)
        case "gone":
            gone(world, node)
        case "restart node":
            node.alive = False
            node.queue.clear()
            world.schedule(300.0, start_cold, world, node)
        case "flood":
            world.flood(span, 60.0 + 120.0 * fault.size)
        case "burst":
            world.load(span / 2.0, 250.0)
        case "counter killed":
            world.parts.kill(fault.which % 2)
            world.schedule(span, world.parts.replace, fault.which % 2)
        case "counter replaced":
            for step in range(1 + fault.which % 20):
                world.schedule(step * span / 20.0, world.parts.replace)
        case "counter split":
            world.parts.split([f"g{i}" for i in range(count // 2)], fault.which % 2 == 0)
            world.schedule(span, world.parts.heal)
        case "counter slow":
            world.parts.slow(20.0 + 200.0 * fault.size)
            world.schedule(span, world.parts.slow, 0.0)
        case "cold in a rush":  # nodes restart under a load whose even share overloads them
            warm = 240.0 * len(world.nodes)
            world.load(2500.0, (0.6 + 0.2 * fault.size) * warm, ("wide",))
            for at, name in enumerate(names[: 1 + fault.which % 2]):
                world.schedule(300.0 + 10.0 * at, restart, world, world.nodes[name])
        case "clock step":
            world.skew[fault.which % count] += 100.0 * fault.size  # forward only, as clocks are monotonic
        case kind:
            world.start_fault(kind, node, fault.size, span)


def restart(world: World, node: Node) -> None:
    """Replaces a node's process, which is down for 100 ms."""
    node.alive = False
    node.queue.clear()
    world.schedule(100.0, start_cold, world, node)


def return_to_service(world: World, node: Node) -> None:
    """Returns a drained node to service with a new start time."""
    if node.name in world.nodes and node.state is EndpointState.DRAINING:
        node.state, node.started_ms = EndpointState.ACTIVE, world.now
        announce(world, [node])


def gone(world: World, node: Node) -> None:
    """Removes a node and adds one with a new name."""
    if len(world.nodes) < 2 or node.name not in world.nodes:
        return
    del world.nodes[node.name]
    node.state, node.alive = EndpointState.REMOVED, False
    node.queue.clear()
    fresh = Node(f"s{next(world.node_serial)}", node.zone, world.now)
    world.nodes[fresh.name] = fresh
    announce(world, [node])
    announce(world, [fresh])


def start_cold(world: World, node: Node) -> None:
    """Starts a node's process again, cold."""
    if node.name in world.nodes:
        node.alive, node.busy, node.hung, node.started_ms = True, 0, False, world.now
        announce(world, [node])


def play(
    script: Script,
    make: Callable[[Settings, int], Any] = DecisionEngine,
    watch: Callable[[int, float, Event, list[Action]], None] | None = None,
    site: Callable[..., World] = World,
) -> World:
    """Runs a script on a site of this kind; raises BrokenRule, or what an engine raises."""
    world = site(script.seed, 2 + script.seed % 4, 3 + script.seed % 5, make, watch)
    world.load(LENGTH_MS, 90.0)
    for fault in script.faults:
        world.schedule(fault.at_ms, start_fault, world, fault)
    world.run(LENGTH_MS + 4000.0)
    return world


def tried(
    script: Script, make: Callable[[Settings, int], Any] = DecisionEngine, site: Callable[..., World] = World
) -> Failure | None:
    """Runs a script; returns its failure, or None."""
    try:
        play(script, make, site=site)
    except BrokenRule as broken:
        return Failure(script, broken.rule, str(broken))
    except Exception as error:  # an engine that raises has failed its requests
        return Failure(script, "module fault", repr(error))
    return None


def shrunk(failure: Failure, again: Callable[[Script], Failure | None]) -> Failure:
    """Removes faults as long as the same rule is broken; `again` runs a script."""
    best, at, kept = failure, 0, 0
    while best.script.faults and kept < len(best.script.faults):  # until no fault can be removed
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
    """Returns the first failure of the seeds, shrunk, or None."""
    for seed in seeds:
        failure = tried(drawn(seed, of), make, site)
        if failure is not None:
            return shrunk(failure, lambda script: tried(script, make, site))
    return None


def captured(script: Script, folder: Path) -> list[Path]:
    """Writes a run as capture files for ``glenchute replay``, one for each incarnation of a gateway."""
    from glenchute.capture.codec import SegmentHeader, encode_batch, encode_record, engine_digest

    incarnations: list[tuple[Settings, int, list[Any]]] = []
    current: dict[int, int] = {}
    modules: list[Any] = []

    def make(settings: Settings, seed: int) -> Any:
        incarnations.append((settings, seed, []))
        modules.append(DecisionEngine(settings, seed))
        return modules[-1]

    def watch(number: int, now: float, event: Event, actions: list[Action]) -> None:
        if isinstance(event, EndpointList) and event.kind is EndpointListKind.CACHED:
            current[number] = len(incarnations) - 1
        incarnations[current[number]][2].append(encode_record(now, event, actions))

    try:
        play(script, make, watch)
    except BrokenRule as broken:
        print(broken, file=sys.stderr)
    files = []
    for index, (settings, seed, records) in enumerate(incarnations):
        run = f"seed{script.seed}-life{index}"
        head = SegmentHeader(
            run, 0, 0, records[0][0] if records else 0.0, engine_digest(), settings, seed, None
        )
        files.append(folder / f"{run}-000000.glcap")
        files[-1].write_bytes(head.encode() + (encode_batch(records) if records else b""))
    return files


def main() -> int:
    """Runs the seeds and prints a summary; returns 1 if a rule was broken."""
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
        except Exception:  # a broken rule, or an exception of an engine: `tried` tells which
            failure = tried(script, DecisionEngine)
            assert failure is not None, "a seed determines a run, so it must fail again"
            failure = shrunk(failure, tried)
            print(f"seed {seed}: {failure.detail}")
            for fault in failure.script.faults:
                print(f"  {fault}")
            if args.capture:
                print(*captured(failure.script, args.capture), sep="\n")
            return 1
        gateways_s += len(world.engines) * (world.now - world.began) / 1000.0
        steps, checks = steps + world.steps, checks + world.checks
    took = time.process_time() - began
    rates = f"{gateways_s / took:.0f} gateway-seconds, {steps / took:.0f} steps, {checks / took:.0f} checks"
    print(f"{args.seeds} seeds, all rules kept; a second of processor: {rates}")
    if args.capture:
        print(*captured(drawn(args.first), args.capture), sep="\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
