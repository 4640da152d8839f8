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
from lab.fleet.emulated_members import EmulatedMembers
from lab.fleet.processes import FleetSite
from lab.fleet.simulated_networks import GossipNetwork, SwimNetwork, cut_off
from lab.load import Account
from lab.sim.members import run_downtime
from lab.site import free_port

ACCOUNT = Account(b"%016x" % 77, "standard", 1.0, ",spread=5,first=0")
RATE, BURST = 4.0, 12.0  # units per second and burst units of the account's plan
SECONDS = 8.0  # duration of the load
# Requests a second of the account at each of five gateways.
LOADS = {"even": (2.0, 2.0, 2.0, 2.0, 2.0), "skewed": (6.0, 1.0, 0.5, 0.5, 0.0)}


async def measure_quota(fault: str, load: str, has_members: bool, seed: int) -> tuple[float, float]:
    """Returns the share of requests refused with quota left and the overshoot in units, for one account at
    five gateways.

    `fault` is "sound" for none, "slow" for late replies of the counter, "mute" for no connection to it, or
    "split" for "mute" with the members also cut into two groups.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with FleetSite(Path(folder), 5, seed, has_fleet=has_members) as site:
            await site.start()
            if has_members:
                await site.wait_until(lambda: site.know_usage_of(range(5), 1.0))
            if fault == "slow":
                for link in site.counter_links:
                    # Together with the delay of the request, about half of the replies are late.
                    link.directions[1].delay_s = 0.045
            elif fault != "sound":
                for link in site.counter_links:
                    link.cut()
            if fault == "split" and has_members:
                site.split([[0, 1], [2, 3, 4]])
            rates = [(n, rate) for n, rate in enumerate(LOADS[load]) if rate]
            outcomes_by_gateway = await asyncio.gather(
                *(site.run_load(SECONDS, rate, [ACCOUNT], [n]) for n, rate in rates)
            )
            outcomes = [outcome for outcomes in outcomes_by_gateway for outcome in outcomes]
            assert (
                checks.lost_count(outcomes) == 0
                and checks.rejected_but_ran_count(site.services.nodes, outcomes) == 0
            )
            return (
                checks.unjustified_rejection_fraction(outcomes, ACCOUNT.account_id, RATE, BURST),
                checks.overshoot(site.services.nodes, ACCOUNT.account_id, RATE, BURST),
            )


async def measure_quota_seeds(fault: str, load: str, has_members: bool) -> list[tuple[float, float]]:
    """Runs `measure_quota` with three seeds concurrently."""
    return await asyncio.gather(*(measure_quota(fault, load, has_members, seed) for seed in (1, 2, 3)))


def print_quotas() -> None:
    """Prints refusals and overshoot with members and without, three seeds each."""
    print(f"five processes, one account of {RATE:g} a second and {BURST:g} at once, 8 to 10 a second asked")
    for fault in ("sound", "slow", "mute", "split"):
        for load in LOADS:
            cells = []
            for has_members in (False, True):
                by_seed = uvloop.run(measure_quota_seeds(fault, load, has_members))
                refused, overshoot = (statistics.mean(figures) for figures in zip(*by_seed, strict=True))
                which = "with" if has_members else "without"
                cells.append(f"{which} members {refused:.3f}, overshoot {overshoot:4.1f}")
            print(f"{fault:6} {load:7} refused with room {'; '.join(cells)}", flush=True)


def heal_times_s(count: int) -> list[float]:
    """Returns the seconds from the end of a partition until all copies agree, over seeds."""
    times_s = []
    for seed in range(5):
        network = GossipNetwork(count, seed)
        network.run(30.0, network.are_complete)
        half = set(network.names[: count // 2])
        network.cut = cut_off(half)
        network.publish_rows(5)
        network.run(3.0)
        network.cut = lambda sender, to: False
        times_s.append(network.run(60.0, network.are_equal))
    return times_s


def plot() -> None:
    """Plots the time to agree by the number of copies for the design note; needs glenchute[bench]."""
    import pygal

    counts = [3, 5, 10, 20, 40, 70, 100]
    times_s = [heal_times_s(count) for count in counts]
    chart = pygal.Line(title="Seconds from a heal to copies that agree (5 rows each)", range=(0, None))
    chart.x_labels = [str(count) for count in counts]
    chart.add("median of 5 seeds", [round(statistics.median(row), 2) for row in times_s])
    chart.add("at most", [round(max(row), 2) for row in times_s])
    chart.add("wanted at 40", [1.0] * len(counts))
    chart.render_to_file("docs/design/replication.svg")
    print("docs/design/replication.svg", [statistics.median(row) for row in times_s])


def print_heal_times() -> None:
    """Prints the time until copies agree after a partition in which 5 rows were written for each member."""
    for count in (5, 40, 100):
        times_s = heal_times_s(count)
        print(f"heal at {count:3} copies, {5 * count} rows: agreed after "
              f"{statistics.median(times_s):.1f} s, at most {max(times_s):.1f} s")  # fmt: skip


def print_detection_times() -> None:
    """Prints the time until a stopped member is first suspected and until all declare it dead, and how many
    members were falsely declared dead in the 20 s before. Messages of slow members arrive 0.5 s late, which
    is 2.5 periods of 0.2 s. By SWIM's analysis the first probe that fails is expected after e / (e - 1) =
    1.582 periods, and it fails at its period's end, one period later: after 2.582 periods."""
    cases = ((10, 0.0, 0.0), (40, 0.0, 0.0), (40, 0.1, 0.0), (100, 0.0, 0.01), (100, 0.0, 0.1),
             (200, 0.02, 0.0), (500, 0.0, 0.0), (500, 0.0, 0.01), (500, 0.0, 0.1))  # fmt: skip
    for count, loss, slow_share in cases:
        suspected_s, declared_s, false_deaths = [], [], 0
        for seed in range(3 if count < 500 else 1):
            net = SwimNetwork(count, seed, loss)
            net.extra_delay_s = {
                name: 0.5 for name in net.rng.sample(net.names[2:], round(slow_share * count))
            }
            net.run(30.0, net.all_participate)
            net.run(20.0)
            false_deaths += len(net.declared_dead)
            net.stopped.add("g1")
            suspected_s.append(net.run(30.0, lambda net=net: any(  # type: ignore[misc]
                net.seen("g1", by) is not MemberState.ALIVE for by in net.names if by != "g1"
            )))  # fmt: skip
            dead_to_all_s = net.run(60.0, lambda net=net: net.all_see("g1", MemberState.DEAD))  # type: ignore[misc]
            declared_s.append(suspected_s[-1] + dead_to_all_s)
        print(f"{count:3} members, {loss:.0%} lost, {slow_share:.0%} slow: suspected after "
              f"{statistics.mean(suspected_s):.2f} s (SWIM {0.2 * 2.582:.2f}), buried by all after "
              f"{statistics.mean(declared_s):.1f} s, false burials {false_deaths}", flush=True)  # fmt: skip


