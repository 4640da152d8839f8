"""Simulates a site with members: real engines with the real membership, gossip and usage reports.

The members' links lose messages and are cut by the script. The rules are those of the site, checked with
records that no membership component writes. In addition, an account's quota must not be exceeded by more than
the bound for the faults of the run.
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
    """The membership components of one gateway, for one incarnation."""

    def __init__(self, world: MembersWorld, number: int, module: Any, seed: int) -> None:
        rng = random.Random(seed)
        self.world, self.number, self.incarnation = world, number, world.incarnation[number]
        names = [f"g{i}" for i in range(world.settings.gateway_count)]
        now = world.now / 1000.0
        self.members = MemberList(names[number], rng.getrandbits(60), names, SwimSettings(), rng, now)
        self.gossip = Gossip(Replica(), GossipSettings(), rng, now)
        writer = f"{names[number]}#{self.members.boot:x}"
        self.use = AccountUsage(writer)
        ring = GatewayRing(names[number], names, gateway_numbers(dict.fromkeys(names)), len(names))
        self.messenger = DirectMessenger(self.use, self.gossip.replica, ring, self.is_alive, rng, now)
        self.heard_at = -1e9
        health = EndpointHealth(writer, random.Random(seed + 1))
        self.usage_reporter = UsageReporter(
            module,
            world.settings,
            self.use,
            health,
            self.publish,
            self.usage_share,
            lambda: world.now / 1000.0,
        )

    def publish(self, row: Any) -> None:
        if row.kind is RowKind.USE:
            self.messenger.report(self.world.now / 1000.0, row)
            return
        self.gossip.publish(self.world.now / 1000.0, row, len(self.members.members))

    def is_alive(self, name: str) -> bool:
        return self.members.members[name].state is MemberState.ALIVE

    def usage_share(self, spread: int) -> float:
        now = self.world.now / 1000.0
        known = self.messenger.known_gateways(now, spread)
        return known_usage_share(
            self.gossip.is_complete, self.members.local_health, known, spread, now - self.heard_at
        )

    def tick(self) -> None:
        """Sends the due messages; repeats every `TICK_MS` until this incarnation ends."""
        world, now = self.world, self.world.now / 1000.0
        if not world.is_current(self.number, self.incarnation):
            return
        world.schedule(TICK_MS, self.tick)
        if self.number in world.deferred_events:
            return
        for out in self.members.tick(now):
            world.send_message(self, out.to, out.message)
        for sent in self.gossip.tick(now, self.members.alive_names()):
            world.send_message(self, sent.to, sent.message)
        for outgoing in self.messenger.tick(now):
            world.send_message(self, outgoing.to, outgoing.message)
        self.gossip.replica.expire(now)
        self.messenger.expire()
        self.usage_reporter.health.expire(now)

    def receive(self, sender: str, boot: int, body: Any) -> None:
        """Handles a message of another member."""
        world = self.world
        if not world.is_current(self.number, self.incarnation) or self.number in world.deferred_events:
            return
        now = self.heard_at = world.now / 1000.0
        if isinstance(body, SwimMessage):
            for out in self.members.receive(now, sender, boot, body):
                world.send_message(self, out.to, out.message)
            return
        if isinstance(body, UsageMessage | UsageRequest):
            for outgoing in self.messenger.receive(now, sender, boot, body):
                world.send_message(self, outgoing.to, outgoing.message)
            return
        for sent in self.gossip.receive(now, sender, body, len(self.members.members)):
            world.send_message(self, sent.to, sent.message)
        if isinstance(body, Delta):
            for taken in self.gossip.take_received():
                self.usage_reporter.receive(taken)


class Module:
    """A decision engine whose events pass through the member's usage reporter."""

    def __init__(self, peer: Peer, inner: Any) -> None:
        self.peer, self.inner = peer, inner

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        return self.peer.usage_reporter.handle(now_ms, event)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)


