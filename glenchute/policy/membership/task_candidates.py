"""Which members compete for a task's lease and when, and whether a failing task is tried again. No I/O;
seconds of a clock that advances while the process, or the machine, is suspended.

Only `CANDIDATES_PER_TASK` of all members compete for each task, chosen by rendezvous hashing of the task's
and the members' names, so that tasks are spread and all other members send nothing. A holder keeps the lease
while it renews it, even if a member that ranks higher returns. A round that fails, or finds another holder,
is followed by the next one after a randomized exponential backoff, so that candidates do not block each other
forever. A lease is released only when all effects that were started must be over.
"""

from __future__ import annotations

import functools
import math
import random
from collections.abc import Iterable
from hashlib import blake2b

from .leases import NO_BALLOT, LeaseMessage, LeaseMessageKind, Proposer
from .outgoing import Outgoing

CANDIDATES_PER_TASK = 3
RENEW_AFTER_SHARE = 0.5  # the share of a lease's usable time after which it is renewed
RENEWAL_ATTEMPTS = 8  # rounds in the usable time that is left when renewal starts
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 2.0  # time between rounds
RETRANSMIT_S = 0.15  # time between retransmissions
MAX_RETRANSMITS = 6  # retransmissions per round
RANK_DELAY_S = 0.06  # each candidate's delay after the one that ranks before it
MAX_FAILED_HOLDERS = 3  # successive failed holders; one more parks the task
MAX_FAILURES = 1_000_000
SERIAL_BITS = 20  # the low bits of a task row's version; the token is in the bits above
MAX_SERIAL = (1 << SERIAL_BITS) - 1


@functools.lru_cache(maxsize=65_536)
def candidate_rank(task: str, name: str) -> bytes:
    """Returns the rendezvous hash that orders members for a task; the lowest is first."""
    return blake2b(f"{task}|{name}".encode(), digest_size=8).digest()


