"""The list service, the counter and the servers of a scale run, with books of what each role's callers cost.

A role (real, hollow) is told apart by the port that it calls. Bytes are those of payloads on the sockets.
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

from lab.nodes import Node, Trade
from lab.scale.site import Site, Trouble
from lab.site import KINDS

SINCE = re.compile(rb"[?&]since=(\d+)")
TIMEOUT = re.compile(rb"[?&]timeout_ms=(\d+)")
KEPT = 20_000  # changes of the list that are known one by one
ROLES = ("real", "hollow")


@dataclass
class Book:
    """What callers of one role sent and got."""

    calls: int = 0
    took: int = 0  # bytes from them
    gave: int = 0  # bytes to them
    whole: int = 0  # whole lists among the answers
    links: int = 0  # connections ever made
    pings: int = 0
    times: list[float] = field(default_factory=list)  # of the calls, where kept

    def told(self) -> dict[str, int]:
        """For another process."""
        return {"calls": self.calls, "took": self.took, "gave": self.gave, "whole": self.whole,
                "links": self.links, "pings": self.pings}  # fmt: skip


class Timeline:
    """The site's troubles by this process's clock; `begin` gives it its zero."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.began: float | None = None  # loop time of second 0

    def begin(self, unix: float) -> None:
        """Second 0 is at this Unix time."""
        self.began = asyncio.get_running_loop().time() + unix - time.time()

    def now(self) -> float:
        """Seconds since measuring began; negative before."""
        return asyncio.get_running_loop().time() - self.began if self.began is not None else -1e9

    def zero(self, now: float) -> float:
        """When requests begin: with the measuring, where so many are to be asked, else at once."""
        return self.began if self.site.requests and self.began is not None else now

    def on(self, what: str) -> Trouble | None:
        """The trouble of this kind that is on."""
        now = self.now()
        return next((t for t in self.site.troubles if t.what == what and t.at_s <= now < t.to_s), None)

    def gone(self, server: int) -> bool:
        """Whether a server's rack or zone is away."""
        if not self.site.troubles:
            return False
        now = self.now()
        return any(t.at_s <= now < t.to_s and self.site.struck(t, server) for t in self.site.troubles)

    async def until(self, second: float) -> None:
        """Waits for that second."""
        while self.began is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(max(0.0, second - self.now()))


class ListCalls(asyncio.Protocol):
    """One connection to the list service."""

    def __init__(self, lists: Lists, book: Book) -> None:
        self.lists, self.book = lists, book
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.wait: asyncio.TimerHandle | None = None
        self.since: int | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.book.links += 1

    def data_received(self, data: bytes) -> None:
        self.book.took += len(data)
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            self.book.calls += 1
            self.book.times.append(self.lists.line.now())
            line = head.partition(b"\r\n")[0]
            since, wait = SINCE.search(line), TIMEOUT.search(line)
            self.since = int(since[1]) if since else None
            self.lists.called(self, min(60_000, int(wait[1]) if wait else 0) / 1000.0)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.lists.forget(self)

    def answer(self, body: bytes) -> None:
        """Sends one answer."""
        if self.transport is not None:
            data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            self.book.gave += len(data)
            self.transport.write(data)


class Lists:
    """The list of servers and the watches on it; answers are made once a version and sent to all."""

    def __init__(self, site: Site, rows: list[dict[str, Any]]) -> None:
        self.rows = {str(row["id"]): row for row in rows}
        self.line = Timeline(site)
        self.version = 1
        self.log: deque[tuple[int, dict[str, Any]]] = deque(maxlen=KEPT)
        self.waiting: set[ListCalls] = set()
        self.made: dict[int | None, bytes] = {}  # bodies of the present version
        self.books = {role: Book() for role in ROLES}
        self.told = 0  # rows that changed

    def update(self, rows: list[dict[str, Any]]) -> None:
        """These changed in one moment; state Gone takes a row off the list."""
        for row in rows:
            self.version += 1
            if row["state"] == "Gone":
                self.rows.pop(str(row["id"]), None)
            else:
                self.rows[str(row["id"])] = row
            self.log.append((self.version, row))
        self.told += len(rows)
        self.made.clear()
        if self.line.on("lists silent") is None:
            self.release()

    def release(self) -> None:
        """Answers all that wait and for whom there is news."""
        for call in [one for one in self.waiting if one.since != self.version]:
            self.reply(call)

    def called(self, call: ListCalls, wait_s: float) -> None:
        """A call: answered at once if there is news, else when there is, or after its wait."""
        self.forget(call)
        silent = self.line.on("lists silent")
        if silent is not None:
            self.waiting.add(call)  # its answer comes with the service, if it is still wanted then
            call.wait = asyncio.get_running_loop().call_later(
                silent.to_s - self.line.now() + 0.01, self.reply, call
            )
        elif call.since != self.version or wait_s <= 0:
            self.reply(call)
        else:
            self.waiting.add(call)
            call.wait = asyncio.get_running_loop().call_later(wait_s, self.over, call)

    def over(self, call: ListCalls) -> None:
        """A wait has ended without news."""
        if self.line.on("lists silent") is None:
            self.reply(call)

    def forget(self, call: ListCalls) -> None:
        """It waits no more."""
        self.waiting.discard(call)
        if call.wait is not None:
            call.wait.cancel()
            call.wait = None

    def reply(self, call: ListCalls) -> None:
        """What is new since its version."""
        self.forget(call)
        body = self.made.get(call.since)
        if body is None:
            body = self.made[call.since] = json.dumps(self.body(call.since)).encode()
        call.book.whole += call.since is None
        call.answer(body)

    def body(self, since: int | None) -> dict[str, Any]:
        """Changes where they are known, else all."""
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
        """Listens; the port for each role."""
        return await listen({role: partial(ListCalls, self, book) for role, book in self.books.items()})


