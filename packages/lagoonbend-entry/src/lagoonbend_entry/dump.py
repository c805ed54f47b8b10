"""State dump of an instance, for tools that read it."""

from lagoonbend_entry._internal.models.dump import Dump

__all__ = ['Dump']
