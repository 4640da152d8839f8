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


class CounterCalls:
    """The calls by key. Replies to one key's calls come in the order of the calls."""

    def __init__(self) -> None:
        self.in_flight: dict[int, deque[CounterCall]] = {}
        # Of windows in force, without a reply in time; a late one may still come.
        self.timed_out: dict[int, deque[CounterCall]] = {}
