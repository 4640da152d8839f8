"""Which request classes may share a pipelined connection, derived at load from the platform's settings.

An attempt that is queued behind another can end with an unknown outcome when the connection is aborted for
the sake of the one ahead, so only idempotent and keyed classes are queued. An attempt that others are queued
behind can be aborted for their sake, so a non-idempotent one is never aborted for others: what is queued
behind it must be able to wait for its whole timeout.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

from ..settings import Idempotency, RequestClass


class Compatibility(Enum):
    """Whether one class may be queued behind another. The values appear in ``glenchute pipeline``."""

    NEVER = "no"
    UNTIL_STALL = "yes"  # the attempt ahead may be aborted once it stalls
    UNTIL_TIMEOUT = "whole"  # the attempt ahead is never aborted for others


DESCRIPTIONS = {
    Compatibility.NEVER: "does not go behind anything: a cut would leave it unknown, or it was not named",
    Compatibility.UNTIL_STALL: "a stalled head is cut and goes again; those behind are moved on",
    Compatibility.UNTIL_TIMEOUT: (
        "the head is never cut for others; they join only if they can bear its whole time-out"
    ),
}


class CompatibilityRow(NamedTuple):
    """The compatibility of one pair of classes."""

    ahead: str
    behind: str
    compatibility: Compatibility


class ClassCompatibility:
    """The compatibility of each pair of classes.

    `shared`: the names of the classes that the operator lets share connections. `may_follow_non_idempotent`:
    whether they may also be queued behind non-idempotent ones.
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
        """The compatibility of one pair."""
        if behind.idempotency is Idempotency.NON_IDEMPOTENT or behind.name not in self.shared:
            return Compatibility.NEVER
        if ahead.idempotency is Idempotency.NON_IDEMPOTENT:
            return Compatibility.UNTIL_TIMEOUT if self.may_follow_non_idempotent else Compatibility.NEVER
        return Compatibility.UNTIL_STALL if ahead.name in self.shared else Compatibility.NEVER

    def between(self, ahead: str, behind: str) -> Compatibility:
        """Whether class `behind` may be queued behind class `ahead`; unknown classes share nothing."""
        return self.by_pair.get((ahead, behind), Compatibility.NEVER)

    def may_abort_for_others(self, class_name: str) -> bool:
        """Whether an attempt of this class at the head may be aborted for those queued behind it."""
        cls = self.classes.get(class_name)
        return cls is not None and cls.idempotency is not Idempotency.NON_IDEMPOTENT

    def rows(self) -> list[CompatibilityRow]:
        """All pairs, in the order of the settings."""
        return [CompatibilityRow(ahead, behind, found) for (ahead, behind), found in self.by_pair.items()]
