"""The shared counter: pipelined calls, replies matched in order, each call with a time-out.

Calls for one name always go over the same connection, so that their answers come in the order of the calls.
A call that was written and has no answer may have been added: it ends as a time-out and is never repeated.
"""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Callable

from glenchute.policy.connections.descriptor_budget import MAX_COUNTER_CONNECTIONS
from glenchute.policy.events import Outcome
from glenchute.protocol import resp2 as resp

TOTAL_PATTERN = re.compile(rb"-?[0-9]{1,15}(\.[0-9]{1,15})?(e[+-]?[0-9]{1,2})?")
MAX_TOTAL = 1e12
# Connections. Answers on one come in the order of its calls, so a call that a crowded part of the counter is
# slow to take up holds back the answers of the others behind it, and a spoilt answer ends them all.
DEFAULT_CONNECTIONS = MAX_COUNTER_CONNECTIONS  # unless the descriptors are few
PING_INTERVAL_S = 3.0  # the counter closes what has stood idle for about 10 s
REPLY_TIMEOUT_S = 1.5  # an answer this late means a peer that vanished; the connection is opened anew
CONNECT_TIMEOUT_S = 0.5
BACKOFF_S = (0.05, 1.0)

Completion = Callable[[float, Outcome, float], None]


class CounterCall:
    """One call; `done` takes the total, the ending and the milliseconds that it took, once. If that was a
    time-out, `late` takes the same once more when the truth is known, or never will be."""

    __slots__ = ("key", "on_done", "on_late_reply", "sent_at", "timer")

    def __init__(
        self, done: Completion | None, sent: float, name: int | None = None, late: Completion | None = None
    ) -> None:
        self.on_done = done
        self.on_late_reply = late
        self.sent_at = sent
        self.key = name
        self.timer: asyncio.TimerHandle | None = None

    def complete(self, now: float, ending: Outcome, total: float = 0.0) -> None:
        """Tells the ending, if it has not been told."""
        done, self.on_done = self.on_done, None
        if done is None:
            done, self.on_late_reply = self.on_late_reply, None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if done is not None:
            done(total, ending, 1000.0 * (now - self.sent_at))


