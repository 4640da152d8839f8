"""The members that may share an account's subset with this gateway, by the gateways' numbers. No I/O.

An account's requests arrive at its subset only: `spread` gateways with consecutive numbers on a ring. A
request states the subset's size but not its position. Where members have no numbers, any two may share a
subset.
"""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence

TRAILING_DIGITS = re.compile(r"[0-9]+\Z", re.ASCII)
MAX_NUMBER_DIGITS = 9
MAX_CACHED_RANGES = 256


def gateway_numbers(rows: Mapping[str, int | None]) -> dict[str, int] | None:
    """Returns members' numbers by name: as configured, else the digits at the end of the name; or None where
    a member has no number or two members have the same."""
    numbers: dict[str, int] = {}
    for name, configured in rows.items():
        digits = TRAILING_DIGITS.search(name)
        if configured is not None:
            numbers[name] = configured
        elif digits is not None:
            numbers[name] = int(digits[0][-MAX_NUMBER_DIGITS:])
        else:
            return None
    return numbers if len(set(numbers.values())) == len(numbers) else None


class GatewayRing:
    """The members by their distance from this gateway on the ring of numbers."""

    def __init__(
        self, name: str, members: Sequence[str], numbers: dict[str, int] | None, gateways: int
    ) -> None:
        """`name`: this gateway's; `gateways`: the number of gateways, whether members or not."""
        self.gateway_count = max(gateways, 1)
        self.members = tuple(other for other in members if other != name)
        # Empty where there are no numbers, or where they do not fit the number of gateways.
        self.offsets: dict[str, int] = {}
        if numbers is not None:
            own = numbers[name]
            self.offsets = {other: (numbers[other] - own) % self.gateway_count for other in self.members}
            if 0 in self.offsets.values() or len(set(self.offsets.values())) < len(self.offsets):
                self.offsets = {}
        self.member_at = {offset: other for other, offset in self.offsets.items()}
        self.range_cache: dict[tuple[int, int], tuple[str, ...]] = {}

    def subset_candidates(self, spread: int, seen: Sequence[str] = ()) -> tuple[str, ...]:
        """Returns the members that may be in a subset of `spread` gateways with this one and with all of
        `seen`."""
        if not self.offsets or 2 * spread > self.gateway_count:
            return self.members if spread > 1 else ()
        low = high = 0
        for name in seen:
            offset = self.offsets.get(name, 0)
            offset -= self.gateway_count if 2 * offset > self.gateway_count else 0
            low, high = min(low, offset), max(high, offset)
        if high - low >= spread:
            low = high = 0  # `seen` does not fit one subset, so the subset's position stays unknown
        return self.members_between(high - spread + 1, low + spread - 1)

    def members_between(self, first: int, last: int) -> tuple[str, ...]:
        """Returns the members between two offsets, both included; negative offsets precede this gateway."""
        found = self.range_cache.get((first, last))
        if found is None:
            if len(self.range_cache) > MAX_CACHED_RANGES:
                self.range_cache.clear()
            offsets = [offset % self.gateway_count for offset in range(first, last + 1)]
            found = tuple(self.member_at[offset] for offset in offsets if offset in self.member_at)
            self.range_cache[first, last] = found
        return found

    def expected_candidates(self, spread: int) -> int:
        """Returns how many members `subset_candidates(spread)` would return if all gateways were members."""
        others = self.gateway_count - 1
        return others if not self.offsets else min(others, 2 * (spread - 1))
