"""The simulated site: the rules hold over seeds, runs are reproducible, and injected bugs are found."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from glenchute.capture.replay import find_runs, replay
from glenchute.policy.actions import Fail
from glenchute.policy.admission import quota
from glenchute.policy.admission.counter_sync import CounterSync
from glenchute.policy.admission.epoch_markers import WindowCounter
from glenchute.policy.admission.quota import QuotaAccounting
from glenchute.policy.admission.tenants import TenantTable
from glenchute.policy.balancing.endpoint_choice import EndpointChooser
from glenchute.policy.balancing.pool import ServerPool
from glenchute.policy.balancing.server import Server
from glenchute.policy.balancing.slow_start import SlowStartLimiter
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import AttemptEnded, EndpointList, EndpointState, Outcome
from glenchute.policy.request_execution import RequestExecution
from glenchute.policy.requests import PendingRequest
from glenchute.policy.retries.retry_policy import RetryPolicy
from glenchute.policy.settings import Idempotency
from lab.sim.swarm import Fault, Script, draw_script, find_failure, run_script, search, write_captures

SEEDS = range(24)
BUGS: dict[str, Callable[[pytest.MonkeyPatch], None]] = {}


def bug(inject: Callable[[pytest.MonkeyPatch], None]) -> Callable[[pytest.MonkeyPatch], None]:
    """Registers an injected bug, which the search must find."""
    BUGS[inject.__name__] = inject
    return inject


@bug
def unsafe_requests_are_repeated(patch: pytest.MonkeyPatch) -> None:
    """Injects a bug: any request gets a second attempt, even if it may have run."""
    original = RetryPolicy.may_retry

    def may_retry(self: RetryPolicy, now_ms: float, pending: PendingRequest, event: Any) -> bool:
        return original(self, now_ms, pending, event) or pending.attempt_count < 2

    patch.setattr(RetryPolicy, "may_retry", may_retry)


@bug
def keys_are_never_forgotten(patch: pytest.MonkeyPatch) -> None:
    """Injects a bug: idempotency keys do not expire."""
    patch.setattr(RetryPolicy, "idempotency_expiry_ms", lambda self, pending: 1e18)


@bug
def any_zone_will_do(patch: pytest.MonkeyPatch) -> None:
    """Injects a bug: retries are not pinned to the zone or cell that knows the idempotency key."""
    original = EndpointChooser.pick

    def pick(self: EndpointChooser, now_ms: float, pending: PendingRequest) -> Any:
        pending.pinned_endpoint = None
        return original(self, now_ms, pending)

    patch.setattr(EndpointChooser, "pick", pick)


@bug
def refusals_after_a_try(patch: pytest.MonkeyPatch) -> None:
    """Injects a bug: a request may be rejected although an attempt may have run."""
    original = RequestExecution.finish

    def finish(self: RequestExecution, pending: PendingRequest) -> None:
        pending.may_have_run_ms = None
        original(self, pending)

    patch.setattr(RequestExecution, "finish", finish)


@bug
def draining_servers_are_kept(patch: pytest.MonkeyPatch) -> None:
    """Injects a bug: draining and removed servers still get attempts."""
    original = ServerPool.update

    def update(self: ServerPool, endpoint_list: EndpointList, now_ms: float) -> None:
        before = dict(self.servers)
        original(self, endpoint_list, now_ms)
        for entry in endpoint_list.endpoints:
            if entry.state is not EndpointState.ACTIVE and entry.address in before:
                self.servers[entry.address] = before[entry.address]

    patch.setattr(ServerPool, "update", update)


@bug
def open_counts_leak(patch: pytest.MonkeyPatch) -> None:
    """Injects a bug: an attempt that ends in a reset still counts as in flight."""
    original = RequestExecution.end_attempt

    def end_attempt(self: RequestExecution, now_ms: float, event: AttemptEnded) -> None:
        attempt = self.attempts.get((event.request_id, event.attempt))
        original(self, now_ms, event)
        if attempt is not None and attempt.pending.tenant and event.outcome is Outcome.RESET:
            attempt.pending.tenant.attempts_in_flight += 1

    patch.setattr(RequestExecution, "end_attempt", end_attempt)


@bug
def stores_overflow(patch: pytest.MonkeyPatch) -> None:
    """Injects a bug: each charge adds more units to the token bucket than it takes."""
    original = QuotaAccounting.charge

    def charge(self: QuotaAccounting, tenant: Any, units: float, is_counted: bool, has_total: bool) -> None:
        original(self, tenant, units, is_counted, has_total)
        tenant.bucket_units += 3.0 * units

    patch.setattr(QuotaAccounting, "charge", charge)


@bug
def guards_are_not_kept(patch: pytest.MonkeyPatch) -> None:
    """Injects a bug: the ceilings are not enforced."""
    patch.setattr(quota, "is_granted_by_counter", lambda tenant, has_total: True)
    patch.setattr(CounterSync, "needs_total", lambda self, now_ms, tenant, units: False)
    patch.setattr(TenantTable, "headroom", lambda self, tenant: 1e9)
    original = QuotaAccounting.admit

    def admit(
        self: QuotaAccounting,
        now_ms: float,
        tenant: Any,
        units: float,
        has_total: bool,
        is_total_missing: bool,
    ) -> Any:
        return (
            None
            if tenant.plan.ceiling_rate_per_s
            else original(self, now_ms, tenant, units, has_total, is_total_missing)
        )

    patch.setattr(QuotaAccounting, "admit", admit)


@bug
def some_requests_are_forgotten(patch: pytest.MonkeyPatch) -> None:
    """Injects a bug: a request whose attempt ends in an error is dropped without a response."""
    original = RequestExecution.end_attempt

    def end_attempt(self: RequestExecution, now_ms: float, event: AttemptEnded) -> None:
        if event.outcome is Outcome.ERROR:
            self.requests.pop(event.request_id, None)
        original(self, now_ms, event)

    patch.setattr(RequestExecution, "end_attempt", end_attempt)


@bug
def an_answer_is_given_twice(patch: pytest.MonkeyPatch) -> None:
    """Injects a bug: a request gets a second final response."""
    original = RequestExecution.finish

    def finish(self: RequestExecution, pending: PendingRequest) -> None:
        original(self, pending)
        self.actions.append(Fail(pending.request.request_id))

    patch.setattr(RequestExecution, "finish", finish)


@bug
def newcomers_look_idle_and_get_it_all(patch: pytest.MonkeyPatch) -> None:
    """Injects a bug: servers that have started lately look idle, and have no slow start."""
    original = EndpointChooser.expected_delay

    def expected_delay(
        self: EndpointChooser, server: Server, now_ms: float, mean_ms: float, weight: float
    ) -> float:
        return 0.0 if server.endpoint.started_ms > 0 else original(self, server, now_ms, mean_ms, weight)

    patch.setattr(EndpointChooser, "expected_delay", expected_delay)
    patch.setattr(SlowStartLimiter, "weight", lambda self, server, now_ms: 1.0)


@bug
def a_time_out_raises(patch: pytest.MonkeyPatch) -> None:
    """Injects a bug: the engine raises when a total shows that the counter lost its memory."""
    original = WindowCounter.apply_total

    def apply_total(self: WindowCounter, total: float, units: float, marker: float) -> Any:
        result = original(self, total, units, marker)
        if result is not None:
            raise ZeroDivisionError("injected")
        return result

    patch.setattr(WindowCounter, "apply_total", apply_total)


@bug
def attempts_have_no_end(patch: pytest.MonkeyPatch) -> None:
    """Injects a bug: retries have no limit in number or time."""

    def may_retry(self: RetryPolicy, now_ms: float, pending: PendingRequest, event: Any) -> bool:
        return pending.may_have_run_ms is None or pending.request_class.idempotency is Idempotency.IDEMPOTENT

    patch.setattr(RetryPolicy, "may_retry", may_retry)


def test_the_rules_hold_over_seeds() -> None:
    for seed in SEEDS:
        failure = find_failure(draw_script(seed), DecisionEngine)
        assert failure is None, failure


def test_a_seed_is_a_run() -> None:
    first, second = run_script(draw_script(3)), run_script(draw_script(3))
    assert first.sent == second.sent and first.steps == second.steps and len(first.sent) > 200


@pytest.mark.parametrize("name", sorted(BUGS))
def test_a_bug_that_was_put_in_is_found_and_shrunk(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    BUGS[name](monkeypatch)
    failure = search(range(40))
    assert failure is not None, f"{name} was not found"
    assert len(failure.script.faults) <= len(draw_script(failure.script.seed).faults)
    again = find_failure(failure.script, DecisionEngine)
    assert again is not None and again.rule == failure.rule  # the seed and its faults reproduce it
    print(f"{name}: seed {failure.script.seed}, {failure.rule}, {failure.script.faults}")


def test_a_run_becomes_captures_that_replay(tmp_path: Path) -> None:
    script = Script(2, (Fault(1500.0, "half die", 0.5, 1), Fault(3000.0, "counter replaced", 0.9, 9)))
    files = write_captures(script, tmp_path)
    assert len(files) >= 5  # one for each gateway, and one for each of its restarts
    for run in find_runs(tmp_path).values():
        report = replay(run)
        assert not report.differences and not report.notes
