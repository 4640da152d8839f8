"""The clients' side: the listener, commands in, replies in the order of their commands.

What a client may make the gateway hold is bounded: the bytes of a message, the commands of a connection, the
replies it does not read, the work of one turn of the loop. How many connections there are and how long each
may wait is decided in `policy/connections/client_slots.py`.
"""

from __future__ import annotations

import asyncio
import logging
import math
import select
import socket
import time
from collections import deque
from collections.abc import KeysView
from typing import Any

from glenchute.core.gateway import ActiveRequest, RequestExecutor
from glenchute.core.types import FinalResponse, Rejected, ResponseSource, Served, Streamed
from glenchute.policy.connections.client_slots import (
    ABORT_REASONS,
    CloseConnection,
    CloseReason,
    ConnectionSlots,
    ConnectionState,
)
from glenchute.policy.connections.descriptor_budget import DescriptorBudget
from glenchute.policy.lifecycle.draining import ProcessLifecycle
from glenchute.protocol import resp2 as resp

from .commands import CommandError, CommandParser

log = logging.getLogger("glenchute")

MAX_PENDING_COMMANDS = 64  # commands of one connection without a reply; more are left unread
ACCEPT_BACKLOG = 512  # connections that wait to be accepted
MAX_COMMANDS_PER_TURN = 16  # commands that one connection may have carried out before others get their turn
MAX_COMMAND_ERRORS = 8  # commands that can't be served, after which a connection is closed
MAX_LINGER_BYTES = 4 * 1024 * 1024
STREAM_BUFFER_BYTES = (
    64 * 1024
)  # of a long value that may wait for its reader before the server is left unread
WRITE_BUFFER_BYTES = 256 * 1024  # replies that may wait for a slow reader before its commands are left unread
MAX_QUEUED_REPLY_BYTES = (
    64 * 1024
)  # replies after which a turn of the loop is awaited: the transport writes at its end
MAX_TURN_S = 0.002  # of a turn of the loop, for what is left of all connections' commands; one always goes on
MAX_TURN_REPLY_BYTES = (
    16 * MAX_QUEUED_REPLY_BYTES
)  # ... and replies to them: they are written at its end, which TURN_S does not see
REPORT_INTERVAL_S = 10.0  # a line for the operators this often, while anything happens
RELEASE_MARGIN_S = 0.02  # before a finished reply's time is up, what keeps it may be given up
MAX_CLOSE_DETECTION_S = (
    0.1  # an attempt that begins later than this after its client's end is a break (STANDING.md)
)
CLOSE_CHECK_AGE_S = (
    MAX_CLOSE_DETECTION_S / 10.0
)  # ends were looked for so shortly before an attempt begins, also after a busy loop
PAUSED_CHECK_INTERVAL_S = (
    MAX_CLOSE_DETECTION_S / 4.0
)  # how often while connections are not read from, for what has begun or waits in line
MAX_CLOSES_PER_POLL = 64  # told by one call
IDLE_CLOSE_INTERVAL_S = 0.05  # how often idle connections are looked at while the process leaves or drains


def encode_response(answer: FinalResponse) -> bytes:
    """A final answer in the protocol's words."""
    if isinstance(answer, Served):
        return resp.encode_bulk(answer.value)
    if isinstance(answer, Rejected):
        return resp.encode_busy(answer.retry_after_ms)
    return resp.FAILED


def has_socket_event(sock: Any, event: int) -> bool:
    """Whether the machine has seen this on a socket, or the socket's end."""
    if sock is None or sock.fileno() < 0:
        return False
    waiting = select.poll()
    waiting.register(sock.fileno(), event)
    return bool(waiting.poll(0))


