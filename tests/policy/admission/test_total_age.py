"""Tests how old the counter's last total may be for a request that got no new one."""

from __future__ import annotations

import pytest

from glenchute.policy.actions import IncrementCounter
from glenchute.policy.events import CounterReply, Outcome
from tests.rig import SETTINGS, EngineHarness, make_endpoints, replace_settings


@pytest.mark.parametrize(("spread", "may_use_bucket"), [(2, True), (100, False)])
def test_of_many_gateways_a_total_must_be_younger(spread: int, may_use_bucket: bool) -> None:
    """With a total that is half a second old, in a window of three seconds, one of two gateways may use the
    estimated bucket. One of a hundred keeps to its local share, as together they could overspend the bucket
    a hundredfold."""
    rig = EngineHarness(make_endpoints(4), replace_settings(SETTINGS, gateway_count=spread))
    rig.ask(plan="rate", spread=spread)
    rig.advance(1200.0)
    for call in [action for _, action in rig.action_log if isinstance(action, IncrementCounter)]:
        rig.handle_event(CounterReply(call.key, call.amount, Outcome.OK))
    rig.advance(500.0)
    quota = rig.gateway.quota
    tenant = quota.tenants.by_id["c"]
    quota.tenants.refresh(rig.now, tenant)
    tenant.local_units = 0.5  # less than the units of a request
    assert tenant.bucket_units > 2.0
    assert rig.now - tenant.counter_total_ms < tenant.window_length_ms
    assert (quota.admit(rig.now, tenant, 1.0, False, True) is None) == may_use_bucket
    assert quota.admit(rig.now, tenant, 1.0, False, False) is None  # the bucket decides without a total
