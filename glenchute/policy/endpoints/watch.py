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
from .polling import PollScheduler

MAX_HEDGED_POLLS_PUSHED = 3  # calls beside a silent one, within the budget
MAX_HEDGED_POLLS = 1
IMMEDIATE_WAIT_S = 0.001  # the wait of a call that wants an answer now, whether or not there are news
MAX_IN_FLIGHT = 2  # calls at one time: the newest, and one that may still be answered


class OpenAndPoll(NamedTuple):
    """A connection is to be opened, and a call made on it."""

    connection_id: int
    wait_s: float  # for news; 0: the whole list is asked for


class Poll(NamedTuple):
    """A call on a connection that has answered."""

    connection_id: int
    wait_s: float


class CloseConnection(NamedTuple):
    """A connection is to be closed: nothing that comes on it counts any more."""

    connection_id: int


WatchCommand = OpenAndPoll | Poll | CloseConnection


class EndpointWatch:
    """The calls of one gateway. The owner carries actions out in order, calls `tick` at `due`, and tells of
    each line that it was asked to open or to ask what became of it, in the order of events."""

    def __init__(
        self, turns: PollScheduler, others: Callable[[], float] = lambda: 0.0, words: int = 1
    ) -> None:
        """`others`: for how long, in seconds, members ask for this gateway. `words`: answers, asked for one
        right after the other, that a change may take to be in force."""
        self.scheduler, self.answers_needed = turns, words
        self.delegated_for_s = others
        self.max_hedged_polls = MAX_HEDGED_POLLS_PUSHED if turns.terms.is_pushed else MAX_HEDGED_POLLS
        self.max_wait_s = float("inf")  # of a watch's waits
        self.next_poll_at = float("inf")  # when the next call goes, if nothing comes before
        self.in_flight: list[int] = []  # lines with a call out or coming up, oldest first
        self.idle_connection: int | None = None  # the line that has answered, between two calls
        self.last_connection_id = 0  # number of the newest line
        self.hedged_polls = 0  # calls made beside a late one since the last answer
        self.is_start_waiting = False  # a start waits for the next answer
        self.is_moved = False  # nothing has come from the present address yet
        self.poll_deadline = float("inf")  # when the next call goes, whatever becomes of the last one made
        self.is_delegated = False  # members ask for this gateway
        self.needs_confirmation = False  # the next call asks for a second word
        self.confirming_connection: int | None = None  # the line of the last call that did

    def answer_timeout_s(self, wait_s: float) -> float:
        """The part of the budget after which a call gets another beside it. An agent on this machine answers
        all calls alike, so that even those that need not wait are late by the same measure there."""
        if self.scheduler.terms.is_pushed:
            wait_s = max(wait_s, told.PUSHED_WATCH_WAIT_S)
        return told.recovery_budget_s(wait_s, self.is_moved) / (self.max_hedged_polls + self.answers_needed)

    def start(self, now: float, pause_s: float, awaited: bool) -> None:
        """The first call goes after this pause."""
        self.next_poll_at, self.is_start_waiting = now + pause_s, awaited

    def change_address(self, now: float) -> list[WatchCommand]:
        """Another address: what is out at the old one counts no more."""
        closed = [*self.in_flight, *([self.idle_connection] if self.idle_connection is not None else [])]
        self.in_flight, self.idle_connection, self.hedged_polls, self.is_moved, self.needs_confirmation = (
            [],
            None,
            0,
            True,
            False,
        )
        self.next_poll_at = now + self.scheduler.reset_for_new_address()
        return [CloseConnection(line) for line in closed]

    def resume_polling(self, now: float) -> None:
        """This gateway is to ask for others from now on."""
        if self.is_delegated:
            self.next_poll_at = now

    def tick(self, now: float, listed: bool) -> list[WatchCommand]:
        """Makes the call that is due, if one is. `listed`: a list is held, and news of it are asked."""
        if now < self.next_poll_at:
            return []
        if not self.in_flight:
            seconds = self.delegated_for_s()
            self.is_delegated = seconds > 0.0
            if self.is_delegated:
                self.next_poll_at = (
                    now + seconds + min(self.scheduler.synchronized_delay_s(), told.max_own_poll_delay_s())
                )
                return []
            return [self.poll(now, self.next_wait_s() if listed else 0.0)]
        self.hedged_polls += 1
        actions: list[WatchCommand] = [self.poll(now, IMMEDIATE_WAIT_S if listed else 0.0)]
        if self.hedged_polls > self.max_hedged_polls:
            # In vain so far: no longer a matter of one broken watch, and the service's callers take turns.
            self.next_poll_at = max(self.next_poll_at, now + self.scheduler.record_failure())
        while len(self.in_flight) > MAX_IN_FLIGHT:
            actions.append(CloseConnection(self.in_flight.pop(0)))
        return actions

    def next_wait_s(self) -> float:
        """The wait of the next call for news."""
        return (
            IMMEDIATE_WAIT_S if self.is_start_waiting else min(self.max_wait_s, self.scheduler.watch_wait_s())
        )

    def poll(self, now: float, wait_s: float) -> WatchCommand:
        """A call, on the line that rests or on a new one."""
        self.next_poll_at = now + wait_s + self.answer_timeout_s(wait_s)
        latest = now + told.next_poll_deadline_s(wait_s)
        self.poll_deadline = min(self.poll_deadline, latest) if self.needs_confirmation else latest
        line, self.idle_connection = self.idle_connection, None
        action = Poll if line is not None else OpenAndPoll
        if line is None:
            self.last_connection_id += 1
            line = self.last_connection_id
        if self.needs_confirmation or self.confirming_connection == line:
            self.confirming_connection = line if self.needs_confirmation else None
        self.needs_confirmation = False
        self.in_flight.append(line)
        return action(line, wait_s)

    def record_answer(self, now: float, line: int, pause_s: float) -> list[WatchCommand]:
        """A sound answer is in force; the next call goes after a pause."""
        closed = [one for one in self.in_flight if one != line]
        self.in_flight, self.idle_connection, self.hedged_polls = [], line, 0
        self.is_start_waiting = self.is_moved = self.needs_confirmation = False
        self.next_poll_at = now + pause_s
        return [CloseConnection(one) for one in closed]

    def record_failure(self, now: float, line: int, pause_s: float) -> list[WatchCommand]:
        """An answer that says nothing; the next call goes after a pause."""
        self.in_flight.remove(line)
        self.schedule_retry(now, pause_s)
        if self.in_flight:
            return [CloseConnection(line)]  # another call is out, and one line rests at most
        self.idle_connection = line
        return []

    def record_unconfirmed(self, now: float, line: int, pause_s: float) -> list[WatchCommand]:
        """An answer that takes a second word. That is asked for at once, unless this was one: then the next
        call goes after a pause."""
        self.needs_confirmation = line != self.confirming_connection
        return self.record_failure(now, line, 0.0 if self.needs_confirmation else pause_s)

    def record_connection_lost(self, now: float, line: int) -> bool:
        """A connection has ended or did not come up. Whether no call is out any more because of it."""
        if line == self.idle_connection:
            self.idle_connection = None  # after its answer: the next call opens another
        if line not in self.in_flight:
            return False
        self.in_flight.remove(line)
        if self.in_flight:
            return False
        self.schedule_retry(now, self.scheduler.record_failure())
        return True

    def schedule_retry(self, now: float, pause_s: float) -> None:
        """A call came to nothing: when the next goes."""
        self.next_poll_at = max(now, min(now + pause_s, self.poll_deadline))
