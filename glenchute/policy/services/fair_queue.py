"""Fairness between the tenants of one service: a bounded queue with a bounded number of lanes.

Stochastic fairness queueing (McKenney, INFOCOM 1990). One queue per tenant would need memory for every
tenant, so tenants are spread over lanes by a keyed hash. No tenant can predict the hash, and it changes
periodically so that no two tenants share a lane permanently. Lanes take turns by deficit round robin. When
the queue is full, the longest lane drops its oldest item, so that a flooding tenant drops its own items.

No I/O; times are milliseconds.
"""

from __future__ import annotations

import hashlib
from collections import deque
from typing import Generic, NamedTuple, TypeVar

from .round_robin import DeficitRoundRobin

T = TypeVar("T")
REHASH_INTERVAL_MS = 10_000.0  # time after which tenants are spread over the lanes anew


class QueuedItem(NamedTuple, Generic[T]):
    """An item, the time at which it was queued, and its expected cost."""

    item: T
    queued_at_ms: float
    cost: float


class FairQueue(Generic[T]):
    """The items that wait for one service, `max_items` at most.

    Guarantees: items of one tenant leave in the order of arrival, except across a change of the hash; a
    tenant that does not share its lane with a flooding one has its turn within one round of the lanes;
    nothing is dropped while there is room; each item leaves exactly once, returned by `dequeue` or by
    `enqueue`."""

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
        """Returns the lane of a tenant at this time."""
        epoch = int(now_ms // self.rehash_interval_ms)
        key = self.seed[:32] + epoch.to_bytes(8, "big")
        digest = hashlib.blake2b(tenant.encode(), digest_size=4, key=key).digest()
        return str(int.from_bytes(digest, "big") % self.lane_count)

    def enqueue(self, now_ms: float, tenant: str, item: T, cost: float) -> T | None:
        """Adds an item. Returns the item that was dropped to make room, possibly itself, or None."""
        name = self.lane_of(now_ms, tenant)
        dropped: T | None = None
        if self.size >= self.max_items:
            longest = max(self.lanes, key=lambda lane: (len(self.lanes[lane]), lane))
            if len(self.lanes[longest]) <= len(self.lanes[name]):
                longest = name  # the tenant's own lane would be the longest with the new item
            if not self.lanes[longest]:
                return item
            dropped = self.drop_oldest(longest, name)
        self.lanes[name].append(QueuedItem(item, now_ms, cost))
        self.size += 1
        self.round_robin.add_work(name)
        return dropped

    def drop_oldest(self, lane: str, next_lane: str) -> T:
        """Drops the oldest item of a lane, and returns it. `next_lane` is about to get an item, so it stays
        active even if empty."""
        dropped = self.lanes[lane].popleft().item
        self.size -= 1
        if not self.lanes[lane] and lane != next_lane:
            self.round_robin.charge(lane, 0.0, False)
        return dropped

    def dequeue(self) -> QueuedItem[T] | None:
        """Removes and returns the item whose turn it is, or None where nothing waits."""
        name = self.round_robin.next()
        if name is None:
            return None
        entry = self.lanes[name].popleft()
        self.size -= 1
        self.round_robin.charge(name, entry.cost, bool(self.lanes[name]))
        return entry
