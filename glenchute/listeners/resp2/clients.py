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
from glenchute.policy.lifecycle.draining import Lifecycle
from glenchute.protocol import resp2 as resp

from .commands import Catalogue, CommandError

log = logging.getLogger("glenchute")

MOST_PENDING = 64  # commands of one connection without a reply; more are left unread
BACKLOG = 512  # connections that wait to be accepted
TURN = 16  # commands that one connection may have carried out before others get their turn
MOST_ERRORS = 8  # commands that can't be served, after which a connection is closed
LINGER_BYTES = 4 * 1024 * 1024
LONG_BUFFERED = 64 * 1024  # of a long value that may wait for its reader before the server is left unread
BUFFERED = 256 * 1024  # replies that may wait for a slow reader before its commands are left unread
HEAPED = 64 * 1024  # replies after which a turn of the loop is awaited: the transport writes at its end
TURN_S = 0.002  # of a turn of the loop, for what is left of all connections' commands; one always goes on
TURN_BYTES = 16 * HEAPED  # ... and replies to them: they are written at its end, which TURN_S does not see
REPORT_S = 10.0  # a line for the operators this often, while anything happens
RELEASE_S = 0.02  # before a finished reply's time is up, what keeps it may be given up
GONE_S = 0.1  # an attempt that begins later than this after its client's end is a break (STANDING.md)
LOOK_S = GONE_S / 10.0  # ends were looked for so shortly before an attempt begins, also after a busy loop
UNREAD_S = GONE_S / 4.0  # how often while connections are not read from, for what has begun or waits in line
MOST_ENDS = 64  # told by one call
PART_S = 0.05  # how often idle connections are looked at while the process leaves or drains


def encode(answer: FinalResponse) -> bytes:
    """A final answer in the protocol's words."""
    if isinstance(answer, Served):
        return resp.bulk(answer.value)
    if isinstance(answer, Rejected):
        return resp.busy(answer.retry_after_ms)
    return resp.FAILED


def happened(sock: Any, event: int) -> bool:
    """Whether the machine has seen this on a socket, or the socket's end."""
    if sock is None or sock.fileno() < 0:
        return False
    waiting = select.poll()
    waiting.register(sock.fileno(), event)
    return bool(waiting.poll(0))


class Ends:
    """Which clients have gone, though their ends may not have been read yet: the loop may have been busy,
    other bytes may come first, or reading is paused. One call asks for all connections, so that it can be
    made before an attempt begins."""

    def __init__(self) -> None:
        self.poll = select.epoll()
        self.clients: dict[int, Client] = {}  # by descriptor
        self.looked = -math.inf

    def add(self, client: Client, sock: Any) -> None:
        """A new connection; what came on it was not looked at yet."""
        client.number = sock.fileno()
        self.clients[client.number] = client
        self.poll.register(client.number, select.EPOLLRDHUP)
        self.looked = -math.inf

    def drop(self, client: Client) -> None:
        """It is closed, or told: to be called while its descriptor is its own."""
        if self.clients.pop(client.number, None) is not None:
            self.poll.unregister(client.number)

    def look(self) -> None:
        """Marks those that have gone."""
        self.looked = time.monotonic()
        while True:
            found = self.poll.poll(0, MOST_ENDS)
            for number, _ in found:
                client = self.clients[number]
                self.drop(client)
                client.gone = True
            if len(found) < MOST_ENDS:
                return

    def close(self) -> None:
        """The end of the process."""
        self.looked = math.inf
        self.poll.close()
        self.clients.clear()  # connections are lost after this

    def gone(self, client: Client) -> bool:
        """Whether this client had gone within the last `LOOK_S`."""
        if time.monotonic() - self.looked > LOOK_S:
            self.look()
        return client.gone


class Slot:
    """The place of one reply in a connection's order."""

    __slots__ = ("client", "due", "live", "reply", "request_id", "source")

    def __init__(self, client: Client) -> None:
        self.client = client
        self.due = math.inf  # the client waits until then, by the loop's clock
        self.live: ActiveRequest | None = None
        self.reply: bytes | None = None
        self.source: ResponseSource | None = None  # of a reply that is too long to be held
        self.request_id: bytes | None = None  # while the request is open

    def release(self) -> None:
        """The request is over."""
        if self.request_id is not None:
            self.client.listener.open_ids.discard(self.request_id)
            self.request_id = None

    def fill(self, answer: FinalResponse) -> None:
        """The answer is known; it goes out when those before it have."""
        self.live = None
        if isinstance(answer, Streamed):
            self.source = answer.source  # its id stays in use until the value has passed
        else:
            self.release()
            self.reply = encode(answer)
            self.client.heap(self.reply)
        self.client.flush()


