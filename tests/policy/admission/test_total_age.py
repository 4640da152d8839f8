"""How old a total of the counter may be for a request that could not wait for one."""

from __future__ import annotations

import pytest

from glenchute.policy.actions import IncrementCounter
from glenchute.policy.events import CounterReply, Outcome
from tests.rig import SETTINGS, Rig, entries, with_


@pytest.mark.parametrize(("spread", "free"), [(2, True), (100, False)])
def test_of_many_gateways_a_total_must_be_younger(spread: int, free: bool) -> None:
    """Half a second after a total, of a window of three: of two gateways one may spend what the bucket is
    thought to hold, of a hundred each keeps to its local share, as they would overspend it a hundredfold."""
    rig = Rig(entries(4), with_(SETTINGS, gateway_count=spread))
    rig.ask(plan="rate", spread=spread)
    rig.advance(1200.0)
    for call in [action for _, action in rig.log if isinstance(action, IncrementCounter)]:
        rig.feed(CounterReply(call.key, call.amount, Outcome.OK))
    rig.advance(500.0)
    quota = rig.gateway.quota
    tenant = quota.tenants.by_id["c"]
    quota.tenants.refresh(rig.now, tenant)
    tenant.local_units = 0.5  # less than a request
    assert tenant.bucket_units > 2.0
    assert rig.now - tenant.counter_total_ms < tenant.window_length_ms
    assert (quota.admit(rig.now, tenant, 1.0, False, True) is None) == free
    assert quota.admit(rig.now, tenant, 1.0, False, False) is None  # where it was sure, both
