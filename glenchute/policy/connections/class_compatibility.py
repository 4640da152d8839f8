"""Determines which request classes may share a pipelined connection, when the settings are loaded.

Aborting a connection because its head stalls can leave the outcome of its other attempts unknown. So only
idempotent and keyed classes are queued behind other attempts, and a non-idempotent head is never aborted for
those behind it: they must be able to wait until it times out.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

from ..settings import Idempotency, RequestClass


class Compatibility(Enum):
    """Whether one class may be queued behind another. ``glenchute pipeline`` prints the values."""

    NEVER = "no"
    UNTIL_STALL = "yes"  # an attempt ahead may be aborted once it stalls
    UNTIL_TIMEOUT = "whole"  # an attempt ahead is never aborted for others


DESCRIPTIONS = {
    Compatibility.NEVER: (
        "never queued: an abort would leave its outcome unknown, or the operator does not list it"
    ),
    Compatibility.UNTIL_STALL: "a stalled head is aborted and retried; those behind it are placed again",
    Compatibility.UNTIL_TIMEOUT: (
        "the head is never aborted for others; they join only if they can wait for its whole time-out"
    ),
}


class CompatibilityRow(NamedTuple):
    """The compatibility of one pair of classes."""

    ahead: str
    behind: str
    compatibility: Compatibility


class ClassCompatibility:
    """The compatibility of each pair of classes.

    `shared`: names of the classes for which the operator enables pipelining. `may_follow_non_idempotent`:
    whether these may also be queued behind non-idempotent attempts.
    """

    def __init__(
        self,
        classes: Iterable[RequestClass],
        shared: Iterable[str],
        may_follow_non_idempotent: bool = False,
    ) -> None:
        self.classes: Mapping[str, RequestClass] = {cls.name: cls for cls in classes}
        self.shared = frozenset(shared)
        self.may_follow_non_idempotent = may_follow_non_idempotent
        self.by_pair = {
            (ahead, behind): self._derive(self.classes[ahead], self.classes[behind])
            for ahead in self.classes
            for behind in self.classes
        }

    def _derive(self, ahead: RequestClass, behind: RequestClass) -> Compatibility:
        """Derives the compatibility of one pair."""
        if behind.idempotency is Idempotency.NON_IDEMPOTENT or behind.name not in self.shared:
            return Compatibility.NEVER
        if ahead.idempotency is Idempotency.NON_IDEMPOTENT:
            return Compatibility.UNTIL_TIMEOUT if self.may_follow_non_idempotent else Compatibility.NEVER
        return Compatibility.UNTIL_STALL if ahead.name in self.shared else Compatibility.NEVER

    def between(self, ahead: str, behind: str) -> Compatibility:
        """Returns whether class `behind` may be queued behind class `ahead`; NEVER for unknown classes."""
        return self.by_pair.get((ahead, behind), Compatibility.NEVER)

    def may_abort_for_others(self, class_name: str) -> bool:
        """Returns whether a head of this class may be aborted for the attempts queued behind it."""
        cls = self.classes.get(class_name)
        return cls is not None and cls.idempotency is not Idempotency.NON_IDEMPOTENT

    def rows(self) -> list[CompatibilityRow]:
        """Returns all pairs, in the order of the settings."""
        return [CompatibilityRow(ahead, behind, found) for (ahead, behind), found in self.by_pair.items()]
