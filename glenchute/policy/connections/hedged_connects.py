"""Hedged connects: when to open a second connection to a server because the first is slow to connect.

Nothing has been written on the first connection, so no request can have run: unlike a hedged request, a
hedged connect needs no idempotency. The delay follows Happy Eyeballs (RFC 8305, section 5): it is derived
from recent connect times and never below 10 ms. A budget per server (like Finagle's `RetryBudget`) bounds the
extra connections: a server that accepts no connection gets a single hedge.
"""

from __future__ import annotations

DELAY_FACTOR = 4.0  # the hedge delay as a multiple of the median connect time
MIN_DELAY_S = 0.01  # RFC 8305's minimum; shorter delays mistake scheduling pauses for network delay
MEDIAN_STEP_FACTOR = 1.1
DEPOSIT_PER_CONNECT = 0.5  # hedges earned by each established connection
MAX_BALANCE = 2.0  # maximum hedges in a server's budget


class ConnectTimeEstimate:
    """A running median of connect times, moved by a factor of `MEDIAN_STEP_FACTOR` per observation.

    A connect that takes very long or never completes counts as a single step. `connect_timeout_s`: the time
    after which a connect is abandoned.
    """

    __slots__ = ("connect_timeout_s", "median_s")

    def __init__(self, connect_timeout_s: float) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.median_s = connect_timeout_s / DELAY_FACTOR / DELAY_FACTOR

    def record_connected(self, seconds: float) -> None:
        """Records the connect time of an established connection."""
        step = MEDIAN_STEP_FACTOR if seconds > self.median_s else 1.0 / MEDIAN_STEP_FACTOR
        # Lower medians would not shorten the delay, and a median of zero could never rise again.
        floor_s = MIN_DELAY_S / DELAY_FACTOR
        self.median_s = max(floor_s, self.median_s * step)
        self.median_s = min(self.connect_timeout_s / DELAY_FACTOR, self.median_s)

    def record_abandoned(self, seconds: float) -> None:
        """Records an abandoned connect.

        Its duration is only a lower bound of the connect time, so it counts only above the median.
        """
        if seconds > self.median_s:
            self.record_connected(seconds)

    def hedge_delay_s(self, available_s: float) -> float | None:
        """Returns the delay before the second connect of an attempt that has `available_s` to connect.

        None if the second connect would have less time than the delay itself.
        """
        delay_s = max(MIN_DELAY_S, DELAY_FACTOR * self.median_s)
        return delay_s if 2.0 * delay_s <= available_s else None


class HedgeBudget:
    """The number of hedged connects that one server may still get."""

    __slots__ = ("balance",)

    def __init__(self) -> None:
        self.balance = 1.0

    def deposit(self) -> None:
        """Adds to the balance for an established connection to the server."""
        self.balance = min(MAX_BALANCE, self.balance + DEPOSIT_PER_CONNECT)

    def try_withdraw(self) -> bool:
        """Spends one hedge if the balance allows, and returns whether it did."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
