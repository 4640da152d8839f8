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
    print(json.dumps(rows) if args.json else "\n".join(table(rows)))
    return 0


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
