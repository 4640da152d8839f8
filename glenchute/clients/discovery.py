"""Client of the discovery service: fetches the endpoint list and watches it for changes over HTTP/1.1.

For the service a watch lasts only while each poll follows the previous answer at once; a later poll begins a
new watch from the version in force. Whatever fails (silence, an error, an invalid body), the list in force
stays and only the changes since its version are requested: the load on a shared service is highest when all
gateways poll it again after an outage, and complete lists for all of them would keep it overloaded. The
complete list is requested only without a list in force, after an answer with an older version than the one in
force, to confirm an unusual list, and from a new address.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable, Collection, Generator
from dataclasses import replace
from typing import TYPE_CHECKING

from glenchute.core.types import Address, EndpointUpdate
from glenchute.policy.endpoints.polling import PollingSettings, PollScheduler
from glenchute.policy.endpoints.watch import CloseConnection, EndpointWatch, OpenAndPoll, Poll, WatchCommand
from glenchute.policy.events import EndpointList, EndpointListKind, EndpointState
from glenchute.policy.lifecycle.handover import ActiveEndpoints
from glenchute.protocol.endpoint_list import (
    CurrentList,
    EndpointListError,
    decode_list,
    decode_list_in_parts,
)

from .http_exchange import HttpExchange, HttpResponse

if TYPE_CHECKING:  # imported where an instance is created: most processes need no confirmations
    from glenchute.policy.endpoints.list_confirmation import ListConfirmation

log = logging.getLogger("glenchute")

LIST_TARGET = "/v1/servers"
HTTP_OK = 200
HTTP_SERVICE_UNAVAILABLE = 503
# Delay of the next poll after an answer without changes that came sooner than this. A working watch waits for
# over 0.2 s; without the delay a service that does not wait would be polled without a pause.
EMPTY_ANSWER_PAUSE_S = 0.1
MAX_UNDIVIDED_BODY_BYTES = 64 * 1024  # a longer body is decoded in parts, and requests are served in between


class UnconfirmedListError(EndpointListError):
    """A list that needs a confirming answer before it comes into force."""


class PartialDecode:
    """An answer that was received completely and is being decoded in parts."""

    def __init__(self, connection_id: int, parts: Generator[None, None, EndpointUpdate]) -> None:
        self.connection_id, self.parts = connection_id, parts
        self.is_connection_lost = False  # whether the connection has ended since the answer was received


class DiscoveryClient:
    """Fetches the endpoint list, then watches it for as long as the process runs.

    `EndpointWatch` decides which polls are in flight and when the next one is sent.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        on_list: Callable[[EndpointUpdate], None],
        settings: PollingSettings,
        seed: int,
        confirmation: ListConfirmation | None = None,
        is_serving: Callable[[], bool] = lambda: True,
    ) -> None:
        """`on_list`: receives each list that comes into force. `seed`: seed of the random delays, which
        must differ between gateways. `confirmation`: decides which lists need a second answer; None: no list
        does. `is_serving`: returns whether endpoints of the list in force answer requests now."""
        self.loop = loop
        self.address = address
        self.on_list = on_list
        # Version of the list in force; None: the next poll requests the complete list.
        self.version: int | None = None
        # Version of the list in force at the present address, also where the complete list is needed next.
        self.list_version: int | None = None
        self.current_list = CurrentList()
        self.connections: dict[int, HttpExchange] = {}
        self.connect_tasks: dict[int, asyncio.Task[None]] = {}
        self.partial_decode: PartialDecode | None = None  # meanwhile its poll counts as in flight
        self.timer: asyncio.TimerHandle | None = None
        self.scheduler = PollScheduler(settings, random.Random(seed))
        # Returns how long from now, in seconds, other members poll for this gateway.
        self.delegated_for_s: Callable[[], float] = lambda: 0.0
        # Returns the endpoints of the list in force that other members report as not to be used any more.
        self.withheld_endpoints: Callable[[], Collection[str]] = tuple
        self.watch = EndpointWatch(
            self.scheduler,
            lambda: self.delegated_for_s(),
            1 if confirmation is None else confirmation.ANSWERS_NEEDED,
        )
        self.confirmation, self.is_serving = confirmation, is_serving
        # Receives the endpoints that an unconfirmed list withdraws. A function of its own, as other members
        # must not be sent unconfirmed lists.
        self.on_restriction = on_list
        # Called with the version in force after each valid answer.
        self.on_confirmed: Callable[[int], None] = lambda version: None
        self.failed_polls = 0  # failures since the last valid answer
        self.last_poll_at = 0.0
        self.first_poll_made = asyncio.Event()  # set when the first poll was sent, or could not be sent
        self.first_answer = asyncio.Event()  # set at the first valid answer
        self.is_closed = False

    def start(self, saved: EndpointUpdate | None, patience_s: float, immediate: bool = False) -> bool:
        """Schedules the first poll; returns whether the start of the process should wait for its answer.

        `saved`: a saved list to serve by, if there is one. `patience_s`: the longest wait of the start for an
        answer. `immediate`: the first poll has no delay.
        """
        if saved is not None:
            self.version = self.list_version = saved.version
            self.current_list.apply(saved)
        delay_s = 0.0 if immediate else self.scheduler.first_poll_delay_s(saved is not None)
        is_worth_waiting = delay_s < patience_s or saved is None
        self.watch.start(self.loop.time(), delay_s, is_worth_waiting)
        self._reset_timer()
        return is_worth_waiting

    def active_endpoints(self) -> ActiveEndpoints | None:
        """Returns the endpoints in use, for a successor process; None without a list of a known version."""
        if self.list_version is None:
            return None
        rows, withheld = self.current_list.rows.items(), self.withheld_endpoints()
        active = {name for name, (endpoint, _) in rows if endpoint.state is EndpointState.ACTIVE}
        is_settled = self.version is not None and active.isdisjoint(withheld)
        source = format_address(self.address)
        return ActiveEndpoints(source, self.list_version, frozenset(active.difference(withheld)), is_settled)

    def withdraw_inactive(self, handed: ActiveEndpoints) -> EndpointUpdate | None:
        """Takes endpoints of the saved list out of use that a predecessor process could not use any more;
        returns the update for the caller to apply, None if there is nothing to do.

        What discovery has told the predecessor counts as known here too, even if discovery is down since.
        The next poll still asks for the changes since the saved version, and thus for all of these; what is
        not settled may occur in no change, so then it asks for the complete list. A list that is older than
        the saved one, or of another address, withdraws nothing.
        """
        is_comparable = handed.source == format_address(self.address) and self.version is not None
        if not is_comparable or self.first_answer.is_set() or handed.version < (self.version or 0):
            return None
        withdrawn = tuple(
            replace(endpoint, state=EndpointState.DRAINING)
            for name, (endpoint, _) in self.current_list.rows.items()
            if endpoint.state is EndpointState.ACTIVE and name not in handed.names
        )
        if not withdrawn:
            return None
        update = EndpointUpdate(self.version or 0, EndpointList(EndpointListKind.CHANGES, withdrawn))
        self.current_list.apply(update)
        if not handed.is_settled:
            self.version = None
        return update

    def adopt(self, update: EndpointUpdate) -> None:
        """Records a list, or changes to the one in force, that another member has received from the discovery
        service. The owner brings it into force."""
        self.version = self.list_version = update.version
        self.current_list.apply(update)
        if self.confirmation is not None:
            self.confirmation.apply(update.version, update.event)

    def change_address(self, address: Address) -> None:
        """Polls at another address from now on. The complete list is requested there, as versions are only
        comparable within one address; the list in force stays until it is received."""
        if address == self.address:
            return
        self.address, self.version, self.list_version = address, None, None
        self._execute(self.watch.change_address(self.loop.time()))
        self._reset_timer()

    def resume_polling(self) -> None:
        """Ends the delegation of polls: this gateway polls for other members from now on."""
        self.watch.resume_polling(self.loop.time())
        self._reset_timer()

    def close(self) -> None:
        """Stops polling and closes all connections, as the process ends."""
        self.is_closed = True
        self._reset_timer()
        for connection_id in list(self.connections):
            self._close_connection(connection_id)

    # --- polls -------------------------------------------------------------------------------------------

    def _reset_timer(self) -> None:
        """Sets the timer to the time of the next poll; after `close` there is none."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None if self.is_closed else self.loop.call_at(self.watch.next_poll_at, self.on_timer)

    def on_timer(self) -> None:
        """Sends the poll that is due: the next one, or a hedged one beside those without a timely answer."""
        if self.watch.in_flight and self.watch.next_poll_at <= self.loop.time():
            self._log_failure("no answer")
        self._execute(self.watch.tick(self.loop.time(), self.version is not None))
        self._reset_timer()

    def _execute(self, commands: list[WatchCommand]) -> None:
        for command in commands:
            match command:
                case OpenAndPoll(connection_id, wait_s):
                    self.open_connection(connection_id, wait_s)
                case Poll(connection_id, wait_s):
                    self._send_poll(connection_id, wait_s)
                case CloseConnection(connection_id):
                    self._close_connection(connection_id)

    def open_connection(self, connection_id: int, wait_s: float) -> None:
        """Opens a connection and polls on it; the watch limits the time of both steps together."""
        exchange = HttpExchange(
            lambda response: self._on_response(connection_id, response),
            lambda: self._on_connection_closed(connection_id),
        )
        self.connections[connection_id] = exchange

        async def connect() -> None:
            try:
                await self.loop.create_connection(lambda: exchange, *self.address)
            except OSError:
                self._on_connection_closed(connection_id)
                return
            finally:
                self.connect_tasks.pop(connection_id, None)
            self._send_poll(connection_id, wait_s)

        self.connect_tasks[connection_id] = self.loop.create_task(connect())

    def _send_poll(self, connection_id: int, wait_s: float) -> None:
        """Sends a poll on an open connection."""
        exchange = self.connections.get(connection_id)
        if exchange is None:
            return
        if not exchange.is_usable():
            # The peer has closed the connection, and `_on_connection_closed` has not been called yet.
            self._close_connection(connection_id)
            self.watch.record_connection_lost(self.loop.time(), connection_id)
            self._reset_timer()
            return
        target = LIST_TARGET
        if self.version is not None:
            target += f"?since={self.version}&timeout_ms={wait_s * 1000.0:.0f}"
        self.last_poll_at = self.loop.time()
        self.first_poll_made.set()
        exchange.get(f"{self.address[0]}:{self.address[1]}", target)

    def _close_connection(self, connection_id: int) -> None:
        """Closes a connection and drops its answer, also one that is being decoded."""
        task = self.connect_tasks.pop(connection_id, None)
        exchange = self.connections.pop(connection_id, None)
        if self.partial_decode is not None and self.partial_decode.connection_id == connection_id:
            self.partial_decode = None
        if task is not None:
            task.cancel()
        if exchange is not None:
            exchange.abort()

    def _on_connection_closed(self, connection_id: int) -> None:
        """Handles a connection that the peer closed or that could not be opened."""
        if self.partial_decode is not None and self.partial_decode.connection_id == connection_id:
            self.partial_decode.is_connection_lost = True  # the answer was complete and remains valid
            return
        if self.is_closed or self.connections.pop(connection_id, None) is None:
            return
        self.first_poll_made.set()
        if self.watch.record_connection_lost(self.loop.time(), connection_id):
            self._log_failure("no connection, or no answer on it")
        self._reset_timer()

    # --- answers -----------------------------------------------------------------------------------------

    def _on_response(self, connection_id: int, response: HttpResponse) -> None:
        """Handles an answer. A short one, as changes with drains are, comes into force at once. A long one is
        decoded in parts and comes into force once all are decoded, unless its connection is closed before
        that: because another answer was accepted, the address has changed, or the process ends."""
        if connection_id not in self.watch.in_flight or connection_id not in self.connections:
            return
        if response.status == HTTP_OK and len(response.body) > MAX_UNDIVIDED_BODY_BYTES:
            parts = decode_list_in_parts(response.body, self.current_list)
            self.partial_decode = PartialDecode(connection_id, parts)
            self.decode_next_part(self.partial_decode)
            return
        self._handle_answer(
            connection_id,
            response.status,
            lambda: decode_list(json.loads(response.body), current=self.current_list),
            response.retry_after_s,
        )

    def decode_next_part(self, decoding: PartialDecode) -> None:
        """Decodes the next part of an answer, unless the answer was dropped."""
        if self.partial_decode is not decoding:
            return
        try:
            next(decoding.parts)
        except StopIteration as end:
            result: EndpointUpdate | Exception = end.value
        except (ValueError, RecursionError) as error:
            result = error
        else:
            self.loop.call_soon(self.decode_next_part, decoding)
            return
        self.partial_decode = None
        self._handle_answer(decoding.connection_id, HTTP_OK, lambda: result_or_raise(result))
        if decoding.is_connection_lost:
            self._on_connection_closed(decoding.connection_id)

    def _handle_answer(
        self,
        connection_id: int,
        status: int,
        decode: Callable[[], EndpointUpdate],
        retry_after_s: float | None = None,
    ) -> None:
        """Brings an answer into force, or schedules a retry if it is invalid."""
        now = self.loop.time()
        try:
            update = self._validate(status, decode)
        except (ValueError, RecursionError) as error:
            self._handle_invalid(now, connection_id, status, error, retry_after_s)
            return
        if self.failed_polls:
            log.info(
                "discovery answers again, after %d failed polls; the list from %s:%d is up to date",
                self.failed_polls,
                *self.address,
            )
            self.failed_polls = 0
        has_changes = bool(update.event.endpoints)
        if self.version is None or has_changes or update.event.kind is EndpointListKind.FULL:
            self.current_list.apply(update)
            self.on_list(update)
        self.on_confirmed(update.version)
        is_empty_at_once = not has_changes and now - self.last_poll_at < EMPTY_ANSWER_PAUSE_S
        self.version = self.list_version = update.version
        self.scheduler.record_answer()
        self.first_answer.set()
        # A change ends the watches of all gateways at the same time, so their next polls need random delays.
        delay_s = self.scheduler.synchronized_delay_s() if has_changes else 0.0
        delay_s = EMPTY_ANSWER_PAUSE_S if is_empty_at_once else delay_s
        self._execute(self.watch.record_answer(now, connection_id, delay_s))
        self._reset_timer()

    def _validate(self, status: int, decode: Callable[[], EndpointUpdate]) -> EndpointUpdate:
        """Returns the update of a valid answer; raises ValueError or RecursionError if the answer is invalid,
        UnconfirmedListError if it needs a confirming answer. If the next poll has to request the complete
        list, `version` is None after the error."""
        if status != HTTP_OK:
            raise EndpointListError(f"HTTP status {status}")
        update = decode()
        if update.event.kind is not EndpointListKind.FULL:
            if self.version is None:
                raise EndpointListError("changes instead of the complete list")
            if update.version < self.version:
                self.version = None  # versions were reset: the changes in between are unknown
                raise EndpointListError("changes with an older version than the list in force")
        confirmation = self.confirmation
        if confirmation is not None and not confirmation.accepts(
            update.version, update.event, self.is_serving()
        ):
            self.version = None
            self._apply_restriction(confirmation, update.event)
            count = len(update.event.endpoints)
            raise UnconfirmedListError(
                f"a list of version {update.version} with {count} servers, not confirmed yet"
            )
        return update

    def _handle_invalid(
        self, now: float, connection_id: int, status: int, error: Exception, retry_after_s: float | None
    ) -> None:
        """Schedules the poll after an invalid or unconfirmed answer."""
        self._log_failure(str(error))
        if status == HTTP_SERVICE_UNAVAILABLE:
            # An overloaded service is not polled again at once: the delays spread the polls of all gateways
            # over time, within the rate that they may have together. With shorter delays its queue would stay
            # longer than its clients wait.
            delay_s = self.scheduler.record_rejection(retry_after_s, self.version is not None)
        else:
            delay_s = self.scheduler.record_failure()
        if isinstance(error, UnconfirmedListError):
            commands = self.watch.record_unconfirmed(now, connection_id, delay_s)
        else:
            commands = self.watch.record_failure(now, connection_id, delay_s)
        self._execute(commands)
        self._reset_timer()

    def _apply_restriction(self, confirmation: ListConfirmation, received: EndpointList) -> None:
        """Takes out of use at once the endpoints that an unconfirmed list withdraws."""
        withdrawn = confirmation.withdraw_endpoints(received)
        if withdrawn:
            changes = EndpointList(EndpointListKind.CHANGES, withdrawn)
            update = EndpointUpdate(confirmation.version, changes, {})
            self.current_list.apply(update)
            self.on_restriction(update)

    def _log_failure(self, reason: str) -> None:
        """Counts a failure; logs the first one in a row, as the list in force may be out of date from then
        on."""
        self.failed_polls += 1
        if self.failed_polls == 1:
            log.warning(
                "discovery fails at %s:%d (%.80s): polls go on, and the list of version %s stays in force",
                *self.address,
                reason,
                self.version,
            )


def format_address(address: Address) -> str:
    """Returns an address as text."""
    return f"{address[0]}:{address[1]}"


def result_or_raise(result: EndpointUpdate | Exception) -> EndpointUpdate:
    """Returns the update, or raises the error of decoding it."""
    if isinstance(result, Exception):
        raise result
    return result
