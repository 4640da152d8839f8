"""A partitioned counter with injected faults, in simulated time and behind a socket.

`CounterPartitions` is the model without I/O. A hash assigns each name to a partition. A partition can be
unavailable, slow, split into two halves that serve different callers, or replaced by one with another state.
`PartitionedCounter` serves the model on a socket. `CounterService` in `services.py` is a counter without
partitions.
"""

from __future__ import annotations

import asyncio
import copy
import hashlib
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from lab.peers import Peer, read_commands

MAX_TTL_MS = 60_000.0
MAX_NAMES = 10_000  # above this number, expired names are deleted


@dataclass
class ExpiringTotals:
    """Totals by name, each of which is dropped when its lifetime ends."""

    entries: dict[str, tuple[float, float]] = field(default_factory=dict)  # total and expiry time in ms

    def add(self, now_ms: float, name: str, amount: float, ttl_ms: float) -> float:
        """Adds an amount to a name and returns the total, which expires `ttl_ms` after the first call, or
        `MAX_TTL_MS` after it if that is earlier."""
        total, expires_at_ms = self.entries.get(name, (0.0, -1.0))
        if now_ms >= expires_at_ms:
            total, expires_at_ms = 0.0, now_ms + min(ttl_ms, MAX_TTL_MS)
            if len(self.entries) > MAX_NAMES:
                self.entries = {k: v for k, v in self.entries.items() if v[1] > now_ms}
        self.entries[name] = total + amount, expires_at_ms
        return total + amount


@dataclass
class Partition:
    """A partition of the counter and its faults."""

    totals: ExpiringTotals = field(default_factory=ExpiringTotals)
    other_totals: ExpiringTotals | None = None  # of the second half during a split
    other_callers: frozenset[str] = frozenset()  # names of the callers that reach the second half
    is_unavailable: bool = False  # calls are neither counted nor answered
    drops_replies: bool = False  # calls are counted but not answered
    delay_ms: float = 0.0
    saved_totals: ExpiringTotals | None = None  # set by `save`, used by `restore`

    def totals_for(self, caller: str) -> ExpiringTotals:
        """Returns the totals that a caller reaches."""
        if self.other_totals is not None and caller in self.other_callers:
            return self.other_totals
        return self.totals


class CounterPartitions:
    """All partitions of the counter."""

    def __init__(self, count: int) -> None:
        self.items = [Partition() for _ in range(count)]
        self.calls = 0

    def index_of(self, name: str) -> int:
        """Returns the number of the partition that holds a name."""
        return hashlib.blake2b(name.encode(), digest_size=2).digest()[0] % len(self.items)

    def call(
        self, now_ms: float, caller: str, name: str, amount: float, ttl_ms: float
    ) -> tuple[float, float] | None:
        """Performs a call; returns the total and the delay of its answer in ms, or None without an answer."""
        self.calls += 1
        partition = self.items[self.index_of(name)]
        if partition.is_unavailable:
            return None
        total = partition.totals_for(caller).add(now_ms, name, amount, ttl_ms)
        return None if partition.drops_replies else (total, partition.delay_ms)

    def apply(self, index: int | None, change: Callable[[Partition], None]) -> None:
        """Applies a change to one partition, or to all."""
        for partition in self.items if index is None else [self.items[index]]:
            change(partition)

    def kill(self, index: int | None = None) -> None:
        """Makes partitions neither count nor answer calls."""
        self.apply(index, lambda partition: setattr(partition, "is_unavailable", True))

    def replace(self, index: int | None = None) -> None:
        """Replaces partitions by available ones without totals; connections stay open."""

        def reset(partition: Partition) -> None:
            partition.totals, partition.other_totals = ExpiringTotals(), None
            partition.other_callers, partition.is_unavailable = frozenset(), False

        self.apply(index, reset)

    def revive(self, index: int | None = None) -> None:
        """Makes partitions available again with their previous totals."""
        self.apply(index, lambda partition: setattr(partition, "is_unavailable", False))

    def split(self, callers: Collection[str], empty: bool, index: int | None = None) -> None:
        """Splits partitions; `callers` reach a second half, which is empty or has a copy of the totals."""

        def split_one(partition: Partition) -> None:
            partition.other_totals = ExpiringTotals() if empty else copy.deepcopy(partition.totals)
            partition.other_callers = frozenset(callers)

        self.apply(index, split_one)

    def heal(self, index: int | None = None) -> None:
        """Ends a split; the totals of the first half stay, and those of the second are lost."""

        def merge(partition: Partition) -> None:
            partition.other_totals, partition.other_callers = None, frozenset()

        self.apply(index, merge)

    def save(self, index: int | None = None) -> None:
        """Saves the totals for `restore`."""
        self.apply(
            index, lambda partition: setattr(partition, "saved_totals", copy.deepcopy(partition.totals))
        )

    def restore(self, index: int | None = None) -> None:
        """Restores the totals saved by `save`, or none."""

        def restore_one(partition: Partition) -> None:
            saved = partition.saved_totals
            partition.totals = copy.deepcopy(saved) if saved is not None else ExpiringTotals()

        self.apply(index, restore_one)

    def slow(self, delay_ms: float, index: int | None = None) -> None:
        """Delays answers by `delay_ms`; 0 ends the delay."""
        self.apply(index, lambda partition: setattr(partition, "delay_ms", delay_ms))

    def drop_replies(self, on: bool, index: int | None = None) -> None:
        """Starts or ends a fault in which calls are counted but not answered."""
        self.apply(index, lambda partition: setattr(partition, "drops_replies", on))


class PartitionedCounter(Peer):
    """Serves a `CounterPartitions` on a socket.

    `caller` maps the number of a connection, in the order of acceptance from 0, to the name of its caller.
    """

    def __init__(self, partitions: CounterPartitions, caller: Callable[[int], str] = str) -> None:
        super().__init__()
        self.partitions, self.caller = partitions, caller

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        caller = self.caller(len(self.writers) - 1)
        loop = asyncio.get_running_loop()
        async for command in read_commands(reader):
            if command[0].upper() != b"INCRTTL":
                writer.write(b"+PONG\r\n" if command[0].upper() == b"PING" else b"-ERR no such call\r\n")
                continue
            name, amount, ttl_ms = command[1].decode(), float(command[2]), float(command[3])
            result = self.partitions.call(1000.0 * loop.time(), caller, name, amount, ttl_ms)
            if result is None:
                await asyncio.Event().wait()  # no answer until the connection or the server ends
                return
            total, delay_ms = result
            if delay_ms:
                await asyncio.sleep(delay_ms / 1000.0)
            text = b"%.7g" % total
            writer.write(b"$%d\r\n%b\r\n" % (len(text), text))
