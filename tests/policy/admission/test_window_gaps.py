"""Tests a tenant that is not seen for some windows, so that the use in the window before is unknown."""

from __future__ import annotations

import math

import pytest

from glenchute.policy.admission.usage_updates import apply_usage_update
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import EndpointList, EndpointListKind, Request, UsageUpdate
from tests.fleet import PLANS, SERVERS, settings


@pytest.mark.parametrize("windows", [0, 1, 2, 5])
def test_a_window_that_was_not_seen_is_unknown(windows: int) -> None:
    """Guards against taking the use in an older window for the use in the window before."""
    engine = DecisionEngine(settings(1), 1)
    engine.handle(1000.0, EndpointList(EndpointListKind.CACHED, SERVERS))
    engine.handle(1000.0, Request("r0", "read", PLANS[0].name, "t", 900.0))
    tenant = engine.quota.tenants.by_id["t"]
    tenant.member_others_units = 7.0
    now_ms = tenant.window_start_ms + windows * tenant.window_length_ms + 1.0
    engine.quota.tenants.refresh(max(1001.0, now_ms), tenant)
    if windows == 1:
        assert tenant.previous_window_units == 7.0
    elif windows > 1:
        assert math.isnan(tenant.previous_window_units)
    else:
        assert tenant.member_others_units == 7.0


@pytest.mark.parametrize(("windows", "deducted_units"), [(1, 1.0), (2, 6.0), (5, 6.0)])
def test_after_a_pause_members_reports_are_deducted_in_full(windows: int, deducted_units: float) -> None:
    """Guards against units beyond the quota: 7 units of an older window counted as known of the last one, so
    that 5 reported units of it were not deducted."""
    engine = DecisionEngine(settings(1), 1)
    request = Request("r0", "read", PLANS[0].name, "t", 900.0)
    engine.handle(1000.0, EndpointList(EndpointListKind.CACHED, SERVERS))
    engine.handle(1000.0, request)
    tenants = engine.quota.tenants
    tenant = tenants.by_id["t"]
    tenant.member_others_units = 7.0
    now_ms = max(1001.0, tenant.window_start_ms + windows * tenant.window_length_ms + 1.0)
    tenants.refresh(now_ms, tenant)
    before_units = tenant.bucket_units
    apply_usage_update(tenants, now_ms, UsageUpdate(request, tenant.window_start_ms, 1.0, 5.0, 1.0))
    assert before_units - tenant.bucket_units == pytest.approx(deducted_units)
