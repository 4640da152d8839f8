"""Who keeps a place, who makes room: property tests of the decider, without sockets or a clock of its own."""

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
    LINGER_TIMEOUT_S,
    MAX_FIRST_COMMAND_S,
    MAX_IDLE_S,
    MIN_FIRST_COMMAND_S,
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

CLEAN = (
    CloseReason.IDLE,
    CloseReason.NO_COMMAND,
    CloseReason.EVICTED,
    CloseReason.PARTIAL_COMMAND,
    CloseReason.NO_SLOT,
)


def idle(places: ConnectionSlots[str], now: float, key: str) -> None:
    """One request, answered at once."""
    places.on_request(now, key)
    places.set_state(now, key, ConnectionState.IDLE_UNUSED)


def opened(places: ConnectionSlots[str], now: float, *keys: str) -> None:
    for key in keys:
        assert places.add(now, key) == []


def reused(places: ConnectionSlots[str], now: float, key: str, pause: float, times: int = 4) -> float:
    """Opens a connection and uses it again and again; when it has its last answer."""
    opened(places, now, key)
    for _ in range(times + 1):
        idle(places, now, key)
        now += pause
    return now - pause


class PlacesMachine(RuleBasedStateMachine):
    """Any order of events; the truth is kept beside the decider."""

    @initialize(most=st.integers(1, 6), requesting=st.integers(1, 6), spare=st.integers(0, 3))
    def begin(self, most: int, requesting: int, spare: int) -> None:
        self.places: ConnectionSlots[int] = ConnectionSlots(most, requesting, spare)
        self.now, self.serial = 100.0, 0
        self.state: dict[int, ConnectionState] = {}
        self.born: dict[int, float] = {}
        self.entered: dict[int, float] = {}
        self.carried: set[int] = set()
        self.rested: set[int] = set()  # had their last answer, and no request since
        self.back: set[int] = set()

    def take(self, closes: list[CloseConnection[int]], newcomer: int | None = None) -> None:
        """Checks what is to end against the truth, and ends it."""
        for close in closes:
            key, state = close.key, self.state[close.key]
            assert state is not ConnectionState.ACTIVE, "a request was open"
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
                assert self.now - self.born[key] >= MIN_FIRST_COMMAND_S
            if close.reason in (CloseReason.NO_SLOT,):
                assert key == newcomer
                held = [k for k, s in self.state.items() if s is not ConnectionState.LINGERING and k != key]
                assert len(held) >= self.places.max_connections
            if close.reason in CLEAN:
                self.state[key] = ConnectionState.LINGERING
                self.entered[key] = self.now
            else:
                assert state in (ConnectionState.LINGERING, ConnectionState.WRITE_BLOCKED)
                self.forget(key)

    def forget(self, key: int) -> None:
        del self.state[key], self.born[key], self.entered[key]

    def pick(self, data: st.DataObject, *states: ConnectionState) -> int:
        return data.draw(st.sampled_from(sorted(k for k, s in self.state.items() if s in states)))

    def has(self, *states: ConnectionState) -> bool:
        return any(s in states for s in self.state.values())

    @rule()
    def accept(self) -> None:
        self.serial += 1
        self.state[self.serial], self.born[self.serial] = ConnectionState.AWAITING_COMMAND, self.now
        self.entered[self.serial] = self.now
        self.take(self.places.add(self.now, self.serial), self.serial)

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.take(self.places.close_expired(self.now))

    @precondition(lambda self: self.has(*[s for s in ConnectionState if s is not ConnectionState.LINGERING]))
    @rule(data=st.data())
    def request(self, data: st.DataObject) -> None:
        key = self.pick(data, *[s for s in ConnectionState if s is not ConnectionState.LINGERING])
        if key in self.rested:
            self.back.add(key)
            self.rested.discard(key)
        self.carried.add(key)
        self.state[key], self.entered[key] = ConnectionState.ACTIVE, self.now
        self.places.on_request(self.now, key)

    @precondition(lambda self: self.has(*[s for s in ConnectionState if s is not ConnectionState.LINGERING]))
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
    def change(self, data: st.DataObject, to: ConnectionState) -> None:
        key = self.pick(data, *[s for s in ConnectionState if s is not ConnectionState.LINGERING])
        self.places.set_state(self.now, key, to)
        if to is ConnectionState.IDLE_UNUSED:
            if key in self.carried:
                self.rested.add(key)
            to = (
                ConnectionState.IDLE_REUSED
                if key in self.back
                else ConnectionState.IDLE_USED_ONCE
                if key in self.carried
                else ConnectionState.IDLE_UNUSED
            )
        if to is not self.state[key]:
            self.state[key], self.entered[key] = to, self.now

    @precondition(lambda self: self.state)
    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        key = self.pick(data, *ConnectionState)
        self.places.remove(key)
        self.forget(key)

    @invariant()
    def counts_are_true(self) -> None:
        if not hasattr(self, "places"):
            return
        places, limit = self.places, self.places.max_connections
        assert set(places) == set(self.state)
        assert {k: p.state for k, p in places.slots.items()} == self.state
        assert places.connected_count() <= limit and len(places) <= limit + places.max_overflow
        alive = [k for k, s in self.state.items() if s is not ConnectionState.LINGERING]
        assert places.requesting_count == len(self.carried & set(alive))
        queued = sum(len(q) for q in places.slots_by_state.values()) + sum(
            len(q) for q in places.reused_by_gap
        )
        assert queued == len(self.state)
        for queue in (*places.slots_by_state.values(), *places.reused_by_gap):
            times = [place.state_entered_s for place in queue.values()]
            assert times == sorted(times)

    @invariant()
    def every_wait_ends(self) -> None:
        """Right after a check nothing but open requests stands past the longest time of its state."""
        if not hasattr(self, "places"):
            return
        self.take(self.places.close_expired(self.now))
        most = {
            ConnectionState.AWAITING_COMMAND: MAX_FIRST_COMMAND_S,
            ConnectionState.PARTIAL_COMMAND: PARTIAL_COMMAND_TIMEOUT_S,
            ConnectionState.WRITE_BLOCKED: WRITE_BLOCKED_TIMEOUT_S,
        }
        most[ConnectionState.LINGERING] = LINGER_TIMEOUT_S
        for key, state in self.state.items():
            if state is not ConnectionState.ACTIVE:
                assert self.now - self.entered[key] <= most.get(state, MAX_IDLE_S) + 1e-9


