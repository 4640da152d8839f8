"""Stand-ins of the quota counter and discovery, as the platform's protocol page defines them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
from typing import Any
from urllib.parse import parse_qs, urlsplit

from lab.counter import ExpiringTotals
from lab.faults import FaultKind, FaultScript
from lab.peers import Peer, http_response, read_commands

AMOUNT_PATTERN = re.compile(rb"-?[0-9]{1,10}(\.[0-9]+)?")


class CounterService(Peer):
    """Counter with the call ``INCRTTL NAME AMOUNT TTL``.

    A name starts at 0 and expires when the TTL of its first call is over. The faults are VANISH (counts
    without an answer), REFUSE (overloaded), DELAY (slow) and GARBLE (the answer is not a number). `reset`
    simulates a replacement that starts at zero.
    """

    def __init__(self, script: FaultScript | None = None) -> None:
        super().__init__()
        self.script = script or FaultScript()
        self.totals = ExpiringTotals()
        self.started_at = 0.0
        self.calls = 0

    async def start(self, port: int = 0) -> None:
        self.started_at = asyncio.get_running_loop().time()
        await super().start(port)

    def reset(self) -> None:
        """Deletes all totals."""
        self.totals = ExpiringTotals()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        async for command in read_commands(reader):
            if command[0].upper() == b"PING":
                writer.write(b"+PONG\r\n")
                continue
            is_valid = len(command) == 4 and command[0].upper() == b"INCRTTL" and 1 <= len(command[1]) <= 64
            if (
                not is_valid
                or AMOUNT_PATTERN.fullmatch(command[2]) is None
                or not command[3].isdigit()
                or not int(command[3])
            ):
                writer.write(b"-ERR no such call\r\n")
                continue
            self.calls += 1
            fault = self.script.fault(loop.time() - self.started_at)
            kind = fault.kind if fault is not None else None
            if kind is FaultKind.REFUSE:
                writer.write(b"-BUSY\r\n")
                continue
            name = command[1].decode("latin-1")
            total = self.totals.add(1000.0 * loop.time(), name, float(command[2]), int(command[3]))
            if kind is FaultKind.VANISH:
                await asyncio.Event().wait()
            if kind is FaultKind.DELAY and fault is not None:
                await asyncio.sleep(fault.delay_s)
            text = b"%.3f" % total
            writer.write(b"+what\r\n" if kind is FaultKind.GARBLE else b"$%d\r\n%b\r\n" % (len(text), text))


class DiscoveryService(Peer):
    """Discovery with its list of servers and long polls for changes."""

    def __init__(self, rows: list[dict[str, Any]]) -> None:
        super().__init__()
        self.rows = {str(row["id"]): row for row in rows}
        self.version = 1
        self.changed = asyncio.Event()  # set at the next change and then replaced by a new event
        # Versions with a row that each changed; bounded in `update_rows`.
        self.change_log: list[tuple[int, dict[str, Any]]] = []
        self.first_answer_at: dict[int, float] = {}  # loop time of the first answer with each version

    def update(self, row: dict[str, Any]) -> None:
        """Changes one server; the state Gone removes it from the list."""
        self.update_rows([row])

    def update_rows(self, rows: list[dict[str, Any]]) -> int:
        """Publishes rows in one answer and returns its version; the rows may name a server more than once."""
        self.version += 1
        for row in rows:
            if row["state"] == "Gone":
                self.rows.pop(str(row["id"]), None)
            else:
                self.rows[str(row["id"])] = row
        self.change_log = [*self.change_log[-999:], *((self.version, row) for row in rows)]
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            query = parse_qs(urlsplit(head.split(b" ")[1].decode("ascii")).query)
            since = int(query["since"][0]) if "since" in query else None
            if since is None or not self.has_changes_since(since):
                rows, full = list(self.rows.values()), True
            else:
                if since == self.version:
                    wait_s = min(60.0, float(query.get("timeout_ms", ["0"])[0]) / 1000.0)
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), wait_s)
                rows, full = [row for version, row in self.change_log if version > since], False
            body = {"version": self.version, "full": full, "servers": rows}
            writer.write(http_response(json.dumps(body).encode()))
            self.first_answer_at.setdefault(self.version, asyncio.get_running_loop().time())

    def has_changes_since(self, since: int) -> bool:
        """Returns whether all changes since a version are in the change log."""
        return since <= self.version and (
            since == self.version or (bool(self.change_log) and self.change_log[0][0] <= since + 1)
        )
