"""Endpoint choice: an attempt goes to the server with the least expected delay.

The delay is measured in mean response times. It is this gateway's requests in flight there, with the new one,
times the server's relative latency, plus other gateways' requests there by the server's weight, and no less
than the age of an overdue response. A penalty for failures above the median is added. The sum is divided by
the slow-start weight, and raised for servers that were attempted before, are backed off, or are in another
zone.
"""

from __future__ import annotations

import math
import random

from ..events import Endpoint
from ..requests import PendingRequest
from ..settings import Idempotency, IdempotencyScope, Settings
from .latency import relative_latency
from .outliers import FAILURE_DECAY_MS
from .pool import ServerPool
from .server import Server

# Weight of a load report's difference from the mean; low, as a report is late and other gateways act on it
# too.
LOAD_REPORT_WEIGHT = 0.3
LOAD_REPORT_DECAY_MS = 1_000.0  # time constant of the decay of a load report towards the mean
FAILURE_PENALTY = 20.0  # mean response times at a failure rate of 1
ATTEMPTED_PENALTY = 10.0  # mean response times
BACKED_OFF_PENALTY = 1_000.0  # mean response times; above any other delay: such a server is the last resort
CROSS_ZONE_FACTOR = 10.0  # relative increase of the delay per unit of the price of traffic between zones
# Random factor of each delay: gateways with the same information must not choose the same server.
MIN_JITTER, MAX_JITTER = 0.9, 1.1
MAX_IN_FLIGHT_WARMING_UP = 2  # attempts of this gateway in flight at a server that warms up


class EndpointChooser:
    """Chooses a server of a pool for each attempt."""

    def __init__(self, settings: Settings, rng: random.Random, pool: ServerPool) -> None:
        self.settings = settings
        self.rng = rng
        self.pool = pool
        self.slow_start = pool.slow_start
        self.peer_load = pool.peer_load
        self.outliers = pool.outliers

    def pick(self, now_ms: float, pending: PendingRequest) -> Server | None:
        """Returns the server with the least expected delay; None if no server may have the attempt now.

        A request with an idempotency key that may have run stays in the zone, or the cell, whose servers
        discard its repeats. A server that warms up is chosen only with a slow-start token.
        """
        request_class = pending.request_class
        pinned = pinned_endpoint(pending)
        is_cell_pinned = request_class.idempotency_scope is IdempotencyScope.CELL
        mean_ms = self.pool.latency.expected_ms(request_class, pending.request.units)
        weight_of, refill_and_check = self.slow_start.weight, self.slow_start.refill_and_check
        delay_of, uniform = self.expected_delay, self.rng.uniform
        attempted, own_zone = pending.attempted_addresses, self.settings.zone
        cross_zone_factor = 1.0 + CROSS_ZONE_FACTOR * self.settings.cross_zone_price
        best: Server | None = None
        least_cost = math.inf
        for server in self.pool.servers.values():
            endpoint = server.endpoint
            if pinned and (endpoint.zone != pinned.zone or (is_cell_pinned and endpoint.cell != pinned.cell)):
                continue
            weight = weight_of(server, now_ms)
            if weight < 1.0 and (
                server.in_flight >= MAX_IN_FLIGHT_WARMING_UP or not refill_and_check(server, now_ms, weight)
            ):
                continue
            cost = delay_of(server, now_ms, mean_ms, weight) / weight
            if endpoint.address in attempted:
                cost += ATTEMPTED_PENALTY
            if endpoint.zone != own_zone:
                cost *= cross_zone_factor
            cost *= uniform(MIN_JITTER, MAX_JITTER)
            if now_ms < max(server.backed_off_until_ms, server.avoid_until_ms):
                # Added after the jitter, which would otherwise outweigh how such servers differ.
                cost += BACKED_OFF_PENALTY
            if cost < least_cost:
                best, least_cost = server, cost
        return best

    def expected_delay(self, server: Server, now_ms: float, mean_ms: float, weight: float) -> float:
        """Returns the expected delay at a server in mean response times, before `pick` applies the slow-start
        weight, jitter and its penalties.

        `mean_ms`: mean duration of such a response over all servers. `weight`: the server's slow-start
        weight.
        """
        load = self.peer_load
        mean_requests = load.mean_requests_warm if weight >= 1.0 else load.mean_requests_warming_up
        mean_peer_requests = mean_requests * server.weight
        report_decay = math.exp((server.load_report_ms - now_ms) / LOAD_REPORT_DECAY_MS)
        peer_requests = (
            mean_peer_requests
            + LOAD_REPORT_WEIGHT * (server.peer_requests - mean_peer_requests) * report_decay
        )
        delay = relative_latency(server, now_ms) * (1.0 + server.in_flight) + peer_requests / server.weight
        if server.unanswered_since_ms is not None:
            # An overdue response reveals a hung or unreachable server before any timeout does.
            delay = max(delay, (now_ms - server.unanswered_since_ms) / mean_ms)
        failure_rate = server.failure_rate * math.exp((server.failure_rate_ms - now_ms) / FAILURE_DECAY_MS)
        return delay + FAILURE_PENALTY * max(0.0, failure_rate - self.outliers.median_failure_rate)


def pinned_endpoint(pending: PendingRequest) -> Endpoint | None:
    """Returns the endpoint to whose zone or cell a request is pinned; None if any server may have it."""
    request_class = pending.request_class
    if request_class.idempotency is not Idempotency.WITH_KEY:
        return None
    return None if request_class.idempotency_scope is IdempotencyScope.ALL else pending.pinned_endpoint