@pytest.mark.parametrize(
    "between",
    [
        (),
        (ConnectionState.PARTIAL_COMMAND,),
        (ConnectionState.WRITE_BLOCKED, ConnectionState.PARTIAL_COMMAND),
        (ConnectionState.WRITE_BLOCKED, ConnectionState.IDLE_UNUSED),
    ],
)
def test_a_request_after_an_answer_is_a_return_whatever_came_between(
    between: tuple[ConnectionState, ...],
) -> None:
    """Half of its command, or a time in which it did not read, makes it no less of one."""
    places: ConnectionSlots[str] = ConnectionSlots(4, 3, 2)
    opened(places, 0.0, "back")
    idle(places, 0.0, "back")
    assert places.slots["back"].reuse_count == 0
    for state in between:
        places.set_state(1.0, "back", state)
    idle(places, 2.0, "back")
    assert places.slots["back"].state is ConnectionState.IDLE_REUSED


PlacesMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestPlaces = PlacesMachine.TestCase


@pytest.mark.parametrize("pause", [0.001, 0.02, 0.5, 3.0])
@pytest.mark.parametrize("held", range(1, 30, 4))
def test_a_reused_connection_outlives_one_that_asked_once(pause: float, held: int) -> None:
    """Both are idle from the same moment, at every fill and for every pause."""
    places: ConnectionSlots[str] = ConnectionSlots(48, 32, 4)
    now = reused(places, 0.0, "back", pause)
    opened(places, now, "once", *[f"busy{i}" for i in range(held)])
    for i in range(held):
        places.on_request(now, f"busy{i}")
    idle(places, now, "once")
    places.set_state(now, "back", ConnectionState.ACTIVE)
    places.set_state(now, "back", ConnectionState.IDLE_UNUSED)
    order: list[str] = []
    while len(order) < 2:
        now += 0.001
        order += [close.key for close in places.close_expired(now) if close.reason is CloseReason.IDLE]
        assert now < 100.0
    assert order == ["once", "back"]


def test_the_allowance_falls_smoothly_to_nothing() -> None:
    """No step larger than one place is worth, from generous to none."""
    places: ConnectionSlots[str] = ConnectionSlots(192, 128, 16)
    now = reused(places, 0.0, "back", 0.01)
    opened(places, now, "once")
    idle(places, now, "once")
    once, back = [], []
    for i in range(126):
        once.append(places.allowance_s(places.slots["once"]))
        back.append(places.allowance_s(places.slots["back"]))
        opened(places, now, f"b{i}")
        places.on_request(now, f"b{i}")
    assert once[0] > 0.9 * MAX_IDLE_S and places.allowance_s(places.slots["once"]) == 0.0
    for row in (once, back):
        assert all(a >= b >= a - 3 * MAX_IDLE_S / 128 - 1e-9 for a, b in pairwise(row))
    assert all(a <= b for a, b in zip(once, back, strict=True))


def test_no_more_go_than_the_pressure_asks_for() -> None:
    """With every place for requests taken by connections that all were used a moment ago, a few go."""
    places: ConnectionSlots[str] = ConnectionSlots(192, 128, 16)
    for i in range(128):
        reused(places, 0.001 * i / 128, f"c{i}", 0.005, times=4)
    closes = places.close_expired(0.025)
    assert 1 <= len(closes) <= 4 and {close.reason for close in closes} == {CloseReason.IDLE}


