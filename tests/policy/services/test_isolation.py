"""Isolation of services on one core while one of them floods, with the real scheduler, ledger and delay
limit.

Only the event loop is a model. Each arrival takes a turn of its service, a short one if it is rejected.
`DeficitRoundRobin` assigns turns, `ResourceLedger` open requests, and `QueueDelayLimit` bounds waiting
times."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

import pytest

from glenchute.policy.services.queue_delay import QueueDelayLimit
from glenchute.policy.services.resource_ledger import Grant, ResourceLedger, ResourceShare
from glenchute.policy.services.round_robin import DeficitRoundRobin

TURN_MS = (0.1, 0.4)  # range of one request's processing time
REJECTION_MS = 0.03
QUANTUM_MS = 0.5
MEAN_OPEN_MS = 25.0  # mean time for which a request is open
RECALL_MS = 200.0
MAX_OPEN = 120.0


@dataclass
class ServiceResult:
    """The results of one service."""

    requests: int = 0
    rejected: int = 0
    waits: list[float] = field(default_factory=list)

    def wait_quantile(self, share: float) -> float:
        ranked = sorted(self.waits)
        return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


@dataclass
class Core:
    """One core. `rates`: arrivals per second by service; `since`: when a service's arrivals start, in ms."""

    rates: dict[str, float]
    seed: int
    since: dict[str, float] = field(default_factory=dict)
    fair: bool = True  # False serves in order of arrival without floors, as the baseline

    def run(self, ms: float) -> dict[str, ServiceResult]:
        rng = random.Random(self.seed)
        names = list(self.rates)
        floor = MAX_OPEN / (len(names) + 1) if self.fair else 0.0
        ledger = ResourceLedger(MAX_OPEN, {name: ResourceShare(floor) for name in names}, RECALL_MS)
        rounds = DeficitRoundRobin(dict.fromkeys(names, 1.0), QUANTUM_MS)
        delays = {name: QueueDelayLimit() for name in names}
        results = {name: ServiceResult() for name in names}
        queues: dict[str, list[float]] = {name: [] for name in names}
        order = itertools.count()
        # Time, order, service, whether a request arrives or ends.
        events: list[tuple[float, int, str, bool]] = []
        for name, rate in self.rates.items():
            at = self.since.get(name, 0.0)
            while (at := at + 1000.0 * rng.expovariate(rate)) < ms:
                heapq.heappush(events, (at, next(order), name, True))
        now = 0.0
        arrival_order: list[str] = []  # services in order of arrival, for the unfair core
        while events or any(queues.values()):
            if not any(queues.values()):
                now = max(now, events[0][0])
            while events and events[0][0] <= now:
                at, _, name, arrives = heapq.heappop(events)
                if arrives:
                    queues[name].append(at)
                    arrival_order.append(name)
                    rounds.add_work(name)
                else:
                    ledger.release(name, 1.0)
            if not any(queues.values()):
                continue
            name = (rounds.next() or "") if self.fair else arrival_order.pop(0)
            arrived_at = queues[name].pop(0)
            result = results[name]
            result.requests += 1
            is_rejected = self.fair and delays[name].must_reject(now, now - arrived_at)
            grant = Grant.DENIED if is_rejected else ledger.acquire(now, name, 1.0)
            is_served = grant in (Grant.GUARANTEED, Grant.BORROWED)
            cost = rng.uniform(*TURN_MS) if is_served else REJECTION_MS
            now += cost
            if is_served:
                result.waits.append(now - arrived_at)
                heapq.heappush(events, (now + rng.expovariate(1.0 / MEAN_OPEN_MS), next(order), name, False))
            else:
                result.rejected += 1
                if grant is Grant.RECALLED:
                    ledger.stop_waiting(name)  # the client is told to retry, and the recall stays in force
            if not queues[name]:
                delays[name].note_empty(now)
            if self.fair:
                rounds.charge(name, cost, bool(queues[name]))
            else:
                rounds.has_work.discard(name)
        return results


@pytest.mark.parametrize("times", [1, 3, 10])
@pytest.mark.parametrize("seed", range(4))
def test_a_calm_service_keeps_its_waiting_times_under_a_flood(seed: int, times: int) -> None:
    """The calm service's waits grow by at most one round: the quanta of the others, and one turn of each."""
    calm_rate, fair_rate = 300.0, 2000.0
    without_flood = Core({"calm": calm_rate}, seed).run(4000.0)["calm"]
    results = Core({"calm": calm_rate, "flood": times * fair_rate, "third": 100.0}, seed).run(4000.0)
    bound = 2.0 * (QUANTUM_MS + TURN_MS[1]) + QUANTUM_MS
    assert results["calm"].wait_quantile(0.99) <= without_flood.wait_quantile(0.99) + bound
    assert results["calm"].rejected <= 0.01 * results["calm"].requests + 1
    if times > 1:
        assert results["flood"].rejected > 0.3 * results["flood"].requests
        # Its served requests are served in time, and all others are rejected at once.
        assert results["flood"].wait_quantile(0.99) < 105.0


def test_without_bulkheads_the_same_flood_delays_every_service() -> None:
    """Shows that the model can exhibit the failure that the bulkheads prevent."""
    results = Core({"calm": 300.0, "flood": 20_000.0}, 1, fair=False).run(2000.0)
    assert results["calm"].wait_quantile(0.5) > 1000.0


def test_loans_are_returned_within_the_recall_time() -> None:
    """While the flooding service has borrowed all idle amounts, a service becomes active, and is rejected for
    `RECALL_MS` at most."""
    rates = {"flood": 6000.0, "sleeper": 500.0}
    results = Core(rates, 3, since={"sleeper": 1500.0}).run(4000.0)
    assert results["sleeper"].rejected <= 500.0 * RECALL_MS / 1000.0
    assert results["sleeper"].rejected < 0.1 * results["sleeper"].requests
