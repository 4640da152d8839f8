"""One pipelined connection, sans I/O: the order of its commands, their bytes, and each one's outcome.

The caller reports how many of the written bytes are still buffered; this module decides which commands are
written together, which command a reply belongs to, and how each ends when the connection closes. Offsets
count the bytes of the connection's output stream, so that a batch of which only a part was sent is resolved
exactly. Times are in milliseconds.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, NamedTuple, TypeVar

from ..events import Outcome

T = TypeVar("T")
NETWORK_DELAY_MS = 5.0  # a command written so shortly before a reply may not have reached the server by then


class CommandOutcome(NamedTuple, Generic[T]):
    """How one command ended when its connection was closed."""

    item: T
    outcome: Outcome


class PipelinedCommand(Generic[T]):
    """A command on a pipelined connection. `item` is the caller's."""

    __slots__ = ("data", "end_offset", "is_cancelled", "item", "start_offset", "written_at_ms")

    def __init__(self, item: T, data: bytes) -> None:
        self.item = item
        self.data = data  # emptied when written
        self.start_offset = self.end_offset = -1  # in the output stream, once written
        self.written_at_ms = 0.0
        self.is_cancelled = False  # nobody waits for the reply, but it keeps its position


class MatchedReply(NamedTuple, Generic[T]):
    """The command that a reply belongs to. A reply that is not trusted may belong to another one."""

    command: PipelinedCommand[T]
    is_trusted: bool


class CommandPipeline(Generic[T]):
    """The commands of one connection, in order.

    Each command leaves by exactly one of `match_reply`, `withdraw` and `close`. A command of which no byte
    was sent ends as UNREACHABLE, any other as one that may have run. No reply is matched to a command whose
    last byte had not been sent when it came.

    A server may send more than one reply's bytes while it sees nothing else pending. A command on its way at
    that time would take the surplus for its reply. So a reply is not trusted if its command was written less
    than `network_delay_ms` before the reply ahead came, and it comes less than `settle_ms` after that one.
    """

    __slots__ = (
        "in_flight",
        "last_reply_ms",
        "network_delay_ms",
        "pending",
        "sent_bytes",
        "settle_ms",
        "written_bytes",
    )

    def __init__(self, network_delay_ms: float = 0.0, settle_ms: float = 0.0) -> None:
        self.pending: deque[PipelinedCommand[T]] = deque()  # not written yet
        self.in_flight: deque[PipelinedCommand[T]] = deque()  # written, no reply yet
        self.written_bytes = 0  # handed to the transport
        self.sent_bytes = 0  # the most of them that can have left this machine
        self.last_reply_ms = -1e18
        self.network_delay_ms, self.settle_ms = network_delay_ms, settle_ms

    def __len__(self) -> int:
        """How many there are."""
        return len(self.pending) + len(self.in_flight)

    def append(self, item: T, data: bytes) -> PipelinedCommand[T]:
        """Queues a command behind all others."""
        command = PipelinedCommand(item, data)
        self.pending.append(command)
        return command

    def next_batch(
        self, now_ms: float, max_commands: int, max_bytes: int
    ) -> tuple[list[PipelinedCommand[T]], bytes]:
        """Takes the next commands to write together, and their bytes; the first goes whatever its size.

        Nothing may be written while some of the last batch is still buffered.
        """
        commands: list[PipelinedCommand[T]] = []
        parts: list[bytes] = []
        size_bytes = 0
        while self.pending and len(parts) < max_commands:
            command = self.pending[0]
            if parts and size_bytes + len(command.data) > max_bytes:
                break
            self.pending.popleft()
            command.start_offset = self.written_bytes
            self.written_bytes += len(command.data)
            command.end_offset, command.written_at_ms = self.written_bytes, now_ms
            size_bytes += len(command.data)
            parts.append(command.data)
            command.data = b""
            commands.append(command)
        self.in_flight += commands
        return commands, b"".join(parts)

    def update_sent(self, buffered_bytes: int) -> None:
        """So many of the written bytes are known to be buffered still; all others may have been sent."""
        self.sent_bytes = max(self.sent_bytes, self.written_bytes - buffered_bytes)

    def may_be_sent(self, command: PipelinedCommand[T]) -> bool:
        """Whether any byte of the command may have been sent."""
        return 0 <= command.start_offset < self.sent_bytes

    def match_reply(self, now_ms: float) -> MatchedReply[T] | None:
        """A complete reply was received: removes and returns its command; None for a surplus reply.

        A command whose reply is not trusted has run all the same.
        """
        if not self.in_flight or self.in_flight[0].end_offset > self.sent_bytes:
            return None
        command = self.in_flight.popleft()
        previous_ms, self.last_reply_ms = self.last_reply_ms, now_ms
        has_crossed = command.written_at_ms > previous_ms - self.network_delay_ms
        is_trusted = not (has_crossed and now_ms - previous_ms < self.settle_ms)
        return MatchedReply(command, is_trusted)

    def withdraw(self, command: PipelinedCommand[T]) -> bool:
        """Removes a command that was not written yet; False where it was, or has left already."""
        if command.start_offset >= 0 or command not in self.pending:
            return False
        self.pending.remove(command)
        return True

    def close(
        self, cause: PipelinedCommand[T] | None = None, outcome: Outcome = Outcome.RESET
    ) -> list[CommandOutcome[T]]:
        """The connection closes: removes all commands and returns how each ended, in order.

        `cause`: the command for which the connection is closed, if any, with its `outcome`; the others were
        reset. `update_sent` has to be called before.
        """
        outcomes: list[CommandOutcome[T]] = []
        for command in (*self.in_flight, *self.pending):
            if not self.may_be_sent(command):
                found = Outcome.UNREACHABLE
            elif command.is_cancelled:
                found = Outcome.CANCELLED
            else:
                found = outcome if command is cause else Outcome.RESET
            outcomes.append(CommandOutcome(command.item, found))
        self.in_flight.clear()
        self.pending.clear()
        return outcomes
