"""Real processes of the program as a fleet: scripted links, one history, checkers over its books."""
