"""Capture and replay: the events that the decision engine took and the actions it returned, replayed to the
bit."""
