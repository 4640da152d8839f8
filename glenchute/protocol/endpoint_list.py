"""Discovery's JSON form of the endpoint list."""

from __future__ import annotations

import json
import logging
import re
from collections.abc import Generator
from typing import TYPE_CHECKING, Any

from glenchute.core.types import Address, EndpointUpdate
from glenchute.policy.balancing.subset_size import MAX_SUBSET_SIZE
from glenchute.policy.events import Endpoint, EndpointList, EndpointListKind, EndpointState

if TYPE_CHECKING:  # most processes never meet a list so long
    from glenchute.policy.balancing.hash_ring import RingBuilder, RingedEndpoints

log = logging.getLogger("glenchute")

ROWS_PER_PART = 64
JSON_DECODER = json.JSONDecoder()
WHITESPACE = re.compile(r"[ \t\n\r]*")
LIST_HEAD = re.compile(r'\s*\{[^][{}]*"servers"\s*:\s*\[')  # not nested, as nothing has been opened before it

ENDPOINT_STATES = {
    "Ready": EndpointState.ACTIVE,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}


class EndpointListError(ValueError):
    """A list that can't be read."""


def parse_address(text: Any) -> tuple[str, int]:
    """`host:port`."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise EndpointListError(f"not an address: {text!r}")
    return host, int(port)


def decode_endpoint(row: dict[str, Any]) -> Endpoint:
    """One server. A state that is not known is read as draining: nothing new goes there."""
    return Endpoint(
        address=str(row["id"]),
        zone=str(row.get("zone", "")),
        cell=int(row.get("cell") or 0),
        weight=float(row.get("weight") or 1.0),
        started_ms=float(row.get("started_ms") or 0.0),
        state=ENDPOINT_STATES.get(str(row.get("state")), EndpointState.DRAINING),
    )


class CurrentList:
    """The list in force, for rows of the next that can't be read: their servers stay as they are."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[Endpoint, Address | None]] = {}
        # What was made of each row's text of the last long list that was read whole, and each server's place
        # on its ring, for the next one. That does not hang on the list: it counts whether or not that list
        # came into force.
        self.rows_by_text: dict[str, tuple[Endpoint, Address | None]] = {}
        self.ring_positions: dict[str, tuple[bytes, str]] = {}

    def apply(self, news: EndpointUpdate) -> None:
        """This is in force now."""
        placed: RingedEndpoints | None = getattr(news.event.endpoints, "as_ringed", None)
        if placed is not None and news.event.kind is not EndpointListKind.CHANGES:
            self.rows = placed.listed_servers  # made while the list was read
            return
        if placed is not None and len(placed.listed_servers) == len(placed):
            self.rows.update(placed.listed_servers)
            return
        if news.event.kind is not EndpointListKind.CHANGES:
            self.rows = {}
        for one in news.event.endpoints:
            if one.state is EndpointState.REMOVED:
                self.rows.pop(one.address, None)
            else:
                self.rows[one.address] = one, news.addresses.get(one.address)

    def fallback_rows(self, named: set[str], unreadable: list[Any]) -> list[tuple[Endpoint, Address | None]]:
        """What stands for rows that can't be read: their servers' old rows; where one does not even tell its
        server, those of all servers that are not `named` by a row that can."""
        names = [row.get("id") if isinstance(row, dict) else None for row in unreadable]
        if not all(isinstance(name, str) for name in names):
            names = list(self.rows)
        return [self.rows[name] for name in names if name in self.rows and name not in named]


def decode_row(row: Any) -> tuple[Endpoint, Address | None]:
    """One server and where it listens."""
    made = decode_endpoint(row)
    where = parse_address(row["addr"]) if row.get("addr") else None
    if made.state is EndpointState.ACTIVE and where is None:
        raise EndpointListError(f"no address for {made.address}")
    return made, where


