"""Probes of `benchmarks.capacity`: members, the copies that they exchange, leases."""

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
from lab.fleet.holders import LeaseCluster
from lab.fleet.simulated import SwimNetwork


class Watched(SwimNetwork):
    """A network that books what each member sends, in bytes as they are on the wire."""

    def __init__(self, count: int, seed: int) -> None:
        self.bytes: Tally[tuple[str, int]] = Tally()  # by sender and second
        super().__init__(count, seed)
        for node in self.nodes.values():  # all have met long ago
            node.piggyback_counts.clear()
            for member in node.members.values():
                member.state, member.incarnation, member.boot = (
                    MemberState.ALIVE,
                    0,
                    self.nodes[member.name].boot,
                )

    def post(self, sender: str, outs: list[Outgoing[SwimMessage]]) -> None:
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


class Tenant(NamedTuple):
    """Whose set reaches into the neighbourhood."""

    name: str
    share: float  # of the fleet's requests
    first: int
    spread: int
    plan: Plan


BLOCK = 9  # gateways played: one, those that may share a set of three with it, and those of these
CENTRE = BLOCK // 2
TENANTS, PEAK = 41_000, 85_000


def tenants(seed: int, wide: bool) -> list[Tenant]:
    """Those that the block meets: Zipf's law with exponent 1, sets of three, or as large as they have to be
    for a gateway to spend a quarter of its requests on one at most. Plans of 4 units a second and 12 at once;
    with large sets at least a quarter over what is asked at the peak."""
    rng, whole, found = random.Random(seed), sum(1.0 / n for n in range(1, TENANTS + 1)), []
    for number in range(1, TENANTS + 1):
        share = 1.0 / number / whole
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


class Played(NamedTuple):
    """What goes on, by step of 50 ms: requests let in (gateway, tenant), datagrams to the centre."""

    let_in: list[list[tuple[int, Tenant]]]
    heard: list[list[bytes]]


def post_of(number: int, seed: int) -> DirectMessenger:
    """A gateway's part; all others take part."""
    names = [f"g{n}" for n in range(GATEWAYS)]
    ring = GatewayRing(names[number], names, gateway_numbers(dict.fromkeys(names)), GATEWAYS)
    use = AccountUsage(f"{names[number]}#1")
    return DirectMessenger(use, Replica(), ring, lambda name: True, random.Random(seed * 100 + number))


def turn(post: DirectMessenger, number: int, at: float, rows: list[tuple[int, Tenant]]) -> None:
    """A gateway's requests of one step: what is looked up and written down for each."""
    for gateway, tenant in rows:
        if gateway == number:
            window = window_start_ms(1000.0 * at, tenant.name, tenant.plan)
            post.usage.admitted_by_peers(tenant.name, window)
            post.known_gateways(at, tenant.spread)
            post.report(at, post.usage.add_admitted(tenant.name, window, 1.0, tenant.spread, tenant.plan))


@functools.cache
def played(requests_s: int, seed: int, wide: bool) -> Played:
    """Ten seconds after ten of getting there; an account's quota lets in what its store holds."""
    rng, known = random.Random(seed), tenants(seed, wide)
    posts = {number: post_of(number, seed) for number in range(BLOCK)}
    stores = {tenant.name: (0.0, tenant.plan.burst_units) for tenant in known}
    # By what each asks of the block: its share of the requests that come through gateways that are played.
    inside = [sum((g - t.first) % GATEWAYS < t.spread for g in range(BLOCK)) for t in known]
    weights = [t.share / t.spread * n for t, n in zip(known, inside, strict=True)]
    rate = requests_s * GATEWAYS * sum(weights)
    let_in, heard, asked = [], [], 0.0
    for step in range(1, 401):
        at, rows, to_centre = 0.05 * step, [], []
        asked += rate * 0.05
        for tenant in rng.choices(known, weights, k=int(asked)):
            # The rest of its set asks for its part of the quota.
            number = sum((g - tenant.first) % GATEWAYS < tenant.spread for g in range(BLOCK))
            fill = tenant.plan.rate_per_s * number / tenant.spread
            since, store = stores[tenant.name]
            store = min(tenant.plan.burst_units, store + fill * (at - since))
            stores[tenant.name] = at, store - (store >= 1.0)
            if store >= 1.0:
                ours = [g for g in range(BLOCK) if (g - tenant.first) % GATEWAYS < tenant.spread]
                rows.append((rng.choice(ours), tenant))
        asked -= int(asked)
        for number, post in posts.items():
            turn(post, number, at, rows)
            for letter in post.tick(at):
                other = int(letter.to[1:])
                if other in posts:
                    data = encode("site", f"g{number}", 1, letter.message)
                    if other == CENTRE:
                        to_centre.append(data)
                    else:
                        for answer in posts[other].receive(at, f"g{number}", 1, letter.message):
                            if answer.to == f"g{CENTRE}":
                                to_centre.append(encode("site", f"g{other}", 1, answer.message))
                            elif int(answer.to[1:]) in posts:
                                posts[int(answer.to[1:])].receive(at, f"g{other}", 1, answer.message)
            post.replica.expire(at)
            post.expire()
        let_in.append(rows)
        heard.append(to_centre)
        deliver(posts, at, to_centre)
    return Played(let_in, heard)


def deliver(posts: dict[int, DirectMessenger], at: float, datagrams: list[bytes]) -> None:
    """The centre's mail, and its answers."""
    for data in datagrams:
        sender, boot, body = decode("site", data)
        for answer in posts[CENTRE].receive(at, sender, boot, body):  # type: ignore[arg-type]
            if int(answer.to[1:]) in posts:
                posts[int(answer.to[1:])].receive(at, f"g{CENTRE}", 1, answer.message)


@functools.cache
def telling(requests_s: int, seed: int, wide: bool = False) -> tuple[float, float, float]:
    """One gateway that lets in its part of so many requests a second, among 520: percent of a core, KiB a
    second that it sends as they are on the wire, words a second."""
    block, post = played(requests_s, seed, wide), post_of(CENTRE, seed)
    sent: Tally[str] = Tally()

    def run(first: int, last: int) -> None:
        for step in range(first, last):
            at = 0.05 * (step + 1)
            turn(post, CENTRE, at, block.let_in[step])
            out = post.tick(at)
            for data in block.heard[step]:
                sender, boot, body = decode("site", data)
                out += post.receive(at, sender, boot, body)  # type: ignore[arg-type]
            for letter in out:
                sent["bytes"] += len(encode("site", f"g{CENTRE}", 1, letter.message))
            post.replica.expire(at)
            post.expire()

    run(0, 200)
    sent.clear()
    before = post.entries_sent
    spent = cpu_ms(lambda: run(200, 400))
    return spent / 100.0, sent["bytes"] / 10.0 / 1024.0, (post.entries_sent - before) / 10.0


def replica_kib(rows: int, seed: int) -> float:
    """What so many rows of use take."""

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
    """Messages a second of all together, five voters, nothing wrong."""
    swarm = LeaseCluster(members, seed, tasks=tasks)
    swarm.run(5.0)
    before = swarm.sent
    swarm.run(10.0)
    return (swarm.sent - before) / 10.0
