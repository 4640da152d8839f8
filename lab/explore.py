"""Explicit-state exploration of all orders of events up to a depth, with the real decision code.

The system is copied with `pickle` for each event and checked after it. The search is breadth-first, so that
the reported history of a failure is as short as possible.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import Generic, NamedTuple, TypeVar

System = TypeVar("System")


class Found(NamedTuple):
    """A failure and the events that led to it."""

    what: str
    history: tuple[str, ...]


class Explored(NamedTuple):
    """Result of an exploration: its size, and the first failure if there was one."""

    states: int
    events: int
    depth: int
    whole: bool  # False if the limit on states ended the exploration
    found: Found | None


class Explorer(Generic[System]):
    """Explores the states of a system.

    `events` yields the name and function of each possible next event. `check` returns a description of a
    broken rule, or an empty string. Systems with equal `key` are the same state.
    """

    def __init__(
        self,
        events: Callable[[System], Iterable[tuple[str, Callable[[System], None]]]],
        check: Callable[[System], str],
        key: Callable[[System], bytes],
    ) -> None:
        self.events, self.check, self.key = events, check, key

    def run(self, first: System, depth: int, most: int = 1_000_000) -> Explored:
        """Explores the states up to a depth, and `most` states at the most."""
        seen = {self.digest(first)}
        layer: list[tuple[bytes, tuple[str, ...]]] = [(pickle.dumps(first), ())]
        events = 0
        for level in range(depth):
            next_layer: list[tuple[bytes, tuple[str, ...]]] = []
            for pickled, history in layer:
                for label, event in self.events(pickle.loads(pickled)):
                    system = pickle.loads(pickled)
                    event(system)
                    events += 1
                    if problem := self.check(system):
                        found = Found(problem, (*history, label))
                        return Explored(len(seen), events, level + 1, True, found)
                    digest = self.digest(system)
                    if digest in seen:
                        continue
                    seen.add(digest)
                    if len(seen) > most:
                        return Explored(len(seen), events, level + 1, False, None)
                    next_layer.append((pickle.dumps(system), (*history, label)))
            layer = next_layer
            if not layer:
                break
        return Explored(len(seen), events, depth, True, None)

    def digest(self, system: System) -> bytes:
        """Returns the digest that identifies a state."""
        return blake2b(self.key(system), digest_size=16).digest()
