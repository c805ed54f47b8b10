"""Commands of the command line, one class and module each."""
