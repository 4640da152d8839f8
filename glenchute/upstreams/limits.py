"""The limits of connections to servers, as the settings state them."""

from __future__ import annotations

from glenchute.policy.record import record


@record(frozen=True, slots=True)
class UpstreamLimits:
    """Timeouts in seconds, and the most connections and streamed values of a gateway at the same time.

    `drain_grace_s`: nothing is written to a server for longer than this after it began to drain.
    """

    connect_timeout_s: float
    max_idle_s: float
    drain_grace_s: float
    max_connections: int
    max_streams: int = 64
