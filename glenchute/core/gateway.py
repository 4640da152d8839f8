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
    AttemptContext,
    AttemptResult,
    Call,
    DecisionHandler,
    EndpointUpdate,
    Failed,
    FinalResponse,
    Rejected,
    ResponseSource,
    Served,
    SharedCounter,
    Streamed,
    UpstreamAttempt,
    UpstreamServers,
)

if TYPE_CHECKING:  # only an operator's file brings routes in
    from glenchute.policy.balancing.hash_ring import RingedEndpoints
    from glenchute.policy.retries.route_limits import RequestRetries, RouteTable

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

    def now_ms(self) -> float:
        """The present."""
        return self._offset + time.monotonic() * 1000.0


class ActiveRequest:
    """A request that has been taken."""

    __slots__ = (
        "attempt_count",
        "attempts_in_flight",
        "call",
        "deadline",
        "deadline_timer",
        "has_client_left",
        "may_have_run",
        "on_final_response",
        "request_id",
        "route_limits",
        "time_to_first_byte_ms",
    )

    def __init__(
        self, ref: str, call: Call, deadline: float, answer: Callable[[FinalResponse], None],
        left: Callable[[], bool] | None = None,
    ) -> None:  # fmt: skip
        self.request_id = ref
        self.call = call
        self.deadline = deadline  # the loop's time
        self.on_final_response = answer
        self.has_client_left = left  # whether its client has gone, though that may not have been told yet
        self.attempt_count = 0
        self.attempts_in_flight: list[
            UpstreamAttempt
        ] = []  # attempts under way: one, or two where copies may overlap
        self.route_limits: RequestRetries | None = None  # what the operator's routes allow
        self.may_have_run = False
        self.time_to_first_byte_ms: float | None = (
            None  # from its attempt's start to the first bytes of a long answer
        )
        self.deadline_timer: asyncio.TimerHandle | None = None


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


