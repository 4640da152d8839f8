"""Replay: feeds a capture to an engine and compares each decision with the captured one.

The segments of a run are read in order, one at a time, so memory use does not grow with the run. If a segment
is missing or truncated, the replay continues from the snapshot of the next one, and the gap is noted in the
report.
"""

from __future__ import annotations

import importlib
import importlib.util
import itertools
import sys
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from glenchute.policy import actions, events
from glenchute.policy import settings as policy_settings
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import Event
from glenchute.policy.settings import Settings

from . import format_1, snapshot
from .codec import (
    ACTIONS,
    Record,
    SegmentHeader,
    Truncation,
    decode_event,
    decode_frames,
    decode_header,
    stored_actions,
)
from .errors import CaptureError

FINAL_ACTION_NAMES = {actions.StartAttempt: "send", actions.Reject: "refuse", actions.Fail: "fail"}
ENGINE_NUMBERS = itertools.count()
EngineFactory = Callable[[Settings, int], Any]


class Segment(NamedTuple):
    """The content of one segment file. `truncation`: where its readable part ends, if that is not all of
    it."""

    file: Path
    header: SegmentHeader
    records: list[Record]
    truncation: Truncation | None


class Difference(NamedTuple):
    """A record whose replayed actions differ from the captured ones."""

    record_index: int  # number of records of the run before this one
    now_ms: float
    event: Event
    captured: list[Any]
    replayed: list[Any]


class Report(NamedTuple):
    """The result of a replay."""

    records: int
    differences: list[Difference]
    fault_count: int  # records at which the captured and the replayed engine both raised an exception
    notes: list[str]  # parts of the capture that are missing, damaged or not replayed


def read_segment(file: Path) -> Segment:
    """Reads a segment up to the first damaged frame. Raises `CaptureError` if its header can't be read."""
    payloads = decode_frames(file.read_bytes())
    first = next(payloads, None)
    if first is None or isinstance(first, Truncation):
        raise CaptureError(f"{file.name}: {first.reason if first else 'empty'}")
    header = decode_header(first)
    records: list[Record] = []
    truncation = None
    for payload in payloads:
        if isinstance(payload, Truncation):
            truncation = payload
        elif header.format == format_1.FORMAT:
            records += [format_1.convert_record(row) for row in payload]
        else:
            records += payload
    return Segment(file, header, records, truncation)


def find_runs(path: Path) -> dict[str, list[Path]]:
    """Returns the segment files in a folder, or the one file given, in order and by run, both taken from the
    file names. Raises `CaptureError` if there are none; headers are checked later."""
    files = sorted(path.glob("*.glcap")) if path.is_dir() else [path]
    if not files or not all(file.is_file() for file in files):
        raise CaptureError(f"no capture at {path}")
    runs: dict[str, list[Path]] = {}
    for file in files:
        runs.setdefault(file.name.rpartition("-")[0], []).append(file)
    return runs


def read_segments(files: Sequence[Path], notes: list[str]) -> Iterator[Segment]:
    """Yields the segments of one run. Segments that can't be read are skipped; these and other gaps are added
    to `notes`."""
    expected_index: int | None = None
    for file in files:
        try:
            segment = read_segment(file)
        except CaptureError as error:
            notes.append(str(error))
            continue
        if expected_index is not None and segment.header.at != expected_index:
            notes.append(f"records {expected_index} to {segment.header.at} are missing before {file.name}")
        if segment.truncation is not None:
            notes.append(
                f"{file.name} is readable up to byte {segment.truncation.offset}: {segment.truncation.reason}"
            )
        expected_index = segment.header.at + len(segment.records)
        yield segment


