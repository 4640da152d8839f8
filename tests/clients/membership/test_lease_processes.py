"""Tasks of five processes behind scripted links: stops, kills, cuts, ends. A service books every act."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import socket
from collections.abc import Iterable
from pathlib import Path

import pytest

from lab.coldstart import busiest
from lab.fleet.acting import EVERY, LONGEST, MORE, NOBODY_S, Acting, tasks
from lab.fleet.effects import EffectService
from lab.fleet.holders import longest_gap, overlaps
from lab.fleet.processes import FleetSite
from lab.peers import play, row
from lab.site import GatewayProcess, free_port


@pytest.mark.parametrize("seed", [1, 2])
def test_no_two_act_at_once_through_stops_kills_cuts_and_ends(seed: int, tmp_path: Path) -> None:
    async def scenario() -> None:
        service = EffectService()
        async with Acting(tmp_path, seed, service) as one:
            site, rng = one.site, random.Random(seed)
            began = asyncio.get_running_loop().time()
            first = await one.acts(5)
            # Stopped in mid-act, it goes on when its heir acts, with old beliefs.
            stopped = await one.stop_in_mid_act()
            heir = await one.another(stopped)
            await one.acts()
            site.send_signal(stopped, signal.SIGCONT)
            await one.acts(10)
            # Cut off from the voters and not from what it acts on.
            cut = one.holder
            site.split([[cut], [n for n in EVERY if n != cut]])
            await one.another(cut)
            await one.acts(5)
            site.split([[cut], [n for n in EVERY if n != cut]], cut=False)
            # Killed, and back under its name at once: a voter that remembers nothing.
            killed = one.holder
            site.send_signal(killed, signal.SIGKILL)
            await site.start([killed])
            await one.acts(5)
            # Stopped at any moment, two of five; the three that are left act.
            both = [*rng.sample([n for n in EVERY if n != one.holder], 1), one.holder]
            for number in both:
                site.send_signal(number, signal.SIGSTOP)
            await one.another(both[1])
            for number in both:
                site.send_signal(number, signal.SIGCONT)
            await one.acts(5)
            # A lame duck gives back, and is there again.
            duck = one.holder
            await one.lame_duck(duck, True)
            await one.another(duck)
            await one.acts(5)
            assert duck not in {int(act.by[1:].partition("#")[0]) for act in service.acts[-4:]}
            await one.lame_duck(duck, False)
            # A planned end hands over.
            ended = one.holder
            site.send_signal(ended, signal.SIGTERM)
            await one.another(ended)
            await one.acts(5)
            assert overlaps(service.acts) == []
            assert first in EVERY and heir != stopped
            assert longest_gap(service.acts, "close", began, asyncio.get_running_loop().time()) < NOBODY_S

    play(scenario())


def test_a_stopped_majority_lets_nobody_act_and_its_return_does(tmp_path: Path) -> None:
    async def scenario() -> None:
        service = EffectService(fencing=True)
        async with Acting(tmp_path, 3, service) as one:
            holder = await one.acts()
            quiet = [n for n in EVERY if n != holder][:3]
            for number in quiet:
                one.site.send_signal(number, signal.SIGSTOP)
            loop = asyncio.get_running_loop()
            while loop.time() - service.acts[-1].began < 1.5 * LONGEST:  # its lease ends: it must not act on
                await asyncio.sleep(0.02)
            rows = await one.site.asked(holder, "tasks")
            assert rows and rows[0]["holder"] == "" and rows[0]["nobody"], rows
            for number in quiet:
                one.site.send_signal(number, signal.SIGCONT)
            await one.acts()
            assert overlaps(service.acts) == [] and service.refused == []

    play(scenario())


def test_a_task_that_fails_at_each_holder_is_parked_and_others_go_on(tmp_path: Path) -> None:
    async def scenario() -> None:
        service = EffectService()
        service.poison = "bad"
        async with Acting(tmp_path, 4, service, "bad", "good") as one:

            async def parked() -> bool:
                rows = [await one.site.asked(n, "tasks") for n in EVERY]
                return all(row and row[0]["parked"] for row in rows)

            await one.site.until(parked)
            await one.acts(5)
            bad = [act for act in service.acts if act.task == "bad"]
            assert 3 <= len(bad) <= 4 and len({act.by for act in bad}) >= 2, bad  # no holder kept it
            freed = one.site.ask(0, "unpark bad")
            assert freed == [{"unparked": True}]
            service.poison = ""
            before = len(bad)
            async with asyncio.timeout(NOBODY_S):
                while sum(act.task == "bad" for act in service.acts) < before + 3:
                    await asyncio.sleep(0.02)
            assert overlaps(service.acts) == []

    play(scenario())


def test_one_gateway_asks_discovery_for_all_by_a_lease(tmp_path: Path) -> None:
    """Killed, it is replaced; a change in the meantime reaches all."""

    async def scenario() -> None:
        ask = tasks(1).partition("[[")[0] + '[[fleet.leases.tasks]]\nname = "ask"\nkind = "ask"\n'
        async with FleetSite(tmp_path, 5, more=MORE + "share_list = true\n", tail=ask, lists=50.0) as site:
            lists = site.lists
            assert lists is not None

            async def askers(numbers: Iterable[int] = EVERY) -> list[int]:
                told = {n: await site.asked(n, "list") for n in numbers}
                return [n for n, rows in told.items() if rows and rows[0]["asks"]]

            async def newest() -> bool:
                told = [await site.asked(n, "list") for n in rest]
                return all(rows and rows[0]["version"] == lists.version for rows in told)

            async def one() -> bool:
                return len(await askers()) == 1

            await site.start()
            await site.until(one)
            first = lists.calls[-1].at
            while lists.calls[-1].at < first + 7.0:
                await asyncio.sleep(0.02)
            assert busiest(lists.calls, first + 3.0) <= 3  # before that, those that asked at their start
            asker = (await askers())[0]
            rest = [n for n in EVERY if n != asker]
            site.send_signal(asker, signal.SIGKILL)
            lists.update(row("s1", site.site.nodes[1].port, "Terminating"))
            await site.until(newest, 10.0)

            async def replaced() -> bool:
                return len(await askers(rest)) == 1

            await site.until(replaced)

    play(scenario())


def test_a_holder_that_is_replaced_hands_over(tmp_path: Path) -> None:
    """Its successor is there, under one name and at one listening socket, before it is told to end; and the
    successor of a stopped holder, which goes on after the address is another's."""

    async def scenario() -> None:
        service = EffectService()
        async with Acting(tmp_path, 6, service) as one:
            site = one.site
            for stopped in (False, True):
                number = await one.acts(3)
                old = site.gateways[number]
                with socket.create_server(("127.0.0.1", free_port()), backlog=512) as door:
                    # Begun anew at a passed socket, as a platform that replaces processes has it.
                    site.send_signal(number, signal.SIGKILL)
                    old.platform["listen"] = f"127.0.0.1:{door.getsockname()[1]}"
                    old.port = door.getsockname()[1]
                    old.config.write_text(json.dumps(old.platform))
                    old.passed, old.shared = door, tmp_path
                    await site.start([number])
                    await wait_until_it_holds(one, number)
                    folder = tmp_path / f"next{number}{stopped}"
                    folder.mkdir()
                    platform = {**old.platform, "operator": f"127.0.0.1:{free_port()}"}
                    new = GatewayProcess(folder, platform, old.operator.read_text())
                    new.passed, new.shared = door, tmp_path
                    new.start()
                    await site.until(lambda new=new: shows(new, "address.taken"))  # type: ignore[misc]
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

    async def shows(one: GatewayProcess, line: str) -> bool:
        return line in one.log.read_text()

    async def wait_until_it_holds(one: Acting, number: int) -> None:
        """All others are lame ducks until it acts."""
        for other in EVERY:
            if other != number:
                await one.lame_duck(other, True)
        async with asyncio.timeout(NOBODY_S + 10.0):
            while not one.service.acts or one.holder != number:
                await asyncio.sleep(0.02)
        for other in EVERY:
            if other != number:
                await one.lame_duck(other, False)

    play(scenario())
