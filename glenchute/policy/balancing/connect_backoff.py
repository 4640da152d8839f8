"""When a server that could not be reached is tried again.

A failed connect says nothing of the requests: after a restart the endpoint list may be so old that most
servers are gone. Each probe costs a request an attempt, so the first ones come soon, and later all gateways
together probe a server `PROBES_PER_S` times a second, and this gateway probes one server a second.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from .server import Server

PROBES_PER_S = 4.0  # at one server, by all gateways
LEAST_INTERVAL_S = 4.0  # between probes of one server, once backed off
FIRST_FRACTION = 0.25  # of the interval, doubled at each failure
JITTER = (0.75, 1.25)
MOST_FAILURES = 10  # counted


def back_off(
    server: Server, servers: Iterable[Server], now_ms: float, gateway_count: int, rng: random.Random
) -> None:
    """A connect has failed: sets when the server is probed next."""
    unreachable = sum(other.connect_failures > 0 for other in servers)
    interval_s = max(LEAST_INTERVAL_S, gateway_count / PROBES_PER_S, unreachable)
    fraction = min(1.0, FIRST_FRACTION * 2.0**server.connect_failures)
    server.next_probe_ms = now_ms + 1000.0 * interval_s * fraction * rng.uniform(*JITTER)
    server.connect_failures = min(server.connect_failures + 1, MOST_FAILURES)


def reset(server: Server) -> None:
    """The server was reached."""
    server.connect_failures, server.next_probe_ms, server.avoid_until_ms = 0, 0.0, 0.0
