"""Data path between callers and targets on plain sockets."""
