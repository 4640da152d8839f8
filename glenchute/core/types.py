"""What passes between fronts, core, backends and peers. No sockets, no wire."""

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
    """A client's request as the core needs it; each front adds what its backend is to be sent."""

    request_id: bytes
    class_name: str
    plan: str
    tenant: str
    time_left_ms: float
    units: float
    gateway_spread: int

    def encode(self, left_ms: int) -> bytes:
        """The bytes for a server, told that the gateway will wait so long."""
        raise NotImplementedError

    @property
    def transport(self) -> AttemptTransport | None:
        """Who makes this request's attempts in place of the gateway's own backend: the proxy it came from."""
        return None


@record(frozen=True, slots=True)
class Served:
    """Final answer: the value as a server gave it for this request."""

    value: bytes


@record(frozen=True, slots=True)
class Rejected:
    """Final answer: no try ran; come again after this time, 0 for no advice."""

    retry_after_ms: float


@record(frozen=True, slots=True)
class Failed:
    """Final answer: no promise about the effect."""


class ResponseSink(Protocol):
    """Where a long value goes: a client whose turn it is. None of these is called from within a call to the
    source, but for `ResponseSource.start`."""

    def write_chunk(self, data: bytes) -> None:
        """The next bytes."""

    def finish(self) -> None:
        """All bytes have been given."""

    def abort(self) -> None:
        """No more come, and the client has to be able to tell."""


class ResponseSource(Protocol):
    """A long value on its way, `length` bytes in all. One that has `failed` gave nothing on, and won't."""

    length_bytes: int
    has_failed: bool

    def start(self, sink: ResponseSink) -> None:
        """The client's turn has come: gives all on that comes from now on, at the client's pace. Once."""

    def pause(self) -> None:
        """The client does not read: no more, for now."""

    def resume(self) -> None:
        """It does again."""

    def discard(self) -> None:
        """Nobody wants it any more. No call to the sink follows."""


@record(frozen=True, slots=True)
class Streamed:
    """Final answer: a value too long to be held, as a server gives it for this request."""

    source: ResponseSource


FinalResponse = Served | Streamed | Rejected | Failed


@record(slots=True)
class AttemptResult:
    """How an attempt ended; `sound` where the connection can be used again, `last` where whoever carries the
    attempts makes no further one."""

    outcome: Outcome
    value: bytes | None = None
    load_report: bytes | None = None
    is_connection_reusable: bool = False
    is_last_attempt: bool = False


@record(slots=True)
class EndpointUpdate:
    """A list or changes to it, with the addresses, which only the transport needs."""

    version: int
    event: EndpointList
    addresses: dict[str, Address] = field(default_factory=dict)


class DecisionHandler(Protocol):
    """The decision module, as far as the core needs it."""

    def handle(self, now_ms: float, event: Event) -> list[Action]: ...


class UpstreamAttempt(Protocol):
    """One request on its way to one server. `done` was handed over at the making and is called once."""

    started_at: float  # the loop's time
    is_written: bool  # a byte may have left: it may have run
    on_response_started: (
        Callable[[ResponseSource], None] | None
    )  # told of an answer too long to be held, before `done`
    is_wanted: Callable[[], bool] | None  # asked right before it is written; False: it has ended, unsent

    def start(self) -> None:
        """Sends it, or begins to."""

    def stop(self, ending: Outcome) -> None:
        """Ends it early. `done` is called once the connection is closed."""


class AttemptContext(NamedTuple):
    """What a carrier that places attempts on shared connections needs to know of one. Times are the loop's,
    in seconds."""

    class_name: str
    received_at: float  # when its request came
    deadline: float  # attempts end by then
    may_retry: bool  # its request may have a further attempt after a reset, as far as numbers and routes go
    max_depth: int  # most attempts on its connection, by its route; 0: none said
    on_stalled: Callable[[], None]  # to be told that it waits behind a stalled one
    on_assigned: Callable[[str], None] | None  # to be told where it went and why, if anybody wants to know


class AttemptTransport(Protocol):
    """Makes attempts."""

    def create_attempt(
        self,
        server: str,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
        about: AttemptContext | None = None,
    ) -> UpstreamAttempt | None:
        """Makes an attempt, not started yet; None if the server takes nothing (any more). Not a byte of it
        leaves after `write_by`, the loop's time: it then ends as "could not connect"."""


class UpstreamServers(AttemptTransport, Protocol):
    """The servers, by their ids."""

    def activate_server(self, server: str, address: Address, started_anew: bool) -> None:
        """A server that takes work."""

    def activate_servers(
        self, addresses: dict[str, Address], anew: Callable[[str], bool], stay: Collection[str] | None
    ) -> None:
        """Many servers that take work; `anew` tells of one whether it was started anew. Of the others all
        `stay` as they are, or those named, the rest having left the list."""

    def drain_server(self, server: str) -> None:
        """A server that drains: nothing new, what is out may finish."""

    def remove_server(self, server: str) -> None:
        """A server that left the list."""

    def server_ids(self) -> list[str]:
        """All that are listed or drain."""

    def address(self, server: str) -> Address | None:
        """Where it listens; None if it takes nothing (any more)."""


class SharedCounter(Protocol):
    """The shared counter."""

    def increment(
        self,
        name: int,
        amount: float,
        ttl_ms: float,
        done: Callable[[float, Outcome, float], None],
        late: Callable[[float, Outcome, float], None],
    ) -> None:
        """Adds an amount; `done` gets total, ending and milliseconds, once, within the time-out. After a
        time-out `late` gets what became of the call, once, within a bounded time; a time-out again where
        that stays unknown."""
