"""Measures quota errors of many gateways with a healthy counter: over-admission, false rejections, causes.

`generate_workload` generates the client requests of a deployment. `QuotaLedger` keeps the exact token bucket
of each customer over all gateways and checks each decision against it. `QuotaWorld` runs real decision
engines. `InformedQuotaAccounting` is the engine's quota accounting with exact values in place of some of its
estimates: an error that remains was not caused by those estimates. `CounterStateModel` runs the same requests
with the bucket's state kept at the counter.

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
WARM_MS = 6000.0  # start of a run that is not measured, since the gateways have just started
# Fraction of the timed-out calls that are never answered; the counter applies half of these. It applies and
# answers the other timed-out calls late.
UNANSWERED_FRACTION = 0.2
MAX_LATE_TIMEOUTS = 2.0  # longest delay of a late call, in timeouts
# Smaller differences between a bucket's level and a request's units are no error: the bucket refills by as
# much during a call.
LEVEL_TOLERANCE_UNITS = 0.1
UNUSED_FRACTION = 0.5  # `half_unused_rejections` leave this fraction of each limit unused, or more


# --- demand -----------------------------------------------------------------------------------------------


@dataclass(frozen=True)
class Site:
    """Parameters of a deployment, as in its site file. A seed draws from each range.

    The `*_use` fields are the rates of customers relative to their plan's rate. A customer is near its quota,
    over it, has spikes, or has typical use; the `*_fraction` fields are the shares of the first three.
    """

    name: str
    rates_per_s: tuple[tuple[float, float], ...]  # by plan
    bursts_s: tuple[tuple[float, float], ...]  # seconds in which an empty bucket fills, by plan
    load_shares: tuple[float, ...]  # fraction of the load within quotas, by plan
    prices: tuple[float, ...]
    ceiling_factors: tuple[tuple[float, float] | None, ...]  # ceiling relative to the quota, by plan
    max_concurrent: tuple[int, ...]  # concurrent attempts at most, by plan; 0 for no limit
    request_units: tuple[float, ...]  # units of a request, drawn uniformly
    typical_use: tuple[float, float]
    near_quota_fraction: tuple[float, float]
    over_quota_fraction: tuple[float, float]
    over_quota_use: tuple[float, float]
    bursty_fraction: tuple[float, float]
    spike_use: tuple[float, float]
    spike_s: tuple[float, float]
    spike_interval_s: tuple[float, float]
    gateway_skew_exponent: tuple[float, float]  # exponent of Zipf's law over a customer's gateways
    skew_interval_s: tuple[float, float]  # time after which a customer's busiest gateways change
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
    """A customer's account, with its plan and the gateways that its requests go through."""

    key: str
    plan: Plan
    gateways: tuple[int, ...]


@dataclass(frozen=True)
class ClientRequest:
    """A client's request to a gateway, without its retries. `sent_ms` counts from the start of the run."""

    sent_ms: float
    account: Account
    units: float
    gateway: int
    retry_draw: float  # random number in [0, 1) that decides on the client's retries


@dataclass
class Workload:
    """The plans, accounts and client requests of one run."""

    site: Site
    gateways: int
    plans: tuple[Plan, ...]
    accounts: list[Account]
    requests: list[ClientRequest]


def draw_plans(site: Site, rng: random.Random) -> tuple[Plan, ...]:
    """Draws the plans of a run. The slack of a ceiling is a tenth of its burst, or one largest request."""
    plans = []
    for i, (rates, bursts_s) in enumerate(zip(site.rates_per_s, site.bursts_s, strict=True)):
        rate = rng.uniform(*rates)
        burst = max(rate * rng.uniform(*bursts_s), 2.0 * max(site.request_units))
        plan = Plan(f"plan{i}", site.prices[i], rate, burst, site.max_concurrent[i])
        if (factors := site.ceiling_factors[i]) is not None:
            factor = rng.uniform(*factors)
            burst = max(burst, 4.0 * max(site.request_units))
            plan = replace(
                plan, burst_units=burst, ceiling_rate_per_s=factor * rate, ceiling_burst_units=factor * burst,
                ceiling_slack_units=max(0.1 * factor * burst, max(site.request_units)),
            )  # fmt: skip
        plans.append(plan)
    return tuple(plans)


