"""Measures quota errors of many gateways with a healthy counter: over-admission, false rejections, causes.

`demand` generates the client requests of a deployment. `Books` keeps the exact token bucket of each customer
over all gateways and records each request against it. `QuotaWorld` runs real decision engines.
`Informed` is the engine's quota accounting with exact values in place of some of its estimates: an error that
remains was not caused by those estimates. `Model` runs the same requests with the bucket's state kept at the
counter.

Times are in milliseconds, rates in units per second. The results do not predict the score of a benchmark.
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
from lab.sim.world import NET_MS, SimulatedRequest, World

COUNTER_LATENCY_MS = 2.0  # processing time of a call at the counter
WARM_MS = 6000.0  # start of a run that is not counted, since the gateways have just started
# Fraction of the timed out calls that are never answered; half of them are added. The others arrive late.
UNANSWERED_FRACTION = 0.2
MAX_LATE_TIMEOUTS = 2.0  # longest delay of a late call, in timeouts
BLUR = 0.1  # units a bucket may lack without an error: it refills by as much during a call
ROOM_FRACTION = 0.5  # fraction of the burst from which on a rejection counts as one with room


# --- demand -----------------------------------------------------------------------------------------------


@dataclass(frozen=True)
class Site:
    """Parameters of a deployment, as in its site file. A seed draws from each range."""

    name: str
    rates: tuple[tuple[float, float], ...]  # units per second, by plan
    bursts_s: tuple[tuple[float, float], ...]
    shares: tuple[float, ...]  # fraction of the load within quotas, by plan
    prices: tuple[float, ...]
    ceilings: tuple[tuple[float, float] | None, ...]
    max_concurrent: tuple[int, ...]  # concurrent attempts at most, by plan; 0 for no limit
    request_units: tuple[float, ...]  # units of a request, drawn uniformly
    calm_use: tuple[float, float]
    near_quota_fraction: tuple[float, float]
    heavy_fraction: tuple[float, float]
    heavy_use: tuple[float, float]
    spiky_fraction: tuple[float, float]
    spike_use: tuple[float, float]
    spike_s: tuple[float, float]
    spike_every_s: tuple[float, float]
    gateway_skew: tuple[float, float]
    skew_change_s: tuple[float, float]
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
    """A customer: its plan and the gateways that its requests go through."""

    key: str
    plan: Plan
    gateways: tuple[int, ...]


@dataclass(frozen=True)
class Try:
    """A client's request to a gateway, `at` ms after the start."""

    at: float
    account: Account
    units: float
    gateway: int
    luck: float  # random number in [0, 1) that decides on the client's retries


@dataclass
class Day:
    """The plans, accounts and client requests of one run."""

    site: Site
    gateways: int
    plans: tuple[Plan, ...]
    accounts: list[Account]
    tries: list[Try]


def draw_plans(site: Site, rng: random.Random) -> tuple[Plan, ...]:
    """Draws the plans of a run. The slack of a ceiling is a tenth of its burst, or one largest request."""
    plans = []
    for i, (rates, spans) in enumerate(zip(site.rates, site.bursts_s, strict=True)):
        rate = rng.uniform(*rates)
        burst = max(rate * rng.uniform(*spans), 2.0 * max(site.request_units))
        plan = Plan(f"plan{i}", site.prices[i], rate, burst, site.max_concurrent[i])
        if (range_ := site.ceilings[i]) is not None:
            times = rng.uniform(*range_)
            burst = max(burst, 4.0 * max(site.request_units))
            plan = replace(
                plan, burst_units=burst, ceiling_rate_per_s=times * rate, ceiling_burst_units=times * burst,
                ceiling_slack_units=max(0.1 * times * burst, max(site.request_units)),
            )  # fmt: skip
        plans.append(plan)
    return tuple(plans)


def demand(site: Site, seed: int, gateways: int, seconds: float, tries_per_s: float) -> Day:
    """Generates the client requests of a run.

    The rates of customers with little load follow Zipf's law within their plan; some customers are near their
    quota, some exceed it, some have spikes. Each uses half to all of the gateways, unevenly, and its busiest
    gateways change over time.
    """
    rng = random.Random(seed)
    plans = draw_plans(site, rng)
    mean = sum(site.request_units) / len(site.request_units)
    day = Day(site, gateways, plans, [], [])
    full, heavy, spiky = (
        rng.uniform(*site.near_quota_fraction),
        rng.uniform(*site.heavy_fraction),
        rng.uniform(*site.spiky_fraction),
    )
    skew, shift = rng.uniform(*site.gateway_skew), 1000.0 * rng.uniform(*site.skew_change_s)
    calm = rng.uniform(*site.calm_use)
    for plan, share in zip(plans, site.shares, strict=True):
        inside = share * tries_per_s * mean  # units per second requested within quotas
        usual = (1.0 - full - heavy - spiky) * calm + full * 0.9 + heavy + spiky * 0.6
        count = max(2, round(inside / (plan.rate_per_s * usual)))
        most = gateways
        if plan.ceiling_burst_units:
            most = max(2, min(gateways, int(plan.ceiling_burst_units / (2.0 * max(site.request_units)))))
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
                use = rng.uniform(*site.heavy_use)
            elif kind < full + heavy + spiky:
                every = 1000.0 * rng.uniform(*site.spike_every_s)
                spikes = (rng.uniform(0.0, every), every, 1000.0 * rng.uniform(*site.spike_s))
            day.tries += draw_requests(site, account, rng, use, spikes, (skew, shift), 1000.0 * seconds)
    day.tries.sort(key=lambda row: row.at)
    return day


