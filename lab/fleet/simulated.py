"""Simulates members and replicas over a network, for fleets too large for real processes.

`SwimNetwork` carries the messages of membership, `GossipNetwork` those of the replicas. Both lose, delay and
cut messages as configured, in simulated time.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Container

from glenchute.policy.membership.gossip import Gossip, GossipMessage, GossipSettings
from glenchute.policy.membership.members import MemberList, MemberState, SwimMessage, SwimSettings
from glenchute.policy.membership.outgoing import Outgoing
from glenchute.policy.membership.replica import Replica, Row, RowKind

TICK_S = 0.05


def cut_off(some: Container[str]) -> Callable[[str, str], bool]:
    """Returns a cut between these members and all others, in both directions."""
    return lambda sender, to: (sender in some) != (to in some)


class SwimNetwork:
    """Members and the network between them."""

    def __init__(self, count: int, seed: int, lose: float = 0.0, delay: float = 0.01) -> None:
        self.rng = random.Random(seed)
        self.names = [f"g{i}" for i in range(count)]
        self.loss, self.delay = lose, delay
        self.cut: Callable[[str, str], bool] = lambda sender, to: False
        self.now = 0.0
        self.in_flight: list[tuple[float, int, str, str, int, SwimMessage]] = []
        self.order = itertools.count()
        self.stopped: set[str] = set()
        self.lag: dict[str, float] = {}  # additional delay of a member's messages in s
        self.nodes = {name: self.make_member(name) for name in self.names}
        self.longest = 0  # most updates in a message
        self.sent = dict.fromkeys(self.names, 0)
        self.declared_dead: list[tuple[float, str, str]] = []  # time, reporting member, dead member

    def make_member(self, name: str) -> MemberList:
        boot = self.rng.getrandbits(60)
        return MemberList(name, boot, self.names, SwimSettings(), random.Random(boot), self.now)

    def restart(self, name: str) -> None:
        """Replaces a member by a new process without state."""
        self.nodes[name] = self.make_member(name)
        self.stopped.discard(name)

    def post(self, sender: str, outs: list[Outgoing[SwimMessage]]) -> None:
        boot = self.nodes[sender].boot
        for out in outs:
            self.sent[sender] += 1
            self.longest = max(self.longest, len(out.message.updates))
            if self.rng.random() >= self.loss and not self.cut(sender, out.to):
                at = self.now + self.delay * self.rng.uniform(0.5, 1.5) + self.lag.get(sender, 0.0)
                heapq.heappush(self.in_flight, (at, next(self.order), sender, out.to, boot, out.message))

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        """Runs until the condition holds or `seconds` have passed; returns the time taken."""
        began, end = self.now, self.now + seconds
        while self.now < end and not until():
            step = self.now + TICK_S
            while self.in_flight and self.in_flight[0][0] <= step:
                when, _, sender, to, boot, message = heapq.heappop(self.in_flight)
                self.now = max(self.now, when)
                if to not in self.stopped:
                    self.post(to, self.nodes[to].receive(self.now, sender, boot, message))
            self.now = step
            for name, node in self.nodes.items():
                if name not in self.stopped:
                    self.post(name, node.tick(self.now))
                    for change in node.take_changes():
                        if change.after is MemberState.DEAD:
                            self.declared_dead.append((self.now, name, change.name))
        return self.now - began

    def state_of(self, name: str, by: str) -> MemberState:
        return self.nodes[by].members[name].state

    def all_see(self, name: str, state: MemberState, but: tuple[str, ...] = ()) -> bool:
        others = [other for other in self.names if other != name and other not in but]
        return all(self.state_of(name, by) is state for by in others)

    def all_participate(self) -> bool:
        """Returns whether every member sees all others as alive or, where messages are lost, suspect."""
        here = (MemberState.ALIVE, MemberState.SUSPECT)
        return all(m.state in here for node in self.nodes.values() for m in node.members.values())

    def all_alive(self) -> bool:
        return all(self.all_see(name, MemberState.ALIVE) for name in self.names)


def rows_of(replica: Replica) -> set[Row]:
    """Returns all rows of a replica."""
    return {held.row for held in replica.rows.values()}


class GossipNetwork:
    """Replicas that exchange rows over a network that loses, duplicates and delays messages."""

    def __init__(self, count: int, seed: int, lose: float = 0.0, rows: int = 0) -> None:
        self.rng, self.loss, self.now = random.Random(seed), lose, 0.0
        self.names = [f"g{i}" for i in range(count)]
        self.alive = dict.fromkeys(self.names, True)
        self.nodes = {
            name: Gossip(Replica(), GossipSettings(), random.Random(seed + i))
            for i, name in enumerate(self.names)
        }
        self.in_flight: list[tuple[float, int, str, str, GossipMessage]] = []
        self.order = itertools.count()
        self.cut: Callable[[str, str], bool] = lambda sender, to: False
        for number, name in itertools.product(range(rows), self.names):
            self.nodes[name].replica.merge(0.0, Row(RowKind.HEALTH, f"account{number}/0", "seed#1", 1, 1.0))

    def restart(self, name: str) -> None:
        self.nodes[name] = Gossip(Replica(), self.nodes[name].settings, random.Random(99), self.now)

    def post(self, sender: str, messages: list[Outgoing[GossipMessage]]) -> None:
        for sent in messages:
            for _ in range(1 + (self.rng.random() < 0.05)):
                if self.rng.random() >= self.loss and not self.cut(sender, sent.to):
                    at = self.now + self.rng.uniform(0.002, 0.02)
                    heapq.heappush(self.in_flight, (at, next(self.order), sender, sent.to, sent.message))

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        began, end = self.now, self.now + seconds
        while self.now < end and not until():
            step = self.now + TICK_S / 2.0
            while self.in_flight and self.in_flight[0][0] <= step:
                when, _, sender, to, body = heapq.heappop(self.in_flight)
                self.now = max(self.now, when)
                if self.alive[to]:
                    self.post(to, self.nodes[to].receive(self.now, sender, body, len(self.names)))
            self.now = step
            for name, node in self.nodes.items():
                if self.alive[name]:
                    others = [other for other in self.names if other != name and self.alive[other]]
                    self.post(name, node.tick(self.now, others))
                    node.replica.expire(self.now)
        return self.now - began

    def are_equal(self) -> bool:
        copies = [rows_of(node.replica) for name, node in self.nodes.items() if self.alive[name]]
        return all(copy == copies[0] for copy in copies)

    def are_complete(self) -> bool:
        return all(node.is_complete for name, node in self.nodes.items() if self.alive[name])

    def writes(self, count: int) -> None:
        """Publishes `count` new rows at each replica."""
        for name in self.names:
            for number in range(count):
                row = Row(RowKind.HEALTH, f"new{number}/1", f"{name}#1", 1, 2.0)
                self.nodes[name].publish(self.now, row, len(self.names))
