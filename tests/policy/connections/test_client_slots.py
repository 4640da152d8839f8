"""Property tests of client connection slots, without sockets or a clock."""

from __future__ import annotations

import math
import random
import time
from itertools import pairwise

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from glenchute.policy.connections.client_slots import (
    BLOCKED_STATES,
    LINGER_TIMEOUT_S,
    MAX_FIRST_COMMAND_S,
    MAX_IDLE_S,
    MIN_FIRST_COMMAND_S,
    MIN_UNREAD_RESPONSE_S,
    MIN_WRITE_BLOCKED_S,
    PARTIAL_COMMAND_TIMEOUT_S,
    PRESSURED_SWEEP_INTERVAL_S,
    SWEEP_INTERVAL_S,
    WRITE_BLOCKED_TIMEOUT_S,
    CloseConnection,
    CloseReason,
    ConnectionSlots,
    ConnectionState,
    idle_gap_bucket,
)
from glenchute.policy.connections.descriptor_budget import divide_descriptors

GRACEFUL_REASONS = (
    CloseReason.IDLE,
    CloseReason.NO_COMMAND,
    CloseReason.EVICTED,
    CloseReason.PARTIAL_COMMAND,
    CloseReason.NO_SLOT,
)


def serve_request(slots: ConnectionSlots[str], now: float, key: str) -> None:
    """Records a request and its immediate response."""
    slots.on_request(now, key)
    slots.set_state(now, key, ConnectionState.IDLE_UNUSED)


def add_all(slots: ConnectionSlots[str], now: float, *keys: str) -> None:
    for key in keys:
        assert slots.add(now, key) == []


def add_reused(
    slots: ConnectionSlots[str], now: float, key: str, gap_s: float, request_count: int = 4
) -> float:
    """Adds a connection that has carried `request_count + 1` requests, `gap_s` apart; returns the time of the
    last response."""
    add_all(slots, now, key)
    for _ in range(request_count + 1):
        serve_request(slots, now, key)
        now += gap_s
    return now - gap_s