async def listen(made: dict[str, Callable[[], asyncio.Protocol]]) -> dict[str, int]:
    """A port for each role."""
    loop, ports = asyncio.get_running_loop(), {}
    for role, factory in made.items():
        server = await loop.create_server(factory, "127.0.0.1", 0, backlog=4096)
        ports[role] = int(server.sockets[0].getsockname()[1])
    return ports


class CounterCalls(asyncio.Protocol):
    """One connection to the counter."""

    def __init__(self, totals: Totals, book: Book) -> None:
        self.totals, self.book = totals, book
        self.transport: asyncio.Transport | None = None
        self.parser = hiredis.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.book.links += 1

    def data_received(self, data: bytes) -> None:
        self.book.took += len(data)
        self.parser.feed(data)
        out: list[bytes] = []
        while (words := self.parser.gets()) is not False:
            out.append(self.totals.call(words, self.book))
        if out:
            self.totals.send(self, b"".join(out))

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def write(self, data: bytes) -> None:
        """Answers leave."""
        if self.transport is not None:
            self.book.gave += len(data)
            self.transport.write(data)


class Totals:
    """The counter: a name starts at 0 and is forgotten when its first call's time is up."""

    def __init__(self, site: Site) -> None:
        self.line = Timeline(site)
        self.names: dict[bytes, tuple[float, float]] = {}
        self.swept = 0.0
        self.most = 0  # names held at once
        self.books = {role: Book() for role in ROLES}

    def call(self, words: list[bytes], book: Book) -> bytes:
        """One call's answer."""
        verb = words[0].upper()
        if verb == b"PING":
            book.pings += 1
            return b"+PONG\r\n"
        if verb != b"INCRTTL" or len(words) != 4:
            return b"-ERR no such call\r\n"
        book.calls += 1
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

    def send(self, call: CounterCalls, data: bytes) -> None:
        """Answers, late where the counter is slow. One delay for all keeps their order."""
        slow = self.line.on("counter slow")
        if slow is None:
            call.write(data)
        else:
            asyncio.get_running_loop().call_later(slow.value / 1000.0, call.write, data)

    async def serve(self) -> dict[str, int]:
        """Listens; the port for each role."""
        return await listen({role: partial(CounterCalls, self, book) for role, book in self.books.items()})


class Reading:
    """A reader that books what it read."""

    def __init__(self, reader: asyncio.StreamReader, book: Book) -> None:
        self.reader, self.book = reader, book

    async def read(self, most: int) -> bytes:
        data = await self.reader.read(most)
        self.book.took += len(data)
        return data


class Writing:
    """A writer that books what it wrote."""

    def __init__(self, writer: asyncio.StreamWriter, book: Book) -> None:
        self.writer, self.book, self.transport = writer, book, writer.transport

    def write(self, data: bytes) -> None:
        self.book.gave += len(data)
        self.writer.write(data)


class Rack(Node):
    """The stand-in of all servers of one rack. It keeps the time that each command took here, and is away
    while its rack or zone is."""

    def __init__(self, site: Site, zone: int, rack: int) -> None:
        means = {kind.class_name: site.service_ms for kind in KINDS}
        super().__init__(f"r{zone}.{rack}", Trade(means, slots=4096, queue=4096))
        self.site, self.zone, self.rack, self.line = site, zone, rack, Timeline(site)
        self.book = Book()
        self.took_ms: dict[str, float] = {}  # by request, of its last attempt here

    def away(self) -> bool:
        """Whether it is."""
        return self.line.gone(self.zone + self.rack * self.site.zones)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.away():
            writer.transport.abort()
            return
        self.book.links += 1
        await super().serve(Reading(reader, self.book), Writing(writer, self.book))  # type: ignore[arg-type]

    async def answer(self, words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        if words[0].upper().startswith(b"CALL."):
            self.book.calls += 1
        loop = asyncio.get_running_loop()
        began = loop.time()
        reply = await super().answer(words, writer)
        if len(words) > 2:
            self.took_ms[words[2].decode("latin-1")] = 1000.0 * (loop.time() - began)
        return reply

    async def fall(self) -> None:
        """Its connections end when its rack or zone goes."""
        for trouble in self.site.troubles:
            if self.site.struck(trouble, self.zone + self.rack * self.site.zones):
                await self.line.until(trouble.at_s)
                for writer in self.writers:
                    with contextlib.suppress(Exception):
                        writer.transport.abort()