class Replayer:
    """Feeds the segments of one run to an engine, and compares its actions with the captured ones. For the
    parameters see `replay`."""

    def __init__(
        self,
        make_engine: EngineFactory,
        since_ms: float,
        until_ms: float,
        max_differences: int,
        use_snapshots: bool,
        observe: Callable[[Any, Record], None] | None,
    ) -> None:
        self.make_engine, self.since_ms, self.until_ms = make_engine, since_ms, until_ms
        self.max_differences, self.use_snapshots, self.observe = max_differences, use_snapshots, observe
        self.engine: Any = None
        self.report = Report(0, [], 0, [])
        self.next_index = -1  # index in the run of the record that is replayed next

    def begin(self, segment: Segment) -> bool:
        """Brings the engine into the state before a segment; returns False if the capture allows none."""
        header = segment.header
        is_continued = self.engine is not None and self.next_index == header.at
        if header.snapshot is None:
            self.engine = self.make_engine(header.settings, header.seed)
        elif self.use_snapshots and (not is_continued or self.report.fault_count):
            self.engine = snapshot.load(header.snapshot, header.format)
        elif not is_continued:
            note = f"{segment.file.name} begins with a snapshot, which another engine version can't load"
            self.report.notes.append(note)
            return False
        self.next_index = header.at
        return True

    def feed(self, segment: Segment) -> bool:
        """Replays the records of a segment; returns False if the replay has reached its end."""
        for record in segment.records:
            if record[0] > self.until_ms or not self.feed_record(record):
                return False
        return True

    def feed_record(self, record: Record) -> bool:
        """Replays one record; returns False once `max_differences` are found. In a record without actions the
        captured engine raised an exception; one that only the replayed engine raises is passed on."""
        event, report = decode_event(record), self.report
        if self.observe is not None:
            self.observe(self.engine, record)
        self.next_index += 1
        try:
            replayed = stored_actions(self.engine.handle(record[0], event))
        except Exception:
            if record[3] is not None:
                raise
            self.report = report._replace(fault_count=report.fault_count + 1)
            return True
        self.report = report = report._replace(records=report.records + 1)
        if replayed != record[3] and record[0] >= self.since_ms:
            index = self.next_index - 1
            report.differences.append(Difference(index, record[0], event, record[3] or [], replayed))
        return len(report.differences) < self.max_differences


def replay(
    files: Sequence[Path],
    make_engine: EngineFactory = DecisionEngine,
    since_ms: float = 0.0,
    until_ms: float = float("inf"),
    max_differences: int = 1,
    use_snapshots: bool = True,
    observe: Callable[[Any, Record], None] | None = None,
) -> Report:
    """Replays the segments of one run, up to `max_differences` differences.

    Differences before `since_ms` are not reported, and the replay ends at the first record after `until_ms`.
    `use_snapshots` requires an engine of the captured version; without it a run can be replayed only from its
    beginning and up to the first gap. `observe` is called with the engine and the record before each event.
    """
    replayer = Replayer(make_engine, since_ms, until_ms, max_differences, use_snapshots, observe)
    for segment in read_segments(files, replayer.report.notes):
        if not replayer.begin(segment) or not replayer.feed(segment):
            break
    return replayer.report


def load_other_engine(folder: Path) -> EngineFactory:
    """Loads another version of the engine from a folder with the layout of `glenchute/policy`. Raises
    `CaptureError` if it holds no engine."""
    # A new package name for each call: modules that an earlier call loaded must not be reused.
    name = f"other_policy_{next(ENGINE_NUMBERS)}"
    spec = importlib.util.spec_from_file_location(
        name, folder / "__init__.py", submodule_search_locations=[str(folder)]
    )
    if spec is None or spec.loader is None or not (folder / "engine.py").is_file():
        raise CaptureError(f"no decision engine in {folder}")
    package = importlib.util.module_from_spec(spec)
    sys.modules[name] = package
    # The other version is passed this program's events and settings, so it must use the same classes.
    for shared in (actions, events, policy_settings):
        sys.modules[f"{name}.{shared.__name__.rpartition('.')[2]}"] = shared
    spec.loader.exec_module(package)
    engine_class: EngineFactory = importlib.import_module(f"{name}.engine").DecisionEngine
    return engine_class


def summarize(actions: Sequence[list[Any]]) -> str:
    """Returns what actions decide: "send", "refuse", "fail" or "nothing final"."""
    classes = {ACTIONS[kind] for kind, _ in actions}
    return next((name for kind, name in FINAL_ACTION_NAMES.items() if kind in classes), "nothing final")
