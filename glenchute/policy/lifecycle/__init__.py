"""Draining, graceful shutdown, and handover between processes."""
