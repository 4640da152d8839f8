"""Load shedding: which requests are rejected when the servers lack capacity for all of them.

Two rules apply, both in favour of units with a higher value:

- While the backlog would take too long to complete, requests are shed immediately, as a surge fills the
  servers' queues long before responses come late.
- While the capacity estimate is exceeded, units of higher value are admitted first. Of the demand at the
  lowest value that is admitted at all, only the fraction that fits is admitted.
"""

from __future__ import annotations

import math

from .backlog import Backlog
from .capacity import CapacityEstimate

# Fraction of its latency objective that a request of the highest value may wait for the backlog.
BACKLOG_WAIT_FRACTION = 0.5
LOW_VALUE_REDUCTION = 0.2  # subtracted from `BACKLOG_WAIT_FRACTION` for a request of the lowest value
MAX_CREDIT_REQUESTS = 2.0  # largest credit, in multiples of the request's units


class LoadShedder:
    """Admits or sheds requests by the value of their units: class weight times plan price."""

    def __init__(self) -> None:
        self.capacity = CapacityEstimate()
        self.backlog = Backlog()
        # Granted units that no request has used yet, by value of a unit.
        self.credit_units: dict[float, float] = {}

    def admit(self, value: float, units: float, objective_ms: float, is_busy: bool) -> bool:
        """Returns whether a request is admitted. `objective_ms`: the latency objective of its class;
        `is_busy`: enough attempts are in flight for the backlog to be meaningful."""
        capacity = self.capacity
        capacity.record_demand(value, units)
        higher_per_s = sum(n for v, n in capacity.demand_per_s.items() if v > value)
        if self.backlog.peak_ms_per_s > 0 and is_busy:
            higher_fraction = higher_per_s / max(sum(capacity.demand_per_s.values()), 1e-9)
            max_wait_ms = objective_ms * (BACKLOG_WAIT_FRACTION - LOW_VALUE_REDUCTION * higher_fraction)
            if self.backlog.wait_ms(capacity.servers_per_gateway) > max_wait_ms:
                return False
        if capacity.capacity_per_s == math.inf:
            return True
        return self.take_credit(value, units, higher_per_s)

    def take_credit(self, value: float, units: float, higher_per_s: float) -> bool:
        """Returns whether the estimated capacity admits a request of this value in addition to the demand of
        higher value; takes its units from the credit if so."""
        left_per_s = max(self.capacity.capacity_per_s, self.capacity.floor_per_s) - higher_per_s
        demand_per_s = max(self.capacity.demand_per_s.get(value, 0.0), 1e-9)
        fraction = min(1.0, max(0.0, left_per_s / demand_per_s))
        old_credit = self.credit_units.get(value, units)
        credit = min(MAX_CREDIT_REQUESTS * units, old_credit + fraction * units)
        admitted = credit >= units
        self.credit_units[value] = credit - units if admitted else credit
        return admitted

    def reset_after_stall(self, now_ms: float) -> None:
        """Discards measurements after a stall of this process, as they say nothing about the servers."""
        self.capacity.reset_after_stall(now_ms)
        self.backlog.reset_after_stall(now_ms)
