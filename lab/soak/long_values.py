"""Runs one schedule of the soak of long values.

The gateway is a real process; the stand-in services and the clients run in this process.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import re
import signal
import socket
import tempfile
from collections.abc import Awaitable, Iterator
from pathlib import Path
from typing import Any

import hiredis

from glenchute.protocol import resp2
from lab.nodes import Node, ServiceProfile
from lab.peers import read_commands
from lab.site import SETTINGS, LabSite
from lab.soak.long_value_records import CommandRecord, LongValueRecords, ToldTime, ValueRecord
from lab.soak.long_value_schedule import (
    PAUSED_VALUE,
    LongValueSchedule,
    TrailerEnd,
    ValueBehavior,
    ValueEnd,
)
from lab.soak.run import READY_TIMEOUT_S, SoakGateway

SERVERS = 6
# The latency objective and the longest deadline of each class of the settings, in their order.
CLASS_LIMITS_MS = ((1200.0, 3000.0), (1500.0, 4000.0), (2500.0, 6000.0))
SERVICE_S = 0.05
SEGMENT_BYTES = 1448  # as on an Ethernet; with the loopback's own of 64 KiB a small window is probed only
RECEIVE_BUFFER_BYTES = 65536
READ_PATIENCE_S, CHARGE_PATIENCE_S = 3.0, 6.0
LATE_READ_S = 2.0  # time for which late readers do not read, and in which slow writers write their head
SMALL_VALUE_BYTES = 60_000
LATE_READS = 15  # of each late reader, before its charge
BATCH_CHARGES = 3
CLIENT_LIMIT_S = 9.0  # after which a client that waits for an answer gives up
SETTLED_S = 0.5  # time in which pausing and late readers have their first bytes
EARLY_END_S = 0.8
END_TIMEOUT_S = 5.0  # for the process to end after its SIGTERM
LAG_CHECK_INTERVAL_S = 0.01
TRAILER = b"*-1\r\n$18\r\ninflight=1,queue=0\r\n"
DEADLINE_PATTERN = re.compile(rb"(?:^|,)d=([0-9]+)")


def use_small_segments(sock: socket.socket) -> None:
    """Makes a socket, or those that a listening one accepts, send segments as on an Ethernet."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)


def behavior_of(schedule: LongValueSchedule, request_id: bytes) -> ValueBehavior:
    """Returns how the long value of a request is given."""
    return PAUSED_VALUE if request_id.startswith(b"p") else schedule.behavior(int(request_id[1:]))


