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
        self.customers: dict[str, Tenant] = {}  # the longest unseen first
        self.due: dict[str, Tenant] = {}  # those with units to tell
        # Calls without an answer, by name: customer, its word, units, mark, the request that waits for it,
        # whether nothing was taken off its units, how many units were told ahead for that request.
        self.calls_out: dict[
            int, deque[tuple[Tenant, WindowCounter, float, float, str | None, bool, float]]
        ] = {}
        # Those that had no answer in time, of windows in force: an answer may still come. Whether a request
        # waited stands last.
        self.timed_out: dict[int, deque[tuple[Tenant, WindowCounter, float, float, bool]]] = {}
        self.ahead = 0.0  # the last of these, of the last answer
        self.asker: Tenant | None = None  # the customer of the last answer
        longest = max(
            [plan.burst_units / plan.rate_per_s for plan in settings.plans if plan.rate_per_s], default=1.0
        )
        self.watch = CounterMonitor(min(IDLE_MS, 1000.0 * max(WINDOW_S, longest)), MUTE_AFTER)
        self.started = math.inf  # when this gateway heard its first event
        self.marks_from = -math.inf  # names of windows that begin from then on may be marked here
        self.processes = 1  # of this gateway; its parts are even ones of them all
        self.missed = 0  # calls in a row without an answer
        self.slow = 0.0  # share of the last calls that were answered late, or not in time
        self.share = 1.0  # share of the wished calls that are made; falls while the counter is crowded
        self.probe_at = 0.0  # when a mute counter may next be called
        self.hold_s = 0.2  # mean time that an attempt is out, seconds
        self.cause = ""  # which limit the last refusal met

    @property
    def mute(self) -> bool:
        """No word from the counter: each gateway keeps to its part of the quota."""
        return not self.settings.has_counter or self.missed >= MUTE_AFTER

    def customer(self, now: float, request: Request) -> Tenant | None:
        """The customer's record; None where the plan is not known, which is read as no quota."""
        if (plan := self.plans.get(request.plan)) is None:
            return None
        found = self.customers.pop(request.tenant, None)
        spread = max(1, min(request.gateway_spread, self.settings.gateway_count)) * self.processes
        if found is None:
            # The ceiling's store takes no notice of a restart. While quotas are kept it never holds less than
            # its burst less the quota's, as it fills faster; half of that and the slack are thus there if all
            # gateways restart at once, and once more before the store has filled again.
            spare = 0.5 * max(0.0, plan.ceiling_burst_units - plan.burst_units) if plan.burst_units else 0.0
            spare += plan.ceiling_slack_units + plan.ceiling_rate_per_s * (now - self.started) / 1000.0
            guard = min(plan.ceiling_burst_units * (1.0 - COUNTED), spare) / spread
            found = Tenant(request.tenant, plan, spread, now, plan.burst_units, 0.0, guard, now)
            found.part = self.part(found)
        self.customers[request.tenant] = found
        found.spread, found.seen, found.size = spread, now, max(found.size, request.units)
        self.refresh(now, found)
        return found

    def refresh(self, now: float, c: Tenant) -> None:
        """Brings the stores and rates up to the present, and the counter's names to the window in force."""
        plan = c.plan
        c.span = span_of(plan)
        start = window_start(now, c.key, plan)
        if start > c.window:
            # A name holds one window's use, so that a gateway's first word in it says how much of the store
            # is gone, however long ago the last word was.
            self.elapse(start, c)
            if c.word is not None and c.word.marks > 0 and c.own > c.size and self.processes == 1:
                self.watch.window_ended(min(1.0, c.word.marks / c.spread))
            self.timed_out.pop(c.name, None)
            c.window, c.name = start, stable(f"{c.key}/{start:.0f}")
            mark = marker_value(plan.burst_units, plan.rate_per_s, c.span / 1000.0, plan.ceiling_burst_units)
            c.word = WindowCounter(mark, start >= max(self.started, self.marks_from))
            c.before = max(c.by_counter, c.by_members) if start - c.window <= 1.5 * c.span else math.nan
            c.drained = c.total = c.mine = c.by_counter = c.by_members = c.heard = 0.0
            c.fresh = max(0.0, c.fresh)
            c.under_way = 0
        self.elapse(now, c)

    def elapse(self, now: float, c: Tenant) -> None:
        """Fills and drains the stores up to a moment."""
        dt = (now - c.at) / 1000.0
        if dt <= 0:
            return
        plan = c.plan
        # The others' use is expected to go on as last heard, less surely as that grows old: a surge of
        # theirs that has ended must not keep the store empty for customers who can't renew the word.
        age = max(0.0, c.at - c.total_at) / 1000.0
        lent = self.lent(now, c)
        drain = 0.0 if self.mute and not lent else c.others * math.exp(min(0.0, 1.5 - age))
        drain = min(drain * min(dt, WINDOW_S), max(0.0, c.store))
        c.drained += drain
        # By members' words alone a gateway and those that it hears keep to their share of the quota: those
        # that it does not hear may be a half of the fleet that does the same.
        share = lent if self.mute and lent else 1.0
        c.store = min(max(c.store, plan.burst_units) * share, c.store - drain + plan.rate_per_s * share * dt)
        rate = (plan.rate_per_s or OPEN_FILL * plan.max_concurrent / self.hold_s) * self.lot(c)
        c.part = min(max(c.part, self.part(c)), c.part + rate * dt)
        most = max(plan.ceiling_burst_units * (1.0 - COUNTED) / c.spread, c.guard)
        c.guard = min(most, c.guard + plan.ceiling_rate_per_s * (1.0 - 0.5 * COUNTED) / c.spread * dt)
        c.own *= math.exp(-dt / WINDOW_S)
        c.at = now

    def lent(self, now: float, c: Tenant) -> float:
        """The share of the gateways whose use of this window is known from members; 0: not known, or old."""
        return c.heard if now - c.heard_at < MEMBERS_MS else 0.0

    def used(self, now: float, event: UsageUpdate) -> None:
        """What members told of their use. The counter's totals and these tell of the same units, and each may
        lack some: the larger one counts, and only its rise is taken from the store."""
        if (c := self.customer(now, event.request)) is None or event.window_start_ms != c.window:
            return
        c.heard, c.heard_at = min(1.0, max(0.0, event.reporting_fraction)), now
        known = max(c.by_counter, c.by_members)
        c.by_members = max(c.by_members, event.window_units)
        # Requests come seldom, and most of a window's use may be heard of only when it is over. Of one that
        # this gateway saw nothing of, what has filled since it began has to be counted too.
        rise = c.by_members - known + max(0.0, event.previous_window_units - c.before)
        if math.isnan(c.before):
            rise = (
                event.previous_window_units
                + c.by_members
                - known
                - c.plan.rate_per_s * (now - c.window + c.span) / 1000.0
            )
        c.before = (
            event.previous_window_units
            if math.isnan(c.before)
            else max(c.before, event.previous_window_units)
        )
        self.spent(now, c, max(0.0, rise))
        if self.mute and c.heard:
            c.total_at = now

    def spent(self, now: float, c: Tenant, rise: float) -> None:
        """The others have used so much more than was known. By members' words alone it may be owed: what
        several let in at once, before they heard of each other, is made up for."""
        least = -c.plan.burst_units if self.mute and self.lent(now, c) else 0.0
        dt = max(now - max(c.total_at, c.window), 1.0) / 1000.0
        weight = 1.0 - math.exp(-max(now - c.total_at, 1.0) / 1000.0 / WINDOW_S)
        c.others += (rise / (dt + 0.1) - c.others) * weight
        c.store = min(c.plan.burst_units, max(least, c.store + c.drained - rise))
        c.drained = 0.0

    def part(self, c: Tenant) -> float:
        """The most that this gateway's part of a store holds."""
        return max((c.plan.burst_units or c.plan.max_concurrent) * self.lot(c), LEAST_PART * c.size)

    def lot(self, c: Tenant) -> float:
        """This gateway's lot of a quota while no word comes: an even one, moved towards the share of the
        customer's use that came this way by the last words. Requests come in unevenly, and even parts left
        room at one gateway while another refused."""
        few = LEARNED * c.size
        return (c.told_own + few / c.spread) / (c.told_all + few)

    def room(self, c: Tenant) -> float:
        """What the customer's quotas are thought to let in at once, in units or attempts."""
        left = c.store if c.plan.rate_per_s else math.inf
        if c.plan.max_concurrent:
            left = min(left, c.plan.max_concurrent - c.open - c.others * self.hold_s)
        return left

    def unsure(self, now: float, c: Tenant, units: float) -> bool:
        """Whether a request needs a word of the moment: the others may have used what is left. Few gateways
        hear often and seldom need one; of hundreds, each sees a customer once in a window or never."""
        room = self.room(c)
        if self.mute or room == math.inf or c.under_way or now - c.called_at < CALL_GAP_MS / self.share:
            return False
        empty = room < units and now - c.total_at < 1000.0 * WINDOW_S  # and known to be
        return (max(0.0, c.fresh) + units) * c.spread >= 0.5 * room and not empty

    def ask(self, now: float, c: Tenant, request: Request) -> IncrementCounter | None:
        """The call that an unsure request waits for; of a crowd only a share ask, each for its likes."""
        if self.rng.random() > self.share:
            return None
        return self.call(now, c, request.units / self.share, request.request_id)

    def assured(self, c: Tenant, asked: bool) -> bool:
        """Whether the count alone keeps a request under the ceiling: two windows may touch, so each holds
        half of the counted share, of the burst and of what the ceiling's rate fills in a window."""
        if not asked or c.word is None or not c.whole:
            return False
        least = min(c.plan.ceiling_burst_units, c.plan.ceiling_rate_per_s * c.span / 1e3)
        return c.total <= 0.5 * COUNTED * least * c.word.granted(c.spread)

    def admit(self, now: float, c: Tenant, units: float, asked: bool, blind: bool) -> float | None:
        """None to send the request on, else the time in which a refused client should stay away."""
        # Without a word it keeps to its part: else each would spend all of a quota. One that is younger than
        # the time in which the store turns over tells of the others' use, so that `fraction` parts the rest;
        # of many gateways each is off by its own, so that they have to be surer.
        old = now - c.total_at > c.span * min(1.0, LEARNED / c.spread)
        blind = (self.mute and not self.lent(now, c)) or (blind and old)
        c.own += units / WINDOW_S
        plan = c.plan
        wait: float | None = None
        if plan.ceiling_rate_per_s and c.guard < units and not self.assured(c, asked):
            wait, self.cause = (units - c.guard) / plan.ceiling_rate_per_s * c.spread * 1000.0, "ceiling"
        elif plan.rate_per_s:
            store = min(c.part, c.store) if blind else c.store
            fraction = min(1.0, (plan.rate_per_s + max(0.0, store) / SPEND_S) / max(c.own + c.others, 1e-9))
            c.credit = min(c.credit + fraction * units, 2.0 * units)
            # A word of the moment puts the requests of all gateways in a row; no share is needed then.
            if store < units or (c.credit < units and not asked):
                wait = max(0.0, units - store) / plan.rate_per_s * 1000.0
                short = "mute" if self.mute else "lot"
                self.cause = "empty" if c.store < units else short if store < units else "share"
        if wait is None and plan.max_concurrent:
            # The cap, as a rate: what leaves as fast as answers come. Of more demand its share goes on.
            fraction = OPEN_FILL * plan.max_concurrent / max((c.own + c.others) * self.hold_s, 1e-9)
            full = c.open >= max(1, plan.max_concurrent // c.spread) and self.room(c) < 1.0
            if blind:
                full = c.part < units and c.open >= plan.max_concurrent // c.spread
            if self.rng.random() > fraction if asked else full:
                wait, self.cause = self.hold_s * 1000.0, "open"
        return wait

    def give_back(self, c: Tenant) -> None:
        """The request that the last answer was for does not go on, but the counter holds its units. Left
        there they would pass for use: of many gateways each sees a customer seldom, and together they would
        ask it out of its quota."""
        c.fresh -= self.ahead
        if c.fresh < 0.0 and not c.plan.ceiling_rate_per_s:
            self.due[c.key] = c

    def put_back(self, c: Tenant, units: float) -> None:
        """A request that was booked has come to no server. The ceiling's guard takes no notice."""
        c.store = max(c.store, min(c.plan.burst_units, c.store + units))
        c.part = max(c.part, min(self.part(c), c.part + units))
        if self.settings.has_counter:
            c.fresh -= units
            if c.fresh and not (c.fresh < 0.0 and c.plan.ceiling_rate_per_s):
                self.due[c.key] = c

    def take(self, c: Tenant, units: float, counted: bool, asked: bool) -> None:
        """Books a request that goes on."""
        c.credit -= units
        c.store = max(0.0, c.store - units)
        c.part = max(0.0, c.part - units)
        if not self.assured(c, asked):
            c.guard -= units
        if self.settings.has_counter and not counted:
            c.fresh += units
            self.due[c.key] = c

    def call(self, now: float, c: Tenant, extra: float = 0.0, waits: str | None = None) -> IncrementCounter:
        """A call that tells what is new of a customer."""
        assert c.word is not None
        # What is taken off was added to the memory of then, which may be lost, and a fresh memory would hold
        # less than it granted: under a ceiling nothing is ever taken off a total.
        due = round(c.fresh + extra, 3)
        amount, toll = max(0.0, due) if c.plan.ceiling_rate_per_s else due, c.word.toll()
        call = c, c.word, amount, toll, waits, c.fresh >= 0.0, extra
        self.calls_out.setdefault(c.name, deque()).append(call)
        c.fresh, c.called_at = round(due - amount, 3), now
        c.under_way += 1
        if self.missed >= MUTE_AFTER:
            self.probe_at = now + max(MUTE_RETRY_MS, self.settings.gateway_count * MUTE_SPACING_MS)
        return IncrementCounter(c.name, round(amount + toll, 3), IDLE_MS)

    def calls(self, now: float, c: Tenant) -> list[Action]:
        """Tells the counter what is new of a customer, the sooner the nearer its store is to empty."""
        self.refresh(now, c)
        if c.fresh == 0.0 or (c.fresh < 0.0 and c.plan.ceiling_rate_per_s):
            self.due.pop(c.key, None)
            return []
        if c.under_way or (c.fresh < 0.0 and self.share < 1.0):  # a crowded counter is spared such calls
            return []
        urgent = abs(c.fresh) * c.spread >= 0.5 * self.room(c)
        calm = c.store - c.fresh * c.spread > 0.5 * c.plan.burst_units > 0
        gap = (CALL_GAP_MS if urgent else 2000.0 if calm else 1000.0) / self.share
        if now < self.probe_at if self.mute else now - c.called_at < gap:
            return []
        return [self.call(now, c)]

    def counted(self, now: float, reply: CounterReply) -> str | None:
        """An answer: the total's rise beyond the own part is the others' use. Returns who waits for it."""
        if reply.is_late:
            self.counted_late(now, reply)
            return None
        if not (calls := self.calls_out.get(reply.key)):
            return None
        c, word, amount, toll, waits, whole, extra = calls.popleft()
        self.asker = c
        self.ahead = extra if word is c.word else 0.0  # in another window's name nothing is put right
        if not calls:
            del self.calls_out[reply.key]
        self.refresh(now, c)
        current = word is c.word
        if current:
            c.under_way -= 1
        late = reply.outcome is Outcome.TIMEOUT or reply.duration_ms >= 0.5 * self.settings.counter_timeout_ms
        self.slow += 0.1 * (late - self.slow)
        crowded = reply.outcome is Outcome.REJECTED or self.slow > 0.5
        if reply.outcome is not Outcome.OK:
            self.watch.missed_one(now)
            if reply.outcome is not Outcome.TIMEOUT:
                word.unsent(toll)
            if crowded and self.missed < MUTE_AFTER:  # a mute one is tried at a pace of its own
                self.share = max(LEAST_SHARE, 0.8 * self.share)
            self.missed += 1
            if current and reply.outcome is Outcome.TIMEOUT:
                c.mine += amount  # it may have been added, and adding it twice would be worse
                out = c, word, amount, toll, waits is not None
                self.timed_out.setdefault(c.name, deque()).append(out)
            elif current and waits is None:
                c.fresh += amount
            return waits
        self.missed = 0
        # A slow answer tells of a crowd before any call is turned away; work on unheard answers is wasted.
        # Where only some are slow, their way is: fewer calls would make it no faster.
        factor = 1.02 if not late else 0.92 if crowded else 1.0
        self.share = min(1.0, max(LEAST_SHARE, factor * self.share))
        if current:
            c.mine += amount
            c.whole = whole
            self.timed_out.pop(c.name, None)  # answers come in order: those before it never will
        self.learn(now, c, word, reply.total, amount, toll, 0.0)
        return waits

    def counted_late(self, now: float, reply: CounterReply) -> None:
        """What became of a call that had no answer in time. A slow counter is not a mute one, and its totals
        are as true; nobody waits for them any more."""
        if not (calls := self.timed_out.get(reply.key)):
            return  # of a window that has ended
        c, word, amount, toll, waited = calls.popleft()
        if reply.outcome is Outcome.OK:
            self.missed = 0
            self.learn(now, c, word, reply.total, amount, toll, sum(call[2] for call in calls))
        elif reply.outcome is not Outcome.TIMEOUT:  # nothing was added after all
            word.unsent(toll)
            c.mine -= amount
            if not waited:
                c.fresh += amount
                self.due[c.key] = c
        if not calls:
            del self.timed_out[reply.key]

    def learn(
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
        again = word.heard(total, amount, toll)
        self.watch.answered(now, again is not None)
        self.watch.share = self.share
        if word is not c.word:
            return
        rise = word.units - c.total - (c.mine - after)
        if again is not None:
            # The own words were lost with the others'. They are put in again, once, so that gateways that
            # know nothing hear of them; the store stands, as a fresh memory is no fresh quota.
            c.fresh += again
            self.due[c.key] = c
            rise = -math.inf
        if rise >= -0.5:  # else counts were lost, not demand: the last known demand stands
            told = max(0.0, c.mine - after)
            c.told_own = TOLD_KEPT * c.told_own + told
            c.told_all = TOLD_KEPT * c.told_all + told + max(0.0, rise)
            known = max(0.0, c.by_members - c.by_counter)  # by the members' words already
            c.by_counter += max(rise, 0.0)
            self.spent(now, c, max(0.0, rise - known))
        c.total, c.total_at, c.mine = word.units, now, after

    # A gateway may be two processes for a while. To the others they are one, so that each keeps to half of
    # what one may do by itself. Only one of them marks a name: if a gateway marks it twice, it grants twice.

    def beside(self, now: float) -> SendState:
        """The next process has come up: half of what is left of the guards goes to it, and all names from now
        on are its to mark."""
        self.marks_from = math.inf
        stocks = []
        for c in list(self.customers.values()):
            self.refresh(now, c)
            c.guard *= 0.5
            c.told_own *= 0.5
            heard = c.word is not None and c.total_at >= c.window
            stocks.append(QuotaSnapshot(
                c.key, c.plan.name, c.spread // self.processes, c.store, c.guard, 0.5 * c.own, c.others,
                c.told_own, c.told_all, c.window, c.total + c.mine if heard else math.inf,
            ))  # fmt: skip
        self.pair(2)
        return SendState(tuple(reversed(stocks)))

    def take_over(self, now: float, stocks: tuple[QuotaSnapshot, ...]) -> None:
        """What the process before knew. A customer of this process' own is kept as it is."""
        self.marks_from = now
        self.pair(2)
        for s in reversed(stocks):
            plan = self.plans.get(s.plan)
            if plan is None or s.tenant in self.customers:
                continue
            spread = max(1, min(s.gateway_spread, self.settings.gateway_count)) * self.processes
            guard = min(s.ceiling_guard_units, 0.5 * plan.ceiling_burst_units)
            c = Tenant(s.tenant, plan, spread, now, min(s.bucket_units, plan.burst_units), 0.0, guard, now)
            c.own, c.others, c.told_own, c.told_all = (
                s.own_demand_per_s,
                s.others_demand_per_s,
                s.reported_own_units,
                max(s.reported_units, s.reported_own_units),
            )
            c.part = self.part(c)
            self.refresh(now, c)
            if c.window == s.window_start_ms and s.window_total_units < math.inf:
                c.total, c.total_at = s.window_total_units, now  # the store knows of these units already
            self.customers[c.key] = c

    def alone(self, now: float) -> None:
        """The other process has gone."""
        self.marks_from = min(self.marks_from, now)
        self.pair(1)

    def pair(self, processes: int) -> None:
        """So many processes from now on."""
        for c in self.customers.values():
            c.spread = c.spread // self.processes * processes
        self.processes = processes

    def idle(self, now: float) -> None:
        """Ages out customers with nothing open. Where no call is out, a second counts as an answer in time:
        of a counter that is not asked, nothing else would ever tell that its crowd has gone."""
        if not self.calls_out:
            self.share = min(1.0, self.share * 1.02 ** (TICK_MS / 1000.0))
            self.watch.share = self.share
        while self.customers:
            c = next(iter(self.customers.values()))
            if now - c.seen < IDLE_MS or c.open or c.under_way:
                return
            del self.customers[c.key]
            self.due.pop(c.key, None)
