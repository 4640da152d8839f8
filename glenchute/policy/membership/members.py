"""Membership and failure detection: SWIM with Lifeguard, as a state machine without I/O.

Sources: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002): probes in a shuffled round, indirect probes, suspicion, incarnations, piggybacked updates.
Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (2018): the
local health multiplier slows down the probes of a process that misses answers itself; a suspicion's timeout
shrinks with independent confirmations; a suspect is notified by the next message to it.

Times are seconds of a monotonic clock of this process; no message carries a time. Only configured members
are accepted, so the configuration bounds all tables. Guarantees, each with a test:

- A member that answers within `min_suspicion_s` is not declared dead, however many messages are lost.
- A restarted process differs from its predecessor by its `boot` (a random number per process), and takes the
  name over with an incarnation above the predecessor's.
- A message carries at most `MAX_PIGGYBACKED_UPDATES` updates, and what a member sends per period does not
  depend on how many members are alive, dead or suspected.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from .outgoing import Outgoing

MAX_PIGGYBACKED_UPDATES = 16  # per message
INDIRECT_PROBES = 3  # members asked for an indirect probe
RETRANSMIT_FACTOR = 3.0  # an update is sent 3 ln(n) times; a share e^(-3 ln n) of n members misses it
MAX_LOCAL_HEALTH = 8
MAX_CONFIRMATIONS = 3  # number of confirmations at which a suspicion's timeout reaches its minimum
UNKNOWN_MEMBER_PROBE_PERIODS = 2  # periods between probes of members never reached
# Periods between probes of members that are dead or have left: they may be back, or a partition has ended.
DEAD_MEMBER_PROBE_PERIODS = 8
INDIRECT_PROBE_PERIODS = 0.4  # periods without an answer after which indirect probes are sent
RELAY_PERIODS = 4.0  # periods for which an indirect probe for another member is remembered
REFUTATION_PERIODS = 5.0  # times log10(members): periods within which a refutation reaches all
NAME_CONFLICT_S = 1.0  # two processes sending under one name within this time run at once


class MemberState(IntEnum):
    """A member's state; of two updates of one incarnation the higher state wins."""

    UNKNOWN = 0  # configured, but no message was received yet
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4  # announced by the member itself


class SwimMessageKind(IntEnum):
    """What a message asks for or reports; the numbers are part of the datagram format."""

    PING = 0
    ACK = 1
    PING_REQ = 2  # asks the receiver to probe `target`
    NACK = 3  # acknowledges a PING_REQ whose target has not answered yet


class MemberUpdate(NamedTuple):
    """A member's state as one member knows it. `boot` identifies the process, `incarnation` counts the
    updates that it issued about itself."""

    name: str
    state: MemberState
    incarnation: int
    boot: int


class SwimMessage(NamedTuple):
    """A message. `serial` pairs an answer with its probe; `target` is the member that an indirect probe is
    for, else empty; `updates` are piggybacked."""

    kind: SwimMessageKind
    serial: int
    target: str
    updates: tuple[MemberUpdate, ...]


class MemberChange(NamedTuple):
    """A change of a member's state in this process' view. `is_name_conflict`: two processes run under the
    name at the same time."""

    name: str
    before: MemberState
    after: MemberState
    is_name_conflict: bool = False


class RelayedProbe(NamedTuple):
    """An indirect probe that this process makes for another member."""

    requester: str
    requester_serial: int
    target: str
    started_at: float


@dataclass(slots=True)
class SwimSettings:
    """Timing of the failure detector."""

    period_s: float = 0.2  # protocol period, with one probe in each
    min_suspicion_s: float = 2.5  # minimum duration of a suspicion
    max_suspicion_factor: float = 4.0  # timeout of an unconfirmed suspicion, in multiples of the minimum


