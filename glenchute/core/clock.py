"""The clock of the decision engine."""

from __future__ import annotations

import time


class Clock:
    """Unix time in milliseconds, read once and advanced by the monotonic clock, so that it never
    decreases."""

    def __init__(self) -> None:
        self._offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now_ms(self) -> float:
        """Returns the current time in milliseconds."""
        return self._offset_ms + time.monotonic() * 1000.0
