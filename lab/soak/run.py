"""Runs one schedule of the soak test.

The gateways are real processes; the stand-in services and the clients run in this process.
"""

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

from lab.faults import FaultScript
from lab.nodes import Node, ServiceProfile
from lab.peers import server_row
from lab.services import CounterService, DiscoveryService
from lab.site import SETTINGS, GatewayProcess, LabSite
from lab.soak.clients import SoakClients
from lab.soak.records import AttemptRecord, RunRecords
from lab.soak.schedule import SERVERS, Ending, Schedule

READY_TIMEOUT_S = 20.0
LAG_CHECK_INTERVAL_S = 0.01
SIGNAL_INTERVAL_S = 0.02  # between repeated signals
SERVING_MESSAGE = " INFO g0 serves\n"  # logged by a process once it accepts clients
START_DELAY_STEP_S = 0.05  # unit of the delay from process start to SIGTERM with `DURING_START`


class RecordingNode(Node):
    """A server that records when each command arrived."""

    records: RunRecords

    async def answer(self, command: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        if command[0].upper().startswith(b"CALL."):
            now = asyncio.get_running_loop().time()
            self.records.attempts.append(AttemptRecord(now, self.name, command[2]))
        return await super().answer(command, writer)


class SoakGateway(GatewayProcess):
    """A gateway process, optionally with a deliberate fault."""

    def __init__(self, folder: Path, platform: dict[str, Any], mutant: str = "") -> None:
        super().__init__(folder, platform)
        if mutant:
            self.interpreter_arguments = ("-m", "lab.soak.mutants", mutant)


class Run:
    """A run of one schedule."""

    def __init__(self, schedule: Schedule, mutant: str = "") -> None:
        self.schedule, self.mutant = schedule, mutant
        self.records = RunRecords()
        self.loop = asyncio.get_running_loop()
        self.extra_discovery: DiscoveryService | None = None
        self.successors: list[SoakGateway] = []

    async def run(self) -> RunRecords:
        """Starts the stand-in services, runs the schedule and returns the records."""
        schedule, nodes = self.schedule, list[RecordingNode]()
        key_times, key_order = dict[bytes, float](), deque[bytes]()
        profile = ServiceProfile(
            {name: schedule.service_ms for name in ("report-read", "check-order", "check-charge")}
        )
        for number in range(SERVERS):
            node = RecordingNode(
                f"n{number}", profile, FaultScript(schedule.server_faults[number], schedule.seed)
            )
            node.records = self.records
            # The servers of one group share their idempotency keys.
            node.key_times, node.key_order = key_times, key_order
            nodes.append(node)
        counter = CounterService(FaultScript(schedule.counter_faults, schedule.seed))
        lag_task = asyncio.create_task(self.watch_lag())
        try:
            async with LabSite(nodes, counter) as site:
                with tempfile.TemporaryDirectory() as folder, socket.socket() as listening:
                    await self.run_at_site(site, Path(folder), listening)
            self.count_effects(nodes)
        finally:
            lag_task.cancel()
        return self.records

    async def run_at_site(self, site: LabSite, folder: Path, listening: socket.socket) -> None:
        """Runs the schedule against stand-in services that are already running."""
        gateway = SoakGateway(folder, site.platform(self.settings()), self.mutant)
        if self.schedule.ending in (Ending.REPLACED, Ending.REPLACED_TWICE):
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.bind(("127.0.0.1", gateway.port))
            listening.listen(512)
            gateway.passed_socket = listening
        clients = SoakClients(self.schedule, self.records, lambda: gateway.port)
        background: list[asyncio.Task[None]] = []
        try:
            gateway.start()
            if self.schedule.ending is Ending.DURING_START:
                await asyncio.sleep(START_DELAY_STEP_S * (1 + self.schedule.seed % 4))
            else:
                await gateway.ready(READY_TIMEOUT_S)
                await self.wait_for_list(site, gateway)
                clients.start()
                background = [asyncio.create_task(event) for event in self.scheduled_events(site)]
                await asyncio.sleep(self.schedule.terminate_at_s)
            await self.perform_ending(site, gateway, clients, folder)
        finally:
            for task in background:
                task.cancel()
            await clients.stop()
            for launched in (gateway, *self.successors):
                launched.send_signal(signal.SIGKILL)
                if launched.process is not None:
                    launched.process.wait()
            self.records.log = gateway.log_file.read_text(errors="replace")
            if self.extra_discovery is not None:
                await self.extra_discovery.stop()

    def settings(self) -> dict[str, Any]:
        """Returns the platform's settings with the deadlines and quotas of this run."""
        longest_ms = float(self.schedule.longest_deadline_ms)
        profiles = [
            profile | {"hard_limit_ms": longest_ms, "aim_ms": 0.5 * longest_ms}
            for profile in SETTINGS["profiles"]
        ]
        packages = [plan | {"per_second": 200.0, "most_at_once": 400.0} for plan in SETTINGS["packages"]]
        packages[2] |= {"ceiling_rate": 400.0, "hard_burst": 800.0, "ceiling_slack": 80.0}
        return SETTINGS | {"profiles": profiles, "packages": packages}

    async def wait_for_list(self, site: LabSite, gateway: SoakGateway) -> None:
        """Waits until discovery has answered the gateway once."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not site.discovery.first_answer_at:
                await asyncio.sleep(0.01)

    # --- scheduled events during the load ----------------------------------------------------------------

    def scheduled_events(self, site: LabSite) -> list[Any]:
        """Returns a coroutine for each event of the schedule."""
        schedule = self.schedule
        events: list[Any] = [
            self.change_server(site, change.at_s, change.server, change.states) for change in schedule.changes
        ]
        if schedule.counter_reset_at_s is not None:
            events.append(self.reset_counter(site, schedule.counter_reset_at_s))
        if schedule.discovery_outage_s is not None:
            events.append(self.interrupt_discovery(site, *schedule.discovery_outage_s))
        return events

    async def change_server(self, site: LabSite, at_s: float, server: int, states: tuple[str, ...]) -> None:
        """Publishes a row of a server for each state, all in one answer, and records when it was written.

        Of several answers about a server, the first counts as its drain.
        """
        await asyncio.sleep(at_s)
        node = site.nodes[server]
        for discovery in (site.discovery, self.extra_discovery):
            if discovery is None:
                continue
            version = discovery.update_rows([server_row(node.name, node.port, state) for state in states])
            while version not in discovery.first_answer_at:
                await asyncio.sleep(0.001)
            self.records.drained_at.setdefault(node.name, discovery.first_answer_at[version])

    async def reset_counter(self, site: LabSite, at_s: float) -> None:
        """Resets all totals of the counter to zero."""
        await asyncio.sleep(at_s)
        site.counter.reset()

    async def interrupt_discovery(self, site: LabSite, from_s: float, until_s: float) -> None:
        """Stops discovery at `from_s` and restarts it on the same port at `until_s`."""
        await asyncio.sleep(from_s)
        port = site.discovery.port
        await site.discovery.stop()
        await asyncio.sleep(until_s - from_s)
        await site.discovery.start(port)

    async def watch_lag(self) -> None:
        """Records the times for which this process did not run.

        The recorded times of requests and attempts may be late by as much.
        """
        while True:
            started = self.loop.time()
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            now = self.loop.time()
            self.records.stalls.append((now, now - started - LAG_CHECK_INTERVAL_S))

    # --- the end of the run ------------------------------------------------------------------------------

    async def perform_ending(
        self, site: LabSite, gateway: SoakGateway, clients: SoakClients, folder: Path
    ) -> None:
        """Performs the steps of the ending before SIGTERM, then terminates the gateway."""
        ending = self.schedule.ending
        if ending in (Ending.REPLACED, Ending.REPLACED_TWICE):
            gateway = await self.replace(gateway, folder, 1 + (ending is Ending.REPLACED_TWICE))
            # The clients finish before SIGTERM, as the passed socket stays open without a process behind it.
            await clients.finish()
        if ending is Ending.RELOAD_BEFORE:
            gateway.send_signal(signal.SIGHUP)
        elif ending is Ending.BROKEN_FILE:
            gateway.config_file.write_text("{ not a file")
            gateway.send_signal(signal.SIGHUP)
        elif ending is Ending.DISCOVERY_MOVES:
            await self.move_discovery(site, gateway)
        elif ending is Ending.STOPPED:
            gateway.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.schedule.stopped_s)
            # The gateway did not run during this time.
            self.records.stalls.append((self.loop.time(), self.schedule.stopped_s))
            gateway.send_signal(signal.SIGCONT)
        await self.terminate(gateway, clients)

    async def terminate(self, gateway: SoakGateway, clients: SoakClients) -> None:
        """Sends SIGTERM, lets clients connect a while longer, and sends SIGKILL when the platform may."""
        terminated_at = self.records.terminated_at = self.loop.time()
        gateway.send_signal(signal.SIGTERM)
        repeat_count = {Ending.TERM_TWICE: 1, Ending.TERM_FIVE_TIMES: 4}.get(self.schedule.ending, 0)
        for _ in range(repeat_count):
            await asyncio.sleep(SIGNAL_INTERVAL_S)
            gateway.send_signal(signal.SIGTERM)
        if self.schedule.ending is Ending.RELOAD_AFTER:
            gateway.send_signal(signal.SIGHUP)
        await asyncio.sleep(max(0.0, terminated_at + self.schedule.connects_after_s - self.loop.time()))
        clients.may_connect = False
        assert gateway.process is not None
        while (
            gateway.process.poll() is None and self.loop.time() - terminated_at < self.schedule.kill_after_s
        ):
            await asyncio.sleep(0.005)
        self.records.killed_at_end = gateway.process.poll() is None
        gateway.send_signal(signal.SIGKILL)
        status = gateway.process.wait()
        is_killed_during_start = self.schedule.ending is Ending.DURING_START and status == -signal.SIGTERM
        self.records.exit_status = 0 if is_killed_during_start else status
        await clients.finish()

    async def replace(self, gateway: SoakGateway, folder: Path, times: int) -> SoakGateway:
        """Replaces the gateway process `times` times and returns the last successor.

        Each successor listens on the passed socket before its predecessor receives SIGTERM.
        """
        for _ in range(times):
            successor = SoakGateway(folder, gateway.platform, self.mutant)
            successor.passed_socket, successor.temp_folder = gateway.passed_socket, gateway.temp_folder
            successor.log_file = folder / "gateway.log"
            serving_count = gateway.log_file.read_text(errors="replace").count(SERVING_MESSAGE)
            # The end of the run kills all successors, also after an error here.
            self.successors.append(successor)
            successor.start()
            async with asyncio.timeout(READY_TIMEOUT_S):
                while gateway.log_file.read_text(errors="replace").count(SERVING_MESSAGE) == serving_count:
                    await asyncio.sleep(0.02)
            gateway.send_signal(signal.SIGTERM)
            assert gateway.process is not None
            began = self.records.terminated_at = self.loop.time()
            while gateway.process.poll() is None and self.loop.time() - began < self.schedule.kill_after_s:
                await asyncio.sleep(0.005)
            if gateway.process.poll() is None:
                self.records.killed_at_end = True
            gateway.send_signal(signal.SIGKILL)
            gateway.process.wait()
            gateway = successor
        return gateway

    async def move_discovery(self, site: LabSite, gateway: SoakGateway) -> None:
        """Starts a second discovery service, writes its address to the platform's file and sends SIGHUP."""
        self.extra_discovery = DiscoveryService(list(site.discovery.rows.values()))
        await self.extra_discovery.start()
        platform = gateway.platform | {"discovery": f"127.0.0.1:{self.extra_discovery.port}"}
        gateway.config_file.write_text(json.dumps(platform))
        gateway.send_signal(signal.SIGHUP)

    def count_effects(self, nodes: list[RecordingNode]) -> None:
        """Adds the effects that the servers recorded."""
        for node in nodes:
            for effect in node.effects:
                self.records.effects_by_request[effect.request_id] += 1
                if effect.key is not None:
                    self.records.effects_by_key[effect.key] += 1


async def run_schedule(schedule: Schedule, mutant: str = "") -> RunRecords:
    """Runs a schedule and returns the records."""
    with contextlib.suppress(asyncio.CancelledError):
        return await Run(schedule, mutant).run()
    raise RuntimeError("the run was cancelled")
