"""Executes admitted requests: attempts, retries and hedged requests until the one final response."""

from __future__ import annotations

import math
import random
from dataclasses import replace

from .actions import Action, CancelAttempt, Fail, Reject, SetTimer, StartAttempt
from .admission.overload import LoadShedder
from .admission.quota import QuotaAccounting
from .balancing.endpoint_choice import EndpointChooser
from .balancing.pool import ServerPool
from .balancing.server import Server
from .events import DID_NOT_RUN, NEVER_REACHED_SERVER, AttemptEnded, Outcome
from .reports import Reports
from .requests import Attempt, PendingRequest, ScheduledAttempt
from .retries import hedging
from .retries.retry_budget import RetryBudget
from .retries.retry_policy import RetryPolicy
from .settings import Settings
from .timing import TICK_MS

TICK_TOKEN = 0  # timer token of the engine's tick; scheduled attempts have higher tokens
# How long after its arrival a request may wait for a server, as a fraction of its latency objective.
SERVER_WAIT_FRACTION = 0.3


class RequestExecution:
    """Runs the attempts of all pending requests; appends its actions to `actions`."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        quota: QuotaAccounting,
        pool: ServerPool,
        shedder: LoadShedder,
        reports: Reports,
    ) -> None:
        self.settings = settings
        self.quota = quota
        self.pool = pool
        self.shedder = shedder
        self.reports = reports
        self.chooser = EndpointChooser(settings, rng, pool)
        self.retry_policy = RetryPolicy(settings, pool.latency)
        self.retry_budget = RetryBudget()
        self.requests: dict[str, PendingRequest] = {}  # requests without a final response
        self.attempts: dict[tuple[str, int], Attempt] = {}  # attempts in flight, by request and number
        self.waiting: list[str] = []  # requests that wait for a server
        self.scheduled: dict[int, ScheduledAttempt] = {}  # scheduled attempts by timer token
        self.last_token = TICK_TOKEN
        self.resumed_ms = -math.inf  # when this process last resumed after a stall
        self.actions: list[Action] = []

    def send(self, now_ms: float, pending: PendingRequest) -> None:
        """Starts an attempt. If no server can be chosen now, the request waits for one to become available,
        or for a slow-start token, as long as a response could still be in time."""
        server = self.chooser.pick(now_ms, pending)
        if server is None:
            waited_ms = now_ms - pending.arrived_ms
            max_wait_ms = SERVER_WAIT_FRACTION * pending.request_class.latency_objective_ms
            if waited_ms < max_wait_ms and now_ms < pending.deadline_ms - 2 * TICK_MS:
                self.waiting.append(pending.request.request_id)
            else:
                self.finish(pending)
            return
        self.start_attempt(now_ms, pending, server)
        hedge_after_ms = pending.request.hedge_after_ms
        if hedge_after_ms > 0 and self.settings.allows_hedging and pending.attempt_count == 1:
            self.schedule(now_ms + hedge_after_ms, ScheduledAttempt(pending, is_hedge=True))

    def start_attempt(self, now_ms: float, pending: PendingRequest, server: Server) -> None:
        """Starts an attempt at `server`."""
        request, endpoint = pending.request, server.endpoint
        if pending.tenant is not None:
            pending.tenant.attempts_in_flight += 1
        mean_ms = self.pool.latency.expected_ms(pending.request_class, request.units)
        timeout_ms = self.retry_policy.attempt_timeout_ms(now_ms, pending, mean_ms)
        write_by_ms = self.retry_policy.idempotency_expiry_ms(pending)
        self.actions.append(StartAttempt(request.request_id, endpoint.address, timeout_ms, write_by_ms))
        key = request.request_id, pending.attempt_count
        self.attempts[key] = Attempt(pending, endpoint, now_ms, mean_ms)
        pending.attempt_count += 1
        pending.in_flight += 1
        pending.attempted_addresses.append(endpoint.address)
        self.pool.record_start(now_ms, server)
        self.shedder.backlog.add(mean_ms)

    def end_attempt(self, now_ms: float, event: AttemptEnded) -> None:
        """Handles an attempt's outcome: updates the estimates, then retries the request if that is allowed,
        or finishes it."""
        if (attempt := self.attempts.pop((event.request_id, event.attempt), None)) is None:
            return
        pending = attempt.pending
        self.reports.count(f"attempt: {event.outcome.value}")
        self.update_estimates(now_ms, attempt, event)
        pending.in_flight -= 1
        pending.has_reached_server |= event.outcome not in NEVER_REACHED_SERVER
        if event.request_id not in self.requests:
            self.refund(pending)
        elif event.is_final:
            del self.requests[event.request_id]
            self.cancel_attempts(pending)
        else:
            if event.outcome not in DID_NOT_RUN:
                pending.record_possible_run(attempt.sent_ms, attempt.endpoint)
            if pending.in_flight <= 0:
                self.retry_or_finish(now_ms, pending, event)

    def update_estimates(self, now_ms: float, attempt: Attempt, event: AttemptEnded) -> None:
        """Updates the estimates from an attempt's outcome. The duration of an attempt that was in flight
        during a stall of this process is ignored."""
        pending = attempt.pending
        is_valid = attempt.sent_ms >= self.resumed_ms
        # The outcome of a cancelled attempt says nothing about its server.
        server_event = event if is_valid else replace(event, outcome=Outcome.CANCELLED)
        self.pool.record_end(now_ms, server_event, pending.request_class, pending.request.units)
        if pending.tenant is not None:
            self.quota.record_attempt_end(pending.tenant, event.duration_ms, is_valid)
        self.end_work(now_ms, attempt, event.outcome)
        has_duration = event.outcome in (Outcome.OK, Outcome.TIMEOUT) and pending.request_class.is_configured
        if has_duration and is_valid:
            objective_ms = pending.request_class.latency_objective_ms
            self.shedder.capacity.record_latency(event.duration_ms, objective_ms)

    def end_work(self, now_ms: float, attempt: Attempt, outcome: Outcome) -> None:
        """Removes the work of an attempt that has ended from the backlog. That of a streamed response has
        been removed when it began: its server had done it, and the rest takes as long as its client reads."""
        if not attempt.is_in_backlog:
            return
        attempt.is_in_backlog = False
        self.shedder.backlog.remove(attempt.expected_latency_ms)
        if outcome is Outcome.OK:
            self.shedder.backlog.record_completed(now_ms, attempt.expected_latency_ms)

    def cancel_attempts(self, pending: PendingRequest) -> None:
        """Cancels the attempts that are still in flight when the request has its response."""
        if pending.in_flight:
            request_id = pending.request.request_id
            numbers = [n for n in range(pending.attempt_count) if (request_id, n) in self.attempts]
            self.actions += [CancelAttempt(request_id, number) for number in numbers]

    def retry_or_finish(self, now_ms: float, pending: PendingRequest, event: AttemptEnded) -> None:
        """Starts a retry, at once or after the event's retry delay, or finishes the request. No attempt of it
        is in flight. The retry takes no token of the retry budget if the last attempt reached no server, as
        it caused no load there."""
        tokens = 0.0 if event.outcome in NEVER_REACHED_SERVER else 1.0
        start_ms = now_ms + event.retry_delay_ms
        if not self.retry_policy.may_retry(start_ms, pending, event) or not self.retry_budget.has(tokens):
            self.finish(pending)
            return
        self.retry_budget.spend(tokens)
        if event.retry_delay_ms > 0:
            self.schedule(start_ms, ScheduledAttempt(pending, is_hedge=False))
        else:
            self.send(now_ms, pending)

    def schedule(self, at_ms: float, scheduled: ScheduledAttempt) -> None:
        """Sets a timer for a retry or a hedged attempt."""
        self.last_token += 1
        self.scheduled[self.last_token] = scheduled
        self.actions.append(SetTimer(self.last_token, at_ms))

    def start_scheduled(self, now_ms: float, token: int) -> None:
        """Starts the retry or the hedged attempt whose timer fired, if the request is still pending."""
        scheduled = self.scheduled.pop(token, None)
        if scheduled is None:
            return
        pending = scheduled.pending
        if self.requests.get(pending.request.request_id) is not pending:
            return
        if scheduled.is_hedge:
            self.hedge(now_ms, pending)
        elif not pending.in_flight:
            self.send_or_finish(now_ms, pending)

    def hedge(self, now_ms: float, pending: PendingRequest) -> None:
        """Starts a hedged attempt at another server, if the request may have one and the retry budget has a
        token for it."""
        first = self.attempts.get((pending.request.request_id, 0))
        if first is None or not hedging.may_hedge(pending) or not self.retry_budget.has(1.0):
            return
        with hedging.pinned_to(pending, first):
            if not self.retry_policy.may_retry(now_ms, pending, None):
                return
            server = self.chooser.pick(now_ms, pending)
            if server is not None and server.endpoint.address not in pending.attempted_addresses:
                self.retry_budget.spend(1.0)
                self.start_attempt(now_ms, pending, server)

    def retry_waiting(self, now_ms: float) -> None:
        """Tries again to send the requests that wait for a server."""
        waiting, self.waiting = self.waiting, []
        for request_id in waiting:
            pending = self.requests.get(request_id)
            if pending is None or pending.in_flight:
                continue
            if pending.may_have_run_ms is None:
                self.send(now_ms, pending)
            else:  # while it waited, the time in which it may be repeated may have ended
                self.send_or_finish(now_ms, pending)

    # --- the end of a request -----------------------------------------------------------------------------

    def send_or_finish(self, now_ms: float, pending: PendingRequest) -> None:
        """Starts another attempt if that is still allowed, or finishes the request."""
        if self.retry_policy.may_retry(now_ms, pending, None):
            self.send(now_ms, pending)
        else:
            self.finish(pending)

    def handle_stalled_attempt(self, now_ms: float, request_id: str) -> None:
        """Tries to start a hedged attempt for a request whose attempt is blocked on its connection."""
        if self.settings.allows_hedging and (pending := self.requests.get(request_id)):
            self.hedge(now_ms, pending)

    def start_response(self, now_ms: float, request_id: str, attempt_number: int) -> None:
        """Records that a streamed response has begun; it is the request's final response."""
        self.requests.pop(request_id, None)
        if attempt := self.attempts.get((request_id, attempt_number)):
            attempt.response_started_ms = now_ms
            self.end_work(now_ms, attempt, Outcome.OK)

    def abandon(self, request_id: str) -> None:
        """Drops a request whose client has disconnected."""
        if (pending := self.requests.pop(request_id, None)) is not None:
            self.refund(pending)

    def refund(self, pending: PendingRequest) -> None:
        """Refunds the units of a finished request, if none of its attempts can have reached a server."""
        is_unused = not pending.has_reached_server and not pending.in_flight
        if pending.tenant is not None and pending.is_charged and is_unused:
            pending.is_charged = False
            self.quota.refund(pending.tenant, pending.request.units)

    def finish(self, pending: PendingRequest) -> None:
        """Gives the final response to a request that was not served: a rejection if no attempt can have run,
        else a failure."""
        self.refund(pending)
        request_id, did_not_run = pending.request.request_id, pending.may_have_run_ms is None
        self.reports.count("refused: no attempt" if did_not_run else "failed")
        del self.requests[request_id]
        retry_after_ms = self.settings.max_retry_after_ms
        self.actions.append(Reject(request_id, retry_after_ms) if did_not_run else Fail(request_id))
