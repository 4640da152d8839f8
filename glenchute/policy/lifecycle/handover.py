"""The state handed over from one process of a gateway to its successor, and how the two processes divide the
gateway's limits while they overlap. No I/O, no clock.

The message is one line of JSON. It is rejected as a whole unless every part is valid; the successor then
starts conservatively, as after a crash, and logs the reason. When the predecessor admits no more requests, it
sends a second line with its shares of the tenants' limits; without it these are lost.

Property tests check that both shares are at least `MIN_LIMIT_SHARE`, that their sum is at most 1, and
that `decode_handover` raises nothing but `HandoverError` and returns no number out of its range, whatever its
input.
"""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from typing import Any, NamedTuple

from ..events import LimitShare, QuotaSnapshot

FORMAT = 1
MAX_QUOTAS = 10_000  # tenants handed over at most, the most recently seen ones first
MAX_ENDPOINTS = 10_000  # endpoints handed over at most; of more, none are
MAX_SHARES = 1_000  # tenants whose shares are returned at most: the socket takes that much at once
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_TENANT_LENGTH = 64
MAX_GATEWAY_SPREAD = 1_000_000
MAX_UNITS = 1e12
MAX_WINDOW_MS = 1e15
MIN_LIMIT_SHARE = 0.25  # least share of the gateway's file descriptors for either process
RESERVE_SHARE = 1 / 8  # share of the file descriptors retained beyond those in use
# Names of the columns of the message, in the order of the fields of `QuotaSnapshot`. They are the same in all
# versions, whatever the fields are called.
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
    """Raised for an invalid handover message; the text is the reason that is logged."""


class ActiveEndpoints(NamedTuple):
    """Which endpoints the predecessor may send to, by its list in force."""

    source: str  # discovery's address; versions are comparable within one address only
    version: int  # of the list
    names: frozenset[str]
    # Whether discovery's confirmed list withdraws all others. Where an unconfirmed list or members do, only
    # the complete list tells whether that was right.
    is_settled: bool = True


class HandoverState(NamedTuple):
    """The state that the predecessor hands over."""

    limit_share: float  # the successor's share of the gateway's file descriptors
    quotas: tuple[QuotaSnapshot, ...]
    # None if the predecessor has no list of a known version, or is of a version that hands over none.
    endpoints: ActiveEndpoints | None = None


def retained_limit_share(in_use: int, limit: int) -> float:
    """Returns the share of the gateway's file descriptors that a process retains when its successor starts:
    half, or those in use plus `RESERVE_SHARE` if that is more, but at most three quarters. Connections are
    closed for it only if more than that are in use. The successor gets the rest."""
    return min(1.0 - MIN_LIMIT_SHARE, max(0.5, (in_use + RESERVE_SHARE * limit) / limit))


def encode_handover(
    gateway: str,
    limit_share: float,
    quotas: Sequence[QuotaSnapshot],
    endpoints: ActiveEndpoints | None = None,
) -> bytes:
    """Encodes the message to the successor process of the gateway with this name. Quotas beyond `MAX_QUOTAS`
    are omitted, and so are endpoints if they are more than `MAX_ENDPOINTS`: an incomplete set would withdraw
    the others."""
    rows = [[getattr(quota, name) for name in QuotaSnapshot.__match_args__] for quota in quotas[:MAX_QUOTAS]]
    for row in rows:
        row[:] = [None if value == math.inf else value for value in row]  # JSON has no infinity
    message: dict[str, Any] = {
        "format": FORMAT,
        "gateway": gateway,
        "share": limit_share,
        "fields": FIELDS,
        "stocks": rows,
    }
    if endpoints is not None and len(endpoints.names) <= MAX_ENDPOINTS:
        source, version, names, is_settled = endpoints
        message["endpoints"] = {"discovery": source, "version": version, "ready": sorted(names)}
        if not is_settled:
            message["endpoints"]["settled"] = False
    return json.dumps(message, allow_nan=False, separators=(",", ":")).encode() + b"\n"


def decode_handover(gateway: str, raw: bytes) -> HandoverState:
    """Decodes a message to the gateway with this name; raises HandoverError if it is invalid."""
    message = decode_message(gateway, raw)
    if message.get("fields") != list(FIELDS):
        raise HandoverError("fields differ from those of this version")
    rows = message.get("stocks")
    if not isinstance(rows, list) or len(rows) > MAX_QUOTAS:
        raise HandoverError("list of tenants is missing or too long")
    limit_share = decode_number(message.get("share"), MIN_LIMIT_SHARE, 1.0 - MIN_LIMIT_SHARE)
    endpoints = decode_endpoints(message.get("endpoints"))
    return HandoverState(limit_share, tuple([decode_quota(row) for row in rows]), endpoints)


