"""The bytes of messages as an older program wrote them, and the inputs that they were made of."""