def draw_requests(
    site: Site, account: Account, rng: random.Random, use: float, spikes: tuple[float, float, float],
    uneven: tuple[float, float], ms: float,
) -> list[Try]:  # fmt: skip
    """Generates the requests of one customer.

    `spikes` has the start of the first spike, their interval and their length. `uneven` has the exponent of
    the skew between gateways and the time after which the gateways' order changes.
    """
    mean = sum(site.request_units) / len(site.request_units)
    high = rng.uniform(*site.spike_use)
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
        units = rng.choice(site.request_units)
        found.append(Try(at, account, units, rng.choices(order, weights)[0], rng.random()))
    return found


# --- accounting -------------------------------------------------------------------------------------------


@dataclass
class Store:
    """A token bucket whose level may be negative; the caller prevents that where it is not wanted."""

    rate: float
    burst: float
    at: float
    level: float
    over: float = 0.0  # refilled units that a full bucket discarded
    born: float = 0.0
    history: list[tuple[float, float, float]] = field(
        default_factory=list
    )  # time, level, overflow; empty unless the caller records it

    def fill(self, now: float) -> float:
        """Refills the bucket up to now and returns its level."""
        came = self.rate * max(0.0, now - self.at) / 1000.0
        self.over += max(0.0, self.level + came - self.burst)
        self.level = min(self.burst, self.level + came)
        self.at = max(self.at, now)
        return self.level

    def take(self, now: float, units: float) -> None:
        """Takes units; a negative amount puts units back."""
        self.fill(now)
        left = self.level - units
        self.over += max(0.0, left - self.burst)
        self.level = min(self.burst, left)

    def was(self, at: float) -> tuple[float, float]:
        """Returns the level and the overflow at an earlier time, from the history."""
        if not (n := bisect.bisect_right(self.history, (at, math.inf, math.inf))):
            return self.burst, self.rate * max(0.0, at - self.born) / 1000.0
        since, level, over = self.history[n - 1]
        level += self.rate * (at - since) / 1000.0
        return min(self.burst, level), over + max(0.0, level - self.burst)


@dataclass
class Books:
    """Records each client request against the exact buckets.

    A request that is admitted while the bucket lacks more than `BLUR` of its units is over quota as a whole
    and takes nothing from the bucket. A rejection has room where half or more of each quota is unused.
    Requests before `warm` change the buckets and are not counted. With `owed`, requests over quota take their
    units nevertheless, so that the level can become negative for later requests.
    """

    began: float
    stores: dict[str, Store] = field(default_factory=dict)
    out: Counter[str] = field(default_factory=Counter)  # attempts in flight, by customer
    warm: float = 0.0  # requests before this time are not counted
    owed: bool = False
    tries: int = 0
    calls: int = 0
    units: float = 0.0  # units admitted
    beyond: float = 0.0  # units admitted over quota
    roomy: int = 0  # requests rejected with half of the bucket or more unused
    wrong: int = 0  # requests rejected though the bucket held their units
    causes: Counter[str] = field(
        default_factory=Counter
    )  # rejections with room, by the engine's rejection cause
    by_plan: Counter[str] = field(default_factory=Counter)

    def store(self, account: Account) -> Store:
        """Returns the exact bucket of a customer, which is full at the start."""
        if account.key not in self.stores:
            plan = account.plan
            self.stores[account.key] = Store(plan.rate_per_s, plan.burst_units, self.began, plan.burst_units)
        return self.stores[account.key]

    def sent(self, now: float, account: Account, units: float) -> bool:
        """Records a request's first attempt; returns whether it was within the quota."""
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
        """Records a rejection with the cause that the gateway gives."""
        level = self.store(account).fill(now)
        plan = account.plan
        open_room = not plan.max_concurrent or self.out[account.key] <= ROOM_FRACTION * plan.max_concurrent
        if open_room and level >= units + BLUR and now >= self.warm:
            self.wrong += 1
            if level >= ROOM_FRACTION * plan.burst_units:
                self.roomy += 1
                self.causes[cause] += 1
                self.by_plan[f"roomy {plan.name}"] += 1

    def shares(self) -> tuple[float, float, float, float]:
        """Returns four ratios.

        They are units over quota per unit admitted, requests rejected with half of the bucket unused and with
        any room per request, and counter calls per request.
        """
        tries = max(1, self.tries)
        return self.beyond / max(1e-9, self.units), self.roomy / tries, self.wrong / tries, self.calls / tries


