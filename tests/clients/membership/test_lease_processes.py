"""Leased tasks of five gateway processes that are stopped, killed, partitioned and ended.

A service records each effect of a task with its holder, start and end.
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
from lab.fleet.effect_service import EffectService
from lab.fleet.lease_cluster import longest_gap, overlaps
from lab.fleet.leased_tasks import (
    FLEET_OPTIONS,
    LEASE_S,
    MAX_EFFECT_GAP_S,
    VOTER_NUMBERS,
    LeasedTaskFleet,
    lease_tables,
)
from lab.fleet.processes import FleetSite
from lab.peers import run_scenario, server_row
from lab.site import GatewayProcess, free_port


@pytest.mark.parametrize("seed", [1, 2])
def test_acts_never_overlap_through_stops_kills_partitions_and_ends(seed: int, tmp_path: Path) -> None:
    async def scenario() -> None:
        service = EffectService()
        async with LeasedTaskFleet(tmp_path, seed, service) as fleet:
            site, rng = fleet.site, random.Random(seed)
            began = asyncio.get_running_loop().time()
            first = await fleet.wait_for_effects(5)
            # A holder that was stopped during an effect continues with outdated state after a takeover.
            stopped = await fleet.stop_during_effect()
            next_holder = await fleet.wait_for_takeover(stopped)
            await fleet.wait_for_effects()
            site.send_signal(stopped, signal.SIGCONT)
            await fleet.wait_for_effects(10)
            # A holder is partitioned from the voters, but not from the service.
            isolated = fleet.last_holder
            site.split([[isolated], [n for n in VOTER_NUMBERS if n != isolated]])
            await fleet.wait_for_takeover(isolated)
            await fleet.wait_for_effects(5)
            site.split([[isolated], [n for n in VOTER_NUMBERS if n != isolated]], cut=False)
            # A killed holder restarts at once under its name, as a voter that has lost its state.
            killed = fleet.last_holder
            site.send_signal(killed, signal.SIGKILL)
            await site.start([killed])
            await fleet.wait_for_effects(5)
            # The holder and another are stopped at any moment; the other three continue the task.
            stopped_pair = [
                *rng.sample([n for n in VOTER_NUMBERS if n != fleet.last_holder], 1),
                fleet.last_holder,
            ]
            for number in stopped_pair:
                site.send_signal(number, signal.SIGSTOP)
            await fleet.wait_for_takeover(stopped_pair[1])
            for number in stopped_pair:
                site.send_signal(number, signal.SIGCONT)
            await fleet.wait_for_effects(5)
            # A draining holder releases the lease, and competes again after the drain.
            draining = fleet.last_holder
            await fleet.set_draining(draining, True)
            await fleet.wait_for_takeover(draining)
            await fleet.wait_for_effects(5)
            assert draining not in {
                int(effect.holder[1:].partition("#")[0]) for effect in service.effects[-4:]
            }
            await fleet.set_draining(draining, False)
            # A holder that is told to end releases the lease.
            ended = fleet.last_holder
            site.send_signal(ended, signal.SIGTERM)
            await fleet.wait_for_takeover(ended)
            await fleet.wait_for_effects(5)
            assert overlaps(service.effects) == []
            assert first in VOTER_NUMBERS and next_holder != stopped
            assert (
                longest_gap(service.effects, "close", began, asyncio.get_running_loop().time())
                < MAX_EFFECT_GAP_S
            )

    run_scenario(scenario())


def test_nobody_acts_until_a_majority_of_voters_is_back(tmp_path: Path) -> None:
    async def scenario() -> None:
        service = EffectService(fencing=True)
        async with LeasedTaskFleet(tmp_path, 3, service) as fleet:
            holder = await fleet.wait_for_effects()
            silent = [n for n in VOTER_NUMBERS if n != holder][:3]
            for number in silent:
                fleet.site.send_signal(number, signal.SIGSTOP)
            loop = asyncio.get_running_loop()
            # The holder's lease expires within this time; after that it must cause no effect.
            while loop.time() - service.effects[-1].started_at < 1.5 * LEASE_S:
                await asyncio.sleep(0.02)
            rows = await fleet.site.query(holder, "tasks")
            assert rows and rows[0]["holder"] == "" and rows[0]["nobody"], rows
            for number in silent:
                fleet.site.send_signal(number, signal.SIGCONT)
            await fleet.wait_for_effects()
            assert overlaps(service.effects) == [] and service.rejected_tokens == []

    run_scenario(scenario())


def test_a_task_that_fails_at_each_holder_is_parked_and_other_tasks_go_on(tmp_path: Path) -> None:
    async def scenario() -> None:
        service = EffectService()
        service.failing_task = "bad"
        async with LeasedTaskFleet(tmp_path, 4, service, "bad", "good") as fleet:

            async def is_parked() -> bool:
                rows = [await fleet.site.query(n, "tasks") for n in VOTER_NUMBERS]
                return all(row and row[0]["parked"] for row in rows)

            await fleet.site.wait_until(is_parked)
            await fleet.wait_for_effects(5)
            failed_effects = [effect for effect in service.effects if effect.task == "bad"]
            # The calls of more than one holder: each released the lease after its failure.
            assert 3 <= len(failed_effects) <= 4 and len({effect.holder for effect in failed_effects}) >= 2, (
                failed_effects
            )
            reply = fleet.site.query_blocking(0, "unpark bad")
            assert reply == [{"unparked": True}]
            service.failing_task = ""
            before = len(failed_effects)
            async with asyncio.timeout(MAX_EFFECT_GAP_S):
                while sum(effect.task == "bad" for effect in service.effects) < before + 3:
                    await asyncio.sleep(0.02)
            assert overlaps(service.effects) == []

    run_scenario(scenario())


def test_the_holder_of_a_lease_polls_discovery_for_all(tmp_path: Path) -> None:
    """A killed poller is replaced, and a change in the meantime reaches all gateways."""

    async def scenario() -> None:
        poll_task = (
            lease_tables(1).partition("[[")[0] + '[[fleet.leases.tasks]]\nname = "ask"\nkind = "ask"\n'
        )
        async with FleetSite(
            tmp_path,
            5,
            fleet_options=FLEET_OPTIONS + "share_list = true\n",
            operator_tables=poll_task,
            discovery_calls_per_s=50.0,
        ) as site:
            lists = site.list_service
            assert lists is not None

            async def pollers(numbers: Iterable[int] = VOTER_NUMBERS) -> list[int]:
                replies = {n: await site.query(n, "list") for n in numbers}
                return [n for n, rows in replies.items() if rows and rows[0]["asks"]]

            async def have_newest() -> bool:
                replies = [await site.query(n, "list") for n in rest]
                return all(rows and rows[0]["version"] == lists.version for rows in replies)

            async def has_one_poller() -> bool:
                return len(await pollers()) == 1

            await site.start()
            await site.wait_until(has_one_poller)
            first = lists.calls[-1].at
            while lists.calls[-1].at < first + 7.0:
                await asyncio.sleep(0.02)
            # Earlier polls are left out: each gateway may poll when it starts.
            assert max_calls_per_s(lists.calls, first + 3.0) <= 3
            poller = (await pollers())[0]
            rest = [n for n in VOTER_NUMBERS if n != poller]
            site.send_signal(poller, signal.SIGKILL)
            lists.update(server_row("s1", site.services.nodes[1].port, "Terminating"))
            await site.wait_until(have_newest, 10.0)

            async def is_replaced() -> bool:
                return len(await pollers(rest)) == 1

            await site.wait_until(is_replaced)

    run_scenario(scenario())


def test_a_holder_that_is_replaced_hands_over(tmp_path: Path) -> None:
    """The successor runs, under the same name and with the same socket, before the holder is told to end.
    The second time the holder is stopped meanwhile, and continues once another gateway has taken over."""

    async def scenario() -> None:
        service = EffectService()
        async with LeasedTaskFleet(tmp_path, 6, service) as fleet:
            site = fleet.site
            for stopped in (False, True):
                number = await fleet.wait_for_effects(3)
                old = site.gateways[number]
                with socket.create_server(("127.0.0.1", free_port()), backlog=512) as listener:
                    # Restarted with a passed socket, as by a platform that replaces processes.
                    site.send_signal(number, signal.SIGKILL)
                    old.platform["listen"] = f"127.0.0.1:{listener.getsockname()[1]}"
                    old.port = listener.getsockname()[1]
                    old.config_file.write_text(json.dumps(old.platform))
                    old.passed_socket, old.temp_folder = listener, tmp_path
                    await site.start([number])
                    await wait_until_holder(fleet, number)
                    folder = tmp_path / f"next{number}{stopped}"
                    folder.mkdir()
                    platform = {**old.platform, "operator": f"127.0.0.1:{free_port()}"}
                    new = GatewayProcess(folder, platform, old.operator_file.read_text())
                    new.passed_socket, new.temp_folder = listener, tmp_path
                    new.start()
                    await site.wait_until(lambda new=new: has_logged(new, "address.taken"))  # type: ignore[misc]
                    began = asyncio.get_running_loop().time()
                    if stopped:
                        site.send_signal(number, signal.SIGSTOP)
                        await fleet.wait_for_takeover(number)
                        site.send_signal(number, signal.SIGCONT)
                    old.send_signal(signal.SIGTERM)
                    assert old.process is not None
                    assert await asyncio.get_running_loop().run_in_executor(None, old.process.wait) == 0
                    await fleet.wait_for_effects(8)
                    assert (
                        longest_gap(service.effects, "close", began, service.effects[-1].started_at)
                        < MAX_EFFECT_GAP_S
                    )
                    site.gateways[number] = new
            assert overlaps(service.effects) == []

    async def has_logged(gateway: GatewayProcess, text: str) -> bool:
        return text in gateway.log_file.read_text()

    async def wait_until_holder(fleet: LeasedTaskFleet, number: int) -> None:
        """Drains all other gateways until this one holds the lease and causes an effect."""
        for other in VOTER_NUMBERS:
            if other != number:
                await fleet.set_draining(other, True)
        async with asyncio.timeout(MAX_EFFECT_GAP_S + 10.0):
            while not fleet.service.effects or fleet.last_holder != number:
                await asyncio.sleep(0.02)
        for other in VOTER_NUMBERS:
            if other != number:
                await fleet.set_draining(other, False)

    run_scenario(scenario())
