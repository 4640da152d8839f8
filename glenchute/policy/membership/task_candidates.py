"""Who seeks a task's lease and when, and whether a task that fails goes on. No I/O; seconds by one clock that
runs on while the process, or the machine, stands still.

Of hundreds of members `CANDIDATES` seek each task, by rendezvous rank over the task's and the members' names,
so that tasks are spread and all others send nothing. Where one that ranks higher has come back, the holder
keeps the lease for as long as it renews it. A try that fails, or finds another holding, is followed by one
after a pause that doubles and is drawn, so that candidates do not block each other for ever. A lease is given
back only when the longest of the effects that have begun must be over.
"""

from __future__ import annotations

import functools
import random
from collections.abc import Iterable
from hashlib import blake2b

from .leases import NO_BALLOT, LeaseMessage, LeaseMessageKind, Proposer
from .outgoing import Outgoing

CANDIDATES_PER_TASK = 3
RENEW_AFTER_SHARE = 0.5  # of the time that a holding lasts; from then on it is renewed
TRY_S = (0.1, 2.0)  # pauses between tries
RETRANSMIT_S = 0.15  # what voters have not answered in a try goes out once more after this ...
MAX_RETRANSMITS = 6  # ... so often
RANK_DELAY_S = 0.06  # a candidate of the next rank comes so much later
RENEWAL_ATTEMPTS = 8  # of a renewal, in the time that is left
MAX_FAILED_HOLDERS = 3  # holdings in a row that ended by a step's failure; the next holder parks the task
MAX_FAILURES = 1_000_000


@functools.lru_cache(maxsize=65_536)
def candidate_rank(task: str, name: str) -> bytes:
    """Where a member stands among a task's candidates."""
    return blake2b(f"{task}|{name}".encode(), digest_size=8).digest()


