"""PaxosLease: leases granted by a majority of configured acceptors, diskless and without synchronized clocks.
No I/O.

Source: Trencseni, Gazso, Reinhardt, "PaxosLease: Diskless Paxos for Leases" (2012): Paxos in which the value
decided is "who holds this lease for how long", and an accepted proposal is forgotten when its lease expires.
Added here: a bound on clock drift, fencing tokens that only increase, and recovery of an acceptor's promises
from the other acceptors.

Assumptions: each clock runs at 1 - drift to 1 + drift times real time and never goes back; clock offsets and
the wall clock do not matter. Messages may be lost, duplicated, delayed and reordered without bound. A process
that is stopped and resumed reads its clock before it acts, and that clock has advanced meanwhile. An acceptor
that starts (it can't know whether for the first time) answers no proposer for the longest lease, and until a
majority of the others have reported what they promised.

Then, for each task:

- At no moment of real time is `is_holder` true for two proposers. The holder's lease starts before its
  proposal is sent and is shorter by the drift than the acceptors' copy, during which they promise nothing to
  others; any two majorities share an acceptor.
- Tokens of later leases are higher, as long as no majority of the acceptors restarts within one recovery: a
  new ballot has to pass an acceptor of each majority before it, or one that has recovered from such an
  acceptor. Where a majority of the acceptors has lost its state, they start over
  (`has_lost_history`): tokens may decrease, and a new holder waits until the longest effect is over.
- While a majority answers and only one proposer competes, it holds the lease after two round trips.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from .outgoing import Outgoing

MIN_ACCEPTORS, MAX_ACCEPTORS = 3, 9


class Ballot(NamedTuple):
    """The number of a round: higher than any that its proposer has seen, and unique to its process."""

    number: int
    proposer: str
    boot: int

    def may_replace(self, promised: Ballot) -> bool:
        """Returns whether an acceptor that has promised `promised` may promise this ballot. Compares the
        numbers alone, because the number is the fencing token: with equal numbers the second proposer would
        hold the lease with the first one's token."""
        return self == promised or self.number > promised.number

    def releases(self, accepted: Ballot) -> bool:
        """Returns whether releasing this ballot also ends `accepted`: same process, and not older."""
        is_same_process = (self.proposer, self.boot) == (accepted.proposer, accepted.boot)
        return is_same_process and self.number >= accepted.number


NO_BALLOT = Ballot(0, "", 0)


class LeaseMessageKind(IntEnum):
    """What a message asks for or reports; the numbers are part of the datagram format."""

    PREPARE = 0
    PROMISE = 1  # `known_ballot` is the accepted ballot, if any; its lease lasts `span_s` more
    PROPOSE = 2  # asks for a lease of `span_s`
    ACCEPTED = 3
    REJECTED = 4  # `known_ballot` is the ballot that the acceptor has promised
    RELEASE = 5
    RECOVERY_REQUEST = 6  # a starting acceptor asks the others for their promises
    RECOVERY_REPLY = 7  # `known_ballot` is the highest promise for any task
    RELEASED = 8  # tells other proposers that the lease of `ballot` has just been released


# What an acceptor receives; all other kinds go to a proposer.
ACCEPTOR_MESSAGE_KINDS = frozenset({
    LeaseMessageKind.PREPARE,
    LeaseMessageKind.PROPOSE,
    LeaseMessageKind.RELEASE,
    LeaseMessageKind.RECOVERY_REQUEST,
    LeaseMessageKind.RECOVERY_REPLY,
})  # fmt: skip


class LeaseMessage(NamedTuple):
    """A message about one task's lease. `has_recovered`: the sending acceptor has finished its recovery."""

    kind: LeaseMessageKind
    task: str
    ballot: Ballot
    known_ballot: Ballot = NO_BALLOT
    span_s: float = 0.0
    has_recovered: bool = True


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Terms that have to be the same for all acceptors and proposers. Spans are seconds by any clock within
    `max_clock_drift`."""

    acceptors: tuple[str, ...]
    max_span_s: float = 10.0  # no lease is proposed or accepted for longer
    max_clock_drift: float = 0.01  # share of real time by which a clock may be too fast or too slow

    @property
    def majority(self) -> int:
        """Returns the number of acceptors that form a majority."""
        return len(self.acceptors) // 2 + 1

    @property
    def startup_silence_s(self) -> float:
        """Returns for how long a started acceptor stays silent: all leases that it had accepted expire by
        then."""
        return self.max_span_s * (1.0 + self.max_clock_drift)

    def usable_span_s(self, span_s: float) -> float:
        """Returns how long the holder may use a lease of `span_s` by the acceptors' clocks, in seconds by its
        own clock."""
        return span_s * (1.0 - self.max_clock_drift) / (1.0 + self.max_clock_drift)


class AcceptedLease(NamedTuple):
    """A lease that an acceptor has accepted; `expires_at` is by the acceptor's clock."""

    ballot: Ballot
    expires_at: float


