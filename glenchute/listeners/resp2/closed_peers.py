"""Detects that clients have closed their connections, before the event loop reads the end of the stream.

The loop may be busy, other bytes may precede the end, or reading may be paused. A single epoll call covers
all connections, which makes it cheap enough to be called right before each attempt is sent.
"""

from __future__ import annotations

import math
import select
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .connection import ClientConnection

MAX_DETECTION_S = 0.1  # no attempt may be sent later than this after its client has closed
POLL_AGE_S = MAX_DETECTION_S / 10.0  # the age at which a poll's result is out of date
PAUSED_POLL_INTERVAL_S = MAX_DETECTION_S / 4.0  # between polls while any connection is not read from
MAX_CLOSES_PER_POLL = 64


class ClosedPeerDetector:
    """Polls all client connections, and marks those that their clients have closed."""

    def __init__(self) -> None:
        self.poll = select.epoll()
        self.clients: dict[int, ClientConnection] = {}  # by file descriptor
        self.checked_at = -math.inf

    def add(self, client: ClientConnection, sock: Any) -> None:
        """Registers a new connection, and makes the next `has_closed` poll."""
        client.descriptor = sock.fileno()
        self.clients[client.descriptor] = client
        self.poll.register(client.descriptor, select.EPOLLRDHUP)
        self.checked_at = -math.inf

    def remove(self, client: ClientConnection) -> None:
        """Unregisters a connection, before its file descriptor is closed. Unknown ones are ignored."""
        if self.clients.pop(client.descriptor, None) is not None:
            self.poll.unregister(client.descriptor)

    def check(self) -> None:
        """Polls, and marks and unregisters the connections that their clients have closed."""
        self.checked_at = time.monotonic()
        while True:
            events = self.poll.poll(0, MAX_CLOSES_PER_POLL)
            for fd, _ in events:
                client = self.clients[fd]
                self.remove(client)
                client.is_closed_by_peer = True
            if len(events) < MAX_CLOSES_PER_POLL:
                return

    def close(self) -> None:
        """Closes the detector, at the end of the process. `has_closed` does not poll after this."""
        self.checked_at = math.inf
        self.poll.close()
        self.clients.clear()  # `remove` may still be called for them

    def has_closed(self, client: ClientConnection) -> bool:
        """Returns whether this client has closed its connection, by a poll at most `POLL_AGE_S` old."""
        if time.monotonic() - self.checked_at > POLL_AGE_S:
            self.check()
        return client.is_closed_by_peer
