"""Coordination parts of a request scheduler for unlike engines.

Each part is plain code over a clock and typed facts, without sockets, so
that it can be embedded alone: ``lagoonbend.claims`` (at-most-once dispatch),
``lagoonbend.queueing`` (admission and shedding), ``lagoonbend.routing``
(choice of a target), ``lagoonbend.membership`` (aged facts) and
``lagoonbend.configuration`` (documents and their revisions).
"""

__version__ = '0.1.0'
