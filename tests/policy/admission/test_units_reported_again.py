"""Units of calls that the counter did not add: the next call reports them, each unit once."""

from __future__ import annotations

from random import Random

import pytest

from glenchute.policy.actions import IncrementCounter
from glenchute.policy.admission.tenant import Tenant
from glenchute.policy.events import DID_NOT_RUN, CounterReply, Outcome, Request
from tests.rig import EngineHarness, actions_of_type, make_endpoints

CHARGED_UNITS = 3.0
REQUEST = Request("waits", "read", "rate", "c", 900.0, units=1.0, gateway_spread=2)


def rig_with_unreported(plan: str, units: float) -> tuple[EngineHarness, Tenant]:
    """Returns an engine with a tenant that has these units to report."""
    rig = EngineHarness(make_endpoints(2))
    tenants = rig.gateway.quota.tenants
    tenant = tenants.lookup(rig.now, Request("first", "read", plan, "c", 900.0, gateway_spread=2))
    assert tenant is not None
    tenant.unreported_units = units
    tenants.unreported["c"] = tenant
    return rig, tenant


def end_window(rig: EngineHarness, tenant: Tenant) -> None:
    """Moves the time on into the tenant's next window."""
    rig.now = tenant.window_start_ms + tenant.window_length_ms + 1.0
    rig.gateway.quota.tenants.refresh(rig.now, tenant)


@pytest.mark.parametrize("outcome", DID_NOT_RUN)
def test_a_call_for_a_request_that_is_not_added_loses_no_units_it_carried(outcome: Outcome) -> None:
    """Guards against units beyond the quota at other gateways: 3 units were in no total ever after."""
    rig, tenant = rig_with_unreported("rate", CHARGED_UNITS)
    counter = rig.gateway.quota.counter
    call = counter.call_for_request(rig.now, tenant, REQUEST)
    assert call is not None and call.amount % 10.0 == CHARGED_UNITS + 1.0 and tenant.unreported_units == 0.0
    assert counter.handle_reply(rig.now, CounterReply(call.key, 0.0, outcome, 1.0)) == "waits"
    assert tenant.unreported_units == CHARGED_UNITS  # the request itself is charged when it is admitted
    rig.gateway.quota.charge(tenant, 1.0, is_counted=False, has_total=False)
    assert tenant.unreported_units == CHARGED_UNITS + 1.0


@pytest.mark.parametrize(
    ("outcome", "local_units", "unreported_units"),
    [(outcome, 9.0, 4.0) for outcome in DID_NOT_RUN]
    + [(Outcome.TIMEOUT, 9.0, 0.0), (Outcome.REJECTED, 0.0, 0.0)],
)
def test_a_call_that_is_not_added_loses_no_units_of_requests_whose_calls_were_omitted(
    outcome: Outcome, local_units: float, unreported_units: float
) -> None:
    """Guards against units beyond the quota at other gateways: what a call reserved for requests that were
    admitted without one was in no total. Nothing is due if the call may have been added, or if the request
    that waits is rejected, with whom these were."""
    rig, tenant = rig_with_unreported("rate", 0.0)
    counter = rig.gateway.quota.counter
    counter.pacing.call_fraction, counter.rng = 0.25, Random(1)  # the seed's first draw makes the call
    tenant.bucket_units = 1.5  # so little that the request waits for a total
    call = actions_of_type(rig.handle_event(REQUEST), IncrementCounter)[0]
    assert call.amount % 10.0 == 4.0
    tenant.local_units = local_units
    rig.handle_event(CounterReply(call.key, 0.0, outcome, 1.0))
    assert tenant.unreported_units == unreported_units


@pytest.mark.parametrize("units", [-5.0, -3.0, 0.0, 0.75])
def test_refunds_that_a_ceiling_defers_are_kept(units: float) -> None:
    rig, tenant = rig_with_unreported("hard", units)
    counter = rig.gateway.quota.counter
    call = counter.call_for_request(rig.now, tenant, REQUEST)
    assert call is not None
    counter.handle_reply(rig.now, CounterReply(call.key, 0.0, Outcome.REJECTED, 1.0))
    assert tenant.unreported_units == units


