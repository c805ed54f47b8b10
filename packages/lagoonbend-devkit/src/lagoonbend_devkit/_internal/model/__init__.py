"""Model of the served systems, driven by the real decision code."""
