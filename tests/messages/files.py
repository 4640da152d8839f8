"""How the bytes of messages are kept: a line for each, its label, a tab, and hexadecimal digits or text."""

from __future__ import annotations

from pathlib import Path

HERE = Path(__file__).resolve().parent
Rows = list[tuple[str, bytes]]


def hex_rows(name: str) -> Rows:
    """The messages of a file, by label, from hexadecimal digits."""
    lines = [line.split("\t") for line in (HERE / name).read_text().splitlines()]
    return [(label, bytes.fromhex(digits)) for label, digits in lines]


def text_rows(name: str) -> Rows:
    """The same from text; each message is one line and ends with a line break."""
    lines = [line.split("\t", 1) for line in (HERE / name).read_text().splitlines()]
    return [(label, text.encode() + b"\n") for label, text in lines]


def as_hex(rows: Rows) -> str:
    """The content of a file for `hex_rows`."""
    return "".join(f"{label}\t{data.hex()}\n" for label, data in rows)


def as_text(rows: Rows) -> str:
    """The content of a file for `text_rows`."""
    assert all(data.endswith(b"\n") and data.count(b"\n") == 1 for _, data in rows)
    return "".join(f"{label}\t{data.decode()}" for label, data in rows)
