"""Declares the structure of a configuration file; validation and the JSON Schema use the same declaration.

A `Kind` takes a parsed TOML value, reports its errors and returns the valid parts, so that one error does not
hide the next. docs/design/routes.md states why neither msgspec nor pydantic is used: their start-up time, and
that in a file with several errors each of them stops at the first one or reports errors without a code.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from typing import Any

Path = tuple[str | int, ...]
Report = Callable[[str, Path, str], None]  # called with code, path and message
MISSING = object()


def format_path(path: Path) -> str:
    """Formats a path, as `route[2].backoff.first_ms`."""
    text = ""
    for step in path:
        text += f"[{step}]" if isinstance(step, int) else f".{step}" if text else step
    return text


def toml_type(value: Any) -> str:
    """Returns the TOML name of a value's type."""
    names = {bool: "a boolean", int: "a whole number", float: "a number", str: "a string", list: "an array"}
    return names.get(type(value), "a table" if isinstance(value, dict) else "a date or time")


class Kind:
    """The type of values that a key accepts."""

    def check(self, value: Any, path: Path, report: Report) -> Any:
        """Returns the converted value, or MISSING after reporting an error."""
        raise NotImplementedError

    def schema(self) -> dict[str, Any]:
        """Returns the JSON Schema of the values (draft 2020-12)."""
        raise NotImplementedError


class Number(Kind):
    """A finite number from `minimum` to `maximum`."""

    def __init__(
        self, minimum: float, maximum: float, excludes_minimum: bool = False, is_integer: bool = False
    ) -> None:
        self.minimum, self.maximum, self.excludes_minimum, self.is_integer = (
            minimum,
            maximum,
            excludes_minimum,
            is_integer,
        )

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
    """A string that matches `pattern`, which `expected` describes in errors."""

    def __init__(self, pattern: str, expected: str) -> None:
        self.pattern, self.expected = pattern, expected

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
    """An array of distinct strings, from `options` if any are given. `allows_single`: a single string is
    accepted without brackets. `code`: the code of the finding for a string that is not an option."""

    def __init__(
        self, options: tuple[str, ...] = (), allows_single: bool = True, code: str = "unknown-word"
    ) -> None:
        self.options, self.allows_single, self.code = options, allows_single, code

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
        valid: dict[str, None] = {}  # keeps the order, with fast lookups in long lists
        for at, row in enumerate(rows):
            here = path if rows is not value else (*path, at)
            if not isinstance(row, str):
                report("wrong-type", here, f"is {toml_type(row)}; write a string")
            elif self.options and row not in self.options:
                report(self.code, here, f"is {row[:40]!r}; write one of {', '.join(self.options)}")
            elif row in valid:
                report("named-twice", here, f"{row!r} is listed already; name it once")
            else:
                valid[row] = None
        return tuple(valid) if valid else MISSING

    def schema(self) -> dict[str, Any]:
        """See `Kind.schema`."""
        item: dict[str, Any] = {"type": "string"}
        if self.options:
            item["enum"] = list(self.options)
        many = {"type": "array", "items": item, "minItems": 1, "uniqueItems": True}
        return {"anyOf": [item, many]} if self.allows_single else many


class Table(Kind):
    """A table; unknown keys are errors."""

    def __init__(self, keys: dict[str, Kind], required: tuple[str, ...] = ()) -> None:
        self.keys, self.required = keys, required

    def check(self, value: Any, path: Path, report: Report) -> Any:
        """See `Kind.check`."""
        if not isinstance(value, dict):
            report("wrong-type", path, f"is {toml_type(value)}; write a table")
            return MISSING
        valid: dict[str, Any] = {}
        for key, given in value.items():
            kind = self.keys.get(key)
            if kind is None:
                report("unknown-key", (*path, key), f"is not a known key; known are {', '.join(self.keys)}")
                continue
            found = kind.check(given, (*path, key), report)
            if found is not MISSING:
                valid[key] = found
        for key in self.required:
            if key not in value:
                report("missing-key", path, f"has no {key}; add it")
        return valid

    def schema(self) -> dict[str, Any]:
        """See `Kind.schema`."""
        schema: dict[str, Any] = {
            "type": "object",
            "properties": {key: kind.schema() for key, kind in self.keys.items()},
            "additionalProperties": False,
        }
        if self.required:
            schema["required"] = list(self.required)
        return schema


class TableArray(Kind):
    """An array of at most `max_rows` tables. Invalid rows become MISSING, so that the others keep their
    index."""

    def __init__(self, table: Table, max_rows: int) -> None:
        self.table, self.max_rows = table, max_rows

    def check(self, value: Any, path: Path, report: Report) -> Any:
        """See `Kind.check`."""
        if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
            report("wrong-type", path, f"is {toml_type(value)}; write [[{format_path(path)}]] for each")
            return MISSING
        if len(value) > self.max_rows:
            report("too-many", path, f"has {len(value)} entries; at most {self.max_rows} are allowed")
            return MISSING
        return [self.table.check(row, (*path, at), report) for at, row in enumerate(value)]

    def schema(self) -> dict[str, Any]:
        """See `Kind.schema`."""
        return {"type": "array", "items": self.table.schema(), "maxItems": self.max_rows}
