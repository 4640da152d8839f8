"""Sharing of unreachable endpoints among members: one gateway's failed connection spares the others their
own. No I/O; times are seconds of this process' clock.

Without it each of N gateways finds each of M unreachable endpoints, and retries it by itself. Here a gateway
that could not connect reports for how long it avoids the endpoint, and each of the others avoids it for a
random time up to `MAX_STRETCH` times as long. So the reporter, or one other gateway, retries first, and its
report ("still unreachable" with a longer avoidance, or "reachable") reaches all before most have retried. The
reports are soft state: a row lives for a short time and has one writer, and a replica that lacks some counts
as complete.

Guarantees, whatever is reported:

- An endpoint that answered this process within `OWN_EVIDENCE_S` is not avoided here.
- An avoided endpoint is the last choice but never excluded: if all are avoided, the choice is as without
  reports.
- The reports of a single writer are followed for `SINGLE_REPORTER_SHARE` of the endpoints at most; beyond
  that a second writer has to report the endpoint too. A member that is partitioned from a zone, or reports
  falsely, does not leave the others without endpoints.
- A report is in force for `MAX_AVOIDANCE_S` times `MAX_STRETCH` after its creation at most, however often it
  is forwarded.
"""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from ..events import TELLS_NOTHING_OF_SERVER, AvoidEndpoint, Outcome
from .replica import Row, RowKind

MIN_AVOIDANCE_S, MAX_AVOIDANCE_S = 1.0, 2.0  # the avoidance doubles with each failed retry
MAX_STRETCH = 2.0
OWN_EVIDENCE_S = 1.0
SINGLE_REPORTER_SHARE = 1.0 / 3.0
MAX_ENDPOINTS = 2_000


class PeerReport(NamedTuple):
    """A writer's last report on an endpoint, by this process' clock."""

    version: int
    avoid_until: float  # the end of the longest avoidance by this report
    own_avoid_until: float  # the end of this process' avoidance, which is a random part of the longest


class OwnReport(NamedTuple):
    """The last report of this process on an endpoint."""

    avoidance_s: float
    avoid_until: float


