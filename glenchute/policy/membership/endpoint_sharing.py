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
- With no word of an asker this gateway has made a call of its own `FRESH_S` and `told.left_alone` later at
  most.

Not covered: a listed member that makes up versions and ages. What it withholds is found out when an honest
asker tells of a newer version, or when it is silent.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from ..endpoints import notification as told
from ..events import EndpointState
from .outgoing import Outgoing
from .task_candidates import CANDIDATES_PER_TASK, candidate_rank

MAX_POLLERS = CANDIDATES_PER_TASK  # the same members, whether they ask by rank or by lease
POLL_TASK = "ask"  # the lease by which one of the askers asks, where there are leases
FRESH_S = told.FRESH_S  # a list confirmed so long ago needs no call
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
    server: str
    address: str
    zone: str
    cell: int
    size: float
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

    since: int
    version: int
    at: int
    of: int
    rows: tuple[SharedEndpoint, ...]


class VersionQuery(NamedTuple):
    """The sender asks for what changed after this version, and how old the receiver's word is."""

    serial: int
    since: int


SharingMessage = VersionReply | EndpointListPart | VersionQuery


STATE_RANKS = {EndpointState.ACTIVE: 0, EndpointState.DRAINING: 1, EndpointState.REMOVED: 2}


class SharedEndpointList:
    """The list as this gateway holds it, and who asks for it."""

    def __init__(self, name: str, now: float, rng: random.Random) -> None:
        self.name, self.rng = name, rng
        self.version = -1  # of the list held; -1: none
        self.base = -1  # changes since then are known; of those before some may be forgotten
        self.rows: dict[str, SharedEndpoint] = {}  # what discovery told, or a member
        self.leased: bool | None = None  # whether this gateway holds the lease; None: askers go by rank alone
        self.ages: dict[str, float] = {}  # how old the word of each asker was, when last asked
        self.confirmed = -1e9  # when discovery is known to have had no newer list than this one
        self.ask_at = now
        self.serial = 0
        self.asked: dict[int, float] = {}  # the last questions, and when they were put
        # What came so far, by sender: what it is about, and the rows of each message.
        self.pending: dict[str, tuple[tuple[int, int, int], dict[int, tuple[SharedEndpoint, ...]]]] = {}

    # --- who asks ----------------------------------------------------------------------------------------

    def asks(self, others: Iterable[str]) -> bool:
        """Whether this gateway asks discovery for all. `others`: members that are not known to be dead."""
        if self.leased is not None:
            return self.leased
        mine = candidate_rank(POLL_TASK, self.name)
        return sum(candidate_rank(POLL_TASK, other) < mine for other in others) < MAX_POLLERS

    def waits(self, now: float, others: Sequence[str]) -> float:
        """How long this gateway leaves discovery alone from now on; 0: it is to ask."""
        if self.version < 0 or not others or self.asks(others):
            return 0.0
        return max(0.0, self.confirmed + FRESH_S - now)

    # --- what discovery says -----------------------------------------------------------------------------

    def discovery(
        self, now: float, version: int, full: bool, rows: Sequence[SharedEndpoint], others: Sequence[str]
    ) -> list[Outgoing[SharingMessage]]:
        """An answer of discovery, and what is told on of it. A count of versions that began anew makes this
        list the only one: members with a higher version go on with theirs until they ask themselves."""
        if full:
            rows = [*rows, *self.missing(rows, version)]
        changed = [row for row in rows if self.differs(row)]
        for row in changed:
            self.keep(row._replace(version=version))
        before, self.version, self.confirmed = self.version, version, now
        if before < 0 or version < before:
            self.base = version
        if not changed or before < 0 or not self.asks(others):
            return []
        parts = self.parts(before)
        return [Outgoing(other, part) for other in others for part in parts]

    def missing(self, listed: Sequence[SharedEndpoint], version: int) -> list[SharedEndpoint]:
        """Those held that a whole list does not name: as of its version they have gone."""
        named = {row.server for row in listed}
        held = (row for name, row in self.rows.items() if name not in named and row.state != 2)
        return [row._replace(version=version, state=2) for row in held]

    def differs(self, row: SharedEndpoint) -> bool:
        """Whether it says something new."""
        held = self.rows.get(row.server)
        return held is None or held._replace(version=row.version) != row

    def keep(self, row: SharedEndpoint) -> None:
        """Holds a row; the oldest that are gone are forgotten past a bound."""
        self.rows.pop(row.server, None)
        self.rows[row.server] = row
        gone = [name for name, held in self.rows.items() if held.state == 2]
        for name in gone[: max(0, len(gone) - MAX_REMOVED_ENDPOINTS)]:
            self.base = max(self.base, self.rows.pop(name).version)

    def tick(self, now: float, others: Sequence[str]) -> list[Outgoing[SharingMessage]]:
        """A question to one of those that ask for this gateway; call it some times a second."""
        if now < self.ask_at or not others or self.asks(others):
            return []
        self.ask_at = now + QUERY_INTERVAL_S * self.rng.uniform(0.8, 1.2)
        self.serial += 1
        self.asked = {self.serial: now, **dict(list(self.asked.items())[: MAX_OPEN_QUERIES - 1])}
        askers = sorted(others, key=lambda other: candidate_rank(POLL_TASK, other))[:MAX_POLLERS]
        # One whose word was fresh has it from discovery; one that does not answer counts as older each time.
        self.ages = {name: self.ages.get(name, 0.0) for name in askers}
        best = min(askers, key=lambda name: self.ages[name] * self.rng.uniform(0.5, 1.5))
        self.ages[best] += FRESH_S
        return [Outgoing(best, VersionQuery(self.serial, self.version))]

    # --- what members say --------------------------------------------------------------------------------

    def heard(
        self, now: float, sender: str, body: SharingMessage
    ) -> tuple[list[Outgoing[SharingMessage]], list[SharedEndpoint]]:
        """A member's message: what is answered, and the rows by which this gateway's list changes."""
        if isinstance(body, VersionQuery):
            age_ms = round(1000.0 * min(1e6, now - self.confirmed))
            parts = self.parts(body.since) if -1 <= body.since < self.version else []
            replies: list[SharingMessage] = [*parts, VersionReply(body.serial, self.version, age_ms)]
            return [Outgoing(sender, reply) for reply in replies], []
        if isinstance(body, VersionReply):
            asked = self.asked.pop(body.serial, None)
            if sender in self.ages:
                self.ages[sender] = max(0, body.age_ms) / 1000.0
            if asked is not None and body.version == self.version:
                self.confirmed = max(self.confirmed, asked - max(0, body.age_ms) / 1000.0)
            if asked is not None and (body.version > self.version or now - self.confirmed > POLLER_WATCH_S):
                self.ask_at = min(
                    self.ask_at, now + RETRY_QUERY_S
                )  # lost on the way, or another has a fresher word
            return [], []
        if body.since > self.version or body.version <= self.version or not 0 < body.of <= MAX_PARTS:
            return [], []  # a gap, or nothing new
        about = body.since, body.version, body.of
        if self.pending.get(sender, (None,))[0] != about:
            if len(self.pending) >= MAX_PENDING_SENDERS:
                self.pending.clear()
            self.pending[sender] = about, {}
        collected = self.pending[sender][1]
        if 0 <= body.at < body.of:
            collected[body.at] = body.rows
        if len(collected) < body.of:
            return [], []
        del self.pending[sender]
        listed = [row for rows in collected.values() for row in rows]
        if body.since < 0:
            listed += self.missing(listed, body.version)
            if self.version < 0:
                self.base = body.version
        taken = []
        for row in listed:
            merged = self.merged(row)
            if merged is not None:
                self.keep(merged)
                taken.append(merged)
        self.version = body.version
        return [], taken

    def merged(self, row: SharedEndpoint) -> SharedEndpoint | None:
        """What a member's row changes here; None: nothing."""
        held = self.rows.get(row.server)
        if row.version <= self.version or not 0 <= row.state <= 2:
            return None
        if held is None:
            return row
        state, started = max(held.state, row.state), max(held.started_ms, row.started_ms)
        made = row._replace(state=state, started_ms=started)
        return made if made != held._replace(version=row.version) else None

    def parts(self, since: int) -> list[EndpointListPart]:
        """Messages with all that changed after a version."""
        if since < self.base:
            since, rows = -1, [row for row in self.rows.values() if row.state != 2]
        else:
            rows = [row for row in self.rows.values() if row.version > since]
        if len(rows) > MAX_ROWS_PER_PART * MAX_PARTS:
            return []  # so long a list is asked for by each
        batches = [
            tuple(rows[at : at + MAX_ROWS_PER_PART]) for at in range(0, len(rows), MAX_ROWS_PER_PART)
        ] or [()]
        return [
            EndpointListPart(since, self.version, at, len(batches), rows) for at, rows in enumerate(batches)
        ]
