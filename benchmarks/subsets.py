"""Compares subsetting schemes: balance over servers, movement by a changed list, connections at a start.

``python -m benchmarks.subsets [table|start]``. Schemes: the ring that keeps the servers already held (the one
in use), the ring alone (deterministic aperture), rendezvous hashing, a random subset for each gateway.
"""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from hashlib import blake2b
from itertools import islice
from pathlib import Path

from benchmarks.machine import machine
from glenchute.policy.balancing.hash_ring import ring_position
from glenchute.policy.balancing.subset import REBALANCE_INTERVAL_MS, Subset, SubsetSettings, walk_ring
from glenchute.policy.events import Endpoint, EndpointState
from glenchute.policy.settings import SlowStart
from lab.coldstart import GatewayFleet
from lab.load import Account, Load, RequestKind

Chosen = list[set[str]]
# Maps the number of gateways, the servers, the size of a subset and the subsets before a change of the list
# (None at the start) to the subset that each gateway uses.
Scheme = Callable[[int, list[str], int, Chosen | None], Chosen]


def ring_keeping_held(gateways: int, servers: list[str], subset_size: int, before: Chosen | None) -> Chosen:
    chosen = []
    for number in range(gateways):
        subset = Subset(SubsetSettings(gateways, number, subset_size), SlowStart())
        subset.replace_list([Endpoint(server, "a") for server in servers])
        subset.in_use = dict.fromkeys(sorted(before[number]) if before is not None else ())
        subset.refresh(0.0)
        chosen.append(set(subset.in_use))
    return chosen


def ring_without_held(gateways: int, servers: list[str], subset_size: int, before: Chosen | None) -> Chosen:
    row = sorted(map(ring_position, servers))
    return [set(islice(walk_ring(row, number), subset_size)) for number in range(gateways)]


def ring_by_parts(gateways: int, servers: list[str], subset_size: int, before: Chosen | None) -> Chosen:
    """Starts gateway i of N at i / N of the ring, as before the start depended on the number alone."""
    row = [server for _, server in sorted(map(ring_position, servers))]
    chosen = []
    for number in range(gateways):
        first = number * len(row) // gateways
        chosen.append(set((row[first:] + row[:first])[:subset_size]))
    return chosen


def rendezvous(gateways: int, servers: list[str], subset_size: int, before: Chosen | None) -> Chosen:
    def score(number: int, server: str) -> bytes:
        return blake2b(f"{number}|{server}".encode(), digest_size=8).digest()

    return [
        set(sorted(servers, key=lambda server: score(number, server))[:subset_size])
        for number in range(gateways)
    ]


def random_subsets(gateways: int, servers: list[str], subset_size: int, before: Chosen | None) -> Chosen:
    chosen = []
    for number in range(gateways):
        rng = random.Random(number)
        held = {server for server in before[number] if server in servers} if before is not None else set()
        left = [server for server in servers if server not in held]
        chosen.append(held | set(rng.sample(left, max(0, subset_size - len(held)))))
    return chosen


SCHEMES: dict[str, Scheme] = {
    "kept ring": ring_keeping_held, "ring": ring_without_held, "ring by parts": ring_by_parts,
    "rendezvous": rendezvous, "drawn": random_subsets,
}  # fmt: skip


def server_addresses(count: int) -> list[str]:
    return [f"10.0.{n // 250}.{n % 250}:80" for n in range(count)]


def balance(scheme: Scheme, gateways: int, servers: int, subset_size: int) -> float:
    """Returns the gateways at the server that most gateways use, divided by the mean over servers."""
    gateway_counts = Counter(
        server for held in scheme(gateways, server_addresses(servers), subset_size, None) for server in held
    )
    return max(gateway_counts.values()) * servers / sum(gateway_counts.values())


def churn(scheme: Scheme, gateways: int, servers: int, subset_size: int) -> float:
    """Returns the servers a gateway replaces when one server leaves and one joins, mean of ten changes."""
    rng, row = random.Random(5), server_addresses(servers + 10)
    now, spare = row[:servers], row[servers:]
    before, moved = scheme(gateways, now, subset_size, None), 0
    for new in spare:
        now[rng.randrange(len(now))] = new
        after = scheme(gateways, now, subset_size, before)
        moved += sum(len(held - was) for held, was in zip(after, before, strict=True))
        before = after
    return moved / gateways / len(spare)


