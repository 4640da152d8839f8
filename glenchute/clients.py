"""The clients' side: the listener, commands in, replies in the order of their commands.

What a client may make the gateway hold is bounded: the bytes of a message, the commands of a connection, the
replies it does not read, the connections, the time that it may say nothing, the work of one turn of the loop.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import Any

from . import resp
from .commands import Catalogue, CommandError
from .gateway import Gateway, Live

log = logging.getLogger("glenchute")

MOST_PENDING = 64  # commands of one connection without a reply; more are left unread
TURN = 16  # commands that one connection may have carried out before others get their turn
MOST_ERRORS = 8  # commands that can't be served, after which a connection is closed
IDLE_S = 5.0  # a connection between requests is closed after this ...
CROWDED_IDLE_S = 2.0  # ... or this, while more than half of the places are taken
SILENT_S = 2.0  # one that has not sent a whole command by then is closed
PARTIAL_S = 2.0  # one that has begun a command and not ended it by then is told, and closed
STUCK_S = 30.0  # one that leaves its replies unread is cut off after this
LINGER_S = 0.5  # after an error the other end has this long to read it, while what it sends is thrown away
LINGER_BYTES = 4 * 1024 * 1024
SWEEP_S = 0.25
BUFFERED = 256 * 1024  # replies that may wait for a slow reader before its commands are left unread
SPARE = 16  # connections past the limit that may be told so; further ones are closed unseen


class Slot:
    """The place of one reply in a connection's order."""

    __slots__ = ("client", "live", "reply", "request_id")

    def __init__(self, client: Client) -> None:
        self.client = client
        self.live: Live | None = None
        self.reply: bytes | None = None
        self.request_id: bytes | None = None  # while the request is open

    def release(self) -> None:
        """The request is over."""
        if self.request_id is not None:
            self.client.listener.open_ids.discard(self.request_id)
            self.request_id = None

    def fill(self, reply: bytes) -> None:
        """The answer is known; it goes out when those before it have."""
        self.release()
        self.reply, self.live = reply, None
        self.client.flush()


