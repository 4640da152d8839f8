"""Decides when head-of-line blocking on a client connection is ended by abandoning an unfinished request.

RESP2 replies are written in the order of their commands, so a finished reply may miss its deadline while it
waits for an earlier one. If the operator enables it, unfinished requests at the head are abandoned, but only
if they are safe to repeat, if finished replies behind them are about to miss their deadlines, and if those
replies outnumber the abandoned requests. Times are in seconds of one clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple


class PendingReply(NamedTuple):
    """The reply to one command, in the order of its connection."""

    deadline_s: float  # when the client stops waiting; inf for commands that are not requests
    is_finished: bool
    may_fail: bool  # whether it is unfinished and safe to repeat, so that the client may retry


class ReleaseDecision(NamedTuple):
    """Which replies to release: the unfinished ones among the first `release_count` are to be abandoned.

    `next_check_s`: when to decide again; inf if only a change of the replies calls for it.
    """

    release_count: int
    next_check_s: float


def decide_release(now: float, replies: Iterable[PendingReply], margin_s: float) -> ReleaseDecision:
    """Decides which requests to abandon now. A finished reply is urgent from `margin_s` before its deadline.

    Requests are abandoned only if this delivers more urgent replies in time than there are abandoned
    requests. A request that may not fail is never abandoned, nor is any behind it. Runs in time linear in the
    number of replies.
    """
    best_gain = release_count = abandoned = delivered = 0
    next_check_s = math.inf
    for position, reply in enumerate(replies, 1):
        if not reply.is_finished:
            if not reply.may_fail:
                break
            abandoned += 1
            continue
        if not abandoned or reply.deadline_s <= now or reply.deadline_s == math.inf:
            continue  # nothing blocks the reply, or it has missed its deadline or has none
        if reply.deadline_s - margin_s > now:
            next_check_s = min(next_check_s, reply.deadline_s - margin_s)
            continue
        delivered += 1
        if delivered - abandoned > best_gain:
            best_gain, release_count = delivered - abandoned, position
    return ReleaseDecision(release_count, next_check_s)
