"""Measures quota errors of many gateways with a healthy counter: over-admission, false rejections, causes.

`generate_workload` generates the client requests of a deployment. `QuotaLedger` keeps the exact token bucket
of each customer over all gateways and checks each decision against it. `QuotaWorld` runs real decision
engines. `InformedQuotaAccounting` is the engine's quota accounting with exact values in place of some of its
estimates: an error that remains was not caused by those estimates. `CounterStateModel` runs the same requests
with the bucket's state kept at the counter.

Times are in milliseconds, rates in units per second. The results do not predict the score of a benchmark.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

from glenchute.policy.actions import Action, IncrementCounter, Reject, StartAttempt
from glenchute.policy.admission import ceiling, tenants, windows
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import CounterReply, Outcome, Request
from glenchute.policy.settings import Idempotency, Plan, RequestClass, Settings, SlowStart
from lab.sim.informed_quotas import InformedQuotaAccounting
from lab.sim.quota_demand import (
    COUNTER_LATENCY_MS,
    MAX_LATE_TIMEOUTS,
    UNANSWERED_FRACTION,
    WARM_MS,
    Account,
    ClientRequest,
    Workload,
)
from lab.sim.quota_ledger import ExactBucket, QuotaLedger
from lab.sim.world import NET_MS, SimulatedRequest, World


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
