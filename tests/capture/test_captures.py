"""Replays the captures of past failures: a changed decision fails here and shows the first difference."""

from __future__ import annotations

from pathlib import Path

import pytest

from glenchute.capture.replay import find_runs, read_segment, replay
from tests.captures.__main__ import record
from tests.captures.scenarios import SCENARIOS

CAPTURES = Path(__file__).resolve().parents[1] / "captures"


@pytest.mark.parametrize("name", [play.__name__ for play in SCENARIOS])
def test_a_replay_gives_the_captured_decisions(name: str) -> None:
    (files,) = find_runs(CAPTURES / f"{name}-000000.glcap").values()
    report = replay(files)
    assert not report.notes and report.records > 50
    differences = [(d.record_index, d.event, d.captured, d.replayed) for d in report.differences]
    assert not differences, 'if the change is intended: python -m tests.captures --why "..."'


@pytest.mark.parametrize("seed", range(1, len(SCENARIOS) + 1))
def test_recording_a_scenario_again_gives_the_stored_records(seed: int, tmp_path: Path) -> None:
    """Guards against a recorder that fails or plays another scenario than the one that was stored."""
    play = SCENARIOS[seed - 1]
    recorded_again = tmp_path / "again-000000.glcap"
    recorded_again.write_bytes(record(play.__name__, play, seed))
    stored = read_segment(CAPTURES / f"{play.__name__}-000000.glcap")
    assert read_segment(recorded_again).records == stored.records


def test_every_capture_has_its_scenario_and_a_reason() -> None:
    names = {path.name.rpartition("-")[0] for path in CAPTURES.glob("*.glcap")}
    assert names == {play.__name__ for play in SCENARIOS}
    assert (CAPTURES / "WHY.md").read_text().startswith("# ")
