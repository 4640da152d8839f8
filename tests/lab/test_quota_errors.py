"""The measurement of quota errors counts them correctly, and gives the decision engine the exact values."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from glenchute.policy.admission import ceiling, tenants, windows
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.settings import Plan
from lab.sim import quotas
from lab.sim.counter_state_model import CounterStateModel, Scheme
from lab.sim.informed_quotas import EXACT
from lab.sim.quota_demand import SITES, TURKU, Account, ClientRequest, Workload, generate_workload
from lab.sim.quota_ledger import LEVEL_TOLERANCE_UNITS, ExactBucket, QuotaLedger

PLAN = Plan("plan", rate_per_s=2.0, burst_units=10.0)
ACCOUNT = Account("c", PLAN, tuple(range(32)))


def small(site: str = "turku", seed: int = 5) -> Workload:
    return generate_workload(SITES[site], seed, 8, 9.0, 120.0)


def workload_of(requests: list[ClientRequest], gateways: int = 32) -> Workload:
    return Workload(TURKU, gateways, (PLAN,), [ACCOUNT], requests)


def test_a_store_fills_overflows_and_remembers() -> None:
    bucket = ExactBucket(2.0, 10.0, 0.0, 10.0)
    bucket.take(0.0, 6.0)
    bucket.history.append((0.0, bucket.level, bucket.overflow_units))
    assert bucket.refill(1000.0) == 6.0
    assert bucket.refill(5000.0) == 10.0
    assert bucket.overflow_units == pytest.approx(4.0)
    bucket.take(5000.0, 12.0)
    assert bucket.level == pytest.approx(-2.0)  # in debt
    assert bucket.state_at(1000.0) == pytest.approx((6.0, 0.0))
    assert bucket.state_at(4000.0) == pytest.approx((10.0, 2.0))
    assert ExactBucket(2.0, 10.0, 0.0, 10.0).state_at(500.0) == pytest.approx((10.0, 1.0))


def test_the_books_count_whole_tries_by_the_true_store() -> None:
    ledger = QuotaLedger(0.0)
    assert all(ledger.record_admission(0.0, ACCOUNT, 1.0) for _ in range(10))
    assert not ledger.record_admission(0.0, ACCOUNT, 1.0)  # over quota: takes nothing from the bucket
    assert ledger.record_admission(500.0 * (1.0 - LEVEL_TOLERANCE_UNITS) + 1.0, ACCOUNT, 1.0)
    assert (ledger.admitted_units, ledger.over_quota_units) == (12.0, 1.0)
    ledger.requests = 10
    ledger.record_rejection(500.0, ACCOUNT, 1.0, "empty")  # the bucket was empty: a correct rejection
    # 2 of 10 units left: a false rejection, but less than half of the burst is unused.
    ledger.record_rejection(1500.0, ACCOUNT, 1.0, "empty")
    ledger.record_rejection(3100.0, ACCOUNT, 1.0, "lot")
    assert (ledger.false_rejections, ledger.half_unused_rejections) == (2, 1)
    assert dict(ledger.rejection_causes) == {"lot": 1}
    assert ledger.ratios() == pytest.approx((1 / 12, 0.1, 0.2, 0.0))


def test_by_the_other_book_what_goes_beyond_is_owed() -> None:
    ledger = QuotaLedger(0.0, charges_over_quota=True)
    for _ in range(12):
        ledger.record_admission(0.0, ACCOUNT, 1.0)
    assert not ledger.record_admission(1000.0, ACCOUNT, 1.0)  # the bucket is two units in debt
    assert ledger.over_quota_units == 3.0
    assert ledger.bucket(ACCOUNT).level == pytest.approx(-1.0)


def test_what_comes_before_the_books_begin_moves_the_stores_only() -> None:
    ledger = QuotaLedger(0.0, count_from_ms=100.0)
    for at in (0.0, 100.0):
        for _ in range(11):
            ledger.record_admission(at, ACCOUNT, 1.0)
    assert (ledger.admitted_units, ledger.over_quota_units) == (11.0, 11.0)


def test_a_cap_on_open_attempts_takes_the_room_away() -> None:
    account = Account("c", Plan("plan", rate_per_s=2.0, burst_units=10.0, max_concurrent=4), (0, 1))
    ledger = QuotaLedger(0.0)
    ledger.attempts_in_flight["c"] = 3
    ledger.record_rejection(0.0, account, 1.0, "open")
    ledger.attempts_in_flight["c"] = 2
    ledger.record_rejection(0.0, account, 1.0, "open")
    assert ledger.half_unused_rejections == 1


@pytest.mark.parametrize("site", sorted(SITES))
def test_every_try_is_booked_once(site: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(quotas, "WARM_MS", 0.0)
    ended = {"sent": 0, "refused": 0}

    class Counting(QuotaLedger):
        def record_admission(self, now: float, account: Account, units: float) -> bool:
            ended["sent"] += 1
            return super().record_admission(now, account, units)

        def record_rejection(self, now: float, account: Account, units: float, cause: str) -> None:
            ended["refused"] += 1
            super().record_rejection(now, account, units, cause)

    monkeypatch.setattr(quotas, "QuotaLedger", Counting)
    ledger = quotas.run_workload(small(site), 5)
    assert ended["sent"] + ended["refused"] == ledger.requests
    assert min(ended.values()) > 50
    assert ledger.counter_calls > 0


@pytest.mark.parametrize("site", sorted(SITES))
def test_told_nothing_it_is_the_module(site: str, monkeypatch: pytest.MonkeyPatch) -> None:
    workload = small(site)
    informed = quotas.run_workload(workload, 5)
    assert quotas.run_workload(workload, 5) == informed  # a seed determines a run
    monkeypatch.setattr(
        quotas.QuotaWorld, "make_engine", lambda self, settings, seed: DecisionEngine(settings, seed)
    )
    assert quotas.run_workload(workload, 5) == informed
    assert informed.over_quota_units > 0
    assert informed.half_unused_rejections > 0


@pytest.mark.parametrize("site", sorted(SITES))
def test_told_the_true_store_it_makes_no_errors(site: str) -> None:
    """All errors that are counted come from what gateways don't know, and from the ceiling guard."""
    ledger = quotas.run_workload(small(site), 5, frozenset({"store", "ceiling", "answers"}))
    assert ledger.over_quota_units == 0.0
    assert ledger.half_unused_rejections == 0


