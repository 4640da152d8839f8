"""Clients that do not read their replies: what they hold is bounded, and others are served meanwhile."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress

import pytest

from glenchute.policy.connections import client_slots
from glenchute.policy.connections.client_slots import CloseReason
from glenchute.protocol import resp2 as resp
from tests.loopback import CUSTOMER, GET, SERVED, Site, always, play, send_to, site, until
from tests.loopback import Script as Decisions

WORD = b"x" * 60_000
LARGE = resp.encode_command(b"PING", WORD)


@contextmanager
def sockets(one: Site, count: int) -> Iterator[list[socket.socket]]:
    """Connections that read nothing of themselves, with little room in the kernel."""
    made = []
    for _ in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(("127.0.0.1", one.port))
        sock.setblocking(False)
        made.append(sock)
    try:
        yield made
    finally:
        for sock in made:
            sock.close()


@asynccontextmanager
async def writing(socks: list[socket.socket], data: bytes) -> AsyncIterator[None]:
    """Sends the data over and over on each of them, as far as it is taken."""

    async def write(sock: socket.socket) -> None:
        with suppress(ConnectionError):
            while True:
                await asyncio.get_running_loop().sock_sendall(sock, data)

    tasks = [asyncio.create_task(write(sock)) for sock in socks]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def buffered(one: Site) -> int:
    """What the gateway holds for all clients, counted anew."""
    return sum(
        client.transport.get_write_buffer_size() + client.parser.buffered_bytes + client.waiting_reply_bytes
        for client in one.program.listener.clients
        if client.transport is not None
    )


def test_what_unread_replies_hold_has_one_bound_for_the_process() -> None:
    """Guards against memory that grows with the number of clients that do not read."""
    bound = 2 * 1024 * 1024

    async def scenario() -> None:
        async with site(always(SERVED)) as one:
            listener = one.program.listener
            listener.client_memory.max_bytes = bound
            other = await one.client()
            with sockets(one, 60) as socks:
                async with writing(socks, LARGE):
                    counts = listener.connection_slots.closed_counts
                    await until(lambda: counts[CloseReason.UNREAD] >= 20)
                    most = 0
                    for _ in range(200):
                        await asyncio.sleep(0)
                        most = max(most, buffered(one))
                    assert await other.ask(b"PING") == b"PONG"
            # One turn's replies and one read of each come in before the next relief.
            assert most <= bound + 60 * (len(WORD) + 64 * 1024), f"{most} bytes"
            await until(lambda: len(listener.clients) == 1)
            assert listener.client_memory.total_bytes == buffered(one) == 0

    play(scenario())


def test_a_client_that_does_not_read_gives_its_slot_to_a_newcomer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against service that ends once those who do not read have taken all slots."""
    monkeypatch.setattr(client_slots, "MIN_WRITE_BLOCKED_S", 0.02)

    async def scenario() -> None:
        async with site(always(SERVED), decisions=Decisions(send_to("s0")), sockets=96) as one:
            slots = one.program.listener.connection_slots
            with sockets(one, slots.max_connections) as socks:
                async with writing(socks, LARGE):
                    await until(lambda: len(slots.blocked()) >= slots.max_connections)
                    await asyncio.sleep(0.05)
                    for number in range(10):
                        client = await one.client()
                        assert await client.ask(b"CALL.GET", CUSTOMER, b"%016x" % number, GET) == b"value"
                    assert slots.closed_counts[CloseReason.NO_SLOT] == 0
                    assert slots.closed_counts[CloseReason.UNREAD] >= 1

    play(scenario())


def test_a_rejected_newcomer_that_goes_on_writing_is_cut_off() -> None:
    """Guards against the time that is spent on reading, and throwing away, what rejected clients send."""

    async def scenario() -> None:
        async with site(always(SERVED), sockets=96) as one:
            listener = one.program.listener
            listener.connection_slots.max_connections = 0
            with sockets(one, 1) as socks:
                await until(lambda: listener.connection_slots.closed_counts[CloseReason.NO_SLOT] == 1)
                held = next(iter(listener.clients))
                async with writing(socks, LARGE):
                    await until(lambda: held.transport is None)
                assert held.discarded_bytes <= 256 * 1024 + len(LARGE)

    play(scenario())
