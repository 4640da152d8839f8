"""Limits that the platform states, as values: of connections to servers, and of requests."""

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


@record(frozen=True, slots=True)
class RequestBounds:
    """The most that a request may ask for. Longer deadlines are reduced to `max_deadline_ms`."""

    max_units: float
    max_deadline_ms: float
