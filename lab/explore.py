"""Explicit-state exploration: every order of events to a depth, over the real decider and not a model of it.

A system is copied for each event (`pickle`) and checked after each. Breadth first, so that the history told
of a failure is a shortest one.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import Generic, NamedTuple, TypeVar

System = TypeVar("System")


class Found(NamedTuple):
    """A failure and the events that lead to it."""

    what: str
    history: tuple[str, ...]


class Explored(NamedTuple):
    """What was looked at, and what failed, if anything did."""

    states: int
    events: int
    depth: int
    whole: bool  # no state was left for want of room
    found: Found | None


class Explorer(Generic[System]):
    """`events` names what may happen next and how; `check` returns what is wrong, or nothing; `key` tells
    what two systems have in common that are one state."""

    def __init__(
        self,
        events: Callable[[System], Iterable[tuple[str, Callable[[System], None]]]],
        check: Callable[[System], str],
        key: Callable[[System], bytes],
    ) -> None:
        self.events, self.check, self.key = events, check, key

    def run(self, first: System, depth: int, most: int = 1_000_000) -> Explored:
        """All states to this depth, or so many."""
        seen = {self.name(first)}
        layer: list[tuple[bytes, tuple[str, ...]]] = [(pickle.dumps(first), ())]
        events = 0
        for level in range(depth):
            following: list[tuple[bytes, tuple[str, ...]]] = []
            for raw, history in layer:
                for label, event in self.events(pickle.loads(raw)):
                    system = pickle.loads(raw)
                    event(system)
                    events += 1
                    if wrong := self.check(system):
                        found = Found(wrong, (*history, label))
                        return Explored(len(seen), events, level + 1, True, found)
                    name = self.name(system)
                    if name in seen:
                        continue
                    seen.add(name)
                    if len(seen) > most:
                        return Explored(len(seen), events, level + 1, False, None)
                    following.append((pickle.dumps(system), (*history, label)))
            layer = following
            if not layer:
                break
        return Explored(len(seen), events, depth, True, None)

    def name(self, system: System) -> bytes:
        """A state's name."""
        return blake2b(self.key(system), digest_size=16).digest()
