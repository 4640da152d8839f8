"""The state of one server at this gateway."""

from __future__ import annotations

from ..events import Endpoint
from ..record import record


@record(slots=True)
class Server:
    """What this gateway knows of one server."""

    endpoint: Endpoint
    weight: float = 1.0  # as the list has it
    in_flight: int = 0  # own attempts under way
    relative_latency: float = 1.0  # time of answers against the fleet's mean for the same kind of request
    relative_latency_ms: float = 0.0  # as of then; what is old says less
    failure_rate: float = 0.0  # recent share of failures, fading
    failure_rate_ms: float = 0.0
    connect_failures: int = 0  # attempts in a row that did not connect
    next_probe_ms: float = 0.0  # until then nothing more is sent to one that did not connect
    avoid_until_ms: float = 0.0  # the same by the words of others
    unanswered_since_ms: float | None = None  # first sending since the last answer
    peer_requests: float = 0.0  # requests of other gateways there, by its last report
    load_report_ms: float = -1e9
    slow_start_tokens: float = 0.0  # while it is cold: the part of a turn that has come up, by the moment ...
    slow_start_tokens_ms: float = 0.0
    response_rate_per_s: float = 0.0  # answers a second, by the last one
    response_rate_ms: float = 0.0
