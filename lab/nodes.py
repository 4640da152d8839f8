"""Stand-in server of the platform's protocol that records what ran and fails according to a script.

It runs `slots` commands at once and queues up to `queue` more; further commands are rejected without running.
A repeat of an idempotency key within `memory_s` is answered as the first command was and has no effect.
Pipelined commands start at once, up to `streams` per connection, and are answered in order.
"""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

import hiredis

from lab.faults import FaultKind, FaultScript
from lab.peers import Peer

FIELDS_PATTERN = re.compile(rb"[a-z]+=[^,=]+(,[a-z]+=[^,=]+)*")
MAX_KEYS = 10_000
GARBLED_REPLY = b"\x00\xffnoise\r\n$3\r\n"


@dataclass(frozen=True, slots=True)
class Effect:
    """An effect of a command; `at` is in seconds since the server started."""

    at: float
    class_name: str
    customer: bytes
    request_id: bytes
    key: bytes | None


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """How a server works: mean service time by class, and its limits on concurrent and queued commands.

    Half of the service time is fixed and the other half is exponentially distributed.
    """

    service_ms: Mapping[str, float]
    slots: int = 8
    queue: int = 64
    memory_s: float = 2.5  # how long an idempotency key is remembered
    streams: int = 32  # commands in progress on one connection
    keyed: frozenset[str] = frozenset({"check-order"})  # classes whose repeats are dropped by key


class Node(Peer):
    """A stand-in server."""

    def __init__(self, name: str, trade: ServiceProfile, script: FaultScript | None = None) -> None:
        super().__init__()
        self.name, self.trade, self.script = name, trade, script or FaultScript()
        self.began = 0.0
        self.ran: list[Effect] = []
        self.received = 0  # complete and valid commands
        self.rejected_count = 0
        self.links = self.peak_connections = self.made = (
            0  # connections: open now, most open at once, total accepted
        )
        self.segments = 0  # reads from all connections
        self.inflight = self.waiting = 0
        self.free = asyncio.Semaphore(trade.slots)
        self.running: set[asyncio.Task[bytes | None]] = set()
        self.keys: dict[bytes, float] = {}  # when each key last ran
        self.order: deque[bytes] = deque()

    async def start(self, port: int = 0) -> None:
        self.began = asyncio.get_running_loop().time()
        await super().start(port)

    def age(self) -> float:
        """Returns the seconds since the start."""
        return asyncio.get_running_loop().time() - self.began

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.script.fault(self.age(), (FaultKind.DOWN,)) is not None:
            writer.transport.abort()
            return
        replies: asyncio.Queue[asyncio.Task[bytes | None]] = asyncio.Queue(self.trade.streams)
        writing = asyncio.create_task(self.write_in_order(replies, writer))
        self.serving.add(writing)
        writing.add_done_callback(self.serving.discard)
        parser = hiredis.Reader()
        self.links += 1
        self.made += 1
        self.peak_connections = max(self.peak_connections, self.links)
        try:
            while data := await reader.read(65536):
                self.segments += 1
                parser.feed(data)
                while (words := parser.gets()) is not False:
                    task = asyncio.create_task(self.answer(words, writer))
                    self.running.add(task)  # the command completes even if its connection ends
                    task.add_done_callback(self.running.discard)
                    await replies.put(task)
        finally:
            self.links -= 1
            writing.cancel()

    async def write_in_order(
        self, replies: asyncio.Queue[asyncio.Task[bytes | None]], writer: asyncio.StreamWriter
    ) -> None:
        """Writes replies in the order of the commands."""
        while True:
            reply = await (await replies.get())
            if reply is None:
                return  # the connection ended, or sends nothing more
            writer.write(reply)

    async def stop(self) -> None:
        await super().stop()
        for task in list(self.running):
            task.cancel()

    async def answer(self, words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        """Runs a command and returns its reply; None if the connection ended or sends nothing more."""
        verb = words[0].upper()
        if verb in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        if verb == b"PING":
            return b"+PONG\r\n"
        if verb not in (b"CALL.GET", b"CALL.POST"):
            return b"-ERR unknown command\r\n"
        if not 4 <= len(words) <= 5 or FIELDS_PATTERN.fullmatch(words[3]) is None:
            return b"-SYNTAX\r\n"
        fields = dict(part.split(b"=", 1) for part in words[3].split(b","))
        if b"c" not in fields or b"d" not in fields:
            return b"-SYNTAX\r\n"
        self.received += 1
        fault = self.script.fault(self.age(), [kind for kind in FaultKind if kind is not FaultKind.DOWN])
        kind = fault.kind if fault is not None else None
        if kind is FaultKind.REFUSE or self.waiting >= self.trade.queue:
            self.rejected_count += 1
            return b"-BUSY\r\n"
        if kind is FaultKind.FAIL:
            return b"-ERR failed\r\n"
        await self.work(words, fields)
        if kind is FaultKind.DELAY and fault is not None:
            await asyncio.sleep(fault.delay_s)
        if kind is FaultKind.FREEZE and fault is not None:
            await asyncio.sleep(max(0.0, fault.to_s - self.age()))
        if kind is FaultKind.RESET:
            writer.transport.abort()
            return None
        if kind is FaultKind.VANISH:
            await asyncio.Event().wait()  # until the server stops
        value = b"report of " + words[2]
        report = b"inflight=%d,queue=%d" % (self.inflight, self.waiting)
        reply = b"*3\r\n$%d\r\n%b\r\n*-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(report), report)
        if kind is FaultKind.GARBLE:
            return GARBLED_REPLY
        if kind is FaultKind.STALL:
            writer.write(reply[: len(reply) // 2])
            await asyncio.Event().wait()
        return reply

    async def work(self, words: list[bytes], fields: dict[bytes, bytes]) -> None:
        """Waits for a slot and runs the command; a repeated key has no further effect."""
        class_name = fields[b"c"].decode("ascii", "replace")
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.inflight += 1
        try:
            now = self.age()
            key = fields.get(b"k") if class_name in self.trade.keyed else None
            if key is None or now - self.keys.get(key, -1e9) > self.trade.memory_s:
                self.ran.append(Effect(now, class_name, words[1], words[2], key))
                if key is not None:
                    self.remember(key, now)
            half_s = 0.0005 * self.trade.service_ms.get(class_name, 20.0)
            await asyncio.sleep(half_s + self.script.rng.expovariate(1.0 / half_s))
        finally:
            self.inflight -= 1
            self.free.release()

    def remember(self, key: bytes, now: float) -> None:
        """Remembers a key, and forgets the oldest one above `MAX_KEYS`."""
        if key not in self.keys:
            self.order.append(key)
        self.keys[key] = now
        if len(self.order) > MAX_KEYS:
            self.keys.pop(self.order.popleft(), None)