class RequestExecutor:
    """Ties the sockets to the decisions."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        decisions: DecisionHandler,
        servers: UpstreamServers,
        counter: SharedCounter | None,
    ) -> None:
        self.loop = loop
        self.clock = Clock()
        self.decisions = decisions
        self.upstream = servers
        self.counter = counter
        self.active_requests: dict[str, ActiveRequest] = {}
        self.attempts_in_flight: dict[
            tuple[str, int], UpstreamAttempt
        ] = {}  # attempts may outlive their requests
        self.server_started_ms: dict[str, float] = {}
        self.last_request_number = 0
        self.routes: RouteTable | None = None
        self.send_state: Callable[[tuple[QuotaSnapshot, ...]], None] | None = (
            None  # to the gateway's next process
        )
        self.last_response_at = loop.time()  # when a server last answered, or this process began
        self.last_failure_at = -math.inf  # when an attempt last failed
        self.allows_concurrent_attempts = False  # a second copy may be out beside the first
        self.max_attempts = 0  # of a request; told where attempts are placed on shared connections, else 0
        # Called once, before the module hears of more servers than so many.
        self.server_limit: float = math.inf
        self.on_server_limit_exceeded: Callable[[], None] = lambda: None
        self.reports_assignments = False  # the module is recorded, and is told where attempts went
        self.pending_events: deque[Event] = deque()
        self.is_dispatching = False

    # --- events in ---------------------------------------------------------------------------------------

    def post(self, event: Event) -> None:
        """Queues an event; hands it over unless one is being handled."""
        self.pending_events.append(event)
        if self.is_dispatching:
            return
        self.is_dispatching = True
        try:
            while self.pending_events:
                self.dispatch(self.pending_events.popleft())
        finally:
            self.is_dispatching = False

    def dispatch(self, event: Event) -> None:
        """One event and its actions. A fault in either is logged and must not cost anybody the answer."""
        try:
            actions = self.decisions.handle(self.clock.now_ms(), event)
        except Exception:
            log.exception("the decisions failed on %s", type(event).__name__)
            if isinstance(event, Request | AttemptEnded):
                self.abort_request(event.request_id)
            elif isinstance(event, TimerFired):
                self.set_timer(
                    event.token, self.clock.now_ms() + 250.0
                )  # or the module would never tick again
            return
        for action in actions:
            try:
                self.execute(action)
            except Exception:
                log.exception("carrying out %s failed", type(action).__name__)
                if isinstance(action, StartAttempt | Reject | Fail):
                    self.abort_request(action.request_id)

    def accept(
        self, call: Call, answer: Callable[[FinalResponse], None], left: Callable[[], bool] | None = None
    ) -> ActiveRequest:
        """A client's request has come whole; `answer` is called once, with the final answer. `left` is asked
        before each attempt whether the client has gone."""
        self.last_request_number += 1
        # Ids of our own: an attempt may outlive its request, whose id a client may then use again.
        ref = str(self.last_request_number)
        live = ActiveRequest(ref, call, self.loop.time() + call.time_left_ms / 1000.0, answer, left)
        self.active_requests[ref] = live
        live.deadline_timer = self.loop.call_at(live.deadline, self.deadline_expired, ref)
        timeout_ms = copy_after_ms = 0.0
        if self.routes is not None:
            live.route_limits = self.routes.start_request(self.clock.now_ms(), call.class_name, call.plan)
            if live.route_limits is not None:
                route = live.route_limits.limits
                timeout_ms, copy_after_ms = route.attempt_timeout_ms, route.hedge_after_ms
        self.post(
            Request(
                ref,
                call.class_name,
                call.plan,
                call.tenant,
                call.time_left_ms,
                call.units,
                call.gateway_spread,
                timeout_ms,
                copy_after_ms,
            )
        )
        return live

    def client_disconnected(self, live: ActiveRequest) -> None:
        """Nobody waits for the answer any more: what has not been sent is not sent on."""
        if self.release(live):
            self.post(ClientDisconnected(live.request_id))
            if live.call.transport is None:
                for attempt in [one for one in live.attempts_in_flight if not one.is_written]:
                    attempt.stop(Outcome.NOT_SENT)

    def is_client_connected(self, live: ActiveRequest) -> bool:
        """Whether the client is there yet. Where it has gone, and its end is yet to be read, what has not
        been sent is over."""
        if live.has_client_left is None or not live.has_client_left():
            return True
        self.client_disconnected(live)
        return False

    def deadline_expired(self, ref: str) -> None:
        """The client's time is up and the module has not answered: the gateway does."""
        self.abort_request(ref)

    def update_endpoints(self, news: EndpointUpdate) -> None:
        """The list changed: the pools first, so that nothing is written where nothing may go."""
        event = news.event
        many = len(event.endpoints) > MANY_ROWS
        many |= event.kind is not EndpointListKind.CHANGES and len(self.server_started_ms) > MANY_ROWS
        if many and self.update_many_endpoints(news):
            return
        for entry in event.endpoints:
            if entry.state is EndpointState.ACTIVE:
                anew = self.server_started_ms.get(entry.address, entry.started_ms) != entry.started_ms
                self.server_started_ms[entry.address] = entry.started_ms
                self.upstream.activate_server(entry.address, news.addresses[entry.address], anew)
            elif entry.state is EndpointState.DRAINING:
                self.upstream.drain_server(entry.address)
            else:
                self.upstream.remove_server(entry.address)
                self.server_started_ms.pop(entry.address, None)  # its id never comes again
        if event.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            listed = {entry.address for entry in event.endpoints}
            for server in [name for name in self.upstream.server_ids() if name not in listed]:
                self.upstream.remove_server(server)
            self.server_started_ms = {k: v for k, v in self.server_started_ms.items() if k in listed}
        if len(self.server_started_ms) > self.server_limit:
            self.server_limit = math.inf
            self.on_server_limit_exceeded()
        self.post(event)

    def update_many_endpoints(self, news: EndpointUpdate) -> bool:
        """The list changed in many rows. What drains or is gone first; the rest costs by the pools that there
        are, and by what of it was not worked out on its way here. Not taken where a server has several."""
        event, before, addresses = news.event, self.server_started_ms, news.addresses
        placed: RingedEndpoints | None = getattr(event.endpoints, "as_ringed", None)
        entries, active, drains = event.endpoints, EndpointState.ACTIVE, EndpointState.DRAINING
        if placed is not None:
            rows: Collection[str] = placed.listed_servers
            started = placed.started_ms
        else:
            rows = {entry.address for entry in entries}
            if len(rows) < len(entries):
                return False
            started = {entry.address: entry.started_ms for entry in entries if entry.state is active}
        for entry in entries if len(started) < len(entries) else ():
            if entry.state is drains:
                self.upstream.drain_server(entry.address)
            elif entry.state is not active:
                self.upstream.remove_server(entry.address)
                before.pop(entry.address, None)
        stay = None
        if event.kind is EndpointListKind.CHANGES:
            self.server_started_ms = before | started
        else:
            stay = rows
            drain = rows if len(started) < len(rows) else ()  # keep what is known of their start
            self.server_started_ms = {name: before[name] for name in drain if name in before} | started
        if len(self.server_started_ms) > self.server_limit:
            self.server_limit = math.inf
            self.on_server_limit_exceeded()
        if placed is None or len(addresses) != len(started):  # those in service always have one
            addresses = {name: addresses[name] for name in started}
        self.upstream.activate_servers(
            addresses, lambda name: before.get(name, started[name]) != started[name], stay
        )
        self.post(event)
        return True

    # --- actions out -------------------------------------------------------------------------------------

    def execute(self, action: Action) -> None:
        """Carries out one action."""
        match action:
            case StartAttempt():
                self.start_attempt(action)
            case Reject(request_id, retry_after_ms):
                self.reject(request_id, retry_after_ms)
            case Fail(request_id):
                self.respond(request_id, Failed())
            case CancelAttempt(request_id, number):
                attempt = self.attempts_in_flight.get((request_id, number))
                if attempt is not None:
                    attempt.stop(Outcome.CANCELLED)
            case SetTimer(token, at_ms):
                self.set_timer(token, at_ms)
            case IncrementCounter(name, amount, ttl_ms):
                self.increment_counter(name, amount, ttl_ms)
            case SubscribeToEndpoints():
                pass  # the watch runs from the start
            case LogMessage(message):
                log.info("%s", message)
            case SendState(stocks):
                if self.send_state is not None:
                    self.send_state(stocks)

    def set_timer(self, token: int, at_ms: float) -> None:
        """Fires at the time or after; the loop's clock is coarse, and a timer must not come early."""
        delay = max(0.0, at_ms - self.clock.now_ms()) / 1000.0
        self.loop.call_later(delay + 0.001, self.post, TimerFired(token))

    def increment_counter(self, name: int, amount: float, ttl_ms: float) -> None:
        """Calls the counter."""

        def done(total: float, ending: Outcome, took_ms: float) -> None:
            self.post(CounterReply(name, total, ending, took_ms))

        def late(total: float, ending: Outcome, took_ms: float) -> None:
            self.post(CounterReply(name, total, ending, took_ms, True))

        if self.counter is None:
            done(0.0, Outcome.UNREACHABLE, 0.0)
        else:
            self.counter.increment(name, amount, ttl_ms, done, late)

    def start_attempt(self, action: StartAttempt) -> None:
        """Starts an attempt, or ends it unsent where it must not go."""
        ref, server = action.request_id, action.address
        live = self.active_requests.get(ref)
        number = live.attempt_count if live is not None else 0
        if live is not None:
            live.attempt_count += 1
            if not self.is_client_connected(live):
                live = None
        if live is None or not self.may_start(live):
            # Over, or another attempt is still out where that is not allowed, or its route allows no more.
            self.post(AttemptEnded(ref, number, server, Outcome.NOT_SENT, 0.0, live is None))
            return
        left = live.deadline - ANSWER_MARGIN_S - self.loop.time()
        wait = min(left, action.timeout_ms / 1000.0) if action.timeout_ms > 0 else left
        attempt = None
        if wait > 0:

            def done(result: AttemptResult) -> None:
                self.attempt_ended(live, number, server, result)

            write_by = math.inf
            if action.write_by_ms > 0:
                write_by = self.loop.time() + (action.write_by_ms - self.clock.now_ms()) / 1000.0
            carrier = live.call.transport
            if carrier is None and self.max_attempts:
                about = self.attempt_context(live, number)
                attempt = self.upstream.create_attempt(server, live.call.encode, wait, done, write_by, about)
            else:
                carrier = carrier or self.upstream
                attempt = carrier.create_attempt(server, live.call.encode, wait, done, write_by)
        if attempt is None:
            ending = Outcome.UNREACHABLE if wait > 0 else Outcome.NOT_SENT
            again = self.retry_delay_ms(live, ending)
            self.post(AttemptEnded(ref, number, server, ending, 0.0, False, retry_delay_ms=again))
            return
        self.attempts_in_flight[ref, number] = attempt
        live.attempts_in_flight.append(attempt)
        if live.call.transport is None:
            attempt.on_response_started = lambda source: self.response_started(live, number, source)
            attempt.is_wanted = lambda: self.is_client_connected(live)
        attempt.start()

    def attempt_context(self, live: ActiveRequest, number: int) -> AttemptContext:
        """What the backend needs to know to place this attempt on a connection that others use too."""
        call, course = live.call, live.route_limits
        again = live.attempt_count < self.max_attempts and (
            course is None or course.may_retry_after(Outcome.RESET)
        )

        def held() -> None:
            self.post(AttemptStalled(live.request_id, number))

        def placed(reason: str) -> None:
            self.post(AttemptAssigned(live.request_id, number, reason))

        deadline = live.deadline - ANSWER_MARGIN_S
        came = live.deadline - call.time_left_ms / 1000.0
        depth = course.limits.max_pipeline_depth if course is not None else 0
        told = placed if self.reports_assignments else None
        return AttemptContext(call.class_name, came, deadline, again, depth, held, told)

    def may_start(self, live: ActiveRequest) -> bool:
        """Whether an attempt may go out now, beside what is out and under the request's route."""
        if live.attempts_in_flight and not self.allows_concurrent_attempts:
            return False
        return live.route_limits is None or live.route_limits.try_start_attempt(
            self.clock.now_ms(), bool(live.attempts_in_flight)
        )

    def retry_delay_ms(self, live: ActiveRequest, ending: Outcome) -> float:
        """How long the route has a further attempt wait after this ending; inf: there is to be none."""
        if live.route_limits is None or live.attempts_in_flight:
            return 0.0
        return live.route_limits.retry_delay_ms(self.clock.now_ms(), ending)

    def response_started(self, live: ActiveRequest, number: int, source: ResponseSource) -> None:
        """A long answer has begun. It is the request's final answer, however it ends: from the first byte on
        nothing else can be told to the client."""
        if live.request_id not in self.active_requests:
            source.discard()  # its time was up, or another attempt was first
            return
        attempt = self.attempts_in_flight[live.request_id, number]
        live.time_to_first_byte_ms = 1000.0 * (self.loop.time() - attempt.started_at)
        self.respond(live.request_id, Streamed(source))
        for other in [one for one in live.attempts_in_flight if one is not attempt]:
            other.stop(Outcome.CANCELLED)
        self.post(ResponseStarted(live.request_id, number))

    def attempt_ended(self, live: ActiveRequest, number: int, server: str, result: AttemptResult) -> None:
        """An attempt's one ending. A value goes to the client before the module hears of it."""
        attempt = self.attempts_in_flight.pop((live.request_id, number))
        live.attempts_in_flight.remove(attempt)
        if result.outcome not in DID_NOT_RUN:
            live.may_have_run = True
        took_ms = (
            live.time_to_first_byte_ms
        )  # how long the rest took is the peers' pace, not the server's load
        if took_ms is None:
            took_ms = 1000.0 * (self.loop.time() - attempt.started_at)
        if result.outcome is Outcome.OK and result.value is not None:
            self.last_response_at = self.loop.time()
            self.respond(live.request_id, Served(result.value))
        else:
            self.last_failure_at = self.loop.time()
        queue, active = report(result.load_report)
        final = live.request_id not in self.active_requests
        again = (
            math.inf
            if result.is_last_attempt
            else 0.0
            if final
            else self.retry_delay_ms(live, result.outcome)
        )
        self.post(
            AttemptEnded(
                live.request_id, number, server, result.outcome, took_ms, final, queue, active, again
            )
        )

    # --- final answers -----------------------------------------------------------------------------------

    def reject(self, ref: str, retry_after_ms: float) -> None:
        """A refusal promises that no try ran; where one may have, it is a failure, whoever asks for it."""
        live = self.active_requests.get(ref)
        if live is not None:
            self.respond(ref, Failed() if self.may_have_executed(live) else Rejected(retry_after_ms))

    def may_have_executed(self, live: ActiveRequest) -> bool:
        """Whether a try may have run, or may yet."""
        return live.may_have_run or any(attempt.is_written for attempt in live.attempts_in_flight)

    def respond(self, ref: str, reply: FinalResponse) -> None:
        """The one final answer; a second finds the request gone."""
        live = self.active_requests.get(ref)
        if live is not None and self.release(live):
            live.on_final_response(reply)

    def abort_request(self, ref: str) -> None:
        """Answers a request that the module did not, and tells the module that it is over."""
        live = self.active_requests.get(ref)
        if live is not None:
            self.reject(ref, 0.0)
            for attempt in list(live.attempts_in_flight):
                attempt.stop(Outcome.CANCELLED)
            self.post(ClientDisconnected(ref))

    def release(self, live: ActiveRequest) -> bool:
        """Takes a request off the books; False if it was off before."""
        if self.active_requests.pop(live.request_id, None) is None:
            return False
        if live.deadline_timer is not None:
            live.deadline_timer.cancel()
            live.deadline_timer = None
        if live.route_limits is not None:
            live.route_limits.release()
        return True

    def close_all(self) -> None:
        """Answers all that is still held, at the end of the process."""
        for ref in list(self.active_requests):
            self.abort_request(ref)
