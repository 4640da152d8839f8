"""Why requests were rejected: a replay that observes what the engine counts.

The engine's action says only that a request is rejected. Which limit rejected it, the engine counts for its
log; on the replayed instance these counts are observed, and nothing of the engine changes.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any, NamedTuple

from glenchute.policy.actions import Reject
from glenchute.policy.events import Request

from .codec import ACTIONS, EVENTS, Record
from .errors import CaptureError

REQUEST = EVENTS.index(Request)
REJECT = ACTIONS.index(Reject)
REJECTED_PREFIX = "refused: "  # before a limit, in what the engine counts
CAUSE_TEXTS = {
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


class CauseRow(NamedTuple):
    """Rejections of one cause."""

    cause: str
    rejections: int
    units: float
    bucket_left_units: float  # mean units in the tenant's bucket by this gateway's accounts


class RejectionCauses:
    """An observer for `replay`; `rows` has the result."""

    def __init__(self) -> None:
        self.request_count = 0
        self.counts: Counter[str] = Counter()
        self.units: defaultdict[str, float] = defaultdict(float)
        self.bucket_units: defaultdict[str, float] = defaultdict(float)
        self.engine: Any = None
        self.cause = "no attempt"
        self.last: tuple[float, float] = (0.0, 0.0)  # units asked for, and left in the bucket
        self.rejected = 0  # by the event at hand

    def __call__(self, engine: Any, record: Record) -> None:
        """Takes the engine before an event. The captured decision is counted once its cause is known."""
        self.count_previous()
        if engine is not self.engine:
            self.attach(engine)
        self.request_count += record[1] == REQUEST
        self.rejected = sum(1 for action in record[3] or () if action[0] == REJECT)

    def count_previous(self) -> None:
        """Counts the event before."""
        if self.rejected:
            units, left = self.last
            self.counts[self.cause] += self.rejected
            self.units[self.cause] += units
            self.bucket_units[self.cause] += left
        # Where today's engine would not have rejected, no limit of its own can be named.
        self.rejected, self.cause, self.last = 0, "no attempt", (0.0, 0.0)

    def attach(self, engine: Any) -> None:
        """Observes an instance. CaptureError where its version names no limits."""
        self.engine = engine
        if not hasattr(engine, "reports"):
            raise CaptureError("this version of the module does not name the limits that refuse")
        admit, count = engine.quota.admit, engine.reports.count

        def observed_admit(
            now_ms: float, tenant: Any, units: float, has_total: bool, is_total_missing: bool
        ) -> Any:
            self.last = units, tenant.bucket_units
            return admit(now_ms, tenant, units, has_total, is_total_missing)

        def observed_count(what: str) -> None:
            if what.startswith(REJECTED_PREFIX):
                self.cause = what.removeprefix(REJECTED_PREFIX)
            count(what)

        engine.quota.admit, engine.reports.count = observed_admit, observed_count

    def rows(self) -> list[CauseRow]:
        """The causes, the most frequent first."""
        self.count_previous()
        return [
            CauseRow(cause, n, self.units[cause], self.bucket_units[cause] / n)
            for cause, n in self.counts.most_common()
        ]
