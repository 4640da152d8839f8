"""Connections to the servers: a pool for each, and each attempt's one ending.

A connection carries one request at a time. The pool hands out the most recently used one, so that those a
burst has opened grow idle and are closed before the server would close them under a request.
"""

from __future__ import annotations

import asyncio
import math
import re
from collections.abc import Callable, Collection, Coroutine
from typing import TYPE_CHECKING, Any

from glenchute.core.types import Address, AttemptContext, AttemptResult, ResponseSource
from glenchute.policy.connections.hedged_connects import ConnectTimeEstimate, HedgeBudget
from glenchute.policy.connections.stream_read_permits import StreamReadPermits
from glenchute.policy.events import Outcome
from glenchute.policy.record import record
from glenchute.protocol import resp2 as resp
from glenchute.protocol.streamed_reply import StreamedReply

if TYPE_CHECKING:
    from .streamed_value import LongAnswer

GRACE_MARGIN_S = 0.05  # a write this close to a drain's end might leave the machine after it
IDLE_MARGIN_S = 2.0  # idle connections are closed this long before the server would do so
SWEEP_S = 1.0

SETTLE_S = 0.03  # an answered connection is not used again before this: see `Pool.take`
STALL_S = 0.25  # an answer that has begun and stops for this long does not go on
LOAD = re.compile(r"[a-z_0-9]+=[0-9.]+(,[a-z_0-9]+=[0-9.]+)*")


@record(frozen=True, slots=True)
class Limits:
    """What the settings allow, in seconds."""

    connect_s: float
    idle_s: float
    grace_s: float
    connections: int
    long_values: int = 64  # that may be read at the same time


def classify(reply: Any) -> AttemptResult:
    """A server's reply as PROTOCOL's table reads it. Only the exact forms count: what was spoilt on its way
    has run, so it must neither be served nor pass for a request that never ran."""
    if isinstance(reply, list) and len(reply) == 3 and isinstance(reply[0], bytes):
        return AttemptResult(Outcome.OK, reply[0], reply[2] if isinstance(reply[2], bytes) else None, True)
    if isinstance(reply, resp.ReplyError):
        text, _, last = str(reply).rpartition(" ")
        report = last.encode() if LOAD.fullmatch(last) else None
        if report is None:
            text = str(reply)
        if text == "BUSY":
            return AttemptResult(Outcome.REJECTED, None, report, True)
        return AttemptResult(Outcome.ERROR, None, report, text == "ERR failed")
    return AttemptResult(Outcome.ERROR)


