"""The quota state of one tenant at this gateway."""

from __future__ import annotations

import math

from ..record import record
from ..settings import Plan
from .epoch_markers import WindowCounter


@record(slots=True)
class Tenant:
    """What this gateway knows of one customer."""

    tenant_id: str
    plan: Plan
    gateway_spread: int
    updated_ms: float  # when the stores were last brought up to date
    bucket_units: float  # what the customer's global store is thought to hold
    local_units: float  # what this gateway's part of it holds; counts while the counter is mute
    ceiling_guard_units: float  # this gateway's part of the ceiling's store
    last_seen_ms: float
    credit_units: float = 1.0  # a trickle's share adds up here until it makes a request
    own_demand_per_s: float = 0.0  # own demand, units a second
    others_demand_per_s: float = 0.0  # the other gateways' use, units a second
    assumed_drain_units: float = 0.0  # units taken from the store for that since the last word
    attempts_in_flight: int = 0  # own attempts out
    largest_request_units: float = 1.0  # its largest request, units
    reported_own_units: float = 0.0  # of the units that the counter told of lately, the own ones ...
    reported_units: float = 0.0  # ... and all of them
    window_length_ms: float = 1000.0  # length of its windows
    window_start_ms: float = -math.inf  # start of the window whose name on the counter is in use
    counter_key: int = 0  # the counter's name for that window: units sent on or asked for, by all gateways
    window_counter: WindowCounter | None = None  # what its totals can be trusted to say
    is_last_call_complete: bool = False  # the last answer's call added all that its request asks for
    unreported_units: float = 0.0  # own units not yet added
    calls_in_flight: int = 0  # calls without an answer so far
    own_units_since_reply: float = 0.0  # own units added since the last answer
    counter_others_units: float = 0.0  # units of the others in this window, by the counter ...
    member_others_units: float = 0.0  # ... and by the members' own words; the larger one counts
    previous_window_units: float = math.nan  # the same of the window before; nan: nothing was heard in it
    reporting_fraction: float = 0.0  # the share of the gateways whose words these are, this one included
    usage_update_ms: float = -1e9  # as of then
    counter_total_units: float = 0.0  # the last total
    counter_total_ms: float = -1e9
    last_call_ms: float = -1e9
