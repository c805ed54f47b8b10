"""Clock, hashing and invariants."""
