"""Client of the shared counter: pipelined calls, replies matched in order, a timeout for each call.

All calls for one key use the same connection, so that their replies come in the order of the calls. A call
that was written and has no reply may have been applied: it ends as a timeout and is never repeated.
"""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Callable

from glenchute.core.types import Address
from glenchute.policy.connections.descriptor_budget import MAX_COUNTER_CONNECTIONS
from glenchute.policy.events import Outcome
from glenchute.protocol import resp2 as resp

TOTAL_PATTERN = re.compile(rb"-?[0-9]{1,15}(\.[0-9]{1,15})?(e[+-]?[0-9]{1,2})?")
MAX_TOTAL = 1e12
MIN_TTL_MS = 1
MAX_TTL_MS = 60_000
# Replies on a connection are in order, so a call that an overloaded part of the counter delays holds back the
# replies of those behind it, and an invalid reply ends them all: several connections contain that.
DEFAULT_CONNECTIONS = MAX_COUNTER_CONNECTIONS
PING_INTERVAL_S = 3.0  # the counter closes connections that are idle for about 10 s
REPLY_TIMEOUT_S = 1.5  # after this the peer counts as lost, and the connection is reopened
HEARTBEAT_INTERVAL_S = 0.5
CONNECT_TIMEOUT_S = 0.5
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
BACKOFF_FACTOR = 2.0

# Receives the total of the key in units (0 unless the outcome is OK), the outcome, and the latency in ms.
Completion = Callable[[float, Outcome, float], None]


class CounterCall:
    """One call in flight, or a PING, which has no key.

    `on_done` is called once with the result. If that was a timeout, `on_late_reply` is called once more, with
    the reply that came later, or with another timeout when there will be none.
    """

    __slots__ = ("key", "on_done", "on_late_reply", "sent_at", "timer")

    def __init__(
        self,
        on_done: Completion | None,
        sent_at: float,
        key: int | None = None,
        on_late_reply: Completion | None = None,
    ) -> None:
        self.on_done = on_done
        self.on_late_reply = on_late_reply
        self.sent_at = sent_at
        self.key = key
        self.timer: asyncio.TimerHandle | None = None

    def complete(self, now: float, outcome: Outcome, total: float = 0.0) -> None:
        """Reports a result: the first time to `on_done`, the second to `on_late_reply`, then to nobody."""
        completion, self.on_done = self.on_done, None
        if completion is None:
            completion, self.on_late_reply = self.on_late_reply, None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if completion is not None:
            completion(total, outcome, 1000.0 * (now - self.sent_at))

    def abandon(self, now: float) -> None:
        """Reports that the result will never be known."""
        self.complete(now, Outcome.TIMEOUT)
        self.complete(now, Outcome.TIMEOUT)