def print_server_loss() -> None:
    """Prints attempts without a connection while 7 of 20 servers are down, and the time until all are used
    again."""
    for count, rate in ((10, 200.0), (40, 200.0), (40, 800.0), (100, 400.0)):
        runs = [
            [run_downtime(seed, count, has_members, rate) for seed in (1, 2, 3)]
            for has_members in (False, True)
        ]
        cells = (
            f"{sum(run.unreachable_count for run in row)} "
            f"({sum(run.late_unreachable_count for run in row)} in the last quarter), all used "
            f"after {statistics.median(run.recovery_ms for run in row) / 1000.0:.1f} s"
            for row in runs
        )
        print(f"{count:3} gateways, {rate:.0f} a second: without, with members {'; '.join(cells)}")


def print_costs() -> None:
    """Prints the CPU of a comparison of copies with 10,000 rows, then CPU and bytes of processes with members
    and without."""
    replica, rng = Replica(), random.Random(1)
    for _ in range(10_000):
        replica.merge(0.0, Row(RowKind.USE, f"{rng.getrandbits(32):016x}/1", "g1#1", 1, 1.0))
    started = time.process_time()
    for _ in range(20):
        replica.child_hashes(0.0, None)
    ms_per_run = 1000.0 * (time.process_time() - started) / 20
    print(f"one root of hashes over 10,000 rows: {ms_per_run:.1f} ms")
    for count in (2, 10, 30):
        print(uvloop.run(measure_cpu(count)), flush=True)


