"""Connections to the servers on which several attempts may stand, answered in order.

Which attempt joins which connection, and when a connection is given up for the sake of those that wait on it,
is decided in `policy/connections/pipelining.py`; which bytes belong to which attempt, and how each ends when
the connection does, in `policy/connections/pipelined_connection.py`. Here are the sockets, the timers, and
the gathering of commands into one write: what is placed in one turn of the loop leaves together at its end,
so that no timer holds anything.

Bytes are handed to the transport only while it holds none, so that at a break only one batch is in doubt. A
break told by the machine leaves no count of what had left: all that was handed over may have. Where the
gateway itself closes, the transport is asked first.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from glenchute.core.types import Address, AttemptContext, AttemptResult
from glenchute.policy.connections.class_compatibility import ClassCompatibility
from glenchute.policy.connections.pipeline_types import (
    AbortConnection,
    AbortReason,
    HedgeAttempt,
    PipelineRules,
    Placement,
    PlacementKind,
    PlacementRequest,
    StopJoining,
    placement_request,
)
from glenchute.policy.connections.pipelined_connection import (
    NETWORK_DELAY_MS,
    CommandPipeline,
    PipelinedCommand,
)
from glenchute.policy.connections.pipelining import PipelineScheduler
from glenchute.policy.events import Outcome
from glenchute.policy.settings import RequestClass
from glenchute.protocol import resp2 as resp

from .connection_pool import STALL_S, Connection, Limits, Pool, Servers, Underway, classify

log = logging.getLogger("glenchute")

REPORT_S = 10.0  # a line for the operators this often, while anything happens
MOST_WAITING = 1024  # attempts that wait for a connection to one node


class Gather(NamedTuple):
    """What leaves in one write at most."""

    most: int = 16
    most_bytes: int = 16 * 1024


class LineAttempt(Underway):
    """One request on a connection on which others may stand."""

    __slots__ = ("about", "conn", "entry", "pool", "ref", "wait_timer", "wait_until")

    def __init__(
        self, pool: LinePool, payload: Callable[[int], bytes], timeout_s: float,
        done: Callable[[AttemptResult], None], write_by: float, about: AttemptContext | None,
    ) -> None:  # fmt: skip
        servers = pool.servers
        super().__init__(servers.loop, payload, timeout_s, done, write_by)
        servers.serial += 1
        self.ref = servers.serial
        self.pool, self.about = pool, about
        self.conn: LineConnection | None = None
        self.entry: PipelinedCommand[LineAttempt] | None = None
        self.wait_timer: asyncio.TimerHandle | None = None
        self.wait_until = math.inf  # its one wait ends then, however often it asks meanwhile

    def start(self) -> None:
        """Finds its place."""
        self.timer = self.pool.servers.loop.call_at(self.until, self.stop, Outcome.TIMEOUT)
        self.seek()

    def seek(self) -> None:
        """Asks the decider; again where the connection that it names is closing."""
        self.wait_timer = None
        if self.ended:
            return
        pool, servers = self.pool, self.pool.servers
        pool.waiting.pop(self.ref, None)
        while True:
            now = servers.loop.time()
            if now > self.write_by or (pool.stop_at is not None and now > pool.stop_at):
                self.finish(AttemptResult(Outcome.UNREACHABLE))
                return
            found = servers.place(self, now, now >= self.wait_until)
            if found.kind is PlacementKind.NONE or (
                found.kind is PlacementKind.WAIT and len(pool.waiting) >= MOST_WAITING
            ):
                self.finish(AttemptResult(Outcome.UNREACHABLE))
                return
            if found.kind is PlacementKind.WAIT:
                pool.waiting[self.ref] = self
                if self.wait_until == math.inf:
                    self.wait_until = now + servers.pipeline.rules.max_wait_ms / 1000.0
                until = min(self.wait_until, found.until_ms / 1000.0)
                self.wait_timer = servers.loop.call_later(max(0.0, until - now) + 0.001, self.seek)
                return
            if found.kind is PlacementKind.OPEN:
                self.conn = pool.opened(found.connection_id)
                if self.conn is None:
                    servers.pipeline.on_closed(found.connection_id)
                    self.finish(AttemptResult(Outcome.UNREACHABLE))
                    return
                break
            conn = pool.by_line.get(found.connection_id)
            if conn is not None and conn.usable():
                self.conn = conn
                break
            servers.pipeline.on_closed(found.connection_id)
        if self.about is not None and self.about.on_assigned is not None:
            self.about.on_assigned(f"{pool.server}: {found.describe(1000.0 * servers.loop.time())}")
        self.conn.join(self)

    def unsend(self) -> None:
        """Its server drains: it ends, unless it was handed over meanwhile."""
        if not self.ended and not self.is_written:
            self.stop(Outcome.CANCELLED)

    def stop(self, ending: Outcome) -> None:
        """A time-out or a cancel. The ending is told once the connection is closed. An attempt that is called
        off while others stand on its connection only loses its reply: what it leaves behind is out until
        then, and no other attempt of its request goes."""
        if self.ended:
            return
        conn, entry = self.conn, self.entry
        if conn is None or entry is None or conn.withdraw(entry):
            if conn is not None:
                conn.rest()
            # Nothing was handed over: it can't have run. Called off, it says nothing of the server either.
            self.finish(
                AttemptResult(Outcome.NOT_SENT if ending is Outcome.NOT_SENT else Outcome.UNREACHABLE)
            )
        elif ending is Outcome.CANCELLED and len(conn.line) > 1:
            entry.is_cancelled = True
        else:
            if ending is Outcome.TIMEOUT:
                # As in `resp2.Attempt.stop`: a machine that vanished resets what it finds open later.
                self.pool.close_idle(self.started_at)
            conn.cut(entry, ending, "its time is up" if ending is Outcome.TIMEOUT else "called off")

    def let_go(self) -> None:
        super().let_go()
        if self.wait_timer is not None:
            self.wait_timer.cancel()
            self.wait_timer = None
        self.pool.waiting.pop(self.ref, None)
        self.pool.servers.attempts.pop(self.ref, None)
        self.conn = self.entry = None


class LineConnection(Connection):
    """One connection with a line of attempts on it."""

    __slots__ = ("booked", "connect_timer", "endings", "full", "line", "number", "stuck", "task", "up")

    pool: LinePool

    def __init__(self, pool: LinePool, number: int) -> None:
        super().__init__(pool)
        self.number = number
        self.line: CommandPipeline[LineAttempt] = CommandPipeline(
            NETWORK_DELAY_MS, pool.servers.pipeline.rules.settle_ms
        )
        self.endings: list[tuple[LineAttempt, AttemptResult]] | None = (
            None  # fixed when the gateway closes it
        )
        self.up = self.full = self.booked = False
        self.task: asyncio.Task[None] | None = None
        self.connect_timer: asyncio.TimerHandle | None = None
        self.stuck: asyncio.TimerHandle | None = None

    @property
    def lines(self) -> Lines:
        """The backend."""
        return self.pool.servers

    def usable(self) -> bool:
        """Whether an attempt may still join."""
        return self.endings is None and (not self.up or (self.transport is not None
                                                         and not self.transport.is_closing()))  # fmt: skip

    # --- coming up ---------------------------------------------------------------------------------------

    async def connect(self) -> None:
        """Comes up, or tells those that wait for it that they were never sent."""
        servers = self.lines
        host, port = self.pool.address
        try:
            await servers.loop.create_connection(lambda: self, host, port)
        except OSError:
            self.no_connection()
            return
        except asyncio.CancelledError:
            self.pool.forget(self)  # cancelled as it came up: no `connection_lost` is told
            raise
        finally:
            servers.coming.discard(self)
        self.task = None
        if self.connect_timer is not None:
            self.connect_timer.cancel()
        if self.endings is not None:
            self.abort()  # came up too late
            return
        self.up = True
        servers.pipeline.on_connected(1000.0 * servers.loop.time(), self.number)
        self.rest()
        self.flush()
        servers.arm()

    def no_connection(self) -> None:
        """It was refused or did not come up in time."""
        if self.up or self.endings is not None:
            return
        if self.task is not None and self.task is not asyncio.current_task(self.lines.loop):
            self.task.cancel()
        self.task = None
        ended = self.line.close()
        self.endings = []
        self.forgotten(False)
        for item, ending in ended:
            item.finish(AttemptResult(ending))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=0)  # told as soon as anything stays behind

    # --- writing -----------------------------------------------------------------------------------------

    def join(self, attempt: LineAttempt) -> None:
        """An attempt takes its place at the end; it leaves at the end of the loop's turn."""
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        attempt.entry = self.line.append(attempt, b"")
        self.book()

    def book(self) -> None:
        """Commands wait to be handed over."""
        if self.up and not self.booked and not self.full:
            self.booked = True
            self.lines.loop.call_soon(self.flush)

    def flush(self) -> None:
        """Hands over what waits, in one write, while the transport holds nothing."""
        self.booked = False
        transport = self.transport
        if not self.up or self.full or self.endings is not None:
            return
        if transport is None or transport.is_closing():
            return
        for entry in list(self.line.pending):
            if entry.item.is_wanted is not None and not entry.item.ended:
                entry.item.is_wanted()  # takes it back
        now = self.lines.loop.time()
        stop_at = self.pool.stop_at
        late: list[LineAttempt] = []
        for entry in list(self.line.pending):
            attempt = entry.item
            left = int(1000.0 * (attempt.until - now))
            if left < 1 or now > attempt.write_by or (stop_at is not None and now > stop_at):
                self.withdraw(entry)
                late.append(attempt)
            elif not entry.data:
                entry.data = attempt.payload(left)
        gather = self.lines.gather
        batch, data = self.line.next_batch(1000.0 * now, gather.most, gather.most_bytes)
        if batch:
            for entry in batch:
                entry.item.is_written = True
            self.lines.counts["writes"] += 1
            self.lines.counts["commands"] += len(batch)
            transport.write(data)
            self.sample()
            if self.line.pending:
                self.book()
        for attempt in late:
            attempt.finish(AttemptResult(Outcome.UNREACHABLE))
        if late:
            self.rest()

    def withdraw(self, entry: PipelinedCommand[LineAttempt]) -> bool:
        """Takes an attempt back of which nothing was handed over; False where it is too late for that."""
        if not self.line.withdraw(entry):
            return False
        self.lines.pipeline.on_withdrawn(1000.0 * self.lines.loop.time(), self.number, entry.item.ref)
        return True

    def rest(self) -> None:
        """Goes back to the pool, if nothing stands on it any more."""
        if self.up and not self.line and self.endings is None:
            self.pool.give_back(self)

    def sample(self) -> None:
        """Learns how much of what was handed over may have left."""
        if self.transport is not None:
            self.line.update_sent(self.transport.get_write_buffer_size())

    def pause_writing(self) -> None:
        """Some bytes stay behind. None may leave once the server's drain has run out, nor a keyed command's
        once its repeats are no longer dropped: the connection is closed before that."""
        self.full = True
        limits = [entry.item.write_by for entry in self.line.in_flight]
        if self.pool.stop_at is not None:
            limits.append(self.pool.stop_at)
        end = min(limits, default=math.inf)
        if self.stuck is None and end < math.inf:
            self.stuck = self.lines.loop.call_at(end, self.still_stuck)

    def resume_writing(self) -> None:
        self.full = False
        if self.stuck is not None:
            self.stuck.cancel()
            self.stuck = None
        self.sample()
        if self.line.pending:
            self.book()

    def still_stuck(self) -> None:
        """What was handed over has not left, and may not any more."""
        self.stuck = None
        if self.full and self.endings is None:
            self.cut(None, Outcome.RESET, "its bytes could no longer leave in time")

    # --- reading -----------------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        if self.endings is not None:
            return
        if self.stall is not None:
            self.stall.cancel()
            self.stall = None
        now = 1000.0 * self.lines.loop.time()
        self.sample()
        done: list[tuple[LineAttempt, AttemptResult]] = []
        fault = ""
        try:
            self.parser.feed(data)
            while not fault and (reply := self.parser.next_message()) is not False:
                fault = self.replied(now, reply, done)
        except resp.ProtocolError:
            fault = "a reply that can't be read"
            if self.line.in_flight:
                self.spoil_head(now, done)
        if not fault and self.parser.has_unparsed():
            if self.line.in_flight:
                # A length that does not fit leaves an answer without an end, on a connection that stays open.
                self.stall = self.lines.loop.call_later(STALL_S, self.spoilt)
            else:
                fault = "more than was asked for"
        if fault:
            self.cut(None, Outcome.RESET, fault)
            # What was spoilt may be tried again: that too must wait until the connection is closed.
            assert self.endings is not None
            self.endings[:0] = [row for row in done if row[1].outcome is not Outcome.OK]
            done = [row for row in done if row[1].outcome is Outcome.OK]
        elif done:
            self.rest()
        for attempt, result in done:
            attempt.finish(result)
        if not fault and done:
            self.lines.wake(self.pool)
        self.lines.arm()

    def replied(self, now: float, reply: object, done: list[tuple[LineAttempt, AttemptResult]]) -> str:
        """One whole reply; what is wrong with it, if the line can't go on after it."""
        found = self.line.match_reply(now)
        if found is None:
            return "a reply too many"
        entry, trusted = found
        result = classify(reply)
        if not trusted:
            result = AttemptResult(Outcome.ERROR)
        self.lines.pipeline.on_reply(now, self.number, result.outcome is Outcome.OK)
        if entry.is_cancelled:
            result = AttemptResult(Outcome.CANCELLED, is_connection_reusable=result.is_connection_reusable)
        done.append((entry.item, result))
        if not trusted:
            return "a reply that may be another's"
        return "" if result.is_connection_reusable else "a reply of no known form"

    def spoil_head(self, now: float, done: list[tuple[LineAttempt, AttemptResult]]) -> None:
        """What came for the head is no answer, but it may have run."""
        entry = self.line.in_flight[0]
        if self.line.may_be_sent(entry):
            self.line.in_flight.popleft()
            self.lines.pipeline.on_reply(now, self.number, False)
            done.append(
                (entry.item, AttemptResult(Outcome.CANCELLED if entry.is_cancelled else Outcome.ERROR))
            )

    def spoilt(self) -> None:
        """An answer that began does not go on."""
        self.stall = None
        if self.endings is None:
            done: list[tuple[LineAttempt, AttemptResult]] = []
            self.sample()
            if self.line.in_flight:
                self.spoil_head(1000.0 * self.lines.loop.time(), done)
            self.cut(None, Outcome.RESET, "an answer that stopped midway")
            assert self.endings is not None
            self.endings[:0] = done

    # --- the end -----------------------------------------------------------------------------------------

    def cut(self, cause: PipelinedCommand[LineAttempt] | None, ending: Outcome, why: str) -> None:
        """The gateway closes it. Each attempt's ending is fixed now and told when it is closed."""
        if self.endings is not None:
            return
        self.sample()
        ended = self.line.close(cause, ending)
        self.endings = [(item, AttemptResult(how)) for item, how in ended]
        if len(ended) > 1:
            log.info("line %d to %s with %d attempts is cut: %s", self.number, self.pool.address,
                     len(ended), why)  # fmt: skip
        self.lines.counts["cut"] += 1
        self.forgotten(bool(ended))
        if self.up:
            self.abort()
        else:
            if self.task is not None:
                self.task.cancel()
                self.task = None
            self.tell()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.stall is not None:
            self.stall.cancel()
        if self.stuck is not None:
            self.stuck.cancel()
        self.pool.forget(self)
        if self.endings is None:
            # The machine does not say how much it had sent: all that was handed over may have left.
            self.line.update_sent(0)
            ended = self.line.close()
            self.endings = [(item, AttemptResult(how)) for item, how in ended]
            self.forgotten(bool(ended))
        # uvloop closes the socket only after this call; see `resp2.Connection.connection_lost`.
        self.lines.loop.call_soon(self.tell)

    def tell(self) -> None:
        """The endings, once the connection is closed."""
        endings, self.endings = self.endings or [], []
        for attempt, result in endings:
            attempt.finish(result)
        self.lines.wake(self.pool)

    def forgotten(self, trouble: bool) -> None:
        """Nothing is placed here any more."""
        if self.connect_timer is not None:
            self.connect_timer.cancel()
        self.pool.by_line.pop(self.number, None)
        self.lines.pipeline.on_closed(self.number, trouble)


