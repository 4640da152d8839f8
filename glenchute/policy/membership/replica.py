"""Copies of what the gateways know, joined without a leader: a delta-state CRDT store, without I/O.

Source: Almeida, Shoker, Baquero, "Delta State Replicated Data Types" (2018); the comparison of copies by a
tree of hashes is Dynamo's anti-entropy (DeCandia et al., 2007). A row is one writer's latest word on one key.
Joining two rows takes the later version; two rows of one version that differ are a conflict, which is
counted, and of which the copy wins that is safe for its kind. Both are a maximum of a total order, so joining
is commutative, associative and idempotent whatever is lost, repeated or comes late.

Nobody's clock is trusted: a row carries its age, and each holder counts on by its own clock. A row older than
its kind's life is dropped, and is no longer compared some time before, so that copies which drop it at
different moments do not bring it back to each other.
"""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

BUCKETS = 64  # children of each of the two levels of the tree
COMPARED_LIFETIME_SHARE = 0.8  # of its life a row is compared
MAX_KEY_LENGTH = 80  # characters
MAX_RECENT_CONFLICTS = 100  # kept to be shown


class RowKind(IntEnum):
    """What a row tells; the numbers stand in datagrams."""

    SERVER = 0  # a server drains or is gone; version: discovery's. Safe: what asks for more restraint
    USE = 1  # units let in for an account in a window, by one process. Safe: the larger; not copied to all
    TASK = 2  # what a task's holders did; version: token and serial. Safe: more failures
    HEALTH = 3  # milliseconds for which a process leaves a server that it could not reach. Safe: the longer


PER_PROCESS_KINDS = (RowKind.USE, RowKind.HEALTH)  # kinds whose rows have one process for a writer


class Row(NamedTuple):
    """One word. `writer` is a process (name and boot); a kind that all may tell has none."""

    kind: RowKind
    key: str
    writer: str
    version: int
    value: float


@dataclass(frozen=True, slots=True)
class KindRules:
    """How long a kind's rows live and how many are held; past that, those go that changed longest ago."""

    life_s: float
    most: int
    whole: bool = True  # a copy that lacks some is not whole
    copied: bool = True  # all members have it, and compare; else it goes to some alone (`directmail`)
    urgency: int = 0  # the lowest is passed on first


DEFAULT_KIND_RULES = {
    RowKind.SERVER: KindRules(60.0, 5_000),
    RowKind.USE: KindRules(20.0, 8_000, whole=False, copied=False),
    RowKind.TASK: KindRules(3600.0, 200, whole=False, urgency=1),
    RowKind.HEALTH: KindRules(20.0, 4_000, whole=False, urgency=1),
}


class Conflict(NamedTuple):
    """Two copies of one version that differ, and which one stays."""

    kept: Row
    other: Row
    seen_from: str


class StoredRow(NamedTuple):
    """A row as it is held: when it was made, by this process' clock, and its hash."""

    row: Row
    made: float
    mark: int


def row_hash(row: Row) -> int:
    """64 bits that two rows have in common only if they are the same."""
    text = f"{int(row.kind)}|{row.key}|{row.writer}|{row.version}|{row.value!r}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def leaf_of(kind: RowKind, key: str, writer: str) -> tuple[int, int]:
    """The leaf of the tree in which a row lies, whatever its version."""
    raw = hashlib.blake2b(f"{int(kind)}|{key}|{writer}".encode(), digest_size=2).digest()
    return raw[0] % BUCKETS, raw[1] % BUCKETS


def is_valid(row: Row) -> bool:
    """Whether a row from outside may be taken in: bounded, finite, of a kind's form."""
    words = 0 < len(row.key) <= MAX_KEY_LENGTH and len(row.writer) <= MAX_KEY_LENGTH
    by = bool(row.writer) == (row.kind in PER_PROCESS_KINDS)
    return words and by and row.version >= 0 and 0 <= row.value < 1e12


