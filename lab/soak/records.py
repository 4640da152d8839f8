"""Records what clients and servers observed, and finds broken rules.

All times are seconds of one event loop's clock.
"""

from __future__ import annotations

import bisect
import itertools
import math
from collections import Counter
from dataclasses import dataclass, field

LATE_RESPONSE_S = 0.5  # a response later than this after its deadline counts as lost
DISCONNECT_GRACE_S = 0.1  # no attempt may begin later than this after its client disconnected
DRAIN_GRACE_S = 0.25  # no attempt may arrive at a server later than this after its drain
LOG_END_LENGTH = 600  # characters of the gateway's log that a violation quotes
TOLERANCE_S = 0.05  # the protocol page allows this much on each time limit that is measured on sockets


def ending_faults(exit_status: int | None, log: str) -> list[str]:
    """Finds a bad exit status of the gateway, and a traceback in its log."""
    violations = [] if exit_status == 0 else [f"process: exit status {exit_status}"]
    if "Traceback" in log:
        violations.append(f"process: a traceback: {log[log.index('Traceback') :][-300:]}")
    return violations


@dataclass(slots=True)
class RequestRecord:
    """A request as its client sees it."""

    request_id: bytes
    class_name: str
    deadline_s: float
    key: bytes | None = None
    command: bytes = b""  # as it is sent, also again
    sent_at: float | None = None  # when its last byte was handed to the kernel
    previous_answer_at: float = 0.0  # when the previous answer on its connection arrived
    answered_at: float | None = None
    answer: str = ""  # "served", "rejected", "failed", or empty without an answer
    answer_count: int = 0
    disconnected_at: float | None = None  # when its client closed the connection
    is_unreachable: bool = False  # no process accepted its connection
    # In a crowd: each of its connections ended without a byte of reply, also the new one for its repeat.
    is_turned_away: bool = False


@dataclass(slots=True)
class AttemptRecord:
    """A command that a server received."""

    arrived_at: float
    server: str
    request_id: bytes


@dataclass(slots=True)
class RunRecords:
    """What clients, servers and this process observed in one run."""

    requests: dict[bytes, RequestRecord] = field(default_factory=dict)
    attempts: list[AttemptRecord] = field(default_factory=list)
    effects_by_request: Counter[bytes] = field(default_factory=Counter)  # effects by request id
    effects_by_key: Counter[bytes] = field(default_factory=Counter)  # effects by idempotency key
    drained_at: dict[str, float] = field(
        default_factory=dict
    )  # when discovery wrote the answer with the drain, by server
    # End and length of each time for which this process did not run or the gateway was stopped, by end.
    stalls: list[tuple[float, float]] = field(default_factory=list)
    exit_status: int | None = None
    terminated_at: float = 0.0  # when the gateway was sent its last SIGTERM of an ending
    killed_at_end: bool = False
    log: str = ""

    def violations(self) -> list[str]:
        """Returns a description of each broken rule."""
        return [
            *self.lost_requests(),
            *self.repeated_effects(),
            *self.late_attempts(),
            *self.process_faults(),
        ]

    def lost_requests(self) -> list[str]:
        """Finds requests without exactly one final response in time.

        Where idle clients fill the descriptors, the operators allow that new connections are shut unread.
        A request that was turned away so is lost if a server received it, as it was read then.
        """
        violations = []
        received = {attempt.request_id for attempt in self.attempts}
        for request in self.requests.values():
            if request.sent_at is None or request.is_unreachable or request.disconnected_at is not None:
                continue
            name = f"{request.class_name} {request.request_id.decode()}"
            if request.is_turned_away and request.request_id not in received:
                continue
            if request.answer_count != 1:
                violations.append(f"lost: {name} has {request.answer_count} responses")
            elif request.answered_at is not None:
                started = max(request.sent_at, request.previous_answer_at)
                took_s = request.answered_at - started
                allowed_s = request.deadline_s + LATE_RESPONSE_S + TOLERANCE_S
                if took_s > allowed_s + self.stalled_s(started, request.answered_at):
                    violations.append(
                        f"lost: {name} was answered after {took_s:.2f} of {request.deadline_s:.2f} s"
                    )
        return violations

    def repeated_effects(self) -> list[str]:
        """Finds effects that happened twice, or although the request was rejected."""
        violations = []
        for request_id, count in self.effects_by_request.items():
            request = self.requests.get(request_id)
            if request is None:
                continue
            if request.class_name == "check-charge" and count > 1:
                violations.append(f"duplicate: check-charge {request_id.decode()} ran {count} times")
            if request.answer == "rejected":
                violations.append(
                    f"duplicate: {request.class_name} {request_id.decode()} was rejected and ran"
                )
        violations += [
            f"duplicate: key {key.decode()} ran {n} times" for key, n in self.effects_by_key.items() if n > 1
        ]
        return violations

    def late_attempts(self) -> list[str]:
        """Finds attempts that arrived too long after their client disconnected or their server's drain.

        An attempt passes through several turns of this process's loop before its arrival is recorded, so all
        stalls in between are subtracted.
        """
        violations = []
        for attempt in self.attempts:
            drained_at = self.drained_at.get(attempt.server)
            if drained_at is not None and self.is_late(attempt, drained_at, DRAIN_GRACE_S):
                delay_s = attempt.arrived_at - drained_at
                violations.append(f"drain: an attempt at {attempt.server} {delay_s:.2f} s after its drain")
            request = self.requests.get(attempt.request_id)
            if (
                request is not None
                and request.disconnected_at is not None
                and self.is_late(attempt, request.disconnected_at, DISCONNECT_GRACE_S)
            ):
                delay_s = attempt.arrived_at - request.disconnected_at
                violations.append(f"lost: an attempt {delay_s:.2f} s after its client disconnected")
        return violations

    def is_late(self, attempt: AttemptRecord, since: float, grace_s: float) -> bool:
        """Returns whether an attempt arrived later than `grace_s` after `since`, without the time for which
        this process was stalled in between."""
        delay_s = attempt.arrived_at - since
        return delay_s > grace_s + TOLERANCE_S + self.stalled_s(since, attempt.arrived_at)

    def stalled_s(self, since: float, until: float) -> float:
        """Returns for how long this process did not run, in all, between two times."""
        begin = bisect.bisect_right(self.stalls, (since, math.inf))
        overlapping = itertools.takewhile(lambda stall: stall[0] - stall[1] < until, self.stalls[begin:])
        return sum(length for _, length in overlapping)

    def process_faults(self) -> list[str]:
        """Finds faults of the gateway process: a bad exit status, a traceback, or a forced kill."""
        violations = []
        if self.killed_at_end:
            stalled_s = self.stalled_s(self.terminated_at, math.inf)
            violations.append(
                f"process: had not ended when it was killed; since its SIGTERM this process stalled for "
                f"{stalled_s:.2f} s; its log ends: {self.log[-LOG_END_LENGTH:]}"
            )
        return violations + ending_faults(0 if self.killed_at_end else self.exit_status, self.log)

    def summary(self) -> str:
        """Counts requests by their answer."""
        counts = Counter(request.answer or "none" for request in self.requests.values())
        return " ".join(f"{name}={count}" for name, count in sorted(counts.items()))
