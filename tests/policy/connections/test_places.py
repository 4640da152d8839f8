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
    CHECK_S,
    FIRST_COMMAND_S,
    IDLE_S,
    LINGER_S,
    PARTIAL_S,
    SILENT_S,
    STUCK_S,
    Close,
    Places,
    Reason,
    State,
    bucket,
    budget,
)

CLEAN = (Reason.IDLE, Reason.SILENT, Reason.ROOM, Reason.PARTIAL, Reason.FULL)


def idle(places: Places[str], now: float, key: str) -> None:
    """One request, answered at once."""
    places.request(now, key)
    places.changed(now, key, State.BARE)


def opened(places: Places[str], now: float, *keys: str) -> None:
    for key in keys:
        assert places.accepted(now, key) == []


def reused(places: Places[str], now: float, key: str, pause: float, times: int = 4) -> float:
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
        self.places: Places[int] = Places(most, requesting, spare)
        self.now, self.serial = 100.0, 0
        self.state: dict[int, State] = {}
        self.born: dict[int, float] = {}
        self.entered: dict[int, float] = {}
        self.carried: set[int] = set()
        self.rested: set[int] = set()  # had their last answer, and no request since
        self.back: set[int] = set()

    def take(self, closes: list[Close[int]], newcomer: int | None = None) -> None:
        """Checks what is to end against the truth, and ends it."""
        for close in closes:
            key, state = close.key, self.state[close.key]
            assert state is not State.BUSY, "a request was open"
            if close.reason is Reason.IDLE:
                assert state in (State.BARE, State.ONCE, State.REUSED)
            if close.reason in (Reason.ROOM, Reason.SILENT) and state is State.FRESH:
                assert self.now - self.born[key] >= FIRST_COMMAND_S
            if close.reason in (Reason.FULL,):
                assert key == newcomer
                held = [k for k, s in self.state.items() if s is not State.LEAVING and k != key]
                assert len(held) >= self.places.most
            if close.reason in CLEAN:
                self.state[key] = State.LEAVING
                self.entered[key] = self.now
            else:
                assert state in (State.LEAVING, State.STUCK)
                self.forget(key)

    def forget(self, key: int) -> None:
        del self.state[key], self.born[key], self.entered[key]

    def pick(self, data: st.DataObject, *states: State) -> int:
        return data.draw(st.sampled_from(sorted(k for k, s in self.state.items() if s in states)))

    def has(self, *states: State) -> bool:
        return any(s in states for s in self.state.values())

    @rule()
    def accept(self) -> None:
        self.serial += 1
        self.state[self.serial], self.born[self.serial] = State.FRESH, self.now
        self.entered[self.serial] = self.now
        self.take(self.places.accepted(self.now, self.serial), self.serial)

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.take(self.places.expired(self.now))

    @precondition(lambda self: self.has(*[s for s in State if s is not State.LEAVING]))
    @rule(data=st.data())
    def request(self, data: st.DataObject) -> None:
        key = self.pick(data, *[s for s in State if s is not State.LEAVING])
        if key in self.rested:
            self.back.add(key)
            self.rested.discard(key)
        self.carried.add(key)
        self.state[key], self.entered[key] = State.BUSY, self.now
        self.places.request(self.now, key)

    @precondition(lambda self: self.has(*[s for s in State if s is not State.LEAVING]))
    @rule(data=st.data(), to=st.sampled_from([State.BARE, State.PARTIAL, State.STUCK, State.LEAVING]))
    def change(self, data: st.DataObject, to: State) -> None:
        key = self.pick(data, *[s for s in State if s is not State.LEAVING])
        self.places.changed(self.now, key, to)
        if to is State.BARE:
            if key in self.carried:
                self.rested.add(key)
            to = State.REUSED if key in self.back else State.ONCE if key in self.carried else State.BARE
        if to is not self.state[key]:
            self.state[key], self.entered[key] = to, self.now

    @precondition(lambda self: self.state)
    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        key = self.pick(data, *State)
        self.places.left(key)
        self.forget(key)

    @invariant()
    def counts_are_true(self) -> None:
        if not hasattr(self, "places"):
            return
        places, limit = self.places, self.places.most
        assert set(places) == set(self.state)
        assert {k: p.state for k, p in places.all.items()} == self.state
        assert places.held() <= limit and len(places) <= limit + places.spare
        alive = [k for k, s in self.state.items() if s is not State.LEAVING]
        assert places.requesting == len(self.carried & set(alive))
        queued = sum(len(q) for q in places.queues.values()) + sum(len(q) for q in places.reused)
        assert queued == len(self.state)
        for queue in (*places.queues.values(), *places.reused):
            times = [place.since for place in queue.values()]
            assert times == sorted(times)

    @invariant()
    def every_wait_ends(self) -> None:
        """Right after a check nothing but open requests stands past the longest time of its state."""
        if not hasattr(self, "places"):
            return
        self.take(self.places.expired(self.now))
        most = {State.FRESH: SILENT_S, State.PARTIAL: PARTIAL_S, State.STUCK: STUCK_S}
        most[State.LEAVING] = LINGER_S
        for key, state in self.state.items():
            if state is not State.BUSY:
                assert self.now - self.entered[key] <= most.get(state, IDLE_S) + 1e-9


