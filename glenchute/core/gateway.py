"""The life of each request: events go to the decision module, its actions are carried out in order.

Nothing that carries out an action calls the module: endings, answers and timers are queued and handed over
one by one, each after the actions of the one before it. Whatever the module does, a request gets one final
answer.
"""

from __future__ import annotations

import asyncio
import logging
import math
import re
import time
from collections import deque
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from glenchute.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    IncrementCounter,
    LogMessage,
    Reject,
    SendState,
    SetTimer,
    StartAttempt,
    SubscribeToEndpoints,
)
from glenchute.policy.events import (
    AttemptAssigned,
    AttemptEnded,
    AttemptStalled,
    ClientDisconnected,
    CounterReply,
    EndpointListKind,
    EndpointState,
    Event,
    Outcome,
    QuotaSnapshot,
    Request,
    ResponseStarted,
    TimerFired,
)

from .types import (
    About,
    Answer,
    Attempt,
    Backend,
    Call,
    Counting,
    Decisions,
    Failed,
    News,
    Refused,
    Result,
    Served,
    Source,
    Streamed,
)

if TYPE_CHECKING:  # only an operator's file brings routes in
    from glenchute.policy.balancing.hash_ring import Placed
    from glenchute.policy.retries.route_limits import Course, Routes

log = logging.getLogger("glenchute")

ANSWER_MARGIN_S = 0.01  # attempts end this long before the client's time does, so that the answer is in time
DID_NOT_RUN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT)
QUEUE_WORDS = (b"queue", b"waiting")
ACTIVE_WORDS = (b"inflight", b"active")
FIGURE = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
MOST_HELD = 100_000.0  # requests at one server; a report of more is absurd
MOST_REPORT = 256
MANY_ROWS = 256  # of one answer: more go to the pools in one call


class Clock:
    """Unix milliseconds, read once and carried on by the monotonic clock: it never goes back."""

    def __init__(self) -> None:
        self._offset = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        """The present."""
        return self._offset + time.monotonic() * 1000.0


class Live:
    """A request that has been taken."""

    __slots__ = (
        "answer", "attempts", "began_ms", "call", "course", "deadline", "left", "may_have_run", "out", "ref",
        "timer",
    )  # fmt: skip

    def __init__(
        self, ref: str, call: Call, deadline: float, answer: Callable[[Answer], None],
        left: Callable[[], bool] | None = None,
    ) -> None:  # fmt: skip
        self.ref = ref
        self.call = call
        self.deadline = deadline  # the loop's time
        self.answer = answer
        self.left = left  # whether its client has gone, though that may not have been told yet
        self.attempts = 0
        self.out: list[Attempt] = []  # attempts under way: one, or two where copies may overlap
        self.course: Course | None = None  # what the operator's routes allow
        self.may_have_run = False
        self.began_ms: float | None = None  # from its attempt's start to the first bytes of a long answer
        self.timer: asyncio.TimerHandle | None = None


def report(text: bytes | None) -> tuple[float | None, float | None]:
    """Queue and requests held, from a load report. What can't be read or can't be true counts as not told: a
    single `nan` would stay in the module's means for ever."""
    queue = active = None
    for part in text.split(b",") if text and len(text) <= MOST_REPORT else ():
        name, _, digits = part.partition(b"=")
        value = float(digits) if FIGURE.fullmatch(digits) else math.inf
        if value > MOST_HELD:
            continue
        if name in QUEUE_WORDS:
            queue = value
        elif name in ACTIVE_WORDS:
            active = value
    return queue, active