class SlotsMachine(RuleBasedStateMachine):
    """Any order of events on the slots, checked against a model."""

    @initialize(
        max_connections=st.integers(1, 6), max_requesting=st.integers(1, 6), max_overflow=st.integers(0, 3)
    )
    def create_slots(self, max_connections: int, max_requesting: int, max_overflow: int) -> None:
        self.slots: ConnectionSlots[int] = ConnectionSlots(max_connections, max_requesting, max_overflow)
        self.now, self.last_key = 100.0, 0
        self.state: dict[int, ConnectionState] = {}
        self.added_at: dict[int, float] = {}
        self.entered_at: dict[int, float] = {}
        self.requesting_keys: set[int] = set()
        self.answered_keys: set[int] = set()  # keys whose last request was answered
        self.reused_keys: set[int] = set()

    def apply(self, closes: list[CloseConnection[int]], new_key: int | None = None) -> None:
        """Checks the closes against the model and applies them to it."""
        for close in closes:
            key, state = close.key, self.state[close.key]
            assert state is not ConnectionState.ACTIVE, "a connection with a request in flight was closed"
            if close.reason is CloseReason.IDLE:
                assert state in (
                    ConnectionState.IDLE_UNUSED,
                    ConnectionState.IDLE_USED_ONCE,
                    ConnectionState.IDLE_REUSED,
                )
            if (
                close.reason in (CloseReason.EVICTED, CloseReason.NO_COMMAND)
                and state is ConnectionState.AWAITING_COMMAND
            ):
                assert self.now - self.added_at[key] >= MIN_FIRST_COMMAND_S
            if close.reason in (CloseReason.NO_SLOT,):
                assert key == new_key
                occupied = [
                    k for k, s in self.state.items() if s is not ConnectionState.LINGERING and k != key
                ]
                assert len(occupied) >= self.slots.max_connections
            if close.reason in GRACEFUL_REASONS:
                self.state[key] = ConnectionState.LINGERING
                self.entered_at[key] = self.now
            else:
                assert state in (ConnectionState.LINGERING, ConnectionState.WRITE_BLOCKED)
                self.forget(key)

    def forget(self, key: int) -> None:
        del self.state[key], self.added_at[key], self.entered_at[key]

    def draw_key(self, data: st.DataObject, *states: ConnectionState) -> int:
        return data.draw(st.sampled_from(sorted(k for k, s in self.state.items() if s in states)))

    def has_state(self, *states: ConnectionState) -> bool:
        return any(s in states for s in self.state.values())

    @rule()
    def accept(self) -> None:
        self.last_key += 1
        self.state[self.last_key], self.added_at[self.last_key] = ConnectionState.AWAITING_COMMAND, self.now
        self.entered_at[self.last_key] = self.now
        self.apply(self.slots.add(self.now, self.last_key), self.last_key)

    @rule(seconds=st.floats(0.0, 3.0))
    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.apply(self.slots.close_expired(self.now))

    @precondition(
        lambda self: self.has_state(*[s for s in ConnectionState if s is not ConnectionState.LINGERING])
    )
    @rule(data=st.data())
    def request(self, data: st.DataObject) -> None:
        key = self.draw_key(data, *[s for s in ConnectionState if s is not ConnectionState.LINGERING])
        if key in self.answered_keys:
            self.reused_keys.add(key)
            self.answered_keys.discard(key)
        self.requesting_keys.add(key)
        self.state[key], self.entered_at[key] = ConnectionState.ACTIVE, self.now
        self.slots.on_request(self.now, key)

    @precondition(
        lambda self: self.has_state(*[s for s in ConnectionState if s is not ConnectionState.LINGERING])
    )
    @rule(
        data=st.data(),
        to=st.sampled_from(
            [
                ConnectionState.IDLE_UNUSED,
                ConnectionState.PARTIAL_COMMAND,
                ConnectionState.WRITE_BLOCKED,
                ConnectionState.LINGERING,
            ]
        ),
    )
    def change_state(self, data: st.DataObject, to: ConnectionState) -> None:
        key = self.draw_key(data, *[s for s in ConnectionState if s is not ConnectionState.LINGERING])
        self.slots.set_state(self.now, key, to)
        if to is ConnectionState.IDLE_UNUSED:
            if key in self.requesting_keys:
                self.answered_keys.add(key)
            to = (
                ConnectionState.IDLE_REUSED
                if key in self.reused_keys
                else ConnectionState.IDLE_USED_ONCE
                if key in self.requesting_keys
                else ConnectionState.IDLE_UNUSED
            )
        if to is not self.state[key]:
            self.state[key], self.entered_at[key] = to, self.now

    @precondition(lambda self: self.state)
    @rule(data=st.data())
    def remove(self, data: st.DataObject) -> None:
        key = self.draw_key(data, *ConnectionState)
        self.slots.remove(key)
        self.forget(key)

    @invariant()
    def counts_match_the_model(self) -> None:
        if not hasattr(self, "slots"):
            return
        slots, limit = self.slots, self.slots.max_connections
        assert set(slots) == set(self.state)
        assert {k: p.state for k, p in slots.slots.items()} == self.state
        assert slots.connected_count() <= limit and len(slots) <= limit + slots.max_overflow
        alive = [k for k, s in self.state.items() if s is not ConnectionState.LINGERING]
        assert slots.requesting_count == len(self.requesting_keys & set(alive))
        queued = sum(len(q) for q in slots.slots_by_state.values()) + sum(len(q) for q in slots.reused_by_gap)
        assert queued == len(self.state)
        for queue in (*slots.slots_by_state.values(), *slots.reused_by_gap):
            times = [slot.state_entered_s for slot in queue.values()]
            assert times == sorted(times)

    @invariant()
    def no_state_outlasts_its_limit(self) -> None:
        """After `close_expired`, only connections with requests in flight exceed the limit of a state."""
        if not hasattr(self, "slots"):
            return
        self.apply(self.slots.close_expired(self.now))
        time_limits_s = {
            ConnectionState.AWAITING_COMMAND: MAX_FIRST_COMMAND_S,
            ConnectionState.PARTIAL_COMMAND: PARTIAL_COMMAND_TIMEOUT_S,
            ConnectionState.WRITE_BLOCKED: WRITE_BLOCKED_TIMEOUT_S,
        }
        time_limits_s[ConnectionState.LINGERING] = LINGER_TIMEOUT_S
        for key, state in self.state.items():
            if state is not ConnectionState.ACTIVE:
                assert self.now - self.entered_at[key] <= time_limits_s.get(state, MAX_IDLE_S) + 1e-9


