"""Discovery's endpoint list shared among members, so that a few poll discovery for all. No I/O; seconds by
one clock.

`MAX_POLLERS` members poll (the first by rendezvous hashing among those not known to be dead: Thaler and
Ravishankar, 1998), with short watches, and send all others what changed. The others query one of them each
`QUERY_INTERVAL_S` for the version it has and how long ago discovery confirmed it; the reply's age counts from
the query, so that neither a slow network nor a pause of this process makes a list seem newer than it is. A
member whose list was confirmed within `FRESH_S` does not poll. One that receives nothing falls back to polls
of its own, scheduled as without members (`policy/endpoints/polling.py`).

What holds, whatever is lost, late, duplicated or wrong:

- A member's message may remove an endpoint, or add an unknown one. It never restores one that drains or is
  removed here, nor lets one warm up faster: only discovery does.
- A list never counts as newer than what discovery answered to somebody: versions come from its answers,
  changes are applied completely and without a gap, and ages add up on the way.
- Without a message of a poller this gateway has polled by itself `FRESH_S` and
  `notification.max_own_poll_delay_s` later at most.

Not covered: a configured member that invents versions and ages. What it withholds is found when another
poller reports a newer version, or when it falls silent.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from ..endpoints import notification
from ..events import EndpointState
from .outgoing import Outgoing
from .task_candidates import CANDIDATES_PER_TASK, candidate_rank

MAX_POLLERS = CANDIDATES_PER_TASK  # the same members, whether chosen by hashing or by lease
POLL_TASK = "ask"  # the task by whose lease one of the pollers polls, where there are leases
FRESH_S = notification.CONFIRMATION_TTL_S  # a list confirmed so recently needs no poll
QUERY_INTERVAL_S = 1.0
POLLER_WATCH_S = 1.5  # a poller's watch lasts so long, so that its confirmation is never older
RETRY_QUERY_S = 0.25  # after a reply that shows a newer list, or too old a confirmation
MAX_ROWS_PER_PART = 12
MAX_PARTS = 100
MAX_OPEN_QUERIES = 8
MAX_PENDING_SENDERS = 8
MAX_REMOVED_ENDPOINTS = 2_000  # kept to be sent as removed
MAX_AGE_S = 1e6  # as sent in a reply
NO_VERSION = -1

ACTIVE_RANK, DRAINING_RANK, REMOVED_RANK = 0, 1, 2  # states as members send them
STATE_RANKS = {
    EndpointState.ACTIVE: ACTIVE_RANK,
    EndpointState.DRAINING: DRAINING_RANK,
    EndpointState.REMOVED: REMOVED_RANK,
}


class SharedEndpoint(NamedTuple):
    """One endpoint as of a version of discovery's list. `endpoint` is its name, `address` its host and port,
    `state` one of the ranks."""

    version: int
    endpoint: str
    address: str
    zone: str
    cell: int
    weight: float
    started_ms: float
    state: int


class VersionReply(NamedTuple):
    """The answer to a query: the version of the sender's list, and how long ago discovery confirmed it."""

    serial: int
    version: int
    age_ms: int


class EndpointListPart(NamedTuple):
    """One of `part_count` messages with what changed after `base_version` up to `version`, to be applied only
    together. `base_version` `NO_VERSION`: the full list, endpoints that it lacks are removed."""

    base_version: int
    version: int
    part_number: int
    part_count: int
    endpoints: tuple[SharedEndpoint, ...]


class VersionQuery(NamedTuple):
    """The sender asks for what changed after `known_version`, and for the receiver's version and its age."""

    serial: int
    known_version: int


SharingMessage = VersionReply | EndpointListPart | VersionQuery
Outbox = list[Outgoing[SharingMessage]]


class PartialList(NamedTuple):
    """Parts received so far from one sender, by their number, of the list that `subject` identifies: its base
    version, version and number of parts."""

    subject: tuple[int, int, int]
    parts: dict[int, tuple[SharedEndpoint, ...]]


