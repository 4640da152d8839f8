"""Captures of format 1, recorded with `python -m tests.format_1` of commit 0abe719 by a44429f's program."""
