"""Floors, loans and turns between services: guarantees over random operations, and tables of cases."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from glenchute.policy.services.queue_delay import QueueDelayLimit
from glenchute.policy.services.resource_ledger import Grant, ResourceLedger, ResourceShare
from glenchute.policy.services.round_robin import DeficitRoundRobin

NAMES = ("a", "b", "c")
RECALL_MS = 100.0


class LedgerMachine(RuleBasedStateMachine):
    """Services acquire and release amounts, and borrowers return recalled ones at the last moment. No service
    waits longer than `RECALL_MS` for its floor."""

    @initialize(floors=st.tuples(*[st.integers(0, 10)] * 3), spare=st.integers(0, 12),
                weights=st.tuples(*[st.sampled_from([0.5, 1.0, 3.0])] * 3))  # fmt: skip
    def begin(self, floors: tuple[int, int, int], spare: int, weights: tuple[float, float, float]) -> None:
        self.shares = {n: ResourceShare(float(f), w) for n, f, w in zip(NAMES, floors, weights, strict=True)}
        self.ledger = ResourceLedger(float(sum(floors) + spare), self.shares, RECALL_MS)
        self.now = 0.0
        self.since: dict[str, float] = {}  # by service that waits for its floor: when it last asked

    @rule(name=st.sampled_from(NAMES), amount=st.integers(1, 6))
    def acquire(self, name: str, amount: int) -> None:
        free, borrowed = self.ledger.free(), self.ledger.borrowed(name)
        awaited_by_others = sum(want for other, want in self.ledger.awaited.items() if other != name)
        found = self.ledger.acquire(self.now, name, float(amount))
        if found is Grant.GUARANTEED:
            assert self.ledger.borrowed(name) == borrowed == 0.0 and amount <= free
            if name not in self.ledger.awaited:
                self.since.pop(name, None)
        elif found is Grant.BORROWED:
            assert amount <= free - awaited_by_others, "lent an amount that was recalled for another service"
        elif found is Grant.RECALLED:
            assert amount > free - awaited_by_others
            self.since[name] = self.now  # the recall time counts from the last request
        else:
            assert self.ledger.used[name] + amount > self.shares[name].floor, "denied an amount in the floor"

    @rule(name=st.sampled_from(NAMES), amount=st.integers(1, 8))
    def release(self, name: str, amount: int) -> None:
        self.ledger.release(name, float(amount))

    @rule(ms=st.sampled_from([1.0, 30.0, 99.0, 150.0]))
    def advance_time(self, ms: float) -> None:
        """Advances the time; borrowers return recalled amounts at the last moment."""
        end = self.now + ms
        while due := [recall for recall in self.ledger.recalls() if recall.due_ms <= end]:
            first = min(due, key=lambda recall: recall.due_ms)
            self.now = max(self.now, first.due_ms)
            self.ledger.release(first.service, first.amount)
        self.now = end
        for name, since in list(self.since.items()):
            want = self.ledger.awaited.get(name, 0.0)
            if want and self.now > since + RECALL_MS:
                assert self.ledger.acquire(self.now, name, want) is Grant.GUARANTEED, (
                    "the floor came too late"
                )
                self.since.pop(name, None)

    @invariant()
    def nothing_is_negative_or_above_the_total(self) -> None:
        if not hasattr(self, "ledger"):
            return
        used = self.ledger.used
        assert min(used.values()) >= 0.0 and sum(used.values()) <= self.ledger.total + 1e-6
        for recall in self.ledger.recalls():
            assert 0.0 < recall.amount <= self.ledger.borrowed(recall.service) + 1e-6
        for name, want in self.ledger.awaited.items():
            assert 0.0 < want <= self.shares[name].floor - used[name] + 1e-6


LedgerMachine.TestCase.settings = settings(
    max_examples=150, derandomize=True, stateful_step_count=50, deadline=None
)
TestLedger = LedgerMachine.TestCase


@pytest.mark.parametrize(
    ("total", "shares"),
    [
        (1.0, {"a": ResourceShare(2.0)}), (4.0, {"a": ResourceShare(2.0), "b": ResourceShare(3.0)}), (4.0,
        {"a": ResourceShare(-1.0)}), (4.0, {"a": ResourceShare(1.0, 0.0)}),
    ],
)  # fmt: skip
def test_invalid_shares_are_rejected(total: float, shares: dict[str, ResourceShare]) -> None:
    with pytest.raises(ValueError, match="floor"):
        ResourceLedger(total, shares, RECALL_MS)


def test_the_surplus_is_shared_by_weight_while_two_services_compete() -> None:
    ledger = ResourceLedger(40.0, {"a": ResourceShare(0.0, 3.0), "b": ResourceShare(0.0, 1.0)}, RECALL_MS)
    while ledger.acquire(0.0, "a", 1.0) is Grant.BORROWED:
        pass
    assert ledger.used["a"] == 40.0 and ledger.acquire(0.0, "b", 1.0) is Grant.DENIED
    for _ in range(20):
        ledger.release("a", 1.0)  # requests of "a" end
    granted = {"a": 0, "b": 0}
    for _ in range(40):
        for name in ("a", "b"):
            granted[name] += ledger.acquire(1.0, name, 1.0) is Grant.BORROWED
    assert ledger.used == pytest.approx({"a": 30.0, "b": 10.0}, abs=1.0)


def test_a_recall_goes_to_the_largest_borrower_and_is_not_lent_again() -> None:
    shares = {"a": ResourceShare(4.0), "b": ResourceShare(2.0), "c": ResourceShare(0.0)}
    ledger = ResourceLedger(8.0, shares, RECALL_MS)
    for name, amount in (("b", 4.0), ("c", 4.0)):
        for _ in range(int(amount)):
            assert ledger.acquire(0.0, name, 1.0) in (Grant.GUARANTEED, Grant.BORROWED)
    assert ledger.acquire(10.0, "a", 3.0) is Grant.RECALLED
    assert [(r.service, r.amount, r.due_ms) for r in ledger.recalls()] == [("c", 3.0, 110.0)]
    ledger.release("c", 2.0)
    assert ledger.acquire(20.0, "c", 1.0) is Grant.DENIED and ledger.acquire(20.0, "b", 1.0) is Grant.DENIED
    ledger.release("c", 1.0)
    assert ledger.acquire(30.0, "a", 3.0) is Grant.GUARANTEED and not ledger.recalls()
    ledger.stop_waiting("a")


@given(
    costs=st.dictionaries(
        st.sampled_from("abcd"), st.lists(st.floats(0.1, 5.0), min_size=1, max_size=60), min_size=1
    ),
    weights=st.fixed_dictionaries(dict.fromkeys("abcd", st.sampled_from([0.5, 1.0, 4.0]))),
)
@settings(max_examples=300, derandomize=True, deadline=None)
def test_turns_follow_the_weights(costs: dict[str, list[float]], weights: dict[str, float]) -> None:
    """Until the first member runs out of work, each has had its weighted share, to within a quantum and a
    turn."""
    rounds, remaining = DeficitRoundRobin(weights, 2.0), {name: list(rows) for name, rows in costs.items()}
    for name in remaining:
        rounds.add_work(name)
    spent = dict.fromkeys(remaining, 0.0)
    while all(remaining.values()):
        turn = rounds.next()
        assert turn is not None
        cost = remaining[turn].pop()
        spent[turn] += cost
        rounds.charge(turn, cost, bool(remaining[turn]))
    max_lag = 5.0 + 2.0 * max(weights.values())
    shares = [spent[name] / weights[name] for name in spent]
    for name in spent:
        assert max(shares) - spent[name] / weights[name] <= 2.0 * max_lag / min(weights.values())
    while (last := rounds.next()) is not None:
        cost = remaining[last].pop()
        rounds.charge(last, cost, bool(remaining[last]))
    assert not any(remaining.values()), "a member with work had no turn"


def test_a_flood_delays_another_member_by_a_quantum_at_most() -> None:
    rounds = DeficitRoundRobin({"flood": 1.0, **{f"idle{n}": 1.0 for n in range(199)}, "calm": 1.0}, 1.0)
    rounds.add_work("flood")
    for _ in range(1000):
        assert rounds.next() == "flood"
        rounds.charge("flood", 0.3, True)
    rounds.add_work("calm")
    delay = 0.0
    while rounds.next() != "calm":
        rounds.charge("flood", 0.3, True)
        delay += 0.3
    assert delay <= 1.3


def test_a_burst_may_wait_and_a_standing_queue_may_not() -> None:
    delay = QueueDelayLimit(5.0, 100.0)
    delay.note_empty(1000.0)
    table = [(1010.0, 9.0, False), (1099.0, 99.0, False), (1101.0, 4.0, False), (1101.0, 6.0, True),
             (5000.0, 6.0, True)]  # fmt: skip
    for now, waited, is_rejected in table:
        assert delay.must_reject(now, waited) is is_rejected, now
    delay.note_empty(5000.0)
    assert not delay.must_reject(5010.0, 9.0) and delay.must_reject(5100.0, 101.0)
