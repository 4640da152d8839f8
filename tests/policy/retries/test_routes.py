"""Tests of route limits and retry budgets with any valid operator's file, outcomes and a simulated clock."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from itertools import pairwise

import pytest
from hypothesis import HealthCheck, assume, given, settings
from hypothesis import strategies as st

from glenchute.config.operator import parse
from glenchute.core.types import Failed, Rejected, Served
from glenchute.policy.events import Outcome
from glenchute.policy.retries.route_limits import (
    NO_RETRY_MS,
    REQUEST_TOKEN_DECAY_S,
    STEADY_BUFFER_S,
    Backoff,
    RequestRetries,
    RetryBudgetSettings,
    RouteLimits,
    RouteRetryBudget,
    RouteTable,
)
from tests.platform_facts import FACTS, OVERLAP
from tests.simulated import PlannedOutcome, SimulatedSite

CLASSES = tuple(FACTS.classes)
OUTCOMES = (Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.RESET)
PLANNED_OUTCOMES = st.builds(
    PlannedOutcome,
    connect_s=st.sampled_from([0.0, 0.0, 0.001, 0.1, 0.249, math.inf]),
    duration_s=st.sampled_from([0.0, 0.005, 0.1, 0.7, 1.2, 2.4, 1e9]),
    outcome=st.sampled_from(OUTCOMES),
)
RETRY_CAUSES = ["full", "unreachable", "error", "reset", "timeout"]


@st.composite
def operator_files(draw: st.DrawFn) -> str:
    """Draws the text of an operator's file; most are valid."""
    text = ""
    for name in draw(st.lists(st.sampled_from(CLASSES), unique=True, min_size=1)):
        text += f'[[route]]\nname = "{name}"\nmatch = {{ class = "{name}" }}\n'
        if draw(st.booleans()):
            text += f"attempt_timeout_ms = {draw(st.sampled_from([40, 200, 600, 1000, 1100, 2200]))}\n"
        if draw(st.booleans()):
            text += f"attempts = {draw(st.integers(1, 5))}\n"
        if draw(st.booleans()):
            first, jitter = draw(st.sampled_from([1, 20, 300])), draw(st.sampled_from([0, 0.2, 1.0]))
            text += f"backoff = {{ first_ms = {first}, factor = 2, most_ms = 600, jitter = {jitter} }}\n"
        if draw(st.booleans()):
            text += f"retry_on = {draw(st.lists(st.sampled_from(RETRY_CAUSES), unique=True, min_size=1))}\n"
        if draw(st.booleans()):
            text += f"second_copy_after_ms = {draw(st.sampled_from([10, 100, 500]))}\n"
        if draw(st.booleans()):
            text += "retry_budget = { share = 0.5, least_per_s = 1 }\n"
    return text


@settings(max_examples=400, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    text=operator_files(),
    overlap=st.booleans(),
    outcomes=st.lists(PLANNED_OUTCOMES, min_size=1, max_size=12),
    requests=st.lists(
        st.tuples(st.sampled_from(CLASSES), st.sampled_from([5.0, 300.0, 1500.0, 4000.0])),
        min_size=1,
        max_size=8,
    ),
    gap_s=st.sampled_from([0.0, 0.01, 0.5]),
)
def test_any_valid_file_keeps_the_rules_under_any_order_of_endings(
    text: str, overlap: bool, outcomes: list[PlannedOutcome], requests: list[tuple[str, float]], gap_s: float
) -> None:
    """The simulated servers fail the test when bytes are sent that the rules forbid."""
    operator = parse(text, OVERLAP if overlap else FACTS).config
    assume(operator is not None)
    assert operator is not None
    stream = iter(outcomes * 200)
    site = SimulatedSite(
        RouteTable(operator.bindings, 3) if operator else None, lambda: next(stream), overlap
    )
    sent = []
    for class_name, left_ms in requests:
        sent.append((site.send_request(class_name, left_ms), site.loop.now, left_ms))
        site.loop.run(site.loop.now + gap_s)
    site.loop.run(site.loop.now + 10.0)
    for (request, sent_at, left_ms), (class_name, _) in zip(sent, requests, strict=True):
        site.check_response(request, sent_at, left_ms)
        check_limits(site, request, operator.bindings.get((class_name, "osnovni")))
    assert not site.gateway.active_requests and not site.gateway.attempts_in_flight


def check_limits(site: SimulatedSite, request: bytes, route: RouteLimits | None) -> None:
    """Checks the attempts of a request against the limits of its route."""
    if route is None:
        return
    records = site.servers.attempts_of(request)
    if route.max_attempts:
        assert len(records) <= route.max_attempts
    for record in records:
        if route.attempt_timeout_ms:
            assert record.timeout_s <= route.attempt_timeout_ms / 1000.0 + 1e-9
    if route.hedge_after_ms:
        return  # a hedged attempt may come between an attempt and its retry
    for number, (record, next_record) in enumerate(pairwise(records), 1):
        assert record.ended_at is not None and record.outcome is not None
        if route.retryable_outcomes is not None:
            assert record.outcome in route.retryable_outcomes
        if route.backoff is not None:
            assert (
                next_record.started_at - record.ended_at >= route.backoff.min_delay_ms(number) / 1000.0 - 1e-6
            )


