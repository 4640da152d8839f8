"""The decision engine: handles each request from its admission to its one final response.

A gateway serves many tenants, and a tenant's quota applies to all gateways together. `QuotaAccounting`
enforces the quotas, `LoadShedder` sheds requests under overload, and `RequestExecution` runs the attempts of
an admitted request until it has its final response. Times are milliseconds, rates are units per second.
"""

from __future__ import annotations

import math
import random

from .actions import Action, Reject, SendLimitShares, SendState, SetTimer, SubscribeToEndpoints
from .admission.counter_health import CounterHealth
from .admission.overload import LoadShedder
from .admission.quota import QuotaAccounting, RejectionCause
from .admission.tenant import Tenant
from .balancing.pool import ServerPool
from .events import (
    DID_NOT_RUN,
    AdmissionEnded,
    AttemptEnded,
    AttemptStalled,
    AvoidEndpoint,
    ClientDisconnected,
    CounterReply,
    EndpointList,
    EndpointListKind,
    Event,
    HandoverEvent,
    LimitSharesReceived,
    OtherProcessEnded,
    Outcome,
    Request,
    ResponseStarted,
    StateReceived,
    SuccessorStarted,
    TimerFired,
    UsageUpdate,
)
from .reports import Reports
from .request_execution import TICK_TOKEN, RequestExecution
from .requests import PendingRequest
from .settings import RequestClass, Settings, unknown_class
from .timing import TICK_MS

MIN_BUSY_ATTEMPTS = 4.0  # at or below this many attempts in flight, the backlog sheds nothing
# A request waits for the counter only if its remaining time covers this many counter timeouts and one tick.
MIN_COUNTER_TIMEOUTS = 2.0
STALL_THRESHOLD_MS = 1000.0  # a tick that is later than this shows that the process was stalled
HIGH_FAILURE_RATE = 0.2  # requests fail on most servers if the median failure rate is above this
LOW_CALL_FRACTION = 0.5  # the log reports slowed calls to the counter below this fraction of the calls


