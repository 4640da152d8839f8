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
    DID_NOT_RUN,
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


class DecisionEngine:
    """Follows each request to its one final answer."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.classes = {cls.name: cls for cls in settings.classes}
        self.quota = QuotaAccounting(settings, self.rng)
        self.fleet = ServerPool(settings, self.rng)
        self.pressure = CapacityEstimate()
        self.requests: dict[str, PendingRequest] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.held: list[str] = []
        self.waits: dict[
            int, tuple[PendingRequest, bool]
        ] = {}  # by timer: what is to be tried then; a second copy?
        self.serial = 0
        self.retries = 5.0  # further attempts that may be made; each request adds a fifth
        self.told: dict[str, tuple[bool, float]] = {}  # states told to the operators, and when
        self.tally: dict[str, int] = {}  # what happened since the last line about it
        self.tallied_at = 0.0
        self.tick_at = math.inf  # when the next tick is due
        self.woke = -math.inf  # when this process last went on after it had stood still
        self.actions: list[Action] = []

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Takes one event, returns what to do."""
        self.actions = []
        if self.quota.started == math.inf:
            self.quota.started = self.tallied_at = now_ms
            self.tick_at = now_ms + TICK_MS * self.rng.uniform(0.5, 1.5)
            self.actions.append(SetTimer(0, self.tick_at))
        if now_ms - self.tick_at > STOOD_MS:
            # What was out meanwhile tells how long this process stood, and nothing of those that it asked.
            self.woke, self.tick_at = now_ms, now_ms
            self.pressure.stood(now_ms)
            for server in self.fleet.servers.values():
                server.silent_since = None
        match event:
            case Request():
                self.accept(now_ms, event)
            case AttemptEnded():
                self.ended(now_ms, event)
            case EndpointList():
                self.fleet.update(event, now_ms)
                if (
                    event.kind in (EndpointListKind.CACHED, EndpointListKind.FAILED)
                    and self.settings.must_subscribe
                ):
                    self.actions.append(SubscribeToEndpoints())
                self.resume(now_ms)
            case TimerFired(token):
                if token:
                    self.due(now_ms, token)
                else:
                    self.tick(now_ms)
            case CounterReply():
                self.count(f"counter: {event.outcome.value}")
                name = self.quota.counted(now_ms, event)
                if waiting := self.requests.get(name or ""):
                    waiting.counted = event.outcome in (Outcome.OK, Outcome.TIMEOUT)  # else nothing was added
                    self.decide(now_ms, waiting, event.outcome is Outcome.OK, event.outcome is not Outcome.OK)
                elif name and self.quota.asker and event.outcome is Outcome.OK:
                    self.quota.give_back(self.quota.asker)  # its client has left
            case AttemptStalled(request_id):
                if self.settings.allows_hedging and (held := self.requests.get(request_id)):
                    self.copy(now_ms, held)
            case ClientDisconnected(request_id):
                if (left := self.requests.pop(request_id, None)) is not None:
                    self.unbook(left)
            case ResponseStarted(request_id, number):
                self.requests.pop(request_id, None)
                if attempt := self.attempts.get((request_id, number)):
                    attempt.began = now_ms
            case SuccessorStarted():
                self.actions.append(self.quota.beside(now_ms))
            case StateReceived(stocks):
                self.quota.take_over(now_ms, stocks)
            case OtherProcessEnded():
                self.quota.alone(now_ms)
            case UsageUpdate():
                self.quota.used(now_ms, event)
            case AvoidEndpoint(name, for_ms):
                if known := self.fleet.servers.get(name):
                    known.avoid_to = now_ms + for_ms
                    known.look_at *= for_ms > 0
        return self.actions

    def tick(self, now: float) -> None:
        """Judges pressure, ages out customers, looks at held requests."""
        self.tick_at = now + TICK_MS
        self.actions.append(SetTimer(0, self.tick_at))
        self.pressure.part = max(1, self.fleet.of, len(self.fleet.servers)) / self.settings.gateway_count
        self.pressure.window(now, [
            (min(now, a.began) - a.sent) / a.opened.cls.latency_objective_ms
            for a in self.attempts.values() if a.sent >= self.woke
        ])  # fmt: skip
        self.tell(now, "counter mute", self.settings.has_counter and self.quota.mute)
        self.tell(now, "calls to the counter slowed", self.quota.share < 0.5)
        health = self.quota.watch.state(now)
        self.tell(
            now,
            "counter in doubt",
            health.value if health in (CounterHealth.REPLACED, CounterHealth.SPLIT) else "",
        )
        self.tell(now, "V binds", self.pressure.capacity < math.inf)
        self.tell(now, "no server to send to", not self.fleet.servers)
        self.tell(now, "requests fail on most servers", self.fleet.usual > 0.2)
        self.tell(now, "servers avoided", ", ".join(self.fleet.judge(now)))
        if now - self.tallied_at >= TALLY_MS and self.tally:
            line = ", ".join(f"{what} {n}" for what, n in sorted(self.tally.items()))
            self.actions.append(LogMessage(f"in {(now - self.tallied_at) / 1000.0:.1f} s: {line}"))
            self.tally, self.tallied_at = {}, now
        self.quota.idle(now)
        for customer in list(self.quota.due.values()):
            self.actions += self.quota.calls(now, customer)
        self.resume(now)

    def count(self, what: str) -> None:
        """Books what the line of every `TALLY_MS` tells."""
        self.tally[what] = self.tally.get(what, 0) + 1

    def tell(self, now: float, what: str, state: bool | str) -> None:
        """Logs a state's start and end, each state once in five seconds at most."""
        was, at = self.told.get(what, (False, -math.inf))
        if bool(state) != was and now - at >= 5000.0:
            self.told[what] = (bool(state), now)
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
        self.retries = min(10.0, self.retries + 0.2)
        customer = self.quota.customer(now, request)
        opened = PendingRequest(request, cls, customer, now, now + left)
        self.requests[request.request_id] = opened
        hasty = left < 2.0 * self.settings.counter_timeout_ms + TICK_MS  # no time to ask
        if customer is not None and not hasty and self.quota.unsure(now, customer, request.units):
            opened.counted = True
            if (call := self.quota.ask(now, customer, request)) is not None:
                self.actions.append(call)
                return
        self.decide(now, opened, False, opened.counted)

    def decide(self, now: float, opened: PendingRequest, asked: bool, blind: bool = False) -> None:
        """Lets a request go on or refuses it. `asked`: by a word of the moment; `blind`: such a word was
        asked for, and did not come."""
        request, cls, customer = opened.request, opened.cls, opened.customer
        if customer is not None:
            value = cls.priority_weight * customer.plan.price
            wait = self.quota.admit(now, customer, request.units, asked, blind)
            many = len(self.attempts) > max(FEW, 2.0 * len(self.fleet.servers) / self.settings.gateway_count)
            if wait is None and not self.pressure.admit(value, request.units, cls.latency_objective_ms, many):
                wait, self.quota.cause = self.settings.max_retry_after_ms, "overload"
            if wait is not None:
                self.count("refused: " + self.quota.cause)
                if asked and customer is not None:
                    self.quota.give_back(customer)
                del self.requests[request.request_id]
                wait = max(1.0, min(wait, self.settings.max_retry_after_ms))
                self.actions.append(Reject(request.request_id, wait))
                return
            # Booked now and not at the sending, so that held requests don't pass a ceiling together.
            self.quota.take(customer, request.units, opened.counted, asked)
            opened.booked = True
            self.actions += self.quota.calls(now, customer)
        self.send(now, opened)

    def send(self, now: float, opened: PendingRequest) -> None:
        """Starts an attempt; holds or refuses the request where there is no server for it."""
        request, cls = opened.request, opened.cls
        server = self.fleet.pick(now, opened)
        if server is not None:
            self.start(now, opened, server)
            if request.hedge_after_ms > 0 and self.settings.allows_hedging and opened.attempts == 1:
                self.later(now + request.hedge_after_ms, opened, True)
        else:
            if now - opened.came < 0.3 * cls.latency_objective_ms and now < opened.deadline - 2 * TICK_MS:
                self.held.append(request.request_id)  # a server may come up, or a cold one's turn
            else:
                self.finish(opened)

    def start(self, now: float, opened: PendingRequest, server: Server) -> None:
        """Starts an attempt at this server."""
        request, cls = opened.request, opened.cls
        if opened.customer is not None:
            opened.customer.open += 1
        mean = self.fleet.mean(cls, request.units)
        patience = max(0.5 * cls.latency_objective_ms, 5.0 * mean * max(1.0, self.fleet.load))
        late = patience > 0.75 * cls.latency_objective_ms or opened.deadline - now - patience < mean
        if (
            late
            or cls.idempotency is Idempotency.NON_IDEMPOTENT
            or opened.attempts >= min(2, self.settings.max_attempts - 1)
        ):
            patience = 0.0  # a second try would come too late: a busy fleet is left to finish its work
        if request.attempt_timeout_ms > 0:
            patience = min(patience or math.inf, request.attempt_timeout_ms)
        self.actions.append(
            StartAttempt(request.request_id, server.entry.address, patience, self.forgotten(opened))
        )
        self.attempts[request.request_id, opened.attempts] = Attempt(opened, server.entry, now, mean)
        opened.attempts += 1
        opened.out += 1
        opened.tried.append(server.entry.address)
        self.fleet.sent(now, server)
        self.pressure.backlog += mean

    def resume(self, now: float) -> None:
        """Tries held requests again."""
        held, self.held = self.held, []
        for request_id in held:
            opened = self.requests.get(request_id)
            if opened is None or opened.out:
                continue
            if opened.may_run_at is None or self.may_repeat(now, opened, None):
                self.send(now, opened)
            else:
                self.finish(opened)  # what may have run is not sent once the servers may have forgotten it

    def ended(self, now: float, event: AttemptEnded) -> None:
        """An attempt's outcome: learn from it, then try again where that is allowed, else answer."""
        if (attempt := self.attempts.pop((event.request_id, event.attempt), None)) is None:
            return
        opened = attempt.opened
        self.count(f"attempt: {event.outcome.value}")
        told = attempt.sent >= self.woke
        heard = event if told else replace(event, outcome=Outcome.CANCELLED)
        self.fleet.ended(now, heard, opened.cls, opened.request.units)
        if opened.customer is not None:
            opened.customer.open -= 1
            self.quota.hold_s += 0.02 * (event.duration_ms / 1000.0 - self.quota.hold_s) * told
        self.pressure.backlog = max(0.0, self.pressure.backlog - attempt.work)
        if event.outcome is Outcome.OK:
            self.pressure.answered(now, attempt.work)
        if event.outcome in (Outcome.OK, Outcome.TIMEOUT) and told:
            self.pressure.heard(event.duration_ms, opened.cls.latency_objective_ms)
        opened.out -= 1
        opened.reached |= event.outcome not in (Outcome.UNREACHABLE, Outcome.NOT_SENT)
        if event.request_id not in self.requests:
            self.unbook(opened)
            return
        if event.is_final:
            del self.requests[event.request_id]
            if opened.out:  # a second copy, whose answer nobody waits for
                out = [n for n in range(opened.attempts) if (event.request_id, n) in self.attempts]
                self.actions += [CancelAttempt(event.request_id, n) for n in out]
            return
        if event.outcome not in DID_NOT_RUN and opened.may_run_at is None:
            opened.may_run_at = attempt.sent
            opened.home = attempt.server
        if opened.out > 0:
            return
        # The budget spares servers in trouble further work; one that can't be reached has had none.
        price = 0.0 if event.outcome is Outcome.UNREACHABLE else 1.0
        if self.may_repeat(now + event.retry_delay_ms, opened, event) and self.retries >= price:
            self.retries -= price
            if event.retry_delay_ms > 0:
                self.later(now + event.retry_delay_ms, opened, False)
            else:
                self.send(now, opened)
        else:
            self.finish(opened)

    def later(self, at: float, opened: PendingRequest, copy: bool) -> None:
        """Comes back to a request."""
        self.serial += 1
        self.waits[self.serial] = opened, copy
        self.actions.append(SetTimer(self.serial, at))

    def due(self, now: float, token: int) -> None:
        """A pause before a further attempt is over, or the time for a second copy has come."""
        opened, copy = self.waits.pop(token, (None, False))
        if opened is None or self.requests.get(opened.request.request_id) is not opened:
            return
        if copy:
            self.copy(now, opened)
        elif not opened.out:
            if self.may_repeat(now, opened, None):
                self.send(now, opened)
            else:
                self.finish(opened)

    def copy(self, now: float, opened: PendingRequest) -> None:
        """A second copy beside the first, where that is out alone and a repeat does no harm."""
        first = self.attempts.get((opened.request.request_id, 0))
        if first is None or opened.out != 1 or opened.attempts != 1 or self.retries < 1.0:
            return
        if opened.cls.idempotency is Idempotency.NON_IDEMPOTENT:
            return
        if opened.cls.idempotency is Idempotency.WITH_KEY:
            opened.may_run_at, opened.home = first.sent, first.server  # what is out counts as run
        server = self.fleet.pick(now, opened) if self.may_repeat(now, opened, None) else None
        if server is not None and server.entry.address not in opened.tried:
            self.retries -= 1.0
            self.start(now, opened, server)

    def forgotten(self, opened: PendingRequest) -> float:
        """When the servers may have forgotten a keyed request that may have run; 0: no such time."""
        if opened.cls.idempotency is not Idempotency.WITH_KEY or opened.may_run_at is None:
            return 0.0
        return opened.may_run_at + opened.cls.idempotency_window_ms - 5.0

    def may_repeat(self, now: float, opened: PendingRequest, event: AttemptEnded | None) -> bool:
        """Whether another attempt is allowed and of use."""
        cls = opened.cls
        useful = (
            opened.deadline
            if cls.late_weight_fraction > 0
            else min(opened.deadline, opened.came + cls.latency_objective_ms)
        )
        if opened.attempts >= self.settings.max_attempts or (event and event.outcome is Outcome.NOT_SENT):
            return False
        if now + 0.5 * self.fleet.mean(cls, opened.request.units) > useful:
            return False
        if opened.may_run_at is None or cls.idempotency is Idempotency.IDEMPOTENT:
            return True
        return cls.idempotency is Idempotency.WITH_KEY and now < self.forgotten(opened)

    def unbook(self, opened: PendingRequest) -> None:
        """Gives the units of a request back that is over, if none of its attempts came to a server."""
        if opened.customer is not None and opened.booked and not opened.reached and not opened.out:
            opened.booked = False
            self.quota.put_back(opened.customer, opened.request.units)

    def finish(self, opened: PendingRequest) -> None:
        """The final answer of a request that was not served: refused only if that promises nothing false."""
        self.unbook(opened)
        name, clear = opened.request.request_id, opened.may_run_at is None
        self.count("refused: no attempt" if clear else "failed")
        del self.requests[name]
        self.actions.append(Reject(name, self.settings.max_retry_after_ms) if clear else Fail(name))
