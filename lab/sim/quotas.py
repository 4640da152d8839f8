"""Quotas at many gateways beside a sound counter: what is let in beyond, refused with room, and why.

`demand` draws a deployment's tries, `Books` keeps each customer's true store over all gateways and books
every try, `QuotaWorld` plays real module instances against it. `Informed` is the module's `Quota` that is
handed the exact truth of some of the things that it has to guess: what is left of an error then was not
caused by these. `Model` plays the same tries against the bucket's state kept at the counter.

Times are milliseconds, rates units a second. Nothing here is a forecast of the bench's score.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from typing import Any

from glenchute.policy.actions import Action, IncrementCounter, Reject, StartAttempt
from glenchute.policy.admission import ceiling, tenants, windows
from glenchute.policy.admission.call_pacing import CallPacing
from glenchute.policy.admission.counter_calls import CounterCalls
from glenchute.policy.admission.counter_sync import CounterSync
from glenchute.policy.admission.epoch_markers import WindowCounter
from glenchute.policy.admission.quota import QuotaAccounting
from glenchute.policy.admission.tenant import Tenant
from glenchute.policy.admission.tenants import TenantTable
from glenchute.policy.admission.windows import window_phase, window_start_ms
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import CounterReply, Outcome, Request
from glenchute.policy.settings import Idempotency, Plan, RequestClass, Settings, SlowStart
from lab.sim.world import NET_MS, Asked, World

COUNTER_MS = 2.0  # a call's time at the counter
WARM_MS = 6000.0  # of a day that is not counted: gateways have just started
GONE = 0.2  # of the calls without an answer in time: never answered, half of them added; the others come late
LATE = 2.0  # time-outs that these take to be added, at most
BLUR = 0.1  # units: what a store fills in the milliseconds of a call, a store may lack without fault
ROOM = 0.5  # of a store, from which on a refusal counts as one with room


# --- what customers ask ----------------------------------------------------------------------------------


@dataclass(frozen=True)
class Site:
    """A deployment's figures, each a range that a seed draws from, as its site file has them."""

    name: str
    rates: tuple[tuple[float, float], ...]  # of each plan
    bursts_s: tuple[tuple[float, float], ...]
    shares: tuple[float, ...]  # of the load inside quotas
    prices: tuple[float, ...]
    ceilings: tuple[tuple[float, float] | None, ...]
    opens: tuple[int, ...]  # most attempts out, 0: no such limit
    sizes: tuple[float, ...]  # units of a request, drawn evenly
    calm_use: tuple[float, float]
    full: tuple[float, float]
    heavy: tuple[float, float]
    heavy_x: tuple[float, float]
    spiky: tuple[float, float]
    spike_x: tuple[float, float]
    spike_s: tuple[float, float]
    spike_every_s: tuple[float, float]
    skew: tuple[float, float]
    shift_s: tuple[float, float]
    timeout_ms: float
    retry_after_ms: float


TURKU = Site(
    "turku", ((0.6, 1.0), (1.8, 3.1), (7.1, 12.0)), ((3.3, 5.5), (3.3, 5.1), (1.3, 2.6)), (0.39, 0.23, 0.38),
    (0.8, 1.1, 1.4), (None, None, (1.9, 2.5)), (0, 0, 12), (1.0,), (0.17, 0.5), (0.09, 0.24), (0.083, 0.13),
    (2.2, 4.1), (0.15, 0.24), (2.6, 7.1), (0.75, 3.7), (12.0, 21.0), (0.2, 1.2), (6.6, 21.0), 30.0, 500.0,
)  # fmt: skip
ZAGREB = Site(
    "zagreb", ((1.2, 2.1), (1.2, 2.1), (3.2, 5.5), (8.0, 14.0)),
    ((3.4, 5.5), (3.1, 5.6), (3.2, 4.9), (1.1, 2.6)),
    (0.34, 0.3, 0.19, 0.17), (0.55, 0.88, 1.2, 1.6), (None, None, None, (1.7, 2.5)), (0, 0, 0, 0),
    (1.0, 1.0, 1.0, 2.0, 2.0, 3.0, 4.0), (0.16, 0.46), (0.08, 0.25), (0.07, 0.13), (1.9, 4.4), (0.13, 0.24),
    (2.1, 6.5), (1.3, 4.8), (11.0, 19.0), (0.34, 0.91), (7.5, 25.0), 50.0, 1000.0,
)  # fmt: skip
SITES = {site.name: site for site in (TURKU, ZAGREB)}


@dataclass(frozen=True)
class Account:
    """A customer: its plan, the gateways that it comes through, and when it asks how much."""

    key: str
    plan: Plan
    gateways: tuple[int, ...]


@dataclass(frozen=True)
class Try:
    """A client's request at a gateway, `at` ms after the start."""

    at: float
    account: Account
    units: float
    gateway: int
    luck: float  # of its further tries


@dataclass
class Day:
    """A seed's plans and tries."""

    site: Site
    gateways: int
    plans: tuple[Plan, ...]
    accounts: list[Account]
    tries: list[Try]


