"""Calls to the shared counter that await a reply."""

from __future__ import annotations

from collections import deque

from ..record import record
from .epoch_markers import WindowCounter
from .tenant import Tenant


@record(frozen=True, slots=True)
class CounterCall:
    """One `IncrementCounter`, as long as its reply may come."""

    tenant: Tenant
    window_counter: WindowCounter  # of the window that the call's key belongs to
    units: float
    marker: float  # added besides the units; 0: none
    request_id: str | None  # the request that waits for the reply
    is_complete: bool  # nothing was taken off its units
    reserved_units: float  # of its units, those added ahead for that request


@record(frozen=True, slots=True)
class TimedOutCall:
    """A call of a window in force that had no reply in time; a late one may still come."""

    tenant: Tenant
    window_counter: WindowCounter
    units: float
    marker: float
    had_request: bool  # a request waited for it


@record(slots=True)
class CounterCalls:
    """The calls by key. Replies to one key's calls come in the order of the calls."""

    in_flight: dict[int, deque[CounterCall]]
    timed_out: dict[int, deque[TimedOutCall]]
