"""Which of many long values may be read on, so that what is held of them all stays within a bound.

Each that reads may have a bounded number of bytes on their way through the process; at most `most` read at
the same time. The others wait in the order in which they asked. While somebody waits, whoever has got a piece
goes to the end of the line, so that every value moves and none moves twice before another has moved once. No
I/O, no clock; a property test holds all three.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class Turns(Generic[Key]):
    """The values that read, and the line of those that wait."""

    def __init__(self, most: int) -> None:
        if most < 1:
            raise ValueError("somebody must be able to read")
        self.most = most
        self.reading: dict[Key, None] = {}
        self.waiting: OrderedDict[Key, None] = OrderedDict()

    def ask(self, key: Key) -> bool:
        """Wants to read on; whether it may now. Else `next` will name it."""
        if key in self.reading:
            return True
        if key not in self.waiting and len(self.reading) < self.most:
            self.reading[key] = None
            return True
        self.waiting[key] = None
        return False

    def got(self, key: Key) -> bool:
        """A piece has come, and nothing of it is held any more; whether it reads on at once. Where not, it
        waits, and `next` has somebody."""
        if not self.waiting or key not in self.reading:
            return key in self.reading
        del self.reading[key]
        self.waiting[key] = None
        return False

    def left(self, key: Key) -> None:
        """Is at its end, or does not read for now and holds nothing."""
        self.reading.pop(key, None)
        self.waiting.pop(key, None)

    def next(self) -> Key | None:
        """Who may read now and was not allowed before; to be asked until it names nobody."""
        if not self.waiting or len(self.reading) >= self.most:
            return None
        key, _ = self.waiting.popitem(last=False)
        self.reading[key] = None
        return key
