"""Probes of `benchmarks.capacity`: members' gossip, usage updates, replicas and leases."""

from __future__ import annotations

import functools
import math
import random
from collections import Counter as Tally
from typing import NamedTuple

from benchmarks.capacity_gateway import GATEWAYS
from benchmarks.slopes import cpu_ms, kib
from glenchute.policy.admission.windows import window_start_ms
from glenchute.policy.membership.direct_messages import DirectMessenger
from glenchute.policy.membership.gateway_ring import GatewayRing, gateway_numbers
from glenchute.policy.membership.members import MemberList, MemberState, SwimMessage, SwimSettings
from glenchute.policy.membership.outgoing import Outgoing
from glenchute.policy.membership.replica import Replica, Row, RowKind
from glenchute.policy.membership.usage import AccountUsage
from glenchute.policy.settings import Plan
from glenchute.protocol.member_datagrams import decode, encode
from lab.fleet.lease_cluster import LeaseCluster
from lab.fleet.simulated_networks import SwimNetwork


class ByteCountingNetwork(SwimNetwork):
    """Simulated network that counts the encoded bytes that each member sends."""

    def __init__(self, count: int, seed: int) -> None:
        self.bytes: Tally[tuple[str, int]] = Tally()  # keyed by sender and second
        super().__init__(count, seed)
        for node in self.members.values():
            # Starts from a converged fleet: all members know each other and have no updates left to pass on.
            node.piggyback_counts.clear()
            for member in node.members.values():
                member.state, member.incarnation, member.boot = (
                    MemberState.ALIVE,
                    0,
                    self.members[member.name].boot,
                )

    def send(self, sender: str, outs: list[Outgoing[SwimMessage]]) -> None:
        for out in outs:
            self.bytes[sender, int(self.now)] += len(encode("site", sender, 1 << 60, out.message))
        super().send(sender, outs)


class GossipCost(NamedTuple):
    """Costs of a member: percent of a core (with the simulation's own part), messages and bytes per second,
    and the bytes in the busiest second of any member."""

    cpu_percent: float
    messages: float
    mean: float
    worst: float


