"""Accounting windows: a tenant's window times and counter keys, which are the same in every process."""

from __future__ import annotations

import functools
import hashlib

from ..settings import Plan

FILL_WINDOW_S = 1.0  # time constant of demand estimates; also the shortest quota window and capacity window
# Idle time after which a tenant and its counter keys are dropped; also the longest quota window.
TENANT_IDLE_MS = 60_000.0


def stable_key(text: str) -> int:
    """Returns the counter key for a text, below 2^63 and the same in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") >> 1


@functools.lru_cache(maxsize=8_192)
def window_phase(tenant_id: str) -> float:
    """Returns the offset of a tenant's windows as a fraction of their length, 0 to 1. It differs between
    tenants, which spreads the calls to the counter over time."""
    return stable_key(tenant_id) / 2.0**63


def window_length_ms(plan: Plan) -> float:
    """Returns the length of this plan's windows: the time in which its bucket fills, within limits."""
    fill_s = plan.burst_units / plan.rate_per_s if plan.rate_per_s else 0.0
    return min(TENANT_IDLE_MS, 1000.0 * max(FILL_WINDOW_S, fill_s))


def window_start_ms(now_ms: float, tenant_id: str, plan: Plan) -> float:
    """Returns the start of the current window."""
    length_ms = window_length_ms(plan)
    return now_ms - (now_ms + window_phase(tenant_id) * length_ms) % length_ms
