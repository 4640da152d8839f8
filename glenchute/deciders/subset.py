"""Which of the servers one gateway uses, so that each server is met by few gateways. No I/O; milliseconds.

N gateways that each use all of M servers open N M connections after a start, and each server is met by N.
Here each uses `servers` of them, more as its load needs it (Finagle's aperture; "Reinventing Backend
Subsetting at Google", ACM Queue 2022, for what such subsets have to do). All servers of a zone stand on a
ring in the order of their hashed names, and gateway i of N begins at the part i / N of it: so all are met by
equally many, without a word between gateways. What this gateway holds is *kept* while it is listed, and one
place every `DRIFT_MS` moves towards where the ring has it by now: on the ring alone each change of the list
would move a place at half of the gateways, each of them a handshake.

`Aperture` stands before the decision module, which then knows of the servers in use and decides among these
as ever. What holds: the module is told of no server that the list does not have as in service, and of each
drain and end at the moment that it comes; no zone that has servers is without one; with nobody to send to,
or all in use busy, more come in within `STEP_MS`.
"""

from __future__ import annotations

import functools
import math
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple, Protocol

from heathglade import interface as api
from heathglade.interface import ListKind, ServerEntry, ServerList, ServerState

STEP_MS = 250.0  # between two steps wider
GROWTH = 0.25  # of the servers in use that come in with a step
CALM_MS = 10_000.0  # so long calm before one goes out again
DRIFT_MS = 10_000.0
LOST_MS = 5_000.0  # one that could not be reached does not count as in use for so long
MOST_LOST = 5_000


class Module(Protocol):
    """The decision module."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]: ...


class Terms(NamedTuple):
    """Who this gateway is among the others, and what it may use."""

    gateways: int
    number: int
    servers: int  # in use at least, counted by their warmth
    busy: float = 2.0  # attempts out at a server in use, on average, from which on more come in
    calm: float = 0.5  # ... and below which some go out


@functools.lru_cache(maxsize=16_384)
def place_of(server: str) -> bytes:
    """Where a server stands on the ring."""
    return blake2b(server.encode(), digest_size=8).digest()


def ring(terms: Terms, servers: list[str]) -> list[str]:
    """The servers in the order in which this gateway takes them."""
    row = sorted(servers, key=place_of)
    first = terms.number * len(row) // max(1, terms.gateways) if row else 0
    return row[first:] + row[:first]


class Subset:
    """What one gateway has in use."""

    def __init__(self, terms: Terms, safety: api.Safety) -> None:
        self.terms, self.safety = terms, safety
        self.listed: dict[str, ServerEntry] = {}
        self.held: dict[str, None] = {}  # in the order in which they came in
        self.lost: dict[str, float] = {}  # could not be reached, until then
        self.wider = 0  # places beyond `servers`, by the load
        self.stepped_at = self.drifted_at = self.calm_since = -1e12
        self.moved = 0  # places that changed though their server was listed

    def weight(self, now: float, server: str) -> float:
        """What a server in use counts: a cold one by its warmth, one that can't be reached not at all."""
        if self.lost.get(server, -1e12) > now:
            return 0.0
        started = self.listed[server].started_ms
        if started <= 0:
            return 1.0
        share = self.safety.cold_share
        return min(1.0, share + (1.0 - share) * max(0.0, now - started) / max(1.0, self.safety.warm_ms))

    def ideal(self, now: float) -> list[str]:
        """Where the ring has this gateway now, zone by zone by their sizes."""
        zones: dict[str, list[str]] = {}
        for server, entry in self.listed.items():
            zones.setdefault(entry.zone, []).append(server)
        chosen = []
        for servers in zones.values():
            wanted = math.ceil((self.terms.servers + self.wider) * len(servers) / len(self.listed))
            got = 0.0
            for server in ring(self.terms, servers):
                if got >= wanted:
                    break
                chosen.append(server)
                got += self.weight(now, server)
        return chosen

    def by_zone(self, now: float, servers: Iterable[str]) -> dict[str, float]:
        """What these count together, in each zone."""
        sums: dict[str, float] = {}
        for server in servers:
            zone = self.listed[server].zone
            sums[zone] = sums.get(zone, 0.0) + self.weight(now, server)
        return sums

    def settle(self, now: float) -> tuple[list[str], list[str]]:
        """Brings what is held up to date: what came in, and what went out."""
        out = [server for server in self.held if server not in self.listed]
        for server in out:
            del self.held[server]
        came, ideal = [], self.ideal(now)
        by_zone, wanted = self.by_zone(now, self.held), self.by_zone(now, ideal)
        for server in ideal:
            zone = self.listed[server].zone
            lacks = by_zone.get(zone, 0.0) < wanted[zone] or zone not in by_zone
            if server not in self.held and lacks:
                self.held[server] = None
                came.append(server)
                by_zone[zone] = by_zone.get(zone, 0.0) + self.weight(now, server)
        return came, out

    def drift(self, now: float) -> tuple[list[str], list[str]]:
        """One place nearer to the ring, and one fewer where more are held than are wanted."""
        if now - self.drifted_at < DRIFT_MS:
            return [], []
        self.drifted_at = now
        ideal = set(self.ideal(now))
        strangers = [server for server in self.held if server not in ideal]
        lacking = [server for server in ideal if server not in self.held]
        if not strangers:
            return [], []
        out = strangers[0]
        zone = self.listed[out].zone
        same = sorted(server for server in lacking if self.listed[server].zone == zone)
        alone = sum(self.listed[server].zone == zone for server in self.held) < 2
        if not same and (alone or len(self.held) <= len(ideal)):
            return [], []
        del self.held[out]
        self.moved += 1
        for server in same[:1]:
            self.held[server] = None
        return same[:1], [out]

    def judge(self, now: float, out: int) -> None:
        """Wider or narrower by the attempts that are out at the servers in use."""
        able = sum(self.weight(now, server) for server in self.held)
        most = max(0, len(self.listed) - self.terms.servers)
        if out >= self.terms.busy * able:
            self.calm_since = now
            if now - self.stepped_at >= STEP_MS and self.wider < most:
                self.stepped_at = now
                self.wider = min(most, self.wider + max(1, round(GROWTH * len(self.held))))
        elif out >= self.terms.calm * able:
            self.calm_since = now
        elif self.wider and now - self.calm_since >= CALM_MS:
            self.calm_since = now
            self.wider -= 1