# --- the engine with exact values for some of its estimates -----------------------------------------------

EXACT = (
    "answers",  # each counter call is answered
    "refused",  # units of rejected requests leave the counter's total at once
    "overflow",  # exact overflow and over-admission between two totals
    "window",  # exact level at the start of a window or at the first request of a customer
    "word",  # the counter's total at each decision, without a call
    "untold",  # units of other gateways that have not reached the counter yet
    "owed",  # units over quota are known and not deducted, as in the exact bucket
    "lot",  # the estimated level instead of an even share, where a total is missing
    "fraction",  # without a counter call, the bucket alone decides, not a share of the demand
    "ceiling",  # no ceiling, and so no ceiling guard
    "clocks",  # equal clocks at all gateways; otherwise they differ by up to 50 ms
)  # fmt: skip


class InformedTenants(TenantTable):
    """The engine's tenant table with exact values for what `exact` names."""

    sync: InformedSync

    def __init__(
        self, settings: Settings, pacing: CallPacing, calls: CounterCalls, world: QuotaWorld, number: int
    ) -> None:
        super().__init__(settings, pacing, calls)
        self.world, self.number, self.exact = world, number, world.exact
        self.baselines: dict[
            str, tuple[float, float, float]
        ] = {}  # time, level and overflow at the last total
        self.read_only_tenant = ""  # tenant for which the last counter reply was only a read
        self.own_units: defaultdict[str, float] = defaultdict(float)  # own units since the last total

    def set_baseline(self, tenant: Tenant, now: float, store: float) -> None:
        """Records the state against which the next total is compared."""
        true = now - self.world.skew[self.number]
        overflow = self.world.counter_store(tenant.tenant_id).was(true)[1]
        self.baselines[tenant.tenant_id] = true, store, overflow
        self.own_units[tenant.tenant_id] = 0

    def lookup(self, now_ms: float, request: Request) -> Tenant | None:
        tenant, self.read_only_tenant = super().lookup(now_ms, request), ""
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
            # The level at the start of the window, less the units this gateway has taken and not reported.
            true = start - self.world.skew[self.number]
            level = self.world.counter_store(tenant.tenant_id).was(true)[0]
            tenant.bucket_units = level - max(0.0, tenant.unreported_units)
            tenant.updated_ms, tenant.assumed_drain_units = start, 0.0
        store = tenant.bucket_units
        super().refresh(now_ms, tenant)
        self.set_baseline(tenant, start, store)

    def deduct_others_use(self, now_ms: float, tenant: Tenant, units: float) -> None:
        super().deduct_others_use(now_ms, tenant, units)
        if "overflow" in self.exact and tenant.tenant_id in self.baselines:
            at, store, over = self.baselines[tenant.tenant_id]
            true = now_ms - self.world.skew[self.number]
            filled = tenant.plan.rate_per_s * (true - at) / 1000.0
            came = self.world.counter_store(tenant.tenant_id).was(true)[1] - over
            left = store + filled - self.own_units[tenant.tenant_id] - units - came
            tenant.bucket_units = min(tenant.plan.burst_units, left)
        self.set_baseline(tenant, now_ms, tenant.bucket_units)


class InformedSync(CounterSync):
    """The engine's counter calls with exact values for what `exact` names."""

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
            total = self.world.total(key) - self.world.unacknowledged_units[self.number, key]
        own = tenant.own_units_since_reply - later_units
        counted = total - round(total / window_counter.marker) * window_counter.marker
        rise = counted - tenant.counter_total_units - own
        is_current, had_lost = window_counter is tenant.window_counter, window_counter.has_lost_memory
        super().apply_total(now_ms, tenant, window_counter, total, units, marker, later_units)
        has_lost = window_counter.has_lost_memory != had_lost
        if "refused" in self.exact and is_current and rise < -0.5 and not has_lost:
            self.tenants.deduct_others_use(now_ms, tenant, rise)

    def call_for_request(self, now_ms: float, tenant: Tenant, request: Request) -> IncrementCounter | None:
        """With "reads", only reads the total where half of the bucket or less is left.

        Units that are then admitted are reported by another call, and a rejected request leaves no units on
        the counter. Plans with a ceiling are exempt, as a ceiling grants only what the same call has added.
        """
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
        self.informed.read_only_tenant = call.tenant.tenant_id if call is not None and is_read else ""
        return super().handle_reply(now_ms, reply)

    def refund_reserved(self, tenant: Tenant) -> None:
        if "refused" not in self.exact or not self.reserved_units or tenant.window_counter is None:
            super().refund_reserved(tenant)
            return
        self.world.remove_units(tenant.tenant_id, tenant.counter_key, self.reserved_units)
        tenant.counter_total_units -= self.reserved_units
        tenant.window_counter.units -= self.reserved_units
        tenant.window_counter.confirmed_units -= self.reserved_units


