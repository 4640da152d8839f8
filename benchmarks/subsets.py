"""Compares subsetting schemes: balance over servers, replacements after a change of the list, connections.

``python -m benchmarks.subsets [table|start]``. Schemes: the ring that keeps the servers already in use (the
gateway's scheme), the ring alone (deterministic aperture), rendezvous hashing, a random subset for each
gateway. `table` compares them, `start` starts real processes.
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

Subsets = list[set[str]]  # servers that each gateway uses
# Maps the number of gateways, the servers, the size of a subset and the subsets before a change of the list
# (None at the start) to the subset that each gateway uses.
Scheme = Callable[[int, list[str], int, Subsets | None], Subsets]


def ring_keeping_used(gateways: int, servers: list[str], subset_size: int, before: Subsets | None) -> Subsets:
    """Keeps servers in use that are still listed, and adds the next of the ring: the gateway's scheme."""
    chosen = []
    for number in range(gateways):
        subset = Subset(SubsetSettings(gateways, number, subset_size), SlowStart())
        subset.replace_list([Endpoint(server, "a") for server in servers])
        subset.in_use = dict.fromkeys(sorted(before[number]) if before is not None else ())
        subset.refresh(0.0)
        chosen.append(set(subset.in_use))
    return chosen


def ring_alone(gateways: int, servers: list[str], subset_size: int, before: Subsets | None) -> Subsets:
    """Gives each gateway the first servers of the ring from its start on."""
    ring = sorted(map(ring_position, servers))
    return [set(islice(walk_ring(ring, number), subset_size)) for number in range(gateways)]


def ring_by_parts(gateways: int, servers: list[str], subset_size: int, before: Subsets | None) -> Subsets:
    """Starts gateway i of N at i / N of the ring, so that starts depend on the number of gateways too."""
    ring = [server for _, server in sorted(map(ring_position, servers))]
    chosen = []
    for number in range(gateways):
        first = number * len(ring) // gateways
        chosen.append(set((ring[first:] + ring[:first])[:subset_size]))
    return chosen


def rendezvous(gateways: int, servers: list[str], subset_size: int, before: Subsets | None) -> Subsets:
    """Gives each gateway the servers with the lowest hashes of gateway and server together."""

    def score(number: int, server: str) -> bytes:
        return blake2b(f"{number}|{server}".encode(), digest_size=8).digest()

    return [
        set(sorted(servers, key=lambda server: score(number, server))[:subset_size])
        for number in range(gateways)
    ]


def random_subsets(gateways: int, servers: list[str], subset_size: int, before: Subsets | None) -> Subsets:
    """Keeps servers in use that are still listed, and draws the others."""
    chosen = []
    for number in range(gateways):
        rng = random.Random(number)
        kept = {server for server in before[number] if server in servers} if before is not None else set()
        others = [server for server in servers if server not in kept]
        chosen.append(kept | set(rng.sample(others, max(0, subset_size - len(kept)))))
    return chosen


SCHEMES: dict[str, Scheme] = {
    "kept ring": ring_keeping_used, "ring": ring_alone, "ring by parts": ring_by_parts,
    "rendezvous": rendezvous, "drawn": random_subsets,
}  # fmt: skip


def server_addresses(count: int) -> list[str]:
    return [f"10.0.{n // 250}.{n % 250}:80" for n in range(count)]


def balance(scheme: Scheme, gateways: int, servers: int, subset_size: int) -> float:
    """Returns the gateways at the server that most gateways use, divided by the mean over servers."""
    subsets = scheme(gateways, server_addresses(servers), subset_size, None)
    gateway_counts = Counter(server for subset in subsets for server in subset)
    return max(gateway_counts.values()) * servers / sum(gateway_counts.values())