class Aperture:
    """The decision module before which a subset stands; itself taken for a module."""

    def __init__(self, module: Module, made: api.Settings, terms: Terms) -> None:
        self.module, self.subset = module, Subset(terms, made.safety)
        self.out: dict[str, int] = {}  # attempts out, by server
        self.looked_at = -1e12
        self.of = 0  # servers that the module was told there are

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """One event for the module."""
        subset = self.subset
        if isinstance(event, ServerList):
            return self.listed(now_ms, event)
        if isinstance(event, api.AttemptEnded):
            left = self.out.get(event.server, 0) - 1
            if left > 0:
                self.out[event.server] = left
            else:
                self.out.pop(event.server, None)
            if event.ending is api.Ending.UNREACHABLE and len(subset.lost) < MOST_LOST:
                subset.lost[event.server] = now_ms + LOST_MS
        actions = self.pass_on(now_ms, event)
        if now_ms - self.looked_at >= STEP_MS:
            self.looked_at = now_ms
            actions += self.look(now_ms)
        return actions

    def pass_on(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """To the module; what it sends is counted."""
        actions: list[api.Action] = list(self.module.handle(now_ms, event))
        for action in actions:
            if isinstance(action, api.Send):
                self.out[action.server] = self.out.get(action.server, 0) + 1
        return actions

    def look(self, now: float) -> list[api.Action]:
        """What load and time change."""
        subset = self.subset
        subset.lost = {server: until for server, until in subset.lost.items() if until > now}
        subset.judge(now, sum(self.out.get(server, 0) for server in subset.held))
        came, gone = subset.settle(now)
        if not came and not gone:
            came, gone = subset.drift(now)
        return self.change(now, came, gone, ())

    def listed(self, now: float, event: ServerList) -> list[api.Action]:
        """News of the list."""
        subset, whole = self.subset, event.kind in (ListKind.FULL, ListKind.SAVED)
        if whole:
            subset.listed.clear()
        told = []
        for entry in event.entries:
            if entry.state is ServerState.ACTIVE:
                subset.listed[entry.server] = entry
            else:
                subset.listed.pop(entry.server, None)
            if entry.server in subset.held:
                told.append(entry)
        came, gone = subset.settle(now)
        if whole:
            entries = tuple(subset.listed[server] for server in subset.held)
            self.of = len(subset.listed)
            return self.pass_on(now, ServerList(event.kind, entries, self.of))
        if event.kind is ListKind.FAILED:
            return self.pass_on(now, event)
        named = {entry.server for entry in told}
        return self.change(now, came, [server for server in gone if server not in named], tuple(told))

    def change(
        self, now: float, came: list[str], gone: list[str], told: tuple[ServerEntry, ...]
    ) -> list[api.Action]:
        """Tells the module which servers are in use."""
        entries = [*told, *(self.subset.listed[server] for server in came)]
        entries += [ServerEntry(server, "", state=ServerState.GONE) for server in gone]
        of = len(self.subset.listed)
        if not entries and of == self.of:
            return []
        self.of = of
        return self.pass_on(now, ServerList(ListKind.CHANGES, tuple(entries), of))
