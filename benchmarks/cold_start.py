"""Measures the load on the list service when a whole fleet starts, and the time until all gateways serve.

``python -m benchmarks.cold_start processes [COUNT]``: real gateways and a service that answers 20 calls a
second and rejects calls beyond a queue of 30. All start at once; then 70% are killed and started again. Runs
with nothing stated, with rate and age stated, and (with a third of the gateways) with members that share the
list.
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

RATE, LINE, AGE = 20.0, 30, 30.0
STATED = f"[discovery]\ncalls_per_s = {RATE:.0f}\nlist_age_s = {AGE:.0f}\n"


def shared(count: int) -> Callable[[int], str]:
    """Returns a function from a gateway's number to its operator's file, for members that share the list. The
    links between members are direct, without injected faults."""
    ports = [free_port() for _ in range(count)]

    def of(number: int) -> str:
        rows = "".join(
            f'[[fleet.members]]\nname = "g{n}"\naddress = "127.0.0.1:{port}"\n'
            for n, port in enumerate(ports)
            if n != number
        )
        head = f'[fleet]\nfleet = "lab"\nname = "g{number}"\nlisten = "127.0.0.1:{ports[number]}"\n'
        return f"{STATED}{head}share_list = true\nperiod_ms = 1000\npatience_ms = 5000\npush_ms = 500\n{rows}"

    return of


def print_row(name: str, count: int, what: str, calls: list[DiscoveryCall], serve: float) -> None:
    """Prints a line of the table."""
    print(f"{name:9} {count:4} {what:8} busiest second {max_calls_per_s(calls):4}, "
          f"rejected {rejection_fraction(calls):.3f} of {len(calls):4}, "
          f"all serve after {serve:.1f} s", flush=True)  # fmt: skip


async def measure_fleet(name: str, count: int, operator: str | Callable[[int], str] | None) -> None:
    """Starts all gateways, then restarts 70% of them while the list changes; prints a line for each."""
    with tempfile.TemporaryDirectory() as folder:
        async with GatewayFleet(Path(folder), count, RATE, LINE, operator) as one:
            serve = await one.start(range(count), 120.0)
            await asyncio.sleep(AGE + 5.0)
            calls = list(one.lists.calls)
            print_row(name, count, "start", calls, serve)
            killed = [n for n in range(count) if n % 10 < 7]
            one.kill(killed)
            began = one.now
            one.lists.update(server_row("s9", 9, "Gone"))
            serve = await one.start(killed, 120.0)
            await asyncio.sleep(AGE + 5.0)
            restart_calls = [call for call in one.lists.calls if call.at >= began]
            print_row(name, count, "restart", restart_calls, serve)


async def processes(count: int) -> None:
    """Measures all variants in turn."""
    await measure_fleet("unstated", count, None)
    await measure_fleet("stated", count, STATED)
    await measure_fleet("members", count // 3, shared(count // 3))


def simulated() -> None:
    """Simulates starts, releases and outages at sizes that real processes do not reach."""
    print("gateways  scene    busiest second  rejected     bound of a start")
    for count in (200, 500):
        rate = count / 15.0
        bound = max_first_polls_per_s(PollingSettings(count, 0, rate, AGE))
        for scene in (run_start, run_release, run_outage):
            crowd = PollSimulation(count, lambda n, c=count, r=rate: PollingSettings(c, n, r, AGE), rate)  # type: ignore[misc]
            scene(crowd)
            print(f"{count:8}  {scene.__name__:8} {max_calls_per_s(crowd.calls):8} of {rate:.1f}"
                  f" {rejection_fraction(crowd.calls):10.3f} {bound:10.1f}")  # fmt: skip


def start() -> None:
    """Prints the CPU time of a process that imports what `run` imports, and that of the bare interpreter."""
    for name, text in (("interpreter", "pass"), ("run", "import glenchute.cli.run")):
        rows = []
        for _ in range(15):
            before = resource.getrusage(resource.RUSAGE_CHILDREN)
            subprocess.run([sys.executable, "-c", text], check=True)
            after = resource.getrusage(resource.RUSAGE_CHILDREN)
            rows.append(after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime)
        print(f"{name:12} CPU median {sorted(rows)[7]:.3f} s, least {min(rows):.3f} s")


def main() -> int:
    """Runs the part named on the command line."""
    print(machine())
    what = sys.argv[1] if len(sys.argv) > 1 else "simulated"
    if what == "processes":
        asyncio.run(processes(int(sys.argv[2]) if len(sys.argv) > 2 else 300))
    elif what == "start":
        start()
    else:
        simulated()
    return 0


if __name__ == "__main__":
    sys.exit(main())
