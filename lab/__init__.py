"""Stand-ins for the systems that the gateway talks to, written from public specifications."""
