"""Small immutable values that the parts exchange."""
