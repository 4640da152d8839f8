"""Exceptions raised when captures are read or replayed."""

from __future__ import annotations


class CaptureError(Exception):
    """A capture that can't be read or replayed."""


class SnapshotError(CaptureError):
    """A snapshot in a capture that can't be read."""