def plans_of(site: Site, rng: random.Random) -> tuple[Plan, ...]:
    """The plans of a day. Ceilings leave a slack of a tenth of their burst."""
    plans = []
    for i, (rates, spans) in enumerate(zip(site.rates, site.bursts_s, strict=True)):
        rate = rng.uniform(*rates)
        burst = max(rate * rng.uniform(*spans), 2.0 * max(site.sizes))
        plan = Plan(f"plan{i}", site.prices[i], rate, burst, site.opens[i])
        if (range_ := site.ceilings[i]) is not None:
            times = rng.uniform(*range_)
            burst = max(burst, 4.0 * max(site.sizes))
            plan = replace(
                plan, burst_units=burst, ceiling_rate_per_s=times * rate, ceiling_burst_units=times * burst,
                ceiling_slack_units=max(0.1 * times * burst, max(site.sizes)),
            )  # fmt: skip
        plans.append(plan)
    return tuple(plans)


def demand(site: Site, seed: int, gateways: int, seconds: float, tries_per_s: float) -> Day:
    """A day's tries: calm customers by Zipf's law within their plan, some near their quota, some heavy, some
    in spikes; each through a half to all of the gateways, unevenly, the busy ones changing with time."""
    rng = random.Random(seed)
    plans = plans_of(site, rng)
    mean = sum(site.sizes) / len(site.sizes)
    day = Day(site, gateways, plans, [], [])
    full, heavy, spiky = rng.uniform(*site.full), rng.uniform(*site.heavy), rng.uniform(*site.spiky)
    skew, shift = rng.uniform(*site.skew), 1000.0 * rng.uniform(*site.shift_s)
    calm = rng.uniform(*site.calm_use)
    for plan, share in zip(plans, site.shares, strict=True):
        inside = share * tries_per_s * mean  # units a second asked within quotas
        usual = (1.0 - full - heavy - spiky) * calm + full * 0.9 + heavy + spiky * 0.6
        count = max(2, round(inside / (plan.rate_per_s * usual)))
        most = gateways
        if plan.ceiling_burst_units:
            most = max(2, min(gateways, int(plan.ceiling_burst_units / (2.0 * max(site.sizes)))))
        weights = [1.0 / (rank + 1) ** 0.8 for rank in range(count)]
        scale = calm * count / sum(weights)
        for n in range(count):
            size = min(most, max(2, round(rng.uniform(0.5, 1.0) * gateways)))
            first = rng.randrange(gateways)
            account = Account(f"{plan.name}-{n}", plan, tuple((first + i) % gateways for i in range(size)))
            day.accounts.append(account)
            kind, spikes = rng.random(), (0.0, 1.0, 0.0)
            use = min(0.9, scale * weights[n])
            if kind < full:
                use = 0.9
            elif kind < full + heavy:
                use = rng.uniform(*site.heavy_x)
            elif kind < full + heavy + spiky:
                every = 1000.0 * rng.uniform(*site.spike_every_s)
                spikes = (rng.uniform(0.0, every), every, 1000.0 * rng.uniform(*site.spike_s))
            day.tries += tries_of(site, account, rng, use, spikes, (skew, shift), 1000.0 * seconds)
    day.tries.sort(key=lambda row: row.at)
    return day


def tries_of(
    site: Site, account: Account, rng: random.Random, use: float, spikes: tuple[float, float, float],
    uneven: tuple[float, float], ms: float,
) -> list[Try]:  # fmt: skip
    """One customer's tries. `spikes`: when the first begins, how often they come, how long they last."""
    mean = sum(site.sizes) / len(site.sizes)
    high = rng.uniform(*site.spike_x)
    first, every, lasts = spikes
    skew, shift = uneven
    most = max(use, high if lasts else 0.0)
    at, moved, order, found = 0.0, -shift, list(account.gateways), []
    weights = [1.0 / (rank + 1) ** skew for rank in range(len(order))]
    while (at := at + rng.expovariate(most * account.plan.rate_per_s / mean / 1000.0)) < ms:
        now = high if lasts and (at - first) % every < lasts else use
        if rng.random() * most > now:
            continue
        if at - moved > shift:
            moved = at
            rng.shuffle(order)
        units = rng.choice(site.sizes)
        found.append(Try(at, account, units, rng.choices(order, weights)[0], rng.random()))
    return found


# --- the books -------------------------------------------------------------------------------------------


@dataclass
class Store:
    """A token bucket. What is taken beyond what it holds is owed; who calls sees to it that nothing is."""

    rate: float
    burst: float
    at: float
    level: float
    over: float = 0.0  # units that came when it was full
    born: float = 0.0
    history: list[tuple[float, float, float]] = field(default_factory=list)  # time, level, over; if kept

    def fill(self, now: float) -> float:
        """The level by now."""
        came = self.rate * max(0.0, now - self.at) / 1000.0
        self.over += max(0.0, self.level + came - self.burst)
        self.level = min(self.burst, self.level + came)
        self.at = max(self.at, now)
        return self.level

    def take(self, now: float, units: float) -> None:
        """Takes units, or puts them back where they are below 0."""
        self.fill(now)
        left = self.level - units
        self.over += max(0.0, left - self.burst)
        self.level = min(self.burst, left)

    def was(self, at: float) -> tuple[float, float]:
        """The level and what had come too much by an earlier moment, by the history."""
        if not (n := bisect.bisect_right(self.history, (at, math.inf, math.inf))):
            return self.burst, self.rate * max(0.0, at - self.born) / 1000.0
        since, level, over = self.history[n - 1]
        level += self.rate * (at - since) / 1000.0
        return min(self.burst, level), over + max(0.0, level - self.burst)


