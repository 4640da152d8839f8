"""One client connection: commands in, replies in the order of their commands.

What a client may make the gateway buffer is bounded: the bytes of a message, the commands of a connection,
the replies it does not read, the work of one iteration of the event loop. How many connections there are and
how long each may wait is decided in `policy/connections/client_slots.py`.
"""

from __future__ import annotations

import asyncio
import logging
import select
from collections import deque
from typing import TYPE_CHECKING, Any

from glenchute.core.types import ResponseSource
from glenchute.policy.connections.client_slots import ABORT_REASONS, CloseReason, ConnectionState
from glenchute.protocol import resp2 as resp

from .closed_peers import has_socket_event
from .commands import CommandError
from .reply_slot import ReplySlot

if TYPE_CHECKING:
    from .listener import Listener

log = logging.getLogger("glenchute")

MAX_PENDING_COMMANDS = 64  # commands of one connection without a reply; more are left unread
MAX_COMMANDS_PER_TURN = 16  # of one connection, before others get their turn
MAX_COMMAND_ERRORS = 8  # commands that can't be served, after which a connection is closed
MAX_LINGER_BYTES = 4 * 1024 * 1024  # input that is discarded while the last replies leave
MAX_UNUSED_LINGER_BYTES = 256 * 1024  # the same, of a connection that never carried a request
STREAM_BUFFER_BYTES = 64 * 1024  # of a streamed value, before its source is paused
WRITE_BUFFER_BYTES = 128 * 1024  # replies that may wait for a slow reader before its commands are left unread
WRITE_RESUME_BYTES = 64 * 1024  # of these left, at which its commands are read again
# The transport writes at the end of an iteration of the loop: after so many bytes that is awaited.
MAX_QUEUED_REPLY_BYTES = 64 * 1024
READ_BYTES = 256 * 1024  # the most that is read from a connection at a time
FILLING_READ_BYTES = 32 * 1024  # the same, while much is buffered for clients or the connection closes
MAX_TURN_REPLY_BYTES = 16 * MAX_QUEUED_REPLY_BYTES  # of all connections, in one iteration of the loop


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection. Streamed values are written to it as to a `ResponseSink`."""

    __slots__ = (
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
        self.slots: deque[ReplySlot] = deque()
        self.transport: asyncio.Transport | None = None
        self.is_closing = False  # accepts no more commands; closes when all replies are written
        self.is_write_shut = False  # all replies are written and the own side is shut
        self.discarded_bytes = 0  # input received since then
        self.is_write_blocked = False  # the client does not read its replies
        self.is_closed_by_peer = False  # though input of it may still wait to be read
        # Bytes of replies since the transport could last tell whether the client reads.
        self.queued_reply_bytes = 0
        self.waiting_reply_bytes = 0  # of replies whose turn in the connection's order has not come
        self.descriptor = -1
        self.is_reading_paused = False
        self.is_parsing = False
        self.is_turn_scheduled = False  # the listener will call `run_turn`
        self.has_sent_command = False  # a complete command has been received
        self.has_carried_request = False
        self.error_count = 0
        self.has_partial_command = False  # the rest of a command is awaited
        self.streaming: ResponseSource | None = None  # the value that is being written

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self.transport = transport  # type: ignore[assignment]
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES, low=WRITE_RESUME_BYTES)
        self.listener.closed_peers.add(self, self.transport.get_extra_info("socket"))
        self.listener.on_connected(self)

    def has_left(self) -> bool:
        """Whether the client has closed the connection."""
        return self.is_closed_by_peer or self.listener.closed_peers.has_closed(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.listener.closed_peers.remove(self)
        self.transport, self.is_closing = None, True
        look = self.listener.release_timers.pop(self, None)
        if look is not None:
            look.cancel()
        self.listener.connection_slots.remove(self)
        self.listener.client_memory.remove(self)
        self.listener.paused_clients.discard(self)
        self.abandon_replies()

    def eof_received(self) -> None:
        """The client has closed its side. The transport closes once everything is written, for which it has a
        limited time: a client that reads nothing would otherwise keep its slot, and its requests would be
        forwarded."""
        self.is_closing = True
        self.abandon_replies()
        self.set_state(ConnectionState.WRITE_BLOCKED)

    def abandon_replies(self) -> None:
        """The client does not wait for the pending replies any more."""
        slots, self.slots = self.slots, deque()
        self.waiting_reply_bytes = 0
        for slot in slots:
            slot.release()
            live, slot.active_request = slot.active_request, None
            if live is not None:
                self.listener.gateway.client_disconnected(live)
            if slot.source is not None:
                slot.source.discard()
        self.streaming = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the event loop writes what it reads. All connections share it: it is copied at once."""
        reads_less = self.is_closing or self.listener.client_memory.is_filling
        return self.listener.read_buffer[: FILLING_READ_BYTES if reads_less else READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """The event loop has read into the buffer."""
        self.data_received(bytes(self.listener.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Bytes have arrived."""
        if self.is_closing:
            self.discarded_bytes += len(data)
            limit = MAX_LINGER_BYTES if self.has_carried_request else MAX_UNUSED_LINGER_BYTES
            if self.discarded_bytes > limit and not self.slots and self.transport is not None:
                self.transport.abort()
            return
        self.parser.feed(data)
        if self.is_turn_scheduled:
            return
        is_turn_used_up = self.listener.queued_reply_bytes > MAX_TURN_REPLY_BYTES
        if is_turn_used_up and self.parser.buffered_bytes >= FILLING_READ_BYTES:
            self.schedule_turn()  # the rest of this iteration is for others; small commands don't wait
            self.update_reading()
        else:
            self.process_commands()

    def process_commands(self) -> None:
        """Handles the complete commands for whose replies there is room, a limited number in one turn."""
        if self.is_parsing:
            return
        self.is_parsing, self.is_turn_scheduled = True, False
        remaining = MAX_COMMANDS_PER_TURN
        try:
            while (
                remaining
                and not self.is_closing
                and not self.is_write_blocked
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
                    self.set_state(ConnectionState.ACTIVE)  # the time of a partial command starts anew
                self.handle_command(words)
        except resp.ProtocolError as error:
            self.close_on_protocol_error(error)
        finally:
            self.is_parsing = False
        if not self.is_closing and self.parser.has_unparsed() and not remaining:
            self.schedule_turn()
        self.flush()

    def is_held_back(self) -> bool:
        """Whether no further command begins before a pending one has its reply, as clients' buffers are
        full."""
        return bool(self.slots) and self.listener.client_memory.is_exhausted

    def schedule_turn(self) -> None:
        """Has the listener go on with the remaining input later. Nothing is read before that: one iteration
        of the loop may read megabytes, in many calls."""
        if not self.is_turn_scheduled:
            self.is_turn_scheduled = True
            self.listener.schedule_turn(self)

    def run_turn(self) -> None:
        """Goes on with the remaining input; what was written before has been sent, or the transport has said
        that it can't."""
        self.queued_reply_bytes = 0
        self.process_commands()

    def handle_command(self, words: Any) -> None:
        """Handles one command. Errors are replied to the client; only what breaks RESP closes the
        connection."""
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
                self.is_closing = True  # it would go on at full speed, at the others' cost
        except Exception:
            # The fault would otherwise end the connection with all its pending replies.
            log.exception("a command failed")
            slot.reply = slot.reply or resp.FAILED
        self.count_reply_bytes(slot.reply or b"")

    def count_reply_bytes(self, reply: bytes) -> None:
        """A reply is buffered here until it is next in order, and written at the end of an iteration."""
        self.queued_reply_bytes += len(reply)
        self.waiting_reply_bytes += len(reply)
        self.listener.queued_reply_bytes += len(reply)

    def execute_command(self, slot: ReplySlot, words: list[bytes]) -> None:
        """Accepts a request, or replies to a command of the connection itself."""
        verb = words[0].upper()
        if verb not in (b"CALL.GET", b"CALL.POST"):
            slot.reply = self.execute_connection_command(verb, words)
            return
        call = self.listener.catalogue.parse(words)
        if call.request_id in self.listener.open_ids:
            # Servers would take two requests with one id for one request.
            raise CommandError("this request id is in use")
        now = self.listener.loop.time()
        if not self.listener.lifecycle.admits_requests(now):
            slot.reply = resp.encode_busy(0.0)
            return
        self.listener.connection_slots.on_request(now, self)
        self.has_carried_request = True
        self.listener.open_ids.add(call.request_id)
        slot.request_id = call.request_id
        self.listener.request_count += 1
        try:
            live = self.listener.gateway.accept(call, slot.complete, self.has_left)
        except Exception:
            slot.release()
            raise
        slot.deadline = live.deadline
        if slot.reply is None:
            slot.active_request = live

    def execute_connection_command(self, verb: bytes, words: list[bytes]) -> bytes:
        """The reply to a command of the connection itself."""
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
        """Replies an error after the pending replies, and closes."""
        slot = ReplySlot(self)
        slot.reply = resp.encode_error(f"Protocol error: {error}")
        self.slots.append(slot)
        self.is_closing = True
        self.flush()

    def flush(self) -> None:
        """Writes the replies that are next in order, and resumes or pauses reading."""
        if self.transport is None or self.is_parsing:
            return  # replies to the commands being parsed are written together afterwards
        if self.queued_reply_bytes > MAX_QUEUED_REPLY_BYTES:
            self.schedule_turn()
        ready: list[bytes] = []
        while self.slots and self.next_reply(self.slots[0]):
            ready.append(self.slots.popleft().reply or b"")
        if ready:
            written = b"".join(ready)
            self.waiting_reply_bytes = max(0, self.waiting_reply_bytes - len(written))
            if not self.slots:
                self.waiting_reply_bytes = 0  # short replies that replace others are not counted
            self.transport.write(written)
            if (
                not self.slots
                and self.listener.closes_after_reply()
                and not self.parser.has_unparsed()
                and not self.has_unread_input()
            ):
                self.is_closing = True  # draining or shutting down, and no input is known to follow
        if self.is_closing and not self.slots:
            self.shut_write_side()
            return
        if self.slots and self.slots[0].source is not None and self.streaming is None:
            self.start_streaming(self.slots[0].source)
            return  # a short value has called `flush` again by now
        if self.listener.may_release_replies and self.slots and not self.is_write_blocked:
            self.listener.release_blocked_replies(self)
        if ready and self.parser.has_unparsed() and not self.is_write_blocked and not self.is_closing:
            self.schedule_turn()
        self.update_state()
        self.update_reading()
        self.update_memory()

    def update_memory(self) -> None:
        """Reports what this connection buffers."""
        unsent = self.transport.get_write_buffer_size() if self.transport is not None else 0
        buffered = unsent + self.waiting_reply_bytes + self.parser.buffered_bytes
        self.listener.update_memory(self, buffered)

    @staticmethod
    def next_reply(slot: ReplySlot) -> bool:
        """Whether the reply that is next in order can be written completely."""
        if slot.reply is None and slot.source is not None and slot.source.has_failed:
            slot.release()
            slot.reply, slot.source = resp.FAILED, None  # it ended while it waited: nothing of it was written
        return slot.reply is not None

    def start_streaming(self, source: ResponseSource) -> None:
        """A streamed value is next in order: writes its bytes as they come."""
        assert self.transport is not None
        self.streaming = source
        self.transport.set_write_buffer_limits(high=STREAM_BUFFER_BYTES)
        self.transport.write(b"$%d\r\n" % source.length_bytes)
        self.update_state()
        self.update_reading()
        if self.is_write_blocked:
            source.pause()  # replies before it are still buffered
        source.start(self)

    def write_chunk(self, data: bytes) -> None:
        """Writes a part of a streamed value."""
        if self.transport is not None:
            self.transport.write(data)

    def finish(self) -> None:
        """Ends it, once."""
        if self.transport is not None and self.streaming is not None:
            self.streaming = None
            self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES, low=WRITE_RESUME_BYTES)
            slot = self.slots[0]
            slot.release()
            slot.reply, slot.source = b"\r\n", None
            self.flush()

    def abort(self) -> None:
        """The value ends before its announced length, and so does the connection, which shows the client. The
        replies before it have been written, and are sent."""
        self.streaming = None
        self.is_closing = True
        self.slots[0].source = None
        if self.transport is not None and not self.transport.is_closing():
            self.set_state(ConnectionState.WRITE_BLOCKED)  # limits the time, should the client not read them
            self.transport.close()

    def update_state(self) -> None:
        """Reports the state of the connection to its slot."""
        if self.is_write_blocked or (
            self.is_closing and self.transport is not None and self.transport.is_closing()
        ):
            # Also when some has been read: the rest has no other time.
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
        """Everything is written. Closing with unread or arriving bytes would reset the connection: what was
        just written might be lost, or a command that crosses the close. So only the own side is shut and
        further input is discarded. The client finds its command unanswered at the end of the connection and
        may send it again, as nothing of it was looked at."""
        if self.transport is None or self.is_write_shut or self.transport.is_closing():
            return
        self.is_write_shut = True
        self.parser = resp.Parser()
        if self.is_write_blocked:
            self.set_state(ConnectionState.WRITE_BLOCKED)
            self.transport.close()
        elif self.transport.get_write_buffer_size():
            # LINGERING has its own limit, for clients that have their replies.
            self.set_state(ConnectionState.WRITE_BLOCKED)
            self.update_reading()
            self.transport.write_eof()
        else:
            self.set_state(ConnectionState.LINGERING)
            self.update_reading()
            self.transport.write_eof()

    def update_reading(self) -> None:
        """Backpressure: a client that does not read, or has too many commands pending, is not read from."""
        stop = not self.is_closing and (
            self.is_write_blocked
            or self.is_turn_scheduled
            or len(self.slots) >= MAX_PENDING_COMMANDS
            or self.is_held_back()
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

    def pause_writing(self) -> None:
        """The transport holds as much as it may."""
        self.is_write_blocked = True
        if self.streaming is not None:
            self.streaming.pause()
        self.update_state()
        self.update_reading()
        self.update_memory()

    def resume_writing(self) -> None:
        """The transport takes bytes again."""
        self.is_write_blocked = False
        if self.streaming is not None:
            self.streaming.resume()
        self.update_state()
        self.schedule_turn()
        self.update_reading()
        self.update_memory()

    def has_unread_input(self) -> bool:
        """Whether bytes, or the end of the connection, wait in the kernel."""
        return self.transport is not None and has_socket_event(
            self.transport.get_extra_info("socket"), select.POLLIN
        )

    def close_when_answered(self) -> None:
        """Closes once all accepted commands are answered."""
        self.is_closing = True
        self.flush()

    def close_for(self, reason: CloseReason) -> bool:
        """Closes as `ConnectionSlots` decided; False where input has come that may be a command, or a command
        waits for its turn."""
        if self.transport is None:
            return True
        if reason in ABORT_REASONS:
            self.transport.abort()
        elif reason is CloseReason.NO_SLOT:
            self.close_on_protocol_error(resp.ProtocolError("too many connections"))
        elif self.is_turn_scheduled or (
            reason is not CloseReason.PARTIAL_COMMAND and self.has_unread_input()
        ):
            self.listener.connection_slots.revive(self.listener.loop.time(), self)
            return False
        elif reason is CloseReason.PARTIAL_COMMAND:
            self.close_on_protocol_error(resp.ProtocolError("the end of a command did not come"))
        else:
            self.close_when_answered()
        return True

    def close_if_idle(self, since: float) -> None:
        """Closes if the connection has been idle since `since` (loop time) or longer, unless a command is
        arriving."""
        client_slot = self.listener.connection_slots.slots.get(self)
        if client_slot is None or self.slots or self.is_closing or self.parser.has_unparsed():
            return
        if client_slot.state_entered_s <= since and not self.has_unread_input():
            self.close_when_answered()
