"""Lets ``python -m lagoonbend_entry`` run the daemon."""

from lagoonbend_entry._internal.cli.main import main

main()
