"""Replicated state without a leader: a delta-state CRDT store. No I/O.

Source: Almeida, Shoker, Baquero, "Delta State Replicated Data Types" (2018); replicas are compared by a hash
tree, as in Dynamo's anti-entropy (DeCandia et al., 2007). A row is the latest value of one key by one writer.
Merging two rows keeps the later version. Two rows of one version with different values are a conflict, which
is counted; the safe value for the row's kind is kept. Both rules take the maximum of a total order, so
merging is commutative, associative and idempotent whatever is lost, duplicated or delayed.

Clocks of other processes are not trusted: a row carries its age, which each replica advances by its own
clock. A row older than its kind's lifetime is removed. It is excluded from comparison some time before that,
so that replicas that remove it at different moments do not send it back to each other.
"""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

BUCKETS = 64  # children of each node of the two-level hash tree
COMPARED_LIFETIME_SHARE = 0.8  # the share of its lifetime for which a row is compared
MAX_KEY_LENGTH = 80  # characters
MAX_VALUE = 1e12
MAX_RECENT_CONFLICTS = 100


class RowKind(IntEnum):
    """What a row reports; the numbers are part of the datagram format. "Safe" names the value that wins a
    conflict."""

    # An endpoint that drains or is removed; the version is discovery's. Safe: the more restrictive state.
    SERVER = 0
    # Units that one process admitted for an account in a window; sent to some members only. Safe: more units.
    USE = 1
    # The outcome of a task's steps; the version holds token and serial. Safe: more failures.
    TASK = 2
    # Milliseconds for which a process avoids an endpoint that it could not reach. Safe: longer.
    HEALTH = 3


PER_PROCESS_KINDS = (RowKind.USE, RowKind.HEALTH)  # kinds whose rows have one process as their writer
RowKey = tuple[RowKind, str, str]  # kind, key, writer
Leaf = tuple[int, int]  # a leaf of the hash tree: its bucket, and its position in the bucket


class Row(NamedTuple):
    """A value of one key. `writer` is a process (`name#boot`), empty for kinds that any member may write."""

    kind: RowKind
    key: str
    writer: str
    version: int
    value: float


@dataclass(frozen=True, slots=True)
class KindRules:
    """The lifetime of rows of one kind, and how many are stored; beyond that, those unchanged for the longest
    time are evicted."""

    lifetime_s: float
    max_rows: int
    is_required: bool = True  # a replica that lacks some of them is incomplete
    # Whether all members keep and compare the rows; else only some members get them (`direct_messages`).
    is_replicated: bool = True
    urgency: int = 0  # the kind with the lowest value is pushed first


DEFAULT_KIND_RULES = {
    RowKind.SERVER: KindRules(60.0, 5_000),
    RowKind.USE: KindRules(20.0, 8_000, is_required=False, is_replicated=False),
    RowKind.TASK: KindRules(3600.0, 200, is_required=False, urgency=1),
    RowKind.HEALTH: KindRules(20.0, 4_000, is_required=False, urgency=1),
}


class Conflict(NamedTuple):
    """Two rows of one version with different values; `sender` delivered the second one."""

    retained: Row  # the row with the safe value, which the replica stores
    discarded: Row
    sender: str


class StoredRow(NamedTuple):
    """A row with its time of creation, by this process' clock, and its hash (0 where not replicated)."""

    row: Row
    created_at: float
    row_hash: int


class ComparisonDeadline(NamedTuple):
    """When a row is no longer compared; `row_hash` shows whether the row still has that version."""

    at: float
    key: RowKey
    row_hash: int


def row_hash(row: Row) -> int:
    """Returns a 64-bit hash over all fields of a row."""
    text = f"{int(row.kind)}|{row.key}|{row.writer}|{row.version}|{row.value!r}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def leaf_of(kind: RowKind, key: str, writer: str) -> Leaf:
    """Returns the leaf of the hash tree that a row belongs to, whatever its version."""
    raw = hashlib.blake2b(f"{int(kind)}|{key}|{writer}".encode(), digest_size=2).digest()
    return raw[0] % BUCKETS, raw[1] % BUCKETS


