"""The program with a fault put in on purpose: ``python -m lab.soak.mutants NAME``, for `--mutant`."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

from glenchute.cli.main import main as program
from glenchute.core import executor
from glenchute.core.endpoint_updates import EndpointUpdater
from glenchute.core.executor import RequestExecutor
from glenchute.listeners.resp2.connection import ClientConnection
from glenchute.listeners.resp2.listener import Listener
from glenchute.listeners.resp2.reply_slot import ReplySlot
from glenchute.policy.lifecycle import draining
from glenchute.policy.retries.retry_policy import RetryPolicy


def drops_each_fiftieth_response() -> None:
    """Responses are lost now and then."""
    complete, counts = ReplySlot.complete, [0]

    def dropping(self: ReplySlot, answer: Any) -> None:
        counts[0] += 1
        if counts[0] % 50:
            complete(self, answer)

    ReplySlot.complete = dropping  # type: ignore[method-assign]


def answers_twice() -> None:
    """A second final response follows now and then."""
    flush, counts = ClientConnection.flush, [0]

    def twice(self: ClientConnection) -> None:
        counts[0] += 1
        flush(self)
        if counts[0] % 40 == 0 and self.transport is not None and self.slots:
            self.transport.write(b"-ERR failed\r\n")

    ClientConnection.flush = twice  # type: ignore[method-assign]


def forgets_drains() -> None:
    """Draining servers are used on."""
    apply = EndpointUpdater.apply

    def without_drains(self: EndpointUpdater, update: Any) -> None:
        return (
            None if any(e.state.value == "draining" for e in update.event.endpoints) else apply(self, update)
        )

    def unheard(self: RequestExecutor, update: Any) -> None:
        if not any(endpoint.state.value == "draining" for endpoint in update.event.endpoints):
            heard(self, update)

    heard = RequestExecutor.update_endpoints
    EndpointUpdater.apply = without_drains  # type: ignore[method-assign]
    RequestExecutor.update_endpoints = unheard  # type: ignore[method-assign]


def repeats_charges() -> None:
    """What may have run is sent again."""
    RetryPolicy.may_retry = lambda self, now_ms, pending, event: pending.attempt_count < 4  # type: ignore[method-assign]


def ends_at_once() -> None:
    """SIGTERM closes everything without waiting for responses."""

    def cut(self: Listener, replaced: bool = False) -> None:
        for client in list(self.clients):
            if client.transport is not None:
                client.transport.abort()

    Listener.start_shutdown = cut  # type: ignore[method-assign]


def never_ends() -> None:
    """The process waits past the kill."""
    draining.ANSWER_MARGIN_S = -5.0


def ignores_disconnects() -> None:
    """Requests of clients that left are sent on."""
    ClientConnection.has_disconnected = lambda self: False  # type: ignore[method-assign]
    RequestExecutor.client_disconnected = lambda self, request: None  # type: ignore[method-assign]


def accepts_no_connection_while_ending() -> None:
    """Connections that come after SIGTERM are reset."""
    made = ClientConnection.connection_made

    def refusing(self: ClientConnection, transport: Any) -> None:
        made(self, transport)
        if self.listener.lifecycle.phase.value == "leaving":
            transport.abort()

    ClientConnection.connection_made = refusing  # type: ignore[method-assign]


def raises_while_ending() -> None:
    """An exception in the shutdown."""

    def broken(self: Listener, replaced: bool = False) -> None:
        raise RuntimeError("on purpose")

    Listener.start_shutdown = broken  # type: ignore[method-assign]


def answers_late() -> None:
    """No request ends at its deadline, and attempts go on past it."""
    executor.RESPONSE_MARGIN_S = -2.0
    RequestExecutor.deadline_expired = lambda self, request_id: None  # type: ignore[method-assign]


MUTANTS: dict[str, Callable[[], None]] = {
    made.__name__: made
    for made in (
        drops_each_fiftieth_response,
        answers_twice,
        forgets_drains,
        repeats_charges,
        ends_at_once,
        never_ends,
        ignores_disconnects,
        accepts_no_connection_while_ending,
        raises_while_ending,
        answers_late,
    )
}

if __name__ == "__main__":
    MUTANTS[sys.argv[1]]()
    sys.argv = ["glenchute"]
    sys.exit(program())
