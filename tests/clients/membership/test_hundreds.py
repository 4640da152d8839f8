"""Many gateways before one fleet: each sees a customer seldom, and what each may do alone adds up."""

from __future__ import annotations

import math

import pytest

from glenchute.policy.actions import IncrementCounter, Reject, StartAttempt
from glenchute.policy.events import CounterReply, Endpoint, EndpointList, EndpointListKind, Outcome
from tests.rig import SETTINGS, Rig, entries, finals, only, with_

MANY = with_(SETTINGS, gateway_count=300)


def test_one_of_hundreds_asks_and_lets_in_what_the_store_holds() -> None:
    # A store over its spread never holds a request; all were refused.
    rig = Rig(entries(4), MANY)
    for i in range(20):
        name, actions = rig.ask(plan="rate", customer=f"c{i}", spread=200)
        assert only(actions, IncrementCounter)
        assert only(actions, StartAttempt)
        rig.end(name, 0, Outcome.OK)


def test_a_word_of_the_moment_refuses_what_the_others_have_used() -> None:
    rig = Rig(entries(4), MANY)
    rig.others = 7.0
    _, actions = rig.ask(plan="rate", spread=200)
    assert only(actions, Reject) and not only(actions, StartAttempt)


def test_a_request_waits_for_its_own_word_and_is_answered_once() -> None:
    rig = Rig(entries(4), MANY)
    rig.ending = Outcome.TIMEOUT
    name, actions = rig.ask(plan="rate", spread=200)
    assert [a.request_id for a in only(actions, StartAttempt)] == [name]
    call = only(actions, IncrementCounter)[0]
    assert not rig.feed(CounterReply(call.key, 3.0, Outcome.OK))


def test_no_word_is_waited_for_with_little_time_left() -> None:
    rig = Rig(entries(4), MANY)
    _, actions = rig.ask(plan="rate", spread=200, left=60.0)
    assert only(actions, StartAttempt) or finals(actions)


def test_a_name_holds_one_window() -> None:
    rig = Rig(entries(4), MANY)
    rig.ask(plan="rate", spread=200)
    rig.advance(10_000.0)
    rig.ask(plan="rate", spread=200)
    names = [a.key for _, a in rig.log if isinstance(a, IncrementCounter)]
    assert len(names) == 2 and len(set(names)) == 2


def test_under_a_ceiling_a_refused_request_is_taken_off_by_the_next_call() -> None:
    rig = Rig(entries(4), MANY)
    rig.others = 7.0
    _, actions = rig.ask(plan="hard", spread=200)
    assert only(actions, Reject)
    rig.others = 0.0
    rig.advance(1050.0)
    rig.ask(plan="hard", spread=200)
    amounts = [a.amount for _, a in rig.log if isinstance(a, IncrementCounter)]
    assert amounts in ([1.0, 0.0], [1.0, 1.0])  # the second where a new window began


def test_asking_falls_while_calls_are_turned_away_and_comes_back() -> None:
    rig = Rig(entries(4), MANY)

    def asked(count: int, turned_away: bool = False) -> int:
        before = sum(isinstance(a, IncrementCounter) for _, a in rig.log)
        for i in range(count):
            rig.ending = Outcome.REJECTED if turned_away and i % 2 else Outcome.OK
            name, actions = rig.ask(plan="rate", customer=f"{rig.serial}", spread=200)
            if only(actions, StartAttempt):
                rig.end(name, 0, Outcome.OK)
            rig.advance(5.0)
        return sum(isinstance(a, IncrementCounter) for _, a in rig.log) - before

    most = asked(50)
    asked(40, turned_away=True)
    least = asked(50)
    asked(400)
    assert most == 50 and least < 0.7 * most and asked(50) > 0.8 * most