@dataclass
class Books:
    """Every try, by the true stores. A try that is sent on with less than its units in the store (by more
    than `BLUR`) is beyond, whole, and takes nothing; a refusal has room where half of each quota or more is
    unused. What comes before `warm` moves the stores and is not counted. With `owed`, what goes beyond is
    taken all the same, and later tries stand before a store that holds less than nothing."""

    began: float
    stores: dict[str, Store] = field(default_factory=dict)
    out: Counter[str] = field(default_factory=Counter)  # attempts, by customer
    warm: float = 0.0  # what comes before this time is not counted
    owed: bool = False
    tries: int = 0
    calls: int = 0
    units: float = 0.0  # sent on
    beyond: float = 0.0  # ... of these, units beyond
    roomy: int = 0  # refused with half of the store or more
    wrong: int = 0  # refused though the store held the units
    causes: Counter[str] = field(default_factory=Counter)  # of refusals with room, as the module names them
    by_plan: Counter[str] = field(default_factory=Counter)

    def store(self, account: Account) -> Store:
        """A customer's true store, full at the start."""
        if account.key not in self.stores:
            plan = account.plan
            self.stores[account.key] = Store(plan.rate_per_s, plan.burst_units, self.began, plan.burst_units)
        return self.stores[account.key]

    def sent(self, now: float, account: Account, units: float) -> bool:
        """A try's first sending; whether it was inside."""
        store = self.store(account)
        inside = store.fill(now) >= units - BLUR
        if inside or self.owed:
            store.take(now, units)
        if now < self.warm:
            return inside
        self.units += units
        if not inside:
            self.beyond += units
            self.by_plan[f"beyond {account.plan.name}"] += 1
        return inside

    def refused(self, now: float, account: Account, units: float, cause: str) -> None:
        """A refusal, and the cause that the gateway gives."""
        level = self.store(account).fill(now)
        plan = account.plan
        open_room = not plan.max_concurrent or self.out[account.key] <= ROOM * plan.max_concurrent
        if open_room and level >= units + BLUR and now >= self.warm:
            self.wrong += 1
            if level >= ROOM * plan.burst_units:
                self.roomy += 1
                self.causes[cause] += 1
                self.by_plan[f"roomy {plan.name}"] += 1

    def shares(self) -> tuple[float, float, float, float]:
        """Beyond of the units sent on; of the tries, refused with half; with any room; calls a try."""
        tries = max(1, self.tries)
        return self.beyond / max(1e-9, self.units), self.roomy / tries, self.wrong / tries, self.calls / tries


# --- the module, told the truth of some things -----------------------------------------------------------

EXACT = (
    "answers",  # each call to the counter is answered
    "refused",  # what was asked for and refused is off the count at once, and known to be off
    "overflow",  # what came while the store was full, and what is owed, between two words
    "window",  # the store at the beginning of a window, or when the gateway first sees the customer
    "word",  # the counter's total at the moment of each decision, for nothing
    "untold",  # units of other gateways that have not come to the counter yet
    "owed",  # what was let in beyond is known, and not owed: the true store does not take it
    "lot",  # no even part: where a word is missing, the store as it is believed to be
    "fraction",  # no share of the demand: who has not asked goes by the store alone
    "ceiling",  # no ceiling, and so no guard for it
    "clocks",  # all gateways read one clock; else they are up to 50 ms apart
)  # fmt: skip


class InformedTenants(TenantTable):
    """The engine's tenants, told the exact truth of what `exact` names, and of nothing else."""

    sync: InformedSync

    def __init__(
        self, settings: Settings, pacing: CallPacing, calls: CounterCalls, world: QuotaWorld, number: int
    ) -> None:
        super().__init__(settings, pacing, calls)
        self.world, self.number, self.exact = world, number, world.exact
        self.bases: dict[str, tuple[float, float, float]] = {}  # time, store, overflow; at the last total
        self.read = ""  # the tenant for whom the last answer was only a read
        self.taken: defaultdict[str, float] = defaultdict(float)  # own units since

    def base(self, tenant: Tenant, now: float, store: float) -> None:
        """From this state on, the next total is counted."""
        true = now - self.world.skew[self.number]
        overflow = self.world.told_store(tenant.tenant_id).was(true)[1]
        self.bases[tenant.tenant_id] = true, store, overflow
        self.taken[tenant.tenant_id] = 0

    def lookup(self, now_ms: float, request: Request) -> Tenant | None:
        tenant, self.read = super().lookup(now_ms, request), ""
        if tenant is not None:
            if "word" in self.exact and tenant.window_counter is not None:
                self.sync.apply_total(now_ms, tenant, tenant.window_counter, 0.0, 0.0, 0.0, 0.0)
            if "fraction" in self.exact:
                tenant.credit_units = 1e9
        return tenant

    def refresh(self, now_ms: float, tenant: Tenant) -> None:
        start = window_start_ms(now_ms, tenant.tenant_id, tenant.plan)
        if start <= tenant.window_start_ms:
            super().refresh(now_ms, tenant)
            return
        self.refill(start, tenant)
        if "window" in self.exact:
            # The store of the window's beginning, less what this gateway has taken and not told.
            true = start - self.world.skew[self.number]
            level = self.world.told_store(tenant.tenant_id).was(true)[0]
            tenant.bucket_units = level - max(0.0, tenant.unreported_units)
            tenant.updated_ms, tenant.assumed_drain_units = start, 0.0
        store = tenant.bucket_units
        super().refresh(now_ms, tenant)
        self.base(tenant, start, store)

    def deduct_others_use(self, now_ms: float, tenant: Tenant, units: float) -> None:
        super().deduct_others_use(now_ms, tenant, units)
        if "overflow" in self.exact and tenant.tenant_id in self.bases:
            at, store, over = self.bases[tenant.tenant_id]
            true = now_ms - self.world.skew[self.number]
            filled = tenant.plan.rate_per_s * (true - at) / 1000.0
            came = self.world.told_store(tenant.tenant_id).was(true)[1] - over
            left = store + filled - self.taken[tenant.tenant_id] - units - came
            tenant.bucket_units = min(tenant.plan.burst_units, left)
        self.base(tenant, now_ms, tenant.bucket_units)


