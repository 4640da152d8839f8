"""Helpers for the tests of events that cross each other; docs/design/crossings.md has the table of cases."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import hiredis

from glenchute.policy.actions import Action
from glenchute.policy.engine import DecisionEngine as Policy
from glenchute.policy.events import AttemptEnded, Event, Outcome
from lab.peers import Client, wait_until
from tests.loopback import (
    CUSTOMER,
    Site,
)

READ = (b"CALL.GET", CUSTOMER)


def encode_command(*words: bytes) -> bytes:
    return hiredis.pack_command(words)  # type: ignore[arg-type, no-any-return]


def disconnect(client: Client, how: str) -> None:
    """Disconnects a client by one of `DISCONNECT_KINDS`."""
    sock = client.writer.get_extra_info("socket")
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.writer.transport.abort()
    elif how == "half-close":
        client.writer.write_eof()
    else:
        client.writer.close()


DISCONNECT_KINDS = ["close", "reset", "half-close"]


@asynccontextmanager
async def blocked_port() -> AsyncIterator[int]:
    """Yields a port whose connections are never established, as its accept queue is full."""
    with socket.socket() as server:
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        callers = []
        for _ in range(4):
            caller = socket.socket()
            caller.setblocking(False)
            caller.connect_ex(server.getsockname())
            callers.append(caller)
        try:
            yield server.getsockname()[1]
        finally:
            for caller in callers:
                caller.close()


async def reset_connection(writer: asyncio.StreamWriter) -> None:
    # By then the peer has read what was written. Otherwise the reset may overtake it, with the same outcome.
    await asyncio.sleep(0.02)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class OutcomeRecorder:
    """The real decision engine, with the outcomes of attempts that it was told."""

    def __init__(self, decisions: Policy) -> None:
        self.decisions = decisions
        self.endings: list[Outcome] = []

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        if isinstance(event, AttemptEnded):
            self.endings.append(event.outcome)
        return self.decisions.handle(now_ms, event)


@asynccontextmanager
async def open_connections(one: Site, count: int, commands: bytes) -> AsyncIterator[list[socket.socket]]:
    """Opens `count` connections. As much of their commands as socket buffers hold is written before the loop
    runs again; the rest of each follows as there is room."""
    before = len(one.program.listener.clients)
    socks = [socket.create_connection(("127.0.0.1", one.port)) for _ in range(count)]
    await wait_until(lambda: len(one.program.listener.clients) == before + count)
    rests = {sock: memoryview(commands) for sock in socks}
    for sock in socks:
        sock.setblocking(False)

    def more() -> None:
        for sock in list(rests):
            with suppress(BlockingIOError):
                while rests[sock]:
                    rests[sock] = rests[sock][sock.send(rests[sock]) :]
                del rests[sock]

    async def follow() -> None:
        while rests:
            await asyncio.sleep(0.01)
            more()

    more()
    following = asyncio.create_task(follow())
    try:
        yield socks
    finally:
        following.cancel()
        for sock in socks:
            sock.close()
