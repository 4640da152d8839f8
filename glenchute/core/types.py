"""The types that pass between listeners, core, upstreams and clients. No sockets, no protocol."""

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
    """A client's request as the core needs it; each listener adds what its upstream is to be sent."""

    request_id: bytes
    class_name: str
    plan: str
    tenant: str
    time_left_ms: float
    units: float
    gateway_spread: int

    def encode(self, left_ms: int) -> bytes:
        """The bytes for a server, which is told that the gateway waits `left_ms` for the response."""
        raise NotImplementedError

    @property
    def transport(self) -> AttemptTransport | None:
        """What makes this request's attempts instead of the gateway's own upstream, as the proxy that it came
        from; None for the upstream."""
        return None


@record(frozen=True, slots=True)
class Served:
    """Final response: the value as a server gave it for this request."""

    value: bytes


@record(frozen=True, slots=True)
class Rejected:
    """Final response: no attempt ran. The client may retry after `retry_after_ms`; 0: no advice."""

    retry_after_ms: float


@record(frozen=True, slots=True)
class Failed:
    """Final response: no promise about the effect."""


class ResponseSink(Protocol):
    """A client connection that receives a streamed value. None of these methods is called from within a call
    to the source, except from `ResponseSource.start`."""

    def write_chunk(self, data: bytes) -> None:
        """Writes the next bytes."""

    def finish(self) -> None:
        """All bytes have been written."""

    def abort(self) -> None:
        """The value ends early, and the client must be able to tell."""


class ResponseSource(Protocol):
    """A streamed value of `length_bytes`. One that `has_failed` has written nothing and never will."""

    length_bytes: int
    has_failed: bool

    def start(self, sink: ResponseSink) -> None:
        """The reply is next in the connection's order: writes everything to the sink, as fast as the client
        reads. To be called once."""

    def pause(self) -> None:
        """The client does not read: writes nothing until `resume`."""

    def resume(self) -> None:
        """The client reads again."""

    def discard(self) -> None:
        """Nobody wants the value any more. The sink is not called after this."""


@record(frozen=True, slots=True)
class Streamed:
    """Final response: a value too long to be buffered, as a server sends it for this request."""

    source: ResponseSource


FinalResponse = Served | Streamed | Rejected | Failed


@record(slots=True)
class AttemptResult:
    """How an attempt ended. `is_last_attempt`: its transport makes no further one for this request."""

    outcome: Outcome
    value: bytes | None = None
    load_report: bytes | None = None
    is_connection_reusable: bool = False
    is_last_attempt: bool = False


@record(slots=True)
class EndpointUpdate:
    """An endpoint list or changes to it. The addresses are for the upstream only."""

    version: int
    event: EndpointList
    addresses: dict[str, Address] = field(default_factory=dict)


class DecisionHandler(Protocol):
    """The decision engine, or what stands before it, as far as the core needs it."""

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """The actions that answer one event."""


class UpstreamAttempt(Protocol):
    """One attempt at one server. Whoever creates it passes a callback; it is called once."""

    started_at: float  # seconds of the loop's clock
    is_written: bool  # a byte may have been sent: it may have run
    on_response_started: Callable[[ResponseSource], None] | None  # called before the result, for long values
    is_wanted: Callable[[], bool] | None  # asked right before it is written; if False, it has ended unsent

    def start(self) -> None:
        """Sends it, or begins to."""

    def stop(self, outcome: Outcome) -> None:
        """Ends it early. The result is reported once its connection is closed."""


class AttemptContext(NamedTuple):
    """What an upstream needs to place an attempt on a shared connection. Times are seconds of the loop's
    clock."""

    class_name: str
    received_at: float  # when the request was received
    deadline: float  # attempts end by then
    may_retry: bool  # after a reset, as far as the number of attempts and the route allow
    max_depth: int  # most attempts in flight on its connection, by its route; 0: not limited by it
    on_stalled: Callable[[], None]  # it waits behind a response that does not come
    on_assigned: Callable[[str], None] | None  # gets the connection and the reason, for captures


class AttemptTransport(Protocol):
    """Makes attempts."""

    def create_attempt(
        self,
        server: str,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
        context: AttemptContext | None = None,
    ) -> UpstreamAttempt | None:
        """Creates an attempt, not started yet; None if the server takes nothing (any more).

        `payload` makes the bytes, given the milliseconds that the gateway waits. `done` is called once. Not a
        byte is sent after `write_by` (loop time): the attempt then ends as NOT_SENT.
        """


class UpstreamServers(AttemptTransport, Protocol):
    """The servers, by their ids."""

    def activate_server(self, server: str, address: Address, has_restarted: bool) -> None:
        """A server is active. `has_restarted`: its process is not the one that was known."""

    def activate_servers(
        self,
        addresses: dict[str, Address],
        has_restarted: Callable[[str], bool],
        retained: Collection[str] | None,
    ) -> None:
        """Many servers are active; `has_restarted` tells of each whether its process is a new one. Of all
        others those in `retained` remain as they are and the rest is removed; None: all remain."""

    def drain_server(self, server: str) -> None:
        """A server is draining: no new attempts, those in flight may finish."""

    def remove_server(self, server: str) -> None:
        """A server has left the endpoint list."""

    def server_ids(self) -> list[str]:
        """All servers that are active or draining."""

    def address(self, server: str) -> Address | None:
        """Where the server listens; None if it takes nothing (any more)."""


class SharedCounter(Protocol):
    """The counter that all gateways share."""

    def increment(
        self,
        name: int,
        amount: float,
        ttl_ms: float,
        done: Callable[[float, Outcome, float], None],
        late: Callable[[float, Outcome, float], None],
    ) -> None:
        """Adds an amount to the key `name`, which expires `ttl_ms` after its first call.

        `done` gets total, outcome and duration in milliseconds, once, within the timeout. After a timeout
        `late` gets what became of the call, once, within a bounded time; a timeout again where that stays
        unknown.
        """
