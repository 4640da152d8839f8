"""Rings on which the servers of a zone stand in the order of their hashed names, and a whole list that has
been put on them before it comes into force. No I/O.

What follows from a list of thousands of rows (who is in service, who stands where) costs most of bringing it
into force, and hangs on the list alone, not on what is in force. So it is worked out row by row while the
list is read, between requests; what is left for the one moment at which the list comes into force is to take
it in place of what was there, and to walk what is in use. Nothing of a list counts before that moment, and
all of it from then on: there is no state in between that anybody could see.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from hashlib import blake2b

from ..events import Endpoint, EndpointState
from .subset_size import WHOLE

SORTED = 512  # rows of rings put in order in one step

Spot = tuple[bytes, str]  # a server's place on its ring
Pair = tuple[Endpoint, tuple[str, int] | None]  # a server and where it listens


def spot(server: str) -> Spot:
    """Where a server stands on its ring. Any name that JSON can hold has a place."""
    return blake2b(server.encode(errors="surrogatepass"), digest_size=8).digest(), server


class Placed(tuple[Endpoint, ...]):
    """The entries of a list or of changes, each server once; to whoever does not know it, a tuple of them.
    Whoever takes one of the tables of a whole list owns it from then on."""

    listed: dict[str, Endpoint]  # those in service
    rings: dict[str, list[Spot]]  # of these, by zone, in order
    started: dict[str, float]  # and when, Unix ms
    pairs: dict[str, Pair]  # all that are not gone

    @property
    def placed(self) -> Placed:
        """By this a list is known for one that has been worked out."""
        return self


class Placing:
    """A list on its way to `Placed`, row by row."""

    def __init__(self, before: Mapping[str, Spot]) -> None:
        """`before`: servers' places that are known."""
        self.before = before
        self.spots: dict[str, Spot] = {}  # of those in service
        self.entries: list[Endpoint] = []
        self.listed: dict[str, Endpoint] = {}
        self.rings: dict[str, list[Spot]] = {}
        self.started: dict[str, float] = {}
        self.pairs: dict[str, Pair] = {}

    def take(self, pair: Pair) -> None:
        """One more row."""
        entry = pair[0]
        server = entry.address
        self.entries.append(entry)
        self.pairs[server] = pair
        if entry.state is EndpointState.ACTIVE:
            at = self.spots[server] = self.before.get(server) or spot(server)
            self.listed[server] = entry
            self.started[server] = entry.started_ms
            self.rings.setdefault(entry.zone, []).append(at)

    def sort(self) -> Iterator[None]:
        """Puts the rings in order, some `SORTED` rows a step, or a ring that has more. All rows have been
        taken, or nearly all."""
        rows = 0
        for ring in self.rings.values():
            ring.sort()
            rows += len(ring)
            if rows >= SORTED:
                yield
                rows = 0

    def done(self) -> tuple[Endpoint, ...]:
        """The list; as plain entries where a server is in it more than once, of which the last counts, and
        where few are in service, so that who is told of all is told of a tuple."""
        if len(self.pairs) < len(self.entries) or len(self.listed) <= WHOLE:
            return tuple(self.entries)
        for _ in self.sort():
            pass  # the rows that came last; next to nothing where they are in order
        made = Placed(self.entries)
        made.listed, made.rings, made.started, made.pairs = self.listed, self.rings, self.started, self.pairs
        if len(self.listed) < len(self.entries):
            for entry in self.entries:
                if entry.state is EndpointState.REMOVED:
                    del self.pairs[entry.address]
        return made
