"""Clients of the real gateways: an open load on each, with tenants drawn as for hollow gateways."""

from __future__ import annotations

import asyncio
from typing import Any

from lab.load import Load, Outcome
from lab.scale.site import Draw, Site, arrivals
from lab.scale.stand_ins import Timeline
from lab.site import KINDS


class Traffic(Load):
    """Load on one real gateway. Unlike `Load.run`, it draws an account without a scan of all of them."""

    def __init__(self, site: Site, number: int, port: int, draw: Draw, timeline: Timeline) -> None:
        super().__init__(lambda: port, KINDS, draw.accounts, site.rate, 1000 * site.seed + number)
        self.site, self.number, self.draw, self.timeline = site, number, draw, timeline
        self.stopped = False

    async def run(self, seconds: float = float("inf")) -> None:
        """Sends requests until stopped or all are sent, then waits for the last answers."""
        loop, tasks = asyncio.get_running_loop(), set[asyncio.Task[None]]()
        began = self.timeline.zero(loop.time())
        for serial, (at, kind, account) in enumerate(
            arrivals(self.site, self.draw, self.number, self.rate_per_s)
        ):
            await asyncio.sleep(max(0.0, began + at - loop.time()))
            if self.stopped or at > seconds:
                break
            name = b"%08x%08x" % (self.seed, serial)
            task = asyncio.create_task(self.send_request(Outcome(kind, account, name, began + at)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=5.0)
        for client in self.idle_clients:
            client.writer.close()


class Clients:
    """Loads on all real gateways."""

    def __init__(self, site: Site, ports: dict[int, int]) -> None:
        self.site, self.timeline = site, Timeline(site)
        draw = Draw(site, list(ports))
        self.loads = [Traffic(site, number, port, draw, self.timeline) for number, port in ports.items()]
        self.running: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts the loads."""
        self.running = [asyncio.create_task(load.run()) for load in self.loads]

    async def stop(self) -> None:
        """Stops the loads and waits for the last answers."""
        for load in self.loads:
            load.stopped = not self.site.requests
        await asyncio.gather(*self.running)

    def outcomes(self) -> list[dict[str, Any]]:
        """Returns the answer and time of each request due at second 0 or later."""
        zero = self.timeline.began or 0.0
        return [
            {"id": one.request_id.decode(), "at": one.scheduled_at - zero, "took": one.duration_ms,
             "answer": one.answer or "lost"}
            for load in self.loads for one in load.outcomes if one.scheduled_at >= zero
        ]  # fmt: skip
