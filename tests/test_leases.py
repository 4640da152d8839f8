"""Leases: the invariants over all orders of events to a depth, bugs that are found, terms refused."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from glenchute.deciders.fleet.leases import (
    NOTHING,
    Ballot,
    Kind,
    Lease,
    Out,
    Seeker,
    Terms,
    Voter,
    sound_voters,
)
from lab.explore import Explored, Explorer
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
    sound = Voter.__init__

    def init(self: Voter, name: str, terms: Terms, now: float) -> None:
        sound(self, name, terms, now)
        self.ready = True

    patch.setattr(Voter, "__init__", init)


def no_recall(patch: pytest.MonkeyPatch) -> None:
    """A voter that has waited answers without asking what was promised."""
    sound = Voter.tick

    def tick(self: Voter, now: float) -> list[Out]:
        if not self.ready and now >= self.speaks_at:
            self.ready = True
        return sound(self, now)

    patch.setattr(Voter, "tick", tick)


def half(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Terms, "majority", 1)


def no_margin(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Terms, "held_for", lambda self, span: span)


def late_clock(patch: pytest.MonkeyPatch) -> None:
    """The holder's time begins when it has been accepted."""
    sound = Seeker.heard

    def heard(self: Seeker, now: float, sender: str, message: Lease) -> list[Out]:
        if self.trying is not None and message.kind is Kind.ACCEPTED:
            self.trying.until = now + self.terms.held_for(self.span)
        return sound(self, now, sender, message)

    patch.setattr(Seeker, "heard", heard)


def any_proposal(patch: pytest.MonkeyPatch) -> None:
    """A proposal under a promise is accepted."""
    sound = Voter.heard

    def heard(self: Voter, now: float, sender: str, message: Lease) -> list[Out]:
        if message.kind is Kind.PROPOSE:
            self.promised[message.task] = min(self.promised.get(message.task, NOTHING), message.ballot)
        return sound(self, now, sender, message)

    patch.setattr(Voter, "heard", heard)


def held_is_ignored(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Seeker, "mine", lambda self, holder: True)


def ties_pass(patch: pytest.MonkeyPatch) -> None:
    """As it was first written; the exploration found it."""
    patch.setattr(Ballot, "passes", lambda self, promised: self >= promised)


def token_not_bumped(patch: pytest.MonkeyPatch) -> None:
    """A new holder takes the token that it has heard of."""
    sound = Seeker.heard

    def heard(self: Seeker, now: float, sender: str, message: Lease) -> list[Out]:
        before = self.holding
        outs = sound(self, now, sender, message)
        if self.holding is not None and before is None:
            self.holding.token = 1
        return outs

    patch.setattr(Seeker, "heard", heard)


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
        first = system.seekers["a"].highest
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
        holding = system.seekers["b"].holding
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
    assert seeker.guard(now, 1.0) is not None
    assert seeker.guard(now, LONGEST) is None  # it would outlast the lease
    assert seeker.guard(now + 60.0, 0.0) is None and not seeker.holds(now + 60.0)  # after a stop


def test_all_voters_lost_begin_anew_and_one_beside_a_dead_one_waits() -> None:
    voters = {name: Voter(name, TERMS, 0.0) for name in TERMS.voters}

    def exchange(now: float, among: tuple[str, ...]) -> None:
        for name in among:
            for out in voters[name].tick(now):
                if out.to in among:
                    for back in voters[out.to].heard(now, name, out.message):
                        voters[name].heard(now, out.to, back.message)

    exchange(1.0, ("v0", "v1"))
    assert not any(voter.ready for voter in voters.values())  # silent for the longest lease
    for now in (TERMS.silence, TERMS.silence + 1.0):
        exchange(now, ("v0", "v1"))
    assert voters["v0"].ready and voters["v0"].anew and voters["v1"].ready
    voters["v1"] = Voter("v1", TERMS, 20.0)
    for now in (40.0, 41.0):
        exchange(now, ("v0", "v1"))
    assert not voters["v1"].ready  # v2 may know more than v0, and does not answer
    voters["v2"] = Voter("v2", TERMS, 20.0)
    for now in (50.0, 51.0):
        exchange(now, ("v0", "v1", "v2"))
    assert voters["v1"].ready


@pytest.mark.parametrize(
    ("voters", "what"),
    [("abc", ""), ("abcde", ""), ("ab", "3 to 9"), ("abcd", "odd"), ("aab", "twice"), ("abx", "x, which is")],
)
def test_sets_of_voters(voters: str, what: str) -> None:
    told = sound_voters(list(voters), list("abcdefghij"))
    assert (what in told) if what else not told
