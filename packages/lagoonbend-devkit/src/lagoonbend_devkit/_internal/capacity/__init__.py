"""Measurements that the figures of docs/CAPACITY.md are derived from."""