class ValueServer(Node):
    """A server that answers requests by the first letter of their ids: p and v for a long value, to a client
    that pauses and to one that reads at once, s for one of 60 KB; any other is a charge."""

    def __init__(self, name: str, schedule: LongValueSchedule, records: LongValueRecords) -> None:
        super().__init__(name, ServiceProfile({}))
        self.schedule, self.records = schedule, records
        self.is_silent = False

    async def start(self, port: int = 0) -> None:
        await super().start(port)
        assert self.server is not None
        for sock in self.server.sockets:
            use_small_segments(sock)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async for words in read_commands(reader):
            if words[0].upper() in (b"CLIENT", b"SELECT"):
                writer.write(b"+OK\r\n")
                continue
            deadline = DEADLINE_PATTERN.search(words[3])
            assert deadline is not None
            now = asyncio.get_running_loop().time()
            self.records.attempts.append(ToldTime(words[2], now, int(deadline[1]) / 1000.0))
            if self.is_silent:
                await asyncio.Event().wait()
            if words[2].startswith((b"p", b"v")):
                await self.give_long_value(words[2], writer)
            else:
                await self.give_short_value(words[2], writer)

    async def give_short_value(self, request_id: bytes, writer: asyncio.StreamWriter) -> None:
        """Answers at once."""
        await asyncio.sleep(SERVICE_S)
        value = bytes(SMALL_VALUE_BYTES) if request_id.startswith(b"s") else b"done " + request_id
        writer.write(b"*3\r\n" + resp2.encode_bulk(value) + TRAILER)
        self.records.commands[request_id].served_at = asyncio.get_running_loop().time()

    async def give_long_value(self, request_id: bytes, writer: asyncio.StreamWriter) -> None:
        """Gives a long value as its schedule says."""
        behavior = behavior_of(self.schedule, request_id)
        given_bytes = behavior.size_bytes // 2
        writer.write(b"*3\r\n$%d\r\n" % behavior.size_bytes + bytes(given_bytes))
        await writer.drain()
        await asyncio.sleep(behavior.pause_s)
        match behavior.end:
            case ValueEnd.RESET:
                writer.transport.abort()
            case ValueEnd.CLOSE:
                writer.close()
            case ValueEnd.SILENCE:
                await asyncio.Event().wait()
            case ValueEnd.WHOLE:
                writer.write(bytes(behavior.size_bytes - given_bytes) + b"\r\n")
                await writer.drain()
                await self.end_reply(request_id, writer)

    async def end_reply(self, request_id: bytes, writer: asyncio.StreamWriter) -> None:
        """Ends the reply behind its value. A reset takes bytes with it that were not read yet, so that the
        value does not count as given."""
        behavior = behavior_of(self.schedule, request_id)
        if behavior.trailer is not TrailerEnd.RESET:
            self.records.commands[request_id].given_at = asyncio.get_running_loop().time()
        if behavior.trailer is not TrailerEnd.SENT:
            await asyncio.sleep(behavior.trailer_delay_s)
        match behavior.trailer:
            case TrailerEnd.SENT | TrailerEnd.LATE:
                writer.write(TRAILER)
            case TrailerEnd.RESET:
                writer.transport.abort()
            case TrailerEnd.CLOSE:
                writer.close()


