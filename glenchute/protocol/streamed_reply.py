"""A server's answer whose value is too long to be held: taken apart as it comes, at any cut."""

from __future__ import annotations

import re
from typing import Any

from . import resp2 as resp

MAX_STREAMED_BYTES = 4 * 1024 * 1024  # the longest value that is passed on
HEAD_PATTERN = re.compile(rb"\*3\r\n\$([1-9][0-9]{0,8})\r\n")


class StreamedReply:
    """An array whose first element is a long value. The value's bytes come out as they go in; what stands
    behind it is short and held until it is whole.

    `length` is the value's, in bytes; `reply` the two elements behind it, once `done`; `surplus` tells that
    more came than belongs to the answer. ProtocolError where the bytes are no such answer.
    """

    __slots__ = ("_parser", "_tail", "is_complete", "length_bytes", "remaining_bytes", "trailer")

    def __init__(self, length: int) -> None:
        self.length_bytes = self.remaining_bytes = length
        self.is_complete = False
        self.trailer: list[Any] = []
        self._tail = b""  # of the line break behind the value
        self._parser: resp.Parser | None = None

    @classmethod
    def parse_head(cls, raw: bytes) -> tuple[StreamedReply, bytes] | None:
        """The answer that begins with these bytes, and what of them stands behind its head; None where this
        is no answer with a long value of an allowed length in the first place."""
        head = HEAD_PATTERN.match(raw)
        if head is None or not resp.MAX_VALUE_BYTES < int(head[1]) <= MAX_STREAMED_BYTES:
            return None
        return cls(int(head[1])), raw[head.end() :]

    @property
    def has_surplus(self) -> bool:
        """Whether bytes wait behind the answer."""
        return self._parser is not None and self._parser.has_unparsed()

    def feed(self, data: bytes) -> bytes:
        """Takes bytes as they came; those of them that belong to the value."""
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
            # What follows is read as an array of its own, by the parser that reads all others.
            self._parser, data = resp.Parser(), b"*2\r\n" + self._tail[2:]
        self._parser.feed(data)
        if not self.is_complete:
            reply = self._parser.next_message()
            if reply is not False:
                self.trailer, self.is_complete = reply, True
        return value
