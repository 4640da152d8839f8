"""Probes of `benchmarks.capacity`: members' gossip, usage updates, replicas and leases."""

from __future__ import annotations

import functools
import math
import random
from collections import Counter as Tally
from typing import NamedTuple

from benchmarks.capacity_gateway import GATEWAYS
from benchmarks.slopes import allocated_kib, cpu_ms
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
    """Cost of a running member, mean of all."""

    cpu_percent: float  # of a core; includes the simulation's own part
    messages_per_s: float
    bytes_per_s: float
    peak_bytes: float  # sent in the busiest second of any member


@functools.cache
def gossip_cost(count: int, seed: int, is_zone_gone: bool) -> GossipCost:
    """Measures eight seconds of a fleet; with `is_zone_gone`, a seventh of it is stopped from the start."""
    net = ByteCountingNetwork(count, seed)
    if is_zone_gone:
        net.stopped = set(net.names[: count // 7])
    running = [name for name in net.names if name not in net.stopped]
    cpu_s = cpu_ms(lambda: net.run(8.0)) / 1e3
    member_seconds = 8.0 * len(running)
    messages = sum(net.sent_counts[name] for name in running)
    sizes = [size for (name, _), size in net.bytes.items() if name in running]
    return GossipCost(
        100.0 * cpu_s / member_seconds, messages / member_seconds, sum(sizes) / member_seconds, max(sizes)
    )


class Tenant(NamedTuple):
    """Tenant whose gateways include some of the block that is simulated."""

    name: str
    share: float  # fraction of the fleet's requests
    first: int  # number of the first of its gateways
    spread: int  # number of its gateways
    plan: Plan


# Gateways that are simulated: the measured one, the four that may share a set of three gateways with it, and
# the four that may share one with those.
BLOCK = 9
CENTRE = BLOCK // 2  # number of the measured gateway
TENANTS = 41_000
PEAK_RATE = 85_000  # requests per second of the whole fleet
STEP_S = 0.05  # of the simulation


def block_tenants(seed: int, is_spread_by_share: bool) -> list[Tenant]:
    """Returns the tenants that use gateways of the block; their shares follow Zipf's law with exponent 1.

    A tenant uses three gateways and has a plan of 4 units per second and 12 burst units. With
    `is_spread_by_share` it uses as many gateways as keep its share of a gateway's requests at a quarter or
    less, and its plan is at least a quarter above its peak demand.
    """
    rng, zipf_total, tenants = random.Random(seed), sum(1.0 / n for n in range(1, TENANTS + 1)), []
    for number in range(1, TENANTS + 1):
        share = 1.0 / number / zipf_total
        spread = max(3, min(GATEWAYS, math.ceil(share * GATEWAYS / 0.25))) if is_spread_by_share else 3
        first = rng.randrange(GATEWAYS)
        if any((gateway - first) % GATEWAYS < spread for gateway in range(BLOCK)):
            rate_per_s = max(4.0, 1.25 * share * PEAK_RATE) if is_spread_by_share else 4.0
            tenants.append(
                Tenant(
                    f"{4096 + number:016x}",
                    share,
                    first,
                    spread,
                    Plan("p", rate_per_s=rate_per_s, burst_units=3.0 * rate_per_s),
                )
            )
    return tenants


class BlockTraffic(NamedTuple):
    """Traffic of each step of 50 ms."""

    admitted: list[list[tuple[int, Tenant]]]  # requests, by gateway and tenant
    datagrams: list[list[bytes]]  # sent to the measured gateway


def messenger_for(number: int, seed: int) -> DirectMessenger:
    """Returns the messenger of a gateway in a fleet where every other gateway is reachable."""
    names = [f"g{n}" for n in range(GATEWAYS)]
    ring = GatewayRing(names[number], names, gateway_numbers(dict.fromkeys(names)), GATEWAYS)
    usage = AccountUsage(f"{names[number]}#1")
    return DirectMessenger(usage, Replica(), ring, lambda name: True, random.Random(seed * 100 + number))


def admit_requests(
    messenger: DirectMessenger, number: int, now_s: float, requests: list[tuple[int, Tenant]]
) -> None:
    """Performs the look-ups and reports of usage for a gateway's requests of one step."""
    usage = messenger.usage
    for gateway, tenant in requests:
        if gateway == number:
            window = window_start_ms(1000.0 * now_s, tenant.name, tenant.plan)
            usage.admitted_by_peers(tenant.name, window)
            messenger.known_gateways(now_s, tenant.spread)
            row = usage.add_admitted(tenant.name, window, 1.0, tenant.spread, tenant.plan)
            messenger.report(now_s, row)


@functools.cache
def simulate_block(requests_per_s: int, seed: int, is_spread_by_share: bool) -> BlockTraffic:
    """Simulates the block for 20 s, of which the first ten are warm-up; a token bucket admits each tenant's
    requests."""
    rng, tenants = random.Random(seed), block_tenants(seed, is_spread_by_share)
    messengers = {number: messenger_for(number, seed) for number in range(BLOCK)}
    # Time of the last change of each tenant's bucket, and the units in it then.
    buckets = {tenant.name: (0.0, tenant.plan.burst_units) for tenant in tenants}
    # A tenant is drawn by the part of its requests that arrives at gateways of the block.
    inside = [sum((g - t.first) % GATEWAYS < t.spread for g in range(BLOCK)) for t in tenants]
    weights = [t.share / t.spread * n for t, n in zip(tenants, inside, strict=True)]
    rate_per_s = requests_per_s * GATEWAYS * sum(weights)
    admitted_by_step, datagrams_by_step, due = [], [], 0.0
    for step in range(1, 401):
        now_s, admitted, to_centre = STEP_S * step, [], []
        due += rate_per_s * STEP_S
        for tenant in rng.choices(tenants, weights, k=int(due)):
            # The tenant's gateways outside the block use their part of the quota.
            number = sum((g - tenant.first) % GATEWAYS < tenant.spread for g in range(BLOCK))
            refill_per_s = tenant.plan.rate_per_s * number / tenant.spread
            since_s, bucket = buckets[tenant.name]
            bucket = min(tenant.plan.burst_units, bucket + refill_per_s * (now_s - since_s))
            buckets[tenant.name] = now_s, bucket - (bucket >= 1.0)
            if bucket >= 1.0:
                gateways = [g for g in range(BLOCK) if (g - tenant.first) % GATEWAYS < tenant.spread]
                admitted.append((rng.choice(gateways), tenant))
        due -= int(due)
        for number, messenger in messengers.items():
            admit_requests(messenger, number, now_s, admitted)
            for outgoing in messenger.tick(now_s):
                other = int(outgoing.to[1:])
                if other in messengers:
                    data = encode("site", f"g{number}", 1, outgoing.message)
                    if other == CENTRE:
                        to_centre.append(data)
                    else:
                        for answer in messengers[other].receive(now_s, f"g{number}", 1, outgoing.message):
                            if answer.to == f"g{CENTRE}":
                                to_centre.append(encode("site", f"g{other}", 1, answer.message))
                            elif int(answer.to[1:]) in messengers:
                                recipient = messengers[int(answer.to[1:])]
                                recipient.receive(now_s, f"g{other}", 1, answer.message)
            messenger.replica.expire(now_s)
            messenger.expire()
        admitted_by_step.append(admitted)
        datagrams_by_step.append(to_centre)
        deliver(messengers, now_s, to_centre)
    return BlockTraffic(admitted_by_step, datagrams_by_step)


def deliver(messengers: dict[int, DirectMessenger], now_s: float, datagrams: list[bytes]) -> None:
    """Delivers datagrams to the measured gateway and its answers to the block."""
    for data in datagrams:
        sender, boot, body = decode("site", data)
        for answer in messengers[CENTRE].receive(now_s, sender, boot, body):  # type: ignore[arg-type]
            if int(answer.to[1:]) in messengers:
                messengers[int(answer.to[1:])].receive(now_s, f"g{CENTRE}", 1, answer.message)


class UsageUpdateCost(NamedTuple):
    """Cost of the usage updates of one gateway."""

    cpu_percent: float  # of a core
    sent_kib_per_s: float  # of encoded datagrams
    updates_per_s: float


@functools.cache
def usage_update_cost(requests_per_s: int, seed: int, is_spread_by_share: bool = False) -> UsageUpdateCost:
    """Measures one gateway of 520 that admits `requests_per_s` requests a second."""
    traffic = simulate_block(requests_per_s, seed, is_spread_by_share)
    messenger = messenger_for(CENTRE, seed)
    sent: Tally[str] = Tally()

    def replay(first: int, last: int) -> None:
        for step in range(first, last):
            now_s = STEP_S * (step + 1)
            admit_requests(messenger, CENTRE, now_s, traffic.admitted[step])
            messages = messenger.tick(now_s)
            for data in traffic.datagrams[step]:
                sender, boot, body = decode("site", data)
                messages += messenger.receive(now_s, sender, boot, body)  # type: ignore[arg-type]
            for outgoing in messages:
                sent["bytes"] += len(encode("site", f"g{CENTRE}", 1, outgoing.message))
            messenger.replica.expire(now_s)
            messenger.expire()

    replay(0, 200)
    sent.clear()
    entries_before = messenger.entries_sent
    replay_ms = cpu_ms(lambda: replay(200, 400))
    updates = messenger.entries_sent - entries_before
    return UsageUpdateCost(replay_ms / 100.0, sent["bytes"] / 10.0 / 1024.0, updates / 10.0)


def replica_kib(rows: int, seed: int) -> float:
    """Measures the memory of `rows` rows of usage."""

    def make() -> Replica:
        replica, rng = Replica(), random.Random(seed)
        for n in range(rows):
            replica.merge(
                0.0, Row(RowKind.USE, f"{rng.getrandbits(64):016x}/{n}", f"g{n % GATEWAYS}#1", 1, 1.0)
            )
        return replica

    return allocated_kib(make)


def members_kib(count: int, seed: int) -> float:
    """Measures the memory of the list of members."""
    names = [f"gateway-{n:03d}" for n in range(count)]
    return allocated_kib(
        lambda: MemberList(names[0], 1, list(map(str, names)), SwimSettings(), random.Random(seed))
    )


@functools.cache
def lease_messages(members: int, tasks: int, seed: int) -> float:
    """Measures the messages per second of the whole cluster, with five voters and no faults."""
    cluster = LeaseCluster(members, seed, task_count=tasks)
    cluster.run(5.0)
    before = cluster.sent_count
    cluster.run(10.0)
    return (cluster.sent_count - before) / 10.0
