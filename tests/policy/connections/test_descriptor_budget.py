"""Descriptors: what clients hold, however idle, leaves discovery, the counter and the servers theirs."""

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
    Script,
    always,
    listing,
    numbered,
    play,
    raw_config,
    row,
    send_to,
    site,
    until,
)

TOLD_S = 6.0  # a drain counts as told so long after discovery could be reached
LEFT = 4  # descriptors that nobody holds: calls to discovery beside the one, a configuration that is read
QUIET = 30  # requests in a row that the drained server has no part in


@pytest.mark.parametrize("sockets", [64, 65, 96, 127, 192, 224, 256, 1024, 4096])
@pytest.mark.parametrize("operated", [False, True])
def test_the_parts_never_exceed_the_descriptors(sockets: int, operated: bool) -> None:
    made = divide_descriptors(sockets, operated)
    assert (
        PROCESS_DESCRIPTORS
        + OPERATIONS_DESCRIPTORS * operated
        + made.client_connections
        + made.overflow_connections
        + made.server_connections
        + made.counter_connections
        <= sockets
    )
    assert (
        min(
            made.client_connections,
            made.server_connections,
            made.counter_connections,
            made.overflow_connections,
        )
        >= 2
    )
    assert made.client_connections >= made.server_connections


@pytest.mark.parametrize("sockets", [320, 1024, 4096])
def test_many_descriptors_give_clients_half_and_servers_three_tenths(sockets: int) -> None:
    made = divide_descriptors(sockets)
    assert (made.client_connections, made.requesting_connections, made.server_connections) == (
        sockets // 2,
        sockets // 3,
        sockets * 3 // 10,
    )


def test_a_process_uses_the_budget_of_its_configuration() -> None:
    """They are made once, there, by what it names."""
    raw = raw_config(1, 2, [])
    raw["limits"]["sockets"] = 96
    for more in ({}, {"operator": "127.0.0.1:9"}):
        made = build(raw | more, {})
        assert (
            made.budget == divide_descriptors(96, bool(more))
            and made.limits.max_connections == made.budget.server_connections
        )
    parts = DescriptorBudget(
        client_connections=7,
        requesting_connections=5,
        overflow_connections=1,
        server_connections=9,
        counter_connections=3,
    )

    async def scenario() -> None:
        async with site(always(SERVED), budget=parts) as one:
            listener, links = one.program.listener, one.program.counter
            places = listener.connection_slots
            assert (places.max_connections, places.max_requesting, places.max_overflow) == (7, 5, 1)
            assert links is not None and len(links.connections) == 3
            listener.set_share(0.5)
            assert (places.max_connections, places.max_requesting) == (3, 2)

    play(scenario())


def test_a_connection_counts_once_while_it_comes_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """In the turn in which it is made it does not take a second place, for which an attempt would be turned
    away as if the servers were at fault."""
    counts: list[int] = []
    made = Connection.connection_made

    def counted(self: Connection, transport: asyncio.BaseTransport) -> None:
        made(self, transport)
        counts.append(self.pool.tracker.connection_count())

    monkeypatch.setattr(Connection, "connection_made", counted)

    async def scenario() -> None:
        async with site(always(SERVED), decisions=Script(send_to("s0"))) as one:
            client = await one.client()
            assert await client.ask(b"CALL.GET", CUSTOMER, b"1", GET) == b"value"
            assert counts == [1]

    play(scenario())


def test_an_attempt_cancelled_before_its_connect_leaks_no_connection() -> None:
    async def scenario() -> None:
        async with site(always(SERVED), decisions=Script(send_to("s0"))) as one:
            servers = one.program.servers
            ends: list[AttemptResult] = []
            attempt = servers.create_attempt("s0", lambda left: b"", 1.0, ends.append)
            assert attempt is not None
            attempt.start()
            attempt.stop(Outcome.NOT_SENT)
            assert [result.outcome for result in ends] == [Outcome.NOT_SENT]
            await until(lambda: servers.connection_count() == 0)

    play(scenario())


