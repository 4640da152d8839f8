"""Decisions of one of hundreds of gateways: few of a tenant's requests reach it, and what each gateway may
admit by itself adds up over all of them."""

from __future__ import annotations

import math

import pytest

from glenchute.policy.actions import IncrementCounter, Reject, StartAttempt
from glenchute.policy.events import CounterReply, Endpoint, EndpointList, EndpointListKind, Outcome
from tests.rig import (
    SETTINGS,
    EngineHarness,
    actions_of_type,
    final_responses,
    make_endpoints,
    replace_settings,
)

MANY_GATEWAYS = replace_settings(SETTINGS, gateway_count=300)


def test_one_of_hundreds_admits_what_the_shared_bucket_holds() -> None:
    # Guards against a bucket divided by the gateway spread: it never holds a request, so all were rejected.
    rig = EngineHarness(make_endpoints(4), MANY_GATEWAYS)
    for i in range(20):
        name, actions = rig.ask(plan="rate", customer=f"c{i}", spread=200)
        assert actions_of_type(actions, IncrementCounter)
        assert actions_of_type(actions, StartAttempt)
        rig.end_attempt(name, 0, Outcome.OK)


def test_a_counter_reply_rejects_what_the_others_have_used() -> None:
    rig = EngineHarness(make_endpoints(4), MANY_GATEWAYS)
    rig.others_units = 7.0
    _, actions = rig.ask(plan="rate", spread=200)
    assert actions_of_type(actions, Reject) and not actions_of_type(actions, StartAttempt)


def test_a_request_that_waits_for_the_counter_is_answered_once() -> None:
    rig = EngineHarness(make_endpoints(4), MANY_GATEWAYS)
    rig.counter_outcome = Outcome.TIMEOUT
    name, actions = rig.ask(plan="rate", spread=200)
    assert [a.request_id for a in actions_of_type(actions, StartAttempt)] == [name]
    call = actions_of_type(actions, IncrementCounter)[0]
    assert not rig.handle_event(CounterReply(call.key, 3.0, Outcome.OK))


def test_a_request_with_little_time_left_does_not_wait_for_the_counter() -> None:
    rig = EngineHarness(make_endpoints(4), MANY_GATEWAYS)
    _, actions = rig.ask(plan="rate", spread=200, left=60.0)
    assert actions_of_type(actions, StartAttempt) or final_responses(actions)


def test_a_counter_key_covers_one_window() -> None:
    rig = EngineHarness(make_endpoints(4), MANY_GATEWAYS)
    rig.ask(plan="rate", spread=200)
    rig.advance(10_000.0)
    rig.ask(plan="rate", spread=200)
    keys = [a.key for _, a in rig.action_log if isinstance(a, IncrementCounter)]
    assert len(keys) == 2 and len(set(keys)) == 2


def test_under_a_ceiling_the_next_call_leaves_out_a_rejected_request() -> None:
    rig = EngineHarness(make_endpoints(4), MANY_GATEWAYS)
    rig.others_units = 7.0
    _, actions = rig.ask(plan="hard", spread=200)
    assert actions_of_type(actions, Reject)
    rig.others_units = 0.0
    rig.advance(1050.0)
    rig.ask(plan="hard", spread=200)
    amounts = [a.amount for _, a in rig.action_log if isinstance(a, IncrementCounter)]
    # [1.0, 1.0] where a new window began between the two calls.
    assert amounts in ([1.0, 0.0], [1.0, 1.0])


def test_the_call_rate_falls_while_the_counter_rejects_calls_and_recovers() -> None:
    rig = EngineHarness(make_endpoints(4), MANY_GATEWAYS)

    def count_calls(requests: int, rejects_half: bool = False) -> int:
        before = sum(isinstance(a, IncrementCounter) for _, a in rig.action_log)
        for i in range(requests):
            rig.counter_outcome = Outcome.REJECTED if rejects_half and i % 2 else Outcome.OK
            name, actions = rig.ask(plan="rate", customer=f"{rig.serial}", spread=200)
            if actions_of_type(actions, StartAttempt):
                rig.end_attempt(name, 0, Outcome.OK)
            rig.advance(5.0)
        return sum(isinstance(a, IncrementCounter) for _, a in rig.action_log) - before

    full_count = count_calls(50)
    count_calls(40, rejects_half=True)
    reduced_count = count_calls(50)
    count_calls(400)
    assert full_count == 50 and reduced_count < 0.7 * full_count and count_calls(50) > 0.8 * full_count


