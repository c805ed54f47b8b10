"""Settings of an instance, read from INI."""
