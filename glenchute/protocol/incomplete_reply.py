"""What a server's reply that is not complete yet contains already.

A served reply is an array of the value, a usage or null, and a load report or null. Only the value is for the
client, so a whole one can be served although the elements after it have not come.
"""

from __future__ import annotations

import re

NULL_BULK = b"$-1\r\n"
VALUE_HEAD_PATTERN = re.compile(rb"\*3\r\n\$(0|[1-9][0-9]{0,8})\r\n")
LINE_BREAK = b"\r\n"


def may_begin_with_usage(trailer: bytes) -> bool:
    """Returns whether these first bytes after a value, perhaps none, may be those of a usage: an array or a
    null. A length prefix that reaches into the trailer is followed by something else."""
    return trailer.startswith(b"*") or NULL_BULK.startswith(trailer[: len(NULL_BULK)])


def whole_value(raw: bytes) -> bytes | None:
    """Returns the value of a reply that begins with these bytes, if it is whole; otherwise None."""
    head = VALUE_HEAD_PATTERN.match(raw)
    if head is None:
        return None
    end = head.end() + int(head[1])
    if raw[end : end + len(LINE_BREAK)] != LINE_BREAK:
        return None
    return raw[head.end() : end] if may_begin_with_usage(raw[end + len(LINE_BREAK) :]) else None
