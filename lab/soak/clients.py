"""Clients of the soak test.

They reuse each connection until it ends, and record the answers to their requests.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any

import hiredis

from glenchute.protocol import resp2
from lab.load import classify_reply
from lab.soak.records import RequestRecord, RunRecords
from lab.soak.schedule import Schedule

CLASSES = (("report-read", 0.6), ("check-order", 0.25), ("check-charge", 0.15))  # name, share of requests
PLANS = (b"osnovni", b"standard", b"korporativni")
# The answers of `classify_reply`, and their names in the records.
ANSWERS = {"served": "served", "refused": "rejected", "failed": "failed"}
PIECE_PAUSE_S = 0.02  # pause between the writes of a batch that is sent in pieces
CONNECT_TIMEOUT_S = 0.3  # after this time without a connection, no process is considered to listen
LARGE_COMMAND = resp2.encode_command(b"PING", b"x" * 60_000)


def random_requests(rng: random.Random, longest_ms: int) -> Iterator[RequestRecord]:
    """Yields random requests of all classes.

    Deadlines are `longest_ms`, or down to half of that.
    """
    serial = 0
    while True:
        serial += 1
        class_name = rng.choices([name for name, _ in CLASSES], [share for _, share in CLASSES])[0]
        deadline_ms = longest_ms if rng.random() < 0.5 else int(longest_ms * rng.uniform(0.5, 1.0))
        request_id, key = b"%016x" % serial, b"key%d" % serial if class_name == "check-order" else None
        account = rng.randrange(60)
        fields = b"c=%b,t=%b,d=%d" % (class_name.encode(), PLANS[account % 3], deadline_ms)
        if key is not None:
            fields += b",k=" + key
        command = [b"CALL.GET" if class_name == "report-read" else b"CALL.POST", b"%016x" % (1000 + account)]
        command += [request_id, fields, *([] if class_name == "report-read" else [b"body"])]
        yield RequestRecord(request_id, class_name, deadline_ms / 1000.0, key, resp2.encode_command(*command))


class SoakConnection(asyncio.Protocol):
    """A client connection and the requests that are pending on it."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.parser = hiredis.Reader()
        self.pending: deque[RequestRecord] = deque()
        self.answered_count = 0
        self.last_answer_at = 0.0
        self.ended = loop.create_future()
        self.on_answer: Callable[[], None] = lambda: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        self.parser.feed(data)
        now = self.loop.time()
        while (reply := self.parser.gets()) is not False:
            self.record_answer(now, reply)
        self.on_answer()

    def record_answer(self, now: float, reply: Any) -> None:
        """Records a reply as the answer to the oldest pending request."""
        if not self.pending:
            return  # the reply concerns the connection, not a request
        request = self.pending.popleft()
        request.previous_answer_at = self.last_answer_at
        request.answered_at = self.last_answer_at = now
        request.answer = ANSWERS[classify_reply(reply)[0]]
        request.answer_count += 1
        self.answered_count += 1

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if not self.ended.done():
            self.ended.set_result(None)
        self.on_answer()

    def is_open(self) -> bool:
        """Returns whether another request can be sent."""
        return self.transport is not None and not self.transport.is_closing()


