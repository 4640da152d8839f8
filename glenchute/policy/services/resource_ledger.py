"""A resource that the services of one process share: guaranteed floors, loans of idle amounts, and recalls.

A resource is anything countable: descriptors, buffered bytes, pending requests, counter calls, retries. Each
service has a guaranteed floor; idle amounts may be borrowed and are recalled within a stated time. No I/O;
times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from itertools import takewhile
from typing import NamedTuple

ROUNDING_ERROR = 1e-9  # amounts that differ by less count as equal


class ResourceShare(NamedTuple):
    """A service's part of a resource: `floor` is guaranteed, `weight` sets its share of what can be
    borrowed."""

    floor: float
    weight: float = 1.0


class Grant(Enum):
    """The answer to a request for some of a resource."""

    GUARANTEED = "own"  # granted within the floor
    BORROWED = "lent"  # granted beyond the floor, until it is recalled
    RECALLED = "recalled"  # within the floor but on loan: recalled, and free by `Recall.due_ms`
    DENIED = "no"  # beyond the floor, and not enough is idle


class Recall(NamedTuple):
    """An amount that a service has to give back by `due_ms`."""

    service: str
    amount: float
    due_ms: float


class Recalled(NamedTuple):
    """The amount that a borrower still has to give back by `due_ms`."""

    amount: float
    due_ms: float


NOTHING_RECALLED = Recalled(0.0, 0.0)


class ResourceLedger:
    """The use of one resource by each service.

    Guarantees: no use is negative, and their sum never exceeds the total; a service that asks for its floor
    has it within `recall_ms`, if borrowers give back in time; an amount recalled for one service is not lent
    to another. Raises ValueError where the floors exceed the total or a share is invalid."""

    def __init__(self, total: float, shares: Mapping[str, ResourceShare], recall_ms: float) -> None:
        if any(share.floor < 0 or share.weight <= 0 for share in shares.values()):
            raise ValueError("a floor is negative or a weight is not positive")
        if sum(share.floor for share in shares.values()) > total + ROUNDING_ERROR:
            raise ValueError("the floors add up to more than the total")
        self.total, self.recall_ms = total, recall_ms
        self.shares = dict(shares)
        self.used = dict.fromkeys(shares, 0.0)
        self.awaited: dict[str, float] = {}  # by service: the part of its floor that it waits for
        self.recalled: dict[str, Recalled] = {}  # by borrower: what it has to give back
        self.denied_at_ms: dict[str, float] = {}  # by service: when a loan was last denied

    def free(self) -> float:
        """Returns the unused amount."""
        return max(0.0, self.total - sum(self.used.values()))

    def borrowed(self, service: str) -> float:
        """Returns the amount that a service uses beyond its floor."""
        return max(0.0, self.used[service] - self.shares[service].floor)

    def acquire(self, now_ms: float, service: str, amount: float) -> Grant:
        """Asks for an amount, all or nothing; it is counted as used where the answer is GUARANTEED or
        BORROWED."""
        floor, used = self.shares[service].floor, self.used[service]
        free = self.free()
        if used + amount <= floor + ROUNDING_ERROR:
            # The free amount may have been recalled for services that asked earlier and go first.
            earlier = takewhile(lambda name: name != service, self.awaited)
            awaited_before = sum(self.awaited[name] for name in earlier)
            if amount <= free - awaited_before + ROUNDING_ERROR:
                self.book(service, amount)
                return Grant.GUARANTEED
            self.awaited[service] = min(floor - used, self.awaited.get(service, 0.0) + amount)
            self.recall_loans(now_ms)
            return Grant.RECALLED
        awaited_by_others = sum(waiting for name, waiting in self.awaited.items() if name != service)
        is_short = amount > free - awaited_by_others + ROUNDING_ERROR
        if service in self.recalled or is_short or self.exceeds_fair_share(now_ms, service, amount):
            self.denied_at_ms[service] = now_ms
            return Grant.DENIED
        self.book(service, amount)
        self.denied_at_ms.pop(service, None)
        return Grant.BORROWED

    def book(self, service: str, amount: float) -> None:
        """Counts an amount as used, and reduces what the service waits for."""
        self.used[service] += amount
        self.reduce_awaited(service, amount)

    def exceeds_fair_share(self, now_ms: float, service: str, amount: float) -> bool:
        """Returns whether a loan would exceed the service's weighted share of the surplus, while other
        services were denied loans within the last `recall_ms`."""
        self.denied_at_ms = {
            name: at_ms for name, at_ms in self.denied_at_ms.items() if now_ms - at_ms < self.recall_ms
        }
        rivals = [name for name in self.denied_at_ms if name != service]
        if not rivals:
            return False
        borrowers = (name for name in self.shares if self.borrowed(name) > ROUNDING_ERROR)
        sharing = {service, *rivals, *borrowers}
        idle = sum(
            max(0.0, share.floor - self.used[name])
            for name, share in self.shares.items()
            if name not in sharing
        )
        surplus = self.total - sum(share.floor for share in self.shares.values()) + idle
        fraction = self.shares[service].weight / sum(self.shares[name].weight for name in sharing)
        return self.borrowed(service) + amount > fraction * surplus + ROUNDING_ERROR

    def release(self, service: str, amount: float) -> None:
        """Gives back an amount, capped at what the service uses."""
        before = self.borrowed(service)
        self.used[service] = max(0.0, self.used[service] - amount)
        returned = before - self.borrowed(service)
        if service not in self.recalled:
            return
        due = self.recalled[service]
        if due.amount - returned > ROUNDING_ERROR and self.borrowed(service) > ROUNDING_ERROR:
            left = min(due.amount - returned, self.borrowed(service))
            self.recalled[service] = due._replace(amount=left)
        else:
            del self.recalled[service]

    def stop_waiting(self, service: str) -> None:
        """Cancels the service's wait for what was recalled for it."""
        self.awaited.pop(service, None)

    def reduce_awaited(self, service: str, amount: float) -> None:
        """Deducts an amount from what a service waits for."""
        if service in self.awaited:
            below_floor = self.shares[service].floor - self.used[service]
            self.awaited[service] = min(self.awaited[service] - amount, below_floor)
            if self.awaited[service] <= ROUNDING_ERROR:
                del self.awaited[service]

    def recall_loans(self, now_ms: float) -> None:
        """Recalls the amount that is awaited and neither free nor recalled yet, from the services that
        borrowed most in proportion to their weight."""
        missing = sum(self.awaited.values()) - self.free() - sum(due.amount for due in self.recalled.values())
        while missing > ROUNDING_ERROR:
            on_loan = {
                name: self.borrowed(name) - self.recalled.get(name, NOTHING_RECALLED).amount
                for name in self.shares
            }
            name = max(on_loan, key=lambda n: (on_loan[n] / self.shares[n].weight, n))
            if on_loan[name] <= ROUNDING_ERROR:
                return
            recall_amount = min(missing, on_loan[name])
            due = self.recalled.get(name, Recalled(0.0, now_ms + self.recall_ms))
            self.recalled[name] = Recalled(due.amount + recall_amount, due.due_ms)
            missing -= recall_amount

    def recalls(self) -> list[Recall]:
        """Returns the outstanding recalls."""
        return [Recall(name, due.amount, due.due_ms) for name, due in self.recalled.items()]
