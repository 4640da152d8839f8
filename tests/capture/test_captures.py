"""The captures of past failures: a changed decision fails here, with the first difference."""

from __future__ import annotations

from pathlib import Path

import pytest

from glenchute.capture.replay import find_runs, read_segment, replay
from tests.captures.__main__ import record
from tests.captures.scenarios import SCENARIOS

HERE = Path(__file__).resolve().parents[1] / "captures"


@pytest.mark.parametrize("name", [play.__name__ for play in SCENARIOS])
def test_decisions_are_what_they_were(name: str) -> None:
    (files,) = find_runs(HERE / f"{name}-000000.glcap").values()
    report = replay(files)
    assert not report.notes and report.records > 50
    told = [(d.record_index, d.event, d.captured, d.replayed) for d in report.differences]
    assert not told, 'if that is meant: python -m tests.captures --why "..."'


@pytest.mark.parametrize("seed", range(1, len(SCENARIOS) + 1))
def test_the_recorder_makes_the_capture_again(seed: int, tmp_path: Path) -> None:
    """Guards against a recorder that no longer runs, or plays another scenario than the one kept."""
    play = SCENARIOS[seed - 1]
    again = tmp_path / "again-000000.glcap"
    again.write_bytes(record(play.__name__, play, seed))
    kept = read_segment(HERE / f"{play.__name__}-000000.glcap")
    assert read_segment(again).records == kept.records


def test_every_capture_has_its_scenario_and_a_reason() -> None:
    names = {path.name.rpartition("-")[0] for path in HERE.glob("*.glcap")}
    assert names == {play.__name__ for play in SCENARIOS}
    assert (HERE / "WHY.md").read_text().startswith("# ")
