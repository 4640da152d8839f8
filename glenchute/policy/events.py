"""The events that the decision engine takes.

The caller creates one ``DecisionEngine(settings, seed)`` at start and calls ``handle(now_ms, event)`` for
each event, in the order in which the events happened, from one thread. The call returns the actions
(`policy/actions.py`), which the caller executes in the order given.

The engine relies on the following:

- The clock never goes backwards, and the gateways' clocks agree to 0.1 s, as quota windows start by them.
- The first event is an `EndpointList` of kind CACHED or FULL.
- There is exactly one `AttemptEnded` for each `StartAttempt`, one `CounterReply` for each `IncrementCounter`
  (besides late ones) and one `TimerFired` for each `SetTimer`, never inside the call that asked for it.
- There is a `ClientDisconnected` for each client that disconnects.

*Members* are the gateways that exchange messages with this one directly, in addition to what all gateways
learn from the counter and discovery.

Times are milliseconds, quantities are quota units.
"""

from __future__ import annotations

from enum import Enum

from .record import record


class Outcome(Enum):
    """How an attempt or a call to the counter ended, and whether it may have been executed."""

    OK = "ok"
    ERROR = "error"  # an error response; may have run
    REJECTED = "full"  # rejected by the server without being processed; did not run
    TIMEOUT = "timeout"  # no response in time; may have run
    UNREACHABLE = "unreachable"  # the connection could not be established; did not run
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # may have run
    NOT_SENT = "unsent"  # no byte was written; did not run
    NO_CONNECTION = "no connection"  # this process had no free connection; did not run


DID_NOT_RUN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.NO_CONNECTION)
NEVER_REACHED_SERVER = (Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.NO_CONNECTION)
# Outcomes of an attempt that say nothing about its server.
TELLS_NOTHING_OF_SERVER = (Outcome.NOT_SENT, Outcome.CANCELLED, Outcome.NO_CONNECTION)


class EndpointState(Enum):
    """The state of a server according to the endpoint list."""

    ACTIVE = "active"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListKind(Enum):
    """The kind of an `EndpointList`."""

    FULL = "full"  # all servers; known servers that are absent are removed
    CHANGES = "changes"  # changed endpoints only
    CACHED = "saved"  # a full list that was stored before the start and may be outdated
    FAILED = "failed"  # a subscription or a fetch failed; holds no endpoints


@record(frozen=True, slots=True)
class Endpoint:
    """One server in an endpoint list."""

    address: str
    zone: str
    cell: int = 0
    weight: float = 1.0
    started_ms: float = 0.0  # time of the server's last start; 0: long ago
    state: EndpointState = EndpointState.ACTIVE


@record(frozen=True, slots=True)
class EndpointList:
    """The endpoint list, or changes to it; holds each server at most once."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()
    total_endpoints: int = 0  # number of all servers if this gateway uses a subset; 0: the list is complete


@record(frozen=True, slots=True)
class Request:
    """A client's request; the engine gives it exactly one final response within `time_left_ms`."""

    request_id: str
    class_name: str
    plan: str
    tenant: str
    time_left_ms: float
    units: float = 1.0
    gateway_spread: int = 1  # number of gateways that receive this tenant's requests
    attempt_timeout_ms: float = 0.0  # upper limit for an attempt's duration; 0: no such limit
    hedge_after_ms: float = 0.0  # a hedged request may start this long after the first attempt; 0: never


@record(frozen=True, slots=True)
class ResponseStarted:
    """A streamed response has begun. It is the final response; the request can no longer be retried."""

    request_id: str
    attempt: int