def generate_workload(
    site: Site, seed: int, gateways: int, seconds: float, requests_per_s: float
) -> Workload:
    """Generates the client requests of a run.

    The rates of customers with typical use follow Zipf's law within their plan; some customers are near their
    quota, some exceed it, some have spikes. Each uses half to all of the gateways, unevenly, and its busiest
    gateways change over time.
    """
    rng = random.Random(seed)
    plans = draw_plans(site, rng)
    mean = sum(site.request_units) / len(site.request_units)
    workload = Workload(site, gateways, plans, [], [])
    near_quota, over_quota, bursty = (
        rng.uniform(*site.near_quota_fraction),
        rng.uniform(*site.over_quota_fraction),
        rng.uniform(*site.bursty_fraction),
    )
    skew, shift = rng.uniform(*site.gateway_skew_exponent), 1000.0 * rng.uniform(*site.skew_interval_s)
    typical = rng.uniform(*site.typical_use)
    for plan, share in zip(plans, site.load_shares, strict=True):
        within_quota_per_s = share * requests_per_s * mean  # in units
        mean_use = (
            (1.0 - near_quota - over_quota - bursty) * typical + near_quota * 0.9 + over_quota + bursty * 0.6
        )
        count = max(2, round(within_quota_per_s / (plan.rate_per_s * mean_use)))
        max_gateways = gateways
        if plan.ceiling_burst_units:
            max_gateways = max(
                2, min(gateways, int(plan.ceiling_burst_units / (2.0 * max(site.request_units))))
            )
        weights = [1.0 / (rank + 1) ** 0.8 for rank in range(count)]
        scale = typical * count / sum(weights)
        for n in range(count):
            size = min(max_gateways, max(2, round(rng.uniform(0.5, 1.0) * gateways)))
            first = rng.randrange(gateways)
            account = Account(f"{plan.name}-{n}", plan, tuple((first + i) % gateways for i in range(size)))
            workload.accounts.append(account)
            kind, spikes = rng.random(), (0.0, 1.0, 0.0)
            use = min(0.9, scale * weights[n])
            if kind < near_quota:
                use = 0.9
            elif kind < near_quota + over_quota:
                use = rng.uniform(*site.over_quota_use)
            elif kind < near_quota + over_quota + bursty:
                interval = 1000.0 * rng.uniform(*site.spike_interval_s)
                spikes = (rng.uniform(0.0, interval), interval, 1000.0 * rng.uniform(*site.spike_s))
            workload.requests += draw_requests(
                site, account, rng, use, spikes, (skew, shift), 1000.0 * seconds
            )
    workload.requests.sort(key=lambda row: row.sent_ms)
    return workload


def draw_requests(
    site: Site, account: Account, rng: random.Random, use: float, spikes: tuple[float, float, float],
    skews: tuple[float, float], ms: float,
) -> list[ClientRequest]:  # fmt: skip
    """Generates the requests of one customer.

    `use` is the rate outside of spikes relative to the plan's rate. `spikes` has the start of the first
    spike, their interval and their length. `skews` has the exponent of the skew between gateways and the time
    after which the gateways' order changes.
    """
    mean = sum(site.request_units) / len(site.request_units)
    spike_use = rng.uniform(*site.spike_use)
    first_ms, interval_ms, length_ms = spikes
    skew, shift_ms = skews
    max_use = max(use, spike_use if length_ms else 0.0)
    at, shifted_at, order, requests = 0.0, -shift_ms, list(account.gateways), []
    weights = [1.0 / (rank + 1) ** skew for rank in range(len(order))]
    while (at := at + rng.expovariate(max_use * account.plan.rate_per_s / mean / 1000.0)) < ms:
        current_use = spike_use if length_ms and (at - first_ms) % interval_ms < length_ms else use
        if rng.random() * max_use > current_use:
            continue
        if at - shifted_at > shift_ms:
            shifted_at = at
            rng.shuffle(order)
        units = rng.choice(site.request_units)
        requests.append(ClientRequest(at, account, units, rng.choices(order, weights)[0], rng.random()))
    return requests


# --- accounting -------------------------------------------------------------------------------------------


@dataclass
class ExactBucket:
    """A token bucket whose level may become negative; callers that do not want this check the level first."""

    rate_per_s: float
    burst_units: float
    updated_ms: float
    level: float
    overflow_units: float = 0.0  # refilled units that a full bucket discarded
    created_ms: float = 0.0
    # Times, levels and overflows that the caller has recorded for `state_at`.
    history: list[tuple[float, float, float]] = field(default_factory=list)

    def refill(self, now: float) -> float:
        """Refills the bucket up to now and returns its level."""
        refilled = self.rate_per_s * max(0.0, now - self.updated_ms) / 1000.0
        self.overflow_units += max(0.0, self.level + refilled - self.burst_units)
        self.level = min(self.burst_units, self.level + refilled)
        self.updated_ms = max(self.updated_ms, now)
        return self.level

    def take(self, now: float, units: float) -> None:
        """Takes units; a negative amount puts units back."""
        self.refill(now)
        level = self.level - units
        self.overflow_units += max(0.0, level - self.burst_units)
        self.level = min(self.burst_units, level)

    def state_at(self, at: float) -> tuple[float, float]:
        """Returns the level and the overflow at an earlier time, from the history."""
        if not (n := bisect.bisect_right(self.history, (at, math.inf, math.inf))):
            return self.burst_units, self.rate_per_s * max(0.0, at - self.created_ms) / 1000.0
        since, level, overflow = self.history[n - 1]
        level += self.rate_per_s * (at - since) / 1000.0
        return min(self.burst_units, level), overflow + max(0.0, level - self.burst_units)


