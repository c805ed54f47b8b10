"""Server and client between instances."""
