"""Captures of past failures; tests replay each and fail if a decision changes."""
