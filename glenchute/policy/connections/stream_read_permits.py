"""Fair read permits for streamed values: bounds how many values are read from servers at the same time.

A value that is too long to be buffered is relayed chunk by chunk. Each reader holds a bounded number of
bytes, so limiting the readers bounds the memory of all streams together. Those without a permit wait in FIFO
order; while any waits, a reader hands its permit on after each chunk (round robin), so that every stream
advances.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class StreamReadPermits(Generic[Key]):
    """A round-robin semaphore with `max_readers` permits. It does no I/O and reads no clock.

    Raises `ValueError` where `max_readers` is below 1.
    """

    def __init__(self, max_readers: int) -> None:
        if max_readers < 1:
            raise ValueError("at least one stream must be able to read")
        self.max_readers = max_readers
        self.readers: dict[Key, None] = {}
        self.waiters: OrderedDict[Key, None] = OrderedDict()

    def acquire(self, key: Key) -> bool:
        """Whether `key` has a permit now. If not it is queued, and `grant_next` names it later."""
        if key in self.readers:
            return True
        if key not in self.waiters and len(self.readers) < self.max_readers:
            self.readers[key] = None
            return True
        self.waiters[key] = None
        return False

    def rotate_after_chunk(self, key: Key) -> bool:
        """To be called when `key` has passed on a chunk and buffers nothing; whether it keeps its permit.

        If not it has been queued behind the waiters, and `grant_next` has a waiter to name.
        """
        if not self.waiters or key not in self.readers:
            return key in self.readers
        del self.readers[key]
        self.waiters[key] = None
        return False

    def release(self, key: Key) -> None:
        """The stream has ended, or is paused with nothing buffered: it neither reads nor waits."""
        self.readers.pop(key, None)
        self.waiters.pop(key, None)

    def grant_next(self) -> Key | None:
        """Gives a free permit to the longest waiter and returns it; None when there is no permit or no
        waiter.

        To be called repeatedly until it returns None.
        """
        if not self.waiters or len(self.readers) >= self.max_readers:
            return None
        key, _ = self.waiters.popitem(last=False)
        self.readers[key] = None
        return key
