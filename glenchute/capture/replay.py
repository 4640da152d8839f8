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
from .codec import ACTIONS, Cut, Head, Record, event_of, head_of, payloads, told
from .errors import CaptureError

FINAL_KINDS = {actions.StartAttempt: "send", actions.Reject: "refuse", actions.Fail: "fail"}
OTHERS = itertools.count()
Make = Callable[[Settings, int], Any]


class Segment(NamedTuple):
    """One file, read. `cut`: why its end is not sure."""

    file: Path
    head: Head
    records: list[Record]
    cut: Cut | None


class Difference(NamedTuple):
    """A decision that came out otherwise."""

    at: int  # records of the run before it
    now_ms: float
    event: Event
    captured: list[Any]
    replayed: list[Any]


class Report(NamedTuple):
    """What came of a replay."""

    records: int
    differences: list[Difference]
    faults: int  # records at which the module had failed, and failed again
    notes: list[str]  # what is not sure


def read(file: Path) -> Segment:
    """A segment, as far as it is sure. CaptureError where not even its head is."""
    found = payloads(file.read_bytes())
    first = next(found, None)
    if first is None or isinstance(first, Cut):
        raise CaptureError(f"{file.name}: {first.why if first else 'empty'}")
    head = head_of(first)
    records: list[Record] = []
    cut = None
    for payload in found:
        if isinstance(payload, Cut):
            cut = payload
        elif head.format == format_1.FORMAT:
            records += [format_1.record(row) for row in payload]
        else:
            records += payload
    return Segment(file, head, records, cut)


def runs(path: Path) -> dict[str, list[Path]]:
    """The segments in a file or a folder, by run and in order. Names tell both; heads are checked later."""
    files = sorted(path.glob("*.glcap")) if path.is_dir() else [path]
    if not files or not all(file.is_file() for file in files):
        raise CaptureError(f"no capture at {path}")
    found: dict[str, list[Path]] = {}
    for file in files:
        found.setdefault(file.name.rpartition("-")[0], []).append(file)
    return found


def segments(files: Sequence[Path], notes: list[str]) -> Iterator[Segment]:
    """One run's, one at a time; what can't be read is noted and left out."""
    expected: int | None = None
    for file in files:
        try:
            segment = read(file)
        except CaptureError as error:
            notes.append(str(error))
            continue
        if expected is not None and segment.head.at != expected:
            notes.append(f"records {expected} to {segment.head.at} are missing before {file.name}")
        if segment.cut is not None:
            notes.append(f"{file.name} is sure up to byte {segment.cut.offset}: {segment.cut.why}")
        expected = segment.head.at + len(segment.records)
        yield segment


def replay(
    files: Sequence[Path],
    make: Make = DecisionEngine,
    since_ms: float = 0.0,
    until_ms: float = float("inf"),
    most: int = 1,
    revived: bool = True,
    seen: Callable[[Any, Record], None] | None = None,
) -> Report:
    """Feeds a module and compares. Ends after `most` differences. `revived`: snapshots are used, as the
    module is of the version that was captured; else only a run's cold beginning can be replayed. `seen` is
    called with the module's state before each event."""
    notes: list[str] = []
    differences: list[Difference] = []
    module: Any = None
    fed = faults = 0
    expected = -1
    for segment in segments(files, notes):
        head = segment.head
        if head.snapshot is None:
            module = make(head.settings, head.seed)
        elif revived and (module is None or expected != head.at or faults):
            module = snapshot.load(head.snapshot, head.format)
        elif module is None or expected != head.at:
            notes.append(f"{segment.file.name} begins mid-life and can't be replayed by another version")
            return Report(fed, differences, faults, notes)
        expected = head.at
        for record in segment.records:
            if record[0] > until_ms:
                return Report(fed, differences, faults, notes)
            event = event_of(record)
            if seen is not None:
                seen(module, record)
            try:
                actions = told(module.handle(record[0], event))
            except Exception:
                if record[3] is not None:
                    raise
                faults += 1
                expected += 1
                continue
            fed += 1
            if actions != record[3] and record[0] >= since_ms:
                differences.append(Difference(expected, record[0], event, record[3] or [], actions))
                if len(differences) >= most:
                    return Report(fed, differences, faults, notes)
            expected += 1
    return Report(fed, differences, faults, notes)


def other_module(folder: Path) -> Make:
    """The module of another tree: a folder like `glenchute/policy`."""
    name = f"other_policy_{next(OTHERS)}"  # never one that was loaded before from the same place
    spec = importlib.util.spec_from_file_location(
        name, folder / "__init__.py", submodule_search_locations=[str(folder)]
    )
    if spec is None or spec.loader is None or not (folder / "engine.py").is_file():
        raise CaptureError(f"no decision module in {folder}")
    package = importlib.util.module_from_spec(spec)
    sys.modules[name] = package
    # The other version must know this program's events: they are what it is told.
    for shared in (actions, events, policy_settings):
        sys.modules[f"{name}.{shared.__name__.rpartition('.')[2]}"] = shared
    spec.loader.exec_module(package)
    made: Make = importlib.import_module(f"{name}.engine").DecisionEngine
    return made


def kinds(actions: Sequence[list[Any]]) -> str:
    """What actions decide, in a word: `send`, `refuse`, `fail`, or what else."""
    found = {ACTIONS[number] for number, _ in actions}
    return next((word for kind, word in FINAL_KINDS.items() if kind in found), "nothing final")