class ClosedPeerDetector:
    """Which clients have gone, though their ends may not have been read yet: the loop may have been busy,
    other bytes may come first, or reading is paused. One call asks for all connections, so that it can be
    made before an attempt begins."""

    def __init__(self) -> None:
        self.poll = select.epoll()
        self.clients: dict[int, ClientConnection] = {}  # by descriptor
        self.checked_at = -math.inf

    def add(self, client: ClientConnection, sock: Any) -> None:
        """A new connection; what came on it was not looked at yet."""
        client.descriptor = sock.fileno()
        self.clients[client.descriptor] = client
        self.poll.register(client.descriptor, select.EPOLLRDHUP)
        self.checked_at = -math.inf

    def remove(self, client: ClientConnection) -> None:
        """It is closed, or told: to be called while its descriptor is its own."""
        if self.clients.pop(client.descriptor, None) is not None:
            self.poll.unregister(client.descriptor)

    def check(self) -> None:
        """Marks those that have gone."""
        self.checked_at = time.monotonic()
        while True:
            found = self.poll.poll(0, MAX_CLOSES_PER_POLL)
            for number, _ in found:
                client = self.clients[number]
                self.remove(client)
                client.is_closed_by_peer = True
            if len(found) < MAX_CLOSES_PER_POLL:
                return

    def close(self) -> None:
        """The end of the process."""
        self.checked_at = math.inf
        self.poll.close()
        self.clients.clear()  # connections are lost after this

    def has_closed(self, client: ClientConnection) -> bool:
        """Whether this client had gone within the last `LOOK_S`."""
        if time.monotonic() - self.checked_at > CLOSE_CHECK_AGE_S:
            self.check()
        return client.is_closed_by_peer


class ReplySlot:
    """The place of one reply in a connection's order."""

    __slots__ = ("active_request", "client", "deadline", "reply", "request_id", "source")

    def __init__(self, client: ClientConnection) -> None:
        self.client = client
        self.deadline = math.inf  # the client waits until then, by the loop's clock
        self.active_request: ActiveRequest | None = None
        self.reply: bytes | None = None
        self.source: ResponseSource | None = None  # of a reply that is too long to be held
        self.request_id: bytes | None = None  # while the request is open

    def release(self) -> None:
        """The request is over."""
        if self.request_id is not None:
            self.client.listener.open_ids.discard(self.request_id)
            self.request_id = None

    def complete(self, answer: FinalResponse) -> None:
        """The answer is known; it goes out when those before it have."""
        self.active_request = None
        if isinstance(answer, Streamed):
            self.source = answer.source  # its id stays in use until the value has passed
        else:
            self.release()
            self.reply = encode_response(answer)
            self.client.count_reply_bytes(self.reply)
        self.client.flush()


