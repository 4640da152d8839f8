"""Requests of classes that the settings don't have change no estimate of servers and load."""

from __future__ import annotations

from dataclasses import replace

import pytest

from glenchute.policy.actions import StartAttempt
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import EndpointList, EndpointListKind, Outcome, Request, TimerFired
from glenchute.policy.settings import unknown_class
from tests.rig import SETTINGS, EngineHarness, actions_of_type, make_endpoints

SMALLEST_TIME_MS = 5e-324  # the smallest number above 0; 0.15 of it is 0


def test_the_least_time_left_of_an_unknown_class_divides_nothing_by_zero() -> None:
    """Guards against a ZeroDivisionError in the choice of a server, with which the request was lost."""
    engine = DecisionEngine(replace(SETTINGS, gateway_count=1), 0)
    engine.handle(1e9, TimerFired(0))
    engine.handle(1e9, Request("1", "read", "wide", "c", 501.0))
    engine.handle(1e9, EndpointList(EndpointListKind.FULL, make_endpoints(1)))
    actions = engine.handle(1e9, Request("1", "none", "wide", "c", SMALLEST_TIME_MS))
    assert actions_of_type(actions, StartAttempt)


@pytest.mark.parametrize("left_ms", [SMALLEST_TIME_MS, 1.0, 3000.0])
@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.TIMEOUT])
def test_a_response_of_an_unknown_class_changes_no_estimate(left_ms: float, outcome: Outcome) -> None:
    """Guards against one response to a request with 1 ms left, by which all servers appeared 25 times as
    slow."""
    rig = EngineHarness(make_endpoints(3))
    rig.warm_up()
    pool, capacity = rig.gateway.pool, rig.gateway.shedder.capacity
    latencies = {address: server.relative_latency for address, server in pool.servers.items()}
    before = dict(pool.latency.mean_ms), pool.latency.load_factor, list(capacity.latency_ratios)
    name, _ = rig.ask("none", left=left_ms)
    rig.end_attempt(name, 0, outcome, 30.0)
    assert before == (pool.latency.mean_ms, pool.latency.load_factor, capacity.latency_ratios)
    assert latencies == {address: server.relative_latency for address, server in pool.servers.items()}


def test_the_objective_of_unknown_classes_is_the_longest_of_the_settings() -> None:
    assert unknown_class(SETTINGS.classes).latency_objective_ms == 1000.0
    assert unknown_class(()).latency_objective_ms > 0.0
    assert not unknown_class(()).is_configured and all(c.is_configured for c in SETTINGS.classes)
