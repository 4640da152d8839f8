"""Dissemination of replicated rows: rumor mongering for new rows, anti-entropy for all others. No I/O.

A new row is pushed a few times by each member that it is new to, most urgent kind first, to members chosen
at random (one in 150 members, however many there are, misses it and gets it by anti-entropy; Demers et al.,
"Epidemic Algorithms for Replicated Database Maintenance", 1987). Each `compare_interval_s` the digest of the
hash tree's buckets is compared with that of one member; where buckets differ, their leaves are compared, and
only rows of differing leaves are sent. All of it shares one budget of bytes per second, with or without
faults, and no message depends on an earlier one: the next comparison, with any member, finds what was lost,
so that catching up continues after a partition or the death of the sending member.

`is_complete` is set once this replica has every required row: each bucket of the tree was found to match that
of a member whose replica is complete, or of all members that are alive; or this process has run for longer
than any required row lives.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from .outgoing import Outgoing
from .replica import BUCKETS, Leaf, Replica, Row, RowKey, RowKind, leaf_of

MESSAGE_BYTES, ROW_BYTES = 24, 64  # sizes charged to the budget for a message and for each row
ROW_HASH_BYTES, TREE_HASH_BYTES = 5, 8  # sizes charged for each row hash and tree hash
MAX_TRANSMISSIONS = 5  # transmissions of a new row by one member
MAX_ROW_HASHES = 600  # in one message; replicas with no more rows are compared row by row
MAX_ROWS_PER_MESSAGE = 16  # keeps a message within a datagram
SHORT_HASH_MASK = 0xFFFFFFFF  # the 32 bits of a row's hash that are sent
MAX_DIVERGED_MEMBERS = 1_000
MAX_QUEUED_ROWS = 20_000  # further new rows are left to anti-entropy
ALLOWANCE_DIVISOR = 4.0  # the unused budget of at most 1/4 s accumulates
REPEATED_DRAINS = 2  # drain rows pushed when there are no new rows
ALL_BUCKETS = -1  # `Digest.bucket` of a digest of the buckets themselves


class Delta(NamedTuple):
    """Replicated rows, each with its age in milliseconds."""

    rows: tuple[tuple[Row, int], ...]


class Digest(NamedTuple):
    """Hashes of one level of the tree: of all buckets (`bucket` is `ALL_BUCKETS`), or of a bucket's leaves.
    `is_complete`: the sender's replica is complete."""

    bucket: int
    hashes: tuple[int, ...]
    is_complete: bool


class RowHashes(NamedTuple):
    """Short hashes of all compared rows, sent where these are few. `wants_reply`: the sender asks for the
    receiver's hashes."""

    hashes: tuple[int, ...]
    wants_reply: bool


class LeafRequest(NamedTuple):
    """A request for the rows of these leaves of a bucket."""

    bucket: int
    leaves: tuple[int, ...]


class MatchingBuckets(NamedTuple):
    """Buckets in which the receiver's replica matches the sender's: the answer to a digest from a member
    whose replica is incomplete. Rows sent meanwhile may be lost, so only a comparison proves a match."""

    buckets: tuple[int, ...]
    is_complete: bool


GossipMessage = Delta | Digest | RowHashes | LeafRequest | MatchingBuckets
Outbox = list[Outgoing[GossipMessage]]


class ReceivedRow(NamedTuple):
    """A row that was new to this replica, its age on receipt, and the member that sent it."""

    row: Row
    age_s: float
    sender: str


class Divergence(NamedTuple):
    """The state of a member whose replica differed at the last comparison: since when it has differed, and in
    how many buckets."""

    since: float
    bucket_count: int


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """Intervals and the budget for everything that gossip sends."""

    push_interval_s: float = 0.05
    compare_interval_s: float = 0.5
    budget_bytes_per_s: float = 32_768.0


