"""Deadlines by which a change at the discovery service counts as notified to this gateway, and the polling
limits derived from them. Stateless; all times in seconds.

A change *counts as notified* from the moment at which this gateway is responsible for requests that it sends
to a removed server. These deadlines take precedence over those of the platform's protocol document:

- After a failed, rejected or abandoned poll, whatever other delays are allowed: `NOTIFIED_AFTER_S` after the
  discovery service had the change and was reachable.
- A change that a silent watch misses: `NOTIFIED_AFTER_S` after the watch became silent, or
  `NOTIFIED_AFTER_WAIT_S` after the wait of its poll has elapsed, whichever is later.
- A new discovery address: `NOTIFIED_AFTER_MOVE_S` after the instruction to use it.
- Where an agent on this machine pushes the lists: at once, whether or not a poll is in flight.

The poll rate and the maximum list age that an operator may configure do not extend these deadlines. Nor does
the confirmation of an unusual list: the confirming poll is sent without delay, and both answers fit into the
time budget of one (`watch.EndpointWatch.answer_timeout_s`).

A gateway does not learn when the discovery service became reachable again. That may have been right after the
last poll was sent, and that poll may never be answered, so `next_poll_deadline_s` counts from when it was
sent.
"""

from __future__ import annotations

NOTIFIED_AFTER_S = 6.0
NOTIFIED_AFTER_WAIT_S = 2.0
NOTIFIED_AFTER_MOVE_S = 4.0
ANSWER_ALLOWANCE_S = 2.0  # time for a new connection and an answer, at a service that is loaded but reachable
CONFIRMATION_TTL_S = 3.0  # a list that members confirmed this recently needs no poll by this gateway
PUSHED_WATCH_WAIT_S = 3.0  # half of `NOTIFIED_AFTER_S`, so that three hedged polls fit behind it


def recovery_budget_s(wait_s: float, at_new_address: bool = False) -> float:
    """Returns the least time between the end of a poll's wait and the moment at which a change that the poll
    missed counts as notified. `wait_s`: how long the poll waits for a change; `at_new_address`: whether it is
    the first poll at a new address."""
    return max(
        (NOTIFIED_AFTER_MOVE_S if at_new_address else NOTIFIED_AFTER_S) - wait_s, NOTIFIED_AFTER_WAIT_S
    )


def next_poll_deadline_s(wait_s: float, at_new_address: bool = False) -> float:
    """Returns how long after a failed poll was sent the next one is sent at the latest."""
    return wait_s + recovery_budget_s(wait_s, at_new_address) - ANSWER_ALLOWANCE_S


def max_backoff_s(at_new_address: bool = False) -> float:
    """Returns the longest delay after a poll that failed at once, or after a change of address
    (`at_new_address`)."""
    return next_poll_deadline_s(0.0, at_new_address)


def max_wait_after_failure_s() -> float:
    """Returns the longest wait of a poll that follows a failed one. If that poll is not answered either, a
    change that it missed is in force `NOTIFIED_AFTER_S` after it was sent, as that takes up to
    `NOTIFIED_AFTER_WAIT_S` from the end of its wait on. A longer wait would be too late. A shorter one would
    cost polls just when all clients return to a service that was unavailable."""
    return NOTIFIED_AFTER_S - NOTIFIED_AFTER_WAIT_S


def max_own_poll_delay_s() -> float:
    """Returns how long after the expiry of a member's confirmation this gateway polls at the latest. A change
    right after the confirmation counts as notified `NOTIFIED_AFTER_S` after it."""
    return max_backoff_s() - CONFIRMATION_TTL_S
