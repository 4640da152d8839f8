"""Crowds on loopback sockets: clients that ask once and keep their connection, pings without end, silence."""

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
    Script,
    Site,
    always,
    numbered,
    play,
    send_to,
    site,
    until,
)

SOCKETS = 96  # descriptors: 46 places, of which clients hold 32 at most for requests
RATE = 100.0  # one-time requests a second
ASKERS = 150
PATIENCE_S = MAX_IDLE_S / 2.0  # how long a client waits for its answer: who waits for a kept place gets none


class Crowd:
    """The clients of the incident: what they were answered, by kind."""

    def __init__(self, one: Site) -> None:
        self.one = one
        self.ids = numbered()
        self.pool = asyncio.Semaphore(SOCKETS // 3)  # connections for requests; the clients hold no more
        self.once = [0, 0]  # asked, answered
        self.usual = [0, 0]
        self.reopened = 0  # by usual clients
        self.most_held = 0
        self.over = False  # all askers have asked

    async def ask(self, client: Client) -> bool:
        """One request; False where the connection ended instead."""
        return bool(await client.ask(b"CALL.GET", CUSTOMER, next(self.ids), GET) == b"value")

    async def keep(self, client: Client) -> None:
        """Holds the connection until the gateway closes it."""
        try:
            await client.reply()
        except ConnectionError:
            pass
        finally:
            client.writer.close()
            self.pool.release()

    async def asker(self, kept: set[asyncio.Task[None]]) -> None:
        """Asks once, and keeps the connection for good. One that is turned out with no answer, as it may be
        where its command is late, asks once more, as clients do."""
        self.once[0] += 1
        end = asyncio.get_running_loop().time() + PATIENCE_S
        try:
            async with asyncio.timeout_at(end):
                await self.pool.acquire()
        except TimeoutError:
            return
        for _ in range(2):
            client = None
            try:
                async with asyncio.timeout_at(end):
                    client = await self.one.client()
                    answered = await self.ask(client)
            except (TimeoutError, ConnectionError):
                answered = False
            if answered and client is not None:
                self.once[1] += 1
                kept.add(asyncio.create_task(self.keep(client)))
                return
            if client is not None:
                client.writer.close()
        self.pool.release()

    async def regular(self) -> None:
        """Asks every few ms on one connection, and opens another where that was closed."""
        await self.pool.acquire()
        client = await self.one.client()
        while not self.over:
            self.usual[0] += 1
            try:
                if not await self.ask(client):
                    raise ConnectionError
            except ConnectionError:
                self.reopened += 1
                client.writer.close()
                client = await self.one.client()
                self.usual[1] += await self.ask(client)  # sent once more, as clients do
            else:
                self.usual[1] += 1
            await asyncio.sleep(0.01)
        client.writer.close()

    async def pinging(self) -> None:
        """Says only PING, and comes back as soon as it is turned out."""
        while not self.over:
            try:
                client = await self.one.client()
                while await client.ask(b"PING") is not None and not self.over:
                    await asyncio.sleep(0.02)
                client.writer.close()
            except ConnectionError:
                pass
            await asyncio.sleep(0.005)

    async def silent(self) -> None:
        """Connects, says nothing, and comes back."""
        while not self.over:
            client = await self.one.client()
            await client.ended()
            client.writer.close()

    async def watch(self) -> None:
        while not self.over:
            self.most_held = max(self.most_held, len(self.one.program.listener.clients))
            await asyncio.sleep(0.002)

    async def play(self, pinging: int, silent: int) -> None:
        crowd: list[asyncio.Task[Any]] = [asyncio.create_task(self.regular()) for _ in range(4)]
        crowd += [asyncio.create_task(self.pinging()) for _ in range(pinging)]
        crowd += [asyncio.create_task(self.silent()) for _ in range(silent)]
        crowd += [asyncio.create_task(self.watch())]
        kept: set[asyncio.Task[None]] = set()
        askers = []
        for _ in range(ASKERS):
            askers.append(asyncio.create_task(self.asker(kept)))
            await asyncio.sleep(1.0 / RATE)
        await asyncio.gather(*askers)
        self.over = True
        for task in (*crowd, *kept):
            if not task.done() and task not in crowd[:4]:
                task.cancel()
        await asyncio.gather(*crowd, *kept, return_exceptions=True)


@pytest.mark.parametrize(("pinging", "silent"), [(8, 4), (24, 8)])
def test_askers_that_keep_their_connection_leave_room_for_the_next(pinging: int, silent: int) -> None:
    """Once with places left over, where only the clients' own third is short, and once with none. A place
    kept for its whole time is free too late for those who wait. From which rates on anybody has to wait is
    held by a played clock in `test_client_slots.py`."""

    async def scenario() -> None:
        async with site(always(SERVED), decisions=Script(send_to("s0")), sockets=SOCKETS) as one:
            crowd = Crowd(one)
            await crowd.play(pinging, silent)
            assert crowd.once[0] == ASKERS
            assert crowd.once[1] >= 0.9 * crowd.once[0], crowd.once
            assert crowd.usual[1] >= 0.95 * crowd.usual[0], crowd.usual
            # One that is reused every few ms is worth keeping: nearly none is turned out.
            assert crowd.reopened <= 0.05 * crowd.usual[0], (crowd.reopened, crowd.usual)
            places = one.program.listener.connection_slots
            assert crowd.most_held <= places.max_connections + places.max_overflow
            assert places.closed_counts[CloseReason.IDLE] > 0

    play(scenario())


def raw(port: int) -> socket.socket:
    """A plain blocking socket, so that the test decides what happens between two turns of the loop."""
    made = socket.create_connection(("127.0.0.1", port))
    made.settimeout(2.0)
    return made


FIRST, ASK = (resp.encode_command(b"CALL.GET", CUSTOMER, number, GET) for number in (b"1", b"2"))


@pytest.mark.parametrize("first", [resp.encode_command(b"PING"), FIRST])
@pytest.mark.parametrize("sent_before", [True, False])
def test_a_command_that_crosses_the_close_is_served_or_left_whole(
    monkeypatch: pytest.MonkeyPatch, first: bytes, sent_before: bool
) -> None:
    """What has reached the machine before the close is served. What comes after it finds the clean end of the
    connection, no reset, and never reached the decisions: the client may send it again."""

    async def scenario() -> None:
        script = Script(send_to("s0"))
        async with site(always(SERVED), decisions=script) as one:
            listener = one.program.listener
            client = raw(one.port)
            client.sendall(first)
            loop = asyncio.get_running_loop()
            assert await loop.run_in_executor(None, client.recv, 100) in (b"+PONG\r\n", b"$5\r\nvalue\r\n")
            taken = len(script.of(Request))
            await asyncio.sleep(0.01)
            monkeypatch.setattr(client_slots, "MAX_IDLE_S", 0.0)
            if sent_before:
                client.sendall(ASK)
                listener.sweep()
                assert await loop.run_in_executor(None, client.recv, 100) == b"$5\r\nvalue\r\n"
                assert len(script.of(Request)) == taken + 1
            else:
                listener.sweep()
                client.sendall(ASK)
                await asyncio.sleep(0.05)
                assert await loop.run_in_executor(None, client.recv, 100) == b""
                assert len(script.of(Request)) == taken
            client.close()
            await until(lambda: not listener.clients)

    play(scenario())


def test_one_that_makes_room_and_has_a_command_waiting_stays() -> None:
    async def scenario() -> None:
        async with site(always(SERVED), decisions=Script(send_to("s0"))) as one:
            listener = one.program.listener
            listener.connection_slots.max_connections = 1
            loop = asyncio.get_running_loop()
            asked = raw(one.port)
            asked.sendall(FIRST)
            assert await loop.run_in_executor(None, asked.recv, 100) == b"$5\r\nvalue\r\n"
            newcomer = raw(one.port)  # waits to be accepted ...
            asked.sendall(ASK)  # ... while the command waits to be read
            assert await loop.run_in_executor(None, asked.recv, 100) == b"$5\r\nvalue\r\n"
            told = await loop.run_in_executor(None, newcomer.recv, 100)
            assert b"too many connections" in told or told == b""
            newcomer.close()
            asked.close()

    play(scenario())


def test_an_end_that_the_client_ignores_is_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with site(always(SERVED), decisions=Script(send_to("s0"))) as one:
            client = raw(one.port)
            await until(lambda: one.program.listener.clients)
            monkeypatch.setattr(client_slots, "MAX_FIRST_COMMAND_S", 0.0)
            monkeypatch.setattr(client_slots, "MIN_FIRST_COMMAND_S", 0.0)
            monkeypatch.setattr(client_slots, "LINGER_TIMEOUT_S", 0.1)
            await until(lambda: not one.program.listener.clients)
            assert client.recv(1) == b""
            client.close()

    play(scenario())


def test_a_fault_in_ending_one_connection_keeps_none_of_the_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """Two are silent past their time, and ending the first fails: it is cut off, the other is told the end in
    order, and the next to come is ended in its time too."""
    sound = ClientConnection.close_for

    async def scenario() -> None:
        async with site(always(SERVED), decisions=Script(send_to("s0"))) as one:
            listener = one.program.listener
            silent = [await one.client(), await one.client()]
            await until(lambda: len(listener.clients) == 2)
            first = next(iter(listener.clients))

            def end(client: ClientConnection, reason: CloseReason) -> bool:
                if client is first:
                    raise RuntimeError("a fault")
                return sound(client, reason)

            monkeypatch.setattr(ClientConnection, "close_for", end)
            monkeypatch.setattr(client_slots, "MAX_FIRST_COMMAND_S", 0.0)
            monkeypatch.setattr(client_slots, "MIN_FIRST_COMMAND_S", 0.0)
            assert all([await client.ended() for client in silent])
            await until(lambda: first.transport is None)
            last = await one.client()
            assert await last.ended()
            await until(lambda: not listener.clients)

    play(scenario())
