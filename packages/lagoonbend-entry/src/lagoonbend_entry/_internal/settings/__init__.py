"""Settings of an instance, read from an INI file."""
