"""How the links of one instance to targets are cut."""

import enum

import msgspec

CUT_FILE_VARIABLE = 'LAGOONBEND_CUT_FILE'
"""Environment variable with the path of the file that holds the cut."""


class CutKind(enum.Enum):
    """What a cut does to connections.

    ``REFUSE``: open ones end, new ones are refused. ``HANG``: open ones end,
    new ones time out. ``NEW_ONLY``: open ones live, new ones are refused.
    ``SILENT``: open ones carry nothing any more and end after a while, new
    ones time out. ``RESET``: open ones end, new ones are accepted and then
    reset.
    """

    REFUSE = 'refuse'
    HANG = 'hang'
    NEW_ONLY = 'new_only'
    SILENT = 'silent'
    RESET = 'reset'


class LinkCut(msgspec.Struct, frozen=True):
    """A cut of the links to some ports; no ports for none.

    :param kind: what it does to connections.
    :param ports: ports of the targets.
    """

    kind: CutKind = CutKind.REFUSE
    ports: tuple[int, ...] = ()
