"""Findings: what is wrong with a file, where, and how to mend it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple


class Finding(NamedTuple):
    """One thing wrong. `code` is stable; `line` counts from 1, 0 where the file as a whole is meant. A
    warning does not keep the file from loading."""

    code: str
    line: int
    place: str
    message: str
    warning: bool = False

    def render(self, file: str) -> str:
        """One line for a person."""
        where = f"{file}:{self.line}" if self.line else file
        kind = "warning" if self.warning else "error"
        place = f"{self.place}: " if self.place else ""
        return f"{where}: {kind} {self.code}: {place}{self.message}"

    def record(self) -> dict[str, Any]:
        """The same for a program."""
        return self._asdict()


def ordered(findings: Iterable[Finding]) -> list[Finding]:
    """By line, each once. Findings come nearly in order, and sorting them from there is short."""
    return sorted(dict.fromkeys(findings), key=lambda f: (f.line, f.place, f.code, f.message))


def fatal(findings: Iterable[Finding]) -> bool:
    """Whether the file must not be loaded."""
    return any(not finding.warning for finding in findings)
