"""Tests that the number of tenants at a gateway is bounded, whatever tenant names clients send."""

from __future__ import annotations

import itertools

import pytest

from glenchute.policy.actions import IncrementCounter, Reject, StartAttempt
from glenchute.policy.admission import state_transfer, tenants
from glenchute.policy.admission.windows import TENANT_IDLE_MS
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import EndpointList, EndpointListKind, Request, UsageUpdate
from tests.fleet import SERVERS, settings

BOUND = 40
NUMBERS = itertools.count()


@pytest.fixture
def engine(monkeypatch: pytest.MonkeyPatch) -> DecisionEngine:
    monkeypatch.setattr(tenants, "MAX_TENANTS", BOUND)
    monkeypatch.setattr(state_transfer, "MAX_TENANTS", BOUND)
    monkeypatch.setattr(tenants, "EVICTION_BATCH", 4)
    decision_engine = DecisionEngine(settings(1), 1)
    decision_engine.handle(1000.0, EndpointList(EndpointListKind.CACHED, SERVERS))
    return decision_engine


def request(tenant: str, plan: str = "soft") -> Request:
    return Request(f"r{next(NUMBERS)}", "read", plan, tenant, 900.0)


def settle(engine: DecisionEngine) -> None:
    """Sets all tenants to have nothing in flight and no units to report."""
    for tenant in engine.quota.tenants.by_id.values():
        tenant.attempts_in_flight = tenant.calls_in_flight = 0
        tenant.unreported_units = 0.0


def test_the_tenants_seen_least_recently_are_forgotten(engine: DecisionEngine) -> None:
    """Guards against a table that grows without limit when clients send new tenant names."""
    known = engine.quota.tenants.by_id
    for number in range(10 * BOUND):
        engine.handle(1000.0, request(f"t{number}"))
        settle(engine)
        assert len(known) <= BOUND
    assert list(known)[-1] == f"t{10 * BOUND - 1}" and "t0" not in known


def test_work_and_ceilings_are_never_forgotten(engine: DecisionEngine) -> None:
    """Guards against eviction of a tenant with a ceiling, whose guard would be renewed, with attempts or
    calls in flight, or with units that the counter would never get."""
    table = engine.quota.tenants
    engine.handle(1000.0, request("ceiling", "hard"))
    for name in ("in flight", "calling", "unreported"):
        engine.handle(1000.0, request(name))
    settle(engine)
    table.by_id["in flight"].attempts_in_flight = 1
    table.by_id["calling"].calls_in_flight = 1
    table.by_id["unreported"].unreported_units = 2.0
    protected = dict(table.by_id)
    for number in range(3 * BOUND):
        engine.handle(1000.0, request(f"t{number}"))
        for name, tenant in table.by_id.items():
            if name not in protected:
                tenant.attempts_in_flight = tenant.calls_in_flight = 0
                tenant.unreported_units = 0.0
        assert len(table.by_id) <= BOUND
    assert all(table.by_id.get(name) is tenant for name, tenant in protected.items())


def test_with_nothing_to_forget_new_tenants_are_rejected_and_known_ones_served(
    engine: DecisionEngine,
) -> None:
    """New tenants are rejected until the first known tenant has been idle long enough, and are not admitted
    without a quota meanwhile."""
    table = engine.quota.tenants
    for number in range(BOUND):
        engine.handle(1000.0, request(f"t{number}", "hard"))
    settle(engine)
    known = list(table.by_id)
    for number in range(BOUND):
        (action,) = engine.handle(1000.0, request(f"new{number}", "hard"))
        assert isinstance(action, Reject) and action.retry_after_ms > 0
    update = UsageUpdate(request("new", "hard"), 0.0, 1.0, 0.0, 1.0)
    engine.handle(1000.0, update)
    assert list(table.by_id) == known
    actions = engine.handle(1001.0, request("t0", "hard"))
    assert any(isinstance(action, (StartAttempt, IncrementCounter)) for action in actions)
    settle(engine)
    table.evict_idle(1000.0 + TENANT_IDLE_MS + 5000.0)
    assert not table.by_id


def test_a_handover_brings_no_more_tenants_than_the_table_holds(engine: DecisionEngine) -> None:
    """If a handover has more tenants than the table holds, the most recently seen ones are transferred."""
    for number in range(BOUND):
        engine.handle(1000.0 + number, request(f"t{number}"))
    snapshots = state_transfer.start_handover(engine.quota.tenants, 2000.0)
    successor = DecisionEngine(settings(1), 2)
    successor.handle(1990.0, request("own"))
    state_transfer.restore(successor.quota.tenants, 2000.0, snapshots)
    names = set(successor.quota.tenants.by_id)
    assert len(names) == BOUND and "own" in names
    assert "t0" not in names and f"t{BOUND - 1}" in names
