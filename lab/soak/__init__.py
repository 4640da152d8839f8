"""A soak of planned restarts: real processes, schedules drawn by seed, judged by the peers' own books."""
