"""Subsetting: which of the listed servers one gateway uses, so that the cost of an endpoint choice depends on
the servers in use alone, and each server has connections from few gateways.

If all of N gateways used all of M servers, each request would compare M servers, and N M connections would be
opened after a start. Here each gateway uses as many as `subset_size` returns or the operator's file sets, and
more when its load requires it (as Finagle's aperture does; "Reinventing Backend Subsetting at Google", ACM
Queue 2022, states the requirements). The servers of a zone are placed on a hash ring, and each gateway begins
at a position that follows from its number alone. The positions are evenly spread for any number of gateways,
so gateways exchange no messages for this.

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

# Least weight of a server that warms up or is unreachable. It bounds the number of servers that are taken
# from a ring: at most 1 / `MIN_WEIGHT` for each unit of the wanted weight.
MIN_WEIGHT = 0.2
GOLDEN_RATIO = 0.618034
GROWTH_INTERVAL_MS = 250.0  # time between two enlargements of the subset
GROWTH_FRACTION = 0.25  # fraction of the servers in use that one enlargement adds
LOW_LOAD_MS = 10_000.0  # time of low load after which servers are released
REBALANCE_INTERVAL_MS = 10_000.0  # time between two replacements of a server
SHRINK_FRACTION = 0.125  # fraction of the surplus servers that is released at a time
UNREACHABLE_MS = 5_000.0  # how long a server that could not be reached has `MIN_WEIGHT`
MAX_UNREACHABLE = 5_000  # largest number of servers that are remembered as unreachable
MAX_SINGLE_INSERTS = 16  # changes to one ring that are inserted one by one; more are sorted in


class SubsetSettings(NamedTuple):
    """The gateway's place among all gateways, and how many servers it may use."""

    gateway_count: int
    gateway_number: int  # from 0; any number that no other gateway has
    # Least sum of the weights of the servers in use. 0: the result of `subset_size`, and short lists are used
    # whole.
    min_servers: int = 0
    busy_attempts: float = 2.0  # mean attempts in flight per server at which servers are added
    calm_attempts: float = 0.5  # mean attempts in flight per server, below which servers are released


def first_position(gateway_number: int) -> float:
    """Returns the position on a ring, from 0 to 1, at which a gateway begins: the bits of its number,
    reversed after the binary point (van der Corput sequence). The first n positions are evenly spread for any
    n."""
    position, bit = 0.0, 0.5
    while gateway_number > 0 and bit > 1e-15:
        position += bit * (gateway_number & 1)
        gateway_number, bit = gateway_number >> 1, bit / 2.0
    return position


def walk_ring(ring: list[RingPosition], gateway_number: int) -> Iterator[str]:
    """Yields the servers of a ring in the order in which a gateway uses them."""
    first = int(first_position(gateway_number) * len(ring))
    for offset in range(len(ring)):
        yield ring[(first + offset) % len(ring)][1]