@pytest.mark.parametrize(
    "between",
    [
        (),
        (ConnectionState.PARTIAL_COMMAND,),
        (ConnectionState.WRITE_BLOCKED, ConnectionState.PARTIAL_COMMAND),
        (ConnectionState.WRITE_BLOCKED, ConnectionState.IDLE_UNUSED),
    ],
)
def test_a_request_after_a_response_counts_as_reuse_whatever_came_between(
    between: tuple[ConnectionState, ...],
) -> None:
    """A partial command or a blocked write between two requests does not change the classification."""
    slots: ConnectionSlots[str] = ConnectionSlots(4, 3, 2)
    add_all(slots, 0.0, "reused")
    serve_request(slots, 0.0, "reused")
    assert slots.slots["reused"].reuse_count == 0
    for state in between:
        slots.set_state(1.0, "reused", state)
    serve_request(slots, 2.0, "reused")
    assert slots.slots["reused"].state is ConnectionState.IDLE_REUSED


SlotsMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestSlots = SlotsMachine.TestCase


@pytest.mark.parametrize("gap_s", [0.001, 0.02, 0.5, 3.0])
@pytest.mark.parametrize("active", range(1, 30, 4))
def test_a_reused_connection_outlives_one_with_a_single_request(gap_s: float, active: int) -> None:
    """Both connections become idle at the same time. Holds at any load and for any idle gap."""
    slots: ConnectionSlots[str] = ConnectionSlots(48, 32, 4)
    now = add_reused(slots, 0.0, "reused", gap_s)
    add_all(slots, now, "once", *[f"busy{i}" for i in range(active)])
    for i in range(active):
        slots.on_request(now, f"busy{i}")
    serve_request(slots, now, "once")
    slots.set_state(now, "reused", ConnectionState.ACTIVE)
    slots.set_state(now, "reused", ConnectionState.IDLE_UNUSED)
    order: list[str] = []
    while len(order) < 2:
        now += 0.001
        order += [close.key for close in slots.close_expired(now) if close.reason is CloseReason.IDLE]
        assert now < 100.0
    assert order == ["once", "reused"]


def test_the_idle_time_limit_falls_smoothly_to_zero() -> None:
    """Each additional connection lowers the limit by at most 3/128 of `MAX_IDLE_S`, for 128 slots."""
    slots: ConnectionSlots[str] = ConnectionSlots(192, 128, 16)
    now = add_reused(slots, 0.0, "reused", 0.01)
    add_all(slots, now, "once")
    serve_request(slots, now, "once")
    once, reused = [], []
    for i in range(126):
        once.append(slots.time_limit_s(slots.slots["once"]))
        reused.append(slots.time_limit_s(slots.slots["reused"]))
        add_all(slots, now, f"b{i}")
        slots.on_request(now, f"b{i}")
    assert once[0] > 0.9 * MAX_IDLE_S and slots.time_limit_s(slots.slots["once"]) == 0.0
    for row in (once, reused):
        assert all(a >= b >= a - 3 * MAX_IDLE_S / 128 - 1e-9 for a, b in pairwise(row))
    assert all(a <= b for a, b in zip(once, reused, strict=True))


def test_no_more_are_closed_than_the_load_requires() -> None:
    """All slots for requests are taken by recently used connections: only a few are closed."""
    slots: ConnectionSlots[str] = ConnectionSlots(192, 128, 16)
    for i in range(128):
        add_reused(slots, 0.001 * i / 128, f"c{i}", 0.005, request_count=4)
    closes = slots.close_expired(0.025)
    assert 1 <= len(closes) <= 4 and {close.reason for close in closes} == {CloseReason.IDLE}


