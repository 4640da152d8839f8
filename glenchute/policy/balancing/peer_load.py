"""Load reports: how many requests of other gateways a server holds.

A report arrives with a response. Among many gateways, each one rarely gets a report from a given server, and
the report is already old then; as it ages, the mean over all servers replaces it.
"""

from __future__ import annotations

from ..events import AttemptEnded
from .server import Server

MEAN_SMOOTHING = 0.1  # weight of one report in a moving average


class PeerLoad:
    """Mean number of requests of other gateways at a server, per unit of its weight."""

    def __init__(self) -> None:
        self.mean_requests_warming_up = 0.0
        self.mean_requests_warm = 0.0

    def record(self, server: Server, now_ms: float, event: AttemptEnded, is_warm: bool) -> None:
        """Records the load report that came with a response, if there is one. A report has either number of
        requests or both; both numbers include this gateway's requests."""
        if event.queued_requests is None and event.active_requests is None:
            return
        total = max(event.active_requests or 0.0, event.queued_requests or 0.0)
        server.peer_requests, server.load_report_ms = max(0.0, total - server.in_flight), now_ms
        per_weight = server.peer_requests / server.weight
        if is_warm:
            self.mean_requests_warm += MEAN_SMOOTHING * (per_weight - self.mean_requests_warm)
        else:
            self.mean_requests_warming_up += MEAN_SMOOTHING * (per_weight - self.mean_requests_warming_up)
