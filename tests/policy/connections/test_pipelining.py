"""Tests of the pipeline scheduler: its invariants over generated event sequences, and examples."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from glenchute.policy.connections.class_compatibility import ClassCompatibility, Compatibility
from glenchute.policy.connections.depth_limit import SAMPLES_PER_UPDATE, DepthLimit
from glenchute.policy.connections.pipeline_types import (
    AbortConnection,
    AbortReason,
    HedgeAttempt,
    PipelineRules,
    PlacementKind,
    PlacementRequest,
    StopJoining,
    placement_request,
)
from glenchute.policy.connections.pipelining import PipelineScheduler
from glenchute.policy.connections.service_times import UPPER_EDGES_MS, LatencyHistogram, ServiceTimes
from glenchute.policy.settings import Idempotency, IdempotencyScope, RequestClass

READ = RequestClass("read", 1000.0, 1.0, Idempotency.IDEMPOTENT)
ORDER = RequestClass("order", 1500.0, 2.0, Idempotency.WITH_KEY, IdempotencyScope.ALL, 800.0)
CHARGE = RequestClass("charge", 2500.0, 2.0, Idempotency.NON_IDEMPOTENT)
CLASSES = {cls.name: cls for cls in (READ, ORDER, CHARGE)}
RULES = PipelineRules(max_depth=4, max_queued_per_server=6, settle_ms=0.0)


def scheduler_with_samples(
    rules: PipelineRules = RULES, follows_non_idempotent: bool = False, mean_ms: float = 50.0
) -> PipelineScheduler:
    """Returns a scheduler with enough service time samples of each class."""
    scheduler = PipelineScheduler(
        rules, ClassCompatibility(CLASSES.values(), ("read", "order"), follows_non_idempotent)
    )
    for name in CLASSES:
        for share in range(100):
            scheduler.times.add(0.0, name, "n", mean_ms * (0.5 + share / 100.0), False)
    scheduler.server("n").depth_limit.limit = float(rules.max_depth)
    return scheduler


def make_request(
    now: float,
    name: str = "read",
    timeout_ms: float = 900.0,
    time_left_ms: float = 2000.0,
    may_retry: bool = True,
) -> PlacementRequest:
    return placement_request(
        CLASSES[name],
        50.0,
        now,
        now + min(timeout_ms, time_left_ms),
        now,
        now + time_left_ms,
        math.inf,
        may_retry,
    )


def can_open() -> bool:
    return True


def cannot_open() -> bool:
    return False


@dataclass
class InFlight:
    """An attempt in the model of the test."""

    request: PlacementRequest
    connection_id: int
    hold_bound_ms: float
    is_non_idempotent: bool


class SchedulerMachine(RuleBasedStateMachine):
    """Attempts are placed while connections are established, answer, stall, break and drain; the invariants
    hold at each step."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.last_attempt_id = 0
        self.pipeline_rules = RULES
        self.in_flight: dict[int, InFlight] = {}
        self.connections: dict[int, list[int]] = {}
        self.opening: set[int] = set()
        self.finished: set[int] = set()

    @initialize(depth=st.integers(2, 6), max_queued=st.integers(1, 8), may_hedge=st.booleans(),
                follows_non_idempotent=st.booleans(), settle=st.sampled_from([0.0, 30.0]))  # fmt: skip
    def begin(
        self, depth: int, max_queued: int, may_hedge: bool, follows_non_idempotent: bool, settle: float
    ) -> None:
        self.pipeline_rules = PipelineRules(
            max_depth=depth, max_queued_per_server=max_queued, may_hedge=may_hedge, settle_ms=settle
        )
        self.scheduler = scheduler_with_samples(self.pipeline_rules, follows_non_idempotent)
        for name in ("n", "m"):
            for _ in range(100):  # replies to queued attempts in time raise the depth limit
                self.scheduler.server(name).depth_limit.on_reply(0.8, True)

    def finish(self, attempt_id: int) -> None:
        assert attempt_id not in self.finished, "the attempt ended twice"
        self.finished.add(attempt_id)
        del self.in_flight[attempt_id]

    def close(self, connection_id: int, has_failed: bool) -> None:
        for attempt_id in self.connections.pop(connection_id):
            self.finish(attempt_id)
        self.opening.discard(connection_id)
        self.scheduler.on_closed(connection_id, has_failed)

    @rule(name=st.sampled_from(["read", "read", "order", "charge"]), server=st.sampled_from("nm"),
          timeout_ms=st.integers(60, 900), time_left_ms=st.integers(60, 3000), may_retry=st.booleans(),
          may_open=st.booleans(), count=st.integers(1, 6))  # fmt: skip
    def place(
        self,
        name: str,
        server: str,
        timeout_ms: int,
        time_left_ms: int,
        may_retry: bool,
        may_open: bool,
        count: int,
    ) -> None:
        for _ in range(count):
            self.last_attempt_id += 1
            new_request = make_request(self.now, name, float(timeout_ms), float(time_left_ms), may_retry)
            found = self.scheduler.place(
                self.now, server, self.last_attempt_id, new_request, can_open if may_open else cannot_open
            )
            if found.kind in (PlacementKind.WAIT, PlacementKind.NONE):
                assert (
                    found.kind is PlacementKind.NONE
                    or found.until_ms <= self.now + self.pipeline_rules.max_wait_ms
                )
                continue
            if found.kind is PlacementKind.OPEN:
                assert may_open and found.connection_id not in self.connections
                self.connections[found.connection_id] = []
                self.opening.add(found.connection_id)
            ahead_ids = self.connections[found.connection_id]
            is_non_idempotent = name == "charge"
            if ahead_ids:
                assert found.kind is PlacementKind.JOIN
                assert not is_non_idempotent and may_retry, "an attempt that may not be retried was queued"
                assert (
                    found.until_ms <= new_request.retry_by_ms and found.until_ms <= new_request.expires_at_ms
                )
                ahead = [self.in_flight[attempt_id] for attempt_id in ahead_ids]
                assert self.scheduler.compatibility.may_follow_non_idempotent or not any(
                    in_flight_attempt.is_non_idempotent for in_flight_attempt in ahead
                )
            assert found.describe(self.now)
            hold_bound_ms = found.until_ms if ahead_ids else math.inf
            ahead_ids.append(self.last_attempt_id)
            self.in_flight[self.last_attempt_id] = InFlight(
                new_request, found.connection_id, hold_bound_ms, is_non_idempotent
            )

    @precondition(lambda self: self.opening)
    @rule(data=st.data(), comes_up=st.booleans())
    def connection(self, data: Any, comes_up: bool) -> None:
        connection_id = data.draw(st.sampled_from(sorted(self.opening)))
        if comes_up:
            self.opening.discard(connection_id)
            self.scheduler.on_connected(self.now, connection_id)
        else:
            self.close(connection_id, False)

    @precondition(lambda self: any(self.connections[n] for n in self.connections if n not in self.opening))
    @rule(data=st.data(), is_ok=st.booleans())
    def reply(self, data: Any, is_ok: bool) -> None:
        busy = [n for n in sorted(self.connections) if self.connections[n] and n not in self.opening]
        connection_id = data.draw(st.sampled_from(busy))
        attempt_id = self.connections[connection_id].pop(0)
        assert self.scheduler.on_reply(self.now, connection_id, is_ok) == attempt_id
        self.finish(attempt_id)

    @precondition(lambda self: self.connections)
    @rule(data=st.data())
    def connection_breaks(self, data: Any) -> None:
        self.close(data.draw(st.sampled_from(sorted(self.connections))), True)

    @precondition(lambda self: any(len(attempt_ids) > 1 for attempt_ids in self.connections.values()))
    @rule(data=st.data())
    def withdraw(self, data: Any) -> None:
        """The last attempt of a connection is withdrawn before it is written."""
        connection_id = data.draw(
            st.sampled_from(sorted(n for n, attempt_ids in self.connections.items() if len(attempt_ids) > 1))
        )
        attempt_id = self.connections[connection_id].pop()
        self.scheduler.on_withdrawn(self.now, connection_id, attempt_id)
        self.finish(attempt_id)

    @rule(
        server=st.sampled_from("nm"),
        event=st.sampled_from(["on_server_started", "on_server_draining", "on_server_removed"]),
    )
    def membership(self, server: str, event: str) -> None:
        if self.last_attempt_id % 5 == 0:
            getattr(self.scheduler, event)(server)
            if event == "on_server_draining" and server in self.scheduler.servers:
                assert (
                    self.scheduler.place(self.now, server, 10**9, make_request(self.now), can_open).kind
                    is PlacementKind.NONE
                )

    @rule(ms=st.sampled_from([0.2, 3.0, 25.0, 120.0, 500.0]))
    def time_passes(self, ms: float) -> None:
        """Advances the time and runs timers in order, a little late as in a gateway."""
        end_ms = self.now + ms
        while True:
            next_expiry_ms = min(
                (in_flight_attempt.request.expires_at_ms for in_flight_attempt in self.in_flight.values()),
                default=math.inf,
            )
            check = self.scheduler.next_check_ms()
            next_timer_ms = min(next_expiry_ms, check)
            if next_timer_ms > end_ms:
                break
            self.now = max(self.now, next_timer_ms)
            if check <= next_expiry_ms:
                self.run_checks()
                if self.scheduler.next_check_ms() <= check:
                    self.now += 0.5  # the head may not be aborted yet; the timer is coarse
                continue
            attempt_id = next(
                attempt_id
                for attempt_id, in_flight_attempt in self.in_flight.items()
                if in_flight_attempt.request.expires_at_ms <= next_expiry_ms
            )
            connection_id = self.in_flight[attempt_id].connection_id
            assert self.connections[connection_id][0] == attempt_id, "an attempt timed out behind another"
            self.close(connection_id, True)
        self.now = end_ms

    def run_checks(self) -> None:
        for action in self.scheduler.check(self.now):
            if isinstance(action, AbortConnection):
                head = self.in_flight[self.connections[action.connection_id][0]]
                assert self.connections[action.connection_id][0] == action.head_id
                assert not head.is_non_idempotent and self.now <= head.request.retry_by_ms + 3.0
                for attempt_id in self.connections[action.connection_id][1:]:
                    assert self.now <= self.in_flight[attempt_id].request.retry_by_ms + 1.0, (
                        "a queued attempt was aborted too late to be retried"
                    )
                self.close(action.connection_id, True)
            elif isinstance(action, HedgeAttempt):
                assert (
                    self.pipeline_rules.may_hedge and not self.in_flight[action.attempt_id].is_non_idempotent
                )
            else:
                assert isinstance(action, StopJoining)
                joinable_connections = self.scheduler.chooser.joinable(
                    self.now, self.scheduler.connections[action.connection_id].server, make_request(self.now)
                )
                assert action.connection_id not in [
                    connection.connection_id for connection, _ in joinable_connections
                ]

    @invariant()
    def invariants_hold(self) -> None:
        if not hasattr(self, "scheduler"):
            return
        queued: dict[str, int] = {}
        for connection_id, attempt_ids in self.connections.items():
            connection = self.scheduler.connections[connection_id]
            assert [attempt.attempt_id for attempt in connection.attempts] == attempt_ids
            assert len(attempt_ids) <= self.pipeline_rules.max_depth
            name = connection.server.name
            queued[name] = queued.get(name, 0) + max(0, len(attempt_ids) - 1)
            for attempt_id in attempt_ids[1:]:
                assert self.now <= self.in_flight[attempt_id].hold_bound_ms + 1.0, (
                    "an attempt was still queued after its hold bound"
                )
        assert len(self.scheduler.connections) == len(self.connections)
        shared = {n for n, attempt_ids in self.connections.items() if len(attempt_ids) > 1}
        assert {
            n for n, connection in self.scheduler.connections.items() if len(connection.attempts) > 1
        } == shared
        assert {
            n for n, connection in self.scheduler.connections.items() if connection.check_at_ms < math.inf
        } <= shared
        for server in self.scheduler.servers.values():
            assert server.queued_count() <= self.pipeline_rules.max_queued_per_server
            assert 1.0 <= server.depth_limit.limit <= self.pipeline_rules.max_depth


