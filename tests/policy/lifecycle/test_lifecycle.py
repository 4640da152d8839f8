"""Phases of a process and places of a second address, by their guarantees."""

from __future__ import annotations

import math

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from glenchute.policy.connections.operator_slots import OperatorSlots
from glenchute.policy.lifecycle import draining as lifecycle
from glenchute.policy.lifecycle.draining import Phase, ProcessLifecycle


class Phases(RuleBasedStateMachine):
    """Orders in any sequence, against a model that knows only which were given."""

    def __init__(self) -> None:
        super().__init__()
        self.life = ProcessLifecycle()
        self.now = 0.0
        self.up = self.leaving = False
        self.lame_since = math.inf

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.3, 0.5, 1.0, 2.0, 4.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def serving(self) -> None:
        self.life.begin_serving(self.now)
        self.up = True

    @precondition(lambda self: self.up or not self.leaving)
    @rule()
    def lame_duck(self) -> None:
        changed = self.life.begin_drain(self.now)
        assert changed == (self.up and not self.leaving and self.lame_since == math.inf)
        if changed:
            self.lame_since = self.now

    @rule()
    def back(self) -> None:
        assert self.life.cancel_drain(self.now) == (self.lame_since < math.inf and not self.leaving)
        if not self.leaving:
            self.lame_since = math.inf

    @precondition(lambda self: self.up)
    @rule(replaced=st.booleans())
    def leave(self, replaced: bool) -> None:
        heard = self.life.closes_after_response(self.now)
        self.life.begin_shutdown(self.now, replaced)
        assert not heard or self.life.closes_after_response(self.now), "a drain that was heard of begins anew"
        self.leaving = True

    @invariant()
    def ready_while_serving_alone(self) -> None:
        assert self.life.is_ready == (self.up and not self.leaving and self.lame_since == math.inf)

    @invariant()
    def idle_goes_within_its_time(self) -> None:
        life, now = self.life, self.now
        if life.closes_after_response(now):
            assert life.is_closing_connections and life.idle_limit_s(now) <= lifecycle.INITIAL_IDLE_LIMIT_S
        else:
            assert life.idle_limit_s(now) == math.inf
        if (
            life.is_closing_connections
            and now - life.phase_started_at >= lifecycle.SHUTDOWN_ACCEPT_S + lifecycle.IDLE_CLOSE_PERIOD_S
        ):
            assert life.idle_limit_s(now) == 0.0

    @invariant()
    def late_requests_of_a_drain_are_turned_away(self) -> None:
        if not self.leaving and self.lame_since < math.inf:
            assert self.life.admits_requests(self.now) == (
                self.now - self.lame_since < lifecycle.DRAIN_ADMISSION_S
            )
        else:
            assert self.life.admits_requests(self.now)


Phases.TestCase.settings = settings(max_examples=60, stateful_step_count=30, deadline=None, derandomize=True)
TestPhases = Phases.TestCase


class Crowded(RuleBasedStateMachine):
    """Callers that come, finish, or say nothing."""

    def __init__(self) -> None:
        super().__init__()
        self.callers: OperatorSlots[int] = OperatorSlots(3, 2.0)
        self.now, self.serial = 0.0, 0
        self.came: dict[int, float] = {}

    @rule()
    def comes(self) -> None:
        self.serial += 1
        ended = self.callers.add(self.now, self.serial)
        self.came[self.serial] = self.now
        assert self.serial not in ended
        for key in ended:
            assert self.came.pop(key) <= min(self.came.values()), "not the oldest"

    @rule()
    def finishes(self) -> None:
        if self.came:
            key = max(self.came)
            self.callers.remove(key)
            del self.came[key]

    @rule(seconds=st.sampled_from([0.1, 0.7, 2.5]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for key in self.callers.remove_expired(self.now):
            assert self.now - self.came.pop(key) >= 2.0

    @invariant()
    def bounded(self) -> None:
        assert set(self.callers.opened_at) == set(self.came) and len(self.came) <= 3
        assert all(self.now - at < 2.0 or at == self.now for at in self.came.values())


Crowded.TestCase.settings = settings(max_examples=40, stateful_step_count=30, deadline=None, derandomize=True)
TestCrowded = Crowded.TestCase


def test_a_drain_before_the_start_is_no_order() -> None:
    life = ProcessLifecycle()
    assert not life.begin_drain(0.0) and life.phase is Phase.STARTING
    life.begin_serving(1.0)
    assert life.is_ready


def test_a_replaced_process_closes_at_once_and_another_waits_for_the_front() -> None:
    for replaced, after in ((True, 0.0), (False, lifecycle.SHUTDOWN_ACCEPT_S)):
        life = ProcessLifecycle()
        life.begin_serving(0.0)
        life.begin_shutdown(5.0, replaced)
        assert life.closes_after_response(5.0 + after) and (
            not after or not life.closes_after_response(5.0 + after / 2)
        )
