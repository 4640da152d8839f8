"""Which of the servers one gateway uses, so that a choice costs by what is used, not by what is listed, and
each server is met by few gateways. No I/O; milliseconds.

N gateways that each use all of M servers look at M servers for each request, open N M connections after a
start, and each server is met by N. Here each uses as many as `size` has it from the settings and the list, or
as the operator's file names, and more as its load needs it (Finagle's aperture; "Reinventing Backend
Subsetting at Google", ACM Queue 2022, for what such subsets have to do). All servers of a zone stand on a
ring in the order of their hashed names, and each gateway begins at a part of it that its number alone tells,
evenly spread however many gateways there are: no word passes between them, and nobody has to know how many
there are. What this gateway holds is *kept* while it is listed, and one place every `DRIFT_MS` moves towards
where the ring has it by now: on the ring alone each change of the list would move a place at half of the
gateways, each of them a handshake.

`Aperture` stands before the decision module, which then knows of the servers in use and decides among these
as ever. A list that one gateway can use whole (`WHOLE`) is passed on as it comes. What holds: the module is
told of no server that the list does not have as in service, and of each drain and end at the moment that it
comes; no zone that has servers is without one; with nobody to send to, or all in use busy, more come in
within `STEP_MS`. Cost: a changed row is put into its ring by bisection; all else walks what is in use.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator
from dataclasses import replace
from typing import NamedTuple, Protocol

from ..actions import Action, StartAttempt
from ..events import AttemptEnded, Endpoint, EndpointList, EndpointListKind, EndpointState, Event, Outcome
from ..settings import Settings, SlowStart
from .hash_ring import Placed, Spot, spot
from .subset_size import AGAIN, WHOLE, size

FAINT = 0.2  # what a server counts at least, however cold or lost: so far the ring is walked, and no farther
GOLDEN = 0.618034
STEP_MS = 250.0  # between two steps wider
GROWTH = 0.25  # of the servers in use that come in with a step
CALM_MS = 10_000.0  # so long calm before some go out again
DRIFT_MS = 10_000.0
SHRINK = 0.125  # of what is too much that goes out at a time
LOST_MS = 5_000.0  # one that could not be reached does not count as in use for so long
MOST_LOST = 5_000
FEW_ROWS = 16  # changes of one ring up to which each is put in by itself; more are sorted in together


class Module(Protocol):
    """The decision module."""

    def handle(self, now_ms: float, event: Event) -> list[Action]: ...


class Terms(NamedTuple):
    """Who this gateway is among the others, and what it may use."""

    gateways: int
    number: int  # from 0; any number will do that no other gateway has
    servers: int = 0  # in use at least, counted by their warmth; 0: as `size` has it, of long lists only
    busy: float = 2.0  # attempts out at a server in use, on average, from which on more come in
    calm: float = 0.5  # ... and below which some go out


def position(number: int) -> float:
    """Where on a ring, from 0 to 1, the gateway of this number begins: its bits behind the point in reverse
    order (van der Corput's sequence). The first n of them lie evenly for any n."""
    at, part = 0.0, 0.5
    while number > 0 and part > 1e-15:
        at += part * (number & 1)
        number, part = number >> 1, part / 2.0
    return at


def walk(row: list[Spot], number: int) -> Iterator[str]:
    """The servers of a ring in the order in which the gateway of this number takes them."""
    first = int(position(number) * len(row))
    for at in range(len(row)):
        yield row[(first + at) % len(row)][1]


class Subset:
    """What one gateway has in use."""

    def __init__(self, terms: Terms, safety: SlowStart) -> None:
        self.terms, self.safety = terms, safety
        self.listed: dict[str, Endpoint] = {}
        self.rings: dict[str, list[Spot]] = {}  # by zone, in order
        self.held: dict[str, None] = {}  # in the order in which they came in
        self.lost: dict[str, float] = {}  # could not be reached, until then
        self.wider = 0  # places beyond `servers`, by the load
        self.stale = True  # something has changed since all was brought up to date
        self.stepped_at = self.drifted_at = self.calm_since = -1e12
        self.moved = 0  # places that changed though their server was listed

    @property
    def servers(self) -> int:
        """How many are in use at least."""
        return self.terms.servers or size(len(self.listed), self.terms.gateways)

    # --- the list ----------------------------------------------------------------------------------------

    def whole(self, entries: Iterable[Endpoint]) -> None:
        """These are all there are. Those that stand where they stood are not placed anew."""
        if isinstance(entries, Placed):
            self.listed, self.rings, self.stale = entries.listed, entries.rings, True
            return
        before, self.listed = self.listed, {entry.address: entry for entry in entries}
        gone = [one for one in before.values() if one.address not in self.listed]
        if len(gone) > len(self.listed):
            self.rings = {}
            self.place(self.listed.values(), ())
            return
        came = []
        for entry in self.listed.values():
            old = before.get(entry.address)
            if old is not entry and (old is None or old.zone != entry.zone):
                came.append(entry)
                if old is not None:
                    gone.append(old)
        self.place(came, gone)

    def change(self, entries: Iterable[Endpoint]) -> None:
        """These have changed."""
        came: dict[str, Endpoint] = {}
        gone: dict[str, Endpoint] = {}
        for entry in entries:
            old = self.listed.pop(entry.address, None)
            active = entry.state is EndpointState.ACTIVE
            if active:
                self.listed[entry.address] = entry
            if old is not None and active and old.zone == entry.zone:
                continue
            if came.pop(entry.address, None) is None and old is not None:
                gone[entry.address] = old
            if active:
                came[entry.address] = entry
        self.place(came.values(), gone.values())

    def place(self, came: Iterable[Endpoint], gone: Iterable[Endpoint]) -> None:
        """Brings the rings up to date, each by one sort where much has changed. Names are hashed for those
        that come, and where few go."""
        zones: dict[str, tuple[list[str], list[str]]] = {}
        for at, entries in enumerate((came, gone)):
            for entry in entries:
                zones.setdefault(entry.zone, ([], []))[at].append(entry.address)
        for zone, (new, old) in zones.items():
            row = self.rings.setdefault(zone, [])
            if len(new) + len(old) > FEW_ROWS:
                if old:
                    left = set(old)
                    row[:] = [one for one in row if one[1] not in left]
                if new:
                    row += map(spot, new)
                    row.sort()
            else:
                for server in old:
                    del row[bisect_left(row, spot(server))]
                for server in new:
                    insort(row, spot(server))
            if not row:
                del self.rings[zone]
        self.stale = True

    # --- what is in use ----------------------------------------------------------------------------------

    def weight(self, now: float, server: str) -> float:
        """What a server in use counts: a cold one by its warmth, one that can't be reached faintly."""
        if self.lost.get(server, -1e12) > now:
            return FAINT
        started = self.listed[server].started_ms
        if started <= 0:
            return 1.0
        share = self.safety.initial_fraction
        warmth = share + (1.0 - share) * max(0.0, now - started) / max(1.0, self.safety.warm_up_ms)
        return min(1.0, max(FAINT, warmth))

    def ideal(self, now: float) -> dict[str, float]:
        """Where the rings have this gateway now, zone by zone by their sizes, and what each server counts."""
        chosen: dict[str, float] = {}
        wanted, length, passed = self.servers + self.wider, len(self.listed), 0
        # Of what does not come out even, each gateway rounds by its number, so that no zone is met by fewer.
        luck = edge = int(length * (GOLDEN * self.terms.number % 1.0))
        for zone in sorted(self.rings):
            row = self.rings[zone]
            passed += len(row)
            before, edge = edge, luck + wanted * passed
            part = max(1, edge // length - before // length)
            got = 0.0
            for server in walk(row, self.terms.number):
                if got >= part:
                    break
                chosen[server] = self.weight(now, server)
                got += chosen[server]
        return chosen

    def by_zone(self, weights: Iterable[tuple[str, float]]) -> dict[str, float]:
        """What these count together, in each zone."""
        sums: dict[str, float] = {}
        for server, weight in weights:
            zone = self.listed[server].zone
            sums[zone] = sums.get(zone, 0.0) + weight
        return sums

    def settle(self, now: float) -> tuple[list[str], list[str]]:
        """Brings what is held up to date: what came in, and what went out."""
        self.stale = False
        out = [server for server in self.held if server not in self.listed]
        for server in out:
            del self.held[server]
        came, ideal = [], self.ideal(now)
        by_zone = self.by_zone((server, self.weight(now, server)) for server in self.held)
        wanted = self.by_zone(ideal.items())
        for server, weight in ideal.items():
            zone = self.listed[server].zone
            lacks = zone not in by_zone or by_zone[zone] < wanted[zone]
            if server not in self.held and lacks:
                self.held[server] = None
                came.append(server)
                by_zone[zone] = by_zone.get(zone, 0.0) + weight
        return came, out

    def drift(self, now: float) -> tuple[list[str], list[str]]:
        """One place nearer to the ring, and some fewer where more are held than are wanted."""
        if now - self.drifted_at < DRIFT_MS:
            return [], []
        self.drifted_at = now
        ideal = self.ideal(now)
        strangers = [server for server in self.held if server not in ideal]
        if not strangers:
            return [], []
        held: dict[str, int] = {}
        for server in self.held:
            zone = self.listed[server].zone
            held[zone] = held.get(zone, 0) + 1
        zone = self.listed[strangers[0]].zone
        same = [one for one in ideal if one not in self.held and self.listed[one].zone == zone][:1]
        if same:
            out = strangers[:1]
        else:
            out = []
            for server in strangers[: max(0, math.ceil(SHRINK * (len(self.held) - len(ideal))))]:
                zone = self.listed[server].zone
                if held[zone] > 1:
                    held[zone] -= 1
                    out.append(server)
        for server in out:
            del self.held[server]
        self.moved += len(out)
        self.held.update(dict.fromkeys(same))
        return same, out

    def judge(self, now: float, out: int) -> None:
        """Wider or narrower by the attempts that are out at the servers in use. Never wider than what is out
        has use for, or twice as wide: where none can be reached, taking all that are listed would help nobody
        and leave each choice a walk over them."""
        able = sum(self.weight(now, server) for server in self.held)
        use = max(self.servers, math.ceil(out / self.terms.busy))
        most = max(0, min(len(self.listed) - self.servers, use))
        if out >= self.terms.busy * able:
            self.calm_since = now
            if now - self.stepped_at >= STEP_MS and self.wider < most:
                self.stepped_at, self.stale = now, True
                self.wider = min(most, self.wider + max(1, round(GROWTH * len(self.held))))
        elif out >= self.terms.calm * able:
            self.calm_since = now
        elif self.wider and now - self.calm_since >= CALM_MS:
            self.calm_since = now
            self.wider -= math.ceil(SHRINK * self.wider)


class Aperture:
    """The decision module before which a subset stands; itself taken for a module. `listed`: the servers of
    which the module knows already."""

    def __init__(self, module: Module, made: Settings, terms: Terms, listed: Iterable[Endpoint] = ()) -> None:
        self.module, self.subset = module, Subset(terms, made.slow_start)
        self.narrow = terms.servers > 0  # whether some are in use only, else all that are listed
        self.subset.listed = {entry.address: entry for entry in listed}
        self.out: dict[str, int] = {}  # attempts out, by server
        self.looked_at = -1e12
        self.of = 0  # servers that the module was told there are; 0: it was never told of some only

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """One event for the module."""
        if isinstance(event, EndpointList):
            return self.listed(now_ms, event)
        if not self.narrow:
            return self.module.handle(now_ms, event)
        subset = self.subset
        if isinstance(event, AttemptEnded):
            left = self.out.get(event.address, 0) - 1
            if left > 0:
                self.out[event.address] = left
            else:
                self.out.pop(event.address, None)
            if event.outcome is Outcome.UNREACHABLE and len(subset.lost) < MOST_LOST:
                subset.lost[event.address] = now_ms + LOST_MS
                subset.stale = True
        actions = self.pass_on(now_ms, event)
        if now_ms - self.looked_at >= STEP_MS:
            self.looked_at = now_ms
            actions += self.look(now_ms)
        return actions

    def pass_on(self, now_ms: float, event: Event) -> list[Action]:
        """To the module; what it sends is counted."""
        actions: list[Action] = list(self.module.handle(now_ms, event))
        for action in actions:
            if isinstance(action, StartAttempt):
                self.out[action.address] = self.out.get(action.address, 0) + 1
        return actions

    def look(self, now: float) -> list[Action]:
        """What load and time change."""
        subset = self.subset
        subset.lost = {server: until for server, until in subset.lost.items() if until > now}
        subset.judge(now, sum(self.out.get(server, 0) for server in subset.held))
        came, gone = subset.settle(now) if subset.stale else ([], [])
        if not came and not gone:
            came, gone = subset.drift(now)
        return self.change(now, came, gone, ())

    # --- the list ----------------------------------------------------------------------------------------

    def listed(self, now: float, event: EndpointList) -> list[Action]:
        """News of the list."""
        if event.kind is EndpointListKind.FAILED:
            return self.pass_on(now, event)
        subset, was = self.subset, self.narrow
        whole = event.kind is not EndpointListKind.CHANGES
        known: Iterable[str] = ()  # to the module, and what may be
        if not was and not whole and len(subset.listed) + len(event.endpoints) > WHOLE:
            known = {*subset.listed, *(entry.address for entry in event.endpoints)}
        self.follow(event, whole)
        length = len(subset.listed)
        self.narrow = subset.terms.servers > 0 or length > (AGAIN if was else WHOLE)
        if not self.narrow:
            return self.told_whole(now, event, whole or not was)
        if not was and not (whole and isinstance(event.endpoints, Placed)):
            subset.rings = {}
            subset.place(subset.listed.values(), ())
        if whole:
            subset.settle(now)
            self.of = length
            entries = tuple(subset.listed[server] for server in subset.held)
            return self.pass_on(now, EndpointList(event.kind, entries, length))
        if not was:
            subset.settle(now)
            gone = [server for server in known if server not in subset.held and server in subset.listed]
            told = [entry for entry in event.endpoints if entry.state is not EndpointState.ACTIVE]
            return self.change(now, list(subset.held), gone, tuple(told))
        told = [entry for entry in event.endpoints if entry.address in subset.held]
        few = len(subset.held) < min(subset.servers, length)
        if few or any(entry.state is not EndpointState.ACTIVE for entry in told) or self.bare(event):
            came, gone = subset.settle(now)
        else:
            came, gone = [], []  # the next look has time for it
        named = {entry.address for entry in told}
        return self.change(now, came, [server for server in gone if server not in named], tuple(told))

    def follow(self, event: EndpointList, whole: bool) -> None:
        """The list as it is now; on rings only where some are in use."""
        subset = self.subset
        if whole:
            active: Iterable[Endpoint] = event.endpoints
            if not isinstance(active, Placed):
                active = [entry for entry in active if entry.state is EndpointState.ACTIVE]
            if self.narrow or isinstance(active, Placed):
                subset.whole(active)
            else:
                subset.listed = {entry.address: entry for entry in active}
        elif self.narrow:
            subset.change(event.endpoints)
        else:
            for entry in event.endpoints:
                subset.listed.pop(entry.address, None)
                if entry.state is EndpointState.ACTIVE:
                    subset.listed[entry.address] = entry

    def bare(self, event: EndpointList) -> bool:
        """Whether a zone that this names may be without a server in use."""
        zones = {entry.zone for entry in event.endpoints}
        for server in self.subset.held:
            entry = self.subset.listed.get(server)
            if entry is not None:
                zones.discard(entry.zone)
                if not zones:
                    return False
        return True

    def told_whole(self, now: float, event: EndpointList, enough: bool) -> list[Action]:
        """All are in use. `enough`: the event itself tells the module of all that it does not know."""
        subset, held = self.subset, self.subset.held
        if not enough:
            named = {entry.address for entry in event.endpoints}
            rest = [e for e in subset.listed.values() if e.address not in held and e.address not in named]
            event = replace(event, endpoints=(*event.endpoints, *rest))
        subset.held, subset.rings, subset.lost, subset.wider = {}, {}, {}, 0
        self.out.clear()
        if self.of:  # once told of more than it knows, the module has to be told of each length
            self.of = len(subset.listed)
            event = replace(event, total_endpoints=self.of)
        return self.module.handle(now, event)

    def change(
        self, now: float, came: list[str], gone: list[str], told: tuple[Endpoint, ...]
    ) -> list[Action]:
        """Tells the module which servers are in use."""
        entries = [*told, *(self.subset.listed[server] for server in came)]
        entries += [Endpoint(server, "", state=EndpointState.REMOVED) for server in gone]
        of = len(self.subset.listed)
        if not entries and of == self.of:
            return []
        self.of = of
        return self.pass_on(now, EndpointList(EndpointListKind.CHANGES, tuple(entries), of))
