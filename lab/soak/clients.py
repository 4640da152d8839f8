"""The soak's clients: they use open connections until these end, and keep books of their answers."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any

import hiredis

from glenchute.protocol import resp2
from lab.load import read
from lab.soak.books import AskedRequest, Books
from lab.soak.schedule import Schedule

CLASSES = (("report-read", 0.6), ("check-order", 0.25), ("check-charge", 0.15))
PLANS = (b"osnovni", b"standard", b"korporativni")
ANSWERS = {"served": "served", "refused": "rejected", "failed": "failed"}
PIECE_PAUSE_S = 0.02
CONNECT_PATIENCE_S = 0.3  # a connection that is not accepted by then finds no process
LARGE_COMMAND = resp2.encode_command(b"PING", b"x" * 60_000)


def new_requests(rng: random.Random, longest_ms: int) -> Iterator[tuple[AskedRequest, bytes]]:
    """Requests of all classes, each with its command."""
    number = 0
    while True:
        number += 1
        class_name = rng.choices([name for name, _ in CLASSES], [share for _, share in CLASSES])[0]
        deadline_ms = longest_ms if rng.random() < 0.5 else int(longest_ms * rng.uniform(0.5, 1.0))
        request_id, key = b"%016x" % number, b"key%d" % number if class_name == "check-order" else None
        customer = rng.randrange(60)
        fields = b"c=%b,t=%b,d=%d" % (class_name.encode(), PLANS[customer % 3], deadline_ms)
        if key is not None:
            fields += b",k=" + key
        words = [b"CALL.GET" if class_name == "report-read" else b"CALL.POST", b"%016x" % (1000 + customer)]
        words += [request_id, fields, *([] if class_name == "report-read" else [b"body"])]
        yield AskedRequest(request_id, class_name, deadline_ms / 1000.0, key), resp2.encode_command(*words)


class SoakConnection(asyncio.Protocol):
    """One client connection and the requests on it."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.parser = hiredis.Reader()
        self.pending: deque[AskedRequest] = deque()
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
            self.take_answer(now, reply)
        self.on_answer()

    def take_answer(self, now: float, reply: Any) -> None:
        """The answer to the oldest request."""
        if not self.pending:
            return  # the gateway's word on the connection itself
        request = self.pending.popleft()
        request.due_from = self.last_answer_at
        request.answered_at = self.last_answer_at = now
        request.answer = ANSWERS[read(reply)[0]]
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
        """Whether another request may be sent."""
        return self.transport is not None and not self.transport.is_closing()


