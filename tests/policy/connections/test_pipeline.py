"""Where attempts stand: the decider against its own promises, over drawn lives, and by tables."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from glenchute.policy.connections.class_compatibility import Behind, Sharing
from glenchute.policy.connections.depth_limit import SAMPLES, Depth
from glenchute.policy.connections.pipelining import Condemn, Copy, Cut, How, Job, Pipeline, Rules, job_of
from glenchute.policy.connections.service_times import EDGES, ServiceTimes, Times
from glenchute.policy.settings import Idempotency, IdempotencyScope, RequestClass

READ = RequestClass("read", 1000.0, 1.0, Idempotency.IDEMPOTENT)
ORDER = RequestClass("order", 1500.0, 2.0, Idempotency.WITH_KEY, IdempotencyScope.ALL, 800.0)
CHARGE = RequestClass("charge", 2500.0, 2.0, Idempotency.NON_IDEMPOTENT)
CLASSES = {cls.name: cls for cls in (READ, ORDER, CHARGE)}
RULES = Rules(depth=4, at_risk=6, settle_ms=0.0)


def made(rules: Rules = RULES, behind_unsafe: bool = False, taught: float = 50.0) -> Pipeline:
    """A decider that knows how long each class takes."""
    pipeline = Pipeline(rules, Sharing(CLASSES.values(), ("read", "order"), behind_unsafe))
    for name in CLASSES:
        for share in range(100):
            pipeline.times.add(0.0, name, "n", taught * (0.5 + share / 100.0), False)
    pipeline.node("n").depth.limit = float(rules.depth)
    return pipeline


def job(
    now: float, name: str = "read", timeout: float = 900.0, left: float = 2000.0, again: bool = True
) -> Job:
    return job_of(CLASSES[name], 50.0, now, now + min(timeout, left), now, now + left, math.inf, again)


def yes() -> bool:
    return True


def no() -> bool:
    return False


@dataclass
class Out:
    """An attempt, in the test's own books."""

    job: Job
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
        self.limits = Rules(depth=depth, at_risk=at_risk, copies=copies, settle_ms=settle)
        self.pipeline = made(self.limits, behind_unsafe)
        for name in ("n", "m"):
            for _ in range(100):  # what stands behind others is answered as it should be
                self.pipeline.node(name).depth.replied(0.8, True)

    def end(self, ref: int) -> None:
        assert ref not in self.ended, "two endings"
        self.ended.add(ref)
        del self.out[ref]

    def close(self, line: int, trouble: bool) -> None:
        for ref in self.lines.pop(line):
            self.end(ref)
        self.opening.discard(line)
        self.pipeline.lost(self.now, line, trouble)

    @rule(name=st.sampled_from(["read", "read", "order", "charge"]), node=st.sampled_from("nm"),
          timeout=st.integers(60, 900), left=st.integers(60, 3000), again=st.booleans(), room=st.booleans(),
          count=st.integers(1, 6))  # fmt: skip
    def ask(self, name: str, node: str, timeout: int, left: int, again: bool, room: bool, count: int) -> None:
        for _ in range(count):
            self.serial += 1
            wanted = job(self.now, name, float(timeout), float(left), again)
            found = self.pipeline.place(self.now, node, self.serial, wanted, yes if room else no)
            if found.how in (How.WAIT, How.NONE):
                assert found.how is How.NONE or found.until <= self.now + self.limits.wait_ms
                continue
            if found.how is How.OPEN:
                assert room and found.line not in self.lines
                self.lines[found.line] = []
                self.opening.add(found.line)
            stands = self.lines[found.line]
            unsafe = name == "charge"
            if stands:
                assert found.how is How.JOIN
                assert not unsafe and again, "put where a cut leaves it unknown"
                assert found.until <= wanted.rescue_by and found.until <= wanted.until
                ahead = [self.out[ref] for ref in stands]
                assert self.pipeline.sharing.behind_unsafe or not any(one.unsafe for one in ahead)
            assert found.reason(self.now)
            bound = found.until if stands else math.inf
            stands.append(self.serial)
            self.out[self.serial] = Out(wanted, found.line, bound, unsafe)

    @precondition(lambda self: self.opening)
    @rule(data=st.data(), comes_up=st.booleans())
    def connection(self, data: Any, comes_up: bool) -> None:
        line = data.draw(st.sampled_from(sorted(self.opening)))
        if comes_up:
            self.opening.discard(line)
            self.pipeline.connected(self.now, line)
        else:
            self.close(line, False)

    @precondition(lambda self: any(self.lines[n] for n in self.lines if n not in self.opening))
    @rule(data=st.data(), sound=st.booleans())
    def reply(self, data: Any, sound: bool) -> None:
        busy = [n for n in sorted(self.lines) if self.lines[n] and n not in self.opening]
        line = data.draw(st.sampled_from(busy))
        ref = self.lines[line].pop(0)
        assert self.pipeline.answered(self.now, line, sound) == ref
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
        self.pipeline.withdrawn(self.now, line, ref)
        self.end(ref)

    @rule(node=st.sampled_from("nm"), what=st.sampled_from(["renewed", "stopped", "gone"]))
    def membership(self, node: str, what: str) -> None:
        if self.serial % 5 == 0:
            getattr(self.pipeline, what)(node)
            if what == "stopped" and node in self.pipeline.nodes:
                assert self.pipeline.place(self.now, node, 10**9, job(self.now), yes).how is How.NONE

    @rule(ms=st.sampled_from([0.2, 3.0, 25.0, 120.0, 500.0]))
    def passes(self, ms: float) -> None:
        """Time passes as it does for a gateway: timers fire when they are due, a little late."""
        end = self.now + ms
        while True:
            times_up = min((one.job.until for one in self.out.values()), default=math.inf)
            check = self.pipeline.next_check()
            due = min(times_up, check)
            if due > end:
                break
            self.now = max(self.now, due)
            if check <= times_up:
                self.look()
                if self.pipeline.next_check() <= check:
                    self.now += 0.5  # a head that may not be cut yet: the timer is coarse
                continue
            ref = next(ref for ref, one in self.out.items() if one.job.until <= times_up)
            line = self.out[ref].line
            assert self.lines[line][0] == ref, "given up with another ahead of it"
            self.close(line, True)
        self.now = end

    def look(self) -> None:
        for action in self.pipeline.check(self.now):
            if isinstance(action, Cut):
                head = self.out[self.lines[action.line][0]]
                assert self.lines[action.line][0] == action.ref
                assert not head.unsafe and self.now <= head.job.rescue_by + 3.0
                for ref in self.lines[action.line][1:]:
                    assert self.now <= self.out[ref].job.rescue_by + 1.0, "cut too late to go again"
                self.close(action.line, True)
            elif isinstance(action, Copy):
                assert self.limits.copies and not self.out[action.ref].unsafe
            else:
                assert isinstance(action, Condemn)
                later = self.pipeline.joinable(self.now, self.pipeline.posts[action.line].node, job(self.now))
                assert action.line not in [post.number for post, _ in later]

    @invariant()
    def bounds_are_kept(self) -> None:
        if not hasattr(self, "pipeline"):
            return
        at_risk: dict[str, int] = {}
        for line, refs in self.lines.items():
            post = self.pipeline.posts[line]
            assert [place.ref for place in post.places] == refs
            assert len(refs) <= self.limits.depth
            at_risk[post.node.name] = at_risk.get(post.node.name, 0) + max(0, len(refs) - 1)
            for ref in refs[1:]:
                assert self.now <= self.out[ref].bound + 1.0, "held back past its bound"
        assert len(self.pipeline.posts) == len(self.lines)
        crowded = {n for n, refs in self.lines.items() if len(refs) > 1}
        assert {n for n, post in self.pipeline.posts.items() if len(post.places) > 1} == crowded
        assert {n for n, post in self.pipeline.posts.items() if post.alarm < math.inf} <= crowded
        for node in self.pipeline.nodes.values():
            assert node.at_risk() <= self.limits.at_risk
            assert 1.0 <= node.depth.limit <= self.limits.depth


