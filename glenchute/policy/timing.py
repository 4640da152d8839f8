"""Intervals that several parts of the decision engine share."""

from __future__ import annotations

TICK_MS = 250.0  # interval of the engine's tick, which updates estimates and retries waiting requests
