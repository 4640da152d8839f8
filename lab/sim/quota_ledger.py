"""The exact use of each customer over all gateways, against which each decision is checked.

Times are in milliseconds, rates in units per second.
"""

from __future__ import annotations

import bisect
import math
from collections import Counter
from dataclasses import dataclass, field

from lab.sim.quota_demand import Account

# Smaller differences between a bucket's level and a request's units are no error: the bucket refills by as
# much during a call.
LEVEL_TOLERANCE_UNITS = 0.1
UNUSED_FRACTION = 0.5  # `half_unused_rejections` leave this fraction of each limit unused, or more


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