def test_a_keyed_attempt_whose_connection_comes_up_too_late_is_not_written() -> None:
    """The retry starts within the idempotency window, but its connection is established after it: no byte may
    be sent."""
    outcomes = iter([PlannedOutcome(0.0, 2.3, Outcome.ERROR), PlannedOutcome(0.24, 0.01, Outcome.OK)])
    site = SimulatedSite(None, lambda: next(outcomes))
    request = site.send_request("check-order", 4000.0)
    site.loop.run(site.loop.now + 5.0)
    first, second = site.servers.attempts_of(request)
    assert second.started_at - first.started_at < 2.5 and second.sent_at is None
    assert isinstance(site.responses[request][0][1], Failed)


def test_a_deadline_before_the_first_pause_is_answered_at_once() -> None:
    route = RouteLimits("r", backoff=Backoff(500.0, max_ms=500.0))
    site = SimulatedSite(
        RouteTable({("report-read", "osnovni"): route}, 1),
        lambda: PlannedOutcome(0.0, 0.01, Outcome.REJECTED),
    )
    start = site.loop.now
    request = site.send_request("report-read", 400.0)
    site.loop.run(start + 3.0)
    ((ended_at, response),) = site.responses[request]
    assert (
        isinstance(response, Rejected)
        and ended_at - start < 0.02
        and len(site.servers.attempts_of(request)) == 1
    )


def test_a_time_out_under_the_connect_time_ends_as_unreachable_and_tries_again() -> None:
    outcomes = iter([PlannedOutcome(0.2, 0.0, Outcome.OK), PlannedOutcome(0.01, 0.02, Outcome.OK)])
    route = RouteLimits("r", attempt_timeout_ms=100.0)
    site = SimulatedSite(RouteTable({("check-charge", "osnovni"): route}, 1), lambda: next(outcomes))
    request = site.send_request("check-charge", 3000.0)
    site.loop.run(site.loop.now + 4.0)
    assert [r.outcome for r in site.servers.attempts_of(request)] == [Outcome.UNREACHABLE, Outcome.OK]
    assert isinstance(site.responses[request][0][1], Served)


def test_two_routes_time_their_attempts_apart() -> None:
    table = {
        ("report-read", "osnovni"): RouteLimits("reads", attempt_timeout_ms=200.0, max_attempts=2),
        ("check-order", "osnovni"): RouteLimits("orders", attempt_timeout_ms=900.0, max_attempts=1),
    }
    site = SimulatedSite(RouteTable(table, 1), lambda: PlannedOutcome(0.0, 1e9, Outcome.OK))
    read, order = site.send_request("report-read", 3000.0), site.send_request("check-order", 3000.0)
    site.loop.run(site.loop.now + 5.0)
    assert [round(r.timeout_s, 3) for r in site.servers.attempts_of(read)] == [0.2, 0.2]
    assert [round(r.timeout_s, 3) for r in site.servers.attempts_of(order)] == [0.9]


@pytest.mark.parametrize("class_name", ["report-read", "check-order"])
def test_a_hedged_attempt_goes_to_another_server_and_the_slower_one_is_cancelled(class_name: str) -> None:
    outcomes = iter([PlannedOutcome(0.0, 1e9, Outcome.OK), PlannedOutcome(0.0, 0.05, Outcome.OK)])
    route = RouteLimits("r", hedge_after_ms=100.0)
    site = SimulatedSite(
        RouteTable({(class_name, "osnovni"): route}, 1),
        lambda: next(outcomes),
        allows_concurrent_attempts=True,
    )
    start = site.loop.now
    request = site.send_request(class_name, 3000.0)
    site.loop.run(start + 4.0)
    first, second = site.servers.attempts_of(request)
    assert first.server != second.server and 0.1 <= second.started_at - start < 0.11
    assert first.outcome is Outcome.CANCELLED and first.ended_at == second.ended_at
    assert [type(response) for _, response in site.responses[request]] == [Served]


def test_no_hedged_attempt_for_a_non_idempotent_class_or_where_overlap_is_not_allowed() -> None:
    """Holds even for a route with a hedging delay here, which is rejected when a file is loaded."""
    for class_name, overlap in (("check-charge", True), ("report-read", False)):
        route = RouteLimits("r", hedge_after_ms=50.0, max_attempts=2)
        table = {(class_name, "osnovni"): route}
        site = SimulatedSite(
            RouteTable(table, 1),
            lambda: PlannedOutcome(0.0, 1e9, Outcome.OK),
            allows_concurrent_attempts=overlap,
        )
        request = site.send_request(class_name, 400.0)
        site.loop.run(site.loop.now + 0.3)
        assert len(site.servers.attempts_of(request)) == 1


