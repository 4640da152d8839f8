"""Loads and validates the platform's file and the operator's file."""
