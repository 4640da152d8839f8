"""Reply slots, which keep RESP2 replies in the order of their commands."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from glenchute.core.active_request import ActiveRequest
from glenchute.core.types import FinalResponse, Rejected, ResponseSource, Served, Streamed
from glenchute.protocol import resp2 as resp

if TYPE_CHECKING:
    from .connection import ClientConnection


def encode_response(answer: FinalResponse) -> bytes:
    """Encodes a final response in RESP2; `Streamed` ones are written chunk by chunk instead."""
    if isinstance(answer, Served):
        return resp.encode_bulk(answer.value)
    if isinstance(answer, Rejected):
        return resp.encode_busy(answer.retry_after_ms)
    return resp.FAILED


class ReplySlot:
    """The reply of one command, at its position among the replies of the connection."""

    __slots__ = ("active_request", "client", "deadline", "reply", "request_id", "source")

    def __init__(self, client: ClientConnection) -> None:
        self.client = client
        self.deadline = math.inf  # loop time of the request's deadline
        self.active_request: ActiveRequest | None = None
        self.reply: bytes | None = None
        self.source: ResponseSource | None = None  # set for a streamed reply
        self.request_id: bytes | None = None  # set while the id is reserved

    def release(self) -> None:
        """Releases the request id, so that it may be used again."""
        if self.request_id is not None:
            self.client.listener.open_ids.discard(self.request_id)
            self.request_id = None

    def complete(self, answer: FinalResponse) -> None:
        """Stores the final response, which is written once all replies before it have been."""
        self.active_request = None
        if isinstance(answer, Streamed):
            self.source = answer.source  # the id stays reserved until the value has been written
        else:
            self.release()
            self.reply = encode_response(answer)
            self.client.count_reply_bytes(self.reply)
        self.client.flush()
