"""Commands, one class each."""