async def measure_cpu(count: int) -> str:
    """Returns a line with the CPU of idle and busy gateways, with members and without."""
    figures = []
    for has_members in (False, True):
        with tempfile.TemporaryDirectory() as folder:
            async with FleetSite(Path(folder), count, has_fleet=has_members) as site:
                await site.start()
                if has_members:
                    await site.wait_until(lambda site=site: site.know_usage_of(range(count), 1.0), 60.0)  # type: ignore[misc]
                pids = [g.process.pid for g in site.gateways if g.process is not None]
                before_s = [cpu_s(pid) for pid in pids]
                await asyncio.sleep(8.0)
                idle_percent = [
                    100.0 * (cpu_s(pid) - was) / 8.0 for pid, was in zip(pids, before_s, strict=True)
                ]
                fields = f",spread={count},first=0"
                accounts = [Account(b"%016x" % i, "standard", 1.0, fields) for i in range(400)]
                was = cpu_s(pids[0])
                await site.run_load(8.0, 100.0, accounts, [0])
                busy_percent = 100.0 * (cpu_s(pids[0]) - was) / 8.0
                sent_bytes = (await site.query(0, "state"))[0]["sent_bytes"] if has_members else 0
                figures.append((statistics.mean(idle_percent), busy_percent, sent_bytes))
    (idle_without, busy_without, _), (idle_with, busy_with, sent_bytes) = figures
    idle_text = f"CPU idle {idle_without:.1f} % without, {idle_with:.1f} % with members"
    busy_text = f"at 100 requests a second {busy_without:.1f} and {busy_with:.1f} %"
    sent_text = f"{sent_bytes / 1024.0:.0f} KiB of rows and hashes sent"
    return f"{count:2} processes: {idle_text}; {busy_text}; {sent_text}"


def print_large_fleets() -> None:
    """Prints CPU and bytes of one process among up to 200 members, which are simulated over sockets, with
    10,000 accounts in use. Accounts use three gateways, then all."""
    for count, rows_s, spread in ((20, 200.0, 3), (200, 200.0, 3), (200, 400.0, 3), (200, 200.0, 200)):
        print(uvloop.run(measure_one_of(count, 10_000, rows_s, spread)), flush=True)


