"""The execution of admitted requests: attempts, retries and hedged requests until the one final response."""

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

TICK_TOKEN = 0  # of the engine's own timer; attempts that are scheduled have higher ones
SERVER_WAIT_FRACTION = 0.3  # of the latency objective, since arrival: so long a request waits for a server


class RequestExecution:
    """Pending requests and their attempts. `actions` is where each event's actions go."""

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
        self.requests: dict[str, PendingRequest] = {}  # without a final response
        self.attempts: dict[tuple[str, int], Attempt] = {}  # in flight, by request and number
        self.waiting: list[str] = []  # requests for which there is no server now
        self.scheduled: dict[int, ScheduledAttempt] = {}  # by the token of their timer
        self.last_token = TICK_TOKEN
        self.resumed_ms = -math.inf  # when this process last went on after a stall
        self.actions: list[Action] = []

    def send(self, now_ms: float, pending: PendingRequest) -> None:
        """Starts an attempt. Where there is no server now, the request waits for one to come up or for a
        slow-start token, as long as a response could still be in time."""
        server = self.chooser.pick(now_ms, pending)
        if server is None:
            waited_ms = now_ms - pending.arrived_ms
            most_wait_ms = SERVER_WAIT_FRACTION * pending.request_class.latency_objective_ms
            if waited_ms < most_wait_ms and now_ms < pending.deadline_ms - 2 * TICK_MS:
                self.waiting.append(pending.request.request_id)
            else:
                self.finish(pending)
            return
        self.start_attempt(now_ms, pending, server)
        hedge_after_ms = pending.request.hedge_after_ms
        if hedge_after_ms > 0 and self.settings.allows_hedging and pending.attempt_count == 1:
            self.schedule(now_ms + hedge_after_ms, ScheduledAttempt(pending, is_hedge=True))

    def start_attempt(self, now_ms: float, pending: PendingRequest, server: Server) -> None:
        """Starts an attempt at this server."""
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
        """An attempt's outcome: learns from it, then tries again where that is allowed, else finishes."""
        if (attempt := self.attempts.pop((event.request_id, event.attempt), None)) is None:
            return
        pending = attempt.pending
        self.reports.count(f"attempt: {event.outcome.value}")
        self.learn(now_ms, attempt, event)
        pending.in_flight -= 1
        pending.has_reached_server |= event.outcome not in NEVER_REACHED_SERVER
        if event.request_id not in self.requests:
            self.refund(pending)
        elif event.is_final:
            del self.requests[event.request_id]
            self.cancel_attempts(pending)
        else:
            if event.outcome not in DID_NOT_RUN and pending.may_have_run_ms is None:
                pending.may_have_run_ms = attempt.sent_ms
                pending.pinned_endpoint = attempt.endpoint
            if pending.in_flight <= 0:
                self.retry_or_finish(now_ms, pending, event)

    def learn(self, now_ms: float, attempt: Attempt, event: AttemptEnded) -> None:
        """Updates the estimates. An attempt that was in flight while this process stood still says
        nothing."""
        pending = attempt.pending
        is_valid = attempt.sent_ms >= self.resumed_ms
        seen = event if is_valid else replace(event, outcome=Outcome.CANCELLED)
        self.pool.record_end(now_ms, seen, pending.request_class, pending.request.units)
        if pending.tenant is not None:
            self.quota.record_attempt_end(pending.tenant, event.duration_ms, is_valid)
        backlog = self.shedder.backlog
        backlog.remove(attempt.expected_latency_ms)
        if event.outcome is Outcome.OK:
            backlog.record_completed(now_ms, attempt.expected_latency_ms)
        if event.outcome in (Outcome.OK, Outcome.TIMEOUT) and is_valid:
            objective_ms = pending.request_class.latency_objective_ms
            self.shedder.capacity.record_latency(event.duration_ms, objective_ms)

    def cancel_attempts(self, pending: PendingRequest) -> None:
        """The request has its response: cancels a hedged attempt that is still in flight."""
        if pending.in_flight:
            request_id = pending.request.request_id
            numbers = [n for n in range(pending.attempt_count) if (request_id, n) in self.attempts]
            self.actions += [CancelAttempt(request_id, number) for number in numbers]

    def retry_or_finish(self, now_ms: float, pending: PendingRequest, event: AttemptEnded) -> None:
        """No attempt is in flight any more: starts another, at once or after the delay that the server asked
        for, or finishes the request. A retry takes no token where no server had work from that attempt."""
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
        """Sets a timer for a further attempt."""
        self.last_token += 1
        self.scheduled[self.last_token] = scheduled
        self.actions.append(SetTimer(self.last_token, at_ms))

    def start_scheduled(self, now_ms: float, token: int) -> None:
        """A retry delay is over, or the time for a hedged attempt has come."""
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
        """Starts a hedged attempt beside the first, at another server, if that is allowed and in the
        budget."""
        first = self.attempts.get((pending.request.request_id, 0))
        if first is None or not hedging.may_hedge(pending) or not self.retry_budget.has(1.0):
            return
        hedging.pin_to_first(pending, first)
        if not self.retry_policy.may_retry(now_ms, pending, None):
            return
        server = self.chooser.pick(now_ms, pending)
        if server is not None and server.endpoint.address not in pending.attempted_addresses:
            self.retry_budget.spend(1.0)
            self.start_attempt(now_ms, pending, server)

    def retry_waiting(self, now_ms: float) -> None:
        """Tries the requests that wait for a server again."""
        waiting, self.waiting = self.waiting, []
        for request_id in waiting:
            pending = self.requests.get(request_id)
            if pending is None or pending.in_flight:
                continue
            if pending.may_have_run_ms is None:
                self.send(now_ms, pending)
            else:
                self.send_or_finish(now_ms, pending)

    # --- the end of a request -----------------------------------------------------------------------------

    def send_or_finish(self, now_ms: float, pending: PendingRequest) -> None:
        """Starts another attempt if that is still allowed, else finishes the request."""
        if self.retry_policy.may_retry(now_ms, pending, None):
            self.send(now_ms, pending)
        else:
            self.finish(pending)

    def handle_stalled_attempt(self, now_ms: float, request_id: str) -> None:
        """An attempt waits behind another on its connection: a hedged one may help."""
        if self.settings.allows_hedging and (pending := self.requests.get(request_id)):
            self.hedge(now_ms, pending)

    def start_response(self, now_ms: float, request_id: str, attempt_number: int) -> None:
        """A streamed response has begun: the client has its final response."""
        self.requests.pop(request_id, None)
        if attempt := self.attempts.get((request_id, attempt_number)):
            attempt.response_started_ms = now_ms

    def abandon(self, request_id: str) -> None:
        """The client has left."""
        if (pending := self.requests.pop(request_id, None)) is not None:
            self.refund(pending)

    def refund(self, pending: PendingRequest) -> None:
        """Refunds the units of a request that is over, if none of its attempts has reached a server."""
        is_unused = not pending.has_reached_server and not pending.in_flight
        if pending.tenant is not None and pending.is_charged and is_unused:
            pending.is_charged = False
            self.quota.refund(pending.tenant, pending.request.units)

    def finish(self, pending: PendingRequest) -> None:
        """The final response of a request that was not served: rejected only if no attempt may have run."""
        self.refund(pending)
        request_id, did_not_run = pending.request.request_id, pending.may_have_run_ms is None
        self.reports.count("refused: no attempt" if did_not_run else "failed")
        del self.requests[request_id]
        retry_after_ms = self.settings.max_retry_after_ms
        self.actions.append(Reject(request_id, retry_after_ms) if did_not_run else Fail(request_id))
