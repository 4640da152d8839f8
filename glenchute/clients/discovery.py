"""Discovery: the list of servers and the watch on its changes, over one HTTP/1.1 connection.

A watch goes on only while the next call follows the last answer at once; a later one begins a new watch from
the version held. So whatever goes wrong (silence, an error, a body that is no list), the list held stays in
force and only what changed since is asked for: a service that many gateways share is busiest when all of
them have lost it, and whole lists for all are what would keep it so. The whole list is asked for where none
is held, where the version told is older than the one held, and at another address.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import re
from collections.abc import Callable, Generator
from typing import TYPE_CHECKING, Any

from glenchute.core.types import Address, EndpointUpdate
from glenchute.policy.balancing.subset_size import MAX_SUBSET_SIZE
from glenchute.policy.endpoints.polling import Doubt, Pacing, Terms
from glenchute.policy.endpoints.watch import Action, Ask, Close, Open, Watch
from glenchute.policy.events import Endpoint, EndpointList, EndpointListKind, EndpointState

if TYPE_CHECKING:  # most processes never meet a list so long
    from glenchute.policy.balancing.hash_ring import RingBuilder, RingedEndpoints

log = logging.getLogger("glenchute")

BUSY = 503
IDLE_GAP_S = 0.1  # pause after an answer with no news that came at once; a watch lasts over 0.2 s
MOST_BODY = 4 * 1024 * 1024
PART_BODY = 64 * 1024  # a body over this is read in parts, between which requests have their turn
PART_ROWS = 64
JSON = json.JSONDecoder()
SPACE = re.compile(r"[ \t\n\r]*")
HEAD = re.compile(r'\s*\{[^][{}]*"servers"\s*:\s*\[')  # not nested, as nothing has been opened before it

STATES = {
    "Ready": EndpointState.ACTIVE,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}


class ListError(ValueError):
    """A list that can't be read."""


def address(text: Any) -> tuple[str, int]:
    """`host:port`."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ListError(f"not an address: {text!r}")
    return host, int(port)


def entry(row: dict[str, Any]) -> Endpoint:
    """One server. A state that is not known is read as draining: nothing new goes there."""
    return Endpoint(
        address=str(row["id"]),
        zone=str(row.get("zone", "")),
        cell=int(row.get("cell") or 0),
        weight=float(row.get("weight") or 1.0),
        started_ms=float(row.get("started_ms") or 0.0),
        state=STATES.get(str(row.get("state")), EndpointState.DRAINING),
    )


class Held:
    """The list in force, for rows of the next that can't be read: their servers stay as they are."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[Endpoint, Address | None]] = {}
        # What was made of each row's text of the last long list that was read whole, and each server's place
        # on its ring, for the next one. That does not hang on the list: it counts whether or not that list
        # came into force.
        self.texts: dict[str, tuple[Endpoint, Address | None]] = {}
        self.spots: dict[str, tuple[bytes, str]] = {}

    def follow(self, news: EndpointUpdate) -> None:
        """This is in force now."""
        placed: RingedEndpoints | None = getattr(news.event.endpoints, "as_ringed", None)
        if placed is not None and news.event.kind is not EndpointListKind.CHANGES:
            self.rows = placed.listed_servers  # made while the list was read
            return
        if placed is not None and len(placed.listed_servers) == len(placed):
            self.rows.update(placed.listed_servers)
            return
        if news.event.kind is not EndpointListKind.CHANGES:
            self.rows = {}
        for one in news.event.endpoints:
            if one.state is EndpointState.REMOVED:
                self.rows.pop(one.address, None)
            else:
                self.rows[one.address] = one, news.addresses.get(one.address)

    def instead(self, named: set[str], unreadable: list[Any]) -> list[tuple[Endpoint, Address | None]]:
        """What stands for rows that can't be read: their servers' old rows; where one does not even tell its
        server, those of all servers that are not `named` by a row that can."""
        names = [row.get("id") if isinstance(row, dict) else None for row in unreadable]
        if not all(isinstance(name, str) for name in names):
            names = list(self.rows)
        return [self.rows[name] for name in names if name in self.rows and name not in named]


def read_row(row: Any) -> tuple[Endpoint, Address | None]:
    """One server and where it listens."""
    made = entry(row)
    where = address(row["addr"]) if row.get("addr") else None
    if made.state is EndpointState.ACTIVE and where is None:
        raise ListError(f"no address for {made.address}")
    return made, where