async def measure_one_of(count: int, accounts: int, rows_s: float, spread: int) -> str:
    """Returns a line with the CPU of one process at 100 requests a second, and what it sends."""
    figures = []
    for has_members in (False, True):
        with tempfile.TemporaryDirectory() as folder:
            async with FleetSite(Path(folder), 1, has_fleet=False) as site:
                gateway, port = site.gateways[0], free_port()
                gateway.platform["settings"]["balancers"] = count
                gateway.config_file.write_text(json.dumps(gateway.platform))
                others = EmulatedMembers(count, accounts, port, spread=spread)
                if has_members:
                    head = f'[fleet]\nfleet = "lab"\nname = "g0"\nlisten = "127.0.0.1:{port}"\n'
                    control = f'control = "{gateway.folder / "control"}"\n'
                    gateway.operator_file.write_text(head + control + others.member_tables())
                    await others.start()
                await site.start()
                assert gateway.process is not None
                pid = gateway.process.pid
                gossip = asyncio.create_task(others.send_traffic(30.0, rows_s)) if has_members else None
                await asyncio.sleep(20.0 if has_members else 1.0)  # lets the copies reach their full size
                fields = f",spread={spread},first=0"
                busy_accounts = [Account(b"%016x" % i, "standard", 1.0, fields) for i in range(400)]
                cpu_before_s, bytes_before, updates_before = (
                    cpu_s(pid),
                    others.received_bytes,
                    others.received_entries,
                )
                outcomes = await site.run_load(8.0, 100.0, busy_accounts, [0])
                served = sum(outcome.answer == "served" for outcome in outcomes) / len(outcomes)
                cpu_percent = 100.0 * (cpu_s(pid) - cpu_before_s) / 8.0
                figures.append((cpu_percent, (others.received_bytes - bytes_before) / 8.0 / 1024.0))
                if gossip is not None:
                    updates = others.received_entries - updates_before
                    await gossip
                    rows = (await site.query(0, "state"))[0]["use"]
                others.stop()
    (cpu_without, _), (cpu_with, sent_kib_s) = figures
    rows_text = f"{rows} held; {served:.0%} served"
    setup_text = f"1 of {count} members, sets of {spread}, {rows_s:.0f} words a second heard"
    cpu_text = f"at 100 requests a second {cpu_without:.1f} % of a core without, {cpu_with:.1f} with"
    sent_text = f"{sent_kib_s:.1f} KiB a second sent, {updates / 8.0:.0f} words a second"
    return f"{setup_text}, {rows_text}: {cpu_text}; {sent_text}"


def print_sixty_processes() -> None:
    """Prints the figures of sixty processes, with 10% of the links cut both ways and 10% losing 30%."""
    print(uvloop.run(measure_lossy_fleet(60)), flush=True)


async def measure_lossy_fleet(count: int) -> str:
    """Returns a line with the time until all processes take part and know all usage, and the number of
    members falsely declared dead."""
    rng, numbers = random.Random(1), range(count)
    with tempfile.TemporaryDirectory() as folder:
        async with FleetSite(Path(folder), count) as site:
            for link in site.member_links.values():
                draw = rng.random()
                for direction in link.directions:
                    direction.is_cut, direction.loss_fraction = draw < 0.1, 0.3 if draw < 0.2 else 0.0
            started = time.monotonic()
            for first in range(0, count, 10):
                await site.start(numbers[first : first + 10])
            start_s = time.monotonic() - started
            complete_s = await site.wait_until(lambda: site.know_usage_of(numbers, 0.9), 120.0)
            accounts = [Account(b"%016x" % i, "standard", 1.0, f",spread={count},first=0") for i in range(50)]
            outcomes = await site.run_load(20.0, 1.0, accounts)
            assert (
                checks.lost_count(outcomes) == 0
                and checks.rejected_but_ran_count(site.services.nodes, outcomes) == 0
            )
            false_deaths = sum(gateway.log_file.read_text().count("now=dead") for gateway in site.gateways)
            agree_s = await site.wait_until(lambda: site.have_same_digest(numbers), 60.0)
            setup_text = f"{count} processes, a tenth of the links cut, a tenth losing 30 %"
            start_text = f"started by tens in {start_s:.0f} s, whole {complete_s:.1f} s later"
            load_text = f"{len(outcomes)} requests, none lost; copies the same {agree_s:.1f} s after them"
            return f"{setup_text}: {start_text}; {false_deaths} false burials; {load_text}"


PARTS = {
    "quota": print_quotas, "heal": print_heal_times, "detect": print_detection_times, "cost": print_costs,
    "gone": print_server_loss, "large": print_large_fleets, "sixty": print_sixty_processes,
}  # fmt: skip
UNLISTED_PARTS = {"plot": plot}  # run only when named on the command line


def main() -> int:
    """Runs the parts named on the command line, or all."""
    print(machine())
    for name in sys.argv[1:] or PARTS:
        (PARTS | UNLISTED_PARTS)[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