@pytest.mark.parametrize("cause", EXACT)
def test_each_truth_reaches_the_module(cause: str) -> None:
    """An exact value that changes no result could not identify its cause. "owed" has an effect only with
    exact buckets; "fraction", the share of the demand, decides too few requests in so short a run to be
    checked."""
    workload = small("zagreb")
    other_inputs = frozenset({"window", "overflow"} if cause == "owed" else ())
    exact, base = (
        quotas.run_workload(workload, 5, other_inputs | {cause}),
        quotas.run_workload(workload, 5, other_inputs),
    )
    assert cause == "fraction" or exact != base


def test_the_module_is_left_as_it_was() -> None:
    before = ceiling.COUNTED_FRACTION, tenants.window_length_ms, windows.window_length_ms  # type: ignore[attr-defined]
    with (
        pytest.raises(ZeroDivisionError),
        quotas.modified_quota_settings(counted_fraction=0.9, window_scale=0.5),
    ):
        assert windows.window_length_ms(PLAN) == 2500.0
        _ = 1 / 0
    assert before == (ceiling.COUNTED_FRACTION, tenants.window_length_ms, windows.window_length_ms)  # type: ignore[attr-defined]


def model(requests: list[ClientRequest], scheme: Scheme, lost_fraction: float = 0.0) -> CounterStateModel:
    """Returns a model with equal clocks, in which every request is counted and no client retries."""
    result = CounterStateModel(workload_of(requests), 3, scheme, lost_fraction, retry_fraction=0.0)
    result.skew = [0.0] * 32
    result.ledger.count_from_ms = 0.0
    return result


def crowd(at: float, count: int = 32) -> list[ClientRequest]:
    """Returns requests within one millisecond, each to another gateway."""
    rng = random.Random(7)
    return [ClientRequest(at + rng.random(), ACCOUNT, 1.0, n % 32, 0.9) for n in range(count)]


ENDLESS_EPOCH_MS = 1e9  # longer than any run


