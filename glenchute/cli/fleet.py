"""``glenchute fleet``: prints what a running gateway knows of the other members, from its control socket."""

from __future__ import annotations

import argparse
import json
import sys
from typing import Any

from glenchute.control.client import ControlError, call_verb


def command(args: argparse.Namespace) -> int:
    """Prints a verb's rows. Returns 0, or 1 if the control socket gives no answer."""
    try:
        verb = f"fleet {args.what} {args.task}" if args.task else f"fleet {args.what}"
        rows = call_verb(args.control, verb)
    except ControlError as error:
        print(f"glenchute: {error}", file=sys.stderr)
        return 1
    if args.json:
        print(json.dumps(rows))
    elif not (sys.stdout.isatty() and rich_table(rows)):
        print("\n".join(text_table(rows)))
    return 0


def rich_table(rows: list[dict[str, Any]]) -> bool:
    """Prints rows as a table on a terminal. Returns False if the library rich is not installed."""
    try:
        from rich.console import Console
        from rich.table import Table
    except ImportError:
        return False
    rich_rows = Table(show_lines=False)
    if len(rows) == 1:
        rich_rows.add_column("what")
        rich_rows.add_column("is", overflow="fold")
        for name, value in rows[0].items():
            rich_rows.add_row(name, str(value))
    else:
        for name in rows[0] if rows else ():
            rich_rows.add_column(name, justify="right" if isinstance(rows[0][name], int | float) else "left")
        for row in rows:
            rich_rows.add_row(*(str(row.get(name, "")) for name in rows[0]))
    Console().print(rich_rows if rows else "none")
    return True


def text_table(rows: list[dict[str, Any]]) -> list[str]:
    """Formats rows as aligned columns of text, or a single row as a list of its fields."""
    if not rows:
        return ["none"]
    if len(rows) == 1:
        width = max(map(len, rows[0]))
        return [f"{name:<{width}}  {value}" for name, value in rows[0].items()]
    headings = list(rows[0])
    lines = [headings, *([str(row.get(heading, "")) for heading in headings] for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headings))]
    padded = ([cell.ljust(width) for cell, width in zip(line, widths, strict=True)] for line in lines)
    return ["  ".join(cells).rstrip() for cells in padded]
