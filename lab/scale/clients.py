"""The clients of the real gateways: an open load on each, tenants drawn as the hollow ones' are."""

from __future__ import annotations

import asyncio
import bisect
import itertools
import random
from typing import Any

from lab.load import Load, Outcome
from lab.site import KINDS

from .site import Draw, Site
from .stand_ins import Timeline


class Traffic(Load):
    """The load on one real gateway. `run` of `Load` draws an account by a walk over all of them."""

    def __init__(self, site: Site, number: int, port: int, draw: Draw) -> None:
        super().__init__(lambda: port, KINDS, draw.accounts, site.rate, 1000 * site.seed + number)
        self.number, self.draw, self.stopped = number, draw, False

    async def run(self, seconds: float = float("inf")) -> None:
        """Sends until stopped, then waits for the last answers."""
        rng = random.Random(self.seed)
        edges = list(itertools.accumulate(kind.share for kind in self.kinds))
        loop = asyncio.get_running_loop()
        at, tasks = loop.time(), set[asyncio.Task[None]]()
        for serial in itertools.count(1):
            at += rng.expovariate(self.rate)
            await asyncio.sleep(max(0.0, at - loop.time()))
            if self.stopped:
                break
            kind = self.kinds[min(len(edges) - 1, bisect.bisect_left(edges, rng.random()))]
            name = b"%08x%08x" % (self.seed, serial)
            task = asyncio.create_task(self.ask(Outcome(kind, self.draw(self.number, rng), name, at)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=5.0)
        for client in self.idle:
            client.writer.close()


class Clients:
    """All of them."""

    def __init__(self, site: Site, ports: dict[int, int]) -> None:
        self.line = Timeline(site)
        draw = Draw(site, list(ports))
        self.loads = [Traffic(site, number, port, draw) for number, port in ports.items()]
        self.running: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """They begin to ask."""
        self.running = [asyncio.create_task(load.run()) for load in self.loads]

    async def stop(self) -> None:
        """They ask no more, and have their last answers."""
        for load in self.loads:
            load.stopped = True
        await asyncio.gather(*self.running)

    def outcomes(self) -> list[dict[str, Any]]:
        """What became of each request that came within the measured time, and after."""
        zero = self.line.began or 0.0
        return [
            {"id": one.request_id.decode(), "at": one.asked - zero, "took": one.took_ms,
             "answer": one.answer or "lost"}
            for load in self.loads for one in load.outcomes if one.asked >= zero
        ]  # fmt: skip
