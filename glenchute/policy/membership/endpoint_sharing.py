"""The list of servers shared by members, so that a few ask discovery for all. No I/O; seconds by one clock.

`ASKERS` of the members ask (by rendezvous rank among those that are not known to be dead: Thaler and
Ravishankar, 1998), with short waits, and send all others what changed. The others ask one of them each
`ASK_S` what version it holds and how long ago discovery confirmed that; the answer's age counts from the
question, so that neither a slow way nor a stop of this process makes a list younger than it is. A member
whose list was confirmed `FRESH_S` ago at most does not call discovery. One that hears nothing falls back to
calls of its own, in turns as without members (`policy/endpoints/polling.py`).

What holds, whatever is lost, late, repeated or untrue:

- A word of members may take a server away, or add one that is not known here. It never brings one back that
  drains or is gone here, nor makes one warmer: those are discovery's to say.
- A list is never held for newer than what discovery said to somebody: versions come from its answers, what
  changed is applied whole and without a gap, and ages add up on the way.
- With no word of an asker this gateway has made a call of its own `FRESH_S` and
  `notification.max_own_poll_delay_s` later at most.

Not covered: a listed member that makes up versions and ages. What it withholds is found out when an honest
asker tells of a newer version, or when it is silent.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from ..endpoints import notification
from ..events import EndpointState
from .outgoing import Outgoing
from .task_candidates import CANDIDATES_PER_TASK, candidate_rank

MAX_POLLERS = CANDIDATES_PER_TASK  # the same members, whether they ask by rank or by lease
POLL_TASK = "ask"  # the lease by which one of the askers asks, where there are leases
FRESH_S = notification.CONFIRMATION_TTL_S  # a list confirmed so long ago needs no call
QUERY_INTERVAL_S = 1.0  # an asker is asked this often
POLLER_WATCH_S = 1.5  # an asker's watch waits so long, so that its word is never older
MAX_ROWS_PER_PART = 12  # in a message
MAX_PARTS = 100
MAX_OPEN_QUERIES = 8  # questions that an answer is still taken to
RETRY_QUERY_S = 0.25
MAX_PENDING_SENDERS = 8  # members whose messages are collected at a time
MAX_REMOVED_ENDPOINTS = 2_000  # servers that are gone and still told of


class SharedEndpoint(NamedTuple):
    """One server as discovery told of it in a version."""

    version: int
    endpoint: str
    address: str
    zone: str
    cell: int
    weight: float
    started_ms: float
    state: int  # 0 takes work, 1 drains, 2 is gone


class VersionReply(NamedTuple):
    """Answer to a question: the version of the sender's list, and how long ago discovery confirmed it, in
    milliseconds."""

    serial: int
    version: int
    age_ms: int


class EndpointListPart(NamedTuple):
    """Some of what changed after `since` up to `version`: the message `at` of so many. Together they count,
    alone none does. `since` -1: the whole list, and what is not on it has gone."""

    base_version: int
    version: int
    part_number: int
    part_count: int
    endpoints: tuple[SharedEndpoint, ...]


class VersionQuery(NamedTuple):
    """The sender asks for what changed after this version, and how old the receiver's word is."""

    serial: int
    known_version: int


SharingMessage = VersionReply | EndpointListPart | VersionQuery


STATE_RANKS = {EndpointState.ACTIVE: 0, EndpointState.DRAINING: 1, EndpointState.REMOVED: 2}


