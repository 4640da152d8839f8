"""The actions that the decision engine returns. The caller executes them in the order given."""

from __future__ import annotations

from .events import LimitShare, QuotaSnapshot
from .record import record


@record(frozen=True, slots=True)
class StartAttempt:
    """Starts an attempt; the attempts of a request are numbered 0, 1, 2 ...

    `timeout_ms` 0: no timeout, the attempt ends when the client disconnects. No byte of it may be written
    after `write_by_ms`, if that is not 0: from then on servers may have forgotten the request's idempotency
    key and would execute it again.
    """

    request_id: str
    address: str
    timeout_ms: float = 0.0
    write_by_ms: float = 0.0


@record(frozen=True, slots=True)
class CancelAttempt:
    """Cancels an attempt."""

    request_id: str
    attempt: int


@record(frozen=True, slots=True)
class Reject:
    """The final response "rejected", which guarantees that no attempt ran."""

    request_id: str
    retry_after_ms: float = 0.0


@record(frozen=True, slots=True)
class Fail:
    """The final response "failed": the request may or may not have been executed."""

    request_id: str


@record(frozen=True, slots=True)
class SetTimer:
    """Requests a `TimerFired` at or after `at_ms`."""

    token: int
    at_ms: float


@record(frozen=True, slots=True)
class IncrementCounter:
    """Adds `amount` to the shared counter `key`, which expires `ttl_ms` after the first call for it."""

    key: int
    amount: float
    ttl_ms: float


@record(frozen=True, slots=True)
class SubscribeToEndpoints:
    """Subscribes to changes of the endpoint list."""


@record(frozen=True, slots=True)
class LogMessage:
    """Logs a line for the operators."""

    message: str


@record(frozen=True, slots=True)
class SendState:
    """Sends the quota state of the tenants to the successor, most recently seen first."""

    quotas: tuple[QuotaSnapshot, ...]


@record(frozen=True, slots=True)
class SendLimitShares:
    """Sends what this process gives up of the tenants' limits to the successor, most recently seen first."""

    shares: tuple[LimitShare, ...]


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
    | SendLimitShares
)
