"""How many of the listed servers one gateway uses, from the settings alone. Each start reads this, so it
holds no more."""

from __future__ import annotations

LEAST = 48  # in use at least: fewer cost hardly less to look at, and each bears more of a gateway's surge
WHOLE = 256  # a list up to so long is used whole, and so many are in use at most, before load asks for more
AGAIN = 192  # a list that was longer is used whole again from here down
MET_BY = 4  # gateways that meet each server, where that takes more than LEAST


def size(listed: int, gateways: int) -> int:
    """How many of so many servers each of so many gateways uses, where the list is longer than WHOLE. The
    bounds hold where the settings have the number of gateways wrong: one far too large gives LEAST, one far
    too small WHOLE. Where gateways x WHOLE is less than the list, some servers are met by none until load
    asks for more."""
    return min(WHOLE, max(LEAST, -(-MET_BY * listed // max(1, gateways))))
