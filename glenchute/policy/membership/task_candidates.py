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
        self.seeker, self.rng = seeker, rng
        self.try_at = now
        self.backoff = TRY_S[0]
        self.others: list[str] = []  # the other candidates
        self.position = (
            CANDIDATES_PER_TASK  # among the members by rank; not one of the first before it is placed
        )
        self.paused = False  # it is not to seek, for a reason of this process or of the task
        self.acting_until = -1e9  # an effect that has begun is over by then
        self.again_at = -1e9
        self.again_left = 0
        self.giving = False  # the lease goes back as soon as that is so

    @property
    def candidate(self) -> bool:
        """Whether this process seeks the lease."""
        return self.position < CANDIDATES_PER_TASK and not self.paused

    def place(self, there: Iterable[str]) -> None:
        """Which members there are, this one left out."""
        task, name = self.seeker.task, self.seeker.name
        order = sorted([*there, name], key=lambda one: candidate_rank(task, one))
        self.position = order.index(name)
        self.others = [one for one in order[:CANDIDATES_PER_TASK] if one != name]

    def tick(self, now: float) -> list[Outgoing[LeaseMessage]]:
        """What is due; call it some twenty times a second."""
        seeker = self.seeker
        if seeker.holding is not None and not seeker.holds(now):
            seeker.holding = None
            self.try_at = now + self.pause()
        if self.giving:
            return self.give(now)
        if seeker.trying is not None and self.again_left and now >= self.again_at:
            self.again_at, self.again_left = now + RETRANSMIT_S, self.again_left - 1
            return seeker.again()
        if now < self.try_at or (seeker.trying is not None and self.again_left):
            return []
        if seeker.holding is not None:
            left = seeker.holding.until - now
            lasts = seeker.terms.held_for(seeker.span)
            if left > (1.0 - RENEW_AFTER_SHARE) * lasts:
                return []
            self.try_at = now + (1.0 - RENEW_AFTER_SHARE) * lasts / RENEWAL_ATTEMPTS
            return self.seek(now)
        if not self.candidate:
            return []
        self.try_at = now + self.pause()
        return self.seek(now)

    def seek(self, now: float) -> list[Outgoing[LeaseMessage]]:
        """Begins a try."""
        self.again_at, self.again_left = now + RETRANSMIT_S, MAX_RETRANSMITS
        return self.seeker.seek(now)

    def pause(self) -> float:
        """The time to another try: longer after each, drawn, and later for those that rank lower."""
        pause, self.backoff = self.backoff, min(TRY_S[1], 2.0 * self.backoff)
        return pause * self.rng.uniform(0.5, 1.5) + RANK_DELAY_S * min(self.position, CANDIDATES_PER_TASK)

    def heard(self, now: float, sender: str, message: LeaseMessage) -> list[Outgoing[LeaseMessage]]:
        """A voter's answer, or the word of a holder that gives its lease back."""
        seeker = self.seeker
        if message.kind is LeaseMessageKind.FREE:
            seeker.given_back(message.ballot)
            if self.candidate and seeker.holding is None:
                self.try_at = now + RANK_DELAY_S * self.position
                self.backoff = TRY_S[0]
            return []
        before = seeker.holding
        trying = seeker.trying
        outs = seeker.heard(now, sender, message)
        if before is None and seeker.holding is not None:
            self.backoff = TRY_S[0]
        elif before is None and trying is not None and seeker.trying is None:
            if seeker.other_until > now:  # held by another: it is left alone until it would end
                self.try_at = seeker.other_until + self.rng.random() * TRY_S[0] + RANK_DELAY_S * self.position
            elif message.kind is LeaseMessageKind.NO:
                self.try_at = now + self.rng.random() * self.backoff
        return outs

    def guard(self, now: float, longest_s: float) -> int | None:
        """The token, if an effect of this length may begin at this very moment; else None. Ask just before
        the effect; see `Seeker.guard` for what it does not cover."""
        token = None if self.giving else self.seeker.guard(now, longest_s)
        if token is not None:
            self.acting_until = max(self.acting_until, now + longest_s * (1.0 + self.seeker.terms.drift))
        return token

    def ended(self, now: float) -> None:
        """What had begun is known to be over."""
        self.acting_until = now

    def release(self, now: float) -> list[Outgoing[LeaseMessage]]:
        """No effect begins from now on, and the lease goes back when those that have begun are over."""
        self.giving = self.seeker.holding is not None
        return self.give(now)

    def give(self, now: float) -> list[Outgoing[LeaseMessage]]:
        """Gives the lease back, if that may be, and says so to the other candidates."""
        if self.seeker.holding is not None and now < self.acting_until:
            return []
        self.giving = False
        outs = self.seeker.release(now)
        if outs:
            free = LeaseMessage(LeaseMessageKind.FREE, self.seeker.task, outs[0].message.ballot, NO_BALLOT)
            outs += [Outgoing(other, free) for other in self.others]
            self.try_at = now + TRY_S[1]
        return outs


class TaskRecord:
    """What all holders know of a task together, as one number that only grows within a token: steps done, and
    holdings in a row that ended by a failure. Told on as a row of replicated state, merged by token."""

    def __init__(self, token: int = 0, serial: int = 0, failures: int = 0) -> None:
        self.token, self.serial, self.failures = token, serial, failures

    @property
    def parked(self) -> bool:
        """Whether no holder is to try it again until somebody says so."""
        return self.failures > MAX_FAILED_HOLDERS

    def version(self) -> int:
        """Of the row: by token, then by what this holder has told."""
        return (self.token << 20) | min(self.serial, (1 << 20) - 1)

    @classmethod
    def of(cls, version: int, value: float) -> TaskRecord:
        """From a row."""
        return cls(version >> 20, version & ((1 << 20) - 1), int(value))

    def took(self, token: int) -> TaskRecord:
        """A new holder's, who has read this one."""
        return TaskRecord(token, 0, self.failures)

    def step(self, well: bool) -> TaskRecord:
        """After a step."""
        failures = 0 if well else min(MAX_FAILURES, self.failures + 1)
        return TaskRecord(self.token, self.serial + 1, failures)

    def unparked(self) -> TaskRecord:
        """Somebody has looked at it."""
        return TaskRecord(self.token, self.serial + 1, 0)
