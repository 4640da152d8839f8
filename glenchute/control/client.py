"""The callers' side of the control socket, for the command line."""

from __future__ import annotations

import json
import socket
from typing import Any


class ControlError(Exception):
    """The socket can't be asked, or its answer can't be read."""


def ask(path: str, verb: str, patience_s: float = 5.0) -> list[dict[str, Any]]:
    """One verb's rows."""
    try:
        with socket.socket(socket.AF_UNIX) as link:
            link.settimeout(patience_s)
            link.connect(path)
            link.sendall(json.dumps({"verb": verb}).encode() + b"\n")
            with link.makefile("rb") as answers:
                answer = json.loads(answers.readline())
    except (OSError, ValueError) as error:
        raise ControlError(f"{path}: {error}") from None
    if not isinstance(answer, dict) or "rows" not in answer:
        raise ControlError(f"{path}: {answer}")
    rows: list[dict[str, Any]] = answer["rows"]
    return rows
