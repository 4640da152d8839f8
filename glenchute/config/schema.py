"""The shape of a configuration file, declared once: checks and a JSON Schema come from the same declaration.

Why not msgspec or pydantic: see docs/design/routes.md (start-up time, and both stop or speak without a code
where a file has several faults). Kinds take a value as TOML gives it and report what does not fit; what fits
is handed on, so that one fault does not hide the next.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from typing import Any

Path = tuple[str | int, ...]
Report = Callable[[str, Path, str], None]  # code, path, sentence
MISSING = object()


def label(path: Path) -> str:
    """`route[2].backoff.first_ms`."""
    text = ""
    for step in path:
        text += f"[{step}]" if isinstance(step, int) else f".{step}" if text else step
    return text


def toml_type(value: Any) -> str:
    """What TOML calls the type of a value."""
    names = {bool: "a boolean", int: "a whole number", float: "a number", str: "a string", list: "an array"}
    return names.get(type(value), "a table" if isinstance(value, dict) else "a date or time")


class Kind:
    """What a key may hold."""

    def check(self, value: Any, path: Path, report: Report) -> Any:
        """The value in its final form, or MISSING after a report."""
        raise NotImplementedError

    def schema(self) -> dict[str, Any]:
        """In JSON Schema's terms (draft 2020-12)."""
        raise NotImplementedError


class Number(Kind):
    """A finite number in a range; `above` leaves the lower end out."""

    def __init__(self, least: float, most: float, above: bool = False, whole: bool = False) -> None:
        self.minimum, self.maximum, self.excludes_minimum, self.is_integer = least, most, above, whole

    def check(self, value: Any, path: Path, report: Report) -> Any:
        """See `Kind.check`."""
        wanted = "a whole number" if self.is_integer else "a number"
        if isinstance(value, bool) or not isinstance(value, int if self.is_integer else int | float):
            report("wrong-type", path, f"is {toml_type(value)}; write {wanted}")
            return MISSING
        if not math.isfinite(value):
            report("not-finite", path, f"is {value}; write a finite number")
            return MISSING
        if not self.minimum <= value <= self.maximum or (self.excludes_minimum and value == self.minimum):
            bounds = f"{'above' if self.excludes_minimum else 'from'} {self.minimum:g} to {self.maximum:g}"
            report("out-of-range", path, f"is {value:g}; write {wanted} {bounds}")
            return MISSING
        return value if self.is_integer else float(value)

    def schema(self) -> dict[str, Any]:
        """See `Kind.schema`."""
        lower = "exclusiveMinimum" if self.excludes_minimum else "minimum"
        return {
            "type": "integer" if self.is_integer else "number",
            lower: self.minimum,
            "maximum": self.maximum,
        }


class Boolean(Kind):
    """true or false."""

    def check(self, value: Any, path: Path, report: Report) -> Any:
        """See `Kind.check`."""
        if not isinstance(value, bool):
            report("wrong-type", path, f"is {toml_type(value)}; write true or false")
            return MISSING
        return value

    def schema(self) -> dict[str, Any]:
        """See `Kind.schema`."""
        return {"type": "boolean"}


class String(Kind):
    """A string of a form."""

    def __init__(self, pattern: str, wanted: str) -> None:
        self.pattern, self.expected = pattern, wanted

    def check(self, value: Any, path: Path, report: Report) -> Any:
        """See `Kind.check`."""
        if not isinstance(value, str):
            report("wrong-type", path, f"is {toml_type(value)}; write a string")
            return MISSING
        if re.fullmatch(self.pattern, value) is None:
            report("bad-word", path, f"is {value[:40]!r}; write {self.expected}")
            return MISSING
        return value

    def schema(self) -> dict[str, Any]:
        """See `Kind.schema`."""
        return {"type": "string", "pattern": f"^(?:{self.pattern})$"}


class Strings(Kind):
    """One string or an array of them, none twice; from `options` where these are given. `alone`: a single
    word may stand without brackets."""

    def __init__(self, options: tuple[str, ...] = (), alone: bool = True, code: str = "unknown-word") -> None:
        self.options, self.allows_single, self.code = options, alone, code

    def check(self, value: Any, path: Path, report: Report) -> Any:
        """See `Kind.check`."""
        rows = [value] if isinstance(value, str) and self.allows_single else value
        if not isinstance(rows, list):
            one = "a string or " if self.allows_single else ""
            report("wrong-type", path, f"is {toml_type(value)}; write {one}an array of strings")
            return MISSING
        if not rows:
            report("empty-list", path, "is empty; name at least one, or leave the key out")
            return MISSING
        good: dict[str, None] = {}  # in order, and looked up at once in a long list too
        for at, row in enumerate(rows):
            here = path if rows is not value else (*path, at)
            if not isinstance(row, str):
                report("wrong-type", here, f"is {toml_type(row)}; write a string")
            elif self.options and row not in self.options:
                report(self.code, here, f"is {row[:40]!r}; write one of {', '.join(self.options)}")
            elif row in good:
                report("named-twice", here, f"{row!r} stands there already; name it once")
            else:
                good[row] = None
        return tuple(good) if good else MISSING

    def schema(self) -> dict[str, Any]:
        """See `Kind.schema`."""
        item: dict[str, Any] = {"type": "string"}
        if self.options:
            item["enum"] = list(self.options)
        many = {"type": "array", "items": item, "minItems": 1, "uniqueItems": True}
        return {"anyOf": [item, many]} if self.allows_single else many


class Table(Kind):
    """A table; keys that are not named are refused."""

    def __init__(self, keys: dict[str, Kind], required: tuple[str, ...] = ()) -> None:
        self.keys, self.required = keys, required

    def check(self, value: Any, path: Path, report: Report) -> Any:
        """See `Kind.check`."""
        if not isinstance(value, dict):
            report("wrong-type", path, f"is {toml_type(value)}; write a table")
            return MISSING
        good: dict[str, Any] = {}
        for key, given in value.items():
            kind = self.keys.get(key)
            if kind is None:
                report("unknown-key", (*path, key), f"is not known here; known are {', '.join(self.keys)}")
                continue
            found = kind.check(given, (*path, key), report)
            if found is not MISSING:
                good[key] = found
        for key in self.required:
            if key not in value:
                report("missing-key", path, f"has no {key}; add it")
        return good

    def schema(self) -> dict[str, Any]:
        """See `Kind.schema`."""
        made: dict[str, Any] = {
            "type": "object",
            "properties": {key: kind.schema() for key, kind in self.keys.items()},
            "additionalProperties": False,
        }
        if self.required:
            made["required"] = list(self.required)
        return made


class TableArray(Kind):
    """An array of tables; each row keeps its number, also where one before it was dropped."""

    def __init__(self, of: Table, most: int) -> None:
        self.table, self.max_rows = of, most

    def check(self, value: Any, path: Path, report: Report) -> Any:
        """See `Kind.check`."""
        if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
            report("wrong-type", path, f"is {toml_type(value)}; write [[{label(path)}]] for each")
            return MISSING
        if len(value) > self.max_rows:
            report("too-many", path, f"has {len(value)} entries; {self.max_rows} at most are allowed")
            return MISSING
        return [self.table.check(row, (*path, at), report) for at, row in enumerate(value)]

    def schema(self) -> dict[str, Any]:
        """See `Kind.schema`."""
        return {"type": "array", "items": self.table.schema(), "maxItems": self.max_rows}
