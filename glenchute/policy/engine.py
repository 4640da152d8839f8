"""The decision engine. The types it takes and returns are in `glenchute/policy/interface.py`.

A gateway serves many customers, whose quotas hold over all gateways together. `Quota` decides how much of a
customer's demand goes on, `Fleet` which server gets it, and `Gateway` follows each request to its one final
answer. Times are milliseconds, rates are units a second. README.md tells the design.
"""

from __future__ import annotations  # noqa: I001

import math
import random
from collections import deque
from dataclasses import replace

from .interface import (
    Action,
    Alone,
    AnswerBegan,
    AttemptEnded,
    AttemptHeld,
    Avoid,
    Beside,
    Cancel,
    Count,
    CountReply,
    Ending,
    Event,
    Fail,
    HandOver,
    ListKind,
    Log,
    Refuse,
    Repeat,
    Request,
    RequestClass,
    RequestGone,
    Scope,
    Send,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    Stock,
    Subscribe,
    TakeOver,
    TimerFired,
    Used,
)
from .admission.epoch_markers import Health, Name, Watch, mark_of
from .state import Attempt, Customer, Open, Server
from .admission.windows import IDLE_MS, WINDOW_S, span_of, stable, window_start

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
FEW = 4.0  # attempts out below which they tell nothing of the fleet
ANSWERS = 8  # answers that a judgement of V needs ...
TOLERATED = 0.5  # median time of answers against their aims that V settles at in overload
MOST_SPAN_S = 4.0  # ... or this long
HEARD = 0.25  # of the time that answers take, what each new one tells
PACE_MS = 60_000.0  # what was learned of a server's pace fades in this time
RATE_S = 3.0  # the rate of answers is taken over this long
WORD = 0.3  # of what a report tells beyond the mean; it is late when it comes, and others heard it too
LOOKS_PER_S = 4.0  # at a server that can't be reached, by all gateways
COLD_S = 3.0  # see Fleet.turn
TALLY_MS = 5_000.0  # a line this often tells how requests, attempts and calls to the counter ended
TICK_MS = 250.0  # how often pressure is judged and held requests are looked at
STOOD_MS = 1000.0  # a tick that comes so late tells that this process stood still
DID_NOT_RUN = (Ending.FULL, Ending.UNREACHABLE, Ending.UNSENT)


