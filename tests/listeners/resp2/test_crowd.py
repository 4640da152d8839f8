"""Many client connections on loopback sockets: clients that send one request and keep their connection,
clients that only send PINGs, and silent ones."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from glenchute.listeners.resp2.connection import ClientConnection
from glenchute.policy.connections import client_slots
from glenchute.policy.connections.client_slots import MAX_IDLE_S, CloseReason
from glenchute.policy.events import Request
from glenchute.protocol import resp2 as resp
from tests.loopback import (
    CUSTOMER,
    GET,
    SERVED,
    Client,
    ScriptedEngine,
    Site,
    generate_request_ids,
    reply_with,
    run_scenario,
    send_to,
    site,
    wait_until,
)

SOCKETS = 96  # file descriptors: 46 client slots, of which at most 32 for clients with requests
ONE_TIME_RATE_PER_S = 100.0
ONE_TIME_CLIENTS = 150
# How long a client waits for its reply. A slot that an idle connection held for `MAX_IDLE_S` would be freed
# too late for it.
PATIENCE_S = MAX_IDLE_S / 2.0


class ClientMix:
    """Clients of all kinds, and how many of their requests were served."""

    def __init__(self, gateway_site: Site) -> None:
        self.gateway_site = gateway_site
        self.ids = generate_request_ids()
        self.pool = asyncio.Semaphore(SOCKETS // 3)  # connections for requests; the clients open no more
        self.one_time_counts = [0, 0]  # requests sent, served
        self.regular_counts = [0, 0]  # requests sent, served
        self.reopened = 0  # connections that regular clients had to open again
        self.peak_connections = 0
        self.is_over = False  # whether all one-time clients have finished

    async def send_request(self, client: Client) -> bool:
        """Sends one request; False if the connection ended instead of a reply."""
        return bool(await client.ask(b"CALL.GET", CUSTOMER, next(self.ids), GET) == b"value")

    async def hold_open(self, client: Client) -> None:
        """Holds the connection until the gateway closes it."""
        try:
            await client.reply()
        except ConnectionError:
            pass
        finally:
            client.writer.close()
            self.pool.release()

    async def run_one_time(self, kept: set[asyncio.Task[None]]) -> None:
        """Sends one request and keeps the connection open. If the connection is closed without a reply, as
        may happen when the command crosses the close, the request is sent once more, as clients do."""
        self.one_time_counts[0] += 1
        deadline = asyncio.get_running_loop().time() + PATIENCE_S
        try:
            async with asyncio.timeout_at(deadline):
                await self.pool.acquire()
        except TimeoutError:
            return
        for _ in range(2):
            client = None
            try:
                async with asyncio.timeout_at(deadline):
                    client = await self.gateway_site.client()
                    is_served = await self.send_request(client)
            except (TimeoutError, ConnectionError):
                is_served = False
            if is_served and client is not None:
                self.one_time_counts[1] += 1
                kept.add(asyncio.create_task(self.hold_open(client)))
                return
            if client is not None:
                client.writer.close()
        self.pool.release()

    async def run_regular(self) -> None:
        """Sends a request every few ms on one connection, and opens another one if that is closed."""
        await self.pool.acquire()
        client = await self.gateway_site.client()
        while not self.is_over:
            self.regular_counts[0] += 1
            try:
                if not await self.send_request(client):
                    raise ConnectionError
            except ConnectionError:
                self.reopened += 1
                client.writer.close()
                client = await self.gateway_site.client()
                self.regular_counts[1] += await self.send_request(client)  # retried once, as clients do
            else:
                self.regular_counts[1] += 1
            await asyncio.sleep(0.01)
        client.writer.close()

    async def run_pinging(self) -> None:
        """Sends only PINGs, and reconnects when the connection is closed."""
        while not self.is_over:
            try:
                client = await self.gateway_site.client()
                while await client.ask(b"PING") is not None and not self.is_over:
                    await asyncio.sleep(0.02)
                client.writer.close()
            except ConnectionError:
                pass
            await asyncio.sleep(0.005)

    async def run_silent(self) -> None:
        """Connects, sends nothing, and reconnects when the connection is closed."""
        while not self.is_over:
            client = await self.gateway_site.client()
            await client.ended()
            client.writer.close()

    async def watch(self) -> None:
        """Records the largest number of connections that the gateway holds."""
        while not self.is_over:
            self.peak_connections = max(
                self.peak_connections, len(self.gateway_site.program.listener.clients)
            )
            await asyncio.sleep(0.002)

    async def run(self, pinging: int, silent: int) -> None:
        """Runs four regular clients, `pinging` and `silent` ones, and one-time clients at a rate."""
        tasks: list[asyncio.Task[Any]] = [asyncio.create_task(self.run_regular()) for _ in range(4)]
        tasks += [asyncio.create_task(self.run_pinging()) for _ in range(pinging)]
        tasks += [asyncio.create_task(self.run_silent()) for _ in range(silent)]
        tasks += [asyncio.create_task(self.watch())]
        kept: set[asyncio.Task[None]] = set()
        one_time = []
        for _ in range(ONE_TIME_CLIENTS):
            one_time.append(asyncio.create_task(self.run_one_time(kept)))
            await asyncio.sleep(1.0 / ONE_TIME_RATE_PER_S)
        await asyncio.gather(*one_time)
        self.is_over = True
        for task in (*tasks, *kept):
            if not task.done() and task not in tasks[:4]:
                task.cancel()
        await asyncio.gather(*tasks, *kept, return_exceptions=True)


@pytest.mark.parametrize(("pinging", "silent"), [(8, 4), (24, 8)])
def test_one_time_clients_that_keep_their_connections_do_not_block_others(pinging: int, silent: int) -> None:
    """Guards against slots that idle connections occupy for so long that waiting clients time out. In the
    first case slots are free, and only those for connections with requests are exhausted; in the
    second none is free. `test_client_slots.py` tests in simulated time from which rates on clients wait."""

    async def scenario() -> None:
        async with site(
            reply_with(SERVED), decisions=ScriptedEngine(send_to("s0")), sockets=SOCKETS
        ) as gateway_site:
            clients = ClientMix(gateway_site)
            await clients.run(pinging, silent)
            assert clients.one_time_counts[0] == ONE_TIME_CLIENTS
            assert clients.one_time_counts[1] >= 0.9 * clients.one_time_counts[0], clients.one_time_counts
            assert clients.regular_counts[1] >= 0.95 * clients.regular_counts[0], clients.regular_counts
            # Connections that are reused every few ms are worth keeping: almost none is evicted.
            assert clients.reopened <= 0.05 * clients.regular_counts[0], (
                clients.reopened,
                clients.regular_counts,
            )
            slots = gateway_site.program.listener.connection_slots
            assert clients.peak_connections <= slots.max_connections + slots.max_overflow
            assert slots.closed_counts[CloseReason.IDLE] > 0

    run_scenario(scenario())


def connect_blocking(port: int) -> socket.socket:
    """Returns a blocking socket: the test decides what happens between two turns of the event loop."""
    sock = socket.create_connection(("127.0.0.1", port))
    sock.settimeout(2.0)
    return sock


FIRST, SECOND = (resp.encode_command(b"CALL.GET", CUSTOMER, number, GET) for number in (b"1", b"2"))


@pytest.mark.parametrize("first", [resp.encode_command(b"PING"), FIRST])
@pytest.mark.parametrize("sent_before", [True, False])
def test_a_command_that_crosses_the_close_is_served_or_not_processed(
    monkeypatch: pytest.MonkeyPatch, first: bytes, sent_before: bool
) -> None:
    """A command that the kernel has received before the close is served. One that is received later gets the
    end of the connection, not a reset, and never reaches the decisions: the client may send it again."""

    async def scenario() -> None:
        script = ScriptedEngine(send_to("s0"))
        async with site(reply_with(SERVED), decisions=script) as gateway_site:
            listener = gateway_site.program.listener
            client = connect_blocking(gateway_site.port)
            client.sendall(first)
            loop = asyncio.get_running_loop()
            assert await loop.run_in_executor(None, client.recv, 100) in (b"+PONG\r\n", b"$5\r\nvalue\r\n")
            request_count = len(script.events_of(Request))
            await asyncio.sleep(0.01)
            monkeypatch.setattr(client_slots, "MAX_IDLE_S", 0.0)
            if sent_before:
                client.sendall(SECOND)
                listener.sweep()
                assert await loop.run_in_executor(None, client.recv, 100) == b"$5\r\nvalue\r\n"
                assert len(script.events_of(Request)) == request_count + 1
            else:
                listener.sweep()
                client.sendall(SECOND)
                await asyncio.sleep(0.05)
                assert await loop.run_in_executor(None, client.recv, 100) == b""
                assert len(script.events_of(Request)) == request_count
            client.close()
            await wait_until(lambda: not listener.clients)

    run_scenario(scenario())


def test_a_connection_with_an_unread_command_is_not_evicted() -> None:
    async def scenario() -> None:
        async with site(reply_with(SERVED), decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            listener = gateway_site.program.listener
            listener.connection_slots.max_connections = 1
            loop = asyncio.get_running_loop()
            used = connect_blocking(gateway_site.port)
            used.sendall(FIRST)
            assert await loop.run_in_executor(None, used.recv, 100) == b"$5\r\nvalue\r\n"
            # The new connection has not been accepted, and the command has not been read.
            new = connect_blocking(gateway_site.port)
            used.sendall(SECOND)
            assert await loop.run_in_executor(None, used.recv, 100) == b"$5\r\nvalue\r\n"
            reply = await loop.run_in_executor(None, new.recv, 100)
            assert b"too many connections" in reply or reply == b""
            new.close()
            used.close()

    run_scenario(scenario())


def test_a_client_that_ignores_the_close_is_aborted(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with site(reply_with(SERVED), decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            client = connect_blocking(gateway_site.port)
            await wait_until(lambda: gateway_site.program.listener.clients)
            monkeypatch.setattr(client_slots, "MAX_FIRST_COMMAND_S", 0.0)
            monkeypatch.setattr(client_slots, "MIN_FIRST_COMMAND_S", 0.0)
            monkeypatch.setattr(client_slots, "LINGER_TIMEOUT_S", 0.1)
            await wait_until(lambda: not gateway_site.program.listener.clients)
            assert client.recv(1) == b""
            client.close()

    run_scenario(scenario())


def test_an_exception_in_closing_one_connection_does_not_affect_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two connections are silent for too long, and closing the first raises: it is aborted, while the second
    and a later one are closed properly."""
    close_for = ClientConnection.close_for

    async def scenario() -> None:
        async with site(reply_with(SERVED), decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            listener = gateway_site.program.listener
            silent = [await gateway_site.client(), await gateway_site.client()]
            await wait_until(lambda: len(listener.clients) == 2)
            first = next(iter(listener.clients))

            def failing_close(client: ClientConnection, reason: CloseReason) -> bool:
                if client is first:
                    raise RuntimeError("a fault")
                return close_for(client, reason)

            monkeypatch.setattr(ClientConnection, "close_for", failing_close)
            monkeypatch.setattr(client_slots, "MAX_FIRST_COMMAND_S", 0.0)
            monkeypatch.setattr(client_slots, "MIN_FIRST_COMMAND_S", 0.0)
            assert all([await client.ended() for client in silent])
            await wait_until(lambda: first.transport is None)
            last = await gateway_site.client()
            assert await last.ended()
            await wait_until(lambda: not listener.clients)

    run_scenario(scenario())
