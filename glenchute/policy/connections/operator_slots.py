"""The few places of a second address, and who makes room when they are all taken.

A call there is short, so that whoever has finished none gives way to a newcomer, the oldest first: callers
that connect and say nothing can't keep out one that does. No I/O; times are seconds of one clock. A property
test holds that no more than `most` are held and that every caller's wait ends.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class OperatorSlots(Generic[Key]):
    """The callers of one address, in the order in which they came."""

    def __init__(self, most: int, patience_s: float) -> None:
        if most < 1 or patience_s <= 0:
            raise ValueError("an address needs places, and patience")
        self.max_connections, self.timeout_s = most, patience_s
        self.opened_at: OrderedDict[Key, float] = OrderedDict()

    def add(self, now: float, key: Key) -> list[Key]:
        """A new caller; those that are to be ended for it."""
        self.opened_at[key] = now
        over = len(self.opened_at) - self.max_connections
        return [self.opened_at.popitem(last=False)[0] for _ in range(over)] if over > 0 else []

    def remove(self, key: Key) -> None:
        """A caller's connection is closed, or ended."""
        self.opened_at.pop(key, None)

    def remove_expired(self, now: float) -> list[Key]:
        """Those whose time is up. They count as ended."""
        late = []
        while self.opened_at and now - next(iter(self.opened_at.values())) >= self.timeout_s:
            late.append(self.opened_at.popitem(last=False)[0])
        return late