@functools.cache
def gossip_cost(count: int, seed: int, gone: bool) -> GossipCost:
    """Measures eight seconds of a fleet; with `gone`, a seventh of it is stopped from the start."""
    net = ByteCountingNetwork(count, seed)
    if gone:
        net.stopped = set(net.names[: count // 7])
    running = [name for name in net.names if name not in net.stopped]
    spent = cpu_ms(lambda: net.run(8.0)) / 1e3
    per = 8.0 * len(running)
    sent = sum(net.sent_counts[name] for name in running)
    total = sum(size for (name, _), size in net.bytes.items() if name in running)
    worst = max(size for (name, _), size in net.bytes.items() if name in running)
    return GossipCost(100.0 * spent / per, sent / per, total / per, worst)


class Tenant(NamedTuple):
    """Tenant whose gateways include some of the block that is simulated."""

    name: str
    share: float  # fraction of the fleet's requests
    first: int
    spread: int
    plan: Plan


# Gateways that are simulated: the measured one, the four that may share a set of three gateways with it, and
# the four that may share one with those.
BLOCK = 9
CENTRE = BLOCK // 2  # number of the measured gateway
TENANTS, PEAK = 41_000, 85_000


def tenants(seed: int, wide: bool) -> list[Tenant]:
    """Returns the tenants that use gateways of the block, by Zipf's law with exponent 1. A tenant uses three
    gateways; with `wide`, as many as keep its share of a gateway's requests at a quarter or less. Plans have
    4 units a second and 12 at once; with `wide`, at least a quarter more than the tenant's peak demand."""
    rng, zipf_total, found = random.Random(seed), sum(1.0 / n for n in range(1, TENANTS + 1)), []
    for number in range(1, TENANTS + 1):
        share = 1.0 / number / zipf_total
        spread = max(3, min(GATEWAYS, math.ceil(share * GATEWAYS / 0.25))) if wide else 3
        first = rng.randrange(GATEWAYS)
        if any((gateway - first) % GATEWAYS < spread for gateway in range(BLOCK)):
            plan = max(4.0, 1.25 * share * PEAK) if wide else 4.0
            found.append(
                Tenant(
                    f"{4096 + number:016x}",
                    share,
                    first,
                    spread,
                    Plan("p", rate_per_s=plan, burst_units=3.0 * plan),
                )
            )
    return found


class BlockTraffic(NamedTuple):
    """Traffic by steps of 50 ms: requests admitted (gateway, tenant), datagrams to the measured gateway."""

    let_in: list[list[tuple[int, Tenant]]]
    heard: list[list[bytes]]


def messenger_for(number: int, seed: int) -> DirectMessenger:
    """Returns the messenger of a gateway in a fleet where every other gateway is reachable."""
    names = [f"g{n}" for n in range(GATEWAYS)]
    ring = GatewayRing(names[number], names, gateway_numbers(dict.fromkeys(names)), GATEWAYS)
    use = AccountUsage(f"{names[number]}#1")
    return DirectMessenger(use, Replica(), ring, lambda name: True, random.Random(seed * 100 + number))


def admit_requests(post: DirectMessenger, number: int, at: float, rows: list[tuple[int, Tenant]]) -> None:
    """Performs the look-ups and reports of usage for a gateway's requests of one step."""
    for gateway, tenant in rows:
        if gateway == number:
            window = window_start_ms(1000.0 * at, tenant.name, tenant.plan)
            post.usage.admitted_by_peers(tenant.name, window)
            post.known_gateways(at, tenant.spread)
            post.report(at, post.usage.add_admitted(tenant.name, window, 1.0, tenant.spread, tenant.plan))


@functools.cache
def play_block(requests_s: int, seed: int, wide: bool) -> BlockTraffic:
    """Simulates the block for 20 s, of which the first ten are warm-up; a token bucket admits each account's
    requests."""
    rng, known = random.Random(seed), tenants(seed, wide)
    messengers = {number: messenger_for(number, seed) for number in range(BLOCK)}
    stores = {tenant.name: (0.0, tenant.plan.burst_units) for tenant in known}
    # A tenant is drawn by the part of its requests that arrives at gateways of the block.
    inside = [sum((g - t.first) % GATEWAYS < t.spread for g in range(BLOCK)) for t in known]
    weights = [t.share / t.spread * n for t, n in zip(known, inside, strict=True)]
    rate = requests_s * GATEWAYS * sum(weights)
    let_in, heard, asked = [], [], 0.0
    for step in range(1, 401):
        at, rows, to_centre = 0.05 * step, [], []
        asked += rate * 0.05
        for tenant in rng.choices(known, weights, k=int(asked)):
            # The tenant's gateways outside the block use their part of the quota.
            number = sum((g - tenant.first) % GATEWAYS < tenant.spread for g in range(BLOCK))
            fill = tenant.plan.rate_per_s * number / tenant.spread
            since, store = stores[tenant.name]
            store = min(tenant.plan.burst_units, store + fill * (at - since))
            stores[tenant.name] = at, store - (store >= 1.0)
            if store >= 1.0:
                ours = [g for g in range(BLOCK) if (g - tenant.first) % GATEWAYS < tenant.spread]
                rows.append((rng.choice(ours), tenant))
        asked -= int(asked)
        for number, post in messengers.items():
            admit_requests(post, number, at, rows)
            for outgoing in post.tick(at):
                other = int(outgoing.to[1:])
                if other in messengers:
                    data = encode("site", f"g{number}", 1, outgoing.message)
                    if other == CENTRE:
                        to_centre.append(data)
                    else:
                        for answer in messengers[other].receive(at, f"g{number}", 1, outgoing.message):
                            if answer.to == f"g{CENTRE}":
                                to_centre.append(encode("site", f"g{other}", 1, answer.message))
                            elif int(answer.to[1:]) in messengers:
                                messengers[int(answer.to[1:])].receive(at, f"g{other}", 1, answer.message)
            post.replica.expire(at)
            post.expire()
        let_in.append(rows)
        heard.append(to_centre)
        deliver(messengers, at, to_centre)
    return BlockTraffic(let_in, heard)


def deliver(messengers: dict[int, DirectMessenger], at: float, datagrams: list[bytes]) -> None:
    """Delivers datagrams to the measured gateway and its answers to the block."""
    for data in datagrams:
        sender, boot, body = decode("site", data)
        for answer in messengers[CENTRE].receive(at, sender, boot, body):  # type: ignore[arg-type]
            if int(answer.to[1:]) in messengers:
                messengers[int(answer.to[1:])].receive(at, f"g{CENTRE}", 1, answer.message)


@functools.cache
def usage_update_cost(requests_s: int, seed: int, wide: bool = False) -> tuple[float, float, float]:
    """Measures one gateway of 520 that admits `requests_s` requests a second: percent of a core, KiB a second
    of encoded datagrams sent, usage updates a second."""
    block, post = play_block(requests_s, seed, wide), messenger_for(CENTRE, seed)
    sent: Tally[str] = Tally()

    def run(first: int, last: int) -> None:
        for step in range(first, last):
            at = 0.05 * (step + 1)
            admit_requests(post, CENTRE, at, block.let_in[step])
            out = post.tick(at)
            for data in block.heard[step]:
                sender, boot, body = decode("site", data)
                out += post.receive(at, sender, boot, body)  # type: ignore[arg-type]
            for outgoing in out:
                sent["bytes"] += len(encode("site", f"g{CENTRE}", 1, outgoing.message))
            post.replica.expire(at)
            post.expire()

    run(0, 200)
    sent.clear()
    before = post.entries_sent
    spent = cpu_ms(lambda: run(200, 400))
    return spent / 100.0, sent["bytes"] / 10.0 / 1024.0, (post.entries_sent - before) / 10.0


def replica_kib(rows: int, seed: int) -> float:
    """Measures the memory of `rows` rows of usage."""

    def keep() -> Replica:
        replica, rng = Replica(), random.Random(seed)
        for n in range(rows):
            replica.merge(
                0.0, Row(RowKind.USE, f"{rng.getrandbits(64):016x}/{n}", f"g{n % GATEWAYS}#1", 1, 1.0)
            )
        return replica

    return kib(keep)


def members_kib(count: int, seed: int) -> float:
    names = [f"gateway-{n:03d}" for n in range(count)]
    return kib(lambda: MemberList(names[0], 1, list(map(str, names)), SwimSettings(), random.Random(seed)))


@functools.cache
def lease_messages(members: int, tasks: int, seed: int) -> float:
    """Measures the messages per second of the whole cluster, with five voters and no faults."""
    cluster = LeaseCluster(members, seed, task_count=tasks)
    cluster.run(5.0)
    before = cluster.sent_count
    cluster.run(10.0)
    return (cluster.sent_count - before) / 10.0
