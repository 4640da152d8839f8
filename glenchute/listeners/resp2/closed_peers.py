"""Detects clients that have closed their connections before the event loop has read that.

The loop may have been busy, other bytes may come first, or reading may be paused. One poll asks for all
connections, so that it can be made right before an attempt is sent.
"""

from __future__ import annotations

import math
import select
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .connection import ClientConnection

MAX_DETECTION_S = 0.1  # an attempt must not be sent later than this after its client closed
POLL_AGE_S = MAX_DETECTION_S / 10.0  # a result that is older is not relied on
PAUSED_POLL_INTERVAL_S = MAX_DETECTION_S / 4.0  # while connections are not read from
MAX_CLOSES_PER_POLL = 64


def has_socket_event(sock: Any, event: int) -> bool:
    """Whether the kernel reports this `select.poll` event, or an error, for a socket."""
    if sock is None or sock.fileno() < 0:
        return False
    waiting = select.poll()
    waiting.register(sock.fileno(), event)
    return bool(waiting.poll(0))


class ClosedPeerDetector:
    """Marks the connections whose clients have closed them."""

    def __init__(self) -> None:
        self.poll = select.epoll()
        self.clients: dict[int, ClientConnection] = {}  # by descriptor
        self.checked_at = -math.inf

    def add(self, client: ClientConnection, sock: Any) -> None:
        """Registers a new connection; its input was not polled yet."""
        client.descriptor = sock.fileno()
        self.clients[client.descriptor] = client
        self.poll.register(client.descriptor, select.EPOLLRDHUP)
        self.checked_at = -math.inf

    def remove(self, client: ClientConnection) -> None:
        """Unregisters a connection, while its descriptor is still its own. Unknown ones are ignored."""
        if self.clients.pop(client.descriptor, None) is not None:
            self.poll.unregister(client.descriptor)

    def check(self) -> None:
        """Polls, and marks those that are closed."""
        self.checked_at = time.monotonic()
        while True:
            found = self.poll.poll(0, MAX_CLOSES_PER_POLL)
            for number, _ in found:
                client = self.clients[number]
                self.remove(client)
                client.is_closed_by_peer = True
            if len(found) < MAX_CLOSES_PER_POLL:
                return

    def close(self) -> None:
        """Ends the detector with the process."""
        self.checked_at = math.inf
        self.poll.close()
        self.clients.clear()  # connections are lost after this

    def has_closed(self, client: ClientConnection) -> bool:
        """Whether this client has closed its connection, by a poll no older than `POLL_AGE_S`."""
        if time.monotonic() - self.checked_at > POLL_AGE_S:
            self.check()
        return client.is_closed_by_peer
