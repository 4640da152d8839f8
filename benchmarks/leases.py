"""Measures leases: time without a holder, cost, and whether two holders ever act at once.

``python -m benchmarks.leases simulated``: takeovers, messages and time without a holder, without processes.
``python -m benchmarks.leases swarm [SEEDS]``: random faults; overlaps by the record of the effects.
``python -m benchmarks.leases runs [RUNS] [AT_ONCE] [FIRST] [PROCESSES]``: seeded runs of real
processes, eight by default, of which five vote; five random faults each.
``python -m benchmarks.leases follower``: CPU of processes with leases, and without `[fleet.leases]`.
"""

from __future__ import annotations

import asyncio
import itertools
import statistics
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import uvloop

from benchmarks.machine import cpu_s, machine
from lab.fleet.effect_service import EffectService
from lab.fleet.lease_cluster import LeaseCluster, longest_gap, overlaps, run_with_faults
from lab.fleet.leased_tasks import FLEET_OPTIONS, lease_tables, run_with_random_faults
from lab.fleet.processes import FleetSite


def takeovers(kind: str, longest: float) -> list[float]:
    """Returns the seconds from a fault of the holder to the first act of another, sorted over seeds."""
    found = []
    for seed in range(100):
        swarm = LeaseCluster(15, seed, lease_s=longest)
        swarm.run(3.0 + seed * 0.037)
        held = swarm.last_holder("task0")
        assert held is not None
        at = swarm.now
        if kind == "kill":
            swarm.kill(held)
        elif kind == "stop":
            swarm.stop(held)
        elif kind == "cut":
            swarm.cut = lambda a, b, n=held: n in (a, b)  # type: ignore[misc]
        else:
            swarm.release(held)
        swarm.run(3.0 * longest + 5.0)
        later = [
            effect.started_at
            for effect in swarm.effects
            if effect.started_at > at and effect.holder.partition("#")[0] != held
        ]
        found.append(later[0] - at if later else float("inf"))
        assert not overlaps(swarm.effects)
    return sorted(found)


def simulated() -> None:
    """Prints the tables of takeovers, messages and lost messages."""
    print("takeover in seconds, lease of 3 s     p50    p99")
    for kind in ("kill", "stop", "cut", "release"):
        found = takeovers(kind, 3.0)
        print(f"{kind:36} {found[50]:6.2f} {found[98]:6.2f}")
    print("members  messages a second, one task  20 tasks")
    for count in (15, 100, 500):
        rates = []
        for number in (1, 20):
            swarm = LeaseCluster(count, 1, task_count=number)
            swarm.run(5.0)
            before = swarm.sent_count
            swarm.run(10.0)
            rates.append((swarm.sent_count - before) / 10.0)
        print(f"{count:7} {rates[0]:28.1f} {rates[1]:9.1f}")
    print("lost  share of time without an act for over a second")
    for lose in (0.0, 0.1, 0.3, 0.5):
        swarm = LeaseCluster(15, 5, loss=lose)
        swarm.run(300.0)
        times = [effect.started_at for effect in swarm.effects]
        gaps = [b - a for a, b in itertools.pairwise(times) if b - a > 1.0]
        longest = longest_gap(swarm.effects, "task0", 5.0, 300.0)
        print(f"{lose:4.1f} {sum(gaps) / 300.0:8.4f}  longest {longest:.2f} s")


def run_cluster(seed: int) -> tuple[int, int, int]:
    """Returns acts, messages and overlaps of a seed."""
    swarm = run_with_faults(seed, (5, 15, 60)[seed % 3], (5, 5, 9)[seed % 3], task_count=1 + seed % 3)
    return len(swarm.effects), swarm.sent_count, len(overlaps(swarm.effects))


def swarm(seeds: int) -> int:
    """Simulates clusters with random faults over seeds; returns the exit status."""
    began = time.monotonic()
    with ProcessPoolExecutor(6) as pool:
        rows = list(pool.map(run_cluster, range(seeds), chunksize=10))
    acts, sent, wrong = (sum(column) for column in zip(*rows, strict=True))
    print(f"{seeds} seeds: {acts} acts, {sent} messages, {wrong} overlaps, {time.monotonic() - began:.0f} s")
    return 1 if wrong else 0


def one_run(seed: int, processes: int) -> tuple[int, int, list[str], float]:
    """Runs real processes, five of which vote; returns seed, acts, errors, longest time without an act."""
    with tempfile.TemporaryDirectory() as folder:
        return seed, *uvloop.run(run_with_random_faults(Path(folder), seed, processes, 5))


def runs(count: int, at_once: int, first: int, processes: int) -> int:
    """Runs real processes over seeds; prints a line for each error, returns the exit status."""
    began, acts, bad, longest = time.monotonic(), 0, 0, []
    with ProcessPoolExecutor(at_once) as pool:
        seeds = range(first, first + count)
        for seed, done, wrong, gap in pool.map(one_run, seeds, itertools.repeat(processes)):
            acts += done
            bad += bool(wrong)
            longest.append(gap)
            for line in wrong:
                print(f"seed {seed}: {line}", flush=True)
    print(f"{count} runs of {processes} processes: {acts} acts, {bad} runs with something wrong, longest "
          f"time without an act median {statistics.median(longest):.2f} s, most {max(longest):.2f} s, "
          f"{time.monotonic() - began:.0f} s")  # fmt: skip
    return 1 if bad else 0


async def follower() -> None:
    """Prints the CPU share of eight gateways without load, with leases and with members alone."""
    for name in ("leases", "members alone"):
        service = EffectService()
        await service.start()
        tail = lease_tables(service.port, *(f"task{n}" for n in range(5))) if name == "leases" else ""
        with tempfile.TemporaryDirectory() as folder:
            async with FleetSite(Path(folder), 8, fleet_options=FLEET_OPTIONS, operator_tables=tail) as site:
                await site.start()
                await asyncio.sleep(4.0)
                pids = [g.process.pid for g in site.gateways if g.process is not None]
                before = [cpu_s(pid) for pid in pids]
                await asyncio.sleep(10.0)
                shares = [(cpu_s(pid) - b) / 10.0 for pid, b in zip(pids, before, strict=True)]
                print(f"{name:14} CPU share a process: least {min(shares):.4f}, "
                      f"median {statistics.median(shares):.4f}, most {max(shares):.4f}")  # fmt: skip
        await service.stop()


def main() -> int:
    """Runs the part named on the command line."""
    print(machine())
    what, *rest = sys.argv[1:] or ["simulated"]
    numbers = [int(text) for text in rest]
    if what == "runs":
        return runs(*(numbers + [200, 4, 0, 8][len(numbers) :]))
    if what == "swarm":
        return swarm(*(numbers or [1000]))
    if what == "follower":
        uvloop.run(follower())
    else:
        simulated()
    return 0


if __name__ == "__main__":
    sys.exit(main())
