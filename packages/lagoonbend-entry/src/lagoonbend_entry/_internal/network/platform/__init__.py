"""Client for the platform's service."""