class SharedEndpointList:
    """The list as this gateway holds it, and who asks for it."""

    def __init__(self, name: str, now: float, rng: random.Random) -> None:
        self.name, self.rng = name, rng
        self.version = -1  # of the list held; -1: none
        self.history_start = -1  # changes since then are known; of those before some may be forgotten
        self.endpoints: dict[str, SharedEndpoint] = {}  # what discovery told, or a member
        self.is_lease_holder: bool | None = (
            None  # whether this gateway holds the lease; None: askers go by rank alone
        )
        self.poller_ages_s: dict[str, float] = {}  # how old the word of each asker was, when last asked
        self.confirmed_at = -1e9  # when discovery is known to have had no newer list than this one
        self.next_query_at = now
        self.last_serial = 0
        self.open_queries: dict[int, float] = {}  # the last questions, and when they were put
        # What came so far, by sender: what it is about, and the rows of each message.
        self.partial_lists: dict[str, tuple[tuple[int, int, int], dict[int, tuple[SharedEndpoint, ...]]]] = {}

    # --- who asks ----------------------------------------------------------------------------------------

    def is_poller(self, others: Iterable[str]) -> bool:
        """Whether this gateway asks discovery for all. `others`: members that are not known to be dead."""
        if self.is_lease_holder is not None:
            return self.is_lease_holder
        mine = candidate_rank(POLL_TASK, self.name)
        return sum(candidate_rank(POLL_TASK, other) < mine for other in others) < MAX_POLLERS

    def poll_delay_s(self, now: float, others: Sequence[str]) -> float:
        """How long this gateway leaves discovery alone from now on; 0: it is to ask."""
        if self.version < 0 or not others or self.is_poller(others):
            return 0.0
        return max(0.0, self.confirmed_at + FRESH_S - now)

    # --- what discovery says -----------------------------------------------------------------------------

    def receive_discovery(
        self, now: float, version: int, full: bool, rows: Sequence[SharedEndpoint], others: Sequence[str]
    ) -> list[Outgoing[SharingMessage]]:
        """An answer of discovery, and what is told on of it. A count of versions that began anew makes this
        list the only one: members with a higher version go on with theirs until they ask themselves."""
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
        """Those held that a whole list does not name: as of its version they have gone."""
        named = {row.endpoint for row in listed}
        held = (row for name, row in self.endpoints.items() if name not in named and row.state != 2)
        return [row._replace(version=version, state=2) for row in held]

    def is_new(self, row: SharedEndpoint) -> bool:
        """Whether it says something new."""
        held = self.endpoints.get(row.endpoint)
        return held is None or held._replace(version=row.version) != row

    def store(self, row: SharedEndpoint) -> None:
        """Holds a row; the oldest that are gone are forgotten past a bound."""
        self.endpoints.pop(row.endpoint, None)
        self.endpoints[row.endpoint] = row
        gone = [name for name, held in self.endpoints.items() if held.state == 2]
        for name in gone[: max(0, len(gone) - MAX_REMOVED_ENDPOINTS)]:
            self.history_start = max(self.history_start, self.endpoints.pop(name).version)

    def tick(self, now: float, others: Sequence[str]) -> list[Outgoing[SharingMessage]]:
        """A question to one of those that ask for this gateway; call it some times a second."""
        if now < self.next_query_at or not others or self.is_poller(others):
            return []
        self.next_query_at = now + QUERY_INTERVAL_S * self.rng.uniform(0.8, 1.2)
        self.last_serial += 1
        self.open_queries = {
            self.last_serial: now,
            **dict(list(self.open_queries.items())[: MAX_OPEN_QUERIES - 1]),
        }
        askers = sorted(others, key=lambda other: candidate_rank(POLL_TASK, other))[:MAX_POLLERS]
        # One whose word was fresh has it from discovery; one that does not answer counts as older each time.
        self.poller_ages_s = {name: self.poller_ages_s.get(name, 0.0) for name in askers}
        best = min(askers, key=lambda name: self.poller_ages_s[name] * self.rng.uniform(0.5, 1.5))
        self.poller_ages_s[best] += FRESH_S
        return [Outgoing(best, VersionQuery(self.last_serial, self.version))]

    # --- what members say --------------------------------------------------------------------------------

    def receive(
        self, now: float, sender: str, body: SharingMessage
    ) -> tuple[list[Outgoing[SharingMessage]], list[SharedEndpoint]]:
        """A member's message: what is answered, and the rows by which this gateway's list changes."""
        if isinstance(body, VersionQuery):
            age_ms = round(1000.0 * min(1e6, now - self.confirmed_at))
            parts = self.list_parts(body.known_version) if -1 <= body.known_version < self.version else []
            replies: list[SharingMessage] = [*parts, VersionReply(body.serial, self.version, age_ms)]
            return [Outgoing(sender, reply) for reply in replies], []
        if isinstance(body, VersionReply):
            asked = self.open_queries.pop(body.serial, None)
            if sender in self.poller_ages_s:
                self.poller_ages_s[sender] = max(0, body.age_ms) / 1000.0
            if asked is not None and body.version == self.version:
                self.confirmed_at = max(self.confirmed_at, asked - max(0, body.age_ms) / 1000.0)
            if asked is not None and (
                body.version > self.version or now - self.confirmed_at > POLLER_WATCH_S
            ):
                self.next_query_at = min(
                    self.next_query_at, now + RETRY_QUERY_S
                )  # lost on the way, or another has a fresher word
            return [], []
        if (
            body.base_version > self.version
            or body.version <= self.version
            or not 0 < body.part_count <= MAX_PARTS
        ):
            return [], []  # a gap, or nothing new
        about = body.base_version, body.version, body.part_count
        if self.partial_lists.get(sender, (None,))[0] != about:
            if len(self.partial_lists) >= MAX_PENDING_SENDERS:
                self.partial_lists.clear()
            self.partial_lists[sender] = about, {}
        collected = self.partial_lists[sender][1]
        if 0 <= body.part_number < body.part_count:
            collected[body.part_number] = body.endpoints
        if len(collected) < body.part_count:
            return [], []
        del self.partial_lists[sender]
        listed = [row for rows in collected.values() for row in rows]
        if body.base_version < 0:
            listed += self.missing_from(listed, body.version)
            if self.version < 0:
                self.history_start = body.version
        taken = []
        for row in listed:
            merged = self.merge(row)
            if merged is not None:
                self.store(merged)
                taken.append(merged)
        self.version = body.version
        return [], taken

    def merge(self, row: SharedEndpoint) -> SharedEndpoint | None:
        """What a member's row changes here; None: nothing."""
        held = self.endpoints.get(row.endpoint)
        if row.version <= self.version or not 0 <= row.state <= 2:
            return None
        if held is None:
            return row
        state, started = max(held.state, row.state), max(held.started_ms, row.started_ms)
        made = row._replace(state=state, started_ms=started)
        return made if made != held._replace(version=row.version) else None

    def list_parts(self, since: int) -> list[EndpointListPart]:
        """Messages with all that changed after a version."""
        if since < self.history_start:
            since, rows = -1, [row for row in self.endpoints.values() if row.state != 2]
        else:
            rows = [row for row in self.endpoints.values() if row.version > since]
        if len(rows) > MAX_ROWS_PER_PART * MAX_PARTS:
            return []  # so long a list is asked for by each
        batches = [
            tuple(rows[at : at + MAX_ROWS_PER_PART]) for at in range(0, len(rows), MAX_ROWS_PER_PART)
        ] or [()]
        return [
            EndpointListPart(since, self.version, at, len(batches), rows) for at, rows in enumerate(batches)
        ]
