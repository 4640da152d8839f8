"""``glenchute fleet``: what a running gateway knows of the others, asked over its control socket."""

from __future__ import annotations

import argparse
import json
import sys
from typing import Any

from glenchute.control.client import ControlError, ask


def command(args: argparse.Namespace) -> int:
    """0 with the rows; 1 where the socket can't be asked."""
    try:
        rows = ask(args.control, f"fleet {args.what} {args.task}" if args.task else f"fleet {args.what}")
    except ControlError as error:
        print(f"glenchute: {error}", file=sys.stderr)
        return 1
    if args.json:
        print(json.dumps(rows))
    elif not (sys.stdout.isatty() and rich_table(rows)):
        print("\n".join(table(rows)))
    return 0


def rich_table(rows: list[dict[str, Any]]) -> bool:
    """The same in rich's table, for people at a terminal; False where rich is not there."""
    try:
        from rich.console import Console
        from rich.table import Table
    except ImportError:
        return False
    made = Table(show_lines=False)
    if len(rows) == 1:
        made.add_column("what")
        made.add_column("is", overflow="fold")
        for name, value in rows[0].items():
            made.add_row(name, str(value))
    else:
        for name in rows[0] if rows else ():
            made.add_column(name, justify="right" if isinstance(rows[0][name], int | float) else "left")
        for row in rows:
            made.add_row(*(str(row.get(name, "")) for name in rows[0]))
    Console().print(made if rows else "none")
    return True


def table(rows: list[dict[str, Any]]) -> list[str]:
    """Rows in columns; a single row as a list."""
    if not rows:
        return ["none"]
    if len(rows) == 1:
        width = max(map(len, rows[0]))
        return [f"{name:<{width}}  {value}" for name, value in rows[0].items()]
    heads = list(rows[0])
    cells = [heads, *([str(row.get(head, "")) for head in heads] for row in rows)]
    widths = [max(len(row[at]) for row in cells) for at in range(len(heads))]
    lines = ("  ".join(cell.ljust(w) for cell, w in zip(row, widths, strict=True)) for row in cells)
    return [line.rstrip() for line in lines]
