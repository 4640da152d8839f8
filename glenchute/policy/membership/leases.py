"""Leases by a majority of configured voters, without lasting storage and without clocks in common. No I/O.

Source: Trencseni, Gazso, Reinhardt, "PaxosLease: Diskless Paxos for Leases" (2012): Paxos in which the
value decided is "who holds this for how long", and what was accepted is forgotten when its time is over.
Added here: a bound on the drift of clocks, tokens that only grow, recovery of a voter's promises from the
others.

Assumed: each clock runs at 1 - drift to 1 + drift times real time and never goes back; offsets do not
matter, nor does the wall clock. Messages may be lost, repeated, late and out of order, for ever. A
process that stops and goes on reads its clock before it acts, and that clock has run meanwhile. A voter
that starts (it can't know whether for the first time) answers nothing for the longest lease, and until a
majority of the others have told what they promised.

Then, for each task:

- At no moment of real time do two seekers have `holds` true. The holder's time begins before its proposal
  leaves and is shorter by the drift than the voters', who promise nothing else meanwhile; two majorities
  share a voter.
- Tokens of later holdings are higher, as long as no majority of the voters restarts within one recovery:
  a new ballot has to pass a voter of each majority before it, or one that has recovered from such a
  voter. Where all voters have lost everything they begin anew (`anew`): tokens may fall, and a holder
  waits the longest effect out.
- While a majority answers and one seeker asks alone, it holds after two exchanges.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from .outgoing import Outgoing


class Ballot(NamedTuple):
    """The number of a try: higher than any that its seeker has heard of, and of this process alone."""

    number: int
    seeker: str
    boot: int

    def passes(self, promised: Ballot) -> bool:
        """Whether a voter that has promised another may take this one. The number alone has to be higher, as
        it is the token: of two seekers with one number the second would hold with the first one's token."""
        return self == promised or self.number > promised.number

    def ends(self, held: Ballot) -> bool:
        """Whether giving this one back gives that one back, too: it is of the same process, and no later."""
        return (self.seeker, self.boot) == (held.seeker, held.boot) and self.number >= held.number


NO_BALLOT = Ballot(0, "", 0)


class LeaseMessageKind(IntEnum):
    """What a message asks or tells."""

    PREPARE = 0
    PROMISE = 1  # `ballot` is promised; `holder` is the ballot that holds now, if one does, for `span` more
    PROPOSE = 2  # for `span` seconds
    ACCEPTED = 3
    NO = 4  # `holder` has been promised, which is higher
    RELEASE = 5
    RECALL = 6  # a voter that has started asks what was promised
    RECALLED = 7  # `holder` is the highest promise for any task; `ready`: by one that has recovered itself
    FREE = 8  # to other seekers: `ballot` has just been given back


class LeaseMessage(NamedTuple):
    """One message about one task."""

    kind: LeaseMessageKind
    task: str
    ballot: Ballot
    holder: Ballot = NO_BALLOT
    span: float = 0.0
    ready: bool = True


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """What all voters and seekers have to be configured with alike. Seconds by any clock within the drift."""

    voters: tuple[str, ...]
    longest: float = 10.0  # no lease is proposed or accepted for longer
    drift: float = 0.01

    @property
    def majority(self) -> int:
        """Voters that decide."""
        return len(self.voters) // 2 + 1

    @property
    def silence(self) -> float:
        """How long a voter that has started answers nothing: all it may have accepted is over by then."""
        return self.longest * (1.0 + self.drift)

    def held_for(self, span: float) -> float:
        """How long, by the holder's clock, a lease of a span by the voters' clocks may be used."""
        return span * (1.0 - self.drift) / (1.0 + self.drift)


class AcceptedLease(NamedTuple):
    """A lease as a voter holds it, by its own clock."""

    ballot: Ballot
    until: float


