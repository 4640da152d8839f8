"""The number of listed servers that one gateway uses, from the settings alone. Every start of a process
imports this module, so it is kept small."""

from __future__ import annotations

MIN_SUBSET_SIZE = 48  # a smaller one saves little in choices, and each server takes more of a surge
MAX_SUBSET_SIZE = 256  # without extra load; a list that is no longer than this is used whole
STOP_SUBSETTING_SIZE = 192  # length at which a list that was longer is used whole again
GATEWAYS_PER_SERVER = 4  # gateways that use each server, where the size bounds allow it


def subset_size(listed_count: int, gateway_count: int) -> int:
    """Returns how many servers each gateway uses of a list longer than `MAX_SUBSET_SIZE`.

    The bounds also hold if the configured number of gateways is wrong: one far too large results in
    `MIN_SUBSET_SIZE`, one far too small in `MAX_SUBSET_SIZE`. Where the list is longer than `gateway_count`
    times `MAX_SUBSET_SIZE`, some servers are used by no gateway until the load requires more.
    """
    wanted = -(-GATEWAYS_PER_SERVER * listed_count // max(1, gateway_count))
    return min(MAX_SUBSET_SIZE, max(MIN_SUBSET_SIZE, wanted))
