"""Choices of the gateway's own subsystems: pure state machines, time handed in, no input or output."""
