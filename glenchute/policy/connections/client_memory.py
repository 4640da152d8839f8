"""The bytes that a process buffers for its clients: one bound for all of them, whatever their number.

A connection buffers input that is not parsed yet, replies that wait for those before them, and replies that
the client has not read. Each connection is bounded by itself, but many that do not read their replies would
together take more than the process has. Above the bound such connections are given up, those with a short
response before those with a streamed one, the longest without progress first; and a connection with pending
commands begins no more of them.

No I/O. An update costs O(1); only what is above the bound walks the connections that do not read.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

FILLING_FRACTION = 0.25  # of the bound, past which less is read at a time

Key = TypeVar("Key", bound=Hashable)


class ClientMemory(Generic[Key]):
    """What each connection buffers, in bytes, and the bound on the sum."""

    def __init__(self, max_bytes: int) -> None:
        """Raises `ValueError` where there would be no memory."""
        if max_bytes < 1:
            raise ValueError("clients need memory for their commands and replies")
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.bytes_by_connection: dict[Key, int] = {}

    @property
    def is_exhausted(self) -> bool:
        """Whether more is buffered than the bound allows."""
        return self.total_bytes > self.max_bytes

    @property
    def is_filling(self) -> bool:
        """Whether less is to be read at a time, as much is buffered."""
        return self.total_bytes > FILLING_FRACTION * self.max_bytes

    def update(self, key: Key, buffered_bytes: int) -> None:
        """A connection buffers this much now."""
        self.total_bytes += buffered_bytes - self.bytes_by_connection.get(key, 0)
        if buffered_bytes:
            self.bytes_by_connection[key] = buffered_bytes
        else:
            self.bytes_by_connection.pop(key, None)

    def remove(self, key: Key) -> None:
        """The connection has ended; unknown keys are ignored."""
        self.total_bytes -= self.bytes_by_connection.pop(key, 0)

    def choose_victims(self, blocked: Iterable[Key]) -> list[Key]:
        """The connections to give up, so that the rest keeps to the bound as far as that is possible.
        `blocked`: those whose clients do not read, the first to be given up first."""
        excess, victims = self.total_bytes - self.max_bytes, list[Key]()
        for key in blocked:
            if excess <= 0:
                break
            buffered_bytes = self.bytes_by_connection.get(key, 0)
            if buffered_bytes:
                excess -= buffered_bytes
                victims.append(key)
        return victims