class Informed(QuotaAccounting):
    """The engine's quota accounting with exact values for what `exact` names."""

    def __init__(self, settings: Settings, rng: random.Random, world: QuotaWorld, number: int) -> None:
        super().__init__(settings, rng)
        self.world, self.number, self.exact = world, number, world.exact
        pacing, calls = self.counter.pacing, self.counter.calls
        self.informed = InformedTenants(settings, pacing, calls, world, number)
        self.tenants = self.informed
        self.counter = InformedSync(settings, rng, self.informed)

    def charge(self, tenant: Tenant, units: float, is_counted: bool, has_total: bool) -> None:
        if is_counted and self.informed.read_only_tenant == tenant.tenant_id:
            is_counted, self.informed.read_only_tenant, tenant.last_call_ms = False, "", -1e9
        super().charge(tenant, units, is_counted, has_total)
        self.informed.own_units[tenant.tenant_id] += units

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
        tenant.bucket_units = max(0.0, kept - self.world.units_not_at_counter(tenant.tenant_id, self.number))
        lower = kept - tenant.bucket_units
        wait_ms = super().admit(now_ms, tenant, units, has_total, is_total_missing)
        tenant.bucket_units += lower
        return wait_ms


class QuotaWorld(World):
    """A simulated site for quotas: servers have spare capacity, and only counter calls fail.

    `lost` is the fraction of counter calls without a reply in time; most of them are added late, some never.
    """

    def __init__(
        self, day: Day, seed: int, exact: frozenset[str] = frozenset(), lost: float = 0.05,
        retry: float = 0.5, owed: bool = False,
    ) -> None:  # fmt: skip
        self.day, self.exact, self.retry = day, exact, retry
        self.lost = 0.0 if "answers" in exact else lost
        self.accounts = {account.key: account for account in day.accounts}
        self.loss_rng = random.Random(seed + 1)
        self.books = Books(0.0, owed=owed)
        self.counter_stores: dict[str, Store] = {}
        # Amounts added and not acknowledged, by gateway and counter key.
        self.unacknowledged_units: defaultdict[tuple[int, int], float] = defaultdict(float)
        # Units in calls on their way to the counter, by customer and gateway.
        self.in_flight_units: defaultdict[tuple[str, int], float] = defaultdict(float)
        # Account, the client's random number and previous rejections, by request.
        self.request_details: dict[str, tuple[Account, float, int]] = {}
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
        self.counter_partitions.slow(COUNTER_LATENCY_MS)
        if "clocks" in exact:
            self.skew = [0.0] * day.gateways
        self.books.began, self.books.warm = self.now, self.now + WARM_MS
        self.start_ms = self.now
        self.remaining_requests = iter(day.tries)
        self.schedule_next()

    def module(self, settings: Settings, seed: int) -> DecisionEngine:
        """Makes an engine with `Informed` quotas; if `exact` is empty, it acts as the unmodified engine."""
        gateway = DecisionEngine(settings, seed)
        gateway.quota = gateway.execution.quota = Informed(
            settings, gateway.rng, self, len([m for m in self.modules if m])
        )
        return gateway

    def check(self) -> None:
        """Checks nothing: the rules do not hold here, where buckets are set to exact values."""

    # --- exact values -------------------------------------------------------------------------------------

    def counter_store(self, key: str) -> Store:
        """Returns the bucket that results from the units at the counter, over all windows."""
        if key not in self.counter_stores:
            plan = self.accounts[key].plan
            store = Store(plan.rate_per_s, plan.burst_units, self.began, plan.burst_units, born=self.began)
            self.counter_stores[key] = store
        return self.counter_stores[key]

    def total(self, name: int) -> float:
        """Returns the counter's total for a key."""
        partition = self.counter_partitions.items[self.counter_partitions.index_of(str(name))]
        return partition.totals.entries.get(str(name), (0.0, 0.0))[0]

    def add_at_counter(self, key: str, units: float) -> None:
        """Records units that have reached the counter."""
        store = self.counter_store(key)
        store.take(self.now, units)
        store.history.append((self.now, store.level, store.over))

    def remove_units(self, key: str, name: int, units: float) -> None:
        """Removes units from the counter's total without a call."""
        partition = self.counter_partitions.items[self.counter_partitions.index_of(str(name))]
        if str(name) in partition.totals.entries:
            total, expires_at_ms = partition.totals.entries[str(name)]
            partition.totals.entries[str(name)] = total - units, expires_at_ms
            self.add_at_counter(key, -units)

    def units_not_at_counter(self, key: str, number: int) -> float:
        """Returns the units that other gateways have admitted and the counter has not received."""
        found = 0.0
        for other in self.accounts[key].gateways:
            if other != number:
                found += max(0.0, self.in_flight_units[key, other])
                if (c := self.modules[other].quota.tenants.by_id.get(key)) is not None:
                    found += max(0.0, c.unreported_units)
        return found

    # --- requests -----------------------------------------------------------------------------------------

    def schedule_next(self) -> None:
        """Schedules the next client request of the run."""
        if (row := next(self.remaining_requests, None)) is not None:
            self.at(self.start_ms + row.at - self.now, self.handle_arrival, row)

    def handle_arrival(self, row: Try) -> None:
        """Handles a client request and schedules the next one."""
        self.schedule_next()
        self.handle_request(row.account, row.units, row.gateway, row.luck, 0)

    def handle_request(self, account: Account, units: float, gateway: int, luck: float, again: int) -> None:
        """Sends a request to a gateway."""
        ref = str(next(self.serial))
        life = self.incarnation[gateway]
        deadline = self.now + 4000.0
        cls = self.settings.classes[0]
        self.open_requests[ref] = SimulatedRequest(
            ref, gateway, life, cls, account.plan.name, deadline, ref, units=units
        )
        self.request_details[ref] = account, luck, again
        self.books.tries += self.now >= self.books.warm
        spread = len(account.gateways)
        event = Request(ref, "read", account.plan.name, account.key, 4000.0, units, spread)
        self.feed(gateway, life, event)

    def send(self, number: int, incarnation: int, action: StartAttempt) -> None:
        request = self.open_requests[action.request_id]
        account = self.request_details[request.ref][0]
        if request.attempts == 0:
            inside = self.books.sent(self.now, account, request.units)
            if not inside and "owed" in self.exact:
                store = self.counter_store(account.key)
                store.fill(self.now)
                store.level, store.over = store.level + request.units, store.over - request.units
                store.history.append((self.now, store.level, store.over))
        self.books.out[account.key] += 1
        super().send(number, incarnation, action)

    def on_attempt_ended(self, *context: Any) -> None:
        request, attempt = context[2], context[3]
        if attempt in request.in_flight:
            self.books.out[self.request_details[request.ref][0].key] -= 1
        super().on_attempt_ended(*context)

    def perform(self, number: int, incarnation: int, action: Action) -> None:
        if isinstance(action, Reject):
            request = self.open_requests[action.request_id]
            account, luck, again = self.request_details[request.ref]
            rejected = self.modules[number].quota.rejection_cause
            known = rejected.value if rejected else ""
            cause = known if not request.attempts else "no attempt"
            self.books.refused(self.now, account, request.units, cause)
            if again < 2 and luck < self.retry:
                honours = luck < 0.6 * self.retry
                wait = action.retry_after_ms if honours else 0.2 * self.day.site.retry_after_ms
                other = account.gateways[int(luck * 7919 + again) % len(account.gateways)]
                self.at(wait + 1.0, self.handle_request, account, request.units, other, luck, again + 1)
        elif isinstance(action, IncrementCounter):
            self.books.calls += self.now >= self.books.warm
            row = self.modules[number].quota.counter.calls.in_flight[action.key][-1]
            self.in_flight_units[row.tenant.tenant_id, number] += row.units - row.reserved_units
        super().perform(number, incarnation, action)

    def count(self, number: int, incarnation: int, call: IncrementCounter, began: float) -> None:
        """Applies a call at the counter, or loses or delays the call or its reply."""
        row = self.call_details(number, call, began)
        key, amount, extra = row
        self.in_flight_units[key, number] -= amount - extra
        timeout = self.day.site.timeout_ms
        loss_draw = self.loss_rng.random()
        if loss_draw < self.lost:
            reply = CounterReply(call.key, 0.0, Outcome.TIMEOUT, timeout)
            self.at(began + timeout - self.now, self.feed, number, incarnation, reply)
            if loss_draw < (1.0 - UNANSWERED_FRACTION) * self.lost:
                late = self.loss_rng.uniform(0.0, MAX_LATE_TIMEOUTS) * timeout
                self.at(late, self.add_late, number, incarnation, call, began, row)
            elif loss_draw < (1.0 - 0.5 * UNANSWERED_FRACTION) * self.lost:
                self.counter_partitions.call(self.now, f"g{number}", str(call.key), call.amount, call.ttl_ms)
                self.add_at_counter(key, amount)
            return
        self.add_at_counter(key, amount)
        self.unacknowledged_units[number, call.key] += call.amount
        self.at(COUNTER_LATENCY_MS + NET_MS - 0.01, self.on_acknowledged, number, call)
        super().count(number, incarnation, call, began)

    def add_late(
        self,
        number: int,
        incarnation: int,
        call: IncrementCounter,
        began: float,
        row: tuple[str, float, float],
    ) -> None:
        """Applies a late call at the counter and replies after the timeout."""
        told = self.counter_partitions.call(self.now, f"g{number}", str(call.key), call.amount, call.ttl_ms)
        self.add_at_counter(row[0], row[1])
        self.unacknowledged_units[number, call.key] += call.amount
        left = max(NET_MS, began + self.day.site.timeout_ms + NET_MS - self.now)
        self.at(left - 0.01, self.on_acknowledged, number, call)
        total = float(f"{told[0] if told else 0.0:.7g}")
        reply = CounterReply(call.key, total, Outcome.OK, self.now + left - began, True)
        self.at(left, self.feed, number, incarnation, reply)

    def on_acknowledged(self, number: int, call: IncrementCounter) -> None:
        """Records that the gateway has received the reply for its own units."""
        self.unacknowledged_units[number, call.key] -= call.amount

    def call_details(self, number: int, call: IncrementCounter, began: float) -> tuple[str, float, float]:
        """Returns the customer, the units and the units reserved ahead of a call in flight."""
        for row in self.modules[number].quota.counter.calls.in_flight[call.key]:
            if round(row.units + row.marker, 3) == call.amount:
                return row.tenant.tenant_id, row.units, row.reserved_units
        raise LookupError(f"no call in flight for {call}")