@dataclass
class QuotaLedger:
    """Checks the decision on each client request against the exact buckets, and counts errors.

    A request that is admitted while the bucket lacks more than `LEVEL_TOLERANCE_UNITS` of its units is over
    quota as a whole and takes nothing from the bucket. With `charges_over_quota` it takes its units
    nevertheless, so that the level can become negative for later requests. A rejection is false if the bucket
    holds the request's units and half of the concurrency limit is unused. Requests before `count_from_ms`
    change the buckets and are not counted.
    """

    start_ms: float
    buckets: dict[str, ExactBucket] = field(default_factory=dict)
    attempts_in_flight: Counter[str] = field(default_factory=Counter)  # by customer
    count_from_ms: float = 0.0
    charges_over_quota: bool = False
    requests: int = 0
    counter_calls: int = 0
    admitted_units: float = 0.0
    over_quota_units: float = 0.0  # units admitted over quota
    half_unused_rejections: int = 0  # false rejections with half of the bucket or more unused
    false_rejections: int = 0
    # The `half_unused_rejections` by the gateway's cause of the rejection.
    rejection_causes: Counter[str] = field(default_factory=Counter)
    by_plan: Counter[str] = field(default_factory=Counter)  # errors by kind and plan

    def bucket(self, account: Account) -> ExactBucket:
        """Returns the exact bucket of a customer, which is full at the start."""
        if account.key not in self.buckets:
            plan = account.plan
            self.buckets[account.key] = ExactBucket(
                plan.rate_per_s, plan.burst_units, self.start_ms, plan.burst_units
            )
        return self.buckets[account.key]

    def record_admission(self, now: float, account: Account, units: float) -> bool:
        """Records a request's first attempt; returns whether it was within the quota."""
        bucket = self.bucket(account)
        within_quota = bucket.refill(now) >= units - LEVEL_TOLERANCE_UNITS
        if within_quota or self.charges_over_quota:
            bucket.take(now, units)
        if now < self.count_from_ms:
            return within_quota
        self.admitted_units += units
        if not within_quota:
            self.over_quota_units += units
            self.by_plan[f"over quota {account.plan.name}"] += 1
        return within_quota

    def record_rejection(self, now: float, account: Account, units: float, cause: str) -> None:
        """Records a rejection with the cause that the gateway gives."""
        level = self.bucket(account).refill(now)
        plan = account.plan
        in_flight = self.attempts_in_flight[account.key]
        below_concurrency_limit = (
            not plan.max_concurrent or in_flight <= UNUSED_FRACTION * plan.max_concurrent
        )
        if below_concurrency_limit and level >= units + LEVEL_TOLERANCE_UNITS and now >= self.count_from_ms:
            self.false_rejections += 1
            if level >= UNUSED_FRACTION * plan.burst_units:
                self.half_unused_rejections += 1
                self.rejection_causes[cause] += 1
                self.by_plan[f"half unused {plan.name}"] += 1

    def ratios(self) -> tuple[float, float, float, float]:
        """Returns units over quota per admitted unit, and three counts per request.

        The counts are false rejections with half of the bucket unused, all false rejections, and counter
        calls.
        """
        requests = max(1, self.requests)
        return (
            self.over_quota_units / max(1e-9, self.admitted_units),
            self.half_unused_rejections / requests,
            self.false_rejections / requests,
            self.counter_calls / requests,
        )


# --- the engine with exact values for some of its estimates -----------------------------------------------

# By name, what `exact` can replace by exact values or remove. It may also have "store", by which the exact
# bucket decides alone, and "reads" (see `InformedCounterSync.call_for_request`).
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


class InformedTenantTable(TenantTable):
    """The engine's tenant table with exact values for what `exact` names."""

    sync: InformedCounterSync

    def __init__(
        self, settings: Settings, pacing: CallPacing, calls: CounterCalls, world: QuotaWorld, number: int
    ) -> None:
        super().__init__(settings, pacing, calls)
        self.world, self.number, self.exact = world, number, world.exact
        # By tenant: time, level and overflow when the last total was applied or the window began.
        self.baselines: dict[str, tuple[float, float, float]] = {}
        self.read_only_tenant = ""  # tenant for which the last counter reply was only a read
        # By tenant: units that this gateway has admitted since the baseline.
        self.own_units: defaultdict[str, float] = defaultdict(float)

    def set_baseline(self, tenant: Tenant, now: float, level: float) -> None:
        """Records the state against which the next total is compared. `now` is by the gateway's clock."""
        world_now = now - self.world.skew[self.number]
        overflow = self.world.counter_bucket(tenant.tenant_id).state_at(world_now)[1]
        self.baselines[tenant.tenant_id] = world_now, level, overflow
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
            # The level at the start of the window, less the units this gateway has admitted and not reported.
            world_start = start - self.world.skew[self.number]
            level = self.world.counter_bucket(tenant.tenant_id).state_at(world_start)[0]
            tenant.bucket_units = level - max(0.0, tenant.unreported_units)
            tenant.updated_ms, tenant.assumed_drain_units = start, 0.0
        level = tenant.bucket_units
        super().refresh(now_ms, tenant)
        self.set_baseline(tenant, start, level)

    def deduct_others_use(self, now_ms: float, tenant: Tenant, units: float) -> None:
        super().deduct_others_use(now_ms, tenant, units)
        if "overflow" in self.exact and tenant.tenant_id in self.baselines:
            since, level, overflow_before = self.baselines[tenant.tenant_id]
            world_now = now_ms - self.world.skew[self.number]
            refilled = tenant.plan.rate_per_s * (world_now - since) / 1000.0
            overflow = self.world.counter_bucket(tenant.tenant_id).state_at(world_now)[1] - overflow_before
            level = level + refilled - self.own_units[tenant.tenant_id] - units - overflow
            tenant.bucket_units = min(tenant.plan.burst_units, level)
        self.set_baseline(tenant, now_ms, tenant.bucket_units)


class InformedCounterSync(CounterSync):
    """The engine's counter calls with exact values for what `exact` names."""

    def __init__(self, settings: Settings, rng: random.Random, tenants: InformedTenantTable) -> None:
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
        is_half_full = tenant.bucket_units > 0.5 * tenant.plan.burst_units
        if "reads" not in self.exact or tenant.plan.ceiling_rate_per_s or is_half_full:
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


