"""Calls to the shared counter that are waiting for a reply."""

from __future__ import annotations

from collections import deque

from ..record import record
from .epoch_markers import WindowCounter
from .tenant import Tenant


@record(frozen=True, slots=True)
class CounterCall:
    """One `IncrementCounter` whose reply may still come."""

    tenant: Tenant
    window_counter: WindowCounter  # state of the window that the call's key belongs to
    units: float
    marker: float  # epoch marker that the call adds to its units; 0: none
    request_id: str | None  # the request that waits for the reply, if any
    is_complete: bool  # no refunds were subtracted from its units
    reserved_units: float  # the part of `units` that is reserved for the waiting request


class CounterCalls:
    """Holds the calls by counter key. Replies to one key's calls come in the order of the calls."""

    def __init__(self) -> None:
        self.in_flight: dict[int, deque[CounterCall]] = {}
        # Calls of current windows that had no reply in time; a late reply may still come.
        self.timed_out: dict[int, deque[CounterCall]] = {}
