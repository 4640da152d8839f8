"""Floors, loans and turns between services: the promises over drawn lives, and by tables."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from glenchute.policy.services.bulkheads import Claim, Delay, Ledger, Rounds, Taken

NAMES = ("a", "b", "c")
RECALL_MS = 100.0


class Loans(RuleBasedStateMachine):
    """Services take and give; borrowers heed recalls just in time. Nobody waits longer for his own."""

    @initialize(floors=st.tuples(*[st.integers(0, 10)] * 3), spare=st.integers(0, 12),
                weights=st.tuples(*[st.sampled_from([0.5, 1.0, 3.0])] * 3))  # fmt: skip
    def begin(self, floors: tuple[int, int, int], spare: int, weights: tuple[float, float, float]) -> None:
        self.claims = {n: Claim(float(f), w) for n, f, w in zip(NAMES, floors, weights, strict=True)}
        self.ledger = Ledger(float(sum(floors) + spare), self.claims, RECALL_MS)
        self.now = 0.0
        self.since: dict[str, float] = {}  # own, asked for and not had, by when it was last asked for

    @rule(name=st.sampled_from(NAMES), amount=st.integers(1, 6))
    def take(self, name: str, amount: int) -> None:
        free, borrowed = self.ledger.free(), self.ledger.borrowed(name)
        wanted = sum(want for other, want in self.ledger.wanted.items() if other != name)
        found = self.ledger.take(self.now, name, float(amount))
        if found is Taken.OWN:
            assert self.ledger.borrowed(name) == borrowed == 0.0 and amount <= free
            if name not in self.ledger.wanted:
                self.since.pop(name, None)
        elif found is Taken.LENT:
            assert amount <= free - wanted, "lent what is called back for another"
        elif found is Taken.RECALLED:
            assert amount > free - wanted
            self.since[name] = self.now  # each ask has its own time; all is there by the last one's
        else:
            assert self.ledger.used[name] + amount > self.claims[name].floor, "refused what is its own"

    @rule(name=st.sampled_from(NAMES), amount=st.integers(1, 8))
    def give(self, name: str, amount: int) -> None:
        self.ledger.give(self.now, name, float(amount))

    @rule(ms=st.sampled_from([1.0, 30.0, 99.0, 150.0]))
    def passes(self, ms: float) -> None:
        """Time passes; who is told to give back does so at the last moment."""
        end = self.now + ms
        while due := [recall for recall in self.ledger.recalls() if recall.by <= end]:
            first = min(due, key=lambda recall: recall.by)
            self.now = max(self.now, first.by)
            self.ledger.give(self.now, first.service, first.amount)
        self.now = end
        for name, since in list(self.since.items()):
            want = self.ledger.wanted.get(name, 0.0)
            if want and self.now > since + RECALL_MS:
                assert self.ledger.take(self.now, name, want) is Taken.OWN, "its own came too late"
                self.since.pop(name, None)

    @invariant()
    def nothing_is_negative_or_above_the_whole(self) -> None:
        if not hasattr(self, "ledger"):
            return
        used = self.ledger.used
        assert min(used.values()) >= 0.0 and sum(used.values()) <= self.ledger.whole + 1e-6
        for recall in self.ledger.recalls():
            assert 0.0 < recall.amount <= self.ledger.borrowed(recall.service) + 1e-6
        for name, want in self.ledger.wanted.items():
            assert 0.0 < want <= self.claims[name].floor - used[name] + 1e-6


Loans.TestCase.settings = settings(max_examples=150, derandomize=True, stateful_step_count=50, deadline=None)
TestLoans = Loans.TestCase


@pytest.mark.parametrize(
    ("whole", "claims"),
    [
        (1.0, {"a": Claim(2.0)}), (4.0, {"a": Claim(2.0), "b": Claim(3.0)}), (4.0, {"a": Claim(-1.0)}),
        (4.0, {"a": Claim(1.0, 0.0)}),
    ],
)  # fmt: skip
def test_claims_that_can_not_be_meant(whole: float, claims: dict[str, Claim]) -> None:
    with pytest.raises(ValueError, match="floor"):
        Ledger(whole, claims, RECALL_MS)


def test_the_surplus_is_shared_by_weight_while_two_are_hungry() -> None:
    ledger = Ledger(40.0, {"a": Claim(0.0, 3.0), "b": Claim(0.0, 1.0)}, RECALL_MS)
    while ledger.take(0.0, "a", 1.0) is Taken.LENT:
        pass
    assert ledger.used["a"] == 40.0 and ledger.take(0.0, "b", 1.0) is Taken.NO
    for _ in range(20):
        ledger.give(1.0, "a", 1.0)  # as its requests end
    taken = {"a": 0, "b": 0}
    for _ in range(40):
        for name in ("a", "b"):
            taken[name] += ledger.take(1.0, name, 1.0) is Taken.LENT
    assert ledger.used == pytest.approx({"a": 30.0, "b": 10.0}, abs=1.0)


def test_a_recall_is_met_from_who_borrowed_most_and_not_lent_again() -> None:
    claims = {"a": Claim(4.0), "b": Claim(2.0), "c": Claim(0.0)}
    ledger = Ledger(8.0, claims, RECALL_MS)
    for name, amount in (("b", 4.0), ("c", 4.0)):
        for _ in range(int(amount)):
            assert ledger.take(0.0, name, 1.0) in (Taken.OWN, Taken.LENT)
    assert ledger.take(10.0, "a", 3.0) is Taken.RECALLED
    assert [(r.service, r.amount, r.by) for r in ledger.recalls()] == [("c", 3.0, 110.0)]
    ledger.give(20.0, "c", 2.0)
    assert ledger.take(20.0, "c", 1.0) is Taken.NO and ledger.take(20.0, "b", 1.0) is Taken.NO
    ledger.give(30.0, "c", 1.0)
    assert ledger.take(30.0, "a", 3.0) is Taken.OWN and not ledger.recalls()
    ledger.forget("a")


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
    rounds, left = Rounds(weights, 2.0), {name: list(rows) for name, rows in costs.items()}
    for name in left:
        rounds.ready(name)
    spent = dict.fromkeys(left, 0.0)
    while all(left.values()):
        turn = rounds.next()
        assert turn is not None
        cost = left[turn].pop()
        spent[turn] += cost
        rounds.spent(turn, cost, bool(left[turn]))
    most = 5.0 + 2.0 * max(weights.values())
    shares = [spent[name] / weights[name] for name in spent]
    for name in spent:
        assert max(shares) - spent[name] / weights[name] <= 2.0 * most / min(weights.values())
    while (last := rounds.next()) is not None:
        cost = left[last].pop()
        rounds.spent(last, cost, bool(left[last]))
    assert not any(left.values()), "somebody with work had no turn"


def test_a_flood_keeps_no_neighbour_waiting_for_more_than_its_quantum() -> None:
    rounds = Rounds({"flood": 1.0, **{f"idle{n}": 1.0 for n in range(199)}, "calm": 1.0}, 1.0)
    rounds.ready("flood")
    for _ in range(1000):
        assert rounds.next() == "flood"
        rounds.spent("flood", 0.3, True)
    rounds.ready("calm")
    before = 0.0
    while rounds.next() != "calm":
        rounds.spent("flood", 0.3, True)
        before += 0.3
    assert before <= 1.3


def test_a_burst_may_wait_and_a_standing_queue_may_not() -> None:
    delay = Delay(5.0, 100.0)
    delay.empty(1000.0)
    table = [(1010.0, 9.0, False), (1099.0, 99.0, False), (1101.0, 4.0, False), (1101.0, 6.0, True),
             (5000.0, 6.0, True)]  # fmt: skip
    for now, waited, refused in table:
        assert delay.refuse(now, waited) is refused, now
    delay.empty(5000.0)
    assert not delay.refuse(5010.0, 9.0) and delay.refuse(5100.0, 101.0)
