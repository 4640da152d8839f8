"""Clients of the real gateways: an open-loop load on each, with tenants drawn as for hollow gateways."""

from __future__ import annotations

import asyncio
from typing import Any

from lab.load import Load, Outcome
from lab.scale.site import Site, TenantDraw, arrivals
from lab.scale.stand_ins import Timeline
from lab.site import KINDS


class GatewayLoad(Load):
    """Load on one real gateway. Its requests are those of `arrivals`, which draws a tenant without a scan of
    all of them, unlike `Load.run`."""

    def __init__(self, site: Site, number: int, port: int, draw: TenantDraw, timeline: Timeline) -> None:
        super().__init__(lambda: port, KINDS, draw.accounts, site.rate, 1000 * site.seed + number)
        self.site, self.number, self.draw, self.timeline = site, number, draw, timeline
        self.is_stopped = False

    async def run(self, seconds: float = float("inf")) -> None:
        """Sends requests until stopped or all are sent, then waits for the last answers."""
        loop, tasks = asyncio.get_running_loop(), set[asyncio.Task[None]]()
        start_s = self.timeline.load_start_s(loop.time())
        requests = arrivals(self.site, self.draw, self.number, self.rate_per_s)
        for serial, (at_s, kind, account) in enumerate(requests):
            await asyncio.sleep(max(0.0, start_s + at_s - loop.time()))
            if self.is_stopped or at_s > seconds:
                break
            request_id = b"%08x%08x" % (self.seed, serial)
            task = asyncio.create_task(self.send_request(Outcome(kind, account, request_id, start_s + at_s)))
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
        draw = TenantDraw(site, list(ports))
        self.loads = [GatewayLoad(site, number, port, draw, self.timeline) for number, port in ports.items()]
        self.running: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts the loads."""
        self.running = [asyncio.create_task(load.run()) for load in self.loads]

    async def stop(self) -> None:
        """Stops the loads and waits for the last answers."""
        for load in self.loads:
            load.is_stopped = not self.site.requests
        await asyncio.gather(*self.running)

    def outcomes(self) -> list[dict[str, Any]]:
        """Returns the outcome of each request due at second 0 or later; `at_s` is when it was due."""
        zero_s = self.timeline.zero_s or 0.0
        return [
            {"id": outcome.request_id.decode(), "at_s": outcome.scheduled_at - zero_s,
             "latency_ms": outcome.duration_ms, "answer": outcome.answer or "lost"}
            for load in self.loads for outcome in load.outcomes if outcome.scheduled_at >= zero_s
        ]  # fmt: skip
