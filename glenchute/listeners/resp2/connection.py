"""One client connection: it receives commands, and sends replies in the order of the commands.

The resources that one client can take are bounded: the size of a message, the pending commands of a
connection, the replies it does not read, and the work in one iteration of the event loop.
`policy/connections/client_slots.py` decides how many connections there may be and how long each may wait.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import TYPE_CHECKING, Any

from glenchute.core.socket_events import has_unread_input, unread_bytes
from glenchute.core.types import ResponseSource
from glenchute.policy.connections.client_slots import ABORT_REASONS, CloseReason, ConnectionState
from glenchute.protocol import resp2 as resp

from .arrival_times import ArrivalTimes
from .commands import CommandError
from .reply_slot import ReplySlot
from .value_buffering import ValueBuffering

if TYPE_CHECKING:
    from .listener import Listener

log = logging.getLogger("glenchute")

MAX_PENDING_COMMANDS = 64  # per connection, without a written reply; further commands are left unread
MAX_COMMANDS_PER_TURN = 16  # per connection, before other connections get their turn
MIN_TIME_LEFT_MS = 1.0  # of a request's time, less of which is not enough to forward it
MAX_COMMAND_ERRORS = 8  # invalid commands after which a connection is closed
MAX_LINGER_BYTES = 4 * 1024 * 1024  # input that is discarded while the connection closes
MAX_UNUSED_LINGER_BYTES = 256 * 1024  # the same for a connection that carried no request
# Unsent bytes of replies at which a client's commands are left unread, and at which they are read again.
WRITE_BUFFER_BYTES = 128 * 1024
WRITE_RESUME_BYTES = 64 * 1024
# Bytes of replies after which a connection waits for the next iteration of the event loop, as the transport
# writes only at the end of an iteration.
MAX_QUEUED_REPLY_BYTES = 64 * 1024
READ_BYTES = 256 * 1024  # maximum of one read
FILLING_READ_BYTES = 32 * 1024  # maximum of one read while client memory fills or the connection closes
MAX_TURN_REPLY_BYTES = 16 * MAX_QUEUED_REPLY_BYTES  # replies of all connections per loop iteration


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection; it is the `ResponseSink` of the streamed values written to it."""

    __slots__ = (
        "arrivals",
        "buffering",
        "descriptor",
        "discarded_bytes",
        "error_count",
        "has_carried_request",
        "has_partial_command",
        "has_sent_command",
        "is_closed_by_peer",
        "is_closing",
        "is_parsing",
        "is_reading_paused",
        "is_turn_scheduled",
        "is_write_blocked",
        "is_write_shut",
        "listener",
        "parser",
        "queued_reply_bytes",
        "slots",
        "streaming",
        "transport",
        "waiting_reply_bytes",
    )

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.parser = resp.Parser()
        self.arrivals = ArrivalTimes()
        self.slots: deque[ReplySlot] = deque()
        self.transport: asyncio.Transport | None = None
        self.is_closing = False  # no more commands are accepted; closes once all replies are written
        self.is_write_shut = False  # all replies are written and the write side is shut down
        self.discarded_bytes = 0  # input received since `is_closing` was set
        self.is_write_blocked = False  # the transport's buffer is full: the client does not read its replies
        self.is_closed_by_peer = False  # input from before the close may still be unread
        self.queued_reply_bytes = 0  # bytes of replies since the last turn, which may not have been sent yet
        self.waiting_reply_bytes = 0  # bytes of finished replies behind unfinished ones
        self.descriptor = -1
        self.is_reading_paused = False
        self.is_parsing = False
        self.is_turn_scheduled = False  # the listener will call `run_turn`
        self.has_sent_command = False  # a complete command has been received
        self.has_carried_request = False
        self.error_count = 0
        self.has_partial_command = False  # an incomplete command has been received
        self.streaming: ResponseSource | None = None  # the value that is being written, if any
        self.buffering: ValueBuffering | None = None  # set while the value that is next in order is buffered

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the buffer limits and registers the connection with the listener."""
        self.transport = transport  # type: ignore[assignment]
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES, low=WRITE_RESUME_BYTES)
        self.listener.closed_peers.add(self, self.transport.get_extra_info("socket"))
        self.listener.on_connected(self)

    def has_disconnected(self) -> bool:
        """Returns whether the client has closed the connection."""
        return self.is_closed_by_peer or self.listener.closed_peers.has_closed(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregisters the connection and abandons its pending replies."""
        self.listener.closed_peers.remove(self)
        self.transport, self.is_closing = None, True
        timer = self.listener.release_timers.pop(self, None)
        if timer is not None:
            timer.cancel()
        self.listener.connection_slots.remove(self)
        self.listener.client_memory.remove(self)
        self.listener.paused_clients.discard(self)
        self.abandon_replies()

    def eof_received(self) -> None:
        """Treats a client that has shut down its side as disconnected.

        Its pending requests are abandoned at once, as they would otherwise still be forwarded to servers. The
        transport closes once the replies that are already buffered are written. The time for that is limited
        as for a client that does not read, as a client that never reads them would otherwise keep its slot
        and its file descriptor for good.
        """
        self.is_closing = True
        self.abandon_replies()
        self.set_state(ConnectionState.WRITE_BLOCKED)

    def abandon_replies(self) -> None:
        """Drops the pending replies, and reports to the gateway that the client has disconnected."""
        slots, self.slots = self.slots, deque()
        self.waiting_reply_bytes = 0
        self.end_buffering()
        for slot in slots:
            slot.release()
            request, slot.active_request = slot.active_request, None
            if request is not None:
                self.listener.gateway.client_disconnected(request)
            if slot.source is not None:
                slot.source.discard()
        self.streaming = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the read buffer. All connections share it, as `buffer_updated` copies the bytes at once."""
        reads_less = self.is_closing or self.listener.client_memory.is_filling
        return self.listener.read_buffer[: FILLING_READ_BYTES if reads_less else READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Copies the received bytes out of the shared buffer and handles them."""
        self.data_received(bytes(self.listener.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handles received bytes: parses them now or in a later turn, or discards them while closing."""
        if self.is_closing:
            self.discarded_bytes += len(data)
            limit = MAX_LINGER_BYTES if self.has_carried_request else MAX_UNUSED_LINGER_BYTES
            if self.discarded_bytes > limit and not self.slots and self.transport is not None:
                self.transport.abort()
            return
        self.parser.feed(data)
        self.arrivals.record_read(self.listener.loop.time(), len(data))
        if self.is_turn_scheduled:
            return
        is_turn_used_up = self.listener.queued_reply_bytes > MAX_TURN_REPLY_BYTES
        if is_turn_used_up and self.parser.buffered_bytes >= FILLING_READ_BYTES:
            self.schedule_turn()  # leaves the rest of this iteration to others; small commands need not wait
            self.update_reading()
        else:
            self.process_commands()

    def process_commands(self) -> None:
        """Handles complete commands while there is room for their replies, up to `MAX_COMMANDS_PER_TURN`.

        None is handled while a long value is next in order: if that breaks off, the connection must close,
        and the client sends the commands again that have not been read.
        """
        if self.is_parsing:
            return
        self.is_parsing, self.is_turn_scheduled = True, False
        remaining = MAX_COMMANDS_PER_TURN
        try:
            while (
                remaining
                and not self.is_closing
                and not self.is_write_blocked
                and not self.has_long_value_next()
                and len(self.slots) < MAX_PENDING_COMMANDS
            ):
                if self.queued_reply_bytes > MAX_QUEUED_REPLY_BYTES or self.is_held_back():
                    break
                words = self.parser.next_message()
                if words is False:
                    break
                remaining -= 1
                self.has_sent_command = True
                if self.has_partial_command:
                    # The timeout of a partial command starts again.
                    self.set_state(ConnectionState.ACTIVE)
                self.handle_command(words)
        except resp.ProtocolError as error:
            self.close_on_protocol_error(error)
        finally:
            self.is_parsing = False
        if not self.is_closing and self.parser.has_unparsed() and not remaining:
            self.schedule_turn()
        self.flush()

    def is_held_back(self) -> bool:
        """Returns whether further commands wait until the replies to the earlier ones have been sent, as
        client memory is committed."""
        if not self.listener.client_memory.is_committed:
            return False
        return bool(self.slots or (self.transport is not None and self.transport.get_write_buffer_size()))

    def schedule_turn(self) -> None:
        """Schedules the handling of the remaining input by the listener.

        Nothing is read before that, as one iteration of the loop may read megabytes, in many calls.
        """
        if not self.is_turn_scheduled:
            self.is_turn_scheduled = True
            self.listener.schedule_turn(self)

    def run_turn(self) -> None:
        """Handles remaining input. The transport has sent what was written before, or has paused writing."""
        self.queued_reply_bytes = 0
        self.process_commands()

    def handle_command(self, words: Any) -> None:
        """Handles one command. The reply to an invalid one is an error; `MAX_COMMAND_ERRORS` of them close
        the connection. Raises ProtocolError if it is not a command in RESP."""
        if not isinstance(words, list) or not words or not all(type(word) is bytes for word in words):
            raise resp.ProtocolError("expected an array of bulk strings")
        slot = ReplySlot(self)
        self.slots.append(slot)
        try:
            self.execute_command(slot, words)
        except CommandError as error:
            slot.reply = resp.encode_error(str(error))
            self.error_count += 1
            if self.error_count >= MAX_COMMAND_ERRORS:
                self.is_closing = True  # it might go on at full speed, which slows all other clients
        except Exception:
            # Unhandled, the exception would end the connection and all its pending replies.
            log.exception("handling a client command failed")
            slot.reply = slot.reply or resp.FAILED
        self.count_reply_bytes(slot.reply or b"")

    def count_reply_bytes(self, reply: bytes) -> None:
        """Counts a reply that is buffered until it is next in order and the loop's iteration ends."""
        self.queued_reply_bytes += len(reply)
        self.waiting_reply_bytes += len(reply)
        self.listener.queued_reply_bytes += len(reply)

    def execute_command(self, slot: ReplySlot, words: list[bytes]) -> None:
        """Submits a request to the gateway, or executes a connection command."""
        verb = words[0].upper()
        if verb not in (b"CALL.GET", b"CALL.POST"):
            slot.reply = self.execute_connection_command(verb, words)
            return
        call = self.listener.command_parser.parse(words)
        if call.request_id in self.listener.open_ids:
            # Servers would treat two requests with one id as one request.
            raise CommandError("this request id is in use")
        now = self.listener.loop.time()
        call.time_left_ms -= 1000.0 * (now - self.arrivals.last_byte_at(self.parser.unparsed_bytes))
        if call.time_left_ms < MIN_TIME_LEFT_MS or not self.listener.lifecycle.admits_requests(now):
            slot.reply = resp.encode_busy(0.0)
            return
        self.listener.connection_slots.on_request(now, self)
        self.has_carried_request = True
        slot.is_repeatable = call.class_name in self.listener.command_parser.idempotent_classes
        slot.reserve(call.request_id)
        self.listener.request_count += 1
        try:
            request = self.listener.gateway.accept(call, slot.complete, self.has_disconnected)
        except Exception:
            slot.release()
            raise
        slot.deadline = request.deadline
        if slot.reply is None:
            slot.active_request = request

    def execute_connection_command(self, verb: bytes, words: list[bytes]) -> bytes:
        """Executes a command that is no request, such as PING, and returns its reply."""
        if verb == b"PING":
            if len(words) > 2:
                raise CommandError("wrong number of arguments for 'ping'")
            if self.listener.lifecycle.is_closing_connections:
                return resp.encode_error(self.listener.lifecycle.phase.value)
            return resp.encode_bulk(words[1]) if len(words) == 2 else resp.PONG
        if verb in (b"CLIENT", b"SELECT"):
            return resp.OK
        if verb == b"QUIT":
            self.is_closing = True
            return resp.OK
        raise CommandError(f"unknown command '{verb[:64].decode('ascii', 'replace')}'")

    def close_on_protocol_error(self, error: Exception) -> None:
        """Queues an error reply after the pending replies, and closes the connection after it."""
        slot = ReplySlot(self)
        slot.reply = resp.encode_error(f"Protocol error: {error}")
        self.slots.append(slot)
        self.is_closing = True
        self.flush()

    def flush(self) -> None:
        """Writes the finished replies that are next in order, and resumes or pauses reading."""
        if self.transport is None or self.is_parsing:
            return  # `process_commands` flushes when it has parsed all commands
        if self.queued_reply_bytes > MAX_QUEUED_REPLY_BYTES:
            self.schedule_turn()
        ready = self.take_ready_replies()
        if ready:
            self.transport.write(ready)
            self.is_closing |= self.must_close_after_reply()
        if self.is_closing and not self.slots:
            self.shut_write_side()
            return
        source = self.slots[0].source if self.slots else None
        if source is not None and self.streaming is None and self.may_start_streaming(source):
            self.start_streaming(source)
            return  # a value that was complete has called `flush` again already
        if self.listener.may_release_replies and self.slots and not self.is_write_blocked:
            self.listener.release_blocked_replies(self)
        if ready and self.parser.has_unparsed() and not self.is_write_blocked and not self.is_closing:
            self.schedule_turn()
        self.update_state()
        self.update_reading()
        self.update_memory()

    def take_ready_replies(self) -> bytes:
        """Removes the finished replies that are next in order, and returns their bytes."""
        ready: list[bytes] = []
        while self.slots and self.is_reply_ready(self.slots[0]):
            ready.append(self.slots.popleft().reply or b"")
        replies = b"".join(ready)
        if ready:
            self.end_buffering()  # of a value that has failed
        # Some short replies were not counted, such as the end of a streamed value.
        self.waiting_reply_bytes = max(0, self.waiting_reply_bytes - len(replies)) if self.slots else 0
        return replies

    def must_close_after_reply(self) -> bool:
        """Returns whether the connection closes now: while draining or shutting down, once all commands that
        the client has sent are answered."""
        return (
            not self.slots
            and self.listener.closes_after_reply()
            and not self.parser.has_unparsed()
            and not self.has_unread_input()
        )

    def update_memory(self) -> None:
        """Reports the number of bytes that this connection buffers."""
        unsent = self.transport.get_write_buffer_size() if self.transport is not None else 0
        buffered = unsent + self.waiting_reply_bytes + self.parser.buffered_bytes
        self.listener.update_memory(self, buffered)

    @staticmethod
    def is_reply_ready(slot: ReplySlot) -> bool:
        """Returns whether the reply that is next in order can be written at once; a streamed one cannot."""
        if slot.reply is None and slot.source is not None and slot.source.has_failed:
            slot.release()
            slot.reply, slot.source = resp.FAILED, None  # the stream failed before any byte of it was written
        return slot.reply is not None

    def has_long_value_next(self) -> bool:
        """Returns whether the reply that is next in order, or being written, is a streamed value."""
        return bool(self.slots) and self.slots[0].source is not None

    def may_start_streaming(self, source: ResponseSource) -> bool:
        """Returns whether the value that is next in order may be written now. It is buffered first if
        commands have been received behind it."""
        if source.is_whole or (len(self.slots) == 1 and not self.parser.has_unparsed()):
            return True
        if self.buffering is None:
            self.buffering = ValueBuffering(self, self.slots[0], source)
        return self.buffering.is_over

    def end_buffering(self) -> None:
        """Ends the buffering of the value that is next in order, if it is buffered."""
        buffering, self.buffering = self.buffering, None
        if buffering is not None:
            buffering.cancel()

    def start_streaming(self, source: ResponseSource) -> None:
        """Starts to write a streamed value, which is next in order, as its bytes are received."""
        assert self.transport is not None
        self.end_buffering()
        self.streaming = source
        self.transport.set_write_buffer_limits(high=0)  # its source pauses at the first byte that is not sent
        self.transport.write(b"$%d\r\n" % source.length_bytes)
        self.update_state()
        self.update_reading()
        if self.is_write_blocked:
            source.pause()  # earlier replies are still buffered
        source.start(self)

    def write_chunk(self, data: bytes) -> None:
        """Writes one chunk of the streamed value."""
        if self.transport is not None:
            self.transport.write(data)

    def finish(self) -> None:
        """Ends the streamed value, which is complete, and goes on with the replies after it."""
        if self.transport is not None and self.streaming is not None:
            self.streaming = None
            self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES, low=WRITE_RESUME_BYTES)
            slot = self.slots[0]
            slot.release()
            slot.reply, slot.source = b"\r\n", None
            self.flush()

    def abort(self) -> None:
        """Closes the connection, as the streamed value ended before its announced length.

        The end of the connection tells the client. Replies before the value have been written and are sent.
        """
        self.streaming = None
        self.is_closing = True
        self.slots[0].source = None
        if self.transport is not None and not self.transport.is_closing():
            # Limits the time for a client that does not read the earlier replies.
            self.set_state(ConnectionState.WRITE_BLOCKED)
            self.transport.close()

    def update_state(self) -> None:
        """Derives the state of the connection and reports it to its slot."""
        if self.is_write_blocked or (
            self.is_closing and self.transport is not None and self.transport.is_closing()
        ):
            # A closing transport counts as blocked even after the client has read some: no other state limits
            # the time for writing the rest.
            is_streaming = self.streaming is not None
            self.set_state(ConnectionState.STREAM_BLOCKED if is_streaming else ConnectionState.WRITE_BLOCKED)
        elif self.slots or self.is_closing:
            self.set_state(ConnectionState.ACTIVE)
        elif self.parser.has_unparsed():
            self.set_state(ConnectionState.PARTIAL_COMMAND)
        else:
            self.set_state(
                ConnectionState.IDLE_UNUSED if self.has_sent_command else ConnectionState.AWAITING_COMMAND
            )

    def set_state(self, state: ConnectionState) -> None:
        """Reports this state to the connection's slot."""
        self.has_partial_command = state is ConnectionState.PARTIAL_COMMAND
        self.listener.connection_slots.set_state(self.listener.loop.time(), self, state)

    def shut_write_side(self) -> None:
        """Shuts down the write side, as all replies are written, and discards further input.

        Closing the socket with unread or arriving bytes would reset the connection, so that written replies
        could be lost. A client whose command crosses the shutdown gets the end of the connection instead of
        a reply, and may send the command again, as it was not processed.
        """
        if self.transport is None or self.is_write_shut or self.transport.is_closing():
            return
        self.is_write_shut = True
        self.parser = resp.Parser()
        if self.is_write_blocked:
            self.set_state(ConnectionState.WRITE_BLOCKED)
            self.transport.close()
        elif self.transport.get_write_buffer_size():
            # Not LINGERING, whose timeout is for clients that have received all replies.
            self.set_state(ConnectionState.WRITE_BLOCKED)
            self.update_reading()
            self.transport.write_eof()
        else:
            self.set_state(ConnectionState.LINGERING)
            self.update_reading()
            self.transport.write_eof()

    def update_reading(self) -> None:
        """Pauses or resumes reading: backpressure for clients that do not read or have too many commands."""
        is_held_back = not self.is_closing and self.is_held_back()
        if is_held_back and not self.slots and not self.is_write_blocked:
            self.block_until_sent()
        stop = not self.is_closing and (
            self.is_write_blocked
            or self.is_turn_scheduled
            or self.has_long_value_next()
            or len(self.slots) >= MAX_PENDING_COMMANDS
            or is_held_back
        )
        if self.transport is None or self.transport.is_closing() or stop == self.is_reading_paused:
            return
        self.is_reading_paused = stop
        if stop:
            self.transport.pause_reading()
            self.listener.watch_paused(self)
        else:
            self.transport.resume_reading()
            self.listener.paused_clients.discard(self)

    def block_until_sent(self) -> None:
        """Has the transport call `pause_writing` now, and `resume_writing` once all replies are sent."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Pauses the streamed value and reading, as the transport's buffer is full."""
        self.is_write_blocked = True
        if self.streaming is not None:
            self.streaming.pause()
        self.update_state()
        self.update_reading()
        self.update_memory()

    def resume_writing(self) -> None:
        """Resumes the streamed value and reading, as the transport's buffer has drained."""
        self.is_write_blocked = False
        if self.streaming is not None:
            self.streaming.resume()
        elif self.transport is not None:
            self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES, low=WRITE_RESUME_BYTES)
        self.update_state()
        self.schedule_turn()
        self.update_reading()
        self.update_memory()

    def record_unread(self, since: float) -> None:
        """Records the arrival of bytes that have not been read, of which none were there at `since`."""
        if self.transport is not None and not self.transport.is_closing():
            self.arrivals.record_unread(since, unread_bytes(self.transport))

    def has_unread_input(self) -> bool:
        """Returns whether the kernel holds unread bytes or the end of the stream."""
        return self.transport is not None and has_unread_input(self.transport)

    def has_unwritten_replies(self) -> bool:
        """Returns whether a received command has no reply yet, or one that the socket has not taken yet."""
        if self.transport is None:
            return False
        return bool(self.is_turn_scheduled or self.slots or self.transport.get_write_buffer_size())

    def close_when_answered(self) -> None:
        """Closes the connection once all accepted commands are answered."""
        self.is_closing = True
        self.flush()

    def close_for(self, reason: CloseReason) -> bool:
        """Closes the connection as `ConnectionSlots` decided.

        Returns False, and keeps it, if unread input may be a command, a command waits for its turn, or
        replies have not been sent.
        """
        if self.transport is None:
            return True
        if reason in ABORT_REASONS:
            self.transport.abort()
        elif reason is CloseReason.NO_SLOT:
            self.close_on_protocol_error(resp.ProtocolError("too many connections"))
        elif reason is CloseReason.PARTIAL_COMMAND and not self.is_turn_scheduled:
            if self.transport.get_write_buffer_size():
                self.revive()  # a lingering connection would be aborted before its replies are sent
            self.close_on_protocol_error(resp.ProtocolError("the end of a command did not come"))
        elif self.is_turn_scheduled or self.has_unread_input() or self.transport.get_write_buffer_size():
            self.revive()
            if self.transport.get_write_buffer_size():
                self.block_until_sent()
            return False
        else:
            self.close_when_answered()
        return True

    def revive(self) -> None:
        """Keeps a connection that `ConnectionSlots` let linger."""
        self.listener.connection_slots.revive(self.listener.loop.time(), self)

    def close_if_idle(self, since: float) -> None:
        """Closes the connection if it has been idle since `since` (loop time) or longer.

        It stays open if unread input may be a command.
        """
        client_slot = self.listener.connection_slots.slots.get(self)
        if client_slot is None or self.slots or self.is_closing or self.parser.has_unparsed():
            return
        if client_slot.state_entered_s <= since and not self.has_unread_input():
            self.close_when_answered()
