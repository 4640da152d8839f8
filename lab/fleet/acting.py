"""Runs gateways whose leased tasks call a service over scripted links, with random faults."""

from __future__ import annotations

import asyncio
import json
import random
import signal
from pathlib import Path

from lab.fleet.effects import EffectService
from lab.fleet.holders import longest_gap, overlaps
from lab.fleet.processes import FleetSite
from lab.site import free_port

LONGEST = 1.0
VOTERS = 5
EVERY = range(VOTERS)
MORE = "period_ms = 100\npatience_ms = 1000\n"
# The longest time without an act: expiry of a killed holder's lease, start-up silence of a voter, retries.
NOBODY_S = 2.0 * LONGEST + 3.0


def tasks(port: int, *names: str) -> str:
    rows = "".join(
        f'[[fleet.leases.tasks]]\nname = "{name}"\nkind = "call"\naddress = "127.0.0.1:{port}"\n'
        "interval_s = 0.05\nlongest_step_s = 0.2\n"
        for name in names
    )
    voters = ", ".join(f'"g{n}"' for n in EVERY)
    return f"[fleet.leases]\nvoters = [{voters}]\nlongest_s = {LONGEST}\n{rows}"


class Acting:
    """A fleet of gateways, of which the first are voters, and the service that their tasks call."""

    def __init__(
        self, folder: Path, seed: int, service: EffectService, *names: str, count: int = VOTERS
    ) -> None:
        self.service, self.names, self.folder, self.seed = service, names or ("close",), folder, seed
        self.count = count

    async def __aenter__(self) -> Acting:
        await self.service.start()
        self.site = FleetSite(
            self.folder, self.count, seed=self.seed, more=MORE, tail=tasks(self.service.port, *self.names)
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

    async def acts(self, more: int = 3, patience_s: float = NOBODY_S) -> int:
        """Waits for `more` further acts; returns the gateway that acted last."""
        before = len(self.service.acts)
        async with asyncio.timeout(patience_s):
            while len(self.service.acts) < before + more:
                await asyncio.sleep(0.01)
        return self.holder

    async def another(self, than: int, patience_s: float = NOBODY_S) -> int:
        """Waits until a gateway other than `than` acts; returns it."""
        async with asyncio.timeout(patience_s):
            while self.holder == than:
                await asyncio.sleep(0.01)
        return self.holder

    async def set_draining(self, number: int, on: bool) -> None:
        """Switches a gateway's lame duck state over its operations address."""
        host, _, port = self.site.gateways[number].platform["operator"].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"PUT /_lameduck/{'on' if on else 'off'} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        assert b" 200 " in await reader.readline()
        writer.close()

    @property
    def holder(self) -> int:
        """Number of the gateway that acted last."""
        return int(self.service.acts[-1].by[1:].partition("#")[0])

    def stop_in_mid_act(self) -> asyncio.Future[int]:
        """Stops the next gateway that acts during the act; the result is its number."""
        stopped: asyncio.Future[int] = asyncio.get_running_loop().create_future()

        def stop(name: str) -> None:
            if not stopped.done():
                self.site.send_signal(int(name[1:]), signal.SIGSTOP)
                stopped.set_result(int(name[1:]))

        self.service.on_act = stop
        return stopped


async def drawn(folder: Path, seed: int, count: int, faults: int) -> tuple[int, list[str], float]:
    """Runs gateways with random faults.

    Returns the number of acts, the errors by the service's records, and the longest time without an act while
    a majority could communicate.
    """
    rng, service, wrong, longest = random.Random(seed), EffectService(act_s=0.1), [], 0.0
    loop = asyncio.get_running_loop()
    async with Acting(folder, seed, service, count=count) as one:
        site = one.site
        await one.acts(1, 10.0)
        for _ in range(faults):
            who, kind = one.holder, rng.choice(["mid act", "stop", "kill", "cut", "one way", "end", "two"])
            others = [n for n in range(count) if n != who]
            began = loop.time()
            if kind == "mid act":
                who = await one.stop_in_mid_act()
            elif kind in ("stop", "two"):
                await asyncio.sleep(rng.random() * 0.3)  # at any point of a step or of a lease renewal
                who = one.holder
                site.send_signal(who, signal.SIGSTOP)
            elif kind == "kill":
                site.send_signal(who, signal.SIGKILL)
            elif kind == "end":
                site.send_signal(who, signal.SIGTERM)
            elif kind == "cut":
                site.split([[who], others])
            else:
                for (first, second_end), link in site.links.items():
                    if who in (first, second_end):  # the gateway receives messages, and its own are lost
                        link.cut(0 if first == who else 1)
            second = rng.choice([n for n in EVERY if n != who]) if kind == "two" else None
            if second is not None:
                site.send_signal(second, signal.SIGSTOP)
            try:
                await one.another(who, 10.0)
                await one.acts(3, 10.0)
            except TimeoutError:
                wrong.append(f"{kind}: nobody took over within 10 s")
            for number in (who, second):
                if number is not None and kind in ("mid act", "stop", "two"):
                    site.send_signal(number, signal.SIGCONT)
            if kind in ("kill", "end"):
                process = site.gateways[who].process
                assert process is not None
                await loop.run_in_executor(None, process.wait)
                await site.start([who])
            if kind in ("cut", "one way"):
                for link in site.links.values():
                    link.cut(cut=False)
            await one.acts(3, 10.0)
            longest = max(longest, longest_gap(service.acts, "close", began, loop.time()))
        wrong += [f"{kept} and {other}" for kept, other in overlaps(service.acts)]
        return len(service.acts), wrong, longest
