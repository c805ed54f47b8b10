"""Choice of a target on stale and sparse load."""
