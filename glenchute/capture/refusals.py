"""Why requests were refused: a replay that overhears the module's own books.

The module's action says only that a request is refused. Which of its limits said so it counts for the line
that it logs; that count is overheard on the replayed instance, and nothing of the module changes.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any, NamedTuple

from glenchute.policy.actions import Reject
from glenchute.policy.events import Request

from .codec import ACTIONS, EVENTS, Record
from .errors import CaptureError

REQUEST = EVENTS.index(Request)
REFUSE = ACTIONS.index(Reject)
REFUSED = "refused: "  # before a limit, in what the module counts
CAUSES = {
    "ceiling": "the ceiling's own store is short, and the count does not vouch for it",
    "empty": "the account's store is empty by all that is known",
    "lot": "the store holds enough, but this gateway's lot is used up, and its call to the counter failed",
    "mute": "the same, while the counter is mute or there is none",
    "share": "of more demand than quota only a share goes on, and this one's credit is short",
    "open": "the cap on open attempts",
    "overload": "the servers can't take it in time, or dearer requests fill them (V)",
    "no attempt": "no server, no time, or no attempt left, and nothing ran",
    "at the door": "no time left, or too many requests are held",
}


class Row(NamedTuple):
    """Refusals of one cause."""

    cause: str
    refusals: int
    units: float
    store_left: float  # mean units in the account's store by this gateway's book


class Refusals:
    """To be handed to `replay` as `seen`; `rows` has the result."""

    def __init__(self) -> None:
        self.requests = 0
        self.counts: Counter[str] = Counter()
        self.units: defaultdict[str, float] = defaultdict(float)
        self.left: defaultdict[str, float] = defaultdict(float)
        self.module: Any = None
        self.cause = "no attempt"
        self.last: tuple[float, float] = (0.0, 0.0)  # units asked, and left in the store
        self.refused = 0  # by the event at hand

    def __call__(self, module: Any, record: Record) -> None:
        """The state before an event; counts what the captured decision on it was once its cause is heard."""
        self.settle()
        if module is not self.module:
            self.listen(module)
        self.requests += record[1] == REQUEST
        self.refused = sum(1 for action in record[3] or () if action[0] == REFUSE)

    def settle(self) -> None:
        """Books the event before."""
        if self.refused:
            units, left = self.last
            self.counts[self.cause] += self.refused
            self.units[self.cause] += units
            self.left[self.cause] += left
        # Where the module of now would not have refused, no limit of its own can be named.
        self.refused, self.cause, self.last = 0, "no attempt", (0.0, 0.0)

    def listen(self, module: Any) -> None:
        """Overhears an instance. CaptureError where its version names no limits."""
        self.module = module
        if not hasattr(module, "reports"):
            raise CaptureError("this version of the module does not name the limits that refuse")
        admit, count = module.quota.admit, module.reports.count

        def by_quota(now_ms: float, tenant: Any, units: float, has_total: bool, is_blind: bool) -> Any:
            self.last = units, tenant.bucket_units
            return admit(now_ms, tenant, units, has_total, is_blind)

        def counted(what: str) -> None:
            if what.startswith(REFUSED):
                self.cause = what.removeprefix(REFUSED)
            count(what)

        module.quota.admit, module.reports.count = by_quota, counted

    def rows(self) -> list[Row]:
        """The causes, the most frequent first."""
        self.settle()
        return [
            Row(cause, n, self.units[cause], self.left[cause] / n) for cause, n in self.counts.most_common()
        ]