class Acceptor:
    """The promises and accepted leases of one acceptor, for all tasks."""

    def __init__(self, name: str, terms: LeaseTerms, now: float) -> None:
        self.name, self.terms = name, terms
        self.silent_until = now + terms.startup_silence_s
        self.recovery_replies: dict[str, bool] = {}  # by acceptor: whether it has recovered
        self.has_recovered = False
        self.has_lost_history = False  # a majority of acceptors had no promises to report
        # Counts as promised for every task: the highest ballot that the other acceptors had promised.
        self.promise_floor = NO_BALLOT
        self.promised: dict[str, Ballot] = {}
        self.accepted: dict[str, AcceptedLease] = {}

    def tick(self, now: float) -> list[Outgoing[LeaseMessage]]:
        """Drops expired leases and, while recovering, asks the others for their promises. To be called
        several times a second."""
        for task in [task for task, lease in self.accepted.items() if lease.expires_at <= now]:
            del self.accepted[task]
        if self.has_recovered:
            return []
        others = [acceptor for acceptor in self.terms.acceptors if acceptor != self.name]
        recovered_count, reply_count = sum(self.recovery_replies.values()), len(self.recovery_replies)
        unrecovered_count = reply_count - recovered_count + 1  # includes this acceptor
        majority = self.terms.majority
        is_answered = (
            recovered_count >= majority or reply_count == len(others) or unrecovered_count >= majority
        )
        if now >= self.silent_until and is_answered:
            self.has_recovered, self.has_lost_history = True, unrecovered_count >= majority
            return []
        request = LeaseMessage(LeaseMessageKind.RECOVERY_REQUEST, "", NO_BALLOT)
        return [Outgoing(other, request) for other in others]

    def receive(self, now: float, sender: str, message: LeaseMessage) -> list[Outgoing[LeaseMessage]]:
        """Handles a message and returns the answer. Proposers get none until this acceptor has recovered."""
        if message.kind is LeaseMessageKind.RECOVERY_REQUEST:
            return [Outgoing(sender, self.recovery_reply())]
        if message.kind is LeaseMessageKind.RECOVERY_REPLY:
            if not self.has_recovered and sender in self.terms.acceptors:
                self.recovery_replies[sender] = message.has_recovered
                self.promise_floor = max(self.promise_floor, message.known_ballot)
            return []
        if not self.has_recovered:
            return []
        if message.kind is LeaseMessageKind.PREPARE:
            return [Outgoing(sender, self.prepare(now, message.task, message.ballot))]
        if message.kind is LeaseMessageKind.PROPOSE:
            return [Outgoing(sender, self.propose(now, message.task, message.ballot, message.span_s))]
        accepted = self.current_lease(now, message.task)
        is_release = message.kind is LeaseMessageKind.RELEASE
        if is_release and accepted is not None and message.ballot.releases(accepted.ballot):
            del self.accepted[message.task]
        return []

    def current_lease(self, now: float, task: str) -> AcceptedLease | None:
        """Returns the task's accepted lease, or None where there is none or it has expired."""
        accepted = self.accepted.get(task)
        return accepted if accepted is not None and accepted.expires_at > now else None

    def recovery_reply(self) -> LeaseMessage:
        """Returns the highest promise of this acceptor, for one that recovers."""
        highest = max([self.promise_floor, *self.promised.values()])
        return LeaseMessage(
            LeaseMessageKind.RECOVERY_REPLY, "", NO_BALLOT, highest, has_recovered=self.has_recovered
        )

    def prepare(self, now: float, task: str, ballot: Ballot) -> LeaseMessage:
        """Promises the ballot and reports the accepted lease, or rejects the ballot."""
        promised = self.promised.get(task, self.promise_floor)
        if not ballot.may_replace(promised):
            return LeaseMessage(LeaseMessageKind.REJECTED, task, ballot, promised)
        self.promised[task] = ballot
        accepted = self.current_lease(now, task)
        if accepted is None:
            return LeaseMessage(LeaseMessageKind.PROMISE, task, ballot)
        remaining_s = accepted.expires_at - now
        return LeaseMessage(LeaseMessageKind.PROMISE, task, ballot, accepted.ballot, remaining_s)

    def propose(self, now: float, task: str, ballot: Ballot, span_s: float) -> LeaseMessage:
        """Accepts a lease for `span_s` seconds, or rejects it."""
        promised = self.promised.get(task, self.promise_floor)
        if not ballot.may_replace(promised) or span_s > self.terms.max_span_s:
            return LeaseMessage(LeaseMessageKind.REJECTED, task, ballot, promised)
        self.promised[task] = ballot
        self.accepted[task] = AcceptedLease(ballot, now + span_s)
        return LeaseMessage(LeaseMessageKind.ACCEPTED, task, ballot)


