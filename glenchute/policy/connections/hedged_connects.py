"""Hedged connects: when a second connection to a server is opened because the first is slow to come up.

Nothing has been written on the first one, so no request can have run: unlike a hedged request this needs no
idempotency. The delay follows Happy Eyeballs (RFC 8305, section 5): it is derived from recent connect times
and never below 10 ms. A budget per server (as Finagle's `RetryBudget`) bounds the extra connections: a server
to which no connection comes up gets one hedge and no more.
"""

from __future__ import annotations

DELAY_FACTOR = 4.0  # times the median connect time
MIN_DELAY_S = 0.01  # RFC 8305's minimum: shorter ones mistake scheduling pauses for network delay
MEDIAN_STEP = 1.1
DEPOSIT_PER_CONNECT = 0.5  # hedges earned by each connection that came up
MAX_BALANCE = 2.0  # hedges that a server's budget can hold


class ConnectTimeEstimate:
    """A running median of connect times, moved by one tenth per observation.

    A connect that takes very long or never completes counts as a single step. `connect_timeout_s` is the time
    after which a connect is abandoned.
    """

    __slots__ = ("connect_timeout_s", "median_s")

    def __init__(self, connect_timeout_s: float) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.median_s = connect_timeout_s / DELAY_FACTOR / DELAY_FACTOR

    def record_connected(self, seconds: float) -> None:
        """A connection came up after so long."""
        step = MEDIAN_STEP if seconds > self.median_s else 1.0 / MEDIAN_STEP
        # Below this floor no delay gets shorter, and from zero no step leads anywhere.
        floor_s = MIN_DELAY_S / DELAY_FACTOR
        self.median_s = max(floor_s, self.median_s * step)
        self.median_s = min(self.connect_timeout_s / DELAY_FACTOR, self.median_s)

    def record_abandoned(self, seconds: float) -> None:
        """A connect was abandoned after so long; a lower bound, so it counts only above the median."""
        if seconds > self.median_s:
            self.record_connected(seconds)

    def hedge_delay_s(self, available_s: float) -> float | None:
        """The delay before the second connect of an attempt that has `available_s` seconds to connect; None
        where the second would have less time than the first had."""
        delay_s = max(MIN_DELAY_S, DELAY_FACTOR * self.median_s)
        return delay_s if 2.0 * delay_s <= available_s else None


class HedgeBudget:
    """The hedged connects that one server may still get."""

    __slots__ = ("balance",)

    def __init__(self) -> None:
        self.balance = 1.0

    def deposit(self) -> None:
        """A connection to the server came up."""
        self.balance = min(MAX_BALANCE, self.balance + DEPOSIT_PER_CONNECT)

    def try_withdraw(self) -> bool:
        """Spends one hedge if the balance allows; whether it did."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
