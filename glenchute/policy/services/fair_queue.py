"""Fairness between the accounts of one service: a bounded number of lanes, each account in one of them.

Stochastic fairness queueing (McKenney, INFOCOM 1990): a queue for each account would grow with the accounts,
so they are spread over lanes by a hash that nobody outside can foresee and that changes now and then, as two
accounts that share a lane must not share it for good. Lanes take turns by deficit round robin. Where all
lanes together are full, the longest gives up its oldest entry, which has waited longest for what is least its
due: so a flood drops its own.

Pure; time is handed in, in milliseconds.
"""

from __future__ import annotations

import hashlib
from collections import deque
from typing import Generic, NamedTuple, TypeVar

from .bulkheads import Rounds

T = TypeVar("T")


class Entry(NamedTuple, Generic[T]):
    """What waits, since when, what it is thought to cost."""

    item: T
    came: float
    cost: float


class Lanes(Generic[T]):
    """What waits in one service. Bounded by `most`, whatever the accounts do.

    Guarantees: entries of one account leave in the order in which they came, but for a change of the hash; an
    account that shares its lane with no flood has its turn within one round of the lanes; nothing is dropped
    while there is room; each entry leaves exactly once, by `next` or as what `put` gives back."""

    def __init__(
        self, lanes: int, most: int, quantum: float, seed: bytes, renew_ms: float = 10_000.0
    ) -> None:
        self.count, self.most = lanes, most
        self.seed, self.renew_ms = seed, renew_ms
        self.epoch = 0
        self.lanes: dict[str, deque[Entry[T]]] = {str(n): deque() for n in range(lanes)}
        self.rounds = Rounds(dict.fromkeys(self.lanes, 1.0), quantum)
        self.size = 0

    def lane(self, now: float, account: str) -> str:
        """The lane of an account at this time."""
        epoch = int(now // self.renew_ms)
        key = hashlib.blake2b(account.encode(), digest_size=4, key=self.seed[:32] + epoch.to_bytes(8, "big"))
        return str(int.from_bytes(key.digest(), "big") % self.count)

    def put(self, now: float, account: str, item: T, cost: float) -> T | None:
        """Something comes; what had to give way for it, which may be itself, or None."""
        name = self.lane(now, account)
        dropped: T | None = None
        if self.size >= self.most:
            longest = max(self.lanes, key=lambda n: (len(self.lanes[n]), n))
            if len(self.lanes[longest]) <= len(self.lanes[name]):
                longest = name  # it would be the longest itself
            if not self.lanes[longest]:
                return item
            dropped = self.lanes[longest].popleft().item
            self.size -= 1
            if not self.lanes[longest] and longest != name:
                self.rounds.spent(longest, 0.0, False)
        self.lanes[name].append(Entry(item, now, cost))
        self.size += 1
        self.rounds.ready(name)
        return dropped

    def next(self) -> Entry[T] | None:
        """What has its turn; None where nothing waits."""
        name = self.rounds.next()
        if name is None:
            return None
        entry = self.lanes[name].popleft()
        self.size -= 1
        self.rounds.spent(name, entry.cost, bool(self.lanes[name]))
        return entry
