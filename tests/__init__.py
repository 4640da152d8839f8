"""Tests of the decisions, from scripted events."""
