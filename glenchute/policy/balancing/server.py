"""The state of one server at this gateway."""

from __future__ import annotations

from ..events import Endpoint
from ..record import record


@record(slots=True)
class Server:
    """What this gateway knows of one server. A rate or mean decays from the time in the field after it."""

    endpoint: Endpoint
    weight: float = 1.0  # from the endpoint list; always above 0 and finite
    in_flight: int = 0  # attempts of this gateway
    relative_latency: float = 1.0  # latency relative to the mean of all servers for the class and size
    relative_latency_ms: float = 0.0  # when `relative_latency` was last updated
    failure_rate: float = 0.0  # recent fraction of failures, 0 to 1
    failure_rate_ms: float = 0.0  # when `failure_rate` was last updated
    connect_failures: int = 0  # consecutive failures to connect
    backed_off_until_ms: float = 0.0  # until when an unreachable server is chosen last
    avoid_until_ms: float = 0.0  # until when members report it as unreachable; it is chosen last
    unanswered_since_ms: float | None = None  # when the first attempt since the last response was sent
    peer_requests: float = 0.0  # requests of other gateways there, by its last load report
    load_report_ms: float = -1e9  # when the last load report arrived
    slow_start_tokens: float = 0.0  # while the server warms up, each attempt takes one
    slow_start_tokens_ms: float = 0.0  # when `slow_start_tokens` was last refilled
    response_rate_per_s: float = 0.0  # rate of responses to this gateway
    response_rate_ms: float = 0.0  # when `response_rate_per_s` was last updated
