"""Measurements. None runs in continuous integration; docs quote them with their command."""
