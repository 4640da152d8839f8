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
from collections.abc import Callable, Generator

from glenchute.core.types import EndpointUpdate
from glenchute.policy.endpoints.list_confirmation import ListConfirmation
from glenchute.policy.endpoints.polling import PollingTerms, PollScheduler
from glenchute.policy.endpoints.watch import CloseConnection, EndpointWatch, OpenAndPoll, Poll, WatchCommand
from glenchute.policy.events import EndpointList, EndpointListKind
from glenchute.protocol.endpoint_list import CurrentList, EndpointListError, decode_list, decode_list_in_parts

from .http_exchange import HttpExchange

log = logging.getLogger("glenchute")

SERVICE_UNAVAILABLE = 503
EMPTY_ANSWER_PAUSE_S = 0.1  # pause after an answer with no news that came at once; a watch lasts over 0.2 s
MAX_UNDIVIDED_BODY_BYTES = (
    64 * 1024
)  # a body over this is read in parts, between which requests have their turn


def unwrap(found: EndpointUpdate | Exception) -> EndpointUpdate:
    """A list, or what reading it raised."""
    if isinstance(found, Exception):
        raise found
    return found


class PartialDecode:
    """An answer that has come whole and is read in parts."""

    def __init__(self, line: int, parts: Generator[None, None, EndpointUpdate]) -> None:
        self.connection_id, self.parts = line, parts
        self.is_connection_lost = False  # the connection has ended since


