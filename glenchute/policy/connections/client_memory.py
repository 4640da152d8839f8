"""Bounds the memory that a process buffers for all its client connections together.

A connection buffers unparsed input, finished replies that wait for earlier ones, and replies that its client
has not read yet. Each connection has a bound of its own, but many clients that do not read their replies
could together exceed the memory of the process. What the pending commands will buffer counts in advance: from
a fraction of the total bound on, a connection starts a command only when all replies to its earlier ones have
been sent, so that clients that read late wait instead of losing their connections. Above the bound itself,
connections whose clients do not read are closed: short responses before streamed ones, the longest without
progress first.

Sans I/O. An update costs O(1); connections are scanned only while the total exceeds the bound.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

FILLING_FRACTION = 0.25  # above this fraction of the bound, connections read fewer bytes at a time
# From this fraction of the bound on, commands wait for the replies before them. The rest is for one reply of
# each connection, as a connection without unsent replies may always start a command.
COMMITTED_FRACTION = 0.5
REPLY_SIZE_DECAY = 0.98  # of the size that is expected of a reply, with each smaller one

Key = TypeVar("Key", bound=Hashable)


class ClientMemory(Generic[Key]):
    """The buffered bytes of each connection, and the bound on their sum."""

    def __init__(self, max_bytes: int, max_reply_bytes: int) -> None:
        """`max_reply_bytes`: the size expected of a reply until the first ones have come. Raises `ValueError`
        if `max_bytes` is below 1."""
        if max_bytes < 1:
            raise ValueError("the memory bound for clients must be at least 1 byte")
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.expected_reply_count = 0  # commands that are started and have no reply yet
        self.expected_reply_bytes = float(max_reply_bytes)  # of the larger ones among recent replies
        self.bytes_by_connection: dict[Key, int] = {}

    @property
    def is_exhausted(self) -> bool:
        """Whether the buffered bytes exceed the bound."""
        return self.total_bytes > self.max_bytes

    @property
    def is_committed(self) -> bool:
        """Whether the buffered bytes and the expected replies leave no room for further commands of
        connections with unsent replies."""
        expected_bytes = self.expected_reply_count * self.expected_reply_bytes
        return self.total_bytes + expected_bytes > COMMITTED_FRACTION * self.max_bytes

    @property
    def is_filling(self) -> bool:
        """Whether so much is buffered that connections should read fewer bytes at a time."""
        return self.total_bytes > FILLING_FRACTION * self.max_bytes

    def update(self, key: Key, buffered_bytes: int) -> None:
        """Sets the number of bytes that a connection buffers now."""
        self.total_bytes += buffered_bytes - self.bytes_by_connection.get(key, 0)
        if buffered_bytes:
            self.bytes_by_connection[key] = buffered_bytes
        else:
            self.bytes_by_connection.pop(key, None)

    def expect_reply(self) -> None:
        """Counts a command that is started, until `cancel_expected_reply`."""
        self.expected_reply_count += 1

    def cancel_expected_reply(self) -> None:
        """Stops counting a command, as its reply has come or will not be buffered."""
        self.expected_reply_count -= 1

    def record_reply(self, size_bytes: int) -> None:
        """Updates the size that is expected of a reply with one that has come."""
        self.expected_reply_bytes = max(size_bytes, REPLY_SIZE_DECAY * self.expected_reply_bytes)

    def remove(self, key: Key) -> None:
        """Removes a closed connection; unknown keys are ignored."""
        self.total_bytes -= self.bytes_by_connection.pop(key, 0)

    def choose_victims(self, blocked: Iterable[Key]) -> list[Key]:
        """Returns the connections to close so that the others stay within the bound, as far as possible.

        `blocked`: the connections whose clients do not read, in the order in which to close them.
        """
        excess_bytes, victims = self.total_bytes - self.max_bytes, list[Key]()
        for key in blocked:
            if excess_bytes <= 0:
                break
            buffered_bytes = self.bytes_by_connection.get(key, 0)
            if buffered_bytes:
                excess_bytes -= buffered_bytes
                victims.append(key)
        return victims