def after_release(gateways: int, servers: int, subset_size: int) -> tuple[float, float]:
    """Returns the balance of the ring in use after 60% of the servers were replaced, and an hour later."""
    row = server_addresses(2 * servers)
    now = row[:servers]
    subsets = []
    for number in range(gateways):
        subset = Subset(SubsetSettings(gateways, number, subset_size), SlowStart())
        subset.replace_list([Endpoint(server, "a") for server in now])
        subset.refresh(0.0)
        subsets.append(subset)
    for at in range(servers * 6 // 10):
        gone, new = row[at], row[servers + at]
        for subset in subsets:
            subset.apply_changes((Endpoint(gone, "a", state=EndpointState.REMOVED), Endpoint(new, "a")))
            subset.refresh(0.0)
    found = []
    for hour in (0, 1):
        for tick in range(360 * hour):
            for subset in subsets:
                subset.rebalance((tick + 1.0) * REBALANCE_INTERVAL_MS)
        gateway_counts = Counter(server for subset in subsets for server in subset.in_use)
        found.append(max(gateway_counts.values()) * servers / sum(gateway_counts.values()))
    return found[0], found[1]


def table() -> None:
    """Prints balance and movement of each scheme and size."""
    print("gateways servers used: most met against the mean, places moved a change")
    for gateways, servers in ((3, 10), (40, 60), (200, 200), (300, 1000), (500, 5000)):
        subset_size = min(20, servers // 2)
        cells = [
            f"{name} {balance(scheme, gateways, servers, subset_size):.2f}, "
            f"{churn(scheme, gateways, servers, subset_size):.3f}"
            for name, scheme in SCHEMES.items()
        ]
        print(f"{gateways:4} {servers:5} {subset_size:3}: {'; '.join(cells)}", flush=True)
    for gateways, servers in ((40, 60), (200, 200)):
        now, later = after_release(gateways, servers, 20)
        print(f"{gateways:4} {servers:5}  20: six in ten replaced {now:.2f}, an hour later {later:.2f}")


async def start(count: int, servers: int, rate: float) -> None:
    """Starts real processes under an even load; prints connections at the servers and requests served."""
    for operator in (None, "[subset]\nservers = 4\n"):
        with tempfile.TemporaryDirectory() as folder:
            async with GatewayFleet(Path(folder), count, 500.0, 500, operator, servers=servers) as herd:
                await herd.start(range(count), 120.0)
                reads = (RequestKind("report-read", 1.0, 2000),)
                loads = []
                for at, one in enumerate(herd.gateways):
                    accounts = [Account(b"%016x" % (1000 * at + n), "korporativni") for n in range(40)]
                    loads.append(
                        Load(lambda port=one.port: port, reads, accounts, rate, at)  # type: ignore[misc]
                    )
                await asyncio.gather(*(load.run(10.0) for load in loads))
                outcomes_all = [outcome for load in loads for outcome in load.outcomes]
                took = sorted(outcome.took_ms for outcome in outcomes_all if outcome.answer == "served")
                nodes = herd.site.nodes  # no two gateways share an account
                gateway_counts = [
                    len({int(effect.account_id, 16) // 1000 for effect in node.effects}) for node in nodes
                ]
                made, most = (
                    sum(node.accepted_connections for node in nodes),
                    max(node.peak_connections for node in nodes),
                )
                which = "4 each" if operator else "all"
                print(f"{count} processes of {rate:.0f} a second, {servers} servers, {which}: {made} "
                      f"connections made, {most} at most at once at a server, "
                      f"met by {max(gateway_counts)} gateways; "
                      f"served {len(took)} of {len(outcomes_all)}, median {took[len(took) // 2]:.1f} ms, p99 "
                      f"{took[len(took) * 99 // 100]:.1f} ms", flush=True)  # fmt: skip


def main() -> int:
    """Runs the part named on the command line, or both."""
    print(machine())
    if "start" not in sys.argv[1:]:
        table()
    if "table" not in sys.argv[1:]:
        for rate in (5.0, 25.0):
            asyncio.run(start(60, 24, rate))
    return 0


if __name__ == "__main__":
    sys.exit(main())
