"""The simulated site with members: each gateway's real module behind the real deciders of the fleet, which
talk over links that the script cuts and that lose. The rules are the site's, by books that no decider feeds;
beside them an account's quota must not be passed by more than the bound stated for the run's troubles.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, NamedTuple

from glenchute.clients.membership.usage_reports import UsageReporter
from glenchute.policy.actions import Action
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import Event
from glenchute.policy.membership.direct_messages import DirectMessenger, UsageMessage, UsageRequest
from glenchute.policy.membership.endpoint_health import EndpointHealth
from glenchute.policy.membership.gateway_ring import GatewayRing, gateway_numbers
from glenchute.policy.membership.gossip import Delta, Gossip, GossipSettings
from glenchute.policy.membership.members import MemberList, MemberState, SwimMessage, SwimSettings
from glenchute.policy.membership.replica import Replica, RowKind
from glenchute.policy.membership.usage import AccountUsage, known_usage_share
from glenchute.policy.settings import Plan, Settings
from lab.fleet import checks
from lab.sim.swarm import KINDS
from lab.sim.world import Node, World

TICK_MS = 50.0
SPLITS = ("fleet split", "one way", "links lose", "stopped", "counter gone")
OF_MEMBERS = (*KINDS, *SPLITS)


class Peer:
    """One gateway's part among the members, for one life."""

    def __init__(self, world: MembersWorld, number: int, module: Any, seed: int) -> None:
        rng = random.Random(seed)
        self.world, self.number, self.life = world, number, world.incarnation[number]
        names = [f"g{i}" for i in range(world.settings.gateway_count)]
        now = world.now / 1000.0
        self.members = MemberList(names[number], rng.getrandbits(60), names, SwimSettings(), rng, now)
        self.gossip = Gossip(Replica(), GossipSettings(), rng, now)
        writer = f"{names[number]}#{self.members.boot:x}"
        self.use = AccountUsage(writer)
        ring = GatewayRing(names[number], names, gateway_numbers(dict.fromkeys(names)), len(names))
        self.post = DirectMessenger(self.use, self.gossip.replica, ring, self.takes_part, rng, now)
        self.heard_at = -1e9
        health = EndpointHealth(writer, random.Random(seed + 1))
        self.telling = UsageReporter(
            module, world.settings, self.use, health, self.told, self.share, lambda: world.now / 1000.0
        )

    def told(self, row: Any) -> None:
        if row.kind is RowKind.USE:
            self.post.report(self.world.now / 1000.0, row)
            return
        self.gossip.publish(self.world.now / 1000.0, row, len(self.members.members))

    def takes_part(self, name: str) -> bool:
        return self.members.members[name].state is MemberState.ALIVE

    def share(self, spread: int) -> float:
        now = self.world.now / 1000.0
        known = self.post.known_gateways(now, spread)
        return known_usage_share(
            self.gossip.is_complete, self.members.local_health, known, spread, now - self.heard_at
        )

    def tick(self) -> None:
        """What is due, again and again as long as this life goes on."""
        world, now = self.world, self.world.now / 1000.0
        if not world.is_current(self.number, self.life):
            return
        world.at(TICK_MS, self.tick)
        if self.number in world.deferred_events:
            return
        for out in self.members.tick(now):
            world.carry(self, out.to, out.message)
        for sent in self.gossip.tick(now, self.members.alive_names()):
            world.carry(self, sent.to, sent.message)
        for letter in self.post.tick(now):
            world.carry(self, letter.to, letter.message)
        self.gossip.replica.expire(now)
        self.post.expire()
        self.telling.health.expire(now)

    def take(self, sender: str, boot: int, body: Any) -> None:
        """A message of another."""
        world = self.world
        if not world.is_current(self.number, self.life) or self.number in world.deferred_events:
            return
        now = self.heard_at = world.now / 1000.0
        if isinstance(body, SwimMessage):
            for out in self.members.receive(now, sender, boot, body):
                world.carry(self, out.to, out.message)
            return
        if isinstance(body, UsageMessage | UsageRequest):
            for letter in self.post.receive(now, sender, boot, body):
                world.carry(self, letter.to, letter.message)
            return
        for sent in self.gossip.receive(now, sender, body, len(self.members.members)):
            world.carry(self, sent.to, sent.message)
        if isinstance(body, Delta):
            for taken in self.gossip.take_received():
                self.telling.receive(taken)


class Module:
    """What the site takes for a module: the real one, behind what members tell it."""

    def __init__(self, peer: Peer, inner: Any) -> None:
        self.peer, self.inner = peer, inner

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        return self.peer.telling.handle(now_ms, event)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)


