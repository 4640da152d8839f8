"""Relays a value that is too long to be buffered from a server's connection to a client, chunk by chunk.

The core is notified when the first bytes have been received (`on_response_started`), and the listener
attaches its sink when the client's reply is next in order (`start`). Reading from the server is paused until
then, while the client does not read, and while other streams hold the read permits; TCP flow control then
slows the server down.

Every wait is bounded. A stream is aborted here if the server sends nothing although it is read from, if the
whole value takes too long, or if the client does not read, keeps a permit and other streams wait for one.
Otherwise the listener limits how long a client may go without reading.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

from glenchute.core.socket_events import has_unread_input
from glenchute.core.types import AttemptResult, ResponseSink
from glenchute.policy.connections.stream_read_permits import StreamReadPermits
from glenchute.policy.connections.value_buffer_budget import ValueBufferBudget
from glenchute.policy.events import Outcome
from glenchute.protocol.streamed_reply import StreamedReply

from .attempt import CarriedAttempt
from .responses import RESPONSE_STALL_S, result_of

# Fewer first bytes are held back for `RESPONSE_STALL_S`, as the length prefix may be wrong.
MIN_FIRST_BYTES = 1024
SERVER_SILENCE_TIMEOUT_S = 10.0
CLIENT_BLOCKED_TIMEOUT_S = 5.0  # how long a client that keeps a permit may not read while others wait for one
READ_TURN_S = (
    0.05  # time without a chunk after which a stream releases its permit to one that waits for so long
)
MAX_DURATION_S = 120.0
RECEIVE_BUFFER_BYTES = 32 * 1024  # Linux doubles it, so that one read returns at most twice this


class StreamConnection(Protocol):
    """The part of a server's connection that a streamed value uses."""

    transport: asyncio.Transport | None
    streamed: StreamedValue | None

    def complete_response(self, attempt: CarriedAttempt, result: AttemptResult, has_surplus: bool) -> None:
        """Ends the attempt with the complete response; `has_surplus`: more bytes followed it."""

    def fail_response(self) -> None:
        """Ends the attempt as an error and closes the connection."""


