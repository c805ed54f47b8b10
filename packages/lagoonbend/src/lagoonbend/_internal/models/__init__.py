"""Small immutable values that the other packages exchange."""
