"""Order and bytes of one connection: who gets a reply, and how each ends where the line is cut."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.policy.connections.pipelined_connection import Line
from glenchute.policy.events import Outcome

SIZES = (7, 1, 40, 13, 5)


def handed(sizes: tuple[int, ...] = SIZES, most: int = 16, most_bytes: int = 1000) -> Line[int]:
    """Commands 0, 1, ... of these sizes, as far as one batch goes."""
    line: Line[int] = Line()
    for number, size in enumerate(sizes):
        line.put(number, b"x" * size)
    line.batch(0.0, most, most_bytes)
    return line


@pytest.mark.parametrize("left", range(sum(SIZES) + 1))
def test_a_batch_is_taken_apart_by_offsets(left: int) -> None:
    """At every byte: what had not begun to leave never ran, all else may have."""
    line = handed()
    line.gone(sum(SIZES) - left)
    begins = [sum(SIZES[:n]) for n in range(len(SIZES))]
    ended = line.cut(line.out[0], Outcome.TIMEOUT)
    assert [row.item for row in ended] == list(range(len(SIZES)))
    for row, begin in zip(ended, begins, strict=True):
        expected = Outcome.TIMEOUT if row.item == 0 else Outcome.RESET
        assert row.ending is (expected if begin < left else Outcome.UNREACHABLE)
    assert not len(line)


@pytest.mark.parametrize(
    ("most", "most_bytes", "expected"),
    [(16, 1000, 5), (2, 1000, 2), (16, 8, 2), (16, 1, 1), (1, 1, 1), (16, 48, 3)],
)
def test_a_batch_is_bounded(most: int, most_bytes: int, expected: int) -> None:
    """By count and bytes; the first goes however large it is."""
    assert len(handed(most=most, most_bytes=most_bytes).out) == expected


def test_replies_go_by_order_and_one_too_many_is_told() -> None:
    line = handed((3, 3))
    line.gone(0)
    for number in (0, 1):
        found = line.reply(10.0)
        assert found is not None and found[0].item == number and found[1]
    assert line.reply(10.0) is None


def test_a_reply_for_what_has_not_left_is_one_too_many() -> None:
    line = handed((3, 3))
    line.gone(2)  # the second is half gone
    assert line.reply(1.0) is not None
    assert line.reply(1.0) is None
    assert [row.ending for row in line.cut()] == [Outcome.RESET]


@pytest.mark.parametrize(
    ("handed_at", "ahead_at", "reply_at", "trusted"),
    [
        (0.0, 50.0, 51.0, True),  # it was there long before
        (48.0, 50.0, 51.0, False),  # it was on its way when the one ahead was answered
        (48.0, 50.0, 85.0, True),  # what a node sends too much comes right behind
        (45.5, 50.0, 79.0, False),
        (44.5, 50.0, 51.0, True),
    ],
)
def test_a_reply_that_may_be_anothers(
    handed_at: float, ahead_at: float, reply_at: float, trusted: bool
) -> None:
    line: Line[str] = Line(doubt_ms=5.0, settle_ms=30.0)
    line.put("a", b"aa")
    line.batch(0.0, 1, 100)
    line.put("b", b"bb")
    line.batch(handed_at, 1, 100)
    line.gone(0)
    first = line.reply(ahead_at)
    assert first is not None and first[1]
    second = line.reply(reply_at)
    assert second is not None and second[0].item == "b" and second[1] is trusted


def test_called_off_keeps_its_place() -> None:
    line = handed((3, 3, 3))
    line.gone(0)
    line.out[1].called_off = True
    first = line.reply(1.0)
    assert first is not None and first[0].item == 0
    assert [(row.item, row.ending) for row in line.cut()] == [(1, Outcome.CANCELLED), (2, Outcome.RESET)]


def test_what_was_handed_over_can_not_be_withdrawn() -> None:
    line = handed((3, 3), most=1)
    assert not line.withdraw(line.out[0])
    waiting = line.waiting[0]
    assert line.withdraw(waiting) and not line.withdraw(waiting)


@given(st.lists(st.tuples(st.sampled_from(["put", "batch", "gone", "reply", "withdraw"]),
                          st.integers(0, 60)), max_size=60))  # fmt: skip
@settings(max_examples=300, derandomize=True, deadline=None)
def test_each_command_leaves_the_line_once(steps: list[tuple[str, int]]) -> None:
    """Whatever happens: one ending each, replies in order, nothing told as never sent of which a byte
    left."""
    line: Line[int] = Line()
    put = buffered = 0
    ended: list[int] = []
    begin: dict[int, tuple[int, int]] = {}
    for what, number in steps:
        if what == "put":
            line.put(put, b"x" * (1 + number))
            put += 1
        elif what == "batch" and not buffered:
            line.batch(0.0, 1 + number % 4, 50)
            buffered = line.handed - line.left
            begin |= {entry.item: (entry.begin, entry.end) for entry in line.out}
        elif what == "gone":
            buffered = max(0, buffered - number)
            line.gone(buffered)
        elif what == "reply":
            found = line.reply(0.0)
            if found is not None:
                assert begin[found[0].item][1] <= line.left
                assert found[0].item not in ended
                ended.append(found[0].item)
        elif line.waiting:
            entry = line.waiting[number % len(line.waiting)]
            assert line.withdraw(entry)
            ended.append(entry.item)
    for row in line.cut():
        at = begin.get(row.item, (1 << 60, 1 << 60))[0]
        assert (row.ending is Outcome.UNREACHABLE) == (at >= line.left)
        ended.append(row.item)
    assert sorted(ended) == list(range(put))
