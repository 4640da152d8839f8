"""Capture and replay: what the decision module was told and what it answered, to the bit."""
