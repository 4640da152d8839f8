"""Measures benefit and cost of usage shared among members: five real processes, then simulated sizes.

``python -m benchmarks.replication [quota] [heal] [detect] [cost] [gone] [large] [sixty]`` prints these
parts, or all; `plot` draws the times to agree after a partition heals.
"""

from __future__ import annotations

import asyncio
import json
import random
import statistics
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from benchmarks.machine import cpu_s, machine
from glenchute.policy.membership.members import MemberState
from glenchute.policy.membership.replica import Replica, Row, RowKind
from lab.fleet import checks
from lab.fleet.crowd import Others
from lab.fleet.processes import FleetSite
from lab.fleet.simulated import GossipNetwork, SwimNetwork, apart
from lab.load import Account
from lab.sim.members import run_downtime
from lab.site import free_port

ACCOUNT = Account(b"%016x" % 77, "standard", 1.0, ",spread=5,first=0")
RATE, BURST, SECONDS = 4.0, 12.0, 8.0
LOADS = {"even": (2.0, 2.0, 2.0, 2.0, 2.0), "skewed": (6.0, 1.0, 0.5, 0.5, 0.0)}


async def quota(trouble: str, load: str, on: bool, seed: int) -> tuple[float, float]:
    """Returns the share refused with quota left and the overshoot, for one account at five gateways."""
    with tempfile.TemporaryDirectory() as folder:
        async with FleetSite(Path(folder), 5, seed, fleet=on) as site:
            await site.start()
            if on:
                await site.until(lambda: site.whole(range(5), 1.0))
            if trouble == "slow":
                for link in site.to_counter:
                    # Together with the delay of the request, about half of the replies are late.
                    link.ways[1].delay_s = 0.045
            elif trouble != "sound":
                for link in site.to_counter:
                    link.cut()
            if trouble == "split" and on:
                site.split([[0, 1], [2, 3, 4]])
            rates = [(n, rate) for n, rate in enumerate(LOADS[load]) if rate]
            parts = await asyncio.gather(*(site.load(SECONDS, rate, [ACCOUNT], [n]) for n, rate in rates))
            told = [outcome for part in parts for outcome in part]
            assert checks.lost(told) == 0 and checks.refused_and_ran(site.site.nodes, told) == 0
            return (
                checks.refused_with_room(told, ACCOUNT.customer, RATE, BURST),
                checks.overshoot(site.site.nodes, ACCOUNT.customer, RATE, BURST),
            )


async def seeds(trouble: str, load: str, on: bool) -> list[tuple[float, float]]:
    """Runs three seeds concurrently."""
    return await asyncio.gather(*(quota(trouble, load, on, seed) for seed in (1, 2, 3)))


def quotas() -> None:
    """Prints refusals and overshoot with members and without, three seeds each."""
    print(f"five processes, one account of {RATE:g} a second and {BURST:g} at once, 8 to 10 a second asked")
    for trouble in ("sound", "slow", "mute", "split"):
        for load in LOADS:
            row = []
            for on in (False, True):
                found = uvloop.run(seeds(trouble, load, on))
                room, over = (statistics.mean(part) for part in zip(*found, strict=True))
                row.append(f"{'with' if on else 'without'} members {room:.3f}, overshoot {over:4.1f}")
            print(f"{trouble:6} {load:7} refused with room {'; '.join(row)}", flush=True)


