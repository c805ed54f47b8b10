"""Runs the daemon for ``python -m lagoonbend_entry``."""

from lagoonbend_entry._internal.cli.main import main

main()
