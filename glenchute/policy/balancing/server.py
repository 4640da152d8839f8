"""The state of one server at this gateway."""

from __future__ import annotations

from ..events import Endpoint
from ..record import record


@record(slots=True)
class Server:
    """What this gateway knows of one server. Rates and means fade from the moment beside them."""

    endpoint: Endpoint
    weight: float = 1.0  # by the endpoint list; always above 0 and finite
    in_flight: int = 0  # own attempts under way
    relative_latency: float = 1.0  # duration of its responses over the mean of all servers for such requests
    relative_latency_ms: float = 0.0  # when that was learned
    failure_rate: float = 0.0  # recent fraction of failures, 0 to 1
    failure_rate_ms: float = 0.0
    connect_failures: int = 0  # in a row
    backed_off_until_ms: float = 0.0  # an unreachable server is chosen last until then
    avoid_until_ms: float = 0.0  # the same by the reports of members
    unanswered_since_ms: float | None = None  # first attempt sent since the last response
    peer_requests: float = 0.0  # requests of other gateways there, by its last load report
    load_report_ms: float = -1e9
    slow_start_tokens: float = 0.0  # while it warms up: each attempt takes one
    slow_start_tokens_ms: float = 0.0
    response_rate_per_s: float = 0.0  # responses to this gateway
    response_rate_ms: float = 0.0