SchedulerMachine.TestCase.settings = settings(
    max_examples=120, derandomize=True, stateful_step_count=60, deadline=None,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
TestScheduler = SchedulerMachine.TestCase


# --- placement -----------------------------------------------------------------------------------


def open_connection(
    scheduler: PipelineScheduler,
    now: float,
    attempt_id: int,
    new_request: PlacementRequest,
    connect_time_ms: float = 20.0,
) -> int:
    """Opens a connection for this attempt and returns its id."""
    placement = scheduler.place(now, "n", attempt_id, new_request, can_open)
    assert placement.kind is PlacementKind.OPEN
    scheduler.on_connected(now + connect_time_ms, placement.connection_id)
    return placement.connection_id


def test_connections_are_not_shared_without_samples() -> None:
    scheduler = PipelineScheduler(RULES, ClassCompatibility(CLASSES.values(), ("read",)))
    connection_id = open_connection(scheduler, 0.0, 1, make_request(0.0))
    assert scheduler.place(30.0, "n", 2, make_request(30.0), can_open).kind is PlacementKind.OPEN
    assert scheduler.on_reply(60.0, connection_id) == 1
    placement = scheduler.place(61.0, "n", 3, make_request(61.0), can_open)
    assert placement.kind is PlacementKind.IDLE and placement.connection_id == connection_id


def test_a_connection_is_shared_where_opening_one_costs_more() -> None:
    """The head is expected to take another 8 ms: less than a connect of 80 ms, but more than one of 1 ms."""
    for server_connect_ms, expected_kind in ((80.0, PlacementKind.JOIN), (1.0, PlacementKind.OPEN)):
        scheduler = scheduler_with_samples()
        open_connection(scheduler, 0.0, 1, make_request(0.0))
        scheduler.server("n").connect_ms = server_connect_ms
        placement = scheduler.place(22.0, "n", 2, make_request(22.0), can_open)
        assert placement.kind is expected_kind, placement
        assert "worse by" in placement.describe(22.0)


def test_nothing_joins_behind_a_stalled_head_or_one_that_takes_too_long() -> None:
    scheduler = scheduler_with_samples()
    open_connection(scheduler, 0.0, 1, make_request(0.0))
    scheduler.server("n").connect_ms = 500.0
    assert scheduler.place(50.0, "n", 2, make_request(50.0), cannot_open).kind is PlacementKind.JOIN
    # The head takes 50 ms on average, and 75 ms at most.
    assert scheduler.place(400.0, "n", 3, make_request(400.0), cannot_open).kind is PlacementKind.WAIT
    brief = make_request(60.0, time_left_ms=90.0)  # the head counts as stalled only after 170 ms
    assert scheduler.place(60.0, "n", 4, brief, cannot_open).kind is PlacementKind.WAIT


@pytest.mark.parametrize(
    ("ahead", "behind", "may_retry", "joins"),
    [
        ("read", "read", True, True), ("read", "order", True, True), ("order", "read", True, True),
        ("order", "order", True, True), ("read", "read", False, False), ("read", "charge", True, False),
        ("charge", "read", True, False), ("charge", "charge", True, False), ("charge", "order", True, False),
    ],
)  # fmt: skip
def test_which_class_may_be_queued_behind_which(
    ahead: str, behind: str, may_retry: bool, joins: bool
) -> None:
    scheduler = scheduler_with_samples()
    open_connection(scheduler, 0.0, 1, make_request(0.0, ahead))
    scheduler.server("n").connect_ms = 500.0
    placement = scheduler.place(40.0, "n", 2, make_request(40.0, behind, may_retry=may_retry), cannot_open)
    assert (placement.kind is PlacementKind.JOIN) is joins, placement


def test_behind_a_non_idempotent_head_only_what_can_wait_for_its_timeout() -> None:
    scheduler = scheduler_with_samples(follows_non_idempotent=True)
    open_connection(scheduler, 0.0, 1, make_request(0.0, "charge", timeout_ms=300.0, time_left_ms=300.0))
    assert scheduler.place(40.0, "n", 2, make_request(40.0), cannot_open).kind is PlacementKind.JOIN
    assert (
        scheduler.place(40.0, "n", 3, make_request(40.0, time_left_ms=200.0), cannot_open).kind
        is PlacementKind.WAIT
    )
    # A non-idempotent head is never aborted for others.
    assert not any(isinstance(action, AbortConnection) for action in scheduler.check(290.0))


def test_a_keyed_attempt_does_not_join_what_may_outlast_its_idempotency_window() -> None:
    """With an idempotency window of 800 ms an attempt must not be queued behind a head that may take
    longer."""
    for stall_factor, joins in ((4.0, True), (20.0, False)):
        scheduler = scheduler_with_samples(RULES._replace(stall_factor=stall_factor))
        open_connection(scheduler, 0.0, 1, make_request(0.0, timeout_ms=2000.0))
        placement = scheduler.place(40.0, "n", 2, make_request(40.0, "order", timeout_ms=1400.0), cannot_open)
        assert (placement.kind is PlacementKind.JOIN) is joins


def test_a_stalled_head_is_aborted_at_once_within_the_budget_else_at_the_bound() -> None:
    for budget in (16.0, 0.0):
        scheduler = scheduler_with_samples()
        connection_id = open_connection(scheduler, 0.0, 1, make_request(0.0))
        scheduler.server("n").connect_ms = 500.0
        placement = scheduler.place(40.0, "n", 2, make_request(40.0), cannot_open)
        scheduler.abort_balance = budget
        stalls_at_ms = scheduler.next_check_ms()
        assert 20.0 + 100.0 < stalls_at_ms <= placement.until_ms
        actions = scheduler.check(stalls_at_ms)
        assert actions[0] == StopJoining(connection_id, 1)
        if budget:
            assert actions[1:] == [AbortConnection(connection_id, 1, AbortReason.STALL)]
        else:
            assert len(actions) == 1 and stalls_at_ms < scheduler.next_check_ms() <= placement.until_ms
            assert scheduler.check(scheduler.next_check_ms()) == [
                AbortConnection(connection_id, 1, AbortReason.HOLD_BOUND)
            ]


def test_nothing_joins_the_stalled_one_of_two_connections() -> None:
    scheduler = scheduler_with_samples()
    first = open_connection(scheduler, 0.0, 1, make_request(0.0))
    scheduler.server("n").connect_ms = 0.1
    second = open_connection(scheduler, 215.0, 2, make_request(215.0), connect_time_ms=0.1)
    scheduler.server("n").connect_ms = 500.0
    assert {
        scheduler.place(290.0, "n", attempt_id, make_request(290.0), cannot_open).connection_id
        for attempt_id in (3, 4, 5)
    } == {second}
    # Nothing joins it even if the other connection is full.
    assert scheduler.place(290.0, "n", 6, make_request(290.0), cannot_open).kind is PlacementKind.WAIT
    assert scheduler.on_reply(291.0, first) == 1
    assert scheduler.place(291.0, "n", 7, make_request(291.0), cannot_open).connection_id == first


def test_where_hedging_is_allowed_queued_attempts_are_hedged_and_the_connection_stays() -> None:
    scheduler = scheduler_with_samples(RULES._replace(may_hedge=True, stall_factor=1.5))
    connection_id = open_connection(scheduler, 0.0, 1, make_request(0.0))
    for attempt_id in (2, 3):
        assert (
            scheduler.place(21.0, "n", attempt_id, make_request(21.0), cannot_open).connection_id
            == connection_id
        )
    assert scheduler.check(scheduler.next_check_ms()) == [
        StopJoining(connection_id, 1),
        HedgeAttempt(2),
        HedgeAttempt(3),
    ]
    assert scheduler.check(scheduler.next_check_ms()) == [
        AbortConnection(connection_id, 1, AbortReason.HOLD_BOUND)
    ]


def test_a_thousand_concurrent_attempts_stay_within_all_limits() -> None:
    scheduler = scheduler_with_samples(RULES._replace(max_queued_per_server=12))
    scheduler.server("n").depth_limit.limit = 4.0
    scheduler.server("n").connect_ms = 400.0
    placed_kinds = []
    for attempt_id in range(1000):
        placed_kinds.append(
            scheduler.place(
                0.0, "n", attempt_id, make_request(0.0), lambda: len(scheduler.connections) < 20
            ).kind
        )
    assert placed_kinds.count(PlacementKind.OPEN) <= 20 and placed_kinds.count(PlacementKind.JOIN) == 12
    assert set(placed_kinds[40:]) == {PlacementKind.WAIT}


def test_connections_to_a_new_process_are_not_shared() -> None:
    scheduler = scheduler_with_samples()
    scheduler.on_server_started("n")
    open_connection(scheduler, 0.0, 1, make_request(0.0))
    assert scheduler.place(40.0, "n", 2, make_request(40.0), cannot_open).kind is PlacementKind.WAIT


# --- estimates ------------------------------------------------------------------------------------


def test_service_times_are_accurate_to_a_bucket_and_decay() -> None:
    times = LatencyHistogram()
    for ms in range(1, 1001):
        times.add(0.0, ms / 10.0)
    assert 50.0 <= times.quantile(0.5) <= 50.0 * 1.26 and 95.0 <= times.quantile(0.95) <= 95.0 * 1.26
    assert times.mean() == pytest.approx(50.0, rel=0.05)
    assert times.fraction_within(25.0) == pytest.approx(0.25, abs=0.03)
    for _ in range(300):
        times.add(100_000.0, 5.0)  # five time constants later
    assert times.quantile(0.9) < 7.0 and times.effective_samples(100_000.0) == pytest.approx(300.0, rel=0.03)
    times.add(1e8, 5.0)
    assert times.effective_samples(1e8) == pytest.approx(1.0) and math.isfinite(times.total_weight)


def test_censored_samples_do_not_lengthen_the_estimate() -> None:
    """Half of the samples are upper bounds of 400 ms, of replies that came right behind another one; the
    estimate stays at the 20 ms of the exact samples."""
    times = LatencyHistogram()
    for _ in range(200):
        times.add(0.0, 20.0)
        times.add_upper_bound(0.0, 400.0)
    assert times.mean() == pytest.approx(20.0, rel=0.2) and times.quantile(0.99) < 30.0


@pytest.mark.parametrize("ms", [0.0, 0.05, UPPER_EDGES_MS[-1] * 2, 1e9])
def test_service_times_out_of_range_fall_into_the_end_buckets(ms: float) -> None:
    times = LatencyHistogram()
    times.add(0.0, ms)
    assert 0.0 < times.quantile(0.5) <= UPPER_EDGES_MS[-1]


def test_a_slow_server_has_a_relative_latency_until_its_process_is_replaced() -> None:
    times = ServiceTimes(["read"])
    for _ in range(200):
        times.add(0.0, "read", "quick", 20.0, False)
    for _ in range(40):
        times.add(0.0, "read", "slow", 60.0, False)
    assert times.quantile("read", "slow", 0.5) > 1.5 * times.quantile("read", "quick", 0.5)
    times.forget_server("slow")
    assert times.relative_latency("slow") == 1.0
    assert times.probability_within("read", "quick", 100.0, age_ms=1e6) < 0.01  # older than all samples


@pytest.mark.parametrize(("ratio", "low", "high"), [(0.9, 7.9, 8.0), (3.0, 1.0, 1.6), (1.4, 7.9, 8.0)])
def test_the_depth_limit_falls_where_queued_attempts_slow_down(ratio: float, low: float, high: float) -> None:
    depth = DepthLimit(8)
    for _ in range(60 * SAMPLES_PER_UPDATE):
        depth.on_reply(ratio, True)
    assert low <= depth.limit <= high


def test_the_depth_limit_recovers_on_healthy_replies_to_attempts_that_were_not_queued() -> None:
    depth = DepthLimit(8)
    for _ in range(10):
        depth.on_failure()
    assert depth.attempts() == 1
    for _ in range(5 * SAMPLES_PER_UPDATE):
        depth.on_reply(1.0, False)
    assert depth.attempts() == 2
    for _ in range(10 * SAMPLES_PER_UPDATE):
        depth.on_reply(9.0, False)
    assert depth.attempts() == 2  # late replies do not raise the limit


def test_class_compatibility() -> None:
    rows = {(row.ahead, row.behind): row.compatibility for row in
            ClassCompatibility(CLASSES.values(), ("read",), True).rows()}  # fmt: skip
    assert (
        rows["read", "read"] is Compatibility.UNTIL_STALL
        and rows["charge", "read"] is Compatibility.UNTIL_TIMEOUT
    )
    assert all(verdict is Compatibility.NEVER for (_, behind), verdict in rows.items() if behind != "read")
    assert rows["order", "read"] is Compatibility.NEVER and len(rows) == 9
