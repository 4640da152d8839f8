"""Ports for what listens: none that the system gives to an outgoing connection, or to whoever asks for any.

A port of that range is soon another's: a gateway of some other test or run that has lost a peer there goes on
calling it, and comes to whoever listens there next.
"""

from __future__ import annotations

import functools
import os
import socket
from collections.abc import Iterator
from pathlib import Path

SPREAD = 9973  # ports between where two processes of neighbouring numbers begin


def outgoing_ports() -> tuple[int, int]:
    """The range from which the system takes ports for outgoing connections."""
    try:
        low, high = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()
        return int(low), int(high)
    except (OSError, ValueError):
        return 32_768, 60_999


@functools.cache
def allowed() -> tuple[int, ...]:
    """The ports outside that range, from the first that this process tries on."""
    low, high = outgoing_ports()
    ports = [port for port in range(10_000, 65_000) if not low <= port <= high]
    first = os.getpid() * SPREAD % len(ports)
    return (*ports[first:], *ports[:first])


_ports: Iterator[int] = iter(())


def free_port() -> int:
    """A port that nobody has, for TCP and UDP, and that no outgoing connection is given: it is still free
    when a process listens on it. Each is handed out once by this process until all have been; others begin
    elsewhere, far enough that those of one test run do not come to each other's."""
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
    raise OSError("no port is free")
