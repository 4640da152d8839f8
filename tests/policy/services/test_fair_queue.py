"""Fair queue between the tenants of one service: a flood delays only itself, and each item leaves once."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.policy.services.fair_queue import FairQueue

SEED = b"a seed of the test"


def make_queue(lanes: int = 16, max_items: int = 100, quantum: float = 1.0) -> FairQueue[str]:
    return FairQueue(lanes, max_items, quantum, SEED)


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 9), st.floats(0.1, 3.0)), max_size=200),
       st.integers(1, 8), st.integers(1, 20))  # fmt: skip
@settings(max_examples=200, derandomize=True, deadline=None)
def test_each_item_leaves_once_and_in_order(
    steps: list[tuple[bool, int, float]], lanes: int, max_items: int
) -> None:
    queue = make_queue(lanes, max_items)
    enqueued: list[str] = []
    dequeued: list[str] = []
    dropped_items: list[str] = []
    for number, (arrives, account, cost) in enumerate(steps):
        if arrives:
            item = f"{account}-{number}"
            enqueued.append(item)
            full = queue.size >= max_items
            dropped = queue.enqueue(0.0, str(account), item, cost)
            assert (dropped is not None) == full, "dropped while there was room"
            if dropped is not None:
                dropped_items.append(dropped)
        elif (entry := queue.dequeue()) is not None:
            dequeued.append(entry.item)
        assert 0 <= queue.size <= max_items and queue.size == sum(map(len, queue.lanes.values()))
    while (entry := queue.dequeue()) is not None:
        dequeued.append(entry.item)
    assert sorted(enqueued) == sorted(dequeued + dropped_items)
    for account in range(10):
        numbers = [int(item.split("-")[1]) for item in dequeued if item.startswith(f"{account}-")]
        assert numbers == sorted(numbers)


@pytest.mark.parametrize("flood", [10, 50, 400])
def test_a_flooding_tenant_does_not_delay_others(flood: int) -> None:
    """A calm tenant's item is dequeued within one round of the lanes with work, however many items another
    tenant enqueues."""
    queue = make_queue(max_items=100)
    calm_tenant = next(
        f"calm{n}" for n in range(100) if queue.lane_of(0.0, f"calm{n}") != queue.lane_of(0.0, "flood")
    )
    dropped = [queue.enqueue(0.0, "flood", f"f{n}", 1.0) for n in range(flood)]
    assert sum(item is not None for item in dropped) == max(0, flood - 100)
    # If the queue is full, the calm tenant's item is kept and one of the flood is dropped.
    assert (queue.enqueue(0.0, calm_tenant, "calm", 1.0) is None) == (flood < 100)
    dequeued = [entry.item for entry in (queue.dequeue() for _ in range(3)) if entry is not None]
    assert "calm" in dequeued


def test_two_tenants_do_not_share_a_lane_permanently() -> None:
    queue = make_queue()
    other_tenant = next(
        f"x{n}" for n in range(200) if queue.lane_of(0.0, f"x{n}") == queue.lane_of(0.0, "flood")
    )
    is_shared = [
        queue.lane_of(10_000.0 * n, other_tenant) == queue.lane_of(10_000.0 * n, "flood") for n in range(200)
    ]
    assert is_shared[0] and sum(is_shared) < 40  # 1 in 16 is expected


def test_tenants_are_spread_evenly() -> None:
    queue = make_queue(lanes=16)
    counts = [0] * 16
    for n in range(3200):
        counts[int(queue.lane_of(0.0, f"{n:016x}"))] += 1
    assert max(counts) < 280 and min(counts) > 130
