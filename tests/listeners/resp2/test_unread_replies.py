"""Clients that do not read their replies: their memory and slots are limited, and others are served."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from typing import Any

import hiredis
import pytest

from glenchute.policy.connections import client_slots
from glenchute.policy.connections.client_slots import CloseReason, ConnectionState
from glenchute.protocol import resp2 as resp
from tests.crossings import encode_command
from tests.loopback import (
    CUSTOMER,
    GET,
    SERVED,
    ScriptedEngine,
    Site,
    reply_with,
    run_scenario,
    send_to,
    site,
    wait_until,
)

WORD = b"x" * 60_000
LARGE = resp.encode_command(b"PING", WORD)


@contextmanager
def sockets(gateway_site: Site, count: int) -> Iterator[list[socket.socket]]:
    """Yields client sockets with small receive buffers, which only the test reads from."""
    opened = []
    for _ in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(("127.0.0.1", gateway_site.port))
        sock.setblocking(False)
        opened.append(sock)
    try:
        yield opened
    finally:
        for sock in opened:
            sock.close()


@asynccontextmanager
async def writing(socks: list[socket.socket], data: bytes) -> AsyncIterator[None]:
    """Sends the data repeatedly on each socket, as fast as it is accepted."""

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


def buffered_bytes(gateway_site: Site) -> int:
    """Returns the bytes that the gateway buffers for all clients, counted independently of its own total."""
    return sum(
        client.transport.get_write_buffer_size() + client.parser.buffered_bytes + client.waiting_reply_bytes
        for client in gateway_site.program.listener.clients
        if client.transport is not None
    )


def test_unread_replies_of_all_clients_have_one_memory_limit() -> None:
    """Guards against memory that grows with the number of clients that do not read."""
    limit = 2 * 1024 * 1024

    async def scenario() -> None:
        async with site(reply_with(SERVED)) as gateway_site:
            listener = gateway_site.program.listener
            listener.client_memory.max_bytes = limit
            other = await gateway_site.client()
            with sockets(gateway_site, 60) as socks:
                async with writing(socks, LARGE):
                    counts = listener.connection_slots.closed_counts
                    await wait_until(lambda: counts[CloseReason.UNREAD] >= 20)
                    peak = 0
                    for _ in range(200):
                        await asyncio.sleep(0)
                        peak = max(peak, buffered_bytes(gateway_site))
                    assert await other.ask(b"PING") == b"PONG"
            # Each connection may add one turn's replies and one read before memory is relieved again.
            assert peak <= limit + 60 * (len(WORD) + 64 * 1024), f"{peak} bytes"
            await wait_until(lambda: len(listener.clients) == 1)
            assert listener.client_memory.total_bytes == buffered_bytes(gateway_site) == 0

    run_scenario(scenario())


async def read_replies(sock: socket.socket, count: int) -> list[Any]:
    """Reads this many replies; fewer if the connection ends."""
    parser, replies = hiredis.Reader(), list[Any]()
    while len(replies) < count:
        data = await asyncio.get_running_loop().sock_recv(sock, 65536)
        if not data:
            break
        parser.feed(data)
        while (reply := parser.gets()) is not False:
            replies.append(reply)
    return replies


def test_clients_that_read_late_get_all_replies() -> None:
    """Guards against connections that are aborted with served requests because more commands were started
    than there is memory for their replies."""
    limit, clients, commands = 4 * 1024 * 1024, 20, 24

    async def reply_with_id(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        value = words[2].ljust(len(WORD), b".")
        return b"*3\r\n$%d\r\n%b\r\n*-1\r\n*-1\r\n" % (len(value), value)

    async def scenario() -> None:
        async with site(reply_with_id, decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            listener = gateway_site.program.listener
            slots, memory = listener.connection_slots, listener.client_memory
            memory.max_bytes = limit
            with sockets(gateway_site, clients) as socks:
                ids = [[b"%d-%d" % (number, index) for index in range(commands)] for number in range(clients)]
                for sock, names in zip(socks, ids, strict=True):
                    sock.sendall(b"".join(encode_command(b"CALL.GET", CUSTOMER, name, GET) for name in names))
                # None of them reads: each connection fills its socket, and then holds its commands back.
                await wait_until(lambda: len(slots.blocked()) == clients and not memory.expected_reply_count)
                assert buffered_bytes(gateway_site) <= limit
                other = await gateway_site.client()
                value = await other.ask(b"CALL.GET", CUSTOMER, b"other", GET)
                assert value == b"other".ljust(len(WORD), b".")
                replies = await asyncio.gather(*(read_replies(sock, commands) for sock in socks))
                assert replies == [[name.ljust(len(WORD), b".") for name in names] for names in ids]
            assert slots.closed_counts[CloseReason.UNREAD] == 0
            await wait_until(lambda: len(listener.clients) == 1)
            assert memory.total_bytes == memory.expected_reply_count == 0

    run_scenario(scenario())


def test_memory_for_replies_is_released_when_their_client_leaves() -> None:
    """Guards against clients that are held back for replies which will never come."""

    async def scenario() -> None:
        async with site(reply_with(None), decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            memory = gateway_site.program.listener.client_memory
            client = await gateway_site.client()
            for number in range(10):
                client.send(b"CALL.GET", CUSTOMER, b"%d" % number, GET)
            await wait_until(lambda: memory.expected_reply_count == 10)
            client.writer.close()
            await wait_until(lambda: memory.expected_reply_count == 0)

    run_scenario(scenario())


def test_a_closing_connection_is_not_held_back() -> None:
    """Guards against a connection that stays open for good, as it counts as active once its last replies are
    sent and its client does not close it."""

    async def scenario() -> None:
        async with site(reply_with(SERVED)) as gateway_site:
            listener = gateway_site.program.listener
            with sockets(gateway_site, 1) as socks:
                await wait_until(lambda: len(listener.clients) == 1)
                (connection,) = listener.clients
                assert connection.transport is not None
                while not connection.has_unwritten_replies():  # the kernel has taken all replies so far
                    connection.transport.write(resp.encode_bulk(WORD))
                    await asyncio.sleep(0)
                    await asyncio.sleep(0)
                assert not connection.is_write_blocked and connection.has_unwritten_replies()
                listener.client_memory.expected_reply_count = 10**9
                connection.close_when_answered()
                while await asyncio.get_running_loop().sock_recv(socks[0], 65536):
                    pass
                state = listener.connection_slots.slots[connection].state
                assert state is ConnectionState.WRITE_BLOCKED

    run_scenario(scenario())


def test_a_client_that_does_not_read_loses_its_slot_to_a_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an outage once clients that do not read their replies occupy all slots."""
    monkeypatch.setattr(client_slots, "MIN_WRITE_BLOCKED_S", 0.02)

    async def scenario() -> None:
        async with site(
            reply_with(SERVED), decisions=ScriptedEngine(send_to("s0")), sockets=96
        ) as gateway_site:
            slots = gateway_site.program.listener.connection_slots
            with sockets(gateway_site, slots.max_connections) as socks:
                async with writing(socks, LARGE):
                    await wait_until(lambda: len(slots.blocked()) >= slots.max_connections)
                    await asyncio.sleep(0.05)
                    for number in range(10):
                        client = await gateway_site.client()
                        assert await client.ask(b"CALL.GET", CUSTOMER, b"%016x" % number, GET) == b"value"
                    assert slots.closed_counts[CloseReason.NO_SLOT] == 0
                    assert slots.closed_counts[CloseReason.UNREAD] >= 1

    run_scenario(scenario())


