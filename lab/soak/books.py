"""What clients and servers saw, and which rules it breaks. Times are of one event loop, in seconds."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

LATE_S = 0.5  # after its deadline an answer counts as lost
LEFT_S = 0.1  # after its client closed, no attempt may begin
DRAIN_GRACE_S = 0.25
SLACK_S = 0.05  # of every limit on sockets, as the protocol page has it


@dataclass(slots=True)
class AskedRequest:
    """A request as its client sees it."""

    request_id: bytes
    class_name: str
    deadline_s: float
    key: bytes | None = None
    sent_at: float | None = None  # its last byte was handed to the kernel
    due_from: float = 0.0  # when the answers before it on its connection had come
    answered_at: float | None = None
    answer: str = ""  # served, rejected, failed
    answer_count: int = 0
    left_at: float | None = None  # its client closed the connection
    is_unreachable: bool = False  # no process accepted its connection
    is_cut: bool = False  # its connection ended without an answer


@dataclass(slots=True)
class ArrivedAttempt:
    """A command as a server received it."""

    at: float
    server: str
    request_id: bytes


@dataclass(slots=True)
class Books:
    """All of one run."""

    requests: dict[bytes, AskedRequest] = field(default_factory=dict)
    attempts: list[ArrivedAttempt] = field(default_factory=list)
    executed: Counter[bytes] = field(default_factory=Counter)  # requests by id, each effect
    executed_keys: Counter[bytes] = field(default_factory=Counter)
    drained_at: dict[str, float] = field(default_factory=dict)  # when discovery had written it
    lag_s: float = 0.0  # the longest time for which this process itself did not run
    exit_status: int | None = None
    killed_at_end: bool = False
    log: str = ""

    def violations(self) -> list[str]:
        """The rules that were broken."""
        return [
            *self.lost_requests(),
            *self.repeated_effects(),
            *self.late_attempts(),
            *self.process_faults(),
        ]

    def lost_requests(self) -> list[str]:
        """Requests without exactly one final response in time."""
        found = []
        for request in self.requests.values():
            if request.sent_at is None or request.is_unreachable or request.left_at is not None:
                continue
            name = f"{request.class_name} {request.request_id.decode()}"
            if request.answer_count != 1:
                found.append(f"lost: {name} has {request.answer_count} responses")
            elif request.answered_at is not None:
                began = max(request.sent_at, request.due_from)
                took_s = request.answered_at - began
                if took_s > request.deadline_s + LATE_S + SLACK_S + self.lag_s:
                    found.append(
                        f"lost: {name} was answered after {took_s:.2f} of {request.deadline_s:.2f} s"
                    )
        return found

    def repeated_effects(self) -> list[str]:
        """Effects that happened twice, or although the client was promised none."""
        found = []
        for request_id, count in self.executed.items():
            request = self.requests.get(request_id)
            if request is None:
                continue
            if request.class_name == "check-charge" and count > 1:
                found.append(f"duplicate: check-charge {request_id.decode()} ran {count} times")
            if request.answer == "rejected":
                found.append(f"duplicate: {request.class_name} {request_id.decode()} was rejected and ran")
        found += [
            f"duplicate: key {key.decode()} ran {n} times" for key, n in self.executed_keys.items() if n > 1
        ]
        return found

    def late_attempts(self) -> list[str]:
        """Attempts that began after their client had left, or at a server that had drained."""
        found = []
        slack_s = SLACK_S + self.lag_s
        for attempt in self.attempts:
            drained_at = self.drained_at.get(attempt.server)
            if drained_at is not None and attempt.at > drained_at + DRAIN_GRACE_S + slack_s:
                found.append(
                    f"drain: an attempt at {attempt.server} {attempt.at - drained_at:.2f} s after its drain"
                )
            request = self.requests.get(attempt.request_id)
            if (
                request is not None
                and request.left_at is not None
                and attempt.at > request.left_at + LEFT_S + slack_s
            ):
                found.append(f"lost: an attempt {attempt.at - request.left_at:.2f} s after its client left")
        return found

    def process_faults(self) -> list[str]:
        """What the process itself did wrong."""
        found = []
        if self.killed_at_end:
            found.append("process: had not ended at the kill")
        elif self.exit_status != 0:
            found.append(f"process: exit status {self.exit_status}")
        if "Traceback" in self.log:
            found.append(f"process: a traceback: {self.log[self.log.index('Traceback') :][-300:]}")
        return found

    def summary(self) -> str:
        """Counts of what came of the requests."""
        counts = Counter(request.answer or "none" for request in self.requests.values())
        return " ".join(f"{name}={count}" for name, count in sorted(counts.items()))
