"""The control socket: each line that comes is a request `{"verb": ...}`, each is answered by one line.

Subsystems register verbs; the command line calls them. It answers within the loop's turn, holds
`MOST_CALLERS` connections, and closes one that says nothing for `IDLE_S` or sends a line that is too long.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import stat
from collections.abc import Callable
from typing import Any

MOST_CALLERS = 8
MOST_LINE = 4096
IDLE_S = 5.0

Verb = Callable[[], list[dict[str, Any]]]


class ControlServer:
    """The server's side."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.verbs: dict[str, Verb] = {}
        self.server: asyncio.Server | None = None
        self.callers = 0
        self.made = 0  # the socket's inode: the next process may have put its own there

    def register(self, subsystem: str, verbs: dict[str, Verb]) -> None:
        """Adds verbs, as `fleet members`."""
        self.verbs.update({f"{subsystem} {name}": verb for name, verb in verbs.items()})

    async def start(self) -> None:
        """Opens the socket, in place of one that a process before has left; OSError where that can't be, also
        where something else lies there."""
        if os.path.lexists(self.path):
            if not stat.S_ISSOCK(os.lstat(self.path).st_mode):
                raise FileExistsError(f"{self.path} is there, and no socket")
            os.unlink(self.path)
        before = os.umask(0o177)
        try:
            self.server = await asyncio.start_unix_server(self.serve, self.path, limit=MOST_LINE)
            self.made = os.stat(self.path).st_ino
        finally:
            os.umask(before)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One caller."""
        self.callers += 1
        try:
            while self.callers <= MOST_CALLERS:
                line = await asyncio.wait_for(reader.readline(), IDLE_S)
                if not line:
                    return
                writer.write(json.dumps(self.answer(line)).encode() + b"\n")
                await asyncio.wait_for(writer.drain(), IDLE_S)
        except (ConnectionError, TimeoutError, ValueError):
            pass  # gone, silent, or a line too long: the caller's to know
        finally:
            self.callers -= 1
            writer.close()

    def answer(self, line: bytes) -> dict[str, Any]:
        """What one line is answered."""
        try:
            asked = json.loads(line)
            verb = self.verbs[asked["verb"]]
        except (ValueError, TypeError, KeyError, RecursionError):
            return {"error": "no such verb", "verbs": sorted(self.verbs)}
        try:
            return {"rows": verb()}
        except Exception as error:  # a verb's fault is told to its caller, and costs nobody else anything
            return {"error": repr(error)}

    def close(self) -> None:
        """Closes the socket and takes it away."""
        if self.server is not None:
            self.server.close()
            with contextlib.suppress(OSError):
                if os.stat(self.path).st_ino == self.made:
                    os.unlink(self.path)
