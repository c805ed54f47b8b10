"""Documents, their revisions and their order."""
