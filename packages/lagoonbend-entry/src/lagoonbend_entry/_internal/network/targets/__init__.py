"""Client for targets."""
