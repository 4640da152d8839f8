"""Sharing of discovery's endpoint list among members, so that a few of them poll discovery for all. No I/O;
times are seconds of this process' clock.

`MAX_POLLERS` members poll with short watches (those that rendezvous hashing ranks first among members not
known to be dead: Thaler and Ravishankar, 1998), and send the changes to all others. Every `QUERY_INTERVAL_S`
each of the others asks a poller which version it has and how long ago discovery confirmed it. The reply's age
counts from the query, so that neither a slow network nor a pause of this process makes a list seem newer than
it is. A member whose list was confirmed within `FRESH_S` does not poll. A member that receives nothing falls
back to polls of its own, scheduled as without members (`policy/endpoints/polling.py`).

Guarantees, whatever messages are lost, late, duplicated or wrong:

- A member's message may remove an endpoint, or add an unknown one. It never restores an endpoint that drains
  or is removed here, nor makes one warm up faster: only discovery does.
- A list never counts as newer than what discovery answered to some member: versions come from its answers,
  changes are applied completely and without gaps, and ages add up from hop to hop.
- Without messages from pollers this gateway polls by itself after `FRESH_S` and
  `notification.max_own_poll_delay_s` at most.

Not covered: a configured member that invents versions and ages. Changes that it withholds are found when
another poller reports a newer version, or when that member stops sending.
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

MAX_POLLERS = CANDIDATES_PER_TASK  # the same members whether chosen by hashing or by lease
POLL_TASK = "ask"  # where there are leases, the holder of this task's lease polls
FRESH_S = notification.CONFIRMATION_TTL_S  # a list confirmed within this time needs no poll
QUERY_INTERVAL_S = 1.0
POLLER_WATCH_S = 1.5  # duration of a poller's watch, which bounds the age of its confirmation
RETRY_QUERY_S = 0.25  # time to the next query after a reply with a newer list or a stale confirmation
MAX_ROWS_PER_PART = 12
MAX_PARTS = 100
MAX_OPEN_QUERIES = 8
MAX_PENDING_SENDERS = 8
MAX_REMOVED_ENDPOINTS = 2_000  # removed endpoints kept, so that their removal can be sent
MAX_AGE_S = 1e6  # the highest age sent in a reply
NO_VERSION = -1

ACTIVE_RANK, DRAINING_RANK, REMOVED_RANK = 0, 1, 2  # states in the messages between members
STATE_RANKS = {
    EndpointState.ACTIVE: ACTIVE_RANK,
    EndpointState.DRAINING: DRAINING_RANK,
    EndpointState.REMOVED: REMOVED_RANK,
}


class SharedEndpoint(NamedTuple):
    """An endpoint as of a version of discovery's list. `endpoint` is its name, `address` its host and port,
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
    """The answer to a query: the version of the sender's list, and its age since discovery confirmed it."""

    serial: int
    version: int
    age_ms: int


class EndpointListPart(NamedTuple):
    """One of `part_count` messages with the changes after `base_version` up to `version`, which are applied
    only together. Where `base_version` is `NO_VERSION` they hold the full list, and endpoints that it lacks
    are removed."""

    base_version: int
    version: int
    part_number: int
    part_count: int
    endpoints: tuple[SharedEndpoint, ...]


class VersionQuery(NamedTuple):
    """A request for the changes after `known_version`, and for the receiver's version and its age."""

    serial: int
    known_version: int


SharingMessage = VersionReply | EndpointListPart | VersionQuery
Outbox = list[Outgoing[SharingMessage]]


class PartialList(NamedTuple):
    """The parts of a list received so far from one sender, by part number. `list_id` is the list's base
    version, version and number of parts."""

    list_id: tuple[int, int, int]
    parts: dict[int, tuple[SharedEndpoint, ...]]


