"""Captures of format 1, recorded by an older program, stay readable and replay with equal decisions.

Decisions that a mend has changed since are the exception: `mends` has each of them with what it replaced.
With all of them undone every record replays equal, and each alone differs first where it says so.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from pathlib import Path

import pytest

from glenchute.capture.codec import ACTIONS, EVENTS, decode_event
from glenchute.capture.replay import Segment, find_runs, read_segment, replay
from glenchute.policy.actions import IncrementCounter, SendLimitShares, SendState, SetTimer
from glenchute.policy.events import (
    AdmissionEnded,
    AttemptEnded,
    CounterReply,
    LimitSharesReceived,
    Outcome,
    Request,
    StateReceived,
    TimerFired,
)
from tests.capture.mends import MENDS, FirstDifference, Mend, changes_between, undo_mends

CAPTURES = Path(__file__).resolve().parents[1] / "format_1"
DIGESTS = {
    "mid_life-000001.glcap": "879df120d41c0910419782159cca7cc3fdf12b053a17207d6d0b21d5c6f24899",
    "mid_life-000002.glcap": "473474faa24ee489923ac3469a36bae1d9b2082306e0203d582413ec3e5c6666",
    "whole_run-000000.glcap": "07744d5abf2f2582de8825729a0f48847a7b59f59830eeaaafb83ae5689e681c",
}
RECORD_COUNTS = {"mid_life-000001.glcap": 921, "mid_life-000002.glcap": 559, "whole_run-000000.glcap": 2178}
FILES = [CAPTURES / name for name in DIGESTS]


def segments() -> list[Segment]:
    """Returns the segments of all files."""
    return [read_segment(file) for file in FILES]


def test_the_files_are_as_they_were_recorded() -> None:
    digests = {file.name: hashlib.sha256(file.read_bytes()).hexdigest() for file in CAPTURES.glob("*.glcap")}
    assert digests == DIGESTS
    assert sum(file.stat().st_size for file in CAPTURES.iterdir() if file.is_file()) < 600_000


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.name)
def test_each_file_alone_replays_equal_without_the_mends(file: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    undo_mends(monkeypatch)
    report = replay([file])
    differences = [(d.record_index, d.event, d.captured, d.replayed) for d in report.differences]
    assert not differences and not report.notes and not report.fault_count
    assert report.records == RECORD_COUNTS[file.name]


def test_a_run_without_its_beginning_replays_equal_without_the_mends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    undo_mends(monkeypatch)
    files = find_runs(CAPTURES)["mid_life"]
    report = replay(files)
    assert not report.differences and not report.notes
    assert report.records == sum(RECORD_COUNTS[file.name] for file in files)


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.name)
@pytest.mark.parametrize("mend", MENDS, ids=lambda mend: mend.name)
def test_a_mend_alone_differs_first_where_it_says_so(
    mend: Mend, file: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    undo_mends(monkeypatch, kept=mend)
    report = replay([file])
    assert not report.notes and not report.fault_count
    differences = [
        FirstDifference(d.record_index, repr(d.event), changes_between(d.captured, d.replayed))
        for d in report.differences
    ]
    listed = mend.first_differences.get(file.name)
    assert differences == ([listed] if listed else [])
    if not listed:
        assert report.records == RECORD_COUNTS[file.name]


# Kinds that format 1 never had.
ADDED_LATER = {AdmissionEnded, LimitSharesReceived, SendLimitShares}


def test_every_kind_of_event_and_of_action_is_there() -> None:
    records = [record for segment in segments() for record in segment.records]
    assert {EVENTS[record[1]] for record in records} == set(EVENTS) - ADDED_LATER
    assert {ACTIONS[kind] for record in records for kind, _ in record[3]} == set(ACTIONS) - ADDED_LATER
    events = [decode_event(record) for record in records]
    late_outcomes = {event.outcome for event in events if isinstance(event, CounterReply) and event.is_late}
    assert late_outcomes == {Outcome.OK, Outcome.TIMEOUT, Outcome.REJECTED}
    assert {event.outcome for event in events if isinstance(event, AttemptEnded)} >= {
        Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.TIMEOUT, Outcome.RESET,
    }  # fmt: skip
    received = [quota for event in events if isinstance(event, StateReceived) for quota in event.quotas]
    assert len(received) >= 4
    assert any(quota.window_total_units == float("inf") for quota in received)
    sent = [
        quotas
        for record in records
        for kind, (*_, quotas) in ((k, v) for k, v in record[3] if v)
        if ACTIONS[kind] is SendState
    ]
    assert sent and all(len(quotas) >= 10 for quotas in sent)


def replies_to_earlier_calls(segment: Segment, late: bool) -> int:
    """Returns the number of counter replies to calls that were made before the segment, or, with `late`, of
    late replies to calls that had timed out before it."""
    open_calls: Counter[int] = Counter()
    reply_count = 0
    for record in segment.records:
        event = decode_event(record)
        if isinstance(event, CounterReply):
            if event.is_late is late:
                reply_count += open_calls[event.key] <= 0
                open_calls[event.key] -= open_calls[event.key] > 0
            elif late and event.outcome is Outcome.TIMEOUT:
                open_calls[event.key] += 1
        if not late:
            open_calls.update(values[0] for kind, values in record[3] if ACTIONS[kind] is IncrementCounter)
    return reply_count


def test_later_segments_begin_with_work_in_progress() -> None:
    """Segments hold the ends of attempts, timers and counter calls that started before their snapshots."""
    for segment in segments():
        if segment.header.number == 0:
            assert segment.header.snapshot is None and segment.header.at == 0
            continue
        assert segment.header.snapshot is not None and segment.header.at > 0
        actions = [action for record in segment.records for action in record[3]]
        events = [decode_event(record) for record in segment.records]
        request_ids = {event.request_id for event in events if isinstance(event, Request)}
        tokens = {values[0] for kind, values in actions if ACTIONS[kind] is SetTimer}
        ended = [
            event
            for event in events
            if isinstance(event, AttemptEnded) and event.request_id not in request_ids
        ]
        timers = [event for event in events if isinstance(event, TimerFired) and event.token not in tokens]
        assert len(ended) >= 3 and timers
        assert replies_to_earlier_calls(segment, late=False) and replies_to_earlier_calls(segment, late=True)
