"""Accounts of one service: a flood waits for itself, and each entry leaves once."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.policy.services.fair_queue import FairQueue

SEED = b"a seed of the test"


def made(lanes: int = 16, most: int = 100, quantum: float = 1.0) -> FairQueue[str]:
    return FairQueue(lanes, most, quantum, SEED)


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 9), st.floats(0.1, 3.0)), max_size=200),
       st.integers(1, 8), st.integers(1, 20))  # fmt: skip
@settings(max_examples=200, derandomize=True, deadline=None)
def test_each_entry_leaves_once_and_in_order(
    steps: list[tuple[bool, int, float]], lanes: int, most: int
) -> None:
    queue = made(lanes, most)
    put: list[str] = []
    out: list[str] = []
    gone: list[str] = []
    for number, (comes, account, cost) in enumerate(steps):
        if comes:
            item = f"{account}-{number}"
            put.append(item)
            full = queue.size >= most
            dropped = queue.enqueue(0.0, str(account), item, cost)
            assert (dropped is not None) == full, "dropped while there was room"
            if dropped is not None:
                gone.append(dropped)
        elif (entry := queue.dequeue()) is not None:
            out.append(entry.item)
        assert 0 <= queue.size <= most and queue.size == sum(map(len, queue.lanes.values()))
    while (entry := queue.dequeue()) is not None:
        out.append(entry.item)
    assert sorted(put) == sorted(out + gone)
    for account in range(10):
        mine = [int(item.split("-")[1]) for item in out if item.startswith(f"{account}-")]
        assert mine == sorted(mine)


@pytest.mark.parametrize("flood", [10, 50, 400])
def test_a_flooding_account_keeps_nobody_elses_turn(flood: int) -> None:
    """A calm account's entry is out after one turn of each lane that has work, however much another puts
    in."""
    queue = made(most=100)
    calm = next(
        f"calm{n}" for n in range(100) if queue.lane_of(0.0, f"calm{n}") != queue.lane_of(0.0, "flood")
    )
    lost = [queue.enqueue(0.0, "flood", f"f{n}", 1.0) for n in range(flood)]
    assert sum(item is not None for item in lost) == max(0, flood - 100)
    # Where it is full, one of the flood's gives way.
    assert (queue.enqueue(0.0, calm, "calm", 1.0) is None) == (flood < 100)
    turns = [entry.item for entry in (queue.dequeue() for _ in range(3)) if entry is not None]
    assert "calm" in turns


def test_two_accounts_do_not_share_a_lane_for_good() -> None:
    queue = made()
    pair = next(f"x{n}" for n in range(200) if queue.lane_of(0.0, f"x{n}") == queue.lane_of(0.0, "flood"))
    together = [queue.lane_of(10_000.0 * n, pair) == queue.lane_of(10_000.0 * n, "flood") for n in range(200)]
    assert together[0] and sum(together) < 40  # 1 in 16 expected


def test_accounts_are_spread_evenly() -> None:
    queue = made(lanes=16)
    counts = [0] * 16
    for n in range(3200):
        counts[int(queue.lane_of(0.0, f"{n:016x}"))] += 1
    assert max(counts) < 280 and min(counts) > 130
