"""A model of quotas whose bucket is kept at the counter, for the same requests as the engines get."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from glenchute.policy.admission.windows import window_phase
from lab.sim.quota_demand import (
    COUNTER_LATENCY_MS,
    MAX_LATE_TIMEOUTS,
    UNANSWERED_FRACTION,
    WARM_MS,
    Account,
    Workload,
)
from lab.sim.quota_ledger import LEVEL_TOLERANCE_UNITS, QuotaLedger
from lab.sim.world import NET_MS


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
