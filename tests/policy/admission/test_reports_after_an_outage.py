"""Reports to a counter that is available again: all tenants have units to report at that moment."""

from __future__ import annotations

import random

import pytest

from glenchute.policy.actions import IncrementCounter, StartAttempt
from glenchute.policy.events import Outcome
from glenchute.policy.timing import TICK_MS
from tests.rig import EngineHarness, actions_of_type, make_endpoints

TENANTS, RATE_PER_S, OUTAGE_S = 200, 200.0, 6.0


def call_times_ms(seed: int) -> tuple[list[float], float]:
    """Plays an outage of the counter under load; returns when calls were made, and when it ended."""
    rng, rig = random.Random(seed), EngineHarness(make_endpoints(10), seed=seed)
    outage_ms = rig.now + 8_000.0
    end_ms = outage_ms + 1000.0 * OUTAGE_S
    while rig.now < end_ms + 3_000.0:
        rig.counter_outcome = Outcome.TIMEOUT if outage_ms <= rig.now < end_ms else Outcome.OK
        plan, tenant = rng.choice(["rate", "hard", "wide"]), f"c{rng.randrange(TENANTS)}"
        name, actions = rig.ask(plan=plan, customer=tenant)
        if actions_of_type(actions, StartAttempt):
            rig.end_attempt(name, 0, Outcome.OK)
        rig.advance(1000.0 / RATE_PER_S)
        rig.answer_calls()
    return [at for at, action in rig.action_log if isinstance(action, IncrementCounter)], end_ms


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_counter_that_is_available_again_does_not_get_all_reports_at_once(seed: int) -> None:
    """Guards against a counter that is overloaded again by the calls that came due while it was away."""
    times_ms, end_ms = call_times_ms(seed)
    busiest = max(
        sum(start <= at < start + TICK_MS for at in times_ms) for start in times_ms if start >= end_ms
    )
    usual_per_tick = sum(end_ms - 10_000.0 <= at < end_ms - 6_000.0 for at in times_ms) / 4000.0 * TICK_MS
    # A quarter of all tenants a tick (a second has four), and the calls of requests.
    assert busiest <= 1.25 * (TENANTS * TICK_MS / 1000.0 + usual_per_tick)
    reported = sum(end_ms <= at < end_ms + 1_500.0 for at in times_ms)
    assert reported >= 0.9 * TENANTS  # none of them has to wait for long
