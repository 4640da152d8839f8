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
        self.backlog_ms = 0.0  # own work out, in ms of mean service
        self.completed_ms_per_s = self.peak_ms_per_s = (
            0.0  # own work answered, ms a second, and the most of it lately
        )
        self.completed_at_ms, self.measured_since_ms = 0.0, math.inf
        self.capacity_per_s = math.inf  # units a second
        self.window_start_ms: float | None = None
        self.latency_ratios: list[float] = []  # the window's answers, time against aim
        self.window_units: dict[float, float] = {}  # units in this window, by what a unit earns
        self.demand_per_s: dict[float, float] = {}
        self.credit_units: dict[float, float] = {}
        self.servers_per_gateway = 1.0  # this gateway's part of the servers
        self.mean_latency_s = (
            0.2  # mean time of the last answers, seconds; soon forgotten: what was slow may be well
        )
        self.mean_request_units = 1.0  # mean units of a request
        self.good_windows = 0  # windows in a row that were well

    def end_window(self, now: float, ages: list[float]) -> None:
        """At a window's end: V shrinks while answers come late, else grows by a fifth, by a fifth more for
        each window in a row that was well. The median tells, so that a few sick servers don't count; requests
        out count by age, or a hung fleet would look idle. A window says as much as was seen in it."""
        if self.window_start_ms is None:
            self.window_start_ms = now
        span = (now - self.window_start_ms) / 1000.0
        if span < WINDOW_S or (len(self.latency_ratios) < ANSWERS and span < MOST_SPAN_S):
            return
        seen = sorted(self.latency_ratios + ages)
        lateness = seen[len(seen) // 2] if seen else 0.0
        sure = min(1.0, len(seen) / ANSWERS)
        if lateness > TOLERATED:
            # What few tell, or came while nobody asked, is no bound on what the back end can do.
            offered = max(sum(self.window_units.values()) / span, sum(self.demand_per_s.values()))
            self.capacity_per_s = min(self.capacity_per_s, offered / sure)
        # A smooth answer: what many gateways hear differs by chance, their sum should not. Three tenths off
        # at most, as one bad window says little of what the back end can do in the next.
        factor = max(0.7, 1.0 + TOLERATED - lateness)
        self.good_windows = self.good_windows + 1 if lateness < 0.5 * TOLERATED else 0
        factor = (
            1.0 + sure * (factor - 1.0) if factor < 1.0 else min(1.2, factor) ** max(1, self.good_windows)
        )
        self.capacity_per_s = factor * max(
            self.capacity_per_s, self.floor_per_s
        )  # from nothing, no factor leads anywhere
        weight = min(1.0, len(self.latency_ratios) / (2.0 * ANSWERS))
        for value in dict.fromkeys([*self.demand_per_s, *self.window_units]):
            new = self.window_units.pop(value, 0.0) / span
            self.demand_per_s[value] = self.demand_per_s.get(value, new) * (1.0 - weight) + new * weight
        if self.capacity_per_s > 3.0 * sum(self.demand_per_s.values()):
            self.capacity_per_s = math.inf
        self.latency_ratios, self.window_start_ms = [], now

    def reset_after_stall(self, now: float) -> None:
        """This process stood still: the window holds nothing to judge by, and the pace is of long ago."""
        (
            self.latency_ratios,
            self.window_units,
            self.window_start_ms,
            self.completed_ms_per_s,
            self.measured_since_ms,
        ) = [], {}, now, 0.0, now

    @property
    def floor_per_s(self) -> float:
        """What the back end surely bears of this gateway: one request at a time at each server, over all
        gateways, lasts as long as answers now take. It rises with each quick answer and without a window's
        end, so that V finds its way back from wherever it fell to."""
        return self.servers_per_gateway / self.mean_latency_s * self.mean_request_units

    def record_latency(self, took: float, aim: float) -> None:
        """Books the time, in ms, of an answer or of one that did not come in time."""
        self.latency_ratios.append(took / aim)
        self.mean_latency_s = max(0.001, self.mean_latency_s + HEARD * (took / 1000.0 - self.mean_latency_s))

    def record_completed(self, now: float, work: float) -> None:
        """Books work that an answer brought back."""
        dt = (now - self.completed_at_ms) / 1000.0
        if dt > MOST_SPAN_S:  # the pace of long ago is not the pace of now: it is taken anew, as at the start
            self.completed_ms_per_s, self.measured_since_ms = 0.0, now
        self.completed_ms_per_s = self.completed_ms_per_s * math.exp(-dt / 2.0) + work / 2.0
        self.measured_since_ms = min(self.measured_since_ms, now)
        grown = 1.0 - math.exp(
            -(now - self.measured_since_ms + 200.0) / 2000.0
        )  # a mean that began at nothing
        self.peak_ms_per_s = max(self.completed_ms_per_s / grown, self.peak_ms_per_s * math.exp(-dt / 8.0))
        self.completed_at_ms = now

    def admit(self, value: float, units: float, aim: float, many: bool) -> bool:
        """Greedy fill: the dearest units first, the share of the marginal kind by its credit."""
        self.window_units[value] = self.window_units.get(value, 0.0) + units
        self.mean_request_units += 0.05 * (units - self.mean_request_units)
        dearer = sum(n for v, n in self.demand_per_s.items() if v > value)
        if self.peak_ms_per_s > 0 and many:
            # A surge fills the servers' queues long before late answers show it. What is out, at the pace at
            # which answers come, tells how late a new one would be; the cheap give way first.
            rank = dearer / max(sum(self.demand_per_s.values()), 1e-9)
            if self.backlog_ms / self.peak_ms_per_s * 1000.0 > aim * (0.5 - 0.2 * rank):
                return False
        if self.capacity_per_s == math.inf:
            return True
        room = max(self.capacity_per_s, self.floor_per_s) - dearer
        share = min(1.0, max(0.0, room / max(self.demand_per_s.get(value, 0.0), 1e-9)))
        credit = min(2.0 * units, self.credit_units.get(value, units) + share * units)
        admitted = credit >= units
        self.credit_units[value] = credit - units if admitted else credit
        return admitted
