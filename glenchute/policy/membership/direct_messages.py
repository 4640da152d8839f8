"""What each process let in, told straight to those whom it may concern. No I/O; seconds by one clock.

An account's requests come through its set alone: `spread` gateways in a row, by number, counted round. So
use goes from its writer to the members that may share a set with it, once each and by nobody else (direct
mail: Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987): at once, then to that
member once in `PUSH_S` at most, and of that account once in `GAP_S` for each gateway of its set. Of the set a
request tells the size only, so use is told to all within that distance, until words of the others on the same
account show where the set lies.

Mail may be lost, so each way between two members has serial numbers, and each message says whether it is all
that the sender has to say by now. Who finds a number missing, or hears nothing for a while, asks, and is sent
all that is still of use. A member is known (`known`) while its last word was such a whole one, not long ago;
what a member whose budget does not suffice, or the way from whom is cut, lets in is thus not taken for known,
however alive others say it is. All of it stands under one budget of bytes a second, in good times and bad.

Wrong numbers of members cost quality, not a rule: a gateway then hears those that do not share the account,
and takes the others for idle, so with the counter mute each lets in up to the whole quota; the audit of use
tells of it. A shift of all numbers does no harm, and without numbers all are told.
"""

from __future__ import annotations

import random
import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from .outgoing import Outgoing
from .replica import Replica, Row, RowKind
from .usage import AccountUsage

MIN_PUSH_INTERVAL_S = 0.1  # a member is sent news at once, and then no sooner than this
ACCOUNT_INTERVAL_PER_GATEWAY_S = 0.02  # ... and an account again after this for each gateway of its set
REQUEST_INTERVAL_S = 0.5  # a member is asked so often at most ...
MAX_REQUESTS_PER_S = 16.0  # ... and so many in a second
MAX_MISSED_REQUESTS = (
    3.0  # pauses between asks after which a member that said nothing whole is no longer known
)
MAX_ENTRIES_PER_MESSAGE = 64  # in a message
ENTRY_BYTES, HEADER_BYTES = 18, 48  # what they are reckoned at in the budget
MAX_PENDING_ENTRIES = 20_000  # words waiting to be sent, all members together
MAX_REPORTED_WINDOWS = 8_000  # windows of this process that others have to know
MIN_SUBSET_SIZE = 8  # so large a set is kept up with before any request has come
TRAILING_DIGITS = re.compile(r"[0-9]+\Z", re.ASCII)
At = tuple[RowKind, str, str]


class UsageEntry(NamedTuple):
    """Use of a window: `boot` 0: the sender's own; else that of a process that had the receiver's name."""

    key: str
    version: int
    units: float
    boot: int = 0


class UsageMessage(NamedTuple):
    """Words to one member. `first`: nothing before counts; `whole`: all that the sender has to say by now."""

    serial: int
    is_first: bool
    is_complete: bool
    entries: tuple[UsageEntry, ...]


class UsageRequest(NamedTuple):
    """The sender has the receiver's mail up to this serial number; -1: it lacks some, or all."""

    serial: int


DirectMessage = UsageMessage | UsageRequest


@dataclass(slots=True)
class PeerChannel:
    """Mail to a member, and from it."""

    sent_serial: int  # the last serial number used
    sent_at: float = -1e9
    next_push_at: float = -1e9  # from when on it may be sent news
    restarts_sequence: bool = True  # the next message is the first of a row
    resynced_at: float = -1e9  # when it was last sent all anew
    peer_boot: int = -1  # of the process that is heard
    received_serial: int = -1  # its last number, all before having come; -1: some have not
    complete_at: float = -1e9
    next_request_at: float = -1e9


def gateway_numbers(rows: Mapping[str, int | None]) -> dict[str, int] | None:
    """Members' numbers by name: as stated, else the digits at the name's end. None where one has none, or two
    have the same: then any two may share a set."""
    found: dict[str, int] = {}
    for name, stated in rows.items():
        digits = TRAILING_DIGITS.search(name)
        if stated is None and digits is None:
            return None
        found[name] = stated if stated is not None else int(digits[0][-9:]) if digits else 0
    return found if len(set(found.values())) == len(found) else None


