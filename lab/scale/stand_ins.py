"""List service, counter and servers of a scale run, which count the traffic of real and of hollow gateways.

The list service and the counter listen on one port for each kind of gateway. Bytes are those of payloads on
the sockets.
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
MAX_LOGGED_CHANGES = 20_000  # a caller whose version is older gets a full list
CLEANUP_INTERVAL_S = 5.0  # between removals of the counter's expired keys
CALLER_KINDS = ("real", "hollow")


@dataclass
class TrafficCounts:
    """Traffic with the callers of one kind."""

    calls: int = 0
    received_bytes: int = 0
    sent_bytes: int = 0
    full_lists: int = 0  # among the answers
    accepted_connections: int = 0
    pings: int = 0
    call_times_s: list[float] = field(default_factory=list)  # recorded by the list service only

    def to_dict(self) -> dict[str, int]:
        """Returns the counts as JSON data for another process."""
        return {
            "calls": self.calls, "received_bytes": self.received_bytes, "sent_bytes": self.sent_bytes,
            "full_lists": self.full_lists, "accepted_connections": self.accepted_connections,
            "pings": self.pings,
        }  # fmt: skip


class Timeline:
    """The site's faults by this process's clock. Seconds count from the start of the measurement."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.zero_s: float | None = None  # loop time of second 0

    def set_zero(self, unix_s: float) -> None:
        """Sets second 0 to a Unix time."""
        self.zero_s = asyncio.get_running_loop().time() + unix_s - time.time()

    def now_s(self) -> float:
        """Returns the current second; negative before the measurement."""
        return asyncio.get_running_loop().time() - self.zero_s if self.zero_s is not None else -1e9

    def load_start_s(self, now_s: float) -> float:
        """Returns the loop time at which requests begin: with the measurement if their number is fixed, else
        `now_s`."""
        return self.zero_s if self.site.requests and self.zero_s is not None else now_s

    def active_fault(self, kind: str) -> SiteFault | None:
        """Returns the fault of this kind that is in effect, or None."""
        now = self.now_s()
        return next((f for f in self.site.faults if f.kind == kind and f.start_s <= now < f.end_s), None)

    def is_server_down(self, server: int) -> bool:
        """Returns whether a fault of its rack or zone has taken a server down."""
        if not self.site.faults:
            return False
        now = self.now_s()
        return any(f.start_s <= now < f.end_s and self.site.takes_down(f, server) for f in self.site.faults)

    async def wait_until(self, second: float) -> None:
        """Waits until a second of the timeline."""
        while self.zero_s is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(max(0.0, second - self.now_s()))


class ListConnection(asyncio.Protocol):
    """Connection to the list service."""

    def __init__(self, lists: ListService, counts: TrafficCounts) -> None:
        self.lists, self.counts = lists, counts
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.wait_timer: asyncio.TimerHandle | None = None  # set while a long poll waits
        self.since_version: int | None = None  # of the last call; None asks for a full list

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.counts.accepted_connections += 1

    def data_received(self, data: bytes) -> None:
        self.counts.received_bytes += len(data)
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            self.counts.calls += 1
            self.counts.call_times_s.append(self.lists.timeline.now_s())
            line = head.partition(b"\r\n")[0]
            since, timeout = SINCE.search(line), TIMEOUT.search(line)
            self.since_version = int(since[1]) if since else None
            self.lists.handle_call(self, min(60_000, int(timeout[1]) if timeout else 0) / 1000.0)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.lists.stop_waiting(self)

    def send_response(self, body: bytes) -> None:
        """Sends an HTTP response, unless the connection has ended."""
        if self.transport is not None:
            data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            self.counts.sent_bytes += len(data)
            self.transport.write(data)