class MembersWorld(World):
    """The site; `links` tells whether a message from one gateway reaches another."""

    def __init__(
        self, seed: int, gateways: int = 3, nodes: int = 5,
        make: Callable[[Settings, int], Any] = DecisionEngine,
        watch: Callable[[int, float, Event, list[Action]], None] | None = None,
    ) -> None:  # fmt: skip
        self.peers: dict[int, Peer] = {}
        self.blocked: set[tuple[int, int]] = set()
        self.lose = 0.0
        self.net = random.Random(seed + 5)
        self.inner = make
        super().__init__(seed, gateways, nodes, make, watch)

    def start(self, number: int) -> None:
        """A gateway starts, and its part among the members."""
        sound, self.make = self.make, self.made(number)
        try:
            super().start(number)
        finally:
            self.make = sound

    def made(self, number: int) -> Callable[[Settings, int], Any]:
        """Makes a module behind its members' words."""

        def make(settings: Settings, seed: int) -> Any:
            inner = self.inner(settings, seed)
            self.peers[number] = peer = Peer(self, number, inner, seed ^ 0x5EED)
            self.at(self.net.uniform(0.0, TICK_MS), peer.tick)
            return Module(peer, inner)

        return make

    def carry(self, sender: Peer, to: str, body: Any) -> None:
        """A message on its way."""
        number = int(to[1:])
        if (sender.number, number) in self.blocked or self.net.random() < self.lose:
            return
        source = sender.members.name, sender.members.boot
        self.at(self.net.uniform(0.5, 5.0), self.arrives, number, *source, body)

    def arrives(self, number: int, sender: str, boot: int, body: Any) -> None:
        """It comes to whoever lives under that name by now."""
        if self.alive[number]:
            self.peers[number].take(sender, boot, body)

    def start_fault(self, kind: str, node: Node, size: float, span_ms: float) -> None:
        """Faults between members."""
        count = len(self.modules)
        if kind == "fleet split":
            cut = max(1, round(size * (count - 1)))
            every = range(count)
            self.block({(a, b) for a in every for b in every if (a < cut) != (b < cut)}, span_ms)
        elif kind == "one way":
            self.block({(0, b) for b in range(1, count)}, span_ms)
        elif kind == "links lose":
            self.lose = 0.4 * size
            self.at(span_ms, setattr, self, "lose", 0.0)
        elif kind == "stopped":
            self.stop(self.net.randrange(count), span_ms)
        elif kind == "counter gone":
            self.parts.kill()
            self.at(span_ms, self.parts.replace)
        else:
            super().start_fault(kind, node, size, span_ms)

    def block(self, pairs: set[tuple[int, int]], span_ms: float) -> None:
        """These ways carry nothing for a while."""
        self.blocked |= pairs
        self.at(span_ms, self.blocked.difference_update, pairs)


def overshoot(sent: list[tuple[float, str, str, float]], plan: Plan) -> float:
    """Units by which the store of a plan's only account went below nothing, by what was sent on first."""
    taken = [(at / 1000.0, units) for at, _, name, units in sent if name == plan.name]
    return checks.passed(taken, plan.rate_per_s, plan.burst_units)


def mute_run(seed: int, gateways: int, rate: float, split: bool, members: bool) -> tuple[float, float]:
    """A counter that is mute and one account that is asked for `rate` a second over all gateways, whose links
    are cut into halves for the middle third if `split`: the overshoot, and the share served of what the quota
    allows."""
    world = (MembersWorld if members else World)(seed, gateways, 6)
    world.parts.kill()
    world.run(8000.0)
    plan = world.settings.plans[0]
    if split and isinstance(world, MembersWorld):
        world.at(4000.0, world.start_fault, "fleet split", next(iter(world.nodes.values())), 0.5, 4000.0)
    world.flood(12_000.0, rate, plan.name)
    world.run(16_000.0)
    served = sum(units for _, _, name, units in world.sent if name == plan.name)
    return overshoot(world.sent, plan), served / (plan.burst_units + 12.0 * plan.rate_per_s)


class Gone(NamedTuple):
    """Servers that went while the list still had them, and came back."""

    lost: int  # attempts that found nobody there, while they were gone
    late: int  # ... in the last quarter of that time
    back_ms: float  # until each of them had run a request again


def gone_run(
    seed: int, gateways: int, members: bool, rate: float = 200.0, gone_ms: float = 8000.0,
    back_ms: float = 20_000.0,
) -> Gone:  # fmt: skip
    """A third of twenty servers is gone for a while under a steady load; by the site's books."""
    world = (MembersWorld if members else World)(seed, gateways, 20)
    world.run(3000.0)
    world.load(gone_ms + back_ms + 5000.0, rate, ("wide",))
    world.run(4000.0)
    some = list(world.nodes.values())[:7]
    for node in some:
        node.alive = False
    world.unreachable_attempts.clear()
    began = world.now
    world.run(gone_ms)
    lost = [at for at, _ in world.unreachable_attempts]
    for node in some:
        node.alive, node.busy, node.queue = True, 0, []
    back = world.now
    waiting = {node.name for node in some}
    while waiting and world.now < back + back_ms:
        world.run(10.0)
        waiting -= {node.name for node in some if node.busy}
    return Gone(len(lost), sum(at >= began + 0.75 * gone_ms for at in lost), world.now - back)
