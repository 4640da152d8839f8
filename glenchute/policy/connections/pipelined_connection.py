"""One pipelined connection, sans I/O: the order of its commands, their bytes, and their outcomes.

The caller reports how many of the written bytes are still buffered; this module decides which commands are
written together, which command a reply belongs to, and how each ends when the connection closes. Commands are
tracked by their byte offsets in the output stream, so that the outcomes of a partially sent batch are exact.
Times are in milliseconds.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, NamedTuple, TypeVar

from ..events import Outcome

T = TypeVar("T")
# A command that is written less than this before a reply comes may not have reached the server by then.
NETWORK_DELAY_MS = 5.0


class CommandOutcome(NamedTuple, Generic[T]):
    """The outcome of one command when its connection was closed."""

    item: T
    outcome: Outcome


class PipelinedCommand(Generic[T]):
    """A command on a pipelined connection. `item`: the caller's object for it."""

    __slots__ = ("data", "end_offset", "is_cancelled", "item", "start_offset", "written_at_ms")

    def __init__(self, item: T, data: bytes) -> None:
        self.item = item
        self.data = data  # empty once it is written
        self.start_offset = self.end_offset = -1  # offsets in the output stream; -1 until written
        self.written_at_ms = 0.0
        self.is_cancelled = False  # the reply is still expected, but its result is not needed


class MatchedReply(NamedTuple, Generic[T]):
    """The command that a reply is matched to. An untrusted reply may belong to another command."""

    command: PipelinedCommand[T]
    is_trusted: bool


class CommandPipeline(Generic[T]):
    """The commands of one connection, in order.

    Each command is removed by exactly one of `match_reply`, `withdraw` and `close`. When the connection
    closes, a command of which no byte was sent ends as UNREACHABLE; any other may have run. No reply is
    matched to a command whose last byte had not been sent when the reply came.

    A server may send surplus bytes after a reply, and they would be taken for the reply to a command
    that was in transit at that time. So a reply is not trusted if its command was written less than
    `network_delay_ms` before the previous reply came (or later), and the reply comes less than `settle_ms`
    after that previous one.
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
        self.pending: deque[PipelinedCommand[T]] = deque()  # commands that are not written yet
        self.in_flight: deque[PipelinedCommand[T]] = deque()  # commands that are written, without a reply
        self.written_bytes = 0  # bytes handed to the transport
        self.sent_bytes = 0  # upper bound of the bytes that have left this machine
        self.last_reply_ms = -1e18
        self.network_delay_ms, self.settle_ms = network_delay_ms, settle_ms

    def __len__(self) -> int:
        """Returns the number of unfinished commands."""
        return len(self.pending) + len(self.in_flight)

    def append(self, item: T, data: bytes) -> PipelinedCommand[T]:
        """Appends a command to the pending ones and returns it."""
        command = PipelinedCommand(item, data)
        self.pending.append(command)
        return command

    def next_batch(
        self, now_ms: float, max_commands: int, max_bytes: int
    ) -> tuple[list[PipelinedCommand[T]], bytes]:
        """Moves the next pending commands to `in_flight`; returns them and their bytes for a single write.

        The first command is included whatever its size. Must not be called while bytes of the last batch are
        still buffered.
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
        """Records how many written bytes are known to be still buffered; all others may have been sent."""
        self.sent_bytes = max(self.sent_bytes, self.written_bytes - buffered_bytes)

    def may_be_sent(self, command: PipelinedCommand[T]) -> bool:
        """Returns whether any byte of the command may have been sent."""
        return 0 <= command.start_offset < self.sent_bytes

    def match_reply(self, now_ms: float) -> MatchedReply[T] | None:
        """Removes and returns the command of a complete reply; None for a surplus reply.

        A command whose reply is not trusted may have run.
        """
        if not self.in_flight or self.in_flight[0].end_offset > self.sent_bytes:
            return None
        command = self.in_flight.popleft()
        previous_ms, self.last_reply_ms = self.last_reply_ms, now_ms
        has_crossed = command.written_at_ms > previous_ms - self.network_delay_ms
        is_trusted = not (has_crossed and now_ms - previous_ms < self.settle_ms)
        return MatchedReply(command, is_trusted)

    def withdraw(self, command: PipelinedCommand[T]) -> bool:
        """Removes a command that is not written yet; returns False if it is written or was removed before."""
        if command.start_offset >= 0 or command not in self.pending:
            return False
        self.pending.remove(command)
        return True

    def close(
        self, cause: PipelinedCommand[T] | None = None, outcome: Outcome = Outcome.RESET
    ) -> list[CommandOutcome[T]]:
        """Removes all commands when the connection closes and returns their outcomes, in order.

        `cause`: the command because of which the connection is closed, if any, and `outcome` its outcome; the
        others end as reset. `update_sent` must have been called before.
        """
        outcomes: list[CommandOutcome[T]] = []
        for command in (*self.in_flight, *self.pending):
            if not self.may_be_sent(command):
                command_outcome = Outcome.UNREACHABLE
            elif command.is_cancelled:
                command_outcome = Outcome.CANCELLED
            else:
                command_outcome = outcome if command is cause else Outcome.RESET
            outcomes.append(CommandOutcome(command.item, command_outcome))
        self.in_flight.clear()
        self.pending.clear()
        return outcomes
