"""List service, counter and servers of a scale run, which count the traffic of each role of callers.

The port that is called tells the role (real or hollow). Bytes are those of payloads on the sockets.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import hiredis

from lab.nodes import Node, ServiceProfile
from lab.scale.site import Site, SiteFault
from lab.site import KINDS

SINCE = re.compile(rb"[?&]since=(\d+)")
TIMEOUT = re.compile(rb"[?&]timeout_ms=(\d+)")
MAX_LOGGED_CHANGES = 20_000  # older versions get a whole list
ROLES = ("real", "hollow")


@dataclass
class TrafficCounts:
    """Traffic of the callers of one role."""

    calls: int = 0
    took: int = 0  # bytes received from the callers
    gave: int = 0  # bytes sent to the callers
    whole: int = 0  # whole lists among the answers
    links: int = 0  # connections ever made
    pings: int = 0
    times: list[float] = field(default_factory=list)  # times of the calls, where recorded

    def to_dict(self) -> dict[str, int]:
        """Returns the counts as JSON data for another process."""
        return {"calls": self.calls, "took": self.took, "gave": self.gave, "whole": self.whole,
                "links": self.links, "pings": self.pings}  # fmt: skip


class Timeline:
    """Schedule of the site's faults by this process's clock; `begin` sets its second 0."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.began: float | None = None  # loop time of second 0

    def begin(self, unix: float) -> None:
        """Sets second 0 to a Unix time."""
        self.began = asyncio.get_running_loop().time() + unix - time.time()

    def now(self) -> float:
        """Returns the seconds since the measurement began; negative before."""
        return asyncio.get_running_loop().time() - self.began if self.began is not None else -1e9

    def zero(self, now: float) -> float:
        """Returns when requests begin: with the measurement if their number is fixed, else at once."""
        return self.began if self.site.requests and self.began is not None else now

    def on(self, kind: str) -> SiteFault | None:
        """Returns the fault of this kind that is in effect, or None."""
        now = self.now()
        return next((t for t in self.site.faults if t.kind == kind and t.start_s <= now < t.end_s), None)

    def gone(self, server: int) -> bool:
        """Returns whether a server's rack or zone is away."""
        if not self.site.faults:
            return False
        now = self.now()
        return any(t.start_s <= now < t.end_s and self.site.takes_down(t, server) for t in self.site.faults)

    async def until(self, second: float) -> None:
        """Waits until a second of the timeline."""
        while self.began is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(max(0.0, second - self.now()))


class ListConnection(asyncio.Protocol):
    """Connection to the list service."""

    def __init__(self, lists: ListService, counts: TrafficCounts) -> None:
        self.lists, self.counts = lists, counts
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.wait: asyncio.TimerHandle | None = None
        self.since: int | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.counts.links += 1

    def data_received(self, data: bytes) -> None:
        self.counts.took += len(data)
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            self.counts.calls += 1
            self.counts.times.append(self.lists.timeline.now())
            line = head.partition(b"\r\n")[0]
            since, wait = SINCE.search(line), TIMEOUT.search(line)
            self.since = int(since[1]) if since else None
            self.lists.called(self, min(60_000, int(wait[1]) if wait else 0) / 1000.0)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.lists.forget(self)

    def answer(self, body: bytes) -> None:
        """Sends an answer."""
        if self.transport is not None:
            data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            self.counts.gave += len(data)
            self.transport.write(data)


