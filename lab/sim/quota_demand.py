"""Client requests of many gateways' customers, drawn from a deployment's parameters.

Times are in milliseconds, rates in units per second.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from glenchute.policy.settings import Plan

COUNTER_LATENCY_MS = 2.0  # processing time of a call at the counter
WARM_MS = 6000.0  # start of a run that is not measured, since the gateways have just started
# Fraction of the timed-out calls that are never answered; the counter applies half of these. It applies and
# answers the other timed-out calls late.
UNANSWERED_FRACTION = 0.2
MAX_LATE_TIMEOUTS = 2.0  # longest delay of a late call, in timeouts


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
