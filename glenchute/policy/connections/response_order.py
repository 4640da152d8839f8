"""Replies on a client's connection go out in the order of its commands, as RESP2 has it: one that is finished
waits for those before it. Whether an unfinished one is given up for the sake of finished ones behind it.

A request's deadline runs on while its reply waits. Where clients count that time (PROTOCOL's do not, so this
is off unless the operator's file asks for it), one slow read can cost all that were finished behind it. It is
then given up, so that more replies are in time than without: only what may fail without harm, only when the
finished ones' time is nearly up, and only if they are more. Times are of one clock, in seconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple


class Waiting(NamedTuple):
    """One command's place in a connection's order."""

    due: float  # the client waits until then; inf for what is no request
    answered: bool
    may_fail: bool  # unanswered: it is safe to repeat, so its client may ask again


class Verdict(NamedTuple):
    """Give up the unanswered ones among the first `through`; look again at `next_look` (inf: when told)."""

    through: int
    next_look: float


def verdict(now: float, order: Iterable[Waiting], margin: float) -> Verdict:
    """What to give up now. `margin`: seconds before a finished one's time is up at which it counts as urgent.

    Guarantees: nothing is given up unless more finished replies than that gain by it, all of them still in
    time; nothing that may not fail is given up, nor anything behind such a one. Linear in the order."""
    best = through = cost = gain = 0
    next_look = math.inf
    for at, one in enumerate(order, 1):
        if not one.answered:
            if not one.may_fail:
                break
            cost += 1
            continue
        if not cost or one.due <= now or one.due == math.inf:
            continue  # it goes out by itself, or is late already
        if one.due - margin > now:
            next_look = min(next_look, one.due - margin)
            continue
        gain += 1
        if gain - cost > best:
            best, through = gain - cost, at
    return Verdict(through, next_look)