class ListService:
    """List of servers and the long polls on it. An answer is encoded once per version and sent to all."""

    def __init__(self, site: Site, rows: list[dict[str, Any]]) -> None:
        self.rows = {str(row["id"]): row for row in rows}
        self.timeline = Timeline(site)
        self.version = 1
        self.log: deque[tuple[int, dict[str, Any]]] = deque(maxlen=MAX_LOGGED_CHANGES)
        self.waiting: set[ListConnection] = set()
        # Encoded answers of the current version, by the version that a call asked from.
        self.encoded: dict[int | None, bytes] = {}
        self.counts_by_role = {role: TrafficCounts() for role in ROLES}
        self.changed_rows = 0  # number of rows that changed

    def update(self, rows: list[dict[str, Any]]) -> None:
        """Applies changed rows at once; the state Gone removes a row."""
        for row in rows:
            self.version += 1
            if row["state"] == "Gone":
                self.rows.pop(str(row["id"]), None)
            else:
                self.rows[str(row["id"])] = row
            self.log.append((self.version, row))
        self.changed_rows += len(rows)
        self.encoded.clear()
        if self.timeline.on("lists silent") is None:
            self.release()

    def release(self) -> None:
        """Answers all waiting polls for which there is a newer version."""
        for call in [one for one in self.waiting if one.since != self.version]:
            self.reply(call)

    def called(self, call: ListConnection, wait_s: float) -> None:
        """Answers a call at once if there is a newer version, else when there is one or after its wait."""
        self.forget(call)
        silent = self.timeline.on("lists silent")
        if silent is not None:
            self.waiting.add(call)  # answered when the service is back, if the caller still waits then
            call.wait = asyncio.get_running_loop().call_later(
                silent.end_s - self.timeline.now() + 0.01, self.reply, call
            )
        elif call.since != self.version or wait_s <= 0:
            self.reply(call)
        else:
            self.waiting.add(call)
            call.wait = asyncio.get_running_loop().call_later(wait_s, self.end_wait, call)

    def end_wait(self, call: ListConnection) -> None:
        """Answers a call whose wait has ended without a newer version."""
        if self.timeline.on("lists silent") is None:
            self.reply(call)

    def forget(self, call: ListConnection) -> None:
        """Removes a call from those that wait."""
        self.waiting.discard(call)
        if call.wait is not None:
            call.wait.cancel()
            call.wait = None

    def reply(self, call: ListConnection) -> None:
        """Answers a call with the changes since its version."""
        self.forget(call)
        body = self.encoded.get(call.since)
        if body is None:
            body = self.encoded[call.since] = json.dumps(self.body(call.since)).encode()
        call.counts.whole += call.since is None
        call.answer(body)

    def body(self, since: int | None) -> dict[str, Any]:
        """Returns the changes since a version where they are logged, else the whole list."""
        kept = (
            since is not None
            and since <= self.version
            and (since == self.version or (bool(self.log) and self.log[0][0] <= since + 1))
        )
        if not kept:
            return {"version": self.version, "full": True, "servers": list(self.rows.values())}
        changes: list[dict[str, Any]] = []
        for version, row in reversed(self.log):
            if version <= (since or 0):
                break
            changes.append(row)
        return {"version": self.version, "full": False, "servers": changes[::-1]}

    async def serve(self) -> dict[str, int]:
        """Listens; returns the port for each role."""
        return await listen(
            {role: partial(ListConnection, self, counts) for role, counts in self.counts_by_role.items()}
        )


async def listen(factories: dict[str, Callable[[], asyncio.Protocol]]) -> dict[str, int]:
    """Listens on a port for each role; returns the ports."""
    loop, ports = asyncio.get_running_loop(), {}
    for role, factory in factories.items():
        server = await loop.create_server(factory, "127.0.0.1", 0, backlog=4096)
        ports[role] = int(server.sockets[0].getsockname()[1])
    return ports


class CounterConnection(asyncio.Protocol):
    """Connection to the counter."""

    def __init__(self, counter: CounterService, counts: TrafficCounts) -> None:
        self.counter, self.counts = counter, counts
        self.transport: asyncio.Transport | None = None
        self.parser = hiredis.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.counts.links += 1

    def data_received(self, data: bytes) -> None:
        self.counts.took += len(data)
        self.parser.feed(data)
        out: list[bytes] = []
        while (words := self.parser.gets()) is not False:
            out.append(self.counter.call(words, self.counts))
        if out:
            self.counter.send(self, b"".join(out))

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def write(self, data: bytes) -> None:
        """Sends answers."""
        if self.transport is not None:
            self.counts.gave += len(data)
            self.transport.write(data)