class CounterConnection(asyncio.Protocol):
    """One connection to the counter, reopened whenever it is lost."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address) -> None:
        self.loop = loop
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.parser = resp.Parser()
        self.calls: deque[CounterCall] = deque()  # without a reply, expired ones too, so that replies match
        self.backoff_s = MIN_BACKOFF_S
        self.is_retired = False  # takes no new calls, and is closed once those in flight have ended
        self.is_closed = False  # is not reopened
        self.has_answered = False
        self.last_used_at = 0.0
        self.connect_task: asyncio.Task[None] | None = None
        self.heartbeat_timer = loop.call_later(PING_INTERVAL_S, self.heartbeat)
        self.connect()

    def connect(self) -> None:
        """Opens the connection in the background."""
        if not self.is_closed:
            self.connect_task = self.loop.create_task(self._try_connect())

    async def _try_connect(self) -> None:
        """One attempt to connect; a failed one is repeated after the backoff."""
        try:
            await asyncio.wait_for(
                self.loop.create_connection(lambda: self, *self.address), CONNECT_TIMEOUT_S
            )
        except (OSError, TimeoutError):
            self._reconnect()

    def _reconnect(self) -> None:
        """Connects again: at once if the lost connection had answered, otherwise with growing backoff."""
        if self.has_answered:
            self.has_answered = False
            self.loop.call_soon(self.connect)
            return
        self.loop.call_later(self.backoff_s, self.connect)
        self.backoff_s = min(MAX_BACKOFF_S, BACKOFF_FACTOR * self.backoff_s)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self.transport = transport  # type: ignore[assignment]
        if self.is_closed:
            transport.abort()  # type: ignore[attr-defined]  # retired while it was connecting
            return
        self.parser = resp.Parser()
        self.write(resp.encode_command(b"PING"), CounterCall(None, self.loop.time()))

    def write(self, data: bytes, call: CounterCall) -> None:
        """Sends a command; its reply completes the call."""
        assert self.transport is not None
        self.calls.append(call)
        self.transport.write(data)

    def is_ready(self) -> bool:
        """Whether a command can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        """Bytes have arrived."""
        try:
            self.parser.feed(data)
            while (reply := self.parser.next_message()) is not False:
                self._handle_reply(reply)
        except (resp.ProtocolError, IndexError):
            if self.transport is not None:
                self.transport.abort()  # replies no longer match calls
        if self.is_retired and not self.calls:
            self.close()

    def _handle_reply(self, reply: object) -> None:
        """The reply to the oldest call. Only the forms of the protocol prove what became of it; after any
        other (ProtocolError) the amount counts as added and the connection as unusable."""
        outcome, total = Outcome.TIMEOUT, 0.0
        if self.calls[0].key is None:
            if reply != "PONG":
                raise resp.ProtocolError("no answer to a ping")
        elif isinstance(reply, bytes) and TOTAL_PATTERN.fullmatch(reply) and abs(float(reply)) <= MAX_TOTAL:
            outcome, total = Outcome.OK, float(reply)
        elif isinstance(reply, resp.ReplyError) and (str(reply) == "BUSY" or str(reply)[:4] == "ERR "):
            outcome = Outcome.REJECTED
        else:
            raise resp.ProtocolError("no total")
        self.has_answered, self.backoff_s = True, MIN_BACKOFF_S
        self.calls.popleft().complete(self.loop.time(), outcome, total)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.transport = None
        calls, self.calls = self.calls, deque()
        if not self.is_closed:
            self._reconnect()
        else:
            self.heartbeat_timer.cancel()
        for call in calls:
            call.abandon(self.loop.time())  # it may have been applied

    def heartbeat(self) -> None:
        """Keeps the connection from being closed as idle, and aborts one whose peer has gone silent."""
        self.heartbeat_timer = self.loop.call_later(HEARTBEAT_INTERVAL_S, self.heartbeat)
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
        """Takes no new calls, and closes once those in flight have ended, be it by `REPLY_TIMEOUT_S`."""
        self.is_retired = self.is_closed = True
        if not self.calls:
            self.close()

    def abandon_key(self, key: int) -> None:
        """A call for this key is sent on another connection: a late reply here would come out of order."""
        for call in self.calls:
            if call.key == key:
                call.abandon(self.loop.time())

    def close(self) -> None:
        """Closes the connection for good."""
        self.is_closed = True
        self.heartbeat_timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.transport is not None:
            self.transport.abort()


class CounterClient:
    """Calls to the counter over several connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        timeout_s: float,
        connection_count: int = DEFAULT_CONNECTIONS,
    ) -> None:
        """`timeout_s`: of a call."""
        self.loop = loop
        self.timeout_s = timeout_s
        self.address = address
        self.connections = [CounterConnection(loop, address) for _ in range(connection_count)]
        self.retiring: list[CounterConnection] = []  # to former addresses, with calls in flight

    def change_address(self, address: Address) -> None:
        """The counter has another address: new calls are sent there."""
        if address == self.address:
            return
        self.address = address
        self.retiring = [connection for connection in [*self.retiring, *self.connections] if connection.calls]
        for connection in self.connections:
            connection.retire()
        self.connections = [CounterConnection(self.loop, address) for _ in range(len(self.connections))]

    def increment(
        self, name: int, amount: float, ttl_ms: float, done: Completion, late: Completion | None = None
    ) -> None:
        """Adds an amount to the total of a key, which expires after `ttl_ms`.

        `done` is called once within the timeout; with UNREACHABLE if nothing was sent. After a timeout `late`
        is called once with the late reply, or with a timeout again if there is none within `REPLY_TIMEOUT_S`
        and one heartbeat.
        """
        connection, now = self.connections[name % len(self.connections)], self.loop.time()
        if self.retiring:
            self._abandon_retiring(name)
        call = CounterCall(done, now, name, late)
        if not connection.is_ready():
            call.on_late_reply = None
            call.complete(now, Outcome.UNREACHABLE)
            return
        call.timer = self.loop.call_later(self.timeout_s, self._expire, call, connection)
        connection.last_used_at = now
        ttl = max(MIN_TTL_MS, min(MAX_TTL_MS, round(ttl_ms)))
        # Gateways agree on keys in decimal; the decision engine rounds amounts to three places.
        connection.write(resp.encode_command(b"INCRTTL", b"%d" % name, b"%.3f" % amount, b"%d" % ttl), call)

    def _abandon_retiring(self, key: int) -> None:
        for connection in self.retiring:
            connection.abandon_key(key)
        self.retiring = [connection for connection in self.retiring if connection.calls]

    def _expire(self, call: CounterCall, connection: CounterConnection) -> None:
        """A call has timed out. It stays among the calls of its connection, as its reply still comes, unless
        an incomplete one is in the way: then the connection is aborted."""
        call.complete(self.loop.time(), Outcome.TIMEOUT)
        if connection.parser.has_unparsed() and connection.transport is not None:
            connection.transport.abort()

    def close(self) -> None:
        """The end of the process."""
        for connection in [*self.connections, *self.retiring]:
            connection.close()
