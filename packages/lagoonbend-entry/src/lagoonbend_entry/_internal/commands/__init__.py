"""Commands of the daemon, one class each."""
