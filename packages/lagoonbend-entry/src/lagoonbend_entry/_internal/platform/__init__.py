"""Names, formats and requests of the users' platform, without decisions."""
