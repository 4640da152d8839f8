"""Leases: the invariants over all orders of events to a depth, bugs that are found, terms refused."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from glenchute.config import operator
from glenchute.policy.membership.leases import (
    NO_BALLOT,
    Acceptor,
    Ballot,
    LeaseMessage,
    LeaseMessageKind,
    LeaseTerms,
    Proposer,
    acceptor_set_problem,
)
from glenchute.policy.membership.outgoing import Outgoing
from glenchute.policy.membership.task_candidates import CANDIDATES_PER_TASK, TaskCandidate, TaskRecord
from lab.explore import Explored, Explorer
from lab.fleet.holders import (
    ACT_S,
    LeaseCluster,
    longest_gap,
    overlaps,
    run_acceptor_changes,
    run_with_faults,
)
from lab.fleet.leasing import LONGEST, TERMS, System, check, events, fresh, held, late, racing, tied

SYSTEMS: dict[str, tuple[Callable[..., System], dict[str, int], int]] = {
    "nothing is held": (fresh, {"tries": 1, "restarts": 0, "steps": 1}, 7),
    "one holds, a voter restarts": (held, {"restarts": 1, "steps": 0}, 10),
    "one holds, its time runs out": (held, {"steps": 1}, 10),
    "one holds, the other has heard nothing": (tied, {"steps": 1}, 10),
    "one holds, messages come twice": (held, {"repeats": 1, "steps": 1}, 6),
    "two proposals race": (racing, {"steps": 2}, 9),
    "an answer comes late": (late, {"steps": 1}, 12),
}


def explored(name: str, most: int = 60_000) -> Explored:
    make, budgets, depth = SYSTEMS[name]
    return Explorer(events, check, System.key).run(make(**budgets), depth, most)


@pytest.mark.parametrize("name", SYSTEMS)
def test_never_two_may_act_and_tokens_grow(name: str) -> None:
    told = explored(name)
    print(name, told)
    assert told.found is None and told.states > 300


def no_silence(patch: pytest.MonkeyPatch) -> None:
    """A voter answers as soon as it has started."""
    sound = Acceptor.__init__

    def init(self: Acceptor, name: str, terms: LeaseTerms, now: float) -> None:
        sound(self, name, terms, now)
        self.has_recovered = True

    patch.setattr(Acceptor, "__init__", init)


def no_recall(patch: pytest.MonkeyPatch) -> None:
    """A voter that has waited answers without asking what was promised."""
    sound = Acceptor.tick

    def tick(self: Acceptor, now: float) -> list[Outgoing[LeaseMessage]]:
        if not self.has_recovered and now >= self.silent_until:
            self.has_recovered = True
        return sound(self, now)

    patch.setattr(Acceptor, "tick", tick)


def half(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(LeaseTerms, "majority", 1)


def no_margin(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(LeaseTerms, "usable_span_s", lambda self, span: span)


def late_clock(patch: pytest.MonkeyPatch) -> None:
    """The holder's time begins when it has been accepted."""
    sound = Proposer.receive

    def heard(self: Proposer, now: float, sender: str, message: LeaseMessage) -> list[Outgoing[LeaseMessage]]:
        if self.current_round is not None and message.kind is LeaseMessageKind.ACCEPTED:
            self.current_round.lease_expires_at = now + self.terms.usable_span_s(self.span_s)
        return sound(self, now, sender, message)

    patch.setattr(Proposer, "receive", heard)


def any_proposal(patch: pytest.MonkeyPatch) -> None:
    """A proposal under a promise is accepted."""
    sound = Acceptor.receive

    def heard(self: Acceptor, now: float, sender: str, message: LeaseMessage) -> list[Outgoing[LeaseMessage]]:
        if message.kind is LeaseMessageKind.PROPOSE:
            self.promised[message.task] = min(self.promised.get(message.task, NO_BALLOT), message.ballot)
        return sound(self, now, sender, message)

    patch.setattr(Acceptor, "receive", heard)


def held_is_ignored(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Proposer, "is_available", lambda self, holder: True)


