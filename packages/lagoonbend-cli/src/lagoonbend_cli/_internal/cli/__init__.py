"""Entry point that registers and runs the commands."""
