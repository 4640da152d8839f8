"""Links between processes with injected faults: cuts, stalls, delay, loss, repetition and reordering.

A `DatagramLink` connects two members. Each knows the other by the link's address on its own side, so that
forwarded datagrams have the source address that the receiver expects. A `StreamLink` forwards connections to
a listener. Both have a `LinkDirection` per direction, which a script may change at any time. Random choices
are seeded.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass
from typing import Any, cast

from lab.peers import Peer

CHUNK_BYTES = 4096


@dataclass(slots=True)
class LinkDirection:
    """Faults and counts of one direction of a link."""

    cut: bool = False  # drops or holds all data without an error to either end
    lose: float = 0.0  # fraction of datagrams that are dropped
    repeat: float = 0.0  # fraction of datagrams that are delivered twice
    delay_s: float = 0.0
    jitter_s: float = 0.0  # upper bound of the random extra delay, which may reorder datagrams
    bytes_s: float = 0.0  # bytes per second of a stream; 0 is unlimited
    passed: int = 0  # datagrams or chunks delivered
    lost: int = 0  # datagrams dropped
    size: int = 0  # bytes received for this direction


class LinkSocket(asyncio.DatagramProtocol):
    """The socket on one side of a datagram link."""

    def __init__(self, link: DatagramLink, number: int) -> None:
        self.link, self.number = link, number
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # uvloop's class is not a subclass

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.link.carry(self.number, data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        pass  # no process listens at the destination, so the datagram is lost


class DatagramLink:
    """Forwards datagrams between two members; `ways[0]` goes from the first to the second."""

    def __init__(
        self, ends: tuple[tuple[str, int], tuple[str, int]], ports: tuple[int, int], seed: int
    ) -> None:
        self.ends, self.ports = ends, ports
        self.ways = (LinkDirection(), LinkDirection())
        self.rng = random.Random(seed)
        self.sides: list[LinkSocket] = []
        self.unexpected = 0  # datagrams from addresses other than the member's

    async def start(self) -> None:
        """Opens both sides. The first member sends to `ports[0]`, the second to `ports[1]`."""
        loop = asyncio.get_running_loop()
        for number in (0, 1):
            side = LinkSocket(self, number)
            await loop.create_datagram_endpoint(lambda side=side: side, ("127.0.0.1", self.ports[number]))  # type: ignore[misc]
            self.sides.append(side)

    def carry(self, number: int, data: bytes, source: tuple[str, int]) -> None:
        """Forwards a datagram from the member on side `number` to the other member, subject to faults."""
        if source != self.ends[number]:
            self.unexpected += 1
            return
        way = self.ways[number]
        way.size += len(data)
        if way.cut or self.rng.random() < way.lose:
            way.lost += 1
            return
        for _ in range(1 + (self.rng.random() < way.repeat)):
            delay_s = way.delay_s + way.jitter_s * self.rng.random()
            if delay_s > 0.0:
                asyncio.get_running_loop().call_later(delay_s, self.give, number, data)
            else:
                self.give(number, data)

    def give(self, number: int, data: bytes) -> None:
        """Delivers a datagram to the member on the other side."""
        transport = self.sides[1 - number].transport
        if transport is not None and not transport.is_closing():
            self.ways[number].passed += 1
            transport.sendto(data, self.ends[1 - number])

    def send_as(self, number: int, data: bytes) -> None:
        """Sends a forged datagram to the other member as if it came from the member on side `number`."""
        self.give(number, data)

    def cut(self, *numbers: int, cut: bool = True) -> None:
        """Cuts or restores the given directions, or both if none is given."""
        for number in numbers or (0, 1):
            self.ways[number].cut = cut

    def stop(self) -> None:
        """Closes both sides."""
        for side in self.sides:
            if side.transport is not None:
                side.transport.close()


class StreamLink(Peer):
    """Forwards connections to a listener at port `target`; `ways[0]` goes to the listener.

    A cut direction keeps connections open and silent, as a vanished machine would. `reset` aborts all open
    connections.
    """

    def __init__(self, target: int) -> None:
        super().__init__()
        self.target = target
        self.ways = (LinkDirection(), LinkDirection())
        self.restored = asyncio.Event()
        self.open: set[asyncio.StreamWriter] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target_reader, out = await asyncio.open_connection("127.0.0.1", self.target)
        self.open |= {writer, out}
        try:
            both = [
                asyncio.create_task(self.pump(*stream))
                for stream in ((reader, out, 0), (target_reader, writer, 1))
            ]
            try:
                await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in both:
                    task.cancel()
        finally:
            self.open -= {writer, out}
            out.close()

    async def pump(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, number: int) -> None:
        """Copies the bytes of one direction in order."""
        way = self.ways[number]
        while data := await source.read(CHUNK_BYTES):
            while way.cut:
                self.restored.clear()
                await self.restored.wait()
            if way.delay_s:
                await asyncio.sleep(way.delay_s)
            if way.bytes_s:
                await asyncio.sleep(len(data) / way.bytes_s)
            way.passed += 1
            way.size += len(data)
            sink.write(data)
            await sink.drain()

    def cut(self, *numbers: int, cut: bool = True) -> None:
        """Cuts or restores the given directions, or both if none is given.

        Data that was held by the cut is delivered once the direction is restored.
        """
        for number in numbers or (0, 1):
            self.ways[number].cut = cut
        if not cut:
            self.restored.set()

    def reset(self) -> None:
        """Aborts all open connections."""
        for writer in self.open:
            with contextlib.suppress(Exception):
                writer.transport.abort()
