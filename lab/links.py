"""Links between processes that can be cut, stalled, slowed, and made to lose, repeat and reorder. Seeded.

A `DatagramLink` stands between two members: each knows the other by the link's address on its own side, so
that what comes through has the source that the receiver lists. A `StreamLink` stands before a listener.
Both have a `Way` each direction, which a script may change at any moment.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass
from typing import Any, cast

from lab.peers import Peer

PIECE = 4096


@dataclass(slots=True)
class Way:
    """What becomes of what goes one way. Shares are of datagrams; bytes a second 0: as they come."""

    cut: bool = False  # nothing comes through, and nobody is told
    lose: float = 0.0
    repeat: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0  # beside the delay; more than the gap between two reorders them
    bytes_s: float = 0.0
    passed: int = 0
    lost: int = 0
    size: int = 0  # bytes that were given to this way


class Side(asyncio.DatagramProtocol):
    """One side's socket of a datagram link."""

    def __init__(self, link: DatagramLink, number: int) -> None:
        self.link, self.number = link, number
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # uvloop's is none by its class

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.link.carry(self.number, data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        pass  # nobody listens there now: the datagram is lost


class DatagramLink:
    """Between two members; `ways[0]` goes from the first to the second."""

    def __init__(
        self, ends: tuple[tuple[str, int], tuple[str, int]], ports: tuple[int, int], seed: int
    ) -> None:
        self.ends, self.ports = ends, ports
        self.ways = (Way(), Way())
        self.rng = random.Random(seed)
        self.sides: list[Side] = []
        self.strangers = 0

    async def start(self) -> None:
        """Opens both sides. The first member sends to `ports[0]`, the second to `ports[1]`."""
        loop = asyncio.get_running_loop()
        for number in (0, 1):
            side = Side(self, number)
            await loop.create_datagram_endpoint(lambda side=side: side, ("127.0.0.1", self.ports[number]))  # type: ignore[misc]
            self.sides.append(side)

    def carry(self, number: int, data: bytes, source: tuple[str, int]) -> None:
        """A datagram from the member on this side, to the other one."""
        if source != self.ends[number]:
            self.strangers += 1
            return
        way = self.ways[number]
        way.size += len(data)
        if way.cut or self.rng.random() < way.lose:
            way.lost += 1
            return
        for _ in range(1 + (self.rng.random() < way.repeat)):
            delay = way.delay_s + way.jitter_s * self.rng.random()
            if delay > 0.0:
                asyncio.get_running_loop().call_later(delay, self.give, number, data)
            else:
                self.give(number, data)

    def give(self, number: int, data: bytes) -> None:
        """It comes out at the other side."""
        transport = self.sides[1 - number].transport
        if transport is not None and not transport.is_closing():
            self.ways[number].passed += 1
            transport.sendto(data, self.ends[1 - number])

    def send_as(self, number: int, data: bytes) -> None:
        """Sends a datagram to the member on the other side as if it came from this one: noise, lies."""
        self.give(number, data)

    def cut(self, *numbers: int, cut: bool = True) -> None:
        """Cuts these ways, or both, or mends them."""
        for number in numbers or (0, 1):
            self.ways[number].cut = cut

    def stop(self) -> None:
        """Closes both sides."""
        for side in self.sides:
            if side.transport is not None:
                side.transport.close()


class StreamLink(Peer):
    """Before a listener at `target`. `ways[0]` goes to it. A way that is cut keeps connections open and
    silent, as a machine that vanished would; `reset` breaks those that are open."""

    def __init__(self, target: int) -> None:
        super().__init__()
        self.target = target
        self.ways = (Way(), Way())
        self.mended = asyncio.Event()
        self.open: set[asyncio.StreamWriter] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        there, out = await asyncio.open_connection("127.0.0.1", self.target)
        self.open |= {writer, out}
        try:
            both = [asyncio.create_task(self.pump(*row)) for row in ((reader, out, 0), (there, writer, 1))]
            try:
                await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in both:
                    task.cancel()
        finally:
            self.open -= {writer, out}
            out.close()

    async def pump(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, number: int) -> None:
        """Bytes of one way, in order."""
        way = self.ways[number]
        while data := await source.read(PIECE):
            while way.cut:
                self.mended.clear()
                await self.mended.wait()
            if way.delay_s:
                await asyncio.sleep(way.delay_s)
            if way.bytes_s:
                await asyncio.sleep(len(data) / way.bytes_s)
            way.passed += 1
            way.size += len(data)
            sink.write(data)
            await sink.drain()

    def cut(self, *numbers: int, cut: bool = True) -> None:
        """Cuts these ways, or both, or mends them; what was on its way comes through then."""
        for number in numbers or (0, 1):
            self.ways[number].cut = cut
        if not cut:
            self.mended.set()

    def reset(self) -> None:
        """Breaks all connections that are open."""
        for writer in self.open:
            with contextlib.suppress(Exception):
                writer.transport.abort()
