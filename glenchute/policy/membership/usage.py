"""Units that other gateways have admitted for an account in a window, and how much of that usage is known. No
I/O; times are seconds of this process' clock.

A row has one writer (a process: name and boot), so units admitted by a restarted gateway's predecessor count
as another process' usage.

Not all usage is reported. An account that used less than `2 x REPORTED_SHARE` of its allowance in each window
can't have emptied a token bucket, whatever each gateway knows, so reporting it changes no decision. A process
reports a window once its own units exceed an even part of `REPORTED_SHARE`, or once all units that it knows
of reach `REPORTED_SHARE`. The units that fall below the first threshold sum to `REPORTED_SHARE` at most. So
once twice as much has been admitted, every process knows of `REPORTED_SHARE` at least, and reports all of its
own.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..admission.windows import window_length_ms
from ..settings import Plan
from .replica import Row, RowKind

MAX_WINDOWS = 10_000  # largest number of windows kept, of this process and of the others each
MAX_WRITERS_PER_WINDOW = 2_000  # further writers are ignored
REPORTED_SHARE = 0.25  # share of a window's allowance from which usage is reported, as described above
MAX_LOCAL_HEALTH_FOR_USAGE = 3  # a higher score means that this process' own links are suspect
MAX_SILENCE_S = 1.0


def window_key(account: str, window_ms: float) -> str:
    """Returns the row key of an account's window that begins at `window_ms`."""
    return f"{account}/{window_ms:.0f}"


def window_allowance_units(plan: Plan) -> float:
    """Returns an account's allowance per window, in units: half of it can be admitted in every window
    without ever emptying the token bucket."""
    return min(plan.burst_units, plan.rate_per_s * window_length_ms(plan) / 1000.0)


@dataclass(slots=True)
class OwnUsage:
    """Usage that this process admitted in a window. `gateway_spread`: gateways in the account's subset."""

    version: int = 0
    units: float = 0.0
    gateway_spread: int = 1
    allowance_units: float = 0.0
    previous_key: str = ""  # the key of the preceding window


class AccountUsage:
    """Units admitted by window: those of this process, and the sums over all other processes."""

    def __init__(self, writer: str) -> None:
        """`writer`: this process, as `name#boot`."""
        self.writer = writer
        # By the window's key, the window unchanged for the longest time first.
        self.units_by_writer: dict[str, dict[str, float]] = {}
        self.peer_units: dict[str, float] = {}
        self.own: dict[str, OwnUsage] = {}

    def add_admitted(
        self, account: str, window_ms: float, units: float, spread: int = 1, plan: Plan | None = None
    ) -> Row:
        """Adds units that this process admitted, and returns the row that reports the window."""
        key = window_key(account, window_ms)
        own = self.own.pop(key, None) or OwnUsage()
        self.own[key] = own
        own.version, own.units, own.gateway_spread = own.version + 1, own.units + units, spread
        if plan is not None:
            own.allowance_units = window_allowance_units(plan)
            own.previous_key = window_key(account, window_ms - window_length_ms(plan))
        if len(self.own) > MAX_WINDOWS:
            del self.own[next(iter(self.own))]
        return self.row_for(key, own)

    def row_for(self, key: str, own: OwnUsage) -> Row:
        """Returns the row that reports a window of this process."""
        return Row(RowKind.USE, key, self.writer, own.version, round(own.units, 3))

    def must_report(self, key: str) -> bool:
        """Returns whether the other gateways need to know what this process admitted in a window."""
        own = self.own.get(key)
        if own is None:
            return False
        threshold_units = REPORTED_SHARE * own.allowance_units
        exceeds_even_part = own.units * own.gateway_spread > threshold_units
        return exceeds_even_part or own.units + self.peer_units.get(key, 0.0) >= threshold_units

    def receive(self, row: Row) -> None:
        """Adds a usage row of another process; a row of this process is ignored."""
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

    def admitted_by_peers(self, account: str, window_ms: float) -> float:
        """Returns the units that other processes are known to have admitted in a window."""
        return self.peer_units.get(window_key(account, window_ms), 0.0)


def known_usage_share(
    is_complete: bool, local_health: int, known_peers: int, gateways: int, silent_s: float
) -> float:
    """Returns the share of an account's gateways, including this one, whose usage is known here:
    `known_peers` others of `gateways`. It is 0 where the replica is incomplete, where this process' own links
    are suspect, or where no member's datagram has arrived for `MAX_SILENCE_S`."""
    is_isolated = local_health > MAX_LOCAL_HEALTH_FOR_USAGE or silent_s > MAX_SILENCE_S
    if not is_complete or is_isolated or gateways < 2:
        return 0.0
    return min(1.0, (1 + known_peers) / gateways)
