"""Deadlines by which a change at the discovery service counts as notified to this gateway, and the polling
limits that follow from them. Stateless; all times in seconds.

A change *counts as notified* from the moment at which requests to a server that it takes away are this
gateway's fault. These deadlines go before those of the platform's protocol document:

- After a failed, rejected or abandoned poll, whatever else is allowed: `NOTIFIED_AFTER_S` after discovery had
  the change and could be reached.
- A change that a silent watch misses: `NOTIFIED_AFTER_S` after the watch fell silent, or
  `NOTIFIED_AFTER_WAIT_S` after the wait of its poll has elapsed, whichever is later.
- A new discovery address: `NOTIFIED_AFTER_MOVE_S` after the instruction to use it.
- Where an agent on this machine pushes the lists: at once, whether or not a poll is in flight.

The poll rate and the maximum list age that an operator may configure do not extend these deadlines. Nor does
the confirmation of an unusual list: its poll goes without delay, and both answers fit into the budget of one
(`watch.EndpointWatch.answer_timeout_s`).

A gateway does not learn when discovery became reachable again. It may have been right after the last poll was
sent, and that poll may never be answered, so `next_poll_deadline_s` counts from the moment of the poll.
"""

from __future__ import annotations

NOTIFIED_AFTER_S = 6.0
NOTIFIED_AFTER_WAIT_S = 2.0
NOTIFIED_AFTER_MOVE_S = 4.0
ANSWER_ALLOWANCE_S = 2.0  # for a new connection and an answer, at a service that is loaded but reachable
CONFIRMATION_TTL_S = 3.0  # a list that members confirmed within this time needs no poll of its own
PUSHED_WATCH_WAIT_S = 3.0  # half of `NOTIFIED_AFTER_S`, so that three hedged polls fit behind it


def recovery_budget_s(wait_s: float, moved: bool = False) -> float:
    """The least time between the end of a poll's wait and the moment at which a change it missed counts as
    notified. `wait_s`: how long the poll waits for a change; `moved`: the first poll at a new address."""
    return max((NOTIFIED_AFTER_MOVE_S if moved else NOTIFIED_AFTER_S) - wait_s, NOTIFIED_AFTER_WAIT_S)


def next_poll_deadline_s(wait_s: float, moved: bool = False) -> float:
    """The latest time after a poll was sent at which the next one is sent, if the first has failed."""
    return wait_s + recovery_budget_s(wait_s, moved) - ANSWER_ALLOWANCE_S


def max_backoff_s(moved: bool = False) -> float:
    """The longest delay after a poll that failed at once, or after a change of address (`moved`)."""
    return next_poll_deadline_s(0.0, moved)


def max_wait_after_failure_s() -> float:
    """The longest wait of a poll that follows a failed one. If it is not answered either, a change it missed
    is in force `NOTIFIED_AFTER_S` after it was sent. A longer wait is due `NOTIFIED_AFTER_WAIT_S` after its
    end; a shorter one costs polls just when a service that was away gets all its clients back."""
    return NOTIFIED_AFTER_S - NOTIFIED_AFTER_WAIT_S


def max_own_poll_delay_s() -> float:
    """The latest time after a member's confirmation has expired at which this gateway polls by itself. A
    change right after the list was confirmed counts as notified `NOTIFIED_AFTER_S` after that."""
    return max_backoff_s() - CONFIRMATION_TTL_S