class Client(asyncio.Protocol):
    """One client connection."""

    __slots__ = (
        "closing",
        "discarded",
        "errors",
        "full",
        "leaving_since",
        "listener",
        "parser",
        "partial_since",
        "paused",
        "slots",
        "spoke",
        "told",
        "touched",
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
        self.told = False  # closes with an error, which the other end should have the time to read
        self.leaving_since: float | None = None  # all is written and the own side is shut
        self.discarded = 0  # bytes that came since then
        self.full = False  # the client does not read its replies
        self.paused = False
        self.working = False
        self.waiting = False  # a turn of the loop is booked for commands that are left
        self.spoke = False  # a whole command has come
        self.errors = 0
        self.partial_since: float | None = None  # when the command began whose end is awaited
        self.touched = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=BUFFERED)
        self.touched = self.listener.loop.time()
        self.listener.made(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport, self.closing = None, True
        self.listener.clients.discard(self)
        slots, self.slots = self.slots, deque()
        for slot in slots:
            slot.release()
            live, slot.live = slot.live, None
            if live is not None:
                self.listener.gateway.client_left(live)

    def data_received(self, data: bytes) -> None:
        if self.closing:
            self.discarded += len(data)
            if self.discarded > LINGER_BYTES and not self.slots and self.transport is not None:
                self.transport.abort()
            return
        self.touched = self.listener.loop.time()
        self.parser.feed(data)
        if not self.waiting:
            self.work()

    def work(self) -> None:
        """Takes whole commands as long as there is room for their replies, a bounded number in one turn."""
        if self.working:
            return
        self.working, self.waiting = True, False
        left = TURN
        try:
            while left and not self.closing and not self.full and len(self.slots) < MOST_PENDING:
                words = self.parser.next()
                if words is False:
                    break
                left -= 1
                self.spoke, self.partial_since = True, None
                self.command(words)
        except resp.ProtocolError as error:
            self.broken(error)
        finally:
            self.working = False
        if not self.closing and self.parser.rest():
            if left and self.partial_since is None:
                self.partial_since = self.listener.loop.time()
            elif not left:
                self.book()
        self.flush()

    def book(self) -> None:
        """Commands are left in the buffer: the loop's next turn goes on with them."""
        if not self.waiting:
            self.waiting = True
            self.listener.loop.call_soon(self.work)

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
                self.closing = self.told = True  # it goes on as before at full speed, at the others' cost
        except Exception:
            # A fault of ours would else end the connection with all that is held on it.
            log.exception("a command failed")
            slot.reply = slot.reply or resp.FAILED

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
        self.listener.open_ids.add(call.request_id)
        slot.request_id = call.request_id
        try:
            live = self.listener.gateway.take(call, slot.fill)
        except Exception:
            slot.release()
            raise
        if slot.reply is None:
            slot.live = live

    def plain(self, verb: bytes, words: list[bytes]) -> bytes:
        """Commands of the connection itself."""
        if verb == b"PING":
            if len(words) > 2:
                raise CommandError("wrong number of arguments for 'ping'")
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
        self.closing = self.told = True
        self.flush()

    def flush(self) -> None:
        """Writes the replies that are next in order, and reads on or stops reading."""
        if self.transport is None or self.working:
            return  # while commands are being taken, their replies go out together afterwards
        ready: list[bytes] = []
        while self.slots and self.slots[0].reply is not None:
            ready.append(self.slots.popleft().reply or b"")
        if ready:
            self.touched = self.listener.loop.time()
            self.transport.write(b"".join(ready))
        if self.closing and not self.slots:
            self.leave()
            return
        if ready and self.parser.rest() and not self.full and not self.closing:
            self.book()
        self.throttle()

    def leave(self) -> None:
        """All is written. Closing with bytes unread would reset the connection, and the error that was just
        written might be lost with it: only the own side is shut, and what still comes is thrown away."""
        if self.transport is None or self.leaving_since is not None:
            return
        self.leaving_since = self.listener.loop.time()
        self.parser = resp.Parser()
        if self.told and not self.full:
            self.throttle()
            self.transport.write_eof()
        else:
            self.transport.close()

    def throttle(self) -> None:
        """Backpressure: a client that does not read, or has too much pending, is not read from."""
        stop = not self.closing and (self.full or len(self.slots) >= MOST_PENDING)
        if self.transport is None or self.transport.is_closing() or stop == self.paused:
            return
        self.paused = stop
        if stop:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        self.full = True
        self.throttle()

    def resume_writing(self) -> None:
        self.full = False
        self.touched = self.listener.loop.time()
        self.throttle()
        self.book()

    def idle(self) -> bool:
        """Between requests."""
        return not self.slots and not self.closing and not self.parser.rest()

    def finish(self) -> None:
        """Closes once all that was taken is answered."""
        self.closing = True
        self.flush()

    def sweep(self, now: float, idle_s: float) -> None:
        """Peers that vanish say nothing: every wait has an end."""
        if self.transport is None:
            return
        since = now - self.touched
        if self.leaving_since is not None:
            if now - self.leaving_since > (STUCK_S if self.full else LINGER_S):
                self.transport.abort()
        elif self.full:
            if since > STUCK_S:
                self.transport.abort()
        elif self.slots or self.closing:
            return
        elif self.partial_since is not None and now - self.partial_since > PARTIAL_S:
            self.broken(resp.ProtocolError("the end of a command did not come"))
        elif self.idle() and since > (idle_s if self.spoke else SILENT_S):
            self.finish()


class Listener:
    """Accepts clients, up to a number."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, gateway: Gateway, catalogue: Catalogue, most: int
    ) -> None:
        self.loop = loop
        self.gateway = gateway
        self.catalogue = catalogue
        self.most = most
        self.clients: set[Client] = set()
        self.open_ids: set[bytes] = set()
        self.server: asyncio.Server | None = None
        self.sweeper = loop.call_later(SWEEP_S, self.sweep)

    async def start(self, host: str, port: int) -> None:
        """Listens on this address only."""
        self.server = await self.loop.create_server(lambda: Client(self), host, port, backlog=512)

    def made(self, client: Client) -> None:
        """A new connection. Past the limit room is made: by those that leave anyway, then those that never
        said a word, then the longest idle ones. With none of these the new one is turned away."""
        if len(self.clients) >= self.most:
            oldest = min(
                (c for c in self.clients if c.leaving_since is not None or c.idle()),
                key=lambda c: (c.leaving_since is None, c.spoke, c.touched),
                default=None,
            )
            if oldest is not None and oldest.transport is not None:
                oldest.transport.abort()
            elif len(self.clients) < self.most + SPARE:
                client.broken(resp.ProtocolError("too many connections"))
            else:
                assert client.transport is not None
                client.transport.abort()
        self.clients.add(client)

    def sweep(self) -> None:
        """Looks at all connections now and then, which is cheaper than a timer for each."""
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)
        now = self.loop.time()
        idle_s = CROWDED_IDLE_S if 2 * len(self.clients) > self.most else IDLE_S
        for client in list(self.clients):
            client.sweep(now, idle_s)

    def stop(self) -> None:
        """No new connections; those between requests close now, the others with their last reply."""
        if self.server is not None:
            self.server.close()
        for client in list(self.clients):
            client.finish()

    def close(self) -> None:
        """The end of the process: written replies still leave, nothing more is read."""
        self.sweeper.cancel()
        for client in list(self.clients):
            if client.transport is not None:
                client.transport.close()
