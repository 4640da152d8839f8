"""What of the platform's file the rules of the operator's file are about."""

from __future__ import annotations

from collections.abc import Mapping

from glenchute.policy.record import record
from glenchute.policy.settings import Idempotency


@record(frozen=True, slots=True)
class ClassFacts:
    """One class of the platform's file."""

    idempotency: Idempotency
    deadline_ms: float
    idempotency_window_ms: float = 0.0
    is_scope_known: bool = True

    @property
    def command(self) -> str:
        """The command that it comes by."""
        return "GET" if self.idempotency is Idempotency.IDEMPOTENT else "POST"


@record(frozen=True, slots=True)
class PlatformFacts:
    """What of the platform's file the rules are about."""

    classes: Mapping[str, ClassFacts]
    plans: tuple[str, ...]
    max_attempts: int
    allows_hedging: bool
    connect_timeout_ms: float
    max_streams: int = 0  # commands of one connection that a server begins at once; 0: not told
    idle_timeout_ms: float = 15_000.0  # connections are closed after this long without use
