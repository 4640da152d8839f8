"""Soak test of planned restarts with real processes and seeded schedules.

Runs are judged by what the clients and servers recorded.
"""
