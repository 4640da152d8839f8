"""Service routing, bulkheads, and fair queueing."""
