"""Web console: forms that edit one validated configuration document."""
