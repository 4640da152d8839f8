"""Subsetting: which of the listed servers one gateway uses, so that the cost of a choice follows what is
used, and each server has connections of few gateways.

With all of M servers used by all of N gateways, each request looks at M servers, and N M connections are
opened after a start. Here each gateway uses as many as `subset_size` has it, or as the operator's file names,
and more as its load needs it (Finagle's aperture; "Reinventing Backend Subsetting at Google", ACM Queue 2022,
for what such subsets have to do). The servers of a zone stand on a hash ring, and each gateway begins at a
position that its number alone gives, evenly spread however many gateways there are: no message passes between
them.

A server in use stays in use while it is listed; every `REBALANCE_INTERVAL_MS` one server is replaced by one
that the rings assign now. Following the rings at once would replace a server at half of the gateways for each
change of the list, each time at the cost of a handshake. A changed row is put into its ring by bisection;
all other work is proportional to the number of servers in use.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ..events import Endpoint, EndpointState
from ..settings import SlowStart
from .hash_ring import RingedEndpoints, RingPosition, ring_position
from .subset_size import subset_size

MIN_WEIGHT = 0.2  # of a server that warms up or is unreachable: bounds how far a ring is walked
GOLDEN_RATIO = 0.618034
STEP_MS = 250.0  # between two steps wider
GROWTH_FRACTION = 0.25  # of the servers in use that one step adds
CALM_MS = 10_000.0  # of low load before some go out of use again
REBALANCE_INTERVAL_MS = 10_000.0  # between two replacements
SHRINK_FRACTION = 0.125  # of the excess that goes out of use at a time
UNREACHABLE_MS = 5_000.0  # a server that could not be reached counts `MIN_WEIGHT` for so long
MAX_UNREACHABLE = 5_000
MAX_SINGLE_INSERTS = 16  # changes of one ring up to which each is inserted by itself


class SubsetTerms(NamedTuple):
    """Which of the gateways this is, and how many servers it may use."""

    gateway_count: int
    gateway_number: int  # from 0; any number that no other gateway has
    min_servers: int = 0  # in use, counted by weight; 0: as `subset_size` has it, of long lists only
    busy_attempts: float = 2.0  # in flight at a server in use, on average, from which on more come into use
    calm_attempts: float = 0.5  # ... and below which some go out of use


def first_position(gateway_number: int) -> float:
    """Where on a ring, from 0 to 1, a gateway begins: the bits of its number behind the point in reverse
    order (van der Corput's sequence). The first n of these lie evenly for any n."""
    position, bit = 0.0, 0.5
    while gateway_number > 0 and bit > 1e-15:
        position += bit * (gateway_number & 1)
        gateway_number, bit = gateway_number >> 1, bit / 2.0
    return position


def walk_ring(ring: list[RingPosition], gateway_number: int) -> Iterator[str]:
    """The servers of a ring in the order in which a gateway takes them."""
    first = int(first_position(gateway_number) * len(ring))
    for offset in range(len(ring)):
        yield ring[(first + offset) % len(ring)][1]


class Subset:
    """The servers that one gateway uses."""

    def __init__(self, terms: SubsetTerms, slow_start: SlowStart) -> None:
        self.terms, self.slow_start = terms, slow_start
        self.listed: dict[str, Endpoint] = {}  # active ones
        self.rings: dict[str, list[RingPosition]] = {}  # by zone, sorted
        self.in_use: dict[str, None] = {}  # in the order in which they came into use
        self.unreachable_until_ms: dict[str, float] = {}
        self.extra_servers = 0  # beyond `min_servers`, by the load
        self.is_stale = True  # something has changed since the last `refresh`
        self.widened_ms = self.drifted_ms = self.calm_since_ms = -1e12
        self.replaced_count = 0  # servers that went out of use though they were listed

    @property
    def min_servers(self) -> int:
        """How many are in use at least, counted by weight."""
        return self.terms.min_servers or subset_size(len(self.listed), self.terms.gateway_count)

    # --- the list -----------------------------------------------------------------------------------------

    def replace_list(self, endpoints: Iterable[Endpoint]) -> None:
        """These are all active servers. Those that stay on their ring are not inserted anew."""
        if isinstance(endpoints, RingedEndpoints):
            self.listed, self.rings, self.is_stale = endpoints.active, endpoints.rings, True
            return
        before, self.listed = self.listed, {endpoint.address: endpoint for endpoint in endpoints}
        removed = [endpoint for endpoint in before.values() if endpoint.address not in self.listed]
        if len(removed) > len(self.listed):
            self.rings = {}
            self.update_rings(self.listed.values(), ())
            return
        added = []
        for endpoint in self.listed.values():
            old = before.get(endpoint.address)
            if old is not endpoint and (old is None or old.zone != endpoint.zone):
                added.append(endpoint)
                if old is not None:
                    removed.append(old)
        self.update_rings(added, removed)

    def apply_changes(self, endpoints: Iterable[Endpoint]) -> None:
        """These rows have changed."""
        added: dict[str, Endpoint] = {}
        removed: dict[str, Endpoint] = {}
        for endpoint in endpoints:
            old = self.listed.pop(endpoint.address, None)
            is_active = endpoint.state is EndpointState.ACTIVE
            if is_active:
                self.listed[endpoint.address] = endpoint
            if old is not None and is_active and old.zone == endpoint.zone:
                continue
            if added.pop(endpoint.address, None) is None and old is not None:
                removed[endpoint.address] = old
            if is_active:
                added[endpoint.address] = endpoint
        self.update_rings(added.values(), removed.values())

    def update_rings(self, added: Iterable[Endpoint], removed: Iterable[Endpoint]) -> None:
        """Brings the rings up to date, each by one sort where much has changed."""
        zones: dict[str, tuple[list[str], list[str]]] = {}
        for side, endpoints in enumerate((added, removed)):
            for endpoint in endpoints:
                zones.setdefault(endpoint.zone, ([], []))[side].append(endpoint.address)
        for zone, (new, old) in zones.items():
            ring = self.rings.setdefault(zone, [])
            update_ring(ring, new, old)
            if not ring:
                del self.rings[zone]
        self.is_stale = True

    # --- what is in use -----------------------------------------------------------------------------------

    def weight(self, now_ms: float, server: str) -> float:
        """What a server in use counts, 0 to 1: one that warms up by its age, an unreachable one least."""
        if self.unreachable_until_ms.get(server, -1e12) > now_ms:
            return MIN_WEIGHT
        started_ms = self.listed[server].started_ms
        if started_ms <= 0:
            return 1.0
        initial = self.slow_start.initial_fraction
        warm_up_ms = max(1.0, self.slow_start.warm_up_ms)
        weight = initial + (1.0 - initial) * max(0.0, now_ms - started_ms) / warm_up_ms
        return min(1.0, max(MIN_WEIGHT, weight))

    def ideal(self, now_ms: float) -> dict[str, float]:
        """What the rings have for this gateway now, each zone in proportion to its size, with weights."""
        chosen: dict[str, float] = {}
        wanted, length, passed = self.min_servers + self.extra_servers, len(self.listed), 0
        # Each gateway rounds by its number, so that no zone is used by fewer gateways than others.
        offset = edge = int(length * (GOLDEN_RATIO * self.terms.gateway_number % 1.0))
        for zone in sorted(self.rings):
            ring = self.rings[zone]
            passed += len(ring)
            before, edge = edge, offset + wanted * passed
            share = max(1, edge // length - before // length)
            sum_of_weights = 0.0
            for server in walk_ring(ring, self.terms.gateway_number):
                if sum_of_weights >= share:
                    break
                chosen[server] = self.weight(now_ms, server)
                sum_of_weights += chosen[server]
        return chosen

    def by_zone(self, weights: Iterable[tuple[str, float]]) -> dict[str, float]:
        """The sum of these weights in each zone."""
        sums: dict[str, float] = {}
        for server, weight in weights:
            zone = self.listed[server].zone
            sums[zone] = sums.get(zone, 0.0) + weight
        return sums

    def refresh(self, now_ms: float) -> tuple[list[str], list[str]]:
        """Brings what is in use up to date; which servers came into use, and which went out."""
        self.is_stale = False
        removed = [server for server in self.in_use if server not in self.listed]
        for server in removed:
            del self.in_use[server]
        added, ideal = [], self.ideal(now_ms)
        weights = self.by_zone((server, self.weight(now_ms, server)) for server in self.in_use)
        wanted = self.by_zone(ideal.items())
        for server, weight in ideal.items():
            zone = self.listed[server].zone
            is_short = zone not in weights or weights[zone] < wanted[zone]
            if server not in self.in_use and is_short:
                self.in_use[server] = None
                added.append(server)
                weights[zone] = weights.get(zone, 0.0) + weight
        return added, removed

    def rebalance(self, now_ms: float) -> tuple[list[str], list[str]]:
        """Replaces one server by one of the ring's, or takes some out of use where there are too many."""
        if now_ms - self.drifted_ms < REBALANCE_INTERVAL_MS:
            return [], []
        self.drifted_ms = now_ms
        ideal = self.ideal(now_ms)
        strangers = [server for server in self.in_use if server not in ideal]
        if not strangers:
            return [], []
        zone = self.listed[strangers[0]].zone
        added = [one for one in ideal if one not in self.in_use and self.listed[one].zone == zone][:1]
        removed = strangers[:1] if added else self.excess(strangers, len(ideal))
        for server in removed:
            del self.in_use[server]
        self.replaced_count += len(removed)
        self.in_use.update(dict.fromkeys(added))
        return added, removed

    def excess(self, strangers: list[str], wanted: int) -> list[str]:
        """Of the servers that the rings don't have for this gateway, those to go out of use: a fraction of
        what is too much, and never the last of a zone."""
        counts: dict[str, int] = {}
        for server in self.in_use:
            zone = self.listed[server].zone
            counts[zone] = counts.get(zone, 0) + 1
        removed = []
        for server in strangers[: max(0, math.ceil(SHRINK_FRACTION * (len(self.in_use) - wanted)))]:
            zone = self.listed[server].zone
            if counts[zone] > 1:
                counts[zone] -= 1
                removed.append(server)
        return removed

    def adjust_size(self, now_ms: float, in_flight: int) -> None:
        """Wider or narrower by the attempts in flight at the servers in use. Never wider than these attempts
        have use for, or twice as wide: where no server can be reached, using all that are listed would help
        nobody and make each choice a walk over them."""
        weights = sum(self.weight(now_ms, server) for server in self.in_use)
        useful = max(self.min_servers, math.ceil(in_flight / self.terms.busy_attempts))
        most = max(0, min(len(self.listed) - self.min_servers, useful))
        if in_flight >= self.terms.busy_attempts * weights:
            self.calm_since_ms = now_ms
            if now_ms - self.widened_ms >= STEP_MS and self.extra_servers < most:
                self.widened_ms, self.is_stale = now_ms, True
                step = max(1, round(GROWTH_FRACTION * len(self.in_use)))
                self.extra_servers = min(most, self.extra_servers + step)
        elif in_flight >= self.terms.calm_attempts * weights:
            self.calm_since_ms = now_ms
        elif self.extra_servers and now_ms - self.calm_since_ms >= CALM_MS:
            self.calm_since_ms = now_ms
            self.extra_servers -= math.ceil(SHRINK_FRACTION * self.extra_servers)


def update_ring(ring: list[RingPosition], added: list[str], removed: list[str]) -> None:
    """Brings one ring up to date: by insertion, or by one sort of many changes."""
    if len(added) + len(removed) > MAX_SINGLE_INSERTS:
        if removed:
            names = set(removed)
            ring[:] = [position for position in ring if position[1] not in names]
        if added:
            ring += map(ring_position, added)
            ring.sort()
        return
    for server in removed:
        del ring[bisect_left(ring, ring_position(server))]
    for server in added:
        insort(ring, ring_position(server))
