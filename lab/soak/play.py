"""Plays one schedule: real processes of the program, stand-ins and clients in this process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
import tempfile
from collections import deque
from pathlib import Path
from typing import Any

from lab.faults import Script
from lab.nodes import Node, Trade
from lab.peers import row
from lab.services import CounterService, DiscoveryService
from lab.site import SETTINGS, GatewayProcess, LabSite
from lab.soak.books import ArrivedAttempt, Books
from lab.soak.clients import SoakClients
from lab.soak.schedule import SERVERS, Ending, Schedule

READY_PATIENCE_S = 20.0
LAG_CHECK_S = 0.01
SPACING_S = 0.02  # between signals of one series
TAKES_OVER = "takes over beside the process before"  # in the log of a process that replaces another
SETTLE_S = 0.3  # until it serves
START_DELAY_S = 0.05  # of a process, before it is told to end


class RecordingNode(Node):
    """A server that writes down when each command came."""

    books: Books

    async def answer(self, words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        if words[0].upper().startswith(b"CALL."):
            now = asyncio.get_running_loop().time()
            self.books.attempts.append(ArrivedAttempt(now, self.name, words[2]))
        return await super().answer(words, writer)


class SoakGateway(GatewayProcess):
    """The program, or one with a fault put in on purpose."""

    def __init__(self, folder: Path, platform: dict[str, Any], mutant: str = "") -> None:
        super().__init__(folder, platform)
        if mutant:
            self.program = ("-m", "lab.soak.mutants", mutant)


class Run:
    """One run of a schedule."""

    def __init__(self, schedule: Schedule, mutant: str = "") -> None:
        self.schedule, self.mutant = schedule, mutant
        self.books = Books()
        self.loop = asyncio.get_running_loop()
        self.extra_discovery: DiscoveryService | None = None
        self.retired: list[SoakGateway] = []

    async def play(self) -> Books:
        """The whole run."""
        schedule, nodes = self.schedule, list[RecordingNode]()
        keys, order = dict[bytes, float](), deque[bytes]()
        trade = Trade({name: schedule.service_ms for name in ("report-read", "check-order", "check-charge")})
        for number in range(SERVERS):
            node = RecordingNode(f"n{number}", trade, Script(schedule.server_faults[number], schedule.seed))
            node.books = self.books
            node.keys, node.order = keys, order  # servers of one group drop each other's repeats
            nodes.append(node)
        counter = CounterService(Script(schedule.counter_faults, schedule.seed))
        lag = asyncio.create_task(self.watch_lag())
        try:
            async with LabSite(nodes, counter) as site:
                with tempfile.TemporaryDirectory() as folder, socket.socket() as listening:
                    await self.play_site(site, Path(folder), listening)
            self.count_effects(nodes)
        finally:
            lag.cancel()
        return self.books

    async def play_site(self, site: LabSite, folder: Path, listening: socket.socket) -> None:
        """With stand-ins that run."""
        gateway = SoakGateway(folder, site.platform(self.settings()), self.mutant)
        if self.schedule.ending in (Ending.REPLACED, Ending.REPLACED_TWICE):
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.bind(("127.0.0.1", gateway.port))
            listening.listen(512)
            gateway.passed = listening
        clients = SoakClients(self.schedule, self.books, lambda: gateway.port)
        background: list[asyncio.Task[None]] = []
        try:
            gateway.start()
            if self.schedule.ending is Ending.DURING_START:
                await asyncio.sleep(START_DELAY_S * (1 + self.schedule.seed % 4))
            else:
                await gateway.ready(READY_PATIENCE_S)
                await self.wait_for_list(site, gateway)
                clients.start()
                background = [asyncio.create_task(work) for work in self.troubles(site)]
                await asyncio.sleep(self.schedule.terminate_at_s)
            await self.end(site, gateway, clients, folder)
        finally:
            for task in background:
                task.cancel()
            await clients.stop()
            for one in (gateway, *self.retired):
                one.signal(signal.SIGKILL)
                if one.process is not None:
                    one.process.wait()
            self.books.log = gateway.log.read_text(errors="replace")
            if self.extra_discovery is not None:
                await self.extra_discovery.stop()

    def settings(self) -> dict[str, Any]:
        """The platform's settings with this run's deadlines."""
        longest_ms = float(self.schedule.longest_deadline_ms)
        profiles = [
            one | {"hard_limit_ms": longest_ms, "aim_ms": 0.5 * longest_ms} for one in SETTINGS["profiles"]
        ]
        packages = [one | {"per_second": 200.0, "most_at_once": 400.0} for one in SETTINGS["packages"]]
        packages[2] |= {"ceiling_rate": 400.0, "hard_burst": 800.0, "ceiling_slack": 80.0}
        return SETTINGS | {"profiles": profiles, "packages": packages}

    async def wait_for_list(self, site: LabSite, gateway: SoakGateway) -> None:
        """Until the gateway has asked discovery once."""
        async with asyncio.timeout(READY_PATIENCE_S):
            while not site.discovery.told:
                await asyncio.sleep(0.01)

    # --- what goes on beside the load --------------------------------------------------------------------

    def troubles(self, site: LabSite) -> list[Any]:
        """The schedule's events, as coroutines."""
        schedule = self.schedule
        works: list[Any] = [
            self.change(site, change.at_s, change.server, change.states) for change in schedule.changes
        ]
        if schedule.counter_forgets_at_s is not None:
            works.append(self.forget(site, schedule.counter_forgets_at_s))
        if schedule.discovery_down_s is not None:
            works.append(self.discovery_down(site, *schedule.discovery_down_s))
        return works

    async def change(self, site: LabSite, at_s: float, server: int, states: tuple[str, ...]) -> None:
        """A server's rows come in one answer; its drain counts from when that was written."""
        await asyncio.sleep(at_s)
        node = site.nodes[server]
        for discovery in (site.discovery, self.extra_discovery):
            if discovery is None:
                continue
            version = discovery.update_rows([row(node.name, node.port, state) for state in states])
            while version not in discovery.told:
                await asyncio.sleep(0.001)
            self.books.drained_at.setdefault(node.name, discovery.told[version])

    async def forget(self, site: LabSite, at_s: float) -> None:
        """The counter comes back with nothing."""
        await asyncio.sleep(at_s)
        site.counter.forget()

    async def discovery_down(self, site: LabSite, from_s: float, until_s: float) -> None:
        """Discovery is away for a while."""
        await asyncio.sleep(from_s)
        port = site.discovery.port
        await site.discovery.stop()
        await asyncio.sleep(until_s - from_s)
        await site.discovery.start(port)

    async def watch_lag(self) -> None:
        """How long this process itself does not run: its own clock readings are off by as much."""
        while True:
            began = self.loop.time()
            await asyncio.sleep(LAG_CHECK_S)
            self.books.lag_s = max(self.books.lag_s, self.loop.time() - began - LAG_CHECK_S)

    # --- the end -----------------------------------------------------------------------------------------

    async def end(self, site: LabSite, gateway: SoakGateway, clients: SoakClients, folder: Path) -> None:
        """The signals, then the platform's earliest kill."""
        ending = self.schedule.ending
        if ending in (Ending.REPLACED, Ending.REPLACED_TWICE):
            gateway = await self.replace(gateway, folder, 1 + (ending is Ending.REPLACED_TWICE))
            await clients.finish()  # the passed socket stays open without a process behind it
        if ending is Ending.RELOAD_BEFORE:
            gateway.signal(signal.SIGHUP)
        elif ending is Ending.BROKEN_FILE:
            gateway.config.write_text("{ not a file")
            gateway.signal(signal.SIGHUP)
        elif ending is Ending.DISCOVERY_MOVES:
            await self.move_discovery(site, gateway)
        elif ending is Ending.STOPPED:
            gateway.signal(signal.SIGSTOP)
            await asyncio.sleep(self.schedule.stop_s)
            self.books.lag_s += self.schedule.stop_s  # the process's own time stood still for so long
            gateway.signal(signal.SIGCONT)
        await self.terminate(gateway, clients)

    async def terminate(self, gateway: SoakGateway, clients: SoakClients) -> None:
        """SIGTERM, connections for a while more, and SIGKILL where the process is still there."""
        began = self.loop.time()
        gateway.signal(signal.SIGTERM)
        more = {Ending.TERM_TWICE: 1, Ending.TERM_FIVE_TIMES: 4}.get(self.schedule.ending, 0)
        for _ in range(more):
            await asyncio.sleep(SPACING_S)
            gateway.signal(signal.SIGTERM)
        if self.schedule.ending is Ending.RELOAD_AFTER:
            gateway.signal(signal.SIGHUP)
        await asyncio.sleep(max(0.0, began + self.schedule.arrivals_after_s - self.loop.time()))
        clients.accepts_new = False
        assert gateway.process is not None
        while gateway.process.poll() is None and self.loop.time() - began < self.schedule.kill_after_s:
            await asyncio.sleep(0.005)
        self.books.killed_at_end = gateway.process.poll() is None
        gateway.signal(signal.SIGKILL)
        status = gateway.process.wait()
        is_told_during_start = self.schedule.ending is Ending.DURING_START and status == -signal.SIGTERM
        self.books.exit_status = 0 if is_told_during_start else status
        await clients.finish()

    async def replace(self, gateway: SoakGateway, folder: Path, times: int) -> SoakGateway:
        """Each new process listens on the passed socket before the one before it is told to end."""
        for _ in range(times):
            successor = SoakGateway(folder, gateway.platform, self.mutant)
            successor.passed, successor.shared = gateway.passed, gateway.shared
            successor.log = folder / "gateway.log"
            before = gateway.log.read_text(errors="replace").count(TAKES_OVER)
            self.retired.append(successor)  # ended with the run, whatever becomes of it here
            successor.start()
            async with asyncio.timeout(READY_PATIENCE_S):
                while gateway.log.read_text(errors="replace").count(TAKES_OVER) == before:
                    await asyncio.sleep(0.02)
            await asyncio.sleep(SETTLE_S)
            gateway.signal(signal.SIGTERM)
            assert gateway.process is not None
            began = self.loop.time()
            while gateway.process.poll() is None and self.loop.time() - began < self.schedule.kill_after_s:
                await asyncio.sleep(0.005)
            if gateway.process.poll() is None:
                self.books.killed_at_end = True
            gateway.signal(signal.SIGKILL)
            gateway.process.wait()
            gateway = successor
        return gateway

    async def move_discovery(self, site: LabSite, gateway: SoakGateway) -> None:
        """A file with another address, then SIGHUP."""
        self.extra_discovery = DiscoveryService(list(site.discovery.rows.values()))
        await self.extra_discovery.start()
        platform = gateway.platform | {"discovery": f"127.0.0.1:{self.extra_discovery.port}"}
        gateway.config.write_text(json.dumps(platform))
        gateway.signal(signal.SIGHUP)

    def count_effects(self, nodes: list[RecordingNode]) -> None:
        """The servers' own books of what ran."""
        for node in nodes:
            for run in node.ran:
                self.books.executed[run.request_id] += 1
                if run.key is not None:
                    self.books.executed_keys[run.key] += 1


async def play(schedule: Schedule, mutant: str = "") -> Books:
    """One run."""
    with contextlib.suppress(asyncio.CancelledError):
        return await Run(schedule, mutant).play()
    raise RuntimeError("the run was cancelled")
