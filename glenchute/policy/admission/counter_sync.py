"""Synchronisation with the shared counter: when to call it, and what its replies teach.

The counter holds, for each tenant and window, the units that all gateways have admitted. A gateway reports
its own units, and learns from the total what the others have used. A request that could empty the quota waits
for the reply to a call of its own.
"""

from __future__ import annotations

import math
import random
from collections import deque

from ..actions import Action, IncrementCounter
from ..events import DID_NOT_RUN, CounterReply, Outcome, Request
from ..settings import Settings
from . import local_share
from .call_pacing import CALL_GAP_MS, CallPacing
from .counter_calls import CounterCall, CounterCalls
from .epoch_markers import WindowCounter
from .tenant import Tenant
from .tenants import TenantTable
from .windows import FILL_WINDOW_S, TENANT_IDLE_MS

REPORT_GAP_MS = 1000.0  # between two reports of a tenant whose bucket is below half ...
CALM_REPORT_GAP_MS = 2000.0  # ... and above
URGENT_FRACTION = 0.5  # of the headroom: more that all gateways could have admitted is urgent


class CounterSync:
    """Calls to the counter, and what follows from their replies."""

    def __init__(self, settings: Settings, rng: random.Random, tenants: TenantTable) -> None:
        self.settings = settings
        self.rng = rng
        self.tenants = tenants
        self.pacing: CallPacing = tenants.pacing
        self.calls: CounterCalls = tenants.calls
        self.replied_tenant: Tenant | None = None  # of the last call that ended, late replies aside
        self.reserved_units = 0.0  # that its call had added ahead for a request, in the window in force

    # --- when to call -------------------------------------------------------------------------------------

    def needs_total(self, now_ms: float, tenant: Tenant, units: float) -> bool:
        """Whether a request has to wait for a total: the other gateways may have used what is left. Of few
        gateways each has totals often and seldom needs one; of hundreds, each sees a tenant once in a window
        or never."""
        headroom = self.tenants.headroom(tenant)
        if self.pacing.is_unavailable or headroom == math.inf or tenant.calls_in_flight:
            return False
        if now_ms - tenant.last_call_ms < CALL_GAP_MS / self.pacing.call_fraction:
            return False
        total_age_ms = now_ms - tenant.counter_total_ms
        is_known_empty = headroom < units and total_age_ms < 1000.0 * FILL_WINDOW_S
        possible_units = (max(0.0, tenant.unreported_units) + units) * tenant.gateway_spread
        return possible_units >= URGENT_FRACTION * headroom and not is_known_empty

    def call_for_request(self, now_ms: float, tenant: Tenant, request: Request) -> IncrementCounter | None:
        """The call that a request waits for; None if it is not made, as the counter is overloaded. Those made
        reserve the units of those that are not."""
        if self.rng.random() > self.pacing.call_fraction:
            return None
        reserved_units = request.units / self.pacing.call_fraction
        return self.make_call(now_ms, tenant, reserved_units, request.request_id)

    def make_call(
        self, now_ms: float, tenant: Tenant, reserved_units: float = 0.0, request_id: str | None = None
    ) -> IncrementCounter:
        """Reports what is new of a tenant, and reserves units for a request that waits for the reply.

        Under a ceiling nothing is ever taken off a total: what is taken off was added to the memory of then,
        which may be lost, and a fresh memory would hold less than it has granted.
        """
        window_counter = tenant.window_counter
        assert window_counter is not None
        units = round(tenant.unreported_units + reserved_units, 3)
        reported_units = max(0.0, units) if tenant.plan.ceiling_rate_per_s else units
        marker = window_counter.take_marker()
        is_complete = tenant.unreported_units >= 0.0
        call = CounterCall(
            tenant, window_counter, reported_units, marker, request_id, is_complete, reserved_units
        )
        self.calls.in_flight.setdefault(tenant.counter_key, deque()).append(call)
        tenant.unreported_units, tenant.last_call_ms = round(units - reported_units, 3), now_ms
        tenant.calls_in_flight += 1
        self.pacing.record_call(now_ms)
        return IncrementCounter(tenant.counter_key, round(reported_units + marker, 3), TENANT_IDLE_MS)

    def due_calls(self, now_ms: float, tenant: Tenant) -> list[Action]:
        """Reports what is new of a tenant, the sooner the nearer its bucket is to empty."""
        self.tenants.refresh(now_ms, tenant)
        unreported_units = tenant.unreported_units
        is_refund = unreported_units < 0.0
        if unreported_units == 0.0 or (is_refund and tenant.plan.ceiling_rate_per_s):
            self.tenants.unreported.pop(tenant.tenant_id, None)
            return []
        if tenant.calls_in_flight or (is_refund and self.pacing.call_fraction < 1.0):
            return []
        if self.pacing.is_unavailable:
            is_early = now_ms < self.pacing.next_probe_ms
        else:
            is_early = now_ms - tenant.last_call_ms < self.report_gap_ms(tenant)
        return [] if is_early else [self.make_call(now_ms, tenant)]

    def report_gap_ms(self, tenant: Tenant) -> float:
        """Least time between two reports of a tenant."""
        spread_units = tenant.unreported_units * tenant.gateway_spread
        burst_units = tenant.plan.burst_units
        is_urgent = abs(tenant.unreported_units) * tenant.gateway_spread >= (
            URGENT_FRACTION * self.tenants.headroom(tenant)
        )
        is_calm = tenant.bucket_units - spread_units > 0.5 * burst_units > 0
        gap_ms = CALL_GAP_MS if is_urgent else CALM_REPORT_GAP_MS if is_calm else REPORT_GAP_MS
        return gap_ms / self.pacing.call_fraction

    # --- replies ------------------------------------------------------------------------------------------

    def handle_reply(self, now_ms: float, reply: CounterReply) -> str | None:
        """How a call ended. Returns the request that waits for it."""
        if reply.is_late:
            self.handle_late_reply(now_ms, reply)
            return None
        if not (calls := self.calls.in_flight.get(reply.key)):
            return None
        call = calls.popleft()
        if not calls:
            del self.calls.in_flight[reply.key]
        tenant = call.tenant
        is_current = call.window_counter is tenant.window_counter
        self.replied_tenant = tenant
        self.reserved_units = call.reserved_units if is_current else 0.0
        self.tenants.refresh(now_ms, tenant)
        is_current = call.window_counter is tenant.window_counter
        if is_current:
            tenant.calls_in_flight -= 1
        is_late = self.pacing.record_timing(reply.duration_ms, reply.outcome is Outcome.TIMEOUT)
        if reply.outcome is not Outcome.OK:
            self.handle_failure(now_ms, call, reply.outcome, is_current)
            return call.request_id
        self.pacing.record_reply(is_late)
        if is_current:
            tenant.own_units_since_reply += call.units
            tenant.is_last_call_complete = call.is_complete
            # Replies come in order: those to the calls before this one never will.
            self.calls.timed_out.pop(tenant.counter_key, None)
        self.apply_total(now_ms, tenant, call.window_counter, reply.total, call.units, call.marker, 0.0)
        return call.request_id

    def handle_failure(self, now_ms: float, call: CounterCall, outcome: Outcome, is_current: bool) -> None:
        """A call had no reply, or was rejected. What is not proven never to have been added may have been,
        and adding it twice would be worse than losing it."""
        tenant = call.tenant
        is_added_perhaps = outcome not in DID_NOT_RUN
        if not is_added_perhaps:
            call.window_counter.marker_not_added(call.marker)
        self.pacing.record_failure(now_ms, outcome is Outcome.REJECTED)
        if not is_current:
            return
        if is_added_perhaps:
            tenant.own_units_since_reply += call.units
        elif call.request_id is None:
            tenant.unreported_units += call.units
        if outcome is Outcome.TIMEOUT:  # a late reply may still come
            self.calls.timed_out.setdefault(tenant.counter_key, deque()).append(call)

    def handle_late_reply(self, now_ms: float, reply: CounterReply) -> None:
        """What became of a call that had no reply in time. A slow counter is available, and its totals are as
        true; no request waits for them any more."""
        if not (calls := self.calls.timed_out.get(reply.key)):
            return  # of a window that has ended
        call = calls.popleft()
        tenant = call.tenant
        if reply.outcome is Outcome.OK:
            self.pacing.consecutive_failures = 0
            later_units = sum(later.units for later in calls)
            self.apply_total(
                now_ms, tenant, call.window_counter, reply.total, call.units, call.marker, later_units
            )
        elif reply.outcome in DID_NOT_RUN:  # nothing was added after all
            call.window_counter.marker_not_added(call.marker)
            tenant.own_units_since_reply -= call.units
            if call.request_id is None:
                tenant.unreported_units += call.units
                self.tenants.unreported[tenant.tenant_id] = tenant
        if not calls:
            del self.calls.timed_out[reply.key]

    def apply_total(
        self,
        now_ms: float,
        tenant: Tenant,
        window_counter: WindowCounter,
        total: float,
        units: float,
        marker: float,
        later_units: float,
    ) -> None:
        """Learns from a total: its rise beyond the own units is the other gateways' use.

        `units`, `marker`: what the call added; `later_units`: own units that may have been added after it.
        """
        lost_units = window_counter.apply_total(total, units, marker)
        self.pacing.monitor.record_reply(now_ms, lost_units is not None)
        self.pacing.monitor.call_fraction = self.pacing.call_fraction
        if window_counter is not tenant.window_counter:
            return
        own_units = tenant.own_units_since_reply - later_units
        others_units = window_counter.units - tenant.counter_total_units - own_units
        if lost_units is not None:
            # The own units were lost with the others'. They are added again, once, so that gateways that know
            # nothing learn of them; the bucket stands, as a fresh memory is no fresh quota.
            tenant.unreported_units += lost_units
            self.tenants.unreported[tenant.tenant_id] = tenant
            others_units = -math.inf
        if others_units >= -0.5:  # else counts were lost, not demand: the last known demand stands
            self.apply_others_use(now_ms, tenant, max(0.0, own_units), max(0.0, others_units))
        tenant.counter_total_units, tenant.counter_total_ms = window_counter.units, now_ms
        tenant.own_units_since_reply = later_units

    def apply_others_use(self, now_ms: float, tenant: Tenant, own_units: float, others_units: float) -> None:
        """Own and other gateways' units since the last total. What members have reported of the latter has
        been deducted already."""
        local_share.record_total(tenant, own_units, others_units)
        known_units = max(0.0, tenant.member_others_units - tenant.counter_others_units)
        tenant.counter_others_units += others_units
        self.tenants.deduct_others_use(now_ms, tenant, max(0.0, others_units - known_units))

    def refund_reserved(self, tenant: Tenant) -> None:
        """The request that the last reply was for is rejected, but the counter holds its units. Left there
        they would pass for use: of many gateways each sees a tenant seldom, and together they would ask it
        out of its quota."""
        tenant.unreported_units -= self.reserved_units
        if tenant.unreported_units < 0.0 and not tenant.plan.ceiling_rate_per_s:
            self.tenants.unreported[tenant.tenant_id] = tenant

    def record_tick(self) -> None:
        """A tick of the engine."""
        if not self.calls.in_flight:
            self.pacing.record_idle_tick()