class GatewayRing:
    """The members by their distance from this one."""

    def __init__(
        self, name: str, members: Sequence[str], numbers: dict[str, int] | None, gateways: int
    ) -> None:  # fmt: skip
        self.gateway_count = max(gateways, 1)
        self.members = tuple(other for other in members if other != name)
        self.offsets: dict[str, int] = {}  # how far on each is
        if numbers is not None:
            own = numbers[name]
            self.offsets = {other: (numbers[other] - own) % self.gateway_count for other in self.members}
            if 0 in self.offsets.values() or len(set(self.offsets.values())) < len(self.offsets):
                self.offsets = {}  # more numbers than gateways
        self.member_at = {step: other for other, step in self.offsets.items()}
        self.range_cache: dict[tuple[int, int], tuple[str, ...]] = {}

    def subset_candidates(self, spread: int, seen: Sequence[str] = ()) -> tuple[str, ...]:
        """Members that may share a set of so many with this one, and with these that are in it."""
        if not self.offsets or 2 * spread > self.gateway_count:
            return self.members if spread > 1 else ()
        low = high = 0
        for name in seen:
            step = self.offsets.get(name, 0)
            step -= self.gateway_count if 2 * step > self.gateway_count else 0
            low, high = min(low, step), max(high, step)
        if high - low >= spread:
            low = high = 0  # not of one set: nothing is known of where it lies
        return self.members_between(high - spread + 1, low + spread - 1)

    def members_between(self, first: int, last: int) -> tuple[str, ...]:
        """Members from one distance to another, negative ones before this one."""
        found = self.range_cache.get((first, last))
        if found is None:
            if len(self.range_cache) > 256:
                self.range_cache.clear()
            steps = [step % self.gateway_count for step in range(first, last + 1)]
            found = self.range_cache[first, last] = tuple(
                self.member_at[step] for step in steps if step in self.member_at
            )
        return found

    def expected_candidates(self, spread: int) -> int:
        """How many gateways `near` has to name for so large a set, were all of them members."""
        whole = self.gateway_count - 1
        return whole if not self.offsets else min(whole, 2 * (spread - 1))