class ValueClients:
    """The clients of one run. Each command has an account of its own."""

    def __init__(self, schedule: LongValueSchedule, records: LongValueRecords, port: int) -> None:
        self.schedule, self.records, self.port = schedule, records, port
        self.loop = asyncio.get_running_loop()
        self.serials: Iterator[int] = itertools.count(1)

    def command(self, kind: str, client: str, patience_s: float) -> tuple[CommandRecord, bytes]:
        """Returns the record and the bytes of a new command."""
        serial = next(self.serials)
        request_id = f"{kind}{serial}".encode()
        record = CommandRecord(request_id, patience_s, client)
        self.records.commands[request_id] = record
        class_name = b"check-charge" if kind == "c" else b"report-read"
        fields = b"c=%b,t=korporativni,d=%d" % (class_name, 1000 * patience_s)
        words = [b"CALL.POST" if kind == "c" else b"CALL.GET", b"%016x" % (1000 + serial), request_id, fields]
        return record, resp2.encode_command(*words, *([b"body"] if kind == "c" else []))

    async def connect(self) -> socket.socket:
        """Opens a connection with a small receive buffer."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        use_small_segments(sock)
        await self.loop.sock_connect(sock, ("127.0.0.1", self.port))
        return sock

    async def send(self, sock: socket.socket, commands: list[tuple[CommandRecord, bytes]]) -> None:
        """Sends commands in one write."""
        await self.loop.sock_sendall(sock, b"".join(data for _, data in commands))
        for record, _ in commands:
            record.sent_at = self.loop.time()

    async def receive(self, sock: socket.socket) -> bytes:
        """Reads what has come; empty at the connection's end or reset."""
        with contextlib.suppress(ConnectionError):
            return await self.loop.sock_recv(sock, RECEIVE_BUFFER_BYTES)
        return b""

    async def read_answers(self, sock: socket.socket, commands: list[tuple[CommandRecord, bytes]]) -> None:
        """Reads the answers to commands, in their order, to the last one or the connection's end."""
        parser, unanswered = hiredis.Reader(), [record for record, _ in commands]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLIENT_LIMIT_S):
                while unanswered and (data := await self.receive(sock)):
                    parser.feed(data)
                    while parser.gets() is not False:
                        unanswered.pop(0).answer_count += 1
        for record in unanswered:
            record.connection_ended = True

    async def long_reader(self, pause_s: float) -> None:
        """Asks for a long value, and reads it after a pause behind its first bytes. The value is judged if
        there is no pause."""
        record, data = self.command("p" if pause_s else "v", "a reader", READ_PATIENCE_S)
        value = ValueRecord(record.request_id)
        if not pause_s:
            self.records.values.append(value)
        with contextlib.suppress(TimeoutError), await self.connect() as sock:
            await self.send(sock, [(record, data)])
            async with asyncio.timeout(CLIENT_LIMIT_S + pause_s):
                await self.read_value(sock, record, value, pause_s)

    async def read_value(
        self, sock: socket.socket, record: CommandRecord, value: ValueRecord, pause_s: float
    ) -> None:
        """Reads a long value until it is whole or the connection ends."""
        size_bytes = behavior_of(self.schedule, record.request_id).size_bytes
        whole_bytes = len(b"$%d\r\n" % size_bytes) + size_bytes + len(b"\r\n")
        received_bytes = 0
        while received_bytes < whole_bytes:
            waiting_since = self.loop.time()
            data = await self.receive(sock)
            if not received_bytes and data.startswith(b"-"):
                value.is_rejected = True
                return
            if received_bytes:
                value.longest_gap_s = max(value.longest_gap_s, self.loop.time() - waiting_since)
            if not data:
                return
            if not received_bytes:
                await asyncio.sleep(pause_s)
            received_bytes += len(data)
        value.is_whole = True
        record.answer_count += 1
        if record.given_at is not None:
            value.end_delay_s = self.loop.time() - record.given_at

    async def batch_client(self) -> None:
        """Sends a read with a long value and charges in one write."""
        commands = [self.command("v", "a batch", READ_PATIENCE_S)]
        commands += [self.command("c", "a batch", CHARGE_PATIENCE_S) for _ in range(BATCH_CHARGES)]
        with await self.connect() as sock:
            await self.send(sock, commands)
            await self.read_answers(sock, commands)

    async def late_reader(self) -> None:
        """Sends reads and a charge at once, and reads all answers 2 s later."""
        commands = [self.command("s", "a late reader", READ_PATIENCE_S) for _ in range(LATE_READS)]
        commands.append(self.command("c", "a late reader", CHARGE_PATIENCE_S))
        with await self.connect() as sock:
            await self.send(sock, commands)
            await asyncio.sleep(LATE_READ_S)
            await self.read_answers(sock, commands)

    async def slow_writer(self) -> None:
        """Takes 2 s for a command."""
        record, data = self.command("c", "a slow writer", CHARGE_PATIENCE_S)
        with contextlib.suppress(ConnectionError), await self.connect() as sock:
            await self.loop.sock_sendall(sock, data[: len(data) // 2])
            await asyncio.sleep(LATE_READ_S)
            await self.send(sock, [(record, data[len(data) // 2 :])])
            await self.read_answers(sock, [(record, data)])

    async def burst_client(self) -> None:
        """Sends many charges in one write; their clients wait for half of the time, or for all of it."""
        patience_s = (CHARGE_PATIENCE_S, CHARGE_PATIENCE_S / 2.0)
        commands = [
            self.command("c", "a burst", patience_s[number % 2])
            for number in range(self.schedule.burst_commands)
        ]
        with await self.connect() as sock:
            await self.send(sock, commands)
            await self.read_answers(sock, commands)

    def first_clients(self) -> list[Awaitable[None]]:
        """Returns the clients that come first."""
        schedule = self.schedule
        return [
            *(self.long_reader(schedule.reader_pause_s) for _ in range(schedule.pausing_readers)),
            *(self.late_reader() for _ in range(schedule.late_readers)),
            *([self.burst_client()] if schedule.burst_commands else []),
        ]

    def next_clients(self) -> list[Awaitable[None]]:
        """Returns the clients that come once the first ones have their first bytes."""
        schedule = self.schedule
        return [
            *(self.slow_writer() for _ in range(schedule.slow_writers)),
            *(self.long_reader(0.0) for _ in range(schedule.quick_readers)),
            *(self.batch_client() for _ in range(schedule.batch_clients)),
        ]

    async def run(self) -> None:
        """Runs all clients to their end."""
        clients = []
        for each in self.first_clients():
            clients.append(asyncio.ensure_future(each))
            await asyncio.sleep(0.003)
        await asyncio.sleep(SETTLED_S)
        for each in self.next_clients():
            clients.append(asyncio.ensure_future(each))
            await asyncio.sleep(0.002)
        await asyncio.gather(*clients, return_exceptions=True)


async def watch_lag(records: LongValueRecords) -> None:
    """Records the longest time for which this process did not run."""
    loop = asyncio.get_running_loop()
    while True:
        started = loop.time()
        await asyncio.sleep(LAG_CHECK_INTERVAL_S)
        lag_s = loop.time() - started - LAG_CHECK_INTERVAL_S
        records.longest_stall_s = max(records.longest_stall_s, lag_s)


def platform(site: LabSite, schedule: LongValueSchedule) -> dict[str, Any]:
    """Returns the platform's file, with packages that no client of the run exceeds."""
    packages = [plan | {"per_second": 1e5, "most_at_once": 4e5} for plan in SETTINGS["packages"]]
    for plan in packages:
        for name in ("ceiling_rate", "hard_burst", "ceiling_slack"):
            plan.pop(name, None)
    profiles = [
        profile | {"aim_ms": aim_ms, "hard_limit_ms": limit_ms}
        for profile, (aim_ms, limit_ms) in zip(SETTINGS["profiles"], CLASS_LIMITS_MS, strict=True)
    ]
    raw = site.platform(SETTINGS | {"packages": packages, "profiles": profiles})
    raw["limits"] |= {"memory_mb": schedule.memory_mb, "sockets": schedule.descriptors}
    return raw


def peak_mb(pid: int) -> float:
    """Returns the peak memory of a process, in MB."""
    match = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    return int(match[1]) * 1024 / 1e6 if match else 0.0


async def run_long_values(schedule: LongValueSchedule) -> LongValueRecords:
    """Runs a schedule and returns the records."""
    records = LongValueRecords(memory_mb=schedule.memory_mb)
    servers = [ValueServer(f"n{number}", schedule, records) for number in range(SERVERS)]
    servers[0].is_silent = schedule.has_silent_server
    lag_task = asyncio.create_task(watch_lag(records))
    async with LabSite(servers) as site:
        with tempfile.TemporaryDirectory() as folder:
            gateway = SoakGateway(Path(folder), platform(site, schedule))
            gateway.start()
            try:
                await gateway.ready(READY_TIMEOUT_S)
                await run_clients(schedule, records, gateway)
            finally:
                records.exit_status = await gateway.stop()
                lag_task.cancel()
                records.log = gateway.log_file.read_text(errors="replace")
    return records


async def run_clients(schedule: LongValueSchedule, records: LongValueRecords, gateway: SoakGateway) -> None:
    """Runs the clients, and ends the gateway while they run if the schedule says so."""
    assert gateway.process is not None
    clients = asyncio.create_task(ValueClients(schedule, records, gateway.port).run())
    if schedule.terminates_early:
        await asyncio.sleep(SETTLED_S + EARLY_END_S)
        gateway.send_signal(signal.SIGTERM)
        records.peak_mb = peak_mb(gateway.process.pid)
        await clients
        records.values.clear()  # what is on its way at the end of the process is cut off
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(END_TIMEOUT_S):
                while gateway.process.poll() is None:
                    await asyncio.sleep(LAG_CHECK_INTERVAL_S)
    else:
        await clients
        records.peak_mb = peak_mb(gateway.process.pid)