class Rows:
    """The rows of a list, read one by one. A row that can't be read is a ListError where no list is `held`;
    else its server stays as it was, so that a bad row hides nothing of the others."""

    def __init__(self, held: Held | None, placing: RingBuilder | None = None) -> None:
        """With `placing`, what follows from a whole list is worked out row by row."""
        self.held, self.placing = held, placing
        self.read: list[tuple[Endpoint, Address | None]] = []
        self.addresses: dict[str, Address] = {}
        self.unreadable: list[Any] = []

    def take(self, row: Any) -> tuple[Endpoint, Address | None] | None:
        """One more; what it says, if it can be read."""
        try:
            pair = read_row(row)
        except (KeyError, TypeError, ValueError, AttributeError):
            if self.held is None:
                raise
            self.unreadable.append(row)
            return None
        self.add(pair)
        return pair

    def add(self, pair: tuple[Endpoint, Address | None]) -> None:
        """One more that has been read."""
        self.read.append(pair)
        if pair[1] is not None:
            self.addresses[pair[0].address] = pair[1]
        if self.placing is not None:
            self.placing.add(pair)

    def news(self, raw: Any, saved: bool = False) -> EndpointUpdate:
        """The list that they make, with what else its text says."""
        kind = (
            EndpointListKind.CACHED
            if saved
            else EndpointListKind.FULL
            if raw["full"]
            else EndpointListKind.CHANGES
        )
        version, read, unreadable = int(raw["version"]), self.read, self.unreadable
        if unreadable and self.held is not None:
            if not read:
                raise ListError(f"none of {len(unreadable)} rows can be read")
            log.warning("%d of %d rows of the list can't be read: their servers stay as they were",
                        len(unreadable), len(unreadable) + len(read))  # fmt: skip
            if kind is EndpointListKind.FULL:
                for pair in self.held.instead({one.address for one, _ in read}, unreadable):
                    self.add(pair)
        placing = self.placing if len(read) > MAX_SUBSET_SIZE else None
        entries = placing.build() if placing is not None else tuple(one for one, _ in read)
        return EndpointUpdate(version, EndpointList(kind, entries), self.addresses)


def read_list(raw: Any, saved: bool = False, held: Held | None = None) -> EndpointUpdate:
    """Discovery's form of the list, in the module's terms; ListError if it is none. `Rows` tells what becomes
    of single rows that can't be read."""
    try:
        rows = Rows(held)
        for row in raw["servers"]:
            rows.take(row)
        return rows.news(raw, saved)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        if isinstance(error, ListError):
            raise
        raise ListError(f"not a list of servers ({error!r})") from None


def read_in_parts(body: bytes, held: Held | None) -> Generator[None, None, EndpointUpdate]:
    """What `read_list` makes of an answer's body, `PART_ROWS` at a time: to read thousands of rows at once
    would hold up all requests. The rows are taken out of the text one by one; what is left is read whole.
    What follows from a whole list is worked out on the way (`RingBuilder`). A row whose text the list before
    had as well is not read again: a text that was one whole object is one wherever it stands."""
    from glenchute.policy.balancing.hash_ring import RingBuilder

    text = body.decode(json.detect_encoding(body), "surrogatepass")
    head = HEAD.match(text)
    if head is None:
        return read_list(json.loads(text), held=held)
    placing = RingBuilder(held.spots if held is not None else {})
    rows, at = Rows(held, placing), skipped(text, head.end())
    more = not text.startswith("]", at)
    before = held.texts if held is not None else {}
    texts: dict[str, tuple[Endpoint, Address | None]] = {}
    try:
        while more:
            one = text[at : text.find("}", at) + 1] if before and text.startswith("{", at) else ""
            known = before.get(one)
            if known is not None:
                at += len(one)
                rows.add(known)
            else:
                start = at
                row, at = JSON.raw_decode(text, at)
                known = rows.take(row)
                one = text[start:at]
            if known is not None:
                texts[one] = known
            if not text.startswith(", {", at):  # as most write it, else any way that there is
                at = skipped(text, at)
                more = text.startswith(",", at)
            if more:
                at = skipped(text, at + 1)
            if (len(rows.read) + len(rows.unreadable)) % PART_ROWS == 0:
                yield
        yield from placing.sort()
        raw = json.loads(text[: head.end()] + text[at:])
        if held is not None and raw.get("full") and len(texts) > MAX_SUBSET_SIZE:
            held.texts, held.spots = texts, placing.positions
        before = texts = {}
        yield  # what the list before left behind is not let go in the turn in which this one comes into force
        return rows.news(raw) if not raw["servers"] else read_list(json.loads(text), held=held)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        if isinstance(error, ListError):
            raise
        raise ListError(f"not a list of servers ({error!r})") from None


