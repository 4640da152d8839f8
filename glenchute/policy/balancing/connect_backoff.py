"""Connect backoff: how long a server that could not be reached is chosen last.

A failed connect says nothing about requests: after a restart the endpoint list may be so old that most of its
servers no longer exist. No probes are sent: once the backoff of a server is over, it is chosen like any
other. The first delays are short, as a failed connect may be a transient fault. Later ones are long, as each
failure costs a request one of its attempts: then all gateways together try a server `PROBES_PER_S` times per
second, and this gateway tries one unreachable server per second.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from .server import Server

PROBES_PER_S = 4.0  # attempts per second of all gateways to reach one server
MIN_INTERVAL_S = 4.0  # least full interval between attempts to reach one server
INITIAL_FRACTION = 0.25  # fraction of the interval after the first failure; doubled with each further one
JITTER_RANGE = (0.75, 1.25)  # range of the random factor of each delay
MAX_COUNTED_FAILURES = 10  # failures counted at most; bounds the power of 2


def back_off(
    server: Server, servers: Iterable[Server], now_ms: float, gateway_count: int, rng: random.Random
) -> None:
    """Sets until when a server is chosen last after a failed connect."""
    unreachable_count = sum(other.connect_failures > 0 for other in servers)
    interval_s = max(MIN_INTERVAL_S, gateway_count / PROBES_PER_S, unreachable_count)
    fraction = min(1.0, INITIAL_FRACTION * 2.0**server.connect_failures)
    server.backed_off_until_ms = now_ms + 1000.0 * interval_s * fraction * rng.uniform(*JITTER_RANGE)
    server.connect_failures = min(server.connect_failures + 1, MAX_COUNTED_FAILURES)


def reset(server: Server) -> None:
    """Clears the backoff of a server that was reached."""
    server.connect_failures, server.backed_off_until_ms, server.avoid_until_ms = 0, 0.0, 0.0
