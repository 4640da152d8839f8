"""Free listening ports outside the range from which the system assigns ephemeral ports.

Ephemeral ports are soon reused. A gateway of another test or run that has lost a peer at such a port
continues to call it, and would reach whichever process listens there next.
"""

from __future__ import annotations

import functools
import os
import socket
from collections.abc import Iterator
from pathlib import Path

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


def free_port() -> int:
    """Returns a port that is free for TCP and UDP and is never assigned to an outgoing connection.

    This process returns each port once before it returns one again. Other processes start at another port,
    far enough away that parallel processes of one test run do not reach the same ports.
    """
    global _ports
    for _ in range(len(allowed()) + 1):
        port = next(_ports, 0)
        if not port:
            _ports = iter(allowed())
            continue
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            try:
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                stream.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise OSError("no listening port is free")