class Replica:
    """One process' copy."""

    def __init__(self, rules: dict[RowKind, KindRules] | None = None) -> None:
        self.rules = rules or DEFAULT_KIND_RULES
        self.rows: dict[tuple[RowKind, str, str], StoredRow] = {}
        # By kind, what changed longest ago first.
        self.order: dict[RowKind, dict[tuple[RowKind, str, str], None]] = {kind: {} for kind in RowKind}
        self.evicted = dict.fromkeys(RowKind, 0)
        self.leaves: dict[tuple[int, int], set[tuple[RowKind, str, str]]] = {}
        # Hashes of what is young enough to be compared, kept up at each change: as sets, by exclusive or.
        self.leaf_marks: dict[tuple[int, int], int] = {}
        self.bucket_marks = [0] * BUCKETS
        self.counted: dict[tuple[RowKind, str, str], int] = {}
        self.aging: list[tuple[float, tuple[RowKind, str, str], int]] = []  # when each is no longer compared
        self.conflicts: list[Conflict] = []
        self.conflicted = 0
        self.refused = 0  # rows that were not sound

    def put(self, now: float, row: Row, age_s: float = 0.0, seen_from: str = "") -> bool:
        """Joins a row; True where this copy has changed."""
        if not is_valid(row):
            self.refused += 1
            return False
        if age_s < 0.0 or age_s >= self.rules[row.kind].life_s:
            return False
        at = (row.kind, row.key, row.writer)
        held = self.rows.get(at)
        if held is not None:
            known = held.row
            if row.version == known.version and row.value != known.value:
                kept, other = (known, row) if known.value >= row.value else (row, known)
                self.note(Conflict(kept, other, seen_from))
            if (row.version, row.value) <= (known.version, known.value):
                return False
        else:
            if len(self.order[row.kind]) >= self.rules[row.kind].most:
                self.drop(next(iter(self.order[row.kind])))
                self.evicted[row.kind] += 1
            if self.rules[row.kind].copied:
                self.leaves.setdefault(leaf_of(*at), set()).add(at)
        copied, made = self.rules[row.kind].copied, now - age_s
        mark = row_hash(row) if copied else 0
        self.rows[at] = StoredRow(row, made, mark)
        self.uncount(at)
        young = COMPARED_LIFETIME_SHARE * self.rules[row.kind].life_s
        if copied and age_s < young:
            self.counted[at] = mark
            self.turn(at, mark)
            heapq.heappush(self.aging, (made + young, at, mark))
            if len(self.aging) > 4 * len(self.rows) + 1000:  # most are of versions that have gone
                self.aging = [row for row in self.aging if self.counted.get(row[1]) == row[2]]
                heapq.heapify(self.aging)
        self.order[row.kind].pop(at, None)
        self.order[row.kind][at] = None
        return True

    def note(self, conflict: Conflict) -> None:
        """Counts a conflict; each pair is shown once."""
        if any(c.kept == conflict.kept and c.other == conflict.other for c in self.conflicts):
            return
        self.conflicted += 1
        self.conflicts = [*self.conflicts[1 - MAX_RECENT_CONFLICTS :], conflict]

    def turn(self, at: tuple[RowKind, str, str], mark: int) -> None:
        """Takes a row into the hashes, or out of them."""
        leaf = leaf_of(*at)
        self.leaf_marks[leaf] = self.leaf_marks.get(leaf, 0) ^ mark
        self.bucket_marks[leaf[0]] ^= mark
        if not self.leaf_marks[leaf]:
            del self.leaf_marks[leaf]

    def uncount(self, at: tuple[RowKind, str, str]) -> None:
        """A row is no longer compared."""
        mark = self.counted.pop(at, None)
        if mark is not None:
            self.turn(at, mark)

    def drop(self, at: tuple[RowKind, str, str]) -> None:
        """Forgets a row."""
        self.uncount(at)
        del self.rows[at]
        del self.order[at[0]][at]
        if not self.rules[at[0]].copied:
            return
        leaf = leaf_of(*at)
        self.leaves[leaf].discard(at)
        if not self.leaves[leaf]:
            del self.leaves[leaf]

    def expire(self, now: float) -> None:
        """Forgets what has outlived its kind. Rows come here aged, so a few may lie behind younger ones:
        those go when these do."""
        for kind, order in self.order.items():
            while order and now - self.rows[next(iter(order))].made >= self.rules[kind].life_s:
                self.drop(next(iter(order)))

    def get(self, kind: RowKind, key: str, writer: str = "") -> Row | None:
        """A row, if it is held."""
        held = self.rows.get((kind, key, writer))
        return held.row if held is not None else None

    # --- comparing copies --------------------------------------------------------------------------------

    def compared(self, now: float, leaf: tuple[int, int]) -> Iterable[StoredRow]:
        """The rows of a leaf that are young enough to be compared."""
        for at in self.leaves.get(leaf, ()):
            held = self.rows[at]
            if now - held.made < COMPARED_LIFETIME_SHARE * self.rules[at[0]].life_s:
                yield held

    def children(self, now: float, bucket: int | None) -> tuple[int, ...]:
        """The hashes of all buckets, or of one bucket's leaves."""
        while self.aging and self.aging[0][0] <= now:
            _, at, mark = heapq.heappop(self.aging)
            if self.counted.get(at) == mark:
                self.uncount(at)
        if bucket is not None:
            return tuple(self.leaf_marks.get((bucket, leaf), 0) for leaf in range(BUCKETS))
        return tuple(self.bucket_marks)

    def differing(self, now: float, bucket: int | None, theirs: tuple[int, ...]) -> list[int]:
        """Which of them are not the same at a peer."""
        if len(theirs) != BUCKETS:
            return []
        ours = self.children(now, bucket)
        return [at for at in range(BUCKETS) if ours[at] != theirs[at]]
