"""Restricts a decision engine to a subset of the listed servers: it is told of the servers in use only.

A list that one gateway can use whole is passed on unchanged. Guarantees: the engine knows no server that is
not active in the list, and learns of each drain and removal with the event that reports it; every zone that
has servers has one in use; if no server in use can be reached, or all of them are busy, servers are added
within `GROWTH_INTERVAL_MS`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Protocol

from ..actions import Action, StartAttempt
from ..events import AttemptEnded, Endpoint, EndpointList, EndpointListKind, EndpointState, Event, Outcome
from ..settings import Settings
from .hash_ring import RingedEndpoints
from .subset import GROWTH_INTERVAL_MS, MAX_UNREACHABLE, UNREACHABLE_MS, Subset, SubsetSettings
from .subset_size import MAX_SUBSET_SIZE, STOP_SUBSETTING_SIZE


class Engine(Protocol):
    """A receiver of events: the decision engine, or a wrapper around it."""

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handles one event and returns the resulting actions."""


class SubsettingEngine:
    """Receives all events for an engine and forwards what concerns the servers in use."""

    def __init__(
        self,
        engine: Engine,
        settings: Settings,
        subset_settings: SubsetSettings,
        listed: Iterable[Endpoint] = (),
    ) -> None:
        """`listed`: the servers that the engine already knows."""
        self.engine, self.subset = engine, Subset(subset_settings, settings.slow_start)
        self.is_subsetting = subset_settings.min_servers > 0  # False: all listed servers are in use
        self.subset.listed = {endpoint.address: endpoint for endpoint in listed}
        self.in_flight: dict[str, int] = {}  # number of attempts by server
        self.reviewed_ms = -1e12
        self.reported_total = 0  # the last `total_endpoints` sent to the engine; 0: it knows all servers

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handles one event for the engine; returns the engine's actions."""
        if isinstance(event, EndpointList):
            return self.update_list(now_ms, event)
        if not self.is_subsetting:
            return self.engine.handle(now_ms, event)
        if isinstance(event, AttemptEnded):
            self.record_end(now_ms, event)
        actions = self.forward(now_ms, event)
        if now_ms - self.reviewed_ms >= GROWTH_INTERVAL_MS:
            self.reviewed_ms = now_ms
            actions += self.review(now_ms)
        return actions

    def record_end(self, now_ms: float, event: AttemptEnded) -> None:
        """Records the end of an attempt; an unreachable server has the least weight for `UNREACHABLE_MS`."""
        left = self.in_flight.get(event.address, 0) - 1
        if left > 0:
            self.in_flight[event.address] = left
        else:
            self.in_flight.pop(event.address, None)
        unreachable = self.subset.unreachable_until_ms
        if event.outcome is Outcome.UNREACHABLE and len(unreachable) < MAX_UNREACHABLE:
            unreachable[event.address] = now_ms + UNREACHABLE_MS
            self.subset.is_stale = True

    def forward(self, now_ms: float, event: Event) -> list[Action]:
        """Forwards an event to the engine and counts the attempts that it starts."""
        actions: list[Action] = list(self.engine.handle(now_ms, event))
        for action in actions:
            if isinstance(action, StartAttempt):
                self.in_flight[action.address] = self.in_flight.get(action.address, 0) + 1
        return actions

    def review(self, now_ms: float) -> list[Action]:
        """Adapts the subset to the load, to servers that warm up or were unreachable, and to the rings."""
        subset = self.subset
        subset.unreachable_until_ms = {
            server: until_ms for server, until_ms in subset.unreachable_until_ms.items() if until_ms > now_ms
        }
        subset.adjust_size(now_ms, sum(self.in_flight.get(server, 0) for server in subset.in_use))
        added, removed = subset.refresh(now_ms) if subset.is_stale else ([], [])
        if not added and not removed:
            added, removed = subset.rebalance(now_ms)
        return self.forward_changes(now_ms, added, removed, ())

    # --- the list -----------------------------------------------------------------------------------------

    def update_list(self, now_ms: float, event: EndpointList) -> list[Action]:
        """Applies an endpoint list: decides whether a subset of it is used, and forwards what concerns
        that."""
        if event.kind is EndpointListKind.FAILED:
            return self.forward(now_ms, event)
        subset, was_subsetting = self.subset, self.is_subsetting
        is_full = event.kind is not EndpointListKind.CHANGES
        known: Iterable[str] = ()  # servers that the engine may already know
        if not was_subsetting and not is_full and len(subset.listed) + len(event.endpoints) > MAX_SUBSET_SIZE:
            known = {*subset.listed, *(endpoint.address for endpoint in event.endpoints)}
        self.track_list(event, is_full)
        length = len(subset.listed)
        limit = STOP_SUBSETTING_SIZE if was_subsetting else MAX_SUBSET_SIZE
        self.is_subsetting = subset.settings.min_servers > 0 or length > limit
        if not self.is_subsetting:
            return self.forward_whole_list(now_ms, event, is_full or not was_subsetting)
        if not was_subsetting and not (is_full and isinstance(event.endpoints, RingedEndpoints)):
            subset.rings = {}
            subset.update_rings(subset.listed.values(), ())
        if is_full:
            subset.refresh(now_ms)
            self.reported_total = length
            in_use = tuple(subset.listed[server] for server in subset.in_use)
            return self.forward(now_ms, EndpointList(event.kind, in_use, length))
        if not was_subsetting:
            return self.start_subsetting(now_ms, event, known)
        return self.update_subset(now_ms, event)

    def start_subsetting(self, now_ms: float, event: EndpointList, known: Iterable[str]) -> list[Action]:
        """Starts to use a subset, as these changes made the list too long to be used whole."""
        subset = self.subset
        subset.refresh(now_ms)
        removed = [server for server in known if server not in subset.in_use and server in subset.listed]
        inactive = [endpoint for endpoint in event.endpoints if endpoint.state is not EndpointState.ACTIVE]
        return self.forward_changes(now_ms, list(subset.in_use), removed, tuple(inactive))

    def update_subset(self, now_ms: float, event: EndpointList) -> list[Action]:
        """Forwards changes to servers in use, and replaces those that were lost. All other changes wait for
        the next review."""
        subset = self.subset
        changed = [endpoint for endpoint in event.endpoints if endpoint.address in subset.in_use]
        is_short = len(subset.in_use) < min(subset.min_servers, len(subset.listed))
        has_lost = any(endpoint.state is not EndpointState.ACTIVE for endpoint in changed)
        added, removed = list[str](), list[str]()
        if is_short or has_lost or self.may_lack_zone(event):
            added, removed = subset.refresh(now_ms)
        named = {endpoint.address for endpoint in changed}
        unnamed = [server for server in removed if server not in named]
        return self.forward_changes(now_ms, added, unnamed, tuple(changed))

    def track_list(self, event: EndpointList, is_full: bool) -> None:
        """Records a list, or changes to it; keeps the rings up to date only while a subset is used."""
        subset = self.subset
        if is_full:
            active: Iterable[Endpoint] = event.endpoints
            if not isinstance(active, RingedEndpoints):
                active = [endpoint for endpoint in active if endpoint.state is EndpointState.ACTIVE]
            if self.is_subsetting or isinstance(active, RingedEndpoints):
                subset.replace_list(active)
            else:
                subset.listed = {endpoint.address: endpoint for endpoint in active}
        elif self.is_subsetting:
            subset.apply_changes(event.endpoints)
        else:
            for endpoint in event.endpoints:
                subset.listed.pop(endpoint.address, None)
                if endpoint.state is EndpointState.ACTIVE:
                    subset.listed[endpoint.address] = endpoint

    def may_lack_zone(self, event: EndpointList) -> bool:
        """Returns whether a zone named in this list may have no server in use."""
        zones = {endpoint.zone for endpoint in event.endpoints}
        for server in self.subset.in_use:
            endpoint = self.subset.listed.get(server)
            if endpoint is not None:
                zones.discard(endpoint.zone)
                if not zones:
                    return False
        return True

    def forward_whole_list(self, now_ms: float, event: EndpointList, is_complete: bool) -> list[Action]:
        """Forwards a list that is used whole. `is_complete`: the event names all servers unknown to the
        engine."""
        subset, in_use = self.subset, self.subset.in_use
        if not is_complete:
            named = {endpoint.address for endpoint in event.endpoints}
            rest = [e for e in subset.listed.values() if e.address not in in_use and e.address not in named]
            event = replace(event, endpoints=(*event.endpoints, *rest))
        subset.in_use, subset.rings, subset.unreachable_until_ms, subset.extra_servers = {}, {}, {}, 0
        self.in_flight.clear()
        if self.reported_total:  # the engine was told of a longer list once, so it needs each new length
            self.reported_total = len(subset.listed)
            event = replace(event, total_endpoints=self.reported_total)
        return self.engine.handle(now_ms, event)

    def forward_changes(
        self, now_ms: float, added: list[str], removed: list[str], changed: tuple[Endpoint, ...]
    ) -> list[Action]:
        """Tells the engine which servers were added to the subset, which were removed, and which changed."""
        endpoints = [*changed, *(self.subset.listed[server] for server in added)]
        endpoints += [Endpoint(server, "", state=EndpointState.REMOVED) for server in removed]
        total = len(self.subset.listed)
        if not endpoints and total == self.reported_total:
            return []
        self.reported_total = total
        return self.forward(now_ms, EndpointList(EndpointListKind.CHANGES, tuple(endpoints), total))