@pytest.mark.parametrize(
    "between", [(), (State.PARTIAL,), (State.STUCK, State.PARTIAL), (State.STUCK, State.BARE)]
)
def test_a_request_after_an_answer_is_a_return_whatever_came_between(between: tuple[State, ...]) -> None:
    """Half of its command, or a time in which it did not read, makes it no less of one."""
    places: Places[str] = Places(4, 3, 2)
    opened(places, 0.0, "back")
    idle(places, 0.0, "back")
    assert places.all["back"].reuses == 0
    for state in between:
        places.changed(1.0, "back", state)
    idle(places, 2.0, "back")
    assert places.all["back"].state is State.REUSED


PlacesMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestPlaces = PlacesMachine.TestCase


@pytest.mark.parametrize("pause", [0.001, 0.02, 0.5, 3.0])
@pytest.mark.parametrize("held", range(1, 30, 4))
def test_a_reused_connection_outlives_one_that_asked_once(pause: float, held: int) -> None:
    """Both are idle from the same moment, at every fill and for every pause."""
    places: Places[str] = Places(48, 32, 4)
    now = reused(places, 0.0, "back", pause)
    opened(places, now, "once", *[f"busy{i}" for i in range(held)])
    for i in range(held):
        places.request(now, f"busy{i}")
    idle(places, now, "once")
    places.changed(now, "back", State.BUSY)
    places.changed(now, "back", State.BARE)
    order: list[str] = []
    while len(order) < 2:
        now += 0.001
        order += [close.key for close in places.expired(now) if close.reason is Reason.IDLE]
        assert now < 100.0
    assert order == ["once", "back"]


def test_the_allowance_falls_smoothly_to_nothing() -> None:
    """No step larger than one place is worth, from generous to none."""
    places: Places[str] = Places(192, 128, 16)
    now = reused(places, 0.0, "back", 0.01)
    opened(places, now, "once")
    idle(places, now, "once")
    once, back = [], []
    for i in range(126):
        once.append(places.allowance(places.all["once"]))
        back.append(places.allowance(places.all["back"]))
        opened(places, now, f"b{i}")
        places.request(now, f"b{i}")
    assert once[0] > 0.9 * IDLE_S and places.allowance(places.all["once"]) == 0.0
    for row in (once, back):
        assert all(a >= b >= a - 3 * IDLE_S / 128 - 1e-9 for a, b in pairwise(row))
    assert all(a <= b for a, b in zip(once, back, strict=True))


def test_no_more_go_than_the_pressure_asks_for() -> None:
    """With every place for requests taken by connections that all were used a moment ago, a few go."""
    places: Places[str] = Places(192, 128, 16)
    for i in range(128):
        reused(places, 0.001 * i / 128, f"c{i}", 0.005, times=4)
    closes = places.expired(0.025)
    assert 1 <= len(closes) <= 4 and {close.reason for close in closes} == {Reason.IDLE}


