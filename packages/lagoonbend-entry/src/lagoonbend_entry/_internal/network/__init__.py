"""Network listeners and clients."""
