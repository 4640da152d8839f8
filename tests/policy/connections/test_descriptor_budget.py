"""Tests of the division of descriptors: client connections never starve discovery, the counter or servers."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
from pathlib import Path
from typing import Any

import pytest

from glenchute.clients import counter
from glenchute.config.platform import build
from glenchute.core.types import AttemptResult
from glenchute.policy.connections.descriptor_budget import (
    OPERATIONS_DESCRIPTORS,
    PROCESS_DESCRIPTORS,
    DescriptorBudget,
    divide_descriptors,
)
from glenchute.policy.endpoints import polling
from glenchute.policy.events import Outcome
from glenchute.upstreams.connection import Connection
from lab.services import CounterService
from lab.site import GatewayProcess, free_port
from tests.loopback import (
    CUSTOMER,
    GET,
    SERVED,
    Client,
    DiscoveryPeer,
    RespPeer,
    ScriptedEngine,
    discovery_answer,
    generate_request_ids,
    raw_config,
    reply_with,
    run_scenario,
    send_to,
    server_row,
    site,
    wait_until,
)

MAX_DRAIN_DELAY_S = 6.0  # time from when discovery is reachable until a drain must be in effect
SPARE_DESCRIPTORS = 4  # descriptors not in use: further discovery calls and reading a configuration file
# The drain counts as in effect after this many consecutive requests that did not reach the drained server.
REQUESTS_AFTER_DRAIN = 30


@pytest.mark.parametrize("descriptors", [64, 65, 96, 127, 192, 224, 256, 1024, 4096])
@pytest.mark.parametrize("has_operations_address", [False, True])
def test_the_parts_never_exceed_the_descriptors(descriptors: int, has_operations_address: bool) -> None:
    budget = divide_descriptors(descriptors, has_operations_address)
    assert (
        PROCESS_DESCRIPTORS
        + OPERATIONS_DESCRIPTORS * has_operations_address
        + budget.client_connections
        + budget.overflow_connections
        + budget.server_connections
        + budget.counter_connections
        <= descriptors
    )
    assert (
        min(
            budget.client_connections,
            budget.server_connections,
            budget.counter_connections,
            budget.overflow_connections,
        )
        >= 2
    )
    assert budget.client_connections >= budget.server_connections


@pytest.mark.parametrize("descriptors", [320, 1024, 4096])
def test_many_descriptors_give_clients_half_and_servers_three_tenths(descriptors: int) -> None:
    budget = divide_descriptors(descriptors)
    assert (budget.client_connections, budget.requesting_connections, budget.server_connections) == (
        descriptors // 2,
        descriptors // 3,
        descriptors * 3 // 10,
    )


def test_a_process_uses_the_budget_of_its_configuration() -> None:
    """The budget is computed once, when the configuration is built, from the limit that it states."""
    platform_config = raw_config(1, 2, [])
    platform_config["limits"]["sockets"] = 96
    for extra in ({}, {"operator": "127.0.0.1:9"}):
        config = build(platform_config | extra, {})
        assert (
            config.budget == divide_descriptors(96, bool(extra))
            and config.limits.max_connections == config.budget.server_connections
        )
    budget = DescriptorBudget(
        client_connections=7,
        requesting_connections=5,
        overflow_connections=1,
        server_connections=9,
        counter_connections=3,
    )

    async def scenario() -> None:
        async with site(reply_with(SERVED), budget=budget) as gateway_site:
            listener, counter_client = gateway_site.program.listener, gateway_site.program.counter
            slots = listener.connection_slots
            assert (slots.max_connections, slots.max_requesting, slots.max_overflow) == (7, 5, 1)
            assert counter_client is not None and len(counter_client.connections) == 3
            listener.set_share(0.5)
            assert (slots.max_connections, slots.max_requesting) == (3, 2)

    run_scenario(scenario())


def test_a_connection_counts_once_while_it_comes_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """In the loop iteration in which it is established, a connection must not be counted twice: that could
    reject another attempt as if the servers had failed."""
    counts: list[int] = []
    original = Connection.connection_made

    def record_count(self: Connection, transport: asyncio.BaseTransport) -> None:
        original(self, transport)
        counts.append(self.pool.tracker.connection_count())

    monkeypatch.setattr(Connection, "connection_made", record_count)

    async def scenario() -> None:
        async with site(reply_with(SERVED), decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            client = await gateway_site.client()
            assert await client.ask(b"CALL.GET", CUSTOMER, b"1", GET) == b"value"
            assert counts == [1]

    run_scenario(scenario())


def test_an_attempt_cancelled_before_its_connect_leaks_no_connection() -> None:
    async def scenario() -> None:
        async with site(reply_with(SERVED), decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            servers = gateway_site.program.servers
            results: list[AttemptResult] = []
            attempt = servers.create_attempt("s0", lambda left: b"", 1.0, results.append)
            assert attempt is not None
            attempt.start()
            attempt.stop(Outcome.NOT_SENT)
            assert [result.outcome for result in results] == [Outcome.NOT_SENT]
            await wait_until(lambda: servers.connection_count() == 0)

    run_scenario(scenario())


class LimitedGateway:
    """A gateway process with a descriptor limit; discovery refuses its calls or never answers them."""

    def __init__(self, folder: Path, descriptors: int, is_discovery_silent: bool) -> None:
        self.folder, self.descriptors, self.is_discovery_silent = folder, descriptors, is_discovery_silent
        self.servers = [RespPeer(self.answer) for _ in range(3)]
        self.counter = CounterService()
        self.request_ids = generate_request_ids()
        self.idle_clients: list[asyncio.Task[None]] = []
        self.idle_writers: set[asyncio.StreamWriter] = set()
        self.may_answer = asyncio.Event()
        self.disconnect_count = 0
        self.max_open_descriptors = 0

    async def answer(self, words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        if words[1] != CUSTOMER:
            await self.may_answer.wait()
        return SERVED

    async def __aenter__(self) -> LimitedGateway:
        self.discovery = DiscoveryPeer()  # accepts calls and never answers
        for peer in (*self.servers, self.counter, self.discovery):
            await peer.start(free_port() if peer is self.discovery else 0)
        if not self.is_discovery_silent:
            await self.discovery.stop()
        self.server_rows = [server_row(f"s{i}", peer.port) for i, peer in enumerate(self.servers)]
        platform_config = raw_config(self.discovery.port, self.counter.port, self.server_rows, free_port())
        platform_config["limits"]["sockets"] = self.descriptors
        self.gateway = GatewayProcess(self.folder, platform_config)
        self.gateway.start()
        assert self.gateway.process is not None
        self.pid = self.gateway.process.pid
        resource.prlimit(self.pid, resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))
        await self.gateway.ready()
        return self

    async def __aexit__(self, *failure: object) -> None:
        for task in self.idle_clients:
            task.cancel()
        await asyncio.gather(*self.idle_clients, return_exceptions=True)
        self.gateway.send_signal(signal.SIGKILL)
        assert self.gateway.process is not None
        self.gateway.process.wait()
        for peer in (*self.servers, self.counter, self.discovery):
            await peer.stop()

    def record_descriptors(self) -> None:
        """Records the maximum number of open descriptors of the process."""
        self.max_open_descriptors = max(self.max_open_descriptors, len(os.listdir(f"/proc/{self.pid}/fd")))

    async def run_idle_client(self) -> None:
        """Runs a client that sends nothing and reconnects whenever it is disconnected."""
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.gateway.port)
            except OSError:
                continue
            self.idle_writers.add(writer)
            try:
                await reader.read()
            except ConnectionError:
                pass
            finally:
                self.idle_writers.discard(writer)
                self.disconnect_count += 1
                writer.close()
            await asyncio.sleep(0.05)

    async def use_all_connections(self) -> None:
        """Opens all server connections that the budget allows (up to 24) by concurrent requests, and then
        more idle client connections than there are slots."""
        budget = divide_descriptors(self.descriptors)
        request_count = min(24, budget.server_connections)
        clients: list[Client] = []
        for number in range(request_count):
            # Connected just before its request: a connection without a command is closed after about 1 s.
            client = await Client.connect(self.gateway.port)
            clients.append(client)
            client.send(b"CALL.GET", b"%016x" % (7000 + number), next(self.request_ids), GET)
            await wait_until(lambda: sum(len(peer.calls()) for peer in self.servers) > number)  # noqa: B023
        self.may_answer.set()
        for client in clients:
            assert await client.reply() == b"value"
            client.writer.close()
        self.idle_clients = [
            asyncio.create_task(self.run_idle_client())
            for _ in range(budget.client_connections + budget.overflow_connections + 8)
        ]
        await wait_until(lambda: self.disconnect_count >= budget.overflow_connections)

    async def ask_until_accepted(self) -> Any:
        """Sends a request on a new connection, again if there was no slot; returns its reply."""
        while True:
            try:
                client = await Client.connect(self.gateway.port)
                reply = await client.ask(b"CALL.GET", CUSTOMER, next(self.request_ids), GET)
                client.writer.close()
            except OSError:
                continue
            if reply is not None and "too many" not in str(reply):
                return reply

    def s0_request_count(self) -> int:
        """Returns the number of requests of `CUSTOMER` that server s0 has received."""
        return sum(words[1] == CUSTOMER for words in self.servers[0].calls())


@pytest.mark.parametrize(
    ("descriptors", "is_discovery_silent"), [(64, True), (96, False), (96, True), (1024, False)]
)
def test_a_drain_is_received_despite_idle_clients(
    tmp_path: Path, descriptors: int, is_discovery_silent: bool
) -> None:
    """Discovery refuses calls or is silent while idle clients and requests use all their descriptors. When it
    answers again, with a drain of s0, there are descriptors for the discovery call, for attempts and for the
    counter's connections."""

    async def scenario() -> None:
        async with LimitedGateway(tmp_path, descriptors, is_discovery_silent) as limited:
            await limited.use_all_connections()
            for _ in range(5):
                assert await limited.ask_until_accepted() == b"value"
                limited.record_descriptors()
            rows = [server_row("s0", limited.servers[0].port, "Terminating"), *limited.server_rows[1:]]
            restored_discovery = DiscoveryPeer(discovery_answer(2, rows))
            if is_discovery_silent:
                limited.discovery.answers += [discovery_answer(2, rows)] * 100
            else:
                await restored_discovery.start(limited.discovery.port)
            loop = asyncio.get_running_loop()
            reachable_at = loop.time()
            requests_without_s0 = 0
            while requests_without_s0 < REQUESTS_AFTER_DRAIN:
                before = limited.s0_request_count()
                assert await limited.ask_until_accepted() == b"value"
                limited.record_descriptors()
                requests_without_s0 = requests_without_s0 + 1 if limited.s0_request_count() == before else 0
                assert loop.time() - reachable_at < MAX_DRAIN_DELAY_S + 1.0, "drain not in effect in time"
            assert limited.max_open_descriptors <= descriptors - SPARE_DESCRIPTORS
            # Every counter connection was established in the end.
            assert len(limited.counter.writers) >= divide_descriptors(descriptors).counter_connections
            await restored_discovery.stop()

    run_scenario(scenario())