@dataclass(slots=True)
class OwnLease:
    """The lease that this process holds, by its own clock."""

    token: int
    expires_at: float
    ballot: Ballot  # ballot of the last renewal


@dataclass(slots=True)
class BallotRound:
    """A ballot round in progress: prepare, then propose."""

    ballot: Ballot
    promised_by: set[str] = field(default_factory=set)
    # Acceptors that promised a higher ballot, or accepted another holder's lease.
    rejected_by: set[str] = field(default_factory=set)
    accepted_by: set[str] = field(default_factory=set)
    lease_expires_at: float | None = None  # None until the proposal is sent


class Proposer:
    """The part of one process in acquiring, renewing and releasing one task's lease."""

    def __init__(self, name: str, boot: int, task: str, terms: LeaseTerms, span_s: float) -> None:
        """Raises ValueError where `span_s` is longer than the terms allow."""
        if span_s > terms.max_span_s:
            raise ValueError("lease span is longer than max_span_s of the terms")
        self.name, self.boot, self.task, self.terms, self.span_s = name, boot, task, terms, span_s
        self.highest_number = 0  # highest ballot number seen
        self.current_round: BallotRound | None = None
        self.lease: OwnLease | None = None
        self.released_ballot = NO_BALLOT  # the last ballot whose release another holder announced
        self.other_holder: Ballot = NO_BALLOT
        self.other_holder_until = -math.inf  # latest expiry of the other holder's lease, unless renewed

    def is_holder(self, now: float) -> bool:
        """Returns whether this process holds the lease at `now`."""
        return self.lease is not None and now < self.lease.expires_at

    def fencing_token(self, now: float, longest_s: float) -> int | None:
        """Returns the token for an effect that starts now and takes at most `longest_s`, or None where it
        might outlast the lease. To be called just before the effect: a pause of the process between this call
        and the effect is covered only where the effect's target rejects tokens lower than it has seen."""
        end = now + longest_s * (1.0 + self.terms.max_clock_drift)
        return self.lease.token if self.lease is not None and end < self.lease.expires_at else None

    def start_round(self, now: float) -> list[Outgoing[LeaseMessage]]:
        """Starts a round that acquires the lease, or renews it where this process holds it."""
        if not self.is_holder(now):
            self.lease = None
        self.highest_number += 1
        self.current_round = BallotRound(Ballot(self.highest_number, self.name, self.boot))
        return self.broadcast(LeaseMessage(LeaseMessageKind.PREPARE, self.task, self.current_round.ballot))

    def release(self, now: float) -> list[Outgoing[LeaseMessage]]:
        """Releases the lease, which is not held from now on, whether or not the messages arrive. A renewal in
        progress is released with it."""
        lease, current_round, self.lease, self.current_round = self.lease, self.current_round, None, None
        if lease is None:
            return []
        ballot = current_round.ballot if current_round is not None else lease.ballot
        return self.broadcast(LeaseMessage(LeaseMessageKind.RELEASE, self.task, ballot))

    def retransmit(self) -> list[Outgoing[LeaseMessage]]:
        """Returns the message of the current round for the acceptors that have not answered. Acceptors answer
        a duplicate but apply it once."""
        current = self.current_round
        if current is None:
            return []
        if current.lease_expires_at is None:
            message = LeaseMessage(LeaseMessageKind.PREPARE, self.task, current.ballot)
            answered = current.promised_by | current.rejected_by
        else:
            message = LeaseMessage(LeaseMessageKind.PROPOSE, self.task, current.ballot, span_s=self.span_s)
            answered = current.accepted_by
        return [Outgoing(acceptor, message) for acceptor in self.terms.acceptors if acceptor not in answered]

    def note_release(self, ballot: Ballot) -> None:
        """Records that the holder of `ballot` released the lease; acceptors' later reports of that lease are
        ignored."""
        self.released_ballot = ballot
        self.highest_number = max(self.highest_number, ballot.number)

    def receive(self, now: float, sender: str, message: LeaseMessage) -> list[Outgoing[LeaseMessage]]:
        """Handles an acceptor's answer and returns the messages that follow. An answer to an older round only
        raises the number of the next ballot."""
        self.highest_number = max(self.highest_number, message.known_ballot.number)
        current = self.current_round
        if message.task != self.task or current is None or message.ballot != current.ballot:
            return []
        if sender not in self.terms.acceptors:
            return []
        is_proposed = current.lease_expires_at is not None
        if message.kind is LeaseMessageKind.REJECTED:
            self.note_rejection(current, sender)
        elif message.kind is LeaseMessageKind.PROMISE and not is_proposed:
            return self.receive_promise(now, current, sender, message)
        elif message.kind is LeaseMessageKind.ACCEPTED and is_proposed:
            self.receive_acceptance(now, current, sender)
        return []

    def receive_promise(
        self, now: float, current: BallotRound, sender: str, message: LeaseMessage
    ) -> list[Outgoing[LeaseMessage]]:
        """Counts a promise; with a majority of them, proposes the lease."""
        if not self.is_available(message.known_ballot):
            # A round that reached only a minority is accepted there as well, so one report proves no holder.
            self.other_holder = message.known_ballot
            self.other_holder_until = now + message.span_s * (1.0 + 2.0 * self.terms.max_clock_drift)
            self.note_rejection(current, sender)
            return []
        current.promised_by.add(sender)
        if len(current.promised_by) < self.terms.majority:
            return []
        # The lease starts before the proposal is sent, so it ends before any acceptor's copy of it.
        current.lease_expires_at = now + self.terms.usable_span_s(self.span_s)
        proposal = LeaseMessage(LeaseMessageKind.PROPOSE, self.task, current.ballot, span_s=self.span_s)
        return self.broadcast(proposal)

    def receive_acceptance(self, now: float, current: BallotRound, sender: str) -> None:
        """Counts an acceptance; with a majority of them the lease is held. A renewal keeps the token."""
        current.accepted_by.add(sender)
        if len(current.accepted_by) < self.terms.majority:
            return
        self.current_round = None
        expires_at = current.lease_expires_at
        if expires_at is not None and now < expires_at:
            token = self.lease.token if self.is_holder(now) and self.lease else current.ballot.number
            self.lease = OwnLease(token, expires_at, current.ballot)

    def note_rejection(self, current: BallotRound, acceptor: str) -> None:
        """Counts a rejection; the round ends once the remaining acceptors can't form a majority."""
        current.rejected_by.add(acceptor)
        if len(current.rejected_by) > len(self.terms.acceptors) - self.terms.majority:
            self.current_round = None

    def is_available(self, accepted: Ballot) -> bool:
        """Returns whether the accepted ballot that an acceptor reported leaves the lease free for this
        process: there is none, it is this process' own, or its holder has released it."""
        is_own = (accepted.proposer, accepted.boot) == (self.name, self.boot)
        return accepted == NO_BALLOT or is_own or self.released_ballot.releases(accepted)

    def broadcast(self, message: LeaseMessage) -> list[Outgoing[LeaseMessage]]:
        """Returns the message, addressed to each acceptor."""
        return [Outgoing(acceptor, message) for acceptor in self.terms.acceptors]


def acceptor_set_problem(acceptors: Sequence[str], listed: Sequence[str], changing: bool = False) -> str:
    """Returns what is wrong with a set of acceptors (`voters` in the operator's file) as a sentence, or an
    empty string.

    `listed` names all members; `changing` allows an even set, as one step of a replacement. Majorities of two
    sets share an acceptor if one acceptor was added or removed, but not if one was replaced, so a replacement
    goes through an even set."""
    if len(set(acceptors)) != len(acceptors):
        return "names a voter twice"
    count = len(acceptors)
    if not MIN_ACCEPTORS <= count <= MAX_ACCEPTORS:
        return f"has {count} voters; write {MIN_ACCEPTORS} to {MAX_ACCEPTORS}"
    if count % 2 == 0 and not changing:
        why = f"has {count} voters, which tolerate no more failures than {count - 1}; use an odd number"
        return f"{why}, or set changing = true while voters are replaced"
    missing = [acceptor for acceptor in acceptors if acceptor not in listed]
    return f"names {missing[0]}, which is not a member" if missing else ""
