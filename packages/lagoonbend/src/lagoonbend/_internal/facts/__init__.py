"""Configuration and target list as last read, with their revision and age."""
