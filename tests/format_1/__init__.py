"""Captures of format 1, recorded by the program of commit a44429f with the script `tests.format_1` of commit
0abe719."""
