"""Where attempts stand: the decider against its own promises, over drawn lives, and by tables."""

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


def made(
    rules: PipelineRules = RULES, behind_unsafe: bool = False, taught: float = 50.0
) -> PipelineScheduler:
    """A decider that knows how long each class takes."""
    pipeline = PipelineScheduler(
        rules, ClassCompatibility(CLASSES.values(), ("read", "order"), behind_unsafe)
    )
    for name in CLASSES:
        for share in range(100):
            pipeline.times.add(0.0, name, "n", taught * (0.5 + share / 100.0), False)
    pipeline.server("n").depth_limit.limit = float(rules.max_depth)
    return pipeline


def job(
    now: float, name: str = "read", timeout: float = 900.0, left: float = 2000.0, again: bool = True
) -> PlacementRequest:
    return placement_request(
        CLASSES[name], 50.0, now, now + min(timeout, left), now, now + left, math.inf, again
    )


def yes() -> bool:
    return True


def no() -> bool:
    return False


@dataclass
class Out:
    """An attempt, in the test's own books."""

    job: PlacementRequest
    line: int
    bound: float
    unsafe: bool


class Lives(RuleBasedStateMachine):
    """Attempts come, connections come up, answer, stall, break, drain; the promises hold at every step."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.serial = 0
        self.limits = RULES
        self.out: dict[int, Out] = {}
        self.lines: dict[int, list[int]] = {}
        self.opening: set[int] = set()
        self.ended: set[int] = set()

    @initialize(depth=st.integers(2, 6), at_risk=st.integers(1, 8), copies=st.booleans(),
                behind_unsafe=st.booleans(), settle=st.sampled_from([0.0, 30.0]))  # fmt: skip
    def begin(self, depth: int, at_risk: int, copies: bool, behind_unsafe: bool, settle: float) -> None:
        self.limits = PipelineRules(
            max_depth=depth, max_queued_per_server=at_risk, may_hedge=copies, settle_ms=settle
        )
        self.pipeline = made(self.limits, behind_unsafe)
        for name in ("n", "m"):
            for _ in range(100):  # what stands behind others is answered as it should be
                self.pipeline.server(name).depth_limit.on_reply(0.8, True)

    def end(self, ref: int) -> None:
        assert ref not in self.ended, "two endings"
        self.ended.add(ref)
        del self.out[ref]

    def close(self, line: int, trouble: bool) -> None:
        for ref in self.lines.pop(line):
            self.end(ref)
        self.opening.discard(line)
        self.pipeline.on_closed(line, trouble)

    @rule(name=st.sampled_from(["read", "read", "order", "charge"]), node=st.sampled_from("nm"),
          timeout=st.integers(60, 900), left=st.integers(60, 3000), again=st.booleans(), room=st.booleans(),
          count=st.integers(1, 6))  # fmt: skip
    def ask(self, name: str, node: str, timeout: int, left: int, again: bool, room: bool, count: int) -> None:
        for _ in range(count):
            self.serial += 1
            wanted = job(self.now, name, float(timeout), float(left), again)
            found = self.pipeline.place(self.now, node, self.serial, wanted, yes if room else no)
            if found.kind in (PlacementKind.WAIT, PlacementKind.NONE):
                assert (
                    found.kind is PlacementKind.NONE or found.until_ms <= self.now + self.limits.max_wait_ms
                )
                continue
            if found.kind is PlacementKind.OPEN:
                assert room and found.connection_id not in self.lines
                self.lines[found.connection_id] = []
                self.opening.add(found.connection_id)
            stands = self.lines[found.connection_id]
            unsafe = name == "charge"
            if stands:
                assert found.kind is PlacementKind.JOIN
                assert not unsafe and again, "put where a cut leaves it unknown"
                assert found.until_ms <= wanted.retry_by_ms and found.until_ms <= wanted.expires_at_ms
                ahead = [self.out[ref] for ref in stands]
                assert self.pipeline.compatibility.may_follow_non_idempotent or not any(
                    one.unsafe for one in ahead
                )
            assert found.describe(self.now)
            bound = found.until_ms if stands else math.inf
            stands.append(self.serial)
            self.out[self.serial] = Out(wanted, found.connection_id, bound, unsafe)

    @precondition(lambda self: self.opening)
    @rule(data=st.data(), comes_up=st.booleans())
    def connection(self, data: Any, comes_up: bool) -> None:
        line = data.draw(st.sampled_from(sorted(self.opening)))
        if comes_up:
            self.opening.discard(line)
            self.pipeline.on_connected(self.now, line)
        else:
            self.close(line, False)

    @precondition(lambda self: any(self.lines[n] for n in self.lines if n not in self.opening))
    @rule(data=st.data(), sound=st.booleans())
    def reply(self, data: Any, sound: bool) -> None:
        busy = [n for n in sorted(self.lines) if self.lines[n] and n not in self.opening]
        line = data.draw(st.sampled_from(busy))
        ref = self.lines[line].pop(0)
        assert self.pipeline.on_reply(self.now, line, sound) == ref
        self.end(ref)

    @precondition(lambda self: self.lines)
    @rule(data=st.data())
    def breaks(self, data: Any) -> None:
        self.close(data.draw(st.sampled_from(sorted(self.lines))), True)

    @precondition(lambda self: any(len(refs) > 1 for refs in self.lines.values()))
    @rule(data=st.data())
    def called_back(self, data: Any) -> None:
        """One is withdrawn before it was written."""
        line = data.draw(st.sampled_from(sorted(n for n, refs in self.lines.items() if len(refs) > 1)))
        ref = self.lines[line].pop()
        self.pipeline.on_withdrawn(self.now, line, ref)
        self.end(ref)

    @rule(
        node=st.sampled_from("nm"),
        what=st.sampled_from(["on_server_started", "on_server_draining", "on_server_removed"]),
    )
    def membership(self, node: str, what: str) -> None:
        if self.serial % 5 == 0:
            getattr(self.pipeline, what)(node)
            if what == "on_server_draining" and node in self.pipeline.servers:
                assert (
                    self.pipeline.place(self.now, node, 10**9, job(self.now), yes).kind is PlacementKind.NONE
                )

    @rule(ms=st.sampled_from([0.2, 3.0, 25.0, 120.0, 500.0]))
    def passes(self, ms: float) -> None:
        """Time passes as it does for a gateway: timers fire when they are due, a little late."""
        end = self.now + ms
        while True:
            times_up = min((one.job.expires_at_ms for one in self.out.values()), default=math.inf)
            check = self.pipeline.next_check_ms()
            due = min(times_up, check)
            if due > end:
                break
            self.now = max(self.now, due)
            if check <= times_up:
                self.look()
                if self.pipeline.next_check_ms() <= check:
                    self.now += 0.5  # a head that may not be cut yet: the timer is coarse
                continue
            ref = next(ref for ref, one in self.out.items() if one.job.expires_at_ms <= times_up)
            line = self.out[ref].line
            assert self.lines[line][0] == ref, "given up with another ahead of it"
            self.close(line, True)
        self.now = end

    def look(self) -> None:
        for action in self.pipeline.check(self.now):
            if isinstance(action, AbortConnection):
                head = self.out[self.lines[action.connection_id][0]]
                assert self.lines[action.connection_id][0] == action.head_id
                assert not head.unsafe and self.now <= head.job.retry_by_ms + 3.0
                for ref in self.lines[action.connection_id][1:]:
                    assert self.now <= self.out[ref].job.retry_by_ms + 1.0, "cut too late to go again"
                self.close(action.connection_id, True)
            elif isinstance(action, HedgeAttempt):
                assert self.limits.may_hedge and not self.out[action.attempt_id].unsafe
            else:
                assert isinstance(action, StopJoining)
                later = self.pipeline.chooser.joinable(
                    self.now, self.pipeline.connections[action.connection_id].server, job(self.now)
                )
                assert action.connection_id not in [post.connection_id for post, _ in later]

    @invariant()
    def bounds_are_kept(self) -> None:
        if not hasattr(self, "pipeline"):
            return
        at_risk: dict[str, int] = {}
        for line, refs in self.lines.items():
            post = self.pipeline.connections[line]
            assert [place.attempt_id for place in post.attempts] == refs
            assert len(refs) <= self.limits.max_depth
            at_risk[post.server.name] = at_risk.get(post.server.name, 0) + max(0, len(refs) - 1)
            for ref in refs[1:]:
                assert self.now <= self.out[ref].bound + 1.0, "held back past its bound"
        assert len(self.pipeline.connections) == len(self.lines)
        crowded = {n for n, refs in self.lines.items() if len(refs) > 1}
        assert {n for n, post in self.pipeline.connections.items() if len(post.attempts) > 1} == crowded
        assert {n for n, post in self.pipeline.connections.items() if post.check_at_ms < math.inf} <= crowded
        for node in self.pipeline.servers.values():
            assert node.queued_count() <= self.limits.max_queued_per_server
            assert 1.0 <= node.depth_limit.limit <= self.limits.max_depth


Lives.TestCase.settings = settings(
    max_examples=120, derandomize=True, stateful_step_count=60, deadline=None,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
TestLives = Lives.TestCase


# --- what it chooses -----------------------------------------------------------------------------------


def opened(
    pipeline: PipelineScheduler, now: float, ref: int, wanted: PlacementRequest, up_after: float = 20.0
) -> int:
    """A line with this attempt alone on it."""
    found = pipeline.place(now, "n", ref, wanted, yes)
    assert found.kind is PlacementKind.OPEN
    pipeline.on_connected(now + up_after, found.connection_id)
    return found.connection_id


def test_what_is_not_known_is_not_shared() -> None:
    pipeline = PipelineScheduler(RULES, ClassCompatibility(CLASSES.values(), ("read",)))
    line = opened(pipeline, 0.0, 1, job(0.0))
    assert pipeline.place(30.0, "n", 2, job(30.0), yes).kind is PlacementKind.OPEN
    assert pipeline.on_reply(60.0, line) == 1
    found = pipeline.place(61.0, "n", 3, job(61.0), yes)
    assert found.kind is PlacementKind.IDLE and found.connection_id == line  # the most recently used


def test_a_dear_connection_is_shared_and_a_cheap_one_is_opened() -> None:
    """The one ahead is expected to keep it for 8 ms: worth it against 80 ms of connecting, not against 1."""
    for connect, how in ((80.0, PlacementKind.JOIN), (1.0, PlacementKind.OPEN)):
        pipeline = made()
        opened(pipeline, 0.0, 1, job(0.0))
        pipeline.server("n").connect_ms = connect
        found = pipeline.place(22.0, "n", 2, job(22.0), yes)
        assert found.kind is how, found
        assert "worse by" in found.describe(22.0)


def test_nothing_joins_a_stalled_head_nor_one_that_outlasts_it() -> None:
    pipeline = made()
    opened(pipeline, 0.0, 1, job(0.0))
    pipeline.server("n").connect_ms = 500.0
    assert pipeline.place(50.0, "n", 2, job(50.0), no).kind is PlacementKind.JOIN
    assert (
        pipeline.place(400.0, "n", 3, job(400.0), no).kind is PlacementKind.WAIT
    )  # 50 ms usually, 75 at most
    brief = job(60.0, left=90.0)  # the head counts as stalled only after 170 ms
    assert pipeline.place(60.0, "n", 4, brief, no).kind is PlacementKind.WAIT


@pytest.mark.parametrize(
    ("ahead", "behind", "again", "joins"),
    [
        ("read", "read", True, True), ("read", "order", True, True), ("order", "read", True, True),
        ("order", "order", True, True), ("read", "read", False, False), ("read", "charge", True, False),
        ("charge", "read", True, False), ("charge", "charge", True, False), ("charge", "order", True, False),
    ],
)  # fmt: skip
def test_who_may_stand_behind_whom(ahead: str, behind: str, again: bool, joins: bool) -> None:
    pipeline = made()
    opened(pipeline, 0.0, 1, job(0.0, ahead))
    pipeline.server("n").connect_ms = 500.0
    found = pipeline.place(40.0, "n", 2, job(40.0, behind, again=again), no)
    assert (found.kind is PlacementKind.JOIN) is joins, found


def test_behind_an_unsafe_head_only_what_can_bear_its_whole_time() -> None:
    pipeline = made(behind_unsafe=True)
    opened(pipeline, 0.0, 1, job(0.0, "charge", timeout=300.0, left=300.0))
    assert pipeline.place(40.0, "n", 2, job(40.0), no).kind is PlacementKind.JOIN
    assert pipeline.place(40.0, "n", 3, job(40.0, left=200.0), no).kind is PlacementKind.WAIT
    assert not any(
        isinstance(action, AbortConnection) for action in pipeline.check(290.0)
    )  # it is never cut for others


def test_a_keyed_one_does_not_join_what_may_outlast_its_memory() -> None:
    """Repeats are dropped for 800 ms: a head that may take longer than that is no place for it."""
    for stall_factor, joins in ((4.0, True), (20.0, False)):
        pipeline = made(RULES._replace(stall_factor=stall_factor))
        opened(pipeline, 0.0, 1, job(0.0, timeout=2000.0))
        found = pipeline.place(40.0, "n", 2, job(40.0, "order", timeout=1400.0), no)
        assert (found.kind is PlacementKind.JOIN) is joins


def test_a_stalled_head_is_cut_at_once_inside_the_budget_and_at_the_bound_without() -> None:
    for budget in (16.0, 0.0):
        pipeline = made()
        line = opened(pipeline, 0.0, 1, job(0.0))
        pipeline.server("n").connect_ms = 500.0
        held = pipeline.place(40.0, "n", 2, job(40.0), no)
        pipeline.abort_balance = budget
        stalls = pipeline.next_check_ms()
        assert 20.0 + 100.0 < stalls <= held.until_ms
        found = pipeline.check(stalls)
        assert found[0] == StopJoining(line, 1)
        if budget:
            assert found[1:] == [AbortConnection(line, 1, AbortReason.STALL)]
        else:
            assert len(found) == 1 and stalls < pipeline.next_check_ms() <= held.until_ms
            assert pipeline.check(pipeline.next_check_ms()) == [
                AbortConnection(line, 1, AbortReason.HOLD_BOUND)
            ]


def test_of_two_lines_the_condemned_one_is_left_alone() -> None:
    pipeline = made()
    first = opened(pipeline, 0.0, 1, job(0.0))
    pipeline.server("n").connect_ms = 0.1
    second = opened(pipeline, 215.0, 2, job(215.0), up_after=0.1)
    pipeline.server("n").connect_ms = 500.0
    assert {pipeline.place(290.0, "n", ref, job(290.0), no).connection_id for ref in (3, 4, 5)} == {second}
    assert (
        pipeline.place(290.0, "n", 6, job(290.0), no).kind is PlacementKind.WAIT
    )  # not even where that is full
    assert pipeline.on_reply(291.0, first) == 1
    assert pipeline.place(291.0, "n", 7, job(291.0), no).connection_id == first


def test_where_copies_are_allowed_those_behind_get_one_and_the_line_stays() -> None:
    pipeline = made(RULES._replace(may_hedge=True, stall_factor=1.5))
    line = opened(pipeline, 0.0, 1, job(0.0))
    for ref in (2, 3):
        assert pipeline.place(21.0, "n", ref, job(21.0), no).connection_id == line
    assert pipeline.check(pipeline.next_check_ms()) == [
        StopJoining(line, 1),
        HedgeAttempt(2),
        HedgeAttempt(3),
    ]
    assert pipeline.check(pipeline.next_check_ms()) == [AbortConnection(line, 1, AbortReason.HOLD_BOUND)]


def test_a_thousand_at_once_stay_within_every_limit() -> None:
    pipeline = made(RULES._replace(max_queued_per_server=12))
    pipeline.server("n").depth_limit.limit = 4.0
    pipeline.server("n").connect_ms = 400.0
    hows = []
    for ref in range(1000):
        hows.append(pipeline.place(0.0, "n", ref, job(0.0), lambda: len(pipeline.connections) < 20).kind)
    assert hows.count(PlacementKind.OPEN) <= 20 and hows.count(PlacementKind.JOIN) == 12
    assert set(hows[40:]) == {PlacementKind.WAIT}


def test_a_new_process_begins_alone() -> None:
    pipeline = made()
    pipeline.on_server_started("n")
    opened(pipeline, 0.0, 1, job(0.0))
    assert pipeline.place(40.0, "n", 2, job(40.0), no).kind is PlacementKind.WAIT


# --- what it learns ------------------------------------------------------------------------------------


def test_times_are_known_to_a_bucket_and_fade() -> None:
    times = LatencyHistogram()
    for ms in range(1, 1001):
        times.add(0.0, ms / 10.0)
    assert 50.0 <= times.quantile(0.5) <= 50.0 * 1.26 and 95.0 <= times.quantile(0.95) <= 95.0 * 1.26
    assert times.mean() == pytest.approx(50.0, rel=0.05)
    assert times.share_within(25.0) == pytest.approx(0.25, abs=0.03)
    for _ in range(300):
        times.add(100_000.0, 5.0)  # five time constants later
    assert times.quantile(0.9) < 7.0 and times.effective_samples(100_000.0) == pytest.approx(300.0, rel=0.03)
    times.add(1e8, 5.0)
    assert times.effective_samples(1e8) == pytest.approx(1.0) and math.isfinite(times.total_weight)


def test_what_is_known_only_to_be_done_before_lengthens_nothing() -> None:
    """Half of the replies come right behind another after 400 ms: their own 20 ms are found all the same."""
    times = LatencyHistogram()
    for _ in range(200):
        times.add(0.0, 20.0)
        times.add_upper_bound(0.0, 400.0)
    assert times.mean() == pytest.approx(20.0, rel=0.2) and times.quantile(0.99) < 30.0


@pytest.mark.parametrize("ms", [0.0, 0.05, UPPER_EDGES_MS[-1] * 2, 1e9])
def test_times_out_of_range_are_kept_at_the_ends(ms: float) -> None:
    times = LatencyHistogram()
    times.add(0.0, ms)
    assert 0.0 < times.quantile(0.5) <= UPPER_EDGES_MS[-1]


def test_a_slow_node_has_a_pace_and_loses_it_with_its_process() -> None:
    times = ServiceTimes(["read"])
    for _ in range(200):
        times.add(0.0, "read", "quick", 20.0, False)
    for _ in range(40):
        times.add(0.0, "read", "slow", 60.0, False)
    assert times.quantile("read", "slow", 0.5) > 1.5 * times.quantile("read", "quick", 0.5)
    times.forget_server("slow")
    assert times.relative_latency("slow") == 1.0
    assert times.probability_within("read", "quick", 100.0, age_ms=1e6) < 0.01  # older than all that was seen


@pytest.mark.parametrize(("ratio", "low", "high"), [(0.9, 7.9, 8.0), (3.0, 1.0, 1.6), (1.4, 7.9, 8.0)])
def test_depth_turns_itself_down_where_it_hurts(ratio: float, low: float, high: float) -> None:
    depth = DepthLimit(8)
    for _ in range(60 * SAMPLES_PER_UPDATE):
        depth.on_reply(ratio, True)
    assert low <= depth.limit <= high


def test_depth_comes_back_by_replies_of_those_alone() -> None:
    depth = DepthLimit(8)
    for _ in range(10):
        depth.on_failure()
    assert depth.attempts() == 1
    for _ in range(5 * SAMPLES_PER_UPDATE):
        depth.on_reply(1.0, False)
    assert depth.attempts() == 2
    for _ in range(10 * SAMPLES_PER_UPDATE):
        depth.on_reply(9.0, False)
    assert depth.attempts() == 2  # late replies of those alone raise nothing


def test_the_table_of_classes() -> None:
    rows = {(row.ahead, row.behind): row.compatibility for row in
            ClassCompatibility(CLASSES.values(), ("read",), True).rows()}  # fmt: skip
    assert (
        rows["read", "read"] is Compatibility.UNTIL_STALL
        and rows["charge", "read"] is Compatibility.UNTIL_TIMEOUT
    )
    assert all(verdict is Compatibility.NEVER for (_, behind), verdict in rows.items() if behind != "read")
    assert rows["order", "read"] is Compatibility.NEVER and len(rows) == 9
