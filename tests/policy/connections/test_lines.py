"""Order and bytes of one connection: who gets a reply, and how each ends where the line is cut."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.policy.connections.pipelined_connection import CommandPipeline
from glenchute.policy.events import Outcome

SIZES = (7, 1, 40, 13, 5)


def handed(sizes: tuple[int, ...] = SIZES, most: int = 16, most_bytes: int = 1000) -> CommandPipeline[int]:
    """Commands 0, 1, ... of these sizes, as far as one batch goes."""
    line: CommandPipeline[int] = CommandPipeline()
    for number, size in enumerate(sizes):
        line.append(number, b"x" * size)
    line.next_batch(0.0, most, most_bytes)
    return line


@pytest.mark.parametrize("left", range(sum(SIZES) + 1))
def test_a_batch_is_taken_apart_by_offsets(left: int) -> None:
    """At every byte: what had not begun to leave never ran, all else may have."""
    line = handed()
    line.update_sent(sum(SIZES) - left)
    begins = [sum(SIZES[:n]) for n in range(len(SIZES))]
    ended = line.close(line.in_flight[0], Outcome.TIMEOUT)
    assert [row.item for row in ended] == list(range(len(SIZES)))
    for row, begin in zip(ended, begins, strict=True):
        expected = Outcome.TIMEOUT if row.item == 0 else Outcome.RESET
        assert row.outcome is (expected if begin < left else Outcome.UNREACHABLE)
    assert not len(line)


@pytest.mark.parametrize(
    ("most", "most_bytes", "expected"),
    [(16, 1000, 5), (2, 1000, 2), (16, 8, 2), (16, 1, 1), (1, 1, 1), (16, 48, 3)],
)
def test_a_batch_is_bounded(most: int, most_bytes: int, expected: int) -> None:
    """By count and bytes; the first goes however large it is."""
    assert len(handed(most=most, most_bytes=most_bytes).in_flight) == expected


def test_replies_go_by_order_and_one_too_many_is_told() -> None:
    line = handed((3, 3))
    line.update_sent(0)
    for number in (0, 1):
        found = line.match_reply(10.0)
        assert found is not None and found.command.item == number and found.is_trusted
    assert line.match_reply(10.0) is None


def test_a_reply_for_what_has_not_left_is_one_too_many() -> None:
    line = handed((3, 3))
    line.update_sent(2)  # the second is half gone
    assert line.match_reply(1.0) is not None
    assert line.match_reply(1.0) is None
    assert [row.outcome for row in line.close()] == [Outcome.RESET]


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
    line: CommandPipeline[str] = CommandPipeline(network_delay_ms=5.0, settle_ms=30.0)
    line.append("a", b"aa")
    line.next_batch(0.0, 1, 100)
    line.append("b", b"bb")
    line.next_batch(handed_at, 1, 100)
    line.update_sent(0)
    first = line.match_reply(ahead_at)
    assert first is not None and first.is_trusted
    second = line.match_reply(reply_at)
    assert second is not None and second.command.item == "b" and second.is_trusted is trusted


def test_called_off_keeps_its_place() -> None:
    line = handed((3, 3, 3))
    line.update_sent(0)
    line.in_flight[1].is_cancelled = True
    first = line.match_reply(1.0)
    assert first is not None and first.command.item == 0
    assert [(row.item, row.outcome) for row in line.close()] == [(1, Outcome.CANCELLED), (2, Outcome.RESET)]


def test_what_was_handed_over_can_not_be_withdrawn() -> None:
    line = handed((3, 3), most=1)
    assert not line.withdraw(line.in_flight[0])
    waiting = line.pending[0]
    assert line.withdraw(waiting) and not line.withdraw(waiting)


@given(st.lists(st.tuples(st.sampled_from(["put", "batch", "gone", "reply", "withdraw"]),
                          st.integers(0, 60)), max_size=60))  # fmt: skip
@settings(max_examples=300, derandomize=True, deadline=None)
def test_each_command_leaves_the_line_once(steps: list[tuple[str, int]]) -> None:
    """Whatever happens: one ending each, replies in order, nothing told as never sent of which a byte
    left."""
    line: CommandPipeline[int] = CommandPipeline()
    put = buffered = 0
    ended: list[int] = []
    begin: dict[int, tuple[int, int]] = {}
    for what, number in steps:
        if what == "put":
            line.append(put, b"x" * (1 + number))
            put += 1
        elif what == "batch" and not buffered:
            line.next_batch(0.0, 1 + number % 4, 50)
            buffered = line.written_bytes - line.sent_bytes
            begin |= {entry.item: (entry.start_offset, entry.end_offset) for entry in line.in_flight}
        elif what == "gone":
            buffered = max(0, buffered - number)
            line.update_sent(buffered)
        elif what == "reply":
            found = line.match_reply(0.0)
            if found is not None:
                assert begin[found.command.item][1] <= line.sent_bytes
                assert found.command.item not in ended
                ended.append(found.command.item)
        elif line.pending:
            entry = line.pending[number % len(line.pending)]
            assert line.withdraw(entry)
            ended.append(entry.item)
    for row in line.close():
        at = begin.get(row.item, (1 << 60, 1 << 60))[0]
        assert (row.outcome is Outcome.UNREACHABLE) == (at >= line.sent_bytes)
        ended.append(row.item)
    assert sorted(ended) == list(range(put))