def ties_pass(patch: pytest.MonkeyPatch) -> None:
    """As it was first written; the exploration found it."""
    patch.setattr(Ballot, "may_replace", lambda self, promised: self >= promised)


def token_not_bumped(patch: pytest.MonkeyPatch) -> None:
    """A new holder takes the token that it has heard of."""
    sound = Proposer.receive

    def heard(self: Proposer, now: float, sender: str, message: LeaseMessage) -> list[Outgoing[LeaseMessage]]:
        before = self.lease
        outs = sound(self, now, sender, message)
        if self.lease is not None and before is None:
            self.lease.token = 1
        return outs

    patch.setattr(Proposer, "receive", heard)


RESTART, RACE, LATE = "one holds, a voter restarts", "two proposals race", "an answer comes late"
END, TIED = "one holds, its time runs out", "one holds, the other has heard nothing"


@pytest.mark.parametrize(
    ("bug", "where"),
    [(no_silence, RESTART), (half, RESTART), (no_margin, END), (any_proposal, RACE), (held_is_ignored, END),
     (token_not_bumped, END), (late_clock, LATE), (ties_pass, TIED)],
)  # fmt: skip
def test_a_bug_that_was_put_in_is_found(
    bug: Callable[[pytest.MonkeyPatch], None], where: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    bug(monkeypatch)
    told = explored(where, 400_000)
    assert told.found is not None, told
    print(bug.__name__, told.found.what, *told.found.history, sep="\n  ")


def test_a_voter_without_recall_lets_tokens_fall(monkeypatch: pytest.MonkeyPatch) -> None:
    """Told by hand, as its history is long: one restarts, and agrees with the one that was away to less."""

    def story() -> tuple[int, int]:
        system = held(tries=9, restarts=1, steps=9)
        for _ in range(6):  # tokens well above what a newcomer begins with
            system.seek("a")
            for row in list(system.net):
                if row in system.net and row[0] != "v2":
                    system.deliver(row, False)
            while rows := [row for row in system.net if row[0] != "v2" and row[1] != "v2"]:
                system.deliver(rows[0], False)
        first = system.seekers["a"].highest_number
        system.restart("v1")
        system.net.clear()
        for _ in range(5):
            system.pass_time()
        for _ in range(8):
            system.seek("b")
            while rows := [row for row in system.net if row[0] != "v0" and row[1] != "v0"]:
                system.deliver(rows[0], False)
            if system.holding() == ["b"]:
                break
        assert system.holding() == ["b"]
        holding = system.seekers["b"].lease
        assert holding is not None
        return first, holding.token

    first, second = story()
    assert second > first
    no_recall(monkeypatch)
    first, second = story()
    assert second <= first


def test_a_guard_leaves_time_for_the_effect_and_a_stop_is_found_out() -> None:
    system = held()
    seeker = system.seekers["a"]
    now = system.clock("a")
    assert seeker.fencing_token(now, 1.0) is not None
    assert seeker.fencing_token(now, LONGEST) is None  # it would outlast the lease
    assert seeker.fencing_token(now + 60.0, 0.0) is None and not seeker.is_holder(now + 60.0)  # after a stop


def test_all_voters_lost_begin_anew_and_one_beside_a_dead_one_waits() -> None:
    voters = {name: Acceptor(name, TERMS, 0.0) for name in TERMS.acceptors}

    def exchange(now: float, among: tuple[str, ...]) -> None:
        for name in among:
            for out in voters[name].tick(now):
                if out.to in among:
                    for back in voters[out.to].receive(now, name, out.message):
                        voters[name].receive(now, out.to, back.message)

    exchange(1.0, ("v0", "v1"))
    assert not any(voter.has_recovered for voter in voters.values())  # silent for the longest lease
    for now in (TERMS.startup_silence_s, TERMS.startup_silence_s + 1.0):
        exchange(now, ("v0", "v1"))
    assert voters["v0"].has_recovered and voters["v0"].has_lost_history and voters["v1"].has_recovered
    voters["v1"] = Acceptor("v1", TERMS, 20.0)
    for now in (40.0, 41.0):
        exchange(now, ("v0", "v1"))
    assert not voters["v1"].has_recovered  # v2 may know more than v0, and does not answer
    voters["v2"] = Acceptor("v2", TERMS, 20.0)
    for now in (50.0, 51.0):
        exchange(now, ("v0", "v1", "v2"))
    assert voters["v1"].has_recovered


@pytest.mark.parametrize(
    ("voters", "what"),
    [("abc", ""), ("abcde", ""), ("ab", "3 to 9"), ("abcd", "odd"), ("aab", "twice"), ("abx", "x, which is")],
)
def test_sets_of_voters(voters: str, what: str) -> None:
    told = acceptor_set_problem(list(voters), list("abcdefghij"))
    assert (what in told) if what else not told


# --- hundreds, in simulated time -------------------------------------------------------------------------


@pytest.mark.parametrize(("count", "voters"), [(5, 5), (15, 5), (60, 5), (9, 9), (12, 3)])
def test_no_two_act_at_once_over_drawn_faults(count: int, voters: int) -> None:
    """By the books of what they act on; and once faults are over somebody acts, at the latest when the
    silence of voters that have just started, and one lease, are over."""
    for seed in range(12):
        cluster = run_with_faults(seed, count, voters, tasks=1 + seed % 3)
        calm = cluster.now
        cluster.run(20.0)
        assert len(cluster.effects) > 100 and overlaps(cluster.effects) == [], seed
        most = 2.0 * cluster.terms.startup_silence_s + 2.0
        assert max(longest_gap(cluster.effects, task, calm, cluster.now) for task in cluster.tasks) < most, (
            seed
        )


def gives_back_at_once(patch: pytest.MonkeyPatch) -> None:
    """An effect that is under way does not keep the lease."""
    patch.setattr(
        TaskCandidate, "effects_until", property(lambda self: -1e9, lambda self, at: None), raising=False
    )


def clock_that_stands(patch: pytest.MonkeyPatch) -> None:
    """The clock of a stopped process stands as well, as some do while a machine sleeps."""

    def go_on(self: LeaseCluster, name: str) -> None:
        process = self.processes[name]
        process.offset -= (self.now - self.since[name]) * process.rate  # type: ignore[attr-defined]
        process.stopped = False

    def stop(self: LeaseCluster, name: str) -> None:
        self.since = {**getattr(self, "since", {}), name: self.now}  # type: ignore[attr-defined]
        self.processes[name].stopped = True

    patch.setattr(LeaseCluster, "stop", stop)
    patch.setattr(LeaseCluster, "resume", go_on)


def checked_too_early(patch: pytest.MonkeyPatch) -> None:
    """The time left is held against nothing: an effect may outlast the lease."""
    patch.setattr(
        TaskCandidate, "fencing_token", lambda self, now, longest_s: self.proposer.fencing_token(now, 0.0)
    )


@pytest.mark.parametrize("bug", [gives_back_at_once, clock_that_stands, checked_too_early, no_silence, half])
def test_the_swarm_finds_bugs_too(bug: Callable[..., None], monkeypatch: pytest.MonkeyPatch) -> None:
    bug(monkeypatch)
    for seed in range(120):
        cluster = run_with_faults(seed, 5, 5)
        if overlaps(cluster.effects):
            print(bug.__name__, seed, overlaps(cluster.effects)[0])
            return
    pytest.fail("not found")


# Voters' numbers, one set after the other, and whether that is safe.
SETS: dict[str, tuple[list[tuple[int, ...]], bool]] = {
    "two are added": ([(0, 1, 2), (0, 1, 2, 3), (0, 1, 2, 3, 4)], True),
    "two are taken away": ([(0, 1, 2, 3, 4), (0, 1, 2, 3), (0, 1, 2)], True),
    "one in another's place, by way of four": ([(0, 1, 2), (0, 1, 2, 3), (0, 1, 3)], True),
    "two in others' places at once": ([(0, 1, 2), (0, 3, 4)], False),
}


@pytest.mark.parametrize("name", SETS)
def test_voters_are_changed_one_at_a_time(name: str) -> None:
    sets, safe = SETS[name]
    bad = 0
    for seed in range(40):
        cluster = run_acceptor_changes(seed, sets)
        calm = cluster.now
        cluster.run(5.0)
        bad += bool(overlaps(cluster.effects))
        assert longest_gap(cluster.effects, "task0", calm, cluster.now) < 4.0
    assert (bad == 0) is safe


def test_five_hundred_members_send_no_more_than_their_candidates() -> None:
    """Messages a second do not grow with the members, and tasks are spread over them."""
    sent = {}
    for count in (20, 500):
        cluster = LeaseCluster(count, 1, tasks=20)
        cluster.run(5.0)
        before = cluster.sent
        cluster.run(10.0)
        sent[count] = (cluster.sent - before) / 10.0
        holders = {cluster.holder(task) for task in cluster.tasks}
        assert None not in holders
    assert sent[500] < 1.5 * sent[20] + 20.0 and len(holders) >= 15
    # All candidates of a task die at once: others take their places as soon as members tell.
    task = cluster.tasks[0]
    for keeper in [p.candidates[task] for p in cluster.processes.values() if p.candidates[task].is_candidate]:
        if keeper.proposer.name not in cluster.terms.acceptors:
            cluster.kill(keeper.proposer.name)
    died = cluster.now
    cluster.run(8.0)
    assert sum(act.began > died + 5.0 for act in cluster.effects if act.task == task) > 5
    assert (
        sum(process.candidates[task].is_candidate for process in cluster.processes.values())
        >= CANDIDATES_PER_TASK
    )


def test_a_release_hands_over_within_a_tenth_of_a_second() -> None:
    cluster = LeaseCluster(15, 3)
    cluster.run(5.0)
    held = cluster.holder("task0")
    assert held is not None
    cluster.release(held)
    cluster.run(1.0)
    others = [act.began for act in cluster.effects if act.by.partition("#")[0] != held]
    assert others and overlaps(cluster.effects) == []
    assert min(others) - max(a.began for a in cluster.effects if a.began < min(others)) < ACT_S + 0.5


@pytest.mark.parametrize(
    ("steps", "parked"),
    [("ok ok", False), ("no no no", False), ("no no no no", True), ("no no ok no no no", False)],
)
def test_a_task_is_parked_after_holdings_that_failed_in_a_row(steps: str, parked: bool) -> None:
    record = TaskRecord()
    for token, step in enumerate(steps.split(), 1):
        marked = record.taken_over_by(token).after_step(False)  # before it runs
        assert marked.version() > record.version()
        record = TaskRecord.from_row(
            marked.version(), float(marked.failures)
        )  # told on, and read by the next holder
        record = record.after_step(True) if step == "ok" else record
    assert record.is_parked is parked and not record.unparked().is_parked


FILE = """\
[fleet]
fleet = "lab"
name = "g0"
listen = "127.0.0.1:7946"
members = [{ name = "g1", address = "127.0.0.1:7947" }, { name = "g2", address = "127.0.0.1:7948" }]
[fleet.leases]
voters = ["g0", "g1", "g2"]
"""
TASK = '[[fleet.leases.tasks]]\nname = "close"\nkind = "call"\naddress = "127.0.0.1:80"\n'
WRONG = {
    "unsound-voters": FILE.replace('"g2"]', '"g7"]'),
    "task-twice": FILE + TASK + TASK,
    "task-address": FILE + TASK.replace('address = "127.0.0.1:80"\n', ""),
    "task-ask": FILE + '[[fleet.leases.tasks]]\nname = "ask"\nkind = "ask"\n',
    "long-step": FILE + TASK + "longest_step_s = 6.0\n",
}


@pytest.mark.parametrize("code", WRONG)
def test_unsafe_leases_are_refused_with_their_code(code: str) -> None:
    assert not operator.parse(FILE + TASK, None).findings
    found = operator.parse(WRONG[code], None).findings
    assert [finding.code for finding in found] == [code], found
