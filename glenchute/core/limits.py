"""Limits set by the platform, on connections to servers and on requests."""

from __future__ import annotations

from glenchute.policy.record import record


@record(frozen=True, slots=True)
class UpstreamLimits:
    """Timeouts in seconds, and the maximum number of concurrent connections and streamed values of a gateway.

    `drain_grace_s`: time after the start of a server's drain within which requests may still be written to
    it. `max_buffered_value_bytes`: memory for long values that are received completely before they are sent.
    """

    connect_timeout_s: float
    max_idle_s: float
    drain_grace_s: float
    max_connections: int
    max_streams: int = 64
    max_buffered_value_bytes: int = 16 * 1024 * 1024


@record(frozen=True, slots=True)
class RequestBounds:
    """Upper bounds on a request. Longer deadlines are reduced to `max_deadline_ms`."""

    max_units: float
    max_deadline_ms: float
