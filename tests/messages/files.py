"""The files of recorded messages: a line for each message with its label, a tab, and its bytes.

The bytes are hexadecimal digits in `.hex` files and text in `.txt` files.
"""

from __future__ import annotations

from pathlib import Path

HERE = Path(__file__).resolve().parent
Rows = list[tuple[str, bytes]]


def hex_rows(name: str) -> Rows:
    """Reads the messages of a file with hexadecimal digits, with their labels."""
    lines = [line.split("\t") for line in (HERE / name).read_text().splitlines()]
    return [(label, bytes.fromhex(digits)) for label, digits in lines]


def text_rows(name: str) -> Rows:
    """Reads the messages of a file with text, with their labels. A message ends with a line break."""
    lines = [line.split("\t", 1) for line in (HERE / name).read_text().splitlines()]
    return [(label, text.encode() + b"\n") for label, text in lines]


def as_hex(rows: Rows) -> str:
    """Returns the content of a file that `hex_rows` reads."""
    return "".join(f"{label}\t{data.hex()}\n" for label, data in rows)


def as_text(rows: Rows) -> str:
    """Returns the content of a file that `text_rows` reads. Each message is one line."""
    assert all(data.endswith(b"\n") and data.count(b"\n") == 1 for _, data in rows)
    return "".join(f"{label}\t{data.decode()}" for label, data in rows)
