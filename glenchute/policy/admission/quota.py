"""Which requests are admitted within the quotas of their tenants."""

from __future__ import annotations

import math
import random
from collections import deque

from ..actions import Action, IncrementCounter, SendState
from ..events import CounterReply, Outcome, QuotaSnapshot, Request, UsageUpdate
from ..settings import Settings
from ..timing import TICK_MS
from .epoch_markers import CounterMonitor, WindowCounter, marker_value
from .tenant import Tenant
from .windows import IDLE_MS, WINDOW_S, span_of, stable, window_start

SPEND_S = 0.4
CALL_GAP_MS = 100.0  # least time between two calls for one customer
LEARNED = 4.0  # requests that the counter told of after which their shares count as much as even ones
TOLD_KEPT = 0.85  # of older words at each new one: the busy gateways of a customer change
MUTE_AFTER = 3  # calls in a row without an answer after which the counter counts as mute
MEMBERS_MS = 1500.0  # members' words of use count for this long
LEAST_SHARE = 0.1  # of the unsure requests, at least this share asks
COUNTED = 0.5  # share of a ceiling's burst that the counter holds; gateways' even parts hold the rest
OPEN_FILL = 0.6  # share of an open cap that a steady flow fills at most: what is out comes in clumps
LEAST_PART = 2.0  # requests that a part of a store holds at least, however many share it
MUTE_RETRY_MS = 500.0  # a mute counter is tried this often
MUTE_SPACING_MS = 5.0  # and by all gateways together no more often than this


