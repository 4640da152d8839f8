"""The guarantees of the phases of a process."""

from __future__ import annotations

import math

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from glenchute.policy.lifecycle import draining
from glenchute.policy.lifecycle.draining import Phase, ProcessLifecycle


class LifecycleMachine(RuleBasedStateMachine):
    """Requests transitions in any order and compares with a model that records only the requests."""

    def __init__(self) -> None:
        super().__init__()
        self.lifecycle = ProcessLifecycle()
        self.now = 0.0
        self.is_serving = self.is_shutting_down = self.has_ended_admission = False
        self.drain_started_at = math.inf

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.3, 0.5, 1.0, 2.0, 4.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def begin_serving(self) -> None:
        self.lifecycle.begin_serving(self.now)
        self.is_serving = True

    @precondition(lambda self: self.is_serving or not self.is_shutting_down)
    @rule()
    def begin_drain(self) -> None:
        changed = self.lifecycle.begin_drain(self.now)
        assert changed == (
            self.is_serving and not self.is_shutting_down and self.drain_started_at == math.inf
        )
        if changed:
            self.drain_started_at = self.now

    @rule()
    def cancel_drain(self) -> None:
        assert self.lifecycle.cancel_drain(self.now) == (
            self.drain_started_at < math.inf and not self.is_shutting_down
        )
        if not self.is_shutting_down:
            self.drain_started_at = math.inf

    @precondition(lambda self: self.is_serving)
    @rule(replaced=st.booleans())
    def begin_shutdown(self, replaced: bool) -> None:
        was_closing = self.lifecycle.closes_after_response(self.now)
        self.lifecycle.begin_shutdown(self.now, replaced)
        assert not was_closing or self.lifecycle.closes_after_response(self.now), (
            "closing connections is interrupted"
        )
        self.is_shutting_down = True

    @precondition(lambda self: self.is_shutting_down)
    @rule()
    def end_admission(self) -> None:
        self.lifecycle.end_admission()
        self.has_ended_admission = True

    @invariant()
    def requests_after_the_end_of_admission_are_rejected(self) -> None:
        if self.has_ended_admission:
            assert not self.lifecycle.admits_requests(self.now)

    @invariant()
    def is_ready_only_while_serving(self) -> None:
        assert self.lifecycle.is_ready == (
            self.is_serving and not self.is_shutting_down and self.drain_started_at == math.inf
        )

    @invariant()
    def idle_limit_reaches_zero_in_time(self) -> None:
        lifecycle, now = self.lifecycle, self.now
        if lifecycle.closes_after_response(now):
            assert (
                lifecycle.is_closing_connections
                and lifecycle.idle_limit_s(now) <= draining.INITIAL_IDLE_LIMIT_S
            )
        else:
            assert lifecycle.idle_limit_s(now) == math.inf
        if (
            lifecycle.is_closing_connections
            and now - lifecycle.phase_started_at >= draining.SHUTDOWN_ACCEPT_S + draining.IDLE_CLOSE_PERIOD_S
        ):
            assert lifecycle.idle_limit_s(now) == 0.0

    @invariant()
    def late_requests_of_a_drain_are_rejected(self) -> None:
        if self.has_ended_admission:
            return
        if not self.is_shutting_down and self.drain_started_at < math.inf:
            assert self.lifecycle.admits_requests(self.now) == (
                self.now - self.drain_started_at < draining.DRAIN_ADMISSION_S
            )
        else:
            assert self.lifecycle.admits_requests(self.now)


LifecycleMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestLifecycle = LifecycleMachine.TestCase


def test_a_drain_before_the_start_has_no_effect() -> None:
    lifecycle = ProcessLifecycle()
    assert not lifecycle.begin_drain(0.0) and lifecycle.phase is Phase.STARTING
    lifecycle.begin_serving(1.0)
    assert lifecycle.is_ready


def test_a_replaced_process_closes_at_once_and_any_other_after_the_accept_period() -> None:
    for replaced, delay_s in ((True, 0.0), (False, draining.SHUTDOWN_ACCEPT_S)):
        lifecycle = ProcessLifecycle()
        lifecycle.begin_serving(0.0)
        lifecycle.begin_shutdown(5.0, replaced)
        assert lifecycle.closes_after_response(5.0 + delay_s) and (
            not delay_s or not lifecycle.closes_after_response(5.0 + delay_s / 2)
        )
