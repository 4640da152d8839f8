"""What the others have let in of an account's window, from the rows of use; and how far that can be trusted.

One writer a row (a process: name and boot), so that a gateway that has been restarted counts what its
predecessor let in as another's. No I/O; times are seconds by this process' clock.
"""

from __future__ import annotations

from .replica import Kind, Row

MOST_WINDOWS = 40_000


def key_of(customer: str, window_ms: float) -> str:
    """The key of an account's window."""
    return f"{customer}/{window_ms:.0f}"


class Use:
    """Sums by window."""

    def __init__(self, writer: str) -> None:
        self.writer = writer
        self.others: dict[str, dict[str, float]] = {}  # window's key: units by writer
        self.own: dict[str, tuple[int, float]] = {}  # window's key: version, units

    def let_in(self, customer: str, window_ms: float, units: float) -> Row:
        """This process has let in so much more; the row that says so."""
        key = key_of(customer, window_ms)
        version, before = self.own.pop(key, (0, 0.0))
        self.own[key] = version + 1, before + units
        if len(self.own) > MOST_WINDOWS:
            del self.own[next(iter(self.own))]
        return Row(Kind.USE, key, self.writer, version + 1, round(before + units, 3))

    def heard(self, row: Row) -> None:
        """A row of another process."""
        if row.writer == self.writer:
            return
        window = self.others.pop(row.key, {})
        window[row.writer] = row.value
        self.others[row.key] = window  # those that changed last stand last
        if len(self.others) > MOST_WINDOWS:
            del self.others[next(iter(self.others))]

    def by_others(self, customer: str, window_ms: float) -> float:
        """Units that others are known to have let in."""
        return sum(self.others.get(key_of(customer, window_ms), {}).values())


def trusted_share(known: bool, health: int, alive: int, gateways: int, silent_s: float) -> float:
    """The share of the fleet, this gateway included, whose use is known here; 0 where this copy is not whole,
    where this process doubts its own hearing, or where nothing has come for a second. Those in doubt are not
    counted as heard."""
    if not known or health >= 4 or silent_s > 1.0 or gateways < 2:
        return 0.0
    return min(1.0, (1 + alive) / gateways)
