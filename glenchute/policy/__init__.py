"""Decision code: pure functions and state machines that take time and randomness as arguments. No I/O."""