class RowDecoder:
    """The rows of a list, read one by one. A row that can't be read is a ListError where no list is `held`;
    else its server stays as it was, so that a bad row hides nothing of the others."""

    def __init__(self, held: CurrentList | None, placing: RingBuilder | None = None) -> None:
        """With `placing`, what follows from a whole list is worked out row by row."""
        self.current_list, self.ring_builder = held, placing
        self.decoded: list[tuple[Endpoint, Address | None]] = []
        self.addresses: dict[str, Address] = {}
        self.unreadable: list[Any] = []

    def decode(self, row: Any) -> tuple[Endpoint, Address | None] | None:
        """One more; what it says, if it can be read."""
        try:
            pair = decode_row(row)
        except (KeyError, TypeError, ValueError, AttributeError):
            if self.current_list is None:
                raise
            self.unreadable.append(row)
            return None
        self.add(pair)
        return pair

    def add(self, pair: tuple[Endpoint, Address | None]) -> None:
        """One more that has been read."""
        self.decoded.append(pair)
        if pair[1] is not None:
            self.addresses[pair[0].address] = pair[1]
        if self.ring_builder is not None:
            self.ring_builder.add(pair)

    def to_news(self, raw: Any, saved: bool = False) -> EndpointUpdate:
        """The list that they make, with what else its text says."""
        kind = (
            EndpointListKind.CACHED
            if saved
            else EndpointListKind.FULL
            if raw["full"]
            else EndpointListKind.CHANGES
        )
        version, read, unreadable = int(raw["version"]), self.decoded, self.unreadable
        if unreadable and self.current_list is not None:
            if not read:
                raise EndpointListError(f"none of {len(unreadable)} rows can be read")
            log.warning("%d of %d rows of the list can't be read: their servers stay as they were",
                        len(unreadable), len(unreadable) + len(read))  # fmt: skip
            if kind is EndpointListKind.FULL:
                for pair in self.current_list.fallback_rows({one.address for one, _ in read}, unreadable):
                    self.add(pair)
        placing = self.ring_builder if len(read) > MAX_SUBSET_SIZE else None
        entries = placing.build() if placing is not None else tuple(one for one, _ in read)
        return EndpointUpdate(version, EndpointList(kind, entries), self.addresses)


def decode_list(raw: Any, saved: bool = False, held: CurrentList | None = None) -> EndpointUpdate:
    """Discovery's form of the list, in the module's terms; ListError if it is none. `Rows` tells what becomes
    of single rows that can't be read."""
    try:
        rows = RowDecoder(held)
        for row in raw["servers"]:
            rows.decode(row)
        return rows.to_news(raw, saved)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        if isinstance(error, EndpointListError):
            raise
        raise EndpointListError(f"not a list of servers ({error!r})") from None


def decode_list_in_parts(body: bytes, held: CurrentList | None) -> Generator[None, None, EndpointUpdate]:
    """What `read_list` makes of an answer's body, `PART_ROWS` at a time: to read thousands of rows at once
    would hold up all requests. The rows are taken out of the text one by one; what is left is read whole.
    What follows from a whole list is worked out on the way (`RingBuilder`). A row whose text the list before
    had as well is not read again: a text that was one whole object is one wherever it stands."""
    from glenchute.policy.balancing.hash_ring import RingBuilder

    text = body.decode(json.detect_encoding(body), "surrogatepass")
    head = LIST_HEAD.match(text)
    if head is None:
        return decode_list(json.loads(text), held=held)
    placing = RingBuilder(held.ring_positions if held is not None else {})
    rows, at = RowDecoder(held, placing), skip_whitespace(text, head.end())
    more = not text.startswith("]", at)
    before = held.rows_by_text if held is not None else {}
    texts: dict[str, tuple[Endpoint, Address | None]] = {}
    try:
        while more:
            one = text[at : text.find("}", at) + 1] if before and text.startswith("{", at) else ""
            known = before.get(one)
            if known is not None:
                at += len(one)
                rows.add(known)
            else:
                start = at
                row, at = JSON_DECODER.raw_decode(text, at)
                known = rows.decode(row)
                one = text[start:at]
            if known is not None:
                texts[one] = known
            if not text.startswith(", {", at):  # as most write it, else any way that there is
                at = skip_whitespace(text, at)
                more = text.startswith(",", at)
            if more:
                at = skip_whitespace(text, at + 1)
            if (len(rows.decoded) + len(rows.unreadable)) % ROWS_PER_PART == 0:
                yield
        yield from placing.sort()
        raw = json.loads(text[: head.end()] + text[at:])
        if held is not None and raw.get("full") and len(texts) > MAX_SUBSET_SIZE:
            held.rows_by_text, held.ring_positions = texts, placing.positions
        before = texts = {}
        yield  # what the list before left behind is not let go in the turn in which this one comes into force
        return rows.to_news(raw) if not raw["servers"] else decode_list(json.loads(text), held=held)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        if isinstance(error, EndpointListError):
            raise
        raise EndpointListError(f"not a list of servers ({error!r})") from None


def skip_whitespace(text: str, at: int) -> int:
    """Where the next character stands that is no space."""
    found = WHITESPACE.match(text, at)
    return found.end() if found is not None else at
