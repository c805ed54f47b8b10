"""Entry point of the daemon."""
