"""Who of the listed gateways is there: SWIM with Lifeguard's extensions, as a state machine without I/O.

Sources: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002): probes in a shuffled round, indirect probes, suspicion, incarnations, updates on the back of
messages. Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection"
(2018): a probe that gets no answer makes its sender doubt itself first (`health`); a suspicion's time shrinks
with independent confirmations; a suspect is told so by the next message to it.

Times are seconds of one clock of this process that never goes back; no message carries a time. Only listed
names are taken in, so nothing here grows past the list. Guarantees, each with a test:

- A member that answers within `patience` is not buried, however many messages are lost.
- A process that starts under a known name is told from the one before by its `boot`, and takes the name over
  by an incarnation above that of its predecessor.
- What a message holds besides is bounded by `PIGGYBACK`; what a member sends in a period does not depend on
  how many members are well, gone or in doubt.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from .outgoing import Outgoing

MAX_PIGGYBACKED_UPDATES = 16  # updates in a message
INDIRECT_PROBES = 3  # members asked to probe in one's place
RETRANSMIT_FACTOR = (
    3.0  # an update is sent so many times the natural logarithm of the fleet's size: e^-3 ln n miss it
)
MAX_LOCAL_HEALTH = 8
MAX_CONFIRMATIONS = 3  # after which a suspicion's time is at its least
DEAD_MEMBER_PROBE_PERIODS = 8  # each so many periods one that is gone is probed as well: a cut may have ended


class MemberState(IntEnum):
    """What is thought of a member; of two words of one incarnation the higher holds."""

    UNKNOWN = 0  # listed, and never heard
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4  # it said so


class SwimMessageKind(IntEnum):
    """What a message asks or tells."""

    PING = 0
    ACK = 1
    PING_REQ = 2  # probe `about` for me
    NACK = 3  # I was asked to, and it does not answer me either


class MemberUpdate(NamedTuple):
    """A word on a member. `boot` names the process, `incarnation` its latest word on itself."""

    name: str
    state: MemberState
    incarnation: int
    boot: int


class SwimMessage(NamedTuple):
    """One message; `serial` pairs answers with probes, `about` names the member to be probed."""

    kind: SwimMessageKind
    serial: int
    about: str
    updates: tuple[MemberUpdate, ...]


class MemberChange(NamedTuple):
    """A member's state has changed here; `conflict`: another process claims the name at the same time."""

    name: str
    was: MemberState
    now: MemberState
    conflict: bool = False


@dataclass(slots=True)
class SwimSettings:
    """Times in seconds."""

    period: float = 0.2  # between two probes of this member
    patience: float = 2.5  # a suspicion lasts at least so long
    longest: float = 4.0  # a suspicion that nobody confirms lasts so many times as long


@dataclass(slots=True)
class Member:
    """What is known of one."""

    name: str
    state: MemberState = MemberState.UNKNOWN
    incarnation: int = -1
    boot: int = 0
    since: float = 0.0  # of the state
    heard: float = -math.inf  # its own last message
    accusers: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Probe:
    """The probe under way."""

    name: str
    serial: int
    began: float
    relayed: bool = False
    nacks: int = 0
    asked: int = 0


