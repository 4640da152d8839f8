"""The quota state of one tenant at this gateway."""

from __future__ import annotations

import math

from ..record import record
from ..settings import Plan
from .epoch_markers import WindowCounter


@record(slots=True)
class Tenant:
    """What this gateway knows of one tenant. Rates are units a second."""

    tenant_id: str
    plan: Plan
    gateway_spread: int  # gateways through which the tenant's requests come; twice that during a handover
    updated_ms: float  # when the buckets were last brought up to date
    bucket_units: float  # what the quota's token bucket, shared by all gateways, is thought to hold
    local_units: float  # this gateway's local share of it; counts while the counter is unavailable
    ceiling_guard_units: float  # this gateway's share of the ceiling's bucket
    last_seen_ms: float
    credit_units: float = 1.0  # fill: a fraction of each request is added until it makes one
    own_demand_per_s: float = 0.0
    others_demand_per_s: float = 0.0  # use by the other gateways
    assumed_drain_units: float = 0.0  # taken from the bucket for that since the last total
    attempts_in_flight: int = 0
    largest_request_units: float = 1.0
    reported_own_units: float = 0.0  # of the units in the last totals, the own ones ...
    reported_units: float = 0.0  # ... and all
    window_length_ms: float = 1000.0
    window_start_ms: float = -math.inf
    counter_key: int = 0  # the counter's key for that window: units admitted or asked for, by all gateways
    window_counter: WindowCounter | None = None  # how far that key's totals can be trusted
    is_last_call_complete: bool = False  # the last answered call added all that its request asks for
    unreported_units: float = 0.0  # own units not yet added to the counter; negative: to be taken off
    calls_in_flight: int = 0  # for this window
    own_units_since_reply: float = 0.0  # own units added since the last total
    counter_others_units: float = 0.0  # units of the others in this window, by the counter ...
    member_others_units: float = 0.0  # ... and by usage updates of members; the larger one counts
    previous_window_units: float = math.nan  # the same of the window before; nan: nothing is known of it
    reporting_fraction: float = 0.0  # of the gateways, that usage updates cover, this one included
    usage_update_ms: float = -1e9
    counter_total_units: float = 0.0  # by the last reply
    counter_total_ms: float = -1e9  # when the others' use was last known, by a total or by members
    last_call_ms: float = -1e9
