"""Head-of-line blocking on client connections: when an unfinished request is abandoned for finished ones.

RESP2 replies are written in the order of their commands, so a finished reply waits for those before it while
its deadline runs on. Where the operator enables it, an unfinished request at the head is abandoned, but only
if it may fail without harm, if the finished ones are about to miss their deadlines, and if they outnumber the
abandoned ones. Times are in seconds of one clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple


class PendingReply(NamedTuple):
    """One command's reply in the order of its connection."""

    deadline_s: float  # the client waits until then; inf for commands that are no requests
    is_finished: bool
    may_fail: bool  # unfinished and safe to repeat, so that its client may retry


class ReleaseDecision(NamedTuple):
    """Abandon the unfinished requests among the first `release_count`; decide again at `next_check_s` (inf:
    only when something changes)."""

    release_count: int
    next_check_s: float


def decide_release(now: float, replies: Iterable[PendingReply], margin_s: float) -> ReleaseDecision:
    """Which requests to abandon now. A finished reply is urgent `margin_s` seconds before its deadline.

    Nothing is abandoned unless more finished replies than that can still be delivered in time because of it;
    nothing that may not fail is abandoned, nor anything behind such a request. Linear in the number of
    replies.
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
            continue  # nothing blocks it, or it is late already
        if reply.deadline_s - margin_s > now:
            next_check_s = min(next_check_s, reply.deadline_s - margin_s)
            continue
        delivered += 1
        if delivered - abandoned > best_gain:
            best_gain, release_count = delivered - abandoned, position
    return ReleaseDecision(release_count, next_check_s)
