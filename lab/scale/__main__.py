"""One process of a scale run: ``python -m lab.scale ROLE``, started by `run.Scale` only.

It receives lines of JSON on stdin. The first configures it; it answers with one line when it is ready.
`begin` gives the Unix time of second 0, `mark` asks for the counts so far, `end` for the final figures. At
the end of stdin it ends, and kills the process groups that it was told to `keep`, so that no process of a run
is left behind, however the run ends.
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

from lab.scale.site import Site
from lab.scale.stand_ins import CounterService, ListService, Rack, Timeline

LONGEST_S = 3.2  # wait for the last answers: more than the longest deadline of a request


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

    def mark(self) -> dict[str, Any]:
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
        return {"ports": await self.lists.serve()}

    def timelines(self) -> list[Timeline]:
        return [self.lists.timeline]

    def on_begin(self) -> None:
        if self.site.changes > 0:
            self.run_in_background(self.change())
        for fault in self.site.faults:
            if fault.kind in ("rack", "zone"):
                self.run_in_background(self.take_servers_away(fault))

    async def change(self) -> None:
        """Changes weights of rows, from before the measured time on; at high rates several rows at once."""
        names, step = list(self.lists.rows), max(1, round(self.site.changes / 50.0))
        serial = 0
        while True:
            await asyncio.sleep(step / self.site.changes)
            while self.site.equal_load and len(self.lists.waiting) < self.site.real + self.site.hollow:
                await asyncio.sleep(0.005)
            rows = []
            for _ in range(step):
                serial += 1
                row = self.lists.rows.get(names[serial * 7919 % len(names)])
                if row is not None:
                    rows.append({**row, "weight": 1.0 + 0.001 * (serial % 7)})
            self.lists.update(rows)

    async def take_servers_away(self, fault: Any) -> None:
        """Removes the servers that a fault takes away, 2 s later; lists them as restarted when it ends."""
        await self.lists.timeline.until(fault.start_s + 2.0)
        gone = [
            row for row in self.lists.rows.values() if self.site.takes_down(fault, int(row["id"][2:], 16))
        ]
        self.lists.update([{**row, "state": "Gone"} for row in gone])
        await self.lists.timeline.until(fault.end_s)
        now = 1000.0 * time.time()
        self.lists.update([{**row, "started_ms": now} for row in gone])

    def mark(self) -> dict[str, Any]:
        return {role: counts.to_dict() for role, counts in self.lists.counts_by_role.items()} | {
            "changed": self.lists.changed_rows
        }

    async def end(self) -> dict[str, Any]:
        return {
            role: [round(at, 3) for at in counts.times] for role, counts in self.lists.counts_by_role.items()
        }


class CounterWorker(Worker):
    """Runs the counter."""

    async def start(self) -> dict[str, Any]:
        self.counter = CounterService(self.site)
        return {"ports": await self.counter.serve()}

    def timelines(self) -> list[Timeline]:
        return [self.counter.timeline]

    def mark(self) -> dict[str, Any]:
        return {role: counts.to_dict() for role, counts in self.counter.counts_by_role.items()} | {
            "names": self.counter.most
        }


class ServerWorker(Worker):
    """Runs stand-ins of the hollow servers."""

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

    def mark(self) -> dict[str, Any]:
        rack_counts = [rack.counts.to_dict() for rack in self.racks]
        return {key: sum(counts[key] for counts in rack_counts) for key in rack_counts[0]}

    async def end(self) -> dict[str, Any]:
        return {name: round(took, 3) for rack in self.racks for name, took in rack.took_ms.items()}


class HollowWorker(Worker):
    """Runs a part of the hollow gateways."""

    async def start(self) -> dict[str, Any]:
        from glenchute.config.platform import build
        from lab.scale.hollow import Crowd

        logging.disable(logging.CRITICAL)
        raw = json.loads(Path(self.parameters["platform"]).read_text())
        self.crowd = Crowd(self.site, self.parameters["numbers"], build(raw, {}), self.parameters["operator"])
        await self.crowd.begin(self.crowd.numbers)
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 20)  # the same setting as in `glenchute run`
        return {}

    def timelines(self) -> list[Timeline]:
        return [self.crowd.timeline]

    def on_begin(self) -> None:
        self.asking = asyncio.create_task(self.crowd.load())
        self.run_in_background(self.crowd.restarts())

    def mark(self) -> dict[str, Any]:
        return dict(self.crowd.answers)

    async def end(self) -> dict[str, Any]:
        if self.site.requests:
            await self.asking
        for task in [self.asking, *self.tasks]:
            task.cancel()
        loop = asyncio.get_running_loop()
        last = loop.time() + LONGEST_S
        while self.crowd.open and loop.time() < last:
            await asyncio.sleep(0.02)
        self.crowd.close()
        return {**self.crowd.answers, "no answer": self.crowd.open}


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
    """Writes a line to the run."""
    sys.stdout.write(json.dumps(message) + "\n")
    sys.stdout.flush()


async def serve(role: str) -> None:
    """Serves the run's commands until stdin ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=64 * 1024 * 1024)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    first = json.loads(await reader.readline())
    worker = ROLES[role](Site.from_dict(first["site"]), first)
    send_line(await worker.start())
    groups: list[int] = []
    try:
        while line := await reader.readline():
            message = json.loads(line)
            match message["do"]:
                case "begin":
                    for clock in worker.timelines():
                        clock.begin(message["at"])
                    worker.on_begin()
                case "keep":
                    groups = message["groups"]
                case "mark":
                    send_line(worker.mark())
                case "end":
                    send_line(await worker.end())
    finally:
        for group in groups:
            with contextlib.suppress(ProcessLookupError, PermissionError):
                os.killpg(group, signal.SIGKILL)


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1]))