class InformedSync(CounterSync):
    """The same of the engine's calls to the counter."""

    def __init__(self, settings: Settings, rng: random.Random, tenants: InformedTenants) -> None:
        super().__init__(settings, rng, tenants)
        self.informed = tenants
        self.world, self.number, self.exact = tenants.world, tenants.number, tenants.exact
        tenants.sync = self

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
        if "word" in self.exact and window_counter is tenant.window_counter:
            key = tenant.counter_key
            total = self.world.total(key) - self.world.arrived[self.number, key]
        own = tenant.own_units_since_reply - later_units
        counted = total - round(total / window_counter.marker) * window_counter.marker
        rise = counted - tenant.counter_total_units - own
        is_current, had_lost = window_counter is tenant.window_counter, window_counter.has_lost_memory
        super().apply_total(now_ms, tenant, window_counter, total, units, marker, later_units)
        has_lost = window_counter.has_lost_memory != had_lost
        if "refused" in self.exact and is_current and rise < -0.5 and not has_lost:
            self.tenants.deduct_others_use(now_ms, tenant, rise)

    def call_for_request(self, now_ms: float, tenant: Tenant, request: Request) -> IncrementCounter | None:
        """With "reads", a call that only reads where half of the store or less is left: what it lets in is
        told by a call of its own, and what it refuses leaves nothing on the count. Not under a ceiling, which
        grants only what the very call has added."""
        is_calm = tenant.bucket_units > 0.5 * tenant.plan.burst_units
        if "reads" not in self.exact or tenant.plan.ceiling_rate_per_s or is_calm:
            return super().call_for_request(now_ms, tenant, request)
        if self.rng.random() > self.pacing.call_fraction:
            return None
        return self.make_call(now_ms, tenant, 0.0, request.request_id)

    def handle_reply(self, now_ms: float, reply: CounterReply) -> str | None:
        calls = () if reply.is_late else self.calls.in_flight.get(reply.key, ())
        call = calls[0] if calls else None
        is_read = call is not None and call.request_id and not call.reserved_units
        self.informed.read = call.tenant.tenant_id if call is not None and is_read else ""
        return super().handle_reply(now_ms, reply)

    def refund_reserved(self, tenant: Tenant) -> None:
        if "refused" not in self.exact or not self.reserved_units or tenant.window_counter is None:
            super().refund_reserved(tenant)
            return
        self.world.take_off(tenant.tenant_id, tenant.counter_key, self.reserved_units)
        tenant.counter_total_units -= self.reserved_units
        tenant.window_counter.units -= self.reserved_units
        tenant.window_counter.confirmed_units -= self.reserved_units


class Informed(QuotaAccounting):
    """The engine's quotas, told the exact truth of what `exact` names, and of nothing else."""

    def __init__(self, settings: Settings, rng: random.Random, world: QuotaWorld, number: int) -> None:
        super().__init__(settings, rng)
        self.world, self.number, self.exact = world, number, world.exact
        pacing, calls = self.counter.pacing, self.counter.calls
        self.informed = InformedTenants(settings, pacing, calls, world, number)
        self.tenants = self.informed
        self.counter = InformedSync(settings, rng, self.informed)

    def charge(self, tenant: Tenant, units: float, is_counted: bool, has_total: bool) -> None:
        if is_counted and self.informed.read == tenant.tenant_id:
            is_counted, self.informed.read, tenant.last_call_ms = False, "", -1e9
        super().charge(tenant, units, is_counted, has_total)
        self.informed.taken[tenant.tenant_id] += units

    def admit(
        self, now_ms: float, tenant: Tenant, units: float, has_total: bool, is_total_missing: bool
    ) -> float | None:
        if "lot" in self.exact:
            is_total_missing = False
        if "store" in self.exact:
            account = self.world.accounts[tenant.tenant_id]
            tenant.bucket_units = self.world.books.store(account).fill(self.world.now)
            tenant.credit_units = 1e9
            return super().admit(now_ms, tenant, units, has_total, False)
        if "untold" not in self.exact:
            return super().admit(now_ms, tenant, units, has_total, is_total_missing)
        kept = tenant.bucket_units
        tenant.bucket_units = max(0.0, kept - self.world.untold(tenant.tenant_id, self.number))
        lower = kept - tenant.bucket_units
        wait_ms = super().admit(now_ms, tenant, units, has_total, is_total_missing)
        tenant.bucket_units += lower
        return wait_ms


