"""Client of the shared counter: pipelined calls, replies matched in order, a timeout for each call.

All calls for one key use the same connection, so that their replies are received in the order of the calls.
A call that was sent and has no reply may have been applied: it ends as a timeout and is never repeated.
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
# Replies on a connection are in order, so a call that an overloaded part of the counter delays also delays
# the replies to later calls, and an invalid reply ends all calls in flight. Several connections limit how
# many calls are affected.
DEFAULT_CONNECTIONS = MAX_COUNTER_CONNECTIONS
PING_INTERVAL_S = 3.0  # the counter closes connections that are idle for about 10 s
REPLY_TIMEOUT_S = 1.5  # the connection is reopened if the oldest call has no reply by then
HEARTBEAT_INTERVAL_S = 0.5
CONNECT_TIMEOUT_S = 0.5
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
BACKOFF_FACTOR = 2.0

# A callback that receives the total of the key in units (0 unless the outcome is OK), the outcome, and the
# latency in ms.
Completion = Callable[[float, Outcome, float], None]


class CounterCall:
    """A call in flight, or a PING, which has no key.

    `on_done` is called once, with the result. If that was a timeout, `on_late_reply` is called once after it,
    with the late reply, or with another timeout once it is certain that there will be none.
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
        """Reports the first result to `on_done` and the second to `on_late_reply`; ignores any others."""
        completion, self.on_done = self.on_done, None
        if completion is None:
            completion, self.on_late_reply = self.on_late_reply, None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if completion is not None:
            completion(total, outcome, 1000.0 * (now - self.sent_at))

    def abandon(self, now: float) -> None:
        """Reports a timeout, also in place of a late reply: the result will never be known."""
        self.complete(now, Outcome.TIMEOUT)
        self.complete(now, Outcome.TIMEOUT)


