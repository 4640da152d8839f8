"""Tests of one pipelined connection: reply matching, and the outcomes when it is closed."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.policy.connections.pipelined_connection import CommandPipeline
from glenchute.policy.events import Outcome

SIZES = (7, 1, 40, 13, 5)


def written_pipeline(
    sizes: tuple[int, ...] = SIZES, max_commands: int = 16, max_bytes: int = 1000
) -> CommandPipeline[int]:
    """Returns a pipeline with commands 0, 1, ... of these sizes, written in one batch."""
    pipeline: CommandPipeline[int] = CommandPipeline()
    for number, size in enumerate(sizes):
        pipeline.append(number, b"x" * size)
    pipeline.next_batch(0.0, max_commands, max_bytes)
    return pipeline


@pytest.mark.parametrize("sent_bytes", range(sum(SIZES) + 1))
def test_a_partly_sent_batch_is_resolved_by_offsets(sent_bytes: int) -> None:
    """For every number of sent bytes: a command of which none was sent has not run, all others may have."""
    pipeline = written_pipeline()
    pipeline.update_sent(sum(SIZES) - sent_bytes)
    start_offsets = [sum(SIZES[:n]) for n in range(len(SIZES))]
    outcomes = pipeline.close(pipeline.in_flight[0], Outcome.TIMEOUT)
    assert [row.item for row in outcomes] == list(range(len(SIZES)))
    for row, start_offset in zip(outcomes, start_offsets, strict=True):
        expected = Outcome.TIMEOUT if row.item == 0 else Outcome.RESET
        assert row.outcome is (expected if start_offset < sent_bytes else Outcome.UNREACHABLE)
    assert not len(pipeline)


@pytest.mark.parametrize(
    ("max_commands", "max_bytes", "expected"),
    [(16, 1000, 5), (2, 1000, 2), (16, 8, 2), (16, 1, 1), (1, 1, 1), (16, 48, 3)],
)
def test_a_batch_is_bounded(max_commands: int, max_bytes: int, expected: int) -> None:
    """A batch is bounded by commands and bytes, but its first command is included whatever its size."""
    assert len(written_pipeline(max_commands=max_commands, max_bytes=max_bytes).in_flight) == expected


def test_replies_are_matched_in_order_and_a_surplus_one_is_reported() -> None:
    pipeline = written_pipeline((3, 3))
    pipeline.update_sent(0)
    for number in (0, 1):
        match = pipeline.match_reply(10.0)
        assert match is not None and match.command.item == number and match.is_trusted
    assert pipeline.match_reply(10.0) is None


def test_a_reply_to_a_command_that_was_not_sent_is_surplus() -> None:
    pipeline = written_pipeline((3, 3))
    pipeline.update_sent(2)  # the second command is partially sent
    assert pipeline.match_reply(1.0) is not None
    assert pipeline.match_reply(1.0) is None
    assert [row.outcome for row in pipeline.close()] == [Outcome.RESET]


@pytest.mark.parametrize(
    ("written_at", "ahead_at", "reply_at", "trusted"),
    [
        (0.0, 50.0, 51.0, True),  # the command reached the server long before the reply ahead
        (48.0, 50.0, 51.0, False),  # the command was in transit when the one ahead was answered
        (48.0, 50.0, 85.0, True),  # too late for surplus bytes, which come right behind a reply
        (45.5, 50.0, 79.0, False),
        (44.5, 50.0, 51.0, True),
    ],
)
def test_a_reply_that_may_belong_to_another_command_is_not_trusted(
    written_at: float, ahead_at: float, reply_at: float, trusted: bool
) -> None:
    pipeline: CommandPipeline[str] = CommandPipeline(network_delay_ms=5.0, settle_ms=30.0)
    pipeline.append("a", b"aa")
    pipeline.next_batch(0.0, 1, 100)
    pipeline.append("b", b"bb")
    pipeline.next_batch(written_at, 1, 100)
    pipeline.update_sent(0)
    first = pipeline.match_reply(ahead_at)
    assert first is not None and first.is_trusted
    second = pipeline.match_reply(reply_at)
    assert second is not None and second.command.item == "b" and second.is_trusted is trusted


def test_a_cancelled_command_keeps_its_position() -> None:
    pipeline = written_pipeline((3, 3, 3))
    pipeline.update_sent(0)
    pipeline.in_flight[1].is_cancelled = True
    first = pipeline.match_reply(1.0)
    assert first is not None and first.command.item == 0
    assert [(row.item, row.outcome) for row in pipeline.close()] == [
        (1, Outcome.CANCELLED),
        (2, Outcome.RESET),
    ]


def test_a_written_command_cannot_be_withdrawn() -> None:
    pipeline = written_pipeline((3, 3), max_commands=1)
    assert not pipeline.withdraw(pipeline.in_flight[0])
    pending = pipeline.pending[0]
    assert pipeline.withdraw(pending) and not pipeline.withdraw(pending)


@given(st.lists(st.tuples(st.sampled_from(["append", "batch", "sent", "reply", "withdraw"]),
                          st.integers(0, 60)), max_size=60))  # fmt: skip
@settings(max_examples=300, derandomize=True, deadline=None)
def test_each_command_ends_once(steps: list[tuple[str, int]]) -> None:
    """For any order of events: each command has one outcome, replies are matched to commands that were sent
    completely, and a command ends as unreachable only if none of its bytes was sent."""
    pipeline: CommandPipeline[int] = CommandPipeline()
    appended = buffered = 0
    ended_items: list[int] = []
    offsets: dict[int, tuple[int, int]] = {}
    for event, number in steps:
        if event == "append":
            pipeline.append(appended, b"x" * (1 + number))
            appended += 1
        elif event == "batch" and not buffered:
            pipeline.next_batch(0.0, 1 + number % 4, 50)
            buffered = pipeline.written_bytes - pipeline.sent_bytes
            offsets |= {
                command.item: (command.start_offset, command.end_offset) for command in pipeline.in_flight
            }
        elif event == "sent":
            buffered = max(0, buffered - number)
            pipeline.update_sent(buffered)
        elif event == "reply":
            found = pipeline.match_reply(0.0)
            if found is not None:
                assert offsets[found.command.item][1] <= pipeline.sent_bytes
                assert found.command.item not in ended_items
                ended_items.append(found.command.item)
        elif pipeline.pending:
            command = pipeline.pending[number % len(pipeline.pending)]
            assert pipeline.withdraw(command)
            ended_items.append(command.item)
    for row in pipeline.close():
        start_offset = offsets.get(row.item, (1 << 60, 1 << 60))[0]
        assert (row.outcome is Outcome.UNREACHABLE) == (start_offset >= pipeline.sent_bytes)
        ended_items.append(row.item)
    assert sorted(ended_items) == list(range(appended))
