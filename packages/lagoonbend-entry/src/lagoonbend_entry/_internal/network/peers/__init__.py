"""Server and client for the calls between instances."""