class Gateway:
    """Ties the sockets to the decisions."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        decisions: Decisions,
        servers: Backend,
        counter: Counting | None,
    ) -> None:
        self.loop = loop
        self.clock = Clock()
        self.decisions = decisions
        self.servers = servers
        self.counter = counter
        self.live: dict[str, Live] = {}
        self.out: dict[tuple[str, int], Attempt] = {}  # attempts may outlive their requests
        self.started_ms: dict[str, float] = {}
        self.serial = 0
        self.routes: Routes | None = None
        self.handing: Callable[[tuple[QuotaSnapshot, ...]], None] | None = (
            None  # to the gateway's next process
        )
        self.served_at = loop.time()  # when a server last answered, or this process began
        self.failed_at = -math.inf  # when an attempt last failed
        self.overlap = False  # a second copy may be out beside the first
        self.most_attempts = 0  # of a request; told where attempts are placed on shared connections, else 0
        # Called once, before the module hears of more servers than so many.
        self.most_listed: float = math.inf
        self.narrow: Callable[[], None] = lambda: None
        self.tells_places = False  # the module is recorded, and is told where attempts went
        self.events: deque[Event] = deque()
        self.draining = False

    # --- events in ---------------------------------------------------------------------------------------

    def post(self, event: Event) -> None:
        """Queues an event; hands it over unless one is being handled."""
        self.events.append(event)
        if self.draining:
            return
        self.draining = True
        try:
            while self.events:
                self.hand_over(self.events.popleft())
        finally:
            self.draining = False

    def hand_over(self, event: Event) -> None:
        """One event and its actions. A fault in either is logged and must not cost anybody the answer."""
        try:
            actions = self.decisions.handle(self.clock.now(), event)
        except Exception:
            log.exception("the decisions failed on %s", type(event).__name__)
            if isinstance(event, Request | AttemptEnded):
                self.close_request(event.request_id)
            elif isinstance(event, TimerFired):
                self.set_timer(event.token, self.clock.now() + 250.0)  # or the module would never tick again
            return
        for action in actions:
            try:
                self.perform(action)
            except Exception:
                log.exception("carrying out %s failed", type(action).__name__)
                if isinstance(action, StartAttempt | Reject | Fail):
                    self.close_request(action.request_id)

    def take(
        self, call: Call, answer: Callable[[Answer], None], left: Callable[[], bool] | None = None
    ) -> Live:
        """A client's request has come whole; `answer` is called once, with the final answer. `left` is asked
        before each attempt whether the client has gone."""
        self.serial += 1
        # Ids of our own: an attempt may outlive its request, whose id a client may then use again.
        ref = str(self.serial)
        live = Live(ref, call, self.loop.time() + call.time_left_ms / 1000.0, answer, left)
        self.live[ref] = live
        live.timer = self.loop.call_at(live.deadline, self.overdue, ref)
        timeout_ms = copy_after_ms = 0.0
        if self.routes is not None:
            live.course = self.routes.course(self.clock.now(), call.class_name, call.plan)
            if live.course is not None:
                route = live.course.route
                timeout_ms, copy_after_ms = route.attempt_timeout_ms, route.copy_after_ms
        self.post(
            Request(
                ref, call.class_name, call.plan, call.customer, call.time_left_ms, call.units, call.spread,
                timeout_ms, copy_after_ms,
            )
        )  # fmt: skip
        return live

    def client_left(self, live: Live) -> None:
        """Nobody waits for the answer any more: what has not been sent is not sent on."""
        if self.forget(live):
            self.post(ClientDisconnected(live.ref))
            if live.call.carrier is None:
                for attempt in [one for one in live.out if not one.written]:
                    attempt.stop(Outcome.NOT_SENT)

    def wanted(self, live: Live) -> bool:
        """Whether the client is there yet. Where it has gone, and its end is yet to be read, what has not
        been sent is over."""
        if live.left is None or not live.left():
            return True
        self.client_left(live)
        return False

    def overdue(self, ref: str) -> None:
        """The client's time is up and the module has not answered: the gateway does."""
        self.close_request(ref)

    def news(self, news: News) -> None:
        """The list changed: the pools first, so that nothing is written where nothing may go."""
        event = news.event
        many = len(event.endpoints) > MANY_ROWS
        many |= event.kind is not EndpointListKind.CHANGES and len(self.started_ms) > MANY_ROWS
        if many and self.long_news(news):
            return
        for entry in event.endpoints:
            if entry.state is EndpointState.ACTIVE:
                anew = self.started_ms.get(entry.address, entry.started_ms) != entry.started_ms
                self.started_ms[entry.address] = entry.started_ms
                self.servers.listed(entry.address, news.addresses[entry.address], anew)
            elif entry.state is EndpointState.DRAINING:
                self.servers.stopped(entry.address)
            else:
                self.servers.gone(entry.address)
                self.started_ms.pop(entry.address, None)  # its id never comes again
        if event.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            listed = {entry.address for entry in event.endpoints}
            for server in [name for name in self.servers.known() if name not in listed]:
                self.servers.gone(server)
            self.started_ms = {k: v for k, v in self.started_ms.items() if k in listed}
        if len(self.started_ms) > self.most_listed:
            self.most_listed = math.inf
            self.narrow()
        self.post(event)

    def long_news(self, news: News) -> bool:
        """The list changed in many rows. What drains or is gone first; the rest costs by the pools that there
        are, and by what of it was not worked out on its way here. Not taken where a server has several."""
        event, before, addresses = news.event, self.started_ms, news.addresses
        placed: Placed | None = getattr(event.endpoints, "placed", None)
        entries, active, drains = event.endpoints, EndpointState.ACTIVE, EndpointState.DRAINING
        if placed is not None:
            rows: Collection[str] = placed.pairs
            started = placed.started
        else:
            rows = {entry.address for entry in entries}
            if len(rows) < len(entries):
                return False
            started = {entry.address: entry.started_ms for entry in entries if entry.state is active}
        for entry in entries if len(started) < len(entries) else ():
            if entry.state is drains:
                self.servers.stopped(entry.address)
            elif entry.state is not active:
                self.servers.gone(entry.address)
                before.pop(entry.address, None)
        stay = None
        if event.kind is EndpointListKind.CHANGES:
            self.started_ms = before | started
        else:
            stay = rows
            drain = rows if len(started) < len(rows) else ()  # keep what is known of their start
            self.started_ms = {name: before[name] for name in drain if name in before} | started
        if len(self.started_ms) > self.most_listed:
            self.most_listed = math.inf
            self.narrow()
        if placed is None or len(addresses) != len(started):  # those in service always have one
            addresses = {name: addresses[name] for name in started}
        self.servers.relisted(addresses, lambda name: before.get(name, started[name]) != started[name], stay)
        self.post(event)
        return True

    # --- actions out -------------------------------------------------------------------------------------

    def perform(self, action: Action) -> None:
        """Carries out one action."""
        match action:
            case StartAttempt():
                self.send(action)
            case Reject(request_id, retry_after_ms):
                self.refuse(request_id, retry_after_ms)
            case Fail(request_id):
                self.answer(request_id, Failed())
            case CancelAttempt(request_id, number):
                attempt = self.out.get((request_id, number))
                if attempt is not None:
                    attempt.stop(Outcome.CANCELLED)
            case SetTimer(token, at_ms):
                self.set_timer(token, at_ms)
            case IncrementCounter(name, amount, ttl_ms):
                self.count(name, amount, ttl_ms)
            case SubscribeToEndpoints():
                pass  # the watch runs from the start
            case LogMessage(message):
                log.info("%s", message)
            case SendState(stocks):
                if self.handing is not None:
                    self.handing(stocks)

    def set_timer(self, token: int, at_ms: float) -> None:
        """Fires at the time or after; the loop's clock is coarse, and a timer must not come early."""
        delay = max(0.0, at_ms - self.clock.now()) / 1000.0
        self.loop.call_later(delay + 0.001, self.post, TimerFired(token))

    def count(self, name: int, amount: float, ttl_ms: float) -> None:
        """Calls the counter."""

        def done(total: float, ending: Outcome, took_ms: float) -> None:
            self.post(CounterReply(name, total, ending, took_ms))

        def late(total: float, ending: Outcome, took_ms: float) -> None:
            self.post(CounterReply(name, total, ending, took_ms, True))

        if self.counter is None:
            done(0.0, Outcome.UNREACHABLE, 0.0)
        else:
            self.counter.call(name, amount, ttl_ms, done, late)

    def send(self, action: StartAttempt) -> None:
        """Starts an attempt, or ends it unsent where it must not go."""
        ref, server = action.request_id, action.address
        live = self.live.get(ref)
        number = live.attempts if live is not None else 0
        if live is not None:
            live.attempts += 1
            if not self.wanted(live):
                live = None
        if live is None or not self.may_start(live):
            # Over, or another attempt is still out where that is not allowed, or its route allows no more.
            self.post(AttemptEnded(ref, number, server, Outcome.NOT_SENT, 0.0, live is None))
            return
        left = live.deadline - ANSWER_MARGIN_S - self.loop.time()
        wait = min(left, action.timeout_ms / 1000.0) if action.timeout_ms > 0 else left
        attempt = None
        if wait > 0:

            def done(result: Result) -> None:
                self.ended(live, number, server, result)

            write_by = math.inf
            if action.write_by_ms > 0:
                write_by = self.loop.time() + (action.write_by_ms - self.clock.now()) / 1000.0
            carrier = live.call.carrier
            if carrier is None and self.most_attempts:
                about = self.about(live, number)
                attempt = self.servers.attempt(server, live.call.encode, wait, done, write_by, about)
            else:
                carrier = carrier or self.servers
                attempt = carrier.attempt(server, live.call.encode, wait, done, write_by)
        if attempt is None:
            ending = Outcome.UNREACHABLE if wait > 0 else Outcome.NOT_SENT
            again = self.next_after(live, ending)
            self.post(AttemptEnded(ref, number, server, ending, 0.0, False, retry_delay_ms=again))
            return
        self.out[ref, number] = attempt
        live.out.append(attempt)
        if live.call.carrier is None:
            attempt.began = lambda source: self.began(live, number, source)
            attempt.wanted = lambda: self.wanted(live)
        attempt.start()

    def about(self, live: Live, number: int) -> About:
        """What the backend needs to know to place this attempt on a connection that others use too."""
        call, course = live.call, live.course
        again = live.attempts < self.most_attempts and (course is None or course.again(Outcome.RESET))

        def held() -> None:
            self.post(AttemptStalled(live.ref, number))

        def placed(reason: str) -> None:
            self.post(AttemptAssigned(live.ref, number, reason))

        deadline = live.deadline - ANSWER_MARGIN_S
        came = live.deadline - call.time_left_ms / 1000.0
        depth = course.route.depth if course is not None else 0
        told = placed if self.tells_places else None
        return About(call.class_name, came, deadline, again, depth, held, told)

    def may_start(self, live: Live) -> bool:
        """Whether an attempt may go out now, beside what is out and under the request's route."""
        if live.out and not self.overlap:
            return False
        return live.course is None or live.course.begin(self.clock.now(), bool(live.out))

    def next_after(self, live: Live, ending: Outcome) -> float:
        """How long the route has a further attempt wait after this ending; inf: there is to be none."""
        if live.course is None or live.out:
            return 0.0
        return live.course.after(self.clock.now(), ending)

    def began(self, live: Live, number: int, source: Source) -> None:
        """A long answer has begun. It is the request's final answer, however it ends: from the first byte on
        nothing else can be told to the client."""
        if live.ref not in self.live:
            source.drop()  # its time was up, or another attempt was first
            return
        attempt = self.out[live.ref, number]
        live.began_ms = 1000.0 * (self.loop.time() - attempt.started)
        self.answer(live.ref, Streamed(source))
        for other in [one for one in live.out if one is not attempt]:
            other.stop(Outcome.CANCELLED)
        self.post(ResponseStarted(live.ref, number))

    def ended(self, live: Live, number: int, server: str, result: Result) -> None:
        """An attempt's one ending. A value goes to the client before the module hears of it."""
        attempt = self.out.pop((live.ref, number))
        live.out.remove(attempt)
        if result.ending not in DID_NOT_RUN:
            live.may_have_run = True
        took_ms = live.began_ms  # how long the rest took is the peers' pace, not the server's load
        if took_ms is None:
            took_ms = 1000.0 * (self.loop.time() - attempt.started)
        if result.ending is Outcome.OK and result.value is not None:
            self.served_at = self.loop.time()
            self.answer(live.ref, Served(result.value))
        else:
            self.failed_at = self.loop.time()
        queue, active = report(result.report)
        final = live.ref not in self.live
        again = math.inf if result.last else 0.0 if final else self.next_after(live, result.ending)
        self.post(AttemptEnded(live.ref, number, server, result.ending, took_ms, final, queue, active, again))

    # --- final answers -----------------------------------------------------------------------------------

    def refuse(self, ref: str, retry_after_ms: float) -> None:
        """A refusal promises that no try ran; where one may have, it is a failure, whoever asks for it."""
        live = self.live.get(ref)
        if live is not None:
            self.answer(ref, Failed() if self.unsafe(live) else Refused(retry_after_ms))

    def unsafe(self, live: Live) -> bool:
        """Whether a try may have run, or may yet."""
        return live.may_have_run or any(attempt.written for attempt in live.out)

    def answer(self, ref: str, reply: Answer) -> None:
        """The one final answer; a second finds the request gone."""
        live = self.live.get(ref)
        if live is not None and self.forget(live):
            live.answer(reply)

    def close_request(self, ref: str) -> None:
        """Answers a request that the module did not, and tells the module that it is over."""
        live = self.live.get(ref)
        if live is not None:
            self.refuse(ref, 0.0)
            for attempt in list(live.out):
                attempt.stop(Outcome.CANCELLED)
            self.post(ClientDisconnected(ref))

    def forget(self, live: Live) -> bool:
        """Takes a request off the books; False if it was off before."""
        if self.live.pop(live.ref, None) is None:
            return False
        if live.timer is not None:
            live.timer.cancel()
            live.timer = None
        if live.course is not None:
            live.course.close()
        return True

    def close_all(self) -> None:
        """Answers all that is still held, at the end of the process."""
        for ref in list(self.live):
            self.close_request(ref)