class MembersWorld(World):
    """A site with members. `blocked_links` has the blocked pairs of sender and receiver."""

    def __init__(
        self, seed: int, gateways: int = 3, nodes: int = 5,
        make: Callable[[Settings, int], Any] = DecisionEngine,
        watch: Callable[[int, float, Event, list[Action]], None] | None = None,
    ) -> None:  # fmt: skip
        self.peers: dict[int, Peer] = {}
        self.blocked_links: set[tuple[int, int]] = set()
        self.loss = 0.0
        self.network_rng = random.Random(seed + 5)
        self.make_engine = make
        super().__init__(seed, gateways, nodes, make, watch)

    def start_gateway(self, number: int) -> None:
        """Starts a gateway with its membership components."""
        make, self.make = self.make, self.engine_factory(number)
        try:
            super().start_gateway(number)
        finally:
            self.make = make

    def engine_factory(self, number: int) -> Callable[[Settings, int], Any]:
        """Returns a factory of engines with membership components for a gateway."""

        def make(settings: Settings, seed: int) -> Any:
            inner = self.make_engine(settings, seed)
            self.peers[number] = peer = Peer(self, number, inner, seed ^ 0x5EED)
            self.schedule(self.network_rng.uniform(0.0, TICK_MS), peer.tick)
            return Module(peer, inner)

        return make

    def send_message(self, sender: Peer, to: str, body: Any) -> None:
        """Sends a message, unless the link is blocked or loses it."""
        number = int(to[1:])
        if (sender.number, number) in self.blocked_links or self.network_rng.random() < self.loss:
            return
        source = sender.members.name, sender.members.boot
        self.schedule(self.network_rng.uniform(0.5, 5.0), self.deliver_message, number, *source, body)

    def deliver_message(self, number: int, sender: str, boot: int, body: Any) -> None:
        """Delivers a message to the current incarnation of a gateway."""
        if self.alive[number]:
            self.peers[number].receive(sender, boot, body)

    def start_fault(self, kind: str, node: Node, size: float, span_ms: float) -> None:
        """Starts a fault between members."""
        count = len(self.engines)
        if kind == "fleet split":
            cut = max(1, round(size * (count - 1)))
            every = range(count)
            self.block_links({(a, b) for a in every for b in every if (a < cut) != (b < cut)}, span_ms)
        elif kind == "one way":
            self.block_links({(0, b) for b in range(1, count)}, span_ms)
        elif kind == "links lose":
            self.loss = 0.4 * size
            self.schedule(span_ms, setattr, self, "loss", 0.0)
        elif kind == "stopped":
            self.pause_gateway(self.network_rng.randrange(count), span_ms)
        elif kind == "counter gone":
            self.counter_partitions.kill()
            self.schedule(span_ms, self.counter_partitions.replace)
        else:
            super().start_fault(kind, node, size, span_ms)

    def block_links(self, pairs: set[tuple[int, int]], span_ms: float) -> None:
        """Blocks these links for a time; pairs are of sender and receiver."""
        self.blocked_links |= pairs
        self.schedule(span_ms, self.blocked_links.difference_update, pairs)


def overshoot(sent: list[tuple[float, str, str, float]], plan: Plan) -> float:
    """Returns the units by which a plan's only account exceeded its quota, by its first attempts."""
    taken = [(at / 1000.0, units) for at, _, name, units in sent if name == plan.name]
    return checks.passed(taken, plan.rate_per_s, plan.burst_units)


def mute_run(seed: int, gateways: int, rate: float, split: bool, members: bool) -> tuple[float, float]:
    """Runs one account at `rate` requests per second over all gateways while the counter does not answer.

    With `split`, the members' links are cut into halves for the middle third. Returns the overshoot in units
    and the admitted units as a fraction of those that the quota allows.
    """
    world = (MembersWorld if members else World)(seed, gateways, 6)
    world.counter_partitions.kill()
    world.run(8000.0)
    plan = world.settings.plans[0]
    if split and isinstance(world, MembersWorld):
        world.schedule(
            4000.0, world.start_fault, "fleet split", next(iter(world.nodes.values())), 0.5, 4000.0
        )
    world.flood(12_000.0, rate, plan.name)
    world.run(16_000.0)
    served = sum(units for _, _, name, units in world.sent if name == plan.name)
    return overshoot(world.sent, plan), served / (plan.burst_units + 12.0 * plan.rate_per_s)


class Gone(NamedTuple):
    """The result of a run in which listed servers are down for a while."""

    lost: int  # attempts that found a server down
    late: int  # such attempts in the last quarter of the downtime
    back_ms: float  # time until each of them had run a request again


def gone_run(
    seed: int, gateways: int, members: bool, rate: float = 200.0, gone_ms: float = 8000.0,
    back_ms: float = 20_000.0,
) -> Gone:  # fmt: skip
    """Stops a third of twenty servers for a while under a steady load, and measures by the site's records."""
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
