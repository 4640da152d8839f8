"""The control socket's client, for the command line."""

from __future__ import annotations

import json
import socket
from typing import Any


class ControlError(Exception):
    """The socket can't be reached, or its reply is an error or can't be read."""


def call_verb(path: str, verb: str, timeout_s: float = 5.0) -> list[dict[str, Any]]:
    """Calls a verb and returns the rows of its reply. Raises ControlError if the reply has no rows."""
    try:
        with socket.socket(socket.AF_UNIX) as connection:
            connection.settimeout(timeout_s)
            connection.connect(path)
            connection.sendall(json.dumps({"verb": verb}).encode() + b"\n")
            with connection.makefile("rb") as reply_lines:
                reply = json.loads(reply_lines.readline())
    except (OSError, ValueError) as error:
        raise ControlError(f"{path}: {error}") from None
    if not isinstance(reply, dict) or "rows" not in reply:
        raise ControlError(f"{path}: {reply}")
    rows: list[dict[str, Any]] = reply["rows"]
    return rows
