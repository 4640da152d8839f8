"""The pool of servers, and which server gets an attempt."""

from __future__ import annotations

import math
import random

from ..events import AttemptEnded, EndpointList, EndpointListKind, EndpointState, Outcome
from ..requests import PendingRequest
from ..settings import Idempotency, IdempotencyScope, RequestClass, Settings
from .server import Server

PACE_MS = 60_000.0  # what was learned of a server's pace fades in this time
RATE_S = 3.0  # the rate of answers is taken over this long
WORD = 0.3  # of what a report tells beyond the mean; it is late when it comes, and others heard it too
LOOKS_PER_S = 4.0  # at a server that can't be reached, by all gateways
COLD_S = 3.0  # see Fleet.turn


class ServerPool:
    """Which server: the list, its health as own outcomes show it, cold starts."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.servers: dict[str, Server] = {}
        self.mean_latency_ms: dict[tuple[str, int], float] = {}
        self.median_failure_rate = 0.0  # the median share of failures
        self.load_factor = (
            1.0  # time of the last answers, all kinds, against their means, which are slow to learn
        )
        self.total_servers = 0  # servers that there are, if more than are known here
        self.mean_peer_requests = [
            0.0,
            0.0,
        ]  # what others have at a server, for its size: means of cold and of warm ones
        self.warm_response_rate_per_s = (
            0.0  # answers of a warm server, a second: the mean, of those that are warm now
        )

    def update(self, news: EndpointList, now: float) -> None:
        """Follows the list. A server that drains or is gone gets nothing new from this moment on."""
        self.total_servers = news.total_endpoints or self.total_servers
        if news.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            listed = {entry.address for entry in news.endpoints}
            for name in [name for name in self.servers if name not in listed]:
                del self.servers[name]
        for entry in news.endpoints:
            old = self.servers.get(entry.address)
            if entry.state is not EndpointState.ACTIVE:
                self.servers.pop(entry.address, None)
            elif old is None or old.endpoint.started_ms != entry.started_ms:
                # A new process: what was learned of the old one says nothing of it.
                size = entry.weight if 0.0 < entry.weight < math.inf else 1.0  # a weight may be anything
                new = self.servers[entry.address] = Server(entry, size, old.in_flight if old else 0)
                # The gateways hear of it at once; first turns in the same moment would push it over.
                new.slow_start_tokens, new.slow_start_tokens_ms = self.rng.random(), now
            else:
                old.endpoint = entry

    def slow_start_weight(self, server: Server, now: float) -> float:
        """The least share of its capacity that a server has by now."""
        rules = self.settings.slow_start
        age = max(0.0, now - server.endpoint.started_ms) / max(1.0, rules.warm_up_ms)
        cold = server.endpoint.started_ms > 0
        return min(1.0, rules.initial_fraction + (1.0 - rules.initial_fraction) * age) if cold else 1.0

    def expected_latency_ms(self, cls: RequestClass, units: float) -> float:
        """Mean time of such answers, over the fleet."""
        return self.mean_latency_ms.get((cls.name, round(units)), cls.latency_objective_ms * 0.15)

    def pick(self, now: float, opened: PendingRequest) -> Server | None:
        """The server with the least expected delay; None if there is none to send to."""
        cls = opened.request_class
        home = (
            opened.pinned_endpoint
            if cls.idempotency is Idempotency.WITH_KEY and cls.idempotency_scope is not IdempotencyScope.ALL
            else None
        )
        best: Server | None = None
        least = math.inf
        mean = self.expected_latency_ms(cls, opened.request.units)
        for server in self.servers.values():
            entry = server.endpoint
            if home and (
                entry.zone != home.zone
                or (cls.idempotency_scope is IdempotencyScope.CELL and entry.cell != home.cell)
            ):
                continue
            warmth = self.slow_start_weight(server, now)
            if warmth < 1.0 and (server.in_flight >= 2 or not self.has_slow_start_token(server, now, warmth)):
                continue
            cost = self.expected_delay(server, now, mean, warmth) / warmth
            if entry.address in opened.attempted_addresses:
                cost += 10.0
            if now < max(server.next_probe_ms, server.avoid_until_ms):
                cost += 1000.0  # any other is better, and if there is none, this one is tried
            if entry.zone != self.settings.zone:
                cost *= 1.0 + 10.0 * self.settings.cross_zone_price
            cost *= self.rng.uniform(0.9, 1.1)
            if cost < least:
                best, least = server, cost
        return best

    def expected_delay(self, server: Server, now: float, mean: float, warmth: float) -> float:
        """Expected delay at a server in mean service times; failures count as a long delay."""
        # Of many gateways each hears of a server seldom. As its last report grows old, what such servers hold
        # on average takes its place: else all would pass for idle, and none would seem worth sparing.
        usual = self.mean_peer_requests[warmth >= 1.0] * server.weight
        held = usual + WORD * (server.peer_requests - usual) * math.exp(
            (server.load_report_ms - now) / 1000.0
        )
        wait = self.relative_latency(server, now) * (1.0 + server.in_flight) + held / server.weight
        if server.unanswered_since_ms is not None:
            # An answer overdue says hung, slow, or cut off, before any time-out does.
            wait = max(wait, (now - server.unanswered_since_ms) / mean)
        return wait + 20.0 * max(
            0.0,
            server.failure_rate * math.exp((server.failure_rate_ms - now) / 5000.0)
            - self.median_failure_rate,
        )

    def record_start(self, now: float, server: Server) -> None:
        """Books an attempt."""
        server.in_flight += 1
        if server.unanswered_since_ms is None:
            server.unanswered_since_ms = now
        server.slow_start_tokens -= 1.0

    def has_slow_start_token(self, server: Server, now: float, warmth: float) -> bool:
        """Whether a cold server may be sent a request now. Its turns come up here so fast that all gateways
        together send it no more than its share of what warm ones do, and those that know no rate one request
        in COLD_S. A turn that is not taken soon is lost: saved ones, spent by all gateways once the warm
        servers are full, would push it over."""
        rules = self.settings.slow_start
        rate = (
            max(self.warm_response_rate_per_s * warmth, 1.0 / COLD_S / self.settings.gateway_count) / 1000.0
        )
        kept = rate * rules.overload_window_ms * max(0.2, 0.8 * rules.overload_factor - 1.0)
        server.slow_start_tokens += rate * max(0.0, now - server.slow_start_tokens_ms)
        server.slow_start_tokens_ms = now
        if server.slow_start_tokens > 1.0 + kept:
            server.slow_start_tokens = kept if kept >= 1.0 else server.slow_start_tokens % 1.0
        return server.slow_start_tokens >= 1.0

    def relative_latency(self, server: Server, now: float) -> float:
        """Time of its answers against the fleet's. One that was slow is asked no more, and so never found
        to be well again, unless what was learned of it grows old."""
        return 1.0 + (server.relative_latency - 1.0) * math.exp((server.relative_latency_ms - now) / PACE_MS)

    def response_rate_per_s(self, server: Server, now: float) -> float:
        """What it answers here, a second."""
        return server.response_rate_per_s * math.exp((server.response_rate_ms - now) / 1000.0 / RATE_S)

    def record_end(self, now: float, event: AttemptEnded, cls: RequestClass, units: float) -> None:
        """Learns from an outcome."""
        if (server := self.servers.get(event.address)) is None:
            return
        server.in_flight = max(0, server.in_flight - 1)
        warm = self.slow_start_weight(server, now) >= 1.0
        if event.queued_requests is not None or event.active_requests is not None:
            total = max(event.active_requests or 0.0, event.queued_requests or 0.0)
            server.peer_requests, server.load_report_ms = max(0.0, total - server.in_flight), now
            self.mean_peer_requests[warm] += 0.1 * (
                server.peer_requests / server.weight - self.mean_peer_requests[warm]
            )
        if event.outcome in (Outcome.NOT_SENT, Outcome.CANCELLED):
            return
        if event.outcome is Outcome.UNREACHABLE:
            # Unlike a failure this says nothing of the requests, however many servers it befalls: after a
            # restart the list may be so old that most are gone. Each look costs a request a try, so the first
            # ones come soon, and then all gateways together look a few times a second and this one once.
            lost = sum(other.connect_failures > 0 for other in self.servers.values())
            most = max(4.0, self.settings.gateway_count / LOOKS_PER_S, lost)
            share = min(1.0, 0.25 * 2.0**server.connect_failures)
            server.next_probe_ms = now + 1000.0 * most * share * self.rng.uniform(0.75, 1.25)
            server.connect_failures = min(server.connect_failures + 1, 10)
        elif event.outcome is not Outcome.TIMEOUT:
            server.connect_failures, server.next_probe_ms, server.avoid_until_ms = 0, 0.0, 0.0
        if event.outcome is not Outcome.TIMEOUT or not server.in_flight:
            server.unanswered_since_ms = now if server.in_flight else None
        faded = server.failure_rate * math.exp((server.failure_rate_ms - now) / 5000.0)
        if event.outcome in (Outcome.OK, Outcome.TIMEOUT):
            # A time-out tells the least that the answer would have taken. Leaving it out would make a busy
            # server look quick by the answers that got through, and shorten the time-outs as load grows.
            key = (cls.name, round(units))
            mean = self.expected_latency_ms(cls, units)
            self.mean_latency_ms[key] = mean + 0.03 * (event.duration_ms - mean)
            self.load_factor += 0.12 * (event.duration_ms / mean - self.load_factor)
            pace = self.relative_latency(server, now)
            server.relative_latency, server.relative_latency_ms = (
                pace + 0.12 * (event.duration_ms / mean - pace),
                now,
            )
        if event.outcome is Outcome.OK:
            server.failure_rate = faded * 0.7
            if warm:
                server.response_rate_per_s, server.response_rate_ms = (
                    self.response_rate_per_s(server, now) + 1.0 / RATE_S,
                    now,
                )
        else:
            weight = 0.5 if event.outcome in (Outcome.TIMEOUT, Outcome.UNREACHABLE) else 0.3
            server.failure_rate = faded + weight * (1.0 - faded)
        server.failure_rate_ms = now

    def detect_outliers(self, now: float) -> list[str]:
        """Names the servers that fail far more than most. What fails everywhere (a poisoned class, a full
        fleet) says nothing of one server; held against all, it would drown their queues in the choice. Takes
        the rate of the warm ones anew, too."""
        # What warm servers answer tells what one can bear, overdriven or not. Only those that are warm now
        # count: where most have been replaced, a mean over all would tell of much less. With all cold, the
        # last word stands: counting cold ones would raise the rate by itself and push all of them over.
        warm = [
            self.response_rate_per_s(s, now)
            for s in self.servers.values()
            if self.slow_start_weight(s, now) >= 1.0
        ]
        self.warm_response_rate_per_s = sum(warm) / len(warm) if warm else self.warm_response_rate_per_s
        faded = {
            k: s.failure_rate * math.exp((s.failure_rate_ms - now) / 5000.0) for k, s in self.servers.items()
        }
        self.median_failure_rate = sorted(faded.values())[len(faded) // 2] if faded else 0.0
        return [name for name, fails in faded.items() if fails - self.median_failure_rate > 0.5]