def test_a_mute_counter_lets_two_requests_in_then_the_part() -> None:
    rig = Rig(entries(4), MANY)
    rig.ending = Outcome.UNREACHABLE
    for i in range(6):
        rig.end(rig.ask(plan="rate", customer=f"x{i}", spread=200)[0], 0, Outcome.OK)
    assert rig.gateway.quota.counter.pacing.is_unavailable
    went = 0
    for _ in range(40):
        name, actions = rig.ask(plan="rate", spread=200)
        if only(actions, StartAttempt):
            went += 1
            rig.end(name, 0, Outcome.OK, 1.0)
        rig.advance(500.0)
    assert went == 2  # 20 s of a two-hundredth of two a second make no third


@pytest.mark.parametrize("restarted", [False, True])
def test_hundreds_do_not_push_a_cold_server_over_together(restarted: bool) -> None:
    """Each gateway's first turn was free: as many requests as gateways in one moment."""
    gateways, total = 60, 0
    for seed in range(gateways):
        settings = with_(SETTINGS, gateway_count=gateways)
        cold = Endpoint("cold", "a", started_ms=1000.0)
        rig = Rig([*entries(2), cold] if restarted else entries(2), settings, seed=seed)
        if not restarted:
            rig.feed(EndpointList(EndpointListKind.CHANGES, (cold,)))
        for _ in range(2):  # more than the two warm servers get at ease
            for server in rig.gateway.pool.servers.values():
                server.in_flight += 0 if server.endpoint.address == "cold" else 8
        _, actions = rig.ask()
        total += sum(send.address == "cold" for send in only(actions, StartAttempt))
    # Warm at ten a second, it starts at a quarter and falls at twice that, over a second.
    assert total <= 5


def test_late_answers_bind_capacity_where_few_are_heard() -> None:
    # The median over servers, most of them not heard of lately, called a late fleet early.
    rig = Rig(entries(60), MANY)
    for i in range(16):
        name, actions = rig.ask(customer=f"c{i}", left=4000.0)
        rig.advance(500.0)
        if only(actions, StartAttempt):
            rig.end(name, 0, Outcome.OK, 1500.0)
        rig.answer_calls()
    assert rig.gateway.shedder.capacity.capacity_per_s < math.inf


def test_a_handful_out_is_no_backlog() -> None:
    # Two attempts a server over all gateways is less than one here; half of all was refused.
    rig = Rig(entries(60), MANY)
    rig.warm_up()
    went = [bool(only(rig.ask(customer=f"c{i}")[1], StartAttempt)) for i in range(4)]
    assert all(went)


def test_a_spread_beyond_the_gateways_is_read_as_all_of_them() -> None:
    rig = Rig(entries(4), SETTINGS)
    rig.ask(plan="rate", spread=5000)
    assert rig.gateway.quota.tenants.by_id["c"].gateway_spread == SETTINGS.gateway_count


@pytest.mark.parametrize("counter", [Outcome.OK, Outcome.REJECTED, Outcome.UNREACHABLE])
def test_a_ceiling_holds_over_its_gateways_whatever_the_counter_does(counter: Outcome) -> None:
    """Half of it is held by the count, half by even parts; a flood comes through all gateways at once."""
    rigs = [Rig(entries(4), MANY, seed=i) for i in range(6)]
    shared: dict[int, float] = {}
    sent = 0.0
    for rig in rigs:
        rig._totals, rig.ending = shared, counter
        rig.advance(20_000.0)
    start = rigs[0].now
    for _ in range(60):
        for rig in rigs:
            name, actions = rig.ask(plan="hard", spread=6)
            if only(actions, StartAttempt):
                sent += 1.0
                rig.end(name, 0, Outcome.OK, 1.0)
            rig.answer_calls()
            rig.advance(50.0)
    assert 4.0 <= sent <= 12.0 + 4.0 * (rigs[0].now - start) / 1000.0 + 2.0


