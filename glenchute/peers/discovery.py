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
from collections.abc import Callable
from typing import Any

from glenchute.core.types import News
from glenchute.deciders.pacing import Doubt, Pacing, Terms
from heathglade.interface import ListKind, ServerEntry, ServerList, ServerState

log = logging.getLogger("glenchute")

# An answer later than this past its wait means an agent that has gone silent. A crowded service takes 2 s;
# who gives up earlier leaves it to finish an answer that nobody reads, and asks again.
QUIET_S = 3.0
CONNECT_S = 1.0
BUSY = 503
AT_ONCE_S = 0.001  # the wait of a call whose answer a start waits for
IDLE_GAP_S = 0.1  # pause after an answer with no news that came at once; a watch lasts over 0.2 s
MOST_BODY = 4 * 1024 * 1024

STATES = {
    "Ready": ServerState.ACTIVE,
    "Terminating": ServerState.DRAINING,
    "Gone": ServerState.GONE,
}


class ListError(ValueError):
    """A list that can't be read."""


def address(text: Any) -> tuple[str, int]:
    """`host:port`."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ListError(f"not an address: {text!r}")
    return host, int(port)


def entry(row: dict[str, Any]) -> ServerEntry:
    """One server. A state that is not known is read as draining: nothing new goes there."""
    return ServerEntry(
        server=str(row["id"]),
        zone=str(row.get("zone", "")),
        cell=int(row.get("cell") or 0),
        size=float(row.get("weight") or 1.0),
        started_ms=float(row.get("started_ms") or 0.0),
        state=STATES.get(str(row.get("state")), ServerState.DRAINING),
    )


def read_list(raw: Any, saved: bool = False) -> News:
    """Discovery's form of the list, in the module's terms."""
    try:
        kind = ListKind.SAVED if saved else ListKind.FULL if raw["full"] else ListKind.CHANGES
        rows = raw["servers"]
        entries = tuple(entry(row) for row in rows)
        addresses = {str(row["id"]): address(row["addr"]) for row in rows if row.get("addr")}
        for one in entries:
            if one.state is ServerState.ACTIVE and one.server not in addresses:
                raise ListError(f"no address for {one.server}")
        return News(int(raw["version"]), ServerList(kind, entries), addresses)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ListError(f"not a list of servers ({error!r})") from None


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
        self.told = False  # the last call has its answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if self.aborted:
            transport.abort()  # type: ignore[attr-defined]  # given up while it came up

    def get(self, host: str, target: str) -> None:
        """Sends a request."""
        assert self.transport is not None
        self.told = False
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
            self.told = True
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


class Discovery:
    """Fetches the list, then watches it for as long as the process runs."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        where: tuple[str, int],
        tell: Callable[[News], None],
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
        self.exchange: Exchange | None = None
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None  # of the answer awaited or of the next call
        self.turns = Pacing(terms, random.Random(seed))
        self.doubt, self.serving = doubt, serving
        self.failed = 0  # tries since the last good answer
        self.asked = 0.0
        self.first = asyncio.Event()  # set with the first answer
        self.awaited = True  # a start waits for it
        # Members may ask for this gateway: how long it is to leave the service alone.
        self.others: Callable[[], float] = lambda: 0.0
        self.longest_s = float("inf")  # of a watch's waits
        self.resting: Callable[[], None] | None = None  # what comes after that
        self.confirmed: Callable[[int], None] = lambda version: None  # told of each sound answer
        self.closed = False

    def begin(self, known: int | None, patience_s: float, at_once: bool = False) -> bool:
        """The first call, in this gateway's turn. `known`: the version of the saved list, if there is one
        that can be served by. Whether the answer is worth waiting for so long."""
        self.since = known
        pause = 0.0 if at_once else self.turns.first(known is not None)
        self.awaited = pause < patience_s or known is None
        self.expect(pause, self.start)
        return self.awaited

    def start(self) -> None:
        """Opens a connection, and asks on it; later, where members ask for this gateway."""
        if self.left_alone(self.start):
            return
        self.task = self.loop.create_task(self.open())

    def move(self, where: tuple[str, int]) -> None:
        """Discovery has another address: the whole list is asked for there, as versions known from the old
        one mean nothing to it. The list held stays in force until then."""
        if where == self.where:
            return
        if self.timer is not None:
            self.timer.cancel()
        if self.task is not None:
            self.task.cancel()
        left, self.exchange, self.since = self.exchange, None, None
        if left is not None:
            left.abort()
        self.where = where
        self.expect(self.turns.moved(), self.start)

    async def open(self) -> None:
        """Opens a connection and asks."""
        exchange = Exchange(lambda *answer: self.answered(exchange, *answer), lambda: self.lost(exchange))
        self.exchange = exchange
        try:
            await asyncio.wait_for(self.loop.create_connection(lambda: exchange, *self.where), CONNECT_S)
        except (OSError, TimeoutError):
            self.lost(exchange)
            return
        self.ask()

    def ask(self) -> None:
        """The next call; an answer that does not come ends the connection."""
        if self.closed or self.exchange is None:
            return
        if self.left_alone(self.ask):
            return
        if not self.exchange.usable():
            self.exchange.abort()
            if self.exchange.told:
                self.start()
            else:
                self.lost(self.exchange)
            return
        self.asked = self.loop.time()
        target, wait = "/v1/servers", QUIET_S
        if self.since is not None:
            # The first answer is what a start waits for, and there may be no news.
            waited = self.awaited and not self.first.is_set()
            patience = AT_ONCE_S if waited else min(self.longest_s, self.turns.patience())
            target += f"?since={self.since}&timeout_ms={patience * 1000.0:.0f}"
            wait += patience
        self.expect(wait, self.exchange.abort)
        self.exchange.get(f"{self.where[0]}:{self.where[1]}", target)

    def left_alone(self, then: Callable[[], None]) -> bool:
        """Whether members ask for this gateway; then it looks again later, and not in step with others."""
        seconds = self.others()
        self.resting = then if seconds > 0.0 else None
        if seconds > 0.0:
            self.expect(seconds + self.turns.in_step(), then)
        return seconds > 0.0

    def hurry(self) -> None:
        """This gateway is to ask for others from now on."""
        if self.resting is not None:
            self.expect(0.0, self.resting)

    def expect(self, seconds: float, then: Callable[[], None]) -> None:
        """One timer at a time."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(seconds, then)

    def answered(
        self, exchange: Exchange, status: int, body: bytes, retry_after: float | None = None
    ) -> None:
        """An answer: told on if it is a list, else asked for anew after a pause."""
        if exchange is not self.exchange:
            return
        try:
            if status != 200:
                raise ListError(f"status {status}")
            news = read_list(json.loads(body))
            if self.since is None and news.event.kind is not ListKind.FULL:
                raise ListError("changes to no list")
            if self.since is not None and news.version < self.since and news.event.kind is not ListKind.FULL:
                self.since = None  # versions began anew: what lies between is not known
                raise ListError("an older version")
            if self.doubt is not None and not self.doubt.takes(news.version, news.event, self.serving()):
                self.since = None  # a whole list again, to hear whether it says the same
                count = len(news.event.entries)
                raise ListError(f"a list of version {news.version} with {count} servers, not believed yet")
        except (ListError, ValueError, RecursionError) as error:
            self.failing(str(error))
            # A service that says it is busy is not asked at once again: each gateway takes its turn in what
            # all together may call. With shorter pauses its line stays longer than its callers wait.
            busy = status == BUSY
            pause = self.turns.busy(retry_after, self.since is not None) if busy else self.turns.failed()
            self.expect(pause, self.ask)
            return
        if self.failed:
            log.info("discovery answers again, after %d tries", self.failed)
            self.failed = 0
        if self.since is None or news.event.entries or news.event.kind is ListKind.FULL:
            self.tell(news)
        self.confirmed(news.version)
        at_once = not news.event.entries and self.loop.time() - self.asked < IDLE_GAP_S
        self.since = news.version
        self.turns.answered()
        self.first.set()
        # News end all gateways' watches in the same moment.
        pause = self.turns.in_step() if news.event.entries else 0.0
        self.expect(IDLE_GAP_S if at_once else pause, self.ask)

    def failing(self, why: str) -> None:
        """Tells the operators once that the list in force may be old."""
        self.failed += 1
        if self.failed == 1:
            log.warning("discovery fails (%.80s): the list of version %s stays in force", why, self.since)

    def lost(self, exchange: Exchange) -> None:
        """The connection is gone or never came up."""
        if exchange is not self.exchange or self.closed:
            return
        if exchange.told:
            return  # after an answer: the next call finds that it needs a new connection
        self.failing("no connection, or no answer on it")
        self.expect(self.turns.failed(), self.start)

    def close(self) -> None:
        """The end of the process."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.task is not None:
            self.task.cancel()
        if self.exchange is not None:
            self.exchange.abort()
