"""When the windows of a customer's quota begin, and their names on the counter: the same in every process."""

from __future__ import annotations

import functools
import hashlib

from ..settings import Plan

WINDOW_S = 1.0  # the fill's window: what a store holds is offered to the demand of this long
IDLE_MS = 60_000.0  # a customer unseen for this long is forgotten, by the counter too


def stable(text: str) -> int:
    """A name for the counter: the same in every process, below 2^63."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") >> 1


@functools.lru_cache(maxsize=8_192)
def phase(customer: str) -> float:
    """Where a customer's windows start; customers differ, or all would be asked for at once."""
    return stable(customer) / 2.0**63


def span_of(plan: Plan) -> float:
    """How long a window of this plan lasts, in milliseconds."""
    return min(
        IDLE_MS, 1000.0 * max(WINDOW_S, plan.burst_units / plan.rate_per_s if plan.rate_per_s else 0.0)
    )


def window_start(now: float, customer: str, plan: Plan) -> float:
    """When the window in force began."""
    span = span_of(plan)
    return now - (now + phase(customer) * span) % span
