"""Fair read permits for streamed values: bounds how many values are read from servers concurrently.

A value that is too long to be buffered is relayed chunk by chunk. Each reader holds a bounded number of
bytes, so limiting the number of readers bounds the memory of all streams together. Streams without a permit
wait in FIFO order; while any waits, a reader gives up its permit after each chunk (round robin), so that
every stream makes progress.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class StreamReadPermits(Generic[Key]):
    """A round-robin semaphore with `max_readers` permits, without I/O or a clock.

    Raises `ValueError` if `max_readers` is below 1.
    """

    def __init__(self, max_readers: int) -> None:
        if max_readers < 1:
            raise ValueError("max_readers must be at least 1")
        self.max_readers = max_readers
        self.readers: dict[Key, None] = {}
        self.waiters: OrderedDict[Key, None] = OrderedDict()

    def acquire(self, key: Key) -> bool:
        """Returns whether `key` has a permit now. If not, it is queued until `grant_next` returns it."""
        if key in self.readers:
            return True
        if key not in self.waiters and len(self.readers) < self.max_readers:
            self.readers[key] = None
            return True
        self.waiters[key] = None
        return False

    def rotate_after_chunk(self, key: Key) -> bool:
        """Returns whether `key` keeps its permit, after it has relayed a chunk and buffers nothing.

        If not, it has been queued behind the waiters, and `grant_next` will return one of them.
        """
        if not self.waiters or key not in self.readers:
            return key in self.readers
        del self.readers[key]
        self.waiters[key] = None
        return False

    def release(self, key: Key) -> None:
        """Removes a stream that has ended or is paused with nothing buffered; it neither reads nor waits."""
        self.readers.pop(key, None)
        self.waiters.pop(key, None)

    def grant_next(self) -> Key | None:
        """Gives a free permit to the longest waiter and returns its key; None without a permit or a waiter.

        To be called repeatedly until it returns None.
        """
        if not self.waiters or len(self.readers) >= self.max_readers:
            return None
        key, _ = self.waiters.popitem(last=False)
        self.readers[key] = None
        return key
