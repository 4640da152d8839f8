"""Bounds the memory for long values that are received completely before their first byte is written.

A value reserves its whole length before it is read. Values for which there is no room wait in FIFO order, so
that a long one is not overtaken by shorter ones for ever. No I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class ValueBufferBudget(Generic[Key]):
    """Reservations of bytes, at most `max_bytes` together.

    Raises `ValueError` if `max_bytes` is below 1.
    """

    def __init__(self, max_bytes: int) -> None:
        if max_bytes < 1:
            raise ValueError("the memory for buffered values must be at least 1 byte")
        self.max_bytes = max_bytes
        self.reserved_bytes = 0
        self.reservations: dict[Key, int] = {}
        self.waiters: OrderedDict[Key, int] = OrderedDict()

    def reserve(self, key: Key, size_bytes: int) -> bool:
        """Returns whether `key` has its bytes now. If not, it is queued until `grant_next` returns it.

        A size beyond the whole budget is never granted.
        """
        if key in self.reservations:
            return True
        self.waiters.setdefault(key, size_bytes)
        if next(iter(self.waiters)) != key or not self._has_room(size_bytes):
            return False
        self._grant(key)
        return True

    def release_bytes(self, key: Key, size_bytes: int) -> None:
        """Releases a part of a reservation, as so many bytes are no longer held; ignored without one."""
        released_bytes = min(size_bytes, self.reservations.get(key, 0))
        if released_bytes:
            self.reservations[key] -= released_bytes
            self.reserved_bytes -= released_bytes

    def release(self, key: Key) -> None:
        """Releases all of a reservation, or the place among the waiters."""
        self.reserved_bytes -= self.reservations.pop(key, 0)
        self.waiters.pop(key, None)

    def grant_next(self) -> Key | None:
        """Reserves the bytes of the longest waiter and returns its key; None without room or a waiter.

        To be called repeatedly until it returns None.
        """
        if not self.waiters:
            return None
        key, size_bytes = next(iter(self.waiters.items()))
        if not self._has_room(size_bytes):
            return None
        self._grant(key)
        return key

    def _has_room(self, size_bytes: int) -> bool:
        """Returns whether so many bytes are free."""
        return self.reserved_bytes + size_bytes <= self.max_bytes

    def _grant(self, key: Key) -> None:
        """Turns a waiter into a reservation."""
        size_bytes = self.waiters.pop(key)
        self.reservations[key] = size_bytes
        self.reserved_bytes += size_bytes
