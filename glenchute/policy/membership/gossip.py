"""Who is sent which rows, and when: pushes of what is new, comparison of copies, catch-up. No I/O.

What is new is passed on a few times by each that it is new to (one in 150 hears nothing of it so, however
many there are, and finds it in a comparison), most urgent kind first, to members drawn at random (rumor
mongering: Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987). Each `compare`
seconds the roots of the hash trees are compared with one member; where they differ, leaves are, and only
rows of leaves that differ are sent. All of it stands under one budget of bytes a second, in good times
and bad, and no message needs one before it: what is lost is found at the next comparison, from any
member, so that a catch-up goes on after a cut or the giver's death wherever it stands.

`known` tells whether this copy can be taken for whole: each bucket of the tree was found to agree with that
of a member whose copy is whole, or of all that are there; or this process is older than a row can get.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from .outgoing import Outgoing
from .replica import BUCKETS, Replica, Row, RowKind, leaf_of

ROW_BYTES = 64  # what a row is reckoned at in the budget
MAX_TRANSMISSIONS = 5
MAX_ROW_HASHES = 600  # rows whose hashes go into one datagram, cut to 32 bits
MAX_ROWS_PER_MESSAGE = 16  # in a message, which thus stays under a datagram's size
SHORT_HASH_MASK = 0xFFFFFFFF
MAX_DIVERGED_MEMBERS = 1_000
MAX_QUEUED_ROWS = 20_000  # rows waiting to be passed on; past this the comparison has to bring them


class Delta(NamedTuple):
    """Rows with their ages in milliseconds."""

    rows: tuple[tuple[Row, int], ...]


class Digest(NamedTuple):
    """Hashes of a level of the tree: the buckets (`bucket` -1), or a bucket's leaves. `known`: the sender's
    copy is whole."""

    bucket: int
    marks: tuple[int, ...]
    known: bool


class RowHashes(NamedTuple):
    """Hashes of all rows that are compared, where they are few. `answer`: the sender wants the receiver's."""

    marks: tuple[int, ...]
    answer: bool


class LeafRequest(NamedTuple):
    """Leaves of a bucket whose rows the sender asks for."""

    bucket: int
    leaves: tuple[int, ...]


class MatchingBuckets(NamedTuple):
    """In these buckets the receiver's copy does not differ from the sender's: the answer to a comparison by
    one whose copy is not whole. What was sent meanwhile may be lost, so only a comparison tells."""

    buckets: tuple[int, ...]
    known: bool


GossipMessage = Delta | Digest | RowHashes | LeafRequest | MatchingBuckets


class ReceivedRow(NamedTuple):
    """A row that came from others, how old it was then, and who passed it on."""

    row: Row
    age_s: float
    sender: str


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """Seconds, and bytes a second."""

    push: float = 0.05
    compare: float = 0.5
    budget: float = 32_768.0


