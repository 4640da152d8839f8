"""Client and server connections: limits, eviction, pipelining, and response order."""
