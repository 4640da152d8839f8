"""Which classes may share a line with which: derived at load from what the platform says of each class.

A command that stands behind another can be left unknown when the line is cut for the sake of the one ahead,
so only what may go again is put behind anything. A command that others stand behind can be cut for *their*
sake, so what must not be left unknown is never cut for others: they then have to bear its whole time-out.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

from ..settings import Idempotency, RequestClass


class Behind(Enum):
    """Whether one class may stand behind another."""

    NO = "no"  # never
    STALL = "yes"  # the one ahead may be cut once it stalls
    WHOLE = "whole"  # the one ahead is never cut: only if its whole time-out leaves time enough


WHY = {
    Behind.NO: "does not go behind anything: a cut would leave it unknown, or it was not named",
    Behind.STALL: "a stalled head is cut and goes again; those behind are moved on",
    Behind.WHOLE: "the head is never cut for others; they join only if they can bear its whole time-out",
}


class Row(NamedTuple):
    """One pair, for the operator's eyes."""

    ahead: str
    behind: str
    verdict: Behind


class Sharing:
    """The table. `shared` names the classes that the operator lets share lines, none of them unsafe;
    `behind_unsafe` lets them stand behind unsafe ones too."""

    def __init__(
        self, classes: Iterable[RequestClass], shared: Iterable[str], behind_unsafe: bool = False
    ) -> None:
        self.classes: Mapping[str, RequestClass] = {cls.name: cls for cls in classes}
        self.shared = frozenset(shared)
        self.behind_unsafe = behind_unsafe
        self.table = {
            (ahead, behind): self.verdict(self.classes[ahead], self.classes[behind])
            for ahead in self.classes
            for behind in self.classes
        }

    def verdict(self, ahead: RequestClass, behind: RequestClass) -> Behind:
        """One pair."""
        if behind.idempotency is Idempotency.NON_IDEMPOTENT or behind.name not in self.shared:
            return Behind.NO
        if ahead.idempotency is Idempotency.NON_IDEMPOTENT:
            return Behind.WHOLE if self.behind_unsafe else Behind.NO
        return Behind.STALL if ahead.name in self.shared else Behind.NO

    def may(self, ahead: str, behind: str) -> Behind:
        """Whether `behind` may stand behind `ahead`; classes that are not known share nothing."""
        return self.table.get((ahead, behind), Behind.NO)

    def cut_for_others(self, class_name: str) -> bool:
        """Whether one of this class at the head may be cut for the sake of those behind it."""
        cls = self.classes.get(class_name)
        return cls is not None and cls.idempotency is not Idempotency.NON_IDEMPOTENT

    def rows(self) -> list[Row]:
        """The table, in the order of the settings."""
        return [Row(ahead, behind, verdict) for (ahead, behind), verdict in self.table.items()]
