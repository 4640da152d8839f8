"""Bulkheads between the services of one process: what each may hold, whose turn it is, who is shed first.

Three parts, each pure, with time handed in (milliseconds):

- `Ledger`: one resource (descriptors, bytes in buffers, open requests, calls to the counter, further
attempts). Each service has a floor that is its own; what stands idle is lent, and called back within a stated
time.
- `Rounds`: whose turn of the loop it is, by deficit round robin (Shreedhar, Varghese, SIGCOMM 1995).
- `Delay`: how long what a service was asked may wait for its turn before it is refused; each service for
itself, so that the one that floods is the one that is shed.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from enum import Enum
from itertools import takewhile
from typing import NamedTuple

DUST = 1e-9


class Claim(NamedTuple):
    """A service's part of a resource: `floor` is its own, `weight` its share of what is lent."""

    floor: float
    weight: float = 1.0


class Taken(Enum):
    """What became of a request for some of a resource."""

    OWN = "own"  # inside its floor
    LENT = "lent"  # beyond it, until it is called back
    RECALLED = "recalled"  # its own, but lent out: it is called back and there by `Recall.by`
    NO = "no"  # beyond its floor, and nothing is idle for it


class Recall(NamedTuple):
    """This service is to give back so much by then."""

    service: str
    amount: float
    by: float


class Ledger:
    """One resource. Guarantees: nothing used is negative or passes the whole; a service that asks for its own
    has it within `recall_ms`, if those who borrowed give back what they are told to by then; while something
    is called back for one, nobody borrows it anew."""

    def __init__(self, whole: float, claims: Mapping[str, Claim], recall_ms: float) -> None:
        """Raises ValueError where the floors are more than the whole or a claim can't be meant."""
        if any(claim.floor < 0 or claim.weight <= 0 for claim in claims.values()):
            raise ValueError("a floor below 0 or a weight of none")
        if sum(claim.floor for claim in claims.values()) > whole + DUST:
            raise ValueError("the floors are more than the whole")
        self.whole, self.recall_ms = whole, recall_ms
        self.claims = dict(claims)
        self.used = dict.fromkeys(claims, 0.0)
        self.wanted: dict[str, float] = {}  # own, asked for while it was lent out
        self.owed: dict[str, tuple[float, float]] = {}  # by borrowers: how much, by when
        self.hungry: dict[str, float] = {}  # was refused a loan at this moment

    def free(self) -> float:
        """What nobody uses."""
        return max(0.0, self.whole - sum(self.used.values()))

    def borrowed(self, service: str) -> float:
        """What a service uses beyond its floor."""
        return max(0.0, self.used[service] - self.claims[service].floor)

    def take(self, now: float, service: str, amount: float) -> Taken:
        """Asks for so much; it is booked where the answer is OWN or LENT. All or nothing."""
        claim, used = self.claims[service], self.used[service]
        free = self.free()
        # What is free may have been called back for others: it is theirs who asked before (wants stand in the
        # order of their first asking), and before any loan.
        kept = sum(want for name, want in self.wanted.items() if name != service)
        before = sum(self.wanted[name] for name in takewhile(lambda name: name != service, self.wanted))
        if used + amount <= claim.floor + DUST:
            if amount <= free - before + DUST:
                self.used[service] += amount
                self.met(service, amount)
                return Taken.OWN
            self.wanted[service] = min(claim.floor - used, self.wanted.get(service, 0.0) + amount)
            self.call_back(now)
            return Taken.RECALLED
        if service in self.owed or amount > free - kept + DUST or self.past_share(now, service, amount):
            self.hungry[service] = now
            return Taken.NO
        self.used[service] += amount
        self.met(service, amount)  # what it had waited for as its own is in it
        self.hungry.pop(service, None)
        return Taken.LENT

    def past_share(self, now: float, service: str, amount: float) -> bool:
        """Whether a loan would pass the service's weighted share of the surplus, while others are hungry."""
        self.hungry = {name: at for name, at in self.hungry.items() if now - at < self.recall_ms}
        rivals = [name for name in self.hungry if name != service]
        if not rivals:
            return False
        sharing = {service, *rivals, *(name for name in self.claims if self.borrowed(name) > DUST)}
        idle = sum(max(0.0, c.floor - self.used[n]) for n, c in self.claims.items() if n not in sharing)
        surplus = self.whole - sum(claim.floor for claim in self.claims.values()) + idle
        part = self.claims[service].weight / sum(self.claims[name].weight for name in sharing)
        return self.borrowed(service) + amount > part * surplus + DUST

    def give(self, now: float, service: str, amount: float) -> None:
        """Gives back; more than it uses counts as all."""
        before = self.borrowed(service)
        self.used[service] = max(0.0, self.used[service] - amount)
        returned = before - self.borrowed(service)
        if service in self.owed:
            owed, by = self.owed[service]
            if owed - returned > DUST and self.borrowed(service) > DUST:
                self.owed[service] = min(owed - returned, self.borrowed(service)), by
            else:
                del self.owed[service]

    def forget(self, service: str) -> None:
        """It no longer wants what was called back for it."""
        self.wanted.pop(service, None)

    def met(self, service: str, amount: float) -> None:
        """Some of what a service wanted is there."""
        if service in self.wanted:
            room = self.claims[service].floor - self.used[service]
            self.wanted[service] = min(self.wanted[service] - amount, room)
            if self.wanted[service] <= DUST:
                del self.wanted[service]

    def call_back(self, now: float) -> None:
        """Calls back what is wanted and neither free nor called back yet, from who borrowed most for its
        weight."""
        missing = sum(self.wanted.values()) - self.free() - sum(owed for owed, _ in self.owed.values())
        while missing > DUST:
            lent = {name: self.borrowed(name) - self.owed.get(name, (0.0, 0.0))[0] for name in self.claims}
            name = max(lent, key=lambda n: (lent[n] / self.claims[n].weight, n))
            if lent[name] <= DUST:
                return
            part = min(missing, lent[name])
            owed, by = self.owed.get(name, (0.0, now + self.recall_ms))
            self.owed[name] = owed + part, by
            missing -= part

    def recalls(self) -> list[Recall]:
        """What is to be given back, by whom, by when."""
        return [Recall(name, owed, by) for name, (owed, by) in self.owed.items()]


