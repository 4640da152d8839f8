"""How many of the listed servers one gateway uses, from the settings alone. Each start imports this module,
so it holds no more."""

from __future__ import annotations

MIN_SUBSET_SIZE = 48  # fewer cost hardly less to choose from, and each takes more of a gateway's surge
MAX_SUBSET_SIZE = 256  # before load asks for more; a list up to this long is used whole
WHOLE_LIST_AGAIN_BELOW = 192  # a list that was longer is used whole again from here down
GATEWAYS_PER_SERVER = 4  # that use each server, where that takes more than MIN_SUBSET_SIZE


def subset_size(listed_count: int, gateway_count: int) -> int:
    """How many servers each gateway uses of a list longer than `MAX_SUBSET_SIZE`.

    The bounds hold where the settings have the number of gateways wrong: one far too large gives
    `MIN_SUBSET_SIZE`, one far too small `MAX_SUBSET_SIZE`. Where the list is longer than `gateway_count`
    times that, some servers are used by no gateway until load asks for more.
    """
    wanted = -(-GATEWAYS_PER_SERVER * listed_count // max(1, gateway_count))
    return min(MAX_SUBSET_SIZE, max(MIN_SUBSET_SIZE, wanted))
