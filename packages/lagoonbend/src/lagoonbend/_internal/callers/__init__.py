"""Help for callers: when to repeat, and with which key."""
