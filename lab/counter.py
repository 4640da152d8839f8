"""A partitioned counter with injected faults, in simulated time and behind a socket.

`Parts` is the model without I/O. A hash assigns each name to a partition. A partition can be unavailable,
slow, split into two halves that serve different callers, or replaced by one with another state.
`PartitionedCounter` serves `Parts` on a socket. `CounterService` in `services.py` is a counter without
partitions.
"""

from __future__ import annotations

import asyncio
import copy
import hashlib
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from lab.peers import Peer, read_commands

MAX_LIFE_MS = 60_000.0
MAX_NAMES = 10_000  # above this number, expired names are deleted


@dataclass
class Memory:
    """Totals by name, each with its expiry time."""

    names: dict[str, tuple[float, float]] = field(default_factory=dict)

    def add(self, now_ms: float, name: str, amount: float, life_ms: float) -> float:
        """Adds an amount to a name, which expires `life_ms` after its first call, and returns the total."""
        total, until = self.names.get(name, (0.0, -1.0))
        if now_ms >= until:
            total, until = 0.0, now_ms + min(life_ms, MAX_LIFE_MS)
            if len(self.names) > MAX_NAMES:
                self.names = {k: v for k, v in self.names.items() if v[1] > now_ms}
        self.names[name] = total + amount, until
        return total + amount


@dataclass
class Part:
    """A partition of the counter and its faults."""

    memory: Memory = field(default_factory=Memory)
    other: Memory | None = None  # totals of the second half during a split
    away: frozenset[str] = frozenset()  # callers that reach the second half
    mute: bool = False  # calls are neither counted nor answered
    deaf: bool = False  # calls are counted but not answered
    delay_ms: float = 0.0
    kept: Memory | None = None  # state saved for `restore`

    def memory_of(self, caller: str) -> Memory:
        """Returns the totals that a caller reaches."""
        return self.other if self.other is not None and caller in self.away else self.memory


class Parts:
    """All partitions of the counter."""

    def __init__(self, count: int) -> None:
        self.parts = [Part() for _ in range(count)]
        self.calls = 0

    def part_of(self, name: str) -> int:
        """Returns the number of the partition that holds a name."""
        return hashlib.blake2b(name.encode(), digest_size=2).digest()[0] % len(self.parts)

    def call(
        self, now_ms: float, caller: str, name: str, amount: float, life_ms: float
    ) -> tuple[float, float] | None:
        """Performs a call; returns the total and the delay of its answer in ms, or None without an answer."""
        self.calls += 1
        part = self.parts[self.part_of(name)]
        if part.mute:
            return None
        total = part.memory_of(caller).add(now_ms, name, amount, life_ms)
        return None if part.deaf else (total, part.delay_ms)

    def each(self, which: int | None, change: Callable[[Part], None]) -> None:
        """Applies a change to one partition, or to all."""
        for part in self.parts if which is None else [self.parts[which]]:
            change(part)

    def kill(self, which: int | None = None) -> None:
        """Makes partitions neither count nor answer calls."""
        self.each(which, lambda part: setattr(part, "mute", True))

    def replace(self, which: int | None = None) -> None:
        """Replaces partitions by available ones without totals; connections stay open."""

        def clear(part: Part) -> None:
            part.memory, part.other, part.away, part.mute = Memory(), None, frozenset(), False

        self.each(which, clear)

    def revive(self, which: int | None = None) -> None:
        """Makes partitions available again with their previous totals."""
        self.each(which, lambda part: setattr(part, "mute", False))

    def split(self, away: Collection[str], empty: bool, which: int | None = None) -> None:
        """Splits partitions; callers in `away` reach a second half, `empty` or with a copy of the totals."""

        def split_part(part: Part) -> None:
            part.other = Memory() if empty else copy.deepcopy(part.memory)
            part.away = frozenset(away)

        self.each(which, split_part)

    def heal(self, which: int | None = None) -> None:
        """Ends a split; the totals of the first half stay, and those of the second are lost."""

        def merge(part: Part) -> None:
            part.other, part.away = None, frozenset()

        self.each(which, merge)

    def keep(self, which: int | None = None) -> None:
        """Saves the totals for `restore`."""
        self.each(which, lambda part: setattr(part, "kept", copy.deepcopy(part.memory)))

    def restore(self, which: int | None = None) -> None:
        """Restores the totals saved by `keep`, or none."""

        def restore_part(part: Part) -> None:
            part.memory = copy.deepcopy(part.kept) if part.kept is not None else Memory()

        self.each(which, restore_part)

    def slow(self, delay_ms: float, which: int | None = None) -> None:
        """Delays answers by `delay_ms`; 0 ends the delay."""
        self.each(which, lambda part: setattr(part, "delay_ms", delay_ms))

    def deafen(self, deaf: bool, which: int | None = None) -> None:
        """Starts or ends a fault in which calls are counted but not answered."""
        self.each(which, lambda part: setattr(part, "deaf", deaf))


class PartitionedCounter(Peer):
    """Serves `Parts` on a socket. `caller` maps the serial number of a connection to its caller's name."""

    def __init__(self, parts: Parts, caller: Callable[[int], str] = str) -> None:
        super().__init__()
        self.parts, self.caller = parts, caller

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        caller = self.caller(len(self.writers) - 1)
        loop = asyncio.get_running_loop()
        async for words in read_commands(reader):
            if words[0].upper() != b"INCRTTL":
                writer.write(b"+PONG\r\n" if words[0].upper() == b"PING" else b"-ERR no such call\r\n")
                continue
            name, amount, life = words[1].decode(), float(words[2]), float(words[3])
            result = self.parts.call(1000.0 * loop.time(), caller, name, amount, life)
            if result is None:
                await asyncio.Event().wait()  # no answer until the connection or the server ends
                return
            total, delay_ms = result
            if delay_ms:
                await asyncio.sleep(delay_ms / 1000.0)
            text = b"%.7g" % total
            writer.write(b"$%d\r\n%b\r\n" % (len(text), text))
