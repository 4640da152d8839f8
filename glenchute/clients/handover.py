"""Transport of the handover between two processes of a gateway: a Unix socket in their common $TMPDIR.

The process in service listens there. Its successor connects, receives one message, and keeps the connection
open: when it closes, either side knows that the other process has ended, for whatever reason. Before that, a
predecessor that ends in order sends what it gives up of the limits. The
predecessor never waits for its successor; the successor waits for a bounded time and starts without a
handover, as after a kill, if it has received no valid message by then.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import logging
import os
from collections.abc import Callable
from pathlib import Path

from glenchute.policy.events import LimitShare
from glenchute.policy.lifecycle.handover import (
    MAX_MESSAGE_BYTES,
    HandoverError,
    HandoverState,
    decode_handover,
    decode_shares,
)

log = logging.getLogger("glenchute")

# Limit for connecting, and again for receiving the message; together they bound the delay of a start.
REQUEST_TIMEOUT_S = 0.5
SharesCallback = Callable[[tuple[LimitShare, ...]], None]
MAX_PATH_BYTES = 100  # Linux accepts up to 107 for a Unix socket
OWNER_ONLY_UMASK = 0o177  # the socket file is accessible to its owner only


def socket_path(folder: str, gateway: str, listen: tuple[str, int]) -> Path | None:
    """Returns the socket path of the gateway with this name and listening address; None if it would be longer
    than `MAX_PATH_BYTES`."""
    identity = f"{gateway}@{listen[0]}:{listen[1]}".encode()
    path = Path(folder) / f"glenchute-{hashlib.blake2b(identity, digest_size=6).hexdigest()}"
    return path if len(os.fsencode(path)) <= MAX_PATH_BYTES else None


def ignore_shares(shares: tuple[LimitShare, ...]) -> None:
    """Ignores the shares that a predecessor gives up."""


class PredecessorConnection(asyncio.Protocol):
    """The successor's side of the connection: receives the predecessor's messages."""

    def __init__(
        self, path: Path, gateway: str, on_ended: Callable[[], None], on_shares: SharesCallback
    ) -> None:
        """`on_ended`: called when the predecessor has ended, if it has handed over its state before that;
        `on_shares`: called with the shares of the tenants' limits that it has given up before its end."""
        self.path = path
        self.gateway = gateway
        self.on_ended, self.on_shares = on_ended, on_shares
        self.received = bytearray()
        self.state: HandoverState | None = None
        self.finished = asyncio.Event()  # set once a message was received or the connection has ended
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport of the open connection."""
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Collects the messages; once one is complete or over `MAX_MESSAGE_BYTES`, decodes it."""
        self.received += data
        while b"\n" in self.received or len(self.received) > MAX_MESSAGE_BYTES:
            end = self.received.find(b"\n") + 1 or len(self.received)
            message = bytes(self.received[:end])
            del self.received[:end]
            if self.finished.is_set():
                self.receive_shares(message)
            else:
                self.receive_state(message)

    def receive_shares(self, message: bytes) -> None:
        """Passes on what the predecessor gives up. An invalid message is ignored: its shares are lost, as
        after a kill."""
        if self.state is None:
            return
        try:
            shares = decode_shares(self.gateway, message)
        except HandoverError as error:
            log.warning("the predecessor at %s sent invalid shares of the limits (%s)", self.path, error)
            return
        self.on_shares(shares)

    def receive_state(self, message: bytes) -> None:
        """Decodes the handover message."""
        try:
            self.state = decode_handover(self.gateway, message)
        except HandoverError as error:
            log.warning(
                "the predecessor at %s sent an invalid handover message (%s): starting without its state",
                self.path,
                error,
            )
        self.finished.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the end of the predecessor, if it has handed over."""
        self.transport = None
        if not self.finished.is_set() and self.received:
            log.warning(
                "the predecessor at %s closed the connection within the handover message: "
                "starting without its state",
                self.path,
            )
        self.finished.set()
        if self.state is not None:
            self.on_ended()

    def close(self) -> None:
        """Closes the connection, if it is open."""
        if self.transport is not None:
            self.transport.abort()


async def request_handover(
    loop: asyncio.AbstractEventLoop,
    path: Path,
    gateway: str,
    on_ended: Callable[[], None],
    on_shares: SharesCallback = ignore_shares,
) -> PredecessorConnection | None:
    """Requests the state of the predecessor; returns the connection, or None if there is no predecessor or no
    valid message was received in time. `on_ended` is called when a predecessor that has handed over ends,
    `on_shares` with what it gives up of the limits before that."""
    if not path.exists():
        return None
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            _, connection = await loop.create_unix_connection(
                lambda: PredecessorConnection(path, gateway, on_ended, on_shares), str(path)
            )
    except ConnectionRefusedError:
        log.info(
            "nothing listens on the handover socket %s, left by a process that has ended: "
            "starting without a handover",
            path,
        )
        return None
    except (OSError, TimeoutError) as error:
        log.warning(
            "can't connect to the predecessor at %s (%s): starting without a handover",
            path,
            error or "no answer",
        )
        return None
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            await connection.finished.wait()
    if connection.state is None:
        if not connection.finished.is_set():
            log.warning(
                "the predecessor at %s sent no complete handover message in time: "
                "starting without a handover",
                path,
            )
        connection.close()
        return None
    return connection


class SuccessorConnection(asyncio.Protocol):
    """The predecessor's side of the connection: sends the handover message."""

    def __init__(self, server: HandoverServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the message to the successor, or closes the connection if there is a successor already."""
        self.transport = transport  # type: ignore[assignment]
        assert self.transport is not None
        if self.server.successor is not None:
            self.transport.abort()  # a process beyond the one successor starts without a handover
            return
        self.server.successor = self
        self.transport.write(self.server.make_message())

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the end of the successor."""
        self.transport = None
        if self.server.successor is self:
            self.server.successor = None
            self.server.on_ended()


class HandoverServer:
    """The Unix socket on which the process in service accepts its successor."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        make_message: Callable[[], bytes],
        on_ended: Callable[[], None],
    ) -> None:
        """`make_message`: called for each successor, returns the bytes to send to it; `on_ended`: called when
        the successor has ended."""
        self.loop = loop
        self.make_message, self.on_ended = make_message, on_ended
        self.successor: SuccessorConnection | None = None
        self.server: asyncio.Server | None = None

    async def start(self, path: Path) -> None:
        """Listens at the path and replaces the predecessor's socket there. A failure is logged; the process
        then serves without a handover to its successor."""
        try:
            with contextlib.suppress(FileNotFoundError):
                path.unlink()
            previous_umask = os.umask(OWNER_ONLY_UMASK)
            try:
                self.server = await self.loop.create_unix_server(lambda: SuccessorConnection(self), str(path))
            finally:
                os.umask(previous_umask)
        except OSError as error:
            log.warning(
                "can't listen on the handover socket %s (%s): a successor will start without a handover",
                path,
                error,
            )

    def send(self, message: bytes) -> None:
        """Sends a further message to the successor, if there is one."""
        if self.successor is not None and self.successor.transport is not None:
            self.successor.transport.write(message)

    def close(self) -> None:
        """Closes the socket, and its connection behind what is still to be sent. The socket's path is not
        removed, as the successor may listen there by now."""
        if self.server is not None:
            self.server.close()
        if self.successor is not None and self.successor.transport is not None:
            self.successor.transport.close()
