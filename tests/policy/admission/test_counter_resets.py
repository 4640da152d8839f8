"""Tests of calls that the counter may have added, but that end in a reset, an error or a cancellation."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from glenchute.policy.actions import IncrementCounter
from glenchute.policy.admission.epoch_markers import marker_value
from glenchute.policy.admission.windows import window_length_ms
from glenchute.policy.events import CounterReply, Outcome
from tests.fleet import NET_MS, PLANS, Fleet

HARD = PLANS[1]
MARKER = marker_value(
    HARD.burst_units, HARD.rate_per_s, window_length_ms(HARD) / 1000.0, HARD.ceiling_burst_units
)
MAY_HAVE_BEEN_ADDED = [Outcome.RESET, Outcome.ERROR, Outcome.CANCELLED]


@dataclass
class SplitAfterReset(Fleet):
    """A fleet with a counter of two halves. Each gateway's first call for a key is added at one half and ends
    without a total; all its later calls reach the other half. Even gateways begin at the first half."""

    ending: Outcome = Outcome.RESET
    totals: dict[tuple[int, int], float] = field(default_factory=dict)  # total by half and key
    first_calls: set[tuple[int, int]] = field(default_factory=set)  # gateway and key of each first call
    added: dict[str, float] = field(default_factory=dict)

    def call_counter(self, number: int, incarnation: int, call: IncrementCounter, called_at: float) -> None:
        """Adds the call, and replies with a total unless it is the gateway's first for its key."""
        is_first = (number, call.key) not in self.first_calls
        self.first_calls.add((number, call.key))
        half = (number + (not is_first)) % 2
        total = self.totals[half, call.key] = self.totals.get((half, call.key), 0.0) + call.amount
        outcome = self.ending if is_first else Outcome.OK
        reply = CounterReply(call.key, 0.0 if is_first else total, outcome, 2 * NET_MS)
        self.schedule(self.now + NET_MS, self.handle_event, number, incarnation, reply)


def run_flood(ending: Outcome, seed: int) -> SplitAfterReset:
    """Runs a flood of seven seconds on the plan with a ceiling, through four gateways."""
    fleet = SplitAfterReset(4, seed, ending=ending)
    fleet.run(fleet.now + 5000.0)
    fleet.schedule_requests("hard", 120.0, 7.0, [1.0] * 4)
    fleet.run(fleet.now + 8000.0)
    return fleet


@pytest.mark.parametrize("ending", MAY_HAVE_BEEN_ADDED)
@pytest.mark.parametrize("seed", range(6))
def test_a_window_is_marked_once_by_each_gateway(ending: Outcome, seed: int) -> None:
    """Guards against markers that are added twice, by which the halves of a counter would together grant more
    than the whole."""
    fleet = run_flood(ending, seed)
    assert fleet.totals
    for key in {key for _, key in fleet.totals}:
        markers = [round(fleet.totals.get((half, key), 0.0) / MARKER) for half in (0, 1)]
        assert sum(markers) <= fleet.gateway_count, markers


@pytest.mark.parametrize("ending", MAY_HAVE_BEEN_ADDED)
@pytest.mark.parametrize("seed", range(6))
def test_units_are_not_added_twice(ending: Outcome, seed: int) -> None:
    """Guards against units that are reported again although the counter may hold them."""
    fleet = run_flood(ending, seed)
    added_units = sum(total - MARKER * round(total / MARKER) for total in fleet.totals.values())
    # Under a ceiling the units of requests that waited for a total and were rejected are not subtracted.
    reserved_units = fleet.request_count - len(fleet.first_attempts)
    assert added_units <= fleet.first_attempt_units("hard") + reserved_units + 1e-6
