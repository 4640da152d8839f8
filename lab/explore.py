"""Explicit-state exploration of all orders of events up to a depth, with the real decision code.

Each event is applied to a copy of the system, made with `pickle`, which is checked afterwards. The search is
breadth-first, so that the reported sequence of events to a failure is as short as possible.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import Generic, NamedTuple, TypeVar

System = TypeVar("System")


class Counterexample(NamedTuple):
    """A broken rule and the names of the events that led to it."""

    problem: str
    history: tuple[str, ...]


class ExplorationResult(NamedTuple):
    """The size of an exploration, and the first counterexample if there was one."""

    states: int  # distinct states
    events: int  # events applied
    depth: int  # longest sequence of events, or the limit if there were no states left to explore
    is_complete: bool  # False if the limit on states ended the exploration
    counterexample: Counterexample | None


class Explorer(Generic[System]):
    """Explores the states of a system.

    `events` yields the name and function of each possible next event. `check` returns a description of a
    broken rule, or an empty string. Systems with equal `key` are taken for the same state.
    """

    def __init__(
        self,
        events: Callable[[System], Iterable[tuple[str, Callable[[System], None]]]],
        check: Callable[[System], str],
        key: Callable[[System], bytes],
    ) -> None:
        self.events, self.check, self.key = events, check, key

    def run(self, first: System, depth: int, max_states: int = 1_000_000) -> ExplorationResult:
        """Explores all sequences of up to `depth` events, until there are more than `max_states` states."""
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
                        counterexample = Counterexample(problem, (*history, label))
                        return ExplorationResult(len(seen), events, level + 1, True, counterexample)
                    digest = self.digest(system)
                    if digest in seen:
                        continue
                    seen.add(digest)
                    if len(seen) > max_states:
                        return ExplorationResult(len(seen), events, level + 1, False, None)
                    next_layer.append((pickle.dumps(system), (*history, label)))
            layer = next_layer
            if not layer:
                break
        return ExplorationResult(len(seen), events, depth, True, None)

    def digest(self, system: System) -> bytes:
        """Returns the digest that identifies a state."""
        return blake2b(self.key(system), digest_size=16).digest()
