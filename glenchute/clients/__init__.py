"""Clients of the counter, of discovery, of the other members, and of the predecessor process."""