class QuotaWorld(World):
    """The site, for quotas only: servers with room to spare, no faults but calls that the counter loses.

    `lost`: share of the calls to the counter that have no answer in time; half of these were added."""

    def __init__(
        self, day: Day, seed: int, exact: frozenset[str] = frozenset(), lost: float = 0.05,
        retry: float = 0.5, owed: bool = False,
    ) -> None:  # fmt: skip
        self.day, self.exact, self.retry = day, exact, retry
        self.lost = 0.0 if "answers" in exact else lost
        self.accounts = {account.key: account for account in day.accounts}
        self.luck = random.Random(seed + 1)
        self.books = Books(0.0, owed=owed)
        self.told_stores: dict[str, Store] = {}
        # Added and not answered, by gateway and name; own use on its way, by customer and gateway.
        self.arrived: defaultdict[tuple[int, int], float] = defaultdict(float)
        self.flying: defaultdict[tuple[str, int], float] = defaultdict(float)
        self.whose: dict[str, tuple[Account, float, int]] = {}  # by request: units, how often refused
        plans = day.plans
        if "ceiling" in exact:
            plans = tuple(
                replace(p, ceiling_rate_per_s=0.0, ceiling_burst_units=0.0, ceiling_slack_units=0.0)
                for p in plans
            )
        classes = (RequestClass("read", 1500.0, 1.0, Idempotency.IDEMPOTENT),)
        settings = Settings(
            "a", day.gateways, classes, plans, SlowStart(), max_retry_after_ms=day.site.retry_after_ms,
            has_counter=True, counter_timeout_ms=day.site.timeout_ms,
        )  # fmt: skip
        super().__init__(seed, day.gateways, 40, self.module, settings=settings)
        self.parts.slow(COUNTER_MS)
        if "clocks" in exact:
            self.skew = [0.0] * day.gateways
        self.books.began, self.books.warm = self.now, self.now + WARM_MS
        self.starts = self.now
        self.feeder = iter(day.tries)
        self.next()

    def module(self, settings: Settings, seed: int) -> DecisionEngine:
        """A gateway with the informed quota; without anything exact it is the module as it stands."""
        gateway = DecisionEngine(settings, seed)
        gateway.quota = gateway.execution.quota = Informed(
            settings, gateway.rng, self, len([m for m in self.modules if m])
        )
        return gateway

    def check(self) -> None:
        """The rules are checked by the swarm; here stores are set from outside."""

    # --- what is true ---------------------------------------------------------------------------------------

    def told_store(self, key: str) -> Store:
        """The store by what has come to the counter, in any window."""
        if key not in self.told_stores:
            plan = self.accounts[key].plan
            store = Store(plan.rate_per_s, plan.burst_units, self.began, plan.burst_units, born=self.began)
            self.told_stores[key] = store
        return self.told_stores[key]

    def total(self, name: int) -> float:
        """What the counter holds under a name."""
        part = self.parts.parts[self.parts.part_of(str(name))]
        return part.memory.names.get(str(name), (0.0, 0.0))[0]

    def add(self, key: str, units: float) -> None:
        """Units have come to the counter."""
        store = self.told_store(key)
        store.take(self.now, units)
        store.history.append((self.now, store.level, store.over))

    def take_off(self, key: str, name: int, units: float) -> None:
        """Units are off the count, for nothing."""
        part = self.parts.parts[self.parts.part_of(str(name))]
        if str(name) in part.memory.names:
            total, until = part.memory.names[str(name)]
            part.memory.names[str(name)] = total - units, until
            self.add(key, -units)

    def untold(self, key: str, number: int) -> float:
        """Units that other gateways have let in and the counter has not."""
        found = 0.0
        for other in self.accounts[key].gateways:
            if other != number:
                found += max(0.0, self.flying[key, other])
                if (c := self.modules[other].quota.tenants.by_id.get(key)) is not None:
                    found += max(0.0, c.unreported_units)
        return found

    # --- tries ----------------------------------------------------------------------------------------------

    def next(self) -> None:
        """The next try of the day comes in its time."""
        if (row := next(self.feeder, None)) is not None:
            self.at(self.starts + row.at - self.now, self.come, row)

    def come(self, row: Try) -> None:
        """It has come."""
        self.next()
        self.request(row.account, row.units, row.gateway, row.luck, 0)

    def request(self, account: Account, units: float, gateway: int, luck: float, again: int) -> None:
        """A try at a gateway."""
        ref = str(next(self.serial))
        life = self.incarnation[gateway]
        deadline = self.now + 4000.0
        cls = self.settings.classes[0]
        self.asked[ref] = Asked(ref, gateway, life, cls, account.plan.name, deadline, ref, units=units)
        self.whose[ref] = account, luck, again
        self.books.tries += self.now >= self.books.warm
        spread = len(account.gateways)
        event = Request(ref, "read", account.plan.name, account.key, 4000.0, units, spread)
        self.feed(gateway, life, event)

    def send(self, number: int, incarnation: int, action: StartAttempt) -> None:
        asked = self.asked[action.request_id]
        account = self.whose[asked.ref][0]
        if asked.attempts == 0:
            inside = self.books.sent(self.now, account, asked.units)
            if not inside and "owed" in self.exact:
                store = self.told_store(account.key)
                store.fill(self.now)
                store.level, store.over = store.level + asked.units, store.over - asked.units
                store.history.append((self.now, store.level, store.over))
        self.books.out[account.key] += 1
        super().send(number, incarnation, action)

    def ended(self, *back: Any) -> None:
        asked, attempt = back[2], back[3]
        if attempt in asked.out:
            self.books.out[self.whose[asked.ref][0].key] -= 1
        super().ended(*back)

    def perform(self, number: int, incarnation: int, action: Action) -> None:
        if isinstance(action, Reject):
            asked = self.asked[action.request_id]
            account, luck, again = self.whose[asked.ref]
            rejected = self.modules[number].quota.rejection_cause
            known = rejected.value if rejected else ""
            cause = known if not asked.attempts else "no attempt"
            self.books.refused(self.now, account, asked.units, cause)
            if again < 2 and luck < self.retry:
                honours = luck < 0.6 * self.retry
                wait = action.retry_after_ms if honours else 0.2 * self.day.site.retry_after_ms
                other = account.gateways[int(luck * 7919 + again) % len(account.gateways)]
                self.at(wait + 1.0, self.request, account, asked.units, other, luck, again + 1)
        elif isinstance(action, IncrementCounter):
            self.books.calls += self.now >= self.books.warm
            row = self.modules[number].quota.counter.calls.in_flight[action.key][-1]
            self.flying[row.tenant.tenant_id, number] += row.units - row.reserved_units
        super().perform(number, incarnation, action)

    def count(self, number: int, incarnation: int, call: IncrementCounter, began: float) -> None:
        """A call reaches the counter, or is lost on the way there or back."""
        row = self.row(number, call, began)
        key, amount, extra = row
        self.flying[key, number] -= amount - extra
        timeout = self.day.site.timeout_ms
        luck = self.luck.random()
        if luck < self.lost:
            reply = CounterReply(call.key, 0.0, Outcome.TIMEOUT, timeout)
            self.at(began + timeout - self.now, self.feed, number, incarnation, reply)
            if luck < (1.0 - GONE) * self.lost:
                late = self.luck.uniform(0.0, LATE) * timeout
                self.at(late, self.add_late, number, incarnation, call, began, row)
            elif luck < (1.0 - 0.5 * GONE) * self.lost:
                self.parts.call(self.now, f"g{number}", str(call.key), call.amount, call.ttl_ms)
                self.add(key, amount)
            return
        self.add(key, amount)
        self.arrived[number, call.key] += call.amount
        self.at(COUNTER_MS + NET_MS - 0.01, self.answered_call, number, call)
        super().count(number, incarnation, call, began)

    def add_late(
        self,
        number: int,
        incarnation: int,
        call: IncrementCounter,
        began: float,
        row: tuple[str, float, float],
    ) -> None:
        """A call is added late, and answered after its time."""
        told = self.parts.call(self.now, f"g{number}", str(call.key), call.amount, call.ttl_ms)
        self.add(row[0], row[1])
        self.arrived[number, call.key] += call.amount
        left = max(NET_MS, began + self.day.site.timeout_ms + NET_MS - self.now)
        self.at(left - 0.01, self.answered_call, number, call)
        total = float(f"{told[0] if told else 0.0:.7g}")
        reply = CounterReply(call.key, total, Outcome.OK, self.now + left - began, True)
        self.at(left, self.feed, number, incarnation, reply)

    def answered_call(self, number: int, call: IncrementCounter) -> None:
        """The gateway knows of its own units from now on."""
        self.arrived[number, call.key] -= call.amount

    def row(self, number: int, call: IncrementCounter, began: float) -> tuple[str, float, float]:
        """Customer, units and units ahead of a call that is on its way."""
        for row in self.modules[number].quota.counter.calls.in_flight[call.key]:
            if round(row.units + row.marker, 3) == call.amount:
                return row.tenant.tenant_id, row.units, row.reserved_units
        raise LookupError(f"no call {call}")


