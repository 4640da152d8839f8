"""Periodic log reports of the engine: event counts, and conditions that begin or end."""

from __future__ import annotations

import math
from collections.abc import Mapping

from .actions import Action, LogMessage
from .record import record

COUNTS_INTERVAL_MS = 5_000.0
STATE_INTERVAL_MS = 5_000.0  # shortest time between two messages about the same state


@record(slots=True)
class ReportedState:
    """A state as last reported."""

    is_active: bool = False
    reported_ms: float = -math.inf


class Reports:
    """Collects what the engine logs for the operators."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}  # counts since the last message
        self.counts_since_ms = 0.0
        self.states: dict[str, ReportedState] = {}

    def count(self, name: str) -> None:
        """Increments a count."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def state_changes(self, now_ms: float, states: Mapping[str, bool | str]) -> list[Action]:
        """Returns a message for each state that has begun or ended, in the order given.

        A state has at most one message in `STATE_INTERVAL_MS`, so a shorter change may go unreported. A state
        is active if its value is true or a text that is not empty; the text is added to the message.
        """
        actions: list[Action] = []
        for name, state in states.items():
            reported = self.states.get(name) or ReportedState()
            if bool(state) == reported.is_active or now_ms - reported.reported_ms < STATE_INTERVAL_MS:
                continue
            self.states[name] = ReportedState(bool(state), now_ms)
            detail = f" ({state})" if state and isinstance(state, str) else ""
            actions.append(LogMessage(f"{name}: {'begins' if state else 'ends'}{detail}"))
        return actions

    def due_counts(self, now_ms: float) -> list[Action]:
        """Returns the counts as a message once in `COUNTS_INTERVAL_MS`, and resets them."""
        if now_ms - self.counts_since_ms < COUNTS_INTERVAL_MS or not self.counts:
            return []
        line = ", ".join(f"{name} {count}" for name, count in sorted(self.counts.items()))
        elapsed_s = (now_ms - self.counts_since_ms) / 1000.0
        self.counts, self.counts_since_ms = {}, now_ms
        return [LogMessage(f"in {elapsed_s:.1f} s: {line}")]