def run_failing_fleet(
    budget: RetryBudgetSettings | None, requests: int, rate: float
) -> tuple[int, SimulatedSite]:
    """Sends requests to servers that all fail; returns the number of attempts, and the site."""
    route = RouteLimits("r", max_attempts=5, retry_budget=budget, retryable_outcomes=frozenset(Outcome))
    site = SimulatedSite(
        RouteTable({("report-read", "osnovni"): route}, 1), lambda: PlannedOutcome(0.0, 0.002, Outcome.RESET)
    )
    for _ in range(requests):
        site.send_request("report-read", 3000.0)
        site.loop.run(site.loop.now + 1.0 / rate)
    site.loop.run(site.loop.now + 5.0)
    return len(site.servers.records), site


def test_a_failing_fleet_is_not_buried_under_attempts() -> None:
    """The engine's own retry budget allows retries for a fifth of the requests; a route's budget limits them
    further."""
    unlimited_attempts, _ = run_failing_fleet(None, 300, 100.0)
    budget = RetryBudgetSettings(0.1, 2.0)
    limited_attempts, site = run_failing_fleet(budget, 300, 100.0)
    assert unlimited_attempts > 360
    assert 300 < limited_attempts <= 300 + 0.1 * 300 + 2.0 * (3.0 + STEADY_BUFFER_S) + 1
    assert limited_attempts < unlimited_attempts
    assert all(len(responses) == 1 for responses in site.responses.values())


@settings(max_examples=200, derandomize=True, deadline=None)
@given(
    share=st.floats(0.0, 1.0),
    least=st.floats(0.0, 20.0),
    steps=st.lists(st.tuples(st.floats(0.0, 3000.0), st.booleans()), max_size=120),
)
def test_a_budget_never_pays_more_than_it_promises(
    share: float, least: float, steps: list[tuple[float, bool]]
) -> None:
    now = 0.0
    budget = RouteRetryBudget(RetryBudgetSettings(share, least), now)
    for wait, request in steps:
        now += wait
        if request:
            budget.deposit(now)
        else:
            budget.try_withdraw(now)
        requests = sum(1 for _, is_request in steps if is_request)
        bound = share * requests + least * (now / 1000.0 + STEADY_BUFFER_S) + 1 + 1e-6
        assert budget.granted_count <= bound
        assert budget.request_tokens >= -1e-9 and budget.steady_tokens <= max(1.0, least * STEADY_BUFFER_S)


def test_request_tokens_decay() -> None:
    budget = RouteRetryBudget(RetryBudgetSettings(1.0), 0.0)
    for _ in range(100):
        budget.deposit(0.0)
    budget.advance(REQUEST_TOKEN_DECAY_S * 1000.0)
    assert math.isclose(budget.request_tokens, 100.0 / math.e)


def test_a_granted_retry_that_is_not_used_is_refunded() -> None:
    budget = RouteRetryBudget(RetryBudgetSettings(0.0, 1.0), 0.0)
    retries = RequestRetries(RouteLimits("r", retry_budget=budget.settings), budget, random.Random(1))
    assert retries.try_start_attempt(0.0, False)
    assert retries.reserve_retry(0.0, Outcome.REJECTED) == 0.0 and budget.granted_count == 1
    retries.release()
    assert budget.granted_count == 0
    assert retries.reserve_retry(0.0, Outcome.REJECTED) == 0.0 and retries.try_start_attempt(0.0, False)
    retries.release()
    assert budget.granted_count == 1
    assert retries.reserve_retry(0.0, Outcome.REJECTED) == NO_RETRY_MS and not retries.try_start_attempt(
        0.0, False
    )


def test_a_reload_hands_out_no_fresh_budget() -> None:
    rule = RetryBudgetSettings(0.5, 0.0)
    table = {("c", "p"): RouteLimits("r", retry_budget=rule)}
    routes = RouteTable(table, 1)
    for _ in range(4):
        routes.start_request(0.0, "c", "p")
    budget = routes.budgets["r"]
    assert budget.try_withdraw(0.0) and budget.try_withdraw(0.0) and not budget.try_withdraw(0.0)
    reloaded = RouteTable(
        {("c", "p"): RouteLimits("r", max_attempts=2, retry_budget=rule)}, 0
    ).inherit_budgets(routes)
    assert reloaded.budgets["r"] is budget
    changed = RouteTable(
        {("c", "p"): RouteLimits("r", retry_budget=rule._replace(retries_per_request=0.9))}, 0
    ).inherit_budgets(reloaded)
    assert "r" not in changed.budgets


def draw_delays(backoff: Backoff, number: int) -> Iterator[float]:
    rng = random.Random(5)
    return (backoff.draw_delay_ms(number, rng) for _ in range(200))


@pytest.mark.parametrize("number", [1, 2, 3, 10, 5000])
def test_delays_stay_between_their_minimum_and_maximum(number: int) -> None:
    backoff = Backoff(20.0, 100.0, 200.0, 0.2)
    for delay_ms in draw_delays(backoff, number):
        assert backoff.min_delay_ms(number) <= delay_ms <= backoff.max_delay_ms(number) <= 240.0
