"""Runs gateways behind scripted links, whose leased tasks call a service, with random faults."""

from __future__ import annotations

import asyncio
import json
import random
import signal
from pathlib import Path

from lab.fleet.effect_service import EffectService
from lab.fleet.lease_cluster import longest_gap, overlaps
from lab.fleet.processes import FleetSite
from lab.site import free_port

LEASE_S = 1.0  # `longest_s` of the fleet's leases
VOTER_COUNT = 5
VOTER_NUMBERS = range(VOTER_COUNT)
FLEET_OPTIONS = "period_ms = 100\npatience_ms = 1000\n"
# The longest time in which no gateway performs the task: the lease of a killed holder expires, a restarted
# voter is silent, and acquisitions are retried.
MAX_EFFECT_GAP_S = 2.0 * LEASE_S + 3.0


def lease_tables(port: int, *names: str) -> str:
    """Returns the `[fleet.leases]` tables, with tasks of these names that call a service at `port`."""
    tasks = "".join(
        f'[[fleet.leases.tasks]]\nname = "{name}"\nkind = "call"\naddress = "127.0.0.1:{port}"\n'
        "interval_s = 0.05\nlongest_step_s = 0.2\n"
        for name in names
    )
    voters = ", ".join(f'"g{n}"' for n in VOTER_NUMBERS)
    return f"[fleet.leases]\nvoters = [{voters}]\nlongest_s = {LEASE_S}\n{tasks}"


class LeasedTaskFleet:
    """Gateways, of which the first `VOTER_COUNT` are voters, and the service that their leased tasks call."""

    def __init__(
        self, folder: Path, seed: int, service: EffectService, *names: str, count: int = VOTER_COUNT
    ) -> None:
        self.service, self.task_names, self.folder, self.seed = service, names or ("close",), folder, seed
        self.count = count

    async def __aenter__(self) -> LeasedTaskFleet:
        await self.service.start()
        self.site = FleetSite(
            self.folder,
            self.count,
            seed=self.seed,
            fleet_options=FLEET_OPTIONS,
            operator_tables=lease_tables(self.service.port, *self.task_names),
        )
        await self.site.__aenter__()
        for gateway in self.site.gateways:
            gateway.platform["operator"] = f"127.0.0.1:{free_port()}"  # its operations address
            gateway.config_file.write_text(json.dumps(gateway.platform))
        await self.site.start()
        return self

    async def __aexit__(self, *failure: object) -> None:
        await self.site.__aexit__()
        await self.service.stop()

    async def wait_for_effects(self, count: int = 3, timeout_s: float = MAX_EFFECT_GAP_S) -> int:
        """Waits for `count` further effects; returns the gateway that caused the last one."""
        before = len(self.service.effects)
        async with asyncio.timeout(timeout_s):
            while len(self.service.effects) < before + count:
                await asyncio.sleep(0.01)
        return self.last_holder

    async def wait_for_takeover(self, previous: int, timeout_s: float = MAX_EFFECT_GAP_S) -> int:
        """Waits until a gateway other than `previous` causes an effect; returns it."""
        async with asyncio.timeout(timeout_s):
            while self.last_holder == previous:
                await asyncio.sleep(0.01)
        return self.last_holder

    async def set_draining(self, number: int, on: bool) -> None:
        """Switches a gateway's lame duck state on or off over its operations address."""
        host, _, port = self.site.gateways[number].platform["operator"].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"PUT /_lameduck/{'on' if on else 'off'} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        assert b" 200 " in await reader.readline()
        writer.close()

    @property
    def last_holder(self) -> int:
        """Number of the gateway that caused the last effect."""
        return int(self.service.effects[-1].holder[1:].partition("#")[0])

    def stop_during_effect(self) -> asyncio.Future[int]:
        """Stops the next gateway that causes an effect while that lasts; the result is its number."""
        stopped: asyncio.Future[int] = asyncio.get_running_loop().create_future()

        def stop(name: str) -> None:
            if not stopped.done():
                self.site.send_signal(int(name[1:]), signal.SIGSTOP)
                stopped.set_result(int(name[1:]))

        self.service.on_effect = stop
        return stopped


async def run_with_random_faults(
    folder: Path, seed: int, count: int, faults: int
) -> tuple[int, list[str], float]:
    """Runs gateways with random faults.

    Returns the number of effects, the errors by the service's records, and the longest time without an effect
    while a majority could communicate.
    """
    rng, service, errors, longest_gap_s = random.Random(seed), EffectService(effect_s=0.1), [], 0.0
    loop = asyncio.get_running_loop()
    async with LeasedTaskFleet(folder, seed, service, count=count) as fleet:
        site = fleet.site
        await fleet.wait_for_effects(1, 10.0)
        for _ in range(faults):
            target = fleet.last_holder
            kind = rng.choice(["during effect", "stop", "kill", "cut", "one way", "end", "two"])
            others = [n for n in range(count) if n != target]
            fault_at = loop.time()
            if kind == "during effect":
                target = await fleet.stop_during_effect()
            elif kind in ("stop", "two"):
                await asyncio.sleep(rng.random() * 0.3)  # at any point of a step or of a lease renewal
                target = fleet.last_holder
                site.send_signal(target, signal.SIGSTOP)
            elif kind == "kill":
                site.send_signal(target, signal.SIGKILL)
            elif kind == "end":
                site.send_signal(target, signal.SIGTERM)
            elif kind == "cut":
                site.split([[target], others])
            else:  # the gateway receives messages, but those that it sends are lost
                for (first, last), link in site.member_links.items():
                    if target in (first, last):
                        link.cut(0 if first == target else 1)
            other_stopped = rng.choice([n for n in VOTER_NUMBERS if n != target]) if kind == "two" else None
            if other_stopped is not None:
                site.send_signal(other_stopped, signal.SIGSTOP)
            try:
                await fleet.wait_for_takeover(target, 10.0)
                await fleet.wait_for_effects(3, 10.0)
            except TimeoutError:
                errors.append(f"{kind}: no other gateway took over within 10 s")
            for number in (target, other_stopped):
                if number is not None and kind in ("during effect", "stop", "two"):
                    site.send_signal(number, signal.SIGCONT)
            if kind in ("kill", "end"):
                process = site.gateways[target].process
                assert process is not None
                await loop.run_in_executor(None, process.wait)
                await site.start([target])
            if kind in ("cut", "one way"):
                for link in site.member_links.values():
                    link.cut(cut=False)
            await fleet.wait_for_effects(3, 10.0)
            longest_gap_s = max(longest_gap_s, longest_gap(service.effects, "close", fault_at, loop.time()))
        errors += [f"{earlier} overlaps {later}" for earlier, later in overlaps(service.effects)]
        return len(service.effects), errors, longest_gap_s
