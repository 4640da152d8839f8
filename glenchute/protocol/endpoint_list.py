"""Decoding of discovery's JSON endpoint list.

`decode_list` decodes a parsed answer at once, `decode_list_in_parts` the text of a long one in several turns
of the event loop. Both give the same result. A row that cannot be decoded leaves its endpoint as it is in the
list in force (`CurrentList`), so that a faulty row does not discard the others; without such a list it is an
error.
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

if TYPE_CHECKING:  # imported when the first long list is decoded: most processes never receive one
    from glenchute.policy.balancing.hash_ring import RingBuilder, RingedEndpoints

log = logging.getLogger("glenchute")

ROWS_PER_PART = 64  # rows that are decoded in one turn of the event loop
JSON_DECODER = json.JSONDecoder()
WHITESPACE = re.compile(r"[ \t\n\r]*")
# The text before the rows. The key is not nested, as the pattern allows no other object or array before it.
LIST_HEAD_PATTERN = re.compile(r'\s*\{[^][{}]*"servers"\s*:\s*\[')
DECODING_ERRORS = (KeyError, TypeError, ValueError, AttributeError)

ENDPOINT_STATES = {
    "Ready": EndpointState.ACTIVE,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}

EndpointRow = tuple[Endpoint, Address | None]  # an endpoint, and its address if the row has one


class EndpointListError(ValueError):
    """A list, row or address cannot be decoded; the text is the reason."""


def parse_address(text: Any) -> Address:
    """Parses `host:port`; raises EndpointListError if the text is not of this form."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise EndpointListError(f"{text!r} is not an address of the form host:port")
    return host, int(port)


def decode_endpoint(row: dict[str, Any]) -> Endpoint:
    """Decodes the endpoint of a row. An unknown state counts as draining, so that it gets no new requests."""
    return Endpoint(
        address=str(row["id"]),
        zone=str(row.get("zone", "")),
        cell=int(row.get("cell") or 0),
        weight=float(row.get("weight") or 1.0),
        started_ms=float(row.get("started_ms") or 0.0),
        state=ENDPOINT_STATES.get(str(row.get("state")), EndpointState.DRAINING),
    )


def decode_row(row: Any) -> EndpointRow:
    """Decodes a row; raises one of `DECODING_ERRORS` if it is invalid, as is an active endpoint without an
    address."""
    endpoint = decode_endpoint(row)
    address = parse_address(row["addr"]) if row.get("addr") else None
    if endpoint.state is EndpointState.ACTIVE and address is None:
        raise EndpointListError(f"active endpoint {endpoint.address} has no address")
    return endpoint, address


class CurrentList:
    """The list in force, and the decoded rows of the last long list, which speed up decoding the next one."""

    def __init__(self) -> None:
        self.rows: dict[str, EndpointRow] = {}  # by endpoint name
        # The rows of the last long complete list by their text, and the positions of its endpoints on the
        # hash ring. Both depend on the text alone, so they are valid even if that list is not in force.
        self.rows_by_text: dict[str, EndpointRow] = {}
        self.ring_positions: dict[str, tuple[bytes, str]] = {}

    def apply(self, update: EndpointUpdate) -> None:
        """Brings a list, or changes to it, into force."""
        is_complete = update.event.kind is not EndpointListKind.CHANGES
        ringed: RingedEndpoints | None = getattr(update.event.endpoints, "as_ringed", None)
        if ringed is not None and is_complete:
            self.rows = ringed.listed_servers  # built while the list was decoded
            return
        if ringed is not None and len(ringed.listed_servers) == len(ringed):
            self.rows.update(ringed.listed_servers)
            return
        if is_complete:
            self.rows = {}
        for endpoint in update.event.endpoints:
            if endpoint.state is EndpointState.REMOVED:
                self.rows.pop(endpoint.address, None)
            else:
                self.rows[endpoint.address] = endpoint, update.addresses.get(endpoint.address)

    def fallback_rows(self, decoded: set[str], unreadable: list[Any]) -> list[EndpointRow]:
        """Returns the rows in force that replace unreadable ones: those of the endpoints that the unreadable
        rows name; if one of them has no name, those of all endpoints that are not among the `decoded` names.
        """
        names = [row.get("id") if isinstance(row, dict) else None for row in unreadable]
        if not all(isinstance(name, str) for name in names):
            names = list(self.rows)
        return [self.rows[name] for name in names if name in self.rows and name not in decoded]


class RowDecoder:
    """Decodes and collects the rows of one list."""

    def __init__(self, current: CurrentList | None, ring_builder: RingBuilder | None = None) -> None:
        """`current`: the list in force, whose rows replace unreadable ones; None: those are errors.
        `ring_builder`: receives each row, so that the hash rings of a long list are built along with it."""
        self.current, self.ring_builder = current, ring_builder
        self.rows: list[EndpointRow] = []
        self.addresses: dict[str, Address] = {}
        self.unreadable: list[Any] = []

    def decode(self, row: Any) -> EndpointRow | None:
        """Decodes and adds a row; returns None if it is unreadable."""
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
        """Returns the update that consists of the rows and of the list's other fields in `raw`. `saved`: the
        list is a saved one and not an answer."""
        kind = list_kind(raw, saved)
        version = int(raw["version"])
        if self.unreadable and self.current is not None:
            self._replace_unreadable(self.current, kind)
        ring_builder = self.ring_builder if len(self.rows) > MAX_SUBSET_SIZE else None
        endpoints = ring_builder.build() if ring_builder is not None else self._last_rows()
        return EndpointUpdate(version, EndpointList(kind, endpoints), self.addresses)

    def _last_rows(self) -> tuple[Endpoint, ...]:
        """Returns each endpoint once; of several rows with the same name the last one applies."""
        return tuple({endpoint.address: endpoint for endpoint, _ in self.rows}.values())

    def _replace_unreadable(self, current: CurrentList, kind: EndpointListKind) -> None:
        """Adds the rows in force of the endpoints whose rows are unreadable, so that a complete list does not
        remove them. A list without a readable row is an error."""
        if not self.rows:
            raise EndpointListError(f"none of the {len(self.unreadable)} rows can be decoded")
        log.warning(
            "%d of the %d rows of discovery's endpoint list can't be decoded: their endpoints stay unchanged",
            len(self.unreadable),
            len(self.unreadable) + len(self.rows),
        )
        if kind is EndpointListKind.FULL:
            decoded = {endpoint.address for endpoint, _ in self.rows}
            for row in current.fallback_rows(decoded, self.unreadable):
                self.add(row)


