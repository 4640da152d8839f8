"""Each score on the roadmap comes from a run with a finished record in `journal/`."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parents[2]
SCORE = re.compile(r"(?<![\d.])[01]\.\d{3}(?!\d)")
RECORD = re.compile(r"`([0-9a-f]{8})`")
# Largest difference between a score and its three digits on the page, where a half may be rounded up or down.
ROUNDING_ERROR = 0.000501

# By record id: the scores of a run, and why the run does not count, or None if it does.
Records = dict[str, tuple[list[float], str | None]]


def read_records(folder: Path) -> Records:
    """Reads the records of all runs; those of runs that did not finish do not count."""
    found: Records = {}
    for path in sorted(folder.glob("*.json")):
        entry: dict[str, Any] = json.loads(path.read_text())
        figures = entry.get("figures") or {}
        stated = [entry.get("score"), figures.get("real_score"), *(figures.get(k) for k in ("score", "site"))]
        scores = [value for value in stated if isinstance(value, int | float)]
        unfinished = entry.get("error") == "the run did not finish" or not entry["at"][1]
        found[entry["id"]] = scores, "the run did not finish" if unfinished else None
    return found


def score_lines(page: str) -> Iterator[str]:
    """Yields the lines of the roadmap's tables that state scores of benchmark runs."""
    for line in page.splitlines():
        if line.startswith("|") and (re.match(r"\| 20\d\d-", line) or "--panel" in line or "--quick" in line
                                     or "full" in line or RECORD.search(line)):  # fmt: skip
            yield line


def unsupported_claims(page: str, known: Records) -> list[str]:
    """Returns the scores of the page that no finished record supports, and the records it names that are
    missing or unfinished. A line that names records is checked against these records only."""
    errors = []
    for line in score_lines(page):
        named = RECORD.findall(line)
        for name in named:
            if name not in known:
                errors.append(f"{name}: no such record")
            elif reason := known[name][1]:
                errors.append(f"{name}: {reason}")
        candidates = [known[name] for name in named if name in known] if named else list(known.values())
        supported = [score for scores, reason in candidates if reason is None for score in scores]
        errors += [
            f"{score} in {line[:60]!r}"
            for score in SCORE.findall(line)
            if not any(abs(float(score) - recorded) <= ROUNDING_ERROR for recorded in supported)
        ]
    return errors


def test_every_score_on_the_roadmap_is_of_a_finished_run() -> None:
    known = read_records(ROOT / "journal")
    page = (ROOT / "docs/ROADMAP.md").read_text()
    assert sum(len(SCORE.findall(line)) for line in score_lines(page)) > 100, (
        "the page's tables are not found"
    )
    assert unsupported_claims(page, known) == []


KNOWN: Records = {"0000aaaa": ([0.5525], None), "0000bbbb": ([], "the run did not finish"),
                  "0000cccc": ([0.411], None)}  # fmt: skip


@pytest.mark.parametrize(
    ("line", "faults"),
    [
        ("| 2026-12-02 | full | 0.552 |", 0),
        ("| 2026-12-02 | full | 0.553 |", 0),  # 0.5525 rounds to both
        ("| 2026-12-02 | full | 0.554 |", 1),
        ("| zagreb `--quick` | 0.411, passed | 0.412, passed |", 1),
        ("| brink | `0000aaaa` 0.552 | `0000cccc` 0.411 |", 0),
        ("| brink | `0000aaaa` 0.411 |", 1),  # another run's score
        ("| brink | `0000bbbb` not shown |", 1),
        ("| brink | `0000dddd` 0.552 |", 2),
        ("| day, score | herd 0.59 |", 0),  # scores of single days have two digits and are not checked
        ("a sentence with 0.999 of something", 0),
    ],
)
def test_claims_are_held_to_records(line: str, faults: int) -> None:
    assert len(unsupported_claims(line, KNOWN)) == faults


def test_a_record_of_an_unfinished_run_proves_nothing(tmp_path: Path) -> None:
    whole = {"id": "0000aaaa", "at": ["a", "b"], "error": None, "score": None,
             "figures": {"real_score": 0.4}}  # fmt: skip
    cut = {"id": "0000bbbb", "at": ["a", ""], "error": "the run did not finish", "score": 0.7, "figures": {}}
    for entry in (whole, cut):
        (tmp_path / f"{entry['id']}.json").write_text(json.dumps(entry))
    known = read_records(tmp_path)
    assert unsupported_claims("| 2026-12-02 | full | 0.400 |", known) == []
    assert unsupported_claims("| 2026-12-02 | full | 0.700 |", known) != []
