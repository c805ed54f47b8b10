"""The path of a request through an instance."""