class InformedQuotaAccounting(QuotaAccounting):
    """The engine's quota accounting with exact values for what `exact` names."""

    def __init__(self, settings: Settings, rng: random.Random, world: QuotaWorld, number: int) -> None:
        super().__init__(settings, rng)
        self.world, self.number, self.exact = world, number, world.exact
        pacing, calls = self.counter.pacing, self.counter.calls
        self.informed = InformedTenantTable(settings, pacing, calls, world, number)
        self.tenants = self.informed
        self.counter = InformedCounterSync(settings, rng, self.informed)

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
            tenant.bucket_units = self.world.ledger.bucket(account).refill(self.world.now)
            tenant.credit_units = 1e9
            return super().admit(now_ms, tenant, units, has_total, False)
        if "untold" not in self.exact:
            return super().admit(now_ms, tenant, units, has_total, is_total_missing)
        level = tenant.bucket_units
        tenant.bucket_units = max(0.0, level - self.world.units_not_at_counter(tenant.tenant_id, self.number))
        deducted = level - tenant.bucket_units
        wait_ms = super().admit(now_ms, tenant, units, has_total, is_total_missing)
        tenant.bucket_units += deducted
        return wait_ms


class QuotaWorld(World):
    """A simulated site for quotas: servers have spare capacity, and only counter calls fail.

    `lost_fraction` is the fraction of counter calls without a reply in time; the counter applies most of them
    late, some never. `retry_fraction` is the fraction of clients that retry rejected requests.
    """

    def __init__(
        self, workload: Workload, seed: int, exact: frozenset[str] = frozenset(), lost_fraction: float = 0.05,
        retry_fraction: float = 0.5, charges_over_quota: bool = False,
    ) -> None:  # fmt: skip
        self.workload, self.exact, self.retry_fraction = workload, exact, retry_fraction
        self.lost_fraction = 0.0 if "answers" in exact else lost_fraction
        self.accounts = {account.key: account for account in workload.accounts}
        self.loss_rng = random.Random(seed + 1)
        self.ledger = QuotaLedger(0.0, charges_over_quota=charges_over_quota)
        self.counter_buckets: dict[str, ExactBucket] = {}
        # Amounts added and not acknowledged, by gateway and counter key.
        self.unacknowledged_units: defaultdict[tuple[int, int], float] = defaultdict(float)
        # Admitted units in calls on their way to the counter, by customer and gateway.
        self.in_flight_units: defaultdict[tuple[str, int], float] = defaultdict(float)
        # By request: account, the client's random number, and the number of previous rejections.
        self.request_details: dict[str, tuple[Account, float, int]] = {}
        plans = workload.plans
        if "ceiling" in exact:
            plans = tuple(
                replace(p, ceiling_rate_per_s=0.0, ceiling_burst_units=0.0, ceiling_slack_units=0.0)
                for p in plans
            )
        classes = (RequestClass("read", 1500.0, 1.0, Idempotency.IDEMPOTENT),)
        settings = Settings(
            "a", workload.gateways, classes, plans, SlowStart(),
            max_retry_after_ms=workload.site.retry_after_ms,
            has_counter=True, counter_timeout_ms=workload.site.timeout_ms,
        )  # fmt: skip
        super().__init__(seed, workload.gateways, 40, self.make_engine, settings=settings)
        self.counter_partitions.slow(COUNTER_LATENCY_MS)
        if "clocks" in exact:
            self.skew = [0.0] * workload.gateways
        self.ledger.start_ms, self.ledger.count_from_ms = self.now, self.now + WARM_MS
        self.start_ms = self.now
        self.remaining_requests = iter(workload.requests)
        self.schedule_next()

    def make_engine(self, settings: Settings, seed: int) -> DecisionEngine:
        """Makes an engine with `InformedQuotaAccounting`; without `exact` it decides as the real one."""
        gateway = DecisionEngine(settings, seed)
        gateway.quota = gateway.execution.quota = InformedQuotaAccounting(
            settings, gateway.rng, self, len([m for m in self.engines if m])
        )
        return gateway

    def check(self) -> None:
        """Checks nothing: the rules do not hold here, where buckets are set to exact values."""

    # --- exact values -------------------------------------------------------------------------------------

    def counter_bucket(self, key: str) -> ExactBucket:
        """Returns the bucket that results from the units at the counter, over all windows."""
        if key not in self.counter_buckets:
            plan = self.accounts[key].plan
            self.counter_buckets[key] = ExactBucket(
                plan.rate_per_s, plan.burst_units, self.began, plan.burst_units, created_ms=self.began
            )
        return self.counter_buckets[key]

    def total(self, name: int) -> float:
        """Returns the counter's total for a key."""
        partition = self.counter_partitions.items[self.counter_partitions.index_of(str(name))]
        return partition.totals.entries.get(str(name), (0.0, 0.0))[0]

    def add_at_counter(self, key: str, units: float) -> None:
        """Records units that have reached the counter."""
        bucket = self.counter_bucket(key)
        bucket.take(self.now, units)
        bucket.history.append((self.now, bucket.level, bucket.overflow_units))

    def remove_units(self, key: str, name: int, units: float) -> None:
        """Removes units from the counter's total without a call."""
        partition = self.counter_partitions.items[self.counter_partitions.index_of(str(name))]
        if str(name) in partition.totals.entries:
            total, expires_at_ms = partition.totals.entries[str(name)]
            partition.totals.entries[str(name)] = total - units, expires_at_ms
            self.add_at_counter(key, -units)

    def units_not_at_counter(self, key: str, number: int) -> float:
        """Returns the units that other gateways have admitted and the counter has not received."""
        units = 0.0
        for other in self.accounts[key].gateways:
            if other != number:
                units += max(0.0, self.in_flight_units[key, other])
                if (tenant := self.engines[other].quota.tenants.by_id.get(key)) is not None:
                    units += max(0.0, tenant.unreported_units)
        return units

    # --- requests -----------------------------------------------------------------------------------------

    def schedule_next(self) -> None:
        """Schedules the next client request of the run."""
        if (row := next(self.remaining_requests, None)) is not None:
            self.schedule(self.start_ms + row.sent_ms - self.now, self.handle_arrival, row)

    def handle_arrival(self, row: ClientRequest) -> None:
        """Handles a client request and schedules the next one."""
        self.schedule_next()
        self.handle_request(row.account, row.units, row.gateway, row.retry_draw, 0)

    def handle_request(
        self, account: Account, units: float, gateway: int, retry_draw: float, rejection_count: int
    ) -> None:
        """Sends a request to a gateway."""
        request_id = str(next(self.serial))
        incarnation = self.incarnation[gateway]
        deadline = self.now + 4000.0
        cls = self.settings.classes[0]
        self.open_requests[request_id] = SimulatedRequest(
            request_id, gateway, incarnation, cls, account.plan.name, deadline, request_id, units=units
        )
        self.request_details[request_id] = account, retry_draw, rejection_count
        self.ledger.requests += self.now >= self.ledger.count_from_ms
        spread = len(account.gateways)
        event = Request(request_id, "read", account.plan.name, account.key, 4000.0, units, spread)
        self.feed(gateway, incarnation, event)

    def send(self, number: int, incarnation: int, action: StartAttempt) -> None:
        request = self.open_requests[action.request_id]
        account = self.request_details[request.request_id][0]
        if request.attempt_count == 0:
            within_quota = self.ledger.record_admission(self.now, account, request.units)
            if not within_quota and "owed" in self.exact:
                bucket = self.counter_bucket(account.key)
                bucket.refill(self.now)
                bucket.level += request.units
                bucket.overflow_units -= request.units
                bucket.history.append((self.now, bucket.level, bucket.overflow_units))
        self.ledger.attempts_in_flight[account.key] += 1
        super().send(number, incarnation, action)

    def on_attempt_ended(self, *context: Any) -> None:
        request, attempt = context[2], context[3]
        if attempt in request.in_flight:
            self.ledger.attempts_in_flight[self.request_details[request.request_id][0].key] -= 1
        super().on_attempt_ended(*context)

    def perform(self, number: int, incarnation: int, action: Action) -> None:
        if isinstance(action, Reject):
            request = self.open_requests[action.request_id]
            account, retry_draw, rejection_count = self.request_details[request.request_id]
            rejection_cause = self.engines[number].quota.rejection_cause
            quota_cause = rejection_cause.value if rejection_cause else ""
            cause = quota_cause if not request.attempt_count else "no attempt"
            self.ledger.record_rejection(self.now, account, request.units, cause)
            if rejection_count < 2 and retry_draw < self.retry_fraction:
                honours_retry_after = retry_draw < 0.6 * self.retry_fraction
                wait = (
                    action.retry_after_ms if honours_retry_after else 0.2 * self.workload.site.retry_after_ms
                )
                other = account.gateways[int(retry_draw * 7919 + rejection_count) % len(account.gateways)]
                self.schedule(
                    wait + 1.0,
                    self.handle_request,
                    account,
                    request.units,
                    other,
                    retry_draw,
                    rejection_count + 1,
                )
        elif isinstance(action, IncrementCounter):
            self.ledger.counter_calls += self.now >= self.ledger.count_from_ms
            row = self.engines[number].quota.counter.calls.in_flight[action.key][-1]
            self.in_flight_units[row.tenant.tenant_id, number] += row.units - row.reserved_units
        super().perform(number, incarnation, action)

    def call_counter(self, number: int, incarnation: int, call: IncrementCounter, began: float) -> None:
        """Applies a call at the counter, or loses or delays the call or its reply."""
        row = self.call_details(number, call, began)
        key, amount, reserved_units = row
        self.in_flight_units[key, number] -= amount - reserved_units
        timeout = self.workload.site.timeout_ms
        loss_draw = self.loss_rng.random()
        if loss_draw < self.lost_fraction:
            reply = CounterReply(call.key, 0.0, Outcome.TIMEOUT, timeout)
            self.schedule(began + timeout - self.now, self.feed, number, incarnation, reply)
            if loss_draw < (1.0 - UNANSWERED_FRACTION) * self.lost_fraction:
                late = self.loss_rng.uniform(0.0, MAX_LATE_TIMEOUTS) * timeout
                self.schedule(late, self.add_late, number, incarnation, call, began, row)
            elif loss_draw < (1.0 - 0.5 * UNANSWERED_FRACTION) * self.lost_fraction:
                self.counter_partitions.call(self.now, f"g{number}", str(call.key), call.amount, call.ttl_ms)
                self.add_at_counter(key, amount)
            return
        self.add_at_counter(key, amount)
        self.unacknowledged_units[number, call.key] += call.amount
        self.schedule(COUNTER_LATENCY_MS + NET_MS - 0.01, self.on_acknowledged, number, call)
        super().call_counter(number, incarnation, call, began)

    def add_late(
        self,
        number: int,
        incarnation: int,
        call: IncrementCounter,
        began: float,
        row: tuple[str, float, float],
    ) -> None:
        """Applies a late call at the counter and replies after the timeout."""
        result = self.counter_partitions.call(self.now, f"g{number}", str(call.key), call.amount, call.ttl_ms)
        self.add_at_counter(row[0], row[1])
        self.unacknowledged_units[number, call.key] += call.amount
        left = max(NET_MS, began + self.workload.site.timeout_ms + NET_MS - self.now)
        self.schedule(left - 0.01, self.on_acknowledged, number, call)
        total = float(f"{result[0] if result else 0.0:.7g}")
        reply = CounterReply(call.key, total, Outcome.OK, self.now + left - began, True)
        self.schedule(left, self.feed, number, incarnation, reply)

    def on_acknowledged(self, number: int, call: IncrementCounter) -> None:
        """Records that the gateway gets the reply to a call, so that it knows that its units were added."""
        self.unacknowledged_units[number, call.key] -= call.amount

    def call_details(self, number: int, call: IncrementCounter, began: float) -> tuple[str, float, float]:
        """Returns the customer, the units and the reserved units of a call in flight, found by its amount."""
        for row in self.engines[number].quota.counter.calls.in_flight[call.key]:
            if round(row.units + row.marker, 3) == call.amount:
                return row.tenant.tenant_id, row.units, row.reserved_units
        raise LookupError(f"no call in flight for {call}")


