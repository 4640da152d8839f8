"""What the others have let in of an account's window, from the rows of use; and how far that can be trusted.

One writer a row (a process: name and boot), so that a gateway that has been restarted counts what its
predecessor let in as another's. No I/O; times are seconds by this process' clock.

Not all use is told. Of an account that used less than `2 x TOLD_SHARE` of its `allowance` in each window no
store can have run empty, whatever each gateway knows, so no word on it changes a decision. A process says
what it let in once its own units pass its even part of `TOLD_SHARE`, or all that it knows of reaches
`TOLD_SHARE`. What stays unsaid for want of the first is `TOLD_SHARE` in sum at most, so once twice as much
was let in, everybody has heard of `TOLD_SHARE` at least, and everything is said.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..admission.windows import window_length_ms
from ..settings import Plan
from .replica import Row, RowKind

MAX_WINDOWS = 10_000
MAX_WRITERS_PER_WINDOW = 2_000  # of a window; further ones are not added up
REPORTED_SHARE = 0.25


def window_key(customer: str, window_ms: float) -> str:
    """The key of an account's window."""
    return f"{customer}/{window_ms:.0f}"


def window_allowance_units(plan: Plan) -> float:
    """Units of a window of which half can be let in, in any two windows in a row, out of any store."""
    return min(plan.burst_units, plan.rate_per_s * window_length_ms(plan) / 1000.0)


@dataclass(slots=True)
class OwnUsage:
    """What this process let in of a window. `spread`: gateways of the account's set; `allowance`: units."""

    version: int = 0
    units: float = 0.0
    gateway_spread: int = 1
    allowance_units: float = 0.0
    previous_key: str = ""  # the key of the window before


class AccountUsage:
    """Sums by window."""

    def __init__(self, writer: str) -> None:
        self.writer = writer
        self.units_by_writer: dict[str, dict[str, float]] = {}  # window's key: units by writer
        self.peer_units: dict[str, float] = {}  # ... and of all of them
        self.own: dict[str, OwnUsage] = {}  # by window's key

    def add_admitted(
        self, customer: str, window_ms: float, units: float, spread: int = 1, plan: Plan | None = None
    ) -> Row:
        """This process has let in so much more; the row that says so."""
        key = window_key(customer, window_ms)
        own = self.own.pop(key, None) or OwnUsage()
        self.own[key] = own
        own.version, own.units, own.gateway_spread = own.version + 1, own.units + units, spread
        if plan is not None:
            own.allowance_units, own.previous_key = (
                window_allowance_units(plan),
                window_key(customer, window_ms - window_length_ms(plan)),
            )
        if len(self.own) > MAX_WINDOWS:
            del self.own[next(iter(self.own))]
        return self.row_for(key, own)

    def row_for(self, key: str, own: OwnUsage) -> Row:
        """What this process has to say of a window."""
        return Row(RowKind.USE, key, self.writer, own.version, round(own.units, 3))

    def must_report(self, key: str) -> bool:
        """Whether the others have to know what this process let in of a window."""
        own = self.own.get(key)
        if own is None:
            return False
        enough = REPORTED_SHARE * own.allowance_units
        return own.units * own.gateway_spread > enough or own.units + self.peer_units.get(key, 0.0) >= enough

    def receive(self, row: Row) -> None:
        """A row of another process."""
        if row.writer == self.writer:
            return
        window, units = self.units_by_writer.pop(row.key, {}), self.peer_units.pop(row.key, 0.0)
        if row.writer in window or len(window) < MAX_WRITERS_PER_WINDOW:
            units += row.value - window.get(row.writer, 0.0)
            window[row.writer] = row.value
        # Those that changed last stand last.
        self.units_by_writer[row.key], self.peer_units[row.key] = window, units
        if len(self.units_by_writer) > MAX_WINDOWS:
            oldest = next(iter(self.units_by_writer))
            del self.units_by_writer[oldest], self.peer_units[oldest]

    def admitted_by_peers(self, customer: str, window_ms: float) -> float:
        """Units that others are known to have let in."""
        return self.peer_units.get(window_key(customer, window_ms), 0.0)


def known_usage_share(known: bool, health: int, alive: int, gateways: int, silent_s: float) -> float:
    """The share of an account's gateways, this one included, whose use is known here: `alive` others of
    `gateways`. 0 where this copy is not whole, where this process doubts its own hearing, or where nothing
    has come for a second. Those in doubt are not counted as heard."""
    if not known or health >= 4 or silent_s > 1.0 or gateways < 2:
        return 0.0
    return min(1.0, (1 + alive) / gateways)
