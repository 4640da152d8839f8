"""How many attempts may stand on one connection to a node: a limit that turns itself down where it hurts.

The gradient rule of Netflix's concurrency-limits ("Performance Under Load", 2018, `Gradient2Limit`), itself
after TCP Vegas (Brakmo, Peterson, 1995): the limit is multiplied by what a reply is expected to take over
what replies of those that stood behind others do take, and given a little room to grow by; trouble halves it,
as in AIMD (Chiu, Jain, 1989). It says nothing of how much a node is sent, which is the decision module's
alone: only of how much of that shares a connection.
"""

from __future__ import annotations

import math

TOLERANCE = 1.5  # held back by half of its expected time, an attempt is thought no worse off
SMOOTH = 0.2  # share of a step that is taken
SAMPLES = 8  # replies for one step
RATIO_SMOOTH = 0.25


class Depth:
    """The limit at one node. Always from 1 to `most`."""

    __slots__ = ("alone", "limit", "most", "ratio", "seen")

    def __init__(self, most: int, start: float | None = None) -> None:
        self.most = max(1, most)
        self.limit = min(float(self.most), max(1.0, start if start is not None else self.most / 2.0))
        self.ratio = 1.0  # of those behind others: time taken over time expected
        self.seen = 0
        self.alone = 0

    def whole(self) -> int:
        """The limit as a number of attempts."""
        return int(self.limit)

    def replied(self, ratio: float, behind: bool) -> None:
        """An answer: its time over the expected one, and whether it had stood behind another."""
        if behind:
            self.ratio += RATIO_SMOOTH * (min(ratio, 8.0) - self.ratio)
            self.seen += 1
            if self.seen >= SAMPLES:
                self.step()
        else:
            # At a limit of one nothing stands behind anything: sound replies alone must bring it back.
            self.alone = self.alone + 1 if ratio < TOLERANCE else 0
            if self.alone >= SAMPLES and self.limit < 2.0:
                self.limit, self.ratio, self.alone = min(float(self.most), self.limit + 0.25), 1.0, 0

    def step(self) -> None:
        """One step of the gradient rule."""
        self.seen = 0
        gradient = max(0.5, min(1.0, TOLERANCE / max(self.ratio, 1e-6)))
        wanted = self.limit * gradient + math.sqrt(self.limit)
        if gradient < 1.0:
            wanted = min(wanted, self.limit * gradient + 0.5)  # Vegas's room would undo a small cut
        self.limit = max(1.0, min(float(self.most), self.limit + SMOOTH * (wanted - self.limit)))

    def trouble(self) -> None:
        """A line was condemned, timed out or broke: half, at once."""
        self.limit = max(1.0, self.limit / 2.0)
        self.seen = self.alone = 0