@contextmanager
def modified_quota_settings(
    counted_fraction: float = ceiling.COUNTED_FRACTION, window_scale: float = 1.0
) -> Iterator[None]:
    """Changes the counted fraction of ceilings and the length of windows within the context."""
    original_fraction, original_length_ms = ceiling.COUNTED_FRACTION, windows.window_length_ms

    def scaled_length_ms(plan: Plan) -> float:
        return min(windows.TENANT_IDLE_MS, original_length_ms(plan) * window_scale)

    try:
        ceiling.COUNTED_FRACTION = counted_fraction
        tenants.window_length_ms = windows.window_length_ms = scaled_length_ms  # type: ignore[attr-defined]
        yield
    finally:
        ceiling.COUNTED_FRACTION = original_fraction
        tenants.window_length_ms = windows.window_length_ms = original_length_ms  # type: ignore[attr-defined]


def run_workload(
    workload: Workload, seed: int, exact: frozenset[str] = frozenset(), lost_fraction: float = 0.05,
    retry_fraction: float = 0.5, charges_over_quota: bool = False,
) -> QuotaLedger:  # fmt: skip
    """Runs a workload with real decision engines."""
    world = QuotaWorld(workload, seed, exact, lost_fraction, retry_fraction, charges_over_quota)
    world.run((workload.requests[-1].sent_ms if workload.requests else 0.0) + 2000.0)
    return world.ledger


