"""Fairness between the tenants of one service: a bounded queue with a bounded number of lanes.

Stochastic fairness queueing (McKenney, INFOCOM 1990): a queue for each tenant would grow with the tenants, so
they are spread over lanes by a keyed hash that no tenant can predict and that changes now and then, so that
two tenants do not share a lane for good. Lanes take turns by deficit round robin. Where the queue is full,
the longest lane drops its oldest item, so that a flood drops its own.

Pure; times are milliseconds.
"""

from __future__ import annotations

import hashlib
from collections import deque
from typing import Generic, NamedTuple, TypeVar

from .round_robin import DeficitRoundRobin

T = TypeVar("T")
REHASH_INTERVAL_MS = 10_000.0


class QueuedItem(NamedTuple, Generic[T]):
    """An item, since when it waits, and its expected cost."""

    item: T
    queued_at_ms: float
    cost: float


class FairQueue(Generic[T]):
    """What waits in one service: at most `max_items`, whatever the tenants do.

    Guarantees: items of one tenant leave in the order in which they came, but for a change of the hash; a
    tenant that shares its lane with no flood has its turn within one round of the lanes; nothing is dropped
    while there is room; each item leaves exactly once, by `dequeue` or as what `enqueue` returns."""

    def __init__(
        self,
        lanes: int,
        max_items: int,
        quantum: float,
        seed: bytes,
        rehash_interval_ms: float = REHASH_INTERVAL_MS,
    ) -> None:
        self.lane_count, self.max_items = lanes, max_items
        self.seed, self.rehash_interval_ms = seed, rehash_interval_ms
        self.lanes: dict[str, deque[QueuedItem[T]]] = {str(number): deque() for number in range(lanes)}
        self.round_robin = DeficitRoundRobin(dict.fromkeys(self.lanes, 1.0), quantum)
        self.size = 0

    def lane_of(self, now_ms: float, tenant: str) -> str:
        """The lane of a tenant at this time."""
        epoch = int(now_ms // self.rehash_interval_ms)
        key = self.seed[:32] + epoch.to_bytes(8, "big")
        digest = hashlib.blake2b(tenant.encode(), digest_size=4, key=key).digest()
        return str(int.from_bytes(digest, "big") % self.lane_count)

    def enqueue(self, now_ms: float, tenant: str, item: T, cost: float) -> T | None:
        """Adds an item. Returns the item that was dropped for it, which may be itself, or None."""
        name = self.lane_of(now_ms, tenant)
        dropped: T | None = None
        if self.size >= self.max_items:
            longest = max(self.lanes, key=lambda lane: (len(self.lanes[lane]), lane))
            if len(self.lanes[longest]) <= len(self.lanes[name]):
                longest = name  # with the new item it would be the longest itself
            if not self.lanes[longest]:
                return item
            dropped = self.drop_oldest(longest, name)
        self.lanes[name].append(QueuedItem(item, now_ms, cost))
        self.size += 1
        self.round_robin.add_work(name)
        return dropped

    def drop_oldest(self, lane: str, next_lane: str) -> T:
        """Drops the oldest item of a lane; `next_lane` is about to get one and stays active."""
        dropped = self.lanes[lane].popleft().item
        self.size -= 1
        if not self.lanes[lane] and lane != next_lane:
            self.round_robin.charge(lane, 0.0, False)
        return dropped

    def dequeue(self) -> QueuedItem[T] | None:
        """The item whose turn it is; None where nothing waits."""
        name = self.round_robin.next()
        if name is None:
            return None
        entry = self.lanes[name].popleft()
        self.size -= 1
        self.round_robin.charge(name, entry.cost, bool(self.lanes[name]))
        return entry
