"""Runs the gateway with a deliberate fault: ``python -m lab.soak.mutants NAME``.

The `--mutant` option of `lab.soak` starts the gateway this way.
"""

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
    """Drops every 50th response."""
    complete, calls = ReplySlot.complete, [0]

    def drop_each_fiftieth(self: ReplySlot, answer: Any) -> None:
        calls[0] += 1
        if calls[0] % 50:
            complete(self, answer)

    ReplySlot.complete = drop_each_fiftieth  # type: ignore[method-assign]


def answers_twice() -> None:
    """Appends a second final response after every 40th flush with open requests."""
    flush, calls = ClientConnection.flush, [0]

    def flush_twice(self: ClientConnection) -> None:
        calls[0] += 1
        flush(self)
        if calls[0] % 40 == 0 and self.transport is not None and self.slots:
            self.transport.write(b"-ERR failed\r\n")

    ClientConnection.flush = flush_twice  # type: ignore[method-assign]


def forgets_drains() -> None:
    """Ignores drains, so that draining servers still get requests."""
    apply = EndpointUpdater.apply

    def without_drains(self: EndpointUpdater, update: Any) -> None:
        return (
            None if any(e.state.value == "draining" for e in update.event.endpoints) else apply(self, update)
        )

    def ignore_drains(self: RequestExecutor, update: Any) -> None:
        if not any(endpoint.state.value == "draining" for endpoint in update.event.endpoints):
            update_endpoints(self, update)

    update_endpoints = RequestExecutor.update_endpoints
    EndpointUpdater.apply = without_drains  # type: ignore[method-assign]
    RequestExecutor.update_endpoints = ignore_drains  # type: ignore[method-assign]


def repeats_charges() -> None:
    """Retries requests that may already have run."""
    RetryPolicy.may_retry = lambda self, now_ms, pending, event: pending.attempt_count < 4  # type: ignore[method-assign]


def ends_at_once() -> None:
    """Closes all client connections at SIGTERM without waiting for responses."""

    def abort_clients(self: Listener, replaced: bool = False) -> None:
        for client in list(self.clients):
            if client.transport is not None:
                client.transport.abort()

    Listener.start_shutdown = abort_clients  # type: ignore[method-assign]


def never_ends() -> None:
    """Waits for responses until after the platform's SIGKILL."""
    draining.ANSWER_MARGIN_S = -5.0


def ignores_disconnects() -> None:
    """Continues to send requests of disconnected clients."""
    ClientConnection.has_disconnected = lambda self: False  # type: ignore[method-assign]
    RequestExecutor.client_disconnected = lambda self, request: None  # type: ignore[method-assign]


def accepts_no_connection_while_ending() -> None:
    """Resets connections that are opened after SIGTERM."""
    connection_made = ClientConnection.connection_made

    def reset_during_shutdown(self: ClientConnection, transport: Any) -> None:
        connection_made(self, transport)
        if self.listener.lifecycle.phase.value == "leaving":
            transport.abort()

    ClientConnection.connection_made = reset_during_shutdown  # type: ignore[method-assign]


def raises_while_ending() -> None:
    """Raises an exception in the shutdown."""

    def fail_shutdown(self: Listener, replaced: bool = False) -> None:
        raise RuntimeError("deliberate failure of the shutdown")

    Listener.start_shutdown = fail_shutdown  # type: ignore[method-assign]


def answers_late() -> None:
    """Ignores deadlines: requests do not end at theirs, and attempts continue past it."""
    executor.RESPONSE_MARGIN_S = -2.0
    RequestExecutor.deadline_expired = lambda self, request_id: None  # type: ignore[method-assign]


MUTANTS: dict[str, Callable[[], None]] = {
    mutant.__name__: mutant
    for mutant in (
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