@dataclass(slots=True)
class Member:
    """What this process knows of one member."""

    name: str
    state: MemberState = MemberState.UNKNOWN
    incarnation: int = -1
    boot: int = 0
    state_since: float = 0.0
    last_message_at: float = -math.inf  # received directly from the member's present process
    suspected_by: set[str] = field(default_factory=set)

    @property
    def is_participating(self) -> bool:
        """Returns whether the member is alive or suspected."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(slots=True)
class Probe:
    """The probe of the current period."""

    target: str
    serial: int
    started_at: float
    is_indirect: bool = False
    nack_count: int = 0
    relay_count: int = 0


class MemberList:
    """The members and their states as seen by one process."""

    def __init__(
        self, name: str, boot: int, listed: Sequence[str], settings: SwimSettings, rng: random.Random,
        now: float = 0.0,
    ) -> None:  # fmt: skip
        """`name` and `boot` identify this process; `listed` are the configured members."""
        self.name, self.boot, self.settings, self.rng = name, boot, settings, rng
        self.members = {other: Member(other, state_since=now) for other in listed if other != name}
        self.incarnation = 0
        self.is_leaving = False
        self.local_health = 0  # Lifeguard's local health multiplier less one; 0 is healthy
        self.last_serial = 0
        self.current_probe: Probe | None = None
        self.next_probe_at = now
        self.period_count = 0
        self.probe_round: list[str] = []
        self.relayed_probes: dict[int, RelayedProbe] = {}  # by serial
        self.piggyback_counts: dict[str, int] = {}  # by member: transmissions of its queued update
        self.refuted_at = -math.inf
        self.name_conflicts: dict[str, int] = {}
        self.pending_changes: list[MemberChange] = []
        self.queue_update(name)

    # --- queries -----------------------------------------------------------------------------------------

    def alive_names(self) -> list[str]:
        """Returns the names of participating members, including suspects but not this process."""
        return [member.name for member in self.members.values() if member.is_participating]

    def take_changes(self) -> list[MemberChange]:
        """Returns the changes since the last call."""
        changes, self.pending_changes = self.pending_changes, []
        return changes

    def own_state(self) -> MemberState:
        """Returns the state that this process announces for itself."""
        return MemberState.LEFT if self.is_leaving else MemberState.ALIVE

    # --- timer -------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Outgoing[SwimMessage]]:
        """Ends expired suspicions and starts the probes that are due. To be called several times per
        period."""
        self.expire_suspicions(now)
        health_factor = 1 + self.local_health
        out = self.indirect_probes(now, health_factor)
        if now < self.next_probe_at:
            return out
        if now - self.next_probe_at > self.settings.min_suspicion_s:
            self.recover_from_pause(now)
        elif self.current_probe is not None:
            self.probe_failed(now, self.current_probe)
        self.next_probe_at = now + self.settings.period_s * health_factor
        self.period_count += 1
        relay_s = RELAY_PERIODS * self.settings.period_s
        self.relayed_probes = {
            serial: relay for serial, relay in self.relayed_probes.items() if now - relay.started_at < relay_s
        }
        if not self.is_leaving and (target := self.next_target()) is not None:
            self.last_serial += 1
            self.current_probe = Probe(target, self.last_serial, now)
            out.append(self.compose(target, SwimMessageKind.PING, self.last_serial))
        return out

    def expire_suspicions(self, now: float) -> None:
        """Declares suspects dead whose timeout has passed."""
        for member in self.members.values():
            if member.state is not MemberState.SUSPECT:
                continue
            if now - member.state_since < self.suspicion_timeout_s(member):
                continue
            if now - member.last_message_at < self.settings.min_suspicion_s:
                # A message has arrived from it since, so its refutation was lost: restart the suspicion.
                member.state_since = member.last_message_at
            else:
                self.set_state(now, member, MemberState.DEAD, member.incarnation, member.boot)

    def indirect_probes(self, now: float, health_factor: int) -> list[Outgoing[SwimMessage]]:
        """Asks other members, once, to probe the current target if it has not answered in time."""
        out: list[Outgoing[SwimMessage]] = []
        probe = self.current_probe
        if probe is None or probe.is_indirect:
            return out
        if now - probe.started_at < INDIRECT_PROBE_PERIODS * self.settings.period_s * health_factor:
            return out
        probe.is_indirect = True
        others = [name for name in self.alive_names() if name != probe.target]
        for name in self.rng.sample(others, min(INDIRECT_PROBES, len(others))):
            probe.relay_count += 1
            out.append(self.compose(name, SwimMessageKind.PING_REQ, probe.serial, probe.target))
        return out

    def recover_from_pause(self, now: float) -> None:
        """Handles a pause of this process, which was stopped or starved of CPU: any missing answers are its
        own fault, so the current probe is abandoned and all suspicions restart."""
        self.local_health = MAX_LOCAL_HEALTH
        self.current_probe = None
        for member in self.members.values():
            if member.state is MemberState.SUSPECT:
                member.state_since = max(member.state_since, now)

    def next_target(self) -> str | None:
        """Returns the next member to probe: each participating one once per round in shuffled order, and
        every few periods one that is dead, has left or was never reached."""
        inactive = [member.name for member in self.members.values() if not member.is_participating]
        alive = self.alive_names()
        unknown = [name for name in inactive if self.members[name].state is MemberState.UNKNOWN]
        inactive_probe_periods = UNKNOWN_MEMBER_PROBE_PERIODS if unknown else DEAD_MEMBER_PROBE_PERIODS
        if inactive and (not alive or self.period_count % inactive_probe_periods == 0):
            return self.rng.choice(unknown or inactive)
        known = set(alive)
        while self.probe_round and self.probe_round[-1] not in known:
            self.probe_round.pop()
        if not self.probe_round:
            self.probe_round = alive
            self.rng.shuffle(self.probe_round)
        return self.probe_round.pop() if self.probe_round else None

    def probe_failed(self, now: float, probe: Probe) -> None:
        """Suspects the target of a probe that got no answer, direct or indirect, within its period."""
        self.current_probe = None
        member = self.members[probe.target]
        if not member.is_participating:
            return
        # Relays that did not even send a NACK indicate that this process' own links are at fault.
        missing_nacks = max(0, probe.relay_count - probe.nack_count) + (not probe.relay_count)
        self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + missing_nacks)
        self.suspect(now, member, self.name)

    def suspicion_timeout_s(self, member: Member) -> float:
        """Returns the timeout of a suspicion, which falls with the logarithm of its number of
        confirmations."""
        size = len(self.members) + 1
        refutation_s = REFUTATION_PERIODS * math.log10(max(10, size)) * self.settings.period_s
        shortest_s = self.settings.min_suspicion_s + refutation_s
        confirmed_share = math.log(1 + len(member.suspected_by)) / math.log(1 + MAX_CONFIRMATIONS)
        factor = self.settings.max_suspicion_factor
        return shortest_s * max(1.0, factor - (factor - 1.0) * confirmed_share)

    # --- messages ----------------------------------------------------------------------------------------

    def receive(
        self, now: float, sender: str, boot: int, message: SwimMessage
    ) -> list[Outgoing[SwimMessage]]:
        """Handles a message from the process `boot` of member `sender` and returns the answers. Senders that
        are not configured are ignored."""
        member = self.members.get(sender)
        if member is None:
            return []
        own = [update for update in message.updates if update.name == sender and update.boot == boot]
        for update in message.updates:
            self.apply_update(now, sender, update)
        if any((update.incarnation, boot) < (member.incarnation, member.boot) for update in own):
            # A restarted process has to learn its predecessor's incarnation to be accepted.
            self.queue_update(sender)
        if member.boot == boot:
            member.last_message_at = now
        if message.kind is SwimMessageKind.PING:
            return [self.compose(sender, SwimMessageKind.ACK, message.serial)]
        if message.kind is SwimMessageKind.PING_REQ:
            return self.relay_probe(now, sender, message)
        if message.kind is SwimMessageKind.NACK:
            if self.current_probe is not None and message.serial == self.current_probe.serial:
                self.current_probe.nack_count += 1
            return []
        return self.receive_ack(sender, message)

    def relay_probe(self, now: float, sender: str, message: SwimMessage) -> list[Outgoing[SwimMessage]]:
        """Probes a member on behalf of another, which gets a NACK at once and an ACK if the target
        answers."""
        if message.target not in self.members:
            return []
        self.last_serial += 1
        self.relayed_probes[self.last_serial] = RelayedProbe(sender, message.serial, message.target, now)
        nack = self.compose(sender, SwimMessageKind.NACK, message.serial, message.target)
        return [self.compose(message.target, SwimMessageKind.PING, self.last_serial), nack]

    def receive_ack(self, sender: str, message: SwimMessage) -> list[Outgoing[SwimMessage]]:
        """Handles an answer to a relayed probe, which is forwarded, or to this process' own probe."""
        relay = self.relayed_probes.pop(message.serial, None)
        if relay is not None and relay.target == sender:
            return [self.compose(relay.requester, SwimMessageKind.ACK, relay.requester_serial, sender)]
        probe = self.current_probe
        if probe is not None and message.serial == probe.serial and probe.target in (sender, message.target):
            self.current_probe = None
            self.local_health = max(0, self.local_health - 1)
        return []

    def apply_update(self, now: float, sender: str, update: MemberUpdate) -> None:
        """Applies a piggybacked update. Higher incarnations win, then higher boots, then higher states."""
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
                # The confirmation is forwarded, but the count of transmissions is not reset.
                self.piggyback_counts.setdefault(member.name, 0)
        elif update.state is MemberState.SUSPECT and rank >= known:
            member.incarnation, member.boot = rank
            self.suspect(now, member, sender)
        elif rank > known or (rank == known and update.state > member.state):
            is_other_process = member.boot not in (0, update.boot) and update.name == sender
            if is_other_process and now - member.last_message_at < NAME_CONFLICT_S:
                self.name_conflicts[update.name] = self.name_conflicts.get(update.name, 0) + 1
                self.pending_changes.append(MemberChange(update.name, member.state, update.state, True))
            self.set_state(now, member, update.state, *rank)

    def apply_update_on_self(self, now: float, update: MemberUpdate) -> None:
        """Applies an update on this process, or on another process under its name. A wrong one is refuted, at
        most once per period, so that two processes under one name cost only one message per period."""
        is_same_process = update.boot == self.boot
        if is_same_process:
            is_correct = update.state in (MemberState.UNKNOWN, self.own_state())
            if is_correct or update.incarnation < self.incarnation:
                return
        elif (update.incarnation, update.boot) < (self.incarnation, self.boot):
            self.queue_update(self.name)
            return
        else:
            self.name_conflicts[self.name] = self.name_conflicts.get(self.name, 0) + 1
        if now - self.refuted_at >= self.settings.period_s:
            self.refuted_at = now
            self.incarnation = max(self.incarnation, update.incarnation) + 1
            if is_same_process:
                self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)
            self.queue_update(self.name)

    def leave(self, now: float) -> list[Outgoing[SwimMessage]]:
        """Leaves gracefully: announces it to a few members at once, which spread it by piggybacking."""
        self.is_leaving = True
        self.incarnation += 1
        self.queue_update(self.name)
        alive = self.alive_names()
        receivers = self.rng.sample(alive, min(2 * INDIRECT_PROBES, len(alive)))
        return [self.compose(name, SwimMessageKind.PING, 0) for name in receivers]

    # --- state -------------------------------------------------------------------------------------------

    def suspect(self, now: float, member: Member, accuser: str) -> None:
        """Records that `accuser` suspects the member."""
        if member.state is not MemberState.SUSPECT:
            self.set_state(now, member, MemberState.SUSPECT, member.incarnation, member.boot)
            member.suspected_by = set()
        member.suspected_by.add(accuser)

    def set_state(self, now: float, member: Member, state: MemberState, incarnation: int, boot: int) -> None:
        """Adopts a member's state and queues it for the other members."""
        if state is not member.state:
            self.pending_changes.append(MemberChange(member.name, member.state, state))
            member.state_since = now
        member.state, member.incarnation, member.boot = state, incarnation, boot
        if state is not MemberState.SUSPECT:
            member.suspected_by = set()
        self.queue_update(member.name)

    def queue_update(self, name: str) -> None:
        """Queues the member's state for piggybacking, with a new count of transmissions."""
        self.piggyback_counts[name] = 0

    def update_for(self, name: str) -> MemberUpdate:
        """Returns the state of a member, or of this process, as an update."""
        if name == self.name:
            return MemberUpdate(name, self.own_state(), self.incarnation, self.boot)
        member = self.members[name]
        return MemberUpdate(name, member.state, member.incarnation, member.boot)

    def piggyback_order(self, name: str) -> tuple[bool, int]:
        """Returns the sort key of a queued update: suspicions, refutations and deaths before first
        announcements, then the least sent. Without it, when many members join at once, a refutation would
        wait behind all of their announcements."""
        update = self.update_for(name)
        is_announcement = update.state is MemberState.ALIVE and update.incarnation <= 0
        return is_announcement, self.piggyback_counts[name]

    def compose(self, to: str, kind: SwimMessageKind, serial: int, target: str = "") -> Outgoing[SwimMessage]:
        """Returns a message with piggybacked updates: this process' own, the receiver's if that is suspected,
        dead or has left, then the queued ones in order."""
        names = [self.name]
        if self.members[to].state in (MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT):
            names.append(to)
        max_transmissions = max(1, math.ceil(RETRANSMIT_FACTOR * math.log(len(self.members) + 2)))
        for name in sorted(self.piggyback_counts, key=self.piggyback_order):
            if len(names) >= MAX_PIGGYBACKED_UPDATES:
                break
            if name not in names:
                names.append(name)
            self.piggyback_counts[name] += 1
            if self.piggyback_counts[name] >= max_transmissions:
                del self.piggyback_counts[name]
        updates = tuple(self.update_for(name) for name in names)
        return Outgoing(to, SwimMessage(kind, serial, target, updates))
