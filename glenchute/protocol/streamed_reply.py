"""Incremental parsing of a server's reply whose value is too long to be buffered."""

from __future__ import annotations

import re
from typing import Any

from . import resp2 as resp

MAX_STREAMED_BYTES = 4 * 1024 * 1024  # the longest value that is forwarded
HEAD_PATTERN = re.compile(rb"\*3\r\n\$([1-9][0-9]{0,8})\r\n")


class StreamedReply:
    """An array whose first element is a long value, which is passed on as it is received. The elements behind
    the value are short, and kept in `trailer` once `is_complete`.

    Raises ProtocolError where the bytes are no such reply.
    """

    __slots__ = ("_parser", "_tail", "is_complete", "length_bytes", "remaining_bytes", "trailer")

    def __init__(self, length: int) -> None:
        self.length_bytes = self.remaining_bytes = length
        self.is_complete = False
        self.trailer: list[Any] = []
        self._tail = b""  # the part of the line break behind the value that was received
        self._parser: resp.Parser | None = None

    @classmethod
    def parse_head(cls, raw: bytes) -> tuple[StreamedReply, bytes] | None:
        """The reply that begins with these bytes, and those of them that follow its head; None where they
        begin no reply with a value of an allowed length in the first place."""
        head = HEAD_PATTERN.match(raw)
        if head is None or not resp.MAX_VALUE_BYTES < int(head[1]) <= MAX_STREAMED_BYTES:
            return None
        return cls(int(head[1])), raw[head.end() :]

    @property
    def has_surplus(self) -> bool:
        """Whether bytes follow the reply, to which they don't belong."""
        return self._parser is not None and self._parser.has_unparsed()

    def feed(self, data: bytes) -> bytes:
        """Takes bytes as they were received; returns those that belong to the value."""
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
