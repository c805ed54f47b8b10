"""Load generator: seeded open-loop load, and the report on it."""