class SoakClients:
    """The clients of one run."""

    def __init__(self, schedule: Schedule, records: RunRecords, port: Callable[[], int]) -> None:
        self.schedule, self.records, self.port = schedule, records, port
        self.rng = random.Random(f"clients {schedule.seed}")
        self.loop = asyncio.get_running_loop()
        self.requests = random_requests(self.rng, schedule.longest_deadline_ms)
        self.may_connect = True  # whether clients open new connections
        self.is_over = False
        self.tasks: set[asyncio.Task[None]] = set()
        self.checked_tasks: set[asyncio.Task[None]] = set()  # tasks of the clients whose requests are checked

    def start(self) -> None:
        """Starts all clients."""
        interval_s = self.schedule.client_count / self.schedule.rate_per_s
        for _ in range(self.schedule.client_count):
            self.checked_tasks.add(self.spawn(self.client(interval_s)))
        for _ in range(self.schedule.idle_clients):
            self.spawn(self.idle_client())
        for _ in range(self.schedule.slow_readers):
            self.spawn(self.slow_reader())

    def spawn(self, client: Any) -> asyncio.Task[None]:
        """Runs a client coroutine in a task of its own."""
        task = self.loop.create_task(client)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def finish(self) -> None:
        """Stops sending requests and waits for the pending ones."""
        self.is_over, self.may_connect = True, False
        longest_s = self.schedule.longest_deadline_ms / 1000.0
        if self.checked_tasks:
            await asyncio.wait(self.checked_tasks, timeout=2.0 * longest_s + 4.0)

    async def stop(self) -> None:
        """Cancels all clients and waits for them."""
        self.is_over = True
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def connect(self) -> SoakConnection | None:
        """Opens a connection; None if no process accepts it."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self.loop.create_connection(
                    lambda: SoakConnection(self.loop), "127.0.0.1", self.port()
                )
                return connection
        except (OSError, TimeoutError):
            return None

    async def client(self, interval_s: float) -> None:
        """Sends batches of requests on one connection while it is open, then on the next.

        `interval_s` is the mean pause before a batch.
        """
        connection: SoakConnection | None = None
        while not self.is_over:
            await asyncio.sleep(self.rng.expovariate(1.0 / interval_s))
            if connection is None or not connection.is_open():
                connection = await self.connect() if self.may_connect else None
            if connection is None:
                continue
            depth = self.rng.randint(2, 6) if self.rng.random() < self.schedule.pipelined_share else 1
            batch = [next(self.requests) for _ in range(depth)]
            disconnects = self.rng.random() < self.schedule.disconnecting_share
            await self.exchange(connection, batch, disconnects)

    async def exchange(
        self, connection: SoakConnection, batch: list[RequestRecord], disconnects: bool
    ) -> None:
        """Sends a batch and waits until all of it is answered or the connection ends.

        A client that `disconnects` closes the connection shortly after sending instead.
        """
        requests = batch
        if not await self.send(connection, batch):
            requests = [request for request in requests if request.sent_at is not None]
        if not requests:
            return
        if disconnects:
            await asyncio.sleep(self.rng.uniform(0.0, 0.03))
            self.disconnect(connection, requests)
            return
        timeout_s = max(request.deadline_s for request in requests) + 2.0
        await self.wait(connection, requests, timeout_s)
        unanswered = [request for request in requests if request.answer_count == 0]
        if unanswered:
            await self.repeat_once(connection, unanswered)

    async def send(self, connection: SoakConnection, batch: list[RequestRecord]) -> bool:
        """Writes a batch, sometimes in pieces; False if the connection ended before the last byte."""
        data = b"".join(request.command for request in batch)
        is_split = self.rng.random() < self.schedule.split_share
        offsets = sorted(self.rng.sample(range(1, len(data)), 2)) if is_split else []
        begin = 0
        for end in [*offsets, len(data)]:
            if connection.transport is None or connection.transport.is_closing():
                return False
            self.record_sent(connection, batch, end)
            connection.transport.write(data[begin:end])
            begin = end
            if offsets and end < len(data):
                await asyncio.sleep(PIECE_PAUSE_S)
        return True

    def record_sent(self, connection: SoakConnection, batch: list[RequestRecord], end: int) -> None:
        """Records the requests whose last byte is before `end`, just before the write."""
        request_end = 0
        for request in batch:
            request_end += len(request.command)
            if request.sent_at is None and request_end <= end:
                request.sent_at = self.loop.time()
                self.records.requests[request.request_id] = request
                connection.pending.append(request)

    async def wait(self, connection: SoakConnection, requests: list[RequestRecord], timeout_s: float) -> None:
        """Waits until all requests are answered, the connection ends, or the time is up."""
        changed = asyncio.Event()
        connection.on_answer = changed.set
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while connection.transport is not None and any(
                    request.answer_count == 0 for request in requests
                ):
                    changed.clear()
                    await changed.wait()

    def disconnect(self, connection: SoakConnection, requests: list[RequestRecord]) -> None:
        """Closes the connection without waiting for answers."""
        now = self.loop.time()
        for request in requests:
            if request.answer_count == 0:
                request.disconnected_at = now
        connection.pending.clear()
        if connection.transport is not None:
            connection.transport.abort()

    async def repeat_once(self, connection: SoakConnection, requests: list[RequestRecord]) -> None:
        """Sends requests whose connection ended without an answer once more, if the protocol asks for it.

        The gateway may close a connection that has carried requests before while a command is on its way.
        Each request is then sent once more, alone on a new connection, and must be answered. While idle
        clients fill the descriptors, it may shut new connections unread too: then a request is sent once more
        as well, and is turned away if that connection ends without a byte, too.
        """
        is_crowded = self.schedule.idle_clients > 0
        if connection.transport is not None or not (connection.answered_count or is_crowded):
            return
        for request in requests:
            retry = await self.connect()
            if retry is None or retry.transport is None:
                request.is_unreachable = True
                continue
            request.sent_at = self.loop.time()
            retry.pending.append(request)
            retry.transport.write(request.command)
            await self.wait(retry, [request], request.deadline_s + 2.0)
            request.is_turned_away = is_crowded and retry.transport is None and not request.answer_count
            if retry.transport is not None:
                retry.transport.abort()

    async def idle_client(self) -> None:
        """Sends one PING on a connection, holds it for up to a second, and connects again."""
        while not self.is_over:
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            if not self.may_connect or (connection := await self.connect()) is None:
                continue
            if connection.transport is not None:
                connection.transport.write(resp2.encode_command(b"PING"))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await asyncio.shield(connection.ended)
            if connection.transport is not None:
                connection.transport.abort()

    async def slow_reader(self) -> None:
        """Requests megabytes of replies and reads none of them."""
        while not self.is_over:
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
            if not self.may_connect or (connection := await self.connect()) is None:
                continue
            if connection.transport is not None:
                connection.transport.pause_reading()
                for _ in range(60):
                    connection.transport.write(LARGE_COMMAND)
            await asyncio.sleep(2.0)
            if connection.transport is not None:
                connection.transport.abort()