class Acceptor:
    """One voter's promises."""

    def __init__(self, name: str, terms: LeaseTerms, now: float) -> None:
        self.name, self.terms = name, terms
        self.speaks_at = now + terms.silence
        self.recalled: dict[str, bool] = {}  # voters that told what they promised; whether they had recovered
        self.ready = False
        self.anew = False  # all voters had lost everything
        self.floor = NO_BALLOT  # promised for every task: the highest that the others had promised for any
        self.promised: dict[str, Ballot] = {}
        self.accepted: dict[str, AcceptedLease] = {}

    def tick(self, now: float) -> list[Outgoing[LeaseMessage]]:
        """Asks the others what was promised, until enough have said; call it some times a second."""
        for task in [task for task, held in self.accepted.items() if held.until <= now]:
            del self.accepted[task]
        if self.ready:
            return []
        others = [voter for voter in self.terms.voters if voter != self.name]
        known, told = sum(self.recalled.values()), len(self.recalled)
        lost = told - known + 1  # voters that remember nothing, this one included
        most = self.terms.majority
        if now >= self.speaks_at and (known >= most or told == len(others) or lost >= most):
            self.ready, self.anew = True, lost >= most
            return []
        return [Outgoing(other, LeaseMessage(LeaseMessageKind.RECALL, "", NO_BALLOT)) for other in others]

    def heard(self, now: float, sender: str, message: LeaseMessage) -> list[Outgoing[LeaseMessage]]:
        """A message. A voter that has not recovered answers seekers nothing."""
        kind, task, ballot = message.kind, message.task, message.ballot
        if kind is LeaseMessageKind.RECALL:
            highest = max([self.floor, *self.promised.values()])
            return [
                Outgoing(
                    sender, LeaseMessage(LeaseMessageKind.RECALLED, "", NO_BALLOT, highest, ready=self.ready)
                )
            ]
        if kind is LeaseMessageKind.RECALLED:
            if not self.ready and sender in self.terms.voters:
                self.recalled[sender] = message.ready
                self.floor = max(self.floor, message.holder)
            return []
        if not self.ready:
            return []
        promised = self.promised.get(task, self.floor)
        held = self.accepted.get(task)
        if held is not None and held.until <= now:
            held = None
        if kind is LeaseMessageKind.PREPARE:
            if not ballot.passes(promised):
                return [Outgoing(sender, LeaseMessage(LeaseMessageKind.NO, task, ballot, promised))]
            self.promised[task] = ballot
            if held is None:
                return [Outgoing(sender, LeaseMessage(LeaseMessageKind.PROMISE, task, ballot))]
            return [
                Outgoing(
                    sender,
                    LeaseMessage(LeaseMessageKind.PROMISE, task, ballot, held.ballot, held.until - now),
                )
            ]
        if kind is LeaseMessageKind.PROPOSE:
            if not ballot.passes(promised) or message.span > self.terms.longest:
                return [Outgoing(sender, LeaseMessage(LeaseMessageKind.NO, task, ballot, promised))]
            self.promised[task] = ballot
            self.accepted[task] = AcceptedLease(ballot, now + message.span)
            return [Outgoing(sender, LeaseMessage(LeaseMessageKind.ACCEPTED, task, ballot))]
        if kind is LeaseMessageKind.RELEASE and held is not None and ballot.ends(held.ballot):
            del self.accepted[task]
        return []


@dataclass(slots=True)
class OwnLease:
    """A lease that is held, by this process' clock."""

    token: int
    until: float
    ballot: Ballot  # of the last renewal


@dataclass(slots=True)
class BallotRound:
    """A try under way."""

    ballot: Ballot
    promises: set[str] = field(default_factory=set)
    against: set[str] = field(default_factory=set)  # voters that have promised more, or hold another's
    accepts: set[str] = field(default_factory=set)
    until: float | None = None  # set when the proposal leaves


