"""Captures of format 1, recorded by an older program, replay equal: what was recorded once stays readable.

The tests ask nothing of the module but its decisions, so that its inner names may change.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from pathlib import Path

import pytest

from glenchute.capture.codec import ACTIONS, EVENTS, decode_event
from glenchute.capture.replay import Segment, find_runs, read_segment, replay
from glenchute.policy.actions import IncrementCounter, SendState, SetTimer
from glenchute.policy.events import AttemptEnded, CounterReply, Outcome, Request, StateReceived, TimerFired

HERE = Path(__file__).resolve().parents[1] / "format_1"
DIGESTS = {
    "mid_life-000001.glcap": "879df120d41c0910419782159cca7cc3fdf12b053a17207d6d0b21d5c6f24899",
    "mid_life-000002.glcap": "473474faa24ee489923ac3469a36bae1d9b2082306e0203d582413ec3e5c6666",
    "whole_run-000000.glcap": "07744d5abf2f2582de8825729a0f48847a7b59f59830eeaaafb83ae5689e681c",
}
RECORDS = {"mid_life-000001.glcap": 921, "mid_life-000002.glcap": 559, "whole_run-000000.glcap": 2178}
FILES = [HERE / name for name in DIGESTS]


def segments() -> list[Segment]:
    """All files, read."""
    return [read_segment(file) for file in FILES]


def test_the_files_are_as_they_were_recorded() -> None:
    found = {file.name: hashlib.sha256(file.read_bytes()).hexdigest() for file in HERE.glob("*.glcap")}
    assert found == DIGESTS
    assert sum(file.stat().st_size for file in HERE.iterdir() if file.is_file()) < 600_000


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.name)
def test_each_file_alone_replays_equal(file: Path) -> None:
    report = replay([file])
    told = [(d.record_index, d.event, d.captured, d.replayed) for d in report.differences]
    assert not told and not report.notes and not report.fault_count
    assert report.records == RECORDS[file.name]


def test_a_run_without_its_beginning_replays_equal() -> None:
    files = find_runs(HERE)["mid_life"]
    report = replay(files)
    assert not report.differences and not report.notes
    assert report.records == sum(RECORDS[file.name] for file in files)


def test_every_kind_of_event_and_of_action_is_there() -> None:
    records = [record for segment in segments() for record in segment.records]
    assert {record[1] for record in records} == set(range(len(EVENTS)))
    assert {number for record in records for number, _ in record[3]} == set(range(len(ACTIONS)))
    events = [decode_event(record) for record in records]
    late = {event.outcome for event in events if isinstance(event, CounterReply) and event.is_late}
    assert late == {Outcome.OK, Outcome.TIMEOUT, Outcome.REJECTED}
    assert {event.outcome for event in events if isinstance(event, AttemptEnded)} >= {
        Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.TIMEOUT, Outcome.RESET,
    }  # fmt: skip
    taken = [stock for event in events if isinstance(event, StateReceived) for stock in event.quotas]
    assert len(taken) >= 4
    assert any(stock.window_total_units == float("inf") for stock in taken)
    handed = [
        stocks
        for record in records
        for number, (*_, stocks) in ((n, v) for n, v in record[3] if v)
        if ACTIONS[number] is SendState
    ]
    assert handed and all(len(stocks) >= 10 for stocks in handed)


def unasked_replies(segment: Segment, late: bool) -> int:
    """Counter replies to calls of before the segment. `late`: to calls that had timed out before it."""
    open_calls: Counter[int] = Counter()
    found = 0
    for record in segment.records:
        event = decode_event(record)
        if isinstance(event, CounterReply):
            if event.is_late is late:
                found += open_calls[event.key] <= 0
                open_calls[event.key] -= open_calls[event.key] > 0
            elif late and event.outcome is Outcome.TIMEOUT:
                open_calls[event.key] += 1
        if not late:
            open_calls.update(
                values[0] for number, values in record[3] if ACTIONS[number] is IncrementCounter
            )
    return found


def test_the_middle_segments_begin_in_full_work() -> None:
    """What their first events answer was begun before their snapshot."""
    for segment in segments():
        if segment.header.number == 0:
            assert segment.header.snapshot is None and segment.header.at == 0
            continue
        assert segment.header.snapshot is not None and segment.header.at > 0
        told = [action for record in segment.records for action in record[3]]
        events = [decode_event(record) for record in segment.records]
        asked = {event.request_id for event in events if isinstance(event, Request)}
        tokens = {values[0] for number, values in told if ACTIONS[number] is SetTimer}
        ended = [e for e in events if isinstance(e, AttemptEnded) and e.request_id not in asked]
        timers = [e for e in events if isinstance(e, TimerFired) and e.token not in tokens]
        assert len(ended) >= 3 and timers
        assert unasked_replies(segment, late=False) and unasked_replies(segment, late=True)
