"""A counter of several parts that fails in every way it can, in simulated time and behind a socket.

`Parts` is the model, without I/O: names lie on parts by a hash, each part is up or mute, whole or split in
two halves that each see some callers, slow, or swapped for one with another memory. `CounterService` in
`services.py` is a whole counter without parts; `PartedCounter` here puts `Parts` behind a socket.
"""

from __future__ import annotations

import asyncio
import copy
import hashlib
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from lab.peers import Peer, commands

MOST_LIFE_MS = 60_000.0
MOST_NAMES = 10_000  # past this, those whose time is up are thrown out


@dataclass
class Memory:
    """Totals, and when each is forgotten."""

    names: dict[str, tuple[float, float]] = field(default_factory=dict)

    def add(self, now_ms: float, name: str, amount: float, life_ms: float) -> float:
        """The total after a call."""
        total, until = self.names.get(name, (0.0, -1.0))
        if now_ms >= until:
            total, until = 0.0, now_ms + min(life_ms, MOST_LIFE_MS)
            if len(self.names) > MOST_NAMES:
                self.names = {k: v for k, v in self.names.items() if v[1] > now_ms}
        self.names[name] = total + amount, until
        return total + amount


@dataclass
class Part:
    """One part: its memory, or a half's for callers of that half."""

    memory: Memory = field(default_factory=Memory)
    other: Memory | None = None  # of the second half, while split
    away: frozenset[str] = frozenset()  # callers of the second half
    mute: bool = False  # calls are lost: nothing is added, nothing is answered
    deaf: bool = False  # calls are added, and not answered
    delay_ms: float = 0.0
    kept: Memory | None = None  # a state to go back to

    def memory_of(self, caller: str) -> Memory:
        """The memory that a caller reaches."""
        return self.other if self.other is not None and caller in self.away else self.memory


class Parts:
    """All parts. `call` gives the total and when it is known, or None where no answer will come."""

    def __init__(self, count: int) -> None:
        self.parts = [Part() for _ in range(count)]
        self.calls = 0

    def part_of(self, name: str) -> int:
        """Where a name lies."""
        return hashlib.blake2b(name.encode(), digest_size=2).digest()[0] % len(self.parts)

    def call(
        self, now_ms: float, caller: str, name: str, amount: float, life_ms: float
    ) -> tuple[float, float] | None:
        """One call."""
        self.calls += 1
        part = self.parts[self.part_of(name)]
        if part.mute:
            return None
        total = part.memory_of(caller).add(now_ms, name, amount, life_ms)
        return None if part.deaf else (total, part.delay_ms)

    def each(self, which: int | None, change: Callable[[Part], None]) -> None:
        """Applies a change to one part, or to all."""
        for part in self.parts if which is None else [self.parts[which]]:
            change(part)

    def kill(self, which: int | None = None) -> None:
        """No answers, nothing added."""
        self.each(which, lambda part: setattr(part, "mute", True))

    def replace(self, which: int | None = None) -> None:
        """Up again, or swapped under open connections, with nothing in memory."""

        def fresh(part: Part) -> None:
            part.memory, part.other, part.away, part.mute = Memory(), None, frozenset(), False

        self.each(which, fresh)

    def revive(self, which: int | None = None) -> None:
        """Up again with the memory of before."""
        self.each(which, lambda part: setattr(part, "mute", False))

    def split(self, away: Collection[str], empty: bool, which: int | None = None) -> None:
        """Two halves from now on: these callers reach another, empty or with the memory of the moment."""

        def halve(part: Part) -> None:
            part.other = Memory() if empty else copy.deepcopy(part.memory)
            part.away = frozenset(away)

        self.each(which, halve)

    def heal(self, which: int | None = None) -> None:
        """One again; the first half's memory stays, and what the second counted is lost."""

        def whole(part: Part) -> None:
            part.other, part.away = None, frozenset()

        self.each(which, whole)

    def keep(self, which: int | None = None) -> None:
        """Remembers a state to go back to."""
        self.each(which, lambda part: setattr(part, "kept", copy.deepcopy(part.memory)))

    def restore(self, which: int | None = None) -> None:
        """Goes back to that state."""

        def back(part: Part) -> None:
            part.memory = copy.deepcopy(part.kept) if part.kept is not None else Memory()

        self.each(which, back)

    def slow(self, delay_ms: float, which: int | None = None) -> None:
        """Answers come so late; 0 ends it."""
        self.each(which, lambda part: setattr(part, "delay_ms", delay_ms))

    def deafen(self, deaf: bool, which: int | None = None) -> None:
        """Calls are added and never answered, or answered again."""
        self.each(which, lambda part: setattr(part, "deaf", deaf))


class PartedCounter(Peer):
    """`Parts` behind a socket. `caller` names the caller of a connection by its number, in the order of
    coming."""

    def __init__(self, parts: Parts, caller: Callable[[int], str] = str) -> None:
        super().__init__()
        self.parts, self.caller = parts, caller

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        caller = self.caller(len(self.writers) - 1)
        loop = asyncio.get_running_loop()
        async for words in commands(reader):
            if words[0].upper() != b"INCRTTL":
                writer.write(b"+PONG\r\n" if words[0].upper() == b"PING" else b"-ERR no such call\r\n")
                continue
            name, amount, life = words[1].decode(), float(words[2]), float(words[3])
            told = self.parts.call(1000.0 * loop.time(), caller, name, amount, life)
            if told is None:
                await asyncio.Event().wait()  # silence, until the connection or the stand-in ends
                return
            total, delay_ms = told
            if delay_ms:
                await asyncio.sleep(delay_ms / 1000.0)
            text = b"%.7g" % total
            writer.write(b"$%d\r\n%b\r\n" % (len(text), text))