class QuotaAccounting:
    """Which requests go on: stores, fill, the ceiling's guard, the cap on open attempts, the counter."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.plans = {plan.name: plan for plan in settings.plans}
        self.tenants: dict[str, Tenant] = {}  # the longest unseen first
        self.unreported_tenants: dict[str, Tenant] = {}  # those with units to tell
        # Calls without an answer, by name: customer, its word, units, mark, the request that waits for it,
        # whether nothing was taken off its units, how many units were told ahead for that request.
        self.calls_in_flight: dict[
            int, deque[tuple[Tenant, WindowCounter, float, float, str | None, bool, float]]
        ] = {}
        # Those that had no answer in time, of windows in force: an answer may still come. Whether a request
        # waited stands last.
        self.timed_out_calls: dict[int, deque[tuple[Tenant, WindowCounter, float, float, bool]]] = {}
        self.reserved_units = 0.0  # the last of these, of the last answer
        self.replied_tenant: Tenant | None = None  # the customer of the last answer
        longest = max(
            [plan.burst_units / plan.rate_per_s for plan in settings.plans if plan.rate_per_s], default=1.0
        )
        self.monitor = CounterMonitor(min(IDLE_MS, 1000.0 * max(WINDOW_S, longest)), MUTE_AFTER)
        self.started_ms = math.inf  # when this gateway heard its first event
        self.markers_from_ms = -math.inf  # names of windows that begin from then on may be marked here
        self.process_count = 1  # of this gateway; its parts are even ones of them all
        self.consecutive_failures = 0  # calls in a row without an answer
        self.late_fraction = 0.0  # share of the last calls that were answered late, or not in time
        self.call_fraction = (
            1.0  # share of the wished calls that are made; falls while the counter is crowded
        )
        self.next_probe_ms = 0.0  # when a mute counter may next be called
        self.mean_attempt_s = 0.2  # mean time that an attempt is out, seconds
        self.rejection_cause = ""  # which limit the last refusal met

    @property
    def is_counter_unavailable(self) -> bool:
        """No word from the counter: each gateway keeps to its part of the quota."""
        return not self.settings.has_counter or self.consecutive_failures >= MUTE_AFTER

    def tenant_for(self, now: float, request: Request) -> Tenant | None:
        """The customer's record; None where the plan is not known, which is read as no quota."""
        if (plan := self.plans.get(request.plan)) is None:
            return None
        found = self.tenants.pop(request.tenant, None)
        spread = max(1, min(request.gateway_spread, self.settings.gateway_count)) * self.process_count
        if found is None:
            # The ceiling's store takes no notice of a restart. While quotas are kept it never holds less than
            # its burst less the quota's, as it fills faster; half of that and the slack are thus there if all
            # gateways restart at once, and once more before the store has filled again.
            spare = 0.5 * max(0.0, plan.ceiling_burst_units - plan.burst_units) if plan.burst_units else 0.0
            spare += plan.ceiling_slack_units + plan.ceiling_rate_per_s * (now - self.started_ms) / 1000.0
            guard = min(plan.ceiling_burst_units * (1.0 - COUNTED), spare) / spread
            found = Tenant(request.tenant, plan, spread, now, plan.burst_units, 0.0, guard, now)
            found.local_units = self.local_limit_units(found)
        self.tenants[request.tenant] = found
        found.gateway_spread, found.last_seen_ms, found.largest_request_units = (
            spread,
            now,
            max(found.largest_request_units, request.units),
        )
        self.refresh(now, found)
        return found

    def refresh(self, now: float, c: Tenant) -> None:
        """Brings the stores and rates up to the present, and the counter's names to the window in force."""
        plan = c.plan
        c.window_length_ms = span_of(plan)
        start = window_start(now, c.tenant_id, plan)
        if start > c.window_start_ms:
            # A name holds one window's use, so that a gateway's first word in it says how much of the store
            # is gone, however long ago the last word was.
            self.refill(start, c)
            if (
                c.window_counter is not None
                and c.window_counter.marker_count > 0
                and c.own_demand_per_s > c.largest_request_units
                and self.process_count == 1
            ):
                self.monitor.record_window(min(1.0, c.window_counter.marker_count / c.gateway_spread))
            self.timed_out_calls.pop(c.counter_key, None)
            c.window_start_ms, c.counter_key = start, stable(f"{c.tenant_id}/{start:.0f}")
            mark = marker_value(
                plan.burst_units, plan.rate_per_s, c.window_length_ms / 1000.0, plan.ceiling_burst_units
            )
            c.window_counter = WindowCounter(mark, start >= max(self.started_ms, self.markers_from_ms))
            c.previous_window_units = (
                max(c.counter_others_units, c.member_others_units)
                if start - c.window_start_ms <= 1.5 * c.window_length_ms
                else math.nan
            )
            c.assumed_drain_units = c.counter_total_units = c.own_units_since_reply = (
                c.counter_others_units
            ) = c.member_others_units = c.reporting_fraction = 0.0
            c.unreported_units = max(0.0, c.unreported_units)
            c.calls_in_flight = 0
        self.refill(now, c)

    def refill(self, now: float, c: Tenant) -> None:
        """Fills and drains the stores up to a moment."""
        dt = (now - c.updated_ms) / 1000.0
        if dt <= 0:
            return
        plan = c.plan
        # The others' use is expected to go on as last heard, less surely as that grows old: a surge of
        # theirs that has ended must not keep the store empty for customers who can't renew the word.
        age = max(0.0, c.updated_ms - c.counter_total_ms) / 1000.0
        lent = self.reporting_fraction(now, c)
        drain = (
            0.0
            if self.is_counter_unavailable and not lent
            else c.others_demand_per_s * math.exp(min(0.0, 1.5 - age))
        )
        drain = min(drain * min(dt, WINDOW_S), max(0.0, c.bucket_units))
        c.assumed_drain_units += drain
        # By members' words alone a gateway and those that it hears keep to their share of the quota: those
        # that it does not hear may be a half of the fleet that does the same.
        share = lent if self.is_counter_unavailable and lent else 1.0
        c.bucket_units = min(
            max(c.bucket_units, plan.burst_units) * share,
            c.bucket_units - drain + plan.rate_per_s * share * dt,
        )
        rate = (
            plan.rate_per_s or OPEN_FILL * plan.max_concurrent / self.mean_attempt_s
        ) * self.local_fraction(c)
        c.local_units = min(max(c.local_units, self.local_limit_units(c)), c.local_units + rate * dt)
        most = max(plan.ceiling_burst_units * (1.0 - COUNTED) / c.gateway_spread, c.ceiling_guard_units)
        c.ceiling_guard_units = min(
            most,
            c.ceiling_guard_units + plan.ceiling_rate_per_s * (1.0 - 0.5 * COUNTED) / c.gateway_spread * dt,
        )
        c.own_demand_per_s *= math.exp(-dt / WINDOW_S)
        c.updated_ms = now

    def reporting_fraction(self, now: float, c: Tenant) -> float:
        """The share of the gateways whose use of this window is known from members; 0: not known, or old."""
        return c.reporting_fraction if now - c.usage_update_ms < MEMBERS_MS else 0.0

    def apply_usage_update(self, now: float, event: UsageUpdate) -> None:
        """What members told of their use. The counter's totals and these tell of the same units, and each may
        lack some: the larger one counts, and only its rise is taken from the store."""
        if (c := self.tenant_for(now, event.request)) is None or event.window_start_ms != c.window_start_ms:
            return
        c.reporting_fraction, c.usage_update_ms = min(1.0, max(0.0, event.reporting_fraction)), now
        known = max(c.counter_others_units, c.member_others_units)
        c.member_others_units = max(c.member_others_units, event.window_units)
        # Requests come seldom, and most of a window's use may be heard of only when it is over. Of one that
        # this gateway saw nothing of, what has filled since it began has to be counted too.
        rise = c.member_others_units - known + max(0.0, event.previous_window_units - c.previous_window_units)
        if math.isnan(c.previous_window_units):
            rise = (
                event.previous_window_units
                + c.member_others_units
                - known
                - c.plan.rate_per_s * (now - c.window_start_ms + c.window_length_ms) / 1000.0
            )
        c.previous_window_units = (
            event.previous_window_units
            if math.isnan(c.previous_window_units)
            else max(c.previous_window_units, event.previous_window_units)
        )
        self.deduct_others_use(now, c, max(0.0, rise))
        if self.is_counter_unavailable and c.reporting_fraction:
            c.counter_total_ms = now

    def deduct_others_use(self, now: float, c: Tenant, rise: float) -> None:
        """The others have used so much more than was known. By members' words alone it may be owed: what
        several let in at once, before they heard of each other, is made up for."""
        least = (
            -c.plan.burst_units if self.is_counter_unavailable and self.reporting_fraction(now, c) else 0.0
        )
        dt = max(now - max(c.counter_total_ms, c.window_start_ms), 1.0) / 1000.0
        weight = 1.0 - math.exp(-max(now - c.counter_total_ms, 1.0) / 1000.0 / WINDOW_S)
        c.others_demand_per_s += (rise / (dt + 0.1) - c.others_demand_per_s) * weight
        c.bucket_units = min(c.plan.burst_units, max(least, c.bucket_units + c.assumed_drain_units - rise))
        c.assumed_drain_units = 0.0

    def local_limit_units(self, c: Tenant) -> float:
        """The most that this gateway's part of a store holds."""
        return max(
            (c.plan.burst_units or c.plan.max_concurrent) * self.local_fraction(c),
            LEAST_PART * c.largest_request_units,
        )

    def local_fraction(self, c: Tenant) -> float:
        """This gateway's lot of a quota while no word comes: an even one, moved towards the share of the
        customer's use that came this way by the last words. Requests come in unevenly, and even parts left
        room at one gateway while another refused."""
        few = LEARNED * c.largest_request_units
        return (c.reported_own_units + few / c.gateway_spread) / (c.reported_units + few)

    def headroom(self, c: Tenant) -> float:
        """What the customer's quotas are thought to let in at once, in units or attempts."""
        left = c.bucket_units if c.plan.rate_per_s else math.inf
        if c.plan.max_concurrent:
            left = min(
                left,
                c.plan.max_concurrent - c.attempts_in_flight - c.others_demand_per_s * self.mean_attempt_s,
            )
        return left

    def needs_counter(self, now: float, c: Tenant, units: float) -> bool:
        """Whether a request needs a word of the moment: the others may have used what is left. Few gateways
        hear often and seldom need one; of hundreds, each sees a customer once in a window or never."""
        room = self.headroom(c)
        if (
            self.is_counter_unavailable
            or room == math.inf
            or c.calls_in_flight
            or now - c.last_call_ms < CALL_GAP_MS / self.call_fraction
        ):
            return False
        empty = room < units and now - c.counter_total_ms < 1000.0 * WINDOW_S  # and known to be
        return (max(0.0, c.unreported_units) + units) * c.gateway_spread >= 0.5 * room and not empty

    def call_for_request(self, now: float, c: Tenant, request: Request) -> IncrementCounter | None:
        """The call that an unsure request waits for; of a crowd only a share ask, each for its likes."""
        if self.rng.random() > self.call_fraction:
            return None
        return self.make_call(now, c, request.units / self.call_fraction, request.request_id)

    def is_vouched_by_counter(self, c: Tenant, asked: bool) -> bool:
        """Whether the count alone keeps a request under the ceiling: two windows may touch, so each holds
        half of the counted share, of the burst and of what the ceiling's rate fills in a window."""
        if not asked or c.window_counter is None or not c.is_last_call_complete:
            return False
        least = min(c.plan.ceiling_burst_units, c.plan.ceiling_rate_per_s * c.window_length_ms / 1e3)
        return c.counter_total_units <= 0.5 * COUNTED * least * c.window_counter.granted_fraction(
            c.gateway_spread
        )

    def admit(self, now: float, c: Tenant, units: float, asked: bool, blind: bool) -> float | None:
        """None to send the request on, else the time in which a refused client should stay away."""
        # Without a word it keeps to its part: else each would spend all of a quota. One that is younger than
        # the time in which the store turns over tells of the others' use, so that `fraction` parts the rest;
        # of many gateways each is off by its own, so that they have to be surer.
        old = now - c.counter_total_ms > c.window_length_ms * min(1.0, LEARNED / c.gateway_spread)
        blind = (self.is_counter_unavailable and not self.reporting_fraction(now, c)) or (blind and old)
        c.own_demand_per_s += units / WINDOW_S
        plan = c.plan
        wait: float | None = None
        if (
            plan.ceiling_rate_per_s
            and c.ceiling_guard_units < units
            and not self.is_vouched_by_counter(c, asked)
        ):
            wait, self.rejection_cause = (
                (units - c.ceiling_guard_units) / plan.ceiling_rate_per_s * c.gateway_spread * 1000.0,
                "ceiling",
            )
        elif plan.rate_per_s:
            store = min(c.local_units, c.bucket_units) if blind else c.bucket_units
            fraction = min(
                1.0,
                (plan.rate_per_s + max(0.0, store) / SPEND_S)
                / max(c.own_demand_per_s + c.others_demand_per_s, 1e-9),
            )
            c.credit_units = min(c.credit_units + fraction * units, 2.0 * units)
            # A word of the moment puts the requests of all gateways in a row; no share is needed then.
            if store < units or (c.credit_units < units and not asked):
                wait = max(0.0, units - store) / plan.rate_per_s * 1000.0
                short = "mute" if self.is_counter_unavailable else "lot"
                self.rejection_cause = (
                    "empty" if c.bucket_units < units else short if store < units else "share"
                )
        if wait is None and plan.max_concurrent:
            # The cap, as a rate: what leaves as fast as answers come. Of more demand its share goes on.
            fraction = (
                OPEN_FILL
                * plan.max_concurrent
                / max((c.own_demand_per_s + c.others_demand_per_s) * self.mean_attempt_s, 1e-9)
            )
            full = (
                c.attempts_in_flight >= max(1, plan.max_concurrent // c.gateway_spread)
                and self.headroom(c) < 1.0
            )
            if blind:
                full = (
                    c.local_units < units and c.attempts_in_flight >= plan.max_concurrent // c.gateway_spread
                )
            if self.rng.random() > fraction if asked else full:
                wait, self.rejection_cause = self.mean_attempt_s * 1000.0, "open"
        return wait

    def refund_counted(self, c: Tenant) -> None:
        """The request that the last answer was for does not go on, but the counter holds its units. Left
        there they would pass for use: of many gateways each sees a customer seldom, and together they would
        ask it out of its quota."""
        c.unreported_units -= self.reserved_units
        if c.unreported_units < 0.0 and not c.plan.ceiling_rate_per_s:
            self.unreported_tenants[c.tenant_id] = c

    def refund(self, c: Tenant, units: float) -> None:
        """A request that was booked has come to no server. The ceiling's guard takes no notice."""
        c.bucket_units = max(c.bucket_units, min(c.plan.burst_units, c.bucket_units + units))
        c.local_units = max(c.local_units, min(self.local_limit_units(c), c.local_units + units))
        if self.settings.has_counter:
            c.unreported_units -= units
            if c.unreported_units and not (c.unreported_units < 0.0 and c.plan.ceiling_rate_per_s):
                self.unreported_tenants[c.tenant_id] = c

    def charge(self, c: Tenant, units: float, counted: bool, asked: bool) -> None:
        """Books a request that goes on."""
        c.credit_units -= units
        c.bucket_units = max(0.0, c.bucket_units - units)
        c.local_units = max(0.0, c.local_units - units)
        if not self.is_vouched_by_counter(c, asked):
            c.ceiling_guard_units -= units
        if self.settings.has_counter and not counted:
            c.unreported_units += units
            self.unreported_tenants[c.tenant_id] = c

    def make_call(
        self, now: float, c: Tenant, extra: float = 0.0, waits: str | None = None
    ) -> IncrementCounter:
        """A call that tells what is new of a customer."""
        assert c.window_counter is not None
        # What is taken off was added to the memory of then, which may be lost, and a fresh memory would hold
        # less than it granted: under a ceiling nothing is ever taken off a total.
        due = round(c.unreported_units + extra, 3)
        amount, toll = max(0.0, due) if c.plan.ceiling_rate_per_s else due, c.window_counter.take_marker()
        call = c, c.window_counter, amount, toll, waits, c.unreported_units >= 0.0, extra
        self.calls_in_flight.setdefault(c.counter_key, deque()).append(call)
        c.unreported_units, c.last_call_ms = round(due - amount, 3), now
        c.calls_in_flight += 1
        if self.consecutive_failures >= MUTE_AFTER:
            self.next_probe_ms = now + max(MUTE_RETRY_MS, self.settings.gateway_count * MUTE_SPACING_MS)
        return IncrementCounter(c.counter_key, round(amount + toll, 3), IDLE_MS)

    def due_calls(self, now: float, c: Tenant) -> list[Action]:
        """Tells the counter what is new of a customer, the sooner the nearer its store is to empty."""
        self.refresh(now, c)
        if c.unreported_units == 0.0 or (c.unreported_units < 0.0 and c.plan.ceiling_rate_per_s):
            self.unreported_tenants.pop(c.tenant_id, None)
            return []
        if c.calls_in_flight or (
            c.unreported_units < 0.0 and self.call_fraction < 1.0
        ):  # a crowded counter is spared such calls
            return []
        urgent = abs(c.unreported_units) * c.gateway_spread >= 0.5 * self.headroom(c)
        calm = c.bucket_units - c.unreported_units * c.gateway_spread > 0.5 * c.plan.burst_units > 0
        gap = (CALL_GAP_MS if urgent else 2000.0 if calm else 1000.0) / self.call_fraction
        if now < self.next_probe_ms if self.is_counter_unavailable else now - c.last_call_ms < gap:
            return []
        return [self.make_call(now, c)]

    def handle_reply(self, now: float, reply: CounterReply) -> str | None:
        """An answer: the total's rise beyond the own part is the others' use. Returns who waits for it."""
        if reply.is_late:
            self.handle_late_reply(now, reply)
            return None
        if not (calls := self.calls_in_flight.get(reply.key)):
            return None
        c, word, amount, toll, waits, whole, extra = calls.popleft()
        self.replied_tenant = c
        self.reserved_units = (
            extra if word is c.window_counter else 0.0
        )  # in another window's name nothing is put right
        if not calls:
            del self.calls_in_flight[reply.key]
        self.refresh(now, c)
        current = word is c.window_counter
        if current:
            c.calls_in_flight -= 1
        late = reply.outcome is Outcome.TIMEOUT or reply.duration_ms >= 0.5 * self.settings.counter_timeout_ms
        self.late_fraction += 0.1 * (late - self.late_fraction)
        crowded = reply.outcome is Outcome.REJECTED or self.late_fraction > 0.5
        if reply.outcome is not Outcome.OK:
            self.monitor.record_failure(now)
            if reply.outcome is not Outcome.TIMEOUT:
                word.marker_not_added(toll)
            if crowded and self.consecutive_failures < MUTE_AFTER:  # a mute one is tried at a pace of its own
                self.call_fraction = max(LEAST_SHARE, 0.8 * self.call_fraction)
            self.consecutive_failures += 1
            if current and reply.outcome is Outcome.TIMEOUT:
                c.own_units_since_reply += (
                    amount  # it may have been added, and adding it twice would be worse
                )
                out = c, word, amount, toll, waits is not None
                self.timed_out_calls.setdefault(c.counter_key, deque()).append(out)
            elif current and waits is None:
                c.unreported_units += amount
            return waits
        self.consecutive_failures = 0
        # A slow answer tells of a crowd before any call is turned away; work on unheard answers is wasted.
        # Where only some are slow, their way is: fewer calls would make it no faster.
        factor = 1.02 if not late else 0.92 if crowded else 1.0
        self.call_fraction = min(1.0, max(LEAST_SHARE, factor * self.call_fraction))
        if current:
            c.own_units_since_reply += amount
            c.is_last_call_complete = whole
            self.timed_out_calls.pop(c.counter_key, None)  # answers come in order: those before it never will
        self.apply_total(now, c, word, reply.total, amount, toll, 0.0)
        return waits

    def handle_late_reply(self, now: float, reply: CounterReply) -> None:
        """What became of a call that had no answer in time. A slow counter is not a mute one, and its totals
        are as true; nobody waits for them any more."""
        if not (calls := self.timed_out_calls.get(reply.key)):
            return  # of a window that has ended
        c, word, amount, toll, waited = calls.popleft()
        if reply.outcome is Outcome.OK:
            self.consecutive_failures = 0
            self.apply_total(now, c, word, reply.total, amount, toll, sum(call[2] for call in calls))
        elif reply.outcome is not Outcome.TIMEOUT:  # nothing was added after all
            word.marker_not_added(toll)
            c.own_units_since_reply -= amount
            if not waited:
                c.unreported_units += amount
                self.unreported_tenants[c.tenant_id] = c
        if not calls:
            del self.timed_out_calls[reply.key]

    def apply_total(
        self,
        now: float,
        c: Tenant,
        word: WindowCounter,
        total: float,
        amount: float,
        toll: float,
        after: float,
    ) -> None:
        """A total; `after`: own units that may have been added behind it."""
        again = word.apply_total(total, amount, toll)
        self.monitor.record_reply(now, again is not None)
        self.monitor.call_fraction = self.call_fraction
        if word is not c.window_counter:
            return
        rise = word.units - c.counter_total_units - (c.own_units_since_reply - after)
        if again is not None:
            # The own words were lost with the others'. They are put in again, once, so that gateways that
            # know nothing hear of them; the store stands, as a fresh memory is no fresh quota.
            c.unreported_units += again
            self.unreported_tenants[c.tenant_id] = c
            rise = -math.inf
        if rise >= -0.5:  # else counts were lost, not demand: the last known demand stands
            told = max(0.0, c.own_units_since_reply - after)
            c.reported_own_units = TOLD_KEPT * c.reported_own_units + told
            c.reported_units = TOLD_KEPT * c.reported_units + told + max(0.0, rise)
            known = max(0.0, c.member_others_units - c.counter_others_units)  # by the members' words already
            c.counter_others_units += max(rise, 0.0)
            self.deduct_others_use(now, c, max(0.0, rise - known))
        c.counter_total_units, c.counter_total_ms, c.own_units_since_reply = word.units, now, after

    # A gateway may be two processes for a while. To the others they are one, so that each keeps to half of
    # what one may do by itself. Only one of them marks a name: if a gateway marks it twice, it grants twice.

    def start_handover(self, now: float) -> SendState:
        """The next process has come up: half of what is left of the guards goes to it, and all names from now
        on are its to mark."""
        self.markers_from_ms = math.inf
        stocks = []
        for c in list(self.tenants.values()):
            self.refresh(now, c)
            c.ceiling_guard_units *= 0.5
            c.reported_own_units *= 0.5
            heard = c.window_counter is not None and c.counter_total_ms >= c.window_start_ms
            stocks.append(
                QuotaSnapshot(
                    tenant=c.tenant_id,
                    plan=c.plan.name,
                    gateway_spread=c.gateway_spread // self.process_count,
                    bucket_units=c.bucket_units,
                    ceiling_guard_units=c.ceiling_guard_units,
                    own_demand_per_s=0.5 * c.own_demand_per_s,
                    others_demand_per_s=c.others_demand_per_s,
                    reported_own_units=c.reported_own_units,
                    reported_units=c.reported_units,
                    window_start_ms=c.window_start_ms,
                    window_total_units=(
                        c.counter_total_units + c.own_units_since_reply if heard else math.inf
                    ),
                )
            )
        self.set_process_count(2)
        return SendState(tuple(reversed(stocks)))

    def restore(self, now: float, stocks: tuple[QuotaSnapshot, ...]) -> None:
        """What the process before knew. A customer of this process' own is kept as it is."""
        self.markers_from_ms = now
        self.set_process_count(2)
        for s in reversed(stocks):
            plan = self.plans.get(s.plan)
            if plan is None or s.tenant in self.tenants:
                continue
            spread = max(1, min(s.gateway_spread, self.settings.gateway_count)) * self.process_count
            guard = min(s.ceiling_guard_units, 0.5 * plan.ceiling_burst_units)
            c = Tenant(s.tenant, plan, spread, now, min(s.bucket_units, plan.burst_units), 0.0, guard, now)
            c.own_demand_per_s, c.others_demand_per_s, c.reported_own_units, c.reported_units = (
                s.own_demand_per_s,
                s.others_demand_per_s,
                s.reported_own_units,
                max(s.reported_units, s.reported_own_units),
            )
            c.local_units = self.local_limit_units(c)
            self.refresh(now, c)
            if c.window_start_ms == s.window_start_ms and s.window_total_units < math.inf:
                c.counter_total_units, c.counter_total_ms = (
                    s.window_total_units,
                    now,
                )  # the store knows of these units already
            self.tenants[c.tenant_id] = c

    def end_handover(self, now: float) -> None:
        """The other process has gone."""
        self.markers_from_ms = min(self.markers_from_ms, now)
        self.set_process_count(1)

    def set_process_count(self, processes: int) -> None:
        """So many processes from now on."""
        for c in self.tenants.values():
            c.gateway_spread = c.gateway_spread // self.process_count * processes
        self.process_count = processes

    def evict_idle(self, now: float) -> None:
        """Ages out customers with nothing open. Where no call is out, a second counts as an answer in time:
        of a counter that is not asked, nothing else would ever tell that its crowd has gone."""
        if not self.calls_in_flight:
            self.call_fraction = min(1.0, self.call_fraction * 1.02 ** (TICK_MS / 1000.0))
            self.monitor.call_fraction = self.call_fraction
        while self.tenants:
            c = next(iter(self.tenants.values()))
            if now - c.last_seen_ms < IDLE_MS or c.attempts_in_flight or c.calls_in_flight:
                return
            del self.tenants[c.tenant_id]
            self.unreported_tenants.pop(c.tenant_id, None)