class Quota:
    """Which requests go on: stores, fill, the ceiling's guard, the cap on open attempts, the counter."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.plans = {plan.name: plan for plan in settings.plans}
        self.customers: dict[str, Customer] = {}  # the longest unseen first
        self.due: dict[str, Customer] = {}  # those with units to tell
        # Calls without an answer, by name: customer, its word, units, mark, the request that waits for it,
        # whether nothing was taken off its units, how many units were told ahead for that request.
        self.calls_out: dict[int, deque[tuple[Customer, Name, float, float, str | None, bool, float]]] = {}
        # Those that had no answer in time, of windows in force: an answer may still come. Whether a request
        # waited stands last.
        self.timed_out: dict[int, deque[tuple[Customer, Name, float, float, bool]]] = {}
        self.ahead = 0.0  # the last of these, of the last answer
        self.asker: Customer | None = None  # the customer of the last answer
        longest = max([plan.burst / plan.rate for plan in settings.plans if plan.rate], default=1.0)
        self.watch = Watch(min(IDLE_MS, 1000.0 * max(WINDOW_S, longest)), MUTE_AFTER)
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
        return not self.settings.counter or self.missed >= MUTE_AFTER

    def customer(self, now: float, request: Request) -> Customer | None:
        """The customer's record; None where the plan is not known, which is read as no quota."""
        if (plan := self.plans.get(request.plan)) is None:
            return None
        found = self.customers.pop(request.customer, None)
        spread = max(1, min(request.spread, self.settings.gateways)) * self.processes
        if found is None:
            # The ceiling's store takes no notice of a restart. While quotas are kept it never holds less than
            # its burst less the quota's, as it fills faster; half of that and the slack are thus there if all
            # gateways restart at once, and once more before the store has filled again.
            spare = 0.5 * max(0.0, plan.ceiling_burst - plan.burst) if plan.burst else 0.0
            spare += plan.ceiling_slack + plan.ceiling_rate * (now - self.started) / 1000.0
            guard = min(plan.ceiling_burst * (1.0 - COUNTED), spare) / spread
            found = Customer(request.customer, plan, spread, now, plan.burst, 0.0, guard, now)
            found.part = self.part(found)
        self.customers[request.customer] = found
        found.spread, found.seen, found.size = spread, now, max(found.size, request.units)
        self.refresh(now, found)
        return found

    def refresh(self, now: float, c: Customer) -> None:
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
            mark = mark_of(plan.burst, plan.rate, c.span / 1000.0, plan.ceiling_burst)
            c.word = Name(mark, start >= max(self.started, self.marks_from))
            c.before = max(c.by_counter, c.by_members) if start - c.window <= 1.5 * c.span else math.nan
            c.drained = c.total = c.mine = c.by_counter = c.by_members = c.heard = 0.0
            c.fresh = max(0.0, c.fresh)
            c.under_way = 0
        self.elapse(now, c)

    def elapse(self, now: float, c: Customer) -> None:
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
        c.store = min(max(c.store, plan.burst) * share, c.store - drain + plan.rate * share * dt)
        rate = (plan.rate or OPEN_FILL * plan.max_open / self.hold_s) * self.lot(c)
        c.part = min(max(c.part, self.part(c)), c.part + rate * dt)
        most = max(plan.ceiling_burst * (1.0 - COUNTED) / c.spread, c.guard)
        c.guard = min(most, c.guard + plan.ceiling_rate * (1.0 - 0.5 * COUNTED) / c.spread * dt)
        c.own *= math.exp(-dt / WINDOW_S)
        c.at = now

    def lent(self, now: float, c: Customer) -> float:
        """The share of the gateways whose use of this window is known from members; 0: not known, or old."""
        return c.heard if now - c.heard_at < MEMBERS_MS else 0.0

    def used(self, now: float, event: Used) -> None:
        """What members told of their use. The counter's totals and these tell of the same units, and each may
        lack some: the larger one counts, and only its rise is taken from the store."""
        if (c := self.customer(now, event.request)) is None or event.window_ms != c.window:
            return
        c.heard, c.heard_at = min(1.0, max(0.0, event.share)), now
        known = max(c.by_counter, c.by_members)
        c.by_members = max(c.by_members, event.units)
        # Requests come seldom, and most of a window's use may be heard of only when it is over. Of one that
        # this gateway saw nothing of, what has filled since it began has to be counted too.
        rise = c.by_members - known + max(0.0, event.before - c.before)
        if math.isnan(c.before):
            rise = event.before + c.by_members - known - c.plan.rate * (now - c.window + c.span) / 1000.0
        c.before = event.before if math.isnan(c.before) else max(c.before, event.before)
        self.spent(now, c, max(0.0, rise))
        if self.mute and c.heard:
            c.total_at = now

    def spent(self, now: float, c: Customer, rise: float) -> None:
        """The others have used so much more than was known. By members' words alone it may be owed: what
        several let in at once, before they heard of each other, is made up for."""
        least = -c.plan.burst if self.mute and self.lent(now, c) else 0.0
        dt = max(now - max(c.total_at, c.window), 1.0) / 1000.0
        weight = 1.0 - math.exp(-max(now - c.total_at, 1.0) / 1000.0 / WINDOW_S)
        c.others += (rise / (dt + 0.1) - c.others) * weight
        c.store = min(c.plan.burst, max(least, c.store + c.drained - rise))
        c.drained = 0.0

    def part(self, c: Customer) -> float:
        """The most that this gateway's part of a store holds."""
        return max((c.plan.burst or c.plan.max_open) * self.lot(c), LEAST_PART * c.size)

    def lot(self, c: Customer) -> float:
        """This gateway's lot of a quota while no word comes: an even one, moved towards the share of the
        customer's use that came this way by the last words. Requests come in unevenly, and even parts left
        room at one gateway while another refused."""
        few = LEARNED * c.size
        return (c.told_own + few / c.spread) / (c.told_all + few)

    def room(self, c: Customer) -> float:
        """What the customer's quotas are thought to let in at once, in units or attempts."""
        left = c.store if c.plan.rate else math.inf
        if c.plan.max_open:
            left = min(left, c.plan.max_open - c.open - c.others * self.hold_s)
        return left

    def unsure(self, now: float, c: Customer, units: float) -> bool:
        """Whether a request needs a word of the moment: the others may have used what is left. Few gateways
        hear often and seldom need one; of hundreds, each sees a customer once in a window or never."""
        room = self.room(c)
        if self.mute or room == math.inf or c.under_way or now - c.called_at < CALL_GAP_MS / self.share:
            return False
        empty = room < units and now - c.total_at < 1000.0 * WINDOW_S  # and known to be
        return (max(0.0, c.fresh) + units) * c.spread >= 0.5 * room and not empty

    def ask(self, now: float, c: Customer, request: Request) -> Count | None:
        """The call that an unsure request waits for; of a crowd only a share ask, each for its likes."""
        if self.rng.random() > self.share:
            return None
        return self.call(now, c, request.units / self.share, request.request_id)

    def assured(self, c: Customer, asked: bool) -> bool:
        """Whether the count alone keeps a request under the ceiling: two windows may touch, so each holds
        half of the counted share, of the burst and of what the ceiling's rate fills in a window."""
        if not asked or c.word is None or not c.whole:
            return False
        least = min(c.plan.ceiling_burst, c.plan.ceiling_rate * c.span / 1e3)
        return c.total <= 0.5 * COUNTED * least * c.word.granted(c.spread)

    def admit(self, now: float, c: Customer, units: float, asked: bool, blind: bool) -> float | None:
        """None to send the request on, else the time in which a refused client should stay away."""
        # Without a word it keeps to its part: else each would spend all of a quota. One that is younger than
        # the time in which the store turns over tells of the others' use, so that `fraction` parts the rest;
        # of many gateways each is off by its own, so that they have to be surer.
        old = now - c.total_at > c.span * min(1.0, LEARNED / c.spread)
        blind = (self.mute and not self.lent(now, c)) or (blind and old)
        c.own += units / WINDOW_S
        plan = c.plan
        wait: float | None = None
        if plan.ceiling_rate and c.guard < units and not self.assured(c, asked):
            wait, self.cause = (units - c.guard) / plan.ceiling_rate * c.spread * 1000.0, "ceiling"
        elif plan.rate:
            store = min(c.part, c.store) if blind else c.store
            fraction = min(1.0, (plan.rate + max(0.0, store) / SPEND_S) / max(c.own + c.others, 1e-9))
            c.credit = min(c.credit + fraction * units, 2.0 * units)
            # A word of the moment puts the requests of all gateways in a row; no share is needed then.
            if store < units or (c.credit < units and not asked):
                wait = max(0.0, units - store) / plan.rate * 1000.0
                short = "mute" if self.mute else "lot"
                self.cause = "empty" if c.store < units else short if store < units else "share"
        if wait is None and plan.max_open:
            # The cap, as a rate: what leaves as fast as answers come. Of more demand its share goes on.
            fraction = OPEN_FILL * plan.max_open / max((c.own + c.others) * self.hold_s, 1e-9)
            full = c.open >= max(1, plan.max_open // c.spread) and self.room(c) < 1.0
            if blind:
                full = c.part < units and c.open >= plan.max_open // c.spread
            if self.rng.random() > fraction if asked else full:
                wait, self.cause = self.hold_s * 1000.0, "open"
        return wait

    def give_back(self, c: Customer) -> None:
        """The request that the last answer was for does not go on, but the counter holds its units. Left
        there they would pass for use: of many gateways each sees a customer seldom, and together they would
        ask it out of its quota."""
        c.fresh -= self.ahead
        if c.fresh < 0.0 and not c.plan.ceiling_rate:
            self.due[c.key] = c

    def put_back(self, c: Customer, units: float) -> None:
        """A request that was booked has come to no server. The ceiling's guard takes no notice."""
        c.store = max(c.store, min(c.plan.burst, c.store + units))
        c.part = max(c.part, min(self.part(c), c.part + units))
        if self.settings.counter:
            c.fresh -= units
            if c.fresh and not (c.fresh < 0.0 and c.plan.ceiling_rate):
                self.due[c.key] = c

    def take(self, c: Customer, units: float, counted: bool, asked: bool) -> None:
        """Books a request that goes on."""
        c.credit -= units
        c.store = max(0.0, c.store - units)
        c.part = max(0.0, c.part - units)
        if not self.assured(c, asked):
            c.guard -= units
        if self.settings.counter and not counted:
            c.fresh += units
            self.due[c.key] = c

    def call(self, now: float, c: Customer, extra: float = 0.0, waits: str | None = None) -> Count:
        """A call that tells what is new of a customer."""
        assert c.word is not None
        # What is taken off was added to the memory of then, which may be lost, and a fresh memory would hold
        # less than it granted: under a ceiling nothing is ever taken off a total.
        due = round(c.fresh + extra, 3)
        amount, toll = max(0.0, due) if c.plan.ceiling_rate else due, c.word.toll()
        call = c, c.word, amount, toll, waits, c.fresh >= 0.0, extra
        self.calls_out.setdefault(c.name, deque()).append(call)
        c.fresh, c.called_at = round(due - amount, 3), now
        c.under_way += 1
        if self.missed >= MUTE_AFTER:
            self.probe_at = now + max(MUTE_RETRY_MS, self.settings.gateways * MUTE_SPACING_MS)
        return Count(c.name, round(amount + toll, 3), IDLE_MS)

    def calls(self, now: float, c: Customer) -> list[Action]:
        """Tells the counter what is new of a customer, the sooner the nearer its store is to empty."""
        self.refresh(now, c)
        if c.fresh == 0.0 or (c.fresh < 0.0 and c.plan.ceiling_rate):
            self.due.pop(c.key, None)
            return []
        if c.under_way or (c.fresh < 0.0 and self.share < 1.0):  # a crowded counter is spared such calls
            return []
        urgent = abs(c.fresh) * c.spread >= 0.5 * self.room(c)
        calm = c.store - c.fresh * c.spread > 0.5 * c.plan.burst > 0
        gap = (CALL_GAP_MS if urgent else 2000.0 if calm else 1000.0) / self.share
        if now < self.probe_at if self.mute else now - c.called_at < gap:
            return []
        return [self.call(now, c)]

    def counted(self, now: float, reply: CountReply) -> str | None:
        """An answer: the total's rise beyond the own part is the others' use. Returns who waits for it."""
        if reply.late:
            self.counted_late(now, reply)
            return None
        if not (calls := self.calls_out.get(reply.name)):
            return None
        c, word, amount, toll, waits, whole, extra = calls.popleft()
        self.asker = c
        self.ahead = extra if word is c.word else 0.0  # in another window's name nothing is put right
        if not calls:
            del self.calls_out[reply.name]
        self.refresh(now, c)
        current = word is c.word
        if current:
            c.under_way -= 1
        late = reply.ending is Ending.TIMEOUT or reply.took_ms >= 0.5 * self.settings.counter_timeout_ms
        self.slow += 0.1 * (late - self.slow)
        crowded = reply.ending is Ending.FULL or self.slow > 0.5
        if reply.ending is not Ending.OK:
            self.watch.missed_one(now)
            if reply.ending is not Ending.TIMEOUT:
                word.unsent(toll)
            if crowded and self.missed < MUTE_AFTER:  # a mute one is tried at a pace of its own
                self.share = max(LEAST_SHARE, 0.8 * self.share)
            self.missed += 1
            if current and reply.ending is Ending.TIMEOUT:
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

    def counted_late(self, now: float, reply: CountReply) -> None:
        """What became of a call that had no answer in time. A slow counter is not a mute one, and its totals
        are as true; nobody waits for them any more."""
        if not (calls := self.timed_out.get(reply.name)):
            return  # of a window that has ended
        c, word, amount, toll, waited = calls.popleft()
        if reply.ending is Ending.OK:
            self.missed = 0
            self.learn(now, c, word, reply.total, amount, toll, sum(call[2] for call in calls))
        elif reply.ending is not Ending.TIMEOUT:  # nothing was added after all
            word.unsent(toll)
            c.mine -= amount
            if not waited:
                c.fresh += amount
                self.due[c.key] = c
        if not calls:
            del self.timed_out[reply.name]

    def learn(
        self, now: float, c: Customer, word: Name, total: float, amount: float, toll: float, after: float
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

    def beside(self, now: float) -> HandOver:
        """The next process has come up: half of what is left of the guards goes to it, and all names from now
        on are its to mark."""
        self.marks_from = math.inf
        stocks = []
        for c in list(self.customers.values()):
            self.refresh(now, c)
            c.guard *= 0.5
            c.told_own *= 0.5
            heard = c.word is not None and c.total_at >= c.window
            stocks.append(Stock(
                c.key, c.plan.name, c.spread // self.processes, c.store, c.guard, 0.5 * c.own, c.others,
                c.told_own, c.told_all, c.window, c.total + c.mine if heard else math.inf,
            ))  # fmt: skip
        self.pair(2)
        return HandOver(tuple(reversed(stocks)))

    def take_over(self, now: float, stocks: tuple[Stock, ...]) -> None:
        """What the process before knew. A customer of this process' own is kept as it is."""
        self.marks_from = now
        self.pair(2)
        for s in reversed(stocks):
            plan = self.plans.get(s.plan)
            if plan is None or s.customer in self.customers:
                continue
            spread = max(1, min(s.spread, self.settings.gateways)) * self.processes
            guard = min(s.guard, 0.5 * plan.ceiling_burst)
            c = Customer(s.customer, plan, spread, now, min(s.store, plan.burst), 0.0, guard, now)
            c.own, c.others, c.told_own, c.told_all = s.own, s.others, s.told_own, max(s.told_all, s.told_own)
            c.part = self.part(c)
            self.refresh(now, c)
            if c.window == s.window_ms and s.total < math.inf:
                c.total, c.total_at = s.total, now  # the store knows of these units already
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


class Fleet:
    """Which server: the list, its health as own outcomes show it, cold starts."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.servers: dict[str, Server] = {}
        self.means: dict[tuple[str, int], float] = {}
        self.usual = 0.0  # the median share of failures
        self.load = 1.0  # time of the last answers, all kinds, against their means, which are slow to learn
        self.of = 0  # servers that there are, if more than are known here
        self.crowd = [0.0, 0.0]  # what others have at a server, for its size: means of cold and of warm ones
        self.rate = 0.0  # answers of a warm server, a second: the mean, of those that are warm now

    def update(self, news: ServerList, now: float) -> None:
        """Follows the list. A server that drains or is gone gets nothing new from this moment on."""
        self.of = news.of or self.of
        if news.kind in (ListKind.FULL, ListKind.SAVED):
            listed = {entry.server for entry in news.entries}
            for name in [name for name in self.servers if name not in listed]:
                del self.servers[name]
        for entry in news.entries:
            old = self.servers.get(entry.server)
            if entry.state is not ServerState.ACTIVE:
                self.servers.pop(entry.server, None)
            elif old is None or old.entry.started_ms != entry.started_ms:
                # A new process: what was learned of the old one says nothing of it.
                size = entry.size if 0.0 < entry.size < math.inf else 1.0  # a weight may be anything
                new = self.servers[entry.server] = Server(entry, size, old.out if old else 0)
                # The gateways hear of it at once; first turns in the same moment would push it over.
                new.turn, new.turn_at = self.rng.random(), now
            else:
                old.entry = entry

    def warmth(self, server: Server, now: float) -> float:
        """The least share of its capacity that a server has by now."""
        rules = self.settings.safety
        age = max(0.0, now - server.entry.started_ms) / max(1.0, rules.warm_ms)
        cold = server.entry.started_ms > 0
        return min(1.0, rules.cold_share + (1.0 - rules.cold_share) * age) if cold else 1.0

    def mean(self, cls: RequestClass, units: float) -> float:
        """Mean time of such answers, over the fleet."""
        return self.means.get((cls.name, round(units)), cls.aim_ms * 0.15)

    def pick(self, now: float, opened: Open) -> Server | None:
        """The server with the least expected delay; None if there is none to send to."""
        cls = opened.cls
        home = opened.home if cls.repeat is Repeat.KEYED and cls.scope is not Scope.ALL else None
        best: Server | None = None
        least = math.inf
        mean = self.mean(cls, opened.request.units)
        for server in self.servers.values():
            entry = server.entry
            if home and (entry.zone != home.zone or (cls.scope is Scope.CELL and entry.cell != home.cell)):
                continue
            warmth = self.warmth(server, now)
            if warmth < 1.0 and (server.out >= 2 or not self.has_turn(server, now, warmth)):
                continue
            cost = self.delay(server, now, mean, warmth) / warmth
            if entry.server in opened.tried:
                cost += 10.0
            if now < max(server.look_at, server.avoid_to):
                cost += 1000.0  # any other is better, and if there is none, this one is tried
            if entry.zone != self.settings.zone:
                cost *= 1.0 + 10.0 * self.settings.cross_zone_price
            cost *= self.rng.uniform(0.9, 1.1)
            if cost < least:
                best, least = server, cost
        return best

    def delay(self, server: Server, now: float, mean: float, warmth: float) -> float:
        """Expected delay at a server in mean service times; failures count as a long delay."""
        # Of many gateways each hears of a server seldom. As its last report grows old, what such servers hold
        # on average takes its place: else all would pass for idle, and none would seem worth sparing.
        usual = self.crowd[warmth >= 1.0] * server.size
        held = usual + WORD * (server.held - usual) * math.exp((server.held_at - now) / 1000.0)
        wait = self.pace(server, now) * (1.0 + server.out) + held / server.size
        if server.silent_since is not None:
            # An answer overdue says hung, slow, or cut off, before any time-out does.
            wait = max(wait, (now - server.silent_since) / mean)
        return wait + 20.0 * max(0.0, server.fails * math.exp((server.fails_at - now) / 5000.0) - self.usual)

    def sent(self, now: float, server: Server) -> None:
        """Books an attempt."""
        server.out += 1
        if server.silent_since is None:
            server.silent_since = now
        server.turn -= 1.0

    def has_turn(self, server: Server, now: float, warmth: float) -> bool:
        """Whether a cold server may be sent a request now. Its turns come up here so fast that all gateways
        together send it no more than its share of what warm ones do, and those that know no rate one request
        in COLD_S. A turn that is not taken soon is lost: saved ones, spent by all gateways once the warm
        servers are full, would push it over."""
        rules = self.settings.safety
        rate = max(self.rate * warmth, 1.0 / COLD_S / self.settings.gateways) / 1000.0
        kept = rate * rules.overload_ms * max(0.2, 0.8 * rules.overload_factor - 1.0)
        server.turn += rate * max(0.0, now - server.turn_at)
        server.turn_at = now
        if server.turn > 1.0 + kept:
            server.turn = kept if kept >= 1.0 else server.turn % 1.0
        return server.turn >= 1.0

    def pace(self, server: Server, now: float) -> float:
        """Time of its answers against the fleet's. One that was slow is asked no more, and so never found
        to be well again, unless what was learned of it grows old."""
        return 1.0 + (server.pace - 1.0) * math.exp((server.paced_at - now) / PACE_MS)

    def answers(self, server: Server, now: float) -> float:
        """What it answers here, a second."""
        return server.rate * math.exp((server.rated_at - now) / 1000.0 / RATE_S)

    def ended(self, now: float, event: AttemptEnded, cls: RequestClass, units: float) -> None:
        """Learns from an outcome."""
        if (server := self.servers.get(event.server)) is None:
            return
        server.out = max(0, server.out - 1)
        warm = self.warmth(server, now) >= 1.0
        if event.queue is not None or event.active is not None:
            total = max(event.active or 0.0, event.queue or 0.0)
            server.held, server.held_at = max(0.0, total - server.out), now
            self.crowd[warm] += 0.1 * (server.held / server.size - self.crowd[warm])
        if event.ending in (Ending.UNSENT, Ending.CANCELLED):
            return
        if event.ending is Ending.UNREACHABLE:
            # Unlike a failure this says nothing of the requests, however many servers it befalls: after a
            # restart the list may be so old that most are gone. Each look costs a request a try, so the first
            # ones come soon, and then all gateways together look a few times a second and this one once.
            lost = sum(other.refused > 0 for other in self.servers.values())
            most = max(4.0, self.settings.gateways / LOOKS_PER_S, lost)
            share = min(1.0, 0.25 * 2.0**server.refused)
            server.look_at = now + 1000.0 * most * share * self.rng.uniform(0.75, 1.25)
            server.refused = min(server.refused + 1, 10)
        elif event.ending is not Ending.TIMEOUT:
            server.refused, server.look_at, server.avoid_to = 0, 0.0, 0.0
        if event.ending is not Ending.TIMEOUT or not server.out:
            server.silent_since = now if server.out else None
        faded = server.fails * math.exp((server.fails_at - now) / 5000.0)
        if event.ending in (Ending.OK, Ending.TIMEOUT):
            # A time-out tells the least that the answer would have taken. Leaving it out would make a busy
            # server look quick by the answers that got through, and shorten the time-outs as load grows.
            key = (cls.name, round(units))
            mean = self.mean(cls, units)
            self.means[key] = mean + 0.03 * (event.took_ms - mean)
            self.load += 0.12 * (event.took_ms / mean - self.load)
            pace = self.pace(server, now)
            server.pace, server.paced_at = pace + 0.12 * (event.took_ms / mean - pace), now
        if event.ending is Ending.OK:
            server.fails = faded * 0.7
            if warm:
                server.rate, server.rated_at = self.answers(server, now) + 1.0 / RATE_S, now
        else:
            weight = 0.5 if event.ending in (Ending.TIMEOUT, Ending.UNREACHABLE) else 0.3
            server.fails = faded + weight * (1.0 - faded)
        server.fails_at = now

    def judge(self, now: float) -> list[str]:
        """Names the servers that fail far more than most. What fails everywhere (a poisoned class, a full
        fleet) says nothing of one server; held against all, it would drown their queues in the choice. Takes
        the rate of the warm ones anew, too."""
        # What warm servers answer tells what one can bear, overdriven or not. Only those that are warm now
        # count: where most have been replaced, a mean over all would tell of much less. With all cold, the
        # last word stands: counting cold ones would raise the rate by itself and push all of them over.
        warm = [self.answers(s, now) for s in self.servers.values() if self.warmth(s, now) >= 1.0]
        self.rate = sum(warm) / len(warm) if warm else self.rate
        faded = {k: s.fails * math.exp((s.fails_at - now) / 5000.0) for k, s in self.servers.items()}
        self.usual = sorted(faded.values())[len(faded) // 2] if faded else 0.0
        return [name for name, fails in faded.items() if fails - self.usual > 0.5]


class Pressure:
    """V: what the back end can take, and who gives way when it binds."""

    def __init__(self) -> None:
        self.backlog = 0.0  # own work out, in ms of mean service
        self.done = self.peak = 0.0  # own work answered, ms a second, and the most of it lately
        self.done_at, self.born = 0.0, math.inf
        self.capacity = math.inf  # units a second
        self.at: float | None = None
        self.times: list[float] = []  # the window's answers, time against aim
        self.demand: dict[float, float] = {}  # units in this window, by what a unit earns
        self.last: dict[float, float] = {}
        self.credit: dict[float, float] = {}
        self.part = 1.0  # this gateway's part of the servers
        self.took = 0.2  # mean time of the last answers, seconds; soon forgotten: what was slow may be well
        self.size = 1.0  # mean units of a request
        self.well = 0  # windows in a row that were well

    def window(self, now: float, ages: list[float]) -> None:
        """At a window's end: V shrinks while answers come late, else grows by a fifth, by a fifth more for
        each window in a row that was well. The median tells, so that a few sick servers don't count; requests
        out count by age, or a hung fleet would look idle. A window says as much as was seen in it."""
        if self.at is None:
            self.at = now
        span = (now - self.at) / 1000.0
        if span < WINDOW_S or (len(self.times) < ANSWERS and span < MOST_SPAN_S):
            return
        seen = sorted(self.times + ages)
        lateness = seen[len(seen) // 2] if seen else 0.0
        sure = min(1.0, len(seen) / ANSWERS)
        if lateness > TOLERATED:
            # What few tell, or came while nobody asked, is no bound on what the back end can do.
            offered = max(sum(self.demand.values()) / span, sum(self.last.values()))
            self.capacity = min(self.capacity, offered / sure)
        # A smooth answer: what many gateways hear differs by chance, their sum should not. Three tenths off
        # at most, as one bad window says little of what the back end can do in the next.
        factor = max(0.7, 1.0 + TOLERATED - lateness)
        self.well = self.well + 1 if lateness < 0.5 * TOLERATED else 0
        factor = 1.0 + sure * (factor - 1.0) if factor < 1.0 else min(1.2, factor) ** max(1, self.well)
        self.capacity = factor * max(self.capacity, self.floor)  # from nothing, no factor leads anywhere
        weight = min(1.0, len(self.times) / (2.0 * ANSWERS))
        for value in dict.fromkeys([*self.last, *self.demand]):
            new = self.demand.pop(value, 0.0) / span
            self.last[value] = self.last.get(value, new) * (1.0 - weight) + new * weight
        if self.capacity > 3.0 * sum(self.last.values()):
            self.capacity = math.inf
        self.times, self.at = [], now

    def stood(self, now: float) -> None:
        """This process stood still: the window holds nothing to judge by, and the pace is of long ago."""
        self.times, self.demand, self.at, self.done, self.born = [], {}, now, 0.0, now

    @property
    def floor(self) -> float:
        """What the back end surely bears of this gateway: one request at a time at each server, over all
        gateways, lasts as long as answers now take. It rises with each quick answer and without a window's
        end, so that V finds its way back from wherever it fell to."""
        return self.part / self.took * self.size

    def heard(self, took: float, aim: float) -> None:
        """Books the time, in ms, of an answer or of one that did not come in time."""
        self.times.append(took / aim)
        self.took = max(0.001, self.took + HEARD * (took / 1000.0 - self.took))

    def answered(self, now: float, work: float) -> None:
        """Books work that an answer brought back."""
        dt = (now - self.done_at) / 1000.0
        if dt > MOST_SPAN_S:  # the pace of long ago is not the pace of now: it is taken anew, as at the start
            self.done, self.born = 0.0, now
        self.done = self.done * math.exp(-dt / 2.0) + work / 2.0
        self.born = min(self.born, now)
        grown = 1.0 - math.exp(-(now - self.born + 200.0) / 2000.0)  # a mean that began at nothing
        self.peak = max(self.done / grown, self.peak * math.exp(-dt / 8.0))
        self.done_at = now

    def admit(self, value: float, units: float, aim: float, many: bool) -> bool:
        """Greedy fill: the dearest units first, the share of the marginal kind by its credit."""
        self.demand[value] = self.demand.get(value, 0.0) + units
        self.size += 0.05 * (units - self.size)
        dearer = sum(n for v, n in self.last.items() if v > value)
        if self.peak > 0 and many:
            # A surge fills the servers' queues long before late answers show it. What is out, at the pace at
            # which answers come, tells how late a new one would be; the cheap give way first.
            rank = dearer / max(sum(self.last.values()), 1e-9)
            if self.backlog / self.peak * 1000.0 > aim * (0.5 - 0.2 * rank):
                return False
        if self.capacity == math.inf:
            return True
        room = max(self.capacity, self.floor) - dearer
        share = min(1.0, max(0.0, room / max(self.last.get(value, 0.0), 1e-9)))
        credit = min(2.0 * units, self.credit.get(value, units) + share * units)
        admitted = credit >= units
        self.credit[value] = credit - units if admitted else credit
        return admitted


class Gateway:
    """Follows each request to its one final answer."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.classes = {cls.name: cls for cls in settings.classes}
        self.quota = Quota(settings, self.rng)
        self.fleet = Fleet(settings, self.rng)
        self.pressure = Pressure()
        self.requests: dict[str, Open] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.held: list[str] = []
        self.waits: dict[int, tuple[Open, bool]] = {}  # by timer: what is to be tried then; a second copy?
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
            case ServerList():
                self.fleet.update(event, now_ms)
                if event.kind in (ListKind.SAVED, ListKind.FAILED) and self.settings.subscribe:
                    self.actions.append(Subscribe())
                self.resume(now_ms)
            case TimerFired(token):
                if token:
                    self.due(now_ms, token)
                else:
                    self.tick(now_ms)
            case CountReply():
                self.count(f"counter: {event.ending.value}")
                name = self.quota.counted(now_ms, event)
                if waiting := self.requests.get(name or ""):
                    waiting.counted = event.ending in (Ending.OK, Ending.TIMEOUT)  # else nothing was added
                    self.decide(now_ms, waiting, event.ending is Ending.OK, event.ending is not Ending.OK)
                elif name and self.quota.asker and event.ending is Ending.OK:
                    self.quota.give_back(self.quota.asker)  # its client has left
            case AttemptHeld(request_id):
                if self.settings.overlap and (held := self.requests.get(request_id)):
                    self.copy(now_ms, held)
            case RequestGone(request_id):
                if (left := self.requests.pop(request_id, None)) is not None:
                    self.unbook(left)
            case AnswerBegan(request_id, number):
                self.requests.pop(request_id, None)
                if attempt := self.attempts.get((request_id, number)):
                    attempt.began = now_ms
            case Beside():
                self.actions.append(self.quota.beside(now_ms))
            case TakeOver(stocks):
                self.quota.take_over(now_ms, stocks)
            case Alone():
                self.quota.alone(now_ms)
            case Used():
                self.quota.used(now_ms, event)
            case Avoid(name, for_ms):
                if known := self.fleet.servers.get(name):
                    known.avoid_to = now_ms + for_ms
                    known.look_at *= for_ms > 0
        return self.actions

    def tick(self, now: float) -> None:
        """Judges pressure, ages out customers, looks at held requests."""
        self.tick_at = now + TICK_MS
        self.actions.append(SetTimer(0, self.tick_at))
        self.pressure.part = max(1, self.fleet.of, len(self.fleet.servers)) / self.settings.gateways
        self.pressure.window(now, [
            (min(now, a.began) - a.sent) / a.opened.cls.aim_ms
            for a in self.attempts.values() if a.sent >= self.woke
        ])  # fmt: skip
        self.tell(now, "counter mute", self.settings.counter and self.quota.mute)
        self.tell(now, "calls to the counter slowed", self.quota.share < 0.5)
        health = self.quota.watch.state(now)
        self.tell(now, "counter in doubt", health.value if health in (Health.REPLACED, Health.SPLIT) else "")
        self.tell(now, "V binds", self.pressure.capacity < math.inf)
        self.tell(now, "no server to send to", not self.fleet.servers)
        self.tell(now, "requests fail on most servers", self.fleet.usual > 0.2)
        self.tell(now, "servers avoided", ", ".join(self.fleet.judge(now)))
        if now - self.tallied_at >= TALLY_MS and self.tally:
            line = ", ".join(f"{what} {n}" for what, n in sorted(self.tally.items()))
            self.actions.append(Log(f"in {(now - self.tallied_at) / 1000.0:.1f} s: {line}"))
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
            self.actions.append(Log(f"{what}: {'begins' if state else 'ends'}{detail}"))

    def accept(self, now: float, request: Request) -> None:
        """A new request: quota first, then V, then a server."""
        left = request.time_left_ms
        self.count("requests")
        cls = self.classes.get(request.class_name) or RequestClass("", left, 1.0, Repeat.UNSAFE)
        if left <= 0 or len(self.requests) >= self.settings.max_requests - 1:
            self.count("refused: at the door")
            self.actions.append(Refuse(request.request_id, self.settings.max_retry_after_ms))
            return
        self.retries = min(10.0, self.retries + 0.2)
        customer = self.quota.customer(now, request)
        opened = Open(request, cls, customer, now, now + left)
        self.requests[request.request_id] = opened
        hasty = left < 2.0 * self.settings.counter_timeout_ms + TICK_MS  # no time to ask
        if customer is not None and not hasty and self.quota.unsure(now, customer, request.units):
            opened.counted = True
            if (call := self.quota.ask(now, customer, request)) is not None:
                self.actions.append(call)
                return
        self.decide(now, opened, False, opened.counted)

    def decide(self, now: float, opened: Open, asked: bool, blind: bool = False) -> None:
        """Lets a request go on or refuses it. `asked`: by a word of the moment; `blind`: such a word was
        asked for, and did not come."""
        request, cls, customer = opened.request, opened.cls, opened.customer
        if customer is not None:
            value = cls.worth * customer.plan.price
            wait = self.quota.admit(now, customer, request.units, asked, blind)
            many = len(self.attempts) > max(FEW, 2.0 * len(self.fleet.servers) / self.settings.gateways)
            if wait is None and not self.pressure.admit(value, request.units, cls.aim_ms, many):
                wait, self.quota.cause = self.settings.max_retry_after_ms, "overload"
            if wait is not None:
                self.count("refused: " + self.quota.cause)
                if asked and customer is not None:
                    self.quota.give_back(customer)
                del self.requests[request.request_id]
                wait = max(1.0, min(wait, self.settings.max_retry_after_ms))
                self.actions.append(Refuse(request.request_id, wait))
                return
            # Booked now and not at the sending, so that held requests don't pass a ceiling together.
            self.quota.take(customer, request.units, opened.counted, asked)
            opened.booked = True
            self.actions += self.quota.calls(now, customer)
        self.send(now, opened)

    def send(self, now: float, opened: Open) -> None:
        """Starts an attempt; holds or refuses the request where there is no server for it."""
        request, cls = opened.request, opened.cls
        server = self.fleet.pick(now, opened)
        if server is not None:
            self.start(now, opened, server)
            if request.copy_after_ms > 0 and self.settings.overlap and opened.attempts == 1:
                self.later(now + request.copy_after_ms, opened, True)
        else:
            if now - opened.came < 0.3 * cls.aim_ms and now < opened.deadline - 2 * TICK_MS:
                self.held.append(request.request_id)  # a server may come up, or a cold one's turn
            else:
                self.finish(opened)

    def start(self, now: float, opened: Open, server: Server) -> None:
        """Starts an attempt at this server."""
        request, cls = opened.request, opened.cls
        if opened.customer is not None:
            opened.customer.open += 1
        mean = self.fleet.mean(cls, request.units)
        patience = max(0.5 * cls.aim_ms, 5.0 * mean * max(1.0, self.fleet.load))
        late = patience > 0.75 * cls.aim_ms or opened.deadline - now - patience < mean
        if late or cls.repeat is Repeat.UNSAFE or opened.attempts >= min(2, self.settings.max_attempts - 1):
            patience = 0.0  # a second try would come too late: a busy fleet is left to finish its work
        if request.attempt_timeout_ms > 0:
            patience = min(patience or math.inf, request.attempt_timeout_ms)
        self.actions.append(Send(request.request_id, server.entry.server, patience, self.forgotten(opened)))
        self.attempts[request.request_id, opened.attempts] = Attempt(opened, server.entry, now, mean)
        opened.attempts += 1
        opened.out += 1
        opened.tried.append(server.entry.server)
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
        self.count(f"attempt: {event.ending.value}")
        told = attempt.sent >= self.woke
        heard = event if told else replace(event, ending=Ending.CANCELLED)
        self.fleet.ended(now, heard, opened.cls, opened.request.units)
        if opened.customer is not None:
            opened.customer.open -= 1
            self.quota.hold_s += 0.02 * (event.took_ms / 1000.0 - self.quota.hold_s) * told
        self.pressure.backlog = max(0.0, self.pressure.backlog - attempt.work)
        if event.ending is Ending.OK:
            self.pressure.answered(now, attempt.work)
        if event.ending in (Ending.OK, Ending.TIMEOUT) and told:
            self.pressure.heard(event.took_ms, opened.cls.aim_ms)
        opened.out -= 1
        opened.reached |= event.ending not in (Ending.UNREACHABLE, Ending.UNSENT)
        if event.request_id not in self.requests:
            self.unbook(opened)
            return
        if event.final:
            del self.requests[event.request_id]
            if opened.out:  # a second copy, whose answer nobody waits for
                out = [n for n in range(opened.attempts) if (event.request_id, n) in self.attempts]
                self.actions += [Cancel(event.request_id, n) for n in out]
            return
        if event.ending not in DID_NOT_RUN and opened.may_run_at is None:
            opened.may_run_at = attempt.sent
            opened.home = attempt.server
        if opened.out > 0:
            return
        # The budget spares servers in trouble further work; one that can't be reached has had none.
        price = 0.0 if event.ending is Ending.UNREACHABLE else 1.0
        if self.may_repeat(now + event.next_after_ms, opened, event) and self.retries >= price:
            self.retries -= price
            if event.next_after_ms > 0:
                self.later(now + event.next_after_ms, opened, False)
            else:
                self.send(now, opened)
        else:
            self.finish(opened)

    def later(self, at: float, opened: Open, copy: bool) -> None:
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

    def copy(self, now: float, opened: Open) -> None:
        """A second copy beside the first, where that is out alone and a repeat does no harm."""
        first = self.attempts.get((opened.request.request_id, 0))
        if first is None or opened.out != 1 or opened.attempts != 1 or self.retries < 1.0:
            return
        if opened.cls.repeat is Repeat.UNSAFE:
            return
        if opened.cls.repeat is Repeat.KEYED:
            opened.may_run_at, opened.home = first.sent, first.server  # what is out counts as run
        server = self.fleet.pick(now, opened) if self.may_repeat(now, opened, None) else None
        if server is not None and server.entry.server not in opened.tried:
            self.retries -= 1.0
            self.start(now, opened, server)

    def forgotten(self, opened: Open) -> float:
        """When the servers may have forgotten a keyed request that may have run; 0: no such time."""
        if opened.cls.repeat is not Repeat.KEYED or opened.may_run_at is None:
            return 0.0
        return opened.may_run_at + opened.cls.memory_ms - 5.0

    def may_repeat(self, now: float, opened: Open, event: AttemptEnded | None) -> bool:
        """Whether another attempt is allowed and of use."""
        cls = opened.cls
        useful = opened.deadline if cls.late_worth > 0 else min(opened.deadline, opened.came + cls.aim_ms)
        if opened.attempts >= self.settings.max_attempts or (event and event.ending is Ending.UNSENT):
            return False
        if now + 0.5 * self.fleet.mean(cls, opened.request.units) > useful:
            return False
        if opened.may_run_at is None or cls.repeat is Repeat.SAFE:
            return True
        return cls.repeat is Repeat.KEYED and now < self.forgotten(opened)

    def unbook(self, opened: Open) -> None:
        """Gives the units of a request back that is over, if none of its attempts came to a server."""
        if opened.customer is not None and opened.booked and not opened.reached and not opened.out:
            opened.booked = False
            self.quota.put_back(opened.customer, opened.request.units)

    def finish(self, opened: Open) -> None:
        """The final answer of a request that was not served: refused only if that promises nothing false."""
        self.unbook(opened)
        name, clear = opened.request.request_id, opened.may_run_at is None
        self.count("refused: no attempt" if clear else "failed")
        del self.requests[name]
        self.actions.append(Refuse(name, self.settings.max_retry_after_ms) if clear else Fail(name))
