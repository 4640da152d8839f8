"""Decides how long a streamed value is buffered before its first byte is written to a client.

A value that breaks off after its first byte can only end with the client's connection, and the replies to
all commands behind it with it. So while commands have been received behind it, it is buffered: it then either
is written whole, or fails in its place, and the replies behind it follow. The time for that is limited, as
the client waits for bytes that the server has sent already. When it is over, the value is streamed if all
commands behind it can be repeated, and fails if one can't: that one may have run, and its reply must not be
lost. Where there is no memory for the value, one with repeatable commands behind it is streamed at once.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from glenchute.core.types import ResponseSource

if TYPE_CHECKING:
    from .connection import ClientConnection
    from .reply_slot import ReplySlot

MAX_BUFFERING_S = 1.5  # bytes that a server has sent may be held back for less than 2 s
DEADLINE_MARGIN_S = 0.02  # time before the request's deadline that is left for writing the reply


class ValueBuffering:
    """Buffers the streamed value that is next in order on a connection; `is_over` when it may be written."""

    def __init__(self, client: ClientConnection, slot: ReplySlot, source: ResponseSource) -> None:
        self.client = client
        self.source = source
        self.is_over = False
        self.timer: asyncio.TimerHandle | None = None
        loop = client.listener.loop
        now = loop.time()
        end = now + MAX_BUFFERING_S
        if slot.deadline > now:  # otherwise it has waited for the replies before it, which does not count
            end = min(end, slot.deadline - DEADLINE_MARGIN_S)
        self.timer = loop.call_at(end, self.on_time_over)
        if not source.buffer_whole(self.on_received) and self.are_followers_repeatable():
            self.cancel()

    def are_followers_repeatable(self) -> bool:
        """Returns whether all commands behind the value can be repeated."""
        return all(slot.is_repeatable for slot in list(self.client.slots)[1:])

    def on_received(self) -> None:
        """Writes the value, which is whole or has failed, and the replies behind it."""
        self.cancel()
        self.client.flush()

    def on_time_over(self) -> None:
        """Streams the value, or lets it fail for a command behind it that can't be repeated."""
        self.cancel()
        if not self.are_followers_repeatable():
            self.source.fail()
        self.client.flush()

    def fail(self) -> None:
        """Lets a value fail that is not whole, at the end of the process."""
        if not self.is_over:
            self.cancel()
            self.source.fail()
            self.client.flush()

    def cancel(self) -> None:
        """Ends the buffering and its timer."""
        self.is_over = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
