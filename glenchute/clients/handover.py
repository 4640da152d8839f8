"""The way from one process of a gateway to the next: a Unix socket in $TMPDIR, which both share.

The process in service listens there. The next one connects, is told what it has to know, and keeps the
connection: its end tells either side that the other has gone, however that came. Nobody waits for the other;
without a message the next process begins as after a kill.
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

REQUEST_TIMEOUT_S = 0.5  # a start waits this long for the process before
MAX_PATH_BYTES = 100  # bytes; the machine takes 107


def socket_path(folder: str, gateway: str, listen: tuple[str, int]) -> Path | None:
    """Where the processes of a gateway meet; None where the folder's name is too long for a socket's."""
    about = hashlib.blake2b(f"{gateway}@{listen[0]}:{listen[1]}".encode(), digest_size=6).hexdigest()
    path = Path(folder) / f"glenchute-{about}"
    return path if len(os.fsencode(path)) <= MAX_PATH_BYTES else None


class PredecessorConnection(asyncio.Protocol):
    """The connection to the process before."""

    def __init__(self, gateway: str, gone: Callable[[], None]) -> None:
        self.gateway = gateway
        self.on_ended = gone
        self.received = bytearray()
        self.state: HandoverState | None = None
        self.finished = asyncio.Event()  # a message, or the end
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        if self.finished.is_set():
            return
        self.received += data
        whole = self.received.endswith(b"\n")
        if not whole and len(self.received) <= MAX_MESSAGE_BYTES:
            return
        try:
            self.state = decode_handover(self.gateway, bytes(self.received))
        except HandoverError as error:
            log.warning("what the process before told is void: %s", error)
        self.received.clear()
        self.finished.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if not self.finished.is_set() and self.received:
            log.warning("what the process before told is void: torn")
        self.finished.set()
        if self.state is not None:
            self.on_ended()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


async def request_handover(
    loop: asyncio.AbstractEventLoop, path: Path, gateway: str, gone: Callable[[], None]
) -> PredecessorConnection | None:
    """Asks the process before, if there is one; None where it told nothing that can be used. `gone` is called
    when it has ended, only after it has told something."""
    if not path.exists():
        return None
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            _, found = await loop.create_unix_connection(
                lambda: PredecessorConnection(gateway, gone), str(path)
            )
    except ConnectionRefusedError:
        log.info("a process before this one left its socket and is gone")
        return None
    except (OSError, TimeoutError) as error:
        log.warning("the process before can't be asked: %s", error or "no answer")
        return None
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            await found.finished.wait()
    if found.state is None:
        if not found.finished.is_set():
            log.warning("the process before says nothing")
        found.close()
        return None
    return found


class SuccessorConnection(asyncio.Protocol):
    """The connection from the next process."""

    def __init__(self, door: HandoverServer) -> None:
        self.server = door
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        assert self.transport is not None
        if self.server.successor is not None:
            self.transport.abort()  # one at a time: it begins without
            return
        self.server.successor = self
        self.transport.write(self.server.make_message())

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.server.successor is self:
            self.server.successor = None
            self.server.on_ended()


class HandoverServer:
    """Where the next process asks. `tell` makes the message, `gone` hears that it has ended."""

    def __init__(self, loop: asyncio.AbstractEventLoop, tell: Callable[[], bytes], gone: Callable[[], None]):
        self.loop = loop
        self.make_message, self.on_ended = tell, gone
        self.successor: SuccessorConnection | None = None
        self.server: asyncio.Server | None = None

    async def start(self, path: Path) -> None:
        """Listens, in place of whoever did before. A process that can't serves all the same."""
        try:
            with contextlib.suppress(FileNotFoundError):
                path.unlink()
            before = os.umask(0o177)  # this user's alone
            try:
                self.server = await self.loop.create_unix_server(lambda: SuccessorConnection(self), str(path))
            finally:
                os.umask(before)
        except OSError as error:
            log.warning("the next process can't ask this one: %s", error)

    def close(self) -> None:
        """The end of the process. The name stays: it may be the next one's by now."""
        if self.server is not None:
            self.server.close()
        if self.successor is not None and self.successor.transport is not None:
            self.successor.transport.abort()
