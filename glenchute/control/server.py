"""The control socket: each line received is a request `{"verb": ...}`, and is answered by one line.

Subsystems register verbs; the command line calls them. A verb is answered without yielding to the loop. At
most `MAX_CONNECTIONS` are served; one that sends nothing for `IDLE_TIMEOUT_S`, or too long a line, is closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import stat
from collections.abc import Callable
from typing import Any

MAX_CONNECTIONS = 8
MAX_LINE_BYTES = 4096
IDLE_TIMEOUT_S = 5.0

Verb = Callable[[], list[dict[str, Any]]]


class ControlServer:
    """The control socket of one process."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.verbs: dict[str, Verb] = {}
        self.server: asyncio.Server | None = None
        self.connection_count = 0
        self.socket_inode = 0  # the next process may have put its own socket in its place

    def register(self, subsystem: str, verbs: dict[str, Verb]) -> None:
        """Adds a subsystem's verbs, as `fleet members`."""
        self.verbs.update({f"{subsystem} {name}": verb for name, verb in verbs.items()})

    async def start(self) -> None:
        """Opens the socket, in the place of one that an earlier process left. OSError where that fails,
        FileExistsError where the path is no socket."""
        if os.path.lexists(self.path):
            if not stat.S_ISSOCK(os.lstat(self.path).st_mode):
                raise FileExistsError(f"{self.path} is there, and no socket")
            os.unlink(self.path)
        umask_before = os.umask(0o177)  # only this user may connect
        try:
            self.server = await asyncio.start_unix_server(self.serve, self.path, limit=MAX_LINE_BYTES)
            self.socket_inode = os.stat(self.path).st_ino
        finally:
            os.umask(umask_before)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection."""
        self.connection_count += 1
        try:
            while self.connection_count <= MAX_CONNECTIONS:
                line = await asyncio.wait_for(reader.readline(), IDLE_TIMEOUT_S)
                if not line:
                    return
                writer.write(json.dumps(self.answer(line)).encode() + b"\n")
                await asyncio.wait_for(writer.drain(), IDLE_TIMEOUT_S)
        except (ConnectionError, TimeoutError, ValueError):
            pass  # disconnected, idle, or a line too long
        finally:
            self.connection_count -= 1
            writer.close()

    def answer(self, line: bytes) -> dict[str, Any]:
        """The answer to one line."""
        try:
            request = json.loads(line)
            verb = self.verbs[request["verb"]]
        except (ValueError, TypeError, KeyError, RecursionError):
            return {"error": "no such verb", "verbs": sorted(self.verbs)}
        try:
            return {"rows": verb()}
        except Exception as error:  # an error in a verb is its caller's alone
            return {"error": repr(error)}

    def close(self) -> None:
        """Closes the socket, and unlinks it where it is still this process'."""
        if self.server is not None:
            self.server.close()
            with contextlib.suppress(OSError):
                if os.stat(self.path).st_ino == self.socket_inode:
                    os.unlink(self.path)
