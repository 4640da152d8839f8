"""Usage sent directly to the members that may need it (direct mail). No I/O; times are seconds of one clock.

The writer of a usage row, and no other member, sends it to each member that may share the account's subset
(`gateway_ring`; Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987). The first
change is sent at once. Later ones wait until `MIN_PUSH_INTERVAL_S` has passed since the last message to that
member, and `ACCOUNT_INTERVAL_PER_GATEWAY_S` times the subset's size since the last report on that account.
Rows go to all candidates until the others' reports on the same account show the subset's position.

Messages may be lost, so each direction between two members has serial numbers, and each message states
whether it completes all that the sender has to report so far. A member that finds a number missing, or
receives nothing for a while, sends a request, and is sent all rows that still matter. A member's usage counts
as known while its last message was a complete and recent one. So the usage of a member whose budget does not
suffice, or that is partitioned from this one, does not count as known, even if others report it alive. All
messages share one budget of bytes per second, with or without faults.

Wrong member numbers degrade accuracy but break no guarantee: a gateway then receives usage from members that
do not share the account, and takes those that do for idle. So with the counter unavailable each admits up to
the whole quota; the usage audit reports it. Numbers that are all shifted alike do no harm, and without
numbers usage goes to all members.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from .gateway_ring import GatewayRing
from .outgoing import Outgoing
from .replica import Replica, Row, RowKey, RowKind
from .usage import AccountUsage

MIN_PUSH_INTERVAL_S = 0.1  # time between messages to one member
ACCOUNT_INTERVAL_PER_GATEWAY_S = 0.02  # time between reports on one account, per gateway of its subset
REQUEST_INTERVAL_S = 0.5  # time between requests to one member
MAX_REQUESTS_PER_S = 16.0  # rate of requests to all members together
MAX_MISSED_REQUESTS = 3.0  # request intervals without a complete message after which usage is unknown
MAX_REQUEST_BACKLOG_S = 0.25  # largest backlog of requests that the budget delays; the rest is skipped
MAX_ENTRIES_PER_MESSAGE = 64
ENTRY_BYTES, HEADER_BYTES = 18, 48  # sizes charged to the budget for an entry and a header
ALLOWANCE_DIVISOR = 4.0  # the unused budget of at most 1/4 s accumulates
MAX_PENDING_ENTRIES = 20_000  # pending entries for all members together
MAX_REPORTED_WINDOWS = 8_000
MIN_SUBSET_SIZE = 8  # members of a subset of this size are asked before a client's request names a larger one
SERIAL_BITS = 24  # bits of a sequence's random first serial, which differs from a predecessor's
NOT_IN_SEQUENCE = -1  # value of `received_serial` while messages of the sequence are missing


class UsageEntry(NamedTuple):
    """Units admitted in a window. `boot` 0: by the sender; otherwise by the receiver's predecessor with that
    boot."""

    key: str
    version: int
    units: float
    boot: int = 0


class UsageMessage(NamedTuple):
    """Entries for one member. `is_first`: the message starts a new sequence; `is_complete`: with it the
    receiver has all that the sender has to report so far."""

    serial: int
    is_first: bool
    is_complete: bool
    entries: tuple[UsageEntry, ...]


class UsageRequest(NamedTuple):
    """A request for later messages: the sender has the sequence up to this serial, or lacks some or all of it
    (`NOT_IN_SEQUENCE`)."""

    serial: int


DirectMessage = UsageMessage | UsageRequest
Outbox = list[Outgoing[DirectMessage]]


@dataclass(slots=True)
class PeerChannel:
    """The two sequences between this process and a member. Times are of this process' clock."""

    sent_serial: int
    sent_at: float = -math.inf
    next_push_at: float = -math.inf
    restarts_sequence: bool = True  # the next message is the first of a sequence
    resynced_at: float = -math.inf  # when all reported rows were last sent again
    peer_boot: int = -1  # boot of the process whose sequence is received
    received_serial: int = NOT_IN_SEQUENCE
    complete_at: float = -math.inf  # when the last complete message was received
    next_request_at: float = -math.inf


