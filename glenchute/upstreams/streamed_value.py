"""A value that is too long to be buffered, relayed from a server's connection to a client as it comes.

The core is notified when the first bytes have come (`on_response_started`), and the listener attaches its
sink when the client's reply is next in order (`start`). Until then, while the client does not read, and while
other streams have the read permits, the server's connection is not read from: backpressure reaches the server
through TCP.

Each wait is bounded: a server that sends nothing although it is read from, and a value that takes too long,
are aborted here; a client that does not read is the listener's to close, or is given up here for waiting
streams.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Protocol

from glenchute.core.types import AttemptResult, ResponseSink
from glenchute.policy.connections.stream_read_permits import StreamReadPermits
from glenchute.policy.events import Outcome
from glenchute.protocol.streamed_reply import StreamedReply

from .attempt import CarriedAttempt
from .responses import RESPONSE_STALL_S, result_of

MIN_FIRST_BYTES = 1024  # fewer are held back for `RESPONSE_STALL_S`, as the stated length may be wrong
SERVER_SILENCE_TIMEOUT_S = 10.0
CLIENT_BLOCKED_TIMEOUT_S = 5.0  # while other streams wait for a permit
MAX_DURATION_S = 120.0
RECEIVE_BUFFER_BYTES = 32 * 1024  # bounds one read, to twice this


class StreamConnection(Protocol):
    """The connection that a streamed value comes on."""

    transport: asyncio.Transport | None
    streamed: StreamedValue | None

    def complete_response(self, attempt: CarriedAttempt, result: AttemptResult, has_surplus: bool) -> None:
        """The streamed response has ended."""

    def fail_response(self) -> None:
        """The streamed response has broken off."""


class StreamedValue:
    """One streamed value, the core's `ResponseSource`; `has_failed`: it ended before the client got any of
    it."""

    def __init__(
        self,
        conn: StreamConnection,
        attempt: CarriedAttempt,
        reply: StreamedReply,
        loop: asyncio.AbstractEventLoop,
        permits: StreamReadPermits[StreamedValue],
    ) -> None:
        self.conn, self.attempt, self.reply = conn, attempt, reply
        self.loop, self.permits = loop, permits
        self.length_bytes = reply.length_bytes
        self.sink: ResponseSink | None = None
        self.buffered: list[bytes] = []  # until there is a sink
        self.has_begun = False  # the core was notified
        self.has_failed = False
        self.is_dropped = False
        self.has_ended = False
        self.is_paused = False  # the client does not read
        self.is_reading = True  # the server's connection is read from
        self.timer: asyncio.TimerHandle | None = None  # bounds the present wait
        self.duration_timer: asyncio.TimerHandle | None = None
        sock = conn.transport.get_extra_info("socket") if conn.transport is not None else None
        if sock is not None:
            with contextlib.suppress(OSError):  # all other bounds hold without this one
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    # --- the server's side -------------------------------------------------------------------------------

    def feed(self, data: bytes) -> None:
        """Bytes of the response. Raises `resp2.ProtocolError` where they can't belong to it."""
        value = self.reply.feed(data)
        if value:
            if self.sink is not None:
                self.sink.write_chunk(value)
            else:
                self.buffered.append(value)
        if not self.has_begun:
            if sum(map(len, self.buffered)) < MIN_FIRST_BYTES:
                self._set_timer(RESPONSE_STALL_S, self._begin)
                return
            self._begin()
        if self.is_dropped or self.has_ended:
            return
        if self.reply.is_complete:
            self._finish()
            return
        if self.is_paused or self.sink is None:
            return
        if self.permits.rotate_after_chunk(self):
            self._set_timer(SERVER_SILENCE_TIMEOUT_S, self.conn.fail_response)
        else:
            self._pause_reading()
            self._grant_permits()

    def _begin(self) -> None:
        """Notifies the core: enough bytes have come, or no more for a while."""
        if self.has_begun or self.has_ended or (not self.buffered and not self.reply.is_complete):
            return
        self.has_begun = True
        self._cancel_timer()
        if self.attempt.timer is not None:
            self.attempt.timer.cancel()  # the first bytes were in time; the rest has its own limits
        self.duration_timer = self.loop.call_later(MAX_DURATION_S, self.conn.fail_response)
        assert self.attempt.on_response_started is not None
        self.attempt.on_response_started(self)
        if self.sink is None and not self.is_dropped:
            self._pause_reading()

    def _finish(self) -> None:
        """The response is complete."""
        self.has_ended = True
        self.conn.streamed = None
        self._release()
        self._resume_reading()
        reply = [b"", *self.reply.trailer]
        result = result_of(reply)
        result.value = None  # the client has got it already
        if self.sink is not None:
            self.sink.finish()
        self.conn.complete_response(self.attempt, result, self.reply.has_surplus)

    def on_connection_lost(self) -> None:
        """The server's connection is closed before the response was complete."""
        self.has_ended = True
        self.conn.streamed = None
        self._release()
        if self.is_dropped:
            return
        if self.sink is not None:
            self.sink.abort()
        else:
            self.has_failed, self.buffered = True, []

    # --- the client's side -------------------------------------------------------------------------------

    def start(self, sink: ResponseSink) -> None:
        """The client's reply is next in order: passes on what is buffered, and reads from the server."""
        self.sink = sink
        buffered, self.buffered = self.buffered, []
        for value in buffered:
            sink.write_chunk(value)
        if self.has_ended:
            sink.finish()
        elif not self.is_paused:
            self.request_read()

    def pause(self) -> None:
        """The client does not read."""
        self.is_paused = True
        if not self.has_ended:
            self._pause_reading()
            self._set_timer(CLIENT_BLOCKED_TIMEOUT_S, self._on_client_blocked)

    def resume(self) -> None:
        """The client reads again."""
        self.is_paused = False
        if not self.has_ended and self.sink is not None:
            self.request_read()

    def _on_client_blocked(self) -> None:
        """The client has read nothing for a while: gives the stream up if others wait for a permit."""
        if self.permits.waiters:
            self.conn.fail_response()
        else:
            self._set_timer(CLIENT_BLOCKED_TIMEOUT_S, self._on_client_blocked)

    def discard(self) -> None:
        """The client has disconnected: the attempt ends with its connection."""
        self.is_dropped, self.sink, self.buffered = True, None, []
        if not self.has_ended:
            self.attempt.stop(Outcome.CANCELLED)

    # --- permits and backpressure ------------------------------------------------------------------------

    def request_read(self) -> None:
        """Reads on from the server if there is a permit, otherwise once there is."""
        if self.permits.acquire(self):
            self._resume_reading()
            self._set_timer(SERVER_SILENCE_TIMEOUT_S, self.conn.fail_response)
        else:
            self._pause_reading()

    def _grant_permits(self) -> None:
        """Lets waiting streams read, as far as permits are free."""
        while (stream := self.permits.grant_next()) is not None:
            stream.request_read()

    def _pause_reading(self) -> None:
        """Stops reading from the server."""
        self._cancel_timer()
        transport = self.conn.transport
        if self.is_reading and transport is not None and not transport.is_closing():
            self.is_reading = False
            transport.pause_reading()

    def _resume_reading(self) -> None:
        """Reads from the server again."""
        transport = self.conn.transport
        if not self.is_reading and transport is not None and not transport.is_closing():
            self.is_reading = True
            transport.resume_reading()

    # --- timers ------------------------------------------------------------------------------------------

    def _set_timer(self, seconds: float, callback: Callable[[], None]) -> None:
        """Replaces the bound on the present wait."""
        self._cancel_timer()
        self.timer = self.loop.call_later(seconds, callback)

    def _cancel_timer(self) -> None:
        """Nothing is waited for."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _release(self) -> None:
        """The end: cancels the timers and hands the permit on."""
        self._cancel_timer()
        if self.duration_timer is not None:
            self.duration_timer.cancel()
            self.duration_timer = None
        self.permits.release(self)
        self._grant_permits()
