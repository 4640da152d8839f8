"""The memory for values that are buffered whole: it is never exceeded, and nobody is overtaken."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from glenchute.policy.connections.value_buffer_budget import ValueBufferBudget

MAX_BYTES = 10


class ValueBufferBudgetMachine(RuleBasedStateMachine):
    """Values reserve memory, release it in parts and as a whole; checks the contract of the budget."""

    def __init__(self) -> None:
        super().__init__()
        self.budget: ValueBufferBudget[int] = ValueBufferBudget(MAX_BYTES)
        self.last_key = 0
        self.waiting: list[int] = []

    @rule(size=st.integers(1, MAX_BYTES))
    def reserve(self, size: int) -> None:
        self.last_key += 1
        is_first = not self.waiting
        if self.budget.reserve(self.last_key, size):
            assert is_first, "a value that waits was overtaken"
        else:
            self.waiting.append(self.last_key)

    @precondition(lambda self: self.budget.reservations)
    @rule(pick=st.integers(0, 9), size=st.integers(0, MAX_BYTES))
    def release_bytes(self, pick: int, size: int) -> None:
        keys = sorted(self.budget.reservations)
        self.budget.release_bytes(keys[pick % len(keys)], size)
        self.grant()

    @precondition(lambda self: self.last_key)
    @rule(pick=st.integers(1, 50))
    def release(self, pick: int) -> None:
        key = min(pick, self.last_key)
        self.budget.release(key)
        self.waiting = [waiter for waiter in self.waiting if waiter != key]
        self.grant()

    def grant(self) -> None:
        while (key := self.budget.grant_next()) is not None:
            assert key == self.waiting.pop(0)

    @invariant()
    def reservations_are_bounded_and_granted_in_order(self) -> None:
        assert self.budget.reserved_bytes == sum(self.budget.reservations.values()) <= MAX_BYTES
        assert list(self.budget.waiters) == self.waiting
        if self.waiting:
            assert self.budget.reserved_bytes + self.budget.waiters[self.waiting[0]] > MAX_BYTES


ValueBufferBudgetMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestValueBufferBudget = ValueBufferBudgetMachine.TestCase


def test_a_budget_of_nothing_is_refused() -> None:
    with pytest.raises(ValueError, match="at least 1 byte"):
        ValueBufferBudget(0)