class DirectMessenger:
    """The usage messages of one process."""

    def __init__(
        self, usage: AccountUsage, replica: Replica, ring: GatewayRing, is_alive: Callable[[str], bool],
        rng: random.Random, now: float = 0.0, budget_bytes_per_s: float = 6_144.0,
    ) -> None:  # fmt: skip
        """`is_alive`: whether a member is alive and not suspected."""
        self.usage, self.replica, self.ring, self.is_alive, self.rng = usage, replica, ring, is_alive, rng
        self.budget_bytes_per_s = budget_bytes_per_s
        self.channels: dict[str, PeerChannel] = {}
        # This process' windows, by key. `reported_windows`: the windows that are reported, the one unchanged
        # for the longest time first. `changed_windows`: the time from which a changed window may be sent.
        # `next_report_at`: the time from which a window that was sent may be sent again.
        self.reported_windows: dict[str, None] = {}
        self.changed_windows: dict[str, float] = {}
        self.next_report_at: dict[str, float] = {}
        self.pending: dict[str, dict[RowKey, None]] = {}  # by member: the rows to send
        self.pending_count = 0
        self.known_counts: dict[int, int] = {}  # by subset size; valid until the next tick
        self.widest_subset = min(MIN_SUBSET_SIZE, ring.gateway_count)
        self.byte_allowance, self.allowance_at = 0.0, now
        self.request_round: list[str] = []
        self.last_request_at = now
        self.sent_bytes = self.entries_sent = self.dropped_batches = 0

    # --- this process' usage -----------------------------------------------------------------------------

    def report(self, now: float, row: Row) -> None:
        """Queues a changed usage row of this process, if it has to be reported."""
        if self.usage.must_report(row.key):
            self.replica.merge(now, row)
            self.reported_windows.pop(row.key, None)
            self.reported_windows[row.key] = None
            if len(self.reported_windows) > MAX_REPORTED_WINDOWS:
                del self.reported_windows[next(iter(self.reported_windows))]
            self.changed_windows.setdefault(row.key, self.next_report_at.get(row.key, now))

    def recipients(self, key: str) -> tuple[str, ...]:
        """Returns the members that a window of this process is reported to."""
        own = self.usage.own.get(key)
        if own is None:
            return ()
        by_key = self.usage.units_by_writer
        writers = [*by_key.get(key, ()), *by_key.get(own.previous_key, ())]
        names = [writer.partition("#")[0] for writer in writers]
        return self.ring.subset_candidates(own.gateway_spread, names)

    def channel(self, name: str) -> PeerChannel:
        """Returns the channel to a member, created on first use."""
        channel = self.channels.get(name)
        if channel is None:
            channel = self.channels[name] = PeerChannel(self.rng.getrandbits(SERIAL_BITS))
        return channel

    def queue_row(self, name: str, key: RowKey) -> None:
        """Queues a row for a member. Beyond `MAX_PENDING_ENTRIES` all that is pending for it is dropped."""
        pending = self.pending.setdefault(name, {})
        if key not in pending:
            pending[key] = None
            self.pending_count += 1
        if self.pending_count > MAX_PENDING_ENTRIES:
            self.drop_pending(name)

    def drop_pending(self, name: str) -> None:
        """Drops what is pending for a member. The gap in the serials makes the member send a request."""
        self.pending_count -= len(self.pending.pop(name))
        self.dropped_batches += 1
        self.channel(name).sent_serial += 1

    # --- timer -------------------------------------------------------------------------------------------

    def tick(self, now: float) -> Outbox:
        """Returns the messages that are due, within the budget."""
        budget = self.budget_bytes_per_s
        refill = budget * (now - self.allowance_at)
        self.byte_allowance = min(budget / ALLOWANCE_DIVISOR, self.byte_allowance + refill)
        self.allowance_at = now
        self.known_counts.clear()
        out: Outbox = []
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
        """Queues changed windows for their recipients, where the account's interval has passed."""
        for key in [key for key, due_at in self.changed_windows.items() if due_at <= now]:
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

    def send_pending(self, now: float, out: Outbox, name: str) -> None:
        """Sends the next message to a member, which moves to the end of the queue if more is pending."""
        channel, pending = self.channel(name), self.pending.pop(name, {})
        entries: list[UsageEntry] = []
        while pending and len(entries) < MAX_ENTRIES_PER_MESSAGE:
            row_key = next(iter(pending))
            del pending[row_key]
            self.pending_count -= 1
            stored = self.replica.rows.get(row_key)
            if stored is not None:
                _, key, writer = row_key
                boot = 0 if writer == self.usage.writer else int(writer.rpartition("#")[2], 16)
                entries.append(UsageEntry(key, stored.row.version, stored.row.value, boot))
        if pending:
            self.pending[name] = pending
        channel.sent_serial += 1
        channel.sent_at, channel.next_push_at = now, now + MIN_PUSH_INTERVAL_S
        is_first, channel.restarts_sequence = channel.restarts_sequence, False
        self.entries_sent += len(entries)
        message = UsageMessage(channel.sent_serial, is_first, not pending, tuple(entries))
        self.emit(out, Outgoing(name, message))

    def send_requests(self, now: float, out: Outbox) -> None:
        """Sends requests to members that may share a subset in use, round-robin; first to those from which
        a message was missed."""
        interval_s = 1.0 / MAX_REQUESTS_PER_S
        while self.byte_allowance > 0.0 and now - self.last_request_at >= interval_s:
            self.last_request_at = max(self.last_request_at + interval_s, now - MAX_REQUEST_BACKLOG_S)
            if not self.request_round:
                self.request_round = list(self.ring.subset_candidates(self.widest_subset))
                self.rng.shuffle(self.request_round)
            for _ in range(len(self.request_round)):
                name = self.request_round.pop()
                channel = self.channel(name)
                if self.is_alive(name) and now >= channel.next_request_at:
                    channel.next_request_at = now + REQUEST_INTERVAL_S
                    self.emit(out, Outgoing(name, UsageRequest(channel.received_serial)))
                    break

    def emit(self, out: Outbox, outgoing: Outgoing[DirectMessage]) -> None:
        """Sends a message and deducts its approximate size from the allowance."""
        message, cost = outgoing.message, HEADER_BYTES
        if isinstance(message, UsageMessage):
            cost += ENTRY_BYTES * len(message.entries)
        self.byte_allowance -= cost
        self.sent_bytes += cost
        out.append(outgoing)

    # --- messages ----------------------------------------------------------------------------------------

    def receive(self, now: float, sender: str, boot: int, message: DirectMessage) -> Outbox:
        """Handles a message from the process `boot` of member `sender`, and returns the answers."""
        out: Outbox = []
        channel = self.channel(sender)
        if isinstance(message, UsageRequest):
            self.answer_request(now, out, sender, channel, message.serial)
            return out
        self.merge_entries(now, sender, boot, message)
        if boot != channel.peer_boot:
            channel.peer_boot, channel.received_serial = boot, NOT_IN_SEQUENCE
        is_in_sequence = channel.received_serial >= 0
        if message.is_first or (is_in_sequence and message.serial == channel.received_serial + 1):
            channel.received_serial = message.serial
        elif message.serial != channel.received_serial:
            if is_in_sequence and len(self.request_round) <= 2 * len(self.ring.members):
                channel.next_request_at = -math.inf
                self.request_round.append(sender)  # `sender` is the next to be sent a request
            channel.received_serial = NOT_IN_SEQUENCE
        if message.is_complete and channel.received_serial == message.serial:
            channel.complete_at = now
        return out

    def merge_entries(self, now: float, sender: str, boot: int, message: UsageMessage) -> None:
        """Merges a message's entries. An entry may show that this process' own usage of the same window has
        to be reported."""
        own_name = self.usage.writer.rpartition("#")[0]
        for entry in message.entries[:MAX_ENTRIES_PER_MESSAGE]:
            writer = f"{own_name}#{entry.boot:x}" if entry.boot else f"{sender}#{boot:x}"
            row = Row(RowKind.USE, entry.key, writer, entry.version, entry.units)
            if writer != self.usage.writer and self.replica.merge(now, row, sender=sender):
                self.usage.receive(row)
                if entry.key not in self.reported_windows and self.usage.must_report(entry.key):
                    self.report(now, self.usage.row_for(entry.key, self.usage.own[entry.key]))

    def answer_request(self, now: float, out: Outbox, name: str, channel: PeerChannel, serial: int) -> None:
        """Answers a request, either that nothing is new, or with all reported rows. Sends nothing beyond the
        budget, nor to a member in sequence while messages to it are pending or were just sent."""
        is_busy = name in self.pending or now - channel.sent_at < 2.0 * MIN_PUSH_INTERVAL_S
        if self.byte_allowance <= 0.0 or (is_busy and serial >= 0):
            return
        if serial == channel.sent_serial and not channel.restarts_sequence:
            channel.sent_at = now
            self.emit(out, Outgoing(name, UsageMessage(channel.sent_serial, False, True, ())))
        elif now - channel.resynced_at >= REQUEST_INTERVAL_S / 2.0:
            self.resync(now, out, name, channel, serial)

    def resync(self, now: float, out: Outbox, name: str, channel: PeerChannel, serial: int) -> None:
        """Starts a new sequence with all rows that are reported to the member."""
        channel.resynced_at, channel.restarts_sequence = now, True
        for key in self.reported_windows:
            if name in self.recipients(key):
                self.queue_row(name, (RowKind.USE, key, self.usage.writer))
        if serial < 0:
            # The member may have restarted, and only others can report what its predecessor admitted.
            for row_key in self.replica.keys_by_age[RowKind.USE]:
                if row_key[2].rpartition("#")[0] == name:
                    self.queue_row(name, row_key)
        self.send_pending(now, out, name)

    # --- what is known -----------------------------------------------------------------------------------

    def expire(self) -> None:
        """Drops reported windows whose rows have expired."""
        rows, writer = self.replica.rows, self.usage.writer
        while self.reported_windows:
            oldest = next(iter(self.reported_windows))
            if (RowKind.USE, oldest, writer) in rows:
                return
            del self.reported_windows[oldest]

    def known_gateways(self, now: float, spread: int) -> int:
        """Returns the number of other gateways in a subset of `spread` whose usage this process certainly
        knows completely, whatever the subset's position."""
        spread = min(spread, self.ring.gateway_count)
        if spread > self.widest_subset:
            self.widest_subset = spread
            self.request_round.clear()
        known_count = self.known_counts.get(spread)
        if known_count is None:
            known_count = self.known_counts[spread] = self.count_known(now, spread)
        return known_count

    def count_known(self, now: float, spread: int) -> int:
        """Returns the result of `known_gateways`, without its cache."""
        candidates = self.ring.subset_candidates(spread)
        requested = len(self.ring.subset_candidates(self.widest_subset))
        max_age_s = MAX_MISSED_REQUESTS * max(REQUEST_INTERVAL_S, requested / MAX_REQUESTS_PER_S)
        since = now - max_age_s
        known = sum(self.is_alive(name) and self.channel(name).complete_at >= since for name in candidates)
        unknown = self.ring.expected_candidates(spread) - known
        return max(0, spread - 1 - unknown)