def list_kind(raw: Any, saved: bool) -> EndpointListKind:
    """Returns the kind of a list: a saved one, a complete answer, or changes to the list in force."""
    if saved:
        return EndpointListKind.CACHED
    return EndpointListKind.FULL if raw["full"] else EndpointListKind.CHANGES


def decode_list(raw: Any, saved: bool = False, current: CurrentList | None = None) -> EndpointUpdate:
    """Decodes a parsed list; raises EndpointListError if it is invalid. `saved`: it is a saved list and not
    an answer. `current`: the list in force, if there is one."""
    try:
        rows = RowDecoder(current)
        for row in raw["servers"]:
            rows.decode(row)
        return rows.finish(raw, saved)
    except DECODING_ERRORS as error:
        raise as_list_error(error) from None


def decode_list_in_parts(body: bytes, current: CurrentList | None) -> Generator[None, None, EndpointUpdate]:
    """Decodes the body of an answer like `decode_list`, and yields after every `ROWS_PER_PART` rows, as
    decoding thousands of rows at once would delay all requests. Raises ValueError or RecursionError if the
    body is invalid.

    Rows are cut out of the text and decoded one by one; the rest of the text is parsed at the end. The hash
    rings of a long list are built in the same steps. A row whose text was in the previous long list is not
    parsed again, as the same text of a complete JSON object always gives the same row.
    """
    from glenchute.policy.balancing.hash_ring import RingBuilder

    text = body.decode(json.detect_encoding(body), "surrogatepass")
    head = LIST_HEAD_PATTERN.match(text)
    if head is None:
        return decode_list(json.loads(text), current=current)
    ring_builder = RingBuilder(current.ring_positions if current is not None else {})
    rows = RowDecoder(current, ring_builder)
    known_rows = current.rows_by_text if current is not None else {}
    rows_by_text: dict[str, EndpointRow] = {}
    try:
        rows_end = yield from scan_rows(text, head.end(), rows, known_rows, rows_by_text)
        yield from ring_builder.sort()
        raw, is_repeated = parse_list_fields(text[: head.end()] + text[rows_end:])
        if current is not None and raw.get("full") and len(rows_by_text) > MAX_SUBSET_SIZE:
            current.rows_by_text, current.ring_positions = rows_by_text, ring_builder.positions
        known_rows = rows_by_text = {}
        yield  # the previous rows are freed in one turn, and this list comes into force in a later one
        # Of a repeated key the last one applies, and rows without a comma in between are left over: then the
        # whole text is decoded again.
        is_complete = not is_repeated and raw["servers"] == []
        return rows.finish(raw) if is_complete else decode_list(json.loads(text), current=current)
    except DECODING_ERRORS as error:
        raise as_list_error(error) from None


def parse_list_fields(text: str) -> tuple[dict[str, Any], bool]:
    """Returns the fields of a list whose rows were cut out of its text, and whether it has the key `servers`
    more than once. Raises ValueError if it is not a JSON object."""
    fields: list[tuple[str, Any]] = []

    def keep_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        fields[:] = pairs  # the outermost object is the last one that is complete
        return dict(pairs)

    raw = json.loads(text, object_pairs_hook=keep_fields)
    return raw, sum(key == "servers" for key, _ in fields) > 1


def scan_rows(
    text: str,
    start: int,
    rows: RowDecoder,
    known_rows: dict[str, EndpointRow],
    rows_by_text: dict[str, EndpointRow],
) -> Generator[None, None, int]:
    """Decodes the rows of an array into `rows` and yields after every `ROWS_PER_PART`; returns the index in
    the text at which the rows end. `start`: the index after the opening bracket. `known_rows`: rows by their
    text, which are not parsed again. `rows_by_text`: is filled with the rows of this array."""
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
        if not text.startswith(", {", position):  # the common separator needs no search for whitespace
            position = skip_whitespace(text, position)
            has_more = text.startswith(",", position)
        if has_more:
            position = skip_whitespace(text, position + 1)
        row_count += 1
        if row_count % ROWS_PER_PART == 0:
            yield
    return position


def as_list_error(error: Exception) -> EndpointListError:
    """Converts any error of decoding to an EndpointListError."""
    if isinstance(error, EndpointListError):
        return error
    return EndpointListError(f"not an endpoint list ({error!r})")


def skip_whitespace(text: str, start: int) -> int:
    """Returns the index of the first character from `start` on that is not JSON whitespace."""
    found = WHITESPACE.match(text, start)
    return found.end() if found is not None else start
