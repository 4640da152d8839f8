"""Findings: errors and warnings in a file, with their location and the fix."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple


class Finding(NamedTuple):
    """One error or warning. `code` is stable; `line` counts from 1, and is 0 for the file as a whole. A file
    with warnings only can be loaded."""

    code: str
    line: int
    location: str
    message: str
    is_warning: bool = False

    def render(self, file: str) -> str:
        """Formats the finding as one line of text."""
        where = f"{file}:{self.line}" if self.line else file
        kind = "warning" if self.is_warning else "error"
        place = f"{self.location}: " if self.location else ""
        return f"{where}: {kind} {self.code}: {place}{self.message}"

    def record(self) -> dict[str, Any]:
        """Returns the finding as an object, as `glenchute check --json` prints it."""
        return {
            "code": self.code,
            "line": self.line,
            "place": self.location,
            "message": self.message,
            "warning": self.is_warning,
        }


def sort_findings(findings: Iterable[Finding]) -> list[Finding]:
    """Sorts findings by line and drops duplicates. The input is nearly sorted, which makes sorting cheap."""
    return sorted(dict.fromkeys(findings), key=lambda f: (f.line, f.location, f.code, f.message))


def has_errors(findings: Iterable[Finding]) -> bool:
    """Returns whether any finding prevents loading the file."""
    return any(not finding.is_warning for finding in findings)