class SharedEndpointList:
    """The endpoint list that this gateway has, and which members poll for it."""

    def __init__(self, name: str, now: float, rng: random.Random) -> None:
        self.name, self.rng = name, rng
        self.version = NO_VERSION
        self.history_start = NO_VERSION  # changes after this version are known
        self.endpoints: dict[str, SharedEndpoint] = {}
        self.is_lease_holder: bool | None = None  # None where there are no leases: pollers are chosen by hash
        self.poller_ages_s: dict[str, float] = {}  # by poller: the age that it reported last
        self.confirmed_at = -math.inf  # last time at which discovery is known to have had no newer list
        self.next_query_at = now
        self.last_serial = 0
        self.open_queries: dict[int, float] = {}  # send times of the last queries, by serial
        self.partial_lists: dict[str, PartialList] = {}  # by sender

    # --- who polls ---------------------------------------------------------------------------------------

    def is_poller(self, others: Iterable[str]) -> bool:
        """Returns whether this gateway polls discovery for all. `others`: members not known to be dead."""
        if self.is_lease_holder is not None:
            return self.is_lease_holder
        own_rank = candidate_rank(POLL_TASK, self.name)
        return sum(candidate_rank(POLL_TASK, other) < own_rank for other in others) < MAX_POLLERS

    def poll_delay_s(self, now: float, others: Sequence[str]) -> float:
        """Returns for how many seconds this gateway need not poll discovery; 0 means that it has to."""
        if self.version < 0 or not others or self.is_poller(others):
            return 0.0
        return max(0.0, self.confirmed_at + FRESH_S - now)

    # --- discovery ---------------------------------------------------------------------------------------

    def receive_discovery(
        self, now: float, version: int, full: bool, rows: Sequence[SharedEndpoint], others: Sequence[str]
    ) -> Outbox:
        """Applies an answer of discovery, and returns the messages that forward its changes. Where
        discovery's versions restarted, this list replaces the one here; members with a higher version keep
        theirs until they poll themselves."""
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
        """Returns the known endpoints that a full list lacks, as removed in its version."""
        listed_names = {row.endpoint for row in listed}
        missing = (
            row
            for name, row in self.endpoints.items()
            if name not in listed_names and row.state != REMOVED_RANK
        )
        return [row._replace(version=version, state=REMOVED_RANK) for row in missing]

    def is_new(self, row: SharedEndpoint) -> bool:
        """Returns whether a row differs from the known one by more than its version."""
        known = self.endpoints.get(row.endpoint)
        return known is None or known._replace(version=row.version) != row

    def store(self, row: SharedEndpoint) -> None:
        """Stores a row, and drops the oldest removed endpoints beyond `MAX_REMOVED_ENDPOINTS`."""
        self.endpoints.pop(row.endpoint, None)
        self.endpoints[row.endpoint] = row
        removed = [name for name, known in self.endpoints.items() if known.state == REMOVED_RANK]
        for name in removed[: max(0, len(removed) - MAX_REMOVED_ENDPOINTS)]:
            self.history_start = max(self.history_start, self.endpoints.pop(name).version)

    # --- timer -------------------------------------------------------------------------------------------

    def tick(self, now: float, others: Sequence[str]) -> Outbox:
        """Returns a query to one of the pollers, if one is due; to be called several times a second."""
        if now < self.next_query_at or not others or self.is_poller(others):
            return []
        self.next_query_at = now + QUERY_INTERVAL_S * self.rng.uniform(0.8, 1.2)
        self.last_serial += 1
        recent = list(self.open_queries.items())[: MAX_OPEN_QUERIES - 1]
        self.open_queries = {self.last_serial: now, **dict(recent)}
        pollers = sorted(others, key=lambda other: candidate_rank(POLL_TASK, other))[:MAX_POLLERS]
        self.poller_ages_s = {name: self.poller_ages_s.get(name, 0.0) for name in pollers}
        # Picks the poller with the newest confirmation; each query without a reply adds to a poller's age.
        freshest = min(pollers, key=lambda name: self.poller_ages_s[name] * self.rng.uniform(0.5, 1.5))
        self.poller_ages_s[freshest] += FRESH_S
        return [Outgoing(freshest, VersionQuery(self.last_serial, self.version))]

    # --- messages ----------------------------------------------------------------------------------------

    def receive(
        self, now: float, sender: str, message: SharingMessage
    ) -> tuple[Outbox, list[SharedEndpoint]]:
        """Handles a member's message, and returns the answers and the rows that change in this gateway's
        list."""
        if isinstance(message, VersionQuery):
            return self.answer_query(now, sender, message), []
        if isinstance(message, VersionReply):
            self.receive_reply(now, sender, message)
            return [], []
        return [], self.receive_part(sender, message)

    def answer_query(self, now: float, sender: str, query: VersionQuery) -> Outbox:
        """Returns the changes after the sender's version, then this list's version and age."""
        age_ms = round(1000.0 * min(MAX_AGE_S, now - self.confirmed_at))
        is_behind = NO_VERSION <= query.known_version < self.version
        parts = self.list_parts(query.known_version) if is_behind else []
        replies: list[SharingMessage] = [*parts, VersionReply(query.serial, self.version, age_ms)]
        return [Outgoing(sender, reply) for reply in replies]

    def receive_reply(self, now: float, sender: str, reply: VersionReply) -> None:
        """Handles a poller's version and age, which confirm this list if the versions are equal."""
        sent_at = self.open_queries.pop(reply.serial, None)
        age_s = max(0, reply.age_ms) / 1000.0
        if sender in self.poller_ages_s:
            self.poller_ages_s[sender] = age_s
        if sent_at is None:
            return
        if reply.version == self.version:
            self.confirmed_at = max(self.confirmed_at, sent_at - age_s)
        if reply.version > self.version or now - self.confirmed_at > POLLER_WATCH_S:
            # Parts were lost, or another poller may have a newer confirmation.
            self.next_query_at = min(self.next_query_at, now + RETRY_QUERY_S)

    def receive_part(self, sender: str, part: EndpointListPart) -> list[SharedEndpoint]:
        """Handles a part of a list or of its changes. The last part applies all rows; returns the rows that
        changed."""
        is_gap = part.base_version > self.version
        if is_gap or part.version <= self.version or not 0 < part.part_count <= MAX_PARTS:
            return []
        list_id = part.base_version, part.version, part.part_count
        partial = self.partial_lists.get(sender)
        if partial is None or partial.list_id != list_id:
            if len(self.partial_lists) >= MAX_PENDING_SENDERS:
                self.partial_lists.clear()
            partial = self.partial_lists[sender] = PartialList(list_id, {})
        if 0 <= part.part_number < part.part_count:
            partial.parts[part.part_number] = part.endpoints
        if len(partial.parts) < part.part_count:
            return []
        del self.partial_lists[sender]
        rows = [row for endpoints in partial.parts.values() for row in endpoints]
        return self.apply(part.base_version, part.version, rows)

    def apply(self, base_version: int, version: int, rows: list[SharedEndpoint]) -> list[SharedEndpoint]:
        """Applies a member's list or its changes, and returns the rows that changed here."""
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
        """Returns the known row merged with a member's row, or None where nothing changes. The more
        restrictive state and the later start are kept."""
        known = self.endpoints.get(row.endpoint)
        if row.version <= self.version or not ACTIVE_RANK <= row.state <= REMOVED_RANK:
            return None
        if known is None:
            return row
        state, started_ms = max(known.state, row.state), max(known.started_ms, row.started_ms)
        merged = row._replace(state=state, started_ms=started_ms)
        return merged if merged != known._replace(version=row.version) else None

    def list_parts(self, since: int) -> list[EndpointListPart]:
        """Returns messages with all changes after a version; none where the list is too long, so that each
        member has to poll."""
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
