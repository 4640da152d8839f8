"""The retry budget: retries and hedged requests as a fraction of the requests, so that no fault becomes a
retry storm."""

from __future__ import annotations

TOKENS_PER_REQUEST = 0.2
INITIAL_TOKENS = 5.0
MOST_TOKENS = 10.0  # retries that can be saved up


class RetryBudget:
    """Tokens for attempts beyond the first of a request; a retry or a hedged request takes one."""

    def __init__(self) -> None:
        self.tokens = INITIAL_TOKENS

    def record_request(self) -> None:
        """A new request adds a fraction of a token."""
        self.tokens = min(MOST_TOKENS, self.tokens + TOKENS_PER_REQUEST)

    def has(self, tokens: float) -> bool:
        """Whether so many are left."""
        return self.tokens >= tokens

    def spend(self, tokens: float) -> None:
        """Takes tokens that are there."""
        self.tokens -= tokens
