"""Units that other gateways have admitted of an account's window, and how much of it is known. No I/O; times
are seconds of this process' clock.

A row has one writer (a process: name and boot), so what a restarted gateway's predecessor admitted counts as
another's. Not all usage is reported. An account that used less than `2 x REPORTED_SHARE` of its allowance in
each window can't have emptied a token bucket, whatever each gateway knows, so reporting it changes no
decision. A process reports a window once its own units pass its even part of `REPORTED_SHARE`, or all that it
knows of reaches `REPORTED_SHARE`. What stays unreported for want of the first is `REPORTED_SHARE` in sum at
most, so once twice as much was admitted every process knows of `REPORTED_SHARE` at least, and all of it is
reported.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..admission.windows import window_length_ms
from ..settings import Plan
from .replica import Row, RowKind

MAX_WINDOWS = 10_000
MAX_WRITERS_PER_WINDOW = 2_000  # further ones are not added up
REPORTED_SHARE = 0.25  # of a window's allowance
MAX_LOCAL_HEALTH_FOR_USAGE = 3  # above it this process' own links are in doubt (see `members`)
MAX_SILENCE_S = 1.0


def window_key(customer: str, window_ms: float) -> str:
    """The row key of an account's window, which begins at `window_ms`."""
    return f"{customer}/{window_ms:.0f}"


def window_allowance_units(plan: Plan) -> float:
    """The units of a window of which half may be admitted in any two windows in a row, whatever the state of
    the token bucket."""
    return min(plan.burst_units, plan.rate_per_s * window_length_ms(plan) / 1000.0)


@dataclass(slots=True)
class OwnUsage:
    """What this process admitted in a window. `gateway_spread`: gateways in the account's subset."""

    version: int = 0
    units: float = 0.0
    gateway_spread: int = 1
    allowance_units: float = 0.0
    previous_key: str = ""  # of the window before


class AccountUsage:
    """Admitted units by window: this process', and the sums of all others'."""

    def __init__(self, writer: str) -> None:
        """`writer`: this process, as `name#boot`."""
        self.writer = writer
        # By window's key, the longest unchanged first.
        self.units_by_writer: dict[str, dict[str, float]] = {}
        self.peer_units: dict[str, float] = {}
        self.own: dict[str, OwnUsage] = {}

    def add_admitted(
        self, customer: str, window_ms: float, units: float, spread: int = 1, plan: Plan | None = None
    ) -> Row:
        """Adds units that this process admitted; the row that reports the window."""
        key = window_key(customer, window_ms)
        own = self.own.pop(key, None) or OwnUsage()
        self.own[key] = own
        own.version, own.units, own.gateway_spread = own.version + 1, own.units + units, spread
        if plan is not None:
            own.allowance_units = window_allowance_units(plan)
            own.previous_key = window_key(customer, window_ms - window_length_ms(plan))
        if len(self.own) > MAX_WINDOWS:
            del self.own[next(iter(self.own))]
        return self.row_for(key, own)

    def row_for(self, key: str, own: OwnUsage) -> Row:
        """The row that reports a window of this process."""
        return Row(RowKind.USE, key, self.writer, own.version, round(own.units, 3))

    def must_report(self, key: str) -> bool:
        """Whether the other gateways have to know what this process admitted in a window."""
        own = self.own.get(key)
        if own is None:
            return False
        threshold_units = REPORTED_SHARE * own.allowance_units
        passes_even_part = own.units * own.gateway_spread > threshold_units
        return passes_even_part or own.units + self.peer_units.get(key, 0.0) >= threshold_units

    def receive(self, row: Row) -> None:
        """A usage row of another process."""
        if row.writer == self.writer:
            return
        window, units = self.units_by_writer.pop(row.key, {}), self.peer_units.pop(row.key, 0.0)
        if row.writer in window or len(window) < MAX_WRITERS_PER_WINDOW:
            units += row.value - window.get(row.writer, 0.0)
            window[row.writer] = row.value
        self.units_by_writer[row.key], self.peer_units[row.key] = window, units
        if len(self.units_by_writer) > MAX_WINDOWS:
            oldest = next(iter(self.units_by_writer))
            del self.units_by_writer[oldest], self.peer_units[oldest]

    def admitted_by_peers(self, customer: str, window_ms: float) -> float:
        """Units that other processes are known to have admitted in a window."""
        return self.peer_units.get(window_key(customer, window_ms), 0.0)


def known_usage_share(
    is_complete: bool, local_health: int, known_peers: int, gateways: int, silent_s: float
) -> float:
    """The share of an account's gateways, this one included, whose usage is known here: `known_peers` others
    of `gateways`. 0 where the replica is incomplete, where this process' own links are in doubt, or where no
    member's datagram came for a second."""
    is_deaf = local_health > MAX_LOCAL_HEALTH_FOR_USAGE or silent_s > MAX_SILENCE_S
    if not is_complete or is_deaf or gateways < 2:
        return 0.0
    return min(1.0, (1 + known_peers) / gateways)
