"""The clients' side: the listener, commands in, replies in the order of their commands.

What a client may make the gateway hold is bounded: the bytes of a message, the commands of a connection, the
replies it does not read, the connections.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Iterable
from typing import Any

from heathglade.interface import Repeat, Settings

from . import resp
from .gateway import Call, Gateway, Live

log = logging.getLogger("glenchute")

MOST_PENDING = 64  # commands of one connection without a reply; more are left unread
IDLE_S = 300.0  # a connection between requests is closed after this
STUCK_S = 30.0  # one that leaves a command unfinished or its replies unread is cut off after this
SWEEP_S = 5.0
MOST_MS = 600_000.0
MOST_UNITS = 1e6
BUFFERED = 256 * 1024  # replies that may wait for a slow reader before its commands are left unread


class CommandError(ValueError):
    """A command that can't be served; the text goes to the client."""


class Catalogue:
    """What a command may name, from the settings."""

    def __init__(self, settings: Settings) -> None:
        self.gateways = settings.gateways
        self.plans = {plan.name.encode(): plan.name for plan in settings.plans}
        self.classes = {cls.name.encode(): (cls.name, cls.repeat) for cls in settings.classes}

    def call(self, words: list[bytes]) -> Call:
        """Checks a command and takes it apart, once."""
        verb = words[0].upper()
        if not 4 <= len(words) <= 5:
            raise CommandError("wrong number of arguments")
        customer, request_id, text = words[1:4]
        if not request_id or len(text) > 4096:
            raise CommandError("bad request id or fields")
        fields, gap = split_fields(text)
        name, repeat = self.known(self.classes, fields, b"c", "class")
        if (repeat is Repeat.SAFE) != (verb == b"CALL.GET"):
            raise CommandError("this class goes by the other command")
        if repeat is Repeat.KEYED and not fields.get(b"k"):
            raise CommandError("no idempotency key")
        return Call(
            class_name=name,
            plan=self.known(self.plans, fields, b"t", "plan"),
            customer=account(customer),
            time_left_ms=number(fields, b"d", 1.0, MOST_MS),
            units=number(fields, b"units", 0.0, MOST_UNITS, 1.0),
            spread=int(number(fields, b"spread", 1.0, 1e6, 1.0)),
            before=b"*%d\r\n%b" % (len(words), b"".join([resp.bulk(word) for word in words[:3]])),
            fields=gap,
            after=resp.bulk(words[4]) if len(words) == 5 else b"",
        )

    @staticmethod
    def known(table: dict[bytes, Any], fields: dict[bytes, bytes], key: bytes, what: str) -> Any:
        """What a field names."""
        try:
            return table[fields[key]]
        except KeyError:
            raise CommandError(f"unknown {what}") from None


def account(customer: bytes) -> str:
    """The customer in the one form that all gateways share: windows and counter names hang on it."""
    if not 1 <= len(customer) <= 16 or not customer.isalnum():
        raise CommandError("bad customer")
    try:
        return f"{int(customer, 16):016x}"
    except ValueError:
        raise CommandError("bad customer") from None


def split_fields(text: bytes) -> tuple[dict[bytes, bytes], tuple[bytes, bytes]]:
    """The fields by name, and the list round the number of `d`."""
    fields: dict[bytes, bytes] = {}
    gap: tuple[bytes, bytes] | None = None
    at = 0
    for part in text.split(b","):
        name, equals, value = part.partition(b"=")
        if not equals or not name or name in fields:
            raise CommandError("bad fields")
        fields[name] = value
        if name == b"d":
            gap = text[: at + 2], text[at + len(part) :]
        at += len(part) + 1
    if gap is None:
        raise CommandError("no time left given")
    return fields, gap


def number(fields: dict[bytes, bytes], key: bytes, least: float, most: float, default: float = 0.0) -> float:
    """A number in its range. `float` alone would let through `nan`, `1_0` and white space."""
    text = fields.get(key)
    if text is None:
        return default
    try:
        value = float(text) if text[:1].isdigit() and b"_" not in text else math.nan
    except ValueError:
        value = math.nan
    if not least <= value <= most:
        raise CommandError(f"bad number for {key.decode('ascii', 'replace')}")
    return value


class Slot:
    """The place of one reply in a connection's order."""

    __slots__ = ("client", "live", "reply")

    def __init__(self, client: Client) -> None:
        self.client = client
        self.live: Live | None = None
        self.reply: bytes | None = None

    def fill(self, reply: bytes) -> None:
        """The answer is known; it goes out when those before it have."""
        self.reply, self.live = reply, None
        self.client.flush()


