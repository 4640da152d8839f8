"""How old a word of the counter may be for a request that could not ask."""

from __future__ import annotations

import pytest

from glenchute.policy.actions import IncrementCounter
from glenchute.policy.events import CounterReply, Outcome
from tests.rig import SETTINGS, Rig, entries, with_


@pytest.mark.parametrize(("spread", "free"), [(2, True), (100, False)])
def test_of_many_gateways_a_word_must_be_younger(spread: int, free: bool) -> None:
    """Half a second after a word, of a window of three: of two gateways one may spend what the store is
    thought to hold, of a hundred each keeps to its part, as they would overspend it a hundredfold."""
    rig = Rig(entries(4), with_(SETTINGS, gateway_count=spread))
    rig.ask(plan="rate", spread=spread)
    rig.advance(1200.0)
    for call in [action for _, action in rig.log if isinstance(action, IncrementCounter)]:
        rig.feed(CounterReply(call.key, call.amount, Outcome.OK))
    rig.advance(500.0)
    quota = rig.gateway.quota
    c = quota.tenants.by_id["c"]
    quota.tenants.refresh(rig.now, c)
    c.local_units = 0.5  # less than a request
    assert c.bucket_units > 2.0 and rig.now - c.counter_total_ms < c.window_length_ms
    assert (quota.admit(rig.now, c, 1.0, False, True) is None) == free
    assert quota.admit(rig.now, c, 1.0, False, False) is None  # where it was sure, both
