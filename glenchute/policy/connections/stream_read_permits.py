"""Fair read permits for streamed values: bounds how many values are read from servers concurrently.

A value that is too long to be buffered is relayed chunk by chunk. Each reader holds a bounded number of
bytes, so limiting the number of readers bounds the memory of all streams together. Streams without a permit
wait in FIFO order; while any waits, a reader gives up its permit after each chunk (round robin), so that
every stream makes progress.

A stream that does not read must not keep others from reading:

- One whose client does not read is parked: it holds the chunk that its client has not taken, a fraction of
  what a reader may hold, and gives its permit back. Parked streams never take the permits of the last
  `MIN_READER_FRACTION`; beyond that a stream that does not read keeps its permit (it is blocked).
- One whose server sends nothing holds nothing. The longest of these releases its permit to one that waits,
  and acquires one again when its server has sent something.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

PARKED_PER_PERMIT = 3  # a reader holds up to three chunks: two unsent ones and one that is being read
MIN_READER_FRACTION = 0.25  # of the permits, for streams that are not parked

Key = TypeVar("Key", bound=Hashable)


class StreamReadPermits(Generic[Key]):
    """A round-robin semaphore with `max_readers` permits, without I/O or a clock.

    Raises `ValueError` if `max_readers` is below 1.
    """

    def __init__(self, max_readers: int) -> None:
        if max_readers < 1:
            raise ValueError("max_readers must be at least 1")
        self.max_readers = max_readers
        self.readers: OrderedDict[Key, None] = OrderedDict()  # by their last chunk, the longest ago first
        self.parked: dict[Key, None] = {}
        self.blocked: dict[Key, None] = {}  # streams that do not read and could not be parked
        self.waiters: OrderedDict[Key, None] = OrderedDict()

    def acquire(self, key: Key) -> bool:
        """Returns whether `key` has a permit now. If not, it is queued until `grant_next` returns it."""
        if key in self.readers:
            return True
        if key in self.blocked:
            del self.blocked[key]
            self.readers[key] = None
            return True
        self.parked.pop(key, None)
        if key not in self.waiters and self.has_free_permit():
            self.readers[key] = None
            return True
        self.waiters[key] = None
        return False

    def rotate_after_chunk(self, key: Key) -> bool:
        """Returns whether `key` keeps its permit, after it has relayed a chunk and buffers nothing.

        If not, it has been queued behind the waiters, and `grant_next` will return one of them.
        """
        if key not in self.readers:
            return False
        if not self.waiters:
            self.readers.move_to_end(key)
            return True
        del self.readers[key]
        self.waiters[key] = None
        return False

    def longest_without_chunk(self) -> Key | None:
        """Returns the reader whose last chunk, or permit, is longest ago; None if nobody reads."""
        return next(iter(self.readers), None)

    def park(self, key: Key) -> bool:
        """Takes the permit, or the place among the waiters, of a stream whose client does not read.

        Returns False if it keeps the permit instead, as too many streams are parked.
        """
        self.waiters.pop(key, None)
        if key not in self.readers and key not in self.blocked:
            return True
        self.readers.pop(key, None)
        self.blocked.pop(key, None)
        min_readers = max(1, int(self.max_readers * MIN_READER_FRACTION))
        if permits_of(len(self.parked) + 1) > self.max_readers - min_readers:
            self.blocked[key] = None
            return False
        self.parked[key] = None
        return True

    def release(self, key: Key) -> None:
        """Removes a stream that neither reads nor waits, as it has ended or its server sends nothing."""
        self.readers.pop(key, None)
        self.parked.pop(key, None)
        self.blocked.pop(key, None)
        self.waiters.pop(key, None)

    def grant_next(self) -> Key | None:
        """Gives a free permit to the longest waiter and returns its key; None without a permit or a waiter.

        To be called repeatedly until it returns None.
        """
        if not self.has_free_permit() or not self.waiters:
            return None
        key, _ = self.waiters.popitem(last=False)
        self.readers[key] = None
        return key

    def has_free_permit(self) -> bool:
        """Returns whether another stream may read."""
        used = len(self.readers) + len(self.blocked) + permits_of(len(self.parked))
        return used < self.max_readers


def permits_of(parked_count: int) -> int:
    """Returns how many permits so many parked streams take."""
    return -(-parked_count // PARKED_PER_PERMIT)