@pytest.mark.parametrize(("heard", "least", "most"), [(11, 2, 3), (0, 0, 1)])
def test_the_count_lets_a_busy_gateway_past_its_even_part_of_a_ceiling(
    heard: int, least: int, most: int
) -> None:
    """As far as the gateways of the customer's set are heard: of a counter that may have lost its memory, or
    holds a half of them, no more than that may be granted."""
    rig = Rig(entries(4), with_(SETTINGS, gateway_count=40))
    rig.advance(20_000.0)
    rig.ask(plan="hard", spread=12, units=0.001)
    customer = rig.gateway.quota.tenants.by_id["c"]
    assert customer.window_counter is not None
    rig._totals[customer.counter_key] = heard * customer.window_counter.marker
    rig.answer_calls()
    sent = 0
    for _ in range(3):
        rig.advance(110.0)
        name, actions = rig.ask(plan="hard", spread=12)
        if only(actions, StartAttempt):
            sent += 1
            rig.end(name, 0, Outcome.OK, 1.0)
    assert least <= sent <= most


def test_time_outs_lengthen_with_the_load_of_all_kinds() -> None:
    # Each kind's mean takes half a minute to learn among hundreds; second attempts buried the fleet.
    rig = Rig(entries(60), MANY)
    for i in range(12):
        name, actions = rig.ask(cls="order", customer=f"c{i}", left=4000.0)
        if only(actions, StartAttempt):
            rig.advance(600.0)
            rig.end(name, 0, Outcome.OK, 600.0)
    sends = only(rig.ask(cls="read", left=4000.0)[1], StartAttempt)
    assert sends and sends[0].timeout_ms == 0.0


def test_unsure_requests_without_a_word_keep_to_the_part() -> None:
    # Each gateway took a flooding customer's whole quota for its own until a call of its got through.
    rig = Rig(entries(4), MANY)
    rig.gateway.quota.counter.pacing.call_fraction = 0.0001
    went = 0
    for _ in range(20):
        name, actions = rig.ask(plan="rate", spread=200)
        if only(actions, StartAttempt):
            went += 1
            rig.end(name, 0, Outcome.OK, 1.0)
        rig.advance(50.0)
    assert went == 2


def test_own_use_does_not_run_a_part_into_debt() -> None:
    # The busiest gateway of a customer refused it for long once the counter fell silent.
    rig = Rig(entries(4))
    for _ in range(60):
        name, actions = rig.ask(plan="rate")
        if only(actions, StartAttempt):
            rig.end(name, 0, Outcome.OK, 1.0)
        rig.answer_calls()
        rig.advance(250.0)
    assert rig.gateway.quota.tenants.by_id["c"].local_units >= 0.0


def test_an_overdriven_fleet_does_not_raise_a_cold_servers_turns() -> None:
    # Turns followed what warm servers were sent, three times what they could do; a cold one fell with them.
    rig = Rig(entries(4), MANY)
    for i in range(40):
        name, actions = rig.ask(customer=f"c{i}")
        if only(actions, StartAttempt):
            rig.end(name, 0, Outcome.REJECTED, 1.0)
        rig.advance(10.0)
    assert rig.gateway.pool.slow_start.warm_response_rate_per_s == 0.0


def test_a_refused_request_is_given_back_while_the_counter_has_calls_to_spare() -> None:
    # Of many gateways each sees a customer once in a while: what was asked for and refused stayed on the
    # total for the rest of the window, passed for use, and had the next ones refused.
    rig = Rig(entries(4), MANY)
    rig.others = 7.0
    _, actions = rig.ask(plan="rate", spread=200)
    assert only(actions, Reject)
    rig.others = 0.0
    rig.advance(500.0)
    amounts = [a.amount for _, a in rig.log if isinstance(a, IncrementCounter)]
    assert [round(amount) for amount in amounts[1:]] in ([-1], [])  # none where a new window began
    assert len(amounts) == 2


def test_a_crowded_counter_gets_no_calls_to_give_back() -> None:
    rig = Rig(entries(4), MANY)
    rig.gateway.quota.counter.pacing.call_fraction = 0.5
    rig.gateway.quota.rng.random = lambda: 0.0  # type: ignore[method-assign]
    rig.others = 7.0
    rig.ask(plan="rate", spread=200)
    rig.advance(500.0)
    assert sum(isinstance(a, IncrementCounter) for _, a in rig.log) == 1
