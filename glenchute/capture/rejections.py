"""Causes of rejections, observed during a replay.

The engine's action says only that a request is rejected. The limit that rejected it appears only in the
counts that the engine keeps for its log, so the observer reads those counts on the replayed engine. It
changes no decision.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any, NamedTuple

from glenchute.policy.actions import Reject
from glenchute.policy.events import Request

from .codec import ACTIONS, EVENTS, Record
from .errors import CaptureError

REQUEST_KIND = EVENTS.index(Request)
REJECT_KIND = ACTIONS.index(Reject)
REJECTED_PREFIX = "refused: "  # prefix of the engine's counts of rejections; the cause follows it
CAUSE_TEXTS = {
    "ceiling": "the ceiling's bucket holds too few units, and the counter's total does not grant them",
    "empty": "the tenant's token bucket holds too few units by this gateway's estimate",
    "lot": "the bucket holds enough, but the local share is used up and no recent counter total is known",
    "mute": "the bucket holds enough, but no local share is left while the counter is unavailable or absent",
    "share": "demand exceeds the quota, and this request is not in the fraction that is admitted",
    "open": "the cap on open attempts",
    "overload": "the backlog takes too long, or requests of higher value use the estimated capacity (V)",
    "no attempt": "no server, time or attempt was left, and no attempt can have run",
    "at the door": "no time was left on arrival, or too many requests were pending",
}


class CauseRow(NamedTuple):
    """The rejections with one cause."""

    cause: str
    rejections: int
    units: float
    bucket_left_units: float  # mean units in the tenant's bucket, as estimated by this gateway


class RejectionCauses:
    """An observer for `replay` that counts rejections by cause; `rows` returns the result."""

    def __init__(self) -> None:
        self.request_count = 0
        self.counts: Counter[str] = Counter()
        self.units: defaultdict[str, float] = defaultdict(float)
        self.bucket_units: defaultdict[str, float] = defaultdict(float)
        self.engine: Any = None
        self.cause = "no attempt"
        self.admission_units: tuple[float, float] = (0.0, 0.0)  # the request's units, and those in the bucket
        self.event_rejections = 0  # captured rejections at the current event

    def __call__(self, engine: Any, record: Record) -> None:
        """Observes the engine before an event. A captured rejection is counted at the next call, when its
        cause is known."""
        self.count_previous()
        if engine is not self.engine:
            self.attach(engine)
        self.request_count += record[1] == REQUEST_KIND
        self.event_rejections = sum(1 for action in record[3] or () if action[0] == REJECT_KIND)

    def count_previous(self) -> None:
        """Counts the rejections of the previous event."""
        if self.event_rejections:
            units, bucket_units = self.admission_units
            self.counts[self.cause] += self.event_rejections
            self.units[self.cause] += units
            self.bucket_units[self.cause] += bucket_units
        # The default is counted if a rejection was captured and the replayed engine does not reject.
        self.event_rejections, self.cause, self.admission_units = 0, "no attempt", (0.0, 0.0)

    def attach(self, engine: Any) -> None:
        """Attaches to an engine. Raises `CaptureError` if its version does not count rejections by cause."""
        self.engine = engine
        if not hasattr(engine, "reports"):
            raise CaptureError("this engine version does not count rejections by cause")
        admit, count = engine.quota.admit, engine.reports.count

        def observed_admit(
            now_ms: float, tenant: Any, units: float, has_total: bool, is_total_missing: bool
        ) -> Any:
            self.admission_units = units, tenant.bucket_units
            return admit(now_ms, tenant, units, has_total, is_total_missing)

        def observed_count(name: str) -> None:
            if name.startswith(REJECTED_PREFIX):
                self.cause = name.removeprefix(REJECTED_PREFIX)
            count(name)

        engine.quota.admit, engine.reports.count = observed_admit, observed_count

    def rows(self) -> list[CauseRow]:
        """Returns the causes, the most frequent first."""
        self.count_previous()
        return [
            CauseRow(cause, count, self.units[cause], self.bucket_units[cause] / count)
            for cause, count in self.counts.most_common()
        ]
