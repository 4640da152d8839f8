"""Free listening ports outside the range from which the system assigns ephemeral ports, each reserved for the
process that asked.

Between the choice of a port and the start of the process that listens there, another process of another test
must not get the same port: a test would then reach the other test's process. So a chosen port stays bound by
a socket that does not listen. Binding it excludes all that choose ports here, and whoever binds it with
SO_REUSEADDR, as event loops and `socket.create_server` do for listening sockets, can listen there.

Ephemeral ports are soon reused. A gateway of another test or run that has lost a peer at such a port
continues to call it, and would reach whichever process listens there next.
"""

from __future__ import annotations

import functools
import os
import socket
from collections import deque
from collections.abc import Iterator
from pathlib import Path

MAX_RESERVED = 512  # ports that this process reserves at once; the one reserved first is released for another
PROCESS_STRIDE = 9973  # ports between the first candidates of processes with consecutive ids


def outgoing_ports() -> tuple[int, int]:
    """Returns the lowest and highest port that the system assigns to outgoing connections."""
    try:
        low, high = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()
        return int(low), int(high)
    except (OSError, ValueError):
        return 32_768, 60_999


@functools.cache
def allowed() -> tuple[int, ...]:
    """Returns the ports outside that range, in the order in which this process tries them."""
    low, high = outgoing_ports()
    ports = [port for port in range(10_000, 65_000) if not low <= port <= high]
    first = os.getpid() * PROCESS_STRIDE % len(ports)
    return (*ports[first:], *ports[:first])


_ports: Iterator[int] = iter(())
_reserved: deque[socket.socket] = deque(maxlen=MAX_RESERVED)


def reserve(port: int) -> bool:
    """Reserves a port that is free for TCP and UDP; returns False if it is not, or is reserved already."""
    stream = socket.socket()
    with socket.socket(type=socket.SOCK_DGRAM) as datagrams:
        try:
            stream.bind(("127.0.0.1", port))  # without SO_REUSEADDR: fails if any other socket is bound there
            datagrams.bind(("127.0.0.1", port))
        except OSError:
            stream.close()
            return False
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if len(_reserved) == MAX_RESERVED:
        _reserved.popleft().close()
    _reserved.append(stream)
    return True


def free_port() -> int:
    """Reserves and returns a port that is free for TCP and UDP and is never assigned to an outgoing
    connection.

    This process returns each port once before it returns one again. Other processes start at another port,
    so that they rarely try the same ports.
    """
    global _ports
    for _ in range(len(allowed()) + 1):
        port = next(_ports, 0)
        if not port:
            _ports = iter(allowed())
            continue
        if reserve(port):
            return port
    raise OSError("no listening port is free")
