"""Finds the lines of the keys of a TOML file, for findings. tomllib reports no positions, and a parser that
does makes the start ten times as long, so the lines are looked up here, and only if there is a finding.

tomllib has parsed the text already, so this scanner only has to handle valid TOML 1.0.
"""

from __future__ import annotations

import re

from .schema import Path

KEY = re.compile(r"""\s*(?:([A-Za-z0-9_-]+)|"((?:[^"\\]|\\.)*)"|'([^']*)')\s*""")
OPENING, CLOSING = "[{", "]}"


def parse_dotted_key(text: str, at: int) -> tuple[list[str], int]:
    """Returns the parts of the dotted key that begins at `at`, and the position after it."""
    parts = []
    while (found := KEY.match(text, at)) is not None:
        parts.append(next(group for group in found.groups() if group is not None))
        at = found.end()
        if at >= len(text) or text[at] != ".":
            break
        at += 1
    return parts, at


def value_end(text: str, at: int) -> int:
    """Returns the end of the value that begins at `at`: the next line break outside strings and brackets."""
    depth = 0
    while at < len(text):
        char = text[at]
        if char == "#":
            at = text.find("\n", at)
            if at < 0:
                return len(text)
            continue
        if char in "\"'":
            long = char * 3
            quote = long if text.startswith(long, at) else char
            at += len(quote)
            while at < len(text) and not text.startswith(quote, at):
                at += 2 if char == '"' and text[at] == "\\" else 1
            at += len(quote)
            if quote == long:  # a multi-line string may end with up to two quotes of its own
                while at < len(text) and text[at] == char:
                    at += 1
            continue
        if char in OPENING:
            depth += 1
        elif char in CLOSING:
            depth -= 1
        elif char == "\n" and depth <= 0:
            return at
        at += 1
    return len(text)


def line_numbers(text: str) -> dict[Path, int]:
    """Returns the line of each table and key, except keys inside inline tables."""
    found: dict[Path, int] = {}
    counts: dict[Path, int] = {}
    table: Path = ()
    at = counted = 0
    line = 1
    while at < len(text):
        if text[at] in " \t\r\n":
            at += 1
            continue
        line += text.count("\n", counted, at)
        counted = at
        if text[at] == "#":
            at = value_end(text, at)
        elif text.startswith("[[", at):
            parts, end = parse_dotted_key(text, at + 2)
            base = resolve_header(tuple(parts), counts)
            counts[base] = counts.get(base, -1) + 1
            table = (*base, counts[base])
            found.setdefault(base, line)
            found[table] = line
            at = value_end(text, end + 2)
        elif text[at] == "[":
            parts, end = parse_dotted_key(text, at + 1)
            table = resolve_header(tuple(parts), counts)
            found.setdefault(table, line)
            at = value_end(text, end + 1)
        else:
            parts, end = parse_dotted_key(text, at)
            for size in range(1, len(parts) + 1):
                found.setdefault((*table, *parts[:size]), line)
            at = max(at + 1, value_end(text, end))
    return found


def resolve_header(parts: tuple[str, ...], counts: dict[Path, int]) -> Path:
    """Returns a header's path, with the index of the last entry of each array of tables in it."""
    path: Path = ()
    for part in parts[:-1]:
        path = (*path, part)
        if path in counts:
            path = (*path, counts[path])
    path = (*path, parts[-1]) if parts else path
    return path


def line_of(path: Path, found: dict[Path, int]) -> int:
    """Returns the line of a path or of its nearest known ancestor; 0 for the file as a whole."""
    while path:
        if path in found:
            return found[path]
        path = path[:-1]
    return 0