def raised(found: EndpointUpdate | Exception) -> EndpointUpdate:
    """A list, or what reading it raised."""
    if isinstance(found, Exception):
        raise found
    return found


def skipped(text: str, at: int) -> int:
    """Where the next character stands that is no space."""
    found = SPACE.match(text, at)
    return found.end() if found is not None else at


def seconds(text: bytes) -> float | None:
    """A retry-after in seconds; a date says nothing to a clock that nobody shares."""
    return float(text) if text.isdigit() and len(text) <= 5 else None


class Exchange(asyncio.Protocol):
    """One HTTP connection: a request at a time, each answer handed on whole."""

    def __init__(
        self, answered: Callable[[int, bytes, float | None], None], lost: Callable[[], None]
    ) -> None:
        import h11  # a tenth of what a start imports, and not needed before the first call

        self.h11 = h11
        self.answered = answered
        self.lost = lost
        self.http = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport | None = None
        self.status = 0
        self.body = b""
        self.retry_after: float | None = None  # seconds, if the answer names them
        self.aborted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if self.aborted:
            transport.abort()  # type: ignore[attr-defined]  # given up while it came up

    def get(self, host: str, target: str) -> None:
        """Sends a request."""
        assert self.transport is not None
        head = self.h11.Request(
            method="GET", target=target, headers=[("Host", host), ("Accept", "application/json")]
        )
        self.transport.write((self.http.send(head) or b"") + (self.http.send(self.h11.EndOfMessage()) or b""))

    def data_received(self, data: bytes) -> None:
        self.take(data)

    def eof_received(self) -> None:
        self.take(b"")  # ends a body that has no length

    def take(self, data: bytes) -> None:
        """Feeds the parser and hands on what is whole."""
        try:
            self.http.receive_data(data)
            while self.event():
                pass
        except self.h11.RemoteProtocolError:
            self.abort()

    def event(self) -> bool:
        """One step of the parser; False when it needs more bytes."""
        event = self.http.next_event()
        if isinstance(event, self.h11.Response):
            self.status, self.body = event.status_code, b""
            self.retry_after = seconds(dict(event.headers).get(b"retry-after", b""))
        elif isinstance(event, self.h11.Data):
            self.body += bytes(event.data)
            if len(self.body) > MOST_BODY:
                self.abort()
                return False
        elif isinstance(event, self.h11.EndOfMessage):
            status, body = self.status, self.body
            if self.http.our_state is self.h11.DONE and self.http.their_state is self.h11.DONE:
                self.http.start_next_cycle()
                self.answered(status, body, self.retry_after)
            else:
                self.answered(status, body, self.retry_after)
                self.abort()
            return False
        elif isinstance(event, self.h11.ConnectionClosed):
            self.abort()
            return False
        return event is not self.h11.NEED_DATA and event is not self.h11.PAUSED

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.lost()

    def usable(self) -> bool:
        """Whether another request may be sent."""
        idle = self.http.our_state is self.h11.IDLE
        return idle and self.transport is not None and not self.transport.is_closing()

    def abort(self) -> None:
        """Closes the connection."""
        self.aborted = True
        if self.transport is not None:
            self.transport.abort()


class Reading:
    """An answer that has come whole and is read in parts."""

    def __init__(self, line: int, parts: Generator[None, None, EndpointUpdate]) -> None:
        self.line, self.parts = line, parts
        self.lost = False  # the connection has ended since