class LinePool(Pool):
    """The connections to one server."""

    __slots__ = ("by_line", "server", "waiting")

    servers: Lines

    def __init__(self, servers: Lines, server: str, address: Address) -> None:
        super().__init__(servers, address)
        self.server = server
        self.by_line: dict[int, LineConnection] = {}
        self.waiting: dict[int, LineAttempt] = {}  # for a connection, the longest waiting first

    def opened(self, number: int) -> LineConnection | None:
        """A connection that begins to come up; None where there is no room for it."""
        servers = self.servers
        if not servers.make_room():
            return None
        conn = self.by_line[number] = LineConnection(self, number)
        conn.task = servers.comes(conn, conn.connect())
        conn.connect_timer = servers.loop.call_later(servers.limits.connect_s, conn.no_connection)
        return conn

    def stop(self) -> None:
        """The server drains or is gone. What was handed over may be answered; what was not goes elsewhere."""
        super().stop()
        assert self.stop_at is not None
        unsent = list(self.waiting.values())
        for conn in list(self.by_line.values()):
            unsent += [entry.item for entry in list(conn.line.pending)]
            if conn.full and conn.stuck is None:
                conn.stuck = self.servers.loop.call_at(self.stop_at, conn.still_stuck)
        for attempt in unsent:
            # In the loop's next round: nothing here may call the core while the core tells the news.
            self.servers.loop.call_soon(attempt.unsend)


