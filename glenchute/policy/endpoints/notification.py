"""When what discovery has to tell counts as told, whether or not it was heard: the one statement of the
terms, and what they leave for pauses, waits and answers. Seconds; no state.

The terms (the operators' standing test; what it says goes before older sentences of PROTOCOL):

- whatever else is allowed after a failed, refused or given-up call, a change counts `TOLD_S` after discovery
  had it and could be reached;
- what a silent watch misses counts `TOLD_S` after it fell silent, or `TOLD_AFTER_WAIT_S` after the wait of
  its call is over, whichever is later;
- another address counts `TOLD_MOVED_S` after the order to follow it;
- where lists are pushed, by an agent on this machine that answers at once and at no cost, what the agent has
  counts whether or not a call is out.

Neither a rate nor an age of lists that an operator states changes them, nor that an odd list takes a second
word: it is asked for with no pause, and both answers fit into what is left for one (`watch.Watch.reach`).
Nobody tells a gateway when
discovery could be reached again: it may have been right after the last call was made, and that call may
never be answered. So all is counted from there (`latest`).
"""

from __future__ import annotations

NOTIFIED_AFTER_S = 6.0
NOTIFIED_AFTER_WAIT_S = 2.0
NOTIFIED_AFTER_MOVE_S = 4.0
ANSWER_ALLOWANCE_S = (
    2.0  # left for a new connection and its answer, by a service that is crowded but can be reached
)
CONFIRMATION_TTL_S = 3.0  # a list that members have confirmed so long ago, at most, leaves discovery alone
PUSHED_WATCH_WAIT_S = 3.0  # of a watch where lists are pushed: half of `TOLD_S`, so that three tries fit


def recovery_budget_s(wait_s: float, moved: bool = False) -> float:
    """From the end of a call's wait until what it misses may count as told, at least."""
    return max((NOTIFIED_AFTER_MOVE_S if moved else NOTIFIED_AFTER_S) - wait_s, NOTIFIED_AFTER_WAIT_S)


def next_poll_deadline_s(wait_s: float, moved: bool = False) -> float:
    """How long after a call the next goes at the latest, if that one came to nothing."""
    return wait_s + recovery_budget_s(wait_s, moved) - ANSWER_ALLOWANCE_S


def max_backoff_s(moved: bool = False) -> float:
    """... where it came to nothing at once, or another address was named."""
    return next_poll_deadline_s(0.0, moved)


def max_wait_after_failure_s() -> float:
    """The longest wait of a call that follows one that came to nothing: if it is not answered either, what it
    misses is in force `TOLD_S` after it was made. Longer waits have `TOLD_AFTER_WAIT_S` beyond them, shorter
    ones cost calls just when a service that was away has all its callers back."""
    return NOTIFIED_AFTER_S - NOTIFIED_AFTER_WAIT_S


def max_own_poll_delay_s() -> float:
    """How long after such a word was out of date the next call goes at the latest: what came right after the
    list was confirmed counts `TOLD_S` after that."""
    return max_backoff_s() - CONFIRMATION_TTL_S
