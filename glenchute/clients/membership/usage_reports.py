"""The decision engine with the members' usage and endpoint health in front of it.

What is admitted, and which endpoints could not be reached, is published for the other members; before each
request the engine is given what they reported. No socket of its own.
"""

from __future__ import annotations

from collections.abc import Callable

from glenchute.core.types import DecisionHandler
from glenchute.policy.actions import Action, Fail, Reject, StartAttempt
from glenchute.policy.admission.windows import window_start_ms
from glenchute.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Event,
    Request,
    UsageUpdate,
)
from glenchute.policy.membership.endpoint_health import EndpointHealth
from glenchute.policy.membership.gossip import ReceivedRow
from glenchute.policy.membership.replica import Row, RowKind
from glenchute.policy.membership.usage import AccountUsage
from glenchute.policy.settings import Plan, Settings

MAX_PENDING_REQUESTS = 20_000


class UsageReporter:
    """Handles events in the place of the decision engine, and passes them on to it."""

    def __init__(
        self, engine: DecisionHandler, settings: Settings, usage: AccountUsage, health: EndpointHealth,
        publish: Callable[[Row], None], known_share: Callable[[int], float], clock: Callable[[], float],
    ) -> None:  # fmt: skip
        """`engine`: the decision engine. `publish` sends a row to the members that need it. `known_share`: of
        a subset of so many gateways, the share whose usage is known here. `clock`: seconds, by which the ages
        of rows are counted."""
        self.note_account: Callable[[str, Plan], None] = lambda customer, plan: None  # for the usage audit
        self.now_ms = 0.0  # at the last event, by the clock that names windows
        self.engine, self.usage, self.health, self.clock = engine, usage, health, clock
        self.publish, self.known_share = publish, known_share
        self.active_endpoints: set[str] = set()
        self.plans = {plan.name: plan for plan in settings.plans}
        self.pending_requests: dict[str, Request] = {}  # neither admitted nor rejected yet

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """One event for the engine; its actions."""
        self.now_ms = now_ms
        if isinstance(event, Request):
            self.prepare_request(now_ms, event)
        elif isinstance(event, ClientDisconnected):
            self.pending_requests.pop(event.request_id, None)
        elif isinstance(event, AttemptEnded):
            row = self.health.attempt_ended(self.clock(), event.address, event.outcome)
            if row is not None:
                self.publish(row)
        elif isinstance(event, EndpointList):
            self.apply_endpoint_list(event)
        actions = self.engine.handle(now_ms, event)
        for action in actions:
            if isinstance(action, StartAttempt | Reject | Fail):
                request = self.pending_requests.pop(action.request_id, None)
                if request is not None and isinstance(action, StartAttempt):
                    self.report_admitted(now_ms, request)
        return actions

    def prepare_request(self, now_ms: float, request: Request) -> None:
        """Before a request: the engine is given the avoided endpoints and the account's usage elsewhere, of
        this window and the one before."""
        for avoid in self.health.take_changes(self.clock(), len(self.active_endpoints)):
            self.engine.handle(now_ms, avoid)
        plan = self.plans.get(request.plan)
        if plan is None or not plan.rate_per_s or len(self.pending_requests) >= MAX_PENDING_REQUESTS:
            return
        self.note_account(request.tenant, plan)
        window = window_start_ms(now_ms, request.tenant, plan)
        share = self.known_share(request.gateway_spread)
        units = self.usage.admitted_by_peers(request.tenant, window)
        previous_window = window_start_ms(window - 1.0, request.tenant, plan)
        previous_units = self.usage.admitted_by_peers(request.tenant, previous_window)
        self.engine.handle(now_ms, UsageUpdate(request, window, units, previous_units, share))
        self.pending_requests[request.request_id] = request

    def report_admitted(self, now_ms: float, request: Request) -> None:
        """The request's first attempt starts: its units are used."""
        plan = self.plans[request.plan]
        window = window_start_ms(now_ms, request.tenant, plan)
        row = self.usage.add_admitted(request.tenant, window, request.units, request.gateway_spread, plan)
        self.publish(row)

    def apply_endpoint_list(self, event: EndpointList) -> None:
        """The list, or changes to it."""
        if event.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            self.active_endpoints.clear()
        for entry in event.endpoints:
            if entry.state is EndpointState.ACTIVE:
                self.active_endpoints.add(entry.address)
            else:
                self.active_endpoints.discard(entry.address)

    def receive(self, received: ReceivedRow) -> None:
        """A row of another process; only endpoint health concerns the engine."""
        if received.row.kind is RowKind.HEALTH:
            self.health.receive(self.clock(), received.row, received.age_s)