class DiscoveryClient:
    """Fetches the list, then watches it for as long as the process runs. Which calls are out, and when the
    next one goes, is decided in `policy/endpoints/watch.py`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        where: tuple[str, int],
        tell: Callable[[EndpointUpdate], None],
        terms: PollingTerms,
        seed: int,
        doubt: ListConfirmation | None = None,
        serving: Callable[[], bool] = lambda: True,
    ) -> None:
        """`terms` tell who shares the service; `seed` draws the pauses, which must differ between them.
        `doubt`: odd lists wait for a second word; `serving` tells whether servers of the list answer now."""
        self.loop = loop
        self.address = where
        self.on_list = tell
        self.version: int | None = None  # the version of the list held; None asks for the whole list
        self.current_list = CurrentList()  # the list itself, for rows that can't be read
        self.connections: dict[int, HttpExchange] = {}
        self.connect_tasks: dict[int, asyncio.Task[None]] = {}
        self.partial_decode: PartialDecode | None = (
            None  # an answer that is read in parts; its line is still out
        )
        self.timer: asyncio.TimerHandle | None = None
        self.scheduler = PollScheduler(terms, random.Random(seed))
        # Members may ask for this gateway: how long it is to leave the service alone.
        self.delegated_for_s: Callable[[], float] = lambda: 0.0
        self.watch = EndpointWatch(
            self.scheduler,
            lambda: self.delegated_for_s(),
            1 if doubt is None else ListConfirmation.ANSWERS_NEEDED,
        )
        self.confirmation, self.is_serving = doubt, serving
        self.on_restriction = (
            tell  # what a list in doubt forbids; members are told of no list that is in doubt
        )
        self.failed_polls = 0  # tries since the last good answer
        self.last_poll_at = 0.0  # when the last call was sent
        self.first_poll_made = asyncio.Event()  # set once a first call has been made, or could not be
        self.first_answer = asyncio.Event()  # set with the first answer
        self.on_confirmed: Callable[[int], None] = lambda version: None  # told of each sound answer
        self.is_closed = False

    def start(self, known: EndpointUpdate | None, patience_s: float, at_once: bool = False) -> bool:
        """The first call, in this gateway's turn. `known`: the saved list, if there is one that can be served
        by. Whether the answer is worth waiting for so long."""
        if known is not None:
            self.version = known.version
            self.current_list.apply(known)
        pause = 0.0 if at_once else self.scheduler.first_poll_delay_s(known is not None)
        awaited = pause < patience_s or known is None
        self.watch.start(self.loop.time(), pause, awaited)
        self.reset_timer()
        return awaited

    def change_address(self, where: tuple[str, int]) -> None:
        """Discovery has another address: the whole list is asked for there, as versions known from the old
        one mean nothing to it. The list held stays in force until then."""
        if where == self.address:
            return
        self.address, self.version = where, None
        self.execute(self.watch.change_address(self.loop.time()))
        self.reset_timer()

    def resume_polling(self) -> None:
        """This gateway is to ask for others from now on."""
        self.watch.resume_polling(self.loop.time())
        self.reset_timer()

    def reset_timer(self) -> None:
        """One timer, for the call that is due next."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None if self.is_closed else self.loop.call_at(self.watch.next_poll_at, self.on_timer)

    def on_timer(self) -> None:
        """Makes the call that is due."""
        if self.watch.in_flight and self.watch.next_poll_at <= self.loop.time():
            self.log_failure("no answer")
        self.execute(self.watch.tick(self.loop.time(), self.version is not None))
        self.reset_timer()

    def execute(self, actions: list[WatchCommand]) -> None:
        """The decider's orders."""
        for action in actions:
            match action:
                case OpenAndPoll(line, wait_s):
                    self.open_connection(line, wait_s)
                case Poll(line, wait_s):
                    self.send_poll(line, wait_s)
                case CloseConnection(line):
                    self.close_connection(line)

    def open_connection(self, line: int, wait_s: float) -> None:
        """Opens a connection and asks; the decider bounds both together."""
        exchange = HttpExchange(
            lambda *answer: self.on_response(line, *answer), lambda: self.on_connection_closed(line)
        )
        self.connections[line] = exchange

        async def connect() -> None:
            try:
                await self.loop.create_connection(lambda: exchange, *self.address)
            except OSError:
                self.on_connection_closed(line)
                return
            finally:
                self.connect_tasks.pop(line, None)
            self.send_poll(line, wait_s)

        self.connect_tasks[line] = self.loop.create_task(connect())

    def send_poll(self, line: int, wait_s: float) -> None:
        """Makes a call on a connection that is up."""
        exchange = self.connections.get(line)
        if exchange is None:
            return
        if not exchange.is_usable():
            # It ended in this very moment, and its end has not been told yet.
            self.close_connection(line)
            self.watch.record_connection_lost(self.loop.time(), line)
            self.reset_timer()
            return
        target = "/v1/servers"
        if self.version is not None:
            target += f"?since={self.version}&timeout_ms={wait_s * 1000.0:.0f}"
        self.last_poll_at = self.loop.time()
        self.first_poll_made.set()
        exchange.get(f"{self.address[0]}:{self.address[1]}", target)

    def close_connection(self, line: int) -> None:
        """Closes a connection; nothing that comes on it counts any more."""
        task, exchange = self.connect_tasks.pop(line, None), self.connections.pop(line, None)
        if self.partial_decode is not None and self.partial_decode.connection_id == line:
            self.partial_decode = None
        if task is not None:
            task.cancel()
        if exchange is not None:
            exchange.abort()

    def on_response(self, line: int, status: int, body: bytes, retry_after: float | None = None) -> None:
        """An answer has come. Changes, in which drains come, are in force with it; a list that is long enough
        to hold up requests is read in parts, and in force once it is whole, unless its line is closed before:
        as it is where another answer has been taken, at another address, and at the end."""
        if line not in self.watch.in_flight or line not in self.connections:
            return
        if status == 200 and len(body) > MAX_UNDIVIDED_BODY_BYTES:
            self.partial_decode = PartialDecode(line, decode_list_in_parts(body, self.current_list))
            self.decode_next_part(self.partial_decode)
            return
        self.handle_answer(
            line, status, lambda: decode_list(json.loads(body), held=self.current_list), retry_after
        )

    def decode_next_part(self, reading: PartialDecode) -> None:
        """The next part, if the answer still counts."""
        if self.partial_decode is not reading:
            return
        try:
            next(reading.parts)
        except StopIteration as end:
            found: EndpointUpdate | Exception = end.value
        except (ValueError, RecursionError) as error:
            found = error
        else:
            self.loop.call_soon(self.decode_next_part, reading)
            return
        self.partial_decode = None
        self.handle_answer(reading.connection_id, 200, lambda: unwrap(found))
        if reading.is_connection_lost:
            self.on_connection_closed(reading.connection_id)

    def handle_answer(
        self, line: int, status: int, read: Callable[[], EndpointUpdate], retry_after: float | None = None
    ) -> None:
        """An answer: told on if it is a list, else asked for anew after a pause."""
        now, failed = self.loop.time(), self.watch.record_failure
        try:
            if status != 200:
                raise EndpointListError(f"status {status}")
            news = read()
            if self.version is None and news.event.kind is not EndpointListKind.FULL:
                raise EndpointListError("changes to no list")
            if (
                self.version is not None
                and news.version < self.version
                and news.event.kind is not EndpointListKind.FULL
            ):
                self.version = None  # versions began anew: what lies between is not known
                raise EndpointListError("an older version")
            if self.confirmation is not None and not self.confirmation.accepts(
                news.version, news.event, self.is_serving()
            ):
                self.version, failed = (
                    None,
                    self.watch.record_unconfirmed,
                )  # a whole list again, for a second word
                self.apply_restriction(self.confirmation, news.event)
                count = len(news.event.endpoints)
                raise EndpointListError(
                    f"a list of version {news.version} with {count} servers, not believed yet"
                )
        except (EndpointListError, ValueError, RecursionError) as error:
            self.log_failure(str(error))
            # A service that says it is busy is not asked at once again: each gateway takes its turn in what
            # all together may call. With shorter pauses its line stays longer than its callers wait.
            busy = status == SERVICE_UNAVAILABLE
            pause = (
                self.scheduler.record_rejection(retry_after, self.version is not None)
                if busy
                else self.scheduler.record_failure()
            )
            self.execute(failed(now, line, pause))
            self.reset_timer()
            return
        if self.failed_polls:
            log.info("discovery answers again, after %d tries", self.failed_polls)
            self.failed_polls = 0
        if self.version is None or news.event.endpoints or news.event.kind is EndpointListKind.FULL:
            self.current_list.apply(news)
            self.on_list(news)
        self.on_confirmed(news.version)
        at_once = not news.event.endpoints and now - self.last_poll_at < EMPTY_ANSWER_PAUSE_S
        self.version = news.version
        self.scheduler.record_answer()
        self.first_answer.set()
        # EndpointUpdate end all gateways' watches in the same moment.
        pause = self.scheduler.synchronized_delay_s() if news.event.endpoints else 0.0
        self.execute(self.watch.record_answer(now, line, EMPTY_ANSWER_PAUSE_S if at_once else pause))
        self.reset_timer()

    def apply_restriction(self, doubt: ListConfirmation, event: EndpointList) -> None:
        """What a list that is not believed yet forbids is in force at once."""
        stopped = doubt.withdraw_endpoints(event)
        if stopped:
            news = EndpointUpdate(doubt.version, EndpointList(EndpointListKind.CHANGES, stopped), {})
            self.current_list.apply(news)
            self.on_restriction(news)

    def log_failure(self, why: str) -> None:
        """Tells the operators once that the list in force may be old."""
        self.failed_polls += 1
        if self.failed_polls == 1:
            log.warning("discovery fails (%.80s): the list of version %s stays in force", why, self.version)

    def on_connection_closed(self, line: int) -> None:
        """A connection is gone or never came up."""
        if self.partial_decode is not None and self.partial_decode.connection_id == line:
            self.partial_decode.is_connection_lost = (
                True  # after its answer had come whole, which still counts
            )
            return
        if self.is_closed or self.connections.pop(line, None) is None:
            return
        self.first_poll_made.set()
        if self.watch.record_connection_lost(self.loop.time(), line):
            self.log_failure("no connection, or no answer on it")
        self.reset_timer()

    def close(self) -> None:
        """The end of the process."""
        self.is_closed = True
        self.reset_timer()
        for line in list(self.connections):
            self.close_connection(line)
