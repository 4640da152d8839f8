"""Discovery's JSON form of the endpoint list.

`decode_list` decodes a parsed answer at once, `decode_list_in_parts` the text of a long one with pauses. Both
give the same result. Rows that cannot be decoded leave their endpoints as they were in the list in force
(`CurrentList`), so that a faulty row hides nothing of the others; without such a list they are errors.
"""

from __future__ import annotations

import json
import logging
import re
from collections.abc import Generator
from typing import TYPE_CHECKING, Any

from glenchute.core.types import Address, EndpointUpdate
from glenchute.policy.balancing.subset_size import MAX_SUBSET_SIZE
from glenchute.policy.events import Endpoint, EndpointList, EndpointListKind, EndpointState

if TYPE_CHECKING:  # imported with the first long list: most processes never receive one
    from glenchute.policy.balancing.hash_ring import RingBuilder, RingedEndpoints

log = logging.getLogger("glenchute")

ROWS_PER_PART = 64  # decoded in one turn of the event loop
JSON_DECODER = json.JSONDecoder()
WHITESPACE = re.compile(r"[ \t\n\r]*")
# The text up to the rows. The key cannot be nested, as no other object or array has been opened before it.
LIST_HEAD = re.compile(r'\s*\{[^][{}]*"servers"\s*:\s*\[')
DECODING_ERRORS = (KeyError, TypeError, ValueError, AttributeError)

ENDPOINT_STATES = {
    "Ready": EndpointState.ACTIVE,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}

EndpointRow = tuple[Endpoint, Address | None]  # an endpoint, and where it listens if the row says so


class EndpointListError(ValueError):
    """A list, row or address that cannot be decoded; the text is the reason."""


