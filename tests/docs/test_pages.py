"""The modules that documentation pages name exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PAGES = sorted([ROOT / "README.md", *(ROOT / "docs").rglob("*.md")])
PACKAGES = ("glenchute", "lab", "benchmarks", "tests")
SPAN = re.compile(r"`([^`\n]+)`")
SOURCE_PATH = re.compile(r"[\w./-]+\.py")
DOTTED = re.compile(rf"(?:{'|'.join(PACKAGES)})(?:\.\w+)+")


def sources_named(text: str) -> set[str]:
    """Returns the source files and modules in the code spans of a page."""
    found: set[str] = set()
    for span in SPAN.findall(text):
        found |= {path for path in SOURCE_PATH.findall(span) if "/" in path}
        found |= {dotted for dotted in DOTTED.findall(span) if not dotted.endswith(".py")}
    return found


def exists(name: str) -> bool:
    """Tells whether a `.py` path exists below the root or `glenchute`, or a dotted name is that of a package,
    a module or something that one mentions."""
    if name.endswith(".py"):
        return any((folder / name).is_file() for folder in (ROOT, ROOT / "glenchute"))
    parts = name.split(".")
    for end in range(len(parts), 1, -1):
        path = ROOT.joinpath(*parts[:end])
        if path.is_dir():
            return end == len(parts) or parts[end] in (path / "__init__.py").read_text()
        if path.with_suffix(".py").is_file():
            rest = parts[end:]
            return not rest or re.search(rf"\b{rest[0]}\b", path.with_suffix(".py").read_text()) is not None
    return False


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_modules_named_on_pages_exist(page: Path) -> None:
    missing = sorted(name for name in sources_named(page.read_text()) if not exists(name))
    assert missing == []


def test_a_module_that_is_not_there_is_found() -> None:
    text = "`policy/engine.py`, `policy/motor.py`, `glenchute.policy.engine.DecisionEngine`, `lab.nowhere.at`"
    assert {name for name in sources_named(text) if not exists(name)} == {"policy/motor.py", "lab.nowhere.at"}