class SoakClients:
    """All clients of one run."""

    def __init__(self, schedule: Schedule, books: Books, port: Callable[[], int]) -> None:
        self.schedule, self.books, self.port = schedule, books, port
        self.rng = random.Random(f"clients {schedule.seed}")
        self.loop = asyncio.get_running_loop()
        self.requests = new_requests(self.rng, schedule.longest_deadline_ms)
        self.accepts_new = True  # new connections are made
        self.is_over = False
        self.tasks: set[asyncio.Task[None]] = set()
        self.asking: set[asyncio.Task[None]] = set()  # of these, the clients whose requests are judged

    def start(self) -> None:
        """All clients begin."""
        each_s = self.schedule.clients / self.schedule.rate_per_s
        for _ in range(self.schedule.clients):
            self.asking.add(self.spawn(self.client(each_s)))
        for _ in range(self.schedule.crowd):
            self.spawn(self.one_of_the_crowd())
        for _ in range(self.schedule.slow_readers):
            self.spawn(self.slow_reader())

    def spawn(self, work: Any) -> asyncio.Task[None]:
        """Runs a client in a task of its own."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def finish(self) -> None:
        """Sends nothing more, and waits for what is under way."""
        self.is_over, self.accepts_new = True, False
        most_s = self.schedule.longest_deadline_ms / 1000.0
        if self.asking:
            await asyncio.wait(self.asking, timeout=2.0 * most_s + 4.0)

    async def stop(self) -> None:
        """All clients end."""
        self.is_over = True
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def connect(self) -> SoakConnection | None:
        """A new connection; None where no process accepts it."""
        try:
            async with asyncio.timeout(CONNECT_PATIENCE_S):
                _, connection = await self.loop.create_connection(
                    lambda: SoakConnection(self.loop), "127.0.0.1", self.port()
                )
                return connection
        except (OSError, TimeoutError):
            return None

    async def client(self, each_s: float) -> None:
        """A client that uses one connection as long as it is open, then the next."""
        connection: SoakConnection | None = None
        while not self.is_over:
            await asyncio.sleep(self.rng.expovariate(1.0 / each_s))
            if connection is None or not connection.is_open():
                connection = await self.connect() if self.accepts_new else None
            if connection is None:
                continue
            depth = self.rng.randint(2, 6) if self.rng.random() < self.schedule.pipelined_share else 1
            batch = [next(self.requests) for _ in range(depth)]
            leaves = self.rng.random() < self.schedule.leaving_share
            await self.exchange(connection, batch, leaves)

    async def exchange(
        self, connection: SoakConnection, batch: list[tuple[AskedRequest, bytes]], leaves: bool
    ) -> None:
        """Some requests at once, until all are answered or the connection ends."""
        requests = [request for request, _ in batch]
        if not await self.send(connection, batch):
            requests = [request for request in requests if request.sent_at is not None]
        if not requests:
            return
        if leaves:
            await asyncio.sleep(self.rng.uniform(0.0, 0.03))
            self.leave(connection, requests)
            return
        patience_s = max(request.deadline_s for request in requests) + 2.0
        await self.wait(connection, requests, patience_s)
        cut = [request for request in requests if request.answer_count == 0]
        if cut:
            await self.repeat(connection, cut)

    async def send(self, connection: SoakConnection, batch: list[tuple[AskedRequest, bytes]]) -> bool:
        """Writes them, some in pieces; False where the connection ended before the last byte."""
        data = b"".join(command for _, command in batch)
        in_pieces = self.rng.random() < self.schedule.in_pieces_share
        cuts = sorted(self.rng.sample(range(1, len(data)), 2)) if in_pieces else []
        begin = 0
        for end in [*cuts, len(data)]:
            if connection.transport is None or connection.transport.is_closing():
                return False
            self.record(connection, batch, end)
            connection.transport.write(data[begin:end])
            begin = end
            if cuts and end < len(data):
                await asyncio.sleep(PIECE_PAUSE_S)
        return True

    def record(self, connection: SoakConnection, batch: list[tuple[AskedRequest, bytes]], end: int) -> None:
        """The bytes of a batch up to this one are about to be written: requests that are whole are sent."""
        request_end = 0
        for request, command in batch:
            request_end += len(command)
            if request.sent_at is None and request_end <= end:
                request.sent_at = self.loop.time()
                self.books.requests[request.request_id] = request
                connection.pending.append(request)

    async def wait(self, connection: SoakConnection, requests: list[AskedRequest], patience_s: float) -> None:
        """Until all are answered, or the connection has ended, or no longer than the patience."""
        changed = asyncio.Event()
        connection.on_answer = changed.set
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(patience_s):
                while connection.transport is not None and any(one.answer_count == 0 for one in requests):
                    changed.clear()
                    await changed.wait()

    def leave(self, connection: SoakConnection, requests: list[AskedRequest]) -> None:
        """The client closes its connection without waiting."""
        now = self.loop.time()
        for request in requests:
            if request.answer_count == 0:
                request.left_at = now
        connection.pending.clear()
        if connection.transport is not None:
            connection.transport.abort()

    async def repeat(self, connection: SoakConnection, requests: list[AskedRequest]) -> None:
        """Requests whose connection ended without an answer. On a connection that had carried requests before
        that may be a crossing: what is sent once more, alone, on a new connection, has to be answered."""
        was_used = connection.answered_count > 0
        if connection.transport is not None or not was_used:
            for request in requests:
                request.is_cut = True
            return
        for request in requests:
            again = await self.connect()
            if again is None or again.transport is None:
                request.is_unreachable = True
                continue
            fields = {b"report-read": b"CALL.GET"}.get(request.class_name.encode(), b"CALL.POST")
            words = [fields, b"%016x" % 1000, request.request_id]
            text = b"c=%b,t=osnovni,d=%d" % (request.class_name.encode(), int(1000 * request.deadline_s))
            words.append(text + (b",k=" + request.key if request.key else b""))
            if fields == b"CALL.POST":
                words.append(b"body")
            request.sent_at = self.loop.time()
            again.pending.append(request)
            again.transport.write(resp2.encode_command(*words))
            await self.wait(again, [request], request.deadline_s + 2.0)
            if again.transport is not None:
                again.transport.abort()

    async def one_of_the_crowd(self) -> None:
        """Asks once on a connection of its own, keeps it, and comes again."""
        while not self.is_over:
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            if not self.accepts_new or (connection := await self.connect()) is None:
                continue
            if connection.transport is not None:
                connection.transport.write(resp2.encode_command(b"PING"))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await asyncio.shield(connection.ended)
            if connection.transport is not None:
                connection.transport.abort()

    async def slow_reader(self) -> None:
        """Asks for megabytes and reads none of them."""
        while not self.is_over:
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
            if not self.accepts_new or (connection := await self.connect()) is None:
                continue
            if connection.transport is not None:
                connection.transport.pause_reading()
                for _ in range(60):
                    connection.transport.write(LARGE_COMMAND)
            await asyncio.sleep(2.0)
            if connection.transport is not None:
                connection.transport.abort()
