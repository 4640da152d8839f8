"""Accounting windows: when a tenant's begin, and their keys at the counter. The same in every process."""

from __future__ import annotations

import functools
import hashlib

from ..settings import Plan

FILL_WINDOW_S = 1.0  # time constant of the demand estimates; the shortest quota and capacity window
TENANT_IDLE_MS = 60_000.0  # until a tenant and its counter keys are forgotten; the longest quota window


def stable_key(text: str) -> int:
    """A counter key for a text: the same in every process, below 2^63."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") >> 1


@functools.lru_cache(maxsize=8_192)
def window_phase(tenant_id: str) -> float:
    """Where a tenant's windows start, 0 to 1 of their length; tenants differ, so that calls spread."""
    return stable_key(tenant_id) / 2.0**63


def window_length_ms(plan: Plan) -> float:
    """How long a window of this plan lasts: as long as its bucket takes to fill, within bounds."""
    fill_s = plan.burst_units / plan.rate_per_s if plan.rate_per_s else 0.0
    return min(TENANT_IDLE_MS, 1000.0 * max(FILL_WINDOW_S, fill_s))


def window_start_ms(now_ms: float, tenant_id: str, plan: Plan) -> float:
    """When the window in force began."""
    length_ms = window_length_ms(plan)
    return now_ms - (now_ms + window_phase(tenant_id) * length_ms) % length_ms
