"""The estimate of what the servers can take, and which requests are shed when it binds."""

from __future__ import annotations

import math

from .windows import WINDOW_S

ANSWERS = 8  # answers that a judgement of V needs ...
TOLERATED = 0.5  # median time of answers against their aims that V settles at in overload
MOST_SPAN_S = 4.0  # ... or this long
HEARD = 0.25  # of the time that answers take, what each new one tells


class CapacityEstimate:
    """V: what the back end can take, and who gives way when it binds."""

    def __init__(self) -> None:
        self.backlog = 0.0  # own work out, in ms of mean service
        self.done = self.peak = 0.0  # own work answered, ms a second, and the most of it lately
        self.done_at, self.born = 0.0, math.inf
        self.capacity = math.inf  # units a second
        self.at: float | None = None
        self.times: list[float] = []  # the window's answers, time against aim
        self.demand: dict[float, float] = {}  # units in this window, by what a unit earns
        self.last: dict[float, float] = {}
        self.credit: dict[float, float] = {}
        self.part = 1.0  # this gateway's part of the servers
        self.took = 0.2  # mean time of the last answers, seconds; soon forgotten: what was slow may be well
        self.size = 1.0  # mean units of a request
        self.well = 0  # windows in a row that were well

    def window(self, now: float, ages: list[float]) -> None:
        """At a window's end: V shrinks while answers come late, else grows by a fifth, by a fifth more for
        each window in a row that was well. The median tells, so that a few sick servers don't count; requests
        out count by age, or a hung fleet would look idle. A window says as much as was seen in it."""
        if self.at is None:
            self.at = now
        span = (now - self.at) / 1000.0
        if span < WINDOW_S or (len(self.times) < ANSWERS and span < MOST_SPAN_S):
            return
        seen = sorted(self.times + ages)
        lateness = seen[len(seen) // 2] if seen else 0.0
        sure = min(1.0, len(seen) / ANSWERS)
        if lateness > TOLERATED:
            # What few tell, or came while nobody asked, is no bound on what the back end can do.
            offered = max(sum(self.demand.values()) / span, sum(self.last.values()))
            self.capacity = min(self.capacity, offered / sure)
        # A smooth answer: what many gateways hear differs by chance, their sum should not. Three tenths off
        # at most, as one bad window says little of what the back end can do in the next.
        factor = max(0.7, 1.0 + TOLERATED - lateness)
        self.well = self.well + 1 if lateness < 0.5 * TOLERATED else 0
        factor = 1.0 + sure * (factor - 1.0) if factor < 1.0 else min(1.2, factor) ** max(1, self.well)
        self.capacity = factor * max(self.capacity, self.floor)  # from nothing, no factor leads anywhere
        weight = min(1.0, len(self.times) / (2.0 * ANSWERS))
        for value in dict.fromkeys([*self.last, *self.demand]):
            new = self.demand.pop(value, 0.0) / span
            self.last[value] = self.last.get(value, new) * (1.0 - weight) + new * weight
        if self.capacity > 3.0 * sum(self.last.values()):
            self.capacity = math.inf
        self.times, self.at = [], now

    def stood(self, now: float) -> None:
        """This process stood still: the window holds nothing to judge by, and the pace is of long ago."""
        self.times, self.demand, self.at, self.done, self.born = [], {}, now, 0.0, now

    @property
    def floor(self) -> float:
        """What the back end surely bears of this gateway: one request at a time at each server, over all
        gateways, lasts as long as answers now take. It rises with each quick answer and without a window's
        end, so that V finds its way back from wherever it fell to."""
        return self.part / self.took * self.size

    def heard(self, took: float, aim: float) -> None:
        """Books the time, in ms, of an answer or of one that did not come in time."""
        self.times.append(took / aim)
        self.took = max(0.001, self.took + HEARD * (took / 1000.0 - self.took))

    def answered(self, now: float, work: float) -> None:
        """Books work that an answer brought back."""
        dt = (now - self.done_at) / 1000.0
        if dt > MOST_SPAN_S:  # the pace of long ago is not the pace of now: it is taken anew, as at the start
            self.done, self.born = 0.0, now
        self.done = self.done * math.exp(-dt / 2.0) + work / 2.0
        self.born = min(self.born, now)
        grown = 1.0 - math.exp(-(now - self.born + 200.0) / 2000.0)  # a mean that began at nothing
        self.peak = max(self.done / grown, self.peak * math.exp(-dt / 8.0))
        self.done_at = now

    def admit(self, value: float, units: float, aim: float, many: bool) -> bool:
        """Greedy fill: the dearest units first, the share of the marginal kind by its credit."""
        self.demand[value] = self.demand.get(value, 0.0) + units
        self.size += 0.05 * (units - self.size)
        dearer = sum(n for v, n in self.last.items() if v > value)
        if self.peak > 0 and many:
            # A surge fills the servers' queues long before late answers show it. What is out, at the pace at
            # which answers come, tells how late a new one would be; the cheap give way first.
            rank = dearer / max(sum(self.last.values()), 1e-9)
            if self.backlog / self.peak * 1000.0 > aim * (0.5 - 0.2 * rank):
                return False
        if self.capacity == math.inf:
            return True
        room = max(self.capacity, self.floor) - dearer
        share = min(1.0, max(0.0, room / max(self.last.get(value, 0.0), 1e-9)))
        credit = min(2.0 * units, self.credit.get(value, units) + share * units)
        admitted = credit >= units
        self.credit[value] = credit - units if admitted else credit
        return admitted
