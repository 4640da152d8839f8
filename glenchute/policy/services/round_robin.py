"""Deficit round robin (Shreedhar, Varghese, SIGCOMM 1995) between services or queues. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping


class DeficitRoundRobin:
    """Whose turn it is, where turns differ in cost.

    Each member with work may spend `quantum` times its weight in a round; what a turn costs beyond that is
    paid in later rounds. Constant time a turn, whatever the number of members; idle ones cost nothing.

    Guarantee: in any span in which a member always has work, it lags what its weight gives it by no more than
    one quantum and one largest turn."""

    def __init__(self, weights: Mapping[str, float], quantum: float) -> None:
        self.weights, self.quantum = dict(weights), quantum
        self.active: deque[str] = deque()
        self.has_work: set[str] = set()
        self.deficit: dict[str, float] = {}

    def add_work(self, member: str) -> None:
        """The member has something to do."""
        if member not in self.has_work:
            self.has_work.add(member)
            self.active.append(member)
            self.deficit.setdefault(member, 0.0)

    def next(self) -> str | None:
        """Whose turn it is; None where no member has work."""
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
        """A turn of this member had this cost; `has_more`: it has work left."""
        self.deficit[member] -= cost
        if not has_more:
            self.has_work.discard(member)
            self.active.remove(member)
            # Unused credit is not saved up; a debt is paid when the member comes back.
            self.deficit[member] = min(0.0, self.deficit[member])
        elif self.deficit[member] <= 0.0:
            self.active.remove(member)
            self.active.append(member)
