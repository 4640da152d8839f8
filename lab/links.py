"""Links between processes with injected faults: cuts, stalls, delay, loss, duplication and reordering.

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

    is_cut: bool = False  # drops datagrams, or holds a stream's data, without an error to either end
    loss_fraction: float = 0.0  # fraction of datagrams that are dropped
    duplicate_fraction: float = 0.0  # fraction of datagrams that are delivered twice
    delay_s: float = 0.0
    jitter_s: float = 0.0  # upper bound of the random extra delay, which may reorder datagrams
    bytes_per_s: float = 0.0  # rate limit of a stream; 0 is unlimited
    delivered_count: int = 0  # datagrams or chunks
    dropped_count: int = 0  # datagrams, through the loss or a cut
    received_bytes: int = 0  # bytes that arrived to be forwarded


class LinkSocket(asyncio.DatagramProtocol):
    """The socket on one side of a datagram link."""

    def __init__(self, link: DatagramLink, side: int) -> None:
        self.link, self.side = link, side
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # uvloop's class is not a subclass

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.link.forward(self.side, data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        pass  # no process listens at the destination, so the datagram is lost


class DatagramLink:
    """Forwards datagrams between two members; `directions[0]` goes from the first to the second.

    `addresses` are those of the members, `ports` those of the link's two sockets.
    """

    def __init__(
        self, addresses: tuple[tuple[str, int], tuple[str, int]], ports: tuple[int, int], seed: int
    ) -> None:
        self.addresses, self.ports = addresses, ports
        self.directions = (LinkDirection(), LinkDirection())
        self.rng = random.Random(seed)
        self.sockets: list[LinkSocket] = []
        self.unexpected_count = 0  # datagrams from addresses other than the member's

    async def start(self) -> None:
        """Opens both sides. The first member sends to `ports[0]`, the second to `ports[1]`."""
        loop = asyncio.get_running_loop()
        for side in (0, 1):
            protocol = LinkSocket(self, side)
            await loop.create_datagram_endpoint(
                lambda protocol=protocol: protocol,  # type: ignore[misc]
                ("127.0.0.1", self.ports[side]),
            )
            self.sockets.append(protocol)

    def forward(self, side: int, data: bytes, source: tuple[str, int]) -> None:
        """Forwards a datagram from the member on side 0 or 1 to the other member, subject to faults."""
        if source != self.addresses[side]:
            self.unexpected_count += 1
            return
        direction = self.directions[side]
        direction.received_bytes += len(data)
        if direction.is_cut or self.rng.random() < direction.loss_fraction:
            direction.dropped_count += 1
            return
        for _ in range(1 + (self.rng.random() < direction.duplicate_fraction)):
            delay_s = direction.delay_s + direction.jitter_s * self.rng.random()
            if delay_s > 0.0:
                asyncio.get_running_loop().call_later(delay_s, self.deliver, side, data)
            else:
                self.deliver(side, data)

    def deliver(self, side: int, data: bytes) -> None:
        """Delivers a datagram to the member on the other side."""
        transport = self.sockets[1 - side].transport
        if transport is not None and not transport.is_closing():
            self.directions[side].delivered_count += 1
            transport.sendto(data, self.addresses[1 - side])

    def forge(self, side: int, data: bytes) -> None:
        """Sends a forged datagram to the other member as if it came from the member on side 0 or 1."""
        self.deliver(side, data)

    def cut(self, *sides: int, cut: bool = True) -> None:
        """Cuts or restores the directions from the given sides, or both if none is given."""
        for side in sides or (0, 1):
            self.directions[side].is_cut = cut

    def stop(self) -> None:
        """Closes both sides."""
        for protocol in self.sockets:
            if protocol.transport is not None:
                protocol.transport.close()


class StreamLink(Peer):
    """Forwards connections to a listener at `target_port`; `directions[0]` goes to the listener.

    A cut direction keeps connections open and silent, as a vanished machine would. `reset` aborts all open
    connections.
    """

    def __init__(self, target_port: int) -> None:
        super().__init__()
        self.target_port = target_port
        self.directions = (LinkDirection(), LinkDirection())
        self.restored = asyncio.Event()
        self.open_writers: set[asyncio.StreamWriter] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        self.open_writers |= {writer, target_writer}
        try:
            tasks = [
                asyncio.create_task(self.copy_direction(*stream))
                for stream in ((reader, target_writer, 0), (target_reader, writer, 1))
            ]
            try:
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in tasks:
                    task.cancel()
        finally:
            self.open_writers -= {writer, target_writer}
            target_writer.close()

    async def copy_direction(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, side: int
    ) -> None:
        """Copies the bytes of one direction in order."""
        direction = self.directions[side]
        while data := await source.read(CHUNK_BYTES):
            while direction.is_cut:
                self.restored.clear()
                await self.restored.wait()
            if direction.delay_s:
                await asyncio.sleep(direction.delay_s)
            if direction.bytes_per_s:
                await asyncio.sleep(len(data) / direction.bytes_per_s)
            direction.delivered_count += 1
            direction.received_bytes += len(data)
            sink.write(data)
            await sink.drain()

    def cut(self, *sides: int, cut: bool = True) -> None:
        """Cuts or restores the directions from the given sides, or both if none is given.

        Data that was held by the cut is delivered once the direction is restored.
        """
        for side in sides or (0, 1):
            self.directions[side].is_cut = cut
        if not cut:
            self.restored.set()

    def reset(self) -> None:
        """Aborts all open connections."""
        for writer in self.open_writers:
            with contextlib.suppress(Exception):
                writer.transport.abort()
