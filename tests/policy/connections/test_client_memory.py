"""Tests of the bound on the memory that is buffered for all clients."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.policy.connections.client_memory import ClientMemory


def test_a_bound_of_zero_is_rejected() -> None:
    with pytest.raises(ValueError, match="memory"):
        ClientMemory(0, 1)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.integers(0, 9), st.integers(0, 200)), max_size=60),
    st.permutations(range(10)),
    st.integers(1, 500),
)
def test_the_remaining_connections_stay_within_the_bound(
    updates: list[tuple[int, int]], blocked: list[int], max_bytes: int
) -> None:
    """The total is the sum of the last updates; no more connections are closed than the bound requires."""
    memory: ClientMemory[int] = ClientMemory(max_bytes, 1)
    last_updates: dict[int, int] = {}
    for key, buffered_bytes in updates:
        memory.update(key, buffered_bytes)
        last_updates[key] = buffered_bytes
        assert memory.total_bytes == sum(last_updates.values())
    victims = memory.choose_victims(blocked)
    assert bool(victims) == memory.is_exhausted
    for key in victims[:-1]:
        memory.remove(key)
    if victims:
        assert memory.is_exhausted
        memory.remove(victims[-1])
    assert memory.total_bytes <= max_bytes
    assert victims == [key for key in blocked if key in victims]


def test_commands_that_are_started_count_with_the_size_of_large_replies() -> None:
    """A large reply raises the expected size at once; it falls with many small ones."""
    memory: ClientMemory[int] = ClientMemory(100_000, 1000)
    for _ in range(50):
        memory.expect_reply()
    assert not memory.is_committed  # 50 replies of 1,000 bytes are half of the bound
    memory.expect_reply()
    assert memory.is_committed and not memory.is_exhausted
    for _ in range(41):
        memory.record_reply(5)
        memory.cancel_expected_reply()
    assert not memory.is_committed
    memory.record_reply(5001)
    assert memory.is_committed
    for _ in range(10):
        memory.cancel_expected_reply()
    assert not memory.is_committed
    memory.update(1, 50_001)
    assert memory.is_committed
