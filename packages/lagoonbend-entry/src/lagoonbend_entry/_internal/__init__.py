"""Implementation of the entry instance."""
