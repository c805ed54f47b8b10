"""Configuration documents, their revisions and their order."""
