"""Decision code: pure functions and state machines; time and randomness are arguments, no I/O."""
