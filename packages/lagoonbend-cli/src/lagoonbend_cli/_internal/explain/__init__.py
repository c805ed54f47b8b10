"""Timeline of a request, from the collected logs of instances."""
