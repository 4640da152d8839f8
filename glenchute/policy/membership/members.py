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
    target: str
    updates: tuple[MemberUpdate, ...]


class MemberChange(NamedTuple):
    """A member's state has changed here; `conflict`: another process claims the name at the same time."""

    name: str
    before: MemberState
    after: MemberState
    is_name_conflict: bool = False


@dataclass(slots=True)
class SwimSettings:
    """Times in seconds."""

    period_s: float = 0.2  # between two probes of this member
    min_suspicion_s: float = 2.5  # a suspicion lasts at least so long
    max_suspicion_factor: float = 4.0  # a suspicion that nobody confirms lasts so many times as long


@dataclass(slots=True)
class Member:
    """What is known of one."""

    name: str
    state: MemberState = MemberState.UNKNOWN
    incarnation: int = -1
    boot: int = 0
    state_since: float = 0.0  # of the state
    last_message_at: float = -math.inf  # its own last message
    suspected_by: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Probe:
    """The probe under way."""

    target: str
    serial: int
    started_at: float
    is_indirect: bool = False
    nack_count: int = 0
    relay_count: int = 0


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
        self.name, self.boot, self.settings, self.rng = name, boot, rules, rng
        self.members = {other: Member(other, state_since=now) for other in listed if other != name}
        self.incarnation = 0
        self.is_leaving = False
        self.local_health = 0  # 0: well; how far this process doubts itself
        self.last_serial = 0
        self.current_probe: Probe | None = None
        self.next_probe_at = now
        self.period_count = 0
        self.probe_round: list[str] = []
        self.relayed_probes: dict[
            int, tuple[str, int, str, float]
        ] = {}  # serial: for whom, theirs, about, when
        self.piggyback_counts: dict[str, int] = {}  # name: how often its word was sent
        self.refuted_at = -math.inf
        self.name_conflicts: dict[str, int] = {}
        self.pending_changes: list[MemberChange] = []
        self.queue_update(name)

    # --- what others read --------------------------------------------------------------------------------

    def alive_names(self) -> list[str]:
        """Those that take part, suspects too, without this process."""
        return [m.name for m in self.members.values() if m.state in (MemberState.ALIVE, MemberState.SUSPECT)]

    def take_changes(self) -> list[MemberChange]:
        """The changes since the last call."""
        changes, self.pending_changes = self.pending_changes, []
        return changes

    def own_state(self) -> MemberState:
        """What this process says of itself."""
        return MemberState.LEFT if self.is_leaving else MemberState.ALIVE

    # --- time --------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Outgoing[SwimMessage]]:
        """Ends what is overdue and probes the next one; call it some times a period."""
        out: list[Outgoing[SwimMessage]] = []
        for member in self.members.values():
            if member.state is not MemberState.SUSPECT or now - member.state_since < self.suspicion_timeout_s(
                member
            ):
                continue
            if now - member.last_message_at < self.settings.min_suspicion_s:
                member.state_since = (
                    member.last_message_at
                )  # it spoke to this process since: its denial has been lost
            else:
                self.set_state(now, member, MemberState.DEAD, member.incarnation, member.boot)
        probe = self.current_probe
        scale = 1 + self.local_health
        if (
            probe is not None
            and not probe.is_indirect
            and now - probe.started_at >= 0.4 * self.settings.period_s * scale
        ):
            probe.is_indirect = True
            others = [name for name in self.alive_names() if name != probe.target]
            for name in self.rng.sample(others, min(INDIRECT_PROBES, len(others))):
                probe.relay_count += 1
                out.append(self.compose(name, SwimMessageKind.PING_REQ, probe.serial, probe.target))
        if now < self.next_probe_at:
            return out
        if now - self.next_probe_at > self.settings.min_suspicion_s:
            # This process stood still, or was starved: what it did not hear meanwhile is its own doing.
            self.local_health = MAX_LOCAL_HEALTH
            self.current_probe = None
            for member in self.members.values():
                member.state_since = (
                    max(member.state_since, now)
                    if member.state is MemberState.SUSPECT
                    else member.state_since
                )
        elif self.current_probe is not None:
            self.probe_failed(now, self.current_probe)
        self.next_probe_at = now + self.settings.period_s * scale
        self.period_count += 1
        self.relayed_probes = {
            k: row for k, row in self.relayed_probes.items() if now - row[3] < 4.0 * self.settings.period_s
        }
        if not self.is_leaving and (target := self.next_target()) is not None:
            self.last_serial += 1
            self.current_probe = Probe(target, self.last_serial, now)
            out.append(self.compose(target, SwimMessageKind.PING, self.last_serial))
        return out

    def next_target(self) -> str | None:
        """The next to be probed: each once a round, in an order drawn anew; now and then one that is gone."""
        gone = [
            m.name
            for m in self.members.values()
            if m.state in (MemberState.DEAD, MemberState.LEFT, MemberState.UNKNOWN)
        ]
        here = self.alive_names()
        fresh = [name for name in gone if self.members[name].state is MemberState.UNKNOWN]
        if gone and (not here or self.period_count % (2 if fresh else DEAD_MEMBER_PROBE_PERIODS) == 0):
            return self.rng.choice(fresh or gone)
        known = set(here)
        while self.probe_round and self.probe_round[-1] not in known:
            self.probe_round.pop()
        if not self.probe_round:
            self.probe_round = here
            self.rng.shuffle(self.probe_round)
        return self.probe_round.pop() if self.probe_round else None

    def probe_failed(self, now: float, probe: Probe) -> None:
        """The last probe has had no answer in its period."""
        self.current_probe = None
        member = self.members[probe.target]
        if member.state not in (MemberState.ALIVE, MemberState.SUSPECT):
            return
        # Relays that did not even say that they got no answer cast doubt on this process' own links.
        self.local_health = min(
            MAX_LOCAL_HEALTH,
            self.local_health + max(0, probe.relay_count - probe.nack_count) + (not probe.relay_count),
        )
        self.suspect(now, member, self.name)

    def suspicion_timeout_s(self, member: Member) -> float:
        """How long a suspicion lasts, by how many confirm it."""
        size = len(self.members) + 1
        spread = 5.0 * math.log10(max(10, size)) * self.settings.period_s  # in which a denial reaches all
        least = self.settings.min_suspicion_s + spread
        share = math.log(1 + len(member.suspected_by)) / math.log(1 + MAX_CONFIRMATIONS)
        return least * max(
            1.0, self.settings.max_suspicion_factor - (self.settings.max_suspicion_factor - 1.0) * share
        )

    # --- messages ----------------------------------------------------------------------------------------

    def receive(
        self, now: float, sender: str, boot: int, message: SwimMessage
    ) -> list[Outgoing[SwimMessage]]:
        """A message of a listed member's process. One that is not listed is not heard."""
        member = self.members.get(sender)
        if member is None:
            return []
        own = [update for update in message.updates if update.name == sender and update.boot == boot]
        for update in message.updates:
            self.apply_update(now, sender, update)
        if any((update.incarnation, boot) < (member.incarnation, member.boot) for update in own):
            # A process under a name whose last one was heard of later: it has to know, or nobody hears it.
            self.queue_update(sender)
        if member.boot == boot:
            member.last_message_at = now
        if message.kind is SwimMessageKind.PING:
            return [self.compose(sender, SwimMessageKind.ACK, message.serial)]
        if message.kind is SwimMessageKind.PING_REQ:
            if message.target not in self.members:
                return []
            self.last_serial += 1
            self.relayed_probes[self.last_serial] = sender, message.serial, message.target, now
            nack = self.compose(sender, SwimMessageKind.NACK, message.serial, message.target)
            return [self.compose(message.target, SwimMessageKind.PING, self.last_serial), nack]
        if message.kind is SwimMessageKind.NACK:
            if self.current_probe is not None and message.serial == self.current_probe.serial:
                self.current_probe.nack_count += 1
            return []
        relay = self.relayed_probes.pop(message.serial, None)
        if relay is not None and relay[2] == sender:
            return [self.compose(relay[0], SwimMessageKind.ACK, relay[1], sender)]
        probe = self.current_probe
        if probe is not None and message.serial == probe.serial and probe.target in (sender, message.target):
            self.current_probe = None
            self.local_health = max(0, self.local_health - 1)
        return []

    def apply_update(self, now: float, sender: str, update: MemberUpdate) -> None:
        """One word on a member, or on this process."""
        if update.name == self.name:
            self.apply_update_on_self(now, update)
            return
        member = self.members.get(update.name)
        if member is None:
            return
        rank = (update.incarnation, update.boot)
        known = (member.incarnation, member.boot)
        if update.state is MemberState.SUSPECT and rank == known and member.state is MemberState.SUSPECT:
            if sender not in member.suspected_by and len(member.suspected_by) < MAX_CONFIRMATIONS:
                member.suspected_by.add(sender)
                self.piggyback_counts.setdefault(
                    member.name, 0
                )  # told on, but not as often again: that would add up
        elif update.state is MemberState.SUSPECT and rank >= known:
            member.incarnation, member.boot = rank
            self.suspect(now, member, sender)
        elif rank > known or (rank == known and update.state > member.state):
            if (
                member.boot not in (0, update.boot)
                and update.name == sender
                and now - member.last_message_at < 1.0
            ):
                self.name_conflicts[update.name] = self.name_conflicts.get(update.name, 0) + 1
                self.pending_changes.append(MemberChange(update.name, member.state, update.state, True))
            self.set_state(now, member, update.state, *rank)

    def apply_update_on_self(self, now: float, update: MemberUpdate) -> None:
        """What others think of this process, or of another one under its name; denied where it is wrong, a
        period apart, so that two processes under one name cost a message a period and no more."""
        same = update.boot == self.boot
        if same and (
            update.state in (MemberState.UNKNOWN, self.own_state()) or update.incarnation < self.incarnation
        ):
            return
        if not same and (update.incarnation, update.boot) < (self.incarnation, self.boot):
            self.queue_update(self.name)
            return
        if not same:
            self.name_conflicts[self.name] = self.name_conflicts.get(self.name, 0) + 1
        if now - self.refuted_at >= self.settings.period_s:
            self.refuted_at = now
            self.incarnation = max(self.incarnation, update.incarnation) + 1
            if same:
                self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)
            self.queue_update(self.name)

    def leave(self, now: float) -> list[Outgoing[SwimMessage]]:
        """This process goes: told at once to some, by whom it spreads."""
        self.is_leaving = True
        self.incarnation += 1
        self.queue_update(self.name)
        here = self.alive_names()
        return [
            self.compose(name, SwimMessageKind.PING, 0)
            for name in self.rng.sample(here, min(2 * INDIRECT_PROBES, len(here)))
        ]

    # --- state -------------------------------------------------------------------------------------------

    def suspect(self, now: float, member: Member, accuser: str) -> None:
        """It may be gone."""
        if member.state is not MemberState.SUSPECT:
            self.set_state(now, member, MemberState.SUSPECT, member.incarnation, member.boot)
            member.suspected_by = set()
        member.suspected_by.add(accuser)

    def set_state(self, now: float, member: Member, state: MemberState, incarnation: int, boot: int) -> None:
        """Takes a word over, and tells on."""
        if state is not member.state:
            self.pending_changes.append(MemberChange(member.name, member.state, state))
            member.state_since = now
        member.state, member.incarnation, member.boot = state, incarnation, boot
        if state is not MemberState.SUSPECT:
            member.suspected_by = set()
        self.queue_update(member.name)

    def queue_update(self, name: str) -> None:
        """A word on this one is to be spread."""
        self.piggyback_counts[name] = 0

    def update_for(self, name: str) -> MemberUpdate:
        """The word on one."""
        if name == self.name:
            return MemberUpdate(name, self.own_state(), self.incarnation, self.boot)
        member = self.members[name]
        return MemberUpdate(name, member.state, member.incarnation, member.boot)

    def piggyback_order(self, name: str) -> tuple[bool, int]:
        """Doubts, denials and ends go before what is only new: where many join at once a denial would come
        behind all of them, and too late."""
        update = self.update_for(name)
        return update.state is MemberState.ALIVE and update.incarnation <= 0, self.piggyback_counts[name]

    def compose(self, to: str, kind: SwimMessageKind, serial: int, about: str = "") -> Outgoing[SwimMessage]:
        """A message with the news that have been sent least; one that is in doubt or unknown to the receiver
        is told so first."""
        names = [self.name]
        if self.members[to].state in (MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT):
            names.append(to)
        most = max(1, math.ceil(RETRANSMIT_FACTOR * math.log(len(self.members) + 2)))
        for name in sorted(self.piggyback_counts, key=self.piggyback_order):
            if len(names) >= MAX_PIGGYBACKED_UPDATES:
                break
            if name not in names:
                names.append(name)
            self.piggyback_counts[name] += 1
            if self.piggyback_counts[name] >= most:
                del self.piggyback_counts[name]
        return Outgoing(to, SwimMessage(kind, serial, about, tuple(self.update_for(name) for name in names)))
