"""Load shedding: which requests are rejected when the servers have no capacity for all.

Two rules, each in favour of the units with the higher value:

- While the backlog would take too long, requests are shed at once: a surge fills the servers' queues long
  before late responses show it.
- While the capacity estimate binds, units of higher value are admitted first; of the marginal value, only the
  fraction that still fits.
"""

from __future__ import annotations

import math

from .backlog import Backlog
from .capacity import CapacityEstimate

BACKLOG_WAIT_FRACTION = 0.5  # of a latency objective that the backlog may take, for the highest value ...
LOW_VALUE_REDUCTION = 0.2  # ... and so much less for the lowest
MOST_CREDIT_REQUESTS = 2.0  # a credit holds so many times the request's units at most


class LoadShedder:
    """Admits or sheds requests by the value of a unit (class weight times plan price)."""

    def __init__(self) -> None:
        self.capacity = CapacityEstimate()
        self.backlog = Backlog()
        self.credit_units: dict[
            float, float
        ] = {}  # by value of a unit: granted units that no request used yet

    def admit(self, value: float, units: float, objective_ms: float, is_busy: bool) -> bool:
        """Whether a request goes on. `objective_ms`: its class's latency objective; `is_busy`: enough
        attempts are in flight to judge the servers by."""
        capacity = self.capacity
        capacity.record_demand(value, units)
        higher_per_s = sum(n for v, n in capacity.demand_per_s.items() if v > value)
        if self.backlog.peak_ms_per_s > 0 and is_busy:
            higher_fraction = higher_per_s / max(sum(capacity.demand_per_s.values()), 1e-9)
            most_wait_ms = objective_ms * (BACKLOG_WAIT_FRACTION - LOW_VALUE_REDUCTION * higher_fraction)
            if self.backlog.wait_ms > most_wait_ms:
                return False
        if capacity.capacity_per_s == math.inf:
            return True
        return self.take_credit(value, units, higher_per_s)

    def take_credit(self, value: float, units: float, higher_per_s: float) -> bool:
        """Whether a request of this value fits beside the demand of higher value."""
        left_per_s = max(self.capacity.capacity_per_s, self.capacity.floor_per_s) - higher_per_s
        demand_per_s = max(self.capacity.demand_per_s.get(value, 0.0), 1e-9)
        fraction = min(1.0, max(0.0, left_per_s / demand_per_s))
        known = self.credit_units.get(value, units)
        credit = min(MOST_CREDIT_REQUESTS * units, known + fraction * units)
        admitted = credit >= units
        self.credit_units[value] = credit - units if admitted else credit
        return admitted

    def reset_after_stall(self, now_ms: float) -> None:
        """This process stood still: what was measured meanwhile says nothing of the servers."""
        self.capacity.reset_after_stall(now_ms)
        self.backlog.reset_after_stall(now_ms)
