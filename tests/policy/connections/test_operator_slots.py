"""Property tests of the connection slots of the operations address."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from glenchute.policy.connections.operator_slots import OperatorSlots


class OperatorSlotsMachine(RuleBasedStateMachine):
    """Connections that open, finish, or stay silent, against a model of the slots."""

    def __init__(self) -> None:
        super().__init__()
        self.slots: OperatorSlots[int] = OperatorSlots(3, 2.0)
        self.now, self.last_connection = 0.0, 0
        self.opened_at: dict[int, float] = {}

    @rule()
    def connects(self) -> None:
        self.last_connection += 1
        evicted = self.slots.add(self.now, self.last_connection)
        self.opened_at[self.last_connection] = self.now
        assert self.last_connection not in evicted
        for connection in evicted:
            assert self.opened_at.pop(connection) <= min(self.opened_at.values()), (
                "the evicted connection is not the oldest"
            )

    @rule()
    def finishes(self) -> None:
        if self.opened_at:
            connection = max(self.opened_at)
            self.slots.remove(connection)
            del self.opened_at[connection]

    @rule(seconds=st.sampled_from([0.1, 0.7, 2.5]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for connection in self.slots.remove_expired(self.now):
            assert self.now - self.opened_at.pop(connection) >= 2.0

    @invariant()
    def bounded(self) -> None:
        assert set(self.slots.opened_at) == set(self.opened_at) and len(self.opened_at) <= 3
        assert all(self.now - at < 2.0 or at == self.now for at in self.opened_at.values())


OperatorSlotsMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=30, deadline=None, derandomize=True
)
TestSlots = OperatorSlotsMachine.TestCase