def test_room_is_made_by_bare_then_silent_then_once_then_the_longest_pause() -> None:
    places: ConnectionSlots[str] = ConnectionSlots(5, 5, 20)
    reused(places, 0.0, "slow", 1.0)
    reused(places, 0.0, "fast", 0.01)
    opened(places, 4.0, "silent", "pinged", "once")
    places.set_state(4.0, "pinged", ConnectionState.IDLE_UNUSED)
    idle(places, 4.0, "once")
    for key in ("slow", "fast"):
        places.set_state(4.2, key, ConnectionState.ACTIVE)
        places.set_state(4.2, key, ConnectionState.IDLE_UNUSED)
    gone = []
    for i in range(6):
        (close,) = places.add(4.2, f"new{i}")
        gone.append((close.key, close.reason))
        if close.reason is CloseReason.EVICTED:
            places.on_request(4.2, f"new{i}")
    room = [(key, CloseReason.EVICTED) for key in ("pinged", "silent", "once", "slow", "fast")]
    assert gone == [*room, ("new5", CloseReason.NO_SLOT)]


def test_a_ping_renews_nothing() -> None:
    places: ConnectionSlots[str] = ConnectionSlots(100, 100, 0)
    opened(places, 0.0, "asked", "pinged")
    idle(places, 0.0, "asked")
    places.set_state(0.0, "pinged", ConnectionState.IDLE_UNUSED)
    for tenth in range(1, 40):
        places.set_state(tenth / 10, "asked", ConnectionState.IDLE_UNUSED)
        places.set_state(tenth / 10, "pinged", ConnectionState.IDLE_UNUSED)
    assert {close.key for close in places.close_expired(5.0)} == {"asked", "pinged"}


def test_a_request_in_two_parts_counts_as_a_return() -> None:
    places: ConnectionSlots[str] = ConnectionSlots(10, 10, 0)
    opened(places, 0.0, "c")
    idle(places, 0.0, "c")
    places.set_state(1.0, "c", ConnectionState.PARTIAL_COMMAND)
    idle(places, 1.5, "c")
    assert places.slots["c"].state is ConnectionState.IDLE_REUSED and places.slots["c"].mean_gap_s == 1.5


def test_pauses_fall_into_buckets_of_doubling_length() -> None:
    assert [idle_gap_bucket(s) for s in (0.0, 0.0009, 0.001, 0.002, 0.0039, 0.004, 1.0, 4.1, 1e9)] == [
        0, 0, 1, 2, 2, 3, 10, 13, 13,
    ]  # fmt: skip


def test_one_that_was_to_go_and_has_bytes_waiting_stays() -> None:
    places: ConnectionSlots[str] = ConnectionSlots(1, 1, 1)
    opened(places, 0.0, "old")
    idle(places, 0.0, "old")
    assert places.add(1.0, "new") == [CloseConnection("old", CloseReason.EVICTED)]
    places.revive(1.0, "old")
    assert places.evict_excess(1.0, "new") == [CloseConnection("new", CloseReason.NO_SLOT)]
    assert places.requesting_count == 1 and places.connected_count() == 1


def test_a_hundred_thousand_that_expire_in_one_moment_cost_no_more_each() -> None:
    """Queues are emptied in time linear in what goes: the ratio of two sizes, whatever the machine."""

    def spent(size: int) -> float:
        places: ConnectionSlots[int] = ConnectionSlots(2 * size, 2 * size, 0)
        for key in range(size):
            places.add(0.0, key)
            places.on_request(0.0, key)
            places.set_state(0.0, key, ConnectionState.IDLE_UNUSED)
        began = time.process_time()
        assert len(places.close_expired(1000.0)) == size
        return time.process_time() - began

    small = min(spent(10_000) for _ in range(3))
    assert spent(100_000) < 10 * 4 * small + 0.05


def test_the_check_comes_sooner_under_pressure() -> None:
    places: ConnectionSlots[str] = ConnectionSlots(10, 4, 0)
    assert places.next_sweep_s() == SWEEP_INTERVAL_S
    for key in "abc":
        opened(places, 0.0, key)
        places.on_request(0.0, key)
    assert places.next_sweep_s() == PRESSURED_SWEEP_INTERVAL_S


@pytest.mark.parametrize(("sockets", "rates"), [(96, (20.0, 100.0)), (384, (20.0, 150.0, 600.0))])
def test_one_time_askers_hold_few_places_at_any_rate(sockets: int, rates: tuple[float, ...]) -> None:
    """By a played clock: askers that keep their connection, at rates that a constant of 2 s can't bear."""
    made = divide_descriptors(sockets)
    for rate in rates:
        rng, now, asked, turned = random.Random(7), 0.0, 0, 0
        places: ConnectionSlots[int] = ConnectionSlots(
            made.client_connections, made.requesting_connections, made.overflow_connections
        )
        check = 0.0
        while now < 10.0:
            now += rng.expovariate(rate)
            while check < now:
                for close in places.close_expired(check):
                    if close.reason is not CloseReason.LINGER_TIMEOUT:
                        places.remove(close.key)  # the client sees the end and closes
                check += places.next_sweep_s()
            asked += 1
            if places.requesting_count >= made.requesting_connections:
                turned += 1  # the client has no connection left to ask on
                continue
            places.add(now, asked)
            places.on_request(now, asked)
            places.set_state(now, asked, ConnectionState.IDLE_UNUSED)
        assert turned == 0, f"{turned} of {asked} at {rate}/s"
        assert math.isclose(asked, 10.0 * rate, rel_tol=0.2)
