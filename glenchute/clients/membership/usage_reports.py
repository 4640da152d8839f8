"""The decision module behind the fleet's words: what goes on, and which servers could not be reached, is
written down for the others; before each request the module is told what they said. No socket of its own."""

from __future__ import annotations

from collections.abc import Callable

from glenchute.core.types import DecisionHandler
from glenchute.policy.actions import Action, Fail, Reject, StartAttempt
from glenchute.policy.admission.windows import window_start
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

MOST_OPEN = 20_000


class UsageReporter:
    """The decision module, with the fleet's ears before it."""

    def __init__(
        self,
        module: DecisionHandler,
        made: Settings,
        use: AccountUsage,
        health: EndpointHealth,
        tell: Callable[[Row], None],
        share: Callable[[int], float],
        clock: Callable[[], float],
    ) -> None:
        """`share`: of a set of so many gateways, the part whose use is known here. `clock`: seconds, as the
        rows' ages are counted."""
        self.note_account: Callable[[str, Plan], None] = lambda customer, plan: None  # for the audit of use
        self.now_ms = 0.0  # of the windows' clock, at the last event
        self.module, self.usage, self.health, self.clock = module, use, health, clock
        self.publish, self.known_share = tell, share
        self.active_endpoints: set[str] = set()  # on the list
        self.plans = {plan.name: plan for plan in made.plans}
        self.pending_requests: dict[str, Request] = {}  # requests that have not gone on

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """One event for the module."""
        self.now_ms = now_ms
        if isinstance(event, Request):
            for avoid in self.health.take_changes(self.clock(), len(self.active_endpoints)):
                self.module.handle(now_ms, avoid)
            plan = self.plans.get(event.plan)
            if plan is not None and plan.rate_per_s and len(self.pending_requests) < MOST_OPEN:
                self.note_account(event.tenant, plan)
                window, share = (
                    window_start(now_ms, event.tenant, plan),
                    self.known_share(event.gateway_spread),
                )
                units = self.usage.admitted_by_peers(event.tenant, window)
                last = window_start(window - 1.0, event.tenant, plan)
                before = self.usage.admitted_by_peers(event.tenant, last)
                self.module.handle(now_ms, UsageUpdate(event, window, units, before, share))
                self.pending_requests[event.request_id] = event
        elif isinstance(event, ClientDisconnected):
            self.pending_requests.pop(event.request_id, None)
        elif isinstance(event, AttemptEnded):
            row = self.health.attempt_ended(self.clock(), event.address, event.outcome)
            if row is not None:
                self.publish(row)
        elif isinstance(event, EndpointList):
            self.apply_endpoint_list(event)
        actions = self.module.handle(now_ms, event)
        for action in actions:
            if isinstance(action, StartAttempt | Reject | Fail):
                found = self.pending_requests.pop(action.request_id, None)
                if found is not None and isinstance(action, StartAttempt):
                    plan = self.plans[found.plan]
                    window = window_start(now_ms, found.tenant, plan)
                    self.publish(
                        self.usage.add_admitted(found.tenant, window, found.units, found.gateway_spread, plan)
                    )
        return actions

    def apply_endpoint_list(self, event: EndpointList) -> None:
        """Which servers there are."""
        if event.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            self.active_endpoints.clear()
        for entry in event.endpoints:
            active = entry.state is EndpointState.ACTIVE
            (self.active_endpoints.add if active else self.active_endpoints.discard)(entry.address)

    def receive(self, taken: ReceivedRow) -> None:
        """A row of another process that the module is to know of."""
        if taken.row.kind is RowKind.HEALTH:
            self.health.receive(self.clock(), taken.row, taken.age_s)
