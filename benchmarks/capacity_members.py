"""Probes of `benchmarks.capacity`: members, the copies that they exchange, leases."""

from __future__ import annotations

import functools
import random
from collections import Counter as Tally
from typing import NamedTuple

from glenchute.deciders.fleet.gossip import Gossip, Pace, Rows
from glenchute.deciders.fleet.members import Members, Out, Rules, State
from glenchute.deciders.fleet.replica import Kind, Replica, Row
from glenchute.peers.fleet.wire import decode, encode
from lab.fleet.holders import Swarm
from lab.fleet.simulated import Net

from .capacity_gateway import GATEWAYS
from .slopes import cpu_ms, kib


class Watched(Net):
    """A network that books what each member sends, in bytes as they are on the wire."""

    def __init__(self, count: int, seed: int) -> None:
        self.bytes: Tally[tuple[str, int]] = Tally()  # by sender and second
        super().__init__(count, seed)
        for node in self.nodes.values():  # all have met long ago
            node.news.clear()
            for member in node.members.values():
                member.state, member.incarnation, member.boot = State.ALIVE, 0, self.nodes[member.name].boot

    def post(self, sender: str, outs: list[Out]) -> None:
        for out in outs:
            self.bytes[sender, int(self.now)] += len(encode("site", sender, 1 << 60, out.message))
        super().post(sender, outs)


class Talk(NamedTuple):
    """What a member spends: percent of a core (with the simulation's own part), messages and bytes a second,
    bytes in the worst second of any one."""

    cpu_percent: float
    messages: float
    mean: float
    worst: float


@functools.cache
def talk(count: int, seed: int, gone: bool) -> Talk:
    """Eight seconds of a fleet; where told, a seventh of it stops dead in the first."""
    net = Watched(count, seed)
    if gone:
        net.stopped = set(net.names[: count // 7])
    there = [name for name in net.names if name not in net.stopped]
    spent = cpu_ms(lambda: net.run(8.0)) / 1e3
    per = 8.0 * len(there)
    sent = sum(net.sent[name] for name in there)
    total = sum(size for (name, _), size in net.bytes.items() if name in there)
    worst = max(size for (name, _), size in net.bytes.items() if name in there)
    return Talk(100.0 * spent / per, sent / per, total / per, worst)


@functools.cache
def copying(rows_s: int, seed: int) -> tuple[float, float]:
    """One copy that hears so many rows of use a second, from 40 members: percent of a core, KiB a second that
    it sends (as it books them)."""
    rng, replica = random.Random(seed), Replica()
    gossip = Gossip(replica, Pace(), random.Random(seed))
    gossip.known, names = True, [f"g{n}" for n in range(40)]
    steps: list[list[bytes]] = []
    number = 0
    for step in range(1, 201):
        batch = []
        while number < rows_s * step * 0.05:
            row = Row(Kind.USE, f"{rng.getrandbits(64):016x}/{number}", f"g{number % GATEWAYS}#1", 1, 1.0)
            batch.append((row, 10))
            number += 1
        parts = [Rows(tuple(batch[i : i + 16])) for i in range(0, len(batch), 16)]
        steps.append([encode("site", "g1", 1, part) for part in parts])

    def run() -> None:
        for step, datagrams in enumerate(steps, 1):
            at = 0.05 * step
            for data in datagrams:
                gossip.heard(at, "g1", decode("site", data)[2], 40)  # type: ignore[arg-type]
            gossip.taken()
            for sent in gossip.tick(at, names):
                encode("site", "g0", 1, sent.body)
            replica.expire(at)

    spent = cpu_ms(run)
    return spent / 100.0, gossip.sent_bytes / 10.0 / 1024.0


def replica_kib(rows: int, seed: int) -> float:
    """What so many rows of use take, each held for 20 s."""
    def keep() -> Replica:
        replica, rng = Replica(), random.Random(seed)
        for n in range(rows):
            replica.put(0.0, Row(Kind.USE, f"{rng.getrandbits(64):016x}/{n}", f"g{n % GATEWAYS}#1", 1, 1.0))
        return replica

    return kib(keep)


def members_kib(count: int, seed: int) -> float:
    names = [f"gateway-{n:03d}" for n in range(count)]
    return kib(lambda: Members(names[0], 1, list(map(str, names)), Rules(), random.Random(seed)))


@functools.cache
def lease_messages(members: int, tasks: int, seed: int) -> float:
    """Messages a second of all together, five voters, nothing wrong."""
    swarm = Swarm(members, seed, tasks=tasks)
    swarm.run(5.0)
    before = swarm.sent
    swarm.run(10.0)
    return (swarm.sent - before) / 10.0
