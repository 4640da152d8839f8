"""Helpers for tests of events that cross, such as a reply and the client's disconnection at the same time;
docs/design/crossings.md has the table of cases."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import hiredis

from glenchute.policy.actions import Action
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import AttemptEnded, Event, Outcome
from lab.peers import Client, wait_until
from tests.loopback import CUSTOMER, Site

READ = (b"CALL.GET", CUSTOMER)


def encode_command(*words: bytes) -> bytes:
    """Returns a command as a RESP array."""
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
        clients = []
        for _ in range(4):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(server.getsockname())
            clients.append(client)
        try:
            yield server.getsockname()[1]
        finally:
            for client in clients:
                client.close()


async def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Resets a connection after a delay."""
    # The peer usually reads what was written before. If the reset overtakes it, the outcome is the same.
    await asyncio.sleep(0.02)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class OutcomeRecorder:
    """Wraps a decision engine and records the outcomes of the attempts that end."""

    def __init__(self, engine: DecisionEngine) -> None:
        self.engine = engine
        self.outcomes: list[Outcome] = []

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        if isinstance(event, AttemptEnded):
            self.outcomes.append(event.outcome)
        return self.engine.handle(now_ms, event)


@asynccontextmanager
async def open_connections(
    gateway_site: Site, count: int, commands: bytes
) -> AsyncIterator[list[socket.socket]]:
    """Opens `count` connections and writes `commands` on each. As much as the socket buffers hold is written
    before the loop runs again; a task writes the rest as they drain."""
    before = len(gateway_site.program.listener.clients)
    socks = [socket.create_connection(("127.0.0.1", gateway_site.port)) for _ in range(count)]
    await wait_until(lambda: len(gateway_site.program.listener.clients) == before + count)
    unsent = {sock: memoryview(commands) for sock in socks}
    for sock in socks:
        sock.setblocking(False)

    def send_unsent() -> None:
        for sock in list(unsent):
            with suppress(BlockingIOError):
                while unsent[sock]:
                    unsent[sock] = unsent[sock][sock.send(unsent[sock]) :]
                del unsent[sock]

    async def send_until_done() -> None:
        while unsent:
            await asyncio.sleep(0.01)
            send_unsent()

    send_unsent()
    send_task = asyncio.create_task(send_until_done())
    try:
        yield socks
    finally:
        send_task.cancel()
        for sock in socks:
            sock.close()
