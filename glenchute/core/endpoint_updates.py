"""Applies endpoint updates to the upstream's servers before the decision engine receives them."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable
from typing import TYPE_CHECKING

from glenchute.policy.events import Endpoint, EndpointListKind, EndpointState

from .types import EndpointUpdate, UpstreamServers

if TYPE_CHECKING:
    from glenchute.policy.balancing.hash_ring import RingedEndpoints

BULK_ROWS = 256  # larger updates are applied to the upstream in one call


class EndpointUpdater:
    """Keeps the upstream's servers in sync with the endpoint list."""

    def __init__(self, upstream: UpstreamServers) -> None:
        self.upstream = upstream
        self.started_ms: dict[str, float] = {}  # Unix time of each server's last start
        # Called once, when the list exceeds `server_limit`, before the engine receives that list.
        self.server_limit: float = math.inf
        self.on_server_limit_exceeded: Callable[[], None] = lambda: None

    def apply(self, update: EndpointUpdate) -> None:
        """Applies an update, which must hold an address for each ACTIVE entry."""
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
                self.started_ms.pop(entry.address, None)  # a removed server's id is never reused
        if event.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            listed = {entry.address for entry in event.endpoints}
            for server in [name for name in self.upstream.server_ids() if name not in listed]:
                self.upstream.remove_server(server)
            self.started_ms = {name: at for name, at in self.started_ms.items() if name in listed}
        self._check_server_limit()

    def _apply_bulk(self, update: EndpointUpdate) -> bool:
        """Applies an update of many rows: draining and removed servers first, then all others in one call.

        The cost grows with the number of existing pools and, unless the list's decoder has already indexed
        the rows (`as_ringed`), with the number of rows. Returns False and does nothing if a server has
        several rows.
        """
        event, previous_started_ms, addresses = update.event, self.started_ms, update.addresses
        ringed: RingedEndpoints | None = getattr(event.endpoints, "as_ringed", None)
        entries = event.endpoints
        if ringed is not None:
            listed: Collection[str] = ringed.listed_servers
            started = ringed.started_ms
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
            self.started_ms = previous_started_ms | started
        else:
            retained = listed
            draining = listed if len(started) < len(listed) else ()
            self.started_ms = {
                name: previous_started_ms[name] for name in draining if name in previous_started_ms
            } | started
        self._check_server_limit()
        if ringed is None or len(addresses) != len(started):
            # Drops the addresses of servers that are not active.
            addresses = {name: addresses[name] for name in started}
        self.upstream.activate_servers(
            addresses, lambda name: previous_started_ms.get(name, started[name]) != started[name], retained
        )
        return True

    def _stop_servers(self, entries: Iterable[Endpoint]) -> None:
        """Drains or removes those of the servers that are not active."""
        for entry in entries:
            if entry.state is EndpointState.DRAINING:
                self.upstream.drain_server(entry.address)
            elif entry.state is not EndpointState.ACTIVE:
                self.upstream.remove_server(entry.address)
                self.started_ms.pop(entry.address, None)

    def _check_server_limit(self) -> None:
        """Reports the first list that is longer than the limit."""
        if len(self.started_ms) > self.server_limit:
            self.server_limit = math.inf
            self.on_server_limit_exceeded()
