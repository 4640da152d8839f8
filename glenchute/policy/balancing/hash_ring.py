"""Hash rings: the servers of a zone in the order of their hashed names, built while a list is read.

The tables derived from a list of thousands of rows (the active servers and their ring positions) are most of
the cost of applying it, and depend on the list alone. So they are built row by row while the list is read,
between requests. When the list comes into force, its tables replace the previous ones in one step: none of it
applies before that moment, and all of it from then on.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from hashlib import blake2b

from ..events import Endpoint, EndpointState
from .subset_size import MAX_SUBSET_SIZE

ROWS_PER_STEP = 512  # ring positions sorted in one step, at least

RingPosition = tuple[bytes, str]  # hash and name of a server
ListedServer = tuple[Endpoint, tuple[str, int] | None]  # a server, and the host and port where it listens


def ring_position(server: str) -> RingPosition:
    """Returns a server's position on its ring. Any string of JSON, lone surrogates included, has one."""
    return blake2b(server.encode(errors="surrogatepass"), digest_size=8).digest(), server


class RingedEndpoints(tuple[Endpoint, ...]):
    """The endpoints of a list or of changes, each server once, with the tables derived from them. Usable as a
    plain tuple. Code that takes over a table of a full list owns it from then on and may change it."""

    active: dict[str, Endpoint]  # the active servers by address
    rings: dict[str, list[RingPosition]]  # positions of the active servers by zone, sorted
    started_ms: dict[str, float]  # start times of the active servers, Unix time
    listed_servers: dict[str, ListedServer]  # all servers but the removed ones

    @property
    def as_ringed(self) -> RingedEndpoints:
        """Lets a caller tell this class from a plain tuple without importing it."""
        return self


class RingBuilder:
    """Builds `RingedEndpoints` row by row."""

    def __init__(self, known_positions: Mapping[str, RingPosition]) -> None:
        """`known_positions`: positions of servers that were hashed before."""
        self.known_positions = known_positions
        self.positions: dict[str, RingPosition] = {}  # positions of the active servers
        self.endpoints: list[Endpoint] = []
        self.active: dict[str, Endpoint] = {}
        self.rings: dict[str, list[RingPosition]] = {}
        self.started_ms: dict[str, float] = {}
        self.listed_servers: dict[str, ListedServer] = {}

    def add(self, listed_server: ListedServer) -> None:
        """Adds a row of the list."""
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
        """Sorts the rings in steps of whole rings that hold `ROWS_PER_STEP` rows or more together; yields
        after each step. To be called when all rows, or nearly all, have been added."""
        rows = 0
        for ring in self.rings.values():
            ring.sort()
            rows += len(ring)
            if rows >= ROWS_PER_STEP:
                yield
                rows = 0

    def build(self) -> tuple[Endpoint, ...]:
        """Returns the endpoints, each once; of several rows with one name the last counts. The result is a
        plain tuple if there are such rows, as the tables would hold all of them, or if the list is short
        enough to be used whole."""
        if len(self.listed_servers) < len(self.endpoints):
            return tuple(endpoint for endpoint, _ in self.listed_servers.values())
        if len(self.active) <= MAX_SUBSET_SIZE:
            return tuple(self.endpoints)
        for _ in self.sort():
            pass  # only rows added since the last sort; cheap if the rings are sorted
        built = RingedEndpoints(self.endpoints)
        built.active, built.rings = self.active, self.rings
        built.started_ms, built.listed_servers = self.started_ms, self.listed_servers
        if len(self.active) < len(self.endpoints):
            for endpoint in self.endpoints:
                if endpoint.state is EndpointState.REMOVED:
                    del self.listed_servers[endpoint.address]
        return built
