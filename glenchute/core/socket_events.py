"""What the kernel holds for a socket that the event loop has not read yet."""

from __future__ import annotations

import asyncio
import fcntl
import select
import sys
import termios
from typing import Any

INT_BYTES = 4  # size of the integer that FIONREAD returns


def has_socket_event(sock: Any, event: int) -> bool:
    """Returns whether the kernel reports this `select.poll` event, or an error, for a socket right now."""
    if sock is None or sock.fileno() < 0:
        return False
    waiting = select.poll()
    waiting.register(sock.fileno(), event)
    return bool(waiting.poll(0))


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Returns how many received bytes of a connection the kernel holds."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    return int.from_bytes(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(INT_BYTES)), sys.byteorder)


def has_unread_input(transport: asyncio.BaseTransport) -> bool:
    """Returns whether the kernel holds unread bytes, the end of the stream or an error for a connection."""
    return has_socket_event(transport.get_extra_info("socket"), select.POLLIN)
