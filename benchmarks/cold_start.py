"""Measures the load on the list service when a whole fleet starts, and the time until all gateways serve.

``python -m benchmarks.cold_start processes [COUNT]``: real gateways and a service that answers 20 calls a
second and rejects calls beyond a queue of 30. All start at once; then 70% are killed and started again. Runs
with an operator's file that states neither the service's rate nor a list age, with one that states both, and
(with a third of the gateways) with members that share the list.
``python -m benchmarks.cold_start start``: CPU of a start.
``python -m benchmarks.cold_start simulated``: starts, releases and outages at 200 and 500 simulated gateways.
"""

from __future__ import annotations

import asyncio
import resource
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

from benchmarks.machine import machine
from glenchute.policy.endpoints.polling import PollingSettings, max_first_polls_per_s
from lab.coldstart import (
    DiscoveryCall,
    GatewayFleet,
    PollSimulation,
    max_calls_per_s,
    rejection_fraction,
    run_outage,
    run_release,
    run_start,
)
from lab.peers import server_row
from lab.site import free_port

RATE_PER_S, QUEUE_LENGTH = 20.0, 30  # of the list service
LIST_AGE_S = 30.0
STATED = f"[discovery]\ncalls_per_s = {RATE_PER_S:.0f}\nlist_age_s = {LIST_AGE_S:.0f}\n"


def member_files(count: int) -> Callable[[int], str]:
    """Returns a function from a gateway's number to its operator's file, for members that share the list. The
    links between members are direct, without injected faults."""
    ports = [free_port() for _ in range(count)]

    def operator_file(number: int) -> str:
        rows = "".join(
            f'[[fleet.members]]\nname = "g{n}"\naddress = "127.0.0.1:{port}"\n'
            for n, port in enumerate(ports)
            if n != number
        )
        head = f'[fleet]\nfleet = "lab"\nname = "g{number}"\nlisten = "127.0.0.1:{ports[number]}"\n'
        return f"{STATED}{head}share_list = true\nperiod_ms = 1000\npatience_ms = 5000\npush_ms = 500\n{rows}"

    return operator_file


def print_row(name: str, count: int, phase: str, calls: list[DiscoveryCall], serving_after_s: float) -> None:
    """Prints a line of the table."""
    print(f"{name:9} {count:4} {phase:8} busiest second {max_calls_per_s(calls):4}, "
          f"rejected {rejection_fraction(calls):.3f} of {len(calls):4}, "
          f"all serve after {serving_after_s:.1f} s", flush=True)  # fmt: skip


async def measure_fleet(name: str, count: int, operator: str | Callable[[int], str] | None) -> None:
    """Starts all gateways, then restarts 70% of them while the list changes; prints a line for each."""
    with tempfile.TemporaryDirectory() as folder:
        async with GatewayFleet(Path(folder), count, RATE_PER_S, QUEUE_LENGTH, operator) as fleet:
            serving_after_s = await fleet.start(range(count), 120.0)
            await asyncio.sleep(LIST_AGE_S + 5.0)
            calls = list(fleet.lists.calls)
            print_row(name, count, "start", calls, serving_after_s)
            killed = [n for n in range(count) if n % 10 < 7]
            fleet.kill(killed)
            restarted_at = fleet.now
            fleet.lists.update(server_row("s9", 9, "Gone"))
            serving_after_s = await fleet.start(killed, 120.0)
            await asyncio.sleep(LIST_AGE_S + 5.0)
            restart_calls = [call for call in fleet.lists.calls if call.at >= restarted_at]
            print_row(name, count, "restart", restart_calls, serving_after_s)


async def measure_processes(count: int) -> None:
    """Measures all variants in turn."""
    await measure_fleet("unstated", count, None)
    await measure_fleet("stated", count, STATED)
    await measure_fleet("members", count // 3, member_files(count // 3))


def print_simulated() -> None:
    """Simulates starts, releases and outages at sizes that real processes do not reach."""
    print("gateways  scene    busiest second  rejected     bound of a start")
    for count in (200, 500):
        rate = count / 15.0
        bound = max_first_polls_per_s(PollingSettings(count, 0, rate, LIST_AGE_S))
        for scene in (run_start, run_release, run_outage):
            simulation = PollSimulation(
                count,
                lambda n, c=count, r=rate: PollingSettings(c, n, r, LIST_AGE_S),  # type: ignore[misc]
                rate,
            )
            scene(simulation)
            print(f"{count:8}  {scene.__name__:8} {max_calls_per_s(simulation.calls):8} of {rate:.1f}"
                  f" {rejection_fraction(simulation.calls):10.3f} {bound:10.1f}")  # fmt: skip


def print_start_cpu() -> None:
    """Prints the CPU time of a process that imports what `run` imports, and that of the bare interpreter."""
    for name, text in (("interpreter", "pass"), ("run", "import glenchute.cli.run")):
        times_s = []
        for _ in range(15):
            before = resource.getrusage(resource.RUSAGE_CHILDREN)
            subprocess.run([sys.executable, "-c", text], check=True)
            after = resource.getrusage(resource.RUSAGE_CHILDREN)
            times_s.append(after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime)
        print(f"{name:12} CPU median {sorted(times_s)[7]:.3f} s, least {min(times_s):.3f} s")


def main() -> int:
    """Runs the part named on the command line."""
    print(machine())
    part = sys.argv[1] if len(sys.argv) > 1 else "simulated"
    if part == "processes":
        asyncio.run(measure_processes(int(sys.argv[2]) if len(sys.argv) > 2 else 300))
    elif part == "start":
        print_start_cpu()
    else:
        print_simulated()
    return 0


if __name__ == "__main__":
    sys.exit(main())
