"""RESP2: encoding, and limits round hiredis' parser, which has none of its own on what it buffers."""

from __future__ import annotations

from typing import Any

import hiredis

MAX_VALUE = 64 * 1024  # the longest value that the protocol allows
MAX_PENDING = 2 * MAX_VALUE  # bytes of one message that may wait for its end
MAX_FRAMES = 99  # elements of a message; the protocol's own have five at most

PONG = b"+PONG\r\n"
OK = b"+OK\r\n"
FAILED = b"-ERR failed\r\n"
ReplyError = hiredis.ReplyError


class ProtocolError(Exception):
    """Bytes that are not RESP, or more of them than a message may have."""


class Parser:
    """One direction of a connection: bytes in, whole messages out."""

    __slots__ = ("_reader",)

    def __init__(self) -> None:
        self._reader = hiredis.Reader()

    def feed(self, data: bytes) -> None:
        """Takes bytes as they came; an absurd array is turned down before the parser makes room for it."""
        if data[:1] == b"*" and not self._reader.has_data():
            digits = data[1:12].split(b"\r", 1)[0]
            if digits.isdigit() and int(digits) > MAX_FRAMES:
                raise ProtocolError("too many elements")
        self._reader.feed(data)

    def next(self) -> Any:
        """The next whole message, or False if its end has not come yet."""
        try:
            message = self._reader.gets()
        except (hiredis.ProtocolError, MemoryError, RecursionError) as error:
            raise ProtocolError(str(error) or "message too large") from None
        if message is False and self._reader.len() > MAX_PENDING:
            # A length that is announced and never sent would otherwise fill the memory.
            raise ProtocolError("message too large")
        return message

    def rest(self) -> bool:
        """Whether bytes wait behind the last message."""
        return bool(self._reader.has_data())


def bulk(value: bytes) -> bytes:
    """A bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(*parts: bytes) -> bytes:
    """A command: an array of bulk strings."""
    return b"*%d\r\n%b" % (len(parts), b"".join([bulk(part) for part in parts]))


def busy(retry_after_ms: float) -> bytes:
    """A refusal; the time is rounded up, so that nobody is told to come back too early."""
    return b"-BUSY %d\r\n" % -int(-retry_after_ms // 1) if retry_after_ms > 0 else b"-BUSY\r\n"


def error(text: str) -> bytes:
    """An error line; line breaks and what is not ASCII can't stand in it."""
    clean = "".join(c if " " <= c <= "~" else "?" for c in text)[:200]
    return b"-ERR " + clean.encode() + b"\r\n"