class Proposer:
    """One process that would hold a task's lease."""

    def __init__(self, name: str, boot: int, task: str, terms: LeaseTerms, span: float) -> None:
        if span > terms.longest:
            raise ValueError("a lease must not be longer than the longest")
        self.name, self.boot, self.task, self.terms, self.span = name, boot, task, terms, span
        self.highest = 0  # number of the highest ballot heard of
        self.trying: BallotRound | None = None
        self.holding: OwnLease | None = None
        self.freed = NO_BALLOT  # another's that was given back, by its own word
        self.other: Ballot = NO_BALLOT  # who was found to hold it ...
        self.other_until = -1e9  # ... and until when it does at most, if it does not renew

    def holds(self, now: float) -> bool:
        """Whether this process may act at this very moment."""
        return self.holding is not None and now < self.holding.until

    def guard(self, now: float, longest_s: float) -> int | None:
        """The token, if an effect of this length that begins now ends while the lease is held; else None. Ask
        just before the effect: a stop between this and the effect's start is covered only where whoever
        carries it out refuses older tokens."""
        end = now + longest_s * (1.0 + self.terms.drift)
        return self.holding.token if self.holding is not None and end < self.holding.until else None

    def seek(self, now: float) -> list[Outgoing[LeaseMessage]]:
        """Begins a try, or a renewal where this process holds the lease."""
        if not self.holds(now):
            self.holding = None
        self.highest += 1
        self.trying = BallotRound(Ballot(self.highest, self.name, self.boot))
        return self.to_all(LeaseMessage(LeaseMessageKind.PREPARE, self.task, self.trying.ballot))

    def release(self, now: float) -> list[Outgoing[LeaseMessage]]:
        """Gives the lease back: not held from this moment on, whatever becomes of the messages. A renewal
        that is under way goes back as well."""
        holding, trying, self.holding, self.trying = self.holding, self.trying, None, None
        if holding is None:
            return []
        last = trying.ballot if trying is not None else holding.ballot
        return self.to_all(LeaseMessage(LeaseMessageKind.RELEASE, self.task, last))

    def again(self) -> list[Outgoing[LeaseMessage]]:
        """The messages of the try under way to voters that have not answered, once more: what a voter hears
        twice it answers twice, and takes once."""
        trying = self.trying
        if trying is None:
            return []
        if trying.until is None:
            message = LeaseMessage(LeaseMessageKind.PREPARE, self.task, trying.ballot)
            answered = trying.promises | trying.against
        else:
            message = LeaseMessage(LeaseMessageKind.PROPOSE, self.task, trying.ballot, span=self.span)
            answered = trying.accepts
        return [Outgoing(voter, message) for voter in self.terms.voters if voter not in answered]

    def given_back(self, ballot: Ballot) -> None:
        """Its holder says that it holds it no more: what voters still tell of it counts for nothing."""
        self.freed = ballot
        self.highest = max(self.highest, ballot.number)

    def heard(self, now: float, sender: str, message: LeaseMessage) -> list[Outgoing[LeaseMessage]]:
        """A voter's answer. One to an older try is only learned from."""
        self.highest = max(self.highest, message.holder.number)
        trying = self.trying
        if message.task != self.task or trying is None or message.ballot != trying.ballot:
            return []
        if sender not in self.terms.voters:
            return []
        if message.kind is LeaseMessageKind.NO:
            self.opposed(trying, sender)  # the next try has a higher number
        elif message.kind is LeaseMessageKind.PROMISE and trying.until is None:
            if not self.mine(message.holder):
                # A try that reached few voters leaves its mark at them; only a majority's tells of a holder.
                self.other = message.holder
                self.other_until = now + message.span * (1.0 + 2.0 * self.terms.drift)
                self.opposed(trying, sender)
                return []
            trying.promises.add(sender)
            if len(trying.promises) >= self.terms.majority:
                trying.until = now + self.terms.held_for(self.span)  # begins before the proposal leaves
                return self.to_all(
                    LeaseMessage(LeaseMessageKind.PROPOSE, self.task, trying.ballot, span=self.span)
                )
        elif message.kind is LeaseMessageKind.ACCEPTED and trying.until is not None:
            trying.accepts.add(sender)
            if len(trying.accepts) >= self.terms.majority:
                self.trying = None
                if now < trying.until:
                    token = self.holding.token if self.holds(now) and self.holding else trying.ballot.number
                    self.holding = OwnLease(token, trying.until, trying.ballot)
        return []

    def opposed(self, trying: BallotRound, voter: str) -> None:
        """One voter stands against a try; it ends when the others are no majority."""
        trying.against.add(voter)
        if len(trying.against) > len(self.terms.voters) - self.terms.majority:
            self.trying = None

    def mine(self, holder: Ballot) -> bool:
        """Whether nobody else holds it: nobody does, or this very process, or one that gave it back."""
        own = (holder.seeker, holder.boot) == (self.name, self.boot)
        return holder == NO_BALLOT or own or self.freed.ends(holder)

    def to_all(self, message: LeaseMessage) -> list[Outgoing[LeaseMessage]]:
        """The same to each voter."""
        return [Outgoing(voter, message) for voter in self.terms.voters]


def acceptor_set_problem(voters: Sequence[str], listed: Sequence[str], changing: bool = False) -> str:
    """What is wrong with a set of voters, in a sentence; empty where nothing is. `changing`: it is one
    between two others. Majorities of two sets have a voter in common if one was added or one taken away, and
    not if one was put in another's place; so a replacement goes by way of an even set."""
    if len(set(voters)) != len(voters):
        return "names a voter twice"
    if not 3 <= len(voters) <= 9:
        return f"has {len(voters)} voters; 3 to 9 decide"
    if len(voters) % 2 == 0 and not changing:
        why = f"has {len(voters)} voters, and may lose no more than {len(voters) - 1} may; take an odd one"
        return f"{why}, or say changing = true while voters are replaced"
    missing = [voter for voter in voters if voter not in listed]
    return f"names {missing[0]}, which is no member" if missing else ""
