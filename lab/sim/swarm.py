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


def draw_script(seed: int, kinds: Sequence[str] = KINDS) -> Script:
    """Draws the script of a seed. It omits half of the kinds or more, so that rare ones are not masked."""
    rng = random.Random(seed * 2_654_435_761 % (1 << 32))
    drawn_kinds = rng.sample(kinds, rng.randint(1, len(kinds) // 2))
    faults = [
        Fault(
            round(rng.uniform(0.0, 0.8 * LENGTH_MS)),
            rng.choice(drawn_kinds),
            rng.random(),
            rng.randrange(1000),
        )
        for _ in range(rng.randint(1, 10))
    ]
    return Script(seed, tuple(sorted(faults)))


def announce(world: World, changed: list[Node], max_delay_ms: float = 60.0) -> None:
    """Sends the changed nodes to all gateways as an update of discovery, to each after a random delay."""
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
    """Starts a fault and schedules its end."""
    names = sorted(world.nodes)
    node = world.nodes[names[fault.which % len(names)]]
    span_ms = 200.0 + 3000.0 * fault.size
    count = len(world.engines)

    def set_at_end(name: str, value: Any) -> None:
        world.schedule(span_ms, setattr, node, name, value)

    match fault.kind:
        case "half die":
            for number in range((count + 1) // 2):
                world.kill_gateway((fault.which + number) % count, span_ms)
        case "rolling":
            for number in range(count):
                world.schedule(600.0 * number, world.kill_gateway, number, 200.0)
        case "hang":
            node.hung = True
            set_at_end("hung", False)
        case "errors":
            node.errors = fault.size
            set_at_end("errors", 0.0)
        case "resets":
            node.resets = fault.size
            set_at_end("resets", 0.0)
        case "slow nodes":
            for each in world.nodes.values():
                each.slow = 1.0 + 8.0 * fault.size
                world.schedule(span_ms, setattr, each, "slow", 1.0)
        case "drain":
            node.state = EndpointState.DRAINING
            announce(world, [node])
            world.schedule(span_ms, return_to_service, world, node)
        case "gone":
            replace_node(world, node)
        case "restart node":
            restart(world, node, 300.0)
        case "flood":
            world.flood(span_ms, 60.0 + 120.0 * fault.size)
        case "burst":
            world.load(span_ms / 2.0, 250.0)
        case "counter killed":
            world.counter_partitions.kill(fault.which % 2)
            world.schedule(span_ms, world.counter_partitions.replace, fault.which % 2)
        case "counter replaced":
            for step in range(1 + fault.which % 20):
                world.schedule(step * span_ms / 20.0, world.counter_partitions.replace)
        case "counter split":
            world.counter_partitions.split([f"g{i}" for i in range(count // 2)], fault.which % 2 == 0)
            world.schedule(span_ms, world.counter_partitions.heal)
        case "counter slow":
            world.counter_partitions.slow(20.0 + 200.0 * fault.size)
            world.schedule(span_ms, world.counter_partitions.slow, 0.0)
        case "cold in a rush":  # nodes restart under a load whose even share overloads cold nodes
            warm_capacity_per_s = 240.0 * len(world.nodes)
            world.load(2500.0, (0.6 + 0.2 * fault.size) * warm_capacity_per_s, ("wide",))
            for number, name in enumerate(names[: 1 + fault.which % 2]):
                world.schedule(300.0 + 10.0 * number, restart, world, world.nodes[name])
        case "clock step":
            world.skew[fault.which % count] += 100.0 * fault.size  # forward only, as clocks are monotonic
        case kind:
            world.start_fault(kind, node, fault.size, span_ms)


def restart(world: World, node: Node, down_ms: float = 100.0) -> None:
    """Ends a node's process, and starts a new one after `down_ms`."""
    node.alive = False
    node.queue.clear()
    world.schedule(down_ms, start_cold, world, node)


def return_to_service(world: World, node: Node) -> None:
    """Returns a drained node to service with a new start time."""
    if node.name in world.nodes and node.state is EndpointState.DRAINING:
        node.state, node.started_ms = EndpointState.ACTIVE, world.now
        announce(world, [node])


def replace_node(world: World, node: Node) -> None:
    """Removes a node and adds one with a new name."""
    if len(world.nodes) < 2 or node.name not in world.nodes:
        return
    del world.nodes[node.name]
    node.state, node.alive = EndpointState.REMOVED, False
    node.queue.clear()
    successor = Node(f"s{next(world.node_serial)}", node.zone, world.now)
    world.nodes[successor.name] = successor
    announce(world, [node])
    announce(world, [successor])


def start_cold(world: World, node: Node) -> None:
    """Starts a node's process again, cold."""
    if node.name in world.nodes:
        node.alive, node.busy, node.hung, node.started_ms = True, 0, False, world.now
        announce(world, [node])


def run_script(
    script: Script,
    make: Callable[[Settings, int], Any] = DecisionEngine,
    watch: Callable[[int, float, Event, list[Action]], None] | None = None,
    make_world: Callable[..., World] = World,
) -> World:
    """Runs a script on a site that `make_world` builds; raises BrokenRule, or what an engine raises."""
    world = make_world(script.seed, 2 + script.seed % 4, 3 + script.seed % 5, make, watch)
    world.load(LENGTH_MS, 90.0)
    for fault in script.faults:
        world.schedule(fault.at_ms, start_fault, world, fault)
    world.run(LENGTH_MS + 4000.0)
    return world


def find_failure(
    script: Script,
    make: Callable[[Settings, int], Any] = DecisionEngine,
    make_world: Callable[..., World] = World,
) -> Failure | None:
    """Runs a script; returns its failure, or None."""
    try:
        run_script(script, make, make_world=make_world)
    except BrokenRule as broken:
        return Failure(script, broken.rule, str(broken))
    except Exception as error:  # the engine raised
        return Failure(script, "exception", repr(error))
    return None


def shrink(failure: Failure, run: Callable[[Script], Failure | None]) -> Failure:
    """Removes faults as long as the same rule is broken; `run` runs a script."""
    best, index, needed_count = failure, 0, 0  # `needed_count`: faults found necessary since the last removal
    while best.script.faults and needed_count < len(best.script.faults):
        index %= len(best.script.faults)
        fewer = best.script.faults[:index] + best.script.faults[index + 1 :]
        new_failure = run(best.script._replace(faults=fewer))
        if new_failure is not None and new_failure.rule == best.rule:
            best, needed_count = new_failure, 0
        else:
            index, needed_count = index + 1, needed_count + 1
    return best


def search(
    seeds: Sequence[int], make: Callable[[Settings, int], Any] = DecisionEngine,
    make_world: Callable[..., World] = World, kinds: Sequence[str] = KINDS,
) -> Failure | None:  # fmt: skip
    """Returns the first failure of the seeds, shrunk, or None."""
    for seed in seeds:
        failure = find_failure(draw_script(seed, kinds), make, make_world)
        if failure is not None:
            return shrink(failure, lambda script: find_failure(script, make, make_world))
    return None


def write_captures(script: Script, folder: Path) -> list[Path]:
    """Writes a run as capture files for ``glenchute replay``, one for each incarnation of a gateway."""
    from glenchute.capture.codec import SegmentHeader, encode_batch, encode_record, engine_digest

    incarnations: list[tuple[Settings, int, list[Any]]] = []
    current: dict[int, int] = {}

    def make(settings: Settings, seed: int) -> Any:
        incarnations.append((settings, seed, []))
        return DecisionEngine(settings, seed)

    def watch(number: int, now: float, event: Event, actions: list[Action]) -> None:
        if isinstance(event, EndpointList) and event.kind is EndpointListKind.CACHED:
            current[number] = len(incarnations) - 1
        incarnations[current[number]][2].append(encode_record(now, event, actions))

    try:
        run_script(script, make, watch)
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
    parser.add_argument(
        "--capture", type=Path, help="folder for the captures of a failing run or the first run"
    )
    args = parser.parse_args()
    began, gateways_s, steps, checks = time.process_time(), 0.0, 0, 0
    for seed in range(args.first, args.first + args.seeds):
        script = draw_script(seed)
        try:
            world = run_script(script)
        except Exception:  # a broken rule or an exception of the engine; `find_failure` returns which
            failure = find_failure(script, DecisionEngine)
            assert failure is not None, "a seed determines a run, so it must fail again"
            failure = shrink(failure, find_failure)
            print(f"seed {seed}: {failure.detail}")
            for fault in failure.script.faults:
                print(f"  {fault}")
            if args.capture:
                print(*write_captures(failure.script, args.capture), sep="\n")
            return 1
        gateways_s += len(world.engines) * (world.now - world.began) / 1000.0
        steps, checks = steps + world.steps, checks + world.checks
    cpu_s = time.process_time() - began
    rates = (
        f"{gateways_s / cpu_s:.0f} gateway-seconds, {steps / cpu_s:.0f} steps, {checks / cpu_s:.0f} checks"
    )
    print(f"{args.seeds} seeds, no rule broken; per second of CPU time: {rates}")
    if args.capture:
        print(*write_captures(draw_script(args.first), args.capture), sep="\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
