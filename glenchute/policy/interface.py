"""The interface of the decision engine: what a gateway tells the decision module, and what it is told to do.

An embedding gateway makes one ``glenchute.policy.engine.Gateway(settings, seed)`` at start and calls
``handle(now_ms, event)`` for each event below, in the order in which they happened, from one thread.
The call returns a list of actions, which the gateway carries out in that order.

The gateway owes the module: a clock that never goes backwards and that all gateways have in common to a tenth
of a second (the windows of quotas start by it), a `ServerList` of kind SAVED or FULL first, exactly one
`AttemptEnded` for each `Send`, one `CountReply` for each `Count`, one `TimerFired` for each `SetTimer` (never
inside the same call), and `RequestGone` when a client leaves.

Times are milliseconds. Units are what a request takes from a quota. Nothing here decides anything.
"""

from __future__ import annotations

from enum import Enum

from .record import record


class Repeat(Enum):
    """Whether a request may be carried out more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which servers drop repeats of one keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Ending(Enum):
    """How an attempt, or a call to the counter, ended."""

    OK = "ok"
    ERROR = "error"  # an error answer; may have run
    FULL = "full"  # turned away unseen; did not run
    TIMEOUT = "timeout"  # no answer in time; may have run
    UNREACHABLE = "unreachable"  # no connection; did not run
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # called off; may have run
    UNSENT = "unsent"  # never sent; did not run


class ServerState(Enum):
    """What the list of servers says of a server."""

    ACTIVE = "active"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a `ServerList` holds."""

    FULL = "full"  # every server; absent ones are gone
    CHANGES = "changes"  # changed entries only
    SAVED = "saved"  # a full list from before the start, perhaps old
    FAILED = "failed"  # a subscription or a fetch failed; no entries


# --- settings, handed over once at start ---------------------------------------------------------------


