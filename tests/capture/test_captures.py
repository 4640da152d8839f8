"""The captures of past failures: a changed decision fails here, with the first difference."""

from __future__ import annotations

from pathlib import Path

import pytest

from glenchute.capture.replay import find_runs, replay
from tests.captures.scenarios import SCENARIOS

HERE = Path(__file__).resolve().parents[1] / "captures"


@pytest.mark.parametrize("name", [play.__name__ for play in SCENARIOS])
def test_decisions_are_what_they_were(name: str) -> None:
    (files,) = find_runs(HERE / f"{name}-000000.glcap").values()
    report = replay(files)
    assert not report.notes and report.records > 50
    told = [(d.record_index, d.event, d.captured, d.replayed) for d in report.differences]
    assert not told, 'if that is meant: python -m tests.captures --why "..."'


def test_every_capture_has_its_scenario_and_a_reason() -> None:
    names = {path.name.rpartition("-")[0] for path in HERE.glob("*.glcap")}
    assert names == {play.__name__ for play in SCENARIOS}
    assert (HERE / "WHY.md").read_text().startswith("# ")
