"""Benchmarks. None of them runs in continuous integration; the docs quote figures with their command."""
