"""Floors, loans and turns between services: the promises over drawn lives, and by tables."""

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


class Loans(RuleBasedStateMachine):
    """Services take and give; borrowers heed recalls just in time. Nobody waits longer for his own."""

    @initialize(floors=st.tuples(*[st.integers(0, 10)] * 3), spare=st.integers(0, 12),
                weights=st.tuples(*[st.sampled_from([0.5, 1.0, 3.0])] * 3))  # fmt: skip
    def begin(self, floors: tuple[int, int, int], spare: int, weights: tuple[float, float, float]) -> None:
        self.shares = {n: ResourceShare(float(f), w) for n, f, w in zip(NAMES, floors, weights, strict=True)}
        self.ledger = ResourceLedger(float(sum(floors) + spare), self.shares, RECALL_MS)
        self.now = 0.0
        self.since: dict[str, float] = {}  # own, asked for and not had, by when it was last asked for

    @rule(name=st.sampled_from(NAMES), amount=st.integers(1, 6))
    def take(self, name: str, amount: int) -> None:
        free, borrowed = self.ledger.free(), self.ledger.borrowed(name)
        wanted = sum(want for other, want in self.ledger.awaited.items() if other != name)
        found = self.ledger.acquire(self.now, name, float(amount))
        if found is Grant.GUARANTEED:
            assert self.ledger.borrowed(name) == borrowed == 0.0 and amount <= free
            if name not in self.ledger.awaited:
                self.since.pop(name, None)
        elif found is Grant.BORROWED:
            assert amount <= free - wanted, "lent what is called back for another"
        elif found is Grant.RECALLED:
            assert amount > free - wanted
            self.since[name] = self.now  # each ask has its own time; all is there by the last one's
        else:
            assert self.ledger.used[name] + amount > self.shares[name].floor, "refused what is its own"

    @rule(name=st.sampled_from(NAMES), amount=st.integers(1, 8))
    def give(self, name: str, amount: int) -> None:
        self.ledger.release(name, float(amount))

    @rule(ms=st.sampled_from([1.0, 30.0, 99.0, 150.0]))
    def passes(self, ms: float) -> None:
        """Time passes; who is told to give back does so at the last moment."""
        end = self.now + ms
        while due := [recall for recall in self.ledger.recalls() if recall.due_ms <= end]:
            first = min(due, key=lambda recall: recall.due_ms)
            self.now = max(self.now, first.due_ms)
            self.ledger.release(first.service, first.amount)
        self.now = end
        for name, since in list(self.since.items()):
            want = self.ledger.awaited.get(name, 0.0)
            if want and self.now > since + RECALL_MS:
                assert self.ledger.acquire(self.now, name, want) is Grant.GUARANTEED, "its own came too late"
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


Loans.TestCase.settings = settings(max_examples=150, derandomize=True, stateful_step_count=50, deadline=None)
TestLoans = Loans.TestCase


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


def test_the_surplus_is_shared_by_weight_while_two_are_hungry() -> None:
    ledger = ResourceLedger(40.0, {"a": ResourceShare(0.0, 3.0), "b": ResourceShare(0.0, 1.0)}, RECALL_MS)
    while ledger.acquire(0.0, "a", 1.0) is Grant.BORROWED:
        pass
    assert ledger.used["a"] == 40.0 and ledger.acquire(0.0, "b", 1.0) is Grant.DENIED
    for _ in range(20):
        ledger.release("a", 1.0)  # as its requests end
    taken = {"a": 0, "b": 0}
    for _ in range(40):
        for name in ("a", "b"):
            taken[name] += ledger.acquire(1.0, name, 1.0) is Grant.BORROWED
    assert ledger.used == pytest.approx({"a": 30.0, "b": 10.0}, abs=1.0)


def test_a_recall_is_met_from_who_borrowed_most_and_not_lent_again() -> None:
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
    """Until the first runs out of work, each has had what its weight gives it, but for a quantum and a
    turn."""
    rounds, left = DeficitRoundRobin(weights, 2.0), {name: list(rows) for name, rows in costs.items()}
    for name in left:
        rounds.add_work(name)
    spent = dict.fromkeys(left, 0.0)
    while all(left.values()):
        turn = rounds.next()
        assert turn is not None
        cost = left[turn].pop()
        spent[turn] += cost
        rounds.charge(turn, cost, bool(left[turn]))
    most = 5.0 + 2.0 * max(weights.values())
    shares = [spent[name] / weights[name] for name in spent]
    for name in spent:
        assert max(shares) - spent[name] / weights[name] <= 2.0 * most / min(weights.values())
    while (last := rounds.next()) is not None:
        cost = left[last].pop()
        rounds.charge(last, cost, bool(left[last]))
    assert not any(left.values()), "somebody with work had no turn"


def test_a_flood_keeps_no_neighbour_waiting_for_more_than_its_quantum() -> None:
    rounds = DeficitRoundRobin({"flood": 1.0, **{f"idle{n}": 1.0 for n in range(199)}, "calm": 1.0}, 1.0)
    rounds.add_work("flood")
    for _ in range(1000):
        assert rounds.next() == "flood"
        rounds.charge("flood", 0.3, True)
    rounds.add_work("calm")
    before = 0.0
    while rounds.next() != "calm":
        rounds.charge("flood", 0.3, True)
        before += 0.3
    assert before <= 1.3


def test_a_burst_may_wait_and_a_standing_queue_may_not() -> None:
    delay = QueueDelayLimit(5.0, 100.0)
    delay.note_empty(1000.0)
    table = [(1010.0, 9.0, False), (1099.0, 99.0, False), (1101.0, 4.0, False), (1101.0, 6.0, True),
             (5000.0, 6.0, True)]  # fmt: skip
    for now, waited, refused in table:
        assert delay.must_reject(now, waited) is refused, now
    delay.note_empty(5000.0)
    assert not delay.must_reject(5010.0, 9.0) and delay.must_reject(5100.0, 101.0)