class Lines(Servers):
    """All pools, by the servers' ids, with one decider for the lines of all."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limits: Limits,
        classes: Iterable[RequestClass],
        rules: PipelineRules,
        sharing: ClassCompatibility,
        gather: Gather,
    ) -> None:
        super().__init__(loop, limits)
        self.pipeline = PipelineScheduler(rules, sharing)
        self.classes = {cls.name: cls for cls in classes}
        self.gather = gather
        self.serial = 0
        self.attempts: dict[int, LineAttempt] = {}
        self.counts: Counter[str] = Counter()
        self.said = "", loop.time()
        self.timer: asyncio.TimerHandle | None = None
        self.alarm = math.inf  # when the timer fires, in the loop's seconds

    def pool(self, server: str, address: Address) -> Pool:
        """A pool for a server that was not listed at this address before."""
        return LinePool(self, server, address)

    def activate_server(self, server: str, address: Address, started_anew: bool) -> None:
        """A server that takes work."""
        before = self.pools.get(server)
        super().activate_server(server, address, started_anew)
        if started_anew or self.pools[server] is not before:
            self.pipeline.on_server_started(server)

    def drain_server(self, server: str) -> None:
        """A server that drains: nothing new, what is out may finish."""
        self.pipeline.on_server_draining(server)
        super().drain_server(server)

    def remove_server(self, server: str) -> None:
        """A server that left the list."""
        self.pipeline.on_server_draining(server)
        super().remove_server(server)
        self.pipeline.on_server_removed(server)

    def create_attempt(
        self,
        server: str,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float = math.inf,
        about: AttemptContext | None = None,
    ) -> LineAttempt | None:
        """Makes an attempt, not started yet; None if the server takes nothing (any more)."""
        pool = self.open_pool(server)
        if pool is None:
            return None
        assert isinstance(pool, LinePool)
        attempt = LineAttempt(pool, payload, timeout_s, done, write_by, about)
        self.attempts[attempt.ref] = attempt
        return attempt

    def place(self, attempt: LineAttempt, now: float, waited: bool) -> Placement:
        """Asks the decider. What nothing is known of goes alone, as a class that is not shared does."""
        about, ms = attempt.about, 1000.0 * now
        cls = self.classes.get(about.class_name) if about is not None else None
        server = attempt.pool.server
        if about is None or cls is None:
            job = PlacementRequest("", 1000.0 * attempt.until, math.inf, -math.inf, 1)
        else:
            job = placement_request(
                cls,
                self.pipeline.times.mean(cls.name, server),
                ms,
                1000.0 * attempt.until,
                1000.0 * about.received_at,
                1000.0 * about.deadline,
                1000.0 * attempt.write_by,
                about.may_retry,
                about.max_depth or 1 << 30,
            )
        found = self.pipeline.place(ms, server, attempt.ref, job, self.has_room, waited)
        if found.kind is PlacementKind.JOIN:
            self.arm()
        return found

    def wake(self, pool: LinePool) -> None:
        """A connection may have freed: the longest waiting attempt asks again."""
        for attempt in list(pool.waiting.values())[:1]:
            if attempt.wait_timer is not None:
                attempt.wait_timer.cancel()
            attempt.seek()

    def arm(self) -> None:
        """One timer for all lines, at the moment at which the decider has something to look at."""
        at = self.pipeline.next_check_ms() / 1000.0
        if at >= self.alarm or at == math.inf:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.alarm = at
        self.timer = self.loop.call_at(at, self.check)

    def check(self) -> None:
        """Carries out what the decider says of stalled heads and reached bounds."""
        self.alarm, self.timer = math.inf, None
        for action in self.pipeline.check(1000.0 * self.loop.time()):
            match action:
                case StopJoining():
                    pass  # nothing joins it any more: the decider sees to that, and counts it
                case HedgeAttempt(ref):
                    attempt = self.attempts.get(ref)
                    if attempt is not None and attempt.about is not None:
                        attempt.about.on_stalled()
                case AbortConnection(line, ref, why):
                    self.cut(line, ref, why)
        self.arm()

    def cut(self, line: int, ref: int, why: AbortReason) -> None:
        """A line is given up for the sake of those that wait on it."""
        attempt = self.attempts.get(ref)
        if attempt is None or attempt.conn is None or attempt.conn.number != line:
            return
        said = (
            "its head is stalled" if why is AbortReason.STALL else "those behind its head can't wait longer"
        )
        attempt.conn.cut(attempt.entry, Outcome.RESET, said)

    def sweep(self) -> None:
        """As before, with a line for the operators now and then."""
        super().sweep()
        now = self.loop.time()
        if now - self.said[1] >= REPORT_S:
            counts = {**self.pipeline.counts, **self.counts}
            line = " ".join(f"{name}={count}" for name, count in sorted(counts.items()))
            if line != self.said[0]:
                log.info("lines: %s", line)
            self.said = line, now

    def close(self) -> None:
        """Closes everything, at the end of the process."""
        if self.timer is not None:
            self.timer.cancel()
        for pool in [*self.pools.values(), *self.leaving]:
            if isinstance(pool, LinePool):
                for conn in list(pool.by_line.values()):
                    if not conn.up:
                        conn.no_connection()
        super().close()