class Held:
    """A gateway in a process that may hold so many descriptors, three servers, discovery that is down."""

    def __init__(self, folder: Path, sockets: int, silent: bool) -> None:
        self.folder, self.sockets, self.silent = folder, sockets, silent
        self.servers = [RespPeer(self.answer) for _ in range(3)]
        self.counter = CounterService()
        self.ids = numbered()
        self.crowd: list[asyncio.Task[None]] = []
        self.open: set[asyncio.StreamWriter] = set()
        self.answers = asyncio.Event()
        self.turned_away = 0
        self.most = 0

    async def answer(self, words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        if words[1] != CUSTOMER:
            await self.answers.wait()
        return SERVED

    async def __aenter__(self) -> Held:
        self.down = DiscoveryPeer()  # takes calls and never answers
        for peer in (*self.servers, self.counter, self.down):
            await peer.start(free_port() if peer is self.down else 0)
        if not self.silent:
            await self.down.stop()
        self.rows = [row(f"s{i}", peer.port) for i, peer in enumerate(self.servers)]
        raw = raw_config(self.down.port, self.counter.port, self.rows, free_port())
        raw["limits"]["sockets"] = self.sockets
        self.gateway = GatewayProcess(self.folder, raw)
        self.gateway.start()
        assert self.gateway.process is not None
        self.pid = self.gateway.process.pid
        resource.prlimit(self.pid, resource.RLIMIT_NOFILE, (self.sockets, self.sockets))
        await self.gateway.ready()
        return self

    async def __aexit__(self, *failure: object) -> None:
        for task in self.crowd:
            task.cancel()
        await asyncio.gather(*self.crowd, return_exceptions=True)
        self.gateway.signal(signal.SIGKILL)
        assert self.gateway.process is not None
        self.gateway.process.wait()
        for peer in (*self.servers, self.counter, self.down):
            await peer.stop()

    def look(self) -> None:
        """Counts the descriptors of the process."""
        self.most = max(self.most, len(os.listdir(f"/proc/{self.pid}/fd")))

    async def idle(self) -> None:
        """A client that says nothing, and comes back as soon as it is turned out."""
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.gateway.port)
            except OSError:
                continue
            self.open.add(writer)
            try:
                await reader.read()
            except ConnectionError:
                pass
            finally:
                self.open.discard(writer)
                self.turned_away += 1
                writer.close()
            await asyncio.sleep(0.05)

    async def fill(self) -> None:
        """So many requests open that their connections to the servers, which stay, are all that those are
        given; then idle clients past the last place."""
        made = divide_descriptors(self.sockets)
        many = min(24, made.server_connections)
        clients = [await Client.connect(self.gateway.port) for _ in range(many)]
        for number, client in enumerate(clients):
            client.send(b"CALL.GET", b"%016x" % (7000 + number), next(self.ids), GET)
            await until(lambda: sum(len(peer.calls()) for peer in self.servers) > number)  # noqa: B023
        self.answers.set()
        for client in clients:
            assert await client.reply() == b"value"
            client.writer.close()
        self.crowd = [
            asyncio.create_task(self.idle())
            for _ in range(made.client_connections + made.overflow_connections + 8)
        ]
        await until(lambda: self.turned_away >= made.overflow_connections)

    async def ask(self) -> Any:
        """A request on a connection of its own, made again where there was no room; its reply."""
        while True:
            try:
                client = await Client.connect(self.gateway.port)
                reply = await client.ask(b"CALL.GET", CUSTOMER, next(self.ids), GET)
                client.writer.close()
            except OSError:
                continue
            if reply is not None and "too many" not in str(reply):
                return reply

    def drained(self) -> int:
        """Requests that have come to s0."""
        return sum(words[1] == CUSTOMER for words in self.servers[0].calls())


@pytest.mark.parametrize(("sockets", "silent"), [(64, True), (96, False), (96, True), (1024, False)])
def test_a_drain_is_received_despite_idle_clients(tmp_path: Path, sockets: int, silent: bool) -> None:
    """Discovery is refused or silent while idle clients and open requests take all that they are given. It
    returns with a drain: the call to it, the attempts and the counter's links have their descriptors."""

    async def scenario() -> None:
        async with Held(tmp_path, sockets, silent) as held:
            await held.fill()
            for _ in range(5):
                assert await held.ask() == b"value"
                held.look()
            rows = [row("s0", held.servers[0].port, "Terminating"), *held.rows[1:]]
            back = DiscoveryPeer(listing(2, rows))
            if silent:
                held.down.answers += [listing(2, rows)] * 100
            else:
                await back.start(held.down.port)
            loop = asyncio.get_running_loop()
            could_be_reached = loop.time()
            quiet = 0
            while quiet < QUIET:
                before = held.drained()
                assert await held.ask() == b"value"
                held.look()
                quiet = quiet + 1 if held.drained() == before else 0
                assert loop.time() - could_be_reached < TOLD_S + 1.0, "the drain was not heard"
            assert held.most <= sockets - LEFT
            assert (
                len(held.counter.writers) >= divide_descriptors(sockets).counter_connections
            )  # none went without one for good
            await back.stop()

    play(scenario())


def first_free(pid: int) -> int:
    """The lowest number that no descriptor of the process has."""
    taken = {int(name) for name in os.listdir(f"/proc/{pid}/fd")}
    return next(number for number in range(len(taken) + 1) if number not in taken)


def test_without_any_descriptor_all_parts_keep_retrying(tmp_path: Path) -> None:
    """Every peer is lost in a moment in which no socket can be opened, nor a file. Each part goes on trying,
    and the process goes on listening."""

    async def scenario() -> None:
        async with Held(tmp_path, 128, silent=True) as held:
            peers = (*held.servers, held.counter, held.down)
            client = await Client.connect(held.gateway.port)
            assert await client.ask(b"CALL.GET", CUSTOMER, next(held.ids), GET) == b"value"
            for peer in peers:
                await peer.stop()
                peer.writers.clear()
            low = 128
            for _ in range(40):  # those that are refused open and close theirs meanwhile
                low = min(low, first_free(held.pid))
                await asyncio.sleep(0.01)
            resource.prlimit(held.pid, resource.RLIMIT_NOFILE, (low, 128))
            for peer in peers:
                await peer.start(peer.port)
            asked = len(held.down.targets)
            assert await client.ask(b"CALL.GET", CUSTOMER, next(held.ids), GET) != b"value"
            newcomer = await Client.connect(held.gateway.port)
            assert await newcomer.ended()
            held.gateway.signal(signal.SIGHUP)
            await until(lambda: "the configuration in force stays" in held.gateway.log.read_text())
            await asyncio.sleep(max(counter.MAX_BACKOFF_S, polling.MAX_BACKOFF_S) + 0.2)  # all have tried
            assert not [peer for peer in peers if peer.writers]
            resource.prlimit(held.pid, resource.RLIMIT_NOFILE, (128, 128))
            await until(lambda: len(held.counter.writers) >= divide_descriptors(128).counter_connections)
            await until(lambda: len(held.down.targets) > asked)
            while await held.ask() != b"value":
                pass
            assert await client.ask(b"CALL.GET", CUSTOMER, next(held.ids), GET) == b"value"

    play(scenario())
