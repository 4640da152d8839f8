"""Incremental parsing of a server's reply whose value is too long to be buffered."""

from __future__ import annotations

import re
from typing import Any

from . import resp2 as resp
from .incomplete_reply import may_begin_with_usage

MAX_STREAMED_BYTES = 4 * 1024 * 1024  # the longest value that is forwarded to a client
TRAILER_HEAD = b"*2\r\n"  # the trailer's two elements are parsed as an array of their own
HEAD_PATTERN = re.compile(rb"\*3\r\n\$([1-9][0-9]{0,8})\r\n")


class StreamedReply:
    """An array whose first element is a long value, which is forwarded while it is received.

    The elements after the value are short; they are in `trailer` once `is_complete`. Bytes that are no such
    reply raise ProtocolError.

    `is_value_complete`: the value has been received with its line break, and what followed so far may be the
    trailer. A length prefix that is too large can reach to a line break inside the trailer, which then does
    not begin with a usage: such a value is complete only with a complete trailer.
    """

    __slots__ = (
        "_parser",
        "_tail",
        "is_complete",
        "is_value_complete",
        "length_bytes",
        "remaining_bytes",
        "trailer",
    )

    def __init__(self, length: int) -> None:
        self.length_bytes = self.remaining_bytes = length
        self.is_complete = self.is_value_complete = False
        self.trailer: list[Any] = []
        self._tail = b""  # bytes received after the value, until its line break is complete
        self._parser: resp.Parser | None = None

    @classmethod
    def parse_head(cls, raw: bytes) -> tuple[StreamedReply, bytes] | None:
        """Returns the reply that begins with these bytes, and the bytes after its head; None if they are not
        the head of an array whose first element is a value too long to be buffered and short enough to be
        forwarded."""
        head = HEAD_PATTERN.match(raw)
        if head is None or not resp.MAX_VALUE_BYTES < int(head[1]) <= MAX_STREAMED_BYTES:
            return None
        return cls(int(head[1])), raw[head.end() :]

    @property
    def has_surplus(self) -> bool:
        """Returns whether bytes were received after the end of the reply."""
        return self._parser is not None and self._parser.has_unparsed()

    def feed(self, data: bytes) -> bytes:
        """Parses received bytes; returns those that belong to the value."""
        if self.remaining_bytes >= len(data):
            self.remaining_bytes -= len(data)
            return data
        value, data = data[: self.remaining_bytes], data[self.remaining_bytes :]
        self.remaining_bytes = 0
        if self._parser is None:
            self._tail += data
            if not b"\r\n".startswith(self._tail[:2]):
                raise resp.ProtocolError("a value that is longer than announced")
            if len(self._tail) < 2:
                return value
            self._parser, data = resp.Parser(), TRAILER_HEAD + self._tail[2:]
        self._parser.feed(data)
        if not self.is_complete:
            self._parse_trailer(self._parser)
        return value

    def _parse_trailer(self, parser: resp.Parser) -> None:
        """Parses what has been received after the value, which may be nothing yet."""
        reply = parser.next_message()
        if reply is not False:
            self.trailer, self.is_complete = reply, True
        if self.is_complete or may_begin_with_usage(parser.unparsed().removeprefix(TRAILER_HEAD)):
            self.is_value_complete = True
