"""A discovery service that a test answers by itself, and the endpoint states that the engine received."""

from __future__ import annotations

import asyncio
import socket
import struct

from glenchute.policy.events import EndpointList
from lab.peers import Peer, wait_until

from ..loopback import ScriptedEngine


class ManualDiscovery(Peer):
    """Collects the polls with their connections; the test answers them by index."""

    def __init__(self) -> None:
        super().__init__()
        self.polls: list[tuple[str, asyncio.StreamWriter]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            self.polls.append((head.split(b" ")[1].decode(), writer))

    async def poll(self, index: int) -> asyncio.StreamWriter:
        """Waits for a poll and returns the writer of its connection."""
        await wait_until(lambda: len(self.polls) > index)
        return self.polls[index][1]

    async def answer(self, index: int, data: bytes) -> None:
        (await self.poll(index)).write(data)

    def reset(self, index: int) -> None:
        writer = self.polls[index][1]
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    @property
    def open_connections(self) -> int:
        return sum(not writer.transport.is_closing() for writer in self.writers)


def endpoint_states(script: ScriptedEngine) -> dict[str, str]:
    """Returns the last state of each endpoint that the decision engine received, by address."""
    return {
        endpoint.address: endpoint.state.value
        for event in script.events_of(EndpointList)
        for endpoint in event.endpoints
    }
