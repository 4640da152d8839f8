"""Findings: what is wrong with a file, where, and how to mend it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple


class Finding(NamedTuple):
    """One thing wrong. `code` is stable; `line` counts from 1, 0 where the file as a whole is meant. A
    warning does not keep the file from loading."""

    code: str
    line: int
    location: str
    message: str
    is_warning: bool = False

    def render(self, file: str) -> str:
        """One line for a person."""
        where = f"{file}:{self.line}" if self.line else file
        kind = "warning" if self.is_warning else "error"
        place = f"{self.location}: " if self.location else ""
        return f"{where}: {kind} {self.code}: {place}{self.message}"

    def record(self) -> dict[str, Any]:
        """The same for a program; the keys are what `glenchute check --json` prints."""
        return {
            "code": self.code,
            "line": self.line,
            "place": self.location,
            "message": self.message,
            "warning": self.is_warning,
        }


def sort_findings(findings: Iterable[Finding]) -> list[Finding]:
    """By line, each once. Findings come nearly in order, and sorting them from there is short."""
    return sorted(dict.fromkeys(findings), key=lambda f: (f.line, f.location, f.code, f.message))


def has_errors(findings: Iterable[Finding]) -> bool:
    """Whether the file must not be loaded."""
    return any(not finding.is_warning for finding in findings)