class Client(asyncio.Protocol):
    """One client connection."""

    __slots__ = (
        "closing",
        "discarded",
        "errors",
        "full",
        "gone",
        "heaped",
        "leaving",
        "listener",
        "number",
        "parser",
        "partial",
        "paused",
        "slots",
        "spoke",
        "streaming",
        "transport",
        "waiting",
        "working",
    )

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.parser = resp.Parser()
        self.slots: deque[Slot] = deque()
        self.transport: asyncio.Transport | None = None
        self.closing = False  # no more commands; closes when all replies are out
        self.leaving = False  # all is written and the own side is shut
        self.discarded = 0  # bytes that came since then
        self.full = False  # the client does not read its replies
        self.gone = False  # it has closed, though bytes of it may still wait to be read
        self.heaped = 0  # bytes of replies since the transport could last tell whether the client reads
        self.number = -1  # the connection's descriptor
        self.paused = False
        self.working = False
        self.waiting = False  # a turn of the loop is booked for commands that are left
        self.spoke = False  # a whole command has come
        self.errors = 0
        self.partial = False  # the end of a command that has begun is awaited
        self.streaming: ResponseSource | None = None  # the long value whose turn it is

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=BUFFERED)
        self.listener.ends.add(self, self.transport.get_extra_info("socket"))
        self.listener.made(self)

    def left(self) -> bool:
        """Whether the client has gone."""
        return self.gone or self.listener.ends.gone(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.listener.ends.drop(self)
        self.transport, self.closing = None, True
        look = self.listener.looks.pop(self, None)
        if look is not None:
            look.cancel()
        self.listener.places.remove(self)
        self.listener.left_unread.discard(self)
        self.drop_all()

    def eof_received(self) -> None:
        """The client has gone. The transport closes once what is written has left, for which it has its time:
        a client that reads nothing would else keep its place, and have its requests sent on."""
        self.closing = True
        self.drop_all()
        self.be(ConnectionState.WRITE_BLOCKED)

    def drop_all(self) -> None:
        """Nobody waits for the replies that are due."""
        slots, self.slots = self.slots, deque()
        for slot in slots:
            slot.release()
            live, slot.live = slot.live, None
            if live is not None:
                self.listener.gateway.client_disconnected(live)
            if slot.source is not None:
                slot.source.discard()
        self.streaming = None

    def data_received(self, data: bytes) -> None:
        if self.closing:
            self.discarded += len(data)
            if self.discarded > LINGER_BYTES and not self.slots and self.transport is not None:
                self.transport.abort()
            return
        self.parser.feed(data)
        if self.waiting:
            return
        if len(data) > HEAPED and self.listener.heaped > TURN_BYTES:
            self.book()  # others' turns have the rest of this one; small commands wait for none
            self.throttle()
        else:
            self.work()

    def work(self) -> None:
        """Takes whole commands as long as there is room for their replies, a bounded number in one turn."""
        if self.working:
            return
        self.working, self.waiting = True, False
        left = TURN
        try:
            while left and not self.closing and not self.full and len(self.slots) < MOST_PENDING:
                if self.heaped > HEAPED:
                    break
                words = self.parser.next()
                if words is False:
                    break
                left -= 1
                self.spoke = True
                if self.partial:
                    self.be(ConnectionState.ACTIVE)  # that command has ended; the next has its own time
                self.command(words)
        except resp.ProtocolError as error:
            self.broken(error)
        finally:
            self.working = False
        if not self.closing and self.parser.rest() and not left:
            self.book()
        self.flush()

    def book(self) -> None:
        """A later turn of the loop goes on with what is left in the buffer. Nothing is read before that: one
        turn may read megabytes, in many calls."""
        if not self.waiting:
            self.waiting = True
            self.listener.book(self)

    def turn(self) -> None:
        """That turn; what was written before it has left, or the transport has told."""
        self.heaped = 0
        self.work()

    def command(self, words: Any) -> None:
        """One command. Whatever is wrong with it is told to the client, and only what breaks RESP closes."""
        if not isinstance(words, list) or not words or not all(type(word) is bytes for word in words):
            raise resp.ProtocolError("expected an array of bulk strings")
        slot = Slot(self)
        self.slots.append(slot)
        try:
            self.carry_out(slot, words)
        except CommandError as error:
            slot.reply = resp.error(str(error))
            self.errors += 1
            if self.errors >= MOST_ERRORS:
                self.closing = True  # it goes on as before at full speed, at the others' cost
        except Exception:
            # A fault of ours would else end the connection with all that is held on it.
            log.exception("a command failed")
            slot.reply = slot.reply or resp.FAILED
        self.heap(slot.reply or b"")

    def heap(self, reply: bytes) -> None:
        """A reply is held here until its turn, and then written at the end of a turn of the loop."""
        self.heaped += len(reply)
        self.listener.heaped += len(reply)

    def carry_out(self, slot: Slot, words: list[bytes]) -> None:
        """Takes a request, or answers a command of the connection itself."""
        verb = words[0].upper()
        if verb not in (b"CALL.GET", b"CALL.POST"):
            slot.reply = self.plain(verb, words)
            return
        call = self.listener.catalogue.call(words)
        if call.request_id in self.listener.open_ids:
            # On the servers two requests of one id would be taken for one, and both might be spoilt.
            raise CommandError("this request id is in use")
        now = self.listener.loop.time()
        if not self.listener.life.takes(now):
            slot.reply = resp.busy(0.0)
            return
        self.listener.places.on_request(now, self)
        self.listener.open_ids.add(call.request_id)
        slot.request_id = call.request_id
        self.listener.taken += 1
        try:
            live = self.listener.gateway.accept(call, slot.fill, self.left)
        except Exception:
            slot.release()
            raise
        slot.due = live.deadline
        if slot.reply is None:
            slot.live = live

    def plain(self, verb: bytes, words: list[bytes]) -> bytes:
        """Commands of the connection itself."""
        if verb == b"PING":
            if len(words) > 2:
                raise CommandError("wrong number of arguments for 'ping'")
            if self.listener.life.parting:
                return resp.error(self.listener.life.phase.value)
            return resp.bulk(words[1]) if len(words) == 2 else resp.PONG
        if verb in (b"CLIENT", b"SELECT"):
            return resp.OK
        if verb == b"QUIT":
            self.closing = True
            return resp.OK
        raise CommandError(f"unknown command '{verb[:64].decode('ascii', 'replace')}'")

    def broken(self, error: Exception) -> None:
        """Bytes that are not RESP: says so after the replies still owed, and closes."""
        slot = Slot(self)
        slot.reply = resp.error(f"Protocol error: {error}")
        self.slots.append(slot)
        self.closing = True
        self.flush()

    def flush(self) -> None:
        """Writes the replies that are next in order, and reads on or stops reading."""
        if self.transport is None or self.working:
            return  # while commands are being taken, their replies go out together afterwards
        if self.heaped > HEAPED:
            self.book()
        ready: list[bytes] = []
        while self.slots and self.next_reply(self.slots[0]):
            ready.append(self.slots.popleft().reply or b"")
        if ready:
            self.transport.write(b"".join(ready))
            if not self.slots and self.listener.parts() and not self.parser.rest() and not self.readable():
                self.closing = True  # the process leaves or drains, and nothing is known to follow
        if self.closing and not self.slots:
            self.leave()
            return
        if self.slots and self.slots[0].source is not None and self.streaming is None:
            self.stream(self.slots[0].source)
            return  # it may be over already, and this have been done again
        if self.listener.release and self.slots and not self.full:
            self.listener.unblock(self)
        if ready and self.parser.rest() and not self.full and not self.closing:
            self.book()
        self.settle()
        self.throttle()

    @staticmethod
    def next_reply(slot: Slot) -> bool:
        """Whether the reply that is next in order can be written whole."""
        if slot.reply is None and slot.source is not None and slot.source.has_failed:
            slot.release()
            slot.reply, slot.source = resp.FAILED, None  # it ended while it waited: nothing of it has left
        return slot.reply is not None

    def stream(self, source: ResponseSource) -> None:
        """The turn of a long value: its bytes go on as they come."""
        assert self.transport is not None
        self.streaming = source
        self.transport.set_write_buffer_limits(high=LONG_BUFFERED)
        self.transport.write(b"$%d\r\n" % source.length_bytes)
        self.settle()
        self.throttle()
        if self.full:
            source.pause()  # of replies before it
        source.start(self)

    def write_chunk(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def finish(self) -> None:
        if self.transport is not None and self.streaming is not None:
            self.streaming = None
            self.transport.set_write_buffer_limits(high=BUFFERED)
            slot = self.slots[0]
            slot.release()
            slot.reply, slot.source = b"\r\n", None
            self.flush()

    def abort(self) -> None:
        """The value ends before its length is reached, and so does the connection: the client can tell. The
        replies before it have been written, and leave."""
        self.streaming = None
        self.closing = True
        self.slots[0].source = None
        if self.transport is not None and not self.transport.is_closing():
            self.be(ConnectionState.WRITE_BLOCKED)  # its time, should the client not read them
            self.transport.close()

    def settle(self) -> None:
        """Tells what the connection is doing now."""
        if self.full or (self.closing and self.transport is not None and self.transport.is_closing()):
            self.be(ConnectionState.WRITE_BLOCKED)  # also when some has been read: the rest has no other time
        elif self.slots or self.closing:
            self.be(ConnectionState.ACTIVE)
        elif self.parser.rest():
            self.be(ConnectionState.PARTIAL_COMMAND)
        else:
            self.be(ConnectionState.IDLE_UNUSED if self.spoke else ConnectionState.AWAITING_COMMAND)

    def be(self, state: ConnectionState) -> None:
        """Enters a state, if it is another."""
        self.partial = state is ConnectionState.PARTIAL_COMMAND
        self.listener.places.set_state(self.listener.loop.time(), self, state)

    def leave(self) -> None:
        """All is written. Closing with bytes unread, or on its way, would reset the connection, and what was
        just written might be lost with it, or a client's next command that crosses the close: only the own
        side is shut, and what still comes is thrown away. The client finds its command unanswered at the end
        of the connection and sends it again, which is harmless, as nothing of it was looked at."""
        if self.transport is None or self.leaving or self.transport.is_closing():
            return
        self.leaving = True
        self.parser = resp.Parser()
        if self.full:
            self.be(ConnectionState.WRITE_BLOCKED)
            self.transport.close()
        elif self.transport.get_write_buffer_size():
            # The time to close runs for those that have got their replies.
            self.be(ConnectionState.WRITE_BLOCKED)
            self.throttle()
            self.transport.write_eof()
        else:
            self.be(ConnectionState.LINGERING)
            self.throttle()
            self.transport.write_eof()

    def throttle(self) -> None:
        """Backpressure: a client that does not read, or has too much pending, is not read from."""
        stop = not self.closing and (self.full or self.waiting or len(self.slots) >= MOST_PENDING)
        if self.transport is None or self.transport.is_closing() or stop == self.paused:
            return
        self.paused = stop
        if stop:
            self.transport.pause_reading()
            self.listener.unread(self)
        else:
            self.transport.resume_reading()
            self.listener.left_unread.discard(self)

    def pause_writing(self) -> None:
        self.full = True
        if self.streaming is not None:
            self.streaming.pause()
        self.settle()
        self.throttle()

    def resume_writing(self) -> None:
        self.full = False
        if self.streaming is not None:
            self.streaming.resume()
        self.settle()
        self.book()
        self.throttle()

    def readable(self) -> bool:
        """Whether bytes, or the end, have come from the other side and wait in the machine."""
        return self.transport is not None and happened(self.transport.get_extra_info("socket"), select.POLLIN)

    def close_when_answered(self) -> None:
        """Closes once all that was taken is answered."""
        self.closing = True
        self.flush()

    def end(self, reason: CloseReason) -> bool:
        """Ends as `Places` says; False where bytes have come that may be a command, or one has and waits for
        its turn."""
        if self.transport is None:
            return True
        if reason in ABORT_REASONS:
            self.transport.abort()
        elif reason is CloseReason.NO_SLOT:
            self.broken(resp.ProtocolError("too many connections"))
        elif self.waiting or (reason is not CloseReason.PARTIAL_COMMAND and self.readable()):
            self.listener.places.revive(self.listener.loop.time(), self)
            return False
        elif reason is CloseReason.PARTIAL_COMMAND:
            self.broken(resp.ProtocolError("the end of a command did not come"))
        else:
            self.close_when_answered()
        return True

    def part(self, since: float) -> None:
        """Closes a connection that has stood idle since that time or longer, unless a command is coming."""
        place = self.listener.places.slots.get(self)
        if place is None or self.slots or self.closing or self.parser.rest():
            return
        if place.state_entered_s <= since and not self.readable():
            self.close_when_answered()


class Listener:
    """Accepts clients, up to a number, and ends those whose time is up."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        gateway: RequestExecutor,
        catalogue: Catalogue,
        made: DescriptorBudget,
    ) -> None:
        """`made`: the parts of the process's descriptors, of which clients have theirs."""
        self.loop = loop
        self.gateway = gateway
        self.catalogue = catalogue
        self.budget = made
        self.places: ConnectionSlots[Client] = ConnectionSlots(
            made.client_connections, made.requesting_connections, made.overflow_connections
        )
        self.open_ids: set[bytes] = set()
        self.release = False  # an unfinished read may be given up for the finished replies behind it
        self.ends = Ends()
        self.booked: deque[Client] = deque()  # that have commands left, in the order of their turns
        self.heaped = 0  # bytes of replies since the last turn that they had
        self.looks: dict[Client, asyncio.TimerHandle] = {}  # when such connections are looked at again
        self.server: asyncio.Server | None = None
        self.accepted = self.taken = 0  # connections; requests that reached the decisions
        self.said = "", loop.time()  # the last line for the operators, and when
        self.left_unread: set[Client] = set()
        self.looker: asyncio.TimerHandle | None = None
        self.life = Lifecycle(catalogue.bounds.wait_ms / 1000.0)
        self.parter: asyncio.TimerHandle | None = None
        self.sweeper = loop.call_later(self.places.next_sweep_s(), self.sweep)

    @property
    def clients(self) -> KeysView[Client]:
        """All connections."""
        return self.places.slots.keys()

    def book(self, client: Client) -> None:
        """A turn for a connection that has commands left, after those that wait for one already."""
        self.booked.append(client)
        if len(self.booked) == 1:
            self.loop.call_soon(self.turn)

    def turn(self) -> None:
        """Goes on with what is left, a connection after the other. What all of them may do in one turn of the
        loop is bounded: a request takes some turns, there and back, and each is as long as this makes it.
        The loop accepts one connection in a turn, so that while any wait for that, turns are as short as can
        be. Those whose turn has not come are not read from meanwhile."""
        waiting, self.booked = self.booked, deque()
        self.heaped, until = 0, time.monotonic() + TURN_S
        try:
            while waiting:
                waiting.popleft().turn()
                if self.heaped > TURN_BYTES or time.monotonic() > until or (waiting and self.called()):
                    break
        finally:
            again = bool(self.booked)  # and a turn is due already
            self.booked.extendleft(reversed(waiting))
            if waiting and not again:
                self.loop.call_soon(self.turn)

    def unblock(self, client: Client) -> None:
        """Gives up what keeps finished replies past their time, if the decider says so."""
        from glenchute.policy.connections.response_order import (  # where asked for
            PendingReply,
            decide_release,
        )

        look = self.looks.pop(client, None)
        if look is not None:
            look.cancel()
        safe = self.catalogue.safe
        order = [
            PendingReply(s.due, s.reply is not None, s.live is not None and s.live.call.class_name in safe)
            for s in client.slots
        ]
        found = decide_release(self.loop.time(), order, RELEASE_S)
        for slot in list(client.slots)[: found.release_count]:
            if slot.reply is None and slot.live is not None:
                self.gateway.abort_request(slot.live.request_id)
        if found.next_check_s < math.inf and client.slots:
            self.looks[client] = self.loop.call_at(found.next_check_s, client.flush)

    def unread(self, client: Client) -> None:
        """This one is not read from, so that its end would not be seen: it is looked for."""
        self.left_unread.add(client)
        if self.looker is None:
            self.looker = self.loop.call_later(UNREAD_S, self.look)

    def look(self) -> None:
        """Ends those whose clients have gone: what they wait for must not be sent on any more."""
        self.looker = None
        self.ends.look()
        for client in [one for one in self.left_unread if one.gone]:
            if client.transport is not None:
                client.transport.abort()
        if self.left_unread:
            self.looker = self.loop.call_later(UNREAD_S, self.look)

    def called(self) -> bool:
        """Whether connections wait to be accepted."""
        return self.server is not None and any(happened(s, select.POLLIN) for s in self.server.sockets)

    async def start(self, host: str, port: int, passed: socket.socket | None = None) -> None:
        """Listens on this address only, or accepts from a socket that listens there already."""
        if passed is not None:
            self.server = await self.loop.create_server(lambda: Client(self), sock=passed, backlog=BACKLOG)
        else:
            self.server = await self.loop.create_server(lambda: Client(self), host, port, backlog=BACKLOG)
        self.life.serving(self.loop.time())

    def made(self, client: Client) -> None:
        """A new connection."""
        now = self.loop.time()
        self.accepted += 1
        closes = self.places.add(now, client)
        while not all([self.carry_out(close) for close in closes]):
            closes = self.places.evict_excess(now, client)  # who was to make room has a command waiting

    def carry_out(self, close: CloseConnection[Client]) -> bool:
        """Ends a connection; False where it stays after all. A fault of ours costs this one its clean
        end, and the others nothing."""
        try:
            return close.key.end(close.reason)
        except Exception:
            log.exception("ending a connection failed")
            if close.key.transport is not None:
                close.key.transport.abort()
            return True

    def sweep(self) -> None:
        """Ends connections whose time is up."""
        now = self.loop.time()
        for close in self.places.close_expired(now):
            self.carry_out(close)
        if now - self.said[1] >= REPORT_S:
            self.report(now)
        self.sweeper = self.loop.call_later(self.places.next_sweep_s(), self.sweep)

    def report(self, now: float) -> None:
        """Tells how many came, and why connections were ended, unless that is what was said last."""
        ends = " ".join(f"{reason.value}={n}" for reason, n in self.places.closed_counts.items() if n)
        line = f"accepted={self.accepted} requests={self.taken} closed: {ends or 'none'}"
        if line != self.said[0]:
            log.info(
                "clients: held=%d requesting=%d %s", len(self.places), self.places.requesting_count, line
            )
        self.said = line, now

    def share(self, share: float) -> None:
        """From now on this process keeps to so much of the gateway's places; what is held over that goes as
        new connections come."""
        self.places.max_connections = max(1, int(self.budget.client_connections * share))
        self.places.max_requesting = max(1, int(self.budget.requesting_connections * share))

    def parts(self) -> bool:
        """Whether connections close behind their last reply."""
        return self.life.parting and self.life.closes(self.loop.time())

    def lame_duck(self) -> bool:
        """Drains; False where that changes nothing."""
        changed = self.life.lame_duck(self.loop.time())
        if changed:
            log.info("drain: on, %d connections held", len(self.clients))
            self.part()
        return changed

    def back(self) -> bool:
        """Ends the drain; False where none is on."""
        changed = self.life.back(self.loop.time())
        if changed:
            log.info("drain: off")
        return changed

    def leave(self, replaced: bool = False) -> None:
        """The end has begun. `replaced`: another process accepts from the same socket."""
        self.life.leave(self.loop.time(), replaced)
        self.part()

    def part(self) -> None:
        """While the process leaves or drains, closes what is idle, that which is so for longest first."""
        if self.parter is not None:
            self.parter.cancel()
            self.parter = None
        if not self.life.parting:
            return
        now = self.loop.time()
        borne = self.life.borne(now)
        if borne < math.inf:
            for client in list(self.clients):
                client.part(now - borne)
        self.parter = self.loop.call_later(PART_S, self.part)

    def stop(self) -> None:
        """No new connections. The listening socket itself is not shut: what waits in its queue is for
        whoever else accepts from it."""
        if self.server is not None:
            self.server.close()
            self.server = None
            self.report(self.loop.time())

    def close(self) -> None:
        """The end of the process: written replies still leave, nothing more is read."""
        self.sweeper.cancel()
        if self.looker is not None:
            self.looker.cancel()
        if self.parter is not None:
            self.parter.cancel()
        if self.server is not None:
            self.server.close()
        for client in list(self.clients):
            if client.transport is not None:
                client.transport.close()
        self.ends.close()