def is_valid(row: Row) -> bool:
    """Returns whether a received row is bounded, finite, and has a writer exactly where its kind needs
    one."""
    is_bounded = 0 < len(row.key) <= MAX_KEY_LENGTH and len(row.writer) <= MAX_KEY_LENGTH
    has_right_writer = bool(row.writer) == (row.kind in PER_PROCESS_KINDS)
    return is_bounded and has_right_writer and row.version >= 0 and 0 <= row.value < MAX_VALUE


class Replica:
    """One process' copy of the replicated rows."""

    def __init__(self, rules: dict[RowKind, KindRules] | None = None) -> None:
        self.rules = rules or DEFAULT_KIND_RULES
        self.rows: dict[RowKey, StoredRow] = {}
        # By kind, the row unchanged for the longest time first.
        self.keys_by_age: dict[RowKind, dict[RowKey, None]] = {kind: {} for kind in RowKind}
        self.evicted_counts = dict.fromkeys(RowKind, 0)
        self.leaves: dict[Leaf, set[RowKey]] = {}
        # Hashes of the compared rows, updated at each change; a node's hash is the XOR of its rows' hashes.
        self.leaf_hashes: dict[Leaf, int] = {}
        self.bucket_hashes = [0] * BUCKETS
        self.compared_hashes: dict[RowKey, int] = {}
        self.comparison_deadlines: list[ComparisonDeadline] = []  # a heap
        self.conflicts: list[Conflict] = []
        self.conflict_count = 0
        self.rejected_count = 0  # received rows that were not valid

    def merge(self, now: float, row: Row, age_s: float = 0.0, sender: str = "") -> bool:
        """Merges a row that was created `age_s` ago, and returns whether this replica has changed."""
        if not is_valid(row):
            self.rejected_count += 1
            return False
        rules = self.rules[row.kind]
        if age_s < 0.0 or age_s >= rules.lifetime_s:
            return False
        key = (row.kind, row.key, row.writer)
        stored = self.rows.get(key)
        if stored is not None:
            known = stored.row
            if row.version == known.version and row.value != known.value:
                retained, discarded = (known, row) if known.value >= row.value else (row, known)
                self.record_conflict(Conflict(retained, discarded, sender))
            if (row.version, row.value) <= (known.version, known.value):
                return False
        else:
            if len(self.keys_by_age[row.kind]) >= rules.max_rows:
                self.remove(next(iter(self.keys_by_age[row.kind])))
                self.evicted_counts[row.kind] += 1
            if rules.is_replicated:
                self.leaves.setdefault(leaf_of(*key), set()).add(key)
        self.store(key, row, now, age_s)
        return True

    def store(self, key: RowKey, row: Row, now: float, age_s: float) -> None:
        """Stores a row in place of its earlier version, and adds it to the hash tree if it is young
        enough."""
        rules = self.rules[row.kind]
        created_at = now - age_s
        new_hash = row_hash(row) if rules.is_replicated else 0
        self.rows[key] = StoredRow(row, created_at, new_hash)
        self.stop_comparing(key)
        compared_s = COMPARED_LIFETIME_SHARE * rules.lifetime_s
        if rules.is_replicated and age_s < compared_s:
            self.compared_hashes[key] = new_hash
            self.toggle_hash(key, new_hash)
            deadline = ComparisonDeadline(created_at + compared_s, key, new_hash)
            heapq.heappush(self.comparison_deadlines, deadline)
            self.compact_deadlines()
        self.keys_by_age[row.kind].pop(key, None)
        self.keys_by_age[row.kind][key] = None

    def compact_deadlines(self) -> None:
        """Drops the deadlines of replaced versions once these make up most of the heap."""
        if len(self.comparison_deadlines) <= 4 * len(self.rows) + 1000:
            return
        self.comparison_deadlines = [
            deadline
            for deadline in self.comparison_deadlines
            if self.compared_hashes.get(deadline.key) == deadline.row_hash
        ]
        heapq.heapify(self.comparison_deadlines)

    def record_conflict(self, conflict: Conflict) -> None:
        """Counts a conflict and keeps it for operators, once for each pair of rows."""
        rows = (conflict.retained, conflict.discarded)
        if any((known.retained, known.discarded) == rows for known in self.conflicts):
            return
        self.conflict_count += 1
        self.conflicts = [*self.conflicts[1 - MAX_RECENT_CONFLICTS :], conflict]

    def toggle_hash(self, key: RowKey, hash_value: int) -> None:
        """Adds a row's hash to those of its leaf and bucket, or removes it: XOR does both."""
        leaf = leaf_of(*key)
        self.leaf_hashes[leaf] = self.leaf_hashes.get(leaf, 0) ^ hash_value
        self.bucket_hashes[leaf[0]] ^= hash_value
        if not self.leaf_hashes[leaf]:
            del self.leaf_hashes[leaf]

    def stop_comparing(self, key: RowKey) -> None:
        """Removes a row from the hash tree, if it is there."""
        hash_value = self.compared_hashes.pop(key, None)
        if hash_value is not None:
            self.toggle_hash(key, hash_value)

    def remove(self, key: RowKey) -> None:
        """Removes a row from the store and from the hash tree."""
        self.stop_comparing(key)
        kind = key[0]
        del self.rows[key]
        del self.keys_by_age[kind][key]
        if not self.rules[kind].is_replicated:
            return
        leaf = leaf_of(*key)
        self.leaves[leaf].discard(key)
        if not self.leaves[leaf]:
            del self.leaves[leaf]

    def expire(self, now: float) -> None:
        """Removes rows past their lifetime. As rows arrive with an age, a few expired ones may stand behind
        younger ones in the order of changes; they are removed only after those."""
        for kind, keys in self.keys_by_age.items():
            while keys and now - self.rows[next(iter(keys))].created_at >= self.rules[kind].lifetime_s:
                self.remove(next(iter(keys)))

    def get(self, kind: RowKind, key: str, writer: str = "") -> Row | None:
        """Returns a row, or None where there is none."""
        stored = self.rows.get((kind, key, writer))
        return stored.row if stored is not None else None

    # --- anti-entropy ------------------------------------------------------------------------------------

    def compared_rows(self, now: float, leaf: Leaf) -> Iterable[StoredRow]:
        """Yields the rows of a leaf that are young enough to be compared."""
        for key in self.leaves.get(leaf, ()):
            stored = self.rows[key]
            if now - stored.created_at < COMPARED_LIFETIME_SHARE * self.rules[key[0]].lifetime_s:
                yield stored

    def child_hashes(self, now: float, bucket: int | None) -> tuple[int, ...]:
        """Returns the hashes of all buckets (`bucket` None), or of one bucket's leaves."""
        while self.comparison_deadlines and self.comparison_deadlines[0].at <= now:
            deadline = heapq.heappop(self.comparison_deadlines)
            if self.compared_hashes.get(deadline.key) == deadline.row_hash:
                self.stop_comparing(deadline.key)
        if bucket is not None:
            return tuple(self.leaf_hashes.get((bucket, leaf), 0) for leaf in range(BUCKETS))
        return tuple(self.bucket_hashes)

    def differing_children(self, now: float, bucket: int | None, theirs: tuple[int, ...]) -> list[int]:
        """Returns the children whose hashes differ from a peer's."""
        if len(theirs) != BUCKETS:
            return []
        ours = self.child_hashes(now, bucket)
        return [child for child in range(BUCKETS) if ours[child] != theirs[child]]
