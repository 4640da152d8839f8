"""Exchanges usage and endpoint health between the decision engine and the members.

Admitted units and unreachable endpoints are published to the other members. Before each request the engine is
given what they reported. This module does no I/O of its own.
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

# Above this number, requests are decided without the usage at other gateways, and theirs is not published.
MAX_PENDING_REQUESTS = 20_000


class UsageReporter:
    """A decision handler in front of the decision engine, to which it passes all events."""

    def __init__(
        self, engine: DecisionHandler, settings: Settings, usage: AccountUsage, health: EndpointHealth,
        publish: Callable[[Row], None], known_share: Callable[[int], float], clock: Callable[[], float],
    ) -> None:  # fmt: skip
        """`engine`: the decision engine. `publish` sends a row to the members that need it. `known_share`
        returns, for a subset of a given number of gateways, the share whose usage is known here. `clock`
        returns the seconds by which the ages of rows are measured."""
        # Called with each account that sends a request and its plan; the usage audit sets it.
        self.note_account: Callable[[str, Plan], None] = lambda account, plan: None
        self.now_ms = 0.0  # wall-clock time of the last event, by which windows are identified
        self.engine, self.usage, self.health, self.clock = engine, usage, health, clock
        self.publish, self.known_share = publish, known_share
        self.active_endpoints: set[str] = set()
        self.plans = {plan.name: plan for plan in settings.plans}
        self.pending_requests: dict[str, Request] = {}  # not yet admitted or rejected

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Passes an event to the engine, publishes what follows from it, and returns the engine's actions."""
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
        """Gives the engine what it needs before a request: the endpoints to avoid, and the account's usage at
        other gateways in this window and the one before."""
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
        """Publishes the usage of a request whose first attempt starts."""
        plan = self.plans[request.plan]
        window = window_start_ms(now_ms, request.tenant, plan)
        row = self.usage.add_admitted(request.tenant, window, request.units, request.gateway_spread, plan)
        self.publish(row)

    def apply_endpoint_list(self, event: EndpointList) -> None:
        """Updates the active endpoints from a list or from changes to it."""
        if event.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            self.active_endpoints.clear()
        for entry in event.endpoints:
            if entry.state is EndpointState.ACTIVE:
                self.active_endpoints.add(entry.address)
            else:
                self.active_endpoints.discard(entry.address)

    def receive(self, received: ReceivedRow) -> None:
        """Handles a gossiped row of another process. Only rows on endpoint health concern the engine."""
        if received.row.kind is RowKind.HEALTH:
            self.health.receive(self.clock(), received.row, received.age_s)
