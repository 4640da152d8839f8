"""The decision engine: one `DecisionEngine` follows each request to its one final response.

A gateway serves many customers, whose quotas hold over all gateways together. `Quota` decides how much of a
customer's demand goes on, `Fleet` which server gets it, and `Gateway` follows each request to its one final
answer. Times are milliseconds, rates are units a second. README.md tells the design.
"""

from __future__ import annotations  # noqa: I001

import math
import random
from dataclasses import replace

from .actions import (
    Action,
    CancelAttempt,
    Fail,
    LogMessage,
    Reject,
    SetTimer,
    StartAttempt,
    SubscribeToEndpoints,
)
from .events import (
    AttemptEnded,
    AttemptStalled,
    AvoidEndpoint,
    ClientDisconnected,
    CounterReply,
    EndpointList,
    EndpointListKind,
    Event,
    OtherProcessEnded,
    Outcome,
    Request,
    ResponseStarted,
    StateReceived,
    SuccessorStarted,
    TimerFired,
    UsageUpdate,
)
from .settings import (
    Idempotency,
    RequestClass,
    Settings,
)
from .admission.capacity import CapacityEstimate
from .admission.epoch_markers import CounterHealth
from .admission.quota import QuotaAccounting
from .balancing.pool import ServerPool
from .balancing.server import Server
from .requests import Attempt, PendingRequest
from .timing import TICK_MS

FEW = 4.0  # attempts out below which they tell nothing of the fleet
TALLY_MS = 5_000.0  # a line this often tells how requests, attempts and calls to the counter ended
STOOD_MS = 1000.0  # a tick that comes so late tells that this process stood still
DID_NOT_RUN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT)