def decode_message(gateway: str, raw: bytes) -> dict[str, Any]:
    """Decodes the JSON of a message to the gateway with this name; raises HandoverError if it is invalid."""
    if not raw.endswith(b"\n"):
        raise HandoverError("torn")
    try:
        message = json.loads(raw, parse_constant=reject_constant)
    except (ValueError, RecursionError):
        raise HandoverError("message is not valid JSON") from None
    if not isinstance(message, dict) or message.get("format") != FORMAT:
        raise HandoverError(f"message format is not {FORMAT}")
    if message.get("gateway") != gateway:
        raise HandoverError("message is for another gateway")
    return message


def encode_shares(gateway: str, shares: Sequence[LimitShare]) -> bytes:
    """Encodes the second message to the successor process of the gateway with this name. Shares beyond
    `MAX_SHARES` are omitted."""
    rows = [
        [share.tenant, share.ceiling_guard_units, share.reported_own_units] for share in shares[:MAX_SHARES]
    ]
    message = {"format": FORMAT, "gateway": gateway, "shares": rows}
    return json.dumps(message, allow_nan=False, separators=(",", ":")).encode() + b"\n"


def decode_shares(gateway: str, raw: bytes) -> tuple[LimitShare, ...]:
    """Decodes a second message to the gateway with this name; raises HandoverError if it is invalid."""
    rows = decode_message(gateway, raw).get("shares")
    if not isinstance(rows, list) or len(rows) > MAX_SHARES:
        raise HandoverError("list of shares is missing or too long")
    return tuple([decode_share(row) for row in rows])


def decode_share(row: Any) -> LimitShare:
    """Decodes the share of one tenant's limits; raises HandoverError if it is invalid."""
    if not isinstance(row, list) or len(row) != 3 or not isinstance(row[0], str):
        raise HandoverError("share does not have a tenant and two numbers")
    tenant, guard_units, own_units = row
    return LimitShare(
        tenant, decode_number(guard_units, 0.0, MAX_UNITS), decode_number(own_units, 0.0, MAX_UNITS)
    )


def decode_endpoints(raw: Any) -> ActiveEndpoints | None:
    """Decodes the active endpoints; None if the message has none. Raises HandoverError if they are
    invalid."""
    if raw is None:
        return None
    if not isinstance(raw, dict):
        raise HandoverError("endpoints are not an object")
    source, version, names = raw.get("discovery"), raw.get("version"), raw.get("ready")
    is_settled = raw.get("settled", True)
    if not isinstance(source, str) or type(version) is not int:
        raise HandoverError("endpoints have no address or no version")
    if not isinstance(names, list) or len(names) > MAX_ENDPOINTS:
        raise HandoverError("list of endpoints is missing or too long")
    if not all(isinstance(name, str) for name in names):
        raise HandoverError("name of an endpoint is not a string")
    if not isinstance(is_settled, bool):
        raise HandoverError("endpoints are neither settled nor unsettled")
    return ActiveEndpoints(source, version, frozenset(names), is_settled)


def decode_quota(row: Any) -> QuotaSnapshot:
    """Decodes the quota of one tenant; raises HandoverError if it is invalid."""
    if not isinstance(row, list) or len(row) != len(FIELDS):
        raise HandoverError("tenant row does not have one value per field")
    tenant, plan, gateway_spread, *numbers, window_start_ms, window_total = row
    if not isinstance(tenant, str) or not isinstance(plan, str) or not 0 < len(tenant) <= MAX_TENANT_LENGTH:
        raise HandoverError("tenant or plan name is invalid")
    if type(gateway_spread) is not int or not 1 <= gateway_spread <= MAX_GATEWAY_SPREAD:
        raise HandoverError("gateway spread is out of range")
    bucket, guard, own_demand, others_demand, reported_own, reported = [
        decode_number(number, -MAX_UNITS, MAX_UNITS) for number in numbers
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


def decode_number(value: Any, minimum: float, maximum: float) -> float:
    """Returns a number of the message as a float; raises HandoverError if it is not a number within its
    range."""
    if type(value) not in (int, float) or not minimum <= value <= maximum:
        raise HandoverError("value is not a number in its range")
    return float(value)


def reject_constant(name: str) -> float:
    """Raises ValueError for NaN and the infinities, which are not valid JSON."""
    raise ValueError(name)