def test_room_is_made_by_bare_then_silent_then_once_then_the_longest_pause() -> None:
    places: Places[str] = Places(5, 5, 20)
    reused(places, 0.0, "slow", 1.0)
    reused(places, 0.0, "fast", 0.01)
    opened(places, 4.0, "silent", "pinged", "once")
    places.changed(4.0, "pinged", State.BARE)
    idle(places, 4.0, "once")
    for key in ("slow", "fast"):
        places.changed(4.2, key, State.BUSY)
        places.changed(4.2, key, State.BARE)
    gone = []
    for i in range(6):
        (close,) = places.accepted(4.2, f"new{i}")
        gone.append((close.key, close.reason))
        if close.reason is Reason.ROOM:
            places.request(4.2, f"new{i}")
    room = [(key, Reason.ROOM) for key in ("pinged", "silent", "once", "slow", "fast")]
    assert gone == [*room, ("new5", Reason.FULL)]


def test_a_ping_renews_nothing() -> None:
    places: Places[str] = Places(100, 100, 0)
    opened(places, 0.0, "asked", "pinged")
    idle(places, 0.0, "asked")
    places.changed(0.0, "pinged", State.BARE)
    for tenth in range(1, 40):
        places.changed(tenth / 10, "asked", State.BARE)
        places.changed(tenth / 10, "pinged", State.BARE)
    assert {close.key for close in places.expired(5.0)} == {"asked", "pinged"}


def test_a_request_in_two_parts_counts_as_a_return() -> None:
    places: Places[str] = Places(10, 10, 0)
    opened(places, 0.0, "c")
    idle(places, 0.0, "c")
    places.changed(1.0, "c", State.PARTIAL)
    idle(places, 1.5, "c")
    assert places.all["c"].state is State.REUSED and places.all["c"].gap == 1.5


def test_pauses_fall_into_buckets_of_doubling_length() -> None:
    assert [bucket(s) for s in (0.0, 0.0009, 0.001, 0.002, 0.0039, 0.004, 1.0, 4.1, 1e9)] == [
        0, 0, 1, 2, 2, 3, 10, 13, 13,
    ]  # fmt: skip


def test_one_that_was_to_go_and_has_bytes_waiting_stays() -> None:
    places: Places[str] = Places(1, 1, 1)
    opened(places, 0.0, "old")
    idle(places, 0.0, "old")
    assert places.accepted(1.0, "new") == [Close("old", Reason.ROOM)]
    places.revived(1.0, "old")
    assert places.room(1.0, "new") == [Close("new", Reason.FULL)]
    assert places.requesting == 1 and places.held() == 1


def test_a_hundred_thousand_that_expire_in_one_moment_cost_no_more_each() -> None:
    """Queues are emptied in time linear in what goes: the ratio of two sizes, whatever the machine."""

    def spent(size: int) -> float:
        places: Places[int] = Places(2 * size, 2 * size, 0)
        for key in range(size):
            places.accepted(0.0, key)
            places.request(0.0, key)
            places.changed(0.0, key, State.BARE)
        began = time.process_time()
        assert len(places.expired(1000.0)) == size
        return time.process_time() - began

    small = min(spent(10_000) for _ in range(3))
    assert spent(100_000) < 10 * 4 * small + 0.05


def test_the_check_comes_sooner_under_pressure() -> None:
    places: Places[str] = Places(10, 4, 0)
    assert places.next_check() == CHECK_S[1]
    for key in "abc":
        opened(places, 0.0, key)
        places.request(0.0, key)
    assert places.next_check() == CHECK_S[0]


@pytest.mark.parametrize(("sockets", "rates"), [(96, (20.0, 100.0)), (384, (20.0, 150.0, 600.0))])
def test_one_time_askers_hold_few_places_at_any_rate(sockets: int, rates: tuple[float, ...]) -> None:
    """By a played clock: askers that keep their connection, at rates that a constant of 2 s can't bear."""
    made = budget(sockets)
    for rate in rates:
        rng, now, asked, turned = random.Random(7), 0.0, 0, 0
        places: Places[int] = Places(made.clients, made.requesting, made.spare)
        check = 0.0
        while now < 10.0:
            now += rng.expovariate(rate)
            while check < now:
                for close in places.expired(check):
                    if close.reason is not Reason.LINGERED:
                        places.left(close.key)  # the client sees the end and closes
                check += places.next_check()
            asked += 1
            if places.requesting >= made.requesting:
                turned += 1  # the client has no connection left to ask on
                continue
            places.accepted(now, asked)
            places.request(now, asked)
            places.changed(now, asked, State.BARE)
        assert turned == 0, f"{turned} of {asked} at {rate}/s"
        assert math.isclose(asked, 10.0 * rate, rel_tol=0.2)