def test_an_unavailable_counter_admits_two_requests_then_the_local_share() -> None:
    rig = EngineHarness(make_endpoints(4), MANY_GATEWAYS)
    rig.counter_outcome = Outcome.UNREACHABLE
    for i in range(6):
        rig.end_attempt(rig.ask(plan="rate", customer=f"x{i}", spread=200)[0], 0, Outcome.OK)
    assert rig.gateway.quota.counter.pacing.is_unavailable
    admitted = 0
    for _ in range(40):
        name, actions = rig.ask(plan="rate", spread=200)
        if actions_of_type(actions, StartAttempt):
            admitted += 1
            rig.end_attempt(name, 0, Outcome.OK, 1.0)
        rig.advance(500.0)
    # The local share of 2 units/s over 200 gateways gains 0.2 units in the 20 s: too little for a third.
    assert admitted == 2


@pytest.mark.parametrize("restarted", [False, True])
def test_many_gateways_together_do_not_overload_a_cold_server(restarted: bool) -> None:
    """Guards against a free first slow-start token at each gateway: a cold server then got as many requests
    at once as there are gateways."""
    gateways, total = 60, 0
    for seed in range(gateways):
        settings = replace_settings(SETTINGS, gateway_count=gateways)
        cold = Endpoint("cold", "a", started_ms=1000.0)
        rig = EngineHarness(
            [*make_endpoints(2), cold] if restarted else make_endpoints(2), settings, seed=seed
        )
        if not restarted:
            rig.handle_event(EndpointList(EndpointListKind.CHANGES, (cold,)))
        # 16 attempts in flight at each of the two warm servers make the cold one the preferred choice.
        for _ in range(2):
            for server in rig.gateway.pool.servers.values():
                server.in_flight += 0 if server.endpoint.address == "cold" else 8
        _, actions = rig.ask()
        total += sum(send.address == "cold" for send in actions_of_type(actions, StartAttempt))
    # A warm server serves 10 requests/s. A cold one starts at a quarter of that and is overloaded by twice
    # its rate over one second: 5 requests.
    assert total <= 5


def test_slow_responses_limit_capacity_where_few_servers_were_heard() -> None:
    # Guards against a median latency over all servers: a gateway among hundreds has no recent response from
    # most of them, so that an overloaded fleet seemed fast.
    rig = EngineHarness(make_endpoints(60), MANY_GATEWAYS)
    for i in range(16):
        name, actions = rig.ask(customer=f"c{i}", left=4000.0)
        rig.advance(500.0)
        if actions_of_type(actions, StartAttempt):
            rig.end_attempt(name, 0, Outcome.OK, 1500.0)
        rig.answer_calls()
    assert rig.gateway.shedder.capacity.capacity_per_s < math.inf


def test_a_few_attempts_in_flight_are_no_backlog() -> None:
    # Guards against a backlog threshold of two attempts per server over all gateways: that is less than one
    # attempt at each, and half of all requests were rejected.
    rig = EngineHarness(make_endpoints(60), MANY_GATEWAYS)
    rig.warm_up()
    admitted = [bool(actions_of_type(rig.ask(customer=f"c{i}")[1], StartAttempt)) for i in range(4)]
    assert all(admitted)


def test_a_gateway_spread_above_the_number_of_gateways_means_all_of_them() -> None:
    rig = EngineHarness(make_endpoints(4), SETTINGS)
    rig.ask(plan="rate", spread=5000)
    assert rig.gateway.quota.tenants.by_id["c"].gateway_spread == SETTINGS.gateway_count


@pytest.mark.parametrize("counter", [Outcome.OK, Outcome.REJECTED, Outcome.UNREACHABLE])
def test_a_ceiling_holds_over_its_gateways_whatever_the_counter_does(counter: Outcome) -> None:
    """Half of the ceiling is granted by the counter, half by even shares; all gateways are overloaded at
    once."""
    rigs = [EngineHarness(make_endpoints(4), MANY_GATEWAYS, seed=i) for i in range(6)]
    shared: dict[int, float] = {}
    sent = 0.0
    for rig in rigs:
        rig._totals, rig.counter_outcome = shared, counter
        rig.advance(20_000.0)
    start = rigs[0].now
    for _ in range(60):
        for rig in rigs:
            name, actions = rig.ask(plan="hard", spread=6)
            if actions_of_type(actions, StartAttempt):
                sent += 1.0
                rig.end_attempt(name, 0, Outcome.OK, 1.0)
            rig.answer_calls()
            rig.advance(50.0)
    assert 4.0 <= sent <= 12.0 + 4.0 * (rigs[0].now - start) / 1000.0 + 2.0