class Discovery:
    """Fetches the list, then watches it for as long as the process runs. Which calls are out, and when the
    next one goes, is decided in `policy/endpoints/watch.py`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        where: tuple[str, int],
        tell: Callable[[EndpointUpdate], None],
        terms: Terms,
        seed: int,
        doubt: Doubt | None = None,
        serving: Callable[[], bool] = lambda: True,
    ) -> None:
        """`terms` tell who shares the service; `seed` draws the pauses, which must differ between them.
        `doubt`: odd lists wait for a second word; `serving` tells whether servers of the list answer now."""
        self.loop = loop
        self.where = where
        self.tell = tell
        self.since: int | None = None  # the version of the list held; None asks for the whole list
        self.held = Held()  # the list itself, for rows that can't be read
        self.lines: dict[int, Exchange] = {}
        self.opening: dict[int, asyncio.Task[None]] = {}
        self.reading: Reading | None = None  # an answer that is read in parts; its line is still out
        self.timer: asyncio.TimerHandle | None = None
        self.turns = Pacing(terms, random.Random(seed))
        # Members may ask for this gateway: how long it is to leave the service alone.
        self.others: Callable[[], float] = lambda: 0.0
        self.watch = Watch(self.turns, lambda: self.others(), 1 if doubt is None else Doubt.WORDS)
        self.doubt, self.serving = doubt, serving
        self.restrain = tell  # what a list in doubt forbids; members are told of no list that is in doubt
        self.failed = 0  # tries since the last good answer
        self.asked = 0.0  # when the last call was sent
        self.called = asyncio.Event()  # set once a first call has been made, or could not be
        self.first = asyncio.Event()  # set with the first answer
        self.confirmed: Callable[[int], None] = lambda version: None  # told of each sound answer
        self.closed = False

    def begin(self, known: EndpointUpdate | None, patience_s: float, at_once: bool = False) -> bool:
        """The first call, in this gateway's turn. `known`: the saved list, if there is one that can be served
        by. Whether the answer is worth waiting for so long."""
        if known is not None:
            self.since = known.version
            self.held.follow(known)
        pause = 0.0 if at_once else self.turns.first(known is not None)
        awaited = pause < patience_s or known is None
        self.watch.begin(self.loop.time(), pause, awaited)
        self.book()
        return awaited

    def move(self, where: tuple[str, int]) -> None:
        """Discovery has another address: the whole list is asked for there, as versions known from the old
        one mean nothing to it. The list held stays in force until then."""
        if where == self.where:
            return
        self.where, self.since = where, None
        self.carry_out(self.watch.move(self.loop.time()))
        self.book()

    def hurry(self) -> None:
        """This gateway is to ask for others from now on."""
        self.watch.hurry(self.loop.time())
        self.book()

    def book(self) -> None:
        """One timer, for the call that is due next."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None if self.closed else self.loop.call_at(self.watch.due, self.tick)

    def tick(self) -> None:
        """Makes the call that is due."""
        if self.watch.out and self.watch.due <= self.loop.time():
            self.failing("no answer")
        self.carry_out(self.watch.tick(self.loop.time(), self.since is not None))
        self.book()

    def carry_out(self, actions: list[Action]) -> None:
        """The decider's orders."""
        for action in actions:
            match action:
                case Open(line, wait_s):
                    self.open(line, wait_s)
                case Ask(line, wait_s):
                    self.ask(line, wait_s)
                case Close(line):
                    self.end(line)

    def open(self, line: int, wait_s: float) -> None:
        """Opens a connection and asks; the decider bounds both together."""
        exchange = Exchange(lambda *answer: self.answered(line, *answer), lambda: self.lost(line))
        self.lines[line] = exchange

        async def connect() -> None:
            try:
                await self.loop.create_connection(lambda: exchange, *self.where)
            except OSError:
                self.lost(line)
                return
            finally:
                self.opening.pop(line, None)
            self.ask(line, wait_s)

        self.opening[line] = self.loop.create_task(connect())

    def ask(self, line: int, wait_s: float) -> None:
        """Makes a call on a connection that is up."""
        exchange = self.lines.get(line)
        if exchange is None:
            return
        if not exchange.usable():
            # It ended in this very moment, and its end has not been told yet.
            self.end(line)
            self.watch.lost(self.loop.time(), line)
            self.book()
            return
        target = "/v1/servers"
        if self.since is not None:
            target += f"?since={self.since}&timeout_ms={wait_s * 1000.0:.0f}"
        self.asked = self.loop.time()
        self.called.set()
        exchange.get(f"{self.where[0]}:{self.where[1]}", target)

    def end(self, line: int) -> None:
        """Closes a connection; nothing that comes on it counts any more."""
        task, exchange = self.opening.pop(line, None), self.lines.pop(line, None)
        if self.reading is not None and self.reading.line == line:
            self.reading = None
        if task is not None:
            task.cancel()
        if exchange is not None:
            exchange.abort()

    def answered(self, line: int, status: int, body: bytes, retry_after: float | None = None) -> None:
        """An answer has come. Changes, in which drains come, are in force with it; a list that is long enough
        to hold up requests is read in parts, and in force once it is whole, unless its line is closed before:
        as it is where another answer has been taken, at another address, and at the end."""
        if line not in self.watch.out or line not in self.lines:
            return
        if status == 200 and len(body) > PART_BODY:
            self.reading = Reading(line, read_in_parts(body, self.held))
            self.read_on(self.reading)
            return
        self.take(line, status, lambda: read_list(json.loads(body), held=self.held), retry_after)

    def read_on(self, reading: Reading) -> None:
        """The next part, if the answer still counts."""
        if self.reading is not reading:
            return
        try:
            next(reading.parts)
        except StopIteration as end:
            found: EndpointUpdate | Exception = end.value
        except (ValueError, RecursionError) as error:
            found = error
        else:
            self.loop.call_soon(self.read_on, reading)
            return
        self.reading = None
        self.take(reading.line, 200, lambda: raised(found))
        if reading.lost:
            self.lost(reading.line)

    def take(
        self, line: int, status: int, read: Callable[[], EndpointUpdate], retry_after: float | None = None
    ) -> None:
        """An answer: told on if it is a list, else asked for anew after a pause."""
        now, failed = self.loop.time(), self.watch.failed
        try:
            if status != 200:
                raise ListError(f"status {status}")
            news = read()
            if self.since is None and news.event.kind is not EndpointListKind.FULL:
                raise ListError("changes to no list")
            if (
                self.since is not None
                and news.version < self.since
                and news.event.kind is not EndpointListKind.FULL
            ):
                self.since = None  # versions began anew: what lies between is not known
                raise ListError("an older version")
            if self.doubt is not None and not self.doubt.takes(news.version, news.event, self.serving()):
                self.since, failed = None, self.watch.doubted  # a whole list again, for a second word
                self.forbid(self.doubt, news.event)
                count = len(news.event.endpoints)
                raise ListError(f"a list of version {news.version} with {count} servers, not believed yet")
        except (ListError, ValueError, RecursionError) as error:
            self.failing(str(error))
            # A service that says it is busy is not asked at once again: each gateway takes its turn in what
            # all together may call. With shorter pauses its line stays longer than its callers wait.
            busy = status == BUSY
            pause = self.turns.busy(retry_after, self.since is not None) if busy else self.turns.failed()
            self.carry_out(failed(now, line, pause))
            self.book()
            return
        if self.failed:
            log.info("discovery answers again, after %d tries", self.failed)
            self.failed = 0
        if self.since is None or news.event.endpoints or news.event.kind is EndpointListKind.FULL:
            self.held.follow(news)
            self.tell(news)
        self.confirmed(news.version)
        at_once = not news.event.endpoints and now - self.asked < IDLE_GAP_S
        self.since = news.version
        self.turns.answered()
        self.first.set()
        # News end all gateways' watches in the same moment.
        pause = self.turns.in_step() if news.event.endpoints else 0.0
        self.carry_out(self.watch.answered(now, line, IDLE_GAP_S if at_once else pause))
        self.book()

    def forbid(self, doubt: Doubt, event: EndpointList) -> None:
        """What a list that is not believed yet forbids is in force at once."""
        stopped = doubt.forbids(event)
        if stopped:
            news = EndpointUpdate(doubt.version, EndpointList(EndpointListKind.CHANGES, stopped), {})
            self.held.follow(news)
            self.restrain(news)

    def failing(self, why: str) -> None:
        """Tells the operators once that the list in force may be old."""
        self.failed += 1
        if self.failed == 1:
            log.warning("discovery fails (%.80s): the list of version %s stays in force", why, self.since)

    def lost(self, line: int) -> None:
        """A connection is gone or never came up."""
        if self.reading is not None and self.reading.line == line:
            self.reading.lost = True  # after its answer had come whole, which still counts
            return
        if self.closed or self.lines.pop(line, None) is None:
            return
        self.called.set()
        if self.watch.lost(self.loop.time(), line):
            self.failing("no connection, or no answer on it")
        self.book()

    def close(self) -> None:
        """The end of the process."""
        self.closed = True
        self.book()
        for line in list(self.lines):
            self.end(line)
