"""HTTP clients of instances and engines."""
