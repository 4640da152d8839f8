"""The server pool: the known servers, and their health by the outcomes of attempts and by reports."""

from __future__ import annotations

import math
import random

from ..events import (
    TELLS_NOTHING_OF_SERVER,
    AttemptEnded,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Outcome,
)
from ..settings import RequestClass, Settings
from . import connect_backoff
from .latency import LatencyEstimates
from .outliers import OutlierDetector
from .peer_load import PeerLoad
from .server import Server
from .slow_start import SlowStartLimiter


class ServerPool:
    """The servers by address, in the order in which they were first listed."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.servers: dict[str, Server] = {}
        self.total_servers = 0  # listed servers if this gateway uses a subset; 0: the pool holds all
        self.latency = LatencyEstimates()
        self.outliers = OutlierDetector()
        self.peer_load = PeerLoad()
        self.slow_start = SlowStartLimiter(settings)

    def update(self, update: EndpointList, now_ms: float) -> None:
        """Applies an endpoint list. A draining or removed server gets no attempts from this moment on."""
        self.total_servers = update.total_endpoints or self.total_servers
        if update.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            listed = {endpoint.address for endpoint in update.endpoints}
            for address in [address for address in self.servers if address not in listed]:
                del self.servers[address]
        for endpoint in update.endpoints:
            self.update_endpoint(endpoint, now_ms)

    def update_endpoint(self, endpoint: Endpoint, now_ms: float) -> None:
        """Adds, replaces or removes one server. A new process at a known address counts as a new server,
        which inherits only the number of attempts in flight."""
        known = self.servers.get(endpoint.address)
        if endpoint.state is not EndpointState.ACTIVE:
            self.servers.pop(endpoint.address, None)
        elif known is None or known.endpoint.started_ms != endpoint.started_ms:
            # A list may hold any number as a weight.
            weight = endpoint.weight if 0.0 < endpoint.weight < math.inf else 1.0
            server = Server(endpoint, weight, known.in_flight if known else 0)
            self.servers[endpoint.address] = server
            # Random: all gateways learn of the server at once; simultaneous first requests would overload it.
            server.slow_start_tokens, server.slow_start_tokens_ms = self.rng.random(), now_ms
        else:
            known.endpoint = endpoint

    def avoid(self, address: str, now_ms: float, duration_ms: float) -> None:
        """Marks a server that members could not reach; a duration of 0: they have reached it again."""
        if server := self.servers.get(address):
            server.avoid_until_ms = now_ms + duration_ms
            if not duration_ms > 0:
                server.backed_off_until_ms = 0.0

    def record_start(self, now_ms: float, server: Server) -> None:
        """Records that an attempt is sent to this server."""
        server.in_flight += 1
        if server.unanswered_since_ms is None:
            server.unanswered_since_ms = now_ms
        server.slow_start_tokens -= 1.0

    def record_end(
        self, now_ms: float, event: AttemptEnded, request_class: RequestClass, units: float
    ) -> None:
        """Updates a server's state by the outcome of an attempt."""
        if (server := self.servers.get(event.address)) is None:
            return
        server.in_flight = max(0, server.in_flight - 1)
        is_warm = self.slow_start.weight(server, now_ms) >= 1.0
        self.peer_load.record(server, now_ms, event, is_warm)
        outcome = event.outcome
        if outcome in TELLS_NOTHING_OF_SERVER:
            return
        if outcome is Outcome.UNREACHABLE:
            connect_backoff.back_off(
                server, self.servers.values(), now_ms, self.settings.gateway_count, self.rng
            )
        elif outcome is not Outcome.TIMEOUT:
            connect_backoff.reset(server)
        if outcome is not Outcome.TIMEOUT or not server.in_flight:
            server.unanswered_since_ms = now_ms if server.in_flight else None
        if outcome in (Outcome.OK, Outcome.TIMEOUT) and request_class.is_configured:
            self.latency.record(server, now_ms, event.duration_ms, request_class, units)
        self.outliers.record(server, now_ms, outcome)
        if outcome is Outcome.OK and is_warm:
            self.slow_start.record_response(server, now_ms)

    def update_health(self, now_ms: float) -> list[str]:
        """Updates the median failure rate and the rate of slow-start tokens, both of which apply until the
        next call. Returns the addresses of the outliers: servers that fail far more often than most."""
        self.slow_start.update_warm_rate(self.servers.values(), now_ms)
        return self.outliers.detect(self.servers, now_ms)

    def reset_after_stall(self) -> None:
        """Clears the times of overdue responses after a stall of this process, as it may have caused the
        delay."""
        for server in self.servers.values():
            server.unanswered_since_ms = None
