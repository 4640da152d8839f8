"""Replay: a capture through a module, each decision compared.

Segments of one run are read in order. Where one is missing or cut short, the next goes on from its
snapshot, and what lies between is told as not sure. Memory is that of one segment, however long the run.
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

FINAL_ACTIONS = {actions.StartAttempt: "send", actions.Reject: "refuse", actions.Fail: "fail"}
OTHER_ENGINES = itertools.count()
EngineFactory = Callable[[Settings, int], Any]


class Segment(NamedTuple):
    """One file, read. `cut`: why its end is not sure."""

    file: Path
    header: SegmentHeader
    records: list[Record]
    truncation: Truncation | None


class Difference(NamedTuple):
    """A decision that came out otherwise."""

    record_index: int  # records of the run before it
    now_ms: float
    event: Event
    captured: list[Any]
    replayed: list[Any]


class Report(NamedTuple):
    """What came of a replay."""

    records: int
    differences: list[Difference]
    fault_count: int  # records at which the engine had failed, and failed again
    notes: list[str]  # what is not sure


def read_segment(file: Path) -> Segment:
    """A segment, as far as it is intact. CaptureError where not even its header is."""
    found = decode_frames(file.read_bytes())
    first = next(found, None)
    if first is None or isinstance(first, Truncation):
        raise CaptureError(f"{file.name}: {first.reason if first else 'empty'}")
    header = decode_header(first)
    records: list[Record] = []
    truncation = None
    for payload in found:
        if isinstance(payload, Truncation):
            truncation = payload
        elif header.format == format_1.FORMAT:
            records += [format_1.record(row) for row in payload]
        else:
            records += payload
    return Segment(file, header, records, truncation)


def find_runs(path: Path) -> dict[str, list[Path]]:
    """The segments in a file or a folder, by run and in order. File names tell both; headers are checked
    later."""
    files = sorted(path.glob("*.glcap")) if path.is_dir() else [path]
    if not files or not all(file.is_file() for file in files):
        raise CaptureError(f"no capture at {path}")
    found: dict[str, list[Path]] = {}
    for file in files:
        found.setdefault(file.name.rpartition("-")[0], []).append(file)
    return found


def read_segments(files: Sequence[Path], notes: list[str]) -> Iterator[Segment]:
    """The segments of one run, one at a time; what can't be read is noted and left out."""
    expected: int | None = None
    for file in files:
        try:
            segment = read_segment(file)
        except CaptureError as error:
            notes.append(str(error))
            continue
        if expected is not None and segment.header.at != expected:
            notes.append(f"records {expected} to {segment.header.at} are missing before {file.name}")
        if segment.truncation is not None:
            notes.append(
                f"{file.name} is sure up to byte {segment.truncation.offset}: {segment.truncation.reason}"
            )
        expected = segment.header.at + len(segment.records)
        yield segment


class Replayer:
    """Feeds the segments of one run to an engine, and compares its actions with the captured ones."""

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
        self.next_index = -1  # of the record that follows, counted from the run's beginning

    def begin(self, segment: Segment) -> bool:
        """An engine in the state before a segment; False where there is none."""
        header = segment.header
        is_continued = self.engine is not None and self.next_index == header.at
        if header.snapshot is None:
            self.engine = self.make_engine(header.settings, header.seed)
        elif self.use_snapshots and (not is_continued or self.report.fault_count):
            self.engine = snapshot.load(header.snapshot, header.format)
        elif not is_continued:
            note = f"{segment.file.name} begins mid-life and can't be replayed by another version"
            self.report.notes.append(note)
            return False
        self.next_index = header.at
        return True

    def feed(self, segment: Segment) -> bool:
        """The records of a segment; False where the replay is over."""
        for record in segment.records:
            if record[0] > self.until_ms or not self.feed_record(record):
                return False
        return True

    def feed_record(self, record: Record) -> bool:
        """One event; False after the last difference that is wanted. A record without actions is one at which
        the captured engine failed."""
        event, report = decode_event(record), self.report
        if self.observe is not None:
            self.observe(self.engine, record)
        self.next_index += 1
        try:
            found = stored_actions(self.engine.handle(record[0], event))
        except Exception:
            if record[3] is not None:
                raise
            self.report = report._replace(fault_count=report.fault_count + 1)
            return True
        self.report = report = report._replace(records=report.records + 1)
        if found != record[3] and record[0] >= self.since_ms:
            index = self.next_index - 1
            report.differences.append(Difference(index, record[0], event, record[3] or [], found))
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

    `use_snapshots`: the engine is of the version that was captured; else only a run's beginning can be
    replayed. `observe` is called with the engine and the record before each event.
    """
    replayer = Replayer(make_engine, since_ms, until_ms, max_differences, use_snapshots, observe)
    for segment in read_segments(files, replayer.report.notes):
        if not replayer.begin(segment) or not replayer.feed(segment):
            break
    return replayer.report


def load_other_engine(folder: Path) -> EngineFactory:
    """The engine of another tree: a folder like `glenchute/policy`."""
    name = f"other_policy_{next(OTHER_ENGINES)}"  # never one that was loaded before from the same place
    spec = importlib.util.spec_from_file_location(
        name, folder / "__init__.py", submodule_search_locations=[str(folder)]
    )
    if spec is None or spec.loader is None or not (folder / "engine.py").is_file():
        raise CaptureError(f"no decision module in {folder}")
    package = importlib.util.module_from_spec(spec)
    sys.modules[name] = package
    # The other version must know this program's events: they are what it gets.
    for shared in (actions, events, policy_settings):
        sys.modules[f"{name}.{shared.__name__.rpartition('.')[2]}"] = shared
    spec.loader.exec_module(package)
    made: EngineFactory = importlib.import_module(f"{name}.engine").DecisionEngine
    return made


def summarize(actions: Sequence[list[Any]]) -> str:
    """What actions decide, in a word: `send`, `refuse`, `fail`, or nothing final."""
    found = {ACTIONS[number] for number, _ in actions}
    return next((word for kind, word in FINAL_ACTIONS.items() if kind in found), "nothing final")
