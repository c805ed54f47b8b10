"""Client of the operators' listeners."""
