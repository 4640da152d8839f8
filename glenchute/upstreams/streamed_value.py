"""A long value on its way from a server's connection to a client, at the slower one's pace.

The core hears of it when the first bytes have come (`UpstreamAttempt.on_response_started`); the listener
takes it when the client's turn has come (`start`). Until then, while the client does not read, and while
others have their turn, the server's connection is not read from. Every wait has an end: a server that gives
nothing although it is read from, and a value that takes too long in all, are cut off; a client that does not
read is the listener's to cut off.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from glenchute.core.types import ResponseSink
from glenchute.policy.connections.stream_read_permits import StreamReadPermits
from glenchute.policy.events import Outcome
from glenchute.protocol.streamed_reply import StreamedReply

from .connection_pool import STALL_S, classify

if TYPE_CHECKING:
    from .connection_pool import Attempt, Connection

FIRST = 1024  # bytes of a value that show that it goes on
SILENT_S = 10.0  # a server that is read from gives nothing for so long: it has stopped
STUCK_S = 5.0  # a client that reads nothing for so long is cut off if others wait for their turn
MOST_S = 120.0  # a value is over by then
RECEIVE = 32 * 1024  # asked of the machine as a receive buffer: one read brings twice this at most


class LongAnswer:
    """One long value. `failed`: ended before any of it was taken."""

    def __init__(self, conn: Connection, attempt: Attempt, reply: StreamedReply) -> None:
        self.conn, self.attempt, self.reply = conn, attempt, reply
        self.length_bytes = reply.length_bytes
        self.turns: StreamReadPermits[LongAnswer] = conn.pool.servers.turns
        self.sink: ResponseSink | None = None
        self.held: list[bytes] = []  # until the client's turn
        self.begun = self.has_failed = self.dropped = self.over = False
        self.full = False  # the client does not read
        self.reads = True
        self.timer: asyncio.TimerHandle | None = None
        self.end: asyncio.TimerHandle | None = None
        sock = conn.transport.get_extra_info("socket") if conn.transport is not None else None
        if sock is not None:
            with contextlib.suppress(OSError):  # a bound on one read only; the rest holds without
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE)

    # --- from the server ---------------------------------------------------------------------------------

    def feed(self, data: bytes) -> None:
        """Bytes of the answer; ProtocolError where they can't be any."""
        value = self.reply.feed(data)
        if value:
            if self.sink is not None:
                self.sink.write_chunk(value)
            else:
                self.held.append(value)
        if not self.begun:
            if sum(map(len, self.held)) >= FIRST:
                self.begin()
            else:
                self.wait(STALL_S, self.begin)
                return
        if self.dropped or self.over:
            return
        if self.reply.is_complete:
            self.finish()
            return
        if self.full or self.sink is None:
            return
        if self.turns.rotate_after_chunk(self):
            self.wait(SILENT_S, self.conn.spoilt)
        else:
            self.hush()
            self.wake()

    def begin(self) -> None:
        """Enough has come, or a while has passed since some did: it is the request's answer."""
        if self.begun or self.over or (not self.held and not self.reply.is_complete):
            return
        self.begun = True
        self.rest()
        loop = self.conn.pool.servers.loop
        if self.attempt.timer is not None:
            self.attempt.timer.cancel()  # the first bytes are in time; the rest has limits of its own
        self.end = loop.call_later(MOST_S, self.conn.spoilt)
        assert self.attempt.on_response_started is not None
        self.attempt.on_response_started(self)
        if self.sink is None and not self.dropped:
            self.hush()  # it waits for its turn

    def finish(self) -> None:
        """The answer has come whole."""
        self.over = True
        self.conn.long = None
        self.let_go()
        self.listen()
        reply = [b"", *self.reply.trailer]
        result = classify(reply)
        result.value = None  # it is not ours to give again
        if self.sink is not None:
            self.sink.finish()
        self.conn.answered(self.attempt, result, self.reply.has_surplus)

    def lost(self) -> None:
        """The connection has ended."""
        self.over = True
        self.conn.long = None
        self.let_go()
        if self.dropped:
            return
        if self.sink is not None:
            self.sink.abort()
        else:
            self.has_failed, self.held = True, []

    # --- from the client's side --------------------------------------------------------------------------

    def start(self, sink: ResponseSink) -> None:
        """The client's turn: what is held goes out, and the server is read from."""
        self.sink = sink
        held, self.held = self.held, []
        for value in held:
            sink.write_chunk(value)
        if self.over:
            sink.finish()
        elif not self.full:
            self.ask()

    def pause(self) -> None:
        """The client does not read."""
        self.full = True
        if not self.over:
            self.hush()
            self.wait(STUCK_S, self.stuck)

    def resume(self) -> None:
        """It does again."""
        self.full = False
        if not self.over and self.sink is not None:
            self.ask()

    def stuck(self) -> None:
        """The client has read nothing for a while: it makes room if others wait for what it holds."""
        if self.turns.waiters:
            self.conn.spoilt()
        else:
            self.wait(STUCK_S, self.stuck)

    def discard(self) -> None:
        """Nobody wants it: the attempt ends with its connection."""
        self.dropped, self.sink, self.held = True, None, []
        if not self.over:
            self.attempt.stop(Outcome.CANCELLED)

    # --- whose turn it is --------------------------------------------------------------------------------

    def ask(self) -> None:
        """Reads on, as soon as it may."""
        if self.turns.acquire(self):
            self.listen()
            self.wait(SILENT_S, self.conn.spoilt)
        else:
            self.hush()

    def wake(self) -> None:
        """Whoever has the next turn reads on."""
        while (other := self.turns.grant_next()) is not None:
            other.ask()

    def hush(self) -> None:
        """Reads nothing for now: the machine holds what comes, and the server waits."""
        self.rest()
        transport = self.conn.transport
        if self.reads and transport is not None and not transport.is_closing():
            self.reads = False
            transport.pause_reading()

    def listen(self) -> None:
        """Reads again."""
        transport = self.conn.transport
        if not self.reads and transport is not None and not transport.is_closing():
            self.reads = True
            transport.resume_reading()

    # --- timers ------------------------------------------------------------------------------------------

    def wait(self, seconds: float, then: Callable[[], None]) -> None:
        """Waits for the other side, but not for ever."""
        self.rest()
        self.timer = self.conn.pool.servers.loop.call_later(seconds, then)

    def rest(self) -> None:
        """Waits no more."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def let_go(self) -> None:
        """The end: drops timers and its turn."""
        self.rest()
        if self.end is not None:
            self.end.cancel()
            self.end = None
        self.turns.release(self)
        self.wake()