def test_a_late_reply_that_nothing_was_added_reports_all_units_of_the_call() -> None:
    """Guards against units that counted as added since the timeout, and were not."""
    rig, tenant = rig_with_unreported("rate", CHARGED_UNITS)
    counter = rig.gateway.quota.counter
    call = counter.call_for_request(rig.now, tenant, REQUEST)
    assert call is not None
    counter.handle_reply(rig.now, CounterReply(call.key, 0.0, Outcome.TIMEOUT, 50.0))
    assert tenant.unreported_units == 0.0 and tenant.own_units_since_reply == CHARGED_UNITS + 1.0
    counter.handle_reply(rig.now, CounterReply(call.key, 0.0, Outcome.REJECTED, 80.0, is_late=True))
    assert tenant.unreported_units == CHARGED_UNITS + 1.0 and tenant.own_units_since_reply == 0.0
    assert rig.gateway.quota.tenants.unreported["c"] is tenant


@pytest.mark.parametrize("outcome", DID_NOT_RUN)
@pytest.mark.parametrize("plan", ["rate", "hard"])
def test_a_call_that_is_not_added_before_its_window_ends_is_reported_in_the_next(
    plan: str, outcome: Outcome
) -> None:
    """Guards against units beyond the quota at other gateways: those of a call in flight at the end of a
    window were in no total."""
    rig, tenant = rig_with_unreported(plan, CHARGED_UNITS)
    counter = rig.gateway.quota.counter
    call = counter.call_for_request(rig.now, tenant, REQUEST)
    assert call is not None
    end_window(rig, tenant)
    assert tenant.unreported_units == 0.0
    assert counter.handle_reply(rig.now, CounterReply(call.key, 0.0, outcome, 1.0)) == "waits"
    assert tenant.unreported_units == CHARGED_UNITS and tenant.counter_key != call.key
    assert rig.gateway.quota.tenants.unreported["c"] is tenant


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.TIMEOUT])
def test_a_call_that_may_have_been_added_before_its_window_ends_is_not_reported_again(
    outcome: Outcome,
) -> None:
    rig, tenant = rig_with_unreported("rate", CHARGED_UNITS)
    counter = rig.gateway.quota.counter
    call = counter.call_for_request(rig.now, tenant, REQUEST)
    assert call is not None
    end_window(rig, tenant)
    counter.handle_reply(rig.now, CounterReply(call.key, call.amount, outcome, 1.0))
    assert tenant.unreported_units == 0.0


def test_refunds_and_units_of_forgotten_tenants_end_with_their_window() -> None:
    rig, tenant = rig_with_unreported("rate", -CHARGED_UNITS)
    counter, tenants = rig.gateway.quota.counter, rig.gateway.quota.tenants
    call = counter.make_call(rig.now, tenant)
    end_window(rig, tenant)
    counter.handle_reply(rig.now, CounterReply(call.key, 0.0, Outcome.REJECTED, 1.0))
    assert tenant.unreported_units == 0.0
    tenant.unreported_units = CHARGED_UNITS
    call = counter.make_call(rig.now, tenant)
    end_window(rig, tenant)
    tenants.forget(tenant)
    counter.handle_reply(rig.now, CounterReply(call.key, 0.0, Outcome.REJECTED, 1.0))
    assert not tenants.unreported


def test_a_rejected_report_is_sent_again_without_another_request() -> None:
    """Guards against units of a tenant that has no further request in the window: a tick that found nothing
    to report had taken the tenant off the list of those with units to report."""
    rig, tenant = rig_with_unreported("wide", CHARGED_UNITS)
    (first,) = actions_of_type(rig.advance(400.0), IncrementCounter)
    rig.advance(300.0)
    assert not rig.gateway.quota.tenants.unreported
    rig.handle_event(CounterReply(first.key, 0.0, Outcome.REJECTED, 5.0))
    calls = actions_of_type(rig.advance(6000.0), IncrementCounter)
    assert [call.amount % 1000.0 for call in calls] == [first.amount % 1000.0] == [CHARGED_UNITS]
    assert tenant.unreported_units == 0.0
