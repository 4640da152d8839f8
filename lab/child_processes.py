"""Child processes that end with their parent, and the sockets at which a process listens."""

from __future__ import annotations

import ctypes
import os
import signal
from collections.abc import Iterator
from pathlib import Path

PR_SET_PDEATHSIG = 1  # prctl(2)
LISTENING = "0A"  # state in /proc/net/tcp


def end_with_parent() -> None:
    """Lets the kernel kill this process when its parent ends, whatever ended it. For `preexec_fn`: a test run
    that is cut off must leave no process behind, which would go on calling ports that others get next."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


_libc = ctypes.CDLL(None)  # loaded before the fork, after which only little is safe


def listens_at(process_id: int, port: int) -> bool:
    """Returns whether a process holds a socket that listens at this TCP port over IPv4."""
    names = {f"socket:[{row[9]}]" for row in listening_rows() if int(row[1][-4:], 16) == port}
    try:
        descriptors = list(Path(f"/proc/{process_id}/fd").iterdir())
    except OSError:
        return False  # the process has ended
    return any(link_target(descriptor) in names for descriptor in descriptors)


def listening_rows() -> Iterator[list[str]]:
    """Yields the rows of this machine's listening sockets. They come first in the kernel's table, whose other
    rows, thousands after many connections, are not read."""
    with Path("/proc/net/tcp").open() as table:
        next(table)
        for row in map(str.split, table):
            if row[3] != LISTENING:
                return
            yield row


def link_target(path: Path) -> str:
    """Returns what a link points to; empty if it is gone."""
    try:
        return os.readlink(path)
    except OSError:
        return ""
