"""The server pool, endpoint choice, slow start, and subsets."""