class TaskCandidate:
    """One process and one task's lease."""

    def __init__(self, seeker: Proposer, rng: random.Random, now: float) -> None:
        self.proposer, self.rng = seeker, rng
        self.next_round_at = now
        self.backoff = TRY_S[0]
        self.other_candidates: list[str] = []  # the other candidates
        self.rank = CANDIDATES_PER_TASK  # among the members by rank; not one of the first before it is placed
        self.is_paused = False  # it is not to seek, for a reason of this process or of the task
        self.effects_until = -1e9  # an effect that has begun is over by then
        self.retransmit_at = -1e9
        self.retransmits_left = 0
        self.is_releasing = False  # the lease goes back as soon as that is so

    @property
    def is_candidate(self) -> bool:
        """Whether this process seeks the lease."""
        return self.rank < CANDIDATES_PER_TASK and not self.is_paused

    def update_members(self, there: Iterable[str]) -> None:
        """Which members there are, this one left out."""
        task, name = self.proposer.task, self.proposer.name
        order = sorted([*there, name], key=lambda one: candidate_rank(task, one))
        self.rank = order.index(name)
        self.other_candidates = [one for one in order[:CANDIDATES_PER_TASK] if one != name]

    def tick(self, now: float) -> list[Outgoing[LeaseMessage]]:
        """What is due; call it some twenty times a second."""
        seeker = self.proposer
        if seeker.lease is not None and not seeker.is_holder(now):
            seeker.lease = None
            self.next_round_at = now + self.next_backoff_s()
        if self.is_releasing:
            return self.finish_release(now)
        if seeker.current_round is not None and self.retransmits_left and now >= self.retransmit_at:
            self.retransmit_at, self.retransmits_left = now + RETRANSMIT_S, self.retransmits_left - 1
            return seeker.retransmit()
        if now < self.next_round_at or (seeker.current_round is not None and self.retransmits_left):
            return []
        if seeker.lease is not None:
            left = seeker.lease.expires_at - now
            lasts = seeker.terms.usable_span_s(seeker.span_s)
            if left > (1.0 - RENEW_AFTER_SHARE) * lasts:
                return []
            self.next_round_at = now + (1.0 - RENEW_AFTER_SHARE) * lasts / RENEWAL_ATTEMPTS
            return self.start_round(now)
        if not self.is_candidate:
            return []
        self.next_round_at = now + self.next_backoff_s()
        return self.start_round(now)

    def start_round(self, now: float) -> list[Outgoing[LeaseMessage]]:
        """Begins a try."""
        self.retransmit_at, self.retransmits_left = now + RETRANSMIT_S, MAX_RETRANSMITS
        return self.proposer.start_round(now)

    def next_backoff_s(self) -> float:
        """The time to another try: longer after each, drawn, and later for those that rank lower."""
        pause, self.backoff = self.backoff, min(TRY_S[1], 2.0 * self.backoff)
        return pause * self.rng.uniform(0.5, 1.5) + RANK_DELAY_S * min(self.rank, CANDIDATES_PER_TASK)

    def receive(self, now: float, sender: str, message: LeaseMessage) -> list[Outgoing[LeaseMessage]]:
        """A voter's answer, or the word of a holder that gives its lease back."""
        seeker = self.proposer
        if message.kind is LeaseMessageKind.RELEASED:
            seeker.note_release(message.ballot)
            if self.is_candidate and seeker.lease is None:
                self.next_round_at = now + RANK_DELAY_S * self.rank
                self.backoff = TRY_S[0]
            return []
        before = seeker.lease
        trying = seeker.current_round
        outs = seeker.receive(now, sender, message)
        if before is None and seeker.lease is not None:
            self.backoff = TRY_S[0]
        elif before is None and trying is not None and seeker.current_round is None:
            if seeker.other_holder_until > now:  # held by another: it is left alone until it would end
                self.next_round_at = (
                    seeker.other_holder_until + self.rng.random() * TRY_S[0] + RANK_DELAY_S * self.rank
                )
            elif message.kind is LeaseMessageKind.REJECTED:
                self.next_round_at = now + self.rng.random() * self.backoff
        return outs

    def fencing_token(self, now: float, longest_s: float) -> int | None:
        """The token, if an effect of this length may begin at this very moment; else None. Ask just before
        the effect; see `Seeker.guard` for what it does not cover."""
        token = None if self.is_releasing else self.proposer.fencing_token(now, longest_s)
        if token is not None:
            self.effects_until = max(
                self.effects_until, now + longest_s * (1.0 + self.proposer.terms.max_clock_drift)
            )
        return token

    def note_effects_ended(self, now: float) -> None:
        """What had begun is known to be over."""
        self.effects_until = now

    def release(self, now: float) -> list[Outgoing[LeaseMessage]]:
        """No effect begins from now on, and the lease goes back when those that have begun are over."""
        self.is_releasing = self.proposer.lease is not None
        return self.finish_release(now)

    def finish_release(self, now: float) -> list[Outgoing[LeaseMessage]]:
        """Gives the lease back, if that may be, and says so to the other candidates."""
        if self.proposer.lease is not None and now < self.effects_until:
            return []
        self.is_releasing = False
        outs = self.proposer.release(now)
        if outs:
            free = LeaseMessage(
                LeaseMessageKind.RELEASED, self.proposer.task, outs[0].message.ballot, NO_BALLOT
            )
            outs += [Outgoing(other, free) for other in self.other_candidates]
            self.next_round_at = now + TRY_S[1]
        return outs


class TaskRecord:
    """What all holders know of a task together, as one number that only grows within a token: steps done, and
    holdings in a row that ended by a failure. Told on as a row of replicated state, merged by token."""

    def __init__(self, token: int = 0, serial: int = 0, failures: int = 0) -> None:
        self.token, self.serial, self.failures = token, serial, failures

    @property
    def is_parked(self) -> bool:
        """Whether no holder is to try it again until somebody says so."""
        return self.failures > MAX_FAILED_HOLDERS

    def version(self) -> int:
        """Of the row: by token, then by what this holder has told."""
        return (self.token << 20) | min(self.serial, (1 << 20) - 1)

    @classmethod
    def from_row(cls, version: int, value: float) -> TaskRecord:
        """From a row."""
        return cls(version >> 20, version & ((1 << 20) - 1), int(value))

    def taken_over_by(self, token: int) -> TaskRecord:
        """A new holder's, who has read this one."""
        return TaskRecord(token, 0, self.failures)

    def after_step(self, well: bool) -> TaskRecord:
        """After a step."""
        failures = 0 if well else min(MAX_FAILURES, self.failures + 1)
        return TaskRecord(self.token, self.serial + 1, failures)

    def unparked(self) -> TaskRecord:
        """Somebody has looked at it."""
        return TaskRecord(self.token, self.serial + 1, 0)
