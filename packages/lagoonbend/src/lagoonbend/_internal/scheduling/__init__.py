"""Places at targets, shared by all instances that reach each other."""
