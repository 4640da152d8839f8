"""Past failures as captures: each is replayed, and fails if a decision changes."""