class CounterService:
    """Counter: a name starts at 0 and expires after the time to live of its first call."""

    def __init__(self, site: Site) -> None:
        self.timeline = Timeline(site)
        self.names: dict[bytes, tuple[float, float]] = {}
        self.swept = 0.0
        self.most = 0  # most names held at once
        self.counts_by_role = {role: TrafficCounts() for role in ROLES}

    def call(self, words: list[bytes], counts: TrafficCounts) -> bytes:
        """Performs a call; returns its answer."""
        verb = words[0].upper()
        if verb == b"PING":
            counts.pings += 1
            return b"+PONG\r\n"
        if verb != b"INCRTTL" or len(words) != 4:
            return b"-ERR no such call\r\n"
        counts.calls += 1
        now = time.monotonic()
        if now - self.swept > 5.0:
            self.swept = now
            self.names = {name: held for name, held in self.names.items() if held[1] > now}
        total, until = self.names.get(words[1], (0.0, -1.0))
        if now >= until:
            total, until = 0.0, now + min(60_000, int(words[3])) / 1000.0
        total += float(words[2])
        self.names[words[1]] = total, until
        self.most = max(self.most, len(self.names))
        text = b"%.3f" % total
        return b"$%d\r\n%b\r\n" % (len(text), text)

    def send(self, call: CounterConnection, data: bytes) -> None:
        """Sends answers, delayed while the counter is slow. The same delay for all keeps their order."""
        slow = self.timeline.on("counter slow")
        if slow is None:
            call.write(data)
        else:
            asyncio.get_running_loop().call_later(slow.delay_ms / 1000.0, call.write, data)

    async def serve(self) -> dict[str, int]:
        """Listens; returns the port for each role."""
        return await listen(
            {role: partial(CounterConnection, self, counts) for role, counts in self.counts_by_role.items()}
        )


class CountingReader:
    """Reader that counts the bytes read."""

    def __init__(self, reader: asyncio.StreamReader, counts: TrafficCounts) -> None:
        self.reader, self.counts = reader, counts

    async def read(self, most: int) -> bytes:
        data = await self.reader.read(most)
        self.counts.took += len(data)
        return data


class CountingWriter:
    """Writer that counts the bytes written."""

    def __init__(self, writer: asyncio.StreamWriter, counts: TrafficCounts) -> None:
        self.writer, self.counts, self.transport = writer, counts, writer.transport

    def write(self, data: bytes) -> None:
        self.counts.gave += len(data)
        self.writer.write(data)


class Rack(Node):
    """Stand-in for all servers of one rack. It records the duration of each command, and refuses connections
    while its rack or zone is away."""

    def __init__(self, site: Site, zone: int, rack: int) -> None:
        means = {kind.class_name: site.service_ms for kind in KINDS}
        super().__init__(f"r{zone}.{rack}", ServiceProfile(means, slots=4096, queue=4096))
        self.site, self.zone, self.rack, self.timeline = site, zone, rack, Timeline(site)
        self.counts = TrafficCounts()
        self.took_ms: dict[str, float] = {}  # duration of the last attempt here, by request id

    def away(self) -> bool:
        """Returns whether the rack or its zone is away."""
        return self.timeline.gone(self.zone + self.rack * self.site.zones)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.away():
            writer.transport.abort()
            return
        self.counts.links += 1
        await super().serve(CountingReader(reader, self.counts), CountingWriter(writer, self.counts))  # type: ignore[arg-type]

    async def answer(self, words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        if words[0].upper().startswith(b"CALL."):
            self.counts.calls += 1
        loop = asyncio.get_running_loop()
        began = loop.time()
        reply = await super().answer(words, writer)
        if len(words) > 2:
            self.took_ms[words[2].decode("latin-1")] = 1000.0 * (loop.time() - began)
        return reply

    async def reset_connections(self) -> None:
        """Resets its connections when its rack or zone goes away."""
        for fault in self.site.faults:
            if self.site.takes_down(fault, self.zone + self.rack * self.site.zones):
                await self.timeline.until(fault.start_s)
                for writer in self.writers:
                    with contextlib.suppress(Exception):
                        writer.transport.abort()