@record(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    aim_ms: float  # an answer within this time earns the full worth
    worth: float
    repeat: Repeat
    scope: Scope = Scope.ALL  # keyed only
    memory_ms: float = 0.0  # keyed only: how long servers remember a key
    late_worth: float = 0.0  # share of the worth that a later answer earns


@record(frozen=True, slots=True)
class Plan:
    """One plan; its quotas hold for each customer over all gateways together. 0 means no such limit."""

    name: str
    price: float = 1.0
    rate: float = 0.0  # units a second
    burst: float = 0.0  # units that the customer's store holds at most
    max_open: int = 0  # attempts out at once
    ceiling_rate: float = 0.0  # units a second
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    beyond_worth: float = 0.0  # share of its worth that a request beyond the quota earns
    beyond_cost: float = 0.0  # share of its worth that one costs


@record(frozen=True, slots=True)
class Safety:
    """Figures of the rules."""

    cold_share: float = 0.2  # least share of its capacity that a server starts with
    warm_ms: float = 20000.0  # it is warm after this time at most
    overload_factor: float = 2.0  # sent more than this many times what it can do ...
    overload_ms: float = 1000.0  # ... for this long, a cold server falls over


@record(frozen=True, slots=True)
class Settings:
    """What a gateway knows at start."""

    zone: str
    gateways: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    safety: Safety
    max_attempts: int = 3
    max_requests: int = 20000  # requests a gateway may hold at once
    max_retry_after_ms: float = 1000.0
    counter: bool = False  # a shared counter may be called
    counter_timeout_ms: float = 50.0  # a call to it is given up after this
    subscribe: bool = False  # changes to the server list come only when asked for
    sizes_known: bool = False  # `ServerEntry.size` says how large a server is
    cross_zone_price: float = 0.0
    overlap: bool = False  # two attempts of one request may be out at once


# --- events --------------------------------------------------------------------------------------------


@record(frozen=True, slots=True)
class ServerEntry:
    """One server in a list."""

    server: str
    zone: str
    cell: int = 0
    size: float = 1.0
    started_ms: float = 0.0  # its last start; 0: long ago
    state: ServerState = ServerState.ACTIVE


@record(frozen=True, slots=True)
class ServerList:
    """News of the servers."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()
    of: int = 0  # servers that there are, where this gateway is told of some only; 0: these are all


@record(frozen=True, slots=True)
class Request:
    """A client's request; the module owes it exactly one final answer within `time_left_ms`."""

    request_id: str
    class_name: str
    plan: str
    customer: str
    time_left_ms: float
    units: float = 1.0
    spread: int = 1  # gateways through which this customer's requests come
    attempt_timeout_ms: float = 0.0  # no attempt may take longer; 0: no such bound
    copy_after_ms: float = 0.0  # a second copy may go out beside the first after this; 0: never


@record(frozen=True, slots=True)
class AnswerBegan:
    """A streamed answer has begun: the attempt is the client's from now on."""

    request_id: str
    attempt: int


@record(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended. `final`: the client has its answer; else one is still owed, unless given before."""

    request_id: str
    attempt: int
    server: str
    ending: Ending
    took_ms: float
    final: bool
    queue: float | None = None  # requests waiting at the server, if it said so
    active: float | None = None  # requests that it holds, if it said so
    next_after_ms: float = 0.0  # a further attempt may start no sooner; inf: none may


@record(frozen=True, slots=True)
class AttemptHeld:
    """An attempt waits behind another whose answer does not come: a second copy elsewhere would help."""

    request_id: str
    attempt: int


@record(frozen=True, slots=True)
class AttemptPlaced:
    """On which connection an attempt went out, and why. Decides nothing: for captures and their readers."""

    request_id: str
    attempt: int
    reason: str


@record(frozen=True, slots=True)
class RequestGone:
    """The client left; no answer is owed."""

    request_id: str


@record(frozen=True, slots=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""

    token: int


@record(frozen=True, slots=True)
class CountReply:
    """The answer to one `Count`; answers for one name come in the order of the calls. `late`: the call has
    ended as timed out before, and this is what became of it; those too come in the order of the calls. A
    transport that can't tell sends none."""

    name: int
    total: float
    ending: Ending
    took_ms: float = 0.0
    late: bool = False


@record(frozen=True, slots=True)
class Stock:
    """What one customer's quota stands at, in units and units a second, for the gateway's next process. Of
    the ceiling's guard it holds a half, which the giver has given away."""

    customer: str
    plan: str
    spread: int
    store: float
    guard: float
    own: float
    others: float
    told_own: float
    told_all: float
    window_ms: float  # start of the window whose name on the counter is in use ...
    total: float  # ... and the units of the last word of it, with own ones added since; inf: no word


@record(frozen=True, slots=True)
class Beside:
    """Another process of this very gateway runs beside this one from now on, and takes over: what the gateway
    may do by itself is halved, and names on the counter that begin from now on are the other's to mark. A
    `HandOver` answers."""


@record(frozen=True, slots=True)
class TakeOver:
    """The process that ran before still runs, and told this. Halved likewise."""

    stocks: tuple[Stock, ...]


@record(frozen=True, slots=True)
class Alone:
    """The other process of this gateway has gone."""


@record(frozen=True, slots=True)
class Used:
    """Gateways have told each other, beside the counter, what they let in of a customer: the units of all
    others in the window that began at `window_ms` and in the one before, and the share of the gateways that
    these words and this gateway make up (1: all; 0: nothing can be said of the rest, while the units stand).
    It may lack some of their use and never holds more than it. Ceilings take no notice of it."""

    request: Request  # the next of this customer: it comes right after
    window_ms: float
    units: float
    before: float
    share: float


@record(frozen=True, slots=True)
class Avoid:
    """Others could not reach a server: it is left for last for so long, as if this gateway had found that
    itself. 0: they have reached it, and what they said before is over; what was found here stands."""

    server: str
    for_ms: float


Event = (
    ServerList | Request | AnswerBegan | AttemptEnded | RequestGone | TimerFired | CountReply | AttemptHeld
    | AttemptPlaced | Beside | TakeOver | Alone | Used | Avoid
)  # fmt: skip


# --- actions -------------------------------------------------------------------------------------------


@record(frozen=True, slots=True)
class Send:
    """Start an attempt, numbered 0, 1, 2 ... for each request. `timeout_ms` 0: until the client leaves. Not a
    byte of it may leave after `write_by_ms`, if that is not 0: repeats are no longer dropped from then on."""

    request_id: str
    server: str
    timeout_ms: float = 0.0
    write_by_ms: float = 0.0


@record(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request_id: str
    attempt: int


@record(frozen=True, slots=True)
class Refuse:
    """Final answer: turned away; trying again is harmless."""

    request_id: str
    retry_after_ms: float = 0.0


@record(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise about the effect."""

    request_id: str


@record(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` at or after `at_ms`."""

    token: int
    at_ms: float


@record(frozen=True, slots=True)
class Count:
    """Add `amount` to the shared number `name`, which is forgotten `ttl_ms` after its first call."""

    name: int
    amount: float
    ttl_ms: float


@record(frozen=True, slots=True)
class Subscribe:
    """Ask for changes to the server list from now on."""


@record(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    message: str


@record(frozen=True, slots=True)
class HandOver:
    """What the next process is to know, the customers seen last first."""

    stocks: tuple[Stock, ...]


Action = Send | Cancel | Refuse | Fail | SetTimer | Count | Subscribe | Log | HandOver
