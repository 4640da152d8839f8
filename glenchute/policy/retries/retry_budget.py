"""The retry budget: limits retries and hedged requests to a fraction of the requests, which prevents retry
storms."""

from __future__ import annotations

TOKENS_PER_REQUEST = 0.2
INITIAL_TOKENS = 5.0
MAX_TOKENS = 10.0  # largest number of retries that can accumulate


class RetryBudget:
    """Tokens for attempts after the first of a request; a retry or a hedged request takes one."""

    def __init__(self) -> None:
        self.tokens = INITIAL_TOKENS

    def record_request(self) -> None:
        """Adds the fraction of a token for a new request."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_REQUEST)

    def has(self, tokens: float) -> bool:
        """Returns whether at least this many tokens are left."""
        return self.tokens >= tokens

    def spend(self, tokens: float) -> None:
        """Takes this many tokens, which must be left."""
        self.tokens -= tokens
