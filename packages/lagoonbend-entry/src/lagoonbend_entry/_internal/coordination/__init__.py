"""Links between instances, and who decides for which service."""
