"""Entry point of the command line."""