@pytest.mark.parametrize(("marker_count", "min_sent", "max_sent"), [(11, 2, 3), (0, 0, 1)])
def test_the_counter_lets_a_busy_gateway_exceed_its_even_share_of_a_ceiling(
    marker_count: int, min_sent: int, max_sent: int
) -> None:
    """The counter grants only as much as the epoch markers that it holds allow: it may have lost its memory,
    or count half of the tenant's gateways."""
    rig = EngineHarness(make_endpoints(4), replace_settings(SETTINGS, gateway_count=40))
    rig.advance(20_000.0)
    rig.ask(plan="hard", spread=12, units=0.001)
    tenant = rig.gateway.quota.tenants.by_id["c"]
    assert tenant.window_counter is not None
    rig._totals[tenant.counter_key] = marker_count * tenant.window_counter.marker
    rig.answer_calls()
    sent = 0
    for _ in range(3):
        rig.advance(110.0)
        name, actions = rig.ask(plan="hard", spread=12)
        if actions_of_type(actions, StartAttempt):
            sent += 1
            rig.end_attempt(name, 0, Outcome.OK, 1.0)
    assert min_sent <= sent <= max_sent


def test_timeouts_lengthen_with_the_load_of_all_classes() -> None:
    # Guards against timeouts by the mean latency of each class alone: at one of hundreds of gateways it takes
    # half a minute to follow the load, during which retries overloaded the fleet further.
    rig = EngineHarness(make_endpoints(60), MANY_GATEWAYS)
    for i in range(12):
        name, actions = rig.ask(cls="order", customer=f"c{i}", left=4000.0)
        if actions_of_type(actions, StartAttempt):
            rig.advance(600.0)
            rig.end_attempt(name, 0, Outcome.OK, 600.0)
    sends = actions_of_type(rig.ask(cls="read", left=4000.0)[1], StartAttempt)
    assert sends and sends[0].timeout_ms == 0.0


def test_requests_without_a_counter_reply_keep_to_the_local_share() -> None:
    # Guards against a gateway that takes a tenant's whole quota for its own until one of its calls to the
    # counter gets through: under overload each gateway admitted as much.
    rig = EngineHarness(make_endpoints(4), MANY_GATEWAYS)
    rig.gateway.quota.counter.pacing.call_fraction = 0.0001
    admitted = 0
    for _ in range(20):
        name, actions = rig.ask(plan="rate", spread=200)
        if actions_of_type(actions, StartAttempt):
            admitted += 1
            rig.end_attempt(name, 0, Outcome.OK, 1.0)
        rig.advance(50.0)
    assert admitted == 2


def test_own_usage_does_not_make_the_local_share_negative() -> None:
    # Guards against a negative local share: the busiest gateway of a tenant rejected it for long once the
    # counter stopped answering.
    rig = EngineHarness(make_endpoints(4))
    for _ in range(60):
        name, actions = rig.ask(plan="rate")
        if actions_of_type(actions, StartAttempt):
            rig.end_attempt(name, 0, Outcome.OK, 1.0)
        rig.answer_calls()
        rig.advance(250.0)
    assert rig.gateway.quota.tenants.by_id["c"].local_units >= 0.0


def test_an_overloaded_fleet_does_not_raise_the_slow_start_rate() -> None:
    # Guards against a slow-start rate by the requests that warm servers are sent: under overload it was three
    # times what they could serve, and a cold server was overloaded with them.
    rig = EngineHarness(make_endpoints(4), MANY_GATEWAYS)
    for i in range(40):
        name, actions = rig.ask(customer=f"c{i}")
        if actions_of_type(actions, StartAttempt):
            rig.end_attempt(name, 0, Outcome.REJECTED, 1.0)
        rig.advance(10.0)
    assert rig.gateway.pool.slow_start.warm_response_rate_per_s == 0.0


def test_a_rejected_request_is_subtracted_while_the_counter_has_calls_to_spare() -> None:
    # Guards against rejected units that stay in the counter's total for the rest of the window: among many
    # gateways each sees a tenant seldom, and its next requests were rejected as these units counted as usage.
    rig = EngineHarness(make_endpoints(4), MANY_GATEWAYS)
    rig.others_units = 7.0
    _, actions = rig.ask(plan="rate", spread=200)
    assert actions_of_type(actions, Reject)
    rig.others_units = 0.0
    rig.advance(500.0)
    amounts = [a.amount for _, a in rig.action_log if isinstance(a, IncrementCounter)]
    assert [round(amount) for amount in amounts[1:]] in ([-1], [])  # [] where a new window began
    assert len(amounts) == 2


def test_an_overloaded_counter_gets_no_calls_that_subtract_rejected_requests() -> None:
    rig = EngineHarness(make_endpoints(4), MANY_GATEWAYS)
    rig.gateway.quota.counter.pacing.call_fraction = 0.5
    rig.gateway.quota.rng.random = lambda: 0.0  # type: ignore[method-assign]
    rig.others_units = 7.0
    rig.ask(plan="rate", spread=200)
    rig.advance(500.0)
    assert sum(isinstance(a, IncrementCounter) for _, a in rig.action_log) == 1