class DirectMessenger:
    """The mail of one process. `there`: whether a member takes part, by the probes."""

    def __init__(
        self,
        use: AccountUsage,
        replica: Replica,
        ring: GatewayRing,
        there: Callable[[str], bool],
        rng: random.Random,
        now: float = 0.0,
        budget: float = 6_144.0,
    ) -> None:
        """`budget` in bytes a second."""
        self.usage, self.replica, self.ring, self.is_alive, self.rng = use, replica, ring, there, rng
        self.budget_bytes_per_s = budget
        self.channels: dict[str, PeerChannel] = {}
        self.reported_windows: dict[
            str, None
        ] = {}  # own windows that others have to know, by their last change
        self.changed_windows: dict[
            str, float
        ] = {}  # ... that changed since they were handed out, and when they may be
        self.next_report_at: dict[str, float] = {}  # ... that were handed out, and when they may be again
        self.pending: dict[str, dict[At, None]] = {}  # by member, what it is to be sent
        self.pending_count = 0
        self.known_counts: dict[int, int] = {}  # by size of a set, others known; good until the next tick
        self.widest_subset = min(MIN_SUBSET_SIZE, ring.gateway_count)
        self.byte_allowance, self.allowance_at = 0.0, now
        self.request_round: list[str] = []
        self.last_request_at = now
        self.sent_bytes = self.entries_sent = self.dropped_batches = 0

    # --- what this process lets in -----------------------------------------------------------------------

    def report(self, now: float, row: Row) -> None:
        """This process' own row of use has changed."""
        if self.usage.must_report(row.key):
            self.replica.merge(now, row)
            self.reported_windows.pop(row.key, None)
            self.reported_windows[row.key] = None
            if len(self.reported_windows) > MAX_REPORTED_WINDOWS:
                del self.reported_windows[next(iter(self.reported_windows))]
            self.changed_windows.setdefault(row.key, self.next_report_at.get(row.key, now))

    def recipients(self, key: str) -> tuple[str, ...]:
        """Who is told of a window of this process."""
        own = self.usage.own.get(key)
        if own is None:
            return ()
        writers = [
            *self.usage.units_by_writer.get(key, ()),
            *self.usage.units_by_writer.get(own.previous_key, ()),
        ]
        return self.ring.subset_candidates(
            own.gateway_spread, [writer.partition("#")[0] for writer in writers]
        )

    def channel(self, name: str) -> PeerChannel:
        """The way to a member. Numbers begin anywhere, so that a process is not taken for the one before."""
        way = self.channels.get(name)
        if way is None:
            way = self.channels[name] = PeerChannel(self.rng.getrandbits(24))
        return way

    def queue_row(self, name: str, at: At) -> None:
        """A member is to be sent a row. Past the bound its mail begins anew, when it asks."""
        mine = self.pending.setdefault(name, {})
        if at not in mine:
            mine[at] = None
            self.pending_count += 1
        if self.pending_count > MAX_PENDING_ENTRIES:
            self.drop_pending(name)

    def drop_pending(self, name: str) -> None:
        """What a member was to be sent is not sent: it will find a number missing."""
        self.pending_count -= len(self.pending.pop(name))
        self.dropped_batches += 1
        self.channel(name).sent_serial += 1

    # --- time --------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Outgoing[DirectMessage]]:
        """What is due now, within the budget."""
        self.byte_allowance = min(
            self.budget_bytes_per_s / 4.0,
            self.byte_allowance + self.budget_bytes_per_s * (now - self.allowance_at),
        )
        self.allowance_at = now
        self.known_counts.clear()
        out: list[Outgoing[DirectMessage]] = []
        self.queue_changed_windows(now)
        for name in list(self.pending):
            if self.byte_allowance <= 0.0:
                break
            if not self.is_alive(name):
                self.drop_pending(name)
            elif now >= self.channel(name).next_push_at:
                self.send_pending(now, out, name)
        self.send_requests(now, out)
        return out

    def queue_changed_windows(self, now: float) -> None:
        """Changed windows, to those whom they concern."""
        for key in [key for key, due in self.changed_windows.items() if due <= now]:
            del self.changed_windows[key]
            own = self.usage.own.get(key)
            if own is None:
                continue
            for name in self.recipients(key):
                self.queue_row(name, (RowKind.USE, key, self.usage.writer))
            self.next_report_at.pop(key, None)
            self.next_report_at[key] = now + ACCOUNT_INTERVAL_PER_GATEWAY_S * own.gateway_spread
        while self.next_report_at and self.next_report_at[next(iter(self.next_report_at))] <= now:
            del self.next_report_at[next(iter(self.next_report_at))]

    def send_pending(self, now: float, out: list[Outgoing[DirectMessage]], name: str) -> None:
        """The next message to a member; then others are first."""
        way, mine = self.channel(name), self.pending.pop(name, {})
        words: list[UsageEntry] = []
        while mine and len(words) < MAX_ENTRIES_PER_MESSAGE:
            at = next(iter(mine))
            del mine[at]
            self.pending_count -= 1
            held = self.replica.rows.get(at)
            if held is not None:
                boot = 0 if at[2] == self.usage.writer else int(at[2].rpartition("#")[2], 16)
                words.append(UsageEntry(at[1], held.row.version, held.row.value, boot))
        if mine:
            self.pending[name] = mine
        way.sent_serial, way.sent_at, way.next_push_at = way.sent_serial + 1, now, now + MIN_PUSH_INTERVAL_S
        first, way.restarts_sequence = way.restarts_sequence, False
        self.entries_sent += len(words)
        self.emit(out, Outgoing(name, UsageMessage(way.sent_serial, first, not mine, tuple(words))))

    def send_requests(self, now: float, out: list[Outgoing[DirectMessage]]) -> None:
        """Asks members that may share a set in use, each in its turn, and at once where mail is missing."""
        while self.byte_allowance > 0.0 and now - self.last_request_at >= 1.0 / MAX_REQUESTS_PER_S:
            self.last_request_at = max(self.last_request_at + 1.0 / MAX_REQUESTS_PER_S, now - 0.25)
            if not self.request_round:
                self.request_round = list(self.ring.subset_candidates(self.widest_subset))
                self.rng.shuffle(self.request_round)
            for _ in range(len(self.request_round)):
                name = self.request_round.pop()
                way = self.channel(name)
                if self.is_alive(name) and now >= way.next_request_at:
                    way.next_request_at = now + REQUEST_INTERVAL_S
                    self.emit(out, Outgoing(name, UsageRequest(way.received_serial)))
                    break

    def emit(
        self,
        out: list[Outgoing[DirectMessage]],
        outgoing: Outgoing[DirectMessage],
    ) -> None:
        """Books a message's bytes, roughly, and sends it."""
        cost = HEADER_BYTES + (
            ENTRY_BYTES * len(outgoing.message.entries) if isinstance(outgoing.message, UsageMessage) else 0
        )
        self.byte_allowance -= cost
        self.sent_bytes += cost
        out.append(outgoing)

    # --- messages ----------------------------------------------------------------------------------------

    def receive(
        self, now: float, sender: str, boot: int, body: DirectMessage
    ) -> list[Outgoing[DirectMessage]]:
        """A member's message, and what is answered at once."""
        out: list[Outgoing[DirectMessage]] = []
        way = self.channel(sender)
        if isinstance(body, UsageRequest):
            self.answer_request(now, out, sender, way, body.serial)
            return out
        for word in body.entries[:MAX_ENTRIES_PER_MESSAGE]:
            own_name = self.usage.writer.rpartition("#")[0]
            writer = f"{own_name}#{word.boot:x}" if word.boot else f"{sender}#{boot:x}"
            row = Row(RowKind.USE, word.key, writer, word.version, word.units)
            if writer != self.usage.writer and self.replica.merge(now, row, sender=sender):
                self.usage.receive(row)
                if word.key not in self.reported_windows and self.usage.must_report(word.key):
                    self.report(now, self.usage.row_for(word.key, self.usage.own[word.key]))
        if boot != way.peer_boot:
            way.peer_boot, way.received_serial = boot, -1
        if body.is_first or (way.received_serial >= 0 and body.serial == way.received_serial + 1):
            way.received_serial = body.serial
        elif body.serial != way.received_serial:
            if way.received_serial >= 0 and len(self.request_round) <= 2 * len(self.ring.members):
                way.next_request_at = -1e9
                self.request_round.append(sender)  # the next to be asked
            way.received_serial = -1
        if body.is_complete and way.received_serial == body.serial:
            way.complete_at = now
        return out

    def answer_request(
        self,
        now: float,
        out: list[Outgoing[DirectMessage]],
        name: str,
        way: PeerChannel,
        serial: int,
    ) -> None:
        """What a member that asks is told: that there is nothing new, or all anew. While mail to it is on its
        way, nothing; answers that the budget does not allow are left out."""
        busy = name in self.pending or now - way.sent_at < 2.0 * MIN_PUSH_INTERVAL_S
        if self.byte_allowance <= 0.0 or (busy and serial >= 0):
            return
        if serial == way.sent_serial and not way.restarts_sequence:
            way.sent_at = now
            self.emit(out, Outgoing(name, UsageMessage(way.sent_serial, False, True, ())))
        elif now - way.resynced_at >= REQUEST_INTERVAL_S / 2.0:
            way.resynced_at, way.restarts_sequence = now, True
            for key in self.reported_windows:
                if name in self.recipients(key):
                    self.queue_row(name, (RowKind.USE, key, self.usage.writer))
            if serial < 0:  # it may have begun anew: what was let in under its name is nobody else's to tell
                for at in self.replica.keys_by_age[RowKind.USE]:
                    if at[2].rpartition("#")[0] == name:
                        self.queue_row(name, at)
            self.send_pending(now, out, name)

    # --- what is known -----------------------------------------------------------------------------------

    def expire(self) -> None:
        """Forgets windows whose rows have gone."""
        while (
            self.reported_windows
            and (RowKind.USE, next(iter(self.reported_windows)), self.usage.writer) not in self.replica.rows
        ):
            del self.reported_windows[next(iter(self.reported_windows))]

    def known_gateways(self, now: float, spread: int) -> int:
        """Of a set's other gateways, how many are known for certain by all that they have let in."""
        spread = min(spread, self.ring.gateway_count)
        if spread > self.widest_subset:
            self.widest_subset = spread
            self.request_round.clear()
        found = self.known_counts.get(spread)
        if found is None:
            near = self.ring.subset_candidates(spread)
            since = now - MAX_MISSED_REQUESTS * max(
                REQUEST_INTERVAL_S, len(self.ring.subset_candidates(self.widest_subset)) / MAX_REQUESTS_PER_S
            )
            sure = sum(self.is_alive(name) and self.channel(name).complete_at >= since for name in near)
            missing = self.ring.expected_candidates(spread) - sure
            found = self.known_counts[spread] = max(0, spread - 1 - missing)
        return found