class CounterConnection(asyncio.Protocol):
    """One connection to the counter, reopened whenever it is lost."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address) -> None:
        self.loop = loop
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.parser = resp.Parser()
        # Calls without a reply, oldest first, including those that timed out, as their replies still arrive.
        self.calls: deque[CounterCall] = deque()
        self.backoff_s = MIN_BACKOFF_S
        self.is_retired = False  # whether it is closed as soon as no call is in flight, and gets no new ones
        self.is_closed = False  # whether it must not be reopened
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
        """Makes one attempt to connect; schedules the next one if it fails."""
        try:
            await asyncio.wait_for(
                self.loop.create_connection(lambda: self, *self.address), CONNECT_TIMEOUT_S
            )
        except (OSError, TimeoutError):
            self._reconnect()

    def _reconnect(self) -> None:
        """Connects again: at once if the lost connection had received a reply, otherwise after an exponential
        backoff."""
        if self.has_answered:
            self.has_answered = False
            self.loop.call_soon(self.connect)
            return
        self.loop.call_later(self.backoff_s, self.connect)
        self.backoff_s = min(MAX_BACKOFF_S, BACKOFF_FACTOR * self.backoff_s)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends a PING on the open connection; closes it if it was retired while it was connecting."""
        self.transport = transport  # type: ignore[assignment]
        if self.is_closed:
            transport.abort()  # type: ignore[attr-defined]
            return
        self.parser = resp.Parser()
        self.write(resp.encode_command(b"PING"), CounterCall(None, self.loop.time()))

    def write(self, data: bytes, call: CounterCall) -> None:
        """Sends a command, whose reply completes the call."""
        assert self.transport is not None
        self.calls.append(call)
        self.transport.write(data)

    def is_ready(self) -> bool:
        """Returns whether a command can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        """Handles the replies that are complete; an invalid one aborts the connection."""
        try:
            self.parser.feed(data)
            while (reply := self.parser.next_message()) is not False:
                self._handle_reply(reply)
        except (resp.ProtocolError, IndexError):
            if self.transport is not None:
                self.transport.abort()  # further replies could not be matched to calls
        if self.is_retired and not self.calls:
            self.close()

    def _handle_reply(self, reply: object) -> None:
        """Completes the oldest call with its reply. Any reply that the protocol does not provide for raises
        ProtocolError: it is unknown then whether the amount was added, and the connection is unusable."""
        outcome, total = Outcome.TIMEOUT, 0.0
        if self.calls[0].key is None:
            if reply != "PONG":
                raise resp.ProtocolError("reply to PING is not PONG")
        elif isinstance(reply, bytes) and TOTAL_PATTERN.fullmatch(reply) and abs(float(reply)) <= MAX_TOTAL:
            outcome, total = Outcome.OK, float(reply)
        elif isinstance(reply, resp.ReplyError) and (str(reply) == "BUSY" or str(reply)[:4] == "ERR "):
            outcome = Outcome.REJECTED
        else:
            raise resp.ProtocolError("reply is neither a total nor an error of the protocol")
        self.has_answered, self.backoff_s = True, MIN_BACKOFF_S
        self.calls.popleft().complete(self.loop.time(), outcome, total)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reconnects, unless the connection was closed for good, and abandons the calls in flight."""
        self.transport = None
        calls, self.calls = self.calls, deque()
        if not self.is_closed:
            self._reconnect()
        else:
            self.heartbeat_timer.cancel()
        for call in calls:
            call.abandon(self.loop.time())  # the counter may have applied it

    def heartbeat(self) -> None:
        """Sends a PING on an idle connection, so that the counter does not close it; aborts a connection
        whose oldest call has no reply after `REPLY_TIMEOUT_S`."""
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
        """Closes the connection once all calls in flight have a reply, or after `REPLY_TIMEOUT_S`."""
        self.is_retired = self.is_closed = True
        if not self.calls:
            self.close()

    def abandon_key(self, key: int) -> None:
        """Abandons the calls for a key, because a later call for it is sent on another connection: their
        replies here would be out of order."""
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
        """`timeout_s`: the longest time from the sending of a call to its reply."""
        self.loop = loop
        self.timeout_s = timeout_s
        self.address = address
        self.connections = [CounterConnection(loop, address) for _ in range(connection_count)]
        self.retiring: list[CounterConnection] = []  # connections to former addresses with calls in flight

    def change_address(self, address: Address) -> None:
        """Sends new calls to another address from now on; those in flight may still be answered."""
        if address == self.address:
            return
        self.address = address
        self.retiring = [connection for connection in [*self.retiring, *self.connections] if connection.calls]
        for connection in self.connections:
            connection.retire()
        self.connections = [CounterConnection(self.loop, address) for _ in range(len(self.connections))]

    def increment(
        self,
        key: int,
        amount: float,
        ttl_ms: float,
        on_done: Completion,
        on_late_reply: Completion | None = None,
    ) -> None:
        """Adds an amount to the total of a key, which expires after `ttl_ms`.

        `on_done` is called once within the timeout; with UNREACHABLE if nothing was sent. After a timeout
        `on_late_reply` is called once with the late reply, or with another timeout if there is none within
        `REPLY_TIMEOUT_S` and one heartbeat.
        """
        connection, now = self.connections[key % len(self.connections)], self.loop.time()
        if self.retiring:
            self._abandon_retiring(key)
        call = CounterCall(on_done, now, key, on_late_reply)
        if not connection.is_ready():
            call.on_late_reply = None
            call.complete(now, Outcome.UNREACHABLE)
            return
        call.timer = self.loop.call_later(self.timeout_s, self._expire, call, connection)
        connection.last_used_at = now
        ttl = max(MIN_TTL_MS, min(MAX_TTL_MS, round(ttl_ms)))
        # All gateways write keys in decimal, so that they share them. The decision engine rounds amounts to
        # three decimal places.
        connection.write(resp.encode_command(b"INCRTTL", b"%d" % key, b"%.3f" % amount, b"%d" % ttl), call)

    def _abandon_retiring(self, key: int) -> None:
        for connection in self.retiring:
            connection.abandon_key(key)
        self.retiring = [connection for connection in self.retiring if connection.calls]

    def _expire(self, call: CounterCall, connection: CounterConnection) -> None:
        """Reports the timeout of a call. It stays among the calls of its connection, as its reply may still
        be received; but if a reply is incomplete at this moment, the connection is aborted."""
        call.complete(self.loop.time(), Outcome.TIMEOUT)
        if connection.parser.has_unparsed() and connection.transport is not None:
            connection.transport.abort()

    def close(self) -> None:
        """Closes all connections, as the process ends."""
        for connection in [*self.connections, *self.retiring]:
            connection.close()
