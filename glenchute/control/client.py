"""The client of the control socket, for the command line."""

from __future__ import annotations

import json
import socket
from typing import Any


class ControlError(Exception):
    """The socket can't be reached, or its answer can't be read."""


def ask(path: str, verb: str, timeout_s: float = 5.0) -> list[dict[str, Any]]:
    """The rows that a verb answers. ControlError where there are none."""
    try:
        with socket.socket(socket.AF_UNIX) as connection:
            connection.settimeout(timeout_s)
            connection.connect(path)
            connection.sendall(json.dumps({"verb": verb}).encode() + b"\n")
            with connection.makefile("rb") as lines:
                answer = json.loads(lines.readline())
    except (OSError, ValueError) as error:
        raise ControlError(f"{path}: {error}") from None
    if not isinstance(answer, dict) or "rows" not in answer:
        raise ControlError(f"{path}: {answer}")
    rows: list[dict[str, Any]] = answer["rows"]
    return rows
