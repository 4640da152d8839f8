"""Which calls for the list are out, when the next one goes, and which are given up: so that what the service
has to tell is in force before it counts as told. No I/O; seconds of one clock that never goes back.

What counts as told, and when, is stated in `told.py`; all pauses and waits derive from it.

A silent watch looks like one without news until its wait is over, and it cannot have fallen silent before
the answer before it. So from the end of the wait on, `budget` is what is left at least: for noticing, a new
connection and an answer. It is parted evenly, by the calls and the answers that have to fit: a call that is
not answered after a part of it gets another beside it, on a connection of its own, that does not wait for
news. Whichever is answered first counts, and the others are closed. Where an odd list takes a second word
(`pacing.Doubt`) there is a part for that one too. It is asked for at once, by a call that puts off none of
the later ones; of a service that says something else each time no more than two calls a pause are made.

A call that came to nothing (no connection, a reset, a 503 with whatever `Retry-After`, an answer that says
nothing) is followed by the next within `told.latest` of the moment at which it was made, and within
`told.longest_pause`. Until a sound answer has come, calls wait for news no longer than `told.wait_in_doubt`,
as each may hang.

Guarantee (property tests): while one of the calls made after the silence comes up and is answered within
`reach`, its answer is in force in time, whatever the wait, the moment of the silence, and what became of
the other calls; one that takes a second word, if that is answered within `reach` as well. The same holds from
the moment in which discovery could be reached again, whatever became of each call before it and however
late that was told.

A gateway that leaves asking to its members is as late as their words while these come. When they stop it
calls `told.left_alone` after the last was out of date at the latest, whatever age of lists is stated, so that
what came since the list was confirmed is heard of in time.

Cost: where lists are asked for, the service is shared. One call is made beside one that is late, no sooner
than half of the budget after its wait; then the pauses of `Pacing` hold. A service that answers within a
second gets no call more than before. Where lists are pushed waits are half of `TOLD_S`, so that three tries
fit, and pauses are short enough for a drain's grace, as the calls cost nobody but this machine.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from . import notification as told
from .polling import Pacing

TRIES_PUSHED = 3  # calls beside a silent one, within the budget
TRIES_ASKED = 1
AT_ONCE_S = 0.001  # the wait of a call that wants an answer now, whether or not there are news
MOST_OUT = 2  # calls at one time: the newest, and one that may still be answered


class Open(NamedTuple):
    """A connection is to be opened, and a call made on it."""

    line: int
    wait_s: float  # for news; 0: the whole list is asked for


class Ask(NamedTuple):
    """A call on a connection that has answered."""

    line: int
    wait_s: float


class Close(NamedTuple):
    """A connection is to be closed: nothing that comes on it counts any more."""

    line: int


Action = Open | Ask | Close


class Watch:
    """The calls of one gateway. The owner carries actions out in order, calls `tick` at `due`, and tells of
    each line that it was asked to open or to ask what became of it, in the order of events."""

    def __init__(self, turns: Pacing, others: Callable[[], float] = lambda: 0.0, words: int = 1) -> None:
        """`others`: for how long, in seconds, members ask for this gateway. `words`: answers, asked for one
        right after the other, that a change may take to be in force."""
        self.turns, self.words = turns, words
        self.others = others
        self.tries = TRIES_PUSHED if turns.terms.pushed else TRIES_ASKED
        self.longest_s = float("inf")  # of a watch's waits
        self.due = float("inf")  # when the next call goes, if nothing comes before
        self.out: list[int] = []  # lines with a call out or coming up, oldest first
        self.rest: int | None = None  # the line that has answered, between two calls
        self.last = 0  # number of the newest line
        self.beside = 0  # calls made beside a late one since the last answer
        self.awaited = False  # a start waits for the next answer
        self.moved = False  # nothing has come from the present address yet
        self.latest = float("inf")  # when the next call goes, whatever becomes of the last one made
        self.left_alone = False  # members ask for this gateway
        self.hurried = False  # the next call asks for a second word
        self.second: int | None = None  # the line of the last call that did

    def reach(self, wait_s: float) -> float:
        """The part of the budget after which a call gets another beside it. An agent on this machine answers
        all calls alike, so that even those that need not wait are late by the same measure there."""
        if self.turns.terms.pushed:
            wait_s = max(wait_s, told.PUSHED_WAIT_S)
        return told.budget(wait_s, self.moved) / (self.tries + self.words)

    def begin(self, now: float, pause_s: float, awaited: bool) -> None:
        """The first call goes after this pause."""
        self.due, self.awaited = now + pause_s, awaited

    def move(self, now: float) -> list[Action]:
        """Another address: what is out at the old one counts no more."""
        closed = [*self.out, *([self.rest] if self.rest is not None else [])]
        self.out, self.rest, self.beside, self.moved, self.hurried = [], None, 0, True, False
        self.due = now + self.turns.moved()
        return [Close(line) for line in closed]

    def hurry(self, now: float) -> None:
        """This gateway is to ask for others from now on."""
        if self.left_alone:
            self.due = now

    def tick(self, now: float, listed: bool) -> list[Action]:
        """Makes the call that is due, if one is. `listed`: a list is held, and news of it are asked."""
        if now < self.due:
            return []
        if not self.out:
            seconds = self.others()
            self.left_alone = seconds > 0.0
            if self.left_alone:
                self.due = now + seconds + min(self.turns.in_step(), told.left_alone())
                return []
            return [self.call(now, self.wait() if listed else 0.0)]
        self.beside += 1
        actions: list[Action] = [self.call(now, AT_ONCE_S if listed else 0.0)]
        if self.beside > self.tries:
            # In vain so far: no longer a matter of one broken watch, and the service's callers take turns.
            self.due = max(self.due, now + self.turns.failed())
        while len(self.out) > MOST_OUT:
            actions.append(Close(self.out.pop(0)))
        return actions

    def wait(self) -> float:
        """The wait of the next call for news."""
        return AT_ONCE_S if self.awaited else min(self.longest_s, self.turns.patience())

    def call(self, now: float, wait_s: float) -> Action:
        """A call, on the line that rests or on a new one."""
        self.due = now + wait_s + self.reach(wait_s)
        latest = now + told.latest(wait_s)
        self.latest = min(self.latest, latest) if self.hurried else latest
        line, self.rest = self.rest, None
        action = Ask if line is not None else Open
        if line is None:
            self.last += 1
            line = self.last
        if self.hurried or self.second == line:
            self.second = line if self.hurried else None
        self.hurried = False
        self.out.append(line)
        return action(line, wait_s)

    def answered(self, now: float, line: int, pause_s: float) -> list[Action]:
        """A sound answer is in force; the next call goes after a pause."""
        closed = [one for one in self.out if one != line]
        self.out, self.rest, self.beside = [], line, 0
        self.awaited = self.moved = self.hurried = False
        self.due = now + pause_s
        return [Close(one) for one in closed]

    def failed(self, now: float, line: int, pause_s: float) -> list[Action]:
        """An answer that says nothing; the next call goes after a pause."""
        self.out.remove(line)
        self.after(now, pause_s)
        if self.out:
            return [Close(line)]  # another call is out, and one line rests at most
        self.rest = line
        return []

    def doubted(self, now: float, line: int, pause_s: float) -> list[Action]:
        """An answer that takes a second word. That is asked for at once, unless this was one: then the next
        call goes after a pause."""
        self.hurried = line != self.second
        return self.failed(now, line, 0.0 if self.hurried else pause_s)

    def lost(self, now: float, line: int) -> bool:
        """A connection has ended or did not come up. Whether no call is out any more because of it."""
        if line == self.rest:
            self.rest = None  # after its answer: the next call opens another
        if line not in self.out:
            return False
        self.out.remove(line)
        if self.out:
            return False
        self.after(now, self.turns.failed())
        return True

    def after(self, now: float, pause_s: float) -> None:
        """A call came to nothing: when the next goes."""
        self.due = max(now, min(now + pause_s, self.latest))
