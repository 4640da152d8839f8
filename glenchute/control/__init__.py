"""One control socket for all subsystems: a Unix socket that only this user may open, framed JSON, verbs."""