class Client(asyncio.Protocol):
    """One client connection."""

    __slots__ = (
        "closing",
        "full",
        "listener",
        "parser",
        "paused",
        "slots",
        "touched",
        "transport",
        "working",
    )

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.parser = resp.Parser()
        self.slots: deque[Slot] = deque()
        self.transport: asyncio.Transport | None = None
        self.closing = False  # no more commands; closes when all replies are out
        self.full = False  # the client does not read its replies
        self.paused = False
        self.working = False
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
            live, slot.live = slot.live, None
            if live is not None:
                self.listener.gateway.client_left(live)

    def data_received(self, data: bytes) -> None:
        self.touched = self.listener.loop.time()
        if self.closing:
            return
        try:
            self.parser.feed(data)
        except resp.ProtocolError as error:
            self.broken(error)
            return
        self.work()

    def work(self) -> None:
        """Takes whole commands as long as there is room for their replies."""
        if self.working:
            return
        self.working = True
        try:
            while not self.closing and not self.full and len(self.slots) < MOST_PENDING:
                words = self.parser.next()
                if words is False:
                    break
                self.command(words)
        except resp.ProtocolError as error:
            self.broken(error)
        finally:
            self.working = False
        self.flush()

    def command(self, words: Any) -> None:
        """One command. Whatever is wrong with it is told to the client, and only what breaks RESP closes."""
        if not isinstance(words, list) or not words or not all(type(word) is bytes for word in words):
            raise resp.ProtocolError("expected an array of bulk strings")
        slot = Slot(self)
        self.slots.append(slot)
        try:
            if max(map(len, words)) > resp.MAX_VALUE:
                raise CommandError("value too long")
            self.carry_out(slot, words)
        except CommandError as error:
            slot.reply = resp.error(str(error))
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
        live = self.listener.gateway.take(call, slot.fill)
        if slot.reply is None:
            slot.live = live

    def plain(self, verb: bytes, words: list[bytes]) -> bytes:
        """Commands of the connection itself."""
        if verb == b"PING":
            if len(words) > 2:
                return resp.error("wrong number of arguments for 'ping'")
            return resp.bulk(words[1]) if len(words) == 2 else resp.PONG
        if verb in (b"CLIENT", b"SELECT"):
            return resp.OK
        if verb == b"QUIT":
            self.closing = True
            return resp.OK
        return resp.error(f"unknown command '{verb[:64].decode('ascii', 'replace')}'")

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
        ready: list[bytes] = []
        while self.slots and self.slots[0].reply is not None:
            ready.append(self.slots.popleft().reply or b"")
        if ready:
            self.touched = self.listener.loop.time()
            self.transport.write(b"".join(ready))
        if self.closing and not self.slots:
            self.transport.close()
            return
        if ready and self.parser.rest() and not self.full and not self.closing:
            self.listener.loop.call_soon(self.work)  # commands were left in the buffer
        self.throttle()

    def throttle(self) -> None:
        """Backpressure: a client that does not read, or has too much pending, is not read from."""
        stop = self.full or len(self.slots) >= MOST_PENDING
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
        self.listener.loop.call_soon(self.work)

    def idle(self) -> bool:
        """Between requests."""
        return not self.slots and not self.parser.rest()

    def finish(self) -> None:
        """Closes once all that was taken is answered."""
        self.closing = True
        self.flush()

    def sweep(self, now: float) -> None:
        """Peers that vanish say nothing: every wait has an end."""
        since = now - self.touched
        stuck = self.full or (not self.slots and self.parser.rest())
        if self.transport is None:
            return
        if (stuck or (self.closing and not self.slots)) and since > STUCK_S:
            self.transport.abort()
        elif self.idle() and since > IDLE_S:
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
        self.server: asyncio.Server | None = None
        self.sweeper = loop.call_later(SWEEP_S, self.sweep)

    async def start(self, host: str, port: int) -> None:
        """Listens on this address only."""
        self.server = await self.loop.create_server(lambda: Client(self), host, port, backlog=512)

    def made(self, client: Client) -> None:
        """A new connection; past the limit the longest idle one makes room, else it is turned away."""
        if len(self.clients) >= self.most:
            idle: Iterable[Client] = (c for c in self.clients if c.idle() and not c.closing)
            oldest = min(idle, key=lambda c: c.touched, default=None)
            if oldest is None:
                client.broken(resp.ProtocolError("too many connections"))
                self.clients.add(client)
                return
            oldest.finish()
        self.clients.add(client)

    def sweep(self) -> None:
        """Looks at all connections now and then, which is cheaper than a timer for each."""
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)
        now = self.loop.time()
        for client in list(self.clients):
            client.sweep(now)

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
