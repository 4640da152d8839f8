"""The quota state of one tenant at this gateway."""

from __future__ import annotations

import math

from ..record import record
from ..settings import Plan
from .epoch_markers import WindowCounter


@record(slots=True)
class Tenant:
    """What this gateway knows of one tenant. Rates are units per second."""

    tenant_id: str
    plan: Plan
    gateway_spread: int  # gateways that receive the tenant's requests; twice that number during a handover
    updated_ms: float  # when the buckets were last refilled
    bucket_units: float  # estimated units in the quota's token bucket, which all gateways share
    local_units: float  # this gateway's local share of the bucket; decides while the counter is unavailable
    ceiling_guard_units: float  # this gateway's share of the ceiling's bucket
    last_seen_ms: float
    credit_units: float = 1.0  # fractional admission: a request is admitted when this covers its units
    own_demand_per_s: float = 0.0
    others_demand_per_s: float = 0.0  # use by the other gateways
    assumed_drain_units: float = 0.0  # deducted from the bucket for the others' use since the last total
    attempts_in_flight: int = 0
    largest_request_units: float = 1.0
    reported_own_units: float = 0.0  # this gateway's units in recent totals, older ones weighted less
    reported_units: float = 0.0  # all gateways' units in recent totals, older ones weighted less
    window_length_ms: float = 1000.0
    window_start_ms: float = -math.inf
    counter_key: int = 0  # the counter's key for the window: units that all gateways admitted or reserved
    window_counter: WindowCounter | None = None  # what is known of that key and how far it can be trusted
    is_last_call_complete: bool = False  # no refunds were subtracted from the units of the last answered call
    unreported_units: float = 0.0  # own units not yet added to the counter; negative: units to subtract
    calls_in_flight: int = 0  # calls to the counter for the current window
    own_units_since_reply: float = 0.0  # own units added to the counter since the last total
    # Units of the other gateways in this window, by the counter and by members' usage updates; the larger
    # of the two counts.
    counter_others_units: float = 0.0
    member_others_units: float = 0.0
    previous_window_units: float = math.nan  # units of the other gateways in the window before; nan: unknown
    reporting_fraction: float = 0.0  # fraction of the gateways, with this one, that usage updates cover
    usage_update_ms: float = -1e9
    counter_total_units: float = 0.0  # units in the last total
    counter_total_ms: float = -1e9  # when the others' use was last known, by a total or by members
    last_call_ms: float = -1e9
