"""Private implementation of the command line."""
