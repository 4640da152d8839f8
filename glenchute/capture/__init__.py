"""Capture and replay: records the decision engine's events and actions, and replays them exactly."""
