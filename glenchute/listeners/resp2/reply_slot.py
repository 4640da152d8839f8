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

    __slots__ = (
        "active_request",
        "client",
        "deadline",
        "is_repeatable",
        "is_reply_expected",
        "reply",
        "request_id",
        "source",
    )

    def __init__(self, client: ClientConnection) -> None:
        self.client = client
        self.deadline = math.inf  # loop time of the request's deadline
        self.is_repeatable = True  # whether the client may send the command again without a second effect
        self.active_request: ActiveRequest | None = None
        self.reply: bytes | None = None
        self.source: ResponseSource | None = None  # set for a streamed reply
        self.request_id: bytes | None = None  # set while the id is reserved
        self.is_reply_expected = False  # whether memory is reserved for the reply

    def reserve(self, request_id: bytes) -> None:
        """Reserves the request id, and memory for the reply."""
        listener = self.client.listener
        listener.open_ids.add(request_id)
        self.request_id = request_id
        listener.client_memory.expect_reply()
        self.is_reply_expected = True

    def release(self) -> None:
        """Releases the request id, so that it may be used again, and the memory."""
        if self.request_id is not None:
            self.client.listener.open_ids.discard(self.request_id)
            self.request_id = None
        self.release_memory()

    def release_memory(self) -> None:
        """Releases the memory that is reserved for the reply."""
        if self.is_reply_expected:
            self.client.listener.client_memory.cancel_expected_reply()
            self.is_reply_expected = False

    def complete(self, answer: FinalResponse) -> None:
        """Stores the final response, which is written once all replies before it have been."""
        self.active_request = None
        if isinstance(answer, Streamed):
            self.source = answer.source  # the id stays reserved until the value has been written
            self.release_memory()  # it is relayed in chunks
        else:
            self.release()
            self.reply = encode_response(answer)
            self.client.listener.client_memory.record_reply(len(self.reply))
            self.client.count_reply_bytes(self.reply)
        self.client.flush()
