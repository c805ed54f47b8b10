"""Coordination between instances: links, membership and deciders."""
