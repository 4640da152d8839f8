"""The events that the decision engine takes.

The caller makes one ``DecisionEngine(settings, seed)`` at start and calls ``handle(now_ms, event)`` for each
event, in the order in which the events happened, from one thread. The call returns the actions
(`policy/actions.py`), which the caller executes in that order.

The engine relies on a clock that never goes backwards and that all gateways share to a tenth of a second
(quota windows start by it); an `EndpointList` of kind CACHED or FULL as the first event; exactly one
`AttemptEnded` for each `StartAttempt`, one `CounterReply` for each `IncrementCounter`, and one `TimerFired`
for each `SetTimer`, never inside the same call; and a `ClientDisconnected` when a client leaves.

*Members* are the other gateways that exchange messages with this one directly, beside the counter and
discovery.

Times are milliseconds, quantities are quota units.
"""

from __future__ import annotations

from enum import Enum

from .record import record


class Outcome(Enum):
    """How an attempt, or a call to the counter, ended."""

    OK = "ok"
    ERROR = "error"  # an error response; may have run
    REJECTED = "full"  # shed by the server unread; did not run
    TIMEOUT = "timeout"  # no response in time; may have run
    UNREACHABLE = "unreachable"  # no connection; did not run
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # may have run
    NOT_SENT = "unsent"  # not a byte was written; did not run
    NO_CONNECTION = "no connection"  # this process has no connection to spare; did not run


DID_NOT_RUN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.NO_CONNECTION)
NEVER_REACHED_SERVER = (Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.NO_CONNECTION)
# Of an attempt: it says nothing of its server.
TELLS_NOTHING_OF_SERVER = (Outcome.NOT_SENT, Outcome.CANCELLED, Outcome.NO_CONNECTION)


class EndpointState(Enum):
    """What the endpoint list says of a server."""

    ACTIVE = "active"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListKind(Enum):
    """What an `EndpointList` holds."""

    FULL = "full"  # every server; absent ones are removed
    CHANGES = "changes"  # changed endpoints only
    CACHED = "saved"  # a full list from before the start, perhaps old
    FAILED = "failed"  # a subscription or a fetch failed; no endpoints


@record(frozen=True, slots=True)
class Endpoint:
    """One server in an endpoint list."""

    address: str
    zone: str
    cell: int = 0
    weight: float = 1.0
    started_ms: float = 0.0  # its last start; 0: long ago
    state: EndpointState = EndpointState.ACTIVE


@record(frozen=True, slots=True)
class EndpointList:
    """The server list, or changes to it, each server at most once."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()
    total_endpoints: int = 0  # servers that exist where this gateway uses a subset; 0: these are all


@record(frozen=True, slots=True)
class Request:
    """A client's request; the engine owes it exactly one final response within `time_left_ms`."""

    request_id: str
    class_name: str
    plan: str
    tenant: str
    time_left_ms: float
    units: float = 1.0
    gateway_spread: int = 1  # gateways through which this tenant's requests come
    attempt_timeout_ms: float = 0.0  # no attempt may take longer; 0: no such limit
    hedge_after_ms: float = 0.0  # a hedged request may start this long after the first; 0: never


@record(frozen=True, slots=True)
class ResponseStarted:
    """A streamed response has begun. It is the final response, and the request can't be retried."""

    request_id: str
    attempt: int


@record(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended. `is_final`: with it the client has its final response; otherwise the engine still
    owes one, unless the client has it or has left."""

    request_id: str
    attempt: int
    address: str
    outcome: Outcome
    duration_ms: float
    is_final: bool
    queued_requests: float | None = None  # load report: requests waiting at the server
    active_requests: float | None = None  # load report: requests that the server holds
    retry_delay_ms: float = 0.0  # a retry may start no sooner; inf: none may


@record(frozen=True, slots=True)
class AttemptStalled:
    """An attempt waits behind another whose response does not come: a hedged request elsewhere would help."""

    request_id: str
    attempt: int


@record(frozen=True, slots=True)
class AttemptAssigned:
    """On which connection an attempt was written, and why. Decides nothing; captures keep it for readers."""

    request_id: str
    attempt: int
    reason: str


@record(frozen=True, slots=True)
class ClientDisconnected:
    """The client left; no response is owed."""

    request_id: str


@record(frozen=True, slots=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""

    token: int


@record(frozen=True, slots=True)
class CounterReply:
    """The reply to one `IncrementCounter`; replies for one key come in the order of the calls. `is_late`: the
    call has ended as timed out before, and this is what became of it; late replies come in the order of the
    calls too. A transport that can't observe them sends none."""

    key: int
    total: float
    outcome: Outcome
    duration_ms: float = 0.0
    is_late: bool = False


@record(frozen=True, slots=True)
class QuotaSnapshot:
    """The quota state of one tenant, in units and units per second, for this gateway's next process. Half of
    the ceiling guard is in it; the process that sends it has given that half up."""

    tenant: str
    plan: str
    gateway_spread: int
    bucket_units: float
    ceiling_guard_units: float
    own_demand_per_s: float
    others_demand_per_s: float
    reported_own_units: float
    reported_units: float
    window_start_ms: float  # start of the window whose counter key is in use ...
    window_total_units: float  # ... and its last known total with own units added since; inf: unknown


@record(frozen=True, slots=True)
class SuccessorStarted:
    """Another process of this gateway runs from now on and takes over. What this gateway may do by itself is
    halved, and only the successor marks the counter keys of windows that begin from now on. The answer is
    `SendState`."""


@record(frozen=True, slots=True)
class StateReceived:
    """The previous process still runs and sent its state. What this process may do by itself is halved."""

    quotas: tuple[QuotaSnapshot, ...]


@record(frozen=True, slots=True)
class OtherProcessEnded:
    """The other process of this gateway has ended."""


@record(frozen=True, slots=True)
class UsageUpdate:
    """What members gossiped of a tenant's use, beside the counter: the units that all other gateways admitted
    in the window that began at `window_start_ms` and in the one before, and the fraction of the gateways that
    those members and this gateway make up (1: all; 0: nothing is known of the rest, while the units stand).
    It may lack some of their use and never holds more than it. Ceilings ignore it."""

    request: Request  # the next request of this tenant, which follows at once
    window_start_ms: float
    window_units: float
    previous_window_units: float
    reporting_fraction: float


@record(frozen=True, slots=True)
class AvoidEndpoint:
    """Members could not reach a server: for `duration_ms` it is chosen last, as if this gateway had failed to
    reach it. 0: members have reached it: their report and this gateway's own wait before the next attempt
    there are void; its count of failed connects stands."""

    address: str
    duration_ms: float


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
    | SuccessorStarted
    | StateReceived
    | OtherProcessEnded
    | UsageUpdate
    | AvoidEndpoint
)