@contextmanager
def changed(counted: float = ceiling.COUNTED_FRACTION, spans: float = 1.0) -> Iterator[None]:
    """The module with another counted share of ceilings, or with windows so many times as long."""
    share, span = ceiling.COUNTED_FRACTION, windows.window_length_ms

    def longer(plan: Plan) -> float:
        return min(windows.TENANT_IDLE_MS, span(plan) * spans)

    try:
        ceiling.COUNTED_FRACTION = counted
        tenants.window_length_ms = windows.window_length_ms = longer  # type: ignore[attr-defined]
        yield
    finally:
        ceiling.COUNTED_FRACTION = share
        tenants.window_length_ms = windows.window_length_ms = span  # type: ignore[attr-defined]


def play(
    day: Day, seed: int, exact: frozenset[str] = frozenset(), lost: float = 0.05, retry: float = 0.5,
    owed: bool = False,
) -> Books:  # fmt: skip
    """One day on the real modules."""
    world = QuotaWorld(day, seed, exact, lost, retry, owed)
    world.run((day.tries[-1].at if day.tries else 0.0) + 2000.0)
    return world.books


# --- the bucket's state at the counter --------------------------------------------------------------------


@dataclass
class Word:
    """What a gateway knows of one customer's store: an upper bound, as others' use only lowers it."""

    epoch: int
    level: float
    at: float  # by its own clock


