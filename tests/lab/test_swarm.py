"""The simulated site: rules hold over seeds, runs are reproducible, and injected bugs are found."""

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
from lab.sim.swarm import Fault, Script, captured, drawn, play, search, tried

SEEDS = range(24)
BUGS: dict[str, Callable[[pytest.MonkeyPatch], None]] = {}


def bug(inject: Callable[[pytest.MonkeyPatch], None]) -> Callable[[pytest.MonkeyPatch], None]:
    """Registers a bug that the simulation must find."""
    BUGS[inject.__name__] = inject
    return inject


@bug
def unsafe_requests_are_repeated(patch: pytest.MonkeyPatch) -> None:
    sound = RetryPolicy.may_retry

    def repeat(self: RetryPolicy, now: float, opened: PendingRequest, event: Any) -> bool:
        return sound(self, now, opened, event) or opened.attempt_count < 2

    patch.setattr(RetryPolicy, "may_retry", repeat)


@bug
def keys_are_never_forgotten(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(RetryPolicy, "idempotency_expiry_ms", lambda self, opened: 1e18)


@bug
def any_zone_will_do(patch: pytest.MonkeyPatch) -> None:
    sound = EndpointChooser.pick

    def pick(self: EndpointChooser, now: float, opened: PendingRequest) -> Any:
        opened.pinned_endpoint = None
        return sound(self, now, opened)

    patch.setattr(EndpointChooser, "pick", pick)


@bug
def refusals_after_a_try(patch: pytest.MonkeyPatch) -> None:
    sound = RequestExecution.finish

    def finish(self: RequestExecution, opened: PendingRequest) -> None:
        opened.may_have_run_ms = None
        sound(self, opened)

    patch.setattr(RequestExecution, "finish", finish)


@bug
def draining_servers_are_kept(patch: pytest.MonkeyPatch) -> None:
    sound = ServerPool.update

    def update(self: ServerPool, news: EndpointList, now: float) -> None:
        before = dict(self.servers)
        sound(self, news, now)
        for entry in news.endpoints:
            if entry.state is not EndpointState.ACTIVE and entry.address in before:
                self.servers[entry.address] = before[entry.address]

    patch.setattr(ServerPool, "update", update)


@bug
def open_counts_leak(patch: pytest.MonkeyPatch) -> None:
    sound = RequestExecution.end_attempt

    def ended(self: RequestExecution, now: float, event: AttemptEnded) -> None:
        attempt = self.attempts.get((event.request_id, event.attempt))
        sound(self, now, event)
        if attempt is not None and attempt.pending.tenant and event.outcome is Outcome.RESET:
            attempt.pending.tenant.attempts_in_flight += 1

    patch.setattr(RequestExecution, "end_attempt", ended)


@bug
def stores_overflow(patch: pytest.MonkeyPatch) -> None:
    sound = QuotaAccounting.charge

    def take(self: QuotaAccounting, c: Any, units: float, counted: bool, asked: bool) -> None:
        sound(self, c, units, counted, asked)
        c.bucket_units += 3.0 * units

    patch.setattr(QuotaAccounting, "charge", take)


@bug
def guards_are_not_kept(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(quota, "is_granted_by_counter", lambda tenant, has_total: True)
    patch.setattr(CounterSync, "needs_total", lambda self, now_ms, tenant, units: False)
    patch.setattr(TenantTable, "headroom", lambda self, tenant: 1e9)
    sound = QuotaAccounting.admit

    def admit(self: QuotaAccounting, now: float, c: Any, units: float, asked: bool, blind: bool) -> Any:
        return None if c.plan.ceiling_rate_per_s else sound(self, now, c, units, asked, blind)

    patch.setattr(QuotaAccounting, "admit", admit)


@bug
def some_requests_are_forgotten(patch: pytest.MonkeyPatch) -> None:
    sound = RequestExecution.end_attempt

    def ended(self: RequestExecution, now: float, event: AttemptEnded) -> None:
        if event.outcome is Outcome.ERROR:
            self.requests.pop(event.request_id, None)
        sound(self, now, event)

    patch.setattr(RequestExecution, "end_attempt", ended)


@bug
def an_answer_is_given_twice(patch: pytest.MonkeyPatch) -> None:
    sound = RequestExecution.finish

    def finish(self: RequestExecution, opened: PendingRequest) -> None:
        sound(self, opened)
        self.actions.append(Fail(opened.request.request_id))

    patch.setattr(RequestExecution, "finish", finish)


@bug
def newcomers_look_idle_and_get_it_all(patch: pytest.MonkeyPatch) -> None:
    sound = EndpointChooser.expected_delay

    def delay(self: EndpointChooser, server: Server, now: float, mean: float, warmth: float) -> float:
        return 0.0 if server.endpoint.started_ms > 0 else sound(self, server, now, mean, warmth)

    patch.setattr(EndpointChooser, "expected_delay", delay)
    patch.setattr(SlowStartLimiter, "weight", lambda self, server, now: 1.0)


@bug
def a_time_out_raises(patch: pytest.MonkeyPatch) -> None:
    sound = WindowCounter.apply_total

    def heard(self: WindowCounter, total: float, units: float, toll: float) -> Any:
        found = sound(self, total, units, toll)
        if found is not None:
            raise ZeroDivisionError("lost")
        return found

    patch.setattr(WindowCounter, "apply_total", heard)


@bug
def attempts_have_no_end(patch: pytest.MonkeyPatch) -> None:
    def repeat(self: RetryPolicy, now: float, opened: PendingRequest, event: Any) -> bool:
        return opened.may_have_run_ms is None or opened.request_class.idempotency is Idempotency.IDEMPOTENT

    patch.setattr(RetryPolicy, "may_retry", repeat)


def test_the_rules_hold_over_seeds() -> None:
    for seed in SEEDS:
        failure = tried(drawn(seed), DecisionEngine)
        assert failure is None, failure


def test_a_seed_is_a_run() -> None:
    first, second = play(drawn(3)), play(drawn(3))
    assert first.sent == second.sent and first.steps == second.steps and len(first.sent) > 200


@pytest.mark.parametrize("name", sorted(BUGS))
def test_a_bug_that_was_put_in_is_found_and_shrunk(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    BUGS[name](monkeypatch)
    failure = search(range(40))
    assert failure is not None, f"{name} was not found"
    assert len(failure.script.faults) <= len(drawn(failure.script.seed).faults)
    repeated = tried(failure.script, DecisionEngine)
    assert repeated is not None and repeated.rule == failure.rule  # the script reproduces the failure
    print(f"{name}: seed {failure.script.seed}, {failure.rule}, {failure.script.faults}")


def test_a_run_becomes_captures_that_replay(tmp_path: Path) -> None:
    script = Script(2, (Fault(1500.0, "half die", 0.5, 1), Fault(3000.0, "counter replaced", 0.9, 9)))
    files = captured(script, tmp_path)
    assert len(files) >= 5  # one of each gateway, and one of each restart
    for run in find_runs(tmp_path).values():
        report = replay(run)
        assert not report.differences and not report.notes