# --- model: the bucket's state kept at the counter --------------------------------------------------------


@dataclass
class KnownLevel:
    """The last level of a customer's bucket that a gateway knows.

    Apart from the refill since then it is an upper bound, as other gateways only lower the level.
    """

    epoch: int
    level: float
    at: float  # by the gateway's own clock


@dataclass(frozen=True)
class Scheme:
    """How gateways use the bucket's state at the counter.

    `hidden_overflow_fraction` is the fraction of the burst up to which an overflow is not added to the
    counter's value: this saves a call and hides as much use. With `requests_per_call` above 1, a request for
    a customer whose last known level is above the fraction `sampling_above_fraction` of its burst calls the
    counter with a probability of 1 / `requests_per_call`, for that many times its units, and is otherwise
    admitted without a call. With `rejects_by_known_level`, a request is rejected without a call if the last
    known level plus the refill since then lacks its units. The counter loses its state at
    `counter_empty_at_ms`. Below the fraction `read_below_fraction` of the burst, by the last known level, a
    call only reads, and a second call adds what was admitted, so that a rejection leaves nothing on the
    counter.
    """

    hidden_overflow_fraction: float = 0.25
    requests_per_call: int = 1
    sampling_above_fraction: float = 0.6
    rejects_by_known_level: bool = True
    epoch_ms: float = 30_000.0
    counter_empty_at_ms: float = math.inf
    read_below_fraction: float = 0.0


