"""The facts of the platform's file against which the operator's file is checked."""

from __future__ import annotations

from collections.abc import Mapping

from glenchute.policy.record import record
from glenchute.policy.settings import Idempotency


@record(frozen=True, slots=True)
class ClassFacts:
    """The facts of one request class."""

    idempotency: Idempotency
    deadline_ms: float
    idempotency_window_ms: float = 0.0
    is_scope_known: bool = True

    @property
    def command(self) -> str:
        """Returns the command by which requests of this class arrive."""
        return "GET" if self.idempotency is Idempotency.IDEMPOTENT else "POST"


@record(frozen=True, slots=True)
class PlatformFacts:
    """The facts of the platform's file that the rules use."""

    classes: Mapping[str, ClassFacts]
    plans: tuple[str, ...]
    max_attempts: int
    allows_hedging: bool
    connect_timeout_ms: float
    max_streams: int = 0  # commands of one connection that a server runs concurrently; 0: not stated
    idle_timeout_ms: float = 15_000.0  # unused time after which servers close a connection