class Connection(asyncio.Protocol):
    """One connection; `attempt` is the one whose request is out on it."""

    __slots__ = ("attempt", "idle_since", "long", "parser", "pool", "stall", "transport")

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.parser = resp.Parser()
        self.attempt: Attempt | None = None
        self.long: LongAnswer | None = None  # is being passed on
        self.transport: asyncio.Transport | None = None
        self.idle_since = 0.0
        self.stall: asyncio.TimerHandle | None = None  # runs while an answer has come in part

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.pool.came_up(self)

    def data_received(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None or attempt.result is not None:
            self.abort()  # bytes that nobody asked for: replies no longer pair with requests here
            return
        if self.stall is not None:
            self.stall.cancel()
            self.stall = None
        try:
            if self.long is not None:
                self.long.feed(data)
                return
            self.parser.feed(data)
            reply = self.parser.next_message()
        except resp.ValueTooLongError:
            self.too_long(attempt)
            return
        except resp.ProtocolError:
            self.spoilt()
            return
        if reply is False:
            # A length that does not fit leaves an answer without an end, on a connection that stays open.
            self.stall = self.pool.servers.loop.call_later(STALL_S, self.spoilt)
            return
        self.answered(attempt, classify(reply), self.parser.has_unparsed())

    def answered(self, attempt: Attempt, result: AttemptResult, more: bool) -> None:
        """The answer has come whole; `more`: with bytes behind it."""
        sound = result.is_connection_reusable and not more
        if not sound and result.outcome is not Outcome.OK:
            self.spoilt()
            return
        self.attempt = None
        if sound:
            self.pool.give_back(self)
        else:
            self.abort()  # a good answer with more behind it is served, but nothing pairs here any more
        attempt.finish(result)

    def too_long(self, attempt: Attempt) -> None:
        """A value that is not held here: passed on as it comes, if it is the answer's own."""
        found = StreamedReply.parse_head(self.parser.take_unparsed())
        if found is None or attempt.on_response_started is None:
            self.spoilt()
            return
        from .streamed_value import LongAnswer  # most processes never meet one

        try:
            self.long = LongAnswer(self, attempt, found[0])
            self.long.feed(found[1])
        except resp.ProtocolError:
            self.spoilt()

    def spoilt(self) -> None:
        """What came is no answer, but the request may have run."""
        if self.attempt is not None and self.attempt.result is None:
            self.attempt.result = AttemptResult(Outcome.ERROR)
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.stall is not None:
            self.stall.cancel()
        self.pool.forget(self)
        if self.long is not None:
            self.long.lost()
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            # uvloop closes the socket only after this call. The ending may start another attempt, which must
            # not reach a server while this one is still out, so it is told in the loop's next round.
            # The request was handed to the kernel whole, or may have been: reset, never "did not run".
            result = attempt.result or AttemptResult(Outcome.RESET)
            self.pool.servers.loop.call_soon(attempt.finish, result)

    def abort(self) -> None:
        """Closes the connection now; what is out on it ends in `connection_lost`."""
        if self.transport is not None:
            self.transport.abort()


class Pool:
    """The connections to one server."""

    __slots__ = ("address", "beside", "idle", "open", "servers", "stop_at")

    def __init__(self, servers: Servers, address: Address) -> None:
        self.servers = servers
        self.address = address
        self.idle: list[Connection] = []  # the most recently used one last
        self.open: set[Connection] = set()
        self.beside = HedgeBudget()
        self.stop_at: float | None = None  # nothing may be written from then on: it drains or is gone

    def take(self) -> Connection | None:
        """The most recently used idle connection that can be trusted: neither so old that the server may be
        closing it, nor so fresh that more than belongs to the last answer, or the end of the connection, may
        be on its way. A request written there would get another's value or be reset."""
        now = self.servers.loop.time()
        for at in range(len(self.idle) - 1, -1, -1):
            conn = self.idle[at]
            if now - conn.idle_since < SETTLE_S:
                continue
            del self.idle[at]
            if conn.transport is None or conn.transport.is_closing():
                continue
            if now - conn.idle_since < self.servers.limits.idle_s:
                return conn
            conn.abort()
        return None

    def give_back(self, conn: Connection) -> None:
        """Keeps a connection whose request was answered, unless the server takes nothing new."""
        if self.stop_at is not None or conn.transport is None or conn.transport.is_closing():
            conn.abort()
            return
        conn.idle_since = self.servers.loop.time()
        self.idle.append(conn)

    def came_up(self, conn: Connection) -> None:
        """Books a connection that is up."""
        self.servers.coming.discard(conn)
        self.open.add(conn)
        self.servers.used.add(self)

    def forget(self, conn: Connection) -> None:
        """Drops a connection that is closed."""
        self.open.discard(conn)
        if not self.open:
            self.servers.used.discard(self)
        if conn in self.idle:
            self.idle.remove(conn)

    def close_idle(self, before: float | None = None) -> None:
        """Closes idle connections, all of them or those unused since a moment."""
        kept = [] if before is None else [conn for conn in self.idle if conn.idle_since > before]
        closing = [conn for conn in self.idle if conn not in kept]
        self.idle = kept
        for conn in closing:
            conn.abort()

    def stop(self) -> None:
        """The server drains or is gone: the grace runs from the first word of it."""
        if self.stop_at is None:
            self.stop_at = self.servers.loop.time() + self.servers.limits.grace_s - GRACE_MARGIN_S
        self.close_idle()


class Underway:
    """One request on its way to one server, from `Send` to its one ending, whatever carries it."""

    __slots__ = (
        "done",
        "ended",
        "is_wanted",
        "is_written",
        "on_response_started",
        "payload",
        "started_at",
        "timer",
        "until",
        "write_by",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
    ) -> None:
        self.payload = payload  # makes the command, given the milliseconds left
        self.done = done
        self.on_response_started: Callable[[ResponseSource], None] | None = None
        self.is_wanted: Callable[[], bool] | None = None  # asked right before it is written; ends it if not
        self.started_at = loop.time()
        self.until = self.started_at + timeout_s
        self.write_by = write_by  # not a byte may leave after this
        self.ended = self.is_written = False
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Sends it, or begins to."""
        raise NotImplementedError

    def stop(self, ending: Outcome) -> None:
        """A time-out or a cancel. The ending is told once the connection is closed."""
        raise NotImplementedError

    def let_go(self) -> None:
        """Drops the timers and what it stood on."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def finish(self, result: AttemptResult) -> None:
        """The one ending; later ones are dropped."""
        if self.ended:
            return
        self.ended = True
        self.let_go()
        self.done(result)


class Attempt(Underway):
    """One request on a connection of its own."""

    __slots__ = ("conn", "connect_timer", "late_timer", "opening", "pool", "result")

    def __init__(
        self,
        pool: Pool,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
    ) -> None:
        super().__init__(pool.servers.loop, payload, timeout_s, done, write_by)
        self.pool = pool
        self.result: AttemptResult | None = None  # set while the connection closes for a reason of ours
        self.conn: Connection | None = None
        self.opening: set[asyncio.Task[None]] = set()  # connections coming up: one, or two if that is late
        self.connect_timer: asyncio.TimerHandle | None = None
        self.late_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Writes at once on an idle connection, else opens one, and another beside it if that is late."""
        servers = self.pool.servers
        self.timer = servers.loop.call_at(self.until, self.stop, Outcome.TIMEOUT)
        conn = self.pool.take()
        if conn is not None:
            self.write(conn)
        elif not servers.make_room():
            self.finish(AttemptResult(Outcome.UNREACHABLE))
        else:
            self.open()
            connect_s = servers.limits.connect_s
            self.connect_timer = servers.loop.call_later(connect_s, self.no_connection)
            late_s = servers.usual.hedge_delay_s(min(connect_s, self.until - self.started_at))
            if late_s is not None:
                self.late_timer = servers.loop.call_later(late_s, self.late)

    def open(self) -> None:
        """Begins to open a connection; a task, but only where none is there to reuse."""
        conn = Connection(self.pool)
        self.opening.add(self.pool.servers.comes(conn, self.connect(conn)))

    def late(self) -> None:
        """The connection has not come up: one that has come free carries the request, else a second is opened
        beside it. The server that drains is asked for no more, and no idle connection is closed for it."""
        pool, servers = self.pool, self.pool.servers
        self.late_timer = None
        conn = pool.take() if pool.stop_at is None else None
        if conn is not None:
            self.write(conn)
        elif pool.stop_at is None and servers.count() < servers.most() and pool.beside.try_withdraw():
            servers.beside += 1
            self.open()

    async def connect(self, conn: Connection) -> None:
        """Opens a connection. The first that comes up carries the request."""
        servers, pool = self.pool.servers, self.pool
        host, port = pool.address
        task, began = asyncio.current_task(), servers.loop.time()
        assert task is not None
        try:
            await servers.loop.create_connection(lambda: conn, host, port)
        except OSError:
            self.opening.discard(task)
            if not self.opening and not self.is_written:
                self.no_connection()
            return
        except asyncio.CancelledError:
            pool.forget(conn)  # cancelled as it came up, it is closed without a `connection_lost`
            servers.usual.record_abandoned(servers.loop.time() - began)
            raise
        self.opening.discard(task)
        servers.usual.record_connected(servers.loop.time() - began)
        pool.beside.deposit()
        if pool.stop_at is not None and servers.loop.time() > pool.stop_at:
            conn.abort()  # the drain's grace ended while this connection came up
            self.finish(AttemptResult(Outcome.UNREACHABLE))
        else:
            self.write(conn)

    def write(self, conn: Connection) -> None:
        """Writes the request; from here on it may have run."""
        self.drop_connects()
        if self.is_wanted is not None and not self.is_wanted():
            conn.abort()
            return
        now = self.pool.servers.loop.time()
        left = int(1000.0 * (self.until - now))
        if left < 1 or now > self.write_by or conn.transport is None or conn.transport.is_closing():
            conn.abort()
            self.finish(AttemptResult(Outcome.UNREACHABLE))
            return
        self.conn, self.is_written = conn, True
        conn.attempt = self
        conn.transport.write(self.payload(left))

    def no_connection(self) -> None:
        """The connection was refused or did not come up in time."""
        self.finish(AttemptResult(Outcome.UNREACHABLE))

    def drop_connects(self) -> None:
        """Gives up what is coming up, but for the one that has just come."""
        for timer in (self.connect_timer, self.late_timer):
            if timer is not None:
                timer.cancel()
        self.connect_timer = self.late_timer = None
        opening, self.opening = self.opening, set()
        for task in opening:
            task.cancel()

    def stop(self, ending: Outcome) -> None:
        """A time-out or a cancel. The ending is told once the connection is closed."""
        if self.ended or self.result is not None:
            return
        if self.conn is None:
            # Nothing was written: it can't have run. Called off, it says nothing of the server either.
            self.finish(AttemptResult(Outcome.UNREACHABLE if ending is Outcome.TIMEOUT else Outcome.NOT_SENT))
        else:
            if ending is Outcome.TIMEOUT:
                # A machine that vanished says nothing, and resets what it finds open once it is back. Its
                # other connections, unused for as long as this attempt, would then turn requests that never
                # ran into resets, after which an unsafe one can't be tried again.
                self.pool.close_idle(self.started_at)
            self.result = AttemptResult(ending)
            self.conn.abort()

    def let_go(self) -> None:
        super().let_go()
        self.drop_connects()
        self.conn = None


class Servers:
    """All pools, by the servers' ids."""

    def __init__(self, loop: asyncio.AbstractEventLoop, limits: Limits) -> None:
        self.loop = loop
        self.limits = limits
        self.part = 1.0  # of the limits that is this process's at the moment
        self.pools: dict[str, Pool] = {}
        self.unopened: dict[str, Address] = {}  # of a long list: have no pool, as nothing asked for it
        self.stopping: dict[str, float] = {}  # of these, drain: nothing may be written from then on
        self.leaving: set[Pool] = set()  # no longer listed, with connections open
        self.used: set[Pool] = set()  # of both kinds, those with connections open: what is walked
        self.coming: set[Connection] = set()  # that are coming up, and not yet in their pools
        self.beside = 0  # of these and all before: opened beside a late one
        self.usual = ConnectTimeEstimate(limits.connect_s)
        self.turns: StreamReadPermits[LongAnswer] = StreamReadPermits(limits.long_values)
        self.sweeper = loop.call_later(SWEEP_S, self.sweep)

    def pool(self, server: str, address: Address) -> Pool:
        """A pool for a server that was not listed at this address before."""
        return Pool(self, address)

    def activate_server(self, server: str, address: Address, started_anew: bool) -> None:
        """A server that takes work."""
        if self.unopened.pop(server, None) is not None:
            self.stopping.pop(server, None)
            self.pools[server] = self.pool(server, address)
            return
        pool = self.pools.get(server)
        if pool is None or pool.stop_at is not None or pool.address != address:
            if pool is not None:
                self.leaving.add(pool)
                pool.stop()
            self.pools[server] = self.pool(server, address)
        elif started_anew:
            pool.close_idle()  # they lead to the process that ended

    def activate_servers(
        self, addresses: dict[str, Address], anew: Callable[[str], bool], stay: Collection[str] | None
    ) -> None:
        """Many servers that take work; what is not among them stays, or that of it which `stay` names. A pool
        that was not there is made when it is first asked for: most never are."""
        for server in list(self.pools):
            if server in addresses:
                self.activate_server(server, addresses[server], anew(server))
            elif stay is not None and server not in stay:
                self.remove_server(server)
        drain = self.stopping.items()
        self.stopping = {
            name: at for name, at in drain if name not in addresses and (stay is None or name in stay)
        }
        if stay is not None:
            self.unopened = {name: self.unopened[name] for name in self.stopping}
        self.unopened |= addresses
        for server in self.pools:
            self.unopened.pop(server, None)

    def drain_server(self, server: str) -> None:
        """A server that drains: nothing new, what is out may finish."""
        if server in self.unopened:
            self.stopping.setdefault(server, self.loop.time() + self.limits.grace_s - GRACE_MARGIN_S)
            return
        pool = self.pools.get(server)
        if pool is not None:
            pool.stop()

    def remove_server(self, server: str) -> None:
        """A server that left the list."""
        self.unopened.pop(server, None)
        self.stopping.pop(server, None)
        pool = self.pools.pop(server, None)
        if pool is not None:
            pool.stop()
            self.leaving.add(pool)

    def stops(self, server: str) -> bool:
        """Whether a server is known to take nothing new."""
        pool = self.pools.get(server)
        if pool is None:
            return server not in self.unopened or server in self.stopping
        return pool.stop_at is not None

    def server_ids(self) -> list[str]:
        """All that are listed or drain."""
        return [*self.pools, *self.unopened]

    def share(self, share: float) -> None:
        """From now on this process keeps to so much of the gateway's connections and memory."""
        self.part = share
        self.turns.max_readers = max(1, int(self.limits.long_values * share))

    def most(self) -> float:
        """Connections that this process may have now."""
        return self.limits.connections * self.part

    def comes(self, conn: Connection, opening: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Opens a connection in a task, whose end is told by the loop: one that is cancelled before its first
        step runs none of its own code."""
        self.coming.add(conn)
        task = self.loop.create_task(opening)
        task.add_done_callback(lambda _: self.coming.discard(conn))
        return task

    def count(self) -> int:
        """Sockets in use."""
        return len(self.coming) + sum(len(pool.open) for pool in self.used)

    def has_room(self) -> bool:
        """Whether `make_room` would succeed."""
        return self.count() < self.most() or any(pool.idle for pool in self.used)

    def make_room(self) -> bool:
        """Whether one more connection may be opened; the longest idle one is closed for it if need be."""
        if self.count() < self.most():
            return True
        pools = [pool for pool in self.used if pool.idle]
        if not pools:
            return False
        pool = min(pools, key=lambda p: p.idle[0].idle_since)
        pool.idle.pop(0).abort()
        return True

    def open_pool(self, server: str) -> Pool | None:
        """The pool of a server that takes work, or has until its drain's grace ends."""
        if server in self.stopping:
            made = self.pools[server] = self.pool(server, self.unopened.pop(server))
            made.stop_at = self.stopping.pop(server)
        elif server in self.unopened:
            self.activate_server(server, self.unopened[server], False)
        pool = self.pools.get(server)
        if pool is None or (pool.stop_at is not None and self.loop.time() > pool.stop_at):
            return None
        return pool

    def address(self, server: str) -> Address | None:
        """Where it listens; None if it takes nothing (any more)."""
        pool = self.open_pool(server)
        return pool.address if pool is not None else None

    def create_attempt(
        self,
        server: str,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float = math.inf,
        about: AttemptContext | None = None,
    ) -> Underway | None:
        """Makes an attempt, not started yet; None if the server takes nothing (any more). Each has a
        connection to itself, so that `about` says nothing of use here."""
        pool = self.open_pool(server)
        return Attempt(pool, payload, timeout_s, done, write_by) if pool is not None else None

    def sweep(self) -> None:
        """Closes what has stood idle before the server does, and forgets pools that have emptied."""
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)
        before = self.loop.time() - self.limits.idle_s
        for pool in [pool for pool in self.used if pool.idle]:
            pool.close_idle(before)
        self.leaving = {pool for pool in self.leaving if pool.open}

    def close(self) -> None:
        """Closes everything, at the end of the process."""
        self.sweeper.cancel()
        for pool in [*self.pools.values(), *self.leaving]:
            for conn in list(pool.open):
                conn.abort()