class EndpointHealth:
    """The reports of this process and of the other members."""

    def __init__(self, writer: str, rng: random.Random) -> None:
        """`writer`: this process, as `name#boot`."""
        self.writer, self.rng = writer, rng
        self.last_version = 0
        self.own_reports: dict[str, OwnReport] = {}
        self.last_answer_at: dict[str, float] = {}  # by endpoint: its last answer to this process
        self.peer_reports: dict[str, dict[str, PeerReport]] = {}  # by endpoint, by writer
        self.avoided_by_writer: dict[str, set[str]] = {}
        self.changed_endpoints: dict[str, None] = {}  # endpoints whose change the engine does not know yet
        self.ignored_count = 0  # reports overruled by own evidence, or beyond a single writer's share

    # --- this process' own attempts ----------------------------------------------------------------------

    def attempt_ended(self, now: float, endpoint: str, outcome: Outcome) -> Row | None:
        """Handles the end of an attempt of this process, and returns the row to publish if it is new to the
        other members."""
        if outcome is Outcome.UNREACHABLE:
            return self.report_unreachable(now, endpoint)
        if outcome is Outcome.TIMEOUT or outcome in TELLS_NOTHING_OF_SERVER:
            return None  # the outcome does not show whether the endpoint is reachable
        self.last_answer_at.pop(endpoint, None)
        self.last_answer_at[endpoint] = now
        if len(self.last_answer_at) > MAX_ENDPOINTS:
            del self.last_answer_at[next(iter(self.last_answer_at))]
        was_reported = self.own_reports.pop(endpoint, None) is not None
        is_avoided_by_peers = endpoint in self.peer_reports
        if is_avoided_by_peers:
            self.forget_endpoint(endpoint)
            self.changed_endpoints[endpoint] = None
        return self.report_row(endpoint, 0.0) if was_reported or is_avoided_by_peers else None

    def report_unreachable(self, now: float, endpoint: str) -> Row | None:
        """Handles a failed connection, and returns the row to publish, or None while the avoidance reported
        before lasts."""
        own = self.own_reports.get(endpoint)
        if own is not None and now < own.avoid_until:
            return None
        avoidance_s = MIN_AVOIDANCE_S if own is None else min(MAX_AVOIDANCE_S, 2.0 * own.avoidance_s)
        if own is None and len(self.own_reports) >= MAX_ENDPOINTS:
            del self.own_reports[next(iter(self.own_reports))]
        self.own_reports[endpoint] = OwnReport(avoidance_s, now + avoidance_s)
        self.last_answer_at.pop(endpoint, None)
        return self.report_row(endpoint, avoidance_s)

    def report_row(self, endpoint: str, avoidance_s: float) -> Row:
        """Returns this process' next row on the endpoint; an avoidance of 0 reports that it is reachable."""
        self.last_version += 1
        return Row(RowKind.HEALTH, endpoint, self.writer, self.last_version, round(1000.0 * avoidance_s))

    # --- reports of other members ------------------------------------------------------------------------

    def receive(self, now: float, row: Row, age_s: float) -> None:
        """Handles a member's row that was created `age_s` ago. "Reachable" ends all reports on the
        endpoint."""
        if row.writer == self.writer:
            return
        known = self.peer_reports.get(row.key, {}).get(row.writer)
        if known is not None and row.version <= known.version:
            return
        if row.value <= 0.0:
            if row.key in self.peer_reports:
                self.forget_endpoint(row.key)
                self.changed_endpoints[row.key] = None
            return
        avoidance_s = min(MAX_AVOIDANCE_S, row.value / 1000.0)
        created_at = now - age_s
        avoid_until = created_at + avoidance_s * MAX_STRETCH
        if avoid_until <= now:
            return
        if row.key not in self.peer_reports and len(self.peer_reports) >= MAX_ENDPOINTS:
            self.forget_endpoint(next(iter(self.peer_reports)))
        own_avoid_until = created_at + avoidance_s * self.rng.uniform(1.0, MAX_STRETCH)
        report = PeerReport(row.version, avoid_until, own_avoid_until)
        self.peer_reports.setdefault(row.key, {})[row.writer] = report
        self.avoided_by_writer.setdefault(row.writer, set()).add(row.key)
        self.changed_endpoints[row.key] = None

    def forget_endpoint(self, endpoint: str) -> None:
        """Drops all reports on an endpoint."""
        for writer in self.peer_reports.pop(endpoint, {}):
            self.forget_report(writer, endpoint)

    def forget_report(self, writer: str, endpoint: str) -> None:
        """Removes an endpoint from those that the writer avoids."""
        avoided = self.avoided_by_writer.get(writer)
        if avoided is not None:
            avoided.discard(endpoint)
            if not avoided:
                del self.avoided_by_writer[writer]

    def expire(self, now: float) -> None:
        """Drops expired reports; to be called now and then."""
        for endpoint in list(self.peer_reports):
            reports = self.peer_reports[endpoint]
            for writer in [writer for writer, report in reports.items() if report.avoid_until <= now]:
                del reports[writer]
                self.forget_report(writer, endpoint)
            if not reports:
                del self.peer_reports[endpoint]

    def avoidance_s(self, now: float, endpoint: str, endpoint_count: int) -> float:
        """Returns for how many seconds the endpoint is avoided because of other members' reports.
        `endpoint_count`: the number of listed endpoints."""
        if now - self.last_answer_at.get(endpoint, -math.inf) <= OWN_EVIDENCE_S:
            self.ignored_count += endpoint in self.peer_reports
            return 0.0
        reports = {
            writer: report
            for writer, report in self.peer_reports.get(endpoint, {}).items()
            if report.own_avoid_until > now
        }
        limit = SINGLE_REPORTER_SHARE * endpoint_count
        over_limit = [writer for writer in reports if len(self.avoided_by_writer.get(writer, ())) > limit]
        if not reports or (len(reports) == 1 and over_limit):
            self.ignored_count += bool(reports)
            return 0.0
        return max(report.own_avoid_until for report in reports.values()) - now

    def take_changes(self, now: float, endpoint_count: int) -> list[AvoidEndpoint]:
        """Returns the events for the decision engine since the last call."""
        if not self.changed_endpoints:
            return []  # the common case, before nearly every request
        changed, self.changed_endpoints = self.changed_endpoints, {}
        return [
            AvoidEndpoint(endpoint, 1000.0 * self.avoidance_s(now, endpoint, endpoint_count))
            for endpoint in changed
        ]