def test_late_readers_keep_their_slots_while_others_take_their_time_to_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against dropping served requests of slow readers for connections with half a command."""
    monkeypatch.setattr(client_slots, "MIN_WRITE_BLOCKED_S", 0.02)
    commands = 8

    async def reply_with_word(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        return b"*3\r\n$%d\r\n%b\r\n*-1\r\n*-1\r\n" % (len(WORD), WORD)

    async def scenario() -> None:
        async with site(reply_with_word, decisions=ScriptedEngine(send_to("s0")), sockets=96) as gateway_site:
            slots = gateway_site.program.listener.connection_slots
            with sockets(gateway_site, 2) as late:
                for number, sock in enumerate(late):
                    names = [b"%d-%d" % (number, index) for index in range(commands)]
                    sock.sendall(b"".join(encode_command(b"CALL.GET", CUSTOMER, name, GET) for name in names))
                await wait_until(lambda: len(slots.blocked()) == 2)
                await asyncio.sleep(0.05)
                with sockets(gateway_site, slots.max_connections) as writers:
                    for sock in writers:
                        sock.sendall(b"*4\r\n$8\r\nCALL")
                    await wait_until(
                        lambda: (
                            slots.closed_counts[CloseReason.NO_SLOT]
                            or slots.closed_counts[CloseReason.UNREAD]
                        )
                    )
                    replies = await asyncio.gather(*(read_replies(sock, commands) for sock in late))
                assert replies == [[WORD] * commands] * 2
            assert slots.closed_counts[CloseReason.UNREAD] == 0

    run_scenario(scenario())


@pytest.mark.parametrize("half_command", [b"", b"*4\r\n$8\r\nCALL"])
def test_a_connection_with_unsent_replies_is_not_idle(
    half_command: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against aborting a connection whose buffer is not full enough to count as blocked, with replies
    that its client has not read yet."""
    monkeypatch.setattr(client_slots, "MAX_IDLE_S", 0.02)
    monkeypatch.setattr(client_slots, "PARTIAL_COMMAND_TIMEOUT_S", 0.05)
    monkeypatch.setattr(client_slots, "LINGER_TIMEOUT_S", 0.05)

    word = b"x" * 16_000

    async def reply_with_word(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        return b"*3\r\n$%d\r\n%b\r\n*-1\r\n*-1\r\n" % (len(word), word)

    async def scenario() -> None:
        async with site(reply_with_word, decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            listener = gateway_site.program.listener
            with sockets(gateway_site, 1) as (sock,):
                commands = 0

                def unsent_bytes() -> int:
                    transports = [client.transport for client in listener.clients if not client.slots]
                    return sum(each.get_write_buffer_size() for each in transports if each is not None)

                while not unsent_bytes():
                    sock.sendall(encode_command(b"CALL.GET", CUSTOMER, b"%d" % commands, GET))
                    commands += 1
                    await wait_until(lambda: all(client.has_carried_request for client in listener.clients))
                    await wait_until(lambda: not any(client.slots for client in listener.clients))
                    await asyncio.sleep(0.01)
                sock.sendall(half_command)
                await asyncio.sleep(0.3)  # longer than a connection may idle and linger
                replies = await read_replies(sock, commands)
                assert replies[:commands] == [word] * commands  # an error may follow

    run_scenario(scenario())


def test_a_rejected_client_that_keeps_writing_is_aborted() -> None:
    """Guards against unlimited time spent on discarding what rejected clients send."""

    async def scenario() -> None:
        async with site(reply_with(SERVED), sockets=96) as gateway_site:
            listener = gateway_site.program.listener
            listener.connection_slots.max_connections = 0
            with sockets(gateway_site, 1) as socks:
                await wait_until(lambda: listener.connection_slots.closed_counts[CloseReason.NO_SLOT] == 1)
                rejected = next(iter(listener.clients))
                async with writing(socks, LARGE):
                    await wait_until(lambda: rejected.transport is None)
                assert rejected.discarded_bytes <= 256 * 1024 + len(LARGE)

    run_scenario(scenario())
