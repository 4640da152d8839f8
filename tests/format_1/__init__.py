"""Captures of format 1, kept as they were recorded."""