def lowest_free_descriptor(pid: int) -> int:
    """Returns the lowest free descriptor number of the process."""
    used = {int(name) for name in os.listdir(f"/proc/{pid}/fd")}
    return next(number for number in range(len(used) + 1) if number not in used)


def test_without_any_descriptor_all_parts_keep_retrying(tmp_path: Path) -> None:
    """All peers are lost while no socket or file can be opened. Each part keeps retrying, and the process
    keeps listening."""

    async def scenario() -> None:
        async with LimitedGateway(tmp_path, 128, is_discovery_silent=True) as limited:
            peers = (*limited.servers, limited.counter, limited.discovery)
            client = await Client.connect(limited.gateway.port)
            assert await client.ask(b"CALL.GET", CUSTOMER, next(limited.request_ids), GET) == b"value"
            for peer in peers:
                await peer.stop()
                peer.writers.clear()
            descriptor_limit = 128
            for _ in range(40):  # retries of refused connections open and close descriptors meanwhile
                descriptor_limit = min(descriptor_limit, lowest_free_descriptor(limited.pid))
                await asyncio.sleep(0.01)
            resource.prlimit(limited.pid, resource.RLIMIT_NOFILE, (descriptor_limit, 128))
            for peer in peers:
                await peer.start(peer.port)
            discovery_call_count = len(limited.discovery.request_targets)
            assert await client.ask(b"CALL.GET", CUSTOMER, next(limited.request_ids), GET) != b"value"
            new_client = await Client.connect(limited.gateway.port)
            assert await new_client.ended()
            limited.gateway.send_signal(signal.SIGHUP)
            await wait_until(
                lambda: "the configuration in force stays" in limited.gateway.log_file.read_text()
            )
            # Long enough for every part to retry.
            await asyncio.sleep(max(counter.MAX_BACKOFF_S, polling.MAX_BACKOFF_S) + 0.2)
            assert not [peer for peer in peers if peer.writers]
            resource.prlimit(limited.pid, resource.RLIMIT_NOFILE, (128, 128))
            await wait_until(
                lambda: len(limited.counter.writers) >= divide_descriptors(128).counter_connections
            )
            await wait_until(lambda: len(limited.discovery.request_targets) > discovery_call_count)
            while await limited.ask_until_accepted() != b"value":
                pass
            assert await client.ask(b"CALL.GET", CUSTOMER, next(limited.request_ids), GET) == b"value"

    run_scenario(scenario())
