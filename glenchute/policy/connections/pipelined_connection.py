"""One connection to a node on which several commands stand: their order, the bytes of each, each one's
ending.

Sans I/O. The connection tells what it handed to the machine and how much of that may have left; this tells
which commands go out together, to which one a reply belongs, and how each ends when the line is cut. Offsets
count the bytes of the connection's stream, so that a batch that was half written is taken apart exactly.
Times are milliseconds.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, NamedTuple, TypeVar

from ..events import Outcome

T = TypeVar("T")
CROSSING_MS = 5.0  # a command handed over so shortly before a reply may not have been at the node by then


class Ended(NamedTuple, Generic[T]):
    """One attempt's ending, when a line was cut."""

    item: T
    ending: Outcome


class Entry(Generic[T]):
    """A command on the line."""

    __slots__ = ("begin", "called_off", "data", "end", "handed_at", "item")

    def __init__(self, item: T, data: bytes) -> None:
        self.item = item
        self.data = data  # emptied once it was handed over
        self.begin = self.end = -1  # its place in the stream, from the handing over on
        self.handed_at = 0.0
        self.called_off = False  # nobody waits for its answer, which still has its place in the order


class Line(Generic[T]):
    """The commands of one connection, in order.

    Guarantees: each command put here leaves by exactly one of `reply`, `withdraw` and `cut`; a command of
    which no byte left is told as never reached (UNREACHABLE), any other as one that may have run; no reply is
    paired with a command whose last byte had not left when it came.
    """

    __slots__ = ("doubt_ms", "handed", "left", "out", "replied_at", "settle_ms", "waiting")

    def __init__(self, doubt_ms: float = 0.0, settle_ms: float = 0.0) -> None:
        self.waiting: deque[Entry[T]] = deque()  # not handed over
        self.out: deque[Entry[T]] = deque()  # handed over, in whole or in part gone
        self.handed = 0  # bytes handed to the machine
        self.left = 0  # the most of them that can have left
        self.replied_at = -1e18
        self.doubt_ms, self.settle_ms = doubt_ms, settle_ms

    def __len__(self) -> int:
        return len(self.waiting) + len(self.out)

    def put(self, item: T, data: bytes) -> Entry[T]:
        """A command joins the end of the line."""
        entry = Entry(item, data)
        self.waiting.append(entry)
        return entry

    def batch(self, now: float, most: int, most_bytes: int) -> tuple[list[Entry[T]], bytes]:
        """The next commands to hand over together, and their bytes: so many at most, and no more bytes than
        this unless the first alone has them. Nothing may be handed over while some of the last batch has not
        left."""
        entries: list[Entry[T]] = []
        parts: list[bytes] = []
        size = 0
        while self.waiting and len(parts) < most:
            entry = self.waiting[0]
            if parts and size + len(entry.data) > most_bytes:
                break
            self.waiting.popleft()
            entry.begin = self.handed
            self.handed += len(entry.data)
            entry.end, entry.handed_at = self.handed, now
            size += len(entry.data)
            parts.append(entry.data)
            entry.data = b""
            entries.append(entry)
        self.out += entries
        return entries, b"".join(parts)

    def gone(self, buffered: int) -> None:
        """So many of the bytes handed over are known to be still here; the others may have left."""
        self.left = max(self.left, self.handed - buffered)

    def may_have_left(self, entry: Entry[T]) -> bool:
        """Whether a byte of it can have left."""
        return 0 <= entry.begin < self.left

    def reply(self, now: float) -> tuple[Entry[T], bool] | None:
        """A whole reply has come: whose it is, and whether it can be trusted to be that. None: it is one too
        many. What is not trusted has run all the same.

        A node may send more than belongs to an answer where nothing else waits on the connection. A command
        that was on its way just then would get that for its reply: it is not trusted where it was handed over
        less than `doubt_ms` before the reply ahead of it came and is answered less than `settle_ms` after."""
        if not self.out or self.out[0].end > self.left:
            return None
        entry = self.out.popleft()
        ahead, self.replied_at = self.replied_at, now
        crossed = entry.handed_at > ahead - self.doubt_ms
        trusted = not (crossed and now - ahead < self.settle_ms)
        return entry, trusted

    def withdraw(self, entry: Entry[T]) -> bool:
        """Takes a command back of which nothing was handed over; False where it is too late for that."""
        if entry.begin >= 0 or entry not in self.waiting:
            return False
        self.waiting.remove(entry)
        return True

    def cut(self, cause: Entry[T] | None = None, ending: Outcome = Outcome.RESET) -> list[Ended[T]]:
        """The connection ends: each command's ending, in order. `cause` is the one for whose sake it ends,
        with what became of it; the others were reset. `gone` has been told before."""
        ended: list[Ended[T]] = []
        for entry in (*self.out, *self.waiting):
            if not self.may_have_left(entry):
                ended.append(Ended(entry.item, Outcome.UNREACHABLE))
            elif entry.called_off:
                ended.append(Ended(entry.item, Outcome.CANCELLED))
            else:
                ended.append(Ended(entry.item, ending if entry is cause else Outcome.RESET))
        self.out.clear()
        self.waiting.clear()
        return ended