class Gossip:
    """The gossip state of one process."""

    def __init__(
        self, replica: Replica, settings: GossipSettings, rng: random.Random, now: float = 0.0
    ) -> None:
        self.replica, self.settings, self.rng = replica, settings, rng
        self.started_at = now
        self.is_complete = False
        self.transmissions_left: dict[RowKey, int] = {}
        self.pending_leaves: dict[str, dict[Leaf, None]] = {}  # leaves to send, by member, in order
        # By bucket, the members that it was found to match; kept until this replica is complete.
        self.matching_members: list[set[str]] = [set() for _ in range(BUCKETS)]
        self.complete_members: set[str] = set()  # members that reported a complete replica
        self.push_at = self.compare_at = now
        self.byte_allowance = 0.0
        self.allowance_at = now
        self.sent_bytes = self.rows_sent = self.rows_merged = 0
        self.max_lifetime_s = max(rules.lifetime_s for rules in replica.rules.values() if rules.is_required)
        self.diverged: dict[str, Divergence] = {}
        self.received_rows: list[ReceivedRow] = []

    def publish(self, now: float, row: Row, member_count: int) -> None:
        """Stores and queues a row written by this process. `member_count`: the number of members."""
        if self.replica.merge(now, row):
            self.queue_row(row, member_count)

    def queue_row(self, row: Row, member_count: int) -> None:
        """Queues a row that is new to this replica for pushing."""
        if len(self.transmissions_left) < MAX_QUEUED_ROWS:
            transmissions = min(MAX_TRANSMISSIONS, 1 + math.ceil(math.log2(member_count + 1)))
            self.transmissions_left[row.kind, row.key, row.writer] = transmissions

    def take_received(self) -> list[ReceivedRow]:
        """Returns the rows received from members since the last call."""
        received, self.received_rows = self.received_rows, []
        return received

    # --- timer -------------------------------------------------------------------------------------------

    def tick(self, now: float, alive: Sequence[str]) -> Outbox:
        """Returns the messages that are due, within the budget; to be called every `push_interval_s`."""
        self.refill_allowance(now)
        self.update_completeness(now, alive)
        self.pending_leaves = {
            name: leaves for name, leaves in self.pending_leaves.items() if leaves and name in alive
        }
        if not alive:
            return []
        out: Outbox = []
        if now >= self.compare_at:
            self.compare_at = now + self.next_comparison_s()
            hashes = self.replica.child_hashes(now, None)
            digest = Digest(ALL_BUCKETS, hashes, self.is_complete)
            self.send(out, Outgoing(self.comparison_peer(alive), digest))
        if now >= self.push_at:
            self.push_at = now + self.settings.push_interval_s
            self.push(now, out, alive)
            while self.pending_leaves and self.byte_allowance > 0.0:
                name = next(iter(self.pending_leaves))
                self.send_pending(now, out, name)
        return out

    def refill_allowance(self, now: float) -> None:
        """Adds the budget of the time since the last call to the allowance, up to a bound."""
        budget = self.settings.budget_bytes_per_s
        refill = budget * (now - self.allowance_at)
        self.byte_allowance = min(budget / ALLOWANCE_DIVISOR, self.byte_allowance + refill)
        self.allowance_at = now

    def update_completeness(self, now: float, alive: Sequence[str]) -> None:
        """Marks this replica complete once comparisons have proven it, or no older row can exist."""
        if self.is_complete:
            return
        is_older_than_rows = now - self.started_at >= self.max_lifetime_s
        if is_older_than_rows or self.has_matched_all(alive):
            self.is_complete = True

    def next_comparison_s(self) -> float:
        """Returns the time to the next comparison; an incomplete replica compares as often as it pushes."""
        if not self.is_complete:
            return self.settings.push_interval_s
        return self.settings.compare_interval_s * self.rng.uniform(0.8, 1.2)

    def push(self, now: float, out: Outbox, alive: Sequence[str]) -> None:
        """Pushes new rows to one member. Where there are none, repeats a few drains, so that digests that
        match by chance can't hide one."""
        queue = sorted(self.transmissions_left, key=lambda key: self.replica.rules[key[0]].urgency)
        if not queue and (drains := list(self.replica.keys_by_age[RowKind.SERVER])):
            queue = self.rng.sample(drains, min(REPEATED_DRAINS, len(drains)))
        to = self.rng.choice(alive)
        while queue and self.byte_allowance > 0.0:
            batch, queue = queue[:MAX_ROWS_PER_MESSAGE], queue[MAX_ROWS_PER_MESSAGE:]
            self.send_rows(now, out, to, batch)
            for key in batch:
                if key in self.transmissions_left:
                    self.transmissions_left[key] -= 1
                    if self.transmissions_left[key] <= 0:
                        del self.transmissions_left[key]

    def send_pending(self, now: float, out: Outbox, name: str) -> None:
        """Sends a member the rows of some of its pending leaves and moves it to the end of the queue."""
        leaves = self.pending_leaves.pop(name)
        batch: list[RowKey] = []
        while leaves and len(batch) < MAX_ROWS_PER_MESSAGE:
            leaf = next(iter(leaves))
            del leaves[leaf]
            stored_rows = self.replica.compared_rows(now, leaf)
            batch += [(stored.row.kind, stored.row.key, stored.row.writer) for stored in stored_rows]
        for first in range(0, len(batch), MAX_ROWS_PER_MESSAGE):
            self.send_rows(now, out, name, batch[first : first + MAX_ROWS_PER_MESSAGE])
        if leaves:
            self.pending_leaves[name] = leaves

    def send_rows(self, now: float, out: Outbox, to: str, keys: Sequence[RowKey]) -> None:
        """Sends those of these rows that are still stored."""
        stored_rows = [self.replica.rows[key] for key in keys if key in self.replica.rows]
        if stored_rows:
            self.rows_sent += len(stored_rows)
            rows = tuple((stored.row, round(1000.0 * (now - stored.created_at))) for stored in stored_rows)
            self.send(out, Outgoing(to, Delta(rows)))

    def send(self, out: Outbox, outgoing: Outgoing[GossipMessage]) -> None:
        """Sends a message and deducts its approximate size from the allowance."""
        message, cost = outgoing.message, MESSAGE_BYTES
        if isinstance(message, Delta):
            cost += ROW_BYTES * len(message.rows)
        elif isinstance(message, RowHashes):
            cost += ROW_HASH_BYTES * len(message.hashes)
        elif isinstance(message, Digest):
            cost += BUCKETS + TREE_HASH_BYTES * (BUCKETS - message.hashes.count(0))
        self.byte_allowance -= cost
        self.sent_bytes += cost
        out.append(outgoing)

    # --- messages ----------------------------------------------------------------------------------------

    def receive(self, now: float, sender: str, message: GossipMessage, member_count: int) -> Outbox:
        """Handles a member's message and returns the answers. `member_count`: the number of members. Answers
        beyond the budget are left out; the member asks again later, perhaps another member."""
        out: Outbox = []
        if isinstance(message, Delta):
            self.receive_delta(now, sender, message, member_count)
        elif isinstance(message, LeafRequest):
            if 0 <= message.bucket < BUCKETS:
                self.queue_leaves(sender, message.bucket, message.leaves)
        elif isinstance(message, MatchingBuckets):
            self.note_matching(sender, message.buckets[:BUCKETS], message.is_complete)
        elif isinstance(message, RowHashes):
            self.queue_missing_rows(sender, message, out)
        elif message.bucket == ALL_BUCKETS:
            self.receive_bucket_digest(now, sender, message, out)
        elif 0 <= message.bucket < BUCKETS:
            self.receive_leaf_digest(now, sender, message, out)
        return out

    def receive_delta(self, now: float, sender: str, delta: Delta, member_count: int) -> None:
        """Merges rows, and queues those that are new to this replica for pushing."""
        for row, age_ms in delta.rows[:MAX_ROWS_PER_MESSAGE]:
            if not self.replica.rules[row.kind].is_replicated:
                self.replica.rejected_count += 1  # such a row is accepted from its writer only, not by gossip
            elif self.replica.merge(now, row, age_ms / 1000.0, sender):
                self.rows_merged += 1
                self.received_rows.append(ReceivedRow(row, age_ms / 1000.0, sender))
                self.queue_row(row, member_count)

    def receive_bucket_digest(self, now: float, sender: str, digest: Digest, out: Outbox) -> None:
        """Compares the hashes of all buckets, and continues with the buckets that differ."""
        differing = self.replica.differing_children(now, None, digest.hashes)
        matching = tuple(set(range(BUCKETS)) - set(differing))
        if not differing:
            self.diverged.pop(sender, None)
        elif len(self.diverged) < MAX_DIVERGED_MEMBERS:
            before = self.diverged.get(sender)
            self.diverged[sender] = Divergence(before.since if before else now, len(differing))
        self.note_matching(sender, matching, digest.is_complete)
        if not digest.is_complete:
            self.send(out, Outgoing(sender, MatchingBuckets(matching, self.is_complete)))
        if differing and len(self.replica.compared_hashes) <= MAX_ROW_HASHES:
            # Few rows are cheaper to compare one by one than by the hashes of differing buckets.
            if self.byte_allowance > 0.0:
                self.send(out, Outgoing(sender, RowHashes(self.row_hashes(), True)))
            return
        for bucket in self.rng.sample(differing, len(differing)):
            if self.byte_allowance <= 0.0:
                break
            leaf_digest = Digest(bucket, self.replica.child_hashes(now, bucket), self.is_complete)
            self.send(out, Outgoing(sender, leaf_digest))

    def receive_leaf_digest(self, now: float, sender: str, digest: Digest, out: Outbox) -> None:
        """Compares the hashes of one bucket's leaves; the rows of leaves that differ are exchanged."""
        leaves = self.replica.differing_children(now, digest.bucket, digest.hashes)
        if leaves:
            self.queue_leaves(sender, digest.bucket, leaves)
            self.send(out, Outgoing(sender, LeafRequest(digest.bucket, tuple(leaves))))
        elif not digest.is_complete:
            self.send(out, Outgoing(sender, MatchingBuckets((digest.bucket,), self.is_complete)))

    # --- completeness ------------------------------------------------------------------------------------

    def note_matching(self, sender: str, buckets: Sequence[int], is_complete: bool) -> None:
        """Records that a member's replica, complete or not, matches this one in these buckets."""
        if is_complete:
            self.complete_members.add(sender)
        else:
            self.complete_members.discard(sender)
        if not self.is_complete:
            for bucket in buckets:
                if 0 <= bucket < BUCKETS:
                    self.matching_members[bucket].add(sender)

    def has_matched_all(self, alive: Sequence[str]) -> bool:
        """Returns whether each bucket was found to match a complete replica, or the replicas of all members
        that are alive: a row that none of those has was lost with the processes that had it."""
        everyone = set(alive)
        return bool(alive) and all(
            matching & self.complete_members or matching >= everyone for matching in self.matching_members
        )

    def comparison_peer(self, alive: Sequence[str]) -> str:
        """Returns a random member to compare with. An incomplete replica prefers complete members, then
        members whose buckets were not all found to match."""
        if not self.is_complete:
            complete = [name for name in alive if name in self.complete_members]
            unmatched = [
                name for name in alive if any(name not in matching for matching in self.matching_members)
            ]
            alive = complete or unmatched or alive
        return self.rng.choice(alive)

    def row_hashes(self) -> tuple[int, ...]:
        """Returns the short hashes of all compared rows."""
        return tuple(row_hash & SHORT_HASH_MASK for row_hash in self.replica.compared_hashes.values())

    def queue_missing_rows(self, sender: str, message: RowHashes, out: Outbox) -> None:
        """Queues the rows missing from a member's hashes. Short hashes of two rows collide once in 2^32
        pairs; the comparison of buckets uses full hashes and finds such a row."""
        has_few_rows = len(self.replica.compared_hashes) <= MAX_ROW_HASHES
        if message.wants_reply and self.byte_allowance > 0.0 and has_few_rows:
            self.send(out, Outgoing(sender, RowHashes(self.row_hashes(), False)))
        theirs = set(message.hashes)
        for key, row_hash in self.replica.compared_hashes.items():
            if row_hash & SHORT_HASH_MASK not in theirs:
                bucket, leaf = leaf_of(*key)
                self.queue_leaves(sender, bucket, (leaf,))

    def queue_leaves(self, name: str, bucket: int, leaves: Sequence[int]) -> None:
        """Queues leaves whose rows a member is to be sent; each once, so the size of the tree bounds
        the queue."""
        pending = self.pending_leaves.setdefault(name, {})
        for leaf in leaves[:BUCKETS]:
            if 0 <= leaf < BUCKETS:
                pending[bucket, leaf] = None
