"""Fleets of gateway processes and of simulated members, with scripted faults and checks of their records."""
