"""Transport of the handover between two processes of a gateway: a Unix socket in their common $TMPDIR.

The process in service listens there. Its successor connects, receives one message, and keeps the connection
open: its end tells either side that the other process has ended, for whatever reason. Neither side waits for
the other; without a valid message the successor starts as after a kill.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import logging
import os
from collections.abc import Callable
from pathlib import Path

from glenchute.policy.lifecycle.handover import (
    MAX_MESSAGE_BYTES,
    HandoverError,
    HandoverState,
    decode_handover,
)

log = logging.getLogger("glenchute")

REQUEST_TIMEOUT_S = 0.5  # for the connection, and again for the message: a start is delayed no longer
MAX_PATH_BYTES = 100  # Linux takes 107
OWNER_ONLY_UMASK = 0o177


def socket_path(folder: str, gateway: str, listen: tuple[str, int]) -> Path | None:
    """The socket of the gateway with this name and listening address; None where the folder's name is too
    long for a socket's."""
    identity = f"{gateway}@{listen[0]}:{listen[1]}".encode()
    path = Path(folder) / f"glenchute-{hashlib.blake2b(identity, digest_size=6).hexdigest()}"
    return path if len(os.fsencode(path)) <= MAX_PATH_BYTES else None


class PredecessorConnection(asyncio.Protocol):
    """The successor's end of the connection."""

    def __init__(self, gateway: str, on_ended: Callable[[], None]) -> None:
        """`on_ended`: called when the predecessor has ended, if it has handed over before."""
        self.gateway = gateway
        self.on_ended = on_ended
        self.received = bytearray()
        self.state: HandoverState | None = None
        self.finished = asyncio.Event()  # a message was received, or the connection has ended
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Bytes have arrived."""
        if self.finished.is_set():
            return
        self.received += data
        is_complete = self.received.endswith(b"\n")
        if not is_complete and len(self.received) <= MAX_MESSAGE_BYTES:
            return
        try:
            self.state = decode_handover(self.gateway, bytes(self.received))
        except HandoverError as error:
            log.warning("what the process before told is void: %s", error)
        self.received.clear()
        self.finished.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.transport = None
        if not self.finished.is_set() and self.received:
            log.warning("what the process before told is void: torn")
        self.finished.set()
        if self.state is not None:
            self.on_ended()

    def close(self) -> None:
        """Closes the connection, if it is open."""
        if self.transport is not None:
            self.transport.abort()


async def request_handover(
    loop: asyncio.AbstractEventLoop, path: Path, gateway: str, on_ended: Callable[[], None]
) -> PredecessorConnection | None:
    """Requests the state of the predecessor; None where there is no predecessor, or no valid message in time.
    `on_ended` is called when a predecessor that has handed over ends."""
    if not path.exists():
        return None
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            _, connection = await loop.create_unix_connection(
                lambda: PredecessorConnection(gateway, on_ended), str(path)
            )
    except ConnectionRefusedError:
        log.info("a process before this one left its socket and is gone")
        return None
    except (OSError, TimeoutError) as error:
        log.warning("the process before can't be asked: %s", error or "no answer")
        return None
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            await connection.finished.wait()
    if connection.state is None:
        if not connection.finished.is_set():
            log.warning("the process before says nothing")
        connection.close()
        return None
    return connection


class SuccessorConnection(asyncio.Protocol):
    """The predecessor's end of the connection."""

    def __init__(self, server: HandoverServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self.transport = transport  # type: ignore[assignment]
        assert self.transport is not None
        if self.server.successor is not None:
            self.transport.abort()  # one successor at a time: a third process starts without a handover
            return
        self.server.successor = self
        self.transport.write(self.server.make_message())

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.transport = None
        if self.server.successor is self:
            self.server.successor = None
            self.server.on_ended()


class HandoverServer:
    """The socket of the process in service."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        make_message: Callable[[], bytes],
        on_ended: Callable[[], None],
    ) -> None:
        """`make_message`: called for each successor, for the bytes that it is sent; `on_ended`: when it has
        ended."""
        self.loop = loop
        self.make_message, self.on_ended = make_message, on_ended
        self.successor: SuccessorConnection | None = None
        self.server: asyncio.Server | None = None

    async def start(self, path: Path) -> None:
        """Listens, in place of any process before. A failure is logged; the process serves without."""
        try:
            with contextlib.suppress(FileNotFoundError):
                path.unlink()
            previous_umask = os.umask(OWNER_ONLY_UMASK)
            try:
                self.server = await self.loop.create_unix_server(lambda: SuccessorConnection(self), str(path))
            finally:
                os.umask(previous_umask)
        except OSError as error:
            log.warning("the next process can't ask this one: %s", error)

    def close(self) -> None:
        """Closes the socket and its connection. The path stays: it may be the successor's by now."""
        if self.server is not None:
            self.server.close()
        if self.successor is not None and self.successor.transport is not None:
            self.successor.transport.abort()
