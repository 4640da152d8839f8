"""Reads the text of the operator's file, up to a size limit, and parses it as TOML.

A running gateway reads its file again in a background thread. `yield_processor` is called between parts of
the work, so that the event loop can run.
"""

from __future__ import annotations

import os
import re
import stat
import tomllib
from collections.abc import Callable
from itertools import pairwise
from typing import Any

from .findings import Finding, sort_findings
from .schema import Path, format_path

MAX_BYTES = 1024 * 1024
ROUTE_HEADER = r"^\[\[route\]\]"


class FindingCollector:
    """Collects findings by path. Lines are looked up at the end, and only if there are findings."""

    def __init__(self, yield_processor: Callable[[], None] | None = None) -> None:
        self.rows: list[tuple[str, Path, str, bool]] = []
        self.yield_processor = yield_processor or do_not_yield

    def __call__(self, code: str, path: Path, message: str, warning: bool = False) -> None:
        """Adds a finding."""
        self.rows.append((code, path, message, warning))

    def findings(self, text: str) -> list[Finding]:
        """Returns the findings in the order of the lines of the text."""
        if not self.rows:
            return []
        from .locate import line_numbers, line_of  # imported only if there are findings

        lines = line_numbers(text)
        found: list[Finding] = []
        for code, path, message, warning in self.rows:
            found.append(Finding(code, line_of(path, lines), format_path(path), message, warning))
            self.yield_processor()
        found = sort_findings(found)
        while lines:  # freed entry by entry, as in `free_entries`
            lines.popitem()
        return found


def do_not_yield() -> None:
    """Replaces `yield_processor` where no event loop waits for the processor."""


def read_text(path: str) -> str | Finding:
    """Returns the text of the file, or a finding. The read is limited in size, and a pipe or a device is not
    opened, as that might block for ever."""
    try:
        status = os.stat(path)
        if stat.S_ISDIR(status.st_mode):
            return Finding("is-directory", 0, "", "is a directory; name a file")
        if not stat.S_ISREG(status.st_mode):
            return Finding("not-a-file", 0, "", "is not a regular file; name one")
        with open(path, "rb") as file:
            raw = file.read(MAX_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return Finding("unreadable", 0, "", f"can't be read ({reason}); check path and permissions")
    if len(raw) > MAX_BYTES:
        return Finding("too-large", 0, "", f"has more than {MAX_BYTES} bytes; split or shorten it")
    try:
        return raw.decode("utf-8")
    except UnicodeDecodeError as error:
        line = raw.count(b"\n", 0, error.start) + 1
        return Finding("not-utf8", line, "", "holds bytes that are not UTF-8; save it as UTF-8")


def parse_toml(text: str, yield_processor: Callable[[], None] | None) -> dict[str, Any] | Finding:
    """Returns the tables of the text, or a finding if it is not valid TOML."""
    try:
        by_route = load_by_route(text, yield_processor) if yield_processor is not None else None
        return by_route or tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        stated = re.search(r"at line (\d+)", str(error))
        line = int(stated[1]) if stated else text.count("\n") + 1
        return Finding("not-toml", line, "", f"is not TOML: {error}")


def load_by_route(text: str, yield_processor: Callable[[], None]) -> dict[str, Any] | None:
    """Parses a text route by route, with the same result as tomllib; None if it has to be parsed as a whole.

    A line that looks like a route's header may be part of a string, and a table may span two parts. A part is
    then invalid TOML or repeats a key. The caller parses the whole text instead, which also gives the right
    line in errors."""
    starts = [found.start() for found in re.finditer(ROUTE_HEADER, text, re.MULTILINE)]
    rows: list[Any] = []
    try:
        tables = tomllib.loads(text[: starts[0]] if starts else text)
        for begin, end in pairwise([*starts, len(text)]):
            if "route" in tables:
                return None
            part = tomllib.loads(text[begin:end])
            rows += part.pop("route")
            if part.keys() & tables.keys():
                return None
            tables.update(part)
            yield_processor()
    except (tomllib.TOMLDecodeError, RecursionError):
        return None
    return {**tables, "route": rows} if rows else tables


def free_entries(rows: object) -> None:
    """Empties a list entry by entry. Freeing thousands of tables at once takes milliseconds, during which no
    other thread runs."""
    while isinstance(rows, list) and rows:
        rows.pop()