class CounterConnection(asyncio.Protocol):
    """One connection to the counter, opened anew whenever it is lost."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int]) -> None:
        self.loop = loop
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.parser = resp.Parser()
        self.calls: deque[CounterCall] = (
            deque()
        )  # written and unanswered, late ones too, so that replies pair
        self.backoff = BACKOFF_S[0]
        self.is_retired = False  # takes no new calls, and closes when those that are out have ended
        self.is_closed = False  # is not opened anew
        self.has_answered = False  # the connection has answered
        self.last_used_at = 0.0
        self.connect_task: asyncio.Task[None] | None = None
        self.heartbeat_timer = loop.call_later(PING_INTERVAL_S, self.heartbeat)
        self.connect()

    def connect(self) -> None:
        """Opens the connection in the background."""
        if not self.is_closed:
            self.connect_task = self.loop.create_task(self.try_connect())

    async def try_connect(self) -> None:
        """One try; a failed one is followed by another after a pause."""
        try:
            await asyncio.wait_for(
                self.loop.create_connection(lambda: self, *self.address), CONNECT_TIMEOUT_S
            )
        except (OSError, TimeoutError):
            self.reconnect()

    def reconnect(self) -> None:
        """Another try: at once after the loss of a connection that answered, else later each time."""
        if self.has_answered:
            self.has_answered = False
            self.loop.call_soon(self.connect)
            return
        self.loop.call_later(self.backoff, self.connect)
        self.backoff = min(BACKOFF_S[1], 2.0 * self.backoff)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if self.is_closed:
            transport.abort()  # type: ignore[attr-defined]  # retired while it came up
            return
        self.parser = resp.Parser()
        self.write(resp.encode_command(b"PING"), CounterCall(None, self.loop.time()))

    def write(self, data: bytes, call: CounterCall) -> None:
        """Writes one call and waits for its answer in turn."""
        assert self.transport is not None
        self.calls.append(call)
        self.transport.write(data)

    def is_ready(self) -> bool:
        """Whether a call can be written."""
        return self.transport is not None and not self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed(data)
            while (reply := self.parser.next_message()) is not False:
                self.handle_reply(reply)
        except (resp.ProtocolError, IndexError):
            if self.transport is not None:
                self.transport.abort()  # replies no longer pair with calls
        if self.is_retired and not self.calls:
            self.close()

    def handle_reply(self, reply: object) -> None:
        """The reply to the oldest call. Only the protocol's own forms say what became of it; after any other
        the amount counts as added and the connection as of no use."""
        ending, total = Outcome.TIMEOUT, 0.0
        if self.calls[0].key is None:
            if reply != "PONG":
                raise resp.ProtocolError("no answer to a ping")
        elif isinstance(reply, bytes) and TOTAL_PATTERN.fullmatch(reply) and abs(float(reply)) <= MAX_TOTAL:
            ending, total = Outcome.OK, float(reply)
        elif isinstance(reply, resp.ReplyError) and (str(reply) == "BUSY" or str(reply)[:4] == "ERR "):
            ending = Outcome.REJECTED
        else:
            raise resp.ProtocolError("no total")
        self.has_answered, self.backoff = True, BACKOFF_S[0]
        self.calls.popleft().complete(self.loop.time(), ending, total)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        calls, self.calls = self.calls, deque()
        if not self.is_closed:
            self.reconnect()
        else:
            self.heartbeat_timer.cancel()
        for call in calls:
            call.complete(self.loop.time(), Outcome.TIMEOUT)  # it may have been added ...
            call.complete(self.loop.time(), Outcome.TIMEOUT)  # ... and nobody will know

    def heartbeat(self) -> None:
        """Keeps the connection from standing idle, and gives up one that has gone silent."""
        self.heartbeat_timer = self.loop.call_later(0.5, self.heartbeat)
        if self.transport is None:
            return
        now = self.loop.time()
        if self.calls:
            if now - self.calls[0].sent_at > REPLY_TIMEOUT_S:
                self.transport.abort()
        elif now - self.last_used_at > PING_INTERVAL_S:
            self.last_used_at = now
            self.write(resp.encode_command(b"PING"), CounterCall(None, now))

    def retire(self) -> None:
        """No new calls come; those that are out end first. The silence of a peer ends them too."""
        self.is_retired = self.is_closed = True
        if not self.calls:
            self.close()

    def abandon_key(self, name: int) -> None:
        """A call for this name goes out elsewhere: the answers for one name must keep their order."""
        for call in self.calls:
            if call.key == name:
                call.complete(self.loop.time(), Outcome.TIMEOUT)
                call.complete(self.loop.time(), Outcome.TIMEOUT)  # what it still tells would come out of turn

    def close(self) -> None:
        """The end of the connection, for good."""
        self.is_closed = True
        self.heartbeat_timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.transport is not None:
            self.transport.abort()


class CounterClient:
    """Calls to the counter."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        timeout_s: float,
        links: int = DEFAULT_CONNECTIONS,
    ) -> None:
        """`links`: connections."""
        self.loop = loop
        self.timeout_s = timeout_s
        self.address = address
        self.connections = [CounterConnection(loop, address) for _ in range(links)]
        self.retiring: list[CounterConnection] = []  # to addresses of before, with calls that are still out

    def change_address(self, address: tuple[str, int]) -> None:
        """The counter has another address: new calls go there."""
        if address == self.address:
            return
        self.address = address
        self.retiring = [link for link in [*self.retiring, *self.connections] if link.calls]
        for link in self.connections:
            link.retire()
        self.connections = [CounterConnection(self.loop, address) for _ in range(len(self.connections))]

    def increment(
        self, name: int, amount: float, ttl_ms: float, done: Completion, late: Completion | None = None
    ) -> None:
        """Adds an amount to a name; `done` is called once, within the time-out. After a time-out `late` is
        called once, with what became of the call, within `SILENT_S` and half a second."""
        link, now = self.connections[name % len(self.connections)], self.loop.time()
        if self.retiring:
            for old in self.retiring:
                old.abandon_key(name)
            self.retiring = [old for old in self.retiring if old.calls]
        call = CounterCall(done, now, name, late)
        if not link.is_ready():
            call.on_late_reply = None
            call.complete(now, Outcome.UNREACHABLE)  # nothing was written, so nothing was added
            return
        call.timer = self.loop.call_later(self.timeout_s, self.expire, call, link)
        link.last_used_at = now
        ttl = max(1, min(60_000, round(ttl_ms)))
        # A name in decimal is the same at every gateway; the module rounds amounts to three places.
        link.write(resp.encode_command(b"INCRTTL", b"%d" % name, b"%.3f" % amount, b"%d" % ttl), call)

    def expire(self, call: CounterCall, link: CounterConnection) -> None:
        """No answer in time. The call keeps its place in the line: its reply will still come, unless one that
        has no end stands before it."""
        call.complete(self.loop.time(), Outcome.TIMEOUT)
        if link.parser.has_unparsed() and link.transport is not None:
            link.transport.abort()

    def close(self) -> None:
        """The end of the process."""
        for link in [*self.connections, *self.retiring]:
            link.close()
