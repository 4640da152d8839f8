"""How long attempts take, by class and node, as far as it can be known on connections that answer in order.

A decaying histogram for each class over all nodes, and a pace for each node against it. The histogram's
buckets grow geometrically; decay is "forward" (Cormode, Shkapenyuk, Srivastava, Xu: Forward Decay, ICDE
2009): new samples weigh more instead of old ones less, so that adding costs no pass over the buckets.

A reply that comes right behind another was done at some time before that: all that is known is the most that
it can have taken. Leaving such samples out would keep the long ones only; counting them as told would charge
a command with its neighbour's time. They are spread over the buckets below in proportion to what stands there
(one step of Turnbull's estimate for left-censored data, 1976). Times are milliseconds.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable

LEAST_MS = 0.1  # the first bucket ends here
RATIO = 1.25
BUCKETS = 64  # up to 0.1 * 1.25^63 = 127 s
EDGES = [LEAST_MS * RATIO**i for i in range(BUCKETS)]  # upper edges
MIDDLES = [edge / math.sqrt(RATIO) for edge in EDGES]
DECAY_MS = 20_000.0  # time constant
RESCALE = 60.0  # time constants after which weights are brought down again: e^60 is far from overflow
KNOWN = 20.0  # weight from which a distribution may be relied on
LEAST_PACE, MOST_PACE = 0.25, 4.0  # a node's pace says little beyond this: it is then stalled, not slow


class Times:
    """A decaying distribution of times."""

    __slots__ = ("_adds", "_below", "_every", "_mean", "_weight", "counts", "total", "zero")

    def __init__(self) -> None:
        self.counts = [0.0] * BUCKETS
        self.total = 0.0
        self.zero = 0.0  # weights are told against this moment
        # Shares and mean are taken anew only after some more samples, a fiftieth of what is there: a sample
        # costs no pass over the buckets, and hides nothing for longer.
        self._below: list[float] = [0.0] * BUCKETS
        self._mean = 0.0
        self._adds = self._every = 0
        self._weight = 1.0  # of the last sample

    def weight(self, now: float) -> float:
        """What one sample of this moment weighs."""
        age = (now - self.zero) / DECAY_MS
        if age > RESCALE:
            factor = math.exp(-age)
            self.counts = [count * factor for count in self.counts]
            self.total = sum(self.counts)
            self.zero, age, self._every = now, 0.0, 0
        self._weight = math.exp(age)
        return self._weight

    def known(self, now: float) -> float:
        """How many samples of this moment all that is there is worth."""
        return self.total / self.weight(now)

    def add(self, now: float, ms: float) -> None:
        """A time that was seen whole."""
        at = min(BUCKETS - 1, bisect_right(EDGES, max(0.0, ms)))
        weight = self.weight(now)
        self.counts[at] += weight
        self.total += weight
        self._adds += 1

    def add_at_most(self, now: float, ms: float) -> None:
        """A time of which only the most is known."""
        at = min(BUCKETS - 1, bisect_right(EDGES, max(0.0, ms)))
        weight = self.weight(now)
        mass = sum(self.counts[: at + 1])
        if mass <= 0.0:
            self.counts[at] += weight
        else:
            factor = 1.0 + weight / mass
            for i in range(at + 1):
                self.counts[i] *= factor
        self.total += weight
        self._adds += 1

    def below(self) -> list[float]:
        """The share at or under each bucket's upper edge."""
        if self._adds and self._adds >= self._every:
            self.total = whole = max(sum(self.counts), 1e-300)
            run = 0.0
            made = []
            for count in self.counts:
                run += count
                made.append(min(1.0, run / whole))
            self._below = made
            self._mean = sum(c * m for c, m in zip(self.counts, MIDDLES, strict=True)) / whole
            self._every = min(32, int(whole / self._weight / 50.0))
            self._adds = 0
        return self._below

    def cdf(self, ms: float) -> float:
        """The share that takes no longer than this; linear inside a bucket."""
        if ms <= 0.0 or not self.total:
            return 0.0
        at = bisect_right(EDGES, ms)
        if at >= BUCKETS:
            return 1.0
        shares = self.below()
        low = shares[at - 1] if at else 0.0
        start = EDGES[at - 1] if at else 0.0
        return low + (shares[at] - low) * (ms - start) / (EDGES[at] - start)

    def quantile(self, share: float) -> float:
        """The time that this share does not pass: a bucket's upper edge, 25 % too long at most; 0 of none."""
        if not self.total:
            return 0.0
        return EDGES[min(BUCKETS - 1, bisect_right(self.below(), max(0.0, share - 1e-12)))]

    def mean(self) -> float:
        """The mean; 0 of none."""
        self.below()
        return self._mean


class Rest:
    """The time left of one that is not done; an age below 0 says that it begins only then."""

    __slots__ = ("age", "before", "pace", "times")

    def __init__(self, times: Times, pace: float, age: float) -> None:
        self.times, self.pace, self.age = times, pace, age
        self.before = times.cdf(age / pace)

    def by(self, ms: float) -> float:
        """The chance that it is done so long from now."""
        if self.before >= 1.0 - 1e-9:
            # Older than all that was seen: it may stand for ever. As much again as it has stood is the guess
            # that suits any scale (Lindy's).
            return ms / (ms + self.age) if ms > 0 else 0.0
        return max(0.0, (self.times.cdf((self.age + ms) / self.pace) - self.before) / (1.0 - self.before))


class ServiceTimes:
    """Distributions by class, paces by node. Bounded: a class is one of the settings', a node is forgotten
    when it leaves the list."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.classes = {name: Times() for name in classes}
        self.paces: dict[str, float] = {}

    def pace(self, node: str) -> float:
        """How much longer this node takes than the fleet does."""
        return min(MOST_PACE, max(LEAST_PACE, self.paces.get(node, 1.0)))

    def known(self, now: float, class_name: str) -> bool:
        """Whether there is enough to go by."""
        return self.classes[class_name].known(now) >= KNOWN

    def mean(self, class_name: str, node: str) -> float:
        """The mean at a node."""
        return self.classes[class_name].mean() * self.pace(node)

    def quantile(self, class_name: str, node: str, share: float) -> float:
        """A quantile at a node."""
        return self.classes[class_name].quantile(share) * self.pace(node)

    def rest(self, class_name: str, node: str, age: float = 0.0) -> Rest:
        """What is left of one that is `age` old and not done."""
        return Rest(self.classes[class_name], self.pace(node), age)

    def done_by(self, class_name: str, node: str, ms: float, age: float = 0.0) -> float:
        """The chance that what is `age` old and not done is done by `ms` from now."""
        return self.rest(class_name, node, age).by(ms)

    def add(self, now: float, class_name: str, node: str, ms: float, censored: bool) -> None:
        """A reply came after so long; `censored` where it may have been done before that."""
        times = self.classes[class_name]
        if censored:
            times.add_at_most(now, ms)
            return
        mean = times.mean()
        times.add(now, ms)
        if mean > 0:
            pace = self.paces.get(node, 1.0)
            self.paces[node] = pace + 0.1 * (min(MOST_PACE, ms / mean) - pace)

    def forget(self, node: str) -> None:
        """A node that is gone, or a new process at its place."""
        self.paces.pop(node, None)