def test_eviction_order_is_unused_then_silent_then_used_once_then_the_longest_gap() -> None:
    slots: ConnectionSlots[str] = ConnectionSlots(5, 5, 20)
    add_reused(slots, 0.0, "slow", 1.0)
    add_reused(slots, 0.0, "fast", 0.01)
    add_all(slots, 4.0, "silent", "pinged", "once")
    slots.set_state(4.0, "pinged", ConnectionState.IDLE_UNUSED)
    serve_request(slots, 4.0, "once")
    for key in ("slow", "fast"):
        slots.set_state(4.2, key, ConnectionState.ACTIVE)
        slots.set_state(4.2, key, ConnectionState.IDLE_UNUSED)
    evicted = []
    for i in range(6):
        (close,) = slots.add(4.2, f"new{i}")
        evicted.append((close.key, close.reason))
        if close.reason is CloseReason.EVICTED:
            slots.on_request(4.2, f"new{i}")
    expected = [(key, CloseReason.EVICTED) for key in ("pinged", "silent", "once", "slow", "fast")]
    assert evicted == [*expected, ("new5", CloseReason.NO_SLOT)]


def test_a_ping_does_not_restart_the_idle_time() -> None:
    slots: ConnectionSlots[str] = ConnectionSlots(100, 100, 0)
    add_all(slots, 0.0, "requests", "pinged")
    serve_request(slots, 0.0, "requests")
    slots.set_state(0.0, "pinged", ConnectionState.IDLE_UNUSED)
    for tenth in range(1, 40):
        slots.set_state(tenth / 10, "requests", ConnectionState.IDLE_UNUSED)
        slots.set_state(tenth / 10, "pinged", ConnectionState.IDLE_UNUSED)
    assert {close.key for close in slots.close_expired(5.0)} == {"requests", "pinged"}


def test_a_request_in_two_parts_counts_as_reuse() -> None:
    slots: ConnectionSlots[str] = ConnectionSlots(10, 10, 0)
    add_all(slots, 0.0, "c")
    serve_request(slots, 0.0, "c")
    slots.set_state(1.0, "c", ConnectionState.PARTIAL_COMMAND)
    serve_request(slots, 1.5, "c")
    assert slots.slots["c"].state is ConnectionState.IDLE_REUSED and slots.slots["c"].mean_gap_s == 1.5


def test_idle_gaps_fall_into_buckets_of_doubling_width() -> None:
    assert [idle_gap_bucket(s) for s in (0.0, 0.0009, 0.001, 0.002, 0.0039, 0.004, 1.0, 4.1, 1e9)] == [
        0, 0, 1, 2, 2, 3, 10, 13, 13,
    ]  # fmt: skip


def test_an_evicted_connection_with_unread_input_can_be_revived() -> None:
    slots: ConnectionSlots[str] = ConnectionSlots(1, 1, 1)
    add_all(slots, 0.0, "old")
    serve_request(slots, 0.0, "old")
    assert slots.add(1.0, "new") == [CloseConnection("old", CloseReason.EVICTED)]
    slots.revive(1.0, "old")
    assert slots.evict_excess(1.0, "new") == [CloseConnection("new", CloseReason.NO_SLOT)]
    assert slots.requesting_count == 1 and slots.connected_count() == 1


def test_expiry_of_a_hundred_thousand_costs_linear_time() -> None:
    """Compares the CPU times of two sizes, so that the result does not depend on the machine."""

    def cpu_s(size: int) -> float:
        slots: ConnectionSlots[int] = ConnectionSlots(2 * size, 2 * size, 0)
        for key in range(size):
            slots.add(0.0, key)
            slots.on_request(0.0, key)
            slots.set_state(0.0, key, ConnectionState.IDLE_UNUSED)
        started_s = time.process_time()
        assert len(slots.close_expired(1000.0)) == size
        return time.process_time() - started_s

    small_cpu_s = min(cpu_s(10_000) for _ in range(3))
    assert cpu_s(100_000) < 10 * 4 * small_cpu_s + 0.05


