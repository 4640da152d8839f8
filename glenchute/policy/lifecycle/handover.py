"""What passes from one process of a gateway to the next, and how the two share the gateway's limits.

The message is one JSON object. Whatever of it is not as it should be makes it void as a whole: the next
process then begins as after a kill, on the safe side, and its log names the reason. No I/O, no clock.

A property test holds that both shares are at least a quarter, that they sum to the whole at most, and that no
bytes whatever make `parse` raise anything but `SuccessionError` or give a figure out of its range.
"""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from typing import Any, NamedTuple

from ..events import QuotaSnapshot

FORMAT = 1
MAX_QUOTAS = 10_000  # customers that are handed over, those seen last first
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_UNITS = 1e12
MIN_LIMIT_SHARE = 0.25  # of the gateway's descriptors, for either process
# The names of the columns between processes of any version, in the order of `QuotaSnapshot`'s fields.
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
    """A message that can't be used, and why."""


class HandoverState(NamedTuple):
    """What the process before told."""

    limit_share: float  # of the gateway's descriptors that it leaves to the next one
    quotas: tuple[QuotaSnapshot, ...]


def retained_limit_share(held: int, whole: int) -> float:
    """The share of the gateway's descriptors that a process keeps to when another comes up beside it: a half,
    or what it holds and an eighth more, so that nobody is closed for it. The rest is the other's."""
    return min(1.0 - MIN_LIMIT_SHARE, max(0.5, (held + whole / 8) / whole))


def encode_handover(gateway: str, share: float, stocks: Sequence[QuotaSnapshot]) -> bytes:
    """What a process tells the next one, of the gateway of this name."""
    rows = [
        [getattr(decode_quota, name) for name in QuotaSnapshot.__match_args__]
        for decode_quota in stocks[:MAX_QUOTAS]
    ]
    for row in rows:
        row[:] = [None if value == math.inf else value for value in row]
    told = {"format": FORMAT, "gateway": gateway, "share": share, "fields": FIELDS, "stocks": rows}
    return json.dumps(told, allow_nan=False, separators=(",", ":")).encode() + b"\n"


def decode_handover(gateway: str, raw: bytes) -> HandoverState:
    """Reads a message for the gateway of this name; SuccessionError with the reason where it is void."""
    if not raw.endswith(b"\n"):
        raise HandoverError("torn")
    try:
        told = json.loads(raw, parse_constant=reject_constant)
    except (ValueError, RecursionError):
        raise HandoverError("no JSON") from None
    if not isinstance(told, dict) or told.get("format") != FORMAT:
        raise HandoverError(f"not of format {FORMAT}")
    if told.get("gateway") != gateway:
        raise HandoverError("another gateway's")
    if told.get("fields") != list(FIELDS):
        raise HandoverError("other fields than this version's")
    rows = told.get("stocks")
    if not isinstance(rows, list) or len(rows) > MAX_QUOTAS:
        raise HandoverError("too many customers, or no list of them")
    share = decode_number(told.get("share"), MIN_LIMIT_SHARE, 1.0 - MIN_LIMIT_SHARE)
    return HandoverState(share, tuple([decode_quota(row) for row in rows]))


def decode_quota(row: Any) -> QuotaSnapshot:
    """One customer's."""
    if not isinstance(row, list) or len(row) != len(FIELDS):
        raise HandoverError("a customer's row is not whole")
    customer, plan, spread, *plain, window, total = row
    if not isinstance(customer, str) or not isinstance(plan, str) or not 0 < len(customer) <= 64:
        raise HandoverError("a customer without a name")
    if type(spread) is not int or not 1 <= spread <= 1_000_000:
        raise HandoverError("a spread out of range")
    store, guard, own, others, told_own, told_all = [decode_number(v, -MAX_UNITS, MAX_UNITS) for v in plain]
    return QuotaSnapshot(
        tenant=customer,
        plan=plan,
        gateway_spread=spread,
        bucket_units=store,
        ceiling_guard_units=guard,
        own_demand_per_s=own,
        others_demand_per_s=others,
        reported_own_units=told_own,
        reported_units=told_all,
        window_start_ms=decode_number(window, -1e15, 1e15),
        window_total_units=math.inf if total is None else decode_number(total, -MAX_UNITS, MAX_UNITS),
    )


def decode_number(value: Any, least: float, most: float) -> float:
    """A figure in its range."""
    if type(value) not in (int, float) or not least <= value <= most:
        raise HandoverError("a figure out of range")
    return float(value)


def reject_constant(name: str) -> float:
    """NaN and the like are no figures."""
    raise ValueError(name)
