"""Records of a soak run with long values, and the rules that they are judged by.

All times are seconds of one event loop's clock.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from lab.soak.records import TOLERANCE_S, ending_faults

MAX_HOLD_S = 2.0  # what a server has given must not be held back for so long
TOLD_SLACK_S = 0.15  # by which the time told to a server may exceed what is left to the client


@dataclass(slots=True)
class CommandRecord:
    """A command as its client sees it. `given_at`: when its server had written the whole value."""

    request_id: bytes
    patience_s: float
    client: str
    sent_at: float = math.nan
    answer_count: int = 0
    connection_ended: bool = False  # the gateway ended the connection, or the client waited in vain
    given_at: float | None = None
    served_at: float | None = None  # when its server had written the answer


@dataclass(slots=True)
class ValueRecord:
    """How a client that reads at once received a long value."""

    request_id: bytes
    longest_gap_s: float = 0.0  # while the server had nothing more to give
    end_delay_s: float = 0.0  # from the server's last byte of the value to the client's
    is_whole: bool = False
    is_rejected: bool = False


@dataclass(slots=True)
class ToldTime:
    """An attempt, and the time that it told its server."""

    request_id: bytes
    arrived_at: float
    told_s: float


@dataclass(slots=True)
class LongValueRecords:
    """What clients and servers observed in one run."""

    commands: dict[bytes, CommandRecord] = field(default_factory=dict)
    values: list[ValueRecord] = field(default_factory=list)
    attempts: list[ToldTime] = field(default_factory=list)
    longest_stall_s: float = 0.0  # of this process, whose peers give and read late by as much
    exit_status: int | None = None
    peak_mb: float = 0.0
    memory_mb: float = math.inf
    log: str = ""

    def violations(self) -> list[str]:
        """Returns a description of each broken rule."""
        return [
            *self.unanswered_commands(),
            *self.held_values(),
            *self.told_times(),
            *self.process_faults(),
        ]

    def unanswered_commands(self) -> list[str]:
        """Finds commands that a server has run and answered, and whose client never had an answer."""
        return [
            f"lost: {command.request_id.decode()} of {command.client} was run and not answered"
            for command in self.commands.values()
            if command.served_at is not None and not command.answer_count and command.connection_ended
        ]

    def held_values(self) -> list[str]:
        """Finds values that their servers gave whole, and that were cut off or held back."""
        violations = []
        for value in self.values:
            command = self.commands[value.request_id]
            if value.is_rejected or command.given_at is None:
                continue
            held_s = max(value.longest_gap_s, value.end_delay_s)
            name = value.request_id.decode()
            if not value.is_whole:
                violations.append(f"lost: the value of {name} was given whole and cut off")
            elif held_s >= MAX_HOLD_S + self.longest_stall_s:
                violations.append(f"lost: the value of {name} was held back for {held_s:.2f} s")
        return violations

    def told_times(self) -> list[str]:
        """Finds attempts that told their server more time than was left to the client."""
        violations = []
        for attempt in self.attempts:
            command = self.commands[attempt.request_id]
            over_s = attempt.arrived_at + attempt.told_s - (command.sent_at + command.patience_s)
            if over_s > TOLD_SLACK_S + TOLERANCE_S + self.longest_stall_s:
                name = attempt.request_id.decode()
                violations.append(f"told: an attempt of {name} told {over_s:.2f} s more than was left")
        return violations

    def process_faults(self) -> list[str]:
        """Finds a bad exit status, a traceback and too much memory."""
        violations = ending_faults(self.exit_status, self.log)
        if self.peak_mb > self.memory_mb:
            violations.append(f"process: {self.peak_mb:.0f} MB of {self.memory_mb:.0f}")
        return violations

    def summary(self) -> str:
        """Counts commands and values."""
        answered = Counter("answered" if c.answer_count else "none" for c in self.commands.values())
        whole = sum(value.is_whole for value in self.values)
        return (
            f"commands answered={answered['answered']} none={answered['none']};"
            f" {whole} of {len(self.values)} values whole; {self.peak_mb:.0f} MB"
        )
