"""Tests of the bound on the memory that is buffered for all clients."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.policy.connections.client_memory import ClientMemory


def test_a_bound_of_zero_is_rejected() -> None:
    with pytest.raises(ValueError, match="memory"):
        ClientMemory(0)


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
    memory: ClientMemory[int] = ClientMemory(max_bytes)
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
