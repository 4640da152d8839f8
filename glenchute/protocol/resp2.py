"""RESP2: encoding, and strict parsing in front of hiredis' parser.

hiredis accepts any two bytes as the end of a bulk string, allocates memory for any announced number of array
elements, and buffers without a limit. So a message is passed to it only when it is known to be complete,
well-formed and within the limits.
"""

from __future__ import annotations

import re
from typing import Any

import hiredis

MAX_VALUE_BYTES = 64 * 1024  # the longest value that the protocol allows
MAX_PENDING_BYTES = 2 * MAX_VALUE_BYTES  # the limit for a message whose end has not been received
MAX_LINE_BYTES = 1024  # the limit for a status or an error
MAX_LENGTH_LINE_BYTES = 24  # the limit for a line with a length or a number
MAX_ARRAY_ELEMENTS = 99  # the protocol's own arrays have five elements at most
# Levels of nested arrays: an array may hold arrays, but these hold only strings, numbers and nulls. Servers'
# replies are the deepest messages: an array of a value, a usage or null, and a load report or null, where the
# usage and the load report may be arrays of strings or numbers.
MAX_ARRAY_DEPTH = 2

PONG = b"+PONG\r\n"
OK = b"+OK\r\n"
FAILED = b"-ERR failed\r\n"
ReplyError = hiredis.ReplyError
INTEGER_PATTERN = re.compile(rb"-?(0|[1-9][0-9]{0,17})")
STATUS, ERROR, NUMBER, BULK, ARRAY = b"+-:$*"


class ProtocolError(Exception):
    """The bytes received are not valid RESP, or a message exceeds a limit."""


class ValueTooLongError(ProtocolError):
    """A value exceeds `MAX_VALUE_BYTES`; it is not buffered."""


def find_line_end(raw: bytes, start: int, max_bytes: int) -> int:
    """Returns the index after the line that begins at `start`, and after its line break; 0 if its end has not
    been received. `max_bytes`: the limit for the line, without its line break."""
    end = raw.find(b"\n", start, start + max_bytes + 2)
    if end < 0:
        if len(raw) - start > max_bytes:
            raise ProtocolError("line too long")
        return 0
    if raw.find(b"\r", start, end) != end - 1:
        raise ProtocolError("bad end of a line")
    return end + 1


def parse_integer(raw: bytes, start: int, end: int) -> int:
    """Returns the number in the line from `start` to `end`, after its type byte and before its line break."""
    if INTEGER_PATTERN.fullmatch(raw, start + 1, end - 2) is None:
        raise ProtocolError("bad number")
    return int(raw[start + 1 : end - 2])


def find_message_end(raw: bytes, start: int, depth: int = 0) -> int:
    """Returns the index after the message that begins at `start`; 0 if its end has not been received.
    `depth`: the number of arrays that enclose the message."""
    if start >= len(raw):
        return 0
    kind = raw[start]
    if kind in (STATUS, ERROR) and not depth:
        return find_line_end(raw, start, MAX_LINE_BYTES)
    if kind not in (NUMBER, BULK, ARRAY):
        raise ProtocolError("not RESP")
    end = find_line_end(raw, start, MAX_LENGTH_LINE_BYTES)
    if not end:
        return 0
    count = parse_integer(raw, start, end)
    if kind == NUMBER or count == -1:
        return end
    if kind == ARRAY:
        if not 0 <= count <= MAX_ARRAY_ELEMENTS or depth >= MAX_ARRAY_DEPTH:
            raise ProtocolError("too many elements")
        for _ in range(count):
            end = find_message_end(raw, end, depth + 1)
            if not end:
                return 0
        return end
    if not 0 <= count <= MAX_VALUE_BYTES:
        raise ValueTooLongError("value too long")
    end += count
    if raw[end : end + 2] not in (b"\r\n", b"\r", b""):
        raise ProtocolError("a value that is longer than announced")
    return end + 2 if len(raw) >= end + 2 else 0


class Parser:
    """Splits the bytes that are received on a connection into messages."""

    __slots__ = ("_at", "_raw")

    def __init__(self) -> None:
        self._raw, self._at = b"", 0

    def feed(self, data: bytes) -> None:
        """Adds received bytes."""
        self._raw = self._raw[self._at :] + data if self._at < len(self._raw) else data
        self._at = 0

    def next_message(self) -> Any:
        """Returns the next message, or False if its end has not been received. A status is a `str`."""
        start, end = self._at, find_message_end(self._raw, self._at)
        if not end:
            if len(self._raw) - start > MAX_PENDING_BYTES:
                raise ProtocolError("message too large")
            return False
        self._at = end
        if self._raw[start] == STATUS:
            return self._raw[start + 1 : end - 2].decode("ascii", "replace")
        reader = hiredis.Reader()
        reader.feed(self._raw, start, end - start)
        if end == len(self._raw):
            self._raw, self._at = b"", 0  # an idle connection then holds no buffer
        try:
            return reader.gets()
        except hiredis.ProtocolError as error:
            raise ProtocolError(str(error)) from None

    def unparsed(self) -> bytes:
        """Returns the bytes that are not parsed, and keeps them."""
        return self._raw[self._at :]

    def take_unparsed(self) -> bytes:
        """Returns and drops all bytes that are not parsed."""
        raw, self._raw, self._at = self._raw[self._at :], b"", 0
        return raw

    @property
    def buffered_bytes(self) -> int:
        """Returns the size of the buffer: of the bytes not parsed yet, and of parsed ones before them."""
        return len(self._raw)

    @property
    def unparsed_bytes(self) -> int:
        """Returns the number of bytes after the last message."""
        return len(self._raw) - self._at

    def has_unparsed(self) -> bool:
        """Returns whether there are bytes after the last message."""
        return self._at < len(self._raw)


def encode_bulk(value: bytes) -> bytes:
    """Encodes a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode_command(*parts: bytes) -> bytes:
    """Encodes a command, which is an array of bulk strings."""
    return b"*%d\r\n%b" % (len(parts), b"".join([encode_bulk(part) for part in parts]))


def encode_busy(retry_after_ms: float) -> bytes:
    """Encodes a rejection. The time is rounded up, so that no client is told to retry too early."""
    return b"-BUSY %d\r\n" % -int(-retry_after_ms // 1) if retry_after_ms > 0 else b"-BUSY\r\n"


def encode_error(text: str) -> bytes:
    """Encodes an error; characters that are not printable ASCII are replaced."""
    clean = "".join(c if " " <= c <= "~" else "?" for c in text)[:200]
    return b"-ERR " + clean.encode() + b"\r\n"
