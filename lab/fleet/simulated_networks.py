"""Simulates members and replicas over a network, for fleets too large for real processes.

`SwimNetwork` carries the messages of membership, `GossipNetwork` those of the replicas. Both lose and delay
messages as configured, and drop those for which `cut` returns True, in simulated time.
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


def cut_off(members: Container[str]) -> Callable[[str, str], bool]:
    """Returns a `cut` that drops all messages between these members and all others, in both directions."""
    return lambda sender, to: (sender in members) != (to in members)


class SwimNetwork:
    """Members and the network between them."""

    def __init__(self, count: int, seed: int, loss: float = 0.0, mean_delay_s: float = 0.01) -> None:
        self.rng = random.Random(seed)
        self.names = [f"g{i}" for i in range(count)]
        self.loss, self.mean_delay_s = loss, mean_delay_s
        self.cut: Callable[[str, str], bool] = lambda sender, to: False
        self.now = 0.0
        self.in_flight: list[tuple[float, int, str, str, int, SwimMessage]] = []
        self.send_order = itertools.count()
        self.stopped: set[str] = set()
        self.extra_delay_s: dict[str, float] = {}  # additional delay of a member's messages
        self.members = {name: self.make_member(name) for name in self.names}
        self.max_updates = 0  # in any message
        self.sent_counts = dict.fromkeys(self.names, 0)
        self.declared_dead: list[tuple[float, str, str]] = []  # time, reporting member, dead member

    def make_member(self, name: str) -> MemberList:
        """Returns the state of a new process of a member."""
        boot = self.rng.getrandbits(60)
        return MemberList(name, boot, self.names, SwimSettings(), random.Random(boot), self.now)

    def restart(self, name: str) -> None:
        """Replaces a member by a new process without state."""
        self.members[name] = self.make_member(name)
        self.stopped.discard(name)

    def send(self, sender: str, messages: list[Outgoing[SwimMessage]]) -> None:
        """Puts messages in flight, subject to loss, delay and cuts."""
        boot = self.members[sender].boot
        for outgoing in messages:
            self.sent_counts[sender] += 1
            self.max_updates = max(self.max_updates, len(outgoing.message.updates))
            if self.rng.random() >= self.loss and not self.cut(sender, outgoing.to):
                delay_s = self.mean_delay_s * self.rng.uniform(0.5, 1.5)
                arrival_at = self.now + delay_s + self.extra_delay_s.get(sender, 0.0)
                row = (arrival_at, next(self.send_order), sender, outgoing.to, boot, outgoing.message)
                heapq.heappush(self.in_flight, row)

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        """Runs until the condition holds or `seconds` have passed; returns the time taken."""
        started_at, end = self.now, self.now + seconds
        while self.now < end and not until():
            step = self.now + TICK_S
            while self.in_flight and self.in_flight[0][0] <= step:
                arrival_at, _, sender, to, boot, message = heapq.heappop(self.in_flight)
                self.now = max(self.now, arrival_at)
                if to not in self.stopped:
                    self.send(to, self.members[to].receive(self.now, sender, boot, message))
            self.now = step
            for name, member in self.members.items():
                if name not in self.stopped:
                    self.send(name, member.tick(self.now))
                    for change in member.take_changes():
                        if change.after is MemberState.DEAD:
                            self.declared_dead.append((self.now, name, change.name))
        return self.now - started_at

    def state_of(self, name: str, observer: str) -> MemberState:
        """Returns the state of a member as another one sees it."""
        return self.members[observer].members[name].state

    def all_see(self, name: str, state: MemberState, exceptions: tuple[str, ...] = ()) -> bool:
        """Returns whether all members but the exceptions see a member in a state."""
        others = [other for other in self.names if other != name and other not in exceptions]
        return all(self.state_of(name, observer) is state for observer in others)

    def all_participate(self) -> bool:
        """Returns whether every member sees all others as alive or, where messages are lost, suspect."""
        present_states = (MemberState.ALIVE, MemberState.SUSPECT)
        return all(
            m.state in present_states for member in self.members.values() for m in member.members.values()
        )

    def all_alive(self) -> bool:
        return all(self.all_see(name, MemberState.ALIVE) for name in self.names)


def rows_of(replica: Replica) -> set[Row]:
    """Returns all rows of a replica."""
    return {held.row for held in replica.rows.values()}


class GossipNetwork:
    """Replicas that exchange rows over a network that loses, duplicates and delays messages."""

    def __init__(self, count: int, seed: int, loss: float = 0.0, row_count: int = 0) -> None:
        self.rng, self.loss, self.now = random.Random(seed), loss, 0.0
        self.names = [f"g{i}" for i in range(count)]
        self.is_alive = dict.fromkeys(self.names, True)
        self.gossips = {
            name: Gossip(Replica(), GossipSettings(), random.Random(seed + i))
            for i, name in enumerate(self.names)
        }
        self.in_flight: list[tuple[float, int, str, str, GossipMessage]] = []
        self.send_order = itertools.count()
        self.cut: Callable[[str, str], bool] = lambda sender, to: False
        for number, name in itertools.product(range(row_count), self.names):
            self.gossips[name].replica.merge(0.0, Row(RowKind.HEALTH, f"account{number}/0", "seed#1", 1, 1.0))

    def restart(self, name: str) -> None:
        self.gossips[name] = Gossip(Replica(), self.gossips[name].settings, random.Random(99), self.now)

    def send(self, sender: str, messages: list[Outgoing[GossipMessage]]) -> None:
        """Puts messages in flight, subject to duplication, loss, delay and cuts."""
        for outgoing in messages:
            for _ in range(1 + (self.rng.random() < 0.05)):
                if self.rng.random() >= self.loss and not self.cut(sender, outgoing.to):
                    arrival_at = self.now + self.rng.uniform(0.002, 0.02)
                    heapq.heappush(
                        self.in_flight,
                        (arrival_at, next(self.send_order), sender, outgoing.to, outgoing.message),
                    )

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        """Runs until the condition holds or `seconds` have passed; returns the time taken."""
        started_at, end = self.now, self.now + seconds
        while self.now < end and not until():
            step = self.now + TICK_S / 2.0
            while self.in_flight and self.in_flight[0][0] <= step:
                arrival_at, _, sender, to, body = heapq.heappop(self.in_flight)
                self.now = max(self.now, arrival_at)
                if self.is_alive[to]:
                    self.send(to, self.gossips[to].receive(self.now, sender, body, len(self.names)))
            self.now = step
            for name, gossip in self.gossips.items():
                if self.is_alive[name]:
                    others = [other for other in self.names if other != name and self.is_alive[other]]
                    self.send(name, gossip.tick(self.now, others))
                    gossip.replica.expire(self.now)
        return self.now - started_at

    def are_equal(self) -> bool:
        """Returns whether the replicas of all running processes have the same rows."""
        copies = [rows_of(gossip.replica) for name, gossip in self.gossips.items() if self.is_alive[name]]
        return all(copy == copies[0] for copy in copies)

    def are_complete(self) -> bool:
        """Returns whether all running processes consider their replica complete."""
        return all(gossip.is_complete for name, gossip in self.gossips.items() if self.is_alive[name])

    def publish_rows(self, count: int) -> None:
        """Publishes `count` new rows at each replica."""
        for name in self.names:
            for number in range(count):
                row = Row(RowKind.HEALTH, f"new{number}/1", f"{name}#1", 1, 2.0)
                self.gossips[name].publish(self.now, row, len(self.names))
