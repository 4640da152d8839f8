"""The control socket's server. Each line received is a request `{"verb": ...}` and gets a reply of one line.

Subsystems register verbs and the command line calls them. A verb runs without yielding to the event loop. At
most `MAX_CONNECTIONS` are served; a connection is closed if it sends nothing for `IDLE_TIMEOUT_S` or a line
longer than `MAX_LINE_BYTES`.
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

Verb = Callable[[], list[dict[str, Any]]]  # executes a request and returns the rows of its reply


class ControlServer:
    """Listens on the control socket of one process."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.verbs: dict[str, Verb] = {}
        self.server: asyncio.Server | None = None
        self.connection_count = 0
        # Identifies this process's socket: a successor may have replaced it by its own at the same path.
        self.socket_inode = 0

    def register(self, subsystem: str, verbs: dict[str, Verb]) -> None:
        """Adds a subsystem's verbs. The command line calls them by both names, such as `fleet members`."""
        self.verbs.update({f"{subsystem} {name}": verb for name, verb in verbs.items()})

    async def start(self) -> None:
        """Starts listening, and replaces the socket that an earlier process left at the path. Raises
        FileExistsError if there is something else at the path, OSError if the socket can't be opened."""
        if os.path.lexists(self.path):
            if not stat.S_ISSOCK(os.lstat(self.path).st_mode):
                raise FileExistsError(f"{self.path} exists and is not a socket")
            os.unlink(self.path)
        previous_umask = os.umask(0o177)  # only this user may connect
        try:
            self.server = await asyncio.start_unix_server(self.serve, self.path, limit=MAX_LINE_BYTES)
            self.socket_inode = os.stat(self.path).st_ino
        finally:
            os.umask(previous_umask)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection; one over `MAX_CONNECTIONS` is closed at once."""
        self.connection_count += 1
        try:
            while self.connection_count <= MAX_CONNECTIONS:
                line = await asyncio.wait_for(reader.readline(), IDLE_TIMEOUT_S)
                if not line:
                    return
                writer.write(json.dumps(self.reply_to(line)).encode() + b"\n")
                await asyncio.wait_for(writer.drain(), IDLE_TIMEOUT_S)
        except (ConnectionError, TimeoutError, ValueError):
            pass  # the client has disconnected, was idle for too long or sent too long a line
        finally:
            self.connection_count -= 1
            writer.close()

    def reply_to(self, line: bytes) -> dict[str, Any]:
        """Executes the request of one line and returns its reply."""
        try:
            request = json.loads(line)
            verb = self.verbs[request["verb"]]
        except (ValueError, TypeError, KeyError, RecursionError):
            return {"error": "no such verb", "verbs": sorted(self.verbs)}
        try:
            return {"rows": verb()}
        except (
            Exception
        ) as error:  # a verb's exception goes to its caller only and leaves the process running
            return {"error": repr(error)}

    def close(self) -> None:
        """Closes the socket, and unlinks its path if that is still this process's socket."""
        if self.server is not None:
            self.server.close()
            with contextlib.suppress(OSError):
                if os.stat(self.path).st_ino == self.socket_inode:
                    os.unlink(self.path)