@record(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended. `is_final`: its result was the client's final response; otherwise the engine still
    has to give one, unless the request already has it or the client has disconnected."""

    request_id: str
    attempt: int
    address: str
    outcome: Outcome
    duration_ms: float
    is_final: bool
    queued_requests: float | None = None  # load report: requests in the server's queue
    active_requests: float | None = None  # load report: requests held by the server
    retry_delay_ms: float = 0.0  # shortest delay before a retry; inf: no retry is allowed


@record(frozen=True, slots=True)
class AttemptStalled:
    """An attempt is blocked on its connection by another one without a response. A hedged request to another
    server may help."""

    request_id: str
    attempt: int


@record(frozen=True, slots=True)
class AttemptAssigned:
    """The connection on which an attempt was written, and the reason. The engine ignores this event; it is
    recorded in captures for diagnosis."""

    request_id: str
    attempt: int
    reason: str


@record(frozen=True, slots=True)
class ClientDisconnected:
    """The client disconnected; the request needs no response."""

    request_id: str


@record(frozen=True, slots=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""

    token: int


@record(frozen=True, slots=True)
class CounterReply:
    """The reply to one `IncrementCounter`; replies for one key come in the order of the calls.

    `is_late`: the call was reported as timed out before, and this is its actual result. Late replies come in
    the order of the calls too. A transport that can't observe late replies sends none.
    """

    key: int
    total: float
    outcome: Outcome
    duration_ms: float = 0.0
    is_late: bool = False


@record(frozen=True, slots=True)
class QuotaSnapshot:
    """The quota state of one tenant, in units and units per second, for the successor of this process. It
    holds half of the ceiling guard, which the sending process has given up."""

    tenant: str
    plan: str
    gateway_spread: int
    bucket_units: float
    ceiling_guard_units: float
    own_demand_per_s: float
    others_demand_per_s: float
    reported_own_units: float
    reported_units: float
    window_start_ms: float  # start of the window whose counter key is in use
    # Last known total of that window, including this gateway's units since then; inf: unknown.
    window_total_units: float


@record(frozen=True, slots=True)
class LimitShare:
    """What a process that ends gives up of one tenant's limits to the other process of its gateway, in
    units."""

    tenant: str
    ceiling_guard_units: float
    reported_own_units: float


@record(frozen=True, slots=True)
class SuccessorStarted:
    """The successor of this process has started. From now on this process admits half as much without the
    counter, and only the successor adds markers to the counter keys of new windows. The engine answers with
    `SendState`."""


@record(frozen=True, slots=True)
class StateReceived:
    """The predecessor, which still runs, has sent its state. While both run, this process admits half as much
    without the counter."""

    quotas: tuple[QuotaSnapshot, ...]


@record(frozen=True, slots=True)
class OtherProcessEnded:
    """The other process of this gateway has ended."""


@record(frozen=True, slots=True)
class AdmissionEnded:
    """This process has a successor and admits no more requests, as it is about to end. The engine answers
    with `SendLimitShares`."""


@record(frozen=True, slots=True)
class LimitSharesReceived:
    """The predecessor admits no more requests and has given up its shares of the tenants' limits."""

    shares: tuple[LimitShare, ...]


@record(frozen=True, slots=True)
class UsageUpdate:
    """A tenant's use as reported by the members' gossip, independently of the counter.

    It holds the units that other gateways admitted in the window that began at `window_start_ms` and in the
    window before, and the fraction of all gateways that the reporting members and this gateway make up (1:
    all; 0: the coverage is unknown, but the units are still valid). The units may be less than the actual
    use, never more. Ceilings ignore them.
    """

    request: Request  # the tenant's request whose own event follows at once
    window_start_ms: float
    window_units: float
    previous_window_units: float
    reporting_fraction: float


@record(frozen=True, slots=True)
class AvoidEndpoint:
    """Members could not reach a server: for `duration_ms` it is chosen last, as if this gateway had failed to
    connect to it. A duration of 0 says that members have reached it: this ends both an earlier report and
    this gateway's own connect backoff for the server, but keeps its count of connect failures."""

    address: str
    duration_ms: float


HandoverEvent = SuccessorStarted | StateReceived | OtherProcessEnded | AdmissionEnded | LimitSharesReceived
Event = (
    EndpointList
    | Request
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | CounterReply
    | AttemptStalled
    | AttemptAssigned
    | HandoverEvent
    | UsageUpdate
    | AvoidEndpoint
)