def test_sweeps_are_more_frequent_under_load() -> None:
    slots: ConnectionSlots[str] = ConnectionSlots(10, 4, 0)
    assert slots.next_sweep_s() == SWEEP_INTERVAL_S
    for key in "abc":
        add_all(slots, 0.0, key)
        slots.on_request(0.0, key)
    assert slots.next_sweep_s() == PRESSURED_SWEEP_INTERVAL_S


@pytest.mark.parametrize(("descriptors", "rates"), [(96, (20.0, 100.0)), (384, (20.0, 150.0, 600.0))])
def test_single_request_connections_occupy_few_slots_at_any_rate(
    descriptors: int, rates: tuple[float, ...]
) -> None:
    """In simulated time: clients keep their connection open after one request. With a constant idle timeout
    of 2 s, the higher rates would occupy all slots."""
    budget = divide_descriptors(descriptors)
    for rate in rates:
        rng, now, requests, rejected = random.Random(7), 0.0, 0, 0
        slots: ConnectionSlots[int] = ConnectionSlots(
            budget.client_connections, budget.requesting_connections, budget.overflow_connections
        )
        next_sweep = 0.0
        while now < 10.0:
            now += rng.expovariate(rate)
            while next_sweep < now:
                for close in slots.close_expired(next_sweep):
                    if close.reason is not CloseReason.LINGER_TIMEOUT:
                        slots.remove(close.key)  # the client closes its side in response
                next_sweep += slots.next_sweep_s()
            requests += 1
            if slots.requesting_count >= budget.requesting_connections:
                rejected += 1  # no connection is left for this request
                continue
            slots.add(now, requests)
            slots.on_request(now, requests)
            slots.set_state(now, requests, ConnectionState.IDLE_UNUSED)
        assert rejected == 0, f"{rejected} of {requests} at {rate}/s"
        assert math.isclose(requests, 10.0 * rate, rel_tol=0.2)


@pytest.mark.parametrize("state", BLOCKED_STATES)
def test_responses_that_a_slow_client_has_not_read_are_not_dropped_for_a_new_connection(
    state: ConnectionState,
) -> None:
    """Guards against losing served requests, as their client takes seconds to read, for connections that have
    not sent one."""
    slots: ConnectionSlots[str] = ConnectionSlots(3, 3, 2)
    add_all(slots, 0.0, "slow", "once", "partial")
    for key in ("slow", "once"):
        serve_request(slots, 0.0, key)
    slots.set_state(0.0, "slow", state)
    slots.set_state(0.0, "partial", ConnectionState.PARTIAL_COMMAND)
    now = MIN_UNREAD_RESPONSE_S - 0.1
    assert [close.key for close in slots.add(now, "first")] == ["once"]
    slots.set_state(now, "first", ConnectionState.PARTIAL_COMMAND)
    closes = slots.add(now, "second")
    assert [(close.key, close.reason) for close in closes] == [("second", CloseReason.NO_SLOT)]
    closes = slots.add(MIN_UNREAD_RESPONSE_S, "third")
    assert [(close.key, close.reason) for close in closes] == [("slow", CloseReason.UNREAD)]


def test_clients_that_do_not_read_are_evicted_before_idle_ones_short_responses_first() -> None:
    """Write-blocked connections are evicted only after `MIN_WRITE_BLOCKED_S` without progress."""
    slots: ConnectionSlots[str] = ConnectionSlots(4, 3, 2)
    add_all(slots, 0.0, "stream", "once", "short", "late")
    serve_request(slots, 0.0, "once")
    slots.set_state(0.0, "stream", ConnectionState.STREAM_BLOCKED)
    slots.set_state(0.1, "short", ConnectionState.WRITE_BLOCKED)
    slots.set_state(0.5, "late", ConnectionState.WRITE_BLOCKED)
    assert slots.blocked() == ["short", "late", "stream"]
    now = 0.1 + MIN_WRITE_BLOCKED_S
    for new_key, evicted in (("a", "short"), ("b", "stream"), ("c", "once")):
        closes = slots.add(now, new_key)
        assert [close.key for close in closes] == [evicted]
        slots.set_state(now, new_key, ConnectionState.ACTIVE)
