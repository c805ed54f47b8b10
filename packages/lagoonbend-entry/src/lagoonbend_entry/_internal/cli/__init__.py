"""Command-line interface of the daemon."""