def heal_times_s(count: int) -> list[float]:
    """Returns the seconds from the end of a partition until all copies agree, over seeds."""
    took = []
    for seed in range(5):
        mesh = GossipNetwork(count, seed)
        mesh.run(30.0, mesh.are_complete)
        half = set(mesh.names[: count // 2])
        mesh.cut = apart(half)
        mesh.writes(5)
        mesh.run(3.0)
        mesh.cut = lambda sender, to: False
        took.append(mesh.run(60.0, mesh.are_equal))
    return took


def plot() -> None:
    """Plots the time to agree by the number of copies for the design note; needs glenchute[bench]."""
    import pygal

    counts = [3, 5, 10, 20, 40, 70, 100]
    took = [heal_times_s(count) for count in counts]
    chart = pygal.Line(title="Seconds from a heal to copies that agree (5 rows each)", range=(0, None))
    chart.x_labels = [str(count) for count in counts]
    chart.add("median of 5 seeds", [round(statistics.median(row), 2) for row in took])
    chart.add("at most", [round(max(row), 2) for row in took])
    chart.add("wanted at 40", [1.0] * len(counts))
    chart.render_to_file("docs/design/replication.svg")
    print("docs/design/replication.svg", [statistics.median(row) for row in took])


def heals() -> None:
    """Prints the time until copies agree after a partition in which 5 rows were written for each member."""
    for count in (5, 40, 100):
        took = heal_times_s(count)
        print(f"heal at {count:3} copies, {5 * count} rows: agreed after {statistics.median(took):.1f} s, "
              f"at most {max(took):.1f} s")  # fmt: skip


def detections() -> None:
    """Prints the time until a dead member is first suspected and until all declare it dead, and the members
    declared dead falsely in 20 s before. Messages of slow members arrive 0.5 s late, 2.5 periods. SWIM's
    expectation for the first failed probe is e / (e - 1) periods, and a probe fails at its period's end."""
    cases = ((10, 0.0, 0.0), (40, 0.0, 0.0), (40, 0.1, 0.0), (100, 0.0, 0.01), (100, 0.0, 0.1),
             (200, 0.02, 0.0), (500, 0.0, 0.0), (500, 0.0, 0.01), (500, 0.0, 0.1))  # fmt: skip
    for count, lose, slow in cases:
        first, last, false = [], [], 0
        for seed in range(3 if count < 500 else 1):
            net = SwimNetwork(count, seed, lose)
            net.lag = {name: 0.5 for name in net.rng.sample(net.names[2:], round(slow * count))}
            net.run(30.0, net.all_participate)
            net.run(20.0)
            false += len(net.declared_dead)
            net.stopped.add("g1")
            first.append(net.run(30.0, lambda net=net: any(  # type: ignore[misc]
                net.seen("g1", by) is not MemberState.ALIVE for by in net.names if by != "g1"
            )))  # fmt: skip
            last.append(first[-1] + net.run(60.0, lambda net=net: net.all_see("g1", MemberState.DEAD)))  # type: ignore[misc]
        print(f"{count:3} members, {lose:.0%} lost, {slow:.0%} slow: suspected after "
              f"{statistics.mean(first):.2f} s (SWIM {0.2 * 2.582:.2f}), buried by all after "
              f"{statistics.mean(last):.1f} s, false burials {false}", flush=True)  # fmt: skip


def gone() -> None:
    """Prints attempts without a connection while a third of twenty servers is gone, and the time until all
    are used again."""
    for count, rate in ((10, 200.0), (40, 200.0), (40, 800.0), (100, 400.0)):
        runs = [[run_downtime(seed, count, on, rate) for seed in (1, 2, 3)] for on in (False, True)]
        cells = (
            f"{sum(run.unreachable_count for run in row)} "
            f"({sum(run.late_unreachable_count for run in row)} in the last quarter), all used "
            f"after {statistics.median(run.recovery_ms for run in row) / 1000.0:.1f} s"
            for row in runs
        )
        print(f"{count:3} gateways, {rate:.0f} a second: without, with members {'; '.join(cells)}")


def costs() -> None:
    """Prints the CPU of a comparison of copies with 10,000 rows, then CPU and bytes of processes with members
    and without."""
    replica, rng = Replica(), random.Random(1)
    for _ in range(10_000):
        replica.merge(0.0, Row(RowKind.USE, f"{rng.getrandbits(32):016x}/1", "g1#1", 1, 1.0))
    began = time.process_time()
    for _ in range(20):
        replica.child_hashes(0.0, None)
    print(f"one root of hashes over 10,000 rows: {50.0 * (time.process_time() - began):.1f} ms")
    for count in (2, 10, 30):
        print(uvloop.run(measure_cpu(count)), flush=True)


async def measure_cpu(count: int) -> str:
    """Returns a line with the CPU of idle and busy gateways, with members and without."""
    figures = []
    for on in (False, True):
        with tempfile.TemporaryDirectory() as folder:
            async with FleetSite(Path(folder), count, fleet=on) as site:
                await site.start()
                if on:
                    await site.until(lambda site=site: site.whole(range(count), 1.0), 60.0)  # type: ignore[misc]
                pids = [g.process.pid for g in site.gateways if g.process is not None]
                idle = [cpu_s(pid) for pid in pids]
                await asyncio.sleep(8.0)
                idle = [100.0 * (cpu_s(pid) - was) / 8.0 for pid, was in zip(pids, idle, strict=True)]
                more = f",spread={count},first=0"
                accounts = [Account(b"%016x" % i, "standard", 1.0, more) for i in range(400)]
                was = cpu_s(pids[0])
                await site.load(8.0, 100.0, accounts, [0])
                busy = 100.0 * (cpu_s(pids[0]) - was) / 8.0
                sent = (await site.asked(0, "state"))[0]["sent_bytes"] if on else 0
                figures.append((statistics.mean(idle), busy, sent))
    (idle_off, busy_off, _), (idle_on, busy_on, sent) = figures
    idle_text = f"CPU idle {idle_off:.1f} % without, {idle_on:.1f} % with members"
    busy_text = f"at 100 requests a second {busy_off:.1f} and {busy_on:.1f} %"
    return f"{count:2} processes: {idle_text}; {busy_text}; {sent / 1024.0:.0f} KiB of rows and hashes sent"


def large() -> None:
    """Prints CPU and bytes of one process among up to 200 members, which are simulated over sockets, with
    10,000 accounts in use. Accounts use three gateways, then all."""
    for count, rows_s, spread in ((20, 200.0, 3), (200, 200.0, 3), (200, 400.0, 3), (200, 200.0, 200)):
        print(uvloop.run(measure_one_of(count, 10_000, rows_s, spread)), flush=True)


async def measure_one_of(count: int, accounts: int, rows_s: float, spread: int) -> str:
    """Returns a line with the CPU of one process at 100 requests a second, and what it sends."""
    figures = []
    for on in (False, True):
        with tempfile.TemporaryDirectory() as folder:
            async with FleetSite(Path(folder), 1, fleet=False) as site:
                gateway, port = site.gateways[0], free_port()
                gateway.platform["settings"]["balancers"] = count
                gateway.config.write_text(json.dumps(gateway.platform))
                others = Others(count, accounts, port, spread=spread)
                if on:
                    head = f'[fleet]\nfleet = "lab"\nname = "g0"\nlisten = "127.0.0.1:{port}"\n'
                    control = f'control = "{gateway.folder / "control"}"\n'
                    gateway.operator.write_text(head + control + others.members())
                    await others.start()
                await site.start()
                assert gateway.process is not None
                pid = gateway.process.pid
                talk = asyncio.create_task(others.talk(30.0, rows_s)) if on else None
                await asyncio.sleep(20.0 if on else 1.0)  # lets the copies reach their full size
                more = f",spread={spread},first=0"
                many = [Account(b"%016x" % i, "standard", 1.0, more) for i in range(400)]
                was, sent, words = cpu_s(pid), others.received, others.words
                told = await site.load(8.0, 100.0, many, [0])
                served = sum(one.answer == "served" for one in told) / len(told)
                figures.append((100.0 * (cpu_s(pid) - was) / 8.0, (others.received - sent) / 8.0 / 1024.0))
                if talk is not None:
                    words = others.words - words
                    await talk
                    rows = (await site.asked(0, "state"))[0]["use"]
                others.stop()
    (off, _), (busy, sent_kib) = figures
    held = f"{rows} held; {served:.0%} served"
    what = f"1 of {count} members, sets of {spread}, {rows_s:.0f} words a second heard"
    cpu = f"at 100 requests a second {off:.1f} % of a core without, {busy:.1f} with"
    return f"{what}, {held}: {cpu}; {sent_kib:.1f} KiB a second sent, {words / 8.0:.0f} words a second"


def sixty() -> None:
    """Prints the figures of sixty processes, with 10% of the links cut both ways and 10% losing 30%."""
    print(uvloop.run(measure_lossy_fleet(60)), flush=True)


async def measure_lossy_fleet(count: int) -> str:
    """Returns a line with the time until all take part and know all usage, and members falsely declared
    dead."""
    rng, every = random.Random(1), range(count)
    with tempfile.TemporaryDirectory() as folder:
        async with FleetSite(Path(folder), count) as site:
            for link in site.links.values():
                drawn = rng.random()
                for way in link.ways:
                    way.cut, way.lose = drawn < 0.1, 0.3 if drawn < 0.2 else 0.0
            began = time.monotonic()
            for first in range(0, count, 10):
                await site.start(every[first : first + 10])
            started = time.monotonic() - began
            whole = await site.until(lambda: site.whole(every, 0.9), 120.0)
            accounts = [Account(b"%016x" % i, "standard", 1.0, f",spread={count},first=0") for i in range(50)]
            told = await site.load(20.0, 1.0, accounts)
            assert checks.lost(told) == 0 and checks.refused_and_ran(site.site.nodes, told) == 0
            buried = sum(gateway.log.read_text().count("now=dead") for gateway in site.gateways)
            same = await site.until(lambda: site.same_digest(every), 60.0)
            what = f"{count} processes, a tenth of the links cut, a tenth losing 30 %"
            load = f"{len(told)} requests, none lost; copies the same {same:.1f} s after them"
            start = f"started by tens in {started:.0f} s, whole {whole:.1f} s later"
            return f"{what}: {start}; {buried} false burials; {load}"


PARTS = {
    "quota": quotas, "heal": heals, "detect": detections, "cost": costs, "gone": gone, "large": large,
    "sixty": sixty,
}  # fmt: skip
MORE = {"plot": plot}


def main() -> int:
    """Runs the parts named on the command line, or all."""
    print(machine())
    for name in sys.argv[1:] or PARTS:
        (PARTS | MORE)[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
