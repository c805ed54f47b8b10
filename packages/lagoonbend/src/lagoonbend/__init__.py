"""The scheduling logic of a request scheduler for heterogeneous engines.

The modules do no network I/O: they work on a clock and typed values, so that
each can be embedded alone. Among them are ``lagoonbend.claims`` (at-most-once
dispatch), ``lagoonbend.queueing`` (admission and shedding),
``lagoonbend.routing`` (choice of a target), ``lagoonbend.membership`` (list
of instances and targets, with its age) and ``lagoonbend.configuration``
(documents and their revisions).
"""

__version__ = '0.1.0'
