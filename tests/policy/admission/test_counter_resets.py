"""Calls that the counter adds and that then end in a reset or an error: they count as added."""

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
NOT_KNOWN = [Outcome.RESET, Outcome.ERROR, Outcome.CANCELLED]


@dataclass
class SplitAfterReset(Fleet):
    """Each gateway's first call for a key is added at one half of the counter, and ends without a total; all
    its later calls reach the other half. Gateways with an even number begin at the first half."""

    ending: Outcome = Outcome.RESET
    totals: dict[tuple[int, int], float] = field(default_factory=dict)  # by half and key
    first_calls: set[tuple[int, int]] = field(default_factory=set)  # gateways and keys
    added: dict[str, float] = field(default_factory=dict)

    def count(self, number: int, incarnation: int, call: IncrementCounter, began: float) -> None:
        """Adds the call, and answers it unless it is the first."""
        is_first = (number, call.key) not in self.first_calls
        self.first_calls.add((number, call.key))
        half = (number + (not is_first)) % 2
        total = self.totals[half, call.key] = self.totals.get((half, call.key), 0.0) + call.amount
        outcome = self.ending if is_first else Outcome.OK
        reply = CounterReply(call.key, 0.0 if is_first else total, outcome, 2 * NET_MS)
        self.at(self.now + NET_MS, self.feed, number, incarnation, reply)


def flooded(ending: Outcome, seed: int) -> SplitAfterReset:
    """Seven seconds on the plan with a ceiling, by four gateways."""
    fleet = SplitAfterReset(4, seed, ending=ending)
    fleet.run(fleet.now + 5000.0)
    fleet.flood("hard", 120.0, 7.0, [1.0] * 4)
    fleet.run(fleet.now + 8000.0)
    return fleet


@pytest.mark.parametrize("ending", NOT_KNOWN)
@pytest.mark.parametrize("seed", range(6))
def test_a_window_is_marked_once_by_each_gateway(ending: Outcome, seed: int) -> None:
    """Guards against markers added twice: the halves of a counter would grant more than the whole."""
    fleet = flooded(ending, seed)
    assert fleet.totals
    for key in {key for _, key in fleet.totals}:
        markers = [round(fleet.totals.get((half, key), 0.0) / MARKER) for half in (0, 1)]
        assert sum(markers) <= fleet.gateways, markers


@pytest.mark.parametrize("ending", NOT_KNOWN)
@pytest.mark.parametrize("seed", range(6))
def test_units_are_not_added_twice(ending: Outcome, seed: int) -> None:
    """Guards against units that are reported again though the counter may hold them."""
    fleet = flooded(ending, seed)
    added = sum(total - MARKER * round(total / MARKER) for total in fleet.totals.values())
    reserved = fleet.asked - len(fleet.sent)  # what waited for a total and was rejected stays added
    assert added <= fleet.units("hard") + reserved + 1e-6
