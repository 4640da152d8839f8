"""Intervals that several parts of the decision engine share."""

from __future__ import annotations

TICK_MS = 250.0  # between two passes of the engine over its pending requests and estimates
