"""Hash rings: the servers of a zone in the order of their hashed names, prepared while a list is read.

What follows from a list of thousands of rows (which servers are active, and their ring positions) costs most
of applying it, and depends on the list alone. So it is worked out row by row while the list is read, between
requests. At the one moment at which the list comes into force, its tables replace the former ones; nothing of
it counts before that moment, and all of it from then on.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from hashlib import blake2b

from ..events import Endpoint, EndpointState
from .subset_size import MAX_SUBSET_SIZE

ROWS_PER_STEP = 512  # of rings, sorted in one step

RingPosition = tuple[bytes, str]  # hash and name of a server
ListedServer = tuple[Endpoint, tuple[str, int] | None]  # a server, and the host and port where it listens


def ring_position(server: str) -> RingPosition:
    """A server's position on its ring. Any name that JSON can hold has one."""
    return blake2b(server.encode(errors="surrogatepass"), digest_size=8).digest(), server


class RingedEndpoints(tuple[Endpoint, ...]):
    """The endpoints of a list or of changes, each server once, with the tables that follow from them. To code
    that does not know it, a tuple. Whoever takes a table of a full list owns it from then on."""

    active: dict[str, Endpoint]
    rings: dict[str, list[RingPosition]]  # of the active ones, by zone, sorted
    started_ms: dict[str, float]  # of the active ones, Unix time
    listed_servers: dict[str, ListedServer]  # all but the removed ones

    @property
    def as_ringed(self) -> RingedEndpoints:
        """Tells this class from a plain tuple without an import of it."""
        return self


class RingBuilder:
    """Builds `RingedEndpoints` row by row."""

    def __init__(self, known_positions: Mapping[str, RingPosition]) -> None:
        """`known_positions`: those of servers that need no hashing."""
        self.known_positions = known_positions
        self.positions: dict[str, RingPosition] = {}  # of the active servers
        self.endpoints: list[Endpoint] = []
        self.active: dict[str, Endpoint] = {}
        self.rings: dict[str, list[RingPosition]] = {}
        self.started_ms: dict[str, float] = {}
        self.listed_servers: dict[str, ListedServer] = {}

    def add(self, listed_server: ListedServer) -> None:
        """Adds a row."""
        endpoint = listed_server[0]
        server = endpoint.address
        self.endpoints.append(endpoint)
        self.listed_servers[server] = listed_server
        if endpoint.state is EndpointState.ACTIVE:
            position = self.positions[server] = self.known_positions.get(server) or ring_position(server)
            self.active[server] = endpoint
            self.started_ms[server] = endpoint.started_ms
            self.rings.setdefault(endpoint.zone, []).append(position)

    def sort(self) -> Iterator[None]:
        """Sorts the rings, some `ROWS_PER_STEP` rows a step, or one ring that has more. To be called when all
        rows have been added, or nearly all."""
        rows = 0
        for ring in self.rings.values():
            ring.sort()
            rows += len(ring)
            if rows >= ROWS_PER_STEP:
                yield
                rows = 0

    def build(self) -> tuple[Endpoint, ...]:
        """The endpoints, each once; of several rows with one name the last counts. A plain tuple where there
        are such rows, as the tables would hold them all, and where the list is short enough to be used
        whole."""
        if len(self.listed_servers) < len(self.endpoints):
            return tuple(endpoint for endpoint, _ in self.listed_servers.values())
        if len(self.active) <= MAX_SUBSET_SIZE:
            return tuple(self.endpoints)
        for _ in self.sort():
            pass  # the rows that came last; next to nothing where they are sorted
        built = RingedEndpoints(self.endpoints)
        built.active, built.rings = self.active, self.rings
        built.started_ms, built.listed_servers = self.started_ms, self.listed_servers
        if len(self.active) < len(self.endpoints):
            for endpoint in self.endpoints:
                if endpoint.state is EndpointState.REMOVED:
                    del self.listed_servers[endpoint.address]
        return built
