"""Implementation of the developers' tools."""
