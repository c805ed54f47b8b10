"""Small immutable values of the daemon."""
