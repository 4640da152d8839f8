"""One process of a scale run: ``python -m lab.scale ROLE``, started by `run.ScaleRun` only.

It receives lines of JSON on stdin. The first configures it; it answers with one line when it is ready.
Commands follow: `begin` gives the Unix time of second 0, `count` asks for the counts so far, `end` for the
final figures, and `kill_at_exit` names process groups. At the end of stdin it ends and kills these groups, so
that no process of a run is left behind, however the run ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import logging
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

import uvloop

from lab.scale.site import Site, SiteFault
from lab.scale.stand_ins import CounterService, ListService, Rack, Timeline

DELISTING_DELAY_S = 2.0  # from the start of a fault until its servers are removed from the list
LAST_ANSWERS_S = 3.2  # longest wait for the last answers; longer than any deadline of a request


class Worker:
    """Base class of the roles."""

    def __init__(self, site: Site, parameters: dict[str, Any]) -> None:
        self.site, self.parameters = site, parameters
        self.tasks: list[asyncio.Task[Any]] = []

    async def start(self) -> dict[str, Any]:
        """Starts the role; returns what the run needs, such as ports."""
        return {}

    def timelines(self) -> list[Timeline]:
        """Returns the timelines to set at `begin`."""
        return []

    def on_begin(self) -> None:
        """Starts the load and the faults, after the timelines are set."""

    def count(self) -> dict[str, Any]:
        """Returns the counts so far."""
        return {}

    async def end(self) -> dict[str, Any]:
        """Ends the role; returns its final figures."""
        return {}

    def run_in_background(self, coroutine: Any) -> None:
        """Runs a coroutine in the background."""
        self.tasks.append(asyncio.create_task(coroutine))


class ListWorker(Worker):
    """Runs the list service, with its changes and the faults that it reports."""

    async def start(self) -> dict[str, Any]:
        self.lists = ListService(self.site, self.parameters["rows"])
        return {"ports": await self.lists.listen()}

    def timelines(self) -> list[Timeline]:
        return [self.lists.timeline]

    def on_begin(self) -> None:
        if self.site.changes > 0:
            self.run_in_background(self.change_rows())
        for fault in self.site.faults:
            if fault.kind in ("rack", "zone"):
                self.run_in_background(self.delist_servers(fault))

    async def change_rows(self) -> None:
        """Changes weights of rows at the site's rate, also during the warm-up, in at most about 50 steps per
        second."""
        names, rows_per_step = list(self.lists.rows), max(1, round(self.site.changes / 50.0))
        serial = 0
        while True:
            await asyncio.sleep(rows_per_step / self.site.changes)
            while self.site.equal_load and len(self.lists.waiting) < self.site.real + self.site.hollow:
                await asyncio.sleep(0.005)
            rows = []
            for _ in range(rows_per_step):
                serial += 1
                row = self.lists.rows.get(names[serial * 7919 % len(names)])
                if row is not None:
                    rows.append({**row, "weight": 1.0 + 0.001 * (serial % 7)})
            self.lists.update(rows)

    async def delist_servers(self, fault: SiteFault) -> None:
        """Removes the servers that a fault takes down from the list, `DELISTING_DELAY_S` after they go down;
        lists them as restarted when it ends."""
        await self.lists.timeline.wait_until(fault.start_s + DELISTING_DELAY_S)
        down = [
            row for row in self.lists.rows.values() if self.site.takes_down(fault, int(row["id"][2:], 16))
        ]
        self.lists.update([{**row, "state": "Gone"} for row in down])
        await self.lists.timeline.wait_until(fault.end_s)
        now_ms = 1000.0 * time.time()
        self.lists.update([{**row, "started_ms": now_ms} for row in down])

    def count(self) -> dict[str, Any]:
        return {kind: counts.to_dict() for kind, counts in self.lists.counts_by_kind.items()} | {
            "changed_rows": self.lists.changed_rows
        }

    async def end(self) -> dict[str, Any]:
        """Returns the seconds of the calls, by kind of caller."""
        return {
            kind: [round(at, 3) for at in counts.call_times_s]
            for kind, counts in self.lists.counts_by_kind.items()
        }


class CounterWorker(Worker):
    """Runs the counter."""

    async def start(self) -> dict[str, Any]:
        self.counter = CounterService(self.site)
        return {"ports": await self.counter.listen()}

    def timelines(self) -> list[Timeline]:
        return [self.counter.timeline]

    def count(self) -> dict[str, Any]:
        return {kind: counts.to_dict() for kind, counts in self.counter.counts_by_kind.items()} | {
            "peak_keys": self.counter.peak_keys
        }


class ServerWorker(Worker):
    """Runs the stand-ins for the servers of some racks."""

    async def start(self) -> dict[str, Any]:
        self.racks = [Rack(self.site, zone, rack) for zone, rack in self.parameters["racks"]]
        for rack in self.racks:
            await rack.start()
        return {"ports": [[rack.zone, rack.rack, rack.port] for rack in self.racks]}

    def timelines(self) -> list[Timeline]:
        return [rack.timeline for rack in self.racks]

    def on_begin(self) -> None:
        for rack in self.racks:
            self.run_in_background(rack.reset_connections())

    def count(self) -> dict[str, Any]:
        rack_counts = [rack.counts.to_dict() for rack in self.racks]
        return {key: sum(counts[key] for counts in rack_counts) for key in rack_counts[0]}

    async def end(self) -> dict[str, Any]:
        """Returns the milliseconds of attempts here, by request id."""
        return {request: round(ms, 3) for rack in self.racks for request, ms in rack.attempt_ms.items()}


class HollowWorker(Worker):
    """Runs a part of the hollow gateways."""

    async def start(self) -> dict[str, Any]:
        from glenchute.config.platform import build
        from lab.scale.hollow import HollowGroup

        logging.disable(logging.CRITICAL)
        raw = json.loads(Path(self.parameters["platform"]).read_text())
        self.group = HollowGroup(
            self.site, self.parameters["numbers"], build(raw, {}), self.parameters["operator"]
        )
        await self.group.start_gateways(self.group.numbers)
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 20)  # the same setting as in `glenchute run`
        return {}

    def timelines(self) -> list[Timeline]:
        return [self.group.timeline]

    def on_begin(self) -> None:
        self.sending = asyncio.create_task(self.group.send_requests())
        self.run_in_background(self.group.play_restarts())

    def count(self) -> dict[str, Any]:
        return dict(self.group.outcomes)

    async def end(self) -> dict[str, Any]:
        """Stops the load, or waits until all of it is sent, and waits for the last answers; returns the
        requests by outcome."""
        if self.site.requests:
            await self.sending
        for task in [self.sending, *self.tasks]:
            task.cancel()
        loop = asyncio.get_running_loop()
        last = loop.time() + LAST_ANSWERS_S
        while self.group.unanswered and loop.time() < last:
            await asyncio.sleep(0.02)
        self.group.close()
        return {**self.group.outcomes, "no answer": self.group.unanswered}


class ClientWorker(Worker):
    """Runs the clients of the real gateways."""

    async def start(self) -> dict[str, Any]:
        from lab.scale.clients import Clients

        self.clients = Clients(self.site, {int(n): port for n, port in self.parameters["ports"].items()})
        return {}

    def timelines(self) -> list[Timeline]:
        return [self.clients.timeline]

    def on_begin(self) -> None:
        self.clients.start()

    async def end(self) -> dict[str, Any]:
        await self.clients.stop()
        return {"outcomes": self.clients.outcomes()}


ROLES: dict[str, type[Worker]] = {
    "lists": ListWorker, "counter": CounterWorker, "servers": ServerWorker, "hollow": HollowWorker,
    "clients": ClientWorker,
}  # fmt: skip


def send_line(message: dict[str, Any]) -> None:
    """Sends a line of JSON to the run."""
    sys.stdout.write(json.dumps(message) + "\n")
    sys.stdout.flush()


async def serve(role: str) -> None:
    """Serves the run's commands until stdin ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=64 * 1024 * 1024)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    parameters = json.loads(await reader.readline())
    worker = ROLES[role](Site.from_dict(parameters["site"]), parameters)
    send_line(await worker.start())
    groups: list[int] = []
    try:
        while line := await reader.readline():
            message = json.loads(line)
            match message["command"]:
                case "begin":
                    for timeline in worker.timelines():
                        timeline.set_zero(message["unix_s"])
                    worker.on_begin()
                case "kill_at_exit":
                    groups = message["groups"]
                case "count":
                    send_line(worker.count())
                case "end":
                    send_line(await worker.end())
    finally:
        for group in groups:
            with contextlib.suppress(ProcessLookupError, PermissionError):
                os.killpg(group, signal.SIGKILL)


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1]))
