"""State handed over from one process of a gateway to its successor, and how the two share the gateway's
limits while they overlap. No I/O, no clock.

The message is one line of JSON. It is rejected as a whole unless every part is valid; the successor then
starts as after a kill, on the safe side, and logs the reason.

Property tests hold that both shares are at least `MIN_LIMIT_SHARE`, that they sum to 1 at most, and that
`decode_handover` raises nothing but `HandoverError` and returns no figure out of its range, whatever its
input.
"""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from typing import Any, NamedTuple

from ..events import QuotaSnapshot

FORMAT = 1
MAX_QUOTAS = 10_000  # tenants that are handed over, the most recently seen first
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_TENANT_LENGTH = 64
MAX_GATEWAY_SPREAD = 1_000_000
MAX_UNITS = 1e12
MAX_WINDOW_MS = 1e15
MIN_LIMIT_SHARE = 0.25  # of the gateway's descriptors, for either process
RESERVE_SHARE = 1 / 8  # of the descriptors, retained beyond those in use
# The columns of the message, for processes of any version, in the order of `QuotaSnapshot`'s fields.
FIELDS = (
    "customer",
    "plan",
    "spread",
    "store",
    "guard",
    "own",
    "others",
    "told_own",
    "told_all",
    "window_ms",
    "total",
)


class HandoverError(ValueError):
    """A handover message is invalid; the text is the reason, as the log names it."""


class HandoverState(NamedTuple):
    """What the predecessor hands over."""

    limit_share: float  # of the gateway's descriptors, for the successor
    quotas: tuple[QuotaSnapshot, ...]


def retained_limit_share(in_use: int, limit: int) -> float:
    """The share of the gateway's descriptors that a process retains when its successor starts: half, or those
    in use and `RESERVE_SHARE` more, but three quarters at most; only with more than that in use are
    connections closed for it. The rest is the successor's."""
    return min(1.0 - MIN_LIMIT_SHARE, max(0.5, (in_use + RESERVE_SHARE * limit) / limit))


def encode_handover(gateway: str, limit_share: float, quotas: Sequence[QuotaSnapshot]) -> bytes:
    """The message to the successor of the gateway with this name. Quotas beyond `MAX_QUOTAS` are left out."""
    rows = [[getattr(quota, name) for name in QuotaSnapshot.__match_args__] for quota in quotas[:MAX_QUOTAS]]
    for row in rows:
        row[:] = [None if value == math.inf else value for value in row]  # JSON has no infinity
    message = {"format": FORMAT, "gateway": gateway, "share": limit_share, "fields": FIELDS, "stocks": rows}
    return json.dumps(message, allow_nan=False, separators=(",", ":")).encode() + b"\n"


def decode_handover(gateway: str, raw: bytes) -> HandoverState:
    """Decodes a message to the gateway with this name; HandoverError if it is invalid."""
    if not raw.endswith(b"\n"):
        raise HandoverError("torn")
    try:
        message = json.loads(raw, parse_constant=reject_constant)
    except (ValueError, RecursionError):
        raise HandoverError("no JSON") from None
    if not isinstance(message, dict) or message.get("format") != FORMAT:
        raise HandoverError(f"not of format {FORMAT}")
    if message.get("gateway") != gateway:
        raise HandoverError("another gateway's")
    if message.get("fields") != list(FIELDS):
        raise HandoverError("other fields than this version's")
    rows = message.get("stocks")
    if not isinstance(rows, list) or len(rows) > MAX_QUOTAS:
        raise HandoverError("too many customers, or no list of them")
    limit_share = decode_number(message.get("share"), MIN_LIMIT_SHARE, 1.0 - MIN_LIMIT_SHARE)
    return HandoverState(limit_share, tuple([decode_quota(row) for row in rows]))


def decode_quota(row: Any) -> QuotaSnapshot:
    """Decodes the quota of one tenant; HandoverError if it is invalid."""
    if not isinstance(row, list) or len(row) != len(FIELDS):
        raise HandoverError("a customer's row is not whole")
    tenant, plan, gateway_spread, *figures, window_start_ms, window_total = row
    if not isinstance(tenant, str) or not isinstance(plan, str) or not 0 < len(tenant) <= MAX_TENANT_LENGTH:
        raise HandoverError("a customer without a name")
    if type(gateway_spread) is not int or not 1 <= gateway_spread <= MAX_GATEWAY_SPREAD:
        raise HandoverError("a spread out of range")
    bucket, guard, own_demand, others_demand, reported_own, reported = [
        decode_number(figure, -MAX_UNITS, MAX_UNITS) for figure in figures
    ]
    return QuotaSnapshot(
        tenant=tenant,
        plan=plan,
        gateway_spread=gateway_spread,
        bucket_units=bucket,
        ceiling_guard_units=guard,
        own_demand_per_s=own_demand,
        others_demand_per_s=others_demand,
        reported_own_units=reported_own,
        reported_units=reported,
        window_start_ms=decode_number(window_start_ms, -MAX_WINDOW_MS, MAX_WINDOW_MS),
        window_total_units=(
            math.inf if window_total is None else decode_number(window_total, -MAX_UNITS, MAX_UNITS)
        ),
    )


def decode_number(value: Any, least: float, most: float) -> float:
    """A number within its range, as a float; HandoverError otherwise."""
    if type(value) not in (int, float) or not least <= value <= most:
        raise HandoverError("a figure out of range")
    return float(value)


def reject_constant(name: str) -> float:
    """ValueError for NaN and the infinities, which are not JSON."""
    raise ValueError(name)
