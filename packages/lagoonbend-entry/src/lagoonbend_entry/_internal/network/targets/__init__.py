"""Client of targets."""