class SharedEndpointList:
    """The list as this gateway has it, and which members poll for it."""

    def __init__(self, name: str, now: float, rng: random.Random) -> None:
        self.name, self.rng = name, rng
        self.version = NO_VERSION
        self.history_start = NO_VERSION  # changes since this version are known
        self.endpoints: dict[str, SharedEndpoint] = {}
        self.is_lease_holder: bool | None = None  # None: no leases, pollers are chosen by hashing alone
        self.poller_ages_s: dict[str, float] = {}  # the age that each poller reported last
        self.confirmed_at = -math.inf  # when discovery is known to have had no newer list
        self.next_query_at = now
        self.last_serial = 0
        self.open_queries: dict[int, float] = {}  # when the last queries were sent, by serial
        self.partial_lists: dict[str, PartialList] = {}  # by sender

    # --- who polls ---------------------------------------------------------------------------------------

    def is_poller(self, others: Iterable[str]) -> bool:
        """Whether this gateway polls discovery for all. `others`: members that are not known to be dead."""
        if self.is_lease_holder is not None:
            return self.is_lease_holder
        own_rank = candidate_rank(POLL_TASK, self.name)
        return sum(candidate_rank(POLL_TASK, other) < own_rank for other in others) < MAX_POLLERS

    def poll_delay_s(self, now: float, others: Sequence[str]) -> float:
        """How long this gateway need not poll discovery from now on; 0: it has to."""
        if self.version < 0 or not others or self.is_poller(others):
            return 0.0
        return max(0.0, self.confirmed_at + FRESH_S - now)

    # --- discovery ---------------------------------------------------------------------------------------

    def receive_discovery(
        self, now: float, version: int, full: bool, rows: Sequence[SharedEndpoint], others: Sequence[str]
    ) -> Outbox:
        """An answer of discovery, and the messages that pass its changes on. Where discovery's versions
        started anew, this list replaces the one here; members with a higher version keep theirs until they
        poll themselves."""
        if full:
            rows = [*rows, *self.missing_from(rows, version)]
        changed = [row for row in rows if self.is_new(row)]
        for row in changed:
            self.store(row._replace(version=version))
        before, self.version, self.confirmed_at = self.version, version, now
        if before < 0 or version < before:
            self.history_start = version
        if not changed or before < 0 or not self.is_poller(others):
            return []
        parts = self.list_parts(before)
        return [Outgoing(other, part) for other in others for part in parts]

    def missing_from(self, listed: Sequence[SharedEndpoint], version: int) -> list[SharedEndpoint]:
        """The known endpoints that a full list lacks, as removed in its version."""
        listed_names = {row.endpoint for row in listed}
        missing = (
            row
            for name, row in self.endpoints.items()
            if name not in listed_names and row.state != REMOVED_RANK
        )
        return [row._replace(version=version, state=REMOVED_RANK) for row in missing]

    def is_new(self, row: SharedEndpoint) -> bool:
        """Whether it differs from the known row by more than the version."""
        known = self.endpoints.get(row.endpoint)
        return known is None or known._replace(version=row.version) != row

    def store(self, row: SharedEndpoint) -> None:
        """Stores a row; the oldest removed endpoints are forgotten past a bound."""
        self.endpoints.pop(row.endpoint, None)
        self.endpoints[row.endpoint] = row
        removed = [name for name, known in self.endpoints.items() if known.state == REMOVED_RANK]
        for name in removed[: max(0, len(removed) - MAX_REMOVED_ENDPOINTS)]:
            self.history_start = max(self.history_start, self.endpoints.pop(name).version)

    # --- timer -------------------------------------------------------------------------------------------

    def tick(self, now: float, others: Sequence[str]) -> Outbox:
        """A query to one of the pollers, where it is due; to be called several times a second."""
        if now < self.next_query_at or not others or self.is_poller(others):
            return []
        self.next_query_at = now + QUERY_INTERVAL_S * self.rng.uniform(0.8, 1.2)
        self.last_serial += 1
        recent = list(self.open_queries.items())[: MAX_OPEN_QUERIES - 1]
        self.open_queries = {self.last_serial: now, **dict(recent)}
        pollers = sorted(others, key=lambda other: candidate_rank(POLL_TASK, other))[:MAX_POLLERS]
        self.poller_ages_s = {name: self.poller_ages_s.get(name, 0.0) for name in pollers}
        # The one with the freshest confirmation; one that does not reply counts as older each time.
        freshest = min(pollers, key=lambda name: self.poller_ages_s[name] * self.rng.uniform(0.5, 1.5))
        self.poller_ages_s[freshest] += FRESH_S
        return [Outgoing(freshest, VersionQuery(self.last_serial, self.version))]

    # --- messages ----------------------------------------------------------------------------------------

    def receive(
        self, now: float, sender: str, message: SharingMessage
    ) -> tuple[Outbox, list[SharedEndpoint]]:
        """A member's message: the answers to it, and the rows by which this gateway's list changes."""
        if isinstance(message, VersionQuery):
            return self.answer_query(now, sender, message), []
        if isinstance(message, VersionReply):
            self.receive_reply(now, sender, message)
            return [], []
        return [], self.receive_part(sender, message)

    def answer_query(self, now: float, sender: str, query: VersionQuery) -> Outbox:
        """What changed after the sender's version, then this list's version and age."""
        age_ms = round(1000.0 * min(MAX_AGE_S, now - self.confirmed_at))
        is_behind = NO_VERSION <= query.known_version < self.version
        parts = self.list_parts(query.known_version) if is_behind else []
        replies: list[SharingMessage] = [*parts, VersionReply(query.serial, self.version, age_ms)]
        return [Outgoing(sender, reply) for reply in replies]

    def receive_reply(self, now: float, sender: str, reply: VersionReply) -> None:
        """A poller's version and age; they confirm this list where the versions are the same."""
        sent_at = self.open_queries.pop(reply.serial, None)
        age_s = max(0, reply.age_ms) / 1000.0
        if sender in self.poller_ages_s:
            self.poller_ages_s[sender] = age_s
        if sent_at is None:
            return
        if reply.version == self.version:
            self.confirmed_at = max(self.confirmed_at, sent_at - age_s)
        if reply.version > self.version or now - self.confirmed_at > POLLER_WATCH_S:
            # Parts were lost, or another poller has a fresher confirmation.
            self.next_query_at = min(self.next_query_at, now + RETRY_QUERY_S)

    def receive_part(self, sender: str, part: EndpointListPart) -> list[SharedEndpoint]:
        """A part of a list or of its changes; with the last part all rows are applied."""
        is_gap = part.base_version > self.version
        if is_gap or part.version <= self.version or not 0 < part.part_count <= MAX_PARTS:
            return []
        subject = part.base_version, part.version, part.part_count
        partial = self.partial_lists.get(sender)
        if partial is None or partial.subject != subject:
            if len(self.partial_lists) >= MAX_PENDING_SENDERS:
                self.partial_lists.clear()
            partial = self.partial_lists[sender] = PartialList(subject, {})
        if 0 <= part.part_number < part.part_count:
            partial.parts[part.part_number] = part.endpoints
        if len(partial.parts) < part.part_count:
            return []
        del self.partial_lists[sender]
        rows = [row for endpoints in partial.parts.values() for row in endpoints]
        return self.apply(part.base_version, part.version, rows)

    def apply(self, base_version: int, version: int, rows: list[SharedEndpoint]) -> list[SharedEndpoint]:
        """Applies a member's list, or its changes; the rows that changed here."""
        if base_version < 0:
            rows = [*rows, *self.missing_from(rows, version)]
            if self.version < 0:
                self.history_start = version
        applied = []
        for row in rows:
            merged = self.merge(row)
            if merged is not None:
                self.store(merged)
                applied.append(merged)
        self.version = version
        return applied

    def merge(self, row: SharedEndpoint) -> SharedEndpoint | None:
        """The known row with a member's row merged in; None where nothing changes. The more restrictive state
        and the later start are kept."""
        known = self.endpoints.get(row.endpoint)
        if row.version <= self.version or not ACTIVE_RANK <= row.state <= REMOVED_RANK:
            return None
        if known is None:
            return row
        state, started_ms = max(known.state, row.state), max(known.started_ms, row.started_ms)
        merged = row._replace(state=state, started_ms=started_ms)
        return merged if merged != known._replace(version=row.version) else None

    def list_parts(self, since: int) -> list[EndpointListPart]:
        """Messages with all that changed after a version; none where the list is too long, and each member
        has to poll."""
        if since < self.history_start:
            since = NO_VERSION
            rows = [row for row in self.endpoints.values() if row.state != REMOVED_RANK]
        else:
            rows = [row for row in self.endpoints.values() if row.version > since]
        if len(rows) > MAX_ROWS_PER_PART * MAX_PARTS:
            return []
        batches = [
            tuple(rows[first : first + MAX_ROWS_PER_PART]) for first in range(0, len(rows), MAX_ROWS_PER_PART)
        ] or [()]
        return [
            EndpointListPart(since, self.version, number, len(batches), batch)
            for number, batch in enumerate(batches)
        ]
