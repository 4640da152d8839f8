"""When a connection that is coming up counts as late, and whether a second one may be opened beside it.

Nothing has been written on the first then, so that nothing can have run: unlike a second copy of a request
this is free of any rule on repeats. The wait before the second is that of Happy Eyeballs (RFC 8305, section
5): drawn from what connections take here, and never under 10 ms. What seconds may cost is bounded by server
as by a retry budget (Finagle's `RetryBudget`): one where no connection comes up gets one second and no more.
"""

from __future__ import annotations

LATE_TIMES = 4.0  # as long as half of the connections take, and late
SHORTEST_S = 0.01  # RFC 8305's least delay: below that one's own pauses pass for the network's
STEP = 1.1
SHARE = 0.5  # of the connections that came up: seconds that these allow
MOST_KEPT = 2.0  # seconds that a server's budget holds


class Usual:
    """What half of the new connections take, followed in steps of a tenth: a few that take very long or never
    come up count as one step each, however long they took."""

    __slots__ = ("connect_s", "median_s")

    def __init__(self, connect_s: float) -> None:
        self.connect_s = connect_s  # the time-out
        self.median_s = connect_s / LATE_TIMES / LATE_TIMES

    def took(self, seconds: float) -> None:
        """A connection came up after so long."""
        longer = seconds > self.median_s
        least = SHORTEST_S / LATE_TIMES  # less makes no wait shorter, and from nothing no step leads anywhere
        self.median_s = max(least, self.median_s * (STEP if longer else 1.0 / STEP))
        self.median_s = min(self.connect_s / LATE_TIMES, self.median_s)

    def given_up(self, seconds: float) -> None:
        """One was given up after so long, still coming up: that tells something only if it is long."""
        if seconds > self.median_s:
            self.took(seconds)

    def late_after(self, connect_s: float) -> float | None:
        """The wait before a second connection, for an attempt that can wait so long for one; None: the second
        would have less time than the first had."""
        wait = max(SHORTEST_S, LATE_TIMES * self.median_s)
        return wait if 2.0 * wait <= connect_s else None


class Budget:
    """Second connections that one server may be asked for."""

    __slots__ = ("seconds",)

    def __init__(self) -> None:
        self.seconds = 1.0

    def came_up(self) -> None:
        """A connection to it came up."""
        self.seconds = min(MOST_KEPT, self.seconds + SHARE)

    def spend(self) -> bool:
        """Whether one may be opened; it is counted."""
        if self.seconds < 1.0:
            return False
        self.seconds -= 1.0
        return True
