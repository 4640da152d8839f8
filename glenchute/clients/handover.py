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

from glenchute.policy.lifecycle.handover import MOST_BYTES, SuccessionError, Told, parse

log = logging.getLogger("glenchute")

WAIT_S = 0.5  # a start waits this long for the process before
LONGEST_PATH = 100  # bytes; the machine takes 107


def path_in(folder: str, gateway: str, listen: tuple[str, int]) -> Path | None:
    """Where the processes of a gateway meet; None where the folder's name is too long for a socket's."""
    about = hashlib.blake2b(f"{gateway}@{listen[0]}:{listen[1]}".encode(), digest_size=6).hexdigest()
    path = Path(folder) / f"glenchute-{about}"
    return path if len(os.fsencode(path)) <= LONGEST_PATH else None


class Predecessor(asyncio.Protocol):
    """The connection to the process before."""

    def __init__(self, gateway: str, gone: Callable[[], None]) -> None:
        self.gateway = gateway
        self.gone = gone
        self.raw = bytearray()
        self.told: Told | None = None
        self.ready = asyncio.Event()  # a message, or the end
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        if self.ready.is_set():
            return
        self.raw += data
        whole = self.raw.endswith(b"\n")
        if not whole and len(self.raw) <= MOST_BYTES:
            return
        try:
            self.told = parse(self.gateway, bytes(self.raw))
        except SuccessionError as error:
            log.warning("what the process before told is void: %s", error)
        self.raw.clear()
        self.ready.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if not self.ready.is_set() and self.raw:
            log.warning("what the process before told is void: torn")
        self.ready.set()
        if self.told is not None:
            self.gone()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


async def ask(
    loop: asyncio.AbstractEventLoop, path: Path, gateway: str, gone: Callable[[], None]
) -> Predecessor | None:
    """Asks the process before, if there is one; None where it told nothing that can be used. `gone` is called
    when it has ended, only after it has told something."""
    if not path.exists():
        return None
    try:
        async with asyncio.timeout(WAIT_S):
            _, found = await loop.create_unix_connection(lambda: Predecessor(gateway, gone), str(path))
    except ConnectionRefusedError:
        log.info("a process before this one left its socket and is gone")
        return None
    except (OSError, TimeoutError) as error:
        log.warning("the process before can't be asked: %s", error or "no answer")
        return None
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(WAIT_S):
            await found.ready.wait()
    if found.told is None:
        if not found.ready.is_set():
            log.warning("the process before says nothing")
        found.close()
        return None
    return found


class Successor(asyncio.Protocol):
    """The connection from the next process."""

    def __init__(self, door: Door) -> None:
        self.door = door
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        assert self.transport is not None
        if self.door.next is not None:
            self.transport.abort()  # one at a time: it begins without
            return
        self.door.next = self
        self.transport.write(self.door.tell())

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.door.next is self:
            self.door.next = None
            self.door.gone()


class Door:
    """Where the next process asks. `tell` makes the message, `gone` hears that it has ended."""

    def __init__(self, loop: asyncio.AbstractEventLoop, tell: Callable[[], bytes], gone: Callable[[], None]):
        self.loop = loop
        self.tell, self.gone = tell, gone
        self.next: Successor | None = None
        self.server: asyncio.Server | None = None

    async def open(self, path: Path) -> None:
        """Listens, in place of whoever did before. A process that can't serves all the same."""
        try:
            with contextlib.suppress(FileNotFoundError):
                path.unlink()
            before = os.umask(0o177)  # this user's alone
            try:
                self.server = await self.loop.create_unix_server(lambda: Successor(self), str(path))
            finally:
                os.umask(before)
        except OSError as error:
            log.warning("the next process can't ask this one: %s", error)

    def close(self) -> None:
        """The end of the process. The name stays: it may be the next one's by now."""
        if self.server is not None:
            self.server.close()
        if self.next is not None and self.next.transport is not None:
            self.next.transport.abort()