class StreamedValue:
    """One streamed value, the core's `ResponseSource`.

    `has_failed`: it ended before the client had received any byte of it.
    """

    def __init__(
        self,
        conn: StreamConnection,
        attempt: CarriedAttempt,
        reply: StreamedReply,
        loop: asyncio.AbstractEventLoop,
        permits: StreamReadPermits[StreamedValue],
        value_buffers: ValueBufferBudget[StreamedValue],
    ) -> None:
        self.conn, self.attempt, self.reply = conn, attempt, reply
        self.loop, self.permits, self.value_buffers = loop, permits, value_buffers
        self.length_bytes = reply.length_bytes
        self.sink: ResponseSink | None = None
        self.buffered: deque[bytes] = deque()  # chunks received and not written yet
        self.is_buffering = False  # the whole value is received before there is a sink
        self.on_buffered: Callable[[], None] | None = None
        self.is_core_notified = False
        self.has_failed = False
        self.is_discarded = False
        self.is_value_ended = False  # the value has been received completely
        self.has_ended = False  # nothing more is received: the response is complete, or its connection closed
        self.is_paused = False  # true while the client does not read
        self.is_reading = True  # false while reading from the server is paused
        self.last_chunk_at = loop.time()
        self.reading_since = loop.time()  # time of the last permit or chunk
        self.timer: asyncio.TimerHandle | None = None  # bounds the current wait
        self.duration_timer: asyncio.TimerHandle | None = None
        sock = conn.transport.get_extra_info("socket") if conn.transport is not None else None
        if sock is not None:
            with contextlib.suppress(OSError):  # optional, as all other bounds hold without it
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    # --- server side -------------------------------------------------------------------------------------

    def feed(self, data: bytes) -> None:
        """Relays or buffers bytes of the response. Raises `resp2.ProtocolError` if they are invalid in it."""
        value = self.reply.feed(data)
        self.last_chunk_at = self.reading_since = self.loop.time()
        if value:
            if self.sink is not None and not self.buffered:
                self.sink.write_chunk(value)
            else:
                self.buffered.append(value)
        if not self.is_core_notified:
            if sum(map(len, self.buffered)) < MIN_FIRST_BYTES:
                self._set_timer(RESPONSE_STALL_S, self._notify_core)
                return
            self._notify_core()
        if self.is_discarded or self.has_ended:
            return
        if self.reply.is_value_complete and not self.is_value_ended:
            self._end_value()
        if self.reply.is_complete:
            self._finish()
            return
        if self.is_value_ended:
            self._set_timer(SERVER_SILENCE_TIMEOUT_S, self._give_up)
            return
        if self.is_buffering:
            self._set_timer(SERVER_SILENCE_TIMEOUT_S, self._give_up)
        if self.is_paused or self.sink is None:
            return
        if self.permits.rotate_after_chunk(self):
            self._set_timer(SERVER_SILENCE_TIMEOUT_S, self._give_up)
        else:
            self._wait_for_permit()
            self._grant_permits()

    def _notify_core(self) -> None:
        """Notifies the core once enough bytes have been received, or no more for `RESPONSE_STALL_S`."""
        if self.is_core_notified or self.has_ended or (not self.buffered and not self.reply.is_complete):
            return
        self.is_core_notified = True
        self._cancel_timer()
        if self.attempt.timer is not None:
            self.attempt.timer.cancel()  # it limits only the time to the first bytes
        self.duration_timer = self.loop.call_later(MAX_DURATION_S, self._give_up)
        assert self.attempt.on_response_started is not None
        self.attempt.on_response_started(self)
        is_waiting = self.sink is None and not self.is_buffering and not self.is_discarded
        if is_waiting and not self.is_whole:
            self._pause_reading()

    def _end_value(self) -> None:
        """Ends the client's part of the stream, as the whole value has been received.

        Reading goes on until the trailer is complete, for which no client has to wait.
        """
        self.is_value_ended = True
        self._cancel_timer()
        self._release_permit()
        self._resume_reading()
        if self.sink is not None and not self.buffered:
            self._finish_sink(self.sink)
        self._end_buffering()

    def _finish_sink(self, sink: ResponseSink) -> None:
        """Ends the client's value, once."""
        self.sink = None
        sink.finish()

    def _finish(self) -> None:
        """Ends the attempt, as the response is complete."""
        self.has_ended = True
        self.conn.streamed = None
        self._release()
        reply = [b"", *self.reply.trailer]
        result = result_of(reply)
        result.value = None  # the client receives it from the stream
        self.conn.complete_response(self.attempt, result, self.reply.has_surplus)

    def _give_up(self) -> None:
        """Closes the connection of a server that takes too long, for the value or for what follows it."""
        if self.is_value_ended:
            self.attempt.result = AttemptResult(Outcome.OK)
        self.conn.fail_response()

    def on_connection_lost(self) -> None:
        """Ends the stream, as the server's connection closed before the response was complete.

        A whole value is served all the same; otherwise the client's part of the stream is aborted.
        """
        self.has_ended = True
        self.conn.streamed = None
        self._release()
        if self.is_value_ended and self.attempt.result is None:
            self.attempt.result = AttemptResult(Outcome.OK)
        if self.is_discarded or self.is_value_ended:
            return
        self._drop_buffered()
        if self.sink is not None:
            self.sink.abort()
        else:
            self.has_failed = True
            self._end_buffering()

    # --- client side -------------------------------------------------------------------------------------

    def start(self, sink: ResponseSink) -> None:
        """Attaches the client's sink: writes the buffered chunks to it, and reads on from the server."""
        self.sink = sink
        self.is_buffering, self.on_buffered = False, None
        self._write_buffered()

    def _write_buffered(self) -> None:
        """Writes the buffered chunks while the client reads, and then reads on or ends the value."""
        while self.buffered and self.sink is not None and not self.is_paused:
            value = self.buffered.popleft()
            self.value_buffers.release_bytes(self, len(value))
            self.sink.write_chunk(value)
        self._grant_value_buffers()
        if self.buffered or self.sink is None:
            return
        self._release_value_buffer()
        if self.is_value_ended:
            self._finish_sink(self.sink)
        elif not self.is_paused:
            self.request_read()

    # --- buffering of whole values -----------------------------------------------------------------------

    @property
    def is_whole(self) -> bool:
        """Whether the whole value has been received."""
        return self.reply.is_value_complete

    def buffer_whole(self, on_end: Callable[[], None]) -> bool:
        """Receives the whole value before it is started, once there is memory for it; returns whether there
        is now."""
        self.on_buffered = on_end
        has_room = self.value_buffers.reserve(self, self.length_bytes)
        if has_room:
            self._read_into_buffer()
        return has_room

    def _read_into_buffer(self) -> None:
        """Reads the value into the memory that is reserved for it."""
        self.is_buffering = True
        self._resume_reading()
        self._set_timer(SERVER_SILENCE_TIMEOUT_S, self._give_up)

    def _end_buffering(self) -> None:
        """Reports that a value that was buffered is whole or has failed."""
        self.is_buffering = False
        on_end, self.on_buffered = self.on_buffered, None
        if on_end is not None:
            on_end()

    def fail(self) -> None:
        """Cancels the attempt of a value that has not been started, as it can't be awaited any longer."""
        self.has_failed = True
        self.discard()

    def _drop_buffered(self) -> None:
        """Drops the buffered chunks."""
        self.buffered.clear()
        self._release_value_buffer()

    def _release_value_buffer(self) -> None:
        """Releases the memory reserved for the value, or its place among those that wait for memory."""
        self.value_buffers.release(self)
        self._grant_value_buffers()

    def _grant_value_buffers(self) -> None:
        """Lets values that wait for memory be received, as far as there is room."""
        while (stream := self.value_buffers.grant_next()) is not None:
            stream._read_into_buffer()

    # --- the client's pace -------------------------------------------------------------------------------

    def pause(self) -> None:
        """Pauses reading from the server, as the client does not read."""
        self.is_paused = True
        if not self.is_value_ended:
            self._pause_reading()
            self._park()

    def resume(self) -> None:
        """Resumes reading from the server, as the client reads again."""
        self.is_paused = False
        if self.buffered:
            self.loop.call_soon(self._write_buffered)  # a source calls its sink from the event loop only
        elif not self.is_value_ended and self.sink is not None:
            self.request_read()

    def _on_client_blocked(self) -> None:
        """Aborts the stream of a client that does not read if other streams wait for its permit."""
        if not self._park() and self.permits.waiters:
            self.conn.fail_response()

    def _park(self) -> bool:
        """Gives the permit back, as the client does not read; False if the stream keeps it for now."""
        is_parked = self.permits.park(self)
        if not is_parked:
            self._set_timer(CLIENT_BLOCKED_TIMEOUT_S, self._on_client_blocked)
        self._grant_permits()
        return is_parked

    def discard(self) -> None:
        """Cancels the attempt and drops the buffered chunks, as the client has disconnected."""
        self.is_discarded, self.sink = True, None
        self.is_buffering, self.on_buffered = False, None
        self._drop_buffered()
        if not self.has_ended:
            self.attempt.stop(Outcome.CANCELLED)

    # --- permits and backpressure ------------------------------------------------------------------------

    def request_read(self) -> None:
        """Reads on from the server with a permit, or waits for one."""
        if self.permits.acquire(self):
            self._read_on()
        else:
            self._wait_for_permit()

    def _read_on(self) -> None:
        """Reads on from the server. What it sent while this stream had no permit is received at once, so that
        the time without a chunk counts from the last one."""
        self._resume_reading()
        self.reading_since = self.loop.time()
        silence_s = self.reading_since - self.last_chunk_at
        self._set_timer(max(READ_TURN_S, SERVER_SILENCE_TIMEOUT_S - silence_s), self._give_up)

    def _wait_for_permit(self) -> None:
        """Waits for a permit, and takes that of a stream that receives nothing."""
        self._pause_reading()
        self._set_timer(READ_TURN_S, self._take_idle_permit)

    def _take_idle_permit(self) -> None:
        """Has the stream that has received nothing for longest release its permit, if that is long enough."""
        reader = self.permits.longest_without_chunk()
        if reader is not None and self.loop.time() - reader.reading_since >= READ_TURN_S:
            reader._wait_for_server()
            self._grant_permits()
        if self in self.permits.waiters:
            self._set_timer(READ_TURN_S, self._take_idle_permit)

    def _wait_for_server(self) -> None:
        """Releases the permit until the server has sent something, or nobody else needs it."""
        self.permits.release(self)
        self._pause_reading()
        self._set_timer(READ_TURN_S, self._check_server)

    def _check_server(self) -> None:
        """Reads on if the server has sent something; gives it up after a long silence."""
        transport = self.conn.transport
        has_data = transport is not None and has_unread_input(transport)
        if has_data or (self.permits.has_free_permit() and not self.permits.waiters):
            self.request_read()
        elif self.loop.time() - self.last_chunk_at >= SERVER_SILENCE_TIMEOUT_S:
            self._give_up()
        else:
            self._set_timer(READ_TURN_S, self._check_server)

    def _grant_permits(self) -> None:
        """Grants free permits to waiting streams."""
        while (stream := self.permits.grant_next()) is not None:
            stream._read_on()

    def _pause_reading(self) -> None:
        """Pauses reading from the server."""
        self._cancel_timer()
        transport = self.conn.transport
        if self.is_reading and transport is not None and not transport.is_closing():
            self.is_reading = False
            transport.pause_reading()

    def _resume_reading(self) -> None:
        """Resumes reading from the server."""
        transport = self.conn.transport
        if not self.is_reading and transport is not None and not transport.is_closing():
            self.is_reading = True
            transport.resume_reading()

    # --- timers ------------------------------------------------------------------------------------------

    def _set_timer(self, seconds: float, callback: Callable[[], None]) -> None:
        """Sets the timer of the current wait in place of the one before."""
        self._cancel_timer()
        self.timer = self.loop.call_later(seconds, callback)

    def _cancel_timer(self) -> None:
        """Cancels the timer of the current wait."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _release(self) -> None:
        """Cancels the timers and releases the permit, at the end of the stream."""
        self._cancel_timer()
        if self.duration_timer is not None:
            self.duration_timer.cancel()
            self.duration_timer = None
        self._release_permit()

    def _release_permit(self) -> None:
        """Releases the permit, or the place among those that wait for one."""
        self.permits.release(self)
        self._grant_permits()
