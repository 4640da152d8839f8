"""Stand-in server of the platform's protocol that records what ran and fails according to a script.

It runs `slots` commands at once and queues up to `queue` more; further commands are rejected without running.
A repeat of an idempotency key within `idempotency_window_s` is served without a further effect, if its class
is one of `keyed_classes`. Pipelined commands do not wait for each other, up to `max_pipelined` per
connection, and are answered in order.
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
    account_id: bytes
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
    idempotency_window_s: float = 2.5  # how long an idempotency key is remembered
    max_pipelined: int = 32  # commands in progress on one connection
    keyed_classes: frozenset[str] = frozenset(
        {"check-order"}
    )  # classes in which a repeated key has no effect


class Node(Peer):
    """A stand-in server."""

    def __init__(self, name: str, profile: ServiceProfile, script: FaultScript | None = None) -> None:
        super().__init__()
        self.name, self.profile, self.script = name, profile, script or FaultScript()
        self.started_at = 0.0
        self.effects: list[Effect] = []
        self.received_count = 0  # complete and valid commands
        self.rejected_count = 0
        self.open_connections = 0
        self.peak_connections = 0  # most open at once
        self.accepted_connections = 0  # since the start
        self.read_count = 0  # reads from all connections
        self.running_count = self.queued_count = 0  # commands
        self.free_slots = asyncio.Semaphore(profile.slots)
        self.tasks: set[asyncio.Task[bytes | None]] = set()
        self.key_times: dict[bytes, float] = {}  # time of the last effect of each key
        self.key_order: deque[bytes] = deque()  # oldest key first

    async def start(self, port: int = 0) -> None:
        self.started_at = asyncio.get_running_loop().time()
        await super().start(port)

    def uptime_s(self) -> float:
        """Returns the seconds since the start."""
        return asyncio.get_running_loop().time() - self.started_at

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.script.fault(self.uptime_s(), (FaultKind.DOWN,)) is not None:
            writer.transport.abort()
            return
        replies: asyncio.Queue[asyncio.Task[bytes | None]] = asyncio.Queue(self.profile.max_pipelined)
        writing = asyncio.create_task(self.write_in_order(replies, writer))
        self.connection_tasks.add(writing)
        writing.add_done_callback(self.connection_tasks.discard)
        parser = hiredis.Reader()
        self.open_connections += 1
        self.accepted_connections += 1
        self.peak_connections = max(self.peak_connections, self.open_connections)
        try:
            while data := await reader.read(65536):
                self.read_count += 1
                parser.feed(data)
                while (command := parser.gets()) is not False:
                    task = asyncio.create_task(self.answer(command, writer))
                    self.tasks.add(task)  # the command completes even if its connection ends
                    task.add_done_callback(self.tasks.discard)
                    await replies.put(task)
        finally:
            self.open_connections -= 1
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
        for task in list(self.tasks):
            task.cancel()

    async def answer(self, command: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        """Handles a command and returns its reply; None if the connection ended or sends nothing more."""
        verb = command[0].upper()
        if verb in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        if verb == b"PING":
            return b"+PONG\r\n"
        if verb not in (b"CALL.GET", b"CALL.POST"):
            return b"-ERR unknown command\r\n"
        if not 4 <= len(command) <= 5 or FIELDS_PATTERN.fullmatch(command[3]) is None:
            return b"-SYNTAX\r\n"
        fields = dict(part.split(b"=", 1) for part in command[3].split(b","))
        if b"c" not in fields or b"d" not in fields:
            return b"-SYNTAX\r\n"
        self.received_count += 1
        fault = self.script.fault(self.uptime_s(), [kind for kind in FaultKind if kind is not FaultKind.DOWN])
        kind = fault.kind if fault is not None else None
        if kind is FaultKind.REFUSE or self.queued_count >= self.profile.queue:
            self.rejected_count += 1
            return b"-BUSY\r\n"
        if kind is FaultKind.FAIL:
            return b"-ERR failed\r\n"
        await self.execute(command, fields)
        if kind is FaultKind.DELAY and fault is not None:
            await asyncio.sleep(fault.delay_s)
        if kind is FaultKind.FREEZE and fault is not None:
            await asyncio.sleep(max(0.0, fault.to_s - self.uptime_s()))
        if kind is FaultKind.RESET:
            writer.transport.abort()
            return None
        if kind is FaultKind.VANISH:
            await asyncio.Event().wait()  # until the server stops
        value = b"report of " + command[2]
        load_report = b"inflight=%d,queue=%d" % (self.running_count, self.queued_count)
        reply = b"*3\r\n$%d\r\n%b\r\n*-1\r\n$%d\r\n%b\r\n" % (
            len(value),
            value,
            len(load_report),
            load_report,
        )
        if kind is FaultKind.GARBLE:
            return GARBLED_REPLY
        if kind is FaultKind.STALL:
            writer.write(reply[: len(reply) // 2])
            await asyncio.Event().wait()
        return reply

    async def execute(self, command: list[bytes], fields: dict[bytes, bytes]) -> None:
        """Waits for a slot and runs the command; a repeated key has no further effect."""
        class_name = fields[b"c"].decode("ascii", "replace")
        self.queued_count += 1
        try:
            await self.free_slots.acquire()
        finally:
            self.queued_count -= 1
        self.running_count += 1
        try:
            now = self.uptime_s()
            key = fields.get(b"k") if class_name in self.profile.keyed_classes else None
            if key is None or now - self.key_times.get(key, -1e9) > self.profile.idempotency_window_s:
                self.effects.append(Effect(now, class_name, command[1], command[2], key))
                if key is not None:
                    self.remember_key(key, now)
            half_service_s = 0.0005 * self.profile.service_ms.get(class_name, 20.0)
            await asyncio.sleep(half_service_s + self.script.rng.expovariate(1.0 / half_service_s))
        finally:
            self.running_count -= 1
            self.free_slots.release()

    def remember_key(self, key: bytes, now: float) -> None:
        """Remembers a key, and forgets the oldest one above `MAX_KEYS`."""
        if key not in self.key_times:
            self.key_order.append(key)
        self.key_times[key] = now
        if len(self.key_order) > MAX_KEYS:
            self.key_times.pop(self.key_order.popleft(), None)