class TaskCandidate:
    """One process as a candidate for one task's lease: when to start, retransmit and renew a round, and when
    the lease may be released."""

    def __init__(self, proposer: Proposer, rng: random.Random, now: float) -> None:
        self.proposer, self.rng = proposer, rng
        self.next_round_at = now
        self.backoff_s = MIN_BACKOFF_S
        self.other_candidates: list[str] = []
        self.rank = CANDIDATES_PER_TASK  # rank among the members; not a candidate until they are known
        self.is_paused = False  # set by the caller while this process drains or the task is parked
        self.effects_until = -math.inf  # when all started effects are over at the latest
        self.retransmit_at = -math.inf
        self.retransmits_left = 0
        self.is_releasing = False  # the lease is to be released as soon as the effects are over

    @property
    def is_candidate(self) -> bool:
        """Returns whether this process competes for the lease."""
        return self.rank < CANDIDATES_PER_TASK and not self.is_paused

    def update_members(self, others: Iterable[str]) -> None:
        """Ranks the candidates anew. `others`: the members that are present, without this process."""
        task, own_name = self.proposer.task, self.proposer.name
        order = sorted([*others, own_name], key=lambda name: candidate_rank(task, name))
        self.rank = order.index(own_name)
        self.other_candidates = [name for name in order[:CANDIDATES_PER_TASK] if name != own_name]

    def tick(self, now: float) -> list[Outgoing[LeaseMessage]]:
        """Returns the messages that are due; to be called some twenty times a second."""
        proposer = self.proposer
        if proposer.lease is not None and not proposer.is_holder(now):
            proposer.lease = None
            self.next_round_at = now + self.next_backoff_s()
        if self.is_releasing:
            return self.finish_release(now)
        may_retransmit = proposer.current_round is not None and self.retransmits_left > 0
        if may_retransmit and now >= self.retransmit_at:
            self.retransmit_at, self.retransmits_left = now + RETRANSMIT_S, self.retransmits_left - 1
            return proposer.retransmit()
        if now < self.next_round_at or may_retransmit:
            return []
        if proposer.lease is not None:
            return self.renew(now, proposer.lease.expires_at - now)
        if not self.is_candidate:
            return []
        self.next_round_at = now + self.next_backoff_s()
        return self.start_round(now)

    def renew(self, now: float, remaining_s: float) -> list[Outgoing[LeaseMessage]]:
        """Starts a renewal once `RENEW_AFTER_SHARE` of the lease's usable time has passed."""
        usable_s = self.proposer.terms.usable_span_s(self.proposer.span_s)
        if remaining_s > (1.0 - RENEW_AFTER_SHARE) * usable_s:
            return []
        self.next_round_at = now + (1.0 - RENEW_AFTER_SHARE) * usable_s / RENEWAL_ATTEMPTS
        return self.start_round(now)

    def start_round(self, now: float) -> list[Outgoing[LeaseMessage]]:
        """Starts a round with a full number of retransmissions."""
        self.retransmit_at, self.retransmits_left = now + RETRANSMIT_S, MAX_RETRANSMITS
        return self.proposer.start_round(now)

    def next_backoff_s(self) -> float:
        """Returns the time to the next round: doubled each time, randomized, and longer for candidates that
        rank later."""
        backoff_s, self.backoff_s = self.backoff_s, min(MAX_BACKOFF_S, 2.0 * self.backoff_s)
        return backoff_s * self.rng.uniform(0.5, 1.5) + RANK_DELAY_S * min(self.rank, CANDIDATES_PER_TASK)

    def receive(self, now: float, sender: str, message: LeaseMessage) -> list[Outgoing[LeaseMessage]]:
        """Handles an acceptor's answer, or a holder's announcement that it released the lease."""
        proposer = self.proposer
        if message.kind is LeaseMessageKind.RELEASED:
            proposer.note_release(message.ballot)
            if self.is_candidate and proposer.lease is None:
                self.next_round_at = now + RANK_DELAY_S * self.rank
                self.backoff_s = MIN_BACKOFF_S
            return []
        had_lease = proposer.lease is not None
        had_round = proposer.current_round is not None
        out = proposer.receive(now, sender, message)
        if had_lease:
            return out
        if proposer.lease is not None:
            self.backoff_s = MIN_BACKOFF_S
        elif had_round and proposer.current_round is None:
            self.schedule_next_round(now, message)
        return out

    def schedule_next_round(self, now: float, message: LeaseMessage) -> None:
        """Schedules the round after a failed one: when the other holder's lease would expire, or after a
        random part of the backoff where only the ballot was too low."""
        other_holder_until = self.proposer.other_holder_until
        if other_holder_until > now:
            jitter_s = self.rng.random() * MIN_BACKOFF_S
            self.next_round_at = other_holder_until + jitter_s + RANK_DELAY_S * self.rank
        elif message.kind is LeaseMessageKind.REJECTED:
            self.next_round_at = now + self.rng.random() * self.backoff_s

    def fencing_token(self, now: float, longest_s: float) -> int | None:
        """Returns the token for an effect that starts now and takes at most `longest_s`, or None where it may
        not start. To be called just before the effect; `Proposer.fencing_token` states what it does not
        cover."""
        token = None if self.is_releasing else self.proposer.fencing_token(now, longest_s)
        if token is not None:
            end = now + longest_s * (1.0 + self.proposer.terms.max_clock_drift)
            self.effects_until = max(self.effects_until, end)
        return token

    def note_effects_ended(self, now: float) -> None:
        """Records that all effects that were started are over."""
        self.effects_until = now

    def release(self, now: float) -> list[Outgoing[LeaseMessage]]:
        """Starts releasing the lease: no effect may start from now on, and the lease is released once the
        effects that were started are over."""
        self.is_releasing = self.proposer.lease is not None
        return self.finish_release(now)

    def finish_release(self, now: float) -> list[Outgoing[LeaseMessage]]:
        """Releases the lease, unless an effect may still run, and announces it to the other candidates."""
        if self.proposer.lease is not None and now < self.effects_until:
            return []
        self.is_releasing = False
        out = self.proposer.release(now)
        if out:
            ballot = out[0].message.ballot
            released = LeaseMessage(LeaseMessageKind.RELEASED, self.proposer.task, ballot, NO_BALLOT)
            out += [Outgoing(other, released) for other in self.other_candidates]
            self.next_round_at = now + MAX_BACKOFF_S
        return out


class TaskRecord:
    """The state that holders report of a task, replicated as one row per task. The row's version orders
    records by token, then by the number of steps that this holder reported; its value counts successive
    holders that failed."""

    def __init__(self, token: int = 0, serial: int = 0, failures: int = 0) -> None:
        self.token, self.serial, self.failures = token, serial, failures

    @property
    def is_parked(self) -> bool:
        """Returns whether no holder may try the task until an operator unparks it."""
        return self.failures > MAX_FAILED_HOLDERS

    def version(self) -> int:
        """Returns the version of the task's row."""
        return (self.token << SERIAL_BITS) | min(self.serial, MAX_SERIAL)

    @classmethod
    def from_row(cls, version: int, value: float) -> TaskRecord:
        """Returns the record that a row's version and value hold."""
        return cls(version >> SERIAL_BITS, version & MAX_SERIAL, int(value))

    def taken_over_by(self, token: int) -> TaskRecord:
        """Returns the first record of a new holder that has read this one."""
        return TaskRecord(token, 0, self.failures)

    def after_step(self, succeeded: bool) -> TaskRecord:
        """Returns the record after a step."""
        failures = 0 if succeeded else min(MAX_FAILURES, self.failures + 1)
        return TaskRecord(self.token, self.serial + 1, failures)

    def unparked(self) -> TaskRecord:
        """Returns the record after an operator has unparked the task."""
        return TaskRecord(self.token, self.serial + 1, 0)