class Subset:
    """The servers that one gateway uses."""

    def __init__(self, settings: SubsetSettings, slow_start: SlowStart) -> None:
        self.settings, self.slow_start = settings, slow_start
        self.listed: dict[str, Endpoint] = {}  # the active servers by address
        self.rings: dict[str, list[RingPosition]] = {}  # positions of the active servers by zone, sorted
        self.in_use: dict[str, None] = {}  # addresses in the order in which they were added
        self.unreachable_until_ms: dict[str, float] = {}
        self.extra_servers = 0  # servers beyond `min_servers`, because of the load
        self.is_stale = True  # whether anything has changed since the last `refresh`
        self.last_growth_ms = self.last_rebalance_ms = self.low_load_since_ms = -1e12
        self.replaced_count = 0  # servers taken out of use while they were listed

    @property
    def min_servers(self) -> int:
        """The least sum of the weights of the servers in use."""
        return self.settings.min_servers or subset_size(len(self.listed), self.settings.gateway_count)

    # --- the list -----------------------------------------------------------------------------------------

    def replace_list(self, endpoints: Iterable[Endpoint]) -> None:
        """Replaces the list by `endpoints`, all active servers. Those that stay on their ring are not
        reinserted."""
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
        """Applies the changed rows of the list."""
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
        """Adds endpoints to their rings and removes others; a ring with many changes is sorted once."""
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

    # --- the servers in use ---------------------------------------------------------------------------------

    def weight(self, now_ms: float, server: str) -> float:
        """Returns the weight of a server, `MIN_WEIGHT` to 1: by its age while it warms up, least if
        unreachable."""
        if self.unreachable_until_ms.get(server, -1e12) > now_ms:
            return MIN_WEIGHT
        started_ms = self.listed[server].started_ms
        if started_ms <= 0:
            return 1.0
        initial = self.slow_start.initial_fraction
        warm_up_ms = max(1.0, self.slow_start.warm_up_ms)
        weight = initial + (1.0 - initial) * max(0.0, now_ms - started_ms) / warm_up_ms
        return min(1.0, max(MIN_WEIGHT, weight))

    def assigned(self, now_ms: float) -> dict[str, float]:
        """Returns the servers that the rings assign to this gateway now, with their weights; each zone has a
        share in proportion to its size."""
        chosen: dict[str, float] = {}
        wanted, length, listed_so_far = self.min_servers + self.extra_servers, len(self.listed), 0
        # The rounding offset depends on the gateway, so that no zone is used by fewer gateways than others.
        offset = share_end = int(length * (GOLDEN_RATIO * self.settings.gateway_number % 1.0))
        for zone in sorted(self.rings):
            ring = self.rings[zone]
            listed_so_far += len(ring)
            share_start, share_end = share_end, offset + wanted * listed_so_far
            zone_share = max(1, share_end // length - share_start // length)
            weight_sum = 0.0
            for server in walk_ring(ring, self.settings.gateway_number):
                if weight_sum >= zone_share:
                    break
                chosen[server] = self.weight(now_ms, server)
                weight_sum += chosen[server]
        return chosen

    def sum_by_zone(self, weights: Iterable[tuple[str, float]]) -> dict[str, float]:
        """Sums the weights by zone."""
        sums: dict[str, float] = {}
        for server, weight in weights:
            zone = self.listed[server].zone
            sums[zone] = sums.get(zone, 0.0) + weight
        return sums

    def refresh(self, now_ms: float) -> tuple[list[str], list[str]]:
        """Drops servers that are no longer listed and adds assigned ones where a zone is short. Returns the
        added and the removed servers."""
        self.is_stale = False
        removed = [server for server in self.in_use if server not in self.listed]
        for server in removed:
            del self.in_use[server]
        added, assigned = [], self.assigned(now_ms)
        weights = self.sum_by_zone((server, self.weight(now_ms, server)) for server in self.in_use)
        wanted = self.sum_by_zone(assigned.items())
        for server, weight in assigned.items():
            zone = self.listed[server].zone
            is_short = zone not in weights or weights[zone] < wanted[zone]
            if server not in self.in_use and is_short:
                self.in_use[server] = None
                added.append(server)
                weights[zone] = weights.get(zone, 0.0) + weight
        return added, removed

    def rebalance(self, now_ms: float) -> tuple[list[str], list[str]]:
        """Replaces one unassigned server by an assigned one of its zone, or releases some where there are too
        many. Does nothing within `REBALANCE_INTERVAL_MS` of the last time. Returns the added and the removed
        servers."""
        if now_ms - self.last_rebalance_ms < REBALANCE_INTERVAL_MS:
            return [], []
        self.last_rebalance_ms = now_ms
        assigned = self.assigned(now_ms)
        unassigned = [server for server in self.in_use if server not in assigned]
        if not unassigned:
            return [], []
        zone = self.listed[unassigned[0]].zone
        unused = [server for server in assigned if server not in self.in_use]
        added = [server for server in unused if self.listed[server].zone == zone][:1]
        removed = unassigned[:1] if added else self.select_surplus(unassigned, len(assigned))
        for server in removed:
            del self.in_use[server]
        self.replaced_count += len(removed)
        self.in_use.update(dict.fromkeys(added))
        return added, removed

    def select_surplus(self, unassigned: list[str], wanted: int) -> list[str]:
        """Returns the unassigned servers to release: `SHRINK_FRACTION` of those beyond `wanted`, and never
        the last one of a zone."""
        counts: dict[str, int] = {}
        for server in self.in_use:
            zone = self.listed[server].zone
            counts[zone] = counts.get(zone, 0) + 1
        removed = []
        for server in unassigned[: max(0, math.ceil(SHRINK_FRACTION * (len(self.in_use) - wanted)))]:
            zone = self.listed[server].zone
            if counts[zone] > 1:
                counts[zone] -= 1
                removed.append(server)
        return removed

    def adjust_size(self, now_ms: float, in_flight: int) -> None:
        """Grows or shrinks the subset by the attempts in flight at the servers in use. It never has more
        extra servers than these attempts can keep busy, or than `min_servers` if that is more: where no
        server can be reached, using the whole list would not help, and each choice would compare all listed
        servers."""
        weights = sum(self.weight(now_ms, server) for server in self.in_use)
        useful_servers = max(self.min_servers, math.ceil(in_flight / self.settings.busy_attempts))
        max_extra = max(0, min(len(self.listed) - self.min_servers, useful_servers))
        if in_flight >= self.settings.busy_attempts * weights:
            self.low_load_since_ms = now_ms
            if now_ms - self.last_growth_ms >= GROWTH_INTERVAL_MS and self.extra_servers < max_extra:
                self.last_growth_ms, self.is_stale = now_ms, True
                step = max(1, round(GROWTH_FRACTION * len(self.in_use)))
                self.extra_servers = min(max_extra, self.extra_servers + step)
        elif in_flight >= self.settings.calm_attempts * weights:
            self.low_load_since_ms = now_ms
        elif self.extra_servers and now_ms - self.low_load_since_ms >= LOW_LOAD_MS:
            self.low_load_since_ms = now_ms
            self.extra_servers -= math.ceil(SHRINK_FRACTION * self.extra_servers)


def update_ring(ring: list[RingPosition], added: list[str], removed: list[str]) -> None:
    """Applies changes to one ring: one by one, or by one sort where there are many."""
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