class ListService:
    """List of servers and the long polls on it.

    All calls that ask for the changes since the same version get the same encoded body.
    """

    def __init__(self, site: Site, rows: list[dict[str, Any]]) -> None:
        self.rows = {str(row["id"]): row for row in rows}
        self.timeline = Timeline(site)
        self.version = 1
        self.change_log: deque[tuple[int, dict[str, Any]]] = deque(maxlen=MAX_LOGGED_CHANGES)
        self.waiting: set[ListConnection] = set()
        # Encoded bodies for the current version, by the version that a call named.
        self.encoded_bodies: dict[int | None, bytes] = {}
        self.counts_by_kind = {kind: TrafficCounts() for kind in CALLER_KINDS}
        self.changed_rows = 0

    def update(self, rows: list[dict[str, Any]]) -> None:
        """Applies changed rows and answers the calls that wait; a row with the state Gone is removed."""
        for row in rows:
            self.version += 1
            if row["state"] == "Gone":
                self.rows.pop(str(row["id"]), None)
            else:
                self.rows[str(row["id"])] = row
            self.change_log.append((self.version, row))
        self.changed_rows += len(rows)
        self.encoded_bodies.clear()
        if self.timeline.active_fault("lists silent") is None:
            self.answer_waiting()

    def answer_waiting(self) -> None:
        """Answers all waiting calls for which there is a newer version."""
        for call in [waiting for waiting in self.waiting if waiting.since_version != self.version]:
            self.answer(call)

    def handle_call(self, call: ListConnection, wait_s: float) -> None:
        """Answers a call at once if there is a newer version, else when there is one or after its wait."""
        self.stop_waiting(call)
        fault = self.timeline.active_fault("lists silent")
        if fault is not None:
            self.waiting.add(call)  # answered when the service is back, if the caller still waits then
            call.wait_timer = asyncio.get_running_loop().call_later(
                fault.end_s - self.timeline.now_s() + 0.01, self.answer, call
            )
        elif call.since_version != self.version or wait_s <= 0:
            self.answer(call)
        else:
            self.waiting.add(call)
            call.wait_timer = asyncio.get_running_loop().call_later(wait_s, self.on_wait_end, call)

    def on_wait_end(self, call: ListConnection) -> None:
        """Answers a call whose wait has ended without a newer version."""
        if self.timeline.active_fault("lists silent") is None:
            self.answer(call)

    def stop_waiting(self, call: ListConnection) -> None:
        """Removes a call from those that wait."""
        self.waiting.discard(call)
        if call.wait_timer is not None:
            call.wait_timer.cancel()
            call.wait_timer = None

    def answer(self, call: ListConnection) -> None:
        """Answers a call with the changes since its version."""
        self.stop_waiting(call)
        body = self.encoded_bodies.get(call.since_version)
        if body is None:
            body = json.dumps(self.changes_since(call.since_version)).encode()
            self.encoded_bodies[call.since_version] = body
        call.counts.full_lists += call.since_version is None
        call.send_response(body)

    def changes_since(self, since: int | None) -> dict[str, Any]:
        """Returns the changes since a version where they are logged, else the full list."""
        is_logged = (
            since is not None
            and since <= self.version
            and (since == self.version or (bool(self.change_log) and self.change_log[0][0] <= since + 1))
        )
        if not is_logged:
            return {"version": self.version, "full": True, "servers": list(self.rows.values())}
        changes: list[dict[str, Any]] = []
        for version, row in reversed(self.change_log):
            if version <= (since or 0):
                break
            changes.append(row)
        return {"version": self.version, "full": False, "servers": changes[::-1]}

    async def listen(self) -> dict[str, int]:
        """Listens; returns the port for each kind of caller."""
        return await listen_by_kind(
            {kind: partial(ListConnection, self, counts) for kind, counts in self.counts_by_kind.items()}
        )


async def listen_by_kind(factories: dict[str, Callable[[], asyncio.Protocol]]) -> dict[str, int]:
    """Listens on a port for each kind of caller; returns the ports."""
    loop, ports = asyncio.get_running_loop(), {}
    for kind, factory in factories.items():
        server = await loop.create_server(factory, "127.0.0.1", 0, backlog=4096)
        ports[kind] = int(server.sockets[0].getsockname()[1])
    return ports


class CounterConnection(asyncio.Protocol):
    """Connection to the counter."""

    def __init__(self, counter: CounterService, counts: TrafficCounts) -> None:
        self.counter, self.counts = counter, counts
        self.transport: asyncio.Transport | None = None
        self.parser = hiredis.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.counts.accepted_connections += 1

    def data_received(self, data: bytes) -> None:
        self.counts.received_bytes += len(data)
        self.parser.feed(data)
        replies: list[bytes] = []
        while (words := self.parser.gets()) is not False:
            replies.append(self.counter.execute(words, self.counts))
        if replies:
            self.counter.send(self, b"".join(replies))

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def write(self, data: bytes) -> None:
        """Sends replies, unless the connection has ended."""
        if self.transport is not None:
            self.counts.sent_bytes += len(data)
            self.transport.write(data)