@pytest.mark.parametrize("epoch_ms", [ENDLESS_EPOCH_MS, 7_000.0])
@pytest.mark.parametrize("silence", [40.0, 9_000.0, 70_000.0])
def test_a_crowd_in_one_millisecond_passes_by_no_more_than_what_overflowed(
    silence: float, epoch_ms: float
) -> None:
    """Gateways that call before the overflow is added can't know of each other, so they may admit as many
    units over quota as overflowed. A second crowd admits no more over quota."""
    scheme = Scheme(0.0, epoch_ms=epoch_ms)
    first = [ClientRequest(0.0, ACCOUNT, 1.0, 0, 0.9), *crowd(silence)]
    overflow = max(0.0, 2.0 * silence / 1000.0 - 1.0)
    ledger = model(first, scheme).run()
    assert ledger.admitted_units - ledger.over_quota_units == (10.0 if silence < 100.0 else 11.0)
    assert ledger.over_quota_units <= min(22.0, overflow)
    with_second_crowd = model([*first, *crowd(silence + 1000.0)], scheme).run()
    assert with_second_crowd.over_quota_units == ledger.over_quota_units


def test_two_that_find_one_overflow_add_it_once() -> None:
    first = [ClientRequest(0.0, ACCOUNT, 1.0, 0, 0.9), *crowd(2_000.0, 3)]
    counter_model = model([*first, *crowd(2_500.0)], Scheme(0.0, epoch_ms=ENDLESS_EPOCH_MS))
    ledger = counter_model.run()
    assert counter_model.corrections > 1
    assert counter_model.cancelled_additions == counter_model.corrections - 1
    # 7 units are left after the first four requests; half a second adds one.
    assert (ledger.over_quota_units, ledger.admitted_units) == (0.0, 1.0 + 3.0 + 8.0)


@pytest.mark.parametrize("hidden", [0.0, 0.25, 0.5])
def test_what_is_left_of_an_overflow_hides_no_more_than_its_share(hidden: float) -> None:
    """Requests come one after the other, so that no two calls overlap: no more than the hidden overflow can
    be admitted over quota, plus what the last request exceeds it by, as whole requests are counted."""
    requests = [ClientRequest(0.0, ACCOUNT, 1.0, 0, 0.9)]
    # After this time the overflow is just below the amount that is added to the counter.
    refill_ms = 1000.0 * (1.0 + 0.99 * hidden * PLAN.burst_units) / PLAN.rate_per_s
    requests += [ClientRequest(refill_ms + 10.0 * n, ACCOUNT, 1.0, n % 32, 0.9) for n in range(32)]
    ledger = model(requests, Scheme(hidden, epoch_ms=ENDLESS_EPOCH_MS)).run()
    assert ledger.over_quota_units < hidden * PLAN.burst_units + 1.0
    assert hidden == 0.0 or ledger.over_quota_units > 0.0


def test_an_emptied_counter_costs_a_burst_at_most() -> None:
    requests = [row for n in range(80) for row in crowd(500.0 * n, 4)]
    undisturbed = model(requests, Scheme(0.0)).run()
    emptied = model(requests, Scheme(0.0, counter_empty_at_ms=15_250.0)).run()
    assert undisturbed.over_quota_units <= 1.0
    assert 1.0 < emptied.over_quota_units <= PLAN.burst_units + 1.0


def test_reads_near_empty_leave_nothing_behind() -> None:
    """Reads one after the other cause no errors. Simultaneous requests whose calls only read exceed the quota
    by at most their own units."""
    requests = [ClientRequest(70.0 * n, ACCOUNT, 1.0, n % 32, 0.9) for n in range(300)]
    scheme = Scheme(0.0, rejects_by_known_level=False, epoch_ms=ENDLESS_EPOCH_MS)
    adds = model(requests, scheme).run()
    reads = model(requests, replace(scheme, read_below_fraction=0.5)).run()
    assert reads.counter_calls < adds.counter_calls
    assert (
        reads.over_quota_units,
        reads.half_unused_rejections,
        adds.over_quota_units,
        adds.half_unused_rejections,
    ) == (0.0, 0, 0.0, 0)
    ledger = model([*requests[:9], *crowd(800.0)], replace(scheme, read_below_fraction=0.5)).run()
    assert 0.0 < ledger.over_quota_units <= 32.0


def test_a_refused_ask_that_is_never_taken_back_leaves_room_unused() -> None:
    """Units of lost calls matter more here than with counts by window: only a full bucket clears them."""
    requests = [ClientRequest(70.0 * n, ACCOUNT, 1.0, n % 32, 0.9) for n in range(600)]
    scheme = Scheme(0.0, rejects_by_known_level=False, epoch_ms=ENDLESS_EPOCH_MS)
    assert model(requests, scheme, 0.0).run().false_rejections == 0
    assert model(requests, scheme, 0.2).run().false_rejections > 0
