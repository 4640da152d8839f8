"""Measures leases: time without a holder, cost, and whether two holders ever act at once.

``python -m benchmarks.leases simulated``: takeovers, messages and time without a holder, without processes.
``python -m benchmarks.leases swarm [SEEDS]``: simulated clusters with random faults; counts overlaps in the
record of the effects.
``python -m benchmarks.leases runs [RUNS] [AT_ONCE] [FIRST] [PROCESSES]``: seeded runs of real processes from
seed FIRST on, AT_ONCE of them concurrently, with five random faults each. A run has eight processes by
default, of which five vote.
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


def takeover_times_s(fault: str, lease_s: float) -> list[float]:
    """Returns the seconds from a fault of the holder to the first act of another member, sorted over 100
    seeds."""
    times_s = []
    for seed in range(100):
        cluster = LeaseCluster(15, seed, lease_s=lease_s)
        cluster.run(3.0 + seed * 0.037)
        holder = cluster.last_holder("task0")
        assert holder is not None
        fault_at = cluster.now
        if fault == "kill":
            cluster.kill(holder)
        elif fault == "stop":
            cluster.stop(holder)
        elif fault == "cut":
            cluster.cut = lambda a, b, n=holder: n in (a, b)  # type: ignore[misc]
        else:
            cluster.release(holder)
        cluster.run(3.0 * lease_s + 5.0)
        later = [
            effect.started_at for effect in cluster.effects
            if effect.started_at > fault_at and effect.holder.partition("#")[0] != holder
        ]  # fmt: skip
        times_s.append(later[0] - fault_at if later else float("inf"))
        assert not overlaps(cluster.effects)
    return sorted(times_s)


def print_simulated() -> None:
    """Prints the tables of takeovers, messages and lost messages."""
    print("takeover in seconds, lease of 3 s     p50    p99")
    for fault in ("kill", "stop", "cut", "release"):
        times_s = takeover_times_s(fault, 3.0)
        print(f"{fault:36} {times_s[50]:6.2f} {times_s[98]:6.2f}")
    print("members  messages a second, one task  20 tasks")
    for count in (15, 100, 500):
        rates = []
        for task_count in (1, 20):
            cluster = LeaseCluster(count, 1, task_count=task_count)
            cluster.run(5.0)
            before = cluster.sent_count
            cluster.run(10.0)
            rates.append((cluster.sent_count - before) / 10.0)
        print(f"{count:7} {rates[0]:28.1f} {rates[1]:9.1f}")
    print("lost  share of time without an act for over a second")
    for loss in (0.0, 0.1, 0.3, 0.5):
        cluster = LeaseCluster(15, 5, loss=loss)
        cluster.run(300.0)
        times = [effect.started_at for effect in cluster.effects]
        gaps_s = [b - a for a, b in itertools.pairwise(times) if b - a > 1.0]
        longest_s = longest_gap(cluster.effects, "task0", 5.0, 300.0)
        print(f"{loss:4.1f} {sum(gaps_s) / 300.0:8.4f}  longest {longest_s:.2f} s")


def run_cluster(seed: int) -> tuple[int, int, int]:
    """Simulates a cluster with random faults; returns the numbers of acts, messages and overlaps."""
    cluster = run_with_faults(seed, (5, 15, 60)[seed % 3], (5, 5, 9)[seed % 3], task_count=1 + seed % 3)
    return len(cluster.effects), cluster.sent_count, len(overlaps(cluster.effects))


def run_clusters(seeds: int) -> int:
    """Simulates clusters with random faults over seeds; returns the exit status."""
    started = time.monotonic()
    with ProcessPoolExecutor(6) as pool:
        rows = list(pool.map(run_cluster, range(seeds), chunksize=10))
    acts, messages, overlap_count = (sum(column) for column in zip(*rows, strict=True))
    print(f"{seeds} seeds: {acts} acts, {messages} messages, {overlap_count} overlaps, "
          f"{time.monotonic() - started:.0f} s")  # fmt: skip
    return 1 if overlap_count else 0


def run_processes(seed: int, processes: int) -> tuple[int, int, list[str], float]:
    """Runs real processes, five of which vote; returns the seed, the number of acts, errors, and the longest
    time without an act."""
    with tempfile.TemporaryDirectory() as folder:
        return seed, *uvloop.run(run_with_random_faults(Path(folder), seed, processes, 5))


def run_process_seeds(count: int, at_once: int, first: int, processes: int) -> int:
    """Runs real processes over seeds; prints a line for each error, returns the exit status."""
    started, act_count, failed_runs, longest_gaps_s = time.monotonic(), 0, 0, []
    with ProcessPoolExecutor(at_once) as pool:
        seeds = range(first, first + count)
        for seed, acts, errors, gap_s in pool.map(run_processes, seeds, itertools.repeat(processes)):
            act_count += acts
            failed_runs += bool(errors)
            longest_gaps_s.append(gap_s)
            for error in errors:
                print(f"seed {seed}: {error}", flush=True)
    print(f"{count} runs of {processes} processes: {act_count} acts, "
          f"{failed_runs} runs with something wrong, longest time without an act "
          f"median {statistics.median(longest_gaps_s):.2f} s, most {max(longest_gaps_s):.2f} s, "
          f"{time.monotonic() - started:.0f} s")  # fmt: skip
    return 1 if failed_runs else 0


async def print_idle_cpu() -> None:
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
                shares = [(cpu_s(pid) - was) / 10.0 for pid, was in zip(pids, before, strict=True)]
                print(f"{name:14} CPU share a process: least {min(shares):.4f}, "
                      f"median {statistics.median(shares):.4f}, most {max(shares):.4f}")  # fmt: skip
        await service.stop()


def main() -> int:
    """Runs the part named on the command line."""
    print(machine())
    part, *rest = sys.argv[1:] or ["simulated"]
    numbers = [int(text) for text in rest]
    if part == "runs":
        return run_process_seeds(*(numbers + [200, 4, 0, 8][len(numbers) :]))
    if part == "swarm":
        return run_clusters(*(numbers or [1000]))
    if part == "follower":
        uvloop.run(print_idle_cpu())
    else:
        print_simulated()
    return 0


if __name__ == "__main__":
    sys.exit(main())
