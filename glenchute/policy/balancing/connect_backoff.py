"""When a server that could not be reached is tried again.

A failed connect says nothing of the requests: after a restart the endpoint list may be so old that most
servers are gone. Nothing is sent to test a server: once its backoff is over it is chosen like any other. The
first waits are short, as a failed connect may be a passing fault; later ones are long, as each failure costs
a request one of its attempts: all gateways together then try a server `PROBES_PER_S` times a second, and this
gateway tries one unreachable server a second.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from .server import Server

PROBES_PER_S = 4.0  # tries of one server by all gateways
LEAST_INTERVAL_S = 4.0  # between tries of one server, once backed off
FIRST_FRACTION = 0.25  # of the interval, doubled at each failure
JITTER = (0.75, 1.25)  # random factor of the wait
MOST_FAILURES = 10  # counted; bounds the power of 2


def back_off(
    server: Server, servers: Iterable[Server], now_ms: float, gateway_count: int, rng: random.Random
) -> None:
    """A connect has failed: sets until when the server is chosen last."""
    unreachable = sum(other.connect_failures > 0 for other in servers)
    interval_s = max(LEAST_INTERVAL_S, gateway_count / PROBES_PER_S, unreachable)
    fraction = min(1.0, FIRST_FRACTION * 2.0**server.connect_failures)
    server.backed_off_until_ms = now_ms + 1000.0 * interval_s * fraction * rng.uniform(*JITTER)
    server.connect_failures = min(server.connect_failures + 1, MOST_FAILURES)


def reset(server: Server) -> None:
    """The server was reached."""
    server.connect_failures, server.backed_off_until_ms, server.avoid_until_ms = 0, 0.0, 0.0