class DecisionEngine:
    """Follows each request to its one final answer."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.classes = {cls.name: cls for cls in settings.classes}
        self.quota = QuotaAccounting(settings, self.rng)
        self.pool = ServerPool(settings, self.rng)
        self.capacity = CapacityEstimate()
        self.requests: dict[str, PendingRequest] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.waiting: list[str] = []
        self.scheduled: dict[
            int, tuple[PendingRequest, bool]
        ] = {}  # by timer: what is to be tried then; a second copy?
        self.last_token = 0
        self.retry_tokens = 5.0  # further attempts that may be made; each request adds a fifth
        self.reported_states: dict[str, tuple[bool, float]] = {}  # states told to the operators, and when
        self.counts: dict[str, int] = {}  # what happened since the last line about it
        self.counts_since_ms = 0.0
        self.next_tick_ms = math.inf  # when the next tick is due
        self.resumed_ms = -math.inf  # when this process last went on after it had stood still
        self.actions: list[Action] = []

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Takes one event, returns what to do."""
        self.actions = []
        if self.quota.started_ms == math.inf:
            self.quota.started_ms = self.counts_since_ms = now_ms
            self.next_tick_ms = now_ms + TICK_MS * self.rng.uniform(0.5, 1.5)
            self.actions.append(SetTimer(0, self.next_tick_ms))
        if now_ms - self.next_tick_ms > STOOD_MS:
            # What was out meanwhile tells how long this process stood, and nothing of those that it asked.
            self.resumed_ms, self.next_tick_ms = now_ms, now_ms
            self.capacity.reset_after_stall(now_ms)
            for server in self.pool.servers.values():
                server.unanswered_since_ms = None
        match event:
            case Request():
                self.accept(now_ms, event)
            case AttemptEnded():
                self.handle_attempt_ended(now_ms, event)
            case EndpointList():
                self.pool.update(event, now_ms)
                if (
                    event.kind in (EndpointListKind.CACHED, EndpointListKind.FAILED)
                    and self.settings.must_subscribe
                ):
                    self.actions.append(SubscribeToEndpoints())
                self.retry_waiting(now_ms)
            case TimerFired(token):
                if token:
                    self.handle_timer(now_ms, token)
                else:
                    self.tick(now_ms)
            case CounterReply():
                self.count(f"counter: {event.outcome.value}")
                name = self.quota.handle_reply(now_ms, event)
                if waiting := self.requests.get(name or ""):
                    waiting.is_counted = event.outcome in (
                        Outcome.OK,
                        Outcome.TIMEOUT,
                    )  # else nothing was added
                    self.decide(now_ms, waiting, event.outcome is Outcome.OK, event.outcome is not Outcome.OK)
                elif name and self.quota.replied_tenant and event.outcome is Outcome.OK:
                    self.quota.refund_counted(self.quota.replied_tenant)  # its client has left
            case AttemptStalled(request_id):
                if self.settings.allows_hedging and (held := self.requests.get(request_id)):
                    self.hedge(now_ms, held)
            case ClientDisconnected(request_id):
                if (left := self.requests.pop(request_id, None)) is not None:
                    self.refund(left)
            case ResponseStarted(request_id, number):
                self.requests.pop(request_id, None)
                if attempt := self.attempts.get((request_id, number)):
                    attempt.response_started_ms = now_ms
            case SuccessorStarted():
                self.actions.append(self.quota.start_handover(now_ms))
            case StateReceived(stocks):
                self.quota.restore(now_ms, stocks)
            case OtherProcessEnded():
                self.quota.end_handover(now_ms)
            case UsageUpdate():
                self.quota.apply_usage_update(now_ms, event)
            case AvoidEndpoint(name, for_ms):
                if known := self.pool.servers.get(name):
                    known.avoid_until_ms = now_ms + for_ms
                    known.next_probe_ms *= for_ms > 0
        return self.actions

    def tick(self, now: float) -> None:
        """Judges pressure, ages out customers, looks at held requests."""
        self.next_tick_ms = now + TICK_MS
        self.actions.append(SetTimer(0, self.next_tick_ms))
        self.capacity.servers_per_gateway = (
            max(1, self.pool.total_servers, len(self.pool.servers)) / self.settings.gateway_count
        )
        self.capacity.end_window(now, [
            (min(now, a.response_started_ms) - a.sent_ms) / a.pending.request_class.latency_objective_ms
            for a in self.attempts.values() if a.sent_ms >= self.resumed_ms
        ])  # fmt: skip
        self.report_state(
            now, "counter mute", self.settings.has_counter and self.quota.is_counter_unavailable
        )
        self.report_state(now, "calls to the counter slowed", self.quota.call_fraction < 0.5)
        health = self.quota.monitor.state(now)
        self.report_state(
            now,
            "counter in doubt",
            health.value if health in (CounterHealth.REPLACED, CounterHealth.SPLIT) else "",
        )
        self.report_state(now, "V binds", self.capacity.capacity_per_s < math.inf)
        self.report_state(now, "no server to send to", not self.pool.servers)
        self.report_state(now, "requests fail on most servers", self.pool.median_failure_rate > 0.2)
        self.report_state(now, "servers avoided", ", ".join(self.pool.detect_outliers(now)))
        if now - self.counts_since_ms >= TALLY_MS and self.counts:
            line = ", ".join(f"{what} {n}" for what, n in sorted(self.counts.items()))
            self.actions.append(LogMessage(f"in {(now - self.counts_since_ms) / 1000.0:.1f} s: {line}"))
            self.counts, self.counts_since_ms = {}, now
        self.quota.evict_idle(now)
        for customer in list(self.quota.unreported_tenants.values()):
            self.actions += self.quota.due_calls(now, customer)
        self.retry_waiting(now)

    def count(self, what: str) -> None:
        """Books what the line of every `TALLY_MS` tells."""
        self.counts[what] = self.counts.get(what, 0) + 1

    def report_state(self, now: float, what: str, state: bool | str) -> None:
        """Logs a state's start and end, each state once in five seconds at most."""
        was, at = self.reported_states.get(what, (False, -math.inf))
        if bool(state) != was and now - at >= 5000.0:
            self.reported_states[what] = (bool(state), now)
            detail = f" ({state})" if state and isinstance(state, str) else ""
            self.actions.append(LogMessage(f"{what}: {'begins' if state else 'ends'}{detail}"))

    def accept(self, now: float, request: Request) -> None:
        """A new request: quota first, then V, then a server."""
        left = request.time_left_ms
        self.count("requests")
        cls = self.classes.get(request.class_name) or RequestClass("", left, 1.0, Idempotency.NON_IDEMPOTENT)
        if left <= 0 or len(self.requests) >= self.settings.max_requests - 1:
            self.count("refused: at the door")
            self.actions.append(Reject(request.request_id, self.settings.max_retry_after_ms))
            return
        self.retry_tokens = min(10.0, self.retry_tokens + 0.2)
        customer = self.quota.tenant_for(now, request)
        opened = PendingRequest(request, cls, customer, now, now + left)
        self.requests[request.request_id] = opened
        hasty = left < 2.0 * self.settings.counter_timeout_ms + TICK_MS  # no time to ask
        if customer is not None and not hasty and self.quota.needs_counter(now, customer, request.units):
            opened.is_counted = True
            if (call := self.quota.call_for_request(now, customer, request)) is not None:
                self.actions.append(call)
                return
        self.decide(now, opened, False, opened.is_counted)

    def decide(self, now: float, opened: PendingRequest, asked: bool, blind: bool = False) -> None:
        """Lets a request go on or refuses it. `asked`: by a word of the moment; `blind`: such a word was
        asked for, and did not come."""
        request, cls, customer = opened.request, opened.request_class, opened.tenant
        if customer is not None:
            value = cls.priority_weight * customer.plan.price
            wait = self.quota.admit(now, customer, request.units, asked, blind)
            many = len(self.attempts) > max(FEW, 2.0 * len(self.pool.servers) / self.settings.gateway_count)
            if wait is None and not self.capacity.admit(value, request.units, cls.latency_objective_ms, many):
                wait, self.quota.rejection_cause = self.settings.max_retry_after_ms, "overload"
            if wait is not None:
                self.count("refused: " + self.quota.rejection_cause)
                if asked and customer is not None:
                    self.quota.refund_counted(customer)
                del self.requests[request.request_id]
                wait = max(1.0, min(wait, self.settings.max_retry_after_ms))
                self.actions.append(Reject(request.request_id, wait))
                return
            # Booked now and not at the sending, so that held requests don't pass a ceiling together.
            self.quota.charge(customer, request.units, opened.is_counted, asked)
            opened.is_charged = True
            self.actions += self.quota.due_calls(now, customer)
        self.dispatch(now, opened)

    def dispatch(self, now: float, opened: PendingRequest) -> None:
        """Starts an attempt; holds or refuses the request where there is no server for it."""
        request, cls = opened.request, opened.request_class
        server = self.pool.pick(now, opened)
        if server is not None:
            self.start(now, opened, server)
            if request.hedge_after_ms > 0 and self.settings.allows_hedging and opened.attempt_count == 1:
                self.schedule(now + request.hedge_after_ms, opened, True)
        else:
            if (
                now - opened.arrived_ms < 0.3 * cls.latency_objective_ms
                and now < opened.deadline_ms - 2 * TICK_MS
            ):
                self.waiting.append(request.request_id)  # a server may come up, or a cold one's turn
            else:
                self.finish(opened)

    def start(self, now: float, opened: PendingRequest, server: Server) -> None:
        """Starts an attempt at this server."""
        request, cls = opened.request, opened.request_class
        if opened.tenant is not None:
            opened.tenant.attempts_in_flight += 1
        mean = self.pool.expected_latency_ms(cls, request.units)
        patience = max(0.5 * cls.latency_objective_ms, 5.0 * mean * max(1.0, self.pool.load_factor))
        late = patience > 0.75 * cls.latency_objective_ms or opened.deadline_ms - now - patience < mean
        if (
            late
            or cls.idempotency is Idempotency.NON_IDEMPOTENT
            or opened.attempt_count >= min(2, self.settings.max_attempts - 1)
        ):
            patience = 0.0  # a second try would come too late: a busy fleet is left to finish its work
        if request.attempt_timeout_ms > 0:
            patience = min(patience or math.inf, request.attempt_timeout_ms)
        self.actions.append(
            StartAttempt(
                request.request_id, server.endpoint.address, patience, self.idempotency_expiry_ms(opened)
            )
        )
        self.attempts[request.request_id, opened.attempt_count] = Attempt(opened, server.endpoint, now, mean)
        opened.attempt_count += 1
        opened.in_flight += 1
        opened.attempted_addresses.append(server.endpoint.address)
        self.pool.record_start(now, server)
        self.capacity.backlog_ms += mean

    def retry_waiting(self, now: float) -> None:
        """Tries held requests again."""
        held, self.waiting = self.waiting, []
        for request_id in held:
            opened = self.requests.get(request_id)
            if opened is None or opened.in_flight:
                continue
            if opened.may_have_run_ms is None or self.may_retry(now, opened, None):
                self.dispatch(now, opened)
            else:
                self.finish(opened)  # what may have run is not sent once the servers may have forgotten it

    def handle_attempt_ended(self, now: float, event: AttemptEnded) -> None:
        """An attempt's outcome: learn from it, then try again where that is allowed, else answer."""
        if (attempt := self.attempts.pop((event.request_id, event.attempt), None)) is None:
            return
        opened = attempt.pending
        self.count(f"attempt: {event.outcome.value}")
        told = attempt.sent_ms >= self.resumed_ms
        heard = event if told else replace(event, outcome=Outcome.CANCELLED)
        self.pool.record_end(now, heard, opened.request_class, opened.request.units)
        if opened.tenant is not None:
            opened.tenant.attempts_in_flight -= 1
            self.quota.mean_attempt_s += (
                0.02 * (event.duration_ms / 1000.0 - self.quota.mean_attempt_s) * told
            )
        self.capacity.backlog_ms = max(0.0, self.capacity.backlog_ms - attempt.expected_latency_ms)
        if event.outcome is Outcome.OK:
            self.capacity.record_completed(now, attempt.expected_latency_ms)
        if event.outcome in (Outcome.OK, Outcome.TIMEOUT) and told:
            self.capacity.record_latency(event.duration_ms, opened.request_class.latency_objective_ms)
        opened.in_flight -= 1
        opened.has_reached_server |= event.outcome not in (Outcome.UNREACHABLE, Outcome.NOT_SENT)
        if event.request_id not in self.requests:
            self.refund(opened)
            return
        if event.is_final:
            del self.requests[event.request_id]
            if opened.in_flight:  # a second copy, whose answer nobody waits for
                out = [n for n in range(opened.attempt_count) if (event.request_id, n) in self.attempts]
                self.actions += [CancelAttempt(event.request_id, n) for n in out]
            return
        if event.outcome not in DID_NOT_RUN and opened.may_have_run_ms is None:
            opened.may_have_run_ms = attempt.sent_ms
            opened.pinned_endpoint = attempt.endpoint
        if opened.in_flight > 0:
            return
        # The budget spares servers in trouble further work; one that can't be reached has had none.
        price = 0.0 if event.outcome is Outcome.UNREACHABLE else 1.0
        if self.may_retry(now + event.retry_delay_ms, opened, event) and self.retry_tokens >= price:
            self.retry_tokens -= price
            if event.retry_delay_ms > 0:
                self.schedule(now + event.retry_delay_ms, opened, False)
            else:
                self.dispatch(now, opened)
        else:
            self.finish(opened)

    def schedule(self, at: float, opened: PendingRequest, copy: bool) -> None:
        """Comes back to a request."""
        self.last_token += 1
        self.scheduled[self.last_token] = opened, copy
        self.actions.append(SetTimer(self.last_token, at))

    def handle_timer(self, now: float, token: int) -> None:
        """A pause before a further attempt is over, or the time for a second copy has come."""
        opened, copy = self.scheduled.pop(token, (None, False))
        if opened is None or self.requests.get(opened.request.request_id) is not opened:
            return
        if copy:
            self.hedge(now, opened)
        elif not opened.in_flight:
            if self.may_retry(now, opened, None):
                self.dispatch(now, opened)
            else:
                self.finish(opened)

    def hedge(self, now: float, opened: PendingRequest) -> None:
        """A second copy beside the first, where that is out alone and a repeat does no harm."""
        first = self.attempts.get((opened.request.request_id, 0))
        if first is None or opened.in_flight != 1 or opened.attempt_count != 1 or self.retry_tokens < 1.0:
            return
        if opened.request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return
        if opened.request_class.idempotency is Idempotency.WITH_KEY:
            opened.may_have_run_ms, opened.pinned_endpoint = (
                first.sent_ms,
                first.endpoint,
            )  # what is out counts as run
        server = self.pool.pick(now, opened) if self.may_retry(now, opened, None) else None
        if server is not None and server.endpoint.address not in opened.attempted_addresses:
            self.retry_tokens -= 1.0
            self.start(now, opened, server)

    def idempotency_expiry_ms(self, opened: PendingRequest) -> float:
        """When the servers may have forgotten a keyed request that may have run; 0: no such time."""
        if opened.request_class.idempotency is not Idempotency.WITH_KEY or opened.may_have_run_ms is None:
            return 0.0
        return opened.may_have_run_ms + opened.request_class.idempotency_window_ms - 5.0

    def may_retry(self, now: float, opened: PendingRequest, event: AttemptEnded | None) -> bool:
        """Whether another attempt is allowed and of use."""
        cls = opened.request_class
        useful = (
            opened.deadline_ms
            if cls.late_weight_fraction > 0
            else min(opened.deadline_ms, opened.arrived_ms + cls.latency_objective_ms)
        )
        if opened.attempt_count >= self.settings.max_attempts or (
            event and event.outcome is Outcome.NOT_SENT
        ):
            return False
        if now + 0.5 * self.pool.expected_latency_ms(cls, opened.request.units) > useful:
            return False
        if opened.may_have_run_ms is None or cls.idempotency is Idempotency.IDEMPOTENT:
            return True
        return cls.idempotency is Idempotency.WITH_KEY and now < self.idempotency_expiry_ms(opened)

    def refund(self, opened: PendingRequest) -> None:
        """Gives the units of a request back that is over, if none of its attempts came to a server."""
        if (
            opened.tenant is not None
            and opened.is_charged
            and not opened.has_reached_server
            and not opened.in_flight
        ):
            opened.is_charged = False
            self.quota.refund(opened.tenant, opened.request.units)

    def finish(self, opened: PendingRequest) -> None:
        """The final answer of a request that was not served: refused only if that promises nothing false."""
        self.refund(opened)
        name, clear = opened.request.request_id, opened.may_have_run_ms is None
        self.count("refused: no attempt" if clear else "failed")
        del self.requests[name]
        self.actions.append(Reject(name, self.settings.max_retry_after_ms) if clear else Fail(name))