class DecisionEngine:
    """All decisions of one gateway: takes events, returns actions. `events.py` states the caller's duties."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.quota = QuotaAccounting(settings, self.rng)
        self.pool = ServerPool(settings, self.rng)
        self.shedder = LoadShedder()
        self.reports = Reports()
        self.execution = RequestExecution(
            settings, self.rng, self.quota, self.pool, self.shedder, self.reports
        )
        self.next_tick_ms = math.inf
        self.actions: list[Action] = []

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handles one event and returns the resulting actions, in the order of their execution."""
        self.actions = self.execution.actions = []
        if self.next_tick_ms == math.inf:
            self.start(now_ms)
        if now_ms - self.next_tick_ms > STALL_THRESHOLD_MS:
            self.resume_after_stall(now_ms)
        self.dispatch(now_ms, event)
        return self.actions

    def dispatch(self, now_ms: float, event: Event) -> None:
        """Passes an event to the method for its type."""
        match event:
            case Request():
                self.handle_request(now_ms, event)
            case AttemptEnded():
                self.execution.end_attempt(now_ms, event)
            case EndpointList():
                self.update_endpoints(now_ms, event)
            case TimerFired(token):
                self.handle_timer(now_ms, token)
            case CounterReply():
                self.handle_counter_reply(now_ms, event)
            case AttemptStalled(request_id):
                self.execution.handle_stalled_attempt(now_ms, request_id)
            case ClientDisconnected(request_id):
                self.execution.abandon(request_id)
            case ResponseStarted(request_id, number):
                self.execution.start_response(now_ms, request_id, number)
            case (
                SuccessorStarted()
                | StateReceived()
                | OtherProcessEnded()
                | AdmissionEnded()
                | LimitSharesReceived()
            ):
                self.handle_handover(now_ms, event)
            case UsageUpdate():
                from .admission import usage_updates  # imported on use: most gateways receive no such event

                usage_updates.apply_usage_update(self.quota.tenants, now_ms, event)
            case AvoidEndpoint(address, duration_ms):
                self.pool.avoid(address, now_ms, duration_ms)

    def handle_handover(self, now_ms: float, event: HandoverEvent) -> None:
        """Transfers quota state between two processes of this gateway, or ends their handover."""
        from .admission import state_transfer  # imported on use: most processes see no handover

        match event:
            case SuccessorStarted():
                self.actions.append(SendState(state_transfer.start_handover(self.quota.tenants, now_ms)))
            case StateReceived(quotas):
                state_transfer.restore(self.quota.tenants, now_ms, quotas)
            case OtherProcessEnded():
                state_transfer.end_handover(self.quota.tenants, now_ms)
            case AdmissionEnded():
                shares = state_transfer.give_up_shares(self.quota.tenants, now_ms)
                self.actions.append(SendLimitShares(shares))
            case LimitSharesReceived(shares):
                state_transfer.add_shares(self.quota.tenants, now_ms, shares)

    # --- time ---------------------------------------------------------------------------------------------

    def start(self, now_ms: float) -> None:
        """Starts the periodic tick at the first event, at a random phase so that gateways are not in step."""
        self.quota.tenants.started_ms = self.reports.counts_since_ms = now_ms
        self.next_tick_ms = now_ms + TICK_MS * self.rng.uniform(0.5, 1.5)
        self.actions.append(SetTimer(TICK_TOKEN, self.next_tick_ms))

    def resume_after_stall(self, now_ms: float) -> None:
        """Discards measurements after a stall of this process: the durations of attempts that were in flight
        include the stall and say nothing about the servers."""
        self.execution.resumed_ms = self.next_tick_ms = now_ms
        self.shedder.reset_after_stall(now_ms)
        self.pool.reset_after_stall()

    def handle_timer(self, now_ms: float, token: int) -> None:
        """Runs the tick, or starts the scheduled attempt that the timer belongs to."""
        if token == TICK_TOKEN:
            self.tick(now_ms)
        else:
            self.execution.start_scheduled(now_ms, token)

    def tick(self, now_ms: float) -> None:
        """Updates the estimates, logs reports, makes due calls to the counter, retries waiting requests."""
        self.next_tick_ms = now_ms + TICK_MS
        self.actions.append(SetTimer(TICK_TOKEN, self.next_tick_ms))
        self.update_capacity(now_ms)
        self.report(now_ms)
        self.quota.counter.record_tick()
        self.quota.tenants.evict_idle(now_ms)
        for tenant in list(self.quota.tenants.unreported.values()):
            self.actions += self.quota.counter.due_calls(now_ms, tenant)
        self.execution.retry_waiting(now_ms)

    def update_capacity(self, now_ms: float) -> None:
        """Passes the number of servers and the ages of attempts in flight to the capacity estimate, which
        ends its window if that is over."""
        capacity = self.shedder.capacity
        servers = max(1, self.pool.total_servers, len(self.pool.servers))
        capacity.servers_per_gateway = servers / self.settings.gateway_count
        in_flight_ratios = [
            (min(now_ms, attempt.response_started_ms) - attempt.sent_ms)
            / attempt.pending.request_class.latency_objective_ms
            for attempt in self.execution.attempts.values()
            if attempt.sent_ms >= self.execution.resumed_ms and attempt.pending.request_class.is_configured
        ]
        capacity.end_window(now_ms, in_flight_ratios)

    def report(self, now_ms: float) -> None:
        """Logs the due counts and the states that have begun or ended."""
        pacing = self.quota.counter.pacing
        health = pacing.monitor.state(now_ms)
        is_suspect = health in (CounterHealth.REPLACED, CounterHealth.SPLIT)
        # The median failure rate is that of the last tick; `update_health` below updates it.
        most_servers_fail = self.pool.outliers.median_failure_rate > HIGH_FAILURE_RATE
        states = {
            "counter mute": self.settings.has_counter and pacing.is_unavailable,
            "calls to the counter slowed": pacing.call_fraction < LOW_CALL_FRACTION,
            "counter in doubt": health.value if is_suspect else "",
            "V binds": self.shedder.capacity.capacity_per_s < math.inf,
            "no server to send to": not self.pool.servers,
            "requests fail on most servers": most_servers_fail,
            "servers avoided": ", ".join(self.pool.update_health(now_ms)),
        }
        self.actions += self.reports.state_changes(now_ms, states)
        self.actions += self.reports.due_counts(now_ms)

    # --- admission ----------------------------------------------------------------------------------------

    def handle_request(self, now_ms: float, request: Request) -> None:
        """Handles a new request: checks it against its quota, after a call to the counter where a current
        total is needed, then against the servers' capacity, and sends it to a server."""
        left_ms = request.time_left_ms
        self.reports.count("requests")
        request_class = self.class_of(request)
        if left_ms <= 0 or len(self.execution.requests) >= self.settings.max_requests - 1:
            self.reports.count("refused: at the door")
            self.actions.append(Reject(request.request_id, self.settings.max_retry_after_ms))
            return
        if not self.quota.tenants.make_room(now_ms, request):
            self.reports.count("refused: too many tenants")
            self.actions.append(Reject(request.request_id, self.settings.max_retry_after_ms))
            return
        self.execution.retry_budget.record_request()
        tenant = self.quota.tenants.lookup(now_ms, request)
        pending = PendingRequest(request, request_class, tenant, now_ms, now_ms + left_ms)
        self.execution.requests[request.request_id] = pending
        has_time = left_ms >= MIN_COUNTER_TIMEOUTS * self.settings.counter_timeout_ms + TICK_MS
        counter = self.quota.counter
        if tenant is not None and has_time and counter.needs_total(now_ms, tenant, request.units):
            pending.is_counted = True
            if (call := counter.call_for_request(now_ms, tenant, request)) is not None:
                self.actions.append(call)
                return
        # If `is_counted` is set here, the call was omitted to spare an overloaded counter: calls that are
        # made reserve this request's units too, and the total that it needed is missing.
        self.admit_or_reject(now_ms, pending, has_total=False, is_total_missing=pending.is_counted)

    def handle_counter_reply(self, now_ms: float, reply: CounterReply) -> None:
        """Handles the end of a call to the counter, and decides on the request that waits for it, if any."""
        self.reports.count(f"counter: {reply.outcome.value}")
        counter = self.quota.counter
        request_id = counter.handle_reply(now_ms, reply)
        is_answered = reply.outcome is Outcome.OK
        if pending := self.execution.requests.get(request_id or ""):
            pending.is_counted = reply.outcome not in DID_NOT_RUN
            self.admit_or_reject(now_ms, pending, is_answered, not is_answered)
            if pending.is_charged and not pending.is_counted:
                counter.report_omitted(pending.request.units)
        elif request_id and counter.replied_tenant and is_answered:
            counter.refund_reserved(counter.replied_tenant)  # the client of the request has disconnected

    def class_of(self, request: Request) -> RequestClass:
        """Returns the class of a request."""
        return self.classes.get(request.class_name) or unknown_class(self.settings.classes)

    def admit_or_reject(
        self, now_ms: float, pending: PendingRequest, has_total: bool, is_total_missing: bool = False
    ) -> None:
        """Admits a request and sends it, or rejects it. `has_total`: a total of the counter has just arrived
        for it; `is_total_missing`: it needed such a total, and none came."""
        tenant, request = pending.tenant, pending.request
        if tenant is not None:
            wait_ms = self.rejection_wait_ms(now_ms, pending, tenant, has_total, is_total_missing)
            if wait_ms is not None:
                assert self.quota.rejection_cause is not None
                self.reports.count("refused: " + self.quota.rejection_cause.value)
                if has_total:
                    self.quota.counter.refund_reserved(tenant)
                del self.execution.requests[request.request_id]
                wait_ms = max(1.0, min(wait_ms, self.settings.max_retry_after_ms))
                self.actions.append(Reject(request.request_id, wait_ms))
                return
            # Charged at admission, not when sent: requests that wait for a server could together exceed a
            # ceiling otherwise.
            self.quota.charge(tenant, request.units, pending.is_counted, has_total)
            pending.is_charged = True
            self.actions += self.quota.counter.due_calls(now_ms, tenant)
        self.execution.send(now_ms, pending)

    def rejection_wait_ms(
        self, now_ms: float, pending: PendingRequest, tenant: Tenant, has_total: bool, is_total_missing: bool
    ) -> float | None:
        """Returns after how many milliseconds a request that the quota or the load shedder rejects may be
        retried, or None for a request that is admitted."""
        request_class, units = pending.request_class, pending.request.units
        wait_ms = self.quota.admit(now_ms, tenant, units, has_total, is_total_missing)
        if wait_ms is not None:
            return wait_ms
        value = request_class.priority_weight * tenant.plan.price
        # Two attempts for each server in this gateway's even share of the servers.
        usual_attempts = 2.0 * len(self.pool.servers) / self.settings.gateway_count
        is_busy = len(self.execution.attempts) > max(MIN_BUSY_ATTEMPTS, usual_attempts)
        if self.shedder.admit(value, units, request_class.latency_objective_ms, is_busy):
            return None
        self.quota.rejection_cause = RejectionCause.OVERLOAD
        return self.settings.max_retry_after_ms

    # --- endpoints -----------------------------------------------------------------------------------------

    def update_endpoints(self, now_ms: float, update: EndpointList) -> None:
        """Applies an endpoint list; subscribes to changes after a CACHED or FAILED one."""
        self.pool.update(update, now_ms)
        is_live = update.kind not in (EndpointListKind.CACHED, EndpointListKind.FAILED)
        if not is_live and self.settings.must_subscribe:
            self.actions.append(SubscribeToEndpoints())
        self.execution.retry_waiting(now_ms)
