"""Load reports: how many requests the other gateways hold at a server.

A report comes with a response. One of many gateways has a report of a server seldom, and it is late when it
comes; as it grows old, the mean over all servers takes its place.
"""

from __future__ import annotations

from ..events import AttemptEnded
from .server import Server

MEAN_STEP = 0.1  # weight of one report in a mean


class PeerLoad:
    """Mean requests of other gateways at a server, for one unit of its weight."""

    def __init__(self) -> None:
        self.mean_requests_warming_up = 0.0
        self.mean_requests_warm = 0.0

    def record(self, server: Server, now_ms: float, event: AttemptEnded, is_warm: bool) -> None:
        """Takes the report that came with a response, if there is one. Both numbers of a report include this
        gateway's requests; a server tells either or both."""
        if event.queued_requests is None and event.active_requests is None:
            return
        total = max(event.active_requests or 0.0, event.queued_requests or 0.0)
        server.peer_requests, server.load_report_ms = max(0.0, total - server.in_flight), now_ms
        per_weight = server.peer_requests / server.weight
        if is_warm:
            self.mean_requests_warm += MEAN_STEP * (per_weight - self.mean_requests_warm)
        else:
            self.mean_requests_warming_up += MEAN_STEP * (per_weight - self.mean_requests_warming_up)