Lives.TestCase.settings = settings(
    max_examples=120, derandomize=True, stateful_step_count=60, deadline=None,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
TestLives = Lives.TestCase


# --- what it chooses -----------------------------------------------------------------------------------


def opened(pipeline: Pipeline, now: float, ref: int, wanted: Job, up_after: float = 20.0) -> int:
    """A line with this attempt alone on it."""
    found = pipeline.place(now, "n", ref, wanted, yes)
    assert found.how is How.OPEN
    pipeline.connected(now + up_after, found.line)
    return found.line


def test_what_is_not_known_is_not_shared() -> None:
    pipeline = Pipeline(RULES, Sharing(CLASSES.values(), ("read",)))
    line = opened(pipeline, 0.0, 1, job(0.0))
    assert pipeline.place(30.0, "n", 2, job(30.0), yes).how is How.OPEN
    assert pipeline.answered(60.0, line) == 1
    found = pipeline.place(61.0, "n", 3, job(61.0), yes)
    assert found.how is How.IDLE and found.line == line  # the most recently used


def test_a_dear_connection_is_shared_and_a_cheap_one_is_opened() -> None:
    """The one ahead is expected to keep it for 8 ms: worth it against 80 ms of connecting, not against 1."""
    for connect, how in ((80.0, How.JOIN), (1.0, How.OPEN)):
        pipeline = made()
        opened(pipeline, 0.0, 1, job(0.0))
        pipeline.node("n").connect_ms = connect
        found = pipeline.place(22.0, "n", 2, job(22.0), yes)
        assert found.how is how, found
        assert "worse by" in found.reason(22.0)


def test_nothing_joins_a_stalled_head_nor_one_that_outlasts_it() -> None:
    pipeline = made()
    opened(pipeline, 0.0, 1, job(0.0))
    pipeline.node("n").connect_ms = 500.0
    assert pipeline.place(50.0, "n", 2, job(50.0), no).how is How.JOIN
    assert pipeline.place(400.0, "n", 3, job(400.0), no).how is How.WAIT  # 50 ms usually, 75 at most
    brief = job(60.0, left=90.0)  # the head counts as stalled only after 170 ms
    assert pipeline.place(60.0, "n", 4, brief, no).how is How.WAIT


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
    pipeline.node("n").connect_ms = 500.0
    found = pipeline.place(40.0, "n", 2, job(40.0, behind, again=again), no)
    assert (found.how is How.JOIN) is joins, found


def test_behind_an_unsafe_head_only_what_can_bear_its_whole_time() -> None:
    pipeline = made(behind_unsafe=True)
    opened(pipeline, 0.0, 1, job(0.0, "charge", timeout=300.0, left=300.0))
    assert pipeline.place(40.0, "n", 2, job(40.0), no).how is How.JOIN
    assert pipeline.place(40.0, "n", 3, job(40.0, left=200.0), no).how is How.WAIT
    assert not any(isinstance(action, Cut) for action in pipeline.check(290.0))  # it is never cut for others


def test_a_keyed_one_does_not_join_what_may_outlast_its_memory() -> None:
    """Repeats are dropped for 800 ms: a head that may take longer than that is no place for it."""
    for stall_factor, joins in ((4.0, True), (20.0, False)):
        pipeline = made(RULES._replace(stall_factor=stall_factor))
        opened(pipeline, 0.0, 1, job(0.0, timeout=2000.0))
        found = pipeline.place(40.0, "n", 2, job(40.0, "order", timeout=1400.0), no)
        assert (found.how is How.JOIN) is joins


def test_a_stalled_head_is_cut_at_once_inside_the_budget_and_at_the_bound_without() -> None:
    for budget in (16.0, 0.0):
        pipeline = made()
        line = opened(pipeline, 0.0, 1, job(0.0))
        pipeline.node("n").connect_ms = 500.0
        held = pipeline.place(40.0, "n", 2, job(40.0), no)
        pipeline.cuts = budget
        stalls = pipeline.next_check()
        assert 20.0 + 100.0 < stalls <= held.until
        found = pipeline.check(stalls)
        assert found[0] == Condemn(line, 1)
        if budget:
            assert found[1:] == [Cut(line, 1, "stall")]
        else:
            assert len(found) == 1 and stalls < pipeline.next_check() <= held.until
            assert pipeline.check(pipeline.next_check()) == [Cut(line, 1, "bound")]


def test_of_two_lines_the_condemned_one_is_left_alone() -> None:
    pipeline = made()
    first = opened(pipeline, 0.0, 1, job(0.0))
    pipeline.node("n").connect_ms = 0.1
    second = opened(pipeline, 215.0, 2, job(215.0), up_after=0.1)
    pipeline.node("n").connect_ms = 500.0
    assert {pipeline.place(290.0, "n", ref, job(290.0), no).line for ref in (3, 4, 5)} == {second}
    assert pipeline.place(290.0, "n", 6, job(290.0), no).how is How.WAIT  # not even where that is full
    assert pipeline.answered(291.0, first) == 1
    assert pipeline.place(291.0, "n", 7, job(291.0), no).line == first


def test_where_copies_are_allowed_those_behind_get_one_and_the_line_stays() -> None:
    pipeline = made(RULES._replace(copies=True, stall_factor=1.5))
    line = opened(pipeline, 0.0, 1, job(0.0))
    for ref in (2, 3):
        assert pipeline.place(21.0, "n", ref, job(21.0), no).line == line
    assert pipeline.check(pipeline.next_check()) == [Condemn(line, 1), Copy(2), Copy(3)]
    assert pipeline.check(pipeline.next_check()) == [Cut(line, 1, "bound")]


def test_a_thousand_at_once_stay_within_every_limit() -> None:
    pipeline = made(RULES._replace(at_risk=12))
    pipeline.node("n").depth.limit = 4.0
    pipeline.node("n").connect_ms = 400.0
    hows = []
    for ref in range(1000):
        hows.append(pipeline.place(0.0, "n", ref, job(0.0), lambda: len(pipeline.posts) < 20).how)
    assert hows.count(How.OPEN) <= 20 and hows.count(How.JOIN) == 12
    assert set(hows[40:]) == {How.WAIT}


def test_a_new_process_begins_alone() -> None:
    pipeline = made()
    pipeline.renewed("n")
    opened(pipeline, 0.0, 1, job(0.0))
    assert pipeline.place(40.0, "n", 2, job(40.0), no).how is How.WAIT


# --- what it learns ------------------------------------------------------------------------------------


def test_times_are_known_to_a_bucket_and_fade() -> None:
    times = Times()
    for ms in range(1, 1001):
        times.add(0.0, ms / 10.0)
    assert 50.0 <= times.quantile(0.5) <= 50.0 * 1.26 and 95.0 <= times.quantile(0.95) <= 95.0 * 1.26
    assert times.mean() == pytest.approx(50.0, rel=0.05)
    assert times.cdf(25.0) == pytest.approx(0.25, abs=0.03)
    for _ in range(300):
        times.add(100_000.0, 5.0)  # five time constants later
    assert times.quantile(0.9) < 7.0 and times.known(100_000.0) == pytest.approx(300.0, rel=0.03)
    times.add(1e8, 5.0)
    assert times.known(1e8) == pytest.approx(1.0) and math.isfinite(times.total)


def test_what_is_known_only_to_be_done_before_lengthens_nothing() -> None:
    """Half of the replies come right behind another after 400 ms: their own 20 ms are found all the same."""
    times = Times()
    for _ in range(200):
        times.add(0.0, 20.0)
        times.add_at_most(0.0, 400.0)
    assert times.mean() == pytest.approx(20.0, rel=0.2) and times.quantile(0.99) < 30.0


@pytest.mark.parametrize("ms", [0.0, 0.05, EDGES[-1] * 2, 1e9])
def test_times_out_of_range_are_kept_at_the_ends(ms: float) -> None:
    times = Times()
    times.add(0.0, ms)
    assert 0.0 < times.quantile(0.5) <= EDGES[-1]


def test_a_slow_node_has_a_pace_and_loses_it_with_its_process() -> None:
    times = ServiceTimes(["read"])
    for _ in range(200):
        times.add(0.0, "read", "quick", 20.0, False)
    for _ in range(40):
        times.add(0.0, "read", "slow", 60.0, False)
    assert times.quantile("read", "slow", 0.5) > 1.5 * times.quantile("read", "quick", 0.5)
    times.forget("slow")
    assert times.pace("slow") == 1.0
    assert times.done_by("read", "quick", 100.0, age=1e6) < 0.01  # older than all that was seen


@pytest.mark.parametrize(("ratio", "low", "high"), [(0.9, 7.9, 8.0), (3.0, 1.0, 1.6), (1.4, 7.9, 8.0)])
def test_depth_turns_itself_down_where_it_hurts(ratio: float, low: float, high: float) -> None:
    depth = Depth(8)
    for _ in range(60 * SAMPLES):
        depth.replied(ratio, True)
    assert low <= depth.limit <= high


def test_depth_comes_back_by_replies_of_those_alone() -> None:
    depth = Depth(8)
    for _ in range(10):
        depth.trouble()
    assert depth.whole() == 1
    for _ in range(5 * SAMPLES):
        depth.replied(1.0, False)
    assert depth.whole() == 2
    for _ in range(10 * SAMPLES):
        depth.replied(9.0, False)
    assert depth.whole() == 2  # late replies of those alone raise nothing


def test_the_table_of_classes() -> None:
    rows = {(row.ahead, row.behind): row.verdict for row in
            Sharing(CLASSES.values(), ("read",), True).rows()}  # fmt: skip
    assert rows["read", "read"] is Behind.STALL and rows["charge", "read"] is Behind.WHOLE
    assert all(verdict is Behind.NO for (_, behind), verdict in rows.items() if behind != "read")
    assert rows["order", "read"] is Behind.NO and len(rows) == 9