class MemberList:
    """The view of one process."""

    def __init__(
        self,
        name: str,
        boot: int,
        listed: Sequence[str],
        rules: SwimSettings,
        rng: random.Random,
        now: float = 0.0,
    ) -> None:
        self.name, self.boot, self.rules, self.rng = name, boot, rules, rng
        self.members = {other: Member(other, since=now) for other in listed if other != name}
        self.incarnation = 0
        self.leaving = False
        self.health = 0  # 0: well; how far this process doubts itself
        self.serial = 0
        self.probe: Probe | None = None
        self.next_at = now
        self.periods = 0
        self.round: list[str] = []
        self.relays: dict[int, tuple[str, int, str, float]] = {}  # serial: for whom, theirs, about, when
        self.news: dict[str, int] = {}  # name: how often its word was sent
        self.rebooted_at = -math.inf
        self.conflicts: dict[str, int] = {}
        self.changes: list[MemberChange] = []
        self.tell(name)

    # --- what others read --------------------------------------------------------------------------------

    def alive(self) -> list[str]:
        """Those that take part, suspects too, without this process."""
        return [m.name for m in self.members.values() if m.state in (MemberState.ALIVE, MemberState.SUSPECT)]

    def taken(self) -> list[MemberChange]:
        """The changes since the last call."""
        changes, self.changes = self.changes, []
        return changes

    def status(self) -> MemberState:
        """What this process says of itself."""
        return MemberState.LEFT if self.leaving else MemberState.ALIVE

    # --- time --------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Outgoing[SwimMessage]]:
        """Ends what is overdue and probes the next one; call it some times a period."""
        out: list[Outgoing[SwimMessage]] = []
        for member in self.members.values():
            if member.state is not MemberState.SUSPECT or now - member.since < self.suspicion(member):
                continue
            if now - member.heard < self.rules.patience:
                member.since = member.heard  # it spoke to this process since: its denial has been lost
            else:
                self.become(now, member, MemberState.DEAD, member.incarnation, member.boot)
        probe = self.probe
        scale = 1 + self.health
        if probe is not None and not probe.relayed and now - probe.began >= 0.4 * self.rules.period * scale:
            probe.relayed = True
            others = [name for name in self.alive() if name != probe.name]
            for name in self.rng.sample(others, min(INDIRECT_PROBES, len(others))):
                probe.asked += 1
                out.append(self.message(name, SwimMessageKind.PING_REQ, probe.serial, probe.name))
        if now < self.next_at:
            return out
        if now - self.next_at > self.rules.patience:
            # This process stood still, or was starved: what it did not hear meanwhile is its own doing.
            self.health = MAX_LOCAL_HEALTH
            self.probe = None
            for member in self.members.values():
                member.since = max(member.since, now) if member.state is MemberState.SUSPECT else member.since
        elif self.probe is not None:
            self.failed(now, self.probe)
        self.next_at = now + self.rules.period * scale
        self.periods += 1
        self.relays = {k: row for k, row in self.relays.items() if now - row[3] < 4.0 * self.rules.period}
        if not self.leaving and (target := self.target()) is not None:
            self.serial += 1
            self.probe = Probe(target, self.serial, now)
            out.append(self.message(target, SwimMessageKind.PING, self.serial))
        return out

    def target(self) -> str | None:
        """The next to be probed: each once a round, in an order drawn anew; now and then one that is gone."""
        gone = [
            m.name
            for m in self.members.values()
            if m.state in (MemberState.DEAD, MemberState.LEFT, MemberState.UNKNOWN)
        ]
        here = self.alive()
        fresh = [name for name in gone if self.members[name].state is MemberState.UNKNOWN]
        if gone and (not here or self.periods % (2 if fresh else DEAD_MEMBER_PROBE_PERIODS) == 0):
            return self.rng.choice(fresh or gone)
        known = set(here)
        while self.round and self.round[-1] not in known:
            self.round.pop()
        if not self.round:
            self.round = here
            self.rng.shuffle(self.round)
        return self.round.pop() if self.round else None

    def failed(self, now: float, probe: Probe) -> None:
        """The last probe has had no answer in its period."""
        self.probe = None
        member = self.members[probe.name]
        if member.state not in (MemberState.ALIVE, MemberState.SUSPECT):
            return
        # Relays that did not even say that they got no answer cast doubt on this process' own links.
        self.health = min(
            MAX_LOCAL_HEALTH, self.health + max(0, probe.asked - probe.nacks) + (not probe.asked)
        )
        self.suspect(now, member, self.name)

    def suspicion(self, member: Member) -> float:
        """How long a suspicion lasts, by how many confirm it."""
        size = len(self.members) + 1
        spread = 5.0 * math.log10(max(10, size)) * self.rules.period  # in which a denial reaches all
        least = self.rules.patience + spread
        share = math.log(1 + len(member.accusers)) / math.log(1 + MAX_CONFIRMATIONS)
        return least * max(1.0, self.rules.longest - (self.rules.longest - 1.0) * share)

    # --- messages ----------------------------------------------------------------------------------------

    def heard(self, now: float, sender: str, boot: int, message: SwimMessage) -> list[Outgoing[SwimMessage]]:
        """A message of a listed member's process. One that is not listed is not heard."""
        member = self.members.get(sender)
        if member is None:
            return []
        own = [update for update in message.updates if update.name == sender and update.boot == boot]
        for update in message.updates:
            self.word(now, sender, update)
        if any((update.incarnation, boot) < (member.incarnation, member.boot) for update in own):
            # A process under a name whose last one was heard of later: it has to know, or nobody hears it.
            self.tell(sender)
        if member.boot == boot:
            member.heard = now
        if message.kind is SwimMessageKind.PING:
            return [self.message(sender, SwimMessageKind.ACK, message.serial)]
        if message.kind is SwimMessageKind.PING_REQ:
            if message.about not in self.members:
                return []
            self.serial += 1
            self.relays[self.serial] = sender, message.serial, message.about, now
            nack = self.message(sender, SwimMessageKind.NACK, message.serial, message.about)
            return [self.message(message.about, SwimMessageKind.PING, self.serial), nack]
        if message.kind is SwimMessageKind.NACK:
            if self.probe is not None and message.serial == self.probe.serial:
                self.probe.nacks += 1
            return []
        relay = self.relays.pop(message.serial, None)
        if relay is not None and relay[2] == sender:
            return [self.message(relay[0], SwimMessageKind.ACK, relay[1], sender)]
        probe = self.probe
        if probe is not None and message.serial == probe.serial and probe.name in (sender, message.about):
            self.probe = None
            self.health = max(0, self.health - 1)
        return []

    def word(self, now: float, sender: str, update: MemberUpdate) -> None:
        """One word on a member, or on this process."""
        if update.name == self.name:
            self.word_on_self(now, update)
            return
        member = self.members.get(update.name)
        if member is None:
            return
        rank = (update.incarnation, update.boot)
        known = (member.incarnation, member.boot)
        if update.state is MemberState.SUSPECT and rank == known and member.state is MemberState.SUSPECT:
            if sender not in member.accusers and len(member.accusers) < MAX_CONFIRMATIONS:
                member.accusers.add(sender)
                self.news.setdefault(member.name, 0)  # told on, but not as often again: that would add up
        elif update.state is MemberState.SUSPECT and rank >= known:
            member.incarnation, member.boot = rank
            self.suspect(now, member, sender)
        elif rank > known or (rank == known and update.state > member.state):
            if member.boot not in (0, update.boot) and update.name == sender and now - member.heard < 1.0:
                self.conflicts[update.name] = self.conflicts.get(update.name, 0) + 1
                self.changes.append(MemberChange(update.name, member.state, update.state, True))
            self.become(now, member, update.state, *rank)

    def word_on_self(self, now: float, update: MemberUpdate) -> None:
        """What others think of this process, or of another one under its name; denied where it is wrong, a
        period apart, so that two processes under one name cost a message a period and no more."""
        same = update.boot == self.boot
        if same and (
            update.state in (MemberState.UNKNOWN, self.status()) or update.incarnation < self.incarnation
        ):
            return
        if not same and (update.incarnation, update.boot) < (self.incarnation, self.boot):
            self.tell(self.name)
            return
        if not same:
            self.conflicts[self.name] = self.conflicts.get(self.name, 0) + 1
        if now - self.rebooted_at >= self.rules.period:
            self.rebooted_at = now
            self.incarnation = max(self.incarnation, update.incarnation) + 1
            if same:
                self.health = min(MAX_LOCAL_HEALTH, self.health + 1)
            self.tell(self.name)

    def leave(self, now: float) -> list[Outgoing[SwimMessage]]:
        """This process goes: told at once to some, by whom it spreads."""
        self.leaving = True
        self.incarnation += 1
        self.tell(self.name)
        here = self.alive()
        return [
            self.message(name, SwimMessageKind.PING, 0)
            for name in self.rng.sample(here, min(2 * INDIRECT_PROBES, len(here)))
        ]

    # --- state -------------------------------------------------------------------------------------------

    def suspect(self, now: float, member: Member, accuser: str) -> None:
        """It may be gone."""
        if member.state is not MemberState.SUSPECT:
            self.become(now, member, MemberState.SUSPECT, member.incarnation, member.boot)
            member.accusers = set()
        member.accusers.add(accuser)

    def become(self, now: float, member: Member, state: MemberState, incarnation: int, boot: int) -> None:
        """Takes a word over, and tells on."""
        if state is not member.state:
            self.changes.append(MemberChange(member.name, member.state, state))
            member.since = now
        member.state, member.incarnation, member.boot = state, incarnation, boot
        if state is not MemberState.SUSPECT:
            member.accusers = set()
        self.tell(member.name)

    def tell(self, name: str) -> None:
        """A word on this one is to be spread."""
        self.news[name] = 0

    def update(self, name: str) -> MemberUpdate:
        """The word on one."""
        if name == self.name:
            return MemberUpdate(name, self.status(), self.incarnation, self.boot)
        member = self.members[name]
        return MemberUpdate(name, member.state, member.incarnation, member.boot)

    def urgency(self, name: str) -> tuple[bool, int]:
        """Doubts, denials and ends go before what is only new: where many join at once a denial would come
        behind all of them, and too late."""
        update = self.update(name)
        return update.state is MemberState.ALIVE and update.incarnation <= 0, self.news[name]

    def message(self, to: str, kind: SwimMessageKind, serial: int, about: str = "") -> Outgoing[SwimMessage]:
        """A message with the news that have been sent least; one that is in doubt or unknown to the receiver
        is told so first."""
        names = [self.name]
        if self.members[to].state in (MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT):
            names.append(to)
        most = max(1, math.ceil(RETRANSMIT_FACTOR * math.log(len(self.members) + 2)))
        for name in sorted(self.news, key=self.urgency):
            if len(names) >= MAX_PIGGYBACKED_UPDATES:
                break
            if name not in names:
                names.append(name)
            self.news[name] += 1
            if self.news[name] >= most:
                del self.news[name]
        return Outgoing(to, SwimMessage(kind, serial, about, tuple(self.update(name) for name in names)))
