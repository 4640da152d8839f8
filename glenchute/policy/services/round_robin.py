"""Deficit round robin (Shreedhar, Varghese, SIGCOMM 1995) between services or queues. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping


class DeficitRoundRobin:
    """A scheduler that shares turns of different costs between members by weight.

    Each member with work may spend `quantum` times its weight per round; any cost beyond that is deducted in
    later rounds. A turn takes constant time whatever the number of members, and idle members cost nothing.

    Guarantee: over any period in which a member always has work, it falls behind its weighted share by at
    most one quantum and the cost of the largest turn."""

    def __init__(self, weights: Mapping[str, float], quantum: float) -> None:
        self.weights, self.quantum = dict(weights), quantum
        self.active: deque[str] = deque()
        self.has_work: set[str] = set()
        self.deficit: dict[str, float] = {}

    def add_work(self, member: str) -> None:
        """Marks a member as having work."""
        if member not in self.has_work:
            self.has_work.add(member)
            self.active.append(member)
            self.deficit.setdefault(member, 0.0)

    def next(self) -> str | None:
        """Returns the member whose turn it is, or None where no member has work."""
        while self.active:
            member = self.active[0]
            if self.deficit[member] > 0.0:
                return member
            self.deficit[member] += self.quantum * self.weights[member]
            if self.deficit[member] > 0.0:
                return member
            self.active.rotate(-1)
        return None

    def charge(self, member: str, cost: float, has_more: bool) -> None:
        """Charges a member for a turn. `has_more`: the member has work left."""
        self.deficit[member] -= cost
        if not has_more:
            self.has_work.discard(member)
            self.active.remove(member)
            # Unused credit expires; a debt is kept for when the member has work again.
            self.deficit[member] = min(0.0, self.deficit[member])
        elif self.deficit[member] <= 0.0:
            self.active.remove(member)
            self.active.append(member)