@contextmanager
def changed(counted: float = ceiling.COUNTED_FRACTION, spans: float = 1.0) -> Iterator[None]:
    """Changes the counted fraction of ceilings and scales the window length by `spans` within the context."""
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
    """Runs one day with real decision engines."""
    world = QuotaWorld(day, seed, exact, lost, retry, owed)
    world.run((day.tries[-1].at if day.tries else 0.0) + 2000.0)
    return world.books


# --- model: the bucket's state kept at the counter --------------------------------------------------------


@dataclass
class KnownLevel:
    """The last known level of a customer's bucket: an upper bound, as other gateways only lower it."""

    epoch: int
    level: float
    at: float  # by the gateway's own clock


@dataclass(frozen=True)
class Scheme:
    """How gateways use the bucket's state at the counter.

    `hidden` is the fraction of the burst up to which an overflow is not added to the counter's value: this
    saves a call and hides as much use. With `several` above 1, a request for a customer whose last known
    level was above the fraction `far` of its burst calls the counter with a probability of 1 / `several`, for
    `several` times its units, and is otherwise admitted without a call. With `refuse`, a request is rejected
    without a call if the last known level plus the refill since then lacks its units. The counter loses its
    state at `empty_at`. Below the fraction `read_below` of the burst, by the last known level, a call only
    reads, and a second call adds what was admitted, so that a rejection leaves nothing on the counter.
    """

    hidden: float = 0.25
    several: int = 1
    far: float = 0.6
    refuse: bool = True
    epoch_ms: float = 30_000.0
    empty_at: float = math.inf
    read_below: float = 0.0


