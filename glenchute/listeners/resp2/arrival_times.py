"""When the bytes of a connection arrived, so that a command's time counts from its last byte.

A command may be begun long after it has arrived: commands wait while there are too many before them, and
while their client does not read. No I/O; times are seconds of one monotonic clock.
"""

from __future__ import annotations

from collections import deque

RESOLUTION_S = 0.01  # bytes that arrive within this time of others count as arrived with them


class ArrivalTimes:
    """The arrival times of the bytes that have not been parsed yet."""

    __slots__ = ("_arrived_bytes", "_chunks", "_read_bytes")

    def __init__(self) -> None:
        self._arrived_bytes = 0  # total of the connection, read or not
        self._read_bytes = 0  # total of the connection
        self._chunks: deque[tuple[int, float]] = (
            deque()
        )  # total of bytes up to each chunk's end, and its time

    def record_read(self, now: float, size_bytes: int) -> None:
        """Records bytes that have been read; those not known before have arrived now."""
        self._read_bytes += size_bytes
        self._record_total(now, self._read_bytes)

    def record_unread(self, since: float, size_bytes: int) -> None:
        """Records that so many bytes are waiting to be read; those not known before have arrived since."""
        self._record_total(since, self._read_bytes + size_bytes)

    def _record_total(self, arrived_at: float, total_bytes: int) -> None:
        """Records that the bytes up to this total have arrived, if more than before."""
        if total_bytes <= self._arrived_bytes:
            return
        self._arrived_bytes = total_bytes
        if self._chunks and arrived_at - self._chunks[-1][1] < RESOLUTION_S:
            arrived_at = self._chunks.pop()[1]
        self._chunks.append((total_bytes, arrived_at))

    def last_byte_at(self, unparsed_bytes: int) -> float:
        """Returns when the last parsed byte arrived, given how many of the bytes read are not parsed yet.
        Forgets the chunks before it."""
        parsed_bytes = self._read_bytes - unparsed_bytes
        while len(self._chunks) > 1 and self._chunks[0][0] < parsed_bytes:
            self._chunks.popleft()
        return self._chunks[0][1]
