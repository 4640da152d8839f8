"""Deterministic simulations of a site with real decision engines: one seeded scheduler, scripted faults."""