class Model:
    """Virtual scheduling with a counter that only adds.

    The value of a key is the units used plus the overflow since the start of the epoch, so that
    level = burst - (value - rate * time since the start of the epoch).

    A key is valid for one epoch. A gateway that finds it without the level of the last epoch reads the old
    key and adds what is missing; one that finds the bucket above its burst adds the overflow. Both also count
    up a marker, so that the reply shows the later of two gateways that it was not alone, and it subtracts its
    own addition. The units of a rejected request are subtracted at once. Lost calls are never repeated.
    """

    def __init__(
        self, day: Day, seed: int, scheme: Scheme, lost: float = 0.05, retry: float = 0.5, owed: bool = False
    ) -> None:
        self.day, self.scheme, self.lost, self.retry = day, scheme, lost, retry
        self.rng = random.Random(seed + 1)
        self.skew = [self.rng.uniform(0.0, 50.0) for _ in range(day.gateways)]
        self.counter_values: dict[tuple[str, int], list[float]] = {}  # value, corrections, carry-overs
        self.known_levels: dict[tuple[int, str], KnownLevel] = {}
        self.now, self.order = 0.0, itertools.count()
        self.event_queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.books = Books(0.0, warm=WARM_MS, owed=owed)
        self.corrections = self.taken_back = 0
        self.rejected_unanswered: set[tuple[Any, ...]] = set()  # a reply may still arrive

    def schedule(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.event_queue, (self.now + delay, next(self.order), call, args))

    def run(self) -> Books:
        """Runs all requests and returns the results."""
        for row in self.day.tries:
            self.schedule(row.at, self.handle_request, row.account, row.units, row.gateway, row.luck, 0)
        if self.scheme.empty_at < math.inf:
            self.schedule(self.scheme.empty_at, self.counter_values.clear)
        while self.event_queue:
            self.now, _, call, args = heapq.heappop(self.event_queue)
            call(*args)
        return self.books

    def clock(self, gateway: int) -> float:
        return 1_700_000_000_000.0 + self.now + self.skew[gateway]

    def epoch(self, gateway: int, account: Account) -> int:
        return int(
            (self.clock(gateway) + window_phase(account.key) * self.scheme.epoch_ms) // self.scheme.epoch_ms
        )

    def level(self, gateway: int, account: Account, epoch: int, number: float) -> float:
        """Returns the level for a counter value by this gateway's clock; above the burst if it overflowed."""
        start = epoch * self.scheme.epoch_ms - window_phase(account.key) * self.scheme.epoch_ms
        return (
            account.plan.burst_units
            - number
            + account.plan.rate_per_s * (self.clock(gateway) - start) / 1000.0
        )

    def call_counter(
        self, name: tuple[str, int], add: tuple[float, float, float], then: Callable[..., None], *args: Any
    ) -> None:
        """Calls the counter to add; `then` gets the three values after it, or None after the timeout."""
        self.books.calls += self.now >= self.books.warm
        loss_draw = self.rng.random()
        if loss_draw < self.lost:
            timeout = self.day.site.timeout_ms
            self.schedule(timeout, then, None, *args)
            if loss_draw < (1.0 - UNANSWERED_FRACTION) * self.lost:
                if then == self.on_reply:
                    then = self.on_late_reply
                elif then == self.carry_over:
                    then = self.ignore_late_reply
                late = max(timeout, self.rng.uniform(0.0, MAX_LATE_TIMEOUTS) * timeout)
                self.schedule(late, self.apply_at_counter, name, add, then, args)
            elif loss_draw < (1.0 - 0.5 * UNANSWERED_FRACTION) * self.lost:
                self.schedule(NET_MS, self.apply_at_counter, name, add, None, ())
            return
        self.schedule(NET_MS, self.apply_at_counter, name, add, then, args)

    def apply_at_counter(
        self, name: tuple[str, int], add: tuple[float, float, float], then: Callable[..., None] | None,
        args: tuple[Any, ...],
    ) -> None:  # fmt: skip
        """Applies a call at the counter and schedules its reply."""
        held = self.counter_values.setdefault(name, [0.0, 0.0, 0.0])
        for i, amount in enumerate(add):
            held[i] += amount
        if then is not None:
            self.schedule(COUNTER_LATENCY_MS + NET_MS, then, list(held), *args)

    def handle_request(self, account: Account, units: float, gateway: int, luck: float, again: int) -> None:
        """Handles a client request. `luck` is the client's random number; the gateway draws its own."""
        self.books.tries += self.now >= self.books.warm
        pending_request = account, units, gateway, luck, again
        epoch = self.epoch(gateway, account)
        known_level, plan = self.known_levels.get((gateway, account.key)), account.plan
        asked = units
        if known_level is not None:
            level = min(
                plan.burst_units,
                known_level.level + plan.rate_per_s * (self.clock(gateway) - known_level.at) / 1000.0,
            )
            if self.scheme.refuse and level < units - BLUR:
                self.reject(pending_request, "empty")
                return
            if self.scheme.several > 1 and level > self.scheme.far * plan.burst_units + units:
                if self.rng.random() * self.scheme.several > 1.0:
                    known_level.level, known_level.at = level - units, self.clock(gateway)
                    self.admit(pending_request)
                    return
                asked = units * self.scheme.several
            if level < self.scheme.read_below * plan.burst_units:
                asked = 0.0
        self.call_counter(
            (account.key, epoch), (asked, 0.0, 0.0), self.on_reply, epoch, asked, pending_request
        )

    def on_reply(
        self, held: list[float] | None, epoch: int, asked: float, pending_request: tuple[Any, ...]
    ) -> None:
        """Handles the counter's reply to a request's call."""
        account, units, gateway, _, _ = pending_request
        if held is None:  # timed out: decides by the last known level, or by an even share of the burst
            known_level = self.known_levels.get((gateway, account.key))
            room = (
                known_level.level
                if known_level is not None
                else account.plan.burst_units / len(account.gateways)
            )
            if room >= units or (known_level is None and self.rng.random() < room / units):
                self.admit(pending_request)
            else:
                self.rejected_unanswered.add(pending_request)
                self.reject(pending_request, "no answer")
        elif held[2] < 1.0:
            old = (account.key, epoch - 1)
            self.call_counter(old, (0.0, 0.0, 0.0), self.carry_over, epoch, asked, pending_request, held)
        else:
            self.decide(held, epoch, asked, pending_request, 0.0)

    def on_late_reply(
        self, held: list[float], epoch: int, asked: float, pending_request: tuple[Any, ...]
    ) -> None:
        """Subtracts the units of a late call if its request was rejected meanwhile."""
        if pending_request in self.rejected_unanswered:
            self.rejected_unanswered.discard(pending_request)
            if asked:
                self.call_counter((pending_request[0].key, epoch), (-asked, 0.0, 0.0), self.ignore_reply)

    def ignore_late_reply(self, held: list[float], *args: Any) -> None:
        """Ignores a late reply of a call that only read."""

    def carry_over(
        self,
        old: list[float] | None,
        epoch: int,
        asked: float,
        pending_request: tuple[Any, ...],
        held: list[float],
    ) -> None:
        """Adds to the new epoch's key what the last epoch's level lacks of a full bucket."""
        account, _, gateway, _, _ = pending_request
        level = account.plan.burst_units
        if old is not None and old[2] >= 1.0:
            level = min(level, self.level(gateway, account, epoch - 1, old[0]))
        missing = self.level(gateway, account, epoch, 0.0) - level
        name = account.key, epoch
        self.call_counter(name, (missing, 0.0, 1.0), self.on_carried_over, name, missing)
        self.decide(held, epoch, asked, pending_request, missing)

    def on_carried_over(self, held: list[float] | None, name: tuple[str, int], missing: float) -> None:
        """Subtracts the own carry-over if another gateway has made one before."""
        if held is not None and held[2] > 1.0:
            self.taken_back += 1
            self.call_counter(name, (-missing, 0.0, 0.0), self.ignore_reply)

    def decide(
        self, held: list[float], epoch: int, asked: float, pending_request: tuple[Any, ...], missing: float
    ) -> None:  # fmt: skip
        """Admits or rejects a request by the counter's reply, and adds an overflow to the counter's value."""
        account, units, gateway, _, _ = pending_request
        plan, name = account.plan, (account.key, epoch)
        before = self.level(gateway, account, epoch, held[0] + missing) + asked
        over = max(0.0, before - plan.burst_units)
        left = min(before, plan.burst_units) - units
        known = left if left > -BLUR else left + units
        self.known_levels[gateway, account.key] = KnownLevel(epoch, known, self.clock(gateway))
        if over > self.scheme.hidden * plan.burst_units:
            self.corrections += 1
            self.call_counter(name, (over, 1.0, 0.0), self.on_corrected, name, over, held[1])
        if left > -BLUR:
            self.admit(pending_request)
            if not asked:
                self.call_counter(name, (units, 0.0, 0.0), self.ignore_reply)
        elif not asked:
            self.reject(pending_request, "empty")
        else:
            self.call_counter(name, (-asked, 0.0, 0.0), self.ignore_reply)
            self.reject(pending_request, "empty")

    def on_corrected(
        self, held: list[float] | None, name: tuple[str, int], over: float, marks: float
    ) -> None:
        """Subtracts the own correction if another gateway has added the same overflow before."""
        if held is not None and held[1] > marks + 1.5:
            self.taken_back += 1
            self.call_counter(name, (-over, 0.0, 0.0), self.ignore_reply)

    def ignore_reply(self, held: list[float] | None) -> None:
        """Ignores a reply that nothing waits for."""

    def admit(self, pending_request: tuple[Any, ...]) -> None:
        account, units = pending_request[0], pending_request[1]
        self.books.sent(self.now, account, units)

    def reject(self, pending_request: tuple[Any, ...], cause: str) -> None:
        account, units, _, luck, again = pending_request
        self.books.refused(self.now, account, units, cause)
        if again < 2 and luck < self.retry:
            wait = 0.6 * self.day.site.retry_after_ms if luck < 0.6 * self.retry else 0.0
            wait = max(wait, 0.2 * self.day.site.retry_after_ms)
            other = account.gateways[int(luck * 7919 + again) % len(account.gateways)]
            self.schedule(wait, self.handle_request, account, units, other, luck, again + 1)
