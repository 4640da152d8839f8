"""Maps a server's RESP2 reply to the result of its attempt."""

from __future__ import annotations

import re
from typing import Any

from glenchute.core.types import AttemptResult
from glenchute.policy.events import Outcome
from glenchute.protocol import resp2

RESPONSE_STALL_S = 0.25  # an incomplete response without new bytes for this long has failed
VALUE_REPLY_LENGTH = 3  # elements: value, unused, load report
REJECTED_TEXT = "BUSY"
FAILED_TEXT = "ERR failed"
LOAD_REPORT = re.compile(r"[a-z_0-9]+=[0-9.]+(,[a-z_0-9]+=[0-9.]+)*")


def result_of(reply: Any) -> AttemptResult:
    """Returns the result of a complete reply, by the platform's protocol.

    Any reply that does not match a known form exactly is an error: a reply that was corrupted in transit
    belongs to a request that has run, so it must neither be served nor be treated as a rejection.
    """
    if isinstance(reply, list) and len(reply) == VALUE_REPLY_LENGTH and isinstance(reply[0], bytes):
        return AttemptResult(Outcome.OK, reply[0], reply[2] if isinstance(reply[2], bytes) else None, True)
    if isinstance(reply, resp2.ReplyError):
        return _error_result(str(reply))
    return AttemptResult(Outcome.ERROR)


def _error_result(message: str) -> AttemptResult:
    """Returns the result of an error reply, whose last word may be a load report."""
    text, _, last_word = message.rpartition(" ")
    report = last_word.encode() if LOAD_REPORT.fullmatch(last_word) else None
    if report is None:
        text = message
    if text == REJECTED_TEXT:
        return AttemptResult(Outcome.REJECTED, None, report, True)
    return AttemptResult(Outcome.ERROR, None, report, text == FAILED_TEXT)