class Rounds:
    """Deficit round robin: each service with work has its turn, and may spend a quantum times its weight a
    round; what a turn took over that is paid in the next. Constant time a turn, whatever the number of
    services; idle ones cost nothing.

    Guarantee: in any span in which a service always has work, it lags what its weight gives it by no more
    than one quantum and one largest turn."""

    def __init__(self, weights: Mapping[str, float], quantum: float) -> None:
        self.weights, self.quantum = dict(weights), quantum
        self.active: deque[str] = deque()
        self.waiting: set[str] = set()
        self.deficit: dict[str, float] = {}

    def ready(self, service: str) -> None:
        """It has work."""
        if service not in self.waiting:
            self.waiting.add(service)
            self.active.append(service)
            self.deficit.setdefault(service, 0.0)

    def next(self) -> str | None:
        """Whose turn it is; None where nobody has work."""
        while self.active:
            service = self.active[0]
            if self.deficit[service] > 0.0:
                return service
            self.deficit[service] += self.quantum * self.weights[service]
            if self.deficit[service] > 0.0:
                return service
            self.active.rotate(-1)
        return None

    def spent(self, service: str, cost: float, more: bool) -> None:
        """A turn of this service took so much; `more`: it has work left."""
        self.deficit[service] -= cost
        if not more:
            self.waiting.discard(service)
            self.active.remove(service)
            # What it did not use is not saved up; what it owes is paid when it comes back.
            self.deficit[service] = min(0.0, self.deficit[service])
        elif self.deficit[service] <= 0.0:
            self.active.remove(service)
            self.active.append(service)


class Delay:
    """How long a service's requests may wait for their turn: controlled delay as in Maurer's "Fail at Scale"
    (ACM Queue, 2015). A queue that has been empty lately holds a burst, which may wait `burst_ms`; one that
    has not been empty for so long is standing, and what has waited `standing_ms` in it is refused at once, as
    it would be late for its client anyway.

    CoDel's own law (RFC 8289: ever faster drops until the sender slows down) was tried in the same rig:
    clients that flood do not slow down, and the flooder's queue grew to 16 s."""

    __slots__ = ("burst_ms", "empty_at", "standing_ms")

    def __init__(self, standing_ms: float = 5.0, burst_ms: float = 100.0) -> None:
        self.standing_ms, self.burst_ms = standing_ms, burst_ms
        self.empty_at = -math.inf

    def empty(self, now: float) -> None:
        """Nothing waits just now."""
        self.empty_at = now

    def refuse(self, now: float, waited_ms: float) -> bool:
        """Whether what has waited so long is refused instead of served."""
        standing = now - self.empty_at > self.burst_ms
        return waited_ms > (self.standing_ms if standing else self.burst_ms)
