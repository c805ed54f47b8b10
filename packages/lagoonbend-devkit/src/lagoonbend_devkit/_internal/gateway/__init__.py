"""Stand-ins for the users' platform: store, engine and plain service."""
