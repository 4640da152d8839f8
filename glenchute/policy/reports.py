"""Periodic reports of the engine: counts of what happened, and states that begin and end."""

from __future__ import annotations

import math
from collections.abc import Mapping

from .actions import Action, LogMessage
from .record import record

COUNTS_INTERVAL_MS = 5_000.0
STATE_INTERVAL_MS = 5_000.0  # between two messages of one state


@record(slots=True)
class ReportedState:
    """A state as it was reported last."""

    is_active: bool = False
    reported_ms: float = -math.inf


class Reports:
    """What the engine logs for the operators."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}  # since the last message
        self.counts_since_ms = 0.0
        self.states: dict[str, ReportedState] = {}

    def count(self, what: str) -> None:
        """Adds one to a count."""
        self.counts[what] = self.counts.get(what, 0) + 1

    def state_changes(self, now_ms: float, states: Mapping[str, bool | str]) -> list[Action]:
        """A message for each state that begins or ends, in the order given, at most one for a state in
        `STATE_INTERVAL_MS`: a shorter one may go unreported. A text is the detail at the beginning."""
        actions: list[Action] = []
        for what, state in states.items():
            reported = self.states.get(what) or ReportedState()
            if bool(state) == reported.is_active or now_ms - reported.reported_ms < STATE_INTERVAL_MS:
                continue
            self.states[what] = ReportedState(bool(state), now_ms)
            detail = f" ({state})" if state and isinstance(state, str) else ""
            actions.append(LogMessage(f"{what}: {'begins' if state else 'ends'}{detail}"))
        return actions

    def due_counts(self, now_ms: float) -> list[Action]:
        """The counts as a message, every `COUNTS_INTERVAL_MS`; they begin anew then."""
        if now_ms - self.counts_since_ms < COUNTS_INTERVAL_MS or not self.counts:
            return []
        line = ", ".join(f"{what} {count}" for what, count in sorted(self.counts.items()))
        elapsed_s = (now_ms - self.counts_since_ms) / 1000.0
        self.counts, self.counts_since_ms = {}, now_ms
        return [LogMessage(f"in {elapsed_s:.1f} s: {line}")]
