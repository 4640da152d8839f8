"""Simulates a site with members: real engines with the real membership, gossip and usage reports.

Faults make the links between members lose messages, or cut them. The rules are those of `World`, checked with
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
MEMBER_FAULTS = ("fleet split", "one way", "links lose", "stopped", "counter gone")
MEMBER_KINDS = (*KINDS, *MEMBER_FAULTS)


class GatewayMember:
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
        self.last_message_s = -1e9
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
        """Sends a row to the members: usage by direct messages, other rows by gossip."""
        if row.kind is RowKind.USE:
            self.messenger.report(self.world.now / 1000.0, row)
            return
        self.gossip.publish(self.world.now / 1000.0, row, len(self.members.members))

    def is_alive(self, name: str) -> bool:
        return self.members.members[name].state is MemberState.ALIVE

    def usage_share(self, spread: int) -> float:
        """Returns the fraction of an account's `spread` gateways, with this one, whose usage is known."""
        now = self.world.now / 1000.0
        known = self.messenger.known_gateways(now, spread)
        return known_usage_share(
            self.gossip.is_complete, self.members.local_health, known, spread, now - self.last_message_s
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
        now = self.last_message_s = world.now / 1000.0
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
            for row in self.gossip.take_received():
                self.usage_reporter.receive(row)


class MemberEngine:
    """A decision engine whose events pass through the member's usage reporter."""

    def __init__(self, member: GatewayMember, inner: Any) -> None:
        self.member, self.inner = member, inner

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        return self.member.usage_reporter.handle(now_ms, event)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)


class MembersWorld(World):
    """A site with members.

    `blocked_links` has the blocked pairs of sender and receiver, `loss` the fraction of the messages that the
    other links lose.
    """

    def __init__(
        self, seed: int, gateways: int = 3, nodes: int = 5,
        make: Callable[[Settings, int], Any] = DecisionEngine,
        watch: Callable[[int, float, Event, list[Action]], None] | None = None,
    ) -> None:  # fmt: skip
        self.members: dict[int, GatewayMember] = {}
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
            self.members[number] = member = GatewayMember(self, number, inner, seed ^ 0x5EED)
            self.schedule(self.network_rng.uniform(0.0, TICK_MS), member.tick)
            return MemberEngine(member, inner)

        return make

    def send_message(self, sender: GatewayMember, to: str, body: Any) -> None:
        """Sends a message, unless the link is blocked or loses it."""
        number = int(to[1:])
        if (sender.number, number) in self.blocked_links or self.network_rng.random() < self.loss:
            return
        source = sender.members.name, sender.members.boot
        self.schedule(self.network_rng.uniform(0.5, 5.0), self.deliver_message, number, *source, body)

    def deliver_message(self, number: int, sender: str, boot: int, body: Any) -> None:
        """Delivers a message to the current incarnation of a gateway."""
        if self.alive[number]:
            self.members[number].receive(sender, boot, body)

    def start_fault(self, kind: str, node: Node, size: float, span_ms: float) -> None:
        """Starts a fault between members."""
        count = len(self.engines)
        if kind == "fleet split":
            size_of_first = max(1, round(size * (count - 1)))
            pairs = {(a, b) for a in range(count) for b in range(count)}
            cut = {(a, b) for a, b in pairs if (a < size_of_first) != (b < size_of_first)}
            self.block_links(cut, span_ms)
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
    """Returns the units by which a plan's only account exceeded its quota.

    `sent` has time, customer, plan and units of each first attempt, as in `World.sent`.
    """
    admitted = [(at / 1000.0, units) for at, _, name, units in sent if name == plan.name]
    return checks.bucket_overshoot(admitted, plan.rate_per_s, plan.burst_units)


def run_without_counter(
    seed: int, gateways: int, rate: float, split: bool, members: bool
) -> tuple[float, float]:
    """Runs one account at `rate` requests per second over all gateways while the counter does not answer.

    With `split`, the links between two halves of the members are cut for the middle third. Returns the
    overshoot in units and the admitted units as a fraction of those that the quota allows.
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
    admitted = sum(units for _, _, name, units in world.sent if name == plan.name)
    return overshoot(world.sent, plan), admitted / (plan.burst_units + 12.0 * plan.rate_per_s)


class DowntimeResult(NamedTuple):
    """The result of a run in which servers that discovery lists are down for a while."""

    unreachable_count: int  # attempts that found a server down
    late_unreachable_count: int  # such attempts in the last quarter of the downtime
    recovery_ms: float  # time until each of the servers runs a request again, or the limit on this time


def run_downtime(
    seed: int, gateways: int, members: bool, rate: float = 200.0, down_ms: float = 8000.0,
    max_recovery_ms: float = 20_000.0,
) -> DowntimeResult:  # fmt: skip
    """Stops 7 of 20 servers for `down_ms` under a steady load, and waits until they are used again.

    The result follows from the site's records, not from the gateways.
    """
    world = (MembersWorld if members else World)(seed, gateways, 20)
    world.run(3000.0)
    world.load(down_ms + max_recovery_ms + 5000.0, rate, ("wide",))
    world.run(4000.0)
    stopped = list(world.nodes.values())[:7]
    for node in stopped:
        node.alive = False
    world.unreachable_attempts.clear()
    began = world.now
    world.run(down_ms)
    unreachable_at = [at for at, _ in world.unreachable_attempts]
    for node in stopped:
        node.alive, node.busy, node.queue = True, 0, []
    restarted = world.now
    unused = {node.name for node in stopped}
    while unused and world.now < restarted + max_recovery_ms:
        world.run(10.0)
        unused -= {node.name for node in stopped if node.busy}
    late_count = sum(at >= began + 0.75 * down_ms for at in unreachable_at)
    return DowntimeResult(len(unreachable_at), late_count, world.now - restarted)
