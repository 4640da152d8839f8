"""The actions that the decision engine returns, to be executed in their order."""

from __future__ import annotations

from .events import QuotaSnapshot
from .record import record


@record(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt, numbered 0, 1, 2 ... for each request. `timeout_ms` 0: until the client leaves. Not a
    byte of it may be written after `write_by_ms`, if that is not 0: servers may have forgotten the request's
    idempotency key from then on."""

    request_id: str
    address: str
    timeout_ms: float = 0.0
    write_by_ms: float = 0.0


@record(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request_id: str
    attempt: int


@record(frozen=True, slots=True)
class Reject:
    """Final response: rejected, with the promise that no attempt ran."""

    request_id: str
    retry_after_ms: float = 0.0


@record(frozen=True, slots=True)
class Fail:
    """Final response: failed, with no promise about the effect."""

    request_id: str


@record(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` at or after `at_ms`."""

    token: int
    at_ms: float


@record(frozen=True, slots=True)
class IncrementCounter:
    """Add `amount` to the shared counter `key`, which expires `ttl_ms` after its first call."""

    key: int
    amount: float
    ttl_ms: float


@record(frozen=True, slots=True)
class SubscribeToEndpoints:
    """Ask for changes to the endpoint list from now on."""


@record(frozen=True, slots=True)
class LogMessage:
    """A line for the operators."""

    message: str


@record(frozen=True, slots=True)
class SendState:
    """What the next process needs, the tenants seen last first."""

    quotas: tuple[QuotaSnapshot, ...]


Action = (
    StartAttempt
    | CancelAttempt
    | Reject
    | Fail
    | SetTimer
    | IncrementCounter
    | SubscribeToEndpoints
    | LogMessage
    | SendState
)
