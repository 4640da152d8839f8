"""One core, several services, one of which floods: what its neighbours keep, by the real deciders.

The loop is modelled, the deciders are not: each arrival costs a turn (a refusal a small one, which the
flooder pays too), turns go by `Rounds`, open requests by `Ledger`, and how long anything may wait by `Delay`.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

import pytest

from glenchute.policy.services.queue_delay import QueueDelayLimit
from glenchute.policy.services.resource_ledger import Grant, ResourceLedger, ResourceShare
from glenchute.policy.services.round_robin import DeficitRoundRobin

TURN_MS = (0.1, 0.4)  # one request's work
REFUSAL_MS = 0.03
QUANTUM_MS = 0.5
HOLD_MS = 25.0  # a request is open for so long, on average
RECALL_MS = 200.0
OPEN = 120.0


@dataclass
class Tally:
    """What one service got."""

    asked: int = 0
    refused: int = 0
    waits: list[float] = field(default_factory=list)

    def late(self, share: float) -> float:
        ranked = sorted(self.waits)
        return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


@dataclass
class Core:
    """One core. `rates`: arrivals a second by service; `since`: from when a service's clients come."""

    rates: dict[str, float]
    seed: int
    since: dict[str, float] = field(default_factory=dict)
    fair: bool = True  # else first come, first served, and no floors: what the deciders are compared with

    def run(self, ms: float) -> dict[str, Tally]:
        rng = random.Random(self.seed)
        names = list(self.rates)
        floor = OPEN / (len(names) + 1) if self.fair else 0.0
        ledger = ResourceLedger(OPEN, {name: ResourceShare(floor) for name in names}, RECALL_MS)
        rounds = DeficitRoundRobin(dict.fromkeys(names, 1.0), QUANTUM_MS)
        delays = {name: QueueDelayLimit() for name in names}
        tallies = {name: Tally() for name in names}
        queues: dict[str, list[float]] = {name: [] for name in names}
        order = itertools.count()
        events: list[tuple[float, int, str, bool]] = []  # when, order, service, whether it comes or ends
        for name, rate in self.rates.items():
            at = self.since.get(name, 0.0)
            while (at := at + 1000.0 * rng.expovariate(rate)) < ms:
                heapq.heappush(events, (at, next(order), name, True))
        now = 0.0
        first: list[str] = []  # in order of coming, for the unfair core
        while events or any(queues.values()):
            if not any(queues.values()):
                now = max(now, events[0][0])
            while events and events[0][0] <= now:
                at, _, name, comes = heapq.heappop(events)
                if comes:
                    queues[name].append(at)
                    first.append(name)
                    rounds.add_work(name)
                else:
                    ledger.release(name, 1.0)
            if not any(queues.values()):
                continue
            name = (rounds.next() or "") if self.fair else first.pop(0)
            came = queues[name].pop(0)
            tally = tallies[name]
            tally.asked += 1
            shed = self.fair and delays[name].must_reject(now, now - came)
            taken = Grant.DENIED if shed else ledger.acquire(now, name, 1.0)
            served = taken in (Grant.GUARANTEED, Grant.BORROWED)
            cost = rng.uniform(*TURN_MS) if served else REFUSAL_MS
            now += cost
            if served:
                tally.waits.append(now - came)
                heapq.heappush(events, (now + rng.expovariate(1.0 / HOLD_MS), next(order), name, False))
            else:
                tally.refused += 1
                if taken is Grant.RECALLED:
                    ledger.stop_waiting(name)  # its client is told to come back; the recall stands
            if not queues[name]:
                delays[name].note_empty(now)
            if self.fair:
                rounds.charge(name, cost, bool(queues[name]))
            else:
                rounds.has_work.discard(name)
        return tallies


@pytest.mark.parametrize("times", [1, 3, 10])
@pytest.mark.parametrize("seed", range(4))
def test_a_neighbour_keeps_its_pace_under_a_flood(seed: int, times: int) -> None:
    """The calm service's wait grows by no more than the others' quanta and one turn of each a round."""
    calm, share = 300.0, 2000.0
    alone = Core({"calm": calm}, seed).run(4000.0)["calm"]
    tallies = Core({"calm": calm, "flood": times * share, "third": 100.0}, seed).run(4000.0)
    bound = 2.0 * (QUANTUM_MS + TURN_MS[1]) + QUANTUM_MS
    assert tallies["calm"].late(0.99) <= alone.late(0.99) + bound
    assert tallies["calm"].refused <= 0.01 * tallies["calm"].asked + 1
    if times > 1:
        assert tallies["flood"].refused > 0.3 * tallies["flood"].asked
        assert tallies["flood"].late(0.99) < 105.0  # what it is given is given in time, the rest told at once


def test_without_the_bulkheads_the_same_flood_is_everybodys() -> None:
    """The rig can show the harm that it is there to rule out."""
    tallies = Core({"calm": 300.0, "flood": 20_000.0}, 1, fair=False).run(2000.0)
    assert tallies["calm"].late(0.5) > 1000.0


def test_what_was_lent_is_back_within_the_stated_time() -> None:
    """The flooder has borrowed all that was idle; a service wakes up, and is refused for so long at most."""
    rates = {"flood": 6000.0, "sleeper": 500.0}
    tallies = Core(rates, 3, since={"sleeper": 1500.0}).run(4000.0)
    assert tallies["sleeper"].refused <= 500.0 * RECALL_MS / 1000.0
    assert tallies["sleeper"].refused < 0.1 * tallies["sleeper"].asked