class Gossip:
    """The exchange of one process."""

    def __init__(self, replica: Replica, pace: GossipSettings, rng: random.Random, now: float = 0.0) -> None:
        self.replica, self.pace, self.rng = replica, pace, rng
        self.began = now
        self.known = False
        self.news: dict[tuple[RowKind, str, str], int] = {}  # row: how often it is still to be passed on
        self.owed: dict[str, dict[tuple[int, int], None]] = {}  # member: leaves to be sent, in order
        # While this copy is not whole: with whom each bucket was found to agree.
        self.whole: list[set[str]] = [set() for _ in range(BUCKETS)]
        self.sure: set[str] = set()  # members whose copy is whole, by their word
        self.push_at = self.compare_at = now
        self.allowance = 0.0
        self.allowed_at = now
        self.sent_bytes = self.rows_sent = self.rows_taken = 0
        self.longest = max(rules.life_s for rules in replica.rules.values() if rules.whole)
        # Members whose copy differed at the last comparison: since when, and in how many buckets.
        self.apart: dict[str, tuple[float, int]] = {}
        self.changed: list[ReceivedRow] = []

    def tell(self, now: float, row: Row, size: int) -> None:
        """A word of this process' own."""
        if self.replica.put(now, row):
            self.spread(row, size)

    def spread(self, row: Row, size: int) -> None:
        """A row is new here, and is passed on."""
        if len(self.news) < MAX_QUEUED_ROWS:
            passes = min(MAX_TRANSMISSIONS, 1 + math.ceil(math.log2(size + 1)))
            self.news[row.kind, row.key, row.writer] = passes

    def taken(self) -> list[ReceivedRow]:
        """The rows that came from others since the last call."""
        changed, self.changed = self.changed, []
        return changed

    # --- time --------------------------------------------------------------------------------------------

    def tick(self, now: float, alive: Sequence[str]) -> list[Outgoing[GossipMessage]]:
        """What is due now, within the budget; call it each `push` seconds."""
        fresh = self.pace.budget * (now - self.allowed_at)
        self.allowance = min(self.pace.budget / 4.0, self.allowance + fresh)
        self.allowed_at = now
        if not self.known and (now - self.began >= self.longest or self.complete(alive)):
            self.known = True
        self.owed = {name: leaves for name, leaves in self.owed.items() if leaves and name in alive}
        if not alive:
            return []
        out: list[Outgoing[GossipMessage]] = []
        if now >= self.compare_at:
            # One that has to catch up asks as often as it pushes, of another member each time.
            pause = self.pace.compare * self.rng.uniform(0.8, 1.2) if self.known else self.pace.push
            self.compare_at = now + pause
            marks = self.replica.children(now, None)
            self.give(out, Outgoing(self.compares_with(alive), Digest(-1, marks, self.known)))
        if now >= self.push_at:
            self.push_at = now + self.pace.push
            self.push(now, out, alive)
            while self.owed and self.allowance > 0.0:
                name = next(iter(self.owed))
                self.pay(now, out, name)
        return out

    def push(self, now: float, out: list[Outgoing[GossipMessage]], alive: Sequence[str]) -> None:
        """Passes news on to one member. What restrains is passed on even if nothing seems new, a few rows at
        a time, as a digest that agrees by chance must not hide it."""
        waiting = sorted(self.news, key=lambda at: self.replica.rules[at[0]].urgency)
        if not waiting and (drains := list(self.replica.order[RowKind.SERVER])):
            waiting = self.rng.sample(drains, min(2, len(drains)))
        to = self.rng.choice(alive)
        while waiting and self.allowance > 0.0:
            batch, waiting = waiting[:MAX_ROWS_PER_MESSAGE], waiting[MAX_ROWS_PER_MESSAGE:]
            self.rows(now, out, to, batch)
            for at in batch:
                if at in self.news:
                    self.news[at] -= 1
                    if self.news[at] <= 0:
                        del self.news[at]

    def pay(self, now: float, out: list[Outgoing[GossipMessage]], name: str) -> None:
        """Sends a member some of what it is owed; then the next one is first."""
        leaves = self.owed.pop(name)
        batch: list[tuple[RowKind, str, str]] = []
        while leaves and len(batch) < MAX_ROWS_PER_MESSAGE:
            leaf = next(iter(leaves))
            del leaves[leaf]
            batch += [(h.row.kind, h.row.key, h.row.writer) for h in self.replica.compared(now, leaf)]
        for first in range(0, len(batch), MAX_ROWS_PER_MESSAGE):
            self.rows(now, out, name, batch[first : first + MAX_ROWS_PER_MESSAGE])
        if leaves:
            self.owed[name] = leaves

    def rows(
        self,
        now: float,
        out: list[Outgoing[GossipMessage]],
        to: str,
        places: Sequence[tuple[RowKind, str, str]],
    ) -> None:
        """A message with these rows, as far as they are still held."""
        held = [self.replica.rows[at] for at in places if at in self.replica.rows]
        if held:
            self.rows_sent += len(held)
            self.give(out, Outgoing(to, Delta(tuple((h.row, round(1000.0 * (now - h.made))) for h in held))))

    def give(self, out: list[Outgoing[GossipMessage]], outgoing: Outgoing[GossipMessage]) -> None:
        """Books a message's bytes, roughly, and sends it."""
        body = outgoing.message
        cost = 24 + (ROW_BYTES * len(body.rows) if isinstance(body, Delta) else 0)
        cost += 5 * len(body.marks) if isinstance(body, RowHashes) else 0
        cost += BUCKETS + 8 * (BUCKETS - body.marks.count(0)) if isinstance(body, Digest) else 0
        self.allowance -= cost
        self.sent_bytes += cost
        out.append(outgoing)

    # --- messages ----------------------------------------------------------------------------------------

    def heard(self, now: float, sender: str, body: GossipMessage, size: int) -> list[Outgoing[GossipMessage]]:
        """A member's message, and what is answered at once. Answers that the budget does not allow are left
        out: the member asks again, perhaps another one."""
        out: list[Outgoing[GossipMessage]] = []
        if isinstance(body, Delta):
            for row, age_ms in body.rows[:MAX_ROWS_PER_MESSAGE]:
                if not self.replica.rules[row.kind].copied:
                    self.replica.refused += 1  # its writer alone tells it
                elif self.replica.put(now, row, age_ms / 1000.0, sender):
                    self.rows_taken += 1
                    self.changed.append(ReceivedRow(row, age_ms / 1000.0, sender))
                    self.spread(row, size)
        elif isinstance(body, LeafRequest):
            if 0 <= body.bucket < BUCKETS:
                self.owe(sender, body.bucket, body.leaves)
        elif isinstance(body, MatchingBuckets):
            self.finished(sender, body.buckets[:BUCKETS], body.known)
        elif isinstance(body, RowHashes):
            self.compared(now, sender, body, out)
        elif body.bucket == -1:
            differing = self.replica.differing(now, None, body.marks)
            same = tuple(set(range(BUCKETS)) - set(differing))
            if not differing:
                self.apart.pop(sender, None)
            elif len(self.apart) < MAX_DIVERGED_MEMBERS:
                self.apart[sender] = self.apart.get(sender, (now, 0))[0], len(differing)
            self.finished(sender, same, body.known)
            if not body.known:
                self.give(out, Outgoing(sender, MatchingBuckets(same, self.known)))
            if differing and len(self.replica.counted) <= MAX_ROW_HASHES:
                # So few rows are named one by one for less than the hashes of the buckets that differ.
                if self.allowance > 0.0:
                    self.give(out, Outgoing(sender, RowHashes(self.marks(), True)))
                return out
            for bucket in self.rng.sample(differing, len(differing)):
                if self.allowance <= 0.0:
                    break
                self.give(
                    out, Outgoing(sender, Digest(bucket, self.replica.children(now, bucket), self.known))
                )
        elif 0 <= body.bucket < BUCKETS:
            leaves = self.replica.differing(now, body.bucket, body.marks)
            if leaves:
                self.owe(sender, body.bucket, leaves)
                self.give(out, Outgoing(sender, LeafRequest(body.bucket, tuple(leaves))))
            elif not body.known:
                self.give(out, Outgoing(sender, MatchingBuckets((body.bucket,), self.known)))
        return out

    # --- whether this copy is whole ----------------------------------------------------------------------

    def finished(self, sender: str, buckets: Sequence[int], known: bool) -> None:
        """A member's copy agrees with this one in these buckets."""
        if known:
            self.sure.add(sender)
        else:
            self.sure.discard(sender)
        if not self.known:
            for bucket in buckets:
                if 0 <= bucket < BUCKETS:
                    self.whole[bucket].add(sender)

    def complete(self, alive: Sequence[str]) -> bool:
        """Whether each bucket was found to agree with one of a whole copy, or with all that there are: what
        none of them has died with its writers."""
        everyone = set(alive)
        return bool(alive) and all(have & self.sure or have >= everyone for have in self.whole)

    def compares_with(self, alive: Sequence[str]) -> str:
        """Whom to compare with: anybody; while this copy is not whole, one whose copy is, or a new one."""
        if not self.known:
            better = [name for name in alive if name in self.sure]
            lacking = [name for name in alive if any(name not in have for have in self.whole)]
            alive = better or lacking or alive
        return self.rng.choice(alive)

    def marks(self) -> tuple[int, ...]:
        """The hashes of all rows that are compared."""
        return tuple(mark & SHORT_HASH_MASK for mark in self.replica.counted.values())

    def compared(self, now: float, sender: str, body: RowHashes, out: list[Outgoing[GossipMessage]]) -> None:
        """Owes a member the rows that it does not name. Two rows whose cut hashes are the same are taken for
        one, once in 2^32 pairs: the comparison of buckets goes by the whole ones."""
        if body.answer and self.allowance > 0.0 and len(self.replica.counted) <= MAX_ROW_HASHES:
            self.give(out, Outgoing(sender, RowHashes(self.marks(), False)))
        theirs = set(body.marks)
        for at, mark in self.replica.counted.items():
            if mark & SHORT_HASH_MASK not in theirs:
                bucket, leaf = leaf_of(*at)
                self.owe(sender, bucket, (leaf,))

    def owe(self, name: str, bucket: int, leaves: Sequence[int]) -> None:
        """Leaves that a member is to be sent; each once, so no more than the tree has."""
        mine = self.owed.setdefault(name, {})
        for leaf in leaves[:BUCKETS]:
            if 0 <= leaf < BUCKETS:
                mine[bucket, leaf] = None
