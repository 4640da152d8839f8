"""Executes the decision engine's actions and reports events to it, independent of the client protocol.

Executing an action never calls the engine: outcomes, counter replies and timers are queued and dispatched
one by one, each after the actions of the previous event. Whatever the engine does, each request gets
exactly one final response by its deadline.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from glenchute.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    IncrementCounter,
    LogMessage,
    Reject,
    SendLimitShares,
    SendState,
    SetTimer,
    StartAttempt,
    SubscribeToEndpoints,
)
from glenchute.policy.events import (
    DID_NOT_RUN,
    AttemptAssigned,
    AttemptEnded,
    AttemptStalled,
    ClientDisconnected,
    CounterReply,
    Event,
    Outcome,
    Request,
    ResponseStarted,
    TimerFired,
)

from .active_request import ActiveRequest
from .clock import Clock
from .endpoint_updates import EndpointUpdater
from .load_report import parse_load_report
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

if TYPE_CHECKING:  # at run time it is imported only for an operator's file, as only that has routes
    from glenchute.policy.retries.route_limits import RouteTable

log = logging.getLogger("glenchute")

# Attempts end this long before the client's deadline, to leave time to write the response.
RESPONSE_MARGIN_S = 0.01
# A timer whose handling raised is set again after this delay, since the engine did not set its next one.
ENGINE_RETRY_MS = 250.0
MIN_TIMER_S = 0.001  # added to each delay: the loop's clock is coarse, and timers must not fire early


class RequestExecutor:
    """Connects listeners and upstreams to the decision engine.

    Requests and attempts are identified by ids that this class assigns: an attempt may outlive its request,
    and the client may then reuse its own request id. Times without a unit in their names are seconds of the
    event loop's clock.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        decisions: DecisionHandler,
        upstream: UpstreamServers,
        counter: SharedCounter | None,
    ) -> None:
        self.loop = loop
        self.clock = Clock()
        self.decisions = decisions
        self.upstream = upstream
        self.counter = counter
        self.endpoints = EndpointUpdater(upstream)
        self.active_requests: dict[str, ActiveRequest] = {}
        self.attempts_in_flight: dict[tuple[str, int], UpstreamAttempt] = {}
        self.last_request_number = 0
        self.routes: RouteTable | None = None
        # Set if a successor process may connect.
        self.send_to_successor: Callable[[SendState | SendLimitShares], None] | None = None
        # Time of the last response of any server; initially the start time.
        self.last_response_at = loop.time()
        self.last_failure_at = -math.inf  # time of the last failed attempt
        self.allows_concurrent_attempts = False  # whether hedged requests are enabled
        self.max_attempts = 0  # per request; 0 unless attempts share connections
        self.reports_assignments = False  # whether connection assignments are captured
        self.pending_events: deque[Event] = deque()
        self.is_dispatching = False

    # --- events ------------------------------------------------------------------------------------------

    def post(self, event: Event) -> None:
        """Queues an event and, unless another event is being handled, dispatches the queue."""
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
        """Passes one event to the engine and executes the resulting actions. An exception in either is
        logged, and the request concerned still gets its final response."""
        try:
            actions = self.decisions.handle(self.clock.now_ms(), event)
        except Exception:
            log.exception("the decision engine failed on %s", type(event).__name__)
            if isinstance(event, Request | AttemptEnded):
                self.abort_request(event.request_id)
            elif isinstance(event, TimerFired):
                self.set_timer(event.token, self.clock.now_ms() + ENGINE_RETRY_MS)
            return
        for action in actions:
            try:
                self.execute(action)
            except Exception:
                log.exception("executing %s failed", type(action).__name__)
                if isinstance(action, StartAttempt | Reject | Fail):
                    self.abort_request(action.request_id)

    def accept(
        self,
        call: Call,
        on_final_response: Callable[[FinalResponse], None],
        has_client_disconnected: Callable[[], bool] | None = None,
    ) -> ActiveRequest:
        """Accepts a request that has been received completely.

        `on_final_response` is called exactly once, possibly within this call. `has_client_disconnected` is
        called right before each attempt and returns whether the client has closed its connection.
        """
        self.last_request_number += 1
        request_id = str(self.last_request_number)
        deadline = self.loop.time() + call.time_left_ms / 1000.0
        request = ActiveRequest(request_id, call, deadline, on_final_response, has_client_disconnected)
        self.active_requests[request_id] = request
        request.deadline_timer = self.loop.call_at(deadline, self.deadline_expired, request_id)
        attempt_timeout_ms = hedge_after_ms = 0.0
        if self.routes is not None:
            request.retries = self.routes.start_request(self.clock.now_ms(), call.class_name, call.plan)
            if request.retries is not None:
                limits = request.retries.limits
                attempt_timeout_ms, hedge_after_ms = limits.attempt_timeout_ms, limits.hedge_after_ms
        self.post(
            Request(
                request_id,
                call.class_name,
                call.plan,
                call.tenant,
                call.time_left_ms,
                call.units,
                call.gateway_spread,
                attempt_timeout_ms,
                hedge_after_ms,
            )
        )
        return request

    def client_disconnected(self, request: ActiveRequest) -> None:
        """Drops a request whose client has disconnected, and ends its attempts of which nothing is
        written."""
        if self.release(request):
            self.post(ClientDisconnected(request.request_id))
            if request.call.transport is None:
                for attempt in [attempt for attempt in request.attempts_in_flight if not attempt.is_written]:
                    attempt.stop(Outcome.NOT_SENT)

    def is_client_connected(self, request: ActiveRequest) -> bool:
        """Returns whether the client is still connected. If it is not, the request is dropped, even if the
        listener has not processed the close yet."""
        if request.has_client_disconnected is None or not request.has_client_disconnected():
            return True
        self.client_disconnected(request)
        return False

    def deadline_expired(self, request_id: str) -> None:
        """Aborts a request that the engine has not answered by the client's deadline."""
        self.abort_request(request_id)

    def update_endpoints(self, update: EndpointUpdate) -> None:
        """Applies a change of the endpoint list. The upstream is updated first, so that nothing is sent to a
        server that no longer accepts attempts."""
        self.endpoints.apply(update)
        self.post(update.event)

    # --- actions -----------------------------------------------------------------------------------------

    def execute(self, action: Action) -> None:
        """Executes one action."""
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
                pass  # the discovery client is subscribed from its start
            case LogMessage(message):
                log.info("%s", message)
            case SendState() | SendLimitShares():
                if self.send_to_successor is not None:
                    self.send_to_successor(action)

    def set_timer(self, token: int, at_ms: float) -> None:
        """Posts `TimerFired` at `at_ms` or later."""
        delay = max(0.0, at_ms - self.clock.now_ms()) / 1000.0
        self.loop.call_later(delay + MIN_TIMER_S, self.post, TimerFired(token))

    def increment_counter(self, key: int, amount: float, ttl_ms: float) -> None:
        """Calls the shared counter; if none is configured, the call ends as unreachable."""

        def on_reply(total: float, outcome: Outcome, duration_ms: float) -> None:
            self.post(CounterReply(key, total, outcome, duration_ms))

        def on_late_reply(total: float, outcome: Outcome, duration_ms: float) -> None:
            self.post(CounterReply(key, total, outcome, duration_ms, True))

        if self.counter is None:
            on_reply(0.0, Outcome.UNREACHABLE, 0.0)
        else:
            self.counter.increment(key, amount, ttl_ms, on_reply, on_late_reply)

    # --- attempts ----------------------------------------------------------------------------------------

    def start_attempt(self, action: StartAttempt) -> None:
        """Starts an attempt, or ends it unsent if it must not run."""
        request_id, server = action.request_id, action.address
        request = self.active_requests.get(request_id)
        number = request.attempt_count if request is not None else 0
        if request is not None:
            request.attempt_count += 1
            if not self.is_client_connected(request):
                request = None
        if request is None or not self.may_start(request):
            self.post(AttemptEnded(request_id, number, server, Outcome.NOT_SENT, 0.0, request is None))
            return
        left_s = request.deadline - RESPONSE_MARGIN_S - self.loop.time()
        timeout_s = min(left_s, action.timeout_ms / 1000.0) if action.timeout_ms > 0 else left_s
        attempt = self.create_attempt(request, number, action, timeout_s) if timeout_s > 0 else None
        if attempt is None:
            outcome = Outcome.UNREACHABLE if timeout_s > 0 else Outcome.NOT_SENT
            delay_ms = self.retry_delay_ms(request, outcome)
            self.post(AttemptEnded(request_id, number, server, outcome, 0.0, False, retry_delay_ms=delay_ms))
            return
        self.attempts_in_flight[request_id, number] = attempt
        request.attempts_in_flight.append(attempt)
        if request.call.transport is None:
            attempt.on_response_started = lambda source: self.response_started(request, number, source)
            attempt.is_wanted = lambda: self.is_client_connected(request)
        attempt.start()

    def create_attempt(
        self, request: ActiveRequest, number: int, action: StartAttempt, timeout_s: float
    ) -> UpstreamAttempt | None:
        """Creates an attempt on the request's transport, or else on the upstream; None if the server does not
        accept attempts."""

        def on_ended(result: AttemptResult) -> None:
            self.attempt_ended(request, number, action.address, result)

        write_by = math.inf
        if action.write_by_ms > 0:
            write_by = self.loop.time() + (action.write_by_ms - self.clock.now_ms()) / 1000.0
        transport, encode = request.call.transport, request.call.encode
        if transport is None and self.max_attempts:
            context = self.attempt_context(request, number)
            return self.upstream.create_attempt(
                action.address, encode, timeout_s, on_ended, write_by, context
            )
        transport = transport or self.upstream
        return transport.create_attempt(action.address, encode, timeout_s, on_ended, write_by)

    def attempt_context(self, request: ActiveRequest, number: int) -> AttemptContext:
        """Returns what the upstream needs to assign an attempt to a shared connection."""
        call, retries = request.call, request.retries
        may_retry = request.attempt_count < self.max_attempts and (
            retries is None or retries.may_retry_after(Outcome.RESET)
        )

        def on_stalled() -> None:
            self.post(AttemptStalled(request.request_id, number))

        def on_assigned(reason: str) -> None:
            self.post(AttemptAssigned(request.request_id, number, reason))

        return AttemptContext(
            call.class_name,
            request.deadline - call.time_left_ms / 1000.0,
            request.deadline - RESPONSE_MARGIN_S,
            may_retry,
            retries.limits.max_pipeline_depth if retries is not None else 0,
            on_stalled,
            on_assigned if self.reports_assignments else None,
        )

    def may_start(self, request: ActiveRequest) -> bool:
        """Returns whether an attempt may start now, given those in flight and the request's route."""
        if request.attempts_in_flight and not self.allows_concurrent_attempts:
            return False
        return request.retries is None or request.retries.try_start_attempt(
            self.clock.now_ms(), bool(request.attempts_in_flight)
        )

    def retry_delay_ms(self, request: ActiveRequest, outcome: Outcome) -> float:
        """Returns the backoff of the request's route after this outcome; inf if there is no retry."""
        if request.retries is None or request.attempts_in_flight:
            return 0.0
        return request.retries.reserve_retry(self.clock.now_ms(), outcome)

    def response_started(self, request: ActiveRequest, number: int, source: ResponseSource) -> None:
        """Makes a streamed response that has begun the final response, however it ends: after its first byte
        nothing else can be written to the client."""
        if request.request_id not in self.active_requests:
            source.discard()  # the deadline has expired, or another attempt has responded first
            return
        attempt = self.attempts_in_flight[request.request_id, number]
        request.time_to_first_byte_ms = 1000.0 * (self.loop.time() - attempt.started_at)
        self.respond(request.request_id, Streamed(source))
        for other in [other for other in request.attempts_in_flight if other is not attempt]:
            other.stop(Outcome.CANCELLED)
        self.post(ResponseStarted(request.request_id, number))

    def attempt_ended(self, request: ActiveRequest, number: int, server: str, result: AttemptResult) -> None:
        """Handles the single result of an attempt. A value is sent to the client before the engine is
        notified."""
        attempt = self.attempts_in_flight.pop((request.request_id, number))
        request.attempts_in_flight.remove(attempt)
        if result.outcome not in DID_NOT_RUN:
            request.may_have_run = True
        # For a streamed response only the time to the first byte indicates the server's load.
        duration_ms = request.time_to_first_byte_ms
        if duration_ms is None:
            duration_ms = 1000.0 * (self.loop.time() - attempt.started_at)
        if result.outcome is Outcome.OK:
            self.last_response_at = self.loop.time()
            if result.value is not None:  # otherwise it has been streamed
                self.respond(request.request_id, Served(result.value))
        else:
            self.last_failure_at = self.loop.time()
        queued, active = parse_load_report(result.load_report)
        is_final = request.request_id not in self.active_requests
        if result.is_last_attempt:
            delay_ms = math.inf
        else:
            delay_ms = 0.0 if is_final else self.retry_delay_ms(request, result.outcome)
        self.post(
            AttemptEnded(
                request.request_id,
                number,
                server,
                result.outcome,
                duration_ms,
                is_final,
                queued,
                active,
                delay_ms,
            )
        )

    # --- final responses ---------------------------------------------------------------------------------

    def reject(self, request_id: str, retry_after_ms: float) -> None:
        """Rejects a request. A rejection guarantees that no attempt ran, so if one may have, the final
        response is a failure instead."""
        request = self.active_requests.get(request_id)
        if request is not None:
            self.respond(request_id, Failed() if request.may_have_executed() else Rejected(retry_after_ms))

    def respond(self, request_id: str, response: FinalResponse) -> None:
        """Sends the final response; later ones for the same request are ignored."""
        request = self.active_requests.get(request_id)
        if request is not None and self.release(request):
            request.on_final_response(response)

    def abort_request(self, request_id: str) -> None:
        """Ends a request that the engine has not answered, and notifies the engine."""
        request = self.active_requests.get(request_id)
        if request is not None:
            self.reject(request_id, 0.0)
            for attempt in list(request.attempts_in_flight):
                attempt.stop(Outcome.CANCELLED)
            self.post(ClientDisconnected(request_id))

    def release(self, request: ActiveRequest) -> bool:
        """Removes a request and cancels its timer. Returns False if it had already been removed."""
        if self.active_requests.pop(request.request_id, None) is None:
            return False
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
            request.deadline_timer = None
        if request.retries is not None:
            request.retries.release()
        return True

    def close_all(self) -> int:
        """Ends all open requests, at the end of the process; returns how many there were."""
        open_ids = list(self.active_requests)
        for request_id in open_ids:
            self.abort_request(request_id)
        return len(open_ids)
