"""Bytes of messages as an earlier version of the program wrote them, and the inputs that they encode."""
