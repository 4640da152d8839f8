"""Types and interfaces shared by listeners, core, upstreams and clients, independent of sockets and
protocols."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import field
from typing import NamedTuple, Protocol

from glenchute.policy.actions import Action
from glenchute.policy.events import EndpointList, Event, Outcome
from glenchute.policy.record import record

Address = tuple[str, int]


@record(slots=True)
class Call:
    """A client's request as the core sees it. Each listener's subclass adds the data to be sent upstream."""

    request_id: bytes
    class_name: str
    plan: str
    tenant: str
    time_left_ms: float
    units: float
    gateway_spread: int

    def encode(self, left_ms: int) -> bytes:
        """Returns the bytes for a server, with `left_ms` as the time that the gateway waits for the
        response."""
        raise NotImplementedError

    @property
    def transport(self) -> AttemptTransport | None:
        """Returns the transport of this request's attempts, such as the proxy that the request came from;
        None for the gateway's own upstream."""
        return None


@record(frozen=True, slots=True)
class Served:
    """Final response: the value that a server returned for this request."""

    value: bytes


@record(frozen=True, slots=True)
class Rejected:
    """Final response: no attempt ran. The client may retry after `retry_after_ms`; 0 if no time is
    suggested."""

    retry_after_ms: float


@record(frozen=True, slots=True)
class Failed:
    """Final response: the request failed and may or may not have taken effect."""


class ResponseSink(Protocol):
    """A client connection that receives a streamed value. A source calls these methods from the event loop
    and from `ResponseSource.start`, never from within its other methods."""

    def write_chunk(self, data: bytes) -> None:
        """Writes the next bytes."""

    def finish(self) -> None:
        """Ends the value after its last byte."""

    def abort(self) -> None:
        """Ends the value early, in a way that the client can detect."""


class ResponseSource(Protocol):
    """A streamed value of `length_bytes`. A source that `has_failed` has written nothing and never will."""

    length_bytes: int
    has_failed: bool

    @property
    def is_whole(self) -> bool:
        """Whether the whole value has been received, so that it can no longer break off."""

    def buffer_whole(self, on_end: Callable[[], None]) -> bool:
        """Receives the whole value before `start`, once there is memory for it; returns whether there is now.
        `on_end` is called once, when the value is whole or has failed, unless `start`, `fail` or `discard` is
        called before."""

    def fail(self) -> None:
        """Drops a value that has not been started, and sets `has_failed`."""

    def start(self, sink: ResponseSink) -> None:
        """Writes the value to the sink, as fast as the client reads. Called once, when the reply is next in
        the connection's order."""

    def pause(self) -> None:
        """Stops writing until `resume`, since the client does not read."""

    def resume(self) -> None:
        """Continues writing, since the client reads again."""

    def discard(self) -> None:
        """Drops the value. The sink is not called after this."""


@record(frozen=True, slots=True)
class Streamed:
    """Final response: a value too long to be buffered, forwarded as the server sends it."""

    source: ResponseSource


FinalResponse = Served | Streamed | Rejected | Failed


@record(slots=True)
class AttemptResult:
    """How an attempt ended. `is_last_attempt`: the transport makes no further attempt for this request."""

    outcome: Outcome
    value: bytes | None = None
    load_report: bytes | None = None
    is_connection_reusable: bool = False
    is_last_attempt: bool = False


@record(slots=True)
class EndpointUpdate:
    """An endpoint list or changes to it. Only the upstream uses the addresses."""

    version: int
    event: EndpointList
    addresses: dict[str, Address] = field(default_factory=dict)


class DecisionHandler(Protocol):
    """The interface of the decision engine, and of the wrappers around it, that the core uses."""

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handles one event and returns the resulting actions."""


class UpstreamAttempt(Protocol):
    """One attempt at one server. The callback passed at its creation is called once, with the result."""

    started_at: float  # seconds of the loop's clock
    is_written: bool  # whether a byte may have been sent, so that the attempt may have run
    # Called for a value too long to be buffered, before the result.
    on_response_started: Callable[[ResponseSource], None] | None
    # Called right before the attempt is written; if it returns False, the attempt has ended unsent.
    is_wanted: Callable[[], bool] | None

    def start(self) -> None:
        """Starts sending the attempt."""

    def stop(self, outcome: Outcome) -> None:
        """Ends the attempt early. The result is reported once its connection is closed."""


class AttemptContext(NamedTuple):
    """What an upstream needs to assign an attempt to a shared connection. Times are seconds of the event
    loop's clock."""

    class_name: str
    received_at: float  # time at which the request was received
    deadline: float  # time by which the attempt must have ended
    may_retry: bool  # whether the attempt limit and the route allow a retry after a reset
    max_depth: int  # the route's limit of attempts in flight on the connection; 0: no limit
    on_stalled: Callable[[], None]  # called if a response ahead on the connection stalls
    on_assigned: Callable[[str], None] | None  # receives the chosen connection and the reason, for captures


class AttemptTransport(Protocol):
    """Creates attempts."""

    def create_attempt(
        self,
        server: str,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
        context: AttemptContext | None = None,
    ) -> UpstreamAttempt | None:
        """Creates an attempt without starting it; None if the server does not accept attempts.

        `payload` returns the bytes to send, given the milliseconds that the gateway waits. `done` is called
        once. No byte is sent after `write_by` (loop time): an attempt not written by then ends as NOT_SENT.
        """


class UpstreamServers(AttemptTransport, Protocol):
    """An upstream's servers, by id."""

    def activate_server(self, server: str, address: Address, has_restarted: bool) -> None:
        """Adds or updates a server that accepts requests. `has_restarted`: it has a new process."""

    def activate_servers(
        self,
        addresses: dict[str, Address],
        has_restarted: Callable[[str], bool],
        retained: Collection[str] | None,
    ) -> None:
        """Adds or updates many servers that accept requests; `has_restarted` returns whether one has a new
        process. Of all other servers those in `retained` are left unchanged and the rest is removed; None:
        all are left unchanged."""

    def drain_server(self, server: str) -> None:
        """Drains a server: it gets no new attempts, and those in flight may finish."""

    def remove_server(self, server: str) -> None:
        """Removes a server, which has left the endpoint list."""

    def server_ids(self) -> list[str]:
        """Returns the ids of all active and draining servers."""

    def address(self, server: str) -> Address | None:
        """Returns a server's address; None if the server does not accept attempts."""


class SharedCounter(Protocol):
    """The client interface of the counter that all gateways share."""

    def increment(
        self,
        name: int,
        amount: float,
        ttl_ms: float,
        done: Callable[[float, Outcome, float], None],
        late: Callable[[float, Outcome, float], None],
    ) -> None:
        """Adds an amount to the key `name`, which expires `ttl_ms` after its first increment.

        `done` is called once, within the timeout, with the total, the outcome and the duration in
        milliseconds. After a timeout `late` is called once, within a bounded time, with the final outcome of
        the call, which is again a timeout if it remains unknown.
        """
