"""Leased tasks of five gateway processes that are stopped, killed, partitioned and ended.

A service records each call of a task, an act, with its holder, begin and end.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import socket
from collections.abc import Iterable
from pathlib import Path

import pytest

from lab.coldstart import max_calls_per_s
from lab.fleet.acting import EVERY, LONGEST, MORE, NOBODY_S, Acting, tasks
from lab.fleet.effects import EffectService
from lab.fleet.holders import longest_gap, overlaps
from lab.fleet.processes import FleetSite
from lab.peers import run_scenario, server_row
from lab.site import GatewayProcess, free_port


@pytest.mark.parametrize("seed", [1, 2])
def test_acts_never_overlap_through_stops_kills_partitions_and_ends(seed: int, tmp_path: Path) -> None:
    async def scenario() -> None:
        service = EffectService()
        async with Acting(tmp_path, seed, service) as one:
            site, rng = one.site, random.Random(seed)
            began = asyncio.get_running_loop().time()
            first = await one.acts(5)
            # A holder that was stopped during an act goes on, with outdated state, when its successor acts.
            stopped = await one.stop_in_mid_act()
            next_holder = await one.another(stopped)
            await one.acts()
            site.send_signal(stopped, signal.SIGCONT)
            await one.acts(10)
            # A holder is partitioned from the voters, but not from the service.
            isolated = one.holder
            site.split([[isolated], [n for n in EVERY if n != isolated]])
            await one.another(isolated)
            await one.acts(5)
            site.split([[isolated], [n for n in EVERY if n != isolated]], cut=False)
            # A killed holder restarts at once under its name, as a voter that has lost its state.
            killed = one.holder
            site.send_signal(killed, signal.SIGKILL)
            await site.start([killed])
            await one.acts(5)
            # The holder and one other are stopped at any moment; the remaining three act.
            stopped_pair = [*rng.sample([n for n in EVERY if n != one.holder], 1), one.holder]
            for number in stopped_pair:
                site.send_signal(number, signal.SIGSTOP)
            await one.another(stopped_pair[1])
            for number in stopped_pair:
                site.send_signal(number, signal.SIGCONT)
            await one.acts(5)
            # A draining holder releases the lease, and competes again after the drain.
            draining = one.holder
            await one.set_draining(draining, True)
            await one.another(draining)
            await one.acts(5)
            assert draining not in {int(act.by[1:].partition("#")[0]) for act in service.acts[-4:]}
            await one.set_draining(draining, False)
            # A holder that is told to end releases the lease.
            ended = one.holder
            site.send_signal(ended, signal.SIGTERM)
            await one.another(ended)
            await one.acts(5)
            assert overlaps(service.acts) == []
            assert first in EVERY and next_holder != stopped
            assert longest_gap(service.acts, "close", began, asyncio.get_running_loop().time()) < NOBODY_S

    run_scenario(scenario())


def test_nobody_acts_until_a_majority_of_voters_is_back(tmp_path: Path) -> None:
    async def scenario() -> None:
        service = EffectService(fencing=True)
        async with Acting(tmp_path, 3, service) as one:
            holder = await one.acts()
            silent = [n for n in EVERY if n != holder][:3]
            for number in silent:
                one.site.send_signal(number, signal.SIGSTOP)
            loop = asyncio.get_running_loop()
            # The holder's lease expires within this time; then it must not act any more.
            while loop.time() - service.acts[-1].began < 1.5 * LONGEST:
                await asyncio.sleep(0.02)
            rows = await one.site.asked(holder, "tasks")
            assert rows and rows[0]["holder"] == "" and rows[0]["nobody"], rows
            for number in silent:
                one.site.send_signal(number, signal.SIGCONT)
            await one.acts()
            assert overlaps(service.acts) == [] and service.refused == []

    run_scenario(scenario())


def test_a_task_that_fails_at_each_holder_is_parked_and_other_tasks_go_on(tmp_path: Path) -> None:
    async def scenario() -> None:
        service = EffectService()
        service.poison = "bad"
        async with Acting(tmp_path, 4, service, "bad", "good") as one:

            async def is_parked() -> bool:
                rows = [await one.site.asked(n, "tasks") for n in EVERY]
                return all(row and row[0]["parked"] for row in rows)

            await one.site.until(is_parked)
            await one.acts(5)
            failed_acts = [act for act in service.acts if act.task == "bad"]
            # The acts of more than one holder: each released the lease after its failure.
            assert 3 <= len(failed_acts) <= 4 and len({act.by for act in failed_acts}) >= 2, failed_acts
            reply = one.site.ask(0, "unpark bad")
            assert reply == [{"unparked": True}]
            service.poison = ""
            before = len(failed_acts)
            async with asyncio.timeout(NOBODY_S):
                while sum(act.task == "bad" for act in service.acts) < before + 3:
                    await asyncio.sleep(0.02)
            assert overlaps(service.acts) == []

    run_scenario(scenario())


def test_the_holder_of_a_lease_polls_discovery_for_all(tmp_path: Path) -> None:
    """A killed poller is replaced, and a change in the meantime reaches all gateways."""

    async def scenario() -> None:
        poll_task = tasks(1).partition("[[")[0] + '[[fleet.leases.tasks]]\nname = "ask"\nkind = "ask"\n'
        async with FleetSite(
            tmp_path, 5, more=MORE + "share_list = true\n", tail=poll_task, lists=50.0
        ) as site:
            lists = site.lists
            assert lists is not None

            async def pollers(numbers: Iterable[int] = EVERY) -> list[int]:
                replies = {n: await site.asked(n, "list") for n in numbers}
                return [n for n, rows in replies.items() if rows and rows[0]["asks"]]

            async def have_newest() -> bool:
                replies = [await site.asked(n, "list") for n in rest]
                return all(rows and rows[0]["version"] == lists.version for rows in replies)

            async def has_one_poller() -> bool:
                return len(await pollers()) == 1

            await site.start()
            await site.until(has_one_poller)
            first = lists.calls[-1].at
            while lists.calls[-1].at < first + 7.0:
                await asyncio.sleep(0.02)
            # Earlier polls are left out: each gateway may poll when it starts.
            assert max_calls_per_s(lists.calls, first + 3.0) <= 3
            poller = (await pollers())[0]
            rest = [n for n in EVERY if n != poller]
            site.send_signal(poller, signal.SIGKILL)
            lists.update(server_row("s1", site.site.nodes[1].port, "Terminating"))
            await site.until(have_newest, 10.0)

            async def is_replaced() -> bool:
                return len(await pollers(rest)) == 1

            await site.until(is_replaced)

    run_scenario(scenario())


def test_a_holder_that_is_replaced_hands_over(tmp_path: Path) -> None:
    """The successor runs, under the same name and with the same socket, before the holder is told to end.
    The second time the holder is stopped meanwhile, and goes on once another gateway has acted."""

    async def scenario() -> None:
        service = EffectService()
        async with Acting(tmp_path, 6, service) as one:
            site = one.site
            for stopped in (False, True):
                number = await one.acts(3)
                old = site.gateways[number]
                with socket.create_server(("127.0.0.1", free_port()), backlog=512) as listener:
                    # Restarted with a passed socket, as by a platform that replaces processes.
                    site.send_signal(number, signal.SIGKILL)
                    old.platform["listen"] = f"127.0.0.1:{listener.getsockname()[1]}"
                    old.port = listener.getsockname()[1]
                    old.config.write_text(json.dumps(old.platform))
                    old.passed, old.shared = listener, tmp_path
                    await site.start([number])
                    await wait_until_holder(one, number)
                    folder = tmp_path / f"next{number}{stopped}"
                    folder.mkdir()
                    platform = {**old.platform, "operator": f"127.0.0.1:{free_port()}"}
                    new = GatewayProcess(folder, platform, old.operator.read_text())
                    new.passed, new.shared = listener, tmp_path
                    new.start()
                    await site.until(lambda new=new: has_logged(new, "address.taken"))  # type: ignore[misc]
                    began = asyncio.get_running_loop().time()
                    if stopped:
                        site.send_signal(number, signal.SIGSTOP)
                        await one.another(number)
                        site.send_signal(number, signal.SIGCONT)
                    old.signal(signal.SIGTERM)
                    assert old.process is not None
                    assert await asyncio.get_running_loop().run_in_executor(None, old.process.wait) == 0
                    await one.acts(8)
                    assert longest_gap(service.acts, "close", began, service.acts[-1].began) < NOBODY_S
                    site.gateways[number] = new
            assert overlaps(service.acts) == []

    async def has_logged(gateway: GatewayProcess, text: str) -> bool:
        return text in gateway.log.read_text()

    async def wait_until_holder(one: Acting, number: int) -> None:
        """Drains all other gateways until this one acts."""
        for other in EVERY:
            if other != number:
                await one.set_draining(other, True)
        async with asyncio.timeout(NOBODY_S + 10.0):
            while not one.service.acts or one.holder != number:
                await asyncio.sleep(0.02)
        for other in EVERY:
            if other != number:
                await one.set_draining(other, False)

    run_scenario(scenario())