@dataclass(frozen=True)
class Scheme:
    """How the state at the counter is used.

    `hidden`: share of the burst up to which an overflow is left in the number, which saves the call that
    adds it and hides as much use. `several`: a request for a customer last seen with more than `far` of its
    store asks with this chance's inverse in units, else goes on without a call. `refuse`: a request that the
    last word, filled since, leaves no units is refused without a call. `empty_at`: the counter is emptied."""

    hidden: float = 0.25
    several: int = 1
    far: float = 0.6
    refuse: bool = True
    epoch_ms: float = 30_000.0
    empty_at: float = math.inf
    read_below: float = 0.0  # of the burst: where less is left by the last word, an ask only reads, and what
    # it lets in is added by a second call; so a refusal leaves nothing on the number


class Model:
    """Virtual scheduling over a counter that only adds: a name's number is what was used and what overflowed
    since the epoch began, so that level = burst - (number - rate x time since then).

    A name lives one epoch. Whoever finds it without the last epoch's level reads the old name and adds what
    is missing; whoever finds the store over full adds the overflow. Both put in a mark, so that the answer
    tells the later of two that it was not alone, and it takes its own back. What was asked for and refused is
    taken back at once. Lost calls are never put in again."""

    def __init__(
        self, day: Day, seed: int, scheme: Scheme, lost: float = 0.05, retry: float = 0.5, owed: bool = False
    ) -> None:
        self.day, self.scheme, self.lost, self.retry = day, scheme, lost, retry
        self.rng = random.Random(seed + 1)
        self.skew = [self.rng.uniform(0.0, 50.0) for _ in range(day.gateways)]
        self.numbers: dict[tuple[str, int], list[float]] = {}  # number, corrections, carries
        self.words: dict[tuple[int, str], Word] = {}
        self.now, self.order = 0.0, itertools.count()
        self.due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.books = Books(0.0, warm=WARM_MS, owed=owed)
        self.corrections = self.taken_back = 0
        self.gone: set[tuple[Any, ...]] = set()  # refused without an answer, which may come late

    def at(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.due, (self.now + delay, next(self.order), call, args))

    def run(self) -> Books:
        """The whole day."""
        for row in self.day.tries:
            self.at(row.at, self.request, row.account, row.units, row.gateway, row.luck, 0)
        if self.scheme.empty_at < math.inf:
            self.at(self.scheme.empty_at, self.numbers.clear)
        while self.due:
            self.now, _, call, args = heapq.heappop(self.due)
            call(*args)
        return self.books

    def clock(self, gateway: int) -> float:
        return 1_700_000_000_000.0 + self.now + self.skew[gateway]

    def epoch(self, gateway: int, account: Account) -> int:
        return int(
            (self.clock(gateway) + window_phase(account.key) * self.scheme.epoch_ms) // self.scheme.epoch_ms
        )

    def level(self, gateway: int, account: Account, epoch: int, number: float) -> float:
        """What a number stands for by this gateway's clock; over the burst where it overflowed."""
        start = epoch * self.scheme.epoch_ms - window_phase(account.key) * self.scheme.epoch_ms
        return (
            account.plan.burst_units
            - number
            + account.plan.rate_per_s * (self.clock(gateway) - start) / 1000.0
        )

    def call(
        self, name: tuple[str, int], add: tuple[float, float, float], then: Callable[..., None], *args: Any
    ) -> None:
        """A call that adds; `then` hears the three numbers after it, or None after the time-out."""
        self.books.calls += self.now >= self.books.warm
        luck = self.rng.random()
        if luck < self.lost:
            timeout = self.day.site.timeout_ms
            self.at(timeout, then, None, *args)
            if luck < (1.0 - GONE) * self.lost:
                if then == self.heard:
                    then = self.late
                elif then == self.carry:
                    then = self.done_late
                late = max(timeout, self.rng.uniform(0.0, LATE) * timeout)
                self.at(late, self.counted, name, add, then, args)
            elif luck < (1.0 - 0.5 * GONE) * self.lost:
                self.at(NET_MS, self.counted, name, add, None, ())
            return
        self.at(NET_MS, self.counted, name, add, then, args)

    def counted(
        self, name: tuple[str, int], add: tuple[float, float, float], then: Callable[..., None] | None,
        args: tuple[Any, ...],
    ) -> None:  # fmt: skip
        """At the counter."""
        held = self.numbers.setdefault(name, [0.0, 0.0, 0.0])
        for i, amount in enumerate(add):
            held[i] += amount
        if then is not None:
            self.at(COUNTER_MS + NET_MS, then, list(held), *args)

    def request(self, account: Account, units: float, gateway: int, luck: float, again: int) -> None:
        """A try. `luck` is the client's; what the gateway draws is its own."""
        self.books.tries += self.now >= self.books.warm
        back = account, units, gateway, luck, again
        epoch = self.epoch(gateway, account)
        word, plan = self.words.get((gateway, account.key)), account.plan
        asked = units
        if word is not None:
            level = min(
                plan.burst_units, word.level + plan.rate_per_s * (self.clock(gateway) - word.at) / 1000.0
            )
            if self.scheme.refuse and level < units - BLUR:
                self.refuse(back, "empty")
                return
            if self.scheme.several > 1 and level > self.scheme.far * plan.burst_units + units:
                if self.rng.random() * self.scheme.several > 1.0:
                    word.level, word.at = level - units, self.clock(gateway)
                    self.admit(back)
                    return
                asked = units * self.scheme.several
            if level < self.scheme.read_below * plan.burst_units:
                asked = 0.0
        self.call((account.key, epoch), (asked, 0.0, 0.0), self.heard, epoch, asked, back)

    def heard(self, held: list[float] | None, epoch: int, asked: float, back: tuple[Any, ...]) -> None:
        """The answer to an ask."""
        account, units, gateway, _, _ = back
        if held is None:  # by the last word, else by this gateway's part of a full store
            word = self.words.get((gateway, account.key))
            room = word.level if word is not None else account.plan.burst_units / len(account.gateways)
            if room >= units or (word is None and self.rng.random() < room / units):
                self.admit(back)
            else:
                self.gone.add(back)
                self.refuse(back, "no answer")
        elif held[2] < 1.0:
            old = (account.key, epoch - 1)
            self.call(old, (0.0, 0.0, 0.0), self.carry, epoch, asked, back, held)
        else:
            self.judge(held, epoch, asked, back, 0.0)

    def late(self, held: list[float], epoch: int, asked: float, back: tuple[Any, ...]) -> None:
        """An ask was added after all; if it was refused meanwhile, it is taken back."""
        if back in self.gone:
            self.gone.discard(back)
            if asked:
                self.call((back[0].key, epoch), (-asked, 0.0, 0.0), self.done)

    def done_late(self, held: list[float], *args: Any) -> None:
        """What was read too late is of no use."""

    def carry(
        self, old: list[float] | None, epoch: int, asked: float, back: tuple[Any, ...], held: list[float]
    ) -> None:
        """What the last epoch's name holds: the new one is given what is missing from a full store."""
        account, _, gateway, _, _ = back
        level = account.plan.burst_units
        if old is not None and old[2] >= 1.0:
            level = min(level, self.level(gateway, account, epoch - 1, old[0]))
        missing = self.level(gateway, account, epoch, 0.0) - level
        name = account.key, epoch
        self.call(name, (missing, 0.0, 1.0), self.carried, name, missing)
        self.judge(held, epoch, asked, back, missing)

    def carried(self, held: list[float] | None, name: tuple[str, int], missing: float) -> None:
        """Another may have carried before: then the own one is taken back."""
        if held is not None and held[2] > 1.0:
            self.taken_back += 1
            self.call(name, (-missing, 0.0, 0.0), self.done)

    def judge(
        self, held: list[float], epoch: int, asked: float, back: tuple[Any, ...], missing: float
    ) -> None:  # fmt: skip
        """Lets the try in where the store held it, puts the number right where it overflowed."""
        account, units, gateway, _, _ = back
        plan, name = account.plan, (account.key, epoch)
        before = self.level(gateway, account, epoch, held[0] + missing) + asked
        over = max(0.0, before - plan.burst_units)
        left = min(before, plan.burst_units) - units
        known = left if left > -BLUR else left + units
        self.words[gateway, account.key] = Word(epoch, known, self.clock(gateway))
        if over > self.scheme.hidden * plan.burst_units:
            self.corrections += 1
            self.call(name, (over, 1.0, 0.0), self.corrected, name, over, held[1])
        if left > -BLUR:
            self.admit(back)
            if not asked:
                self.call(name, (units, 0.0, 0.0), self.done)
        elif not asked:
            self.refuse(back, "empty")
        else:
            self.call(name, (-asked, 0.0, 0.0), self.done)
            self.refuse(back, "empty")

    def corrected(self, held: list[float] | None, name: tuple[str, int], over: float, marks: float) -> None:
        """Two that found the same overflow: the later one hears of the first, and takes its own back."""
        if held is not None and held[1] > marks + 1.5:
            self.taken_back += 1
            self.call(name, (-over, 0.0, 0.0), self.done)

    def done(self, held: list[float] | None) -> None:
        """Nobody waits for this answer."""

    def admit(self, back: tuple[Any, ...]) -> None:
        account, units = back[0], back[1]
        self.books.sent(self.now, account, units)

    def refuse(self, back: tuple[Any, ...], cause: str) -> None:
        account, units, _, luck, again = back
        self.books.refused(self.now, account, units, cause)
        if again < 2 and luck < self.retry:
            wait = 0.6 * self.day.site.retry_after_ms if luck < 0.6 * self.retry else 0.0
            wait = max(wait, 0.2 * self.day.site.retry_after_ms)
            other = account.gateways[int(luck * 7919 + again) % len(account.gateways)]
            self.at(wait, self.request, account, units, other, luck, again + 1)