class CounterService:
    """Counter. A key starts at 0 and expires after the time to live that its first call gives."""

    def __init__(self, site: Site) -> None:
        self.timeline = Timeline(site)
        self.keys: dict[bytes, tuple[float, float]] = {}  # total and time of expiry
        self.last_cleanup_s = 0.0
        self.peak_keys = 0  # most keys held at once
        self.counts_by_kind = {kind: TrafficCounts() for kind in CALLER_KINDS}

    def execute(self, words: list[bytes], counts: TrafficCounts) -> bytes:
        """Executes a command; returns its reply."""
        verb = words[0].upper()
        if verb == b"PING":
            counts.pings += 1
            return b"+PONG\r\n"
        if verb != b"INCRTTL" or len(words) != 4:
            return b"-ERR unknown command\r\n"
        counts.calls += 1
        now = time.monotonic()
        if now - self.last_cleanup_s > CLEANUP_INTERVAL_S:
            self.last_cleanup_s = now
            self.keys = {key: entry for key, entry in self.keys.items() if entry[1] > now}
        total, expires_at = self.keys.get(words[1], (0.0, -1.0))
        if now >= expires_at:
            total, expires_at = 0.0, now + min(60_000, int(words[3])) / 1000.0
        total += float(words[2])
        self.keys[words[1]] = total, expires_at
        self.peak_keys = max(self.peak_keys, len(self.keys))
        text = b"%.3f" % total
        return b"$%d\r\n%b\r\n" % (len(text), text)

    def send(self, connection: CounterConnection, data: bytes) -> None:
        """Sends replies, delayed while the counter is slow. The same delay for all keeps their order."""
        fault = self.timeline.active_fault("counter slow")
        if fault is None:
            connection.write(data)
        else:
            asyncio.get_running_loop().call_later(fault.delay_ms / 1000.0, connection.write, data)

    async def listen(self) -> dict[str, int]:
        """Listens; returns the port for each kind of caller."""
        return await listen_by_kind(
            {kind: partial(CounterConnection, self, counts) for kind, counts in self.counts_by_kind.items()}
        )


class CountingReader:
    """Reader that counts the bytes read."""

    def __init__(self, reader: asyncio.StreamReader, counts: TrafficCounts) -> None:
        self.reader, self.counts = reader, counts

    async def read(self, max_bytes: int) -> bytes:
        data = await self.reader.read(max_bytes)
        self.counts.received_bytes += len(data)
        return data


class CountingWriter:
    """Writer that counts the bytes written."""

    def __init__(self, writer: asyncio.StreamWriter, counts: TrafficCounts) -> None:
        self.writer, self.counts, self.transport = writer, counts, writer.transport

    def write(self, data: bytes) -> None:
        self.counts.sent_bytes += len(data)
        self.writer.write(data)


class Rack(Node):
    """Stand-in for all servers of one rack. It records the duration of each command, and aborts new
    connections while its rack or zone is down."""

    def __init__(self, site: Site, zone: int, rack: int) -> None:
        means = {kind.class_name: site.service_ms for kind in KINDS}
        super().__init__(f"r{zone}.{rack}", ServiceProfile(means, slots=4096, queue=4096))
        self.site, self.zone, self.rack, self.timeline = site, zone, rack, Timeline(site)
        self.counts = TrafficCounts()
        self.attempt_ms: dict[str, float] = {}  # duration of the last attempt here, by request id

    def first_server(self) -> int:
        """Returns the number of the rack's first server."""
        return self.zone + self.rack * self.site.zones

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.timeline.is_server_down(self.first_server()):
            writer.transport.abort()
            return
        self.counts.accepted_connections += 1
        await super().serve(CountingReader(reader, self.counts), CountingWriter(writer, self.counts))  # type: ignore[arg-type]

    async def answer(self, words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        if words[0].upper().startswith(b"CALL."):
            self.counts.calls += 1
        loop = asyncio.get_running_loop()
        started = loop.time()
        reply = await super().answer(words, writer)
        if len(words) > 2:
            self.attempt_ms[words[2].decode("latin-1")] = 1000.0 * (loop.time() - started)
        return reply

    async def reset_connections(self) -> None:
        """Resets its connections at the start of each fault of its rack or zone."""
        for fault in self.site.faults:
            if self.site.takes_down(fault, self.first_server()):
                await self.timeline.wait_until(fault.start_s)
                for writer in self.writers:
                    with contextlib.suppress(Exception):
                        writer.transport.abort()
