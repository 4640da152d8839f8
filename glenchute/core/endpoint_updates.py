"""Applies endpoint updates to the upstream's servers before the decision engine hears of them."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable
from typing import TYPE_CHECKING

from glenchute.policy.events import Endpoint, EndpointListKind, EndpointState

from .types import EndpointUpdate, UpstreamServers

if TYPE_CHECKING:
    from glenchute.policy.balancing.hash_ring import RingedEndpoints

BULK_ROWS = 256  # updates of more rows go to the upstream in one call


class EndpointUpdater:
    """Keeps the upstream's servers equal to the endpoint list."""

    def __init__(self, upstream: UpstreamServers) -> None:
        self.upstream = upstream
        self.started_ms: dict[str, float] = {}  # by server: Unix time of its last start
        # Called once, when the list grows past `server_limit` and before the engine hears of that.
        self.server_limit: float = math.inf
        self.on_server_limit_exceeded: Callable[[], None] = lambda: None

    def apply(self, update: EndpointUpdate) -> None:
        """Applies an update. An entry that is ACTIVE must have an address in it."""
        event = update.event
        is_bulk = len(event.endpoints) > BULK_ROWS
        is_bulk |= event.kind is not EndpointListKind.CHANGES and len(self.started_ms) > BULK_ROWS
        if is_bulk and self._apply_bulk(update):
            return
        for entry in event.endpoints:
            if entry.state is EndpointState.ACTIVE:
                is_restarted = self.started_ms.get(entry.address, entry.started_ms) != entry.started_ms
                self.started_ms[entry.address] = entry.started_ms
                self.upstream.activate_server(entry.address, update.addresses[entry.address], is_restarted)
            elif entry.state is EndpointState.DRAINING:
                self.upstream.drain_server(entry.address)
            else:
                self.upstream.remove_server(entry.address)
                self.started_ms.pop(entry.address, None)  # its id is never used again
        if event.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            listed = {entry.address for entry in event.endpoints}
            for server in [name for name in self.upstream.server_ids() if name not in listed]:
                self.upstream.remove_server(server)
            self.started_ms = {name: at for name, at in self.started_ms.items() if name in listed}
        self._check_server_limit()

    def _apply_bulk(self, update: EndpointUpdate) -> bool:
        """Applies an update of many rows: draining and removed servers first, then all others in one call.

        Its cost follows the pools that exist and what the list's reader has not prepared (`placed`). Returns
        False, with nothing done, where a server has several rows.
        """
        event, before, addresses = update.event, self.started_ms, update.addresses
        placed: RingedEndpoints | None = getattr(event.endpoints, "as_ringed", None)
        entries = event.endpoints
        if placed is not None:
            listed: Collection[str] = placed.listed_servers
            started = placed.started_ms
        else:
            listed = {entry.address for entry in entries}
            if len(listed) < len(entries):
                return False
            started = {
                entry.address: entry.started_ms for entry in entries if entry.state is EndpointState.ACTIVE
            }
        if len(started) < len(entries):
            self._stop_servers(entries)
        retained = None
        if event.kind is EndpointListKind.CHANGES:
            self.started_ms = before | started
        else:
            retained = listed
            draining = listed if len(started) < len(listed) else ()
            self.started_ms = {name: before[name] for name in draining if name in before} | started
        self._check_server_limit()
        if placed is None or len(addresses) != len(started):  # active servers always have an address
            addresses = {name: addresses[name] for name in started}
        self.upstream.activate_servers(
            addresses, lambda name: before.get(name, started[name]) != started[name], retained
        )
        return True

    def _stop_servers(self, entries: Iterable[Endpoint]) -> None:
        """Drains or removes the servers among these that are not active."""
        for entry in entries:
            if entry.state is EndpointState.DRAINING:
                self.upstream.drain_server(entry.address)
            elif entry.state is not EndpointState.ACTIVE:
                self.upstream.remove_server(entry.address)
                self.started_ms.pop(entry.address, None)

    def _check_server_limit(self) -> None:
        """Reports the first time that the list is longer than the limit."""
        if len(self.started_ms) > self.server_limit:
            self.server_limit = math.inf
            self.on_server_limit_exceeded()