def churn(scheme: Scheme, gateways: int, servers: int, subset_size: int) -> float:
    """Returns the servers that a gateway replaces when one leaves the list and one joins, mean of ten
    changes."""
    rng, addresses = random.Random(5), server_addresses(servers + 10)
    listed, joining = addresses[:servers], addresses[servers:]
    before, replaced = scheme(gateways, listed, subset_size, None), 0
    for server in joining:
        listed[rng.randrange(len(listed))] = server
        after = scheme(gateways, listed, subset_size, before)
        replaced += sum(len(now - was) for now, was in zip(after, before, strict=True))
        before = after
    return replaced / gateways / len(joining)


def after_release(gateways: int, servers: int, subset_size: int) -> tuple[float, float]:
    """Returns the balance of the gateway's scheme after 60% of the servers were replaced one by one, and an
    hour later."""
    addresses = server_addresses(2 * servers)
    subsets = []
    for number in range(gateways):
        subset = Subset(SubsetSettings(gateways, number, subset_size), SlowStart())
        subset.replace_list([Endpoint(server, "a") for server in addresses[:servers]])
        subset.refresh(0.0)
        subsets.append(subset)
    for n in range(servers * 6 // 10):
        leaving = Endpoint(addresses[n], "a", state=EndpointState.REMOVED)
        joining = Endpoint(addresses[servers + n], "a")
        for subset in subsets:
            subset.apply_changes((leaving, joining))
            subset.refresh(0.0)
    balances = []
    for hours in (0, 1):
        for tick in range(360 * hours):
            for subset in subsets:
                subset.rebalance((tick + 1.0) * REBALANCE_INTERVAL_MS)
        gateway_counts = Counter(server for subset in subsets for server in subset.in_use)
        balances.append(max(gateway_counts.values()) * servers / sum(gateway_counts.values()))
    return balances[0], balances[1]


def print_table() -> None:
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
        at_once, later = after_release(gateways, servers, 20)
        print(f"{gateways:4} {servers:5}  20: six in ten replaced {at_once:.2f}, an hour later {later:.2f}")


async def measure_start(count: int, servers: int, rate: float) -> None:
    """Starts real processes under an even load; prints connections at the servers and requests served."""
    for operator in (None, "[subset]\nservers = 4\n"):
        with tempfile.TemporaryDirectory() as folder:
            async with GatewayFleet(Path(folder), count, 500.0, 500, operator, servers=servers) as fleet:
                await fleet.start(range(count), 120.0)
                reads = (RequestKind("report-read", 1.0, 2000),)
                loads = []
                for number, gateway in enumerate(fleet.gateways):
                    accounts = [Account(b"%016x" % (1000 * number + n), "korporativni") for n in range(40)]
                    loads.append(
                        Load(lambda port=gateway.port: port, reads, accounts, rate, number)  # type: ignore[misc]
                    )
                await asyncio.gather(*(load.run(10.0) for load in loads))
                outcomes = [outcome for load in loads for outcome in load.outcomes]
                served_ms = sorted(outcome.duration_ms for outcome in outcomes if outcome.answer == "served")
                nodes = fleet.site.nodes
                # The account identifies the gateway, as no two gateways share an account.
                gateway_counts = [
                    len({int(effect.account_id, 16) // 1000 for effect in node.effects}) for node in nodes
                ]
                opened, peak = (
                    sum(node.accepted_connections for node in nodes),
                    max(node.peak_connections for node in nodes),
                )
                which = "4 each" if operator else "all"
                print(f"{count} processes of {rate:.0f} a second, {servers} servers, {which}: {opened} "
                      f"connections made, {peak} at most at once at a server, "
                      f"met by {max(gateway_counts)} gateways; "
                      f"served {len(served_ms)} of {len(outcomes)}, "
                      f"median {served_ms[len(served_ms) // 2]:.1f} ms, p99 "
                      f"{served_ms[len(served_ms) * 99 // 100]:.1f} ms", flush=True)  # fmt: skip


def main() -> int:
    """Runs the part named on the command line, or both."""
    print(machine())
    if "start" not in sys.argv[1:]:
        print_table()
    if "table" not in sys.argv[1:]:
        for rate in (5.0, 25.0):
            asyncio.run(measure_start(60, 24, rate))
    return 0


if __name__ == "__main__":
    sys.exit(main())
