"""State machine of the endpoint watch: which polls of the discovery service are in flight, when the next one
is sent, and which are abandoned. No I/O; times in seconds of one monotonic clock.

It meets the deadlines of `notification`; every delay and wait is derived from them.

A silent watch can't be told from one without changes until its wait is over, and it cannot have become silent
before the previous answer. So from the end of the wait on, at least `notification.recovery_budget_s` is left
for detecting the silence, a new connection and an answer. The budget is divided evenly among the polls and
answers that have to fit into it: a poll that is not answered within its part is hedged by another one on a
separate connection, which does not wait for a change. The first answer counts, and the other connections are
closed. Where an unusual list needs a confirming answer (`list_confirmation`), that answer has a part too. It
is requested at once by a poll that does not postpone later ones; a service that answers differently each time
gets two polls per delay at most.

After a failed poll (no connection, a reset, a 503 with any Retry-After, an invalid answer) the next one is
sent within `next_poll_deadline_s` of when the failed one was sent, and within `max_backoff_s`. Until a valid
answer has come, polls wait for changes no longer than `max_wait_after_failure_s`, as each may hang.

Guarantee, checked by property tests: if one of the polls after the silence connects and is answered within
`answer_timeout_s`, its answer is in force by the deadline, whatever the wait, the moment of the silence and
the results of the other polls; if it needs a confirmation, that has to be answered within `answer_timeout_s`
too. The same holds from the moment at which the discovery service becomes reachable again, whatever the
result of each earlier poll and however late that was reported.

A gateway that delegates polling to other members depends on their confirmations. After the last one has
expired it polls by itself within `max_own_poll_delay_s`, whatever maximum list age is configured, so that
changes since that confirmation are received in time.

Cost: at a shared service, one poll hedges a late one, no sooner than half of the budget after its wait;
after that the delays of `PollScheduler` apply. A service that answers within a second gets no additional
polls. Where an agent pushes the lists, waits are half of `NOTIFIED_AFTER_S`, so that three hedged polls fit,
and delays are shorter than a drain's grace period, as polls cost only this machine.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

from . import notification
from .polling import PollScheduler

MAX_HEDGED_POLLS_PUSHED = 3  # hedged polls per silent one, within the budget, if lists are pushed
MAX_HEDGED_POLLS = 1  # hedged polls per silent one at a shared service
IMMEDIATE_WAIT_S = 0.001  # wait of a poll that is to be answered at once, changed or not
MAX_IN_FLIGHT = 2  # polls in flight: the newest, and one that may still be answered


class OpenAndPoll(NamedTuple):
    """Command: open a connection and poll on it."""

    connection_id: int
    wait_s: float  # how long to wait for a change; 0: the complete list is requested


class Poll(NamedTuple):
    """Command: poll on an idle connection."""

    connection_id: int
    wait_s: float  # how long to wait for a change; 0: the complete list is requested


class CloseConnection(NamedTuple):
    """Command: close a connection; an answer on it no longer counts."""

    connection_id: int


WatchCommand = OpenAndPoll | Poll | CloseConnection


class EndpointWatch:
    """Sends and tracks the polls of one gateway.

    The owner executes the returned commands in order, calls `tick` at `next_poll_at`, and reports the result
    of each commanded poll by one of the `record_...` methods, in the order of events.
    """

    def __init__(
        self,
        scheduler: PollScheduler,
        delegated_for_s: Callable[[], float] = lambda: 0.0,
        answers_needed: int = 1,
    ) -> None:
        """`delegated_for_s`: returns for how long from now other members poll for this gateway.
        `answers_needed`: answers to consecutive polls that a change may need to come into force."""
        self.scheduler, self.answers_needed = scheduler, answers_needed
        self.delegated_for_s = delegated_for_s
        is_pushed = scheduler.settings.is_pushed
        self.max_hedged_polls = MAX_HEDGED_POLLS_PUSHED if is_pushed else MAX_HEDGED_POLLS
        self.max_wait_s = math.inf  # longest wait of a poll for a change
        self.next_poll_at = math.inf  # when to call `tick`, unless an event comes first
        self.poll_deadline = math.inf  # when the next poll is due, whatever the result of the last one
        self.in_flight: list[int] = []  # connections with a poll in flight or connecting, oldest first
        self.idle_connection: int | None = None  # the connection without a poll in flight, after an answer
        self.last_connection_id = 0
        self.hedged_polls = 0  # hedged polls since the last answer
        self.is_start_waiting = False  # whether the start of the process waits for the next answer
        self.is_new_address = False  # whether the present address has not answered yet
        self.is_delegated = False  # whether other members poll for this gateway
        self.needs_confirmation = False  # whether the next poll asks to confirm the last answer
        self.confirming_connection: int | None = None  # connection of the last confirming poll

    def answer_timeout_s(self, wait_s: float) -> float:
        """Returns the time after the end of a poll's wait at which it is hedged, an equal part of the budget.
        An agent on this machine serves all polls alike, so there even polls that do not wait get the timeout
        of those that do."""
        if self.scheduler.settings.is_pushed:
            wait_s = max(wait_s, notification.PUSHED_WATCH_WAIT_S)
        budget_s = notification.recovery_budget_s(wait_s, self.is_new_address)
        return budget_s / (self.max_hedged_polls + self.answers_needed)

    def start(self, now: float, delay_s: float, is_start_waiting: bool) -> None:
        """Schedules the first poll."""
        self.next_poll_at, self.is_start_waiting = now + delay_s, is_start_waiting

    def change_address(self, now: float) -> list[WatchCommand]:
        """Abandons all polls at the old address, as the discovery service has a new one."""
        obsolete = [*self.in_flight, *([self.idle_connection] if self.idle_connection is not None else [])]
        self.in_flight, self.idle_connection = [], None
        self.hedged_polls, self.is_new_address, self.needs_confirmation = 0, True, False
        self.next_poll_at = now + self.scheduler.reset_for_new_address()
        return [CloseConnection(connection_id) for connection_id in obsolete]

    def resume_polling(self, now: float) -> None:
        """Ends the delegation of polls: this gateway polls for others from now on."""
        if self.is_delegated:
            self.next_poll_at = now

    def tick(self, now: float, has_list: bool) -> list[WatchCommand]:
        """Sends the next poll once it is due. `has_list`: whether a list is in force, so that changes to it
        are requested."""
        if now < self.next_poll_at:
            return []
        if self.in_flight:
            return self._hedge(now, has_list)
        delegated_s = self.delegated_for_s()
        self.is_delegated = delegated_s > 0.0
        if self.is_delegated:
            own_delay_s = min(self.scheduler.synchronized_delay_s(), notification.max_own_poll_delay_s())
            self.next_poll_at = now + delegated_s + own_delay_s
            return []
        return [self._poll(now, self._next_wait_s() if has_list else 0.0)]

    def _hedge(self, now: float, has_list: bool) -> list[WatchCommand]:
        """Sends an additional poll, as those in flight are late."""
        self.hedged_polls += 1
        commands: list[WatchCommand] = [self._poll(now, IMMEDIATE_WAIT_S if has_list else 0.0)]
        if self.hedged_polls > self.max_hedged_polls:
            # The hedged polls failed too, so it is not one broken watch: from now on polls are spread.
            self.next_poll_at = max(self.next_poll_at, now + self.scheduler.record_failure())
        while len(self.in_flight) > MAX_IN_FLIGHT:
            commands.append(CloseConnection(self.in_flight.pop(0)))
        return commands

    def _next_wait_s(self) -> float:
        if self.is_start_waiting:
            return IMMEDIATE_WAIT_S
        return min(self.max_wait_s, self.scheduler.watch_wait_s())

    def _poll(self, now: float, wait_s: float) -> WatchCommand:
        """Returns the command for a poll on the idle connection, or on a new one, and records it as in
        flight."""
        self.next_poll_at = now + wait_s + self.answer_timeout_s(wait_s)
        deadline = now + notification.next_poll_deadline_s(wait_s)
        # A confirming poll does not extend the deadline of the poll that it follows.
        self.poll_deadline = min(self.poll_deadline, deadline) if self.needs_confirmation else deadline
        connection_id, self.idle_connection = self.idle_connection, None
        command = Poll if connection_id is not None else OpenAndPoll
        if connection_id is None:
            self.last_connection_id += 1
            connection_id = self.last_connection_id
        if self.needs_confirmation or self.confirming_connection == connection_id:
            self.confirming_connection = connection_id if self.needs_confirmation else None
        self.needs_confirmation = False
        self.in_flight.append(connection_id)
        return command(connection_id, wait_s)

    def record_answer(self, now: float, connection_id: int, delay_s: float) -> list[WatchCommand]:
        """Records a valid answer, which is in force; the next poll is sent after the delay."""
        superseded = [other for other in self.in_flight if other != connection_id]
        self.in_flight, self.idle_connection, self.hedged_polls = [], connection_id, 0
        self.is_start_waiting = self.is_new_address = self.needs_confirmation = False
        self.next_poll_at = now + delay_s
        return [CloseConnection(other) for other in superseded]

    def record_failure(self, now: float, connection_id: int, delay_s: float) -> list[WatchCommand]:
        """Records an invalid answer or a rejection; the next poll is sent after the delay."""
        self.in_flight.remove(connection_id)
        self._schedule_retry(now, delay_s)
        if self.in_flight:
            return [CloseConnection(connection_id)]  # at most one idle connection is kept
        self.idle_connection = connection_id
        return []

    def record_unconfirmed(self, now: float, connection_id: int, delay_s: float) -> list[WatchCommand]:
        """Records a list that needs a confirming answer. The confirming poll is sent at once, unless this was
        the answer to one: then the next poll is sent after the delay."""
        self.needs_confirmation = connection_id != self.confirming_connection
        return self.record_failure(now, connection_id, 0.0 if self.needs_confirmation else delay_s)

    def record_connection_lost(self, now: float, connection_id: int) -> bool:
        """Records a connection that was closed by the peer or could not be opened; returns whether the last
        poll in flight was lost with it."""
        if connection_id == self.idle_connection:
            self.idle_connection = None  # the next poll opens a new one
        if connection_id not in self.in_flight:
            return False
        self.in_flight.remove(connection_id)
        if self.in_flight:
            return False
        self._schedule_retry(now, self.scheduler.record_failure())
        return True

    def _schedule_retry(self, now: float, delay_s: float) -> None:
        """Schedules the poll after a failed one: after the delay, at the deadline at the latest."""
        self.next_poll_at = max(now, min(now + delay_s, self.poll_deadline))