class ClientConnection(asyncio.Protocol):
    """One client connection."""

    __slots__ = (
        "descriptor",
        "discarded_bytes",
        "error_count",
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
    )

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.parser = resp.Parser()
        self.slots: deque[ReplySlot] = deque()
        self.transport: asyncio.Transport | None = None
        self.is_closing = False  # no more commands; closes when all replies are out
        self.is_write_shut = False  # all is written and the own side is shut
        self.discarded_bytes = 0  # bytes that came since then
        self.is_write_blocked = False  # the client does not read its replies
        self.is_closed_by_peer = False  # it has closed, though bytes of it may still wait to be read
        self.queued_reply_bytes = (
            0  # bytes of replies since the transport could last tell whether the client reads
        )
        self.descriptor = -1  # the connection's descriptor
        self.is_reading_paused = False
        self.is_parsing = False
        self.is_turn_scheduled = False  # a turn of the loop is booked for commands that are left
        self.has_sent_command = False  # a whole command has come
        self.error_count = 0
        self.has_partial_command = False  # the end of a command that has begun is awaited
        self.streaming: ResponseSource | None = None  # the long value whose turn it is

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.listener.closed_peers.add(self, self.transport.get_extra_info("socket"))
        self.listener.on_connected(self)

    def has_left(self) -> bool:
        """Whether the client has gone."""
        return self.is_closed_by_peer or self.listener.closed_peers.has_closed(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.listener.closed_peers.remove(self)
        self.transport, self.is_closing = None, True
        look = self.listener.release_timers.pop(self, None)
        if look is not None:
            look.cancel()
        self.listener.connection_slots.remove(self)
        self.listener.paused_clients.discard(self)
        self.abandon_replies()

    def eof_received(self) -> None:
        """The client has gone. The transport closes once what is written has left, for which it has its time:
        a client that reads nothing would else keep its place, and have its requests sent on."""
        self.is_closing = True
        self.abandon_replies()
        self.set_state(ConnectionState.WRITE_BLOCKED)

    def abandon_replies(self) -> None:
        """Nobody waits for the replies that are due."""
        slots, self.slots = self.slots, deque()
        for slot in slots:
            slot.release()
            live, slot.active_request = slot.active_request, None
            if live is not None:
                self.listener.gateway.client_disconnected(live)
            if slot.source is not None:
                slot.source.discard()
        self.streaming = None

    def data_received(self, data: bytes) -> None:
        if self.is_closing:
            self.discarded_bytes += len(data)
            if self.discarded_bytes > MAX_LINGER_BYTES and not self.slots and self.transport is not None:
                self.transport.abort()
            return
        self.parser.feed(data)
        if self.is_turn_scheduled:
            return
        if len(data) > MAX_QUEUED_REPLY_BYTES and self.listener.queued_reply_bytes > MAX_TURN_REPLY_BYTES:
            self.schedule_turn()  # others' turns have the rest of this one; small commands wait for none
            self.update_reading()
        else:
            self.process_commands()

    def process_commands(self) -> None:
        """Takes whole commands as long as there is room for their replies, a bounded number in one turn."""
        if self.is_parsing:
            return
        self.is_parsing, self.is_turn_scheduled = True, False
        left = MAX_COMMANDS_PER_TURN
        try:
            while (
                left
                and not self.is_closing
                and not self.is_write_blocked
                and len(self.slots) < MAX_PENDING_COMMANDS
            ):
                if self.queued_reply_bytes > MAX_QUEUED_REPLY_BYTES:
                    break
                words = self.parser.next_message()
                if words is False:
                    break
                left -= 1
                self.has_sent_command = True
                if self.has_partial_command:
                    self.set_state(
                        ConnectionState.ACTIVE
                    )  # that command has ended; the next has its own time
                self.handle_command(words)
        except resp.ProtocolError as error:
            self.close_on_protocol_error(error)
        finally:
            self.is_parsing = False
        if not self.is_closing and self.parser.has_unparsed() and not left:
            self.schedule_turn()
        self.flush()

    def schedule_turn(self) -> None:
        """A later turn of the loop goes on with what is left in the buffer. Nothing is read before that: one
        turn may read megabytes, in many calls."""
        if not self.is_turn_scheduled:
            self.is_turn_scheduled = True
            self.listener.schedule_turn(self)

    def run_turn(self) -> None:
        """That turn; what was written before it has left, or the transport has told."""
        self.queued_reply_bytes = 0
        self.process_commands()

    def handle_command(self, words: Any) -> None:
        """One command. Whatever is wrong with it is told to the client, and only what breaks RESP closes."""
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
                self.is_closing = True  # it goes on as before at full speed, at the others' cost
        except Exception:
            # A fault of ours would else end the connection with all that is held on it.
            log.exception("a command failed")
            slot.reply = slot.reply or resp.FAILED
        self.count_reply_bytes(slot.reply or b"")

    def count_reply_bytes(self, reply: bytes) -> None:
        """A reply is held here until its turn, and then written at the end of a turn of the loop."""
        self.queued_reply_bytes += len(reply)
        self.listener.queued_reply_bytes += len(reply)

    def execute_command(self, slot: ReplySlot, words: list[bytes]) -> None:
        """Takes a request, or answers a command of the connection itself."""
        verb = words[0].upper()
        if verb not in (b"CALL.GET", b"CALL.POST"):
            slot.reply = self.execute_connection_command(verb, words)
            return
        call = self.listener.catalogue.parse(words)
        if call.request_id in self.listener.open_ids:
            # On the servers two requests of one id would be taken for one, and both might be spoilt.
            raise CommandError("this request id is in use")
        now = self.listener.loop.time()
        if not self.listener.lifecycle.admits_requests(now):
            slot.reply = resp.encode_busy(0.0)
            return
        self.listener.connection_slots.on_request(now, self)
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
        """Commands of the connection itself."""
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
        """Bytes that are not RESP: says so after the replies still owed, and closes."""
        slot = ReplySlot(self)
        slot.reply = resp.encode_error(f"Protocol error: {error}")
        self.slots.append(slot)
        self.is_closing = True
        self.flush()

    def flush(self) -> None:
        """Writes the replies that are next in order, and reads on or stops reading."""
        if self.transport is None or self.is_parsing:
            return  # while commands are being taken, their replies go out together afterwards
        if self.queued_reply_bytes > MAX_QUEUED_REPLY_BYTES:
            self.schedule_turn()
        ready: list[bytes] = []
        while self.slots and self.next_reply(self.slots[0]):
            ready.append(self.slots.popleft().reply or b"")
        if ready:
            self.transport.write(b"".join(ready))
            if (
                not self.slots
                and self.listener.closes_after_reply()
                and not self.parser.has_unparsed()
                and not self.has_unread_input()
            ):
                self.is_closing = True  # the process leaves or drains, and nothing is known to follow
        if self.is_closing and not self.slots:
            self.shut_write_side()
            return
        if self.slots and self.slots[0].source is not None and self.streaming is None:
            self.start_streaming(self.slots[0].source)
            return  # it may be over already, and this have been done again
        if self.listener.may_release_replies and self.slots and not self.is_write_blocked:
            self.listener.release_blocked_replies(self)
        if ready and self.parser.has_unparsed() and not self.is_write_blocked and not self.is_closing:
            self.schedule_turn()
        self.update_state()
        self.update_reading()

    @staticmethod
    def next_reply(slot: ReplySlot) -> bool:
        """Whether the reply that is next in order can be written whole."""
        if slot.reply is None and slot.source is not None and slot.source.has_failed:
            slot.release()
            slot.reply, slot.source = resp.FAILED, None  # it ended while it waited: nothing of it has left
        return slot.reply is not None

    def start_streaming(self, source: ResponseSource) -> None:
        """The turn of a long value: its bytes go on as they come."""
        assert self.transport is not None
        self.streaming = source
        self.transport.set_write_buffer_limits(high=STREAM_BUFFER_BYTES)
        self.transport.write(b"$%d\r\n" % source.length_bytes)
        self.update_state()
        self.update_reading()
        if self.is_write_blocked:
            source.pause()  # of replies before it
        source.start(self)

    def write_chunk(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def finish(self) -> None:
        if self.transport is not None and self.streaming is not None:
            self.streaming = None
            self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
            slot = self.slots[0]
            slot.release()
            slot.reply, slot.source = b"\r\n", None
            self.flush()

    def abort(self) -> None:
        """The value ends before its length is reached, and so does the connection: the client can tell. The
        replies before it have been written, and leave."""
        self.streaming = None
        self.is_closing = True
        self.slots[0].source = None
        if self.transport is not None and not self.transport.is_closing():
            self.set_state(ConnectionState.WRITE_BLOCKED)  # its time, should the client not read them
            self.transport.close()

    def update_state(self) -> None:
        """Tells what the connection is doing now."""
        if self.is_write_blocked or (
            self.is_closing and self.transport is not None and self.transport.is_closing()
        ):
            self.set_state(
                ConnectionState.WRITE_BLOCKED
            )  # also when some has been read: the rest has no other time
        elif self.slots or self.is_closing:
            self.set_state(ConnectionState.ACTIVE)
        elif self.parser.has_unparsed():
            self.set_state(ConnectionState.PARTIAL_COMMAND)
        else:
            self.set_state(
                ConnectionState.IDLE_UNUSED if self.has_sent_command else ConnectionState.AWAITING_COMMAND
            )

    def set_state(self, state: ConnectionState) -> None:
        """Enters a state, if it is another."""
        self.has_partial_command = state is ConnectionState.PARTIAL_COMMAND
        self.listener.connection_slots.set_state(self.listener.loop.time(), self, state)

    def shut_write_side(self) -> None:
        """All is written. Closing with bytes unread, or on its way, would reset the connection, and what was
        just written might be lost with it, or a client's next command that crosses the close: only the own
        side is shut, and what still comes is thrown away. The client finds its command unanswered at the end
        of the connection and sends it again, which is harmless, as nothing of it was looked at."""
        if self.transport is None or self.is_write_shut or self.transport.is_closing():
            return
        self.is_write_shut = True
        self.parser = resp.Parser()
        if self.is_write_blocked:
            self.set_state(ConnectionState.WRITE_BLOCKED)
            self.transport.close()
        elif self.transport.get_write_buffer_size():
            # The time to close runs for those that have got their replies.
            self.set_state(ConnectionState.WRITE_BLOCKED)
            self.update_reading()
            self.transport.write_eof()
        else:
            self.set_state(ConnectionState.LINGERING)
            self.update_reading()
            self.transport.write_eof()

    def update_reading(self) -> None:
        """Backpressure: a client that does not read, or has too much pending, is not read from."""
        stop = not self.is_closing and (
            self.is_write_blocked or self.is_turn_scheduled or len(self.slots) >= MAX_PENDING_COMMANDS
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
        self.is_write_blocked = True
        if self.streaming is not None:
            self.streaming.pause()
        self.update_state()
        self.update_reading()

    def resume_writing(self) -> None:
        self.is_write_blocked = False
        if self.streaming is not None:
            self.streaming.resume()
        self.update_state()
        self.schedule_turn()
        self.update_reading()

    def has_unread_input(self) -> bool:
        """Whether bytes, or the end, have come from the other side and wait in the machine."""
        return self.transport is not None and has_socket_event(
            self.transport.get_extra_info("socket"), select.POLLIN
        )

    def close_when_answered(self) -> None:
        """Closes once all that was taken is answered."""
        self.is_closing = True
        self.flush()

    def close_for(self, reason: CloseReason) -> bool:
        """Ends as `Places` says; False where bytes have come that may be a command, or one has and waits for
        its turn."""
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
        """Closes a connection that has stood idle since that time or longer, unless a command is coming."""
        place = self.listener.connection_slots.slots.get(self)
        if place is None or self.slots or self.is_closing or self.parser.has_unparsed():
            return
        if place.state_entered_s <= since and not self.has_unread_input():
            self.close_when_answered()


class Listener:
    """Accepts clients, up to a number, and ends those whose time is up."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        gateway: RequestExecutor,
        catalogue: CommandParser,
        made: DescriptorBudget,
    ) -> None:
        """`made`: the parts of the process's descriptors, of which clients have theirs."""
        self.loop = loop
        self.gateway = gateway
        self.catalogue = catalogue
        self.budget = made
        self.connection_slots: ConnectionSlots[ClientConnection] = ConnectionSlots(
            made.client_connections, made.requesting_connections, made.overflow_connections
        )
        self.open_ids: set[bytes] = set()
        self.may_release_replies = (
            False  # an unfinished read may be given up for the finished replies behind it
        )
        self.closed_peers = ClosedPeerDetector()
        self.scheduled_clients: deque[ClientConnection] = (
            deque()
        )  # that have commands left, in the order of their turns
        self.queued_reply_bytes = 0  # bytes of replies since the last turn that they had
        self.release_timers: dict[
            ClientConnection, asyncio.TimerHandle
        ] = {}  # when such connections are looked at again
        self.server: asyncio.Server | None = None
        self.accepted_count = self.request_count = 0  # connections; requests that reached the decisions
        self.last_report = "", loop.time()  # the last line for the operators, and when
        self.paused_clients: set[ClientConnection] = set()
        self.closed_check_timer: asyncio.TimerHandle | None = None
        self.lifecycle = ProcessLifecycle(catalogue.bounds.max_deadline_ms / 1000.0)
        self.idle_close_timer: asyncio.TimerHandle | None = None
        self.sweep_timer = loop.call_later(self.connection_slots.next_sweep_s(), self.sweep)

    @property
    def clients(self) -> KeysView[ClientConnection]:
        """All connections."""
        return self.connection_slots.slots.keys()

    def schedule_turn(self, client: ClientConnection) -> None:
        """A turn for a connection that has commands left, after those that wait for one already."""
        self.scheduled_clients.append(client)
        if len(self.scheduled_clients) == 1:
            self.loop.call_soon(self.run_turns)

    def run_turns(self) -> None:
        """Goes on with what is left, a connection after the other. What all of them may do in one turn of the
        loop is bounded: a request takes some turns, there and back, and each is as long as this makes it.
        The loop accepts one connection in a turn, so that while any wait for that, turns are as short as can
        be. Those whose turn has not come are not read from meanwhile."""
        waiting, self.scheduled_clients = self.scheduled_clients, deque()
        self.queued_reply_bytes, until = 0, time.monotonic() + MAX_TURN_S
        try:
            while waiting:
                waiting.popleft().run_turn()
                if (
                    self.queued_reply_bytes > MAX_TURN_REPLY_BYTES
                    or time.monotonic() > until
                    or (waiting and self.has_pending_accept())
                ):
                    break
        finally:
            again = bool(self.scheduled_clients)  # and a turn is due already
            self.scheduled_clients.extendleft(reversed(waiting))
            if waiting and not again:
                self.loop.call_soon(self.run_turns)

    def release_blocked_replies(self, client: ClientConnection) -> None:
        """Gives up what keeps finished replies past their time, if the decider says so."""
        from glenchute.policy.connections.response_order import (  # where asked for
            PendingReply,
            decide_release,
        )

        look = self.release_timers.pop(client, None)
        if look is not None:
            look.cancel()
        safe = self.catalogue.idempotent_classes
        order = [
            PendingReply(
                s.deadline,
                s.reply is not None,
                s.active_request is not None and s.active_request.call.class_name in safe,
            )
            for s in client.slots
        ]
        found = decide_release(self.loop.time(), order, RELEASE_MARGIN_S)
        for slot in list(client.slots)[: found.release_count]:
            if slot.reply is None and slot.active_request is not None:
                self.gateway.abort_request(slot.active_request.request_id)
        if found.next_check_s < math.inf and client.slots:
            self.release_timers[client] = self.loop.call_at(found.next_check_s, client.flush)

    def watch_paused(self, client: ClientConnection) -> None:
        """This one is not read from, so that its end would not be seen: it is looked for."""
        self.paused_clients.add(client)
        if self.closed_check_timer is None:
            self.closed_check_timer = self.loop.call_later(PAUSED_CHECK_INTERVAL_S, self.check_paused)

    def check_paused(self) -> None:
        """Ends those whose clients have gone: what they wait for must not be sent on any more."""
        self.closed_check_timer = None
        self.closed_peers.check()
        for client in [one for one in self.paused_clients if one.is_closed_by_peer]:
            if client.transport is not None:
                client.transport.abort()
        if self.paused_clients:
            self.closed_check_timer = self.loop.call_later(PAUSED_CHECK_INTERVAL_S, self.check_paused)

    def has_pending_accept(self) -> bool:
        """Whether connections wait to be accepted."""
        return self.server is not None and any(
            has_socket_event(s, select.POLLIN) for s in self.server.sockets
        )

    async def start(self, host: str, port: int, passed: socket.socket | None = None) -> None:
        """Listens on this address only, or accepts from a socket that listens there already."""
        if passed is not None:
            self.server = await self.loop.create_server(
                lambda: ClientConnection(self), sock=passed, backlog=ACCEPT_BACKLOG
            )
        else:
            self.server = await self.loop.create_server(
                lambda: ClientConnection(self), host, port, backlog=ACCEPT_BACKLOG
            )
        self.lifecycle.begin_serving(self.loop.time())

    def on_connected(self, client: ClientConnection) -> None:
        """A new connection."""
        now = self.loop.time()
        self.accepted_count += 1
        closes = self.connection_slots.add(now, client)
        while not all([self.close_connection(close) for close in closes]):
            closes = self.connection_slots.evict_excess(
                now, client
            )  # who was to make room has a command waiting

    def close_connection(self, close: CloseConnection[ClientConnection]) -> bool:
        """Ends a connection; False where it stays after all. A fault of ours costs this one its clean
        end, and the others nothing."""
        try:
            return close.key.close_for(close.reason)
        except Exception:
            log.exception("ending a connection failed")
            if close.key.transport is not None:
                close.key.transport.abort()
            return True

    def sweep(self) -> None:
        """Ends connections whose time is up."""
        now = self.loop.time()
        for close in self.connection_slots.close_expired(now):
            self.close_connection(close)
        if now - self.last_report[1] >= REPORT_INTERVAL_S:
            self.log_report(now)
        self.sweep_timer = self.loop.call_later(self.connection_slots.next_sweep_s(), self.sweep)

    def log_report(self, now: float) -> None:
        """Tells how many came, and why connections were ended, unless that is what was said last."""
        ends = " ".join(
            f"{reason.value}={n}" for reason, n in self.connection_slots.closed_counts.items() if n
        )
        line = f"accepted={self.accepted_count} requests={self.request_count} closed: {ends or 'none'}"
        if line != self.last_report[0]:
            log.info(
                "clients: held=%d requesting=%d %s",
                len(self.connection_slots),
                self.connection_slots.requesting_count,
                line,
            )
        self.last_report = line, now

    def set_share(self, share: float) -> None:
        """From now on this process keeps to so much of the gateway's places; what is held over that goes as
        new connections come."""
        self.connection_slots.max_connections = max(1, int(self.budget.client_connections * share))
        self.connection_slots.max_requesting = max(1, int(self.budget.requesting_connections * share))

    def closes_after_reply(self) -> bool:
        """Whether connections close behind their last reply."""
        return self.lifecycle.is_closing_connections and self.lifecycle.closes_after_response(
            self.loop.time()
        )

    def start_drain(self) -> bool:
        """Drains; False where that changes nothing."""
        changed = self.lifecycle.begin_drain(self.loop.time())
        if changed:
            log.info("drain: on, %d connections held", len(self.clients))
            self.close_idle()
        return changed

    def end_drain(self) -> bool:
        """Ends the drain; False where none is on."""
        changed = self.lifecycle.cancel_drain(self.loop.time())
        if changed:
            log.info("drain: off")
        return changed

    def start_shutdown(self, replaced: bool = False) -> None:
        """The end has begun. `replaced`: another process accepts from the same socket."""
        self.lifecycle.begin_shutdown(self.loop.time(), replaced)
        self.close_idle()

    def close_idle(self) -> None:
        """While the process leaves or drains, closes what is idle, that which is so for longest first."""
        if self.idle_close_timer is not None:
            self.idle_close_timer.cancel()
            self.idle_close_timer = None
        if not self.lifecycle.is_closing_connections:
            return
        now = self.loop.time()
        borne = self.lifecycle.idle_limit_s(now)
        if borne < math.inf:
            for client in list(self.clients):
                client.close_if_idle(now - borne)
        self.idle_close_timer = self.loop.call_later(IDLE_CLOSE_INTERVAL_S, self.close_idle)

    def stop(self) -> None:
        """No new connections. The listening socket itself is not shut: what waits in its queue is for
        whoever else accepts from it."""
        if self.server is not None:
            self.server.close()
            self.server = None
            self.log_report(self.loop.time())

    def close(self) -> None:
        """The end of the process: written replies still leave, nothing more is read."""
        self.sweep_timer.cancel()
        if self.closed_check_timer is not None:
            self.closed_check_timer.cancel()
        if self.idle_close_timer is not None:
            self.idle_close_timer.cancel()
        if self.server is not None:
            self.server.close()
        for client in list(self.clients):
            if client.transport is not None:
                client.transport.close()
        self.closed_peers.close()