def parse_address(text: Any) -> Address:
    """Parses `host:port`; EndpointListError if it is something else."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise EndpointListError(f"not an address: {text!r}")
    return host, int(port)


def decode_endpoint(row: dict[str, Any]) -> Endpoint:
    """Decodes the endpoint of a row. An unknown state counts as draining: nothing new is sent there."""
    return Endpoint(
        address=str(row["id"]),
        zone=str(row.get("zone", "")),
        cell=int(row.get("cell") or 0),
        weight=float(row.get("weight") or 1.0),
        started_ms=float(row.get("started_ms") or 0.0),
        state=ENDPOINT_STATES.get(str(row.get("state")), EndpointState.DRAINING),
    )


def decode_row(row: Any) -> EndpointRow:
    """Decodes a row; one of `DECODING_ERRORS` if that fails. An active endpoint needs an address."""
    endpoint = decode_endpoint(row)
    address = parse_address(row["addr"]) if row.get("addr") else None
    if endpoint.state is EndpointState.ACTIVE and address is None:
        raise EndpointListError(f"no address for {endpoint.address}")
    return endpoint, address


class CurrentList:
    """The list in force, and what decoding the last long list left for the next one."""

    def __init__(self) -> None:
        self.rows: dict[str, EndpointRow] = {}  # by the endpoint's name
        # The rows of the last long complete list by their text, and the positions of its endpoints on the
        # hash ring. Both follow from the text alone: they are valid even if that list is not in force.
        self.rows_by_text: dict[str, EndpointRow] = {}
        self.ring_positions: dict[str, tuple[bytes, str]] = {}

    def apply(self, update: EndpointUpdate) -> None:
        """Brings a list, or changes to it, into force."""
        is_complete = update.event.kind is not EndpointListKind.CHANGES
        placed: RingedEndpoints | None = getattr(update.event.endpoints, "as_ringed", None)
        if placed is not None and is_complete:
            self.rows = placed.listed_servers  # made while the list was decoded
            return
        if placed is not None and len(placed.listed_servers) == len(placed):
            self.rows.update(placed.listed_servers)
            return
        if is_complete:
            self.rows = {}
        for endpoint in update.event.endpoints:
            if endpoint.state is EndpointState.REMOVED:
                self.rows.pop(endpoint.address, None)
            else:
                self.rows[endpoint.address] = endpoint, update.addresses.get(endpoint.address)

    def fallback_rows(self, decoded: set[str], unreadable: list[Any]) -> list[EndpointRow]:
        """The rows in force in place of unreadable ones: of the endpoints that those name; if any names none,
        of all endpoints that are not among the `decoded` names."""
        names = [row.get("id") if isinstance(row, dict) else None for row in unreadable]
        if not all(isinstance(name, str) for name in names):
            names = list(self.rows)
        return [self.rows[name] for name in names if name in self.rows and name not in decoded]


class RowDecoder:
    """Collects the rows of one list."""

    def __init__(self, current: CurrentList | None, ring_builder: RingBuilder | None = None) -> None:
        """`current`: the list in force, for unreadable rows; None: they are errors. `ring_builder`: is given
        each row, so that the tables of a long list are built along with it."""
        self.current, self.ring_builder = current, ring_builder
        self.rows: list[EndpointRow] = []
        self.addresses: dict[str, Address] = {}
        self.unreadable: list[Any] = []

    def decode(self, row: Any) -> EndpointRow | None:
        """Decodes and adds a row; None if it is unreadable."""
        try:
            decoded = decode_row(row)
        except DECODING_ERRORS:
            if self.current is None:
                raise
            self.unreadable.append(row)
            return None
        self.add(decoded)
        return decoded

    def add(self, row: EndpointRow) -> None:
        """Adds a decoded row."""
        self.rows.append(row)
        if row[1] is not None:
            self.addresses[row[0].address] = row[1]
        if self.ring_builder is not None:
            self.ring_builder.add(row)

    def finish(self, raw: Any, saved: bool = False) -> EndpointUpdate:
        """The update made of the rows and of the list's other fields in `raw`. `saved`: the list is a saved
        one and not an answer."""
        kind = list_kind(raw, saved)
        version = int(raw["version"])
        if self.unreadable and self.current is not None:
            self._replace_unreadable(self.current, kind)
        ring_builder = self.ring_builder if len(self.rows) > MAX_SUBSET_SIZE else None
        endpoints = ring_builder.build() if ring_builder is not None else self._last_rows()
        return EndpointUpdate(version, EndpointList(kind, endpoints), self.addresses)

    def _last_rows(self) -> tuple[Endpoint, ...]:
        """The endpoints, each once; of several rows with one name the last counts."""
        return tuple({endpoint.address: endpoint for endpoint, _ in self.rows}.values())

    def _replace_unreadable(self, current: CurrentList, kind: EndpointListKind) -> None:
        """Leaves the endpoints of unreadable rows as they are. A list without a readable row is an error."""
        if not self.rows:
            raise EndpointListError(f"none of {len(self.unreadable)} rows can be read")
        log.warning(
            "%d of %d rows of the list can't be read: their servers stay as they were",
            len(self.unreadable),
            len(self.unreadable) + len(self.rows),
        )
        if kind is EndpointListKind.FULL:
            decoded = {endpoint.address for endpoint, _ in self.rows}
            for row in current.fallback_rows(decoded, self.unreadable):
                self.add(row)


def list_kind(raw: Any, saved: bool) -> EndpointListKind:
    """Whether a list is a saved one, a complete answer, or changes to the list in force."""
    if saved:
        return EndpointListKind.CACHED
    return EndpointListKind.FULL if raw["full"] else EndpointListKind.CHANGES


def decode_list(raw: Any, saved: bool = False, current: CurrentList | None = None) -> EndpointUpdate:
    """Decodes a parsed list; EndpointListError if that fails. `saved`: it is a saved list and not an answer;
    `current`: the list in force, if there is one."""
    try:
        rows = RowDecoder(current)
        for row in raw["servers"]:
            rows.decode(row)
        return rows.finish(raw, saved)
    except DECODING_ERRORS as error:
        raise as_list_error(error) from None


def decode_list_in_parts(body: bytes, current: CurrentList | None) -> Generator[None, None, EndpointUpdate]:
    """Decodes the body of an answer like `decode_list`, and yields after every `ROWS_PER_PART` rows:
    thousands of rows at once would delay all requests. ValueError or RecursionError if that fails.

    Rows are taken out of the text one by one; what remains of it is parsed at the end. The tables of a long
    list are built on the way. A row whose text was in the previous long list is not parsed again: text that
    is one JSON object is the same object wherever it stands.
    """
    from glenchute.policy.balancing.hash_ring import RingBuilder

    text = body.decode(json.detect_encoding(body), "surrogatepass")
    head = LIST_HEAD.match(text)
    if head is None:
        return decode_list(json.loads(text), current=current)
    ring_builder = RingBuilder(current.ring_positions if current is not None else {})
    rows = RowDecoder(current, ring_builder)
    known_rows = current.rows_by_text if current is not None else {}
    rows_by_text: dict[str, EndpointRow] = {}
    try:
        rows_end = yield from scan_rows(text, head.end(), rows, known_rows, rows_by_text)
        yield from ring_builder.sort()
        raw = json.loads(text[: head.end()] + text[rows_end:])
        if current is not None and raw.get("full") and len(rows_by_text) > MAX_SUBSET_SIZE:
            current.rows_by_text, current.ring_positions = rows_by_text, ring_builder.positions
        known_rows = rows_by_text = {}
        yield  # the previous rows are freed in another turn than the one that brings this list into force
        return rows.finish(raw) if not raw["servers"] else decode_list(json.loads(text), current=current)
    except DECODING_ERRORS as error:
        raise as_list_error(error) from None


def scan_rows(
    text: str,
    start: int,
    rows: RowDecoder,
    known_rows: dict[str, EndpointRow],
    rows_by_text: dict[str, EndpointRow],
) -> Generator[None, None, int]:
    """Decodes the rows of an array into `rows`, yielding after every `ROWS_PER_PART`; returns the index at
    which they end in the text. `start`: behind the opening bracket; `known_rows`: rows by their text, which
    need no parsing; `rows_by_text`: is filled with those of this array."""
    row_count, position = 0, skip_whitespace(text, start)
    has_more = not text.startswith("]", position)
    while has_more:
        is_object = bool(known_rows) and text.startswith("{", position)
        row_text = text[position : text.find("}", position) + 1] if is_object else ""
        decoded = known_rows.get(row_text)
        if decoded is not None:
            position += len(row_text)
            rows.add(decoded)
        else:
            row_start = position
            row, position = JSON_DECODER.raw_decode(text, position)
            decoded = rows.decode(row)
            row_text = text[row_start:position]
        if decoded is not None:
            rows_by_text[row_text] = decoded
        if not text.startswith(", {", position):  # the usual separator; below, any other
            position = skip_whitespace(text, position)
            has_more = text.startswith(",", position)
        if has_more:
            position = skip_whitespace(text, position + 1)
        row_count += 1
        if row_count % ROWS_PER_PART == 0:
            yield
    return position


def as_list_error(error: Exception) -> EndpointListError:
    """An error of decoding as the error of the list."""
    if isinstance(error, EndpointListError):
        return error
    return EndpointListError(f"not a list of servers ({error!r})")


def skip_whitespace(text: str, start: int) -> int:
    """The index of the first character from `start` on that is no JSON whitespace."""
    found = WHITESPACE.match(text, start)
    return found.end() if found is not None else start
