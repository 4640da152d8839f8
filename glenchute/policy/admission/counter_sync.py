"""Synchronization with the shared counter: when to call it, and how its replies are applied.

The counter holds, for each tenant and window, the units that all gateways have admitted. A gateway reports
its own units and derives the other gateways' use from the total in the reply. A request that might exceed
what is left of the quota waits for the reply to its own call.
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
from .epoch_markers import TOTAL_ROUNDING_UNITS, WindowCounter
from .tenant import Tenant
from .tenants import TenantTable
from .windows import FILL_WINDOW_S, TENANT_IDLE_MS, window_phase

REPORT_GAP_MS = 1000.0  # shortest time between reports for a tenant whose bucket is at most half full
CALM_REPORT_GAP_MS = 2000.0  # shortest time between reports for a tenant whose bucket is more than half full
COUNTER_DIGITS = 3  # decimal digits of the units that calls add
# A report is urgent if all gateways together may have admitted this fraction of the headroom unreported.
URGENT_FRACTION = 0.5


class CounterSync:
    """Makes the calls to the counter and applies its replies to the tenants."""

    # When the counter was last available again. A class attribute: snapshots of older versions don't hold it.
    available_since_ms = -math.inf

    def __init__(self, settings: Settings, rng: random.Random, tenants: TenantTable) -> None:
        self.settings = settings
        self.rng = rng
        self.tenants = tenants
        self.pacing: CallPacing = tenants.pacing
        self.calls: CounterCalls = tenants.calls
        self.replied_tenant: Tenant | None = None  # tenant of the last call that ended, except late replies
        # Units that the call of `replied_tenant` had reserved for a request; 0 if not in the current window.
        self.reserved_units = 0.0

    # --- when to call -------------------------------------------------------------------------------------

    def needs_total(self, now_ms: float, tenant: Tenant, units: float) -> bool:
        """Returns whether a request has to wait for a total, as the other gateways may have used up what is
        left. With few gateways each gets totals often and rarely has to wait; with hundreds, each may see a
        tenant once in a window or never."""
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
        """Returns the call that a request waits for, or None if it is omitted because the counter is
        overloaded. Calls that are made reserve units for the omitted ones too."""
        if self.rng.random() > self.pacing.call_fraction:
            return None
        reserved_units = request.units / self.pacing.call_fraction
        return self.make_call(now_ms, tenant, reserved_units, request.request_id)

    def make_call(
        self, now_ms: float, tenant: Tenant, reserved_units: float = 0.0, request_id: str | None = None
    ) -> IncrementCounter:
        """Makes the call that reports a tenant's new units and reserves units for a request that waits for
        the reply.

        Under a ceiling a total is never decreased. The units to subtract may have been added to a counter
        that has lost its memory since; its replacement would then hold fewer units than it has granted.
        """
        window_counter = tenant.window_counter
        assert window_counter is not None
        units = round(tenant.unreported_units + reserved_units, COUNTER_DIGITS)
        reported_units = max(0.0, units) if tenant.plan.ceiling_rate_per_s else units
        marker = window_counter.take_marker()
        is_complete = tenant.unreported_units >= 0.0
        call = CounterCall(
            tenant, window_counter, reported_units, marker, request_id, is_complete, reserved_units
        )
        self.calls.in_flight.setdefault(tenant.counter_key, deque()).append(call)
        tenant.unreported_units, tenant.last_call_ms = round(units - reported_units, COUNTER_DIGITS), now_ms
        tenant.calls_in_flight += 1
        self.pacing.record_call(now_ms)
        return IncrementCounter(
            tenant.counter_key, round(reported_units + marker, COUNTER_DIGITS), TENANT_IDLE_MS
        )

    def due_calls(self, now_ms: float, tenant: Tenant) -> list[Action]:
        """Returns the call that reports a tenant's new units, if one is due. Reports are more frequent when
        less is left in the bucket."""
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
            is_early = now_ms < self.earliest_report_ms(tenant)
        return [] if is_early else [self.make_call(now_ms, tenant)]

    def earliest_report_ms(self, tenant: Tenant) -> float:
        """Returns when a tenant's next report may be made. All tenants have units to report when the counter
        is available again, so these reports are spread evenly over `REPORT_GAP_MS`."""
        turn_ms = self.available_since_ms + REPORT_GAP_MS * window_phase(tenant.tenant_id)
        return max(tenant.last_call_ms + self.report_gap_ms(tenant), turn_ms)

    def report_gap_ms(self, tenant: Tenant) -> float:
        """Returns the shortest time between two reports for a tenant."""
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
        """Handles the end of a call. Returns the request that waits for it, if any."""
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
        self.tenants.refresh(now_ms, tenant)  # may begin a new window
        is_current = call.window_counter is tenant.window_counter
        if is_current:
            tenant.calls_in_flight -= 1
        is_late = self.pacing.record_timing(reply.duration_ms, reply.outcome is Outcome.TIMEOUT)
        if reply.outcome is not Outcome.OK:
            self.handle_failure(now_ms, call, reply.outcome, is_current)
            return call.request_id
        self.record_available(now_ms)
        self.pacing.record_reply(is_late)
        if is_current:
            tenant.own_units_since_reply += call.units
            tenant.is_last_call_complete = call.is_complete
            # Replies come in the order of the calls, so earlier calls get no reply any more.
            self.calls.timed_out.pop(tenant.counter_key, None)
        self.apply_total(now_ms, tenant, call.window_counter, reply.total, call.units, call.marker, 0.0)
        return call.request_id

    def record_available(self, now_ms: float) -> None:
        """Records a reply's time if it ends a time without replies."""
        if self.pacing.is_unavailable:
            self.available_since_ms = now_ms

    def handle_failure(self, now_ms: float, call: CounterCall, outcome: Outcome, is_current: bool) -> None:
        """Handles a call that had no reply or was rejected. Its units count as added unless the outcome
        proves that they were not: adding them twice would be worse than losing them."""
        tenant = call.tenant
        may_have_been_added = outcome not in DID_NOT_RUN
        if not may_have_been_added:
            call.window_counter.marker_not_added(call.marker)
        self.pacing.record_failure(now_ms, outcome is Outcome.REJECTED)
        if not is_current:
            if not may_have_been_added:
                self.carry_over(call)
            return
        if may_have_been_added:
            tenant.own_units_since_reply += call.units
        else:
            # The request that waits reports its own units itself, if it is admitted.
            self.report_again(tenant, call.units - call.reserved_units)
        if outcome is Outcome.TIMEOUT:  # a late reply may still come
            self.calls.timed_out.setdefault(tenant.counter_key, deque()).append(call)

    def carry_over(self, call: CounterCall) -> None:
        """Reports in the current window what a call of an ended one carried and the counter did not add, like
        units that no call had reported when the window ended. Refunds end with their window."""
        tenant, units = call.tenant, call.units - call.reserved_units
        if units > 0.0 and self.tenants.by_id.get(tenant.tenant_id) is tenant:
            self.report_again(tenant, units)

    def report_again(self, tenant: Tenant, units: float) -> None:
        """Adds units of a call that the counter did not add to those that the next call reports. They are
        negative if the call subtracted more than it reported."""
        tenant.unreported_units = round(tenant.unreported_units + units, COUNTER_DIGITS)
        self.tenants.unreported[tenant.tenant_id] = tenant

    def handle_late_reply(self, now_ms: float, reply: CounterReply) -> None:
        """Handles the actual result of a call that timed out. A slow counter is available, and its totals are
        valid, but no request waits for them any more."""
        if not (calls := self.calls.timed_out.get(reply.key)):
            return  # the window of the call has ended
        call = calls.popleft()
        tenant = call.tenant
        if reply.outcome is Outcome.OK:
            self.record_available(now_ms)
            self.pacing.consecutive_failures = 0
            later_units = sum(later.units for later in calls)
            self.apply_total(
                now_ms, tenant, call.window_counter, reply.total, call.units, call.marker, later_units
            )
        elif reply.outcome in DID_NOT_RUN:  # nothing was added after all
            call.window_counter.marker_not_added(call.marker)
            tenant.own_units_since_reply -= call.units
            # Units that it reserved too: since its timeout they have counted as added.
            self.report_again(tenant, call.units)
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
        """Applies a total: its increase since the last total, less this gateway's own units, is the other
        gateways' use.

        `units`, `marker`: what the call added; `later_units`: own units of later calls, which may have been
        added after this total.
        """
        lost_units = window_counter.apply_total(total, units, marker)
        self.pacing.monitor.record_reply(now_ms, lost_units is not None)
        self.pacing.monitor.call_fraction = self.pacing.call_fraction
        if window_counter is not tenant.window_counter:
            return
        own_units = tenant.own_units_since_reply - later_units
        others_units = window_counter.units - tenant.counter_total_units - own_units
        if lost_units is not None:
            # The counter has lost this gateway's units and those of others. The own units are reported again,
            # once, so that gateways without earlier totals learn of them. The bucket is not changed: the loss
            # must not refill the quota.
            tenant.unreported_units += lost_units
            self.tenants.unreported[tenant.tenant_id] = tenant
            others_units = -math.inf
        # A negative difference shows that counts were lost, not that demand fell: the estimate is kept.
        if others_units >= -TOTAL_ROUNDING_UNITS:
            self.apply_others_use(now_ms, tenant, max(0.0, own_units), max(0.0, others_units))
        tenant.counter_total_units, tenant.counter_total_ms = window_counter.units, now_ms
        tenant.own_units_since_reply = later_units

    def apply_others_use(self, now_ms: float, tenant: Tenant, own_units: float, others_units: float) -> None:
        """Applies the units that this and the other gateways have added since the last total. What members
        have reported of the others' units has been deducted from the bucket before."""
        local_share.record_total(tenant, own_units, others_units)
        known_units = max(0.0, tenant.member_others_units - tenant.counter_others_units)
        tenant.counter_others_units += others_units
        self.tenants.deduct_others_use(now_ms, tenant, max(0.0, others_units - known_units))

    def report_omitted(self, own_units: float) -> None:
        """Reports again what the last call, which was not added, reserved beyond the waiting request's own
        units: it stands for requests that were admitted without a call, as calls were omitted."""
        if self.replied_tenant is not None and (omitted_units := self.reserved_units - own_units) > 0.0:
            self.report_again(self.replied_tenant, omitted_units)

    def refund_reserved(self, tenant: Tenant) -> None:
        """Takes back the units that the last call reserved for a request which is not sent after all. If the
        counter kept them, they would count as use: many gateways, each of which sees a tenant rarely, would
        together use up its quota by calls alone."""
        tenant.unreported_units -= self.reserved_units
        if tenant.unreported_units < 0.0 and not tenant.plan.ceiling_rate_per_s:
            self.tenants.unreported[tenant.tenant_id] = tenant

    def record_tick(self) -> None:
        """Records a tick of the engine. If no call is in flight, the call fraction slowly recovers."""
        if not self.calls.in_flight:
            self.pacing.record_idle_tick()
