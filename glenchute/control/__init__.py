"""The control socket of a process, shared by all its subsystems.

It is a Unix socket that only the process's user may open. Each line is a JSON object, and each request names
a verb.
"""