class CounterStateModel:
    """Virtual scheduling with a counter that only adds.

    The value of a key is the units used plus the overflow since the start of the epoch, so that
    level = burst - (value - rate * time since the start of the epoch).

    A key is valid for one epoch. A gateway that finds it without the level of the last epoch reads the old
    key and adds what is missing; one that finds the bucket above its burst adds the overflow. Both calls also
    increment a marker. If two gateways make the same addition, the reply to the later one shows the marker of
    the other, and it subtracts its own addition. The units of a rejected request are subtracted at once. Lost
    calls are never repeated.
    """

    def __init__(
        self,
        workload: Workload,
        seed: int,
        scheme: Scheme,
        lost_fraction: float = 0.05,
        retry_fraction: float = 0.5,
        charges_over_quota: bool = False,
    ) -> None:
        self.workload, self.scheme, self.lost_fraction, self.retry_fraction = (
            workload,
            scheme,
            lost_fraction,
            retry_fraction,
        )
        self.rng = random.Random(seed + 1)
        # By gateway: how far its clock is ahead of the simulation's, in ms.
        self.skew = [self.rng.uniform(0.0, 50.0) for _ in range(workload.gateways)]
        # By customer and epoch: value, number of overflow corrections, number of carry-overs.
        self.counter_values: dict[tuple[str, int], list[float]] = {}
        self.known_levels: dict[tuple[int, str], KnownLevel] = {}
        self.now, self.order = 0.0, itertools.count()
        self.event_queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.ledger = QuotaLedger(0.0, count_from_ms=WARM_MS, charges_over_quota=charges_over_quota)
        self.corrections = self.cancelled_additions = 0
        # Requests rejected after the timeout of their call, whose reply may still arrive.
        self.rejected_unanswered: set[tuple[Any, ...]] = set()

    def schedule(self, delay_ms: float, call: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.event_queue, (self.now + delay_ms, next(self.order), call, args))

    def run(self) -> QuotaLedger:
        """Runs all requests and returns the results."""
        for row in self.workload.requests:
            self.schedule(
                row.sent_ms, self.handle_request, row.account, row.units, row.gateway, row.retry_draw, 0
            )
        if self.scheme.counter_empty_at_ms < math.inf:
            self.schedule(self.scheme.counter_empty_at_ms, self.counter_values.clear)
        while self.event_queue:
            self.now, _, call, args = heapq.heappop(self.event_queue)
            call(*args)
        return self.ledger

    def clock(self, gateway: int) -> float:
        """Returns the time by a gateway's clock."""
        return 1_700_000_000_000.0 + self.now + self.skew[gateway]

    def epoch(self, gateway: int, account: Account) -> int:
        """Returns the number of the current epoch of a customer, by a gateway's clock."""
        return int(
            (self.clock(gateway) + window_phase(account.key) * self.scheme.epoch_ms) // self.scheme.epoch_ms
        )

    def level(self, gateway: int, account: Account, epoch: int, value: float) -> float:
        """Returns the level for a counter value by this gateway's clock; above the burst if it overflowed."""
        start = epoch * self.scheme.epoch_ms - window_phase(account.key) * self.scheme.epoch_ms
        return (
            account.plan.burst_units
            - value
            + account.plan.rate_per_s * (self.clock(gateway) - start) / 1000.0
        )

    def call_counter(
        self, name: tuple[str, int], add: tuple[float, float, float], then: Callable[..., None], *args: Any
    ) -> None:
        """Adds three amounts at the counter.

        `then` is called with the values after the addition, or with None after the timeout.
        """
        self.ledger.counter_calls += self.now >= self.ledger.count_from_ms
        loss_draw = self.rng.random()
        if loss_draw < self.lost_fraction:
            timeout = self.workload.site.timeout_ms
            self.schedule(timeout, then, None, *args)
            if loss_draw < (1.0 - UNANSWERED_FRACTION) * self.lost_fraction:
                if then == self.on_reply:
                    then = self.on_late_reply
                elif then == self.carry_over:
                    then = self.ignore_late_reply
                late = max(timeout, self.rng.uniform(0.0, MAX_LATE_TIMEOUTS) * timeout)
                self.schedule(late, self.apply_at_counter, name, add, then, args)
            elif loss_draw < (1.0 - 0.5 * UNANSWERED_FRACTION) * self.lost_fraction:
                self.schedule(NET_MS, self.apply_at_counter, name, add, None, ())
            return
        self.schedule(NET_MS, self.apply_at_counter, name, add, then, args)

    def apply_at_counter(
        self, name: tuple[str, int], add: tuple[float, float, float], then: Callable[..., None] | None,
        args: tuple[Any, ...],
    ) -> None:  # fmt: skip
        """Applies a call at the counter and schedules its reply."""
        values = self.counter_values.setdefault(name, [0.0, 0.0, 0.0])
        for i, amount in enumerate(add):
            values[i] += amount
        if then is not None:
            self.schedule(COUNTER_LATENCY_MS + NET_MS, then, list(values), *args)

    def handle_request(
        self, account: Account, units: float, gateway: int, retry_draw: float, rejection_count: int
    ) -> None:
        """Handles a client request. `retry_draw` is the client's random number; the gateway draws its own."""
        self.ledger.requests += self.now >= self.ledger.count_from_ms
        pending_request = account, units, gateway, retry_draw, rejection_count
        epoch = self.epoch(gateway, account)
        known_level, plan = self.known_levels.get((gateway, account.key)), account.plan
        added = units
        if known_level is not None:
            level = min(
                plan.burst_units,
                known_level.level + plan.rate_per_s * (self.clock(gateway) - known_level.at) / 1000.0,
            )
            if self.scheme.rejects_by_known_level and level < units - LEVEL_TOLERANCE_UNITS:
                self.reject(pending_request, "empty")
                return
            if (
                self.scheme.requests_per_call > 1
                and level > self.scheme.sampling_above_fraction * plan.burst_units + units
            ):
                if self.rng.random() * self.scheme.requests_per_call > 1.0:
                    known_level.level, known_level.at = level - units, self.clock(gateway)
                    self.admit(pending_request)
                    return
                added = units * self.scheme.requests_per_call
            if level < self.scheme.read_below_fraction * plan.burst_units:
                added = 0.0
        self.call_counter(
            (account.key, epoch), (added, 0.0, 0.0), self.on_reply, epoch, added, pending_request
        )

    def on_reply(
        self, values: list[float] | None, epoch: int, added: float, pending_request: tuple[Any, ...]
    ) -> None:
        """Handles the counter's reply to a request's call."""
        account, units, gateway, _, _ = pending_request
        if values is None:  # timed out: decides by the last known level, or by an even share of the burst
            known_level = self.known_levels.get((gateway, account.key))
            available = (
                known_level.level
                if known_level is not None
                else account.plan.burst_units / len(account.gateways)
            )
            if available >= units or (known_level is None and self.rng.random() < available / units):
                self.admit(pending_request)
            else:
                self.rejected_unanswered.add(pending_request)
                self.reject(pending_request, "no answer")
        elif values[2] < 1.0:
            old = (account.key, epoch - 1)
            self.call_counter(old, (0.0, 0.0, 0.0), self.carry_over, epoch, added, pending_request, values)
        else:
            self.decide(values, epoch, added, pending_request, 0.0)

    def on_late_reply(
        self, values: list[float], epoch: int, added: float, pending_request: tuple[Any, ...]
    ) -> None:
        """Subtracts the units of a late call if its request was rejected meanwhile."""
        if pending_request in self.rejected_unanswered:
            self.rejected_unanswered.discard(pending_request)
            if added:
                self.call_counter((pending_request[0].key, epoch), (-added, 0.0, 0.0), self.ignore_reply)

    def ignore_late_reply(self, values: list[float], *args: Any) -> None:
        """Ignores the late reply of a call that only reads, as the request has been decided without it."""

    def carry_over(
        self,
        old_values: list[float] | None,
        epoch: int,
        added: float,
        pending_request: tuple[Any, ...],
        values: list[float],
    ) -> None:
        """Adds to the new epoch's key so that its level continues that of the last epoch, or is full."""
        account, _, gateway, _, _ = pending_request
        level = account.plan.burst_units
        if old_values is not None and old_values[2] >= 1.0:
            level = min(level, self.level(gateway, account, epoch - 1, old_values[0]))
        missing = self.level(gateway, account, epoch, 0.0) - level
        name = account.key, epoch
        self.call_counter(name, (missing, 0.0, 1.0), self.on_carried_over, name, missing)
        self.decide(values, epoch, added, pending_request, missing)

    def on_carried_over(self, values: list[float] | None, name: tuple[str, int], missing: float) -> None:
        """Subtracts the own carry-over if another gateway has made one before."""
        if values is not None and values[2] > 1.0:
            self.cancelled_additions += 1
            self.call_counter(name, (-missing, 0.0, 0.0), self.ignore_reply)

    def decide(
        self, values: list[float], epoch: int, added: float, pending_request: tuple[Any, ...], missing: float
    ) -> None:  # fmt: skip
        """Admits or rejects a request by the counter's reply, and adds an overflow to the counter's value."""
        account, units, gateway, _, _ = pending_request
        plan, name = account.plan, (account.key, epoch)
        before = self.level(gateway, account, epoch, values[0] + missing) + added
        overflow = max(0.0, before - plan.burst_units)
        left = min(before, plan.burst_units) - units
        known = left if left > -LEVEL_TOLERANCE_UNITS else left + units
        self.known_levels[gateway, account.key] = KnownLevel(epoch, known, self.clock(gateway))
        if overflow > self.scheme.hidden_overflow_fraction * plan.burst_units:
            self.corrections += 1
            self.call_counter(name, (overflow, 1.0, 0.0), self.on_corrected, name, overflow, values[1])
        if left > -LEVEL_TOLERANCE_UNITS:
            self.admit(pending_request)
            if not added:
                self.call_counter(name, (units, 0.0, 0.0), self.ignore_reply)
        elif not added:
            self.reject(pending_request, "empty")
        else:
            self.call_counter(name, (-added, 0.0, 0.0), self.ignore_reply)
            self.reject(pending_request, "empty")

    def on_corrected(
        self, values: list[float] | None, name: tuple[str, int], overflow: float, corrections: float
    ) -> None:
        """Subtracts the own correction if another gateway has added the same overflow before."""
        if values is not None and values[1] > corrections + 1.5:
            self.cancelled_additions += 1
            self.call_counter(name, (-overflow, 0.0, 0.0), self.ignore_reply)

    def ignore_reply(self, values: list[float] | None) -> None:
        """Ignores a reply that nothing waits for."""

    def admit(self, pending_request: tuple[Any, ...]) -> None:
        """Admits a request."""
        account, units = pending_request[0], pending_request[1]
        self.ledger.record_admission(self.now, account, units)

    def reject(self, pending_request: tuple[Any, ...], cause: str) -> None:
        """Rejects a request; some clients retry it at one of their gateways."""
        account, units, _, retry_draw, rejection_count = pending_request
        self.ledger.record_rejection(self.now, account, units, cause)
        if rejection_count < 2 and retry_draw < self.retry_fraction:
            wait = 0.6 * self.workload.site.retry_after_ms if retry_draw < 0.6 * self.retry_fraction else 0.0
            wait = max(wait, 0.2 * self.workload.site.retry_after_ms)
            other = account.gateways[int(retry_draw * 7919 + rejection_count) % len(account.gateways)]
            self.schedule(wait, self.handle_request, account, units, other, retry_draw, rejection_count + 1)
